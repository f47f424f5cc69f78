"""The way from the clients: the listener, their connections, and what is answered without the module.

A connection reads one request at a time and hands it on when its last byte is in.  What is malformed or too
large is answered here and the connection ends; what finds no room is refused before anything ran.  No
connection waits without end: each has a time by which its next step is due.
"""

from __future__ import annotations

import asyncio
import logging
import math
import os
import socket
import time
from collections import deque
from collections.abc import Callable
from enum import Enum
from itertools import islice
from typing import cast

import httptools

from heronreel.balancer.interface import Effect
from heronreel.proxy.backends import Answer, Link, Taker
from heronreel.proxy.config import Config, beside
from heronreel.proxy.http1 import (
    CONTINUE,
    DATE,
    HEAD_MOST,
    OWS,
    URL_MOST,
    Headers,
    Unreadable,
    absolute_form,
    answer_head,
    end_to_end,
    figure,
    is_host,
)
from heronreel.proxy.proxy import HINT_MOST_US, Ask, Proxy, Request, Router
from heronreel.proxy.streams import HOLD_MOST, LAST_CHUNK, STREAM_MOST, Upload, chunk
from heronreel.proxy.unread import has_come, has_ended

BACKLOG = 2048
METHODS = frozenset((b"GET", b"POST", b"PUT", b"PATCH", b"DELETE", b"OPTIONS"))
READ_HERE = frozenset((b"x-deadline-ms",))  # goes to a backend with a figure of our own
VERSIONS = ("1.1", "1.0")
VIA = {version: b"via: %b heronreel\r\n" % version.encode() for version in VERSIONS}  # RFC 9110, 7.6.3
ONCE = frozenset((  # heads that name two of these could be read in two ways
    b"content-length", b"transfer-encoding", b"x-request-id", b"x-class", b"x-tenant", b"x-deadline-ms",
    b"idempotency-key", b"host",
))  # fmt: skip
FIELDS_MOST = 100  # header fields of a request
SMALL_BODY, LARGE_SHARE = 16 << 10, 0.85  # larger bodies leave part of the budget to the small ones
LOOK_MOST = 16  # connections that are looked at to find one that may be closed
EARLY_MOST = 8  # requests that a client may send ahead of its answers
SWEEP_S = 0.2
SLOWEST = 48e3  # bytes a second that a large body comes on with at the least
PIECE_S = 1.5  # and a piece of it comes within this; 64 kB a second may come in large pieces
HELD_S = 10.0  # that a client waits for a backend to take more of its body
REQUEST_S = 2.6  # from the connection, or a later request's first byte, to its last; slow ones take up to 2 s
IDLE_S, IDLE_LEAST_S = 15.0, 0.1  # between requests: while few are open, and once many are
SILENT_LEAST_S = 0.5  # for the first byte once many are open; before that REQUEST_S
FEW = 0.25  # of the connections that clients may hold, up to which few are open
WRITE_S = 5.0  # a client that takes no byte of its answer for so long has gone
LINGER_S, LINGER_MOST = 1.0, 256 << 10  # what comes after a last answer is read, lest a reset overtake it
QUIET_S, ACCEPT_S, ACCEPT_MOST_S = 0.25, 0.6, 1.5  # after SIGTERM new connections come for up to 0.4 s
LAST_S = 0.5  # after the longest deadline we are gone; SIGKILL comes 0.7 s after it
KILL_LEAST_S = 3.0  # a longest deadline counts as this much at most
LEAVE_S = 1.8  # after SIGTERM clients' connections that stay idle are kept for a successor's sake
EMPTY_S, EMPTY_STEP_S = 0.35, 0.05  # after it was asked whether we serve, the front sends no more connections
EMPTY_SILENT_S = 0.6  # a connection of then that says nothing

log = logging.getLogger(__name__)


class Phase(Enum):
    IDLE = 0  # between requests
    HEAD = 1
    BODY = 2
    LAST = 3  # the last answer is written or owed; input is read and forgotten


def host_of(fields: dict[bytes, bytes]) -> bytes:
    """The Host field's name, without port and brackets."""
    host = fields.get(b"host", b"").lower()
    if not host.endswith(b"]"):
        host = host.rpartition(b":")[0] if b":" in host else host
    return host.strip(b"[]")


def bound_to(address: tuple[str, int]) -> socket.socket:
    """A socket to listen on there.  Raises OSError where the address can't be bound."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)  # no waiting for TIME_WAIT
    listener.bind(address)
    return listener


class Clients:
    """The listener and the books of all client connections."""

    def __init__(self, loop: asyncio.AbstractEventLoop, config: Config, proxy: Proxy) -> None:
        self.loop = loop
        self.proxy = proxy
        self.listens = config.listen
        self.config = config
        self.before_accept: Callable[[], None] | None = None  # while another process shares our limits
        self.reload(config)
        self.open: dict[Client, None] = {}
        self.silent: dict[Client, None] = {}  # those that have not sent a byte, the oldest first
        self.idle: dict[Client, None] = {}  # those between requests, the longest idle first
        self.draining = False
        self.emptied_at = math.inf  # when operators asked for it
        self.accepted_at = 0.0
        self.servers: list[asyncio.Server] = []

    def make_room(self, taken: int) -> None:
        """Other processes of this proxy hold so many descriptors of those that are for all of them."""
        fewer = beside(self.config, taken) if taken else self.config
        self.most, self.crowd_most = fewer.client_sockets, fewer.crowd_sockets
        self.proxy.pool.settle(fewer)

    def reload(self, config: Config) -> None:
        self.config = config
        self.most, self.crowd_most = config.client_sockets, config.crowd_sockets
        if config.listen != self.listens and not config.listed:  # else the host tells of its listeners
            log.error("reload: listen: a new address needs a restart; %s:%d stays", *self.listens)

    async def listen(self, address: tuple[str, int], inherited: int | None = None) -> tuple[str, int]:
        """Listen on an address, or on a socket that whoever started us holds for all of our kind."""
        # raises OSError if it is no socket
        listener = bound_to(address) if inherited is None else socket.socket(fileno=inherited)
        server = await self.loop.create_server(lambda: Client(self), sock=listener, backlog=BACKLOG)
        if not self.servers:
            self.loop.call_later(SWEEP_S, self._sweep)
        self.servers.append(server)
        bound = listener.getsockname()
        return bound[0], bound[1]

    def opened(self, client: Client) -> bool:
        """Count a new connection; False: it is one of the crowd, only there to be refused."""
        self.open[client] = None
        self.accepted_at = time.monotonic()
        if self.before_accept:
            self.before_accept()
        if len(self.open) <= self.most:
            return True
        # guards usual clients: a crowd that says nothing goes before anyone who has ever asked, so that its
        # size costs no more than its accepts; it might hurt a client that connects long before it asks
        oldest = self._resting(self.silent)
        if oldest and oldest is not client:
            oldest.abort()
            return True
        if oldest := self._resting(self.idle):
            oldest.close()
            return True
        if self.proxy.pool.lend(len(self.open) - self.most) >= len(self.open) - self.most:
            return True
        if len(self.open) > self.most + self.proxy.pool.lent + self.crowd_most:
            # guards the descriptors: whoever is turned away goes, or has been sending its request for longest
            slow = [other for other in self.open if not other.request and not other.early]
            min(slow, key=lambda other: (other.phase is not Phase.LAST, other.begun), default=client).abort()
        return False

    def _resting(self, clients: dict[Client, None]) -> Client | None:
        """The first of those that have not just said something; only so many are looked at."""
        looked_at = islice(clients, LOOK_MOST)
        return next((client for client in looked_at if not has_come(client.transport)), None)

    def closed(self, client: Client) -> None:
        self.open.pop(client, None)
        self.idle.pop(client, None)
        self.silent.pop(client, None)
        if self.proxy.pool.lent:
            self.proxy.pool.lend(len(self.open) - self.most)

    def _sweep(self) -> None:
        self.loop.call_later(SWEEP_S, self._sweep)
        now = time.monotonic()
        for client in [client for client in self.open if client.due <= now]:
            client.overdue()
        # guards new clients: those that ask once and stay for good must not hold what others need, here or
        # where clients count their own; it might hurt one that asks now and then, by a connection each time
        spare = FEW * self.most
        waits = [(client, REQUEST_S - SILENT_LEAST_S) for client in self.silent]
        for client, rest in [*waits, *((client, IDLE_S - IDLE_LEAST_S) for client in self.idle)]:
            if len(self.open) > spare and client.due - rest <= now:
                client.close()
                spare += 1
        self.proxy.pool.sweep(now)

    def empty(self, on: bool) -> None:
        """Operators take the proxy's clients away, or let them come again."""
        if on == (self.emptied_at < math.inf):
            return
        self.emptied_at = time.monotonic() if on else math.inf
        if on:
            self.loop.call_later(EMPTY_S, self._empty, self.emptied_at)

    def _empty(self, asked_at: float) -> None:
        """Close what is between requests, once closing it makes clients come to another proxy."""
        if self.emptied_at != asked_at or self.draining:
            return
        self.loop.call_later(EMPTY_STEP_S, self._empty, asked_at)
        for client in list(self.idle):
            client.close()
        said_by = time.monotonic() + REQUEST_S - EMPTY_SILENT_S
        for client in [client for client in self.silent if client.due <= said_by]:
            client.close()

    def is_leaving(self) -> bool:
        """No client is to come again, for a while or for good."""
        return self.draining or self.emptied_at < math.inf

    async def drain(self, succeeded: bool = False) -> None:
        """After SIGTERM: answer all that was taken, then close.

        Without a successor, take what still comes first.  With one, what comes is its own, and clients'
        connections stay open for a while: each ends behind its next answer, so that few close on a request.
        """
        self.draining = True
        started = time.monotonic()
        ends_at = started + min(self.proxy.deadline_most_ms / 1000.0, KILL_LEAST_S) + LAST_S
        while not succeeded and (now := time.monotonic()) < started + ACCEPT_MOST_S:
            if now >= max(started + ACCEPT_S, self.accepted_at + QUIET_S):
                break
            await asyncio.sleep(0.02)
        for server in self.servers:
            server.close()  # the last accepts left the backlog empty for QUIET_S
        while succeeded and self.open and time.monotonic() < started + LEAVE_S:
            await asyncio.sleep(0.02)
        while self.open and time.monotonic() < ends_at:
            for client in list(self.idle):
                client.close()
            await asyncio.sleep(0.02)
        # guards rule 1: what was taken late is told that it failed rather than cut off
        for request in [client.request for client in self.open if client.request]:
            self.proxy.give_up(request)
        await asyncio.sleep(0.05)
        for client in list(self.open):
            client.abort()


class Client(asyncio.Protocol):
    """One client connection."""

    __slots__ = (
        "ask", "begun", "body", "chunks", "due", "early", "fields", "headers", "held", "is_old", "last",
        "length", "owner", "parser", "paused", "phase", "request", "seen", "source", "told", "transport",
        "upload", "url", "welcome", "wrong",
    )  # fmt: skip

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
        self.seen = 0  # bytes of the head, or since the body last came on; after the last answer, of anything
        self.fields = self.length = 0  # bytes of the header fields, and of the body
        self.early: deque[tuple[Ask | None, int, bytes | bytearray]] = deque()
        self.request: Request | None = None
        self.upload: Upload | None = None  # the body being read, where it is passed on as it comes
        self.told = 0  # bytes that the head says the body has; 0: it does not say
        self.held = False  # nobody takes what we read
        self.source: Link | None = None  # of the answer being passed on
        self.chunks = False  # that answer goes out in chunks
        self.is_old = False  # the request being answered is of HTTP/1.0
        self.last = False  # no request after this one
        self.paused = False
        self.begun = time.monotonic()
        self.due = self.begun + REQUEST_S
        self.welcome = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.owner.silent[self] = None
        self.welcome = self.owner.opened(self)

    # Reading.  A callback that raises Unreadable ends the parsing of what came; `wrong` tells how to answer.

    def data_received(self, data: bytes) -> None:
        self.owner.silent.pop(self, None)
        self.seen += len(data)
        if self.phase is Phase.LAST:
            if self.seen > LINGER_MOST:
                self.transport.pause_reading()  # guards our time: 60 MB need not be read to be turned away
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.last = True  # no other protocol is spoken here, so what follows can't be read
        except httptools.HttpParserError:
            if self.is_over():
                pass  # answered while its body was still coming
            elif self.phase is Phase.IDLE and self.last:
                self.transport.pause_reading()  # its last request is in; nothing that follows is wanted
            else:
                self._reject(self.wrong or 400)
            return
        if self.seen > HEAD_MOST and self.phase is Phase.HEAD:
            self._reject(431)
        elif self.seen > HEAD_MOST + (256 << 10):  # guards memory: trailers and chunk extensions without end
            self._reject(400)

    def is_over(self) -> bool:
        """Nothing more is read but to be forgotten."""
        return self.phase is Phase.LAST

    def on_message_begin(self) -> None:
        if self.phase is Phase.LAST:
            raise Unreadable
        self.owner.idle.pop(self, None)
        if self.begun == math.inf:  # the first request's time began with the connection
            self.begun = time.monotonic()
        self.url, self.headers, self.body = b"", [], b""
        self.ask, self.wrong, self.fields, self.length, self.told = None, 0, 0, 0, 0
        self.phase = Phase.HEAD
        self.due = self.begun + REQUEST_S

    def on_url(self, url: bytes) -> None:
        self.url += url
        if len(self.url) > URL_MOST:
            self._refuse(414)

    def on_header(self, name: bytes, value: bytes) -> None:
        self.fields += len(name) + len(value) + 4
        if self.fields > HEAD_MOST or len(self.headers) >= FIELDS_MOST:
            self._refuse(431)
        if self.phase is Phase.HEAD:
            self.headers.append((name.lower(), value.rstrip(OWS)))

    def _refuse(self, status: int) -> None:
        self.wrong = status
        raise Unreadable

    def on_headers_complete(self) -> None:
        headers, self.phase = self.headers, Phase.BODY
        if len(self.url) + self.fields > HEAD_MOST:
            self._refuse(431)
        self.seen = 0
        version = self.parser.get_http_version()
        if version not in VERSIONS:
            self._refuse(505)  # RFC 9110, 15.6.6; HTTP/0.9 too, which the parser reads
        names = [name for name, _ in headers if name in ONCE]
        fields = dict(headers)
        # guards rule 2: a message with two lengths may hide another request in its body
        if len(set(names)) < len(names) or (b"content-length" in fields and b"transfer-encoding" in fields):
            self._refuse(400)
        if fields.get(b"transfer-encoding", b"chunked").lower() != b"chunked":
            self._refuse(400)
        if version == "1.0":
            # RFC 9112, 6.1: its framing is faulty, so the next request can't be told from this one's body
            if b"transfer-encoding" in fields:
                self._refuse(400)
            self.last = True  # RFC 9112, 9.3: no proxy keeps a connection of HTTP/1.0
        elif b"host" not in fields:
            self._refuse(400)  # RFC 9112, 3.2
        if not is_host(fields.get(b"host", b"")):
            self._refuse(400)
        if absolute := absolute_form(self.url):
            self._take_authority(*absolute)
            fields[b"host"] = absolute[0]
        length = fields.get(b"content-length", b"0")
        if not length.isdigit():
            self._refuse(400)
        if len(length) > 12 or int(length) > STREAM_MOST:
            self._refuse(413)
        self.told = int(length)
        if not self.parser.should_keep_alive():
            self.last = True
        self._read_head(self.parser.get_method(), fields, version)
        if 400 <= self.wrong < 500:
            self._refuse(self.wrong)  # the body need not come
        expects = version == "1.1" and fields.get(b"expect", b"").lower() == b"100-continue"
        if self.ask:
            self.ask.is_old = version == "1.0"
        if expects and not self.request:  # RFC 9110, 10.1.1: HTTP/1.0 has no interim answers
            if self.wrong or not self.welcome:
                self._refuse(self.wrong or 503)
            self.transport.write(CONTINUE)

    def _take_authority(self, authority: bytes, url: bytes) -> None:
        """RFC 9112, 3.2.2: what the target names counts, whatever the Host field says."""
        if not authority or not is_host(authority):
            self._refuse(400)
        self.url = url
        self.headers = [(name, value) for name, value in self.headers if name != b"host"]
        self.headers.append((b"host", authority))

    def _read_head(self, method: bytes, fields: dict[bytes, bytes], version: str) -> None:
        """What no backend could use is turned away here: it costs backends nothing, nor their health."""
        proxy = self.owner.proxy
        path = self.url.partition(b"?")[0]
        parts = path.split(b"/")
        named = parts[1] if len(parts) > 1 and not parts[0] else b""
        if method not in METHODS:
            self.wrong = 405
            return
        if path == b"/_health":
            self.wrong = 200 if proxy.serves() and not self.owner.is_leaving() else 503
            return
        if method == b"OPTIONS" and (hops := fields.get(b"max-forwards", b"")).isdigit():
            if not int(hops[:9]):  # RFC 9110, 7.6.2: it is for us, the last it may reach
                self.wrong = 200
                return
            self.headers = [
                (n, b"%d" % (int(v[:9]) - 1) if n == b"max-forwards" else v) for n, v in self.headers
            ]
        if proxy.router and proxy.own_clients:
            self._read_routed(proxy.router, method, path, fields, version)
            return
        deadline = fields.get(b"x-deadline-ms")
        name, klass = fields.get(b"x-request-id"), proxy.classes.get(named.decode("latin-1"))
        if (
            klass is None
            or not name
            or not self.url.isascii()
            or fields.get(b"x-class", named) != named
            or (deadline is not None and not (deadline.isdigit() and len(deadline) <= 12))
            or (klass.effect is Effect.KEYED and not fields.get(b"idempotency-key"))
        ):
            self.wrong = 400
            return
        if method == b"GET" and klass.effect is not Effect.IDEMPOTENT:
            self.wrong = 405
            return
        hint = figure(fields.get(b"x-cost-hint", b""), HINT_MOST_US)
        self.ask = Ask(
            b"%b %b HTTP/1.1\r\n%b%b" % (method, self.url, end_to_end(self.headers, READ_HERE), VIA[version]),
            name,
            klass.name,
            fields.get(b"x-tenant", b"").decode("latin-1"),
            parts[-1] if len(parts) > 2 else b"",
            min(float(deadline), proxy.deadline_most_ms) if deadline else None,
            (hint or 0.0) / 1000.0,
            fields.get(b"x-retry") == b"1",
            method != b"GET",
        )
        if proxy.router:  # a class without a route keeps the platform's way
            policy = self.ask.policy = proxy.router.find(host_of(fields), path, method, fields)
            if policy:
                left = self.ask.time_left_ms
                most = policy.request_class.deadline_ms
                self.ask.time_left_ms = most if left is None else min(left, most)

    def _read_routed(
        self, router: Router, method: bytes, path: bytes, fields: dict[bytes, bytes], version: str
    ) -> None:
        """A request of a host with routes of its own, which asks nothing of its clients."""
        policy = router.find(host_of(fields), path, method, fields)
        if policy is None:
            self.wrong = 404
            return
        deadline = fields.get(b"x-deadline-ms")
        if deadline is not None and not (deadline.isdigit() and len(deadline) <= 12):
            self.wrong = 400
            return
        name, added = fields.get(b"x-request-id"), b""
        if not name:
            added = b"x-request-id: %b\r\n" % os.urandom(8).hex().encode()
        hint = figure(fields.get(b"x-cost-hint", b""), HINT_MOST_US)
        lines = end_to_end(self.headers, READ_HERE)
        most = policy.request_class.deadline_ms
        self.ask = Ask(
            b"%b %b HTTP/1.1\r\n%b%b%b" % (method, self.url, lines, added, VIA[version]),
            klass=policy.request_class.name,
            tenant=fields.get(b"x-tenant", b"").decode("latin-1"),
            key=path.rpartition(b"/")[2],
            time_left_ms=min(float(deadline), most) if deadline else most,
            hint_ms=(hint or 0.0) / 1000.0,
            is_retry=fields.get(b"x-retry") == b"1",
            is_write=method in (b"POST", b"PUT", b"PATCH"),
            policy=policy,
            repeat_key=fields.get(b"idempotency-key", b""),
        )

    def on_body(self, data: bytes) -> None:
        if self.phase is Phase.LAST:
            raise Unreadable  # answered while it came
        self.length += len(data)
        self.seen = 0
        if self.length > STREAM_MOST:
            self._refuse(413)
        if self.length > SMALL_BODY:  # a large body may take as long as it comes on at the least speed
            now = time.monotonic()
            slowest = self.begun + REQUEST_S + self.length / SLOWEST
            self.due = max(self.begun + REQUEST_S, min(now + PIECE_S, slowest))
        if self.wrong:
            return
        if self.upload:
            self.upload.feed(data)
            return
        if not self.welcome or not self.owner.proxy.budget.take(
            len(data), 1.0 if self.length <= SMALL_BODY else LARGE_SHARE
        ):
            self._forget_body()
            self.wrong = 503  # nothing of it ran; the client reads so once its body is out
        elif not self.body:
            self.body = data
        else:
            if isinstance(self.body, bytes):
                self.body = bytearray(self.body)
            self.body += data
        # guards rule 1: one that found no room has lost its first bytes, and its rest is nobody's
        if not self.wrong and (self.length > HOLD_MOST or self.told > HOLD_MOST):
            self._pass_on()

    def _pass_on(self) -> None:
        """A body too long to be held goes on to a backend while it comes."""
        proxy, ask = self.owner.proxy, self.ask
        if self.request or self.early or ask is None or (ask.name and ask.name in proxy.names):
            self._forget_body()
            self.wrong = 503 if self.request or self.early else 400
            return
        body, self.body = bytes(self.body), b""
        framing = b"content-length: %d\r\n" % self.told if self.told else b"transfer-encoding: chunked\r\n"
        ask.head += framing
        self.is_old = ask.is_old
        self.upload = Upload(self, proxy.budget, body, not self.told)
        request = proxy.arrive(self, ask, b"", self.upload)
        if request.over:
            raise Unreadable
        self.request = request

    def hold(self, on: bool) -> None:
        """Nobody takes what we read of a long body, or somebody does again."""
        if on == self.held or self.phase is not Phase.BODY or self.transport.is_closing():
            return
        self.held = on
        if on:
            self.due = time.monotonic() + HELD_S
            self.transport.pause_reading()
        else:
            self.due = time.monotonic() + PIECE_S
            self.transport.resume_reading()

    def _forget_body(self) -> None:
        self.owner.proxy.budget.give(len(self.body))
        self.body = b""

    def on_message_complete(self) -> None:
        if self.phase is Phase.LAST:
            raise Unreadable
        self.phase, self.seen, self.due, self.begun = Phase.IDLE, 0, math.inf, math.inf
        if self.upload:
            upload, self.upload, self.ask = self.upload, None, None
            upload.finish()
            if self.request:
                self.owner.proxy.uploaded(self.request)
            return
        read = (self.ask, self.wrong, self.body)
        self.body, self.headers, self.ask, self.url = b"", [], None, b""
        if self.request is None and not self.early:
            self._serve(*read)
        elif len(self.early) < EARLY_MOST:
            self.early.append(read)
            self.transport.pause_reading()  # one at a time; so it can't be seen leaving until then
        else:
            self.owner.proxy.budget.give(len(read[2]))
            self._refuse(429)

    def _serve(self, ask: Ask | None, wrong: int, body: bytes | bytearray) -> None:
        proxy = self.owner.proxy
        if not self.welcome:
            wrong, self.last = wrong or 503, True
        if ask and not wrong and ask.name and ask.name in proxy.names:
            wrong = 400  # guards rules 1 and 2: the id of an open request tells which answer is whose
        if ask is None or wrong:
            proxy.budget.give(len(body))
            self.last = self.last or 400 <= wrong < 500  # who can't ask right need not ask again here
            self.answer(wrong or 400, DATE.now())
            return
        # a body of the framing that backends get: always its length
        if body or ask.is_write:
            ask.head += b"content-length: %d\r\n" % len(body)
        self.is_old = ask.is_old
        request = proxy.arrive(self, ask, body)
        self.request = None if request.over else request

    # Answering.

    def answer(self, status: int, lines: bytes, body: bytes = b"") -> None:
        self.last = self.last or self.owner.is_leaving()
        if self.upload:  # its body still comes, and nobody wants the rest
            self.upload, self.last = None, True
            self.phase = Phase.LAST
            if self.held:
                self.held = False
                self.transport.resume_reading()  # to be forgotten
        self.transport.write(answer_head(status, lines, len(body), self.last and not self.early) + body)
        self._answered()

    def _answered(self) -> None:
        self.request = None
        if self.early:
            self.owner.loop.call_soon(self._serve_early)
        elif self.last:
            self._linger()
        elif self.phase is Phase.IDLE:
            self.due = time.monotonic() + IDLE_S
            self.owner.idle[self] = None

    def begin(self, link: Link, answer: Answer, length: int | None) -> Taker | None:
        """A long answer, passed on as it comes; `length` None: its head does not say."""
        if self.transport.is_closing() or self.upload:
            return None
        self.chunks = length is None and not self.is_old
        self.last = self.last or self.owner.is_leaving() or (length is None and self.is_old)
        self.source = link
        close = self.last and not self.early
        self.transport.write(answer_head(answer.status, answer.lines, length, close, self.chunks))
        self.push(answer.body)
        return self

    def push(self, data: bytes) -> None:
        if data:
            self.transport.write(chunk(data) if self.chunks else data)

    def finish(self) -> None:
        """The last byte of a long answer is out."""
        self.source = None
        if self.chunks:
            self.transport.write(LAST_CHUNK)
        self._answered()

    def cut(self) -> None:
        """A long answer can't be finished: an end without its last byte says so."""
        self.source = None
        self.transport.abort()

    def has_left(self) -> bool:
        """A client that ends its sending has gone as well, whether its connection is being read or not."""
        if not has_ended(self.transport):
            return False
        self.transport.abort()
        return True

    def _serve_early(self) -> None:
        if self.early and self.request is None and not self.transport.is_closing():
            read = self.early.popleft()
            if not self.early and self.phase is not Phase.LAST and not self.paused:
                self.transport.resume_reading()
            self._serve(*read)

    def pause_writing(self) -> None:
        """The client reads too slowly: nothing more is read from it until it has caught up."""
        self.paused = True
        self.due = time.monotonic() + WRITE_S
        self.transport.pause_reading()
        if self.source:
            self.source.hold(True)

    def resume_writing(self) -> None:
        self.paused = False
        self.due = math.inf if self.request else time.monotonic() + LINGER_S
        if not self.early and not self.held:
            self.transport.resume_reading()
        if self.source:
            self.source.hold(False)

    def _reject(self, status: int) -> None:
        """Answer what can't be served.  Answers owed for what came before it go out first, and alone."""
        self._forget_body()
        self.url, self.headers, self.ask = b"", [], None
        self.owner.idle.pop(self, None)
        self.phase, self.last, self.due = Phase.LAST, True, math.inf
        if self.upload:  # it can't be finished, so what went out of it never runs
            self.upload, request, self.request = None, self.request, None
            if request:
                self.owner.proxy.client_gone(request)
        if self.request is None and not self.early:
            self.transport.write(answer_head(status, DATE.now(), 0, True))
            self._linger()

    def _linger(self) -> None:
        """End our side, and read on for a while, lest a reset overtake the answer."""
        self.owner.idle.pop(self, None)
        self.phase, self.seen = Phase.LAST, 0
        self.due = time.monotonic() + LINGER_S
        if self.transport.can_write_eof() and not self.transport.is_closing():
            self.transport.write_eof()

    # Ending.

    def overdue(self) -> None:
        if self.upload:
            self._reject(408)
        elif self.request or self.early:
            if self.paused:
                self.transport.abort()  # it does not take the answers it has
            else:
                self._reject(408)  # of the next one only a part came
        elif self.phase in (Phase.HEAD, Phase.BODY):
            self._reject(408)
        elif self.phase is Phase.IDLE and not self.transport.get_write_buffer_size():
            self.close()
        else:
            self.transport.abort()

    def close(self) -> None:
        """End a connection between requests, unless something has just come: that is read first, and a
        connection closed over it would be reset under what was answered before.
        """
        if has_come(self.transport):
            return
        self.owner.idle.pop(self, None)
        self.phase, self.last = Phase.LAST, True
        self.due = time.monotonic() + WRITE_S
        self.transport.close()

    def abort(self) -> None:
        self.owner.closed(self)  # its descriptor is as good as free
        self.transport.abort()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self.owner.closed(self)
        self._forget_body()
        for _, _, body in self.early:
            self.owner.proxy.budget.give(len(body))
        self.early.clear()
        request, self.request = self.request, None
        if request:
            self.owner.proxy.client_gone(request)
        del self.parser  # it refers back to us, and the collector would come late
