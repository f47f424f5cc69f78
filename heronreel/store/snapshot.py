"""Read views of the store, and snapshots."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

import xxhash

from heronreel.store.errors import CorruptionError
from heronreel.store.limits import validated_key
from heronreel.store.merge import merge_records
from heronreel.store.operations import Memtable
from heronreel.store.sstable import SortedRun
from heronreel.store.sstable_format import Record

CorruptionHandler = Callable[[CorruptionError], None]
"""Called with the error when a read finds damage."""


@dataclass(frozen=True, slots=True)
class ReadView:
    """The data that a read sees.

    It is immutable, except that writes add records to `memtable` until a snapshot shares the view.

    Attributes:
        memtable: The records written since the last flush began.
        frozen: The memtable that is being flushed, or an empty one.
        runs: The sorted runs, from the oldest to the newest.
    """

    memtable: Memtable
    frozen: Memtable
    runs: tuple[SortedRun, ...]

    def get(self, key: bytes) -> bytes | None:
        """Return the value of `key`, or None if there is none.

        Raises:
            CorruptionError: The block that should contain the key can't be read.
        """
        for table in (self.memtable, self.frozen):
            if key in table:
                return table[key]
        key_hash = xxhash.xxh3_64_intdigest(key)
        for run in reversed(self.runs):
            found, value = run.get(key, key_hash)
            if found:
                return value
        return None

    def scan(self, prefix: bytes) -> Iterator[tuple[bytes, bytes]]:
        """Yield the keys that begin with `prefix` and their values, in key order; raises as `get` does."""
        sources = [_sorted_records(table, prefix) for table in (self.memtable, self.frozen) if table]
        sources += [run.records(prefix) for run in reversed(self.runs)]
        for key, value in merge_records(sources):
            if not key.startswith(prefix):
                return
            if value is not None:
                yield key, value


class Snapshot:
    """The state of the store at one point in time.

    Its files stay readable, and keep their disk space, until the snapshot is garbage-collected.
    """

    def __init__(self, view: ReadView, on_corruption: CorruptionHandler) -> None:
        self._view = view
        self._on_corruption = on_corruption

    def get(self, key: bytes) -> bytes | None:
        """Return the value of `key`, or None if there is none.

        Raises:
            InvalidArgumentError: The key is outside its limits.
            CorruptionError: The block that should contain the key can't be read.
        """
        key = validated_key(key)
        try:
            return self._view.get(key)
        except CorruptionError as corruption:
            self._on_corruption(corruption)
            raise

    def scan(self, prefix: bytes = b"") -> Iterator[tuple[bytes, bytes]]:
        """Yield the keys that begin with `prefix` and their values, in key order.

        Raises:
            CorruptionError: A block can't be read; the records yielded before it are complete.
        """
        try:
            yield from self._view.scan(prefix)
        except CorruptionError as corruption:
            self._on_corruption(corruption)
            raise


def _sorted_records(table: Memtable, prefix: bytes) -> Iterator[Record]:
    keys = sorted([key for key in table if key.startswith(prefix)] if prefix else table)
    return iter([(key, table[key]) for key in keys])
