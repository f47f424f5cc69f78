"""Measures how much of what is written to a connection its peer takes."""

from __future__ import annotations

import asyncio
import time

from heronreel.proxy.delivery import DeliveryCredit
from heronreel.proxy.memory_account import MemoryAccount, MemoryUse
from heronreel.proxy.socket_state import unacknowledged_bytes


class DeliveryMonitor:
    """Counts the bytes written to a transport, and judges whether its peer takes them.

    The host reports when the transport's buffer begins to fill and when it is empty again; the time between
    counts.  With an account, the bytes that wait are charged to it.
    """

    __slots__ = (
        "_charged_bytes",
        "_credit",
        "_memory",
        "_transport",
        "_written_bytes",
        "is_reserved",
        "waiting",
    )

    def __init__(self, transport: asyncio.Transport, memory: MemoryAccount | None = None) -> None:
        self._transport = transport
        self._memory = memory
        self._charged_bytes = 0
        self.is_reserved = False  # whether another holding covers the bytes that are written now
        self._written_bytes = 0
        self._credit: DeliveryCredit | None = None  # None until bytes of the message have to wait
        self.waiting = False  # whether bytes wait in the transport's buffer

    def write(self, data: bytes) -> None:
        """Write to the transport."""
        self._written_bytes += len(data)
        self._transport.write(data)
        if self.waiting and not self.is_reserved:
            # The transport keeps the whole object until its last byte is taken.
            self._charge(self._charged_bytes + len(data))

    def renew(self) -> None:
        """Give the peer the full time again, because another message follows."""
        self._credit = None
        if self.waiting:
            self.begin_waiting()
            self._charge(max(self._charged_bytes, self._transport.get_write_buffer_size()))
        self.is_reserved = False

    def begin_waiting(self) -> None:
        """Handle that bytes wait in the transport's buffer from now on."""
        self.waiting = True
        taken_bytes = self._taken_bytes()
        if self._credit is None:
            self._credit = DeliveryCredit(taken_bytes)
        self._credit.start(time.monotonic(), taken_bytes)

    def end_waiting(self) -> None:
        """Handle that the transport's buffer is empty, or lost with its connection."""
        self.waiting = False
        self._charge(0)

    def _charge(self, size: int) -> None:
        """Hold `size` bytes in all for what waits to be taken."""
        if self._memory is not None:
            self._memory.charge(MemoryUse.UNREAD, size - self._charged_bytes)
            self._charged_bytes = size

    def is_taking(self, now: float) -> bool:
        """Return whether the peer takes enough, on the monotonic clock in seconds."""
        if not self.waiting or self._credit is None:
            return True
        return self._credit.is_left(now, self._taken_bytes())

    def _taken_bytes(self) -> int:
        """Return how many bytes the peer's kernel has acknowledged."""
        buffered_bytes = self._transport.get_write_buffer_size()
        return self._written_bytes - buffered_bytes - unacknowledged_bytes(self._transport)
