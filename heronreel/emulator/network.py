"""The network between machines: latency within and between zones, cuts, and who can hear whom."""

from __future__ import annotations

from heronreel.emulator.draws import Draws
from heronreel.emulator.model import Network


class Wires:
    __slots__ = ("cuts", "draw", "network")

    def __init__(self, network: Network, draws: Draws) -> None:
        self.network = network
        self.draw = draws.stream("network")
        self.cuts: dict[
            frozenset[str], int
        ] = {}  # pairs of zones, or one zone alone: how many cuts lie there

    def between(self, zone: str, other: str) -> float:
        """One way, ms."""
        network = self.network
        mean = network.same_ms if zone == other else network.cross_ms
        return mean * (1.0 + network.jitter * (2.0 * self.draw.uniform() - 1.0))

    def client(self) -> float:
        return self.network.client_ms

    def cut(self, zone: str, other: str) -> None:
        pair = frozenset((zone, other))
        self.cuts[pair] = self.cuts.get(pair, 0) + 1

    def mend(self, zone: str, other: str) -> None:
        pair = frozenset((zone, other))
        self.cuts[pair] -= 1
        if not self.cuts[pair]:
            del self.cuts[pair]

    def heard(self, zone: str, other: str) -> bool:
        return not self.cuts or frozenset((zone, other)) not in self.cuts
