"""The store: its public interface.  `docs/store-design.md` says why it is built as it is."""

from __future__ import annotations

import os
from collections.abc import Iterator
from types import TracebackType

from heronreel.store.batch import Batch
from heronreel.store.counters import Counters
from heronreel.store.current_view import CurrentView
from heronreel.store.disk import Disk, as_disk
from heronreel.store.errors import CorruptionError, Lost, ReadOnlyError, StoreClosedError
from heronreel.store.health import Health
from heronreel.store.limits import Limits, validated_key, validated_value
from heronreel.store.log_reader import DroppedTail
from heronreel.store.operations import Operation
from heronreel.store.progress import Progress
from heronreel.store.reader import StoreReader
from heronreel.store.snapshot import Snapshot
from heronreel.store.sstable import SortedRun
from heronreel.store.stat import RunStat, StoreStat
from heronreel.store.writer import StoreWriter

_UNLIMITED = 1 << 62


class Store:
    """An embedded key-value store of bytes by bytes.

    One process writes, any number read; within a process it may be used from many threads, whose writes
    share fsyncs. A write is durable when its call has returned.  One that raised `WriteFailedError` is not in
    the store, with one exception: if the process then ends before another write succeeds, recovery may find
    it, complete.

    Attributes:
        read_only: Whether it was opened for reading.
        limits: Its sizes.
        counters: What it did since it was opened.
    """

    def __init__(self, disk: Disk, read_only: bool, limits: Limits) -> None:
        """Use `Store.open`."""
        self.read_only = read_only
        self.limits = limits
        self.counters = Counters()
        self._process = os.getpid()
        self._closed = False
        self._health = Health()
        self._current = CurrentView()
        self._reader: StoreReader | None = None
        self._writer: StoreWriter | None = None
        if read_only:
            self._reader = StoreReader(disk, self._health, self._current)
        else:
            self._writer = StoreWriter(disk, limits, self._health, self.counters, self._current)

    # -- opening and closing

    @classmethod
    def open(
        cls,
        path: str | os.PathLike[str] | Disk,
        *,
        read_only: bool = False,
        limits: Limits | None = None,
    ) -> Store:
        """Open the store in the directory `path`, or create one there.

        Args:
            path: The directory, or a disk in place of the file system.
            read_only: Open it for reading, beside a live writer if there is one. A store with lost records
                opens too: `lost` says what is missing, and older records may show in its place.
            limits: Sizes other than the defaults.

        Raises:
            StoreLockedError: Another writer lives.
            UnknownFormatError: The directory has a newer format or is not a store; it is left untouched.
            CorruptionError: Acknowledged records are lost, and it was to be opened for writing; or the
                manifest can't be read.
            FileNotFoundError: There is no store, and it was to be opened for reading.
            OSError: The disk fails.
        """
        return cls(as_disk(path), read_only, limits or Limits())

    def refresh(self) -> None:
        """Of a store opened for reading: load what the writer has made durable since.

        Raises:
            ReadOnlyError: The store was opened for writing.
            StoreClosedError: The store is closed.
        """
        self._check_open()
        if self._reader is None:
            raise ReadOnlyError("refresh: only a store opened for reading has to")
        self._reader.load()

    def close(self) -> None:
        """Finish all writes, flush what is in memory, and release the lock; closing twice does nothing."""
        if self._closed or os.getpid() != self._process:
            return
        self._closed = True
        if self._writer is not None:
            self._writer.close()

    def __enter__(self) -> Store:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()

    # -- state

    @property
    def lost(self) -> tuple[Lost, ...]:
        """What can't be read, as far as it is known.  A store with any takes no writes."""
        return self._health.lost

    @property
    def dropped(self) -> tuple[DroppedTail, ...]:
        """What the last opening left out: ends of the log that were never acknowledged."""
        return self._side.dropped

    @property
    def failure(self) -> str | None:
        """Why writes are rejected until the store is reopened, if they are."""
        return self._health.failure

    @property
    def maintenance_error(self) -> OSError | None:
        """Why the last step of a flush or compaction failed; later writes retry it."""
        return self._health.maintenance_error

    def check_writable(self) -> None:
        """Raise what a write would raise before it is tried.

        Raises:
            StoreClosedError: The store is closed, or was opened before a fork.
            ReadOnlyError: The store was opened for reading.
            WriteFailedError: An earlier fsync failed.
            CorruptionError: Damage was found.
        """
        self._writable()

    # -- reading

    def get(self, key: bytes) -> bytes | None:
        """The value of `key`, or None.

        Raises:
            InvalidArgumentError: The key is outside its limits.
            CorruptionError: The block that should have the key can't be read.
            StoreClosedError: The store is closed.
        """
        self._check_open()
        key = validated_key(key)
        try:
            return self._current.view.get(key)
        except CorruptionError as corruption:
            self._on_corruption(corruption)
            raise

    def find_in_memory(self, key: bytes) -> tuple[bool, bytes | None]:
        """Whether a record of the key is in memory, so that no disk has to be read, and its value or None.

        Raises:
            StoreClosedError: There is one, and the store is closed.
        """
        view = self._current.view
        for table in (view.memtable, view.frozen):
            if key in table:
                self._check_open()
                return True, table[key]
        return False, None

    def snapshot(self) -> Snapshot:
        """The store as it is now, whatever is written later."""
        self._check_open()
        return Snapshot(self._current.share(), self._on_corruption)

    def scan(self, prefix: bytes = b"") -> Iterator[tuple[bytes, bytes]]:
        """Keys that begin with `prefix` and their values in the order of keys, as of this call."""
        return self.snapshot().scan(prefix)

    # -- writing

    def put(self, key: bytes, value: bytes) -> None:
        """Set `key` (1 to 4,096 bytes) to `value` (up to 16 MiB), durably.

        Raises:
            InvalidArgumentError: Key or value is outside its limits.
            WriteFailedError: The disk rejects the write.
            CorruptionError: Damage was found.
            ReadOnlyError: The store was opened for reading.
            StoreClosedError: The store is closed.
        """
        self.write([[(validated_key(key), validated_value(value))]])

    def delete(self, key: bytes) -> None:
        """Delete `key`, durably; raises as `put` does.  An absent key is no error."""
        self.write([[(validated_key(key), None)]])

    def batch(self) -> Batch:
        """Up to 64 MiB of writes that are all in the store or none of them.

        Use it as `with store.batch() as batch: ...`.
        """
        self._check_open()
        return Batch(self.write)

    def write(self, batches: list[list[Operation]]) -> None:
        """Write batches that share an fsync, each completely or not at all; raises as `put` does.

        Keys and values are not validated.
        """
        self._writable().write(batches)

    def sync(self) -> None:
        """Mark the end of the log: damage before it can be told from a write that a crash cut off.

        Without a mark that is so for all but the last group, whose loss would pass for a torn write.  Raises
        as `put` does.
        """
        self._writable().sync()

    # -- maintenance

    def maintain(self, budget: int = _UNLIMITED) -> int:
        """Flush and compact what is due, up to `budget` bytes; returns the bytes done, 0 if nothing was due.

        Writes do this by themselves, in proportion to what they write.  An owner with idle time may do more.
        """
        return self._writable().maintain(budget)

    def compact(self, progress: Progress | None = None) -> None:
        """Rewrite the store as one run without what is out of date, while writes by other threads go on.

        Args:
            progress: Called with the bytes done and the bytes to do.

        Raises:
            WriteFailedError: The disk fails; the store is as before then.
        """
        self._writable().compact(progress)

    def stat(self) -> StoreStat:
        """Sizes and counts, all in bytes or numbers; `heronreel store stat --json` prints it."""
        self._check_open()
        view, side = self._current.view, self._side
        tables = [table for run in view.runs for table in run.tables]
        return {
            "store": side.manifest.store,
            "generation": side.manifest.generation,
            "next_sequence": side.next_sequence,
            "runs": [_run_stat(run) for run in view.runs],
            "run_bytes": sum(run.info.size for run in view.runs),
            "log_bytes": side.log_bytes,
            "memory_entries": len(view.memtable) + len(view.frozen),
            "memory_bytes": self._current.memtable_bytes,
            "index_bytes": sum(table.index_bytes for table in tables),
            "indexes_made_anew": sum(table.index_rebuilt for table in tables),
            "lost": [str(lost) for lost in self.lost],
            "dropped": [str(dropped) for dropped in self.dropped],
            "failure": self.failure,
            "maintenance_error": str(self.maintenance_error) if self.maintenance_error else None,
            "since_opening": self.counters.as_json(),
        }

    # -- internals

    @property
    def _side(self) -> StoreReader | StoreWriter:
        side = self._writer or self._reader
        assert side
        return side

    def _check_open(self) -> None:
        if self._closed:
            raise StoreClosedError("the store is closed")
        if os.getpid() != self._process:
            raise StoreClosedError("the store was opened by another process, before a fork")

    def _writable(self) -> StoreWriter:
        self._check_open()
        if self._writer is None:
            raise ReadOnlyError("the store was opened for reading")
        self._health.check()
        return self._writer

    def _on_corruption(self, corruption: CorruptionError) -> None:
        """Damage was found while reading: writes end, and the manifest remembers it for the next opening."""
        unknown = self._health.add_lost(corruption.lost)
        if unknown and self._writer is not None and self._health.failure is None:
            self._writer.record_damage()


def _run_stat(run: SortedRun) -> RunStat:
    return {
        "groups": [run.info.first_sequence, run.info.last_sequence],
        "parts": len(run.info.parts),
        "bytes": run.info.size,
        "entries": run.info.entries,
        "deletions": run.info.deletions,
    }
