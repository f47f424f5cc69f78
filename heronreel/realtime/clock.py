"""The emulator's events on the wall's clock, stretched: `scale` real ms for each ms of the rehearsal."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from heapq import heappop
from typing import Any

from heronreel.emulator.events import Events


class WallEvents(Events):
    """Plays what is due when it is due.  Callbacks from sockets call `update` before they look at `now`."""

    def __init__(self, loop: asyncio.AbstractEventLoop, scale: float) -> None:
        super().__init__()
        self.loop, self.scale = loop, scale
        self.began = float("inf")  # until `begin`
        self.handle: asyncio.TimerHandle | None = None
        self.armed = float("inf")
        self.playing = False
        self.lateness = 0.0  # ms, the most that an event was played after its time

    def begin(self) -> None:
        self.began = self.loop.time()
        self._arm()

    def update(self) -> float:
        if self.began != float("inf"):
            self.now = max(self.now, (self.loop.time() - self.began) * 1000.0 / self.scale)
        return self.now

    def at(self, when: float, call: Callable[..., object], *args: Any) -> None:
        super().at(when, call, *args)
        if not self.playing:
            self._arm()

    def _arm(self) -> None:
        if not self.due or self.began == float("inf"):
            return
        first = self.due[0][0]
        if self.handle is not None and self.armed <= first:
            return
        if self.handle is not None:
            self.handle.cancel()
        self.armed = first
        self.handle = self.loop.call_at(self.began + first * self.scale / 1000.0, self._fire)

    def _fire(self) -> None:
        self.handle, self.armed, self.playing = None, float("inf"), True
        try:
            while self.due and self.due[0][0] <= self.update():
                when, _, call, args = heappop(self.due)
                self.lateness = max(self.lateness, self.now - when)
                self.played += 1
                call(*args)
        finally:
            self.playing = False
            self._arm()

    def stop(self) -> None:
        self.due.clear()
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None
        self.began = float("inf")
