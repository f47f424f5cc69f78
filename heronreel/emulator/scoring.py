"""Service and prices, from what clients received.

The weight of a request is fixed by its first attempt: its class's weight, for each ms of work where the
script says so, and a small part of it beyond the tenant's quota.  It counts in full when a response arrives
within the latency objective from the moment the first attempt was due to be sent, whether or not the client
was able to send it then; so a stall of the system can't hide the requests it kept from being sent
(coordinated omission).
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
QUOTA_BURST_S = 2.0  # a tenant may save up its quota for this long
PERCENTILES = (50, 90, 95, 99, 99.9)
UNSERVED = (RequestResult.REFUSED, RequestResult.FAILED, RequestResult.LOST)


@dataclass(slots=True)
class SecondTotals:
    """What was due in one second, and what came of it."""

    requested_weight: float = 0.0
    served_weight: float = 0.0
    requests: int = 0
    results: dict[RequestResult, int] = field(default_factory=dict)


@dataclass(slots=True)
class TenantTotals:
    """Weight within a tenant's quota."""

    requested_weight: float = 0.0
    served_weight: float = 0.0


@dataclass(slots=True)
class Meter:
    """What is paid for over the whole fleet.  The field names are part of a result."""

    attempts: int = 0
    handshakes: int = 0
    crossings: int = 0
    list_calls: int = 0
    late_failures: int = 0
    wasted_ms: float = 0.0  # of work for responses that nobody received
    worked_ms: float = 0.0
    conn_ms: float = 0.0  # open connections over time
    node_ms: float = 0.0  # nodes over time


@dataclass(slots=True)
class QuotaBucket:
    """A tenant's token bucket: requests within its quota."""

    quota_per_s: float
    tokens: float
    updated_at: float = 0.0

    def take(self, now: float) -> bool:
        """Whether a request at `now` (ms) is within the quota."""
        earned = self.quota_per_s * (now - self.updated_at) / SECOND_MS
        tokens = min(QUOTA_BURST_S * self.quota_per_s, self.tokens + earned)
        within = tokens >= 1.0
        self.tokens, self.updated_at = tokens - within, now
        return within


class Scoring:
    """The books of one play.  Times are ms."""

    def __init__(self, weights: ScoreWeights, prices: Prices, quotas: dict[str, float], proxies: int) -> None:
        """`quotas`: requests a second by tenant; without any, all requests are within quota."""
        self.weights, self.prices, self.proxies = weights, prices, proxies
        self.buckets = {name: QuotaBucket(quota, QUOTA_BURST_S * quota) for name, quota in quotas.items()}
        self.seconds: list[SecondTotals] = []
        self.tenants = {name: TenantTotals() for name in quotas}
        self.latency = HdrHistogram(1, HOUR_US, SIGNIFICANT_DIGITS)  # whole microseconds
        self.meter = Meter()

    def second(self, at: float) -> SecondTotals:
        """The totals of the second in which `at` falls."""
        position = int(at // SECOND_MS)
        while len(self.seconds) <= position:
            self.seconds.append(SecondTotals())
        return self.seconds[position]

    def request_due(
        self, ident: int, at: float, class_index: int, tenant: str, weight: float, work: float
    ) -> ClientRequest:
        """Open the books of a client's request that is due to be sent at `at`."""
        bucket = self.buckets.get(tenant)
        within_quota = bucket is None or bucket.take(at)
        by_work = work if self.weights.by_work else 1.0
        value = weight * by_work * (1.0 if within_quota else self.weights.over_quota_weight)
        request = ClientRequest(ident, at, class_index, tenant, value, work, within_quota)
        second = self.second(at)
        second.requested_weight += value
        second.requests += 1
        if within_quota and tenant in self.tenants:
            self.tenants[tenant].requested_weight += value
        return request

    def request_finished(
        self,
        request: ClientRequest,
        result: RequestResult,
        now: float,
        objective_ms: float,
        late_weight: float,
    ) -> None:
        """Close the books of a request; `late` is found here from the time it took."""
        took = now - request.due_at
        if result is RequestResult.SERVED and took > objective_ms:
            result = RequestResult.LATE
        fraction = _served_fraction(result, late_weight)
        second = self.second(request.due_at)
        second.served_weight += fraction * request.weight
        second.results[result] = second.results.get(result, 0) + 1
        if request.within_quota and request.tenant in self.tenants:
            self.tenants[request.tenant].served_weight += fraction * request.weight
        if fraction:
            self.latency.record_value(max(1, int(took * US_PER_MS)))
        elif result in UNSERVED and took > objective_ms:
            self.meter.late_failures += 1
        request.result = result

    def service(self) -> dict[str, float]:
        """Whole run, worst window and worst tenant, and their weighted sum before prices."""
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
        """Points lost, by what they are for."""
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
        """Requests, all and by their result."""
        counts = {result.value: 0 for result in RequestResult}
        for second in self.seconds:
            for result, count in second.results.items():
                counts[result.value] += count
        return {"requests": sum(s.requests for s in self.seconds), **counts}

    def percentiles(self) -> dict[str, float]:
        """Latency of answered requests from when they were due, ms."""
        if not self.latency.get_total_count():
            return {}
        return {f"p{p:g}": self.latency.get_value_at_percentile(p) / US_PER_MS for p in PERCENTILES}


def _served_fraction(result: RequestResult, late_weight: float) -> float:
    """How much of its weight a request counts."""
    if result is RequestResult.SERVED:
        return 1.0
    return late_weight if result is RequestResult.LATE else 0.0
