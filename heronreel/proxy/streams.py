"""Bodies too long to be buffered: forwarded as they come, never faster than they are taken.

Up to `MAX_BUFFERED_REQUEST_BYTES` of a request are buffered, so that it costs its backend nothing while it
comes and may be sent again.  A longer one is forwarded while it still comes.  What was forwarded is kept as
long as it is no more than twice that; once part of it is dropped the request can't be sent a second time.
"""

from __future__ import annotations

import math
from typing import Protocol

from heronreel.proxy.budget import ByteBudget

MAX_BUFFERED_REQUEST_BYTES = 512 << 10  # a longer request is forwarded while it comes
MAX_BODY_BYTES = 33 << 20  # either way
MAX_BUFFERED_RESPONSE_BYTES = 64 << 10  # a longer response is forwarded as it comes
MAX_BUFFERED_UNSIZED_RESPONSE_BYTES = 16 << 10  # the same for one whose head has no length
STREAM_BYTES = 448 << 10  # what one stream buffers at most; 402 KiB were measured (bench/long_bodies.py)

LAST_CHUNK = b"0\r\n\r\n"


class PausableSource(Protocol):
    """Where a body comes from: its reading can be paused."""

    def set_reading_paused(self, paused: bool) -> None:
        """Stop reading for now, or go on."""


class RequestBodySink(Protocol):
    """Where a request's body goes."""

    def write_body(self, data: bytes) -> None:
        """Take more of the body."""

    def finish_body(self) -> None:
        """The last byte of the body was written."""


def encode_chunk(data: bytes) -> bytes:
    """One chunk of a chunked body (RFC 9112, 7.1)."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class RequestBodyStream:
    """A request's body on its way from a client to one backend at a time.

    Until it is `complete`, nothing of the request has run anywhere: a backend begins with the last byte.
    """

    __slots__ = ("budget", "buffer", "buffered_bytes", "chunked", "complete", "sink", "source", "timeout_ms")

    def __init__(self, source: PausableSource, budget: ByteBudget, start: bytes, chunked: bool) -> None:
        self.source = source
        self.budget = budget
        self.buffer: list[bytes] | None = [start]  # all that came; None: part of it was dropped
        self.buffered_bytes = len(start)  # reserved from the budget by whoever read them
        self.chunked = chunked
        self.sink: RequestBodySink | None = None
        self.complete = False
        self.timeout_ms = 0.0  # the request's time from the last byte on

    def can_restart(self) -> bool:
        """Whether the body can be sent from its first byte on."""
        return self.buffer is not None

    def attach(self, sink: RequestBodySink) -> None:
        """Send what came to this sink, and from now on what comes."""
        self.sink = sink
        for data in self.buffer or ():
            sink.write_body(encode_chunk(data) if self.chunked else data)
        self._finish_sink()
        if not self.complete:
            self.source.set_reading_paused(False)

    def detach(self, sink: RequestBodySink) -> None:
        """The sink's connection is gone; whether another one follows is decided elsewhere."""
        if self.sink is sink:
            self.sink = None

    def feed(self, data: bytes) -> None:
        """Forward what was read, and buffer it for a retry while there is room."""
        if self.buffer is not None:
            fits = self.buffered_bytes + len(data) <= 2 * MAX_BUFFERED_REQUEST_BYTES
            fits = fits and self.budget.reserve(len(data))
            # no request may be lost: what was sent nowhere yet is kept, room or not; reading stops behind it
            if fits or (self.sink is None and self.budget.reserve(len(data), math.inf)):
                self.buffered_bytes += len(data)
                self.buffer.append(data)
            else:
                self.drop_buffer()  # bounds memory: it can't be sent again from here on
        if self.sink is not None:
            self.sink.write_body(encode_chunk(data) if self.chunked else data)
        elif self.buffer is not None and self.buffered_bytes > MAX_BUFFERED_REQUEST_BYTES:
            self.source.set_reading_paused(True)  # until there is somewhere to send it

    def finish(self) -> None:
        """The body's last byte was read."""
        self.complete = True
        self._finish_sink()

    def _finish_sink(self) -> None:
        if self.complete and self.sink is not None:
            if self.chunked:
                self.sink.write_body(LAST_CHUNK)
            self.sink.finish_body()

    def drop_buffer(self) -> None:
        """Release what was kept for a retry; none is possible from here on."""
        self.buffer = None
        self.budget.release(self.buffered_bytes)
        self.buffered_bytes = 0
