"""What reads look at: a table in memory, a frozen one and runs, and how they become one."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from heapq import merge

import xxhash

from heronreel.store.errors import CorruptionError, InvalidArgumentError
from heronreel.store.sstable import Record, SortedRun

MAX_KEY_BYTES = 4096  # bytes; a key has at least one
MAX_VALUE_BYTES = 16 << 20  # bytes


@dataclass(frozen=True, slots=True)
class ReadView:
    """What reads look at: never changed but for `memory`, which grows in place until somebody holds it."""

    memory: dict[bytes, bytes | None]
    frozen: dict[bytes, bytes | None]
    runs: tuple[SortedRun, ...]


class Snapshot:
    """The store as it was at one moment.  Its files stay readable, and on the disk, until it is dropped."""

    def __init__(self, view: ReadView, met: Callable[[CorruptionError], None]) -> None:
        self._view = view
        self._met = met

    def get(self, key: bytes) -> bytes | None:
        """The value of `key`, or None.  CorruptionError if the block that should have it can't be read."""
        return look_up(self._view, validated_key(key), self._met)

    def scan(self, prefix: bytes = b"") -> Iterator[tuple[bytes, bytes]]:
        """Keys that begin with `prefix` and their values, in the order of the keys.

        CorruptionError where a block can't be read: what came before it is whole.
        """
        view = self._view
        sources = [_sorted_part(table, prefix) for table in (view.memory, view.frozen) if table]
        sources += [run.records(prefix) for run in reversed(view.runs)]
        try:
            for key, value in merge_records(sources):
                if not key.startswith(prefix):
                    return
                if value is not None:
                    yield key, value
        except CorruptionError as damaged:
            self._met(damaged)
            raise


def validated_key(key: bytes) -> bytes:
    if not isinstance(key, bytes):
        raise InvalidArgumentError(f"key: {type(key).__name__}, and it should be bytes")
    if not 1 <= len(key) <= MAX_KEY_BYTES:
        raise InvalidArgumentError(f"key: {len(key)} bytes, and it should have 1 to {MAX_KEY_BYTES}")
    return key


def validated_value(value: bytes) -> bytes:
    if not isinstance(value, bytes):
        raise InvalidArgumentError(f"value: {type(value).__name__}, and it should be bytes")
    if len(value) > MAX_VALUE_BYTES:
        raise InvalidArgumentError(f"value: {len(value)} bytes, and it should have at most {MAX_VALUE_BYTES}")
    return value


def look_up(view: ReadView, key: bytes, met: Callable[[CorruptionError], None]) -> bytes | None:
    if key in view.memory:
        return view.memory[key]
    if key in view.frozen:
        return view.frozen[key]
    hashed = xxhash.xxh3_64_intdigest(key)
    try:
        for run in reversed(view.runs):
            found, value = run.get(key, hashed)
            if found:
                return value
    except CorruptionError as damaged:
        met(damaged)
        raise
    return None


def _sorted_part(table: dict[bytes, bytes | None], prefix: bytes) -> Iterator[Record]:
    keys = sorted([key for key in table if key.startswith(prefix)] if prefix else table)
    return iter([(key, table[key]) for key in keys])


def merge_records(newest_first: list[Iterator[Record]]) -> Iterator[Record]:
    """The records of sorted sources in one order, each key once with the newest's value."""

    def ranked(records: Iterator[Record], rank: int) -> Iterator[tuple[bytes, int, bytes | None]]:
        for key, value in records:
            yield key, rank, value

    if len(newest_first) == 1:
        yield from newest_first[0]
        return
    former: bytes | None = None
    for key, _, value in merge(*[ranked(records, rank) for rank, records in enumerate(newest_first)]):
        if key != former:
            former = key
            yield key, value
