"""Virtual time: what is due, in order.

Events at the same time happen in the order in which they were set, so two plays of one seed are alike, also
where times tie.  Callbacks and not processes: `docs/emulator-design.md` weighs both by figures.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

Due = tuple[float, int, Callable[..., object], tuple[Any, ...]]


class Events:
    """Times are ms since the start of the rehearsal."""

    __slots__ = ("count", "due", "now", "played")

    def __init__(self) -> None:
        self.now = 0.0
        self.due: list[Due] = []
        self.count = 0  # set so far; breaks ties
        self.played = 0

    def at(self, when: float, call: Callable[..., object], *args: Any) -> None:
        """Set one for `when`, or for now if that has passed."""
        self.count += 1
        heappush(self.due, (when if when > self.now else self.now, self.count, call, args))

    def run(self, until: float) -> None:
        """Play all that is due up to and at `until`, and stand there."""
        due = self.due
        while due and due[0][0] <= until:
            self.now, _, call, args = heappop(due)
            self.played += 1
            call(*args)
        self.now = max(self.now, until)
