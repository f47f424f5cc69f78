"""Requests, attempts and connections in flight between clients, proxies and nodes."""

from __future__ import annotations

from typing import Protocol

from heronreel.balancer.interface import Outcome
from heronreel.emulator.client_request import ClientRequest
from heronreel.emulator.endpoint_list import Endpoint
from heronreel.emulator.model import RequestClass
from heronreel.emulator.node import Node
from heronreel.emulator.policies import Decider

# Values of `Connection.idle_since` for a connection that is not idle.
IN_USE = -1.0
CLOSED = -2.0


class Connection:
    """A connection from a proxy to one process of a node."""

    __slots__ = ("idle_since", "incarnation", "node")

    def __init__(self, node: Node) -> None:
        self.node, self.incarnation = node, node.incarnation
        self.idle_since = IN_USE


class ProxyHandle(Protocol):
    """The interface of a proxy to clients, nodes and traces."""

    name: str
    zone: str
    decider: Decider | None
    known_endpoints: dict[int, Endpoint]

    def receive(self, request: InboundRequest, time_left_ms: float) -> None:
        """Handle a request whose last byte has arrived."""

    def client_disconnected(self, request: InboundRequest) -> None:
        """Handle the disconnection of the client of a request."""

    def send_response(self, attempt: NodeAttempt, outcome: Outcome) -> None:
        """Send a response or a connection reset from a node back to this proxy."""

    def node_responded(self, attempt: NodeAttempt, outcome: Outcome) -> None:
        """Handle the end of an attempt at a node, and send its response."""

    def node_stopped(self, node: Node) -> None:
        """Handle the end of a node's process, which resets the connections to it."""


class InboundRequest:
    """One attempt of a client's request, as one proxy receives it.  Times are ms."""

    __slots__ = (
        "attempts",
        "attempts_at_nodes",
        "client_request",
        "deadline",
        "finished",
        "ident",
        "is_retry",
        "proxy",
        "request_class",
    )

    def __init__(
        self,
        ident: int,
        client_request: ClientRequest,
        request_class: RequestClass,
        proxy: ProxyHandle,
        deadline: float,
        is_retry: bool,
    ) -> None:
        self.ident, self.client_request, self.request_class = ident, client_request, request_class
        self.proxy, self.deadline, self.is_retry = proxy, deadline, is_retry
        self.attempts: list[Attempt] = []
        self.attempts_at_nodes = 0  # counted at the nodes when the proxies are real processes
        self.finished = False


class NodeAttempt(Protocol):
    """An attempt as a node sees it, in the emulator or with real proxy processes."""

    @property
    def request(self) -> InboundRequest:
        """The request at the proxy that this attempt belongs to."""

    @property
    def number(self) -> int:
        """The position of this attempt among those of its request, from 0."""

    @property
    def node(self) -> Node:
        """The node that this attempt is sent to."""


class Attempt:
    """One attempt that a proxy sends to a node.  Times are ms."""

    __slots__ = (
        "connection",
        "decided_at",
        "ended",
        "handshake_work",
        "incarnation",
        "node",
        "number",
        "request",
        "send_by",
        "written",
    )

    def __init__(
        self,
        request: InboundRequest,
        number: int,
        node: Node,
        incarnation: int,
        decided_at: float,
        send_by: float,
    ) -> None:
        self.request, self.number, self.node, self.incarnation = request, number, node, incarnation
        self.decided_at, self.send_by = decided_at, send_by
        self.connection: Connection | None = None
        self.written = self.ended = False
        self.handshake_work = 0.0
