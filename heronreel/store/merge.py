"""Merges sorted sources of records into one sorted sequence."""

from __future__ import annotations

import heapq
from collections.abc import Iterator

from heronreel.store.sstable_format import Record


def merge_records(newest_first: list[Iterator[Record]]) -> Iterator[Record]:
    """Yield the records of sorted sources in key order, each key once and with its newest value."""
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
