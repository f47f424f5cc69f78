"""Streaming of bodies that are too long to be buffered, with backpressure from the receiver to the sender.

A request body of up to `MAX_BUFFERED_REQUEST_BYTES` is buffered completely before it is sent, so that it
occupies no backend while it is received and can be sent again.  A longer body is forwarded while it is still
being received.  The forwarded bytes are kept for a retry up to twice that size; once part of them has been
dropped, the request can't be sent again.
"""

from __future__ import annotations

import time
from typing import Protocol

from heronreel.proxy.http1 import MAX_HEAD_BYTES
from heronreel.proxy.memory_account import MemoryAccount, MemoryUse
from heronreel.proxy.read_buffer import MAX_READ_BYTES

# A longer request body is forwarded while it is being received.
MAX_BUFFERED_REQUEST_BYTES = 512 << 10
# The limit applies to request and response bodies.
MAX_BODY_BYTES = 33 << 20
# A longer response body is forwarded while it is being received.
MAX_BUFFERED_RESPONSE_BYTES = 64 << 10
# The same limit for a response without a Content-Length.
MAX_BUFFERED_UNSIZED_RESPONSE_BYTES = 16 << 10
# The memory of one response stream: what was buffered before it began, one read, and the heads of both sides.
MAX_STREAM_BUFFER_BYTES = MAX_BUFFERED_UNSIZED_RESPONSE_BYTES + MAX_READ_BYTES + 2 * MAX_HEAD_BYTES
# The memory of one forwarded request body, beside what is kept for a retry: one read and the head.
UPLOAD_BUFFER_BYTES = MAX_READ_BYTES + MAX_HEAD_BYTES

# The longest time for which a body that is being forwarded may have no backend's connection.
MAX_TIME_WITHOUT_SINK_S = 10.0

LAST_CHUNK = b"0\r\n\r\n"


class PausableSource(Protocol):
    """The connection that a body is read from, whose reading can be paused."""

    def set_body_blocked(self, blocked: bool) -> None:
        """Pause reading because the body can't be forwarded at present, or end this reason for a pause."""


class RequestBodySink(Protocol):
    """The connection that a request body is written to."""

    def is_blocked(self) -> bool:
        """Return whether the backend does not take more at present."""

    def is_taking(self, now: float) -> bool:
        """Return whether the backend takes the body, on the monotonic clock in seconds."""

    def write_body(self, data: bytes) -> None:
        """Write the next part of the body."""

    def finish_body(self) -> None:
        """Handle the end of the body: its last part was passed to `write_body`."""


def encode_chunk(data: bytes) -> bytes:
    """Encode one chunk of a chunked body (RFC 9112, section 7.1)."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class RequestBodyStream:
    """Forwards a request body from a client to one backend at a time.

    Until the body is `complete`, no backend has started to process the request: a backend starts when it has
    received the last byte.  The stream alone decides whether its source is blocked, which ends with the body:
    with its last byte or when the source is released.
    """

    __slots__ = (
        "buffer", "buffered_bytes", "chunked", "complete", "memory", "sink", "source", "timeout_ms",
        "without_sink_since",
    )  # fmt: skip

    def __init__(self, source: PausableSource, memory: MemoryAccount, start: bytes, chunked: bool) -> None:
        self.source: PausableSource | None = source  # None once no more of the body is expected.
        self.memory = memory
        self.chunked = chunked
        # All parts received, as they are sent; None once a part was dropped.
        self.buffer: list[bytes] | None = [self._encode(start)]
        self.buffered_bytes = len(start)  # The caller has reserved the bytes of `start`.
        self.sink: RequestBodySink | None = None
        self.without_sink_since = time.monotonic()
        self.complete = False
        self.timeout_ms = 0.0  # The request's timeout, which starts with the last byte of the body.

    def _encode(self, data: bytes) -> bytes:
        return encode_chunk(data) if self.chunked else data

    def can_restart(self) -> bool:
        """Return whether the body can be sent again from its first byte."""
        return self.buffer is not None

    def attach(self, sink: RequestBodySink) -> None:
        """Forward the bytes received so far, and all later ones, to this sink."""
        self.sink = sink
        for part in self.buffer or ():
            sink.write_body(part)
        self._finish_sink()
        self.update_source()

    def detach(self, sink: RequestBodySink) -> None:
        """Stop forwarding to this sink, whose connection has ended.

        The caller decides whether another sink is attached.
        """
        if self.sink is sink:
            self.sink = None
            self.without_sink_since = time.monotonic()
            self.update_source()

    def feed(self, data: bytes) -> None:
        """Forward received bytes, and buffer them for a retry as long as the limits allow."""
        part = self._encode(data)
        if self.buffer is not None:
            fits = self.buffered_bytes + len(data) <= 2 * MAX_BUFFERED_REQUEST_BYTES
            fits = fits and self.memory.reserve(MemoryUse.REQUESTS, len(data))
            # No request may be lost: bytes that were not sent to any backend yet are kept even beyond the
            # limits.  Reading is paused after them.
            if not fits and self.sink is None:
                self.memory.charge(MemoryUse.REQUESTS, len(data))
                fits = True
            if fits:
                self.buffered_bytes += len(data)
                self.buffer.append(part)
            else:
                self.drop_buffer()  # Limits the memory; the body can't be sent again after this.
        if self.sink is not None:
            self.sink.write_body(part)
        self.update_source()

    def finish(self) -> None:
        """Handle the end of the body: its last byte was received."""
        self.complete = True
        self.release_source()
        self._finish_sink()

    def update_source(self) -> None:
        """Pause or resume the source, after a change of what the sink takes."""
        if self.source is not None:
            self.source.set_body_blocked(self._is_blocked())

    def _is_blocked(self) -> bool:
        if self.sink is not None:
            return self.sink.is_blocked()
        return self.buffer is not None and self.buffered_bytes > MAX_BUFFERED_REQUEST_BYTES

    def is_progressing(self, now: float) -> bool:
        """Return whether more of the body will be taken: its backend takes it or is being connected to."""
        if self.sink is not None:
            return self.sink.is_taking(now)
        return now - self.without_sink_since < MAX_TIME_WITHOUT_SINK_S

    def release_source(self) -> None:
        """End the pause of the source, which may now send something else than this body."""
        source, self.source = self.source, None
        if source is not None:
            source.set_body_blocked(False)

    def _finish_sink(self) -> None:
        if self.complete and self.sink is not None:
            if self.chunked:
                self.sink.write_body(LAST_CHUNK)
            self.sink.finish_body()

    def drop_buffer(self) -> None:
        """Release the bytes that were kept for a retry; the body can't be sent again after this."""
        self.buffer = None
        self.memory.release(MemoryUse.REQUESTS, self.buffered_bytes)
        self.buffered_bytes = 0
