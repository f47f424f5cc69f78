"""Weighted turns: selects the backend of each attempt by compressed weights (DESIGN 3 to 5).

With weighted turns, each attempt goes to the backend with the greatest weight, and backends of equal weight
take turns.  An attempt lowers the weight of its backend by its booked cost, in units of the mean booked cost.
Compressed weights are the negated loads of the boards, scaled down so that they differ by no more than the
mean number of attempts per backend and period.
"""

from functools import partial
from heapq import heappop, heappush, nlargest

from heronreel.balancer import interface as api
from heronreel.balancer import rates, slow_start
from heronreel.balancer.endpoints import Backend, Endpoints
from heronreel.balancer.requests import Attempt, Request
from heronreel.balancer.subset import rendezvous_hash

# The share of the fleet's time that the boards of one proxy hold on average.
BOOKED_SHARE = 0.9
# The share of the fleet that may be ejected at once, so that a fault common to all does not empty the fleet.
MAX_EJECTED_SHARE = 0.5
# The smoothing step of the mean cost per attempt.
MEAN_COST_STEP = 0.05
# The number of backends that share the requests of a key.
OWNERS_PER_KEY = 3
# An owner is used while its load exceeds that of the next backend by at most this many mean booked costs.
MAX_OWNER_EXCESS_TURNS = 8.0
# The number of keys whose owners are remembered.
MAX_REMEMBERED_KEYS = 4096
# The share of the latency objective that the queueing delay must exceed, per point of the price of crossing
# zones, before other zones are used.
CROSS_ZONE_SHARE = 2.0
# The attempts that prefer the proxy's own zone; later ones treat all zones alike.
OWN_ZONE_ATTEMPTS = 2
# A connection that served a response within this time is assumed to be still open.
OPEN_CONNECTION_MS = 1000.0
# A backend with an open connection is preferred while its weight is lower by at most this many mean costs.
MAX_OPEN_CONNECTION_EXCESS_TURNS = 1.0
# The number of backends that are examined for an open connection.
MAX_EXAMINED_BACKENDS = 3

# The negated weight, the last turn and the id of a backend.
QueueEntry = tuple[float, float, int]


class TurnQueue:
    """Selects the backend with the greatest weight; of equal ones, the one whose last turn is the oldest."""

    def __init__(self, endpoints: Endpoints) -> None:
        self.endpoints = endpoints
        self.queues: tuple[list[QueueEntry], ...] = ([], [], [])  # One heap per tier.
        self.waiting: list[Backend] = []  # Cold or ejected backends that get no turn until the next update.
        self.last_turn = 0.0
        self.key_owners: dict[int, list[int]] = {}
        # The attempts per period (Nr), and their booked cost before it is scaled.
        self.sends, self.booked_work = rates.SmoothedRate(), rates.SmoothedRate()
        self.mean_booked_cost = self.mean_cost_ms = 0.0
        # The factor from the cost of an attempt of this proxy to the work that is booked for it on a board.
        self.booking_scale = float(endpoints.settings.proxies)

    def update(self, now: float, periods: float) -> None:
        """Recompute the weights, once per period."""
        self.sends.roll(periods)
        self.booked_work.roll(periods)
        sends, work = self.sends.mean, self.booked_work.mean
        self.mean_booked_cost = work / sends if sends else 0.0
        backend_count = max(1, len(self.endpoints.backends))
        if work > 0.0:
            # Boards that are as full as those of a busy fleet do not drain between two attempts of one proxy.
            self.booking_scale = (
                BOOKED_SHARE * (self.endpoints.near_count or backend_count) * rates.UPDATE_PERIOD_MS / work
            )
        booked = self._update_boards(now)
        loads = [backend.load for backend in booked]
        min_load = min(loads, default=0.0) if len(booked) == backend_count else 0.0
        spread = max(loads, default=0.0) - min_load
        # The compressed weights differ by at most tdiff = Nr/N.
        compression = min(1.0, sends / backend_count / spread) if spread else 1.0
        for backend in booked:
            backend.weight = -(backend.load - min_load) * compression - backend.in_flight_cost
            self._push(backend)

    def _update_boards(self, now: float) -> list[Backend]:
        mean_cost = self.mean_booked_cost * self.booking_scale or 1.0  # C_r
        booked = [self.endpoints.backends[ident] for ident in self.endpoints.booked]
        for backend in booked:
            backend.board.update(now)
            backend.load = backend.board.total / mean_cost  # L_k
            if not backend.board.total and backend.in_flight_cost < 1e-6:
                del self.endpoints.booked[backend.info.backend]
        return booked

    def requeue_waiting(self) -> None:
        """Let waiting backends take turns again; called after an update."""
        for backend in self.waiting:
            self._push(backend)
        self.waiting.clear()
        # With many more entries than backends, most of them are stale.
        if sum(map(len, self.queues)) > 4 * max(1, len(self.endpoints.backends)) + 16:
            self._queue_all()

    def rebuild(self) -> None:
        """Forget the owners of keys and queue all backends again, after a change of the backends."""
        self.key_owners.clear()
        self._queue_all()

    def _queue_all(self) -> None:
        self.queues = ([], [], [])
        for backend in self.endpoints.backends.values():
            self._push(backend)

    def _push(self, backend: Backend) -> None:
        heappush(self.queues[backend.tier], (-backend.weight, backend.last_turn, backend.info.backend))

    def book(self, now: float, backend: Backend, cost_ms: float) -> Attempt:
        """Book an attempt that starts now: queue its cost for the board and lower the weight at once."""
        capacity_share = slow_start.capacity_share(self.endpoints.settings, now, backend.info)
        # A cold backend counts as a slow one (rule 4).
        turn_cost = cost_ms * backend.cost_factor / capacity_share
        turns = turn_cost / (self.mean_booked_cost or turn_cost)
        backend.in_flight_cost += turns  # The attempt counts a second time while it is in flight.
        backend.board.queue.append((now, turn_cost * self.booking_scale))
        backend.credit_ms -= cost_ms
        self.sends.current += 1.0
        self.mean_cost_ms += (cost_ms - self.mean_cost_ms) * (MEAN_COST_STEP if self.mean_cost_ms else 1.0)
        self.booked_work.current += cost_ms * backend.cost_factor
        self.endpoints.booked[backend.info.backend] = None
        self.last_turn = backend.last_turn = self.last_turn + 1.0
        backend.load += turns
        backend.weight -= 2.0 * turns
        self._push(backend)
        return Attempt(backend, now, cost_ms, turns, capacity_share)

    def release(self, attempt: Attempt, outcome: api.Outcome) -> None:
        """Remove an ended attempt from the in-flight cost of its backend.

        Attempts that are still in flight when their booked time is over reveal slow and hung backends.
        """
        backend = attempt.backend
        backend.in_flight_cost -= attempt.in_flight_cost
        if outcome is not api.Outcome.REJECTED:  # A full backend regains no weight before the next update.
            backend.weight += attempt.in_flight_cost
        if self.endpoints.backends.get(backend.info.backend) is backend:
            self._push(backend)

    def choose(self, now: float, request: Request, delay_ms: float) -> Backend | None:
        """Return the backend for a request, or None.

        An owner of the request's key is preferred while its load is not much higher than that of the backend
        whose turn it is.
        """
        lightest, key = self.next_backend(now, request, delay_ms), request.arrival.key
        if lightest is None or key is None or not self.endpoints.settings.key_affinity:
            return lightest
        # Hot keys must spread, and compressed weights would hide how much is booked for a hot key's owner.
        limit = lightest.load + lightest.in_flight_cost + MAX_OWNER_EXCESS_TURNS
        tried = [attempt.backend for attempt in request.attempts]
        for owner in (self.endpoints.backends[ident] for ident in self._owners(key)):
            within_limit = owner.load + owner.in_flight_cost <= limit
            if within_limit and owner not in tried and self._is_ready(now, owner):
                return owner
        return lightest

    def _owners(self, key: int) -> list[int]:
        if key not in self.key_owners:
            # New keys keep coming, so the oldest one is dropped; its owners can be computed again.
            if len(self.key_owners) >= MAX_REMEMBERED_KEYS:
                del self.key_owners[next(iter(self.key_owners))]
            is_near, backends = self.endpoints.is_near, self.endpoints.backends.items()
            near = [i for i, b in backends if is_near(b.info) or not self.endpoints.near_count]
            self.key_owners[key] = nlargest(OWNERS_PER_KEY, near, key=partial(rendezvous_hash, key))
        return self.key_owners[key]

    def next_backend(self, now: float, request: Request, delay_ms: float) -> Backend | None:
        """Return the backend whose turn it is, or None.

        The proxy's own zone comes first, unless the queueing delay costs more than crossing zones.
        """
        (other_zone, own_zone, fallback), attempts = self.queues, request.attempts
        objective_ms = request.request_class.latency_objective_ms
        crossing_delay_ms = self.endpoints.settings.price_cross_zone * objective_ms * CROSS_ZONE_SHARE
        spill = self.endpoints.random.uniform(1.0, 2.0) * crossing_delay_ms < delay_ms
        if not self.endpoints.near_count or spill or len(attempts) >= OWN_ZONE_ATTEMPTS:
            tops = [self._top(own_zone, now, attempts), self._top(other_zone, now, attempts)]
            top = max((top for top in tops if top), key=lambda top: top.weight, default=None)
        else:
            top = self._top(own_zone, now, attempts) or self._top(other_zone, now, attempts)
        return top or self._top(fallback, now, attempts)

    def _top(self, queue: list[QueueEntry], now: float, tried: list[Attempt]) -> Backend | None:
        """Return the first backend of a queue that is ready and was not tried, or None.

        Of backends with almost equal weights, one with an open connection is preferred.
        """
        examined: list[QueueEntry] = []
        first = chosen = None
        while queue and chosen is None and (first is None or len(examined) < MAX_EXAMINED_BACKENDS):
            weight, turn, ident = entry = heappop(queue)
            backend = self.endpoints.backends.get(ident)
            if backend is None or backend.last_turn != turn or -backend.weight != weight:
                continue  # The backend was removed or has a newer entry.
            if not self._is_ready(now, backend):
                self.waiting.append(backend)
                continue
            # The entry of the chosen backend becomes stale when the attempt is booked.
            examined.append(entry)
            if tried and any(attempt.backend is backend for attempt in tried):
                continue
            if first is None:
                first = backend
            elif backend.weight < first.weight - MAX_OPEN_CONNECTION_EXCESS_TURNS:
                break
            if now - backend.last_served_at < OPEN_CONNECTION_MS:
                chosen = backend
        for entry in examined:
            heappush(queue, entry)
        return chosen or first

    def choose_in_group(self, now: float, request: Request, executed: Attempt) -> Backend | None:
        """Return the backend with the greatest weight in the deduplication group of an attempt, or None.

        While the attempt is in flight, its own backend is excluded.
        """
        scope, backends = request.request_class.dedup_scope, self.endpoints.backends.values()
        group_id = executed.backend.dedup_group(scope)
        group = [b for b in backends if b.dedup_group(scope) == group_id and self._is_ready(now, b)]
        if executed.in_flight:  # A hedged request to the same backend would only wait behind the attempt.
            group = [backend for backend in group if backend is not executed.backend]
        return max(group, key=lambda backend: (backend.weight, -backend.last_turn), default=None)

    def _is_ready(self, now: float, backend: Backend) -> bool:
        endpoints, ejected = self.endpoints, backend.ejected_until > now
        if ejected and len(self.waiting) < MAX_EJECTED_SHARE * len(endpoints.backends):
            return False
        capacity_share = slow_start.capacity_share
        return backend.credit_ms > 0.0 or capacity_share(endpoints.settings, now, backend.info) >= 1.0
