"""The public interface of the store.  `docs/store-design.md` gives the reasons behind the design."""

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
    """An embedded key-value store whose keys and values are bytes.

    One process writes, and any number of processes read.  Within a process, many threads may use the store;
    their concurrent writes share fsyncs.  A write is durable when its call has returned.  A write that raised
    `WriteFailedError` is not applied, with one exception: if the process then ends before another write
    succeeds, recovery may apply it, completely.

    Attributes:
        read_only: Whether the store was opened for reading.
        limits: Its limits and sizes.
        counters: Its activity since it was opened.
    """

    def __init__(self, disk: Disk, read_only: bool, limits: Limits) -> None:
        """Open the store; callers use `Store.open`."""
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
            path: The directory, or a `Disk` to use instead of the file system.
            read_only: Open the store for reading, which is possible while another process writes to it. A
                store with lost records can be opened too: `lost` lists them, and reads may return older
                values of their keys.
            limits: Limits other than the defaults.

        Raises:
            StoreLockedError: Another writer has the store open.
            UnknownFormatError: The directory has a newer format or is not a store; it is not changed.
            CorruptionError: Acknowledged records are lost and `read_only` is False, or the manifest can't be
                read.
            FileNotFoundError: There is no store and `read_only` is True.
            OSError: The disk fails.
        """
        return cls(as_disk(path), read_only, limits or Limits())

    def refresh(self) -> None:
        """Load the records that the writer has made durable since; only for a store opened for reading.

        Raises:
            ReadOnlyError: The store was opened for writing.
            StoreClosedError: The store is closed.
        """
        self._check_open()
        if self._reader is None:
            raise ReadOnlyError("refresh: the store was not opened for reading")
        self._reader.load()

    def close(self) -> None:
        """Finish all writes, flush the memtable, and release the lock; a second call has no effect."""
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
        """The known unreadable data.  A store with any losses rejects writes."""
        return self._health.lost

    @property
    def dropped(self) -> tuple[DroppedTail, ...]:
        """The ends of the log that the last opening dropped because they were never acknowledged."""
        return self._implementation.dropped

    @property
    def failure(self) -> str | None:
        """The reason why writes are rejected until the store is reopened, or None."""
        return self._health.failure

    @property
    def maintenance_error(self) -> OSError | None:
        """The error of the last step of a flush or compaction, or None; later writes retry it."""
        return self._health.maintenance_error

    def check_writable(self) -> None:
        """Raise the error that a write would raise before it is attempted.

        Raises:
            StoreClosedError: The store is closed, or was opened before a fork.
            ReadOnlyError: The store was opened for reading.
            WriteFailedError: An earlier fsync failed.
            CorruptionError: Damage was found.
        """
        self._writable()

    # -- reading

    def get(self, key: bytes) -> bytes | None:
        """Return the value of `key`, or None if there is none.

        Raises:
            InvalidArgumentError: The key is outside its limits.
            CorruptionError: The block that should contain the key can't be read.
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
        """Look the key up in memory only, without reading the disk.

        Returns:
            Whether a record of the key is in memory, and its value, or None if the key is deleted.

        Raises:
            StoreClosedError: There is such a record, and the store is closed.
        """
        view = self._current.view
        for table in (view.memtable, view.frozen):
            if key in table:
                self._check_open()
                return True, table[key]
        return False, None

    def snapshot(self) -> Snapshot:
        """Return the current state of the store, which later writes do not change."""
        self._check_open()
        return Snapshot(self._current.share(), self._on_corruption)

    def scan(self, prefix: bytes = b"") -> Iterator[tuple[bytes, bytes]]:
        """Return the keys that begin with `prefix` and their values in key order, as of this call."""
        return self.snapshot().scan(prefix)

    # -- writing

    def put(self, key: bytes, value: bytes) -> None:
        """Set `key` (1 to 4,096 bytes) to `value` (up to 16 MiB), durably.

        Raises:
            InvalidArgumentError: The key or the value is outside its limits.
            WriteFailedError: The disk rejects the write.
            CorruptionError: Damage was found.
            ReadOnlyError: The store was opened for reading.
            StoreClosedError: The store is closed.
        """
        self.write([[(validated_key(key), validated_value(value))]])

    def delete(self, key: bytes) -> None:
        """Delete `key`, durably; raises as `put` does.  Deleting an absent key is not an error."""
        self.write([[(validated_key(key), None)]])

    def batch(self) -> Batch:
        """Create a batch of up to 64 MiB of writes that are applied atomically.

        Use it as `with store.batch() as batch: ...`.
        """
        self._check_open()
        return Batch(self.write)

    def write(self, batches: list[list[Operation]]) -> None:
        """Write batches that share an fsync, each of them atomically; raises as `put` does.

        Keys and values are not validated.
        """
        self._writable().write(batches)

    def sync(self) -> None:
        """Write a mark to the end of the log, which distinguishes damage before it from a torn write.

        Without a mark, damage to the last group would be taken for a torn write; all earlier groups are
        protected by the groups after them.  Raises as `put` does.
        """
        self._writable().sync()

    # -- maintenance

    def maintain(self, budget: int = _UNLIMITED) -> int:
        """Run due flushes and compactions, up to `budget` bytes; return the bytes processed, or 0.

        Writes run maintenance in proportion to their size.  An application may call this in idle time.
        """
        return self._writable().maintain(budget)

    def compact(self, progress: Progress | None = None) -> None:
        """Rewrite the store as one run without obsolete records; other threads may write meanwhile.

        Args:
            progress: Called with the bytes done so far and the total bytes.

        Raises:
            WriteFailedError: The disk failed; the store is unchanged.
        """
        self._writable().compact(progress)

    def stat(self) -> StoreStat:
        """Return sizes in bytes and counts; `heronreel store stat --json` prints them."""
        self._check_open()
        view, implementation = self._current.view, self._implementation
        tables = [table for run in view.runs for table in run.tables]
        return {
            "store": implementation.manifest.store,
            "generation": implementation.manifest.generation,
            "next_sequence": implementation.next_sequence,
            "runs": [_run_stat(run) for run in view.runs],
            "run_bytes": sum(run.info.size for run in view.runs),
            "log_bytes": implementation.log_bytes,
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
    def _implementation(self) -> StoreReader | StoreWriter:
        implementation = self._writer or self._reader
        assert implementation
        return implementation

    def _check_open(self) -> None:
        if self._closed:
            raise StoreClosedError("the store is closed")
        if os.getpid() != self._process:
            raise StoreClosedError("the store was opened by the parent process before a fork")

    def _writable(self) -> StoreWriter:
        """Return the writer; raises as `check_writable` does."""
        self._check_open()
        if self._writer is None:
            raise ReadOnlyError("the store was opened for reading")
        self._health.check()
        return self._writer

    def _on_corruption(self, corruption: CorruptionError) -> None:
        """Reject writes after a read found damage, and record it in the manifest for the next opening."""
        newly_found = self._health.add_lost(corruption.lost)
        if newly_found and self._writer is not None and self._health.failure is None:
            self._writer.record_damage()


def _run_stat(run: SortedRun) -> RunStat:
    return {
        "groups": [run.info.first_sequence, run.info.last_sequence],
        "parts": len(run.info.parts),
        "bytes": run.info.size,
        "entries": run.info.entries,
        "deletions": run.info.deletions,
    }
