"""The compaction policy: which sorted runs are merged, and when.  Pure: sizes in, a stretch of runs out.

Runs are in the order of the log, so only neighbours may be merged, and always up to the newest.  A run is
taken into a merge when the runs after it weigh as much as itself.  So whatever is rewritten lands in a run
about twice as heavy, and a record is rewritten about log2(store / memtable) times; and what comes after the
oldest run is lighter than it, so that at most about half of the store's runs is out of date.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

MIN_SMALL_RUNS = 4  # small runs wait until there are so many of them
MIN_RUNS = 2  # runs that a compaction merges at least


@dataclass(frozen=True, slots=True)
class RunWeight:
    """What the policy knows of one run."""

    size: int  # bytes
    entries: int
    deletions: int  # among the entries


def oldest_run_to_compact(runs: Sequence[RunWeight], small: int) -> int | None:
    """The index of the oldest run to merge with all newer ones, or None if no compaction is due.

    A deletion weighs as much as the record that it hides, since a few bytes of deletions can make the whole
    of an old run garbage.

    Args:
        runs: From the oldest to the newest.
        small: Runs below this many bytes wait until there are `MIN_SMALL_RUNS` of them: merging two of them
            whenever they appear would rewrite new records far too often.
    """
    newer_size = newer_deletions = 0
    due: int | None = None
    for index in range(len(runs) - 1, -1, -1):
        run = runs[index]
        merged = len(runs) - index
        enough = merged >= MIN_SMALL_RUNS or (merged >= MIN_RUNS and run.size >= small)
        hidden = newer_deletions > 0 and run.entries <= 2 * newer_deletions
        if enough and (run.size <= newer_size or hidden):
            due = index
        newer_size += run.size
        newer_deletions += run.deletions
    if due is None and len(runs) == 1 and runs[0].deletions:
        return 0  # no older run has a record for them to hide
    return due
