"""The listed backends: ejection of failing ones, changes of the list, zones and the subset."""

import random
from dataclasses import dataclass, field

from heronreel.balancer import interface as api
from heronreel.balancer import rates
from heronreel.balancer.board import Board
from heronreel.balancer.maintenance import Maintenance
from heronreel.balancer.speed import BackendSpeed, LearnedSpeeds
from heronreel.balancer.subset import Subset

# The number of failures that count at most.
MAX_FAILURE_SCORE = 5.0
# The part of a failure that one served attempt makes up for.
SERVED_CREDIT = 0.5
# Outcomes that are a sign of a faulty backend only if several of them come together.
SPORADIC_OUTCOMES = (api.Outcome.ERROR, api.Outcome.RESET)
# Up to this failure score, sporadic outcomes do not eject a backend.
MAX_SPORADIC_SCORE = 1.0
# Outcomes that are no sign of a faulty backend.
NEUTRAL_OUTCOMES = (api.Outcome.REJECTED, api.Outcome.CANCELLED, api.Outcome.NOT_SENT)
# Tiers of backends: those of the subset in other zones and in the proxy's zone, and those outside the subset.
OTHER_ZONE_TIER = 0
OWN_ZONE_TIER = 1
FALLBACK_TIER = 2


@dataclass(slots=True, eq=False)
class Backend:
    """The state that this proxy keeps of one listed backend.  All times are in ms."""

    info: api.BackendInfo
    board: Board
    last_turn: float  # Of backends with equal weights, the lowest value comes first.
    credit_ms: float  # Slow start: the work that it may still be sent; 0 or less: none.
    subset_rank: int  # The rank of this proxy among all proxies for this backend.
    tier: int = FALLBACK_TIER
    cost_factor: float = 1.0  # Learned from it and its kind: the served time divided by the booked cost.
    speed: BackendSpeed = field(default_factory=BackendSpeed)
    weight: float = 0.0  # W_k, relative to the highest weight.
    load: float = 0.0  # L_k before compression, including the attempts since the last update.
    in_flight_cost: float = 0.0  # The cost of its attempts in flight, in mean booked costs.
    failure_score: float = 0.0  # Failures for which served attempts have not yet made up.
    ejected_until: float = 0.0
    last_served_at: float = -1e12

    def record(self, now: float, outcome: api.Outcome, rng: random.Random) -> None:
        """Record an outcome, and eject the backend after failures.

        The booked cost alone would leave a backend that fails fast its share of the requests.
        """
        if outcome is api.Outcome.SERVED:
            self.failure_score = max(0.0, self.failure_score - SERVED_CREDIT)
        elif outcome not in NEUTRAL_OUTCOMES:
            self.failure_score = min(MAX_FAILURE_SCORE, self.failure_score + 1.0)
            # Single failures of this kind happen at every backend, so one alone must not eject it.
            if outcome not in SPORADIC_OUTCOMES or self.failure_score > MAX_SPORADIC_SCORE:
                self.ejected_until = now + rates.UPDATE_PERIOD_MS * 2.0**self.failure_score * rng.uniform(
                    0.5, 1.0
                )

    def dedup_group(self, scope: api.DedupScope) -> object:
        """Return the identity of the deduplication group to which this backend belongs."""
        return {api.DedupScope.ZONE: self.info.zone, api.DedupScope.CELL: self.info.cell}.get(scope)


class Endpoints:
    """The backends to which attempts may be sent."""

    subset_type = Subset

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self.random = rng
        self.backends: dict[int, Backend] = {}  # In the order in which they were listed.
        self.booked: dict[int, None] = {}  # Backends with booked work, in order.
        self.maintenance, self.speeds = Maintenance(), LearnedSpeeds()
        self.configure(settings)

    def configure(self, settings: api.Settings) -> None:
        """Apply new settings."""
        self.settings, self.subset = settings, self.subset_type(settings.proxy_index, settings.proxies)
        for ident, backend in self.backends.items():
            backend.subset_rank = self.subset.rank(ident)
        self._regroup()

    def is_near(self, info: api.BackendInfo) -> bool:
        """Return whether a backend is in the proxy's zone, or crossing zones is free."""
        return info.zone == self.settings.zone or not self.settings.price_cross_zone

    def update(self, now: float, update: api.BackendList, mean_cost_ms: float) -> None:
        """Apply a backend list."""
        up = [info for info in update.backends if info.state is api.BackendState.UP]
        listed = {info.backend for info in up}
        removed = [info.backend for info in update.backends if info.state is not api.BackendState.UP]
        if update.kind is not api.ListKind.CHANGES:
            removed += [ident for ident in self.backends if ident not in listed]
            removed += self.maintenance.missing(listed)
        # A draining or removed backend gets no attempts from now on (rule 3).
        for ident in removed:
            self.backends.pop(ident, None)
            self.booked.pop(ident, None)
            self.maintenance.forget(ident)
        effective_infos = [entry for info in up if (entry := self.maintenance.effective(info)) is not None]
        self.random.shuffle(effective_infos)  # Many proxies must not start with the same backend.
        for info in effective_infos:
            self._add(now, info, mean_cost_ms)
        self._regroup()

    def begin_maintenance(self, event: api.BeginMaintenance) -> None:
        """Take a backend out of service."""
        old = self.backends.pop(event.backend, None)
        self.booked.pop(event.backend, None)
        self.maintenance.begin(event.since_ms, event.backend, old.info if old else None)
        self._regroup()

    def end_maintenance(self, now: float, event: api.EndMaintenance, mean_cost_ms: float) -> bool:
        """Return a backend to service; return whether it is still on the list."""
        info = self.maintenance.end(event.began_ms, event.at_ms, event.backend)
        if info is not None:
            self._add(now, info, mean_cost_ms)
            self._regroup()
        return info is not None

    def _add(self, now: float, info: api.BackendInfo, mean_cost_ms: float) -> None:
        """Add a listed backend, or update its entry."""
        old = self.backends.get(info.backend)
        if old and old.info.started_ms == info.started_ms:
            old.info = info
            return
        self.booked.pop(info.backend, None)
        # The first attempts of many proxies to a cold backend must not coincide (rule 4).
        credit_ms = -self.random.random() * (mean_cost_ms or rates.UPDATE_PERIOD_MS)
        turn = self.random.random() - 1.0
        backend = Backend(info, Board(now), turn, credit_ms, self.subset.rank(info.backend))
        backend.cost_factor = self.speeds.factor(info.kind, backend.speed)
        self.backends[info.backend] = backend

    def _regroup(self) -> None:
        zones = [(backend, self.is_near(backend.info)) for backend in self.backends.values()]
        self.near_count = sum(near for _, near in zones)  # Backends in the proxy's zone.
        counts = (len(zones) - self.near_count, self.near_count)  # By tier: OTHER_ZONE_TIER, OWN_ZONE_TIER.
        self.proxies_per_backend = [self.subset.proxies_per_backend(count) for count in counts]
        for backend, near in zones:
            backend.tier = near if backend.subset_rank < self.proxies_per_backend[near] else FALLBACK_TIER
        self.speeds.keep({backend.info.kind for backend in self.backends.values()})
