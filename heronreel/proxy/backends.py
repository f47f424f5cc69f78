"""The way to the backends: connections kept for reuse, one attempt on each at a time, how an attempt ends.

An attempt never ran only if its connection ended before its last byte was written; nothing is ever sent a
second time from here.  What a backend answers is held until whole and within bounds, so that a spoilt answer
is a failed attempt like any other and no client ever sees a part of it.
"""

from __future__ import annotations

import asyncio
import logging
import math
import time
from dataclasses import dataclass, field
from typing import Protocol, cast

import httptools

from heronreel.balancer.interface import Outcome
from heronreel.proxy.config import Config
from heronreel.proxy.http1 import BODY_MOST, DATE, HEAD_MOST, OWS, Budget, Headers, Unreadable, end_to_end
from heronreel.proxy.streams import ANSWER_HOLD_MOST, STREAM_BYTES, STREAM_MOST, Upload
from heronreel.proxy.unread import has_come

LEAST_SHARE = 0.45  # of the backends' descriptors that clients may never have
LEND_SPARE = 8  # descriptors beyond those in use that clients may not have either
IDLE_SHARE = 0.6  # of the time after which a backend closes an idle connection; ours must close first
# where that is long: a backend's table of connections is shared by all proxies, and a full one takes of its
# capacity, so one not used again within this costs all of them more than a handshake costs us: in seconds,
# and in seconds for each point that a handshake for every request costs
IDLE_MOST_S, IDLE_BY_PRICE_S = 1.0, 12.5
SETTLE_S = 0.005  # a connection rests so long after an answer, so that what comes right behind it is seen
SILENCE_S = 0.3  # a backend silent for so long in the middle of an answer won't finish it
STREAM_SILENCE_S = 2.5  # the same once the client has a part of it: then nothing better can come of a cut
RAW_MOST = HEAD_MOST + 2 * BODY_MOST  # bytes of an answer with interim ones and the framing of chunks, and
FRAMING_MOST = 8  # this much for each byte of its body
JOIN_MOST = 16 << 10  # a body up to this is joined to its head; a larger one is not worth the copy

log = logging.getLogger(__name__)


class Asked(Protocol):
    """What an attempt needs of its request."""

    head: bytes
    body: bytes | bytearray
    upload: Upload | None  # in place of a body, where it is passed on as it comes
    out: int  # attempts that have not ended
    over: bool


class Owner(Protocol):
    """Who hears how attempts end."""

    budget: Budget

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, answer: Answer | None) -> None: ...
    def is_deserted(self, attempt: Attempt) -> bool: ...
    def stream_began(
        self, attempt: Attempt, link: Link, answer: Answer, length: int | None
    ) -> Taker | None: ...


class Taker(Protocol):
    """Who takes an answer as it comes, and tells the link to wait when it can't take more."""

    def push(self, data: bytes) -> None: ...


@dataclass(slots=True, eq=False)
class Node:
    """One backend as this proxy knows it.  It is dropped once it has left and nothing is out."""

    number: int
    name: str
    address: tuple[str, int]
    since_ms: float
    pool: str = ""
    listed: bool = True
    told_off_at: float = 0.0  # when its leave was told, if it is not listed
    held: bool = False  # by operators
    out: int = 0  # attempts that have not ended
    idle: list[Link] = field(default_factory=list)  # the most recently used last


@dataclass(slots=True, eq=False)
class Attempt:
    request: Asked
    number: int
    node: Node
    started: float
    ends_at: float
    send_by: float = math.inf  # a first byte later than this might take effect a second time
    link: Link | None = None
    timer: asyncio.TimerHandle | None = None  # of a time-out before the request's deadline
    ended: bool = False


@dataclass(slots=True)
class Answer:
    status: int
    lines: bytes
    body: bytes


class Pool:
    """All connections to backends.  A link is counted from `connection_made` until it is closed or lost."""

    def __init__(self, loop: asyncio.AbstractEventLoop, config: Config, owner: Owner) -> None:
        self.loop = loop
        self.owner = owner
        self.settle(config)
        self.links: set[Link] = set()
        self.idle: dict[Link, None] = {}  # the longest idle first
        self.connects: set[asyncio.Task[None]] = set()
        self.lent = 0  # descriptors of ours that clients have
        self.starved: dict[Link, None] = {}  # answers that wait for room to be passed on

    def settle(self, config: Config) -> None:
        self.most = config.backend_sockets
        self.grace = config.drain_grace_ms / 1000.0
        self.connect_s = config.settings.connect_timeout_ms / 1000.0
        worth_s = max(IDLE_MOST_S, IDLE_BY_PRICE_S * config.settings.price_handshake)
        self.idle_s = min(config.conn_idle_ms / 1000.0 * IDLE_SHARE, worth_s)
        self.any_status = config.any_status

    def open(self) -> int:
        """Descriptors in use or about to be, so that EMFILE is never how we find out."""
        return len(self.links) + len(self.connects)

    def lend(self, wanted: int) -> int:
        """How many of our descriptors clients may have: of those that wait for a next attempt, all but a few.

        A crowd that sends its requests slowly needs connections on one side and hardly any on the other.
        """
        busy = self.open() - len(self.idle)
        self.lent = max(0, min(wanted, self.most - max(int(self.most * LEAST_SHARE), busy + LEND_SPARE)))
        while self.idle and self.open() > self.most - self.lent:
            self.close_link(next(iter(self.idle)))
        return self.lent

    def start(self, attempt: Attempt) -> None:
        node = attempt.node
        attempt.request.out += 1
        node.out += 1
        link = self._rested(node, attempt.started)
        if link is not None:
            self._send(link, attempt)
            return
        if self.open() >= self.most - self.lent and self.idle:
            self.close_link(next(iter(self.idle)))
        if self.open() >= self.most - self.lent:
            self.end(attempt, Outcome.NOT_SENT)
            return
        task = self.loop.create_task(self._connect(attempt))
        self.connects.add(task)
        task.add_done_callback(self.connects.discard)

    def _rested(self, node: Node, now: float) -> Link | None:
        """An idle connection that has nothing to say.

        Guards rule 1: bytes beyond an answer, or an end not yet read, would meet the next request.  It
        covers a second copy, noise, and a backend that closed an idle connection early.  It costs
        system calls, and where answers come faster than SETTLE_S on few connections, a connection more.
        """
        for place in range(len(node.idle) - 1, -1, -1):
            link = node.idle[place]
            if now - link.idle_at < SETTLE_S:
                continue
            if now - link.idle_at < self.idle_s and not has_come(link.transport):
                del node.idle[place], self.idle[link]
                return link
            self.close_link(link)
        return None

    async def _connect(self, attempt: Attempt) -> None:
        """Whatever happens here, the attempt ends and the connection is in its book or closed."""
        node = attempt.node
        link = Link(self, node)
        try:
            async with asyncio.timeout(self.connect_s):
                await self.loop.create_connection(lambda: link, *node.address)
        except Exception as error:
            link.abandon()  # a time-out may cross success
            if not isinstance(error, OSError | TimeoutError):
                log.error("connecting to %s: %s: %s", node.name, type(error).__name__, error)
            self.end(attempt, Outcome.UNREACHABLE)
            return
        if not attempt.ended and not attempt.request.over:
            self._send(link, attempt)
            return
        self.rest(link)  # it is paid for: the next attempt may have it
        self.end(attempt, Outcome.NOT_SENT)

    def _send(self, link: Link, attempt: Attempt) -> None:
        node, now = attempt.node, time.monotonic()
        # guards rule 3: a connect or a stall of ours may outlast the grace after a leave was told
        if node.held or (not node.listed and now > node.told_off_at + self.grace):
            link.transport.abort()
            self.end(attempt, Outcome.NOT_SENT)
        elif attempt.request.upload and not attempt.request.upload.may_start():
            # guards rule 1: part of the body has gone while this connection came up
            self.rest(link)
            self.end(attempt, Outcome.NOT_SENT)
        elif now >= attempt.send_by:
            # guards rule 2: the group may have forgotten the first by now; the module's own check came before
            # a connect, or before a stall of this process
            self.rest(link)
            self.end(attempt, Outcome.NOT_SENT)
        elif self.owner.is_deserted(attempt):
            # guards the work of backends: the client may have closed while this connection came up, behind
            # bytes that are not read yet, or while this process stood still
            self.rest(link)
            self.end(attempt, Outcome.NOT_SENT)
        else:
            link.send(attempt, now)
            if link.unsent and attempt.send_by < math.inf:
                self.loop.call_later(attempt.send_by - now, self._window_closed, attempt)

    def _window_closed(self, attempt: Attempt) -> None:
        """Guards rule 2: a repeat counts when its last byte arrives, and its backend may read slowly."""
        if attempt.link and attempt.link.attempt is attempt and attempt.link.unsent:
            self.give_up(attempt, Outcome.CANCELLED)

    def rest(self, link: Link) -> None:
        """Keep a connection for the next attempt, if there can be one."""
        node = link.node
        if not node.listed or node.held or link.transport.is_closing() or link.address != node.address:
            link.transport.abort()
            return
        link.idle_at = time.monotonic()
        node.idle.append(link)
        self.idle[link] = None

    def close_link(self, link: Link) -> None:
        self.lost(link)  # its descriptor is closed before that of a later connect is opened
        link.transport.abort()

    def close_idle(self, node: Node) -> None:
        for link in list(node.idle):
            self.close_link(link)

    def lost(self, link: Link) -> None:
        self.links.discard(link)
        if link in self.idle:
            del self.idle[link]
            link.node.idle.remove(link)

    def end(self, attempt: Attempt, outcome: Outcome, answer: Answer | None = None) -> None:
        """The one end of an attempt; whatever comes after it is nobody's."""
        if attempt.ended:
            return
        attempt.ended = True
        if attempt.timer:
            attempt.timer.cancel()
        attempt.node.out -= 1
        attempt.request.out -= 1
        self.owner.attempt_ended(attempt, outcome, answer)

    def give_up(self, attempt: Attempt, outcome: Outcome) -> None:
        """Stop waiting.  What was not wholly written can never run: the connection ends with it."""
        link = attempt.link
        if link is None or link.unsent:
            # called off by us, it tells nothing of the backend
            outcome = Outcome.NOT_SENT if outcome is Outcome.CANCELLED else Outcome.UNREACHABLE
        self.end(attempt, outcome)
        if link is not None and link.attempt is attempt:
            link.transport.abort()

    def feed(self) -> None:
        """Room has come free: answers that wait for some go on, the longest waiting first."""
        while self.starved and (link := next(iter(self.starved))).begin():
            del self.starved[link]
            link.hold(False)

    def sweep(self, now: float) -> None:
        for link in list(self.idle):
            if now - link.idle_at < self.idle_s:
                break
            self.close_link(link)


class Link(asyncio.Protocol):
    """One connection to a backend."""

    __slots__ = (
        "abandoned", "address", "attempt", "chunks", "close_ends", "got", "headers", "held", "idle_at",
        "keep", "length", "node", "parser", "pool", "size", "stalled", "status", "taker", "timer",
        "transport", "unsent", "whole",
    )  # fmt: skip

    def __init__(self, pool: Pool, node: Node) -> None:
        self.pool = pool
        self.node = node
        self.address = node.address
        self.transport: asyncio.Transport
        self.parser = httptools.HttpResponseParser(self)
        self.attempt: Attempt | None = None
        self.abandoned = False  # it came up too late
        self.unsent = False  # part of the request still stands in our buffer
        self.headers: Headers = []
        self.chunks: list[bytes] = []
        self.got = 0  # bytes that came for this attempt
        self.size = 0  # of the head, then of the body
        self.held = 0  # bytes taken from the budget
        self.status = 0
        self.length: int | None = None  # of the body, where the head says so
        self.taker: Taker | None = None  # of an answer that is passed on as it comes
        self.stalled = False  # we do not read, so its silence says nothing
        self.whole = False  # the answer's last byte is in
        self.close_ends = False  # the answer is as long as the connection
        self.keep = False
        self.idle_at = 0.0
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)  # so that resume_writing means: all is written
        self.pool.links.add(self)
        if self.abandoned:
            self.transport.abort()

    def abandon(self) -> None:
        self.abandoned = True
        if self in self.pool.links:
            self.transport.abort()

    def send(self, attempt: Attempt, now: float) -> None:
        self.attempt, attempt.link = attempt, self
        self.got, self.size, self.status, self.whole = 0, 0, 0, False
        request, transport = attempt.request, self.transport
        left = max(1, int((attempt.ends_at - now) * 1000.0))
        if request.upload:
            left = int(request.upload.left_ms)
        head = b"%bx-deadline-ms: %d\r\n\r\n" % (request.head, left)
        if request.upload:
            self.unsent = True
            transport.write(head)
            request.upload.attach(self)
        elif len(request.body) <= JOIN_MOST:
            transport.write(head + request.body)
        else:
            transport.writelines((head, request.body))
        if transport.is_closing():  # the write itself failed, so its last byte was not written
            self._leave_upload()
            self.attempt = None
            self.pool.end(attempt, Outcome.UNREACHABLE)
        elif not request.upload:
            self.unsent = transport.get_write_buffer_size() > 0

    def push(self, data: bytes) -> None:
        """More of a request's body."""
        self.transport.write(data)

    def pushed(self) -> None:
        """Its last byte stands in our buffer at least."""
        self.unsent = self.transport.get_write_buffer_size() > 0

    def pause_writing(self) -> None:
        if (upload := self._upload()) and not upload.whole:
            upload.source.hold(True)

    def resume_writing(self) -> None:
        upload = self._upload()
        self.unsent = upload is not None and not upload.whole
        if self.unsent and upload:
            upload.source.hold(False)

    def _upload(self) -> Upload | None:
        """The body that this connection passes on."""
        upload = self.attempt.request.upload if self.attempt else None
        return upload if upload and upload.sink is self else None

    def _leave_upload(self) -> None:
        if upload := self._upload():
            upload.detach(self)

    def hold(self, on: bool) -> None:
        """The client can't take more for now, or can again."""
        if on != self.stalled and not self.transport.is_closing():
            self.stalled = on
            if on:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()

    # Reading.  The parser's callbacks only note; what follows from an answer follows when all of a segment is
    # read, so that no further attempt can meet the rest of it.

    def data_received(self, data: bytes) -> None:
        if self.attempt is None:
            self.transport.abort()  # nothing was asked
            return
        self.got += len(data)
        beyond = False
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            beyond = True
        if self.whole:
            self._answered(self.keep and not beyond)
        elif beyond or self.got > (RAW_MOST + FRAMING_MOST * self.size if self.status else HEAD_MOST):
            self._spoilt()
        elif self._is_long() and not self.begin():
            self.hold(True)
            self.pool.starved[self] = None
        elif self.timer is None:
            self.timer = self.pool.loop.call_later(SILENCE_S, self._silent, self.got)

    def _is_long(self) -> bool:
        """An answer that is to be passed on as it comes, and is not yet."""
        if self.taker is not None or self.attempt is None or self.attempt.ended:
            return False
        if self.status < 200 or not self._is_served(self.status) or not self.chunks:
            return False
        return self.size > ANSWER_HOLD_MOST if self.length is None else self.length > BODY_MOST

    def begin(self) -> bool:
        """Pass on what came of a long answer, and from now on what comes; False: there is no room yet."""
        attempt = self.attempt
        if attempt is None or attempt.ended:
            return True
        budget = self.pool.owner.budget
        if not budget.take(STREAM_BYTES):
            return False
        budget.give(self.held)
        self.held = STREAM_BYTES
        chunks, self.chunks = self.chunks, []
        answer = Answer(self.status, self._lines(), b"".join(chunks))
        self.taker = self.pool.owner.stream_began(attempt, self, answer, self.length)
        if self.taker is None:  # nobody is there to take it
            self.pool.give_up(attempt, Outcome.CANCELLED)
        elif self.timer is None:
            self.timer = self.pool.loop.call_later(STREAM_SILENCE_S, self._silent, self.got)
        return True

    def _silent(self, got: int) -> None:
        """Guards against answers that stop half-way on a connection that stays open: a length too large, a
        head or a chunk without end.  It might hurt a backend that pauses for long while it writes.
        """
        self.timer = None
        if self.attempt is None:
            return
        if self.got == got and not self.stalled:
            self._spoilt()
        else:
            wait = STREAM_SILENCE_S if self.taker else SILENCE_S
            self.timer = self.pool.loop.call_later(wait, self._silent, self.got)

    def on_message_begin(self) -> None:
        if self.whole:
            raise Unreadable  # more than belongs to the answer

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.status >= 200 and not self.whole:
            return  # a trailer, which no client of ours asked for (RFC 9110, 6.5.1); RAW_MOST bounds it
        self.size += len(name) + len(value) + 4
        if self.size > HEAD_MOST or self.whole:
            raise Unreadable
        self.headers.append((name.lower(), value.rstrip(OWS)))

    def on_headers_complete(self) -> None:
        self.status = self.parser.get_status_code()
        self.keep = self.parser.should_keep_alive()
        self.size = 0
        if self.status < 200:
            return
        lengths = [value for name, value in self.headers if name == b"content-length"]
        chunked = any(name == b"transfer-encoding" for name, _ in self.headers)
        self.close_ends = not lengths and not chunked and self.status not in (204, 304)
        closes = any(name == b"connection" and value.lower() == b"close" for name, value in self.headers)
        # an answer may end with its connection only if it says so: a spoilt head may have lost its length
        if len(lengths) + chunked > 1 or (self.close_ends and not closes):
            raise Unreadable
        if lengths and (not lengths[0].isdigit() or len(lengths[0]) > 12 or int(lengths[0]) > STREAM_MOST):
            raise Unreadable
        self.length = int(lengths[0]) if lengths else None

    def on_body(self, data: bytes) -> None:
        attempt = self.attempt
        self.size += len(data)
        if self.size > STREAM_MOST:
            raise Unreadable
        if attempt is None or attempt.ended or not self._is_served(self.status):
            if self.size > BODY_MOST:
                raise Unreadable  # it is not worth its bytes to keep the connection
            return  # read and forgotten
        if self.taker is not None:
            self.taker.push(data)
            return
        if not self.pool.owner.budget.take(len(data)):
            raise Unreadable  # guards memory: like a spoilt one it may have run
        self.held += len(data)
        self.chunks.append(data)

    def on_message_complete(self) -> None:
        if self.status == 101 or self.status >= 200:
            self.whole = True
        else:
            self.headers, self.status = [], 0  # an interim answer: the real one follows

    def _answered(self, keep: bool) -> None:
        """The answer is whole.  Its connection is kept only if both sides agree where the next one begins."""
        attempt, status, headers, chunks = self.attempt, self.status, self.headers, self.chunks
        streamed, lines = self.taker is not None, self._lines()
        self._clear()
        if keep and not self.unsent and status != 101 and not self.close_ends:
            self.pool.rest(self)
        else:
            self.transport.abort()
        if attempt is None or attempt.ended:
            return
        if streamed:
            self.pool.end(attempt, Outcome.SERVED)
        elif self._is_served(status):
            self.pool.end(attempt, Outcome.SERVED, Answer(status, lines, b"".join(chunks)))
        elif 400 <= status < 500 and not self.pool.any_status:
            # the backend can't use what the client sent, which tells nothing of the backend's health
            self.pool.end(attempt, Outcome.CANCELLED, Answer(400, DATE.now(), b""))
        else:
            not_run = status in (429, 503, 504) and (b"x-not-run", b"1") in headers
            self.pool.end(attempt, Outcome.REJECTED if not_run else Outcome.ERROR)

    def _lines(self) -> bytes:
        lines = end_to_end(self.headers)
        if not any(name == b"date" for name, _ in self.headers):
            lines += DATE.now()  # RFC 9110, 6.6.1: who passes on an answer without one adds it
        return lines

    def _is_served(self, status: int) -> bool:
        """On the platform only a 200 is the answer to a request; elsewhere all but a server's failing."""
        return status == 200 or (self.pool.any_status and 200 <= status < 500 and status != 429)

    def _spoilt(self) -> None:
        """No answer that HTTP knows, or none that ends: an error, and what was asked may have run."""
        self.transport.abort()
        self._broken(Outcome.ERROR)

    def eof_received(self) -> bool:
        if self.close_ends and self.attempt is not None:
            self._answered(False)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self.pool.lost(self)
        self._broken(Outcome.UNREACHABLE if self.unsent else Outcome.RESET)
        del self.parser  # it refers back to us, and the collector would come late

    def _broken(self, outcome: Outcome) -> None:
        attempt = self.attempt
        self._clear()
        if attempt is not None:
            self.pool.end(attempt, outcome)

    def _clear(self) -> None:
        self._leave_upload()
        self.attempt, self.headers, self.chunks, self.taker, self.length = None, [], [], None, None
        self.pool.starved.pop(self, None)
        self.hold(False)
        self.pool.owner.budget.give(self.held)
        self.held = 0
        self.pool.feed()
        if self.timer:
            self.timer.cancel()
            self.timer = None
