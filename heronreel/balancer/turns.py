"""Weights of backends and the turns they take (DESIGN 3 to 5).  Part of the decisions."""

from functools import partial
from heapq import heappop, heappush, nlargest

from heronreel.balancer import interface as api
from heronreel.balancer import rates, slow_start
from heronreel.balancer.endpoints import Backend, Endpoints
from heronreel.balancer.requests import Attempt, Request
from heronreel.balancer.subset import rendezvous_hash

BOOKED_SHARE = 0.9  # of the fleet's time that the boards of one proxy hold on average (ours)
MAX_EJECTED_SHARE = 0.5  # of the fleet at once, lest a fault common to all empties it (ours)
MEAN_COST_STEP = 0.05  # smoothing of the mean cost, a send (ours)
OWNERS_PER_KEY, MAX_OWNER_EXCESS = 3, 8.0  # backends that share a key; mean costs booked over the rest (ours)
MAX_REMEMBERED_KEYS = 4096  # keys whose owners are remembered (ours)
CROSS_ZONE_SHARE = 2.0  # of the latency objective that a delay must cost, per point of the price (ours)
OWN_ZONE_ATTEMPTS = 2  # before other zones take turns alike (ours)
OPEN_CONNECTION_MS = 1000.0  # a connection that served lately is taken to be open for so long (ours)
MAX_OPEN_EXCESS, MAX_LOOKED_AT = 1.0, 3  # mean costs more booked that it may be; backends looked at (ours)

Entry = tuple[float, float, int]  # weight negated, last turn and number of a backend


class TurnQueue:
    """Which backend gets the next attempt: the one of most weight, then the longest without a turn."""

    def __init__(self, endpoints: Endpoints) -> None:
        self.endpoints = endpoints
        self.queues: tuple[list[Entry], ...] = ([], [], [])  # by tier, as heaps
        self.waiting: list[Backend] = []  # cold or ejected ones that sit out until the next update
        self.last_turn = 0.0
        self.key_owners: dict[int, list[int]] = {}
        self.sends, self.booked_work = rates.SmoothedRate(), rates.SmoothedRate()  # Nr; cost before scaling
        self.mean_booked_cost = self.mean_cost_ms = 0.0
        self.booking_scale = float(endpoints.settings.proxies)  # what one send stands for on a board

    def update(self, now: float, periods: float) -> None:
        """Work out the weights anew, once a period."""
        self.sends.roll(periods)
        self.booked_work.roll(periods)
        sends, work = self.sends.mean, self.booked_work.mean
        self.mean_booked_cost = work / sends if sends else 0.0
        size = max(1, len(self.endpoints.backends))
        if work > 0.0:
            # boards as full as a busy fleet's do not drain between one proxy's picks
            self.booking_scale = (
                BOOKED_SHARE * (self.endpoints.near_count or size) * rates.UPDATE_PERIOD_MS / work
            )
        booked = self._update_boards(now)
        loads = [backend.load for backend in booked]
        low = min(loads, default=0.0) if len(booked) == size else 0.0
        spread = max(loads, default=0.0) - low
        squeeze = min(1.0, sends / size / spread) if spread else 1.0  # tdiff = Nr/N
        for backend in booked:
            backend.weight = -(backend.load - low) * squeeze - backend.in_flight_cost
            self._push(backend)

    def _update_boards(self, now: float) -> list[Backend]:
        mean_cost = self.mean_booked_cost * self.booking_scale or 1.0  # Cr
        booked = [self.endpoints.backends[ident] for ident in self.endpoints.booked]
        for backend in booked:
            backend.board.update(now)
            backend.load = backend.board.total / mean_cost  # L_k
            if not backend.board.total and backend.in_flight_cost < 1e-6:
                del self.endpoints.booked[backend.info.backend]
        return booked

    def requeue_waiting(self) -> None:
        """Let those that sat out take turns again, after an update."""
        for backend in self.waiting:
            self._push(backend)
        self.waiting.clear()
        if sum(map(len, self.queues)) > 4 * max(1, len(self.endpoints.backends)) + 16:  # many stale entries
            self._queue_all()

    def rebuild(self) -> None:
        """Forget the owners of keys and queue all backends anew, as they have changed."""
        self.key_owners.clear()
        self._queue_all()

    def _queue_all(self) -> None:
        self.queues = ([], [], [])
        for backend in self.endpoints.backends.values():
            self._push(backend)

    def _push(self, backend: Backend) -> None:
        heappush(self.queues[backend.tier], (-backend.weight, backend.last_turn, backend.info.backend))

    def book(self, now: float, backend: Backend, cost_ms: float) -> Attempt:
        """Book an attempt that starts now: its cost is on the board and off the weight at once."""
        capacity_share = slow_start.capacity_share(self.endpoints.settings, now, backend.info)
        turn_cost = cost_ms * backend.cost_factor / capacity_share  # rule 4: a cold backend is a slow one
        turns = turn_cost / (self.mean_booked_cost or turn_cost)
        backend.in_flight_cost += turns  # and once more for being in flight
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
        """Take an ended attempt off: what is in flight past its booking shows slow and hung backends."""
        backend = attempt.backend
        backend.in_flight_cost -= attempt.in_flight_cost
        if outcome is not api.Outcome.REJECTED:  # a full one is no lighter before the next update
            backend.weight += attempt.in_flight_cost
        if self.endpoints.backends.get(backend.info.backend) is backend:
            self._push(backend)

    def pick(self, now: float, request: Request, delay_ms: float) -> Backend | None:
        """A key's own backends first, while not much more booked than the one whose turn it is."""
        lightest, key = self.next(now, request, delay_ms), request.arrival.key
        if lightest is None or key is None or not self.endpoints.settings.key_affinity:
            return lightest
        # hot keys must spread, and compressed weights would hide how much a hot one's owner is booked
        limit = lightest.load + lightest.in_flight_cost + MAX_OWNER_EXCESS
        tried = [attempt.backend for attempt in request.attempts]
        for owner in (self.endpoints.backends[ident] for ident in self._owners(key)):
            light = owner.load + owner.in_flight_cost <= limit
            if light and owner not in tried and self._is_ready(now, owner):
                return owner
        return lightest

    def _owners(self, key: int) -> list[int]:
        if key not in self.key_owners:
            if (
                len(self.key_owners) >= MAX_REMEMBERED_KEYS
            ):  # keys are ever new: the oldest is worked out again
                del self.key_owners[next(iter(self.key_owners))]
            is_near, backends = self.endpoints.is_near, self.endpoints.backends.items()
            near = [i for i, b in backends if is_near(b.info) or not self.endpoints.near_count]
            self.key_owners[key] = nlargest(OWNERS_PER_KEY, near, key=partial(rendezvous_hash, key))
        return self.key_owners[key]

    def next(self, now: float, request: Request, delay_ms: float) -> Backend | None:
        """Whose turn it is: own zone first, unless the queueing delay costs more than crossing zones."""
        (far, near, fallback), attempts = self.queues, request.attempts
        objective_ms = request.request_class.latency_objective_ms
        crossing_worth = self.endpoints.settings.price_cross_zone * objective_ms * CROSS_ZONE_SHARE
        spill = self.endpoints.random.uniform(1.0, 2.0) * crossing_worth < delay_ms
        if not self.endpoints.near_count or spill or len(attempts) >= OWN_ZONE_ATTEMPTS:
            tops = [self._top(near, now, attempts), self._top(far, now, attempts)]
            top = max((top for top in tops if top), key=lambda top: top.weight, default=None)
        else:
            top = self._top(near, now, attempts) or self._top(far, now, attempts)
        return top or self._top(fallback, now, attempts)

    def _top(self, queue: list[Entry], now: float, tried: list[Attempt]) -> Backend | None:
        """The first of a queue that is ready and not tried; of near equals one whose connection is open."""
        aside: list[Entry] = []
        first = chosen = None
        while queue and chosen is None and (first is None or len(aside) < MAX_LOOKED_AT):
            weight, turn, ident = entry = heappop(queue)
            backend = self.endpoints.backends.get(ident)
            if backend is None or backend.last_turn != turn or -backend.weight != weight:
                continue  # gone, or it has a newer entry
            if not self._is_ready(now, backend):
                self.waiting.append(backend)
                continue
            aside.append(entry)  # the chosen one's entry goes stale with the send
            if tried and any(attempt.backend is backend for attempt in tried):
                continue
            if first is None:
                first = backend
            elif backend.weight < first.weight - MAX_OPEN_EXCESS:
                break
            if now - backend.last_served_at < OPEN_CONNECTION_MS:
                chosen = backend
        for entry in aside:
            heappush(queue, entry)
        return chosen or first

    def in_group(self, now: float, request: Request, executed: Attempt) -> Backend | None:
        """The lightest backend that drops repeats of an attempt; while that is in flight, another one."""
        scope, backends = request.request_class.dedup_scope, self.endpoints.backends.values()
        here = executed.backend.dedup_group(scope)
        group = [b for b in backends if b.dedup_group(scope) == here and self._is_ready(now, b)]
        if executed.in_flight:  # a hedged request would only wait behind it
            group = [backend for backend in group if backend is not executed.backend]
        return max(group, key=lambda backend: (backend.weight, -backend.last_turn), default=None)

    def _is_ready(self, now: float, backend: Backend) -> bool:
        endpoints, ejected = self.endpoints, backend.ejected_until > now
        if ejected and len(self.waiting) < MAX_EJECTED_SHARE * len(endpoints.backends):
            return False
        capacity_share = slow_start.capacity_share
        return backend.credit_ms > 0.0 or capacity_share(endpoints.settings, now, backend.info) >= 1.0
