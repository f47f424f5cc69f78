"""Reading: what a read sees, and snapshots of it."""

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


@dataclass(frozen=True, slots=True)
class ReadView:
    """What reads see: never changed but for `memtable`, which grows in place until a snapshot shares it.

    Attributes:
        memtable: What was written since the last flush began.
        frozen: The memtable that is being flushed, or empty.
        runs: The sorted runs, from the oldest to the newest.
    """

    memtable: Memtable
    frozen: Memtable
    runs: tuple[SortedRun, ...]

    def get(self, key: bytes) -> bytes | None:
        """The value of `key`, or None.

        Raises:
            CorruptionError: The block that should have the key can't be read.
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
        """Keys that begin with `prefix` and their values, in the order of keys; raises as `get` does."""
        sources = [_sorted_records(table, prefix) for table in (self.memtable, self.frozen) if table]
        sources += [run.records(prefix) for run in reversed(self.runs)]
        for key, value in merge_records(sources):
            if not key.startswith(prefix):
                return
            if value is not None:
                yield key, value


class Snapshot:
    """The store as it was at one moment.  Its files stay readable, and on the disk, until it is dropped."""

    def __init__(self, view: ReadView, on_corruption: CorruptionHandler) -> None:
        self._view = view
        self._on_corruption = on_corruption

    def get(self, key: bytes) -> bytes | None:
        """The value of `key`, or None.

        Raises:
            InvalidArgumentError: The key is outside its limits.
            CorruptionError: The block that should have the key can't be read.
        """
        key = validated_key(key)
        try:
            return self._view.get(key)
        except CorruptionError as corruption:
            self._on_corruption(corruption)
            raise

    def scan(self, prefix: bytes = b"") -> Iterator[tuple[bytes, bytes]]:
        """Keys that begin with `prefix` and their values, in the order of keys.

        Raises:
            CorruptionError: A block can't be read; what came before it is complete.
        """
        try:
            yield from self._view.scan(prefix)
        except CorruptionError as corruption:
            self._on_corruption(corruption)
            raise


def _sorted_records(table: Memtable, prefix: bytes) -> Iterator[Record]:
    keys = sorted([key for key in table if key.startswith(prefix)] if prefix else table)
    return iter([(key, table[key]) for key in keys])
