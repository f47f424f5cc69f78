"""The reading side of a client's connection: parses one request at a time and limits what clients send.

A request is dispatched when its last byte is read.  A malformed or too large request is rejected here and its
connection is closed.  A request for which there is no memory or no connection is rejected before any part of
it is sent to a backend.  Each connection has a deadline for its next step, so that none waits forever.
"""

from __future__ import annotations

import asyncio
import math
import time
from typing import cast

import httptools

from heronreel.proxy.client_interface import (
    MAX_BODY_PAUSE_S,
    MAX_FRAMING_BYTES,
    MAX_HEADER_FIELDS,
    MAX_LINGER_BYTES,
    MAX_PIPELINED,
    MIN_BODY_BYTES_PER_S,
    REQUEST_OBJECTS_BYTES,
    REQUEST_TIMEOUT_S,
    SMALL_BODY_BYTES,
    TOO_MANY_PIPELINED,
    UPLOAD_CHECK_INTERVAL_S,
    ConnectionRegistry,
    Phase,
    ReadRequest,
)
from heronreel.proxy.client_writer import ClientWriter
from heronreel.proxy.delivery_monitor import DeliveryMonitor
from heronreel.proxy.errors import UnreadableMessageError
from heronreel.proxy.event_log import CloseReason, EventKind, RefusalReason, record
from heronreel.proxy.field_buffer import FieldBuffer
from heronreel.proxy.http1 import (
    CONTINUE_RESPONSE,
    DATE_LINE,
    MAX_HEAD_BYTES,
    MAX_TARGET_BYTES,
    Headers,
    is_host,
    response_head,
    split_absolute_form,
)
from heronreel.proxy.input_arrival import InputArrival
from heronreel.proxy.memory_account import MemoryUse
from heronreel.proxy.read_buffer import SHORT_READ_BYTES
from heronreel.proxy.reading_pause import PauseReason, ReadingPause
from heronreel.proxy.request import RequestHead
from heronreel.proxy.request_validation import (
    MAX_NUMBER_DIGITS,
    VERSIONS,
    Fields,
    is_well_framed,
    read_request_head,
)
from heronreel.proxy.streams import (
    MAX_BODY_BYTES,
    MAX_BUFFERED_REQUEST_BYTES,
    UPLOAD_BUFFER_BYTES,
    RequestBodyStream,
)


class ClientConnection(ClientWriter):
    """One connection of a client."""

    __slots__ = (
        "admitted", "arrival", "arrived_at", "body", "body_blocked_at", "body_bytes", "brings_long_pieces",
        "declared_length", "error_reason", "error_status", "fields", "head", "header_bytes", "parser",
        "read_cost_s", "read_turn", "requests_read", "reserved_bytes", "target", "upload_parts",
    )  # fmt: skip

    def __init__(self, listener: ConnectionRegistry[ClientConnection]) -> None:
        super().__init__(listener)
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.fields = FieldBuffer()
        self.reserved_bytes = 0  # memory for the request being read
        self.body: bytes | bytearray = b""
        self.upload_parts: list[bytes] = []  # parts of a forwarded body that the read in progress has brought
        # Head of the request being read; None if the proxy responds to it without a backend.
        self.head: RequestHead | None = None
        # Status of the response to the request being read, if the proxy responds without a backend; else 0.
        self.error_status = 0
        self.error_reason: RefusalReason | None = None
        self.header_bytes = self.body_bytes = 0
        self.body_blocked_at = 0.0  # since when the body of a request can't be forwarded
        self.requests_read = 0
        self.arrival: InputArrival
        self.arrived_at = 0.0  # by when the bytes of the last read had arrived
        self.brings_long_pieces = False  # whether the last read was a body's content for the most part
        self.read_turn = self.read_cost_s = 0.0
        self.declared_length = 0  # of the body; 0 if it is unknown
        self.admitted = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the listener."""
        self.transport = cast(asyncio.Transport, transport)
        self.delivery = DeliveryMonitor(self.transport, self.memory)
        self.arrival = InputArrival(self.transport)
        # With a limit of 0, `pause_writing` is called as soon as the kernel does not take all.
        self.transport.set_write_buffer_limits(high=0)
        self.reading_pause = ReadingPause(self.transport, self._on_pause_changed)
        self.listener.silent[self] = None
        self.admitted = self.listener.admit(self)

    def _on_pause_changed(self, paused: bool) -> None:
        if paused:
            self.arrival.check()
            self.listener.disconnect_watch.add(self)
        else:
            self.arrival.resume()
            self.listener.disconnect_watch.discard(self)

    def check_paused(self) -> None:
        """Look at what has happened to the connection since reading was paused.

        It is closed if its client has disconnected while it waits for a backend's response.  The time of a
        request counts once the rest of its body has arrived, also if no backend takes it.  If the rest may
        wait in the client's kernel, the request ends when its time would be over.
        """
        if self.request and not self.request.streaming and self.has_disconnected():
            return
        self.arrival.check()
        if self.upload and self.request:
            missing = self.declared_length - self.body_bytes if self.declared_length else None
            arrived_at = self.arrival.complete_since(missing, MAX_BODY_PAUSE_S)
            if arrived_at is not None:
                self.listener.dispatcher.upload_arrived(self.request, arrived_at)
                return
            written_at = self.arrival.may_be_written_since(missing)
            if written_at is not None:
                self.listener.dispatcher.upload_may_have_arrived(self.request, written_at)

    def is_being_served(self) -> bool:
        """Return whether the client waits for a response or still takes one."""
        return self.request is not None or bool(self.pipelined) or self.delivery.waiting

    # Reading.  A parser callback that raises ends the parsing; the response then has `error_status`.

    def buffer_updated(self, nbytes: int) -> None:
        """Handle the bytes that were read, and count the time that this took."""
        began_at, body_bytes = time.monotonic(), self.body_bytes
        super().buffer_updated(nbytes)
        self.brings_long_pieces = 2 * (self.body_bytes - body_bytes) >= nbytes
        self.listener.read_turns.note(self, time.monotonic() - began_at)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and dispatch the requests that they complete."""
        self.listener.silent.pop(self, None)
        self.unread_at_close = False
        for part, arrived_at in self.arrival.take(data):
            if self.transport.is_closing():
                return
            self.arrived_at = arrived_at
            self._parse(part)

    def _parse(self, data: bytes) -> None:
        if self.upload and self.has_disconnected():
            return  # the backend must not get the rest of the body
        self.progress_bytes += len(data)
        if self.phase is Phase.CLOSING:
            record(EventKind.INPUT_DROPPED, bytes=len(data), connection=self.number)
            if self.progress_bytes > MAX_LINGER_BYTES:
                # A rejected body may have 60 MB, which need not be read.
                self.reading_pause.add(PauseReason.INPUT_UNWANTED)
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # Upgrades are not supported, and the input after the request can't be parsed.
            self.close_after_response = True
        except httptools.HttpParserError:
            self._on_parse_error()
            return
        finally:
            self._forward_upload_parts()
        if self.progress_bytes > MAX_HEAD_BYTES and self.phase is Phase.HEAD:
            self._reject(431, RefusalReason.INVALID)
        elif self.progress_bytes > MAX_HEAD_BYTES + MAX_FRAMING_BYTES:
            self._reject(400, RefusalReason.INVALID)  # too many trailers or chunk extensions
        elif self.phase is Phase.HEAD and not self._reserve_for_request(
            min(MAX_HEAD_BYTES, max(self.progress_bytes, len(data)))
        ):
            self._reject(503, RefusalReason.NO_MEMORY)

    def expects_much(self) -> bool:
        """Return whether a long body is being read, and mostly its content rather than its framing."""
        if self.phase is not Phase.BODY or not self.brings_long_pieces:
            return False
        return max(self.body_bytes, self.declared_length) > SHORT_READ_BYTES

    def _reserve_for_request(self, size: int) -> bool:
        """Hold `size` bytes of memory in all for the request being read; return whether there is enough."""
        if not self.memory.resize(MemoryUse.REQUESTS, self.reserved_bytes, size):
            return False
        self.reserved_bytes = size
        return True

    def _on_parse_error(self) -> None:
        if self._is_closing():
            return  # the response was sent while the body was still being received
        if self.phase is Phase.IDLE and self.close_after_response:
            self.reading_pause.add(PauseReason.INPUT_UNWANTED)  # input after the last request is ignored
        else:
            self._reject(self.error_status or 400, self.error_reason or RefusalReason.INVALID)

    def _is_closing(self) -> bool:
        """Return whether further input is dropped."""
        return self.phase is Phase.CLOSING

    def on_message_begin(self) -> None:
        """Parser callback: start a new request."""
        if self.phase is Phase.CLOSING:
            raise UnreadableMessageError
        self.listener.idle.pop(self, None)
        if self.started_at == math.inf:  # the first request's timeout starts with the connection
            self.started_at = time.monotonic()
        self.target, self.body = b"", b""
        self.fields.clear()
        self.head, self.error_status, self.error_reason = None, 0, None
        self.header_bytes, self.body_bytes, self.declared_length = 0, 0, 0
        self.phase = Phase.HEAD
        self.due_at = self.started_at + REQUEST_TIMEOUT_S

    def on_url(self, url: bytes) -> None:
        """Parser callback: add to the request target."""
        self.target += url
        if len(self.target) > MAX_TARGET_BYTES:
            self._refuse(414)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: add a header field, or count a trailer field, which is dropped."""
        self.header_bytes += len(name) + len(value) + 4
        if self.header_bytes > MAX_HEAD_BYTES or self.fields.count >= MAX_HEADER_FIELDS:
            self._refuse(431)
        if self.phase is Phase.HEAD:
            self.fields.add(name, value)

    def _refuse(self, status: int, reason: RefusalReason = RefusalReason.INVALID) -> None:
        """Set the status and reason of the response, and end the parsing.

        Raises:
            UnreadableMessageError: Always; it ends the parsing.
        """
        self.error_status, self.error_reason = status, reason
        raise UnreadableMessageError

    def on_headers_complete(self) -> None:
        """Parser callback: check the head of the request."""
        self.phase = Phase.BODY
        if len(self.target) + self.header_bytes > MAX_HEAD_BYTES:
            self._refuse(431)
        self.progress_bytes = 0
        version = self.parser.get_http_version()
        if version not in VERSIONS:
            self._refuse(505)  # RFC 9110, 15.6.6; also for HTTP/0.9, which the parser accepts
        headers = self.fields.take()
        fields = dict(headers)
        if not is_well_framed(headers, fields, version):
            self._refuse(400)
        if version == "1.0":
            # RFC 9112, 9.3: a proxy must not keep an HTTP/1.0 connection open.
            self.close_after_response = True
        if absolute := split_absolute_form(self.target):
            headers = self._apply_authority(headers, *absolute)
            fields[b"host"] = absolute[0]
        self._check_length(fields.get(b"content-length", b"0"))
        if not self.parser.should_keep_alive():
            self.close_after_response = True
        self._validate_head(headers, fields, version)
        self.target = b""
        self._reserve_for_head()
        if version == "1.1" and fields.get(b"expect", b"").lower() == b"100-continue" and not self.request:
            self._send_continue()

    def _reserve_for_head(self) -> None:
        """Hold the memory for a complete head and what its request will need, or refuse the request."""
        if self.head is None:
            self._release_request()
        elif not self._reserve_for_request(len(self.head.encoded_head) + REQUEST_OBJECTS_BYTES):
            self._refuse_for_memory()

    def _refuse_for_memory(self) -> None:
        """Refuse the request once all of it is read; no part of it was sent to a backend."""
        self._release_request()
        if self.head:
            self.head.encoded_head = b""
        self.error_status, self.error_reason = 503, RefusalReason.NO_MEMORY

    def _apply_authority(self, headers: Headers, authority: bytes, target: bytes) -> Headers:
        """Replace the Host field by the authority of an absolute target (RFC 9112, 3.2.2)."""
        if not authority or not is_host(authority):
            self._refuse(400)
        self.target = target
        return [(name, value) for name, value in headers if name != b"host"] + [(b"host", authority)]

    def _check_length(self, length: bytes) -> None:
        if not length.isdigit():
            self._refuse(400)
        if len(length) > MAX_NUMBER_DIGITS or int(length) > MAX_BODY_BYTES:
            self._refuse(413)
        self.declared_length = int(length)

    def _validate_head(self, headers: Headers, fields: Fields, version: str) -> None:
        listener = self.listener
        result = read_request_head(
            listener.dispatcher,
            listener.is_ready,
            self.parser.get_method(),
            self.target,
            headers,
            fields,
            version,
        )
        if isinstance(result, RequestHead):
            result.is_http10 = version == "1.0"
            self.head = result
            return
        self.error_status = result
        if 400 <= result < 500:
            self._refuse(result)  # the body is not needed

    def _send_continue(self) -> None:
        """Let the client send its body, for which it waits (RFC 9110, 10.1.1), or refuse the request.

        HTTP/1.0 has no interim responses.
        """
        if self.error_status or not self.admitted:
            self._refuse(self.error_status or 503, self.error_reason or RefusalReason.TOO_MANY_CONNECTIONS)
        self.delivery.write(CONTINUE_RESPONSE)

    def on_body(self, data: bytes) -> None:
        """Parser callback: buffer more of the body, or forward it."""
        if self.phase is Phase.CLOSING:
            raise UnreadableMessageError  # the response was sent while the body was being received
        self.body_bytes += len(data)
        self.progress_bytes = 0
        if self.body_bytes > MAX_BODY_BYTES:
            self._refuse(413)
        if self.body_bytes > SMALL_BODY_BYTES:
            self._extend_due_time()
        if self.error_status:
            return
        if self.upload:
            self.upload_parts.append(data)
            return
        self._buffer_body(data)
        # If there was no memory for the body, its first bytes are lost and the rest must not be forwarded.
        if not self.error_status and (
            self.body_bytes > MAX_BUFFERED_REQUEST_BYTES or self.declared_length > MAX_BUFFERED_REQUEST_BYTES
        ):
            self._start_upload()

    def _forward_upload_parts(self) -> None:
        """Forward what one read has brought of a body in one piece, however many chunks it has."""
        parts, self.upload_parts = self.upload_parts, []
        if parts and self.upload:
            self.upload.feed(b"".join(parts))

    def _extend_due_time(self) -> None:
        """Extend the deadline of a large body while it arrives at the minimum rate."""
        now = time.monotonic()
        first_due_at = self.started_at + REQUEST_TIMEOUT_S
        at_minimum_rate = first_due_at + self.body_bytes / MIN_BODY_BYTES_PER_S
        self.due_at = max(first_due_at, min(now + MAX_BODY_PAUSE_S, at_minimum_rate))

    def _buffer_body(self, data: bytes) -> None:
        if not self.admitted or not self._reserve_for_request(self.reserved_bytes + len(data)):
            self._refuse_for_memory()
        elif not self.body:
            self.body = data
        else:
            if isinstance(self.body, bytes):
                self.body = bytearray(self.body)
            self.body += data

    def _release_request(self) -> None:
        """Release the memory for the request being read."""
        self.memory.release(MemoryUse.REQUESTS, self.reserved_bytes)
        self.reserved_bytes, self.body = 0, b""
        self.fields.clear()

    def _start_upload(self) -> None:
        """Forward a body that is too long to be buffered to a backend while it is received."""
        dispatcher, head = self.listener.dispatcher, self.head
        duplicate = head is not None and dispatcher.is_duplicate(head)
        busy = bool(self.request or self.pipelined)
        admitting = self.listener.is_admitting()
        if busy or head is None or duplicate or not admitting:
            self._release_request()
            self.error_status = 400 if admitting and not busy else 503
            self.error_reason = RefusalReason.NO_MEMORY if busy else RefusalReason.DUPLICATE_ID
            if not admitting:
                self.error_reason = RefusalReason.DRAINING
            return
        if not self._reserve_for_request(self.reserved_bytes + UPLOAD_BUFFER_BYTES):
            self._refuse_for_memory()
            return
        body, self.body = bytes(self.body), b""
        reserved_bytes, self.reserved_bytes = self.reserved_bytes - len(body), 0
        if self.declared_length:
            head.encoded_head += b"content-length: %d\r\n" % self.declared_length
        else:
            head.encoded_head += b"transfer-encoding: chunked\r\n"
        self.is_http10 = head.is_http10
        self.upload = RequestBodyStream(self, self.memory, body, not self.declared_length)
        request = dispatcher.submit(self, head, b"", self.upload, reserved_bytes)
        if request.finished:
            raise UnreadableMessageError
        self.request = request

    def set_body_blocked(self, blocked: bool) -> None:
        """Pause reading while no backend takes more of a forwarded body, or resume it."""
        if blocked == (PauseReason.BODY_BLOCKED in self.reading_pause):
            return
        if blocked:
            self.body_blocked_at = time.monotonic()
            self._set_timeout(UPLOAD_CHECK_INTERVAL_S)
            self.reading_pause.add(PauseReason.BODY_BLOCKED)
            return
        if self.upload:
            self.started_at += time.monotonic() - self.body_blocked_at  # the client could not send
            self._set_timeout(MAX_BODY_PAUSE_S)
        self.reading_pause.remove(PauseReason.BODY_BLOCKED)

    def on_message_complete(self) -> None:
        """Parser callback: dispatch the request, or queue it until the previous one has its response."""
        if self.phase is Phase.CLOSING:
            raise UnreadableMessageError
        self._forward_upload_parts()  # may set a deadline, which the end of the message lifts
        self.phase, self.progress_bytes, self.due_at, self.started_at = Phase.IDLE, 0, math.inf, math.inf
        if self.upload:
            self._finish_upload(self.upload)
            return
        if self.head:
            self.head.read_at = self.arrived_at
        read = ReadRequest(self.head, self.error_status, self.body, self.error_reason, self.reserved_bytes)
        self.body, self.head, self.reserved_bytes = b"", None, 0
        self.requests_read += 1
        if self.request is None and not self.pipelined:
            if not self.listener.is_closing_connections():
                self._serve(read)
                return
            # The next response closes the connection, so the requests that were received together are all
            # parsed first, and each gets a response.
            self.listener.loop.call_soon(self._serve_pipelined)
        kept = MAX_PIPELINED if self.request else MAX_PIPELINED + 1
        if len(self.pipelined) >= kept:  # refused in its turn, and its body is not kept until then
            self.memory.release(MemoryUse.REQUESTS, read.reserved_bytes)
            read = TOO_MANY_PIPELINED
        self.pipelined.append(read)
        # One request is served at a time.  The event loop reports no disconnect until reading resumes.
        self.reading_pause.add(PauseReason.REQUESTS_WAITING)

    def _finish_upload(self, upload: RequestBodyStream) -> None:
        self.upload, self.head = None, None
        upload.finish()
        if self.request:
            written_at = self.arrival.may_be_written_since(0)
            arrived_at = self.arrived_at if written_at is None else min(written_at, self.arrived_at)
            self.listener.dispatcher.upload_finished(self.request, arrived_at)

    def _serve(self, read: ReadRequest) -> None:
        dispatcher = self.listener.dispatcher
        head, status, body, reason, reserved_bytes = read
        if not self.admitted:
            status, self.close_after_response = status or 503, True
            reason = reason or RefusalReason.TOO_MANY_CONNECTIONS
        if head and not status and dispatcher.is_duplicate(head):
            # The id of a request identifies its response and its effect, so it must be unique.
            status, reason = 400, RefusalReason.DUPLICATE_ID
        if head and not status and not self.listener.is_admitting():
            status, reason = 503, RefusalReason.DRAINING
        if head is None or status:
            self.memory.release(MemoryUse.REQUESTS, reserved_bytes)
            if reason:
                self._record_refusal(status or 400, reason, head)
            # After an invalid request, no further one of this client is served on the connection.
            invalid = 400 <= status < 500 and status != TOO_MANY_PIPELINED.error_status
            self.close_after_response = self.close_after_response or invalid
            self.respond(status or 400, DATE_LINE.now())
            return
        # Buffered bodies are sent to backends with Content-Length, never in chunks.
        if body or head.is_write:
            head.encoded_head += b"content-length: %d\r\n" % len(body)
        self.is_http10 = head.is_http10
        request = dispatcher.submit(self, head, body, reserved_bytes=reserved_bytes)
        self.request = None if request.finished else request

    def _record_refusal(self, status: int, reason: RefusalReason, head: RequestHead | None) -> None:
        request_id = head.request_id if head else b""
        record(EventKind.REQUEST_REFUSED, request_id, status=status, reason=reason, connection=self.number)

    def _reject(self, status: int, reason: RefusalReason) -> None:
        """Reject the request being read and close the connection.

        If responses to previous requests are still due, they are sent and an invalid request gets none.
        """
        self._record_refusal(status, reason, self.head)
        self._release_request()
        self.target, self.head = b"", None
        self.parser = httptools.HttpRequestParser(self)  # releases what it holds of the head
        self.listener.idle.pop(self, None)
        self.phase, self.close_after_response, self.due_at = Phase.CLOSING, True, math.inf
        if self.upload:  # the request can't be completed, so the backend never executes it
            self._end_upload()
            request, self.request = self.request, None
            if request:
                self.listener.dispatcher.client_disconnected(request)
        if reason is RefusalReason.NO_MEMORY and (self.request or self.pipelined):
            self.pipelined.append(ReadRequest(None, status, b""))
        elif self.request is None and not self.pipelined:
            self.delivery.write(response_head(status, DATE_LINE.now(), 0, True))
            self._linger()

    def reject_incomplete(self) -> None:
        """Reject a request that is still being received, because it would be complete too late."""
        if self.upload or self.phase in (Phase.HEAD, Phase.BODY):
            self._reject(503, RefusalReason.DRAINING)

    def on_overdue(self) -> None:
        """Close the connection, or reject its request, because its next step was not made in time."""
        now = time.monotonic()
        is_blocked = PauseReason.BODY_BLOCKED in self.reading_pause
        if self.upload and is_blocked and self.upload.is_progressing(now):
            self._set_timeout(UPLOAD_CHECK_INTERVAL_S)
        elif self.upload:
            self._reject(408, RefusalReason.TIMED_OUT)
        elif self.request or self.pipelined:
            # Only a part of the request after those in flight has been received.
            self._reject(408, RefusalReason.TIMED_OUT)
        elif self.phase in (Phase.HEAD, Phase.BODY):
            self._reject(408, RefusalReason.TIMED_OUT)
        elif self.phase is Phase.IDLE:
            self.close_overdue(CloseReason.IDLE if self.requests_read else CloseReason.NO_FIRST_BYTE)
        else:
            self.abort(CloseReason.LINGER_ENDED)

    def eof_received(self) -> bool:
        """Close the connection: a client that has shut down its sending side counts as disconnected."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Release the connection's memory, and report the disconnect of its request's client."""
        self.listener.remove(self)
        self._release_request()
        self.delivery.end_waiting()
        self._end_upload()
        for read in self.pipelined:
            self.memory.release(MemoryUse.REQUESTS, read.reserved_bytes)
        self.pipelined.clear()
        request, self.request = self.request, None
        if request:
            if not request.finished:
                record(
                    EventKind.CLIENT_DISCONNECTED,
                    request.request_id,
                    connection=self.number,
                    attempts=len(request.attempts),
                )
            self.listener.dispatcher.client_disconnected(request)
        del self.parser  # breaks a reference cycle, which the garbage collector would free late
