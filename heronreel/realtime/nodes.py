"""The emulator's nodes as servers on loopback: HTTP/1.1 outside, the same model inside.

Latency between zones is added on the way in and out, since loopback has none; a handshake's round trips
count on a connection's first request.  What loopback can't show: packets that vanish, so a silent node's
connections come up and say nothing.
"""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, Any

import httptools

from heronreel.balancer.interface import Outcome
from heronreel.emulator.node import Node
from heronreel.emulator.proxies import Ask
from heronreel.stubs.http_peer import HttpPeer

if TYPE_CHECKING:
    from heronreel.realtime.engine import Engine

ANSWERS = {
    Outcome.SERVED: (200, b""), Outcome.ERROR: (500, b""), Outcome.REJECTED: (503, b"X-Not-Run: 1\r\n"),
}  # fmt: skip


class Reached:
    """One attempt that has come to a node: what the model's jobs belong to."""

    __slots__ = ("ask", "connection", "node", "number")

    def __init__(self, ask: Ask, number: int, connection: Connection) -> None:
        self.ask, self.number, self.connection = ask, number, connection
        self.node = connection.node


class Connection(HttpPeer):
    """A proxy's connection to a node's process."""

    parser: httptools.HttpRequestParser

    def __init__(self, server: Server) -> None:
        super().__init__()
        self.server, self.node, self.epoch = server, server.node, server.node.epoch
        self.parser = httptools.HttpRequestParser(self)
        self.headers: dict[bytes, bytes] = {}
        self.fresh = True
        self.full = False
        self.out: Reached | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        node, engine = self.node, self.server.engine
        engine.clock.update()
        self.full = bool(node.kind.connections) and node.conns >= node.kind.connections
        node.conns += 1
        engine.world.judge.meter.handshakes += 1
        self.server.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        super().connection_lost(error)
        self.server.connections.discard(self)
        if self.epoch == self.node.epoch:
            self.node.conns -= 1
        self._ends(False)

    def _ends(self, never_ran: bool) -> None:
        if self.out is not None:
            out, self.out = self.out, None
            self.server.engine.world.observer.ended(out.ask.ident, out.number, never_ran)

    def on_message_begin(self) -> None:
        self.headers = {}

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_message_complete(self) -> None:
        engine, node = self.server.engine, self.node
        now = engine.clock.update()
        ask = engine.asks.get(self.headers.get(b"x-request-id", b""))
        if ask is None:
            self._write(400, b"", b"")
            return
        number, ask.tried = ask.tried, ask.tried + 1
        world = engine.world
        attempt = self.out = Reached(ask, number, self)
        world.judge.meter.attempts += 1
        proxy = ask.proxy
        world.observer.sent(ask.ident, number, proxy.name, node.name, node.rack.name, node.zone, now)
        if node.zone != proxy.zone:
            world.judge.meter.crossings += 1
        way = world.wires.between(proxy.zone, node.zone)
        if self.full:
            world.events.at(now + 2.0 * way, self.answer, attempt, Outcome.REJECTED)
            return
        trips = 1.0 + 2.0 * node.kind.handshake_rtts if self.fresh else 1.0
        work = node.kind.handshake_ms if self.fresh else 0.0
        self.fresh = False
        world.events.at(now + trips * way, self._reach, attempt, work)

    def _reach(self, attempt: Any, more: float) -> None:
        """As `Proxy._reach` in virtual time."""
        engine, node, ask = self.server.engine, self.node, attempt.ask
        world, now = engine.world, engine.clock.now
        if self.transport is None or node.silent or not world.wires.heard(ask.proxy.zone, node.zone):
            return
        if node.paused_until > now:
            world.events.at(node.paused_until, self._reach, attempt, more)
            return
        if node.resets and world.faults.chance(node.resets):
            self.transport.abort()
            if world.faults.chance(0.5):
                return
        outcome = world.offer(node, attempt, more)
        if outcome is not None:
            ask.proxy._come(attempt, outcome)

    def answer(self, attempt: Reached, outcome: Outcome) -> None:
        if self.out is not attempt or self.transport is None:
            return  # the proxy has given it up
        self._ends(outcome is Outcome.REJECTED)
        if outcome in ANSWERS:
            status, lines = ANSWERS[outcome]
            self._write(status, lines, b"%x" % attempt.ask.ident)
        else:
            self.transport.abort()

    def _write(self, status: int, lines: bytes, body: bytes) -> None:
        if self.transport:
            head = b"HTTP/1.1 %d X\r\n%bContent-Length: %d\r\n\r\n" % (status, lines, len(body))
            self.transport.write(head + body)


class Server:
    """One node's address; its process may end and come up again there."""

    def __init__(self, engine: Engine, node: Node) -> None:
        self.engine, self.node = engine, node
        self.connections: set[Connection] = set()
        self.server: asyncio.Server | None = None
        self.address = ("127.0.0.1", 0)
        self.listen()

    def listen(self) -> None:
        """Bound and listening at once; accepted from as soon as the loop comes to it."""
        listener = socket.create_server(self.address, backlog=512)
        self.address = listener.getsockname()
        self.engine.spawn(self._serve(listener))

    async def _serve(self, listener: socket.socket) -> None:
        self.server = await self.engine.loop.create_server(lambda: Connection(self), sock=listener)
        if self.node.down:
            self.server.close()

    def died(self) -> None:
        """Refuses, and resets what is open."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for connection in list(self.connections):
            if connection.transport:
                connection.transport.abort()
