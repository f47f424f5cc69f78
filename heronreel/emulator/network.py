"""The network between machines: latency within and between zones, and partitions."""

from __future__ import annotations

from heronreel.emulator.model import NetworkConfig
from heronreel.emulator.random_streams import RandomStreams


class Network:
    """Latencies with jitter, and which zones are cut off from each other.  Times are ms."""

    __slots__ = ("config", "jitter_stream", "partitions")

    def __init__(self, config: NetworkConfig, streams: RandomStreams) -> None:
        self.config = config
        self.jitter_stream = streams.stream("network")
        # pairs of zones, or one zone alone: how many partitions are in force
        self.partitions: dict[frozenset[str], int] = {}

    def latency(self, zone: str, other: str) -> float:
        """One way, with jitter drawn for each call."""
        config = self.config
        mean = config.same_zone_ms if zone == other else config.cross_zone_ms
        return mean * (1.0 + config.jitter * (2.0 * self.jitter_stream.uniform() - 1.0))

    def mean_latency(self, zone: str, other: str) -> float:
        """One way, without jitter."""
        return self.config.same_zone_ms if zone == other else self.config.cross_zone_ms

    def client_latency(self) -> float:
        """One way between a client and a proxy."""
        return self.config.client_ms

    def cut(self, zone: str, other: str) -> None:
        """Begin a partition between two zones; several may overlap."""
        pair = frozenset((zone, other))
        self.partitions[pair] = self.partitions.get(pair, 0) + 1

    def heal(self, zone: str, other: str) -> None:
        """End one partition between two zones."""
        pair = frozenset((zone, other))
        self.partitions[pair] -= 1
        if not self.partitions[pair]:
            del self.partitions[pair]

    def reachable(self, zone: str, other: str) -> bool:
        """Whether anything gets from one zone to the other."""
        return not self.partitions or frozenset((zone, other)) not in self.partitions
