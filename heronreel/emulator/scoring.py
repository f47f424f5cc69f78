"""Scores a rehearsal: the share of requested weight that was served, and the cost of serving it.

The weight of a request is fixed at its first attempt.  It is the weight of the request's class, multiplied by
the work in ms if the script says so (`by_work`), and reduced to a small part if the tenant is over its quota.
A request earns its full weight if a response arrives within the latency objective.  Latency is measured from
the time at which the first attempt was due to be sent, even if the client could not send it then.  A stall of
the system therefore cannot hide the requests that it delayed (coordinated omission).
"""

from __future__ import annotations

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from heronreel.emulator.client_request import ClientRequest, RequestResult
from heronreel.emulator.model import Prices, ScoreWeights

SECOND_MS = 1000.0
HOUR_US = 3_600_000_000
US_PER_MS = 1000.0
SIGNIFICANT_DIGITS = 3
QUOTA_BURST_S = 2.0  # size of a quota bucket, in seconds of the tenant's quota
PERCENTILES = (50, 90, 95, 99, 99.9)
UNSERVED = (RequestResult.REFUSED, RequestResult.FAILED, RequestResult.LOST)


@dataclass(slots=True)
class SecondTotals:
    """Requests that were due in one second, and their results."""

    requested_weight: float = 0.0
    served_weight: float = 0.0
    requests: int = 0
    results: dict[RequestResult, int] = field(default_factory=dict)


@dataclass(slots=True)
class TenantTotals:
    """Weight of a tenant's requests within its quota."""

    requested_weight: float = 0.0
    served_weight: float = 0.0


@dataclass(slots=True)
class Meter:
    """Resources used by the whole fleet, for which the score charges.  Field names are part of a result."""

    attempts: int = 0
    handshakes: int = 0
    crossings: int = 0
    list_calls: int = 0
    late_failures: int = 0
    wasted_ms: float = 0.0  # work done for responses that no client received
    worked_ms: float = 0.0
    conn_ms: float = 0.0  # integral of open connections over time
    node_ms: float = 0.0  # integral of the number of nodes over time


@dataclass(slots=True)
class QuotaBucket:
    """A token bucket that limits how many of a tenant's requests count as within its quota."""

    quota_per_s: float
    tokens: float
    updated_at: float = 0.0

    def take(self, now: float) -> bool:
        """Return whether a request at `now` (ms) is within the quota, and take a token if it is."""
        refilled = self.quota_per_s * (now - self.updated_at) / SECOND_MS
        tokens = min(QUOTA_BURST_S * self.quota_per_s, self.tokens + refilled)
        within_quota = tokens >= 1.0
        self.tokens, self.updated_at = tokens - within_quota, now
        return within_quota


class Scoring:
    """Collects the weights, results and costs of one rehearsal.  Times are ms."""

    def __init__(self, weights: ScoreWeights, prices: Prices, quotas: dict[str, float], proxies: int) -> None:
        """Start with empty totals.  A tenant that is not in `quotas` (requests per second) has no limit."""
        self.weights, self.prices, self.proxies = weights, prices, proxies
        self.buckets = {name: QuotaBucket(quota, QUOTA_BURST_S * quota) for name, quota in quotas.items()}
        self.seconds: list[SecondTotals] = []
        self.tenants = {name: TenantTotals() for name in quotas}
        self.latency = HdrHistogram(1, HOUR_US, SIGNIFICANT_DIGITS)  # in whole microseconds
        self.meter = Meter()

    def second(self, at: float) -> SecondTotals:
        """Return the totals of the second that contains `at`."""
        position = int(at // SECOND_MS)
        while len(self.seconds) <= position:
            self.seconds.append(SecondTotals())
        return self.seconds[position]

    def request_due(
        self, ident: int, at: float, class_index: int, tenant: str, weight: float, work: float
    ) -> ClientRequest:
        """Record a client's request that is due to be sent at `at`."""
        bucket = self.buckets.get(tenant)
        within_quota = bucket is None or bucket.take(at)
        work_factor = work if self.weights.by_work else 1.0
        request_weight = weight * work_factor * (1.0 if within_quota else self.weights.over_quota_weight)
        request = ClientRequest(ident, at, class_index, tenant, request_weight, work, within_quota)
        second = self.second(at)
        second.requested_weight += request_weight
        second.requests += 1
        if within_quota and tenant in self.tenants:
            self.tenants[tenant].requested_weight += request_weight
        return request

    def request_finished(
        self,
        request: ClientRequest,
        result: RequestResult,
        now: float,
        objective_ms: float,
        late_weight: float,
    ) -> None:
        """Record the result of a request.  A request served after the latency objective counts as late."""
        latency_ms = now - request.due_at
        if result is RequestResult.SERVED and latency_ms > objective_ms:
            result = RequestResult.LATE
        fraction = _served_fraction(result, late_weight)
        second = self.second(request.due_at)
        second.served_weight += fraction * request.weight
        second.results[result] = second.results.get(result, 0) + 1
        if request.within_quota and request.tenant in self.tenants:
            self.tenants[request.tenant].served_weight += fraction * request.weight
        if fraction:
            self.latency.record_value(max(1, int(latency_ms * US_PER_MS)))
        elif result in UNSERVED and latency_ms > objective_ms:
            self.meter.late_failures += 1
        request.result = result

    def service(self) -> dict[str, float]:
        """Return the served share of the whole run, of the worst window and of the worst tenant.

        `service` is their weighted mean, before costs are subtracted.
        """
        requested = sum(s.requested_weight for s in self.seconds)
        served = sum(s.served_weight for s in self.seconds)
        whole = served / requested if requested else 1.0
        worst_window = self._worst_window(whole)
        worst_tenant = min(
            (t.served_weight / t.requested_weight for t in self.tenants.values() if t.requested_weight),
            default=whole,
        )
        weights = self.weights
        total = weights.whole + weights.worst_window + weights.worst_tenant or 1.0
        weighted = (
            weights.whole * whole + weights.worst_window * worst_window + weights.worst_tenant * worst_tenant
        )
        return {
            "whole": whole,
            "worst_window": worst_window,
            "worst_tenant": worst_tenant,
            "service": weighted / total,
        }

    def _worst_window(self, default: float) -> float:
        size = max(1, round(self.weights.window_s))
        fractions = []
        for start in range(max(1, len(self.seconds) - size + 1)):
            window = self.seconds[start : start + size]
            requested = sum(s.requested_weight for s in window)
            if requested > 0.0:
                fractions.append(sum(s.served_weight for s in window) / requested)
        return min(fractions, default=default)

    def costs(self) -> dict[str, float]:
        """Return the points subtracted from the score, by kind of cost."""
        meter, prices = self.meter, self.prices
        requests = max(1, sum(s.requests for s in self.seconds))
        seconds = max(1, len(self.seconds))
        worked = max(1e-9, meter.worked_ms)
        return {
            "handshake": prices.handshake * meter.handshakes / requests,
            "connection": prices.connection * meter.conn_ms / max(1.0, meter.node_ms) / 100.0,
            "cross_zone": prices.cross_zone * meter.crossings / requests,
            "late_failure": prices.late_failure * meter.late_failures / requests,
            "waste": prices.waste * meter.wasted_ms / worked,
            "list_calls": prices.list_calls * meter.list_calls / (seconds * self.proxies),
        }

    def counts(self) -> dict[str, int]:
        """Return the number of requests, in total and by result."""
        counts = {result.value: 0 for result in RequestResult}
        for second in self.seconds:
            for result, count in second.results.items():
                counts[result.value] += count
        return {"requests": sum(s.requests for s in self.seconds), **counts}

    def percentiles(self) -> dict[str, float]:
        """Return latency percentiles in ms of answered requests, measured from when they were due."""
        if not self.latency.get_total_count():
            return {}
        return {f"p{p:g}": self.latency.get_value_at_percentile(p) / US_PER_MS for p in PERCENTILES}


def _served_fraction(result: RequestResult, late_weight: float) -> float:
    """Return the share of a request's weight that its result earns."""
    if result is RequestResult.SERVED:
        return 1.0
    return late_weight if result is RequestResult.LATE else 0.0
