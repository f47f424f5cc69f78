"""What is in flight between clients, proxies and nodes: requests, attempts and connections."""

from __future__ import annotations

from typing import Protocol

from heronreel.balancer.interface import Outcome
from heronreel.emulator.client_request import ClientRequest
from heronreel.emulator.endpoint_list import Endpoint
from heronreel.emulator.model import RequestClass
from heronreel.emulator.node import Node
from heronreel.emulator.policies import Decider

IN_USE, CLOSED = -1.0, -2.0  # in place of the time since which a connection is idle


class Connection:
    """A connection to a node's process."""

    __slots__ = ("idle_since", "incarnation", "node")

    def __init__(self, node: Node) -> None:
        self.node, self.incarnation = node, node.incarnation
        self.idle_since = IN_USE


class ProxyHandle(Protocol):
    """A proxy, as clients, nodes and traces see it."""

    name: str
    zone: str
    decider: Decider | None
    known_endpoints: dict[int, Endpoint]

    def receive(self, request: InboundRequest, time_left_ms: float) -> None:
        """The last byte of a request has come."""

    def client_disconnected(self, request: InboundRequest) -> None:
        """The client of a request closes."""

    def send_response(self, attempt: NodeAttempt, outcome: Outcome) -> None:
        """A response, or a reset, travels back from a node."""

    def node_responded(self, attempt: NodeAttempt, outcome: Outcome) -> None:
        """A node is done with an attempt; its response is sent."""

    def node_stopped(self, node: Node) -> None:
        """A node's process is gone; connections to it are reset."""


class InboundRequest:
    """One attempt of a client's request, at one proxy.  Times are ms."""

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
        self.attempts_at_nodes = 0  # seen there, where proxies are real processes
        self.finished = False


class NodeAttempt(Protocol):
    """An attempt as a node sees it, whichever engine made it."""

    @property
    def request(self) -> InboundRequest:
        """The proxy's request that it belongs to."""

    @property
    def number(self) -> int:
        """Its place among the request's attempts, from 0."""

    @property
    def node(self) -> Node:
        """The node it goes to."""


class Attempt:
    """One attempt of a proxy at a node.  Times are ms."""

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
