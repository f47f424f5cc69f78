"""The compaction policy decides which sorted runs are merged, and when.  It is a pure function of sizes.

Runs are ordered by the log, so only adjacent runs may be merged, and each merge includes the newest run.  A
run is included when the newer runs together are at least as large as the run itself.  Rewritten records thus
go into a run of about twice the size, and a record is rewritten about log2(store / memtable) times.  The runs
after the oldest one are smaller than it together, so at most about half of the stored data is obsolete.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

MIN_SMALL_RUNS = 4  # Small runs are merged only when there are at least this many.
MIN_RUNS = 2


@dataclass(frozen=True, slots=True)
class RunWeight:
    """The properties of one run that the policy considers."""

    size: int  # In bytes.
    entries: int  # The deletions are included.
    deletions: int


def oldest_run_to_compact(runs: Sequence[RunWeight], small: int) -> int | None:
    """Return the index of the oldest run to merge with all newer ones, or None if no compaction is due.

    A deletion counts as much as the record that it hides, because a few bytes of deletions can make a whole
    old run obsolete.

    Args:
        runs: The runs from the oldest to the newest.
        small: Runs below this size in bytes are merged only when there are `MIN_SMALL_RUNS` of them. Merging
            each pair of small runs would rewrite new records far too often.
    """
    newer_size = newer_deletions = 0
    oldest_due: int | None = None
    for index in range(len(runs) - 1, -1, -1):
        run = runs[index]
        merged_runs = len(runs) - index
        enough_runs = merged_runs >= MIN_SMALL_RUNS or (merged_runs >= MIN_RUNS and run.size >= small)
        mostly_hidden = newer_deletions > 0 and run.entries <= 2 * newer_deletions
        if enough_runs and (run.size <= newer_size or mostly_hidden):
            oldest_due = index
        newer_size += run.size
        newer_deletions += run.deletions
    if oldest_due is None and len(runs) == 1 and runs[0].deletions:
        return 0  # No older run has a record that the deletions could hide.
    return oldest_due
