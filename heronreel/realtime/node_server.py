"""Serves the emulator's nodes over HTTP/1.1 on loopback; the model of a node is that of the emulator.

Loopback has no latency, so the latency between zones is added to requests and responses.  The round trips of
a handshake are added to the first request of a connection.  Loopback cannot lose packets, so connections to
a silent node are established but never answered.
"""

from __future__ import annotations

import asyncio
import socket
from http import HTTPStatus

import httptools

from heronreel.balancer.interface import Outcome
from heronreel.emulator.cluster import Cluster
from heronreel.emulator.node import Node
from heronreel.emulator.proxy import RESET_UNTAKEN_SHARE
from heronreel.emulator.requests import InboundRequest
from heronreel.realtime.runtime import Runtime, SocketAddress
from heronreel.stubs.http_peer import HttpPeer

LISTEN_BACKLOG = 512
RESPONSES = {
    Outcome.SERVED: (HTTPStatus.OK, b""),
    Outcome.ERROR: (HTTPStatus.INTERNAL_SERVER_ERROR, b""),
    Outcome.REJECTED: (HTTPStatus.SERVICE_UNAVAILABLE, b"X-Not-Run: 1\r\n"),
}


class NodeAttempt:
    """An attempt that has arrived at a node; the jobs of the node's model refer to it."""

    __slots__ = ("connection", "node", "number", "request")

    def __init__(self, request: InboundRequest, number: int, connection: NodeConnection) -> None:
        self.request, self.number, self.connection = request, number, connection
        self.node = connection.node


class NodeConnection(HttpPeer):
    """A connection of a proxy to a node's process, which carries one attempt at a time."""

    parser: httptools.HttpRequestParser

    def __init__(self, server: NodeServer) -> None:
        super().__init__()
        self.server, self.node = server, server.node
        self.runtime, self.cluster = server.runtime, server.cluster
        self.context = server.cluster.context
        self.incarnation = server.node.incarnation
        self.parser = httptools.HttpRequestParser(self)
        self.headers: dict[bytes, bytes] = {}
        self.is_first_request = True
        self.over_limit = False
        self.attempt: NodeAttempt | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection; requests on a connection beyond the node's limit are rejected."""
        super().connection_made(transport)
        node = self.node
        self.runtime.clock.update()
        self.over_limit = bool(node.kind.connections) and node.open_connections >= node.kind.connections
        node.open_connections += 1
        self.context.scoring.meter.handshakes += 1
        self.server.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """End the attempt in flight: the proxy closed the connection or the node's process stopped."""
        super().connection_lost(error)
        self.server.connections.discard(self)
        if self.incarnation == self.node.incarnation:
            self.node.open_connections -= 1
        self._end_attempt(never_ran=False)

    def _end_attempt(self, never_ran: bool) -> None:
        if self.attempt is not None:
            attempt, self.attempt = self.attempt, None
            self.context.invariants.attempt_ended(attempt.request.ident, attempt.number, never_ran)

    def on_message_begin(self) -> None:
        """Reset the headers for a new request; called by the parser."""
        self.headers = {}

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; called by the parser."""
        self.headers[name.lower()] = value

    def on_message_complete(self) -> None:
        """Schedule the arrival of a complete request at the node; called by the parser."""
        now = self.runtime.clock.update()
        request = self.runtime.requests.get(self.headers.get(b"x-request-id", b""))
        if request is None:
            self._write(HTTPStatus.BAD_REQUEST, b"", b"")
            return
        attempt = self.attempt = NodeAttempt(request, request.attempts_at_nodes, self)
        request.attempts_at_nodes += 1
        self._record_attempt(attempt, now)
        events, node = self.context.events, self.node
        latency = self.context.network.latency(request.proxy.zone, node.zone)
        if self.over_limit:
            events.schedule(now + 2.0 * latency, self.respond, attempt, Outcome.REJECTED)
            return
        one_way_trips = 1.0 + 2.0 * node.kind.handshake_rtts if self.is_first_request else 1.0
        handshake_work = node.kind.handshake_ms if self.is_first_request else 0.0
        self.is_first_request = False
        events.schedule(now + one_way_trips * latency, self._reach_node, attempt, handshake_work)

    def _record_attempt(self, attempt: NodeAttempt, now: float) -> None:
        request, node, meter = attempt.request, self.node, self.context.scoring.meter
        meter.attempts += 1
        self.context.invariants.attempt_sent(
            request.ident, attempt.number, request.proxy.name, node.name, node.rack.name, node.zone, now
        )
        if node.zone != request.proxy.zone:
            meter.crossings += 1

    def _reach_node(self, attempt: NodeAttempt, handshake_work: float) -> None:
        """Deliver an attempt to the node's model, under the same faults as `Proxy` in virtual time."""
        context, node, proxy = self.context, self.node, attempt.request.proxy
        if self.transport is None or node.silent or not context.network.reachable(proxy.zone, node.zone):
            return
        if node.paused_until > context.events.now:
            context.events.schedule(node.paused_until, self._reach_node, attempt, handshake_work)
            return
        if node.reset_rate and context.fault_stream.bernoulli(node.reset_rate):
            self.transport.abort()
            if context.fault_stream.bernoulli(RESET_UNTAKEN_SHARE):
                return
        outcome = self.cluster.admit(node, attempt, handshake_work)
        if outcome is not None:
            proxy.send_response(attempt, outcome)

    def respond(self, attempt: NodeAttempt, outcome: Outcome) -> None:
        """Write the response to an attempt, unless the proxy has abandoned the attempt."""
        if self.attempt is not attempt or self.transport is None:
            return
        self._end_attempt(never_ran=outcome is Outcome.REJECTED)
        if outcome in RESPONSES:
            status, headers = RESPONSES[outcome]
            self._write(status, headers, b"%x" % attempt.request.ident)
        else:
            self.transport.abort()

    def _write(self, status: int, headers: bytes, body: bytes) -> None:
        if self.transport:
            head = b"HTTP/1.1 %d X\r\n%bContent-Length: %d\r\n\r\n" % (status, headers, len(body))
            self.transport.write(head + body)


class NodeServer:
    """Listens at the address of a node, which stays the same when the node's process restarts."""

    def __init__(self, runtime: Runtime, cluster: Cluster, node: Node) -> None:
        self.runtime, self.cluster, self.node = runtime, cluster, node
        self.connections: set[NodeConnection] = set()
        self.server: asyncio.Server | None = None
        self.address: SocketAddress = ("127.0.0.1", 0)

    def listen(self) -> None:
        """Bind and listen immediately; connections are accepted once the event loop runs `_serve`."""
        listener = socket.create_server(self.address, backlog=LISTEN_BACKLOG)
        self.address = listener.getsockname()
        self.runtime.spawn(self._serve(listener))

    async def _serve(self, listener: socket.socket) -> None:
        self.server = await self.runtime.loop.create_server(lambda: NodeConnection(self), sock=listener)
        if self.node.down:
            self.server.close()

    def process_stopped(self) -> None:
        """Refuse new connections and reset open ones."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for connection in list(self.connections):
            if connection.transport:
                connection.transport.abort()
