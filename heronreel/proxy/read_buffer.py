"""The buffer that all connections read into, one at a time.

It limits how much one connection reads before the next one has its turn, and how much of a long body is
received before its receiver can slow its sender down.
"""

from __future__ import annotations

import asyncio

MAX_READ_BYTES = 64 << 10
SHORT_READ_BYTES = 16 << 10

_buffer = memoryview(bytearray(MAX_READ_BYTES))
_short_buffer = _buffer[:SHORT_READ_BYTES]


class ReadingProtocol(asyncio.BufferedProtocol):
    """A protocol whose transport reads into the common buffer."""

    __slots__ = ()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to read into; the event loop reads and reports each read at once."""
        return _buffer if self.expects_much() else _short_buffer

    def expects_much(self) -> bool:
        """Return whether up to MAX_READ_BYTES may be read at once, rather than SHORT_READ_BYTES."""
        return True

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on the bytes that were read into the buffer."""
        self.data_received(bytes(_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Handle received bytes."""
        raise NotImplementedError
