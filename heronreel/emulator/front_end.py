"""Models the front end, which distributes the requests of a zone over its proxies.

It detects the end of a proxy only after a delay, which `ProxySupervisor` models.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Sequence
from itertools import accumulate

from heronreel.emulator.proxy import Proxy
from heronreel.emulator.random_streams import hashed_uniform

ROUTE_PURPOSE = 1  # separates this use of `hashed_uniform` from others
MIDDLE_RANK = 0.5


class FrontEnd:
    """Chooses a proxy from the number of a request and of its attempt only."""

    def __init__(self, proxies: Sequence[Proxy], skew: float, seed: int) -> None:
        """Set the weights of the proxies.

        `skew` is the load of the busiest proxy of a zone over the mean load, minus 1.
        """
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
        self._candidates: dict[str, tuple[list[Proxy], list[float]]] = {}  # by zone, with cumulative weights

    def set_available(self, proxy: Proxy, available: bool) -> None:
        """Set whether a proxy receives requests from now on."""
        if available:
            self.excluded.discard(proxy.name)
        else:
            self.excluded.add(proxy.name)
        self._candidates.clear()

    def choose(self, zone: str, client_request: int, attempt: int) -> Proxy | None:
        """Return the proxy for an attempt of a client's request, or None if no proxy is available.

        If the zone has no available proxy, one of another zone is chosen.
        """
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
