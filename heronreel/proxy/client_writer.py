"""The writing side of a client's connection: responses in the order of their requests, and the close.

To close a connection between requests, the proxy first shuts down its sending side and reads on for a while.
A request that crosses the close is read and dropped; left unread, it would reset the connection and could
destroy the response that was written before.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import Any

from heronreel.proxy.backend_connection import BackendConnection
from heronreel.proxy.client_interface import (
    IDLE_TIMEOUT_S,
    LINGER_S,
    REQUEST_TIMEOUT_S,
    UNREAD_INPUT_TIMEOUT_S,
    ConnectionRegistry,
    Phase,
    ReadRequest,
)
from heronreel.proxy.delivery_monitor import DeliveryMonitor
from heronreel.proxy.event_log import CloseReason, EventKind, record
from heronreel.proxy.http1 import response_head
from heronreel.proxy.read_buffer import ReadingProtocol
from heronreel.proxy.reading_pause import PauseReason, ReadingPause
from heronreel.proxy.request import Request
from heronreel.proxy.response import Response, ResponseBodySink
from heronreel.proxy.socket_state import has_unread_input, peer_has_closed
from heronreel.proxy.streams import LAST_CHUNK, RequestBodyStream, encode_chunk


class ClientWriter(ReadingProtocol):
    """Sends responses to a client; `ClientConnection` adds the reading side."""

    __slots__ = (
        "chunked",
        "close_after_response",
        "delivery",
        "due_at",
        "is_http10",
        "listener",
        "memory",
        "number",
        "paused_at",
        "phase",
        "pipelined",
        "progress_bytes",
        "reading_pause",
        "request",
        "response_source",
        "started_at",
        "transport",
        "unread_at_close",
        "upload",
    )  # fmt: skip

    def __init__(self, listener: ConnectionRegistry[Any]) -> None:
        self.listener = listener
        self.memory = listener.dispatcher.memory
        self.number = 0  # identifies the connection in the log
        self.transport: asyncio.Transport
        self.phase = Phase.IDLE
        # Bytes received of the current head, since the last piece of a body, or while closing.
        self.progress_bytes = 0
        self.request: Request | None = None
        self.pipelined: deque[ReadRequest] = deque()
        self.upload: RequestBodyStream | None = None  # a body that is forwarded while it is received
        self.reading_pause: ReadingPause
        self.unread_at_close = False  # there was unread input when the connection was due to be closed
        self.response_source: BackendConnection | None = None  # sends the response being forwarded
        self.chunked = False  # whether the forwarded response is sent in chunks
        self.is_http10 = False  # whether the request being answered is an HTTP/1.0 request
        self.close_after_response = False  # no further request is served on this connection
        self.delivery: DeliveryMonitor  # of responses
        # Since when no deadline runs, while bytes wait for the client.
        self.paused_at = 0.0
        self.started_at = time.monotonic()  # of the request being read; infinite between requests
        self.due_at = self.started_at + REQUEST_TIMEOUT_S  # deadline of the connection's next step

    def _serve(self, read: ReadRequest) -> None:
        """Dispatch a request, or respond to it at once."""
        raise NotImplementedError

    def _set_timeout(self, timeout_s: float) -> None:
        """Set the deadline of the next step; the time does not run while bytes wait for the client."""
        self.paused_at = time.monotonic()
        self.due_at = self.paused_at + timeout_s

    # Responses.

    def _serve_pipelined(self) -> None:
        if self.delivery.waiting:
            return  # the client has not yet read the previous responses
        if self.pipelined and self.request is None and not self.transport.is_closing():
            read = self.pipelined.popleft()
            if not self.pipelined:
                self.reading_pause.remove(PauseReason.REQUESTS_WAITING)
            self._serve(read)

    def respond(self, status: int, header_lines: bytes, body: bytes = b"") -> None:
        """Send a complete response."""
        self.close_after_response = self.close_after_response or self.listener.is_closing_connections()
        if self.upload:  # the rest of the request body, still being received, is not needed
            self.close_after_response = True
            self.phase = Phase.CLOSING
            self._end_upload()
        close = self.close_after_response and not self.pipelined
        self.delivery.write(response_head(status, header_lines, len(body), close) + body)
        self._on_responded()

    def _end_upload(self) -> None:
        """Forward no more of the request body; the rest of it is read and dropped."""
        if upload := self.upload:
            self.upload = None
            upload.release_source()

    def _on_responded(self) -> None:
        self.request = None
        self.delivery.renew()
        if self.pipelined:
            self.listener.loop.call_soon(self._serve_pipelined)
        elif self.close_after_response:
            self._linger()
        elif self.phase is Phase.IDLE:
            self._set_timeout(IDLE_TIMEOUT_S)
            self.listener.idle[self] = None

    def begin_stream(
        self, connection: BackendConnection, start: Response, length: int | None
    ) -> ResponseBodySink | None:
        """Begin to forward a long response while it is received.

        Args:
            connection: The backend's connection that receives the response.
            start: The response's head and the body received so far.
            length: The length of the body, or None if it is unknown.

        Returns:
            The sink for the rest of the body, or None if the response can't be forwarded.
        """
        if self.transport.is_closing() or self.upload:
            return None
        self.chunked = length is None and not self.is_http10
        ends_with_connection = length is None and self.is_http10
        self.close_after_response = (
            self.close_after_response or self.listener.is_closing_connections() or ends_with_connection
        )
        self.response_source = connection
        self.delivery.is_reserved = True
        if self.delivery.waiting:
            connection.set_client_blocked(True)
        close = self.close_after_response and not self.pipelined
        self.delivery.write(response_head(start.status, start.header_lines, length, close, self.chunked))
        self.write_body(start.body)
        return self

    def write_body(self, data: bytes) -> None:
        """Send more of a forwarded response."""
        if data:
            self.delivery.write(encode_chunk(data) if self.chunked else data)

    def finish_stream(self) -> None:
        """End a forwarded response after its last byte."""
        self.response_source = None
        if self.chunked:
            self.delivery.write(LAST_CHUNK)
        self._on_responded()

    def abort_stream(self) -> None:
        """Close the connection, which shows the client that the forwarded response is incomplete."""
        self.response_source = None
        self.abort(CloseReason.RESPONSE_TRUNCATED)

    def has_disconnected(self) -> bool:
        """Return whether the client has disconnected, even if reading is paused, and abort its connection.

        A client that has shut down its sending side counts as disconnected.
        """
        if not peer_has_closed(self.transport):
            return False
        self.transport.abort()
        return True

    def pause_writing(self) -> None:
        """Stop reading from the client until it has taken what was written to it."""
        self.paused_at = time.monotonic()
        self.delivery.begin_waiting()
        self.reading_pause.add(PauseReason.RESPONSES_UNREAD)
        if self.response_source:
            self.response_source.set_client_blocked(True)

    def resume_writing(self) -> None:
        """Go on after the client has taken what was written to it.

        No deadline of the connection has run meanwhile.
        """
        self.delivery.end_waiting()
        paused_s = time.monotonic() - self.paused_at
        self.due_at += paused_s
        self.started_at += paused_s
        self.reading_pause.remove(PauseReason.RESPONSES_UNREAD)
        if self.response_source:
            self.response_source.set_client_blocked(False)
        self._serve_pipelined()

    def check_delivery(self, now: float) -> None:
        """Disconnect a client that takes too little of what was written to it."""
        if not self.delivery.is_taking(now):
            self.abort(CloseReason.WRITE_TIMED_OUT)

    # Closing.

    def _linger(self) -> None:
        """Shut down the sending side and read on for a while, so that no reset destroys the response."""
        self.listener.idle.pop(self, None)
        self.phase, self.progress_bytes = Phase.CLOSING, 0
        self._set_timeout(LINGER_S)
        self.reading_pause.clear()  # input left unread at the close would reset the connection
        if self.transport.can_write_eof() and not self.transport.is_closing():
            self.transport.write_eof()

    def close_between_requests(self, reason: CloseReason) -> None:
        """Close the connection unless a response is due, after which it is closed anyway."""
        if self.phase is Phase.IDLE and self.request is None and not self.pipelined:
            self.close(reason)

    def close(self, reason: CloseReason) -> None:
        """Close a connection between requests, unless it has unread input, which is read first.

        Only the sending side is shut down: a request that crosses the close is read and dropped, and its
        client sends it again.  A full close would reset the connection, possibly before the client has read
        the previous response.
        """
        if self.phase is Phase.CLOSING or has_unread_input(self.transport):
            return
        self._record_close(reason)
        self.listener.silent.pop(self, None)
        self.close_after_response = True
        self._linger()

    def close_overdue(self, reason: CloseReason) -> None:
        """Close a connection whose time is over; unread input delays this, but not without limit."""
        self.close(reason)
        if self.phase is Phase.CLOSING:
            return
        if self.unread_at_close:
            self.abort(reason)
            return
        # Usually the event loop reads the input in its next turn.
        self.unread_at_close = True
        self._set_timeout(UNREAD_INPUT_TIMEOUT_S)

    def abort(self, reason: CloseReason) -> None:
        """Close the connection at once, and count its descriptor as free."""
        self._record_close(reason)
        self.listener.remove(self)
        self.transport.abort()

    def _record_close(self, reason: CloseReason) -> None:
        request_id = self.request.request_id if self.request else b""
        record(
            EventKind.CONNECTION_CLOSED,
            request_id,
            reason=reason,
            connection=self.number,
            phase=self.phase.name,
        )
