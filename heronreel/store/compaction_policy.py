"""Which runs are merged, and when.  Pure: sizes in, a stretch of runs out.

Runs lie in the order of the log, so only neighbours may be merged, and always up to the newest.  A run is
taken into a merge when what came after it weighs as much as itself.  So whatever is rewritten lands in a
run about twice as heavy, and a record is rewritten about log2(store / memory table) times; and what came
after the oldest run is lighter than it, so that at most about half of the store's runs is out of date.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

FEW = 4


@dataclass(frozen=True, slots=True)
class RunWeight:
    """Of one run."""

    size: int  # bytes
    entries: int
    deletions: int  # among the entries


def oldest_run_to_compact(runs: Sequence[RunWeight], small: int) -> int | None:
    """The place of the oldest run to merge with all newer ones, or None if nothing is due.

    `runs` goes from the oldest to the newest.  Runs below `small` bytes wait until there are four: merging
    two of them whenever they come would rewrite what is new far too often.  A deletion weighs like the
    record that it hides, for a few bytes of it can make the whole of an old run garbage.
    """
    size = deletions = 0
    due: int | None = None
    for place in range(len(runs) - 1, -1, -1):
        run = runs[place]
        newer = len(runs) - place
        enough = newer >= FEW or (newer >= 2 and run.size >= small)
        outweighed = run.size <= size or (deletions > 0 and run.entries <= 2 * deletions)
        if enough and outweighed:
            due = place
        size += run.size
        deletions += run.deletions
    if due is None and len(runs) == 1 and runs[0].deletions:
        return 0  # nothing older is there for them to hide
    return due
