"""The emulator's event queue driven by the wall clock.

Time is stretched by `scale`, the number of real milliseconds for each millisecond of the rehearsal.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from heapq import heappop
from typing import Any

from heronreel.emulator.events import EventQueue

MS_PER_S = 1000.0
NOT_SET = float("inf")


class WallClockEventQueue(EventQueue):
    """Runs events when they are due by the wall clock.

    Socket callbacks must call `update` before they read `now`, because `now` does not advance by itself.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, scale: float) -> None:
        super().__init__()
        self.loop, self.scale = loop, scale
        # The longest delay between the time for which an event was scheduled and the time when it ran.
        self.max_lateness_ms = 0.0
        # The time of the event loop's clock at the rehearsal's time 0, in seconds.
        self._started_at_s = NOT_SET
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_ms = NOT_SET
        self._running = False

    def start(self) -> None:
        """Start the clock at time 0 of the rehearsal."""
        self._started_at_s = self.loop.time()
        self._set_timer()

    def update(self) -> float:
        """Advance `now` to the wall clock's time and return it.  `now` never decreases."""
        if self._started_at_s != NOT_SET:
            elapsed_ms = (self.loop.time() - self._started_at_s) * MS_PER_S / self.scale
            self.now = max(self.now, elapsed_ms)
        return self.now

    def schedule(self, when: float, callback: Callable[..., object], *args: Any) -> None:
        """Run `callback(*args)` at `when`, or as soon as possible if `when` has passed."""
        super().schedule(when, callback, *args)
        if not self._running:
            self._set_timer()

    def _set_timer(self) -> None:
        if not self.pending or self._started_at_s == NOT_SET:
            return
        next_due_ms = self.pending[0][0]
        if self._timer is not None and self._timer_due_ms <= next_due_ms:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_due_ms = next_due_ms
        self._timer = self.loop.call_at(
            self._started_at_s + next_due_ms * self.scale / MS_PER_S, self._run_due
        )

    def _run_due(self) -> None:
        self._timer, self._timer_due_ms, self._running = None, NOT_SET, True
        try:
            while self.pending and self.pending[0][0] <= self.update():
                when, _, callback, args = heappop(self.pending)
                self.max_lateness_ms = max(self.max_lateness_ms, self.now - when)
                self.processed += 1
                callback(*args)
        finally:
            self._running = False
            self._set_timer()

    def stop(self) -> None:
        """Discard all scheduled events and stop the clock."""
        self.pending.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._started_at_s = NOT_SET
