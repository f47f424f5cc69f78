"""The way from the clients: the listener, their connections, and what is answered without the module.

A connection reads one request at a time and hands it on when its last byte is in.  What is malformed or too
large is answered here and the connection ends; what finds no room is refused before anything ran.
"""

from __future__ import annotations

import asyncio
import logging
import math
import socket
import time
from collections import deque
from enum import Enum
from typing import cast

import httptools

from dykemux.backends import Link
from dykemux.config import Config
from dykemux.http1 import BODY_MOST, CONTINUE, HEAD_MOST, Headers, answer_head, end_to_end, figure
from dykemux.proxy import DEADLINE_MOST_MS, HINT_MOST_US, Ask, Proxy, Request

BACKLOG = 2048
METHODS = frozenset((b"GET", b"POST", b"PUT", b"PATCH", b"DELETE", b"OPTIONS"))
READ_HERE = frozenset((b"x-deadline-ms",))  # goes to a backend with a figure of our own
SMALL_BODY, LARGE_SHARE = 16 << 10, 0.85  # larger bodies leave part of the budget to the small ones
EARLY_MOST = 16  # requests that a client may send ahead of its answers
HEAD_S = 10.0  # for a head; slow clients take up to 2 s
BODY_STEP, BODY_S = 64 << 10, 10.0  # a body comes on by so much in this time; slow ones need 1 s
IDLE_S = 75.0  # between requests
WRITE_S = 30.0  # a client that takes no byte of its answer for so long has gone
LINGER_S = 3.0  # what still comes after a last answer is read for so long, lest a reset overtake the answer
QUIET_S, ACCEPT_S, ACCEPT_MOST_S = 0.25, 0.6, 1.5  # after SIGTERM new connections come for up to 0.4 s
LAST_S = 0.5  # after the longest deadline we are gone; SIGKILL comes 0.7 s after it

log = logging.getLogger(__name__)


class Phase(Enum):
    IDLE = 0  # between requests
    HEAD = 1
    BODY = 2
    LAST = 3  # the last answer is written; input is read and forgotten


class Clients:
    """The listener and the books of all client connections."""

    def __init__(self, loop: asyncio.AbstractEventLoop, config: Config, proxy: Proxy) -> None:
        self.loop = loop
        self.proxy = proxy
        self.listens = config.listen
        self.reload(config)
        self.open: dict[Client, None] = {}
        self.idle: dict[Client, None] = {}  # the longest idle first
        self.draining = False
        self.accepted_at = 0.0
        self.server: asyncio.Server | None = None

    def reload(self, config: Config) -> None:
        self.most, self.crowd_most = config.client_sockets, config.crowd_sockets
        if config.listen != self.listens:
            log.error("reload: listen: a new address needs a restart; %s:%d stays", *self.listens)

    async def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        listener = socket.socket(family, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)  # no waiting for TIME_WAIT
        listener.bind(address)
        self.server = await self.loop.create_server(lambda: Client(self), sock=listener, backlog=BACKLOG)
        self.loop.call_later(1.0, self._sweep)
        bound = listener.getsockname()
        return bound[0], bound[1]

    def opened(self, client: Client) -> bool:
        """Count a new connection; False: it is one of the crowd, only there to be refused."""
        self.open[client] = None
        self.accepted_at = time.monotonic()
        if len(self.open) <= self.most:
            return True
        if self.idle:
            next(iter(self.idle)).close()
            return True
        if len(self.open) > self.most + self.crowd_most:
            # guards the descriptors: whoever has been sending its request for longest goes
            slow = [other for other in self.open if other.phase in (Phase.HEAD, Phase.BODY, Phase.LAST)]
            min(slow, key=lambda other: other.begun, default=client).abort()
        return False

    def closed(self, client: Client) -> None:
        self.open.pop(client, None)
        self.idle.pop(client, None)

    def _sweep(self) -> None:
        self.loop.call_later(1.0, self._sweep)
        now = time.monotonic()
        for client in [client for client in self.open if client.due <= now]:
            client.overdue()
        self.proxy.pool.sweep(now)

    async def drain(self) -> None:
        """After SIGTERM: take what still comes, answer all that was taken, then close."""
        self.draining = True
        started = time.monotonic()
        ends_at = started + self.proxy.deadline_most_ms / 1000.0 + LAST_S
        while (now := time.monotonic()) < started + ACCEPT_MOST_S and (
            now < started + ACCEPT_S or now < self.accepted_at + QUIET_S
        ):
            await asyncio.sleep(0.02)
        if self.server:
            self.server.close()  # the last accepts left the backlog empty for QUIET_S
        while self.open and time.monotonic() < ends_at:
            for client in [client for client in self.idle if client.answers]:
                client.close()
            await asyncio.sleep(0.02)
        for client in list(self.open):
            client.abort()


class Client(asyncio.Protocol):
    """One client connection."""

    __slots__ = (
        "answers", "ask", "begun", "body", "due", "early", "headers", "last", "owner", "parser", "paused",
        "phase", "request", "seen", "source", "stepped", "transport", "unframed", "url", "welcome", "wrong",
    )

    def __init__(self, owner: Clients) -> None:
        self.owner = owner
        self.transport: asyncio.Transport
        self.parser = httptools.HttpRequestParser(self)
        self.phase = Phase.IDLE
        self.url = b""
        self.headers: Headers = []
        self.body: bytes | bytearray = b""
        self.ask: Ask | None = None  # of the request being read; None: it is answered here
        self.wrong = 0  # status that a request being read will be answered with
        self.seen = 0  # bytes of the head, or since the body last came on
        self.stepped = 0  # bytes of the body since its time was last extended
        self.early: deque[tuple[Ask | None, int, bytes | bytearray]] = deque()
        self.request: Request | None = None
        self.source: Link | None = None  # of a streamed answer
        self.unframed = False  # it has neither length nor chunks
        self.last = False  # no request after this one
        self.paused = False
        self.answers = 0
        self.begun = time.monotonic()
        self.due = self.begun + IDLE_S
        self.welcome = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.owner.idle[self] = None
        self.welcome = self.owner.opened(self)

    # Reading.

    def data_received(self, data: bytes) -> None:
        if self.phase is Phase.LAST:
            return
        self.seen += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.last = True  # no other protocol is spoken here, so what follows can't be read
        except httptools.HttpParserError:
            if not self.last:
                self._reject(400)
            return
        if self.seen > HEAD_MOST and self.phase is Phase.HEAD:
            self._reject(431)
        elif self.seen > HEAD_MOST + (256 << 10):  # guards memory: trailers and chunk extensions without end
            self._reject(400)

    def on_message_begin(self) -> None:
        self.url, self.headers, self.body = b"", [], b""
        self.ask, self.wrong, self.stepped = None, 0, 0
        self.phase = Phase.HEAD
        self.owner.idle.pop(self, None)
        self.begun = time.monotonic()
        self.due = self.begun + HEAD_S

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.phase is Phase.HEAD:
            self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        if self.phase is not Phase.HEAD:
            return
        self.phase = Phase.BODY
        headers = self.headers
        if len(self.url) + sum(len(name) + len(value) + 4 for name, value in headers) > HEAD_MOST:
            self._reject(431)
            return
        self.seen = 0
        fields = dict(reversed(headers))  # the first of each name
        length = fields.get(b"content-length", b"0")
        if not length.isdigit() or len(length) > 12 or int(length) > BODY_MOST:
            self._reject(413)
            return
        self.due = self.begun + HEAD_S + BODY_S
        if not self.parser.should_keep_alive():
            self.last = True
        self._read_head(self.parser.get_method(), fields)
        if b"expect" in fields and fields[b"expect"].lower() == b"100-continue" and not self.request:
            if self.wrong or not self.welcome:
                self._reject(self.wrong or 503)  # the body need not come
            else:
                self.transport.write(CONTINUE)

    def _read_head(self, method: bytes, fields: dict[bytes, bytes]) -> None:
        path = self.url.partition(b"?")[0]
        if method not in METHODS:
            self.wrong, self.last = 405, True
        elif path == b"/_health":
            self.wrong = 200 if self.owner.proxy.serves() and not self.owner.draining else 503
        elif not path.startswith(b"/") or not fields.get(b"x-request-id"):
            self.wrong = 400
        else:
            parts = path.split(b"/")
            deadline = figure(fields.get(b"x-deadline-ms", b""), DEADLINE_MOST_MS)
            hint = figure(fields.get(b"x-cost-hint", b""), HINT_MOST_US)
            head = b"%b %b HTTP/1.1\r\n%b" % (method, self.url, end_to_end(self.headers, READ_HERE))
            self.ask = Ask(
                head,
                (fields.get(b"x-class") or parts[1]).decode("latin-1"),
                fields.get(b"x-tenant", b"").decode("latin-1"),
                parts[-1] if len(parts) > 2 else b"",
                deadline,
                (hint or 0.0) / 1000.0,
                fields.get(b"x-retry") == b"1",
                method != b"GET",
            )

    def on_body(self, data: bytes) -> None:
        size = len(self.body) + len(data)
        self.seen = 0
        self.stepped += len(data)
        if self.stepped >= BODY_STEP:
            self.stepped, self.due = 0, time.monotonic() + BODY_S
        if self.wrong:
            return
        if size > BODY_MOST:
            self._reject(413)
        elif not self.welcome or not self.owner.proxy.budget.take(
            len(data), 1.0 if size <= SMALL_BODY else LARGE_SHARE
        ):
            self._forget_body()
            self.wrong = 503  # nothing of it ran; the client reads so once its body is out
        elif not self.body:
            self.body = data
        else:
            if isinstance(self.body, bytes):
                self.body = bytearray(self.body)
            self.body += data

    def _forget_body(self) -> None:
        self.owner.proxy.budget.give(len(self.body))
        self.body = b""

    def on_message_complete(self) -> None:
        if self.phase is not Phase.BODY:
            return
        self.phase, self.seen, self.due = Phase.IDLE, 0, math.inf
        read = (self.ask, self.wrong, self.body)
        self.body, self.headers, self.ask = b"", [], None
        if self.request is None and not self.early:
            self._serve(*read)
        elif len(self.early) < EARLY_MOST:
            self.early.append(read)
            self.transport.pause_reading()  # one at a time; so it can't be seen leaving until then
        else:
            self.owner.proxy.budget.give(len(read[2]))
            self.phase, self.last = Phase.LAST, True

    def _serve(self, ask: Ask | None, wrong: int, body: bytes | bytearray) -> None:
        proxy = self.owner.proxy
        if not self.welcome:
            wrong, self.last = wrong or 503, True
        if ask is None or wrong:
            proxy.budget.give(len(body))
            self.answer(wrong or 400, b"")
            return
        # a body of the framing that backends get: always its length
        if body or ask.is_write:
            ask.head += b"content-length: %d\r\n" % len(body)
        request = proxy.arrive(self, ask, body)
        self.request = None if request.over else request

    # Answering.

    def answer(self, status: int, lines: bytes, body: bytes = b"") -> None:
        self.last = self.last or self.owner.draining
        head = answer_head(status, lines, len(body), self.last)
        self.transport.write(head + body)
        self._answered()

    def _answered(self) -> None:
        self.request, self.source = None, None
        self.answers += 1
        if self.early:
            self.owner.loop.call_soon(self._serve_early)
        elif self.last:
            self.close()
        elif self.phase is Phase.IDLE:
            self.due = time.monotonic() + IDLE_S
            self.owner.idle[self] = None

    def _serve_early(self) -> None:
        if self.early and self.request is None and not self.transport.is_closing():
            read = self.early.popleft()
            if not self.early and self.phase is not Phase.LAST:
                self.transport.resume_reading()
            self._serve(*read)

    def stream(self, source: Link, lines: bytes, length: int | None) -> None:
        self.last = self.last or self.owner.draining
        self.source = source
        old = self.parser.get_http_version() == "1.0"
        self.unframed = length is not None or old
        if length is None and old:
            self.last = True
        self.transport.write(answer_head(200, lines, length, self.last))

    def pass_on(self, data: bytes) -> None:
        if self.unframed:
            self.transport.write(data)
        else:
            self.transport.writelines((b"%x\r\n" % len(data), data, b"\r\n"))

    def stream_ended(self) -> None:
        if not self.unframed:
            self.transport.write(b"0\r\n\r\n")
        self._answered()

    def stream_broke(self) -> None:
        """Visible to the client: the length or the last chunk is missing."""
        self.request, self.source = None, None
        self.abort()

    def pause_writing(self) -> None:
        self.paused = True
        self.due = time.monotonic() + WRITE_S
        if self.source:
            self.source.hold_back(True)

    def resume_writing(self) -> None:
        self.paused = False
        self.due = math.inf if self.request else time.monotonic() + IDLE_S
        if self.source:
            self.source.hold_back(False)

    def _reject(self, status: int) -> None:
        """Answer what can't be served and read on for a while, lest a reset overtake the answer."""
        self._forget_body()
        self.owner.idle.pop(self, None)
        self.phase, self.last = Phase.LAST, True
        if self.request is None and not self.early:
            self.transport.write(answer_head(status, b"", 0, True))
            self._linger()

    def _linger(self) -> None:
        self.phase = Phase.LAST
        self.begun = time.monotonic()
        self.due = self.begun + LINGER_S
        if self.transport.can_write_eof():
            self.transport.write_eof()

    # Ending.

    def overdue(self) -> None:
        if self.phase in (Phase.HEAD, Phase.BODY) and not self.paused:
            self._reject(408)
        elif self.phase is Phase.IDLE and not self.paused and not self.transport.get_write_buffer_size():
            self.close()
        else:
            self.abort()

    def close(self) -> None:
        self.owner.idle.pop(self, None)
        self.phase, self.last = Phase.LAST, True
        self.due = time.monotonic() + WRITE_S
        self.transport.close()

    def abort(self) -> None:
        self.transport.abort()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self.owner.closed(self)
        self._forget_body()
        for _, _, body in self.early:
            self.owner.proxy.budget.give(len(body))
        self.early.clear()
        request, self.request, self.source = self.request, None, None
        if request:
            self.owner.proxy.client_gone(request)
