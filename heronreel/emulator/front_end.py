"""The front end: spreads the requests of a zone over its proxies, and notices late that one has died."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Sequence
from itertools import accumulate

from heronreel.emulator.proxy import Proxy
from heronreel.emulator.random_streams import hashed_uniform

ROUTE_PURPOSE = 1  # of a hashed draw
MIDDLE_RANK = 0.5


class FrontEnd:
    """Chooses a proxy by the request and its attempt alone."""

    def __init__(self, proxies: Sequence[Proxy], skew: float, seed: int) -> None:
        """`skew`: busiest proxy of a zone over the mean, less 1."""
        self.seed = seed
        self.zones: dict[str, list[Proxy]] = {}
        for proxy in proxies:
            self.zones.setdefault(proxy.zone, []).append(proxy)
        self.weights: dict[str, float] = {}
        for group in self.zones.values():
            for index, proxy in enumerate(group):
                rank = index / (len(group) - 1) if len(group) > 1 else MIDDLE_RANK
                self.weights[proxy.name] = 1.0 + skew * (1.0 - 2.0 * rank)
        self.excluded: set[str] = set()
        self._candidates: dict[str, tuple[list[Proxy], list[float]]] = {}  # with cumulative weights

    def set_available(self, proxy: Proxy, available: bool) -> None:
        """Whether a proxy gets requests from now on."""
        if available:
            self.excluded.discard(proxy.name)
        else:
            self.excluded.add(proxy.name)
        self._candidates.clear()

    def choose(self, zone: str, client_request: int, attempt: int) -> Proxy | None:
        """The proxy for an attempt of a client's request; another zone's where this one has none."""
        if zone not in self._candidates:
            self._candidates[zone] = self._available(zone)
        group, cumulative = self._candidates[zone]
        if not group:
            return None
        drawn = hashed_uniform(self.seed, client_request, attempt, ROUTE_PURPOSE)
        return group[min(bisect_right(cumulative, drawn * cumulative[-1]), len(group) - 1)]

    def _available(self, zone: str) -> tuple[list[Proxy], list[float]]:
        group = [proxy for proxy in self.zones.get(zone, ()) if proxy.name not in self.excluded]
        if not group:
            everywhere = (proxy for others in self.zones.values() for proxy in others)
            group = [proxy for proxy in everywhere if proxy.name not in self.excluded]
        return group, list(accumulate(self.weights[proxy.name] for proxy in group))
