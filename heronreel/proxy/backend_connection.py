"""One connection to a backend, and the attempt that it carries.

A response is buffered until it is complete, within a size limit.  A malformed response is therefore a failed
attempt like any other, and no client ever sees a part of it.  A longer response is forwarded while it is
being received.
"""

from __future__ import annotations

import asyncio
import math
import time
from dataclasses import dataclass, field
from typing import Protocol, cast

import httptools

from heronreel.balancer.interface import Outcome
from heronreel.proxy.chunk_sizes import ChunkSizeCheck
from heronreel.proxy.delivery_monitor import DeliveryMonitor
from heronreel.proxy.errors import NoMemoryError, UnreadableMessageError
from heronreel.proxy.event_log import FailureReason
from heronreel.proxy.field_buffer import FieldBuffer
from heronreel.proxy.http1 import DATE_LINE, MAX_HEAD_BYTES
from heronreel.proxy.memory_account import CONNECTION_BYTES, MemoryAccount, MemoryUse
from heronreel.proxy.read_buffer import ReadingProtocol
from heronreel.proxy.reading_pause import PauseReason, ReadingPause
from heronreel.proxy.response import Response, ResponseBodySink, ResponseHead, read_response_head
from heronreel.proxy.reuse_delay import ReuseDelay
from heronreel.proxy.socket_state import discard_unsent_bytes, unsent_bytes
from heronreel.proxy.streams import (
    MAX_BODY_BYTES,
    MAX_BUFFERED_RESPONSE_BYTES,
    MAX_BUFFERED_UNSIZED_RESPONSE_BYTES,
    MAX_STREAM_BUFFER_BYTES,
    RequestBodyStream,
)

# A backend that sends nothing for this long in the middle of a short response is not expected to finish it.
MAX_SILENCE_S = 0.3
# The same limit for a response that the client has received in part, where an early reset gains nothing.
MAX_STREAM_SILENCE_S = 2.5
# Limit of the bytes received for one response, including interim responses and the framing of chunks.
MAX_RAW_BYTES = MAX_HEAD_BYTES + 2 * MAX_BUFFERED_RESPONSE_BYTES
# The limit grows by this many bytes for each byte of the body.
MAX_FRAMING_FACTOR = 8
# A request body up to this size is joined to its head in one buffer; copying a larger one is not worthwhile.
MAX_JOINED_BODY_BYTES = 16 << 10


# A pool and an address in it.
Place = tuple[str, tuple[str, int]]


class AttemptRequest(Protocol):
    """The part of a request that its attempts use.

    Attributes:
        head: Request line and header lines, without the deadline header.
        upload: Replaces `body` if the body is forwarded while it is being received.
        in_flight: The number of attempts that have not ended.
        finished: Whether the client has its response or has disconnected.
    """

    head: bytes
    body: bytes | bytearray
    upload: RequestBodyStream | None
    in_flight: int
    finished: bool


class AttemptObserver(Protocol):
    """Receives the outcomes and responses of attempts."""

    memory: MemoryAccount

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, response: Response | None) -> None:
        """Handle the end of an attempt; `response`, if any, is the one to send to the client."""

    def is_abandoned(self, attempt: Attempt) -> bool:
        """Return whether the client of an attempt that is about to be sent has disconnected."""

    def attempt_stalled(self, attempt: Attempt) -> None:
        """Handle that a response brings no more bytes at present, while its attempt goes on."""

    def response_streaming(
        self, attempt: Attempt, connection: BackendConnection, start: Response, length: int | None
    ) -> ResponseBodySink | None:
        """Handle the start of a long response.

        Returns the sink that its body is forwarded to, or None if no client is waiting for it.
        """


class ConnectionOwner(Protocol):
    """The part of the connection pool that a connection uses."""

    loop: asyncio.AbstractEventLoop
    observer: AttemptObserver
    accepts_any_status: bool
    connections: set[BackendConnection]
    waiting_for_memory: dict[BackendConnection, None]

    def release(self, connection: BackendConnection) -> None:
        """Keep a connection for the next attempt, or close it."""

    def remove(self, connection: BackendConnection) -> None:
        """Stop counting a connection that is closed or lost."""

    def end_attempt(self, attempt: Attempt, outcome: Outcome, response: Response | None = None) -> None:
        """End an attempt and report its outcome."""

    def abandon_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        """End an attempt and close the connection that carries it."""

    def resume_waiting_for_memory(self) -> None:
        """Resume responses that wait for memory, after memory was released."""


@dataclass(slots=True, eq=False)
class Backend:
    """The state of one backend.

    A backend is dropped once it has left the endpoint list and no attempt is in flight to it.

    Attributes:
        since_ms: When the backend's process started, in ms since the epoch.
        pool: The backend's pool; empty for a backend of discovery's list.
        listed: Whether the endpoint list has the backend as active.
        draining_since: When a backend that is not listed was reported as draining or gone, on the monotonic
            clock in seconds.
        cordoned: Whether an operator has cordoned the backend.
        in_flight: The number of attempts that have not ended.
        idle: The idle connections, by the end of their last response.
        reuse_delay: How long a connection rests after a response before it carries the next request.
    """

    number: int
    name: str
    address: tuple[str, int]
    since_ms: float
    pool: str = ""
    listed: bool = True
    draining_since: float = 0.0
    cordoned: bool = False
    in_flight: int = 0
    idle: list[BackendConnection] = field(default_factory=list)
    reuse_delay: ReuseDelay = field(default_factory=ReuseDelay)

    @property
    def place(self) -> Place:
        """The pool and address, at which only one process can be."""
        return (self.pool, self.address)


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to get a request served by a backend.

    Attributes:
        number: The index of the attempt among those of its request.
        started_at: When the attempt was started, on the monotonic clock in seconds.
        ends_at: When the attempt times out, on the same clock.
        send_by: Sent after this time, the request might take effect a second time; on the same clock.
        timer: The timer of a timeout before the request's deadline.
        failure: Why the response was not usable, if that is known.
    """

    request: AttemptRequest
    number: int
    backend: Backend
    started_at: float
    ends_at: float
    send_by: float = math.inf
    connection: BackendConnection | None = None
    timer: asyncio.TimerHandle | None = None
    ended: bool = False
    failure: FailureReason | None = None


class BackendConnection(ReadingProtocol):
    """One connection to a backend, which carries one attempt at a time."""

    __slots__ = (
        "abandoned", "address", "attempt", "backend", "body_parts", "chunk_sizes", "complete", "delivery",
        "fields", "has_unsent_bytes", "head", "heads_in_read", "idle_since", "keep_alive", "parser", "pool",
        "reading_pause", "received_bytes", "reserved_bytes", "responded_at", "section_bytes", "silence_timer",
        "sink", "status", "stream_parts", "transport",
    )  # fmt: skip

    def __init__(self, pool: ConnectionOwner, backend: Backend) -> None:
        self.pool = pool
        self.backend = backend
        self.address = backend.address
        self.transport: asyncio.Transport
        self.parser = httptools.HttpResponseParser(self)
        self.attempt: Attempt | None = None
        self.abandoned = False  # Connecting was given up.
        # Part of the request is still in the write buffer, or was not received from the client yet.
        self.has_unsent_bytes = False
        self.fields = FieldBuffer()  # Of the head being received.
        self.head: ResponseHead | None = None  # The head of the final response, once it is complete.
        self.body_parts: list[bytes] = []
        self.received_bytes = 0  # Bytes received for the current attempt.
        self.section_bytes = 0  # Size of the head so far, then of the body so far.
        self.reserved_bytes = 0  # Bytes reserved from the account.
        self.status = 0
        # Receives a response that is forwarded while it is being received.
        self.sink: ResponseBodySink | None = None
        self.stream_parts: list[bytes] = []  # Parts of it that the read in progress has brought.
        # While reading is paused, missing input is no sign of a stalled backend.
        self.reading_pause: ReadingPause
        self.delivery: DeliveryMonitor  # Of requests whose bodies are forwarded.
        # Checks a chunked response until it is forwarded; None for other responses.
        self.chunk_sizes: ChunkSizeCheck | None = ChunkSizeCheck()
        self.heads_in_read = 0  # Heads that the bytes read last have completed.
        self.complete = False  # The last byte of the response was read.
        self.keep_alive = False
        self.idle_since = 0.0
        self.responded_at = -math.inf  # When the last response ended, on the monotonic clock in seconds.
        self.silence_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the new connection in the pool."""
        self.transport = cast(asyncio.Transport, transport)
        self.reading_pause = ReadingPause(self.transport, self._on_pause_changed)
        self.delivery = DeliveryMonitor(self.transport)
        # With a limit of 0, `resume_writing` is called when everything has been written.
        self.transport.set_write_buffer_limits(high=0)
        self.pool.connections.add(self)
        self.pool.observer.memory.charge(MemoryUse.CONNECTIONS, CONNECTION_BYTES)
        if self.abandoned:
            self.transport.abort()

    def abandon(self) -> None:
        """Give up connecting.  The connection may come up at the same moment, and is then closed."""
        self.abandoned = True
        if self in self.pool.connections:
            self.transport.abort()

    # Sending.

    def send(self, attempt: Attempt, now: float) -> None:
        """Write the request of an attempt."""
        self.attempt, attempt.connection = attempt, self
        self.received_bytes, self.section_bytes, self.status, self.complete = 0, 0, 0, False
        self.chunk_sizes = ChunkSizeCheck()
        request, transport = attempt.request, self.transport
        remaining_ms = (attempt.ends_at - now) * 1000.0
        if request.upload:
            # The timeout of an upload starts with its last byte, and `ends_at` is far in the future until
            # then.
            remaining_ms = min(remaining_ms, request.upload.timeout_ms)
        timeout_ms = max(1, int(remaining_ms))
        head = b"%bx-deadline-ms: %d\r\n\r\n" % (request.head, timeout_ms)
        if request.upload:
            self.has_unsent_bytes = True
            self.delivery.renew()
            self.delivery.write(head)
            request.upload.attach(self)
        elif len(request.body) <= MAX_JOINED_BODY_BYTES:
            transport.write(head + request.body)
        else:
            transport.writelines((head, request.body))
        if transport.is_closing():  # The write itself failed, so the last byte was not written.
            self._detach_upload()
            self.attempt = None
            self.pool.end_attempt(attempt, Outcome.UNREACHABLE)
        elif not request.upload:
            self.has_unsent_bytes = transport.get_write_buffer_size() > 0

    def write_body(self, data: bytes) -> None:
        """Send the next part of a request body."""
        self.delivery.write(data)

    def finish_body(self) -> None:
        """Handle the end of a request body: its last byte was sent or is in the write buffer."""
        self.has_unsent_bytes = self.transport.get_write_buffer_size() > 0

    def pause_writing(self) -> None:
        """Stop reading the request body from the client, because the backend reads too slowly."""
        self.delivery.begin_waiting()
        if upload := self._upload():
            upload.update_source()

    def resume_writing(self) -> None:
        """Resume reading the request body from the client, because the write buffer is empty."""
        self.delivery.end_waiting()
        upload = self._upload()
        self.has_unsent_bytes = upload is not None and not upload.complete
        if upload:
            upload.update_source()

    def has_undelivered_bytes(self) -> bool:
        """Return whether part of the request can still be kept from the backend, so that it never runs."""
        return self.has_unsent_bytes or unsent_bytes(self.transport) > 0

    def give_up(self) -> None:
        """Close the connection, so that the backend gets no more of the request.

        The kernel would otherwise go on to deliver what was written before the close.
        """
        if unsent_bytes(self.transport):
            discard_unsent_bytes(self.transport)
        self.transport.abort()

    def is_blocked(self) -> bool:
        """Return whether the backend does not take more of the request at present."""
        return self.delivery.waiting

    def is_taking(self, now: float) -> bool:
        """Return whether the backend takes the request body, on the monotonic clock in seconds."""
        return self.delivery.is_taking(now)

    def _upload(self) -> RequestBodyStream | None:
        """Return the request body that this connection forwards, if any."""
        upload = self.attempt.request.upload if self.attempt else None
        return upload if upload and upload.sink is self else None

    def _detach_upload(self) -> None:
        if upload := self._upload():
            upload.detach(self)

    # Reading.  The parser callbacks only record what they receive.  Responses are handled after all received
    # bytes were parsed, so that no further attempt can receive the rest of those bytes.

    def set_client_blocked(self, blocked: bool) -> None:
        """Pause or resume reading, depending on whether the client can accept more of the response."""
        if blocked:
            self.reading_pause.add(PauseReason.CLIENT_BLOCKED)
        else:
            self.reading_pause.remove(PauseReason.CLIENT_BLOCKED)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, then finish, fail, stream or keep waiting for the response."""
        if self.attempt is None:
            # No request is in flight, so the bytes belong to no response.
            now = time.monotonic()
            self.backend.reuse_delay.note_unexpected_bytes(now - self.responded_at, now)
            self.transport.abort()
            return
        self.received_bytes += len(data)
        failure = self._parse(data)
        self._forward_stream_parts()
        if self.complete:
            self._finish_response(self.keep_alive and failure is None)
        elif failure:
            self._fail_response(failure)
        elif self.received_bytes > self._max_received_bytes():
            self._fail_response(FailureReason.TOO_LONG)
        elif self.head is None and not self._hold(self.received_bytes):
            self._fail_response(FailureReason.NO_MEMORY)
        elif self._must_stream() and not self.start_streaming():
            self.reading_pause.add(PauseReason.MEMORY_USED_UP)
            self.pool.waiting_for_memory[self] = None
        elif self.silence_timer is None:
            self._watch_silence()

    def _hold(self, size: int) -> bool:
        """Hold `size` bytes of memory in all for the response; return whether there is enough."""
        if not self.pool.observer.memory.resize(MemoryUse.RESPONSES, self.reserved_bytes, size):
            return False
        self.reserved_bytes = size
        return True

    def _forward_stream_parts(self) -> None:
        """Forward what one read has brought in one piece, however many chunks it has."""
        parts, self.stream_parts = self.stream_parts, []
        if parts and self.sink is not None:
            self.sink.write_body(b"".join(parts))

    def _parse(self, data: bytes) -> FailureReason | None:
        """Parse received bytes; return why the response is not usable, or None."""
        had_head, self.heads_in_read = self.head is not None, 0
        try:
            self.parser.feed_data(data)
            if not self._has_allowed_chunks(data, had_head):
                return FailureReason.TOO_LONG
        except httptools.HttpParserCallbackError as error:
            no_memory = isinstance(error.__context__, NoMemoryError)
            return FailureReason.NO_MEMORY if no_memory else FailureReason.MALFORMED
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return FailureReason.MALFORMED
        return None

    def _has_allowed_chunks(self, data: bytes, had_head: bool) -> bool:
        check = self.chunk_sizes
        if check is None or self.sink is not None or self.complete:
            return True
        if had_head:
            return check.allows(data)
        if self.head is not None:
            return check.begin(data, self.heads_in_read)
        check.note_head(data)
        return True

    def _max_received_bytes(self) -> int:
        if self.status:
            return MAX_RAW_BYTES + MAX_FRAMING_FACTOR * self.section_bytes
        return MAX_HEAD_BYTES

    def _must_stream(self) -> bool:
        """Return whether the response has to be streamed and streaming has not started yet."""
        if self.sink is not None or self.attempt is None or self.attempt.ended:
            return False
        if self.head is None or not self._is_served(self.status):
            return False
        length = self.head.framing.declared_length
        if length is None:
            return self.section_bytes > MAX_BUFFERED_UNSIZED_RESPONSE_BYTES
        # Its length alone tells that the response is long, also before the body begins.
        return length > MAX_BUFFERED_RESPONSE_BYTES

    def _may_become_long(self) -> bool:
        """Return whether the head leaves open whether the response is a long one."""
        if self.head is None or not self._is_served(self.status):
            return False
        return self.head.framing.declared_length is None

    def start_streaming(self) -> bool:
        """Start forwarding a long response to the client.

        Returns False if there is not enough memory for it yet.
        """
        attempt, head = self.attempt, self.head
        if attempt is None or attempt.ended or head is None:
            return True
        if not self._hold(MAX_STREAM_BUFFER_BYTES):
            return False
        parts, self.body_parts = self.body_parts, []
        start = Response(head.status, head.header_lines, b"".join(parts))
        length = head.framing.declared_length
        self.sink = self.pool.observer.response_streaming(attempt, self, start, length)
        if self.sink is None:  # No client is waiting for the response.
            self.pool.abandon_attempt(attempt, Outcome.CANCELLED)
        elif self.silence_timer is None:
            self._watch_silence()
        return True

    def _on_pause_changed(self, paused: bool) -> None:
        # The time of a pause must not count when reading is resumed just before the next check.
        if not paused and self.silence_timer:
            self.silence_timer.cancel()
            self._watch_silence()

    def _watch_silence(self) -> None:
        """Check after the longest silence that is allowed whether more of the response was received."""
        delay_s = MAX_STREAM_SILENCE_S if self.sink else MAX_SILENCE_S
        self.silence_timer = self.pool.loop.call_later(delay_s, self._check_silence, self.received_bytes)

    def _check_silence(self, received_bytes: int) -> None:
        """Handle a response that stops half-way while its connection stays open.

        Possible causes are a Content-Length that is too large, a head or a chunk that never ends, and a
        backend that pauses while it writes the response.  A short response fails.  A response that may be
        long can't be told from one that its backend still completes: it goes on, beside another attempt if
        the balancer starts one.  A response that the client has in part fails, but not before its deadline.
        """
        self.silence_timer = None
        attempt = self.attempt
        if attempt is None:
            return
        if self.received_bytes == received_bytes and not self.reading_pause.is_paused():
            if self._has_failed_by_silence(attempt):
                self._fail_response(FailureReason.SILENT)
                return
            if self.sink is None:
                self.pool.observer.attempt_stalled(attempt)
        if self.attempt is attempt:
            self._watch_silence()

    def _has_failed_by_silence(self, attempt: Attempt) -> bool:
        if self.sink is not None:
            return time.monotonic() >= attempt.ends_at
        return not self._may_become_long()

    def on_message_begin(self) -> None:
        """Handle the start of a message (parser callback)."""
        if self.complete:
            raise UnreadableMessageError  # More bytes follow the end of the response.

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle one header field (parser callback)."""
        if self.head is not None and not self.complete:
            # This is a trailer field.  It is dropped, since no client has requested trailers (RFC 9110,
            # section 6.5.1).  MAX_RAW_BYTES limits its size.
            return
        self.section_bytes += len(name) + len(value) + 4
        if self.section_bytes > MAX_HEAD_BYTES or self.complete:
            raise UnreadableMessageError
        self.fields.add(name, value)

    def on_headers_complete(self) -> None:
        """Check the framing, on which the reuse of the connection depends (parser callback)."""
        self.status = self.parser.get_status_code()
        self.heads_in_read += 1
        self.keep_alive = self.parser.should_keep_alive()
        self.section_bytes = 0
        if self.status < 200:
            return
        self.head = read_response_head(self.status, self.fields.take())
        if self.head.framing.declared_length is not None or self.head.framing.ends_with_connection:
            self.chunk_sizes = None
        if not self._hold(len(self.head.header_lines)):
            raise NoMemoryError

    def on_body(self, data: bytes) -> None:
        """Buffer or forward the next part of the body (parser callback)."""
        attempt = self.attempt
        self.section_bytes += len(data)
        if self.section_bytes > MAX_BODY_BYTES:
            raise UnreadableMessageError
        if attempt is None or attempt.ended or not self._is_served(self.status):
            if self.section_bytes > MAX_BUFFERED_RESPONSE_BYTES:
                raise UnreadableMessageError  # Reading such a long body costs more than a new connection.
            return  # The body is read and dropped.
        if self.sink is not None:
            self.stream_parts.append(data)
            return
        if not self._hold(self.reserved_bytes + len(data)):
            raise NoMemoryError  # As with a malformed response, the request may have run.
        self.body_parts.append(data)

    def on_message_complete(self) -> None:
        """Handle the end of the response or of an interim response (parser callback)."""
        if self.status == 101 or self.status >= 200:
            self.complete = True
        else:
            self.fields.clear()  # This was an interim response; the final one follows.
            self.status = 0

    def _finish_response(self, reusable: bool) -> None:
        """End the attempt.

        The connection is kept only if the start of its next response is certain.
        """
        attempt, head, parts = self.attempt, self.head, self.body_parts
        streamed = self.sink is not None
        self._clear()
        reusable = reusable and head is not None and not head.framing.ends_with_connection
        if reusable and not self.has_unsent_bytes:
            self.responded_at = time.monotonic()
            self.pool.release(self)
        else:
            self.transport.abort()
        if attempt is None or attempt.ended:
            return
        if streamed:
            self.pool.end_attempt(attempt, Outcome.SERVED)
        else:
            self._end_buffered(attempt, head, b"".join(parts))

    def _end_buffered(self, attempt: Attempt, head: ResponseHead | None, body: bytes) -> None:
        """End an attempt whose response was buffered; a change of protocols has no final head."""
        if head is not None and self._is_served(head.status):
            response = Response(head.status, head.header_lines, body)
            self.pool.end_attempt(attempt, Outcome.SERVED, response)
        elif head is not None and 400 <= head.status < 500 and not self.pool.accepts_any_status:
            # The backend rejects what the client sent, which says nothing about the backend's health.
            self.pool.end_attempt(attempt, Outcome.CANCELLED, Response(400, DATE_LINE.now(), b""))
        else:
            attempt.failure = FailureReason.STATUS
            not_run = head is not None and head.says_not_run
            self.pool.end_attempt(attempt, Outcome.REJECTED if not_run else Outcome.ERROR)

    def _is_served(self, status: int) -> bool:
        """Return whether a response with this status serves the request.

        On the platform only a 200 does.  With `accepts_any_status`, each 2xx, 3xx and 4xx does, except 429.
        """
        return status == 200 or (self.pool.accepts_any_status and 200 <= status < 500 and status != 429)

    def _fail_response(self, reason: FailureReason) -> None:
        """Fail the attempt after a malformed or endless response.  The request may have run."""
        if self.attempt:
            self.attempt.failure = reason
        self.transport.abort()
        self._fail_attempt(Outcome.ERROR)

    def eof_received(self) -> bool:
        """Finish a response without a length, which ends when the backend stops sending."""
        head = self.head
        if head is not None and head.framing.ends_with_connection and self.attempt is not None:
            self._finish_response(False)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the attempt; the request never ran if its last byte was not written."""
        self.pool.remove(self)
        self._fail_attempt(Outcome.UNREACHABLE if self.has_unsent_bytes else Outcome.RESET)
        # The parser refers to this object: break the reference cycle rather than wait for the garbage
        # collector.
        del self.parser

    def _fail_attempt(self, outcome: Outcome) -> None:
        attempt = self.attempt
        self._clear()
        if attempt is not None:
            self.pool.end_attempt(attempt, outcome)

    def _clear(self) -> None:
        self._detach_upload()
        self.attempt, self.head, self.sink, self.body_parts = None, None, None, []
        self.fields.clear()
        self.pool.waiting_for_memory.pop(self, None)
        self.reading_pause.clear()
        self._hold(0)
        self.pool.resume_waiting_for_memory()
        if self.silence_timer:
            self.silence_timer.cancel()
            self.silence_timer = None
