"""The read-only implementation of a store, which works with or without a concurrent writer."""

from __future__ import annotations

import errno

from heronreel.store.current_view import CurrentView
from heronreel.store.disk import Disk
from heronreel.store.durable_note import decode_durable_note
from heronreel.store.health import Health
from heronreel.store.log_reader import DroppedTail
from heronreel.store.manifest import Manifest
from heronreel.store.recovery import Contents, read_contents, read_manifest, sync_log
from heronreel.store.snapshot import ReadView

# A read is repeated this many times at most while a concurrent writer removes files that it needs.
_MAX_READ_ATTEMPTS = 20


class StoreReader:
    """Loads the state that a writer has made durable."""

    log_bytes = 0  # A reader appends nothing to the log.

    def __init__(self, disk: Disk, health: Health, current: CurrentView) -> None:
        """Load the store; raises as `load` does."""
        self._disk = disk
        self._health = health
        self._current = current
        self.manifest: Manifest
        self.next_sequence: int
        self.dropped: tuple[DroppedTail, ...]
        self.load()

    def load(self) -> None:
        """Load the state that is durable now.

        Raises:
            FileNotFoundError: There is no store.
            UnknownFormatError: The directory has a newer format or is not a store.
            CorruptionError: The manifest is missing or can't be read.
            OSError: The disk fails.
        """
        if not self._disk.exists():
            raise store_not_found_error(self._disk)
        manifest, contents = self._read()
        self.manifest = manifest
        self.next_sequence = contents.log.next_sequence
        self.dropped = tuple(contents.log.dropped)
        self._health.lost = tuple(contents.lost)
        self._current.load(ReadView(contents.memtable, {}, tuple(contents.runs)))

    def _read(self) -> tuple[Manifest, Contents]:
        attempts_left = _MAX_READ_ATTEMPTS
        while True:
            attempts_left -= 1
            durable = decode_durable_note(self._disk.read_note())
            manifest = read_manifest(self._disk)
            if manifest is None:
                raise store_not_found_error(self._disk)
            contents = read_contents(self._disk, manifest, durable)
            # If files are missing because the writer has removed them, there is a newer manifest.
            if not contents.lost or not attempts_left or read_manifest(self._disk) == manifest:
                break
        if durable is None:
            sync_log(self._disk, manifest)  # Records that reads return must survive a power loss.
        return manifest, contents


def store_not_found_error(disk: Disk) -> FileNotFoundError:
    """Return the error for a directory without a store."""
    return FileNotFoundError(errno.ENOENT, "no store", str(getattr(disk, "path", "")))
