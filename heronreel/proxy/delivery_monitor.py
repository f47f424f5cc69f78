"""Measures how much of what is written to a connection its peer takes."""

from __future__ import annotations

import asyncio
import time

from heronreel.proxy.delivery import DeliveryCredit
from heronreel.proxy.socket_state import unacknowledged_bytes


class DeliveryMonitor:
    """Counts the bytes written to a transport, and judges whether its peer takes them.

    The host reports when the transport's buffer begins to fill and when it is empty again; the time between
    counts.
    """

    __slots__ = ("_credit", "_transport", "_written_bytes", "waiting")

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._written_bytes = 0
        self._credit: DeliveryCredit | None = None  # None until bytes of the message have to wait
        self.waiting = False  # whether bytes wait in the transport's buffer

    def write(self, data: bytes) -> None:
        """Write to the transport."""
        self._written_bytes += len(data)
        self._transport.write(data)

    def renew(self) -> None:
        """Give the peer the full time again, because another message follows."""
        self._credit = None
        if self.waiting:
            self.begin_waiting()

    def begin_waiting(self) -> None:
        """Handle that bytes wait in the transport's buffer from now on."""
        self.waiting = True
        taken_bytes = self._taken_bytes()
        if self._credit is None:
            self._credit = DeliveryCredit(taken_bytes)
        self._credit.start(time.monotonic(), taken_bytes)

    def end_waiting(self) -> None:
        """Handle that the transport's buffer is empty."""
        self.waiting = False

    def is_taking(self, now: float) -> bool:
        """Return whether the peer takes enough, on the monotonic clock in seconds."""
        if not self.waiting or self._credit is None:
            return True
        return self._credit.is_left(now, self._taken_bytes())

    def _taken_bytes(self) -> int:
        """Return how many bytes the peer's kernel has acknowledged."""
        buffered_bytes = self._transport.get_write_buffer_size()
        return self._written_bytes - buffered_bytes - unacknowledged_bytes(self._transport)
