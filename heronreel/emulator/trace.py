"""What happened to one request: what each proxy believed when it decided, and what the nodes really did."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from heronreel.balancer import interface as api
from heronreel.balancer.choice import Balancer
from heronreel.balancer.endpoints import NEAR
from heronreel.emulator.node import Node
from heronreel.emulator.policies import Plain

if TYPE_CHECKING:
    from heronreel.emulator.proxies import Ask, Attempt
    from heronreel.emulator.world import World

SHOWN = 5  # other nodes that a decision is shown beside


class Tracer:
    """Keeps the steps of the lines (a client's requests, with all tries) that it is asked for."""

    def __init__(self, world: World, lines: set[int]) -> None:
        self.world, self.lines = world, lines
        self.steps: dict[int, list[dict[str, Any]]] = {line: [] for line in sorted(lines)}

    def _step(self, now: float, ask: Ask, what: str, **told: Any) -> None:
        if ask.line.ident in self.lines:
            step = {
                "at_ms": round(now, 3),
                "what": what,
                "request": ask.ident,
                "proxy": ask.proxy.name,
                **told,
            }
            self.steps[ask.line.ident].append(step)

    def arrived(self, now: float, ask: Ask) -> None:
        line = ask.line
        self._step(
            now, ask, "arrives", **{"try": line.tries}, tenant=line.tenant, key=line.key,
            work_ms=round(line.work, 2),
            time_left_ms=round(ask.deadline - now, 2), known_nodes=len(ask.proxy.known),
        )  # fmt: skip

    def decided(self, now: float, attempt: Attempt) -> None:
        ask = attempt.ask
        if ask.line.ident not in self.lines:
            return
        decider = ask.proxy.decider
        believed = believes(decider, now, attempt.node.ident)
        others = [
            {"node": node.name} | believes(decider, now, node.ident) | {"truth": truth(self.world, now, node)}
            for node in self._others(ask, attempt)
        ]
        self._step(
            now, ask, "decides", attempt=attempt.number, node=attempt.node.name, believes=believed,
            truth=truth(self.world, now, attempt.node), others=others,
        )  # fmt: skip

    def _others(self, ask: Ask, attempt: Attempt) -> list[Node]:
        """Nodes that would have answered soonest, as only the emulator knows."""
        world, zone = self.world, ask.proxy.zone
        alive = [n for n in world.fleet.alive() if n is not attempt.node]
        return sorted(alive, key=lambda n: (world.wait_ms(zone, n.ident, ask.line.work), n.name))[:SHOWN]

    def at_node(self, now: float, attempt: Attempt, what: str) -> None:
        self._step(
            now, attempt.ask, f"at the node: {what}", attempt=attempt.number, node=attempt.node.name,
            truth=truth(self.world, now, attempt.node),
        )  # fmt: skip

    def ran(self, now: float, attempt: Attempt, failed: bool) -> None:
        what = "the node answers with an error" if failed else "its work is done"
        self._step(now, attempt.ask, what, attempt=attempt.number, node=attempt.node.name)

    def ended(self, now: float, attempt: Attempt, outcome: api.Outcome) -> None:
        took = round(now - attempt.decided, 3)
        self._step(
            now,
            attempt.ask,
            f"ends: {outcome.value}",
            attempt=attempt.number,
            node=attempt.node.name,
            took_ms=took,
        )

    def answered(self, now: float, ask: Ask, what: str, after: float) -> None:
        self._step(now, ask, f"answered: {what}", retry_after_ms=round(after, 1))


def truth(world: World, now: float, node: Node) -> dict[str, Any]:
    """The state of a node as it is."""
    told: dict[str, Any] = {
        "running": len(node.running), "waiting": len(node.waiting), "pace": round(node.held, 3),
        "connections": node.conns,
    }  # fmt: skip
    flags = ("down", "drains", "silent", "cold", "fell")
    told |= {flag: True for flag in flags if getattr(node, flag)}
    if node.slow != 1.0:
        told["slower"] = node.slow
    if node.errors > 0.05:
        told["errors"] = node.errors
    if node.paused_until > now:
        told["paused_for_ms"] = round(node.paused_until - now, 1)
    if node.rack.shared < 1.0:
        told["rack_leaves"] = round(node.rack.shared, 3)
    return told


def believes(decider: object, now: float, ident: int) -> dict[str, Any]:
    """What a decider holds of a node: read, never changed."""
    if isinstance(decider, Balancer):
        backend = decider.endpoints.backends.get(ident)
        if backend is None:
            return {"listed": False}
        return {
            "weight": round(backend.weight, 3), "load": round(backend.load, 3),
            "held": round(backend.in_flight_cost, 3),
            "factor": round(backend.cost_factor, 3), "strikes": backend.failure_score,
            "rests_ms": round(max(0.0, backend.ejected_until - now), 1),
            "credit_ms": round(backend.credit_ms, 1),
            "near": backend.tier == NEAR,
        }  # fmt: skip
    if isinstance(decider, Plain):
        return {"listed": ident in decider.infos, "own_out": decider.load.get(ident, 0)}
    return {}
