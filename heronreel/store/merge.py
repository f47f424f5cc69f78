"""Merging sorted sources of records into one."""

from __future__ import annotations

import heapq
from collections.abc import Iterator

from heronreel.store.sstable_format import Record


def merge_records(newest_first: list[Iterator[Record]]) -> Iterator[Record]:
    """The records of sorted sources in the order of keys, each key once with the newest value."""
    if len(newest_first) == 1:
        yield from newest_first[0]
        return
    ranked = [_ranked(records, rank) for rank, records in enumerate(newest_first)]
    previous: bytes | None = None
    for key, _, value in heapq.merge(*ranked):
        if key != previous:
            previous = key
            yield key, value


def _ranked(records: Iterator[Record], rank: int) -> Iterator[tuple[bytes, int, bytes | None]]:
    for key, value in records:
        yield key, rank, value
