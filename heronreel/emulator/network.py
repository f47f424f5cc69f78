"""Models the network between machines: latency within and between zones, and partitions."""

from __future__ import annotations

from heronreel.emulator.model import NetworkConfig
from heronreel.emulator.random_streams import RandomStreams


class Network:
    """Latencies with jitter, and the partitions between zones.  Times are ms."""

    __slots__ = ("config", "jitter_stream", "partitions")

    def __init__(self, config: NetworkConfig, streams: RandomStreams) -> None:
        self.config = config
        self.jitter_stream = streams.stream("network")
        # number of active partitions by pair of zones; a single zone is a partition within that zone
        self.partitions: dict[frozenset[str], int] = {}

    def latency(self, zone: str, other: str) -> float:
        """Return a one-way latency, with new jitter drawn on each call."""
        config = self.config
        mean = config.same_zone_ms if zone == other else config.cross_zone_ms
        return mean * (1.0 + config.jitter * (2.0 * self.jitter_stream.uniform() - 1.0))

    def mean_latency(self, zone: str, other: str) -> float:
        """Return the one-way latency without jitter."""
        return self.config.same_zone_ms if zone == other else self.config.cross_zone_ms

    def client_latency(self) -> float:
        """Return the one-way latency between a client and a proxy."""
        return self.config.client_ms

    def cut(self, zone: str, other: str) -> None:
        """Start a partition between two zones.  Several may overlap."""
        pair = frozenset((zone, other))
        self.partitions[pair] = self.partitions.get(pair, 0) + 1

    def heal(self, zone: str, other: str) -> None:
        """End one partition between two zones."""
        pair = frozenset((zone, other))
        self.partitions[pair] -= 1
        if not self.partitions[pair]:
            del self.partitions[pair]

    def reachable(self, zone: str, other: str) -> bool:
        """Return whether messages from one zone reach the other."""
        return not self.partitions or frozenset((zone, other)) not in self.partitions
