"""The way to the backends: connections kept for reuse, one attempt on each at a time, how an attempt ends.

An attempt never ran only if its connection ended before its last byte was written; nothing is ever sent a
second time from here.  What a backend answers is held until whole, so that a break can still be retried;
above `HOLD_MOST` it is passed on as it comes.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, cast

import httptools

from dykemux.config import Config
from dykemux.http1 import HEAD_MOST, HOLD_MOST, Headers, end_to_end
from flintplank.interface import Outcome

if TYPE_CHECKING:
    from dykemux.clients import Client
    from dykemux.proxy import Proxy, Request

IDLE_SHARE = 0.6  # of the time after which a backend closes an idle connection; ours must close first
STREAM_SILENCE_S = 5.0  # a backend silent for so long in the middle of an answer is gone
JOIN_MOST = 16 << 10  # a body up to this is joined to its head; a larger one is not worth the copy


@dataclass(slots=True, eq=False)
class Node:
    """One backend as this proxy knows it.  It is dropped once it has left and nothing is out."""

    number: int
    name: str
    address: tuple[str, int]
    since_ms: float
    listed: bool = True
    told_off_at: float = 0.0  # when its leave was told, if it is not listed
    out: int = 0  # attempts that have not ended
    idle: list[Link] = field(default_factory=list)  # the most recently used last


@dataclass(slots=True, eq=False)
class Attempt:
    request: Request
    number: int
    node: Node
    started: float
    ends_at: float
    link: Link | None = None
    ended: bool = False


@dataclass(slots=True)
class Answer:
    lines: bytes
    body: bytes


class Pool:
    """All connections to backends."""

    def __init__(self, loop: asyncio.AbstractEventLoop, config: Config, proxy: Proxy) -> None:
        self.loop = loop
        self.proxy = proxy
        self.settle(config)
        self.open = 0  # connections, those coming up too
        self.idle: dict[Link, None] = {}  # the longest idle first
        self.streams: set[Link] = set()
        self.connects: set[asyncio.Task[None]] = set()

    def settle(self, config: Config) -> None:
        self.most = config.backend_sockets
        self.grace = config.drain_grace_ms / 1000.0
        self.connect_s = config.settings.connect_timeout_ms / 1000.0
        self.idle_s = config.conn_idle_ms / 1000.0 * IDLE_SHARE

    def start(self, attempt: Attempt) -> None:
        node = attempt.node
        attempt.request.out += 1
        node.out += 1
        while node.idle:
            link = node.idle.pop()
            del self.idle[link]
            if attempt.started - link.idle_at < self.idle_s and not link.transport.is_closing():
                self._send(link, attempt)
                return
            link.transport.abort()
        if self.open >= self.most and self.idle:
            self.close_link(next(iter(self.idle)))
        if self.open >= self.most:
            self.end(attempt, Outcome.NOT_SENT)  # counted, so that EMFILE is never how we find out
            return
        self.open += 1
        task = self.loop.create_task(self._connect(attempt))
        self.connects.add(task)
        task.add_done_callback(self.connects.discard)

    async def _connect(self, attempt: Attempt) -> None:
        node = attempt.node
        try:
            async with asyncio.timeout(self.connect_s):
                _, link = await self.loop.create_connection(lambda: Link(self, node), *node.address)
        except (OSError, TimeoutError):
            self.open -= 1
            self.end(attempt, Outcome.UNREACHABLE)
            return
        if attempt.ended:
            self.rest(link)  # it is paid for: the next attempt may have it
        else:
            self._send(link, attempt)

    def _send(self, link: Link, attempt: Attempt) -> None:
        node, now = attempt.node, time.monotonic()
        # guards rule 3: a connect or a stall of ours may outlast the grace after a leave was told
        if not node.listed and now > node.told_off_at + self.grace:
            link.transport.abort()
            self.end(attempt, Outcome.NOT_SENT)
        else:
            link.send(attempt, now)

    def rest(self, link: Link) -> None:
        """Keep a connection for the next attempt, if there can be one."""
        node = link.node
        if not node.listed or link.transport.is_closing() or link.address != node.address:
            link.transport.abort()
            return
        link.idle_at = time.monotonic()
        node.idle.append(link)
        self.idle[link] = None

    def close_link(self, link: Link) -> None:
        if link in self.idle:
            del self.idle[link]
            link.node.idle.remove(link)
        link.transport.abort()

    def close_idle(self, node: Node) -> None:
        for link in list(node.idle):
            self.close_link(link)

    def lost(self, link: Link) -> None:
        self.open -= 1
        self.streams.discard(link)
        if link in self.idle:
            del self.idle[link]
            link.node.idle.remove(link)

    def end(self, attempt: Attempt, outcome: Outcome, answer: Answer | None = None) -> None:
        """The one end of an attempt; whatever comes after it is nobody's."""
        if attempt.ended:
            return
        attempt.ended = True
        attempt.node.out -= 1
        attempt.request.out -= 1
        self.proxy.attempt_ended(attempt, outcome, answer)

    def give_up(self, attempt: Attempt, outcome: Outcome) -> None:
        """Stop waiting.  What was not wholly written can never run: the connection ends with it."""
        link = attempt.link
        if link is None or link.unsent:
            outcome = Outcome.UNREACHABLE
        self.end(attempt, outcome)
        if link is not None and link.attempt is attempt:
            link.transport.abort()

    def sweep(self, now: float) -> None:
        for link in list(self.idle):
            if now - link.idle_at < self.idle_s:
                break
            self.close_link(link)
        for link in list(self.streams):
            if not link.held_back and now - link.heard > STREAM_SILENCE_S:
                link.transport.abort()


class Link(asyncio.Protocol):
    """One connection to a backend."""

    __slots__ = (
        "address", "attempt", "chunks", "close_ends", "headers", "heard", "held", "held_back", "idle_at",
        "keep", "node", "parser", "pool", "sink", "size", "status", "transport", "unsent",
    )

    def __init__(self, pool: Pool, node: Node) -> None:
        self.pool = pool
        self.node = node
        self.address = node.address
        self.transport: asyncio.Transport
        self.parser = httptools.HttpResponseParser(self)
        self.attempt: Attempt | None = None
        self.unsent = False  # part of the request still stands in our buffer
        self.headers: Headers = []
        self.chunks: list[bytes] = []
        self.size = 0
        self.held = 0  # bytes taken from the budget
        self.status = 0
        self.sink: Client | None = None  # of a streamed answer
        self.held_back = False  # by a client that reads slowly
        self.close_ends = False  # the answer is as long as the connection
        self.keep = False
        self.idle_at = self.heard = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)  # so that resume_writing means: all is written

    def send(self, attempt: Attempt, now: float) -> None:
        self.attempt, attempt.link = attempt, self
        self.size, self.status = 0, 0
        request, transport = attempt.request, self.transport
        left = max(1, int((attempt.ends_at - now) * 1000.0))
        head = b"%bx-deadline-ms: %d\r\n\r\n" % (request.head, left)
        if len(request.body) <= JOIN_MOST:
            transport.write(head + request.body)
        else:
            transport.writelines((head, request.body))
        if transport.is_closing():  # the write itself failed, so its last byte was not written
            self.attempt = None
            self.pool.end(attempt, Outcome.UNREACHABLE)
        else:
            self.unsent = transport.get_write_buffer_size() > 0

    def resume_writing(self) -> None:
        self.unsent = False

    def data_received(self, data: bytes) -> None:
        if self.attempt is None:
            self.transport.abort()  # nothing was asked
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._garbage()

    def on_header(self, name: bytes, value: bytes) -> None:
        self.size += len(name) + len(value)
        if self.size > HEAD_MOST:
            self._garbage()
        elif not self.sink:
            self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        self.status = self.parser.get_status_code()
        self.keep = self.parser.should_keep_alive()
        self.size = 0
        framing = [name for name, _ in self.headers if name in (b"content-length", b"transfer-encoding")]
        self.close_ends = not framing and self.status >= 200
        if self.status == 200:
            length = self._length()
            if length is not None and length > HOLD_MOST:
                self._stream(length)

    def _length(self) -> int | None:
        return next((int(value) for name, value in self.headers if name == b"content-length"), None)

    def on_body(self, data: bytes) -> None:
        attempt = self.attempt
        if self.sink:
            self.heard = time.monotonic()
            self.sink.pass_on(data)
            return
        if attempt is None or attempt.ended or self.status != 200:
            return  # read and forgotten
        self.size += len(data)
        self.chunks.append(data)
        if self.size > HOLD_MOST or not self._hold(len(data)):
            chunks, self.chunks = self.chunks, []
            self._let_go()
            self._stream(self._length())
            for chunk in chunks:
                self.on_body(chunk)

    def _hold(self, size: int) -> bool:
        held = self.pool.proxy.budget.take(size)
        self.held += size if held else 0
        return held

    def _let_go(self) -> None:
        self.pool.proxy.budget.give(self.held)
        self.held = 0

    def _stream(self, length: int | None) -> None:
        attempt = self.attempt
        if attempt is not None and not attempt.ended:
            self.sink = self.pool.proxy.stream_begins(attempt, end_to_end(self.headers), length)
            if self.sink:
                self.heard = time.monotonic()
                self.pool.streams.add(self)
            elif not attempt.ended:
                self.pool.give_up(attempt, Outcome.CANCELLED)  # nobody reads it any more

    def on_message_complete(self) -> None:
        attempt, status = self.attempt, self.status
        headers, chunks, sink = self.headers, self.chunks, self.sink
        self.headers, self.chunks, self.sink = [], [], None
        self._let_go()
        if status < 200 and status != 101:
            return  # an interim answer: the real one follows
        if attempt is None:
            return
        self.attempt = None
        self.pool.streams.discard(self)
        not_run = status in (503, 504) and (b"x-not-run", b"1") in headers
        # a connection is kept only where both sides agree on where the next message begins
        if self.keep and not self.unsent and status != 101 and not self.close_ends:
            self.pool.rest(self)
        else:
            self.transport.abort()
        if sink:
            sink.stream_ended()
            self.pool.end(attempt, Outcome.SERVED)
        elif attempt.ended:
            return
        elif status == 200:
            self.pool.end(attempt, Outcome.SERVED, Answer(end_to_end(headers), b"".join(chunks)))
        else:
            self.pool.end(attempt, Outcome.REJECTED if not_run else Outcome.ERROR)

    def _garbage(self) -> None:
        """No answer that HTTP knows: an error, and what was asked may have run."""
        self._broken(Outcome.ERROR)
        self.transport.abort()

    def eof_received(self) -> bool:
        if self.close_ends and self.status >= 200 and self.attempt is not None:
            self.on_message_complete()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self.pool.lost(self)
        self._broken(Outcome.UNREACHABLE if self.unsent else Outcome.RESET)

    def _broken(self, outcome: Outcome) -> None:
        attempt, self.attempt = self.attempt, None
        sink, self.sink = self.sink, None
        self.chunks = []
        self._let_go()
        if sink:
            sink.stream_broke()
        if attempt is not None:
            self.pool.end(attempt, outcome)

    def hold_back(self, wait: bool) -> None:
        """Backpressure: the client's pace is the backend's."""
        if wait == self.held_back or self.transport.is_closing():
            return
        self.held_back, self.heard = wait, time.monotonic()
        if wait:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()
