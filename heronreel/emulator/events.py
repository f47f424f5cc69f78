"""The event queue of virtual time.

Events at the same time run in the order in which they were scheduled, so two plays of one seed are alike,
also where times tie.  Callbacks and not processes: `docs/emulator-design.md` compares both by figures.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

ScheduledEvent = tuple[float, int, Callable[..., object], tuple[Any, ...]]


class EventQueue:
    """Scheduled callbacks and the current time, ms since the start of the rehearsal."""

    __slots__ = ("now", "pending", "processed", "scheduled")

    def __init__(self) -> None:
        self.now = 0.0
        self.pending: list[ScheduledEvent] = []
        self.scheduled = 0  # so far; breaks ties
        self.processed = 0

    def schedule(self, when: float, callback: Callable[..., object], *args: Any) -> None:
        """Run `callback(*args)` at `when`, or now if that has passed."""
        self.scheduled += 1
        heappush(self.pending, (when if when > self.now else self.now, self.scheduled, callback, args))

    def run_until(self, until: float) -> None:
        """Run everything due up to and at `until`, and advance the time to it."""
        pending = self.pending
        while pending and pending[0][0] <= until:
            self.now, _, callback, args = heappop(pending)
            self.processed += 1
            callback(*args)
        self.now = max(self.now, until)
