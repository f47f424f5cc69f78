"""Checks that proxies do not overload cold backends.  It is independent of the program's code.

A cold backend is overloaded when it gets more than N + 2 * sqrt(N) + 2 requests of mean work within the
overload window of the settings, where N is the number that the settings allow a backend of its age.  The rule
is broken by an overload of which more than two thirds came from proxies that had been informed of the start.
"""

from collections import deque
from dataclasses import dataclass, field
from math import sqrt

# An overload of which informed proxies sent more than this share breaks the rule.
MAX_INFORMED_SHARE = 2.0 / 3.0


@dataclass(frozen=True)
class ColdStartRules:
    """The settings that the rule is computed from, and the capacity of a warm backend."""

    cold_from: float
    cold_ms: float
    overload_factor: float
    overload_window_ms: float
    warm_capacity: float  # the slots of a warm backend: its work per unit of time
    mean_work_ms: float

    def allowed(self, age_ms: float) -> float:
        """Return N, the requests of mean work that a backend of this age may get in `overload_window_ms`."""
        warmth = self.cold_from + (1.0 - self.cold_from) * min(1.0, age_ms / self.cold_ms)
        return (
            self.overload_factor * warmth * self.warm_capacity * self.overload_window_ms / self.mean_work_ms
        )

    def limit(self, age_ms: float) -> float:
        """Return the requests beyond which the backend is overloaded: N plus an allowance for chance."""
        allowed = self.allowed(age_ms)
        return allowed + 2.0 * sqrt(allowed) + 2.0


@dataclass(frozen=True)
class Send:
    """A request that reached a cold backend."""

    at: float
    proxy: int
    requests: float  # work, in requests of mean work
    informed: bool  # whether the proxy had been informed of the backend's start


@dataclass(frozen=True)
class Overload:
    """An overload of a cold backend."""

    backend: int
    at: float
    requests: float
    limit: float
    informed_share: float
    requests_by_proxy: dict[int, float]

    @property
    def breaks_rule(self) -> bool:
        """Whether more than two thirds of the work came from informed proxies."""
        return self.informed_share > MAX_INFORMED_SHARE


@dataclass
class ColdBackend:
    """A backend that warms up, and the requests that reached it within the window."""

    started_at: float
    window: deque[Send] = field(default_factory=deque)


class ColdStartJudge:
    """Sums up the requests that all proxies send to each cold backend."""

    def __init__(self, rules: ColdStartRules) -> None:
        self.rules = rules
        self.cold: dict[int, ColdBackend] = {}
        self.overloads: list[Overload] = []
        self.sends = 0  # requests to cold backends
        # Highest ratio of work to limit, of windows with more than two thirds from informed proxies.
        self.worst_informed_ratio = 0.0

    def started(self, at: float, backend: int) -> None:
        """Record that a backend's process has started cold."""
        self.cold[backend] = ColdBackend(at)

    def sent(self, now: float, backend: int, proxy: int, work_ms: float, informed: bool) -> None:
        """Record that a request reaches a backend, including one that the backend then rejects."""
        cold = self.cold.get(backend)
        if cold is None:
            return
        age_ms = now - cold.started_at
        if age_ms >= self.rules.cold_ms:
            del self.cold[backend]
            return
        self.sends += 1
        cold.window.append(Send(now, proxy, work_ms / self.rules.mean_work_ms, informed))
        while cold.window[0].at <= now - self.rules.overload_window_ms:
            cold.window.popleft()
        self._judge(now, backend, cold.window, self.rules.limit(age_ms))

    def _judge(self, now: float, backend: int, window: deque[Send], limit: float) -> None:
        total = sum(send.requests for send in window)
        informed_share = sum(send.requests for send in window if send.informed) / total
        if informed_share > MAX_INFORMED_SHARE:
            self.worst_informed_ratio = max(self.worst_informed_ratio, total / limit)
        if total > limit:
            by_proxy: dict[int, float] = {}
            for send in window:
                by_proxy[send.proxy] = by_proxy.get(send.proxy, 0.0) + send.requests
            self.overloads.append(Overload(backend, now, total, limit, informed_share, by_proxy))

    def breaches(self) -> list[Overload]:
        """Return the overloads that break the rule."""
        return [overload for overload in self.overloads if overload.breaks_rule]
