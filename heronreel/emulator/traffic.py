"""Generates the requests of clients: arrival time, class, tenant, zone, key and work.

All values are drawn from streams that do not depend on the policy.  Faults change the factors and weights.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from itertools import accumulate

import numpy as np

from heronreel.emulator.client_request import ClientRequest
from heronreel.emulator.model import Rehearsal
from heronreel.emulator.random_streams import RandomStream, work_sampler
from heronreel.emulator.scoring import Scoring

RATE_STEP_MS = 50.0  # the request rate is constant within a step of this length
SECOND_MS = 1000.0
USUAL_WORK = (0.0, 1.0)  # (share of heavy requests, factor on their work)


class Traffic:
    """Draws arrivals and requests.  Times are ms."""

    def __init__(self, rehearsal: Rehearsal, scoring: Scoring) -> None:
        self.config, self.scoring = rehearsal.traffic, scoring
        self.classes, self.tenants = rehearsal.classes, rehearsal.tenants
        self.zones = list(rehearsal.fleet.zones)
        self.class_sums = list(accumulate(request_class.share for request_class in self.classes))
        self.work_samplers = [
            work_sampler(request_class.distribution, request_class.work_ms, request_class.cv)
            for request_class in self.classes
        ]
        self.tenant_factors: dict[str, float] = {}  # set by faults
        self.zone_weights = _zone_weights(self.zones, self.config.zone_skew)
        self.tenant_sums: list[float] = []
        self.zone_sums: list[float] = []
        self.weights_changed()
        self.rate_factor = 1.0  # set by faults
        self.heavy_work: list[tuple[float, float]] = [USUAL_WORK]  # the last entry applies
        ranks = np.arange(1, max(1, rehearsal.keys.count) + 1, dtype=float) ** -rehearsal.keys.zipf
        self.key_sums: list[float] = np.cumsum(ranks / ranks.sum()).tolist()
        self.shape = [(point.at_s * SECOND_MS, point.factor) for point in self.config.points]
        self.ends_at = rehearsal.duration_ms
        self.requests = 0

    def rate(self, now: float) -> float:
        """Return the rate of requests per ms at `now`."""
        return self.config.requests_per_s / SECOND_MS * self._shape_factor(now) * self.rate_factor

    def _shape_factor(self, now: float) -> float:
        """Return the factor of the traffic shape at `now`, interpolated linearly between its points."""
        shape = self.shape
        if not shape:
            return 1.0
        index = bisect_right(shape, (now, math.inf))
        if index == 0:
            return shape[0][1]
        if index == len(shape):
            return shape[-1][1]
        (before, low), (after, high) = shape[index - 1], shape[index]
        return low + (high - low) * (now - before) / (after - before)

    def wait_for_arrival(self, now: float, stream: RandomStream) -> tuple[float, bool]:
        """Return the time of the next request and True, or the end of the rate step and False.

        The rate is constant within a step.  At its end the wait is drawn again, which keeps the distribution
        because arrivals are memoryless.
        """
        rate, step_end = self.rate(now), (math.floor(now / RATE_STEP_MS) + 1.0) * RATE_STEP_MS
        wait = stream.exponential(1.0 / rate) if rate > 0.0 else math.inf
        return (now + wait, True) if now + wait < step_end else (step_end, False)

    def draw_request(self, stream: RandomStream, now: float) -> ClientRequest:
        """Draw a new client request that is due at `now`."""
        self.requests += 1
        index = _weighted_index(self.class_sums, stream)
        request_class = self.classes[index]
        tenant = self.tenants[_weighted_index(self.tenant_sums, stream)].name if self.tenants else ""
        zone = self.zones[_weighted_index(self.zone_sums, stream)]
        key = bisect_right(self.key_sums, stream.uniform())
        work = self.work_samplers[index](stream)
        heavy_share, factor = self.heavy_work[-1]
        if stream.uniform() < heavy_share:
            work *= factor
        request = self.scoring.request_due(self.requests, now, index, tenant, request_class.weight, work)
        request.key, request.zone = key, zone
        return request

    def weights_changed(self) -> None:
        """Update the cumulative weights after a change of a tenant's factor or a zone's weight."""
        weights = [
            tenant.share * tenant.usage * self.tenant_factors.get(tenant.name, 1.0) for tenant in self.tenants
        ]
        self.tenant_sums = list(accumulate(weights))
        self.zone_sums = list(accumulate(self.zone_weights.values()))


def _zone_weights(zones: list[str], skew: float) -> dict[str, float]:
    """Return the zones' weights; skew raises the first zone and lowers the last."""
    weights = dict.fromkeys(zones, 1.0)
    if len(zones) > 1:
        weights[zones[-1]] = 1.0 - skew
        weights[zones[0]] = 1.0 + skew
    return weights


def _weighted_index(cumulative: list[float], stream: RandomStream) -> int:
    return min(bisect_right(cumulative, stream.uniform() * cumulative[-1]), len(cumulative) - 1)
