"""A bound on the number of client connections, and on how long one may be idle."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

MAX_CONNECTIONS = 4096
MAX_IDLE_S = 30.0  # without a request in flight
SWEEP_INTERVAL_S = 1.0

ProtocolFactory = Callable[[], asyncio.Protocol]


class ConnectionTracker:
    """Knows which connections are idle, and closes those that are idle for too long.

    A connection is known by its protocol.  One whose request is still being received counts as idle.
    """

    def __init__(self) -> None:
        self.in_flight: dict[object, int] = {}  # requests, by connection
        self.idle_since: dict[object, float] = {}  # event loop's time, by connection

    def tracked(self, factory: ProtocolFactory) -> ProtocolFactory:
        """A protocol factory whose connections are known to this tracker."""

        def connected() -> asyncio.Protocol:
            protocol = factory()
            self.idle_since[protocol] = _now()
            return protocol

        return connected

    def request_started(self, protocol: object) -> None:
        """A connection's request has arrived."""
        self.in_flight[protocol] = self.in_flight.get(protocol, 0) + 1

    def request_finished(self, protocol: object) -> None:
        """A connection's request has got its response."""
        self.in_flight.pop(protocol, None)
        self.idle_since[protocol] = _now()

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self._sweep(_now())

    def _sweep(self, now: float) -> None:
        """Abort idle connections; where there are too many, those that are idle for longest go first."""
        idle = [(since, each) for each, since in self.idle_since.items() if each not in self.in_flight]
        idle.sort(key=lambda row: row[0])
        excess = len(self.idle_since) - MAX_CONNECTIONS
        for position, (since, protocol) in enumerate(idle):
            transport = getattr(protocol, "transport", None)
            if transport is None or transport.is_closing():
                if now - since > SWEEP_INTERVAL_S:
                    del self.idle_since[protocol]
            elif now - since > MAX_IDLE_S or position < excess:
                transport.abort()


def _now() -> float:
    return asyncio.get_running_loop().time()
