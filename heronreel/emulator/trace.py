"""Traces selected requests: the state each proxy assumed when it decided, and the real state of the nodes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from heronreel.balancer import interface as api
from heronreel.balancer.choice import Balancer
from heronreel.balancer.endpoints import OWN_ZONE_TIER
from heronreel.emulator.client_request import RequestResult
from heronreel.emulator.node import Node
from heronreel.emulator.policies import BaselinePolicy, NodeOracle
from heronreel.emulator.requests import Attempt, InboundRequest, NodeAttempt

NODES_COMPARED = 5  # number of other nodes shown with a decision
MIN_ERROR_RATE_SHOWN = 0.05


class Tracer:
    """Records the steps of the selected client requests, with all their attempts.

    The keys and texts of a step are part of a result.
    """

    def __init__(
        self, client_requests: set[int], oracle: NodeOracle, in_service: Callable[[], list[Node]]
    ) -> None:
        self.oracle, self.in_service = oracle, in_service
        self.steps: dict[int, list[dict[str, Any]]] = {ident: [] for ident in sorted(client_requests)}

    def _step(self, now: float, request: InboundRequest, what: str, **details: Any) -> None:
        steps = self.steps.get(request.client_request.ident)
        if steps is not None:
            steps.append(
                {
                    "at_ms": round(now, 3),
                    "what": what,
                    "request": request.ident,
                    "proxy": request.proxy.name,
                    **details,
                }
            )

    def request_received(self, now: float, request: InboundRequest) -> None:
        """Record that a proxy has received a request."""
        client_request = request.client_request
        self._step(
            now,
            request,
            "arrives",
            **{"try": client_request.attempts},
            tenant=client_request.tenant,
            key=client_request.key,
            work_ms=round(client_request.work, 2),
            time_left_ms=round(request.deadline - now, 2),
            known_nodes=len(request.proxy.known_endpoints),
        )

    def attempt_decided(self, now: float, attempt: Attempt) -> None:
        """Record that a proxy has chosen a node."""
        request = attempt.request
        if request.client_request.ident not in self.steps:
            return
        decider = request.proxy.decider
        others = [
            {"node": node.name} | believes(decider, now, node.ident) | {"truth": node_truth(now, node)}
            for node in self._fastest_others(request, attempt)
        ]
        self._step(
            now,
            request,
            "decides",
            attempt=attempt.number,
            node=attempt.node.name,
            believes=believes(decider, now, attempt.node.ident),
            truth=node_truth(now, attempt.node),
            others=others,
        )

    def _fastest_others(self, request: InboundRequest, attempt: Attempt) -> list[Node]:
        """Return the other nodes that would have responded first, by their real state."""
        zone, work = request.proxy.zone, request.client_request.work
        others = [node for node in self.in_service() if node is not attempt.node]
        others.sort(key=lambda node: (self.oracle.wait_ms(zone, node.ident, work), node.name))
        return others[:NODES_COMPARED]

    def reached_node(self, now: float, attempt: NodeAttempt, what: str) -> None:
        """Record that a node has admitted an attempt, or dropped it as a duplicate."""
        self._step(
            now,
            attempt.request,
            f"at the node: {what}",
            attempt=attempt.number,
            node=attempt.node.name,
            truth=node_truth(now, attempt.node),
        )

    def job_ended(self, now: float, attempt: NodeAttempt, failed: bool) -> None:
        """Record that a node has finished an attempt."""
        what = "the node answers with an error" if failed else "its work is done"
        self._step(now, attempt.request, what, attempt=attempt.number, node=attempt.node.name)

    def attempt_ended(self, now: float, attempt: Attempt, outcome: api.Outcome) -> None:
        """Record that a proxy has learned how an attempt ended."""
        self._step(
            now,
            attempt.request,
            f"ends: {outcome.value}",
            attempt=attempt.number,
            node=attempt.node.name,
            took_ms=round(now - attempt.decided_at, 3),
        )

    def request_answered(
        self, now: float, request: InboundRequest, result: RequestResult, retry_after_ms: float
    ) -> None:
        """Record that a proxy has responded to its client."""
        self._step(now, request, f"answered: {result.value}", retry_after_ms=round(retry_after_ms, 1))


def node_truth(now: float, node: Node) -> dict[str, Any]:
    """Return the real state of a node."""
    truth: dict[str, Any] = {
        "running": len(node.running),
        "waiting": len(node.waiting),
        "pace": round(node.pace, 3),
        "connections": node.open_connections,
    }
    flags = {
        "down": node.down,
        "drains": node.draining,
        "silent": node.silent,
        "cold": node.cold,
        "fell": node.collapsed,
    }
    truth |= {name: True for name, is_set in flags.items() if is_set}
    if node.slowdown != 1.0:
        truth["slower"] = node.slowdown
    if node.error_rate > MIN_ERROR_RATE_SHOWN:
        truth["errors"] = node.error_rate
    if node.paused_until > now:
        truth["paused_for_ms"] = round(node.paused_until - now, 1)
    if node.rack.pace_share < 1.0:
        truth["rack_leaves"] = round(node.rack.pace_share, 3)
    return truth


def believes(decider: object, now: float, ident: int) -> dict[str, Any]:
    """Return the state of a node as its decider assumes it, without changing the decider."""
    if isinstance(decider, Balancer):
        backend = decider.endpoints.backends.get(ident)
        if backend is None:
            return {"listed": False}
        return {
            "weight": round(backend.weight, 3),
            "load": round(backend.load, 3),
            "held": round(backend.in_flight_cost, 3),
            "factor": round(backend.cost_factor, 3),
            "strikes": backend.failure_score,
            "rests_ms": round(max(0.0, backend.ejected_until - now), 1),
            "credit_ms": round(backend.credit_ms, 1),
            "near": backend.tier == OWN_ZONE_TIER,
        }
    if isinstance(decider, BaselinePolicy):
        return {"listed": ident in decider.infos, "own_out": decider.load.get(ident, 0)}
    return {}
