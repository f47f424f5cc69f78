"""The timer of a member, which is set again after each event."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

MIN_DELAY_S = 0.001
MAX_DELAY_S = 1.0  # Bounded because the core's clock may run at another rate than the event loop's.


class EventTimer:
    """A timer with at most one pending call; setting the timer replaces the pending call."""

    def __init__(self, callback: Callable[[], None]) -> None:
        """Create a timer that is not set yet."""
        self.callback = callback
        self.handle: asyncio.TimerHandle | None = None

    def set(self, delay_s: float) -> None:
        """Call the callback after `delay_s` seconds, limited to MIN_DELAY_S to MAX_DELAY_S."""
        self.cancel()
        delay_s = min(max(MIN_DELAY_S, delay_s), MAX_DELAY_S)
        self.handle = asyncio.get_running_loop().call_later(delay_s, self.callback)

    def cancel(self) -> None:
        """Cancel the pending call."""
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None
