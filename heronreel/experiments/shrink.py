"""Reduces a failing script to the smallest one found that still breaks the same rule.

The faults are reduced first, by delta debugging (Zeller and Hildebrandt, 2002): halves and then successively
smaller parts are removed as long as the rule still breaks.  Then the time after the breach, the nodes, the
proxies, the traffic, the tenants and the features of the nodes are reduced.  Every step is verified by a play
with the same seed, so the breach of the resulting script is reproducible.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

import msgspec

from heronreel.emulator.model import NodeKind, Rehearsal
from heronreel.emulator.simulation import play
from heronreel.experiments.errors import NoBreachError

MAX_PLAYS = 300
# Time that is kept after the breach.
TAIL_S = 1.0
# Shares to which the numbers of nodes and proxies and the request rate are reduced in one step.
SHRINK_SHARES = (0.5, 0.75)
# Maps each optional feature of a node kind to the value that disables it.
NODE_FEATURES = {
    "thrash": 0.0,
    "full_tax": 0.0,
    "handshake_ms": 0.0,
    "warm_gain": 0.0,
    "error_rate": 0.0,
    "pause_ms": 0.0,
    "speed_cv": 0.0,
    "connections": 0,
}

Candidate = tuple[str, Rehearsal]
"""A smaller script, with a description of what was removed or what remains."""


@dataclass(frozen=True, slots=True)
class ShrunkScript:
    """The smallest failing script found, with the rule that it breaks."""

    rehearsal: Rehearsal
    rule: str
    at_ms: float  # time of the first breach
    plays: int


class Shrinker:
    """Reduces one script by delta debugging, with one seed and policy."""

    def __init__(
        self, rehearsal: Rehearsal, seed: int, policy: str, on_progress: Callable[[str], None]
    ) -> None:
        """Play the script once to determine which rule it breaks first.

        Raises:
            NoBreachError: The script breaks no rule.
        """
        self._seed = seed
        self._policy = policy
        self._on_progress = on_progress
        self._plays = 0
        self._best = rehearsal
        breaches = self._first_breaches(rehearsal)
        if not breaches:
            raise NoBreachError(f"seed {seed} breaks no rule with {policy or rehearsal.proxies.policy}")
        self._rule = min(breaches, key=lambda rule: breaches[rule])
        self._at_ms = breaches[self._rule]

    def run(self) -> ShrunkScript:
        """Reduce the script until no step makes it smaller or `MAX_PLAYS` is reached."""
        self._shrink_faults()
        plays_before = -1
        while plays_before != self._plays and self._plays < MAX_PLAYS:
            plays_before = self._plays
            best_before = self._best
            for description, candidate in self._candidates():
                if candidate != self._best and self._accept(candidate):
                    self._on_progress(description)
            if self._best == best_before:
                break
        self._shrink_faults()
        return ShrunkScript(self._best, self._rule, self._at_ms, self._plays)

    def _first_breaches(self, rehearsal: Rehearsal) -> dict[str, float]:
        """Play the script and return the time in milliseconds of the first breach of each broken rule."""
        self._plays += 1
        first_ms: dict[str, float] = {}
        for breach in play(rehearsal, self._seed, self._policy).breaches:
            first_ms.setdefault(breach["rule"], breach["at_ms"])
        return first_ms

    def _accept(self, candidate: Rehearsal) -> bool:
        """Play the candidate and keep it as the best script if it still breaks the rule."""
        if self._plays >= MAX_PLAYS:
            return False
        breaches = self._first_breaches(candidate)
        if self._rule not in breaches:
            return False
        self._best = candidate
        self._at_ms = breaches[self._rule]
        return True

    def _shrink_faults(self) -> None:
        parts = 2
        while self._best.faults and self._plays < MAX_PLAYS:
            count = len(self._best.faults)
            size = max(1, -(-count // parts))
            if self._drop_part_of_faults(size):
                parts = max(2, parts - 1)
            elif size == 1:
                return
            else:
                parts = min(count, 2 * parts)

    def _drop_part_of_faults(self, size: int) -> bool:
        """Leave out the first part of `size` faults that the breach does not need; whether there was one."""
        faults = self._best.faults
        for start in range(0, len(faults), size):
            remaining = faults[:start] + faults[start + size :]
            if self._accept(msgspec.structs.replace(self._best, faults=remaining)):
                self._on_progress(f"{len(remaining)} troubles")
                return True
        return False

    def _candidates(self) -> Iterator[Candidate]:
        """Generate smaller scripts, each derived from the best script at the time that it is requested."""
        yield from self._truncated()
        yield from self._fewer_zones()
        for share in SHRINK_SHARES:
            yield from self._scaled_down(share)
        yield from self._simplified_traffic()
        yield from self._simplified_nodes()

    def _truncated(self) -> Iterator[Candidate]:
        end_s = round(self._at_ms / 1000.0 + TAIL_S, 1)
        if end_s < self._best.seconds:
            yield f"{end_s:g} s", truncate_script(self._best, end_s)

    def _fewer_zones(self) -> Iterator[Candidate]:
        if len(self._best.fleet.zones) > 1 and not any(fault.zone for fault in self._best.faults):
            fleet = msgspec.structs.replace(self._best.fleet, zones=self._best.fleet.zones[:1])
            yield "one zone", msgspec.structs.replace(self._best, fleet=fleet)

    def _scaled_down(self, share: float) -> Iterator[Candidate]:
        replace = msgspec.structs.replace
        fleet = self._best.fleet
        nodes = max(1, int(fleet.nodes * share))
        if -(-nodes // fleet.rack_size) >= len(fleet.zones):
            rate = self._best.traffic.requests_per_s * nodes / fleet.nodes
            traffic = replace(self._best.traffic, requests_per_s=rate)
            yield f"{nodes} nodes", replace(self._best, fleet=replace(fleet, nodes=nodes), traffic=traffic)
        proxies = max(len(self._best.fleet.zones), int(self._best.proxies.count * share))
        yield f"{proxies} proxies", replace(self._best, proxies=replace(self._best.proxies, count=proxies))
        rate = self._best.traffic.requests_per_s * share
        traffic = replace(self._best.traffic, requests_per_s=rate)
        yield f"{rate:.4g} a second", replace(self._best, traffic=traffic)

    def _simplified_traffic(self) -> Iterator[Candidate]:
        replace = msgspec.structs.replace
        if self._best.traffic.points:
            yield "steady traffic", replace(self._best, traffic=replace(self._best.traffic, points=()))
        if self._best.tenants and not any(fault.tenant for fault in self._best.faults):
            yield "no tenants", replace(self._best, tenants=())
        if self._best.clients.retries:
            yield "no client retries", replace(self._best, clients=replace(self._best.clients, retries=0))

    def _simplified_nodes(self) -> Iterator[Candidate]:
        replace = msgspec.structs.replace
        if self._best.fleet.limited_racks:
            fleet = replace(self._best.fleet, limited_racks=0.0)
            yield "no limited racks", replace(self._best, fleet=fleet)
        if len(self._best.fleet.kinds) > 1 and not any(fault.node_kind for fault in self._best.faults):
            fleet = replace(self._best.fleet, kinds=self._best.fleet.kinds[:1])
            yield "one kind", replace(self._best, fleet=fleet)
        for feature, off in NODE_FEATURES.items():
            if any(getattr(kind, feature) != off for kind in self._best.fleet.kinds):
                kinds: tuple[NodeKind, ...] = tuple(
                    replace(kind, **{feature: off}) for kind in self._best.fleet.kinds
                )
                fleet = replace(self._best.fleet, kinds=kinds)
                yield f"without {feature}", replace(self._best, fleet=fleet)


def truncate_script(rehearsal: Rehearsal, end_s: float) -> Rehearsal:
    """Return the script cut off at `end_s`; faults that would last longer end there."""
    replace = msgspec.structs.replace
    faults = []
    for fault in rehearsal.faults:
        if fault.at_s < end_s:
            left_s = round(end_s - fault.at_s, 6)
            faults.append(
                replace(fault, for_s=min(fault.for_s, left_s), within_s=min(fault.within_s, left_s))
            )
    points = tuple(point for point in rehearsal.traffic.points if point.at_s <= end_s)
    traffic = replace(rehearsal.traffic, points=points)
    return replace(rehearsal, seconds=end_s, faults=tuple(faults), traffic=traffic)


def shrink(
    rehearsal: Rehearsal,
    seed: int,
    policy: str = "",
    on_progress: Callable[[str], None] = lambda description: None,
) -> ShrunkScript:
    """Return the smallest script found that breaks the rule that `rehearsal` breaks first with this seed.

    `on_progress` is called with a description of each accepted step.

    Raises:
        NoBreachError: The script breaks no rule.
    """
    return Shrinker(rehearsal, seed, policy, on_progress).run()
