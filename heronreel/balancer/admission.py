"""Admission of requests: tenants' quotas, and load shedding by queueing delay.  Part of the decisions."""

import random

from heronreel.balancer import interface as api
from heronreel.balancer import rates, requests

MIN_CORRECTION = 0.2  # of the smoothing time that must have passed before the rates give a delay (ours)
IN_FLIGHT_STEP = 0.4  # smoothing of the attempts in flight, a period (ours)
MIN_RESIDENCE_STEP = 0.005  # how fast the least residence time creeps up to the present one, a period (ours)
DELAY_SHARE, OVER_QUOTA_SHARE = 0.8, 0.2  # of a request's spare time that the delay may take (ours)
QUOTA_BURST_MS = 2000.0  # of a tenant's quota saved up at most (ours)
QUOTA_SLACK = 1.3  # our part of the quotas over what it is found to be: sites are not loaded evenly (ours)
SHORTAGE_SHARE = 0.1  # of a period's arrivals that are rejected where the fleet is short (ours)
MIN_RETRY_AFTER = 0.25  # of the latency objective, so that a client's retry may be in time (ours)


class TenantQuotas:
    """Token buckets with this proxy's part of each tenant's quota."""

    def __init__(self, settings: api.Settings) -> None:
        self.buckets: dict[str, tuple[float, float]] = {}  # by tenant: requests saved up, and when
        self.demand: dict[str, rates.SmoothedRate] = {}  # by tenant with a quota, without clients' retries
        self.share = QUOTA_SLACK / settings.proxies  # of the quotas that is ours
        self.configure(settings)

    def configure(self, settings: api.Settings) -> None:
        """Take new settings."""
        self.proxies = settings.proxies
        self.quotas = {tenant.name: tenant.quota_per_s for tenant in settings.tenants if tenant.quota_per_s}

    def update(self, periods: float) -> None:
        """Find our share of the quotas: an even one, or more where all tenants together send more here."""
        for rate in self.demand.values():
            rate.roll(periods)
        per_s = {name: rate.mean / (rates.UPDATE_PERIOD_MS / 1000.0) for name, rate in self.demand.items()}
        # a busier site or restarting peers raise all tenants together; one beyond its quota rises alone
        least = min((per_s.get(name, 0.0) / quota for name, quota in self.quotas.items()), default=0.0)
        self.share = QUOTA_SLACK * max(1.0 / self.proxies, least)

    def take(self, now: float, arrival: api.Arrival) -> bool:
        """Whether a request is within its tenant's quota; a client's retry was counted as its first one."""
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
    """Load shedding: what can't be in time behind what is in flight, lowest priority first.  Times in ms."""

    def __init__(self, settings: api.Settings, draw: random.Random) -> None:
        self.random = draw
        self.completions, self.mean_in_flight = rates.SmoothedRate(), 0.0  # of attempts that may have run
        self.queueing_delay = self.retried_delay = 0.0  # the latter with the retries that it takes
        self.min_residence = 1e9  # of attempts on the fleet
        self.arrived = self.rejected = 0  # since the last update
        self.short_since = -1.0  # none: before 0
        self.configure(settings)

    def configure(self, settings: api.Settings) -> None:
        """Take new settings."""
        self.classes, self.max_retry_after_ms = settings.classes, settings.max_retry_after_ms
        self.max_weight = max(each.priority_weight for each in settings.classes)

    def update(self, period_began: float, periods: float, in_flight: int, sends: float) -> None:
        """Find whether the fleet is short, and the queueing delay by Little's law."""
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
            # where queues are short, rejections show the overload: one residence for each attempt it takes
            self.retried_delay = self.queueing_delay + residence * (sends / rate - 1.0)

    def admits(self, now: float, request: requests.Request) -> bool:
        """Whether a request could be in time behind what is in flight."""
        request_class = request.request_class
        done = now + requests.BASE_COST_MS + request.arrival.hint_ms
        spare = request.arrived_at + request_class.latency_objective_ms - done
        weight, late_weight = request_class.priority_weight, request_class.late_weight
        if request.within_quota and weight >= self.max_weight:  # the highest goes on, the rest yields to it
            return self.queueing_delay <= DELAY_SHARE * max(spare, late_weight * (request.deadline - done))
        # no class may wait longer than one of more weight could, or it would starve that one
        objectives = [c.latency_objective_ms for c in self.classes if c.priority_weight >= weight]
        limit = min(objectives, default=spare)  # none where a reload dropped the request's class
        rank = 0.5 + 0.5 * weight / (self.max_weight or 1.0)
        tolerance = max(min(spare, limit), late_weight * limit) * rank
        return self.retried_delay <= tolerance * (DELAY_SHARE if request.within_quota else OVER_QUOTA_SHARE)

    def retry_after(self, now: float, request_class: api.RequestClass) -> float:
        """Retry-After of a rejected request, ms: as long again as the shortage has lasted."""
        short = now - self.short_since if self.short_since >= 0.0 else 0.0
        spread = self.random.uniform(0.5, 1.5)  # or the rejected would come as one wave
        least = MIN_RETRY_AFTER * request_class.latency_objective_ms
        return min(max(short, least) * spread, self.max_retry_after_ms)
