"""A fault of the list service that closes all open watches and waiting calls once.

The reset happens at a set time, or instead of sending the next change.  In the second case the list contains
the change from then on, but no open watch receives it.  Times are ms.
"""

from __future__ import annotations

from heronreel.emulator.endpoint_list import EndpointListService
from heronreel.emulator.events import EventQueue
from heronreel.emulator.random_streams import RandomStream


class WatchReset:
    """One reset of all watches and calls.  Start it with `begin` or `begin_with_next_change`."""

    def __init__(
        self,
        events: EventQueue,
        service: EndpointListService,
        stream: RandomStream,
        after_ms: float,
        spread_ms: float,
    ) -> None:
        """Set when the connections close: `after_ms` after the start, spread over `spread_ms`."""
        self.events, self.service, self.stream = events, service, stream
        self.after_ms, self.spread_ms = after_ms, spread_ms

    def begin(self) -> None:
        """Close the connections without withholding a change."""
        self.events.schedule(self.events.now + self.after_ms, self._close, False)

    def begin_with_next_change(self) -> None:
        """Wait for the next change that the service learns, withhold it, and close the connections."""
        self.service.before_next_change_is_told(self._withhold)

    def _withhold(self) -> None:
        self.service.withhold_changes()
        self.events.schedule(self.events.now + self.after_ms, self._close, True)

    def _close(self, is_withholding: bool) -> None:
        untold = self.service.end_withholding() if is_withholding else []
        self.service.close_connections(untold, self._notice_delay)

    def _notice_delay(self) -> float:
        return self.stream.uniform(0.0, self.spread_ms)
