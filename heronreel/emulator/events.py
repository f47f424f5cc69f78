"""The event queue of virtual time.

Events with the same time run in the order in which they were scheduled, so two runs with the same seed are
identical even where times tie.  Events are callbacks rather than coroutines or processes;
`docs/emulator-design.md` compares the cost of both.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

ScheduledEvent = tuple[float, int, Callable[..., object], tuple[Any, ...]]


class EventQueue:
    """Scheduled callbacks and the current virtual time, in ms since the start of the rehearsal."""

    __slots__ = ("now", "pending", "processed", "scheduled")

    def __init__(self) -> None:
        self.now = 0.0
        self.pending: list[ScheduledEvent] = []
        self.scheduled = 0  # number of events scheduled so far; breaks ties
        self.processed = 0

    def schedule(self, when: float, callback: Callable[..., object], *args: Any) -> None:
        """Schedule `callback(*args)` at `when`, or at the current time if `when` has passed."""
        self.scheduled += 1
        heappush(self.pending, (when if when > self.now else self.now, self.scheduled, callback, args))

    def run_until(self, until: float) -> None:
        """Run all events due up to and including `until`, and advance the time to it."""
        pending = self.pending
        while pending and pending[0][0] <= until:
            self.now, _, callback, args = heappop(pending)
            self.processed += 1
            callback(*args)
        self.now = max(self.now, until)
