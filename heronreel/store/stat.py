"""The result types of `Store.stat`, whose keys `heronreel store stat --json` prints."""

from __future__ import annotations

from typing import TypedDict


class RunStat(TypedDict):
    """Sizes and counts of a sorted run."""

    groups: list[int]  # The sequences of the first and the last group.
    parts: int
    bytes: int
    entries: int
    deletions: int


class StoreStat(TypedDict):
    """Sizes in bytes and counts of a store."""

    store: str
    generation: int
    next_sequence: int
    runs: list[RunStat]
    run_bytes: int
    log_bytes: int
    memory_entries: int
    memory_bytes: int
    index_bytes: int
    indexes_made_anew: int
    lost: list[str]
    dropped: list[str]
    failure: str | None
    maintenance_error: str | None
    since_opening: dict[str, int | float]
