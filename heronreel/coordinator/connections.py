"""Limits the number of client connections, and the time that a connection may be idle."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

MAX_CONNECTIONS = 4096
MAX_IDLE_S = 30.0  # A connection without a request in flight is idle.
SWEEP_INTERVAL_S = 1.0

ProtocolFactory = Callable[[], asyncio.Protocol]


class ConnectionTracker:
    """Tracks which connections are idle, and aborts those that are idle for too long.

    A connection is identified by its protocol.  A connection whose request is still being received counts as
    idle.
    """

    def __init__(self) -> None:
        self.in_flight: dict[object, int] = {}  # the number of requests in flight, by connection
        self.idle_since: dict[object, float] = {}  # the event loop's time, by connection

    def track(self, factory: ProtocolFactory) -> ProtocolFactory:
        """Return a protocol factory whose connections this tracker registers."""

        def create_protocol() -> asyncio.Protocol:
            protocol = factory()
            self.idle_since[protocol] = _now()
            return protocol

        return create_protocol

    def request_started(self, protocol: object) -> None:
        """Record that a request has arrived on a connection."""
        self.in_flight[protocol] = self.in_flight.get(protocol, 0) + 1

    def request_finished(self, protocol: object) -> None:
        """Record that a connection's request has been answered."""
        self.in_flight.pop(protocol, None)
        self.idle_since[protocol] = _now()

    async def run(self) -> None:
        """Abort idle connections regularly until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self._sweep(_now())

    def _sweep(self, now: float) -> None:
        """Abort connections that are idle for too long.

        If there are too many connections, those that have been idle for the longest time are aborted too.
        """
        idle = [
            (since, connection)
            for connection, since in self.idle_since.items()
            if connection not in self.in_flight
        ]
        idle.sort(key=lambda entry: entry[0])
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
