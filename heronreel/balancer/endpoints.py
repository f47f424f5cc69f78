"""The listed backends: outliers, changes of the list, zones and subset.  Part of the decisions."""

import random
from dataclasses import dataclass, field

from heronreel.balancer import interface as api
from heronreel.balancer import rates
from heronreel.balancer.board import Board
from heronreel.balancer.maintenance import Maintenance
from heronreel.balancer.speed import BackendSpeed, LearnedSpeeds
from heronreel.balancer.subset import Subset

MAX_FAILURE_SCORE, SERVED_CREDIT = 5.0, 0.5  # failures that count at most; taken off by one served (ours)
SPORADIC = (api.Outcome.ERROR, api.Outcome.RESET)  # no sign of a faulty backend unless together (ours)
MAX_SPORADIC_SCORE = 1.0  # failure score by these up to which a backend is not ejected (ours)
NEUTRAL = (api.Outcome.REJECTED, api.Outcome.CANCELLED, api.Outcome.NOT_SENT)  # no sign of a fault
OTHER_ZONE_TIER, OWN_ZONE_TIER, FALLBACK_TIER = (
    0,
    1,
    2,
)  # tiers: other and own zone of our subset; outside of our subset


@dataclass(slots=True, eq=False)
class Backend:
    """What this proxy knows of one listed backend.  Times in ms."""

    info: api.BackendInfo
    board: Board
    last_turn: float  # equal weights take turns by this
    credit_ms: float  # slow start: work it may be sent; 0 or less: none
    subset_rank: int  # of this proxy among all for it
    tier: int = FALLBACK_TIER
    cost_factor: float = 1.0  # learned: served time over booked cost, its own and its kind's
    speed: BackendSpeed = field(default_factory=BackendSpeed)
    weight: float = 0.0  # W_k below the top weight
    load: float = 0.0  # L_k before it is compressed, with what was sent since
    in_flight_cost: float = 0.0  # of its attempts, in mean costs
    failure_score: float = 0.0  # failures not yet made up for
    ejected_until: float = 0.0
    last_served_at: float = -1e12

    def record(self, now: float, outcome: api.Outcome, draw: random.Random) -> None:
        """Eject it after failures: booked cost alone would leave a backend that fails fast its share."""
        if outcome is api.Outcome.SERVED:
            self.failure_score = max(0.0, self.failure_score - SERVED_CREDIT)
        elif outcome not in NEUTRAL:
            self.failure_score = min(MAX_FAILURE_SCORE, self.failure_score + 1.0)
            # some responses are spoilt at any backend: one alone must not eject it
            if outcome not in SPORADIC or self.failure_score > MAX_SPORADIC_SCORE:
                self.ejected_until = now + rates.UPDATE_PERIOD_MS * 2.0**self.failure_score * draw.uniform(
                    0.5, 1.0
                )

    def dedup_group(self, scope: api.DedupScope) -> object:
        """What all backends that drop repeats together with this one have in common."""
        return {api.DedupScope.ZONE: self.info.zone, api.DedupScope.CELL: self.info.cell}.get(scope)


class Endpoints:
    """The backends that may be sent to."""

    subset_type = Subset

    def __init__(self, settings: api.Settings, draw: random.Random) -> None:
        self.random = draw
        self.backends: dict[int, Backend] = {}  # in the order in which they were listed
        self.booked: dict[int, None] = {}  # backends with work on their board, in order
        self.maintenance, self.speeds = Maintenance(), LearnedSpeeds()
        self.configure(settings)

    def configure(self, settings: api.Settings) -> None:
        """Take new settings."""
        self.settings, self.subset = settings, self.subset_type(settings.proxy_index, settings.proxies)
        for ident, backend in self.backends.items():
            backend.subset_rank = self.subset.rank(ident)
        self._regroup()

    def is_near(self, info: api.BackendInfo) -> bool:
        """Whether a backend is in our zone, or zones do not matter."""
        return info.zone == self.settings.zone or not self.settings.price_cross_zone

    def update(self, now: float, update: api.BackendList, mean_cost_ms: float) -> None:
        """Take up what a list call returned."""
        up = [info for info in update.backends if info.state is api.BackendState.UP]
        listed = {info.backend for info in up}
        gone = [info.backend for info in update.backends if info.state is not api.BackendState.UP]
        if update.kind is not api.ListKind.CHANGES:
            gone += [ident for ident in self.backends if ident not in listed]
            gone += self.maintenance.missing(listed)
        for ident in gone:  # rule 3: a draining or missing backend gets nothing from here on
            self.backends.pop(ident, None)
            self.booked.pop(ident, None)
            self.maintenance.forget(ident)
        fresh = [line for info in up if (line := self.maintenance.effective(info)) is not None]
        self.random.shuffle(fresh)  # many proxies must not begin on the same backend
        for info in fresh:
            self._add(now, info, mean_cost_ms)
        self._regroup()

    def begin_maintenance(self, event: api.BeginMaintenance) -> None:
        """Take a backend out of service."""
        old = self.backends.pop(event.backend, None)
        self.booked.pop(event.backend, None)
        self.maintenance.begin(event.since_ms, event.backend, old.info if old else None)
        self._regroup()

    def end_maintenance(self, now: float, event: api.EndMaintenance, mean_cost_ms: float) -> bool:
        """Give a backend back; whether the list still has it."""
        info = self.maintenance.end(event.began_ms, event.at_ms, event.backend)
        if info is not None:
            self._add(now, info, mean_cost_ms)
            self._regroup()
        return info is not None

    def _add(self, now: float, info: api.BackendInfo, mean_cost_ms: float) -> None:
        """Add a listed backend, or update its line."""
        old = self.backends.get(info.backend)
        if old and old.info.started_ms == info.started_ms:
            old.info = info
            return
        self.booked.pop(info.backend, None)
        # rule 4: first sends of many proxies to a cold backend must not fall together
        credit_ms = -self.random.random() * (mean_cost_ms or rates.UPDATE_PERIOD_MS)
        turn = self.random.random() - 1.0
        backend = Backend(info, Board(now), turn, credit_ms, self.subset.rank(info.backend))
        backend.cost_factor = self.speeds.factor(info.kind, backend.speed)
        self.backends[info.backend] = backend

    def _regroup(self) -> None:
        zones = [(backend, self.is_near(backend.info)) for backend in self.backends.values()]
        self.near_count = sum(near for _, near in zones)  # backends in our zone
        counts = (len(zones) - self.near_count, self.near_count)  # by tier: OTHER_ZONE_TIER, OWN_ZONE_TIER
        self.proxies_per_backend = [self.subset.proxies_per_backend(count) for count in counts]
        for backend, near in zones:
            backend.tier = near if backend.subset_rank < self.proxies_per_backend[near] else FALLBACK_TIER
        self.speeds.keep({backend.info.kind for backend in self.backends.values()})
