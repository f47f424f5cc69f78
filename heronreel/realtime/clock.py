"""The emulator's event queue on the wall clock, stretched: `scale` real ms for each ms of the rehearsal."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from heapq import heappop
from typing import Any

from heronreel.emulator.events import EventQueue

MS_PER_S = 1000.0
NOT_SET = float("inf")


class WallClockEventQueue(EventQueue):
    """Runs events when they are due.  Callbacks from sockets call `update` before they read `now`."""

    def __init__(self, loop: asyncio.AbstractEventLoop, scale: float) -> None:
        super().__init__()
        self.loop, self.scale = loop, scale
        self.max_lateness_ms = 0.0  # that an event was run after its time
        self._started_at = NOT_SET  # of the loop's clock, s
        self._handle: asyncio.TimerHandle | None = None
        self._armed_for = NOT_SET
        self._running = False

    def start(self) -> None:
        """Let the time run from 0."""
        self._started_at = self.loop.time()
        self._arm()

    def update(self) -> float:
        """Bring `now` up to the wall clock, and return it."""
        if self._started_at != NOT_SET:
            elapsed_ms = (self.loop.time() - self._started_at) * MS_PER_S / self.scale
            self.now = max(self.now, elapsed_ms)
        return self.now

    def schedule(self, when: float, callback: Callable[..., object], *args: Any) -> None:
        """Run `callback(*args)` at `when`, or as soon as possible if that has passed."""
        super().schedule(when, callback, *args)
        if not self._running:
            self._arm()

    def _arm(self) -> None:
        if not self.pending or self._started_at == NOT_SET:
            return
        first = self.pending[0][0]
        if self._handle is not None and self._armed_for <= first:
            return
        if self._handle is not None:
            self._handle.cancel()
        self._armed_for = first
        self._handle = self.loop.call_at(self._started_at + first * self.scale / MS_PER_S, self._run_due)

    def _run_due(self) -> None:
        self._handle, self._armed_for, self._running = None, NOT_SET, True
        try:
            while self.pending and self.pending[0][0] <= self.update():
                when, _, callback, args = heappop(self.pending)
                self.max_lateness_ms = max(self.max_lateness_ms, self.now - when)
                self.processed += 1
                callback(*args)
        finally:
            self._running = False
            self._arm()

    def stop(self) -> None:
        """Drop what is scheduled and stop the time."""
        self.pending.clear()
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
        self._started_at = NOT_SET
