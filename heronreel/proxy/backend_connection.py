"""One connection to a backend, and the attempt that it carries.

What a backend responds is buffered until it is complete and within bounds, so that a malformed response is a
failed attempt like any other and no client ever sees a part of it.  A longer one is forwarded as it comes.
"""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass, field
from typing import Protocol, cast

import httptools

from heronreel.balancer.interface import Outcome
from heronreel.proxy.budget import ByteBudget
from heronreel.proxy.errors import UnreadableMessageError
from heronreel.proxy.http1 import (
    DATE_LINE,
    MAX_HEAD_BYTES,
    OPTIONAL_WHITESPACE,
    Headers,
    end_to_end_lines,
)
from heronreel.proxy.streams import (
    MAX_BODY_BYTES,
    MAX_BUFFERED_RESPONSE_BYTES,
    MAX_BUFFERED_UNSIZED_RESPONSE_BYTES,
    STREAM_BYTES,
    RequestBodyStream,
)

MAX_SILENCE_S = 0.3  # a backend silent for so long in the middle of a response won't finish it
MAX_STREAM_SILENCE_S = 2.5  # the same once the client has a part of it: then nothing is gained by a reset
# bytes of a response with interim ones and the framing of chunks, and this much for each byte of its body
MAX_RAW_BYTES = MAX_HEAD_BYTES + 2 * MAX_BUFFERED_RESPONSE_BYTES
MAX_FRAMING_FACTOR = 8
# a body up to this is joined to its head; a larger one is not worth the copy
MAX_JOINED_BODY_BYTES = 16 << 10
MAX_LENGTH_DIGITS = 12  # of a Content-Length


class AttemptRequest(Protocol):
    """What an attempt needs of its request."""

    head: bytes
    body: bytes | bytearray
    upload: RequestBodyStream | None  # in place of a body, where it is forwarded as it comes
    in_flight: int  # attempts that have not ended
    finished: bool


class ResponseBodySink(Protocol):
    """Takes a response's body as it comes, and pauses the connection when it can't take more."""

    def write_body(self, data: bytes) -> None:
        """Take more of the body."""


class AttemptObserver(Protocol):
    """Learns how attempts end."""

    budget: ByteBudget

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, response: Response | None) -> None:
        """An attempt has ended; `response` is the one to give to the client."""

    def is_abandoned(self, attempt: Attempt) -> bool:
        """Whether nobody waits for an attempt that is about to be sent."""

    def response_streaming(
        self, attempt: Attempt, connection: BackendConnection, start: Response, length: int | None
    ) -> ResponseBodySink | None:
        """A long response has begun; who takes it as it comes, None: nobody."""


class ConnectionOwner(Protocol):
    """What a connection needs of its pool."""

    loop: asyncio.AbstractEventLoop
    observer: AttemptObserver
    any_status: bool
    connections: set[BackendConnection]
    starved: dict[BackendConnection, None]

    def release(self, connection: BackendConnection) -> None:
        """Keep a connection for the next attempt, if there can be one."""

    def forget(self, connection: BackendConnection) -> None:
        """A connection is closed or lost."""

    def end_attempt(self, attempt: Attempt, outcome: Outcome, response: Response | None = None) -> None:
        """End an attempt."""

    def abandon_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        """End an attempt and the connection that carries it."""

    def resume_starved(self) -> None:
        """Memory has come free."""


@dataclass(slots=True, eq=False)
class Backend:
    """One backend as this proxy knows it.  It is dropped once it has left and nothing is in flight."""

    number: int
    name: str
    address: tuple[str, int]
    since_ms: float  # when its process started, since the epoch
    pool: str = ""
    listed: bool = True
    draining_since: float = 0.0  # when it was reported as draining or gone, if it is not listed
    cordoned: bool = False  # by operators
    in_flight: int = 0  # attempts that have not ended
    idle: list[BackendConnection] = field(default_factory=list)  # the most recently used last


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to have a request served.  Times are on the monotonic clock, in seconds."""

    request: AttemptRequest
    number: int
    backend: Backend
    started_at: float
    ends_at: float
    send_by: float = math.inf  # a first byte later than this might take effect a second time
    connection: BackendConnection | None = None
    timer: asyncio.TimerHandle | None = None  # of a time-out before the request's deadline
    ended: bool = False


@dataclass(slots=True)
class Response:
    """A backend's response, or the start of one that is forwarded as it comes."""

    status: int
    header_lines: bytes
    body: bytes


class BackendConnection(asyncio.Protocol):
    """One connection to a backend."""

    __slots__ = (
        "abandoned", "address", "attempt", "backend", "body_parts", "complete", "declared_length",
        "ends_with_connection", "has_unsent_bytes", "headers", "idle_since", "keep_alive", "parser", "pool",
        "reading_paused", "received_bytes", "reserved_bytes", "section_bytes", "silence_timer", "sink",
        "status", "transport",
    )  # fmt: skip

    def __init__(self, pool: ConnectionOwner, backend: Backend) -> None:
        self.pool = pool
        self.backend = backend
        self.address = backend.address
        self.transport: asyncio.Transport
        self.parser = httptools.HttpResponseParser(self)
        self.attempt: Attempt | None = None
        self.abandoned = False  # it came up too late
        self.has_unsent_bytes = False  # part of the request still stands in our buffer
        self.headers: Headers = []
        self.body_parts: list[bytes] = []
        self.received_bytes = 0  # for this attempt
        self.section_bytes = 0  # of the head, then of the body
        self.reserved_bytes = 0  # of the budget
        self.status = 0
        self.declared_length: int | None = None  # of the body, where the head says so
        self.sink: ResponseBodySink | None = None  # of a response that is forwarded as it comes
        self.reading_paused = False  # its silence means nothing then
        self.complete = False  # the response's last byte was read
        self.ends_with_connection = False  # the response is as long as the connection
        self.keep_alive = False
        self.idle_since = 0.0
        self.silence_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)  # so that resume_writing means: all is written
        self.pool.connections.add(self)
        if self.abandoned:
            self.transport.abort()

    def abandon(self) -> None:
        """Give up connecting; success may cross this."""
        self.abandoned = True
        if self in self.pool.connections:
            self.transport.abort()

    # Sending.

    def send(self, attempt: Attempt, now: float) -> None:
        """Write an attempt's request."""
        self.attempt, attempt.connection = attempt, self
        self.received_bytes, self.section_bytes, self.status, self.complete = 0, 0, 0, False
        request, transport = attempt.request, self.transport
        left_ms = (attempt.ends_at - now) * 1000.0
        if request.upload:  # its time begins with its last byte, and `ends_at` is far off until then
            left_ms = min(left_ms, request.upload.timeout_ms)
        timeout_ms = max(1, int(left_ms))
        head = b"%bx-deadline-ms: %d\r\n\r\n" % (request.head, timeout_ms)
        if request.upload:
            self.has_unsent_bytes = True
            transport.write(head)
            request.upload.attach(self)
        elif len(request.body) <= MAX_JOINED_BODY_BYTES:
            transport.write(head + request.body)
        else:
            transport.writelines((head, request.body))
        if transport.is_closing():  # the write itself failed, so its last byte was not written
            self._detach_upload()
            self.attempt = None
            self.pool.end_attempt(attempt, Outcome.UNREACHABLE)
        elif not request.upload:
            self.has_unsent_bytes = transport.get_write_buffer_size() > 0

    def write_body(self, data: bytes) -> None:
        """Send more of a request's body."""
        self.transport.write(data)

    def finish_body(self) -> None:
        """The last byte of a request's body stands in our buffer at least."""
        self.has_unsent_bytes = self.transport.get_write_buffer_size() > 0

    def pause_writing(self) -> None:
        """The backend reads too slowly: no more of the body is read from the client."""
        if (upload := self._upload()) and not upload.complete:
            upload.source.set_reading_paused(True)

    def resume_writing(self) -> None:
        """All was written."""
        upload = self._upload()
        self.has_unsent_bytes = upload is not None and not upload.complete
        if self.has_unsent_bytes and upload:
            upload.source.set_reading_paused(False)

    def _upload(self) -> RequestBodyStream | None:
        """The body that this connection forwards."""
        upload = self.attempt.request.upload if self.attempt else None
        return upload if upload and upload.sink is self else None

    def _detach_upload(self) -> None:
        if upload := self._upload():
            upload.detach(self)

    # Reading.  The parser's callbacks only note; what follows from a response follows when all of a segment
    # is read, so that no further attempt can meet the rest of it.

    def set_reading_paused(self, paused: bool) -> None:
        """The client can't take more for now, or can again."""
        if paused != self.reading_paused and not self.transport.is_closing():
            self.reading_paused = paused
            if paused:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Parse more of the response, and act on what is known of it then."""
        if self.attempt is None:
            self.transport.abort()  # no request is in flight
            return
        self.received_bytes += len(data)
        unreadable = False
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            unreadable = True
        if self.complete:
            self._finish_response(self.keep_alive and not unreadable)
        elif unreadable or self.received_bytes > self._max_received_bytes():
            self._fail_response()
        elif self._must_stream() and not self.start_streaming():
            self.set_reading_paused(True)
            self.pool.starved[self] = None
        elif self.silence_timer is None:
            self.silence_timer = self.pool.loop.call_later(
                MAX_SILENCE_S, self._check_silence, self.received_bytes
            )

    def _max_received_bytes(self) -> int:
        return MAX_RAW_BYTES + MAX_FRAMING_FACTOR * self.section_bytes if self.status else MAX_HEAD_BYTES

    def _must_stream(self) -> bool:
        """Whether the response is to be forwarded as it comes, and is not yet."""
        if self.sink is not None or self.attempt is None or self.attempt.ended:
            return False
        if self.status < 200 or not self._is_served(self.status) or not self.body_parts:
            return False
        if self.declared_length is None:
            return self.section_bytes > MAX_BUFFERED_UNSIZED_RESPONSE_BYTES
        return self.declared_length > MAX_BUFFERED_RESPONSE_BYTES

    def start_streaming(self) -> bool:
        """Forward what came of a long response, and from now on what comes; False: no memory for it yet."""
        attempt = self.attempt
        if attempt is None or attempt.ended:
            return True
        budget = self.pool.observer.budget
        if not budget.reserve(STREAM_BYTES):
            return False
        budget.release(self.reserved_bytes)
        self.reserved_bytes = STREAM_BYTES
        parts, self.body_parts = self.body_parts, []
        start = Response(self.status, self._header_lines(), b"".join(parts))
        self.sink = self.pool.observer.response_streaming(attempt, self, start, self.declared_length)
        if self.sink is None:  # nobody is there to take it
            self.pool.abandon_attempt(attempt, Outcome.CANCELLED)
        elif self.silence_timer is None:
            self.silence_timer = self.pool.loop.call_later(
                MAX_STREAM_SILENCE_S, self._check_silence, self.received_bytes
            )
        return True

    def _check_silence(self, received_bytes: int) -> None:
        """Fail a response that stops half-way on a connection that stays open.

        The cause is a length too large, a head or a chunk without end.  A backend that pauses for long while
        it writes fails as well.
        """
        self.silence_timer = None
        if self.attempt is None:
            return
        if self.received_bytes == received_bytes and not self.reading_paused:
            self._fail_response()
        else:
            delay_s = MAX_STREAM_SILENCE_S if self.sink else MAX_SILENCE_S
            self.silence_timer = self.pool.loop.call_later(delay_s, self._check_silence, self.received_bytes)

    def on_message_begin(self) -> None:
        """Parser callback: a message begins."""
        if self.complete:
            raise UnreadableMessageError  # more than belongs to the response

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: one header field."""
        if self.status >= 200 and not self.complete:
            return  # a trailer, which no client of ours requested (RFC 9110, 6.5.1); MAX_RAW_BYTES bounds it
        self.section_bytes += len(name) + len(value) + 4
        if self.section_bytes > MAX_HEAD_BYTES or self.complete:
            raise UnreadableMessageError
        self.headers.append((name.lower(), value.rstrip(OPTIONAL_WHITESPACE)))

    def on_headers_complete(self) -> None:
        """Parser callback: check the framing, on which the reuse of the connection depends."""
        self.status = self.parser.get_status_code()
        self.keep_alive = self.parser.should_keep_alive()
        self.section_bytes = 0
        if self.status < 200:
            return
        lengths = [value for name, value in self.headers if name == b"content-length"]
        chunked = any(name == b"transfer-encoding" for name, _ in self.headers)
        self.ends_with_connection = not lengths and not chunked and self.status not in (204, 304)
        closes = any(name == b"connection" and value.lower() == b"close" for name, value in self.headers)
        # a response may end with its connection only if it says so: a broken head may have lost its length
        if len(lengths) + chunked > 1 or (self.ends_with_connection and not closes):
            raise UnreadableMessageError
        if lengths and (
            not lengths[0].isdigit()
            or len(lengths[0]) > MAX_LENGTH_DIGITS
            or int(lengths[0]) > MAX_BODY_BYTES
        ):
            raise UnreadableMessageError
        self.declared_length = int(lengths[0]) if lengths else None

    def on_body(self, data: bytes) -> None:
        """Parser callback: buffer more of the body, or forward it."""
        attempt = self.attempt
        self.section_bytes += len(data)
        if self.section_bytes > MAX_BODY_BYTES:
            raise UnreadableMessageError
        if attempt is None or attempt.ended or not self._is_served(self.status):
            if self.section_bytes > MAX_BUFFERED_RESPONSE_BYTES:
                raise UnreadableMessageError  # it is not worth its bytes to keep the connection
            return  # read and dropped
        if self.sink is not None:
            self.sink.write_body(data)
            return
        if not self.pool.observer.budget.reserve(len(data)):
            raise UnreadableMessageError  # no memory for it: like a malformed one it may have run
        self.reserved_bytes += len(data)
        self.body_parts.append(data)

    def on_message_complete(self) -> None:
        """Parser callback: the response is complete, or an interim one is over."""
        if self.status == 101 or self.status >= 200:
            self.complete = True
        else:
            self.headers, self.status = [], 0  # an interim response: the real one follows

    def _finish_response(self, reusable: bool) -> None:
        """End the attempt.  Only a connection whose next response has a certain start is kept."""
        attempt, status, headers, parts = self.attempt, self.status, self.headers, self.body_parts
        streamed, header_lines = self.sink is not None, self._header_lines()
        self._clear()
        if reusable and not self.has_unsent_bytes and status != 101 and not self.ends_with_connection:
            self.pool.release(self)
        else:
            self.transport.abort()
        if attempt is None or attempt.ended:
            return
        if streamed:
            self.pool.end_attempt(attempt, Outcome.SERVED)
        elif self._is_served(status):
            self.pool.end_attempt(attempt, Outcome.SERVED, Response(status, header_lines, b"".join(parts)))
        elif 400 <= status < 500 and not self.pool.any_status:
            # the backend can't use what the client sent, which is no sign of the backend's health
            self.pool.end_attempt(attempt, Outcome.CANCELLED, Response(400, DATE_LINE.now(), b""))
        else:
            not_run = status in (429, 503, 504) and (b"x-not-run", b"1") in headers
            self.pool.end_attempt(attempt, Outcome.REJECTED if not_run else Outcome.ERROR)

    def _header_lines(self) -> bytes:
        lines = end_to_end_lines(self.headers)
        if not any(name == b"date" for name, _ in self.headers):
            lines += DATE_LINE.now()  # RFC 9110, 6.6.1: who forwards a response without one adds it
        return lines

    def _is_served(self, status: int) -> bool:
        """On the platform only a 200 serves a request; elsewhere all but a server's failure."""
        return status == 200 or (self.pool.any_status and 200 <= status < 500 and status != 429)

    def _fail_response(self) -> None:
        """No response that HTTP knows, or none that ends: an error, and the request may have run."""
        self.transport.abort()
        self._fail_attempt(Outcome.ERROR)

    def eof_received(self) -> bool:
        """The backend has ended its sending, and with it a response without a length."""
        if self.ends_with_connection and self.attempt is not None:
            self._finish_response(False)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the attempt, which never ran if its last byte was not written."""
        self.pool.forget(self)
        self._fail_attempt(Outcome.UNREACHABLE if self.has_unsent_bytes else Outcome.RESET)
        del self.parser  # it refers back to us, and the collector would come late

    def _fail_attempt(self, outcome: Outcome) -> None:
        attempt = self.attempt
        self._clear()
        if attempt is not None:
            self.pool.end_attempt(attempt, outcome)

    def _clear(self) -> None:
        self._detach_upload()
        self.attempt, self.headers, self.body_parts = None, [], []
        self.sink, self.declared_length = None, None
        self.pool.starved.pop(self, None)
        self.set_reading_paused(False)
        self.pool.observer.budget.release(self.reserved_bytes)
        self.reserved_bytes = 0
        self.pool.resume_starved()
        if self.silence_timer:
            self.silence_timer.cancel()
            self.silence_timer = None
