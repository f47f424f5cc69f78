"""The reading side of a store: what a directory holds, beside a live writer or without one."""

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

_MAX_READS = 20  # of a directory whose writer removes files meanwhile


class StoreReader:
    """Loads what a writer has made durable."""

    log_bytes = 0  # a reader appends nothing

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
        """Load what is durable now.

        Raises:
            FileNotFoundError: There is no store.
            UnknownFormatError: The directory has a newer format or is not a store.
            CorruptionError: The manifest is missing or can't be read.
            OSError: The disk fails.
        """
        if not self._disk.exists():
            raise no_store(self._disk)
        manifest, found = self._read()
        self.manifest = manifest
        self.next_sequence = found.log.next_sequence
        self.dropped = tuple(found.log.dropped)
        self._health.lost = tuple(found.lost)
        self._current.load(ReadView(found.memtable, {}, tuple(found.runs)))

    def _read(self) -> tuple[Manifest, Contents]:
        reads_left = _MAX_READS
        while True:
            reads_left -= 1
            durable = decode_durable_note(self._disk.read_note())
            manifest = read_manifest(self._disk)
            if manifest is None:
                raise no_store(self._disk)
            found = read_contents(self._disk, manifest, durable)
            # the writer may have removed what was about to be opened: then there is a newer manifest
            if not found.lost or not reads_left or read_manifest(self._disk) == manifest:
                break
        if durable is None:
            sync_log(self._disk, manifest)  # a loss of power must not take back what is shown
        return manifest, found


def no_store(disk: Disk) -> FileNotFoundError:
    """The error of a directory without a store."""
    return FileNotFoundError(errno.ENOENT, "no store", str(getattr(disk, "path", "")))
