"""Admission control: tenants' quotas, and load shedding by queueing delay."""

import random

from heronreel.balancer import interface as api
from heronreel.balancer import rates, requests

# The share of the smoothing time that must have passed before the rates give a queueing delay.
MIN_CORRECTION = 0.2
# The smoothing step, per period, of the number of attempts in flight.
IN_FLIGHT_STEP = 0.4
# The step, per period, by which the minimum residence time rises towards the present one.
MIN_RESIDENCE_STEP = 0.005
# The share of a request's slack that the queueing delay may take, within and beyond the tenant's quota.
DELAY_SHARE = 0.8
OVER_QUOTA_SHARE = 0.2
# A tenant can save up its quota of this time at most.
QUOTA_BURST_MS = 2000.0
# This proxy allows this multiple of its share of the quotas, because sites are not loaded evenly.
QUOTA_SLACK_RATIO = 1.3
# The fleet is short of capacity if more than this share of a period's arrivals is rejected.
SHORTAGE_SHARE = 0.1
# The shortest Retry-After as a share of the latency objective, so that a client's retry may meet it.
MIN_RETRY_AFTER_SHARE = 0.25


class TenantQuotas:
    """Token buckets that hold this proxy's share of each tenant's quota."""

    def __init__(self, settings: api.Settings) -> None:
        # By tenant: the number of saved tokens, and the time of that number.
        self.buckets: dict[str, tuple[float, float]] = {}
        # By tenant with a quota: the rate of its requests, without the clients' retries.
        self.demand: dict[str, rates.SmoothedRate] = {}
        self.share = QUOTA_SLACK_RATIO / settings.proxies  # This proxy's share of the quotas.
        self.configure(settings)

    def configure(self, settings: api.Settings) -> None:
        """Apply new settings."""
        self.proxies = settings.proxies
        self.quotas = {tenant.name: tenant.quota_per_s for tenant in settings.tenants if tenant.quota_per_s}

    def update(self, periods: float) -> None:
        """Update this proxy's share of the quotas.

        It is an even share, or more if all tenants together send more to this proxy.
        """
        for rate in self.demand.values():
            rate.roll(periods)
        per_s = {name: rate.mean / (rates.UPDATE_PERIOD_MS / 1000.0) for name, rate in self.demand.items()}
        # A busier site or restarting peers raise the demand of all tenants, while a tenant that exceeds its
        # quota raises only its own.
        min_share = min((per_s.get(name, 0.0) / quota for name, quota in self.quotas.items()), default=0.0)
        self.share = QUOTA_SLACK_RATIO * max(1.0 / self.proxies, min_share)

    def take(self, now: float, arrival: api.Arrival) -> bool:
        """Return whether a request is within its tenant's quota, and count it.

        A client's retry is not counted, because its first request was.
        """
        if arrival.tenant not in self.quotas:
            return True
        quota = self.quotas[arrival.tenant] * self.share
        burst = max(1.0, quota * QUOTA_BURST_MS / 1000.0)
        saved, since = self.buckets.get(arrival.tenant, (burst, now))
        saved = min(burst, saved + quota * (now - since) / 1000.0)
        if arrival.is_retry:
            self.buckets[arrival.tenant] = (saved, now)
        else:
            self.demand.setdefault(arrival.tenant, rates.SmoothedRate()).current += 1.0
            self.buckets[arrival.tenant] = (saved - (saved >= 1.0), now)
        return saved >= 1.0


class Admission:
    """Load shedding: rejects requests that cannot meet their objective behind the attempts in flight.

    Requests of low priority are rejected first.  All times are in ms.
    """

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self.random = rng
        # Only attempts that may have run count as completions.
        self.completions, self.mean_in_flight = rates.SmoothedRate(), 0.0
        # `retried_delay` also contains the delay of the retries that a request needs.
        self.queueing_delay = self.retried_delay = 0.0
        self.min_residence = 1e9  # The minimum residence time of attempts in the fleet.
        self.arrived = self.rejected = 0  # Requests since the last update.
        self.short_since = -1.0  # When the shortage began; negative: there is none.
        self.configure(settings)

    def configure(self, settings: api.Settings) -> None:
        """Apply new settings."""
        self.classes, self.max_retry_after_ms = settings.classes, settings.max_retry_after_ms
        self.max_weight = max(request_class.priority_weight for request_class in settings.classes)

    def update(self, period_began: float, periods: float, in_flight: int, sends: float) -> None:
        """Detect a shortage of capacity, and estimate the queueing delay by Little's law."""
        if self.rejected <= SHORTAGE_SHARE * self.arrived:
            self.short_since = -1.0
        elif self.short_since < 0.0:
            self.short_since = period_began
        self.arrived = self.rejected = 0
        self.completions.roll(periods)
        self.mean_in_flight += (in_flight - self.mean_in_flight) * IN_FLIGHT_STEP
        rate, step = self.completions.mean, MIN_RESIDENCE_STEP
        if self.completions.correction >= MIN_CORRECTION and rate:
            residence = self.mean_in_flight * rates.UPDATE_PERIOD_MS / rate
            self.min_residence = min(self.min_residence, residence) * (1.0 - step) + residence * step
            self.queueing_delay = residence - self.min_residence
            # Where queues are short, rejections show the overload: each retry adds one residence time.
            self.retried_delay = self.queueing_delay + residence * (sends / rate - 1.0)

    def admits(self, now: float, request: requests.Request) -> bool:
        """Return whether a request could meet its latency objective behind the attempts in flight."""
        request_class = request.request_class
        done_at = now + requests.BASE_COST_MS + request.arrival.hint_ms
        slack = request.arrived_at + request_class.latency_objective_ms - done_at
        weight, late_weight = request_class.priority_weight, request_class.late_weight
        # The highest priority is judged by its own delay only; all others yield to it.
        if request.within_quota and weight >= self.max_weight:
            return self.queueing_delay <= DELAY_SHARE * max(slack, late_weight * (request.deadline - done_at))
        # No class may wait longer than one of a higher weight could, or it would starve that class.
        objectives = [c.latency_objective_ms for c in self.classes if c.priority_weight >= weight]
        # There is no objective if a reload removed the request's class.
        limit = min(objectives, default=slack)
        priority_factor = 0.5 + 0.5 * weight / (self.max_weight or 1.0)
        tolerated_delay = max(min(slack, limit), late_weight * limit) * priority_factor
        return self.retried_delay <= tolerated_delay * (
            DELAY_SHARE if request.within_quota else OVER_QUOTA_SHARE
        )

    def retry_after(self, now: float, request_class: api.RequestClass) -> float:
        """Return the Retry-After of a rejected request, ms: the time for which the shortage has lasted."""
        short_for = now - self.short_since if self.short_since >= 0.0 else 0.0
        spread = self.random.uniform(0.5, 1.5)  # Without a spread, the retries would come as one wave.
        min_delay = MIN_RETRY_AFTER_SHARE * request_class.latency_objective_ms
        return min(max(short_for, min_delay) * spread, self.max_retry_after_ms)
