"""The reading side of a client's connection: one request at a time, with the bounds on what clients send.

A request is handed on when its last byte is read.  What is malformed or too large is rejected here and the
connection ends; what finds no room is rejected before anything ran.  No connection waits without end: each
has a time by which its next step is due.
"""

from __future__ import annotations

import asyncio
import math
import time
from typing import cast

import httptools

from heronreel.proxy.client_interface import (
    LARGE_BODY_SHARE,
    MAX_BODY_PAUSE_S,
    MAX_FRAMING_BYTES,
    MAX_HEADER_FIELDS,
    MAX_LINGER_BYTES,
    MAX_PIPELINED,
    MAX_UPLOAD_PAUSE_S,
    MIN_BODY_BYTES_PER_S,
    REQUEST_TIMEOUT_S,
    SMALL_BODY_BYTES,
    TOO_MANY_PIPELINED,
    ConnectionRegistry,
    Phase,
    ReadRequest,
)
from heronreel.proxy.client_writer import ClientWriter
from heronreel.proxy.errors import UnreadableMessageError
from heronreel.proxy.event_log import CloseReason, EventKind, RefusalReason, record
from heronreel.proxy.http1 import (
    CONTINUE_RESPONSE,
    DATE_LINE,
    MAX_HEAD_BYTES,
    MAX_TARGET_BYTES,
    OPTIONAL_WHITESPACE,
    Headers,
    is_host,
    response_head,
    split_absolute_form,
)
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
    RequestBodyStream,
)


class ClientConnection(ClientWriter):
    """One client connection."""

    __slots__ = (
        "admitted", "body", "body_bytes", "declared_length", "error_reason", "error_status", "head",
        "header_bytes", "headers", "parser", "requests_read", "started_at", "target",
    )  # fmt: skip

    def __init__(self, listener: ConnectionRegistry[ClientConnection]) -> None:
        super().__init__(listener)
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.headers: Headers = []
        self.body: bytes | bytearray = b""
        self.head: RequestHead | None = None  # of the request being read; None: no backend is needed
        self.error_status = 0  # of the response to the request being read, where no backend is needed
        self.error_reason: RefusalReason | None = None
        self.header_bytes = self.body_bytes = 0
        self.requests_read = 0
        self.declared_length = 0  # of the body; 0: unknown
        self.started_at = time.monotonic()  # of the request being read; infinite between requests
        self.admitted = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Have the connection counted."""
        self.transport = cast(asyncio.Transport, transport)
        self.listener.silent[self] = None
        self.admitted = self.listener.admit(self)

    # Reading.  A callback that raises ends the parsing of what came; `error_status` is the response's.

    def data_received(self, data: bytes) -> None:
        """Parse more of the requests."""
        self.listener.silent.pop(self, None)
        self.progress_bytes += len(data)
        if self.phase is Phase.CLOSING:
            record(EventKind.INPUT_DROPPED, bytes=len(data), connection=self.number)
            if self.progress_bytes > MAX_LINGER_BYTES:
                self.transport.pause_reading()  # 60 MB need not be read to be rejected
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.close_after_response = True  # no other protocol is spoken here; what follows can't be read
        except httptools.HttpParserError:
            self._on_unreadable()
            return
        if self.progress_bytes > MAX_HEAD_BYTES and self.phase is Phase.HEAD:
            self._reject(431, RefusalReason.INVALID)
        elif self.progress_bytes > MAX_HEAD_BYTES + MAX_FRAMING_BYTES:  # bounds memory
            self._reject(400, RefusalReason.INVALID)

    def _on_unreadable(self) -> None:
        if self._is_closing():
            return  # its response was sent while its body was still coming
        if self.phase is Phase.IDLE and self.close_after_response:
            self.transport.pause_reading()  # its last request was read; nothing that follows is wanted
        else:
            self._reject(self.error_status or 400, self.error_reason or RefusalReason.INVALID)

    def _is_closing(self) -> bool:
        """Whether nothing more is read but to be dropped."""
        return self.phase is Phase.CLOSING

    def on_message_begin(self) -> None:
        """Parser callback: a request begins."""
        if self.phase is Phase.CLOSING:
            raise UnreadableMessageError
        self.listener.idle.pop(self, None)
        if self.started_at == math.inf:  # the first request's time began with the connection
            self.started_at = time.monotonic()
        self.target, self.headers, self.body = b"", [], b""
        self.head, self.error_status, self.error_reason = None, 0, None
        self.header_bytes, self.body_bytes, self.declared_length = 0, 0, 0
        self.phase = Phase.HEAD
        self.due_at = self.started_at + REQUEST_TIMEOUT_S

    def on_url(self, url: bytes) -> None:
        """Parser callback: more of the target."""
        self.target += url
        if len(self.target) > MAX_TARGET_BYTES:
            self._refuse(414)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: one header or trailer field."""
        self.header_bytes += len(name) + len(value) + 4
        if self.header_bytes > MAX_HEAD_BYTES or len(self.headers) >= MAX_HEADER_FIELDS:
            self._refuse(431)
        if self.phase is Phase.HEAD:
            self.headers.append((name.lower(), value.rstrip(OPTIONAL_WHITESPACE)))

    def _refuse(self, status: int, reason: RefusalReason = RefusalReason.INVALID) -> None:
        """End the parsing; the response has that status."""
        self.error_status, self.error_reason = status, reason
        raise UnreadableMessageError

    def on_headers_complete(self) -> None:
        """Parser callback: check the head."""
        self.phase = Phase.BODY
        if len(self.target) + self.header_bytes > MAX_HEAD_BYTES:
            self._refuse(431)
        self.progress_bytes = 0
        version = self.parser.get_http_version()
        if version not in VERSIONS:
            self._refuse(505)  # RFC 9110, 15.6.6; HTTP/0.9 too, which the parser reads
        fields = dict(self.headers)
        if not is_well_framed(self.headers, fields, version):
            self._refuse(400)
        if version == "1.0":
            self.close_after_response = True  # RFC 9112, 9.3: no proxy keeps a connection of HTTP/1.0
        if absolute := split_absolute_form(self.target):
            self._take_authority(*absolute)
            fields[b"host"] = absolute[0]
        self._take_length(fields.get(b"content-length", b"0"))
        if not self.parser.should_keep_alive():
            self.close_after_response = True
        self._take_head(fields, version)
        if version == "1.1" and fields.get(b"expect", b"").lower() == b"100-continue" and not self.request:
            self._continue()

    def _take_authority(self, authority: bytes, target: bytes) -> None:
        """RFC 9112, 3.2.2: what the target names counts, whatever the Host field names."""
        if not authority or not is_host(authority):
            self._refuse(400)
        self.target = target
        self.headers = [(name, value) for name, value in self.headers if name != b"host"]
        self.headers.append((b"host", authority))

    def _take_length(self, length: bytes) -> None:
        if not length.isdigit():
            self._refuse(400)
        if len(length) > MAX_NUMBER_DIGITS or int(length) > MAX_BODY_BYTES:
            self._refuse(413)
        self.declared_length = int(length)

    def _take_head(self, fields: Fields, version: str) -> None:
        listener = self.listener
        found = read_request_head(
            listener.dispatcher,
            listener.is_ready,
            self.parser.get_method(),
            self.target,
            self.headers,
            fields,
            version,
        )
        if isinstance(found, RequestHead):
            found.is_http10 = version == "1.0"
            self.head = found
            return
        self.error_status = found
        if 400 <= found < 500:
            self._refuse(found)  # the body need not come

    def _continue(self) -> None:
        """RFC 9110, 10.1.1: the client waits with its body; HTTP/1.0 has no interim responses."""
        if self.error_status or not self.admitted:
            self._refuse(self.error_status or 503, self.error_reason or RefusalReason.TOO_MANY_CONNECTIONS)
        self.transport.write(CONTINUE_RESPONSE)

    def on_body(self, data: bytes) -> None:
        """Parser callback: buffer more of the body, or forward it."""
        if self.phase is Phase.CLOSING:
            raise UnreadableMessageError  # its response was sent while it came
        self.body_bytes += len(data)
        self.progress_bytes = 0
        if self.body_bytes > MAX_BODY_BYTES:
            self._refuse(413)
        if self.body_bytes > SMALL_BODY_BYTES:
            self._extend_due_time()
        if self.error_status:
            return
        if self.upload:
            self.upload.feed(data)
            return
        self._buffer_body(data)
        # a body that found no memory has lost its first bytes, so its rest must not be forwarded
        if not self.error_status and (
            self.body_bytes > MAX_BUFFERED_REQUEST_BYTES or self.declared_length > MAX_BUFFERED_REQUEST_BYTES
        ):
            self._start_upload()

    def _extend_due_time(self) -> None:
        """A large body may take as long as it comes on at the minimum rate."""
        now = time.monotonic()
        first_due_at = self.started_at + REQUEST_TIMEOUT_S
        at_minimum_rate = first_due_at + self.body_bytes / MIN_BODY_BYTES_PER_S
        self.due_at = max(first_due_at, min(now + MAX_BODY_PAUSE_S, at_minimum_rate))

    def _buffer_body(self, data: bytes) -> None:
        share = 1.0 if self.body_bytes <= SMALL_BODY_BYTES else LARGE_BODY_SHARE
        if not self.admitted or not self.listener.dispatcher.budget.reserve(len(data), share):
            self._drop_body()
            # nothing of it ran; the client reads so once its body is out
            self.error_status, self.error_reason = 503, RefusalReason.NO_MEMORY
        elif not self.body:
            self.body = data
        else:
            if isinstance(self.body, bytes):
                self.body = bytearray(self.body)
            self.body += data

    def _drop_body(self) -> None:
        self.listener.dispatcher.budget.release(len(self.body))
        self.body = b""

    def _start_upload(self) -> None:
        """A body too long to be buffered goes on to a backend while it comes."""
        dispatcher, head = self.listener.dispatcher, self.head
        duplicate = head is not None and head.request_id and head.request_id in dispatcher.request_ids
        busy = bool(self.request or self.pipelined)
        admitting = self.listener.is_admitting()
        if busy or head is None or duplicate or not admitting:
            self._drop_body()
            self.error_status = 400 if admitting and not busy else 503
            self.error_reason = RefusalReason.NO_MEMORY if busy else RefusalReason.DUPLICATE_ID
            if not admitting:
                self.error_reason = RefusalReason.DRAINING
            return
        body, self.body = bytes(self.body), b""
        if self.declared_length:
            head.encoded_head += b"content-length: %d\r\n" % self.declared_length
        else:
            head.encoded_head += b"transfer-encoding: chunked\r\n"
        self.is_http10 = head.is_http10
        self.upload = RequestBodyStream(self, dispatcher.budget, body, not self.declared_length)
        request = dispatcher.submit(self, head, b"", self.upload)
        if request.finished:
            raise UnreadableMessageError
        self.request = request

    def set_reading_paused(self, paused: bool) -> None:
        """Nobody takes what we read of a long body, or somebody does again."""
        if paused == self.reading_paused or self.phase is not Phase.BODY or self.transport.is_closing():
            return
        self.reading_paused = paused
        if paused:
            self.due_at = time.monotonic() + MAX_UPLOAD_PAUSE_S
            self.transport.pause_reading()
        else:
            self.due_at = time.monotonic() + MAX_BODY_PAUSE_S
            self.transport.resume_reading()

    def on_message_complete(self) -> None:
        """Parser callback: hand the request on, or keep it until the one before it has its response."""
        if self.phase is Phase.CLOSING:
            raise UnreadableMessageError
        self.phase, self.progress_bytes, self.due_at, self.started_at = Phase.IDLE, 0, math.inf, math.inf
        if self.upload:
            self._finish_upload(self.upload)
            return
        if self.head:
            self.head.read_at = time.monotonic()
        read = ReadRequest(self.head, self.error_status, self.body, self.error_reason)
        self.body, self.headers, self.head, self.target = b"", [], None, b""
        self.requests_read += 1
        if self.request is None and not self.pipelined:
            if not self.listener.is_closing_connections():
                self._serve(read)
                return
            # its response ends the connection: what was read with it is read to its end first, and answered
            self.listener.loop.call_soon(self._serve_pipelined)
        kept = MAX_PIPELINED if self.request else MAX_PIPELINED + 1
        if len(self.pipelined) >= kept:  # answered in its turn, but not kept until then
            self.listener.dispatcher.budget.release(len(read.body))
            read = TOO_MANY_PIPELINED
        self.pipelined.append(read)
        self.transport.pause_reading()  # one at a time; so it can't be seen leaving until then

    def _finish_upload(self, upload: RequestBodyStream) -> None:
        self.upload, self.head = None, None
        upload.finish()
        if self.request:
            self.listener.dispatcher.upload_finished(self.request)

    def _serve(self, read: ReadRequest) -> None:
        dispatcher = self.listener.dispatcher
        head, status, body, reason = read
        if not self.admitted:
            status, self.close_after_response = status or 503, True
            reason = reason or RefusalReason.TOO_MANY_CONNECTIONS
        if head and not status and head.request_id and head.request_id in dispatcher.request_ids:
            # the id of an open request is what tells its response and its effect from others'
            status, reason = 400, RefusalReason.DUPLICATE_ID
        if head and not status and not self.listener.is_admitting():
            status, reason = 503, RefusalReason.DRAINING
        if head is None or status:
            dispatcher.budget.release(len(body))
            if reason:
                self._record_refusal(status or 400, reason, head)
            # a client that can't send a valid request need not send another one here
            invalid = 400 <= status < 500 and status != TOO_MANY_PIPELINED.error_status
            self.close_after_response = self.close_after_response or invalid
            self.respond(status or 400, DATE_LINE.now())
            return
        # a body of the framing that backends get: always its length
        if body or head.is_write:
            head.encoded_head += b"content-length: %d\r\n" % len(body)
        self.is_http10 = head.is_http10
        request = dispatcher.submit(self, head, body)
        self.request = None if request.finished else request

    def _record_refusal(self, status: int, reason: RefusalReason, head: RequestHead | None) -> None:
        request_id = head.request_id if head else b""
        record(EventKind.REQUEST_REFUSED, request_id, status=status, reason=reason, connection=self.number)

    def _reject(self, status: int, reason: RefusalReason) -> None:
        """Reject what can't be served.  Responses owed for what came before it are sent first, and alone."""
        self._record_refusal(status, reason, self.head)
        self._drop_body()
        self.target, self.headers, self.head = b"", [], None
        self.listener.idle.pop(self, None)
        self.phase, self.close_after_response, self.due_at = Phase.CLOSING, True, math.inf
        if self.upload:  # it can't be finished, so what was sent of it never runs
            self.upload, request, self.request = None, self.request, None
            if request:
                self.listener.dispatcher.client_disconnected(request)
        if self.request is None and not self.pipelined:
            self.transport.write(response_head(status, DATE_LINE.now(), 0, True))
            self._linger()

    def reject_incomplete(self) -> None:
        """No request that is complete from now on is served, so what is not complete need not come."""
        if self.upload or self.phase in (Phase.HEAD, Phase.BODY):
            self._reject(503, RefusalReason.DRAINING)

    def on_overdue(self) -> None:
        """The connection's next step was not made in time."""
        if self.upload:
            self._reject(408, RefusalReason.TIMED_OUT)
        elif self.request or self.pipelined:
            if self.writing_paused:
                self.abort(CloseReason.NOT_TAKING)
            else:
                self._reject(408, RefusalReason.TIMED_OUT)  # of the next one only a part came
        elif self.phase in (Phase.HEAD, Phase.BODY):
            self._reject(408, RefusalReason.TIMED_OUT)
        elif self.phase is Phase.IDLE and not self.transport.get_write_buffer_size():
            self.close(CloseReason.IDLE if self.requests_read else CloseReason.SILENT)
        else:
            self.abort(CloseReason.LINGERED)

    def eof_received(self) -> bool:
        """The client has ended its sending, and counts as gone."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Release the connection's memory, and report its request's client as gone."""
        self.listener.forget(self)
        self._drop_body()
        for read in self.pipelined:
            self.listener.dispatcher.budget.release(len(read.body))
        self.pipelined.clear()
        request, self.request = self.request, None
        if request:
            if not request.finished:
                record(
                    EventKind.CLIENT_LEFT,
                    request.request_id,
                    connection=self.number,
                    attempts=len(request.attempts),
                )
            self.listener.dispatcher.client_disconnected(request)
        del self.parser  # it refers back to us, and the collector would come late
