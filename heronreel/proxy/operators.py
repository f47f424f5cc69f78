"""The second address: what operators ask of a running proxy and tell it.

HTTP/1.1, one call a connection.  Callers share the loop with the riders' requests, so each is bounded: in
bytes, in time, and all of them in number, the longest waiting going first.  Nothing a caller does or leaves
undone holds up another.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from typing import cast

import httptools

from heronreel.proxy.clients import Clients, bound_to
from heronreel.proxy.http1 import DATE, Unreadable, answer_head
from heronreel.proxy.proxy import Proxy
from heronreel.proxy.shared import LOOK_S, MOST, Hold, Shared

CALLERS_MOST = 12  # at once; the descriptors come out of those kept for ourselves
CALL_S = 6.0  # from the connection to the call's last byte; slow callers take up to 4 s
CALL_MOST = 4 << 10  # bytes of a call
BACKLOG = 64

log = logging.getLogger(__name__)


class Orders:
    """Carries out what operators say, here and, through the shared folder, in this proxy's other process."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, proxy: Proxy, clients: Clients, shared: Shared | None
    ) -> None:
        self.loop = loop
        self.proxy = proxy
        self.clients = clients
        self.shared = shared
        self.taken = 0  # descriptors, by the proxy's other process
        if shared is not None:
            self._watch()

    def _watch(self) -> None:
        self.loop.call_later(LOOK_S, self._watch)
        self._safely(self.look)

    def _safely(self, look: Callable[[], None]) -> None:
        try:
            look()
        except OSError as error:  # what was known stays in force
            log.error("shared folder: %s", error)

    def look(self) -> None:
        if self.shared is not None:
            holds, emptying = self.shared.look()
            self.proxy.settle_holds(holds)
            self.clients.empty(emptying)
            self._share()

    def _share(self) -> None:
        """Keep to what the other process leaves, and take no more from clients than has to be.

        While there is another, each accept asks anew: a crowd that comes to both grows faster than we look.
        """
        if self.shared is not None and (taken := self.shared.taken()) != self.taken:
            self.taken = taken
            self.clients.make_room(taken)
            self.clients.before_accept = (lambda: self._safely(self._share)) if taken else None

    def carry_out(self, order: str, name: str) -> bool:
        """Whether it is done, and known to whoever shares the folder.  Raises OSError if it can't be kept."""
        self.look()  # the other process may have been told since
        if order in ("quiesce", "resume"):
            if self.shared is not None:
                self.shared.set_emptying(order == "quiesce")
            self.clients.empty(order == "quiesce")
            return True
        if not self.proxy.knows(name):
            return False
        old, now = self.proxy.holds.get(name), time.time() * 1000.0
        held = old is not None and not old.released_ms
        if order == "cordon" and not held:
            return self._put(Hold(name, now))
        if order == "uncordon" and old is not None and held:
            return self._put(Hold(name, old.since_ms, now))
        return True  # as it was told before: two calls out need one call back

    def _put(self, hold: Hold) -> bool:
        if hold.name not in self.proxy.holds and len(self.proxy.holds) >= MOST:
            return False
        if self.shared is None:
            self.proxy.settle_holds(self.proxy.holds | {hold.name: hold})
        else:
            self.shared.put(hold)
            self.look()
            self.shared.forget_before(hold.since_ms - self.proxy.settings.slow_start_ms)
        return True


class Operators:
    """The listener.  `health` answers a question, `told` carries out an order; both say yes or no."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, health: Callable[[], bool], told: Callable[[str, str], bool]
    ) -> None:
        self.loop = loop
        self.health = health
        self.told = told
        self.callers: dict[Caller, None] = {}  # the longest waiting first

    async def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Raises OSError where the address can't be bound."""
        listener = bound_to(address)
        self.server = await self.loop.create_server(lambda: Caller(self), sock=listener, backlog=BACKLOG)
        bound = listener.getsockname()
        return bound[0], bound[1]

    def answer(self, method: str, path: str, body: str) -> int:
        """The status of one call."""
        if path == "/admin/health":
            if method not in ("GET", "HEAD"):
                return 405
            return 200 if self.health() else 503
        order = path.removeprefix("/admin/")
        if order == path or order not in ("cordon", "uncordon", "quiesce", "resume"):
            return 404
        if method != "POST":
            return 405
        try:
            done = self.told(order, body.strip())
        except OSError as error:
            log.error("%s %s: %s", order, body.strip()[:80], error)
            return 503
        log.info("%s %s: %s", order, body.strip()[:80], "yes" if done else "no")
        return 200 if done else 404


class Caller(asyncio.Protocol):
    """One call."""

    __slots__ = ("body", "done", "owner", "parser", "seen", "timer", "transport", "url")

    def __init__(self, owner: Operators) -> None:
        self.owner = owner
        self.transport: asyncio.Transport
        self.parser = httptools.HttpRequestParser(self)
        self.url = self.body = b""
        self.seen = 0
        self.done = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.timer = self.owner.loop.call_later(CALL_S, self.transport.abort)
        if len(self.owner.callers) >= CALLERS_MOST:  # guards the next caller: a silent one goes first
            oldest = next(iter(self.owner.callers))
            del self.owner.callers[oldest]
            oldest.transport.abort()
        self.owner.callers[self] = None

    def data_received(self, data: bytes) -> None:
        self.seen += len(data)
        if self.done:
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.done:
                self._say(400)
            return
        if self.seen > CALL_MOST and not self.done:
            self._say(413)

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        if self.done:
            raise Unreadable  # one call a connection
        method = self.parser.get_method().decode("latin-1")
        path = self.url.partition(b"?")[0].decode("latin-1")
        self._say(self.owner.answer(method, path, self.body.decode("utf-8", "replace")))

    def _say(self, status: int) -> None:
        self.done = True
        word = b"yes\n" if status < 300 else b"no\n"
        self.transport.write(answer_head(status, DATE.now(), len(word), True) + word)
        self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        self.timer.cancel()
        self.owner.callers.pop(self, None)
        del self.parser  # it refers back to us
