"""A failing script cut down to the smallest that still breaks the same rule.

First the troubles, by delta debugging (Zeller and Hildebrandt, 2002): halves, then ever smaller parts are
left out as long as the rule still breaks.  Then the rest: time after the breach, nodes, proxies, traffic,
tenants and parts of the nodes.  Every step is a play of the same seed; the outcome is a script that breaks
the rule again for whoever plays it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

import msgspec

from heronreel.emulator.model import Fault, NodeKind, Rehearsal
from heronreel.emulator.simulation import play
from heronreel.experiments.errors import NoBreachError

MAX_PLAYS = 300
TAIL_S = 1.0  # that stay behind the breach
NODE_FEATURES = {
    "thrash": 0.0, "full_tax": 0.0, "handshake_ms": 0.0, "warm_gain": 0.0, "error_rate": 0.0, "pause_ms": 0.0,
    "speed_cv": 0.0, "connections": 0,
}  # fmt: skip


@dataclass(frozen=True, slots=True)
class ShrunkScript:
    rehearsal: Rehearsal
    rule: str
    at_ms: float  # of its first breach
    plays: int


class Shrinker:
    def __init__(self, rehearsal: Rehearsal, seed: int, policy: str, told: Callable[[str], None]) -> None:
        self.seed, self.policy, self.told = seed, policy, told
        self.plays = 0
        self.best = rehearsal
        broken = self._broken(rehearsal)
        if not broken:
            raise NoBreachError(f"seed {seed} breaks no rule with {policy or rehearsal.proxies.policy}")
        self.rule = min(broken, key=lambda rule: broken[rule])
        self.at_ms = broken[self.rule]

    def _broken(self, rehearsal: Rehearsal) -> dict[str, float]:
        """Rules broken, and when first."""
        self.plays += 1
        first: dict[str, float] = {}
        for row in play(rehearsal, self.seed, self.policy).breaches:
            first.setdefault(row["rule"], row["at_ms"])
        return first

    def _fails(self, rehearsal: Rehearsal) -> bool:
        """Whether it still breaks the rule; if so it is the best so far."""
        if self.plays >= MAX_PLAYS:
            return False
        found = self._broken(rehearsal)
        if self.rule not in found:
            return False
        self.best, self.at_ms = rehearsal, found[self.rule]
        return True

    def run(self) -> ShrunkScript:
        self._troubles()
        before = -1
        while before != self.plays and self.plays < MAX_PLAYS:
            before = self.plays
            kept = self.best
            for what, smaller in self._smaller():
                if smaller != self.best and self._fails(smaller):
                    self.told(what)
            if self.best == kept:
                break
        self._troubles()
        return ShrunkScript(self.best, self.rule, self.at_ms, self.plays)

    def _troubles(self) -> None:
        parts = 2
        while self.best.faults and self.plays < MAX_PLAYS:
            troubles = self.best.faults
            size = max(1, -(-len(troubles) // parts))
            for start in range(0, len(troubles), size):
                left = troubles[:start] + troubles[start + size :]
                if self._fails(msgspec.structs.replace(self.best, faults=left)):
                    self.told(f"{len(left)} troubles")
                    parts = max(2, parts - 1)
                    break
            else:
                if size == 1:
                    return
                parts = min(len(troubles), 2 * parts)

    def _smaller(self) -> Iterator[tuple[str, Rehearsal]]:
        """Scripts with less in them, one step at a time from the best so far."""
        replace = msgspec.structs.replace
        end = round(self.at_ms / 1000.0 + TAIL_S, 1)
        if end < self.best.seconds:
            yield f"{end:g} s", truncate_script(self.best, end)
        if len(self.best.fleet.zones) > 1 and not any(trouble.zone for trouble in self.best.faults):
            yield (
                "one zone",
                replace(self.best, fleet=replace(self.best.fleet, zones=self.best.fleet.zones[:1])),
            )
        for share in (0.5, 0.75):
            nodes = max(1, int(self.best.fleet.nodes * share))
            if -(-nodes // self.best.fleet.rack_size) >= len(self.best.fleet.zones):
                rate = self.best.traffic.requests_per_s * nodes / self.best.fleet.nodes
                traffic = replace(self.best.traffic, requests_per_s=rate)
                fleet = replace(self.best.fleet, nodes=nodes)
                yield f"{nodes} nodes", replace(self.best, fleet=fleet, traffic=traffic)
            proxies = max(len(self.best.fleet.zones), int(self.best.proxies.count * share))
            yield f"{proxies} proxies", replace(self.best, proxies=replace(self.best.proxies, count=proxies))
            rate = self.best.traffic.requests_per_s * share
            yield (
                f"{rate:.4g} a second",
                replace(self.best, traffic=replace(self.best.traffic, requests_per_s=rate)),
            )
        if self.best.traffic.points:
            yield "steady traffic", replace(self.best, traffic=replace(self.best.traffic, points=()))
        if self.best.tenants and not any(trouble.tenant for trouble in self.best.faults):
            yield "no tenants", replace(self.best, tenants=())
        if self.best.clients.retries:
            yield "no client retries", replace(self.best, clients=replace(self.best.clients, retries=0))
        if self.best.fleet.limited_racks:
            yield "no limited racks", replace(self.best, fleet=replace(self.best.fleet, limited_racks=0.0))
        if len(self.best.fleet.kinds) > 1 and not any(trouble.node_kind for trouble in self.best.faults):
            yield (
                "one kind",
                replace(self.best, fleet=replace(self.best.fleet, kinds=self.best.fleet.kinds[:1])),
            )
        for part, off in NODE_FEATURES.items():
            if any(getattr(kind, part) != off for kind in self.best.fleet.kinds):
                kinds: tuple[NodeKind, ...] = tuple(replace(k, **{part: off}) for k in self.best.fleet.kinds)
                yield f"without {part}", replace(self.best, fleet=replace(self.best.fleet, kinds=kinds))


def truncate_script(rehearsal: Rehearsal, end: float) -> Rehearsal:
    """The script up to `end`, s; troubles that would go on end with it."""
    replace = msgspec.structs.replace
    troubles: list[Fault] = []
    for trouble in rehearsal.faults:
        if trouble.at_s < end:
            left = round(end - trouble.at_s, 6)
            troubles.append(
                replace(trouble, for_s=min(trouble.for_s, left), within_s=min(trouble.within_s, left))
            )
    points = tuple(point for point in rehearsal.traffic.points if point.at_s <= end)
    traffic = replace(rehearsal.traffic, points=points)
    return replace(rehearsal, seconds=end, faults=tuple(troubles), traffic=traffic)


def shrink(
    rehearsal: Rehearsal, seed: int, policy: str = "", told: Callable[[str], None] = lambda words: None
) -> ShrunkScript:
    return Shrinker(rehearsal, seed, policy, told).run()
