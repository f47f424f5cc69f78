"""The writing side of a client's connection: responses in the order of their requests, and how it ends.

Whatever ends a connection between requests ends our side first and reads on for a while: a request that
crosses the end is read and dropped, and never resets what was written before it.
"""

from __future__ import annotations

import asyncio
import math
import time
from collections import deque
from typing import Any

from heronreel.proxy.backend_connection import BackendConnection, Response, ResponseBodySink
from heronreel.proxy.client_interface import (
    IDLE_TIMEOUT_S,
    LINGER_S,
    REQUEST_TIMEOUT_S,
    WRITE_TIMEOUT_S,
    ConnectionRegistry,
    Phase,
    ReadRequest,
)
from heronreel.proxy.event_log import CloseReason, EventKind, record
from heronreel.proxy.http1 import response_head
from heronreel.proxy.request import Request
from heronreel.proxy.socket_state import has_unread_input, peer_has_closed
from heronreel.proxy.streams import LAST_CHUNK, RequestBodyStream, encode_chunk


class ClientWriter(asyncio.Protocol):
    """Responds to a client; `ClientConnection` adds the reading side."""

    __slots__ = (
        "chunked", "close_after_response", "due_at", "is_http10", "listener", "number", "phase", "pipelined",
        "progress_bytes", "reading_paused", "request", "response_source", "transport", "upload",
        "writing_paused",
    )  # fmt: skip

    def __init__(self, listener: ConnectionRegistry[Any]) -> None:
        self.listener = listener
        self.number = 0  # in the log
        self.transport: asyncio.Transport
        self.phase = Phase.IDLE
        # bytes of the head, or since the body last came on; after the last response, of anything
        self.progress_bytes = 0
        self.request: Request | None = None
        self.pipelined: deque[ReadRequest] = deque()
        self.upload: RequestBodyStream | None = None  # the body being read, where it is forwarded as it comes
        self.reading_paused = False  # nobody takes what we read of a long body
        self.response_source: BackendConnection | None = None  # of the response being forwarded
        self.chunked = False  # that response is sent in chunks
        self.is_http10 = False  # the request whose response is due is of HTTP/1.0
        self.close_after_response = False  # no request after this one
        self.writing_paused = False
        self.due_at = time.monotonic() + REQUEST_TIMEOUT_S  # of the connection's next step

    def _serve(self, read: ReadRequest) -> None:
        """Have a request served, or respond to it at once."""
        raise NotImplementedError

    # Responding.

    def _serve_pipelined(self) -> None:
        if self.writing_paused:
            return  # until the client has taken the responses before it
        if self.pipelined and self.request is None and not self.transport.is_closing():
            read = self.pipelined.popleft()
            if not self.pipelined and self.phase is not Phase.CLOSING and not self.writing_paused:
                self.transport.resume_reading()
            self._serve(read)

    def respond(self, status: int, header_lines: bytes, body: bytes = b"") -> None:
        """Send the whole response."""
        self.close_after_response = self.close_after_response or self.listener.is_closing_connections()
        if self.upload:  # its body still comes, and nobody wants the rest
            self.upload, self.close_after_response = None, True
            self.phase = Phase.CLOSING
            if self.reading_paused:
                self.reading_paused = False
                self.transport.resume_reading()  # to be dropped
        close = self.close_after_response and not self.pipelined
        self.transport.write(response_head(status, header_lines, len(body), close) + body)
        self._on_responded()

    def _on_responded(self) -> None:
        self.request = None
        if self.pipelined:
            self.listener.loop.call_soon(self._serve_pipelined)
        elif self.close_after_response:
            self._linger()
        elif self.phase is Phase.IDLE:
            self.due_at = time.monotonic() + IDLE_TIMEOUT_S
            self.listener.idle[self] = None

    def begin_stream(
        self, connection: BackendConnection, start: Response, length: int | None
    ) -> ResponseBodySink | None:
        """Take a long response as it comes; `length` None: unknown."""
        if self.transport.is_closing() or self.upload:
            return None
        self.chunked = length is None and not self.is_http10
        ends_with_connection = length is None and self.is_http10
        self.close_after_response = (
            self.close_after_response or self.listener.is_closing_connections() or ends_with_connection
        )
        self.response_source = connection
        close = self.close_after_response and not self.pipelined
        self.transport.write(response_head(start.status, start.header_lines, length, close, self.chunked))
        self.write_body(start.body)
        return self

    def write_body(self, data: bytes) -> None:
        """Send more of a long response."""
        if data:
            self.transport.write(encode_chunk(data) if self.chunked else data)

    def finish_stream(self) -> None:
        """The last byte of a long response was sent."""
        self.response_source = None
        if self.chunked:
            self.transport.write(LAST_CHUNK)
        self._on_responded()

    def abort_stream(self) -> None:
        """A long response can't be finished: an end without its last byte shows it."""
        self.response_source = None
        self.abort(CloseReason.RESPONSE_TRUNCATED)

    def has_disconnected(self) -> bool:
        """Whether the client is gone: one that ends its sending is, whether the connection is read or not."""
        if not peer_has_closed(self.transport):
            return False
        self.transport.abort()
        return True

    def pause_writing(self) -> None:
        """The client reads too slowly: nothing more is read from it until it has caught up."""
        self.writing_paused = True
        self.due_at = time.monotonic() + WRITE_TIMEOUT_S
        self.transport.pause_reading()
        if self.response_source:
            self.response_source.set_reading_paused(True)

    def resume_writing(self) -> None:
        """The client has caught up."""
        self.writing_paused = False
        self.due_at = math.inf if self.request else time.monotonic() + LINGER_S
        if not self.pipelined and not self.reading_paused:
            self.transport.resume_reading()
        if self.response_source:
            self.response_source.set_reading_paused(False)
        self._serve_pipelined()

    # Ending.

    def _linger(self) -> None:
        """End our side, and read on for a while, lest a reset overtake the response."""
        self.listener.idle.pop(self, None)
        self.phase, self.progress_bytes = Phase.CLOSING, 0
        self.due_at = time.monotonic() + LINGER_S
        self.transport.resume_reading()  # what lies unread when the connection closes would reset it
        if self.transport.can_write_eof() and not self.transport.is_closing():
            self.transport.write_eof()

    def close_between_requests(self, reason: CloseReason) -> None:
        """Close it unless a response is owed; the connection ends behind that one."""
        if self.phase is Phase.IDLE and self.request is None and not self.pipelined:
            self.close(reason)

    def close(self, reason: CloseReason) -> None:
        """Close a connection between requests, unless something has just come, which is read first.

        Only our side ends: a request that crosses this is read and dropped, and its client sends it again.  A
        connection closed over it would be reset, under the response before it too.
        """
        if self.phase is Phase.CLOSING or has_unread_input(self.transport):
            return
        self._record_close(reason)
        self.listener.silent.pop(self, None)
        self.close_after_response = True
        self._linger()

    def abort(self, reason: CloseReason) -> None:
        """Close at once; the descriptor is as good as free."""
        self._record_close(reason)
        self.listener.forget(self)
        self.transport.abort()

    def _record_close(self, reason: CloseReason) -> None:
        owed = self.request.request_id if self.request else b""
        record(
            EventKind.CONNECTION_CLOSED, owed, reason=reason, connection=self.number, phase=self.phase.name
        )
