"""Every decision of the balancer.  Its public interface: heronreel/balancer/interface.py.

Constants, board, learned speed, weights and turns, a request's life, then list, drains and slow start.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from functools import partial
from heapq import heappop, heappush, nlargest

from heronreel.balancer import interface as api
from heronreel.balancer.asking import Asking
from heronreel.balancer.board import Board
from heronreel.balancer.maintenance import Maintenance
from heronreel.balancer.overload import TurnedAway
from heronreel.balancer.speed import Speed, Speeds
from heronreel.balancer.subset import Subset, rendezvous

PERIOD_MS = 200.0  # between two updates of the weights (paper)
BASE_MS = 10.0  # fixed part of a request's cost: connection, parsing, logging (ours)
RETRY_SHARE, RETRY_BURST = 0.2, 10.0  # retries after attempts that may have run, per first try (ours)
BOOKED_SHARE = 0.9  # of the fleet's time that the boards of one proxy hold on average (ours)
STRIKES_MOST, REDEEM = 5.0, 0.5  # failures that count at most; made up for by one served (ours)
LONE = (api.Outcome.ERROR, api.Outcome.RESET)  # tell of a backend only when they come together (ours)
LONE_MOST = 1.0  # strikes by these that a backend may have and still take turns (ours)
RESTING_MOST = 0.5  # of the fleet rests at once, lest a fault common to all empties it (ours)
SEEN_LEAST = 0.2  # of the smoothing time that must have passed before the rates tell a wait (ours)
COST_STEP = 0.05  # smoothing of the mean cost, a send (ours)
OUT_STEP = 0.4  # smoothing of the attempts out, a period (ours)
FLOOR_STEP = 0.005  # how fast the least stay found creeps up towards the present one, a period (ours)
BEAR = 0.8  # share of a request's spare time that the booked wait may take (ours)
BEAR_OVER_SHARE = 0.2  # the same beyond a tenant's share (ours)
SHARE_BURST_MS = 2000.0  # of a tenant's quota saved up at most (ours)
SHARE_SLACK = 1.3  # our part of the quotas over what it is found to be: sites are not loaded evenly (ours)
KEY_HOMES, KEY_SLACK = 3, 8.0  # backends that share a key; mean costs one may be booked over the rest (ours)
HOMES_MOST = 4096  # keys whose homes are remembered (ours)
CROSS_FOR = 2.0  # share of the aim a wait must cost, per point of the price, to cross zones (ours)
NEAR_TRIES = 2  # attempts in our own zone before others take turns alike (ours)
COLD_SHARE = 0.55  # of what rule 4 allows: a cold backend's work, from its ramped share of what we see served
RATE_MS = 3000.0  # smoothing of our own work rate, for slow start (ours)
SHORT_SHARE = 0.1  # of a period's arrivals that are refused where the fleet is short (ours)
ADVICE_LEAST = 0.25  # of the aim: the least advice to refused clients, so that a retry may be in time (ours)
OPEN_MS = 1000.0  # a connection that served lately is taken to be open for so long (ours)
OPEN_WORTH, OPEN_LOOK = 1.0, 3  # mean costs more booked that it may be, and how many are looked at (ours)
REST = 2  # place of the heap of backends that this proxy does not keep to
UPDATE, WATCH = 0, 1  # timer tokens; those of pauses and second copies count on from there


@dataclass(slots=True, eq=False)
class Backend:
    """What this proxy knows of one listed backend."""

    info: api.BackendInfo
    board: Board
    turn: float  # equal weights take turns by this
    credit: float  # slow start: ms of work it may be sent; 0 or less: none
    rank: int  # of this proxy among all for it
    heap: int = REST  # where its turns are queued: far or near of our subset, or the rest
    factor: float = 1.0  # learned: served time over booked cost, its own and its kind's
    speed: Speed = field(default_factory=Speed)
    weight: float = 0.0  # W_k below the top weight
    load: float = 0.0  # L_k before it is compressed, with what was sent since
    held: float = 0.0  # of the attempts still out, in mean costs
    strikes: float = 0.0  # failures not yet made up for
    rests_until: float = 0.0  # it takes no turns before
    served_at: float = -1e12  # when it last did


def group_of(info: api.BackendInfo, scope: api.DedupScope) -> object:
    return {api.DedupScope.ZONE: info.zone, api.DedupScope.CELL: info.cell}.get(scope)


@dataclass(slots=True)
class Attempt:
    to: Backend
    sent_at: float
    cost: float
    held: float
    ramp: float  # of the backend, when it was sent
    timeout: float = 0.0  # ms; 0: the request's deadline
    may_have_run: bool = True  # until its outcome proves that it never ran
    out: bool = True


@dataclass(slots=True)
class Request:
    arrival: api.Arrival
    klass: api.RequestClass
    arrived_at: float
    deadline: float
    in_share: bool
    attempts: list[Attempt] = field(default_factory=list)
    policy: api.RoutePolicy | None = None
    last: api.Outcome = api.Outcome.NOT_SENT  # of the attempt that ended last
    paused: bool = False  # before the next attempt, which is paid for


class Rate:
    """A smoothed sum per period, right from the first period on."""

    __slots__ = ("mean", "now", "raw", "seen")

    def __init__(self) -> None:
        self.now = self.mean = self.seen = self.raw = 0.0

    def roll(self, periods: float) -> None:
        fade = min(1.0, periods * PERIOD_MS / RATE_MS)
        self.seen += (1.0 - self.seen) * fade
        self.raw += (self.now / periods - self.raw) * fade
        self.mean, self.now = self.raw / self.seen, 0.0


class Balancer:
    """One proxy.  Events of ended requests are passed over; an attempt never made is a caller's KeyError."""

    def __init__(self, settings: api.Settings, seed: int, books: api.Books | None = None) -> None:
        self.asking = Asking(settings.ask_within_ms)
        self._settle(settings)
        self.books = books  # needed by requests with a policy
        self.timers: dict[int, tuple[int, bool]] = {}  # token: request, and whether for a second copy
        self.last_token = WATCH
        self.random = random.Random(seed)
        self.kept_by = [0, 0]  # proxies that keep to each backend of far and of near zones
        self.shares: dict[str, tuple[float, float]] = {}  # by tenant: requests saved up, and when
        self.asked: dict[str, Rate] = {}  # by tenant with a quota: first tries
        self.part = SHARE_SLACK / settings.proxies  # of the quotas that is ours
        self.pace = float(settings.proxies)  # what one send stands for on a board
        self.turned_away = TurnedAway()
        self.speeds = Speeds()
        self.maintenance = Maintenance()
        self.sends, self.service = Rate(), Rate()  # Nr, and the booked cost before pace and ramp
        self.ended, self.served = Rate(), Rate()  # attempts that may have run, and the cost of those served
        self.mean_out = self.mean_service = self.mean_cost = 0.0
        self.wait, self.press, self.floor = 0.0, 0.0, 1e9  # of attempts on the fleet, ms
        self.backends: dict[int, Backend] = {}
        self.busy: dict[int, None] = {}  # backends with work on their board, in order
        # three heaps: far and near zones of our subset, then the rest; lightest booked first, then longest
        # without a turn
        self.turns: tuple[list[tuple[float, float, int]], ...] = ([], [], [])
        self.near = 0  # backends in our zone
        self.homes: dict[int, list[int]] = {}  # by key
        self.turn = 0.0
        self.waiting: list[Backend] = []  # cold or resting ones that sit out until the next update
        self.requests: dict[int, Request] = {}
        self.sent: dict[tuple[int, int], Attempt] = {}  # attempts out, also of requests that are over
        self.retries = RETRY_BURST
        self.arrived = self.refused = 0  # since the last update
        self.short_since = -1.0  # none: before 0
        self.started, self.updated_at = False, 0.0
        self.actions: list[api.Action] = []

    def _settle(self, settings: api.Settings) -> None:
        self.settings = settings
        self.subset = Subset(settings.slot, settings.proxies)
        self.asking.within_ms = settings.ask_within_ms
        self.classes = {klass.name: klass for klass in settings.classes}
        self.aims = [klass.aim_ms for klass in settings.classes]
        self.most_worth = max(klass.worth for klass in settings.classes)
        self.quotas = {tenant.name: tenant.quota_per_s for tenant in settings.tenants if tenant.quota_per_s}

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        self.actions = []
        if isinstance(event, api.Arrival):
            self._arrival(now_ms, event)
        elif isinstance(event, api.AttemptEnded):
            self._attempt_ended(now_ms, event)
        elif isinstance(event, api.TimerFired) and event.token == WATCH:
            self.asking.asks(now_ms)
            self.actions.append(api.WatchList())
        elif isinstance(event, api.TimerFired) and event.token != UPDATE:
            self._resume(now_ms, *self.timers.pop(event.token))
        elif isinstance(event, api.TimerFired):
            self._update(now_ms)
        elif isinstance(event, api.ClientGone):
            self.requests.pop(event.request, None)
        elif isinstance(event, api.BackendList):
            self._list(now_ms, event)
        elif isinstance(event, api.HoldBackend):
            old = self.backends.pop(event.backend, None)
            self.busy.pop(event.backend, None)
            self.maintenance.hold(event.since_ms, event.backend, old.info if old else None)
            self._listed_anew()
        elif isinstance(event, api.ReleaseBackend):
            line = self.maintenance.release(event.held_ms, event.at_ms, event.backend)
            if line is not None:
                self._enter(now_ms, line)
                self._listed_anew()
        elif isinstance(event, api.NewSettings):
            self._settle(event.settings)
            for ident, backend in self.backends.items():
                backend.rank = self.subset.rank(ident)
            self._listed_anew()
        return self.actions

    # Weights and turns: DESIGN 3 to 5.

    def _update(self, now: float) -> None:
        self.actions.append(api.SetTimer(UPDATE, PERIOD_MS))
        if self.refused <= SHORT_SHARE * self.arrived:
            self.short_since = -1.0
        elif self.short_since < 0.0:
            self.short_since = self.updated_at
        self.arrived = self.refused = 0
        periods, self.updated_at = max(1.0, (now - self.updated_at) / PERIOD_MS), now
        for rate in (self.sends, self.service, self.ended, self.served):
            rate.roll(periods)
        for asked in self.asked.values():
            asked.roll(periods)
        self._find_part()
        self.turned_away.roll()
        self.mean_service = self.service.mean / self.sends.mean if self.sends.mean else 0.0
        size = max(1, len(self.backends))
        # attempts out over their rate of ending are the mean stay (Little's law); above its floor it is wait
        self.mean_out += (len(self.sent) - self.mean_out) * OUT_STEP
        if self.ended.seen >= SEEN_LEAST and self.ended.mean:
            stay = self.mean_out * PERIOD_MS / self.ended.mean
            self.floor = min(self.floor, stay) * (1.0 - FLOOR_STEP) + stay * FLOOR_STEP
            self.wait = stay - self.floor
            # where queues are short, rejections tell of the overload: a stay counts for each try it takes
            self.press = self.wait + stay * (self.sends.mean / self.ended.mean - 1.0)
        if self.service.mean > 0.0:
            # slivers: boards as full as a busy fleet's do not drain between one proxy's picks
            self.pace = BOOKED_SHARE * (self.near or size) * PERIOD_MS / self.service.mean
        mean_cost = self.mean_service * self.pace or 1.0  # Cr
        booked = [self.backends[ident] for ident in self.busy]
        for backend in booked:
            backend.board.update(now)
            backend.load = backend.board.total / mean_cost  # L_k
            if not backend.board.total and backend.held < 1e-6:
                del self.busy[backend.info.backend]
        low = min((backend.load for backend in booked), default=0.0) if len(booked) == size else 0.0
        spread = max((backend.load for backend in booked), default=0.0) - low
        squeeze = min(1.0, self.sends.mean / size / spread) if spread else 1.0  # tdiff = Nr/N
        for backend in booked:
            backend.weight = -(backend.load - low) * squeeze - backend.held
            self._queue_turn(backend)
        self._grant_credit(now, periods)
        for backend in self.waiting:
            self._queue_turn(backend)
        self.waiting.clear()
        if sum(map(len, self.turns)) > 4 * size + 16:  # shed entries gone stale
            self._queue_turns()

    def _queue_turn(self, backend: Backend) -> None:
        entry = (-backend.weight, backend.turn, backend.info.backend)
        heappush(self.turns[backend.heap], entry)

    def _queue_turns(self) -> None:
        self.turns = ([], [], [])
        for backend in self.backends.values():
            self._queue_turn(backend)

    def _is_near(self, info: api.BackendInfo) -> bool:
        return info.zone == self.settings.zone or not self.settings.price_cross_zone

    def _keyed_turn(self, now: float, request: Request) -> Backend | None:
        """Warm keys: a key's own backends come first while not much more booked than the lightest."""
        lightest, key = self._next_turn(now, request), request.arrival.key
        if lightest is None or key is None or not self.settings.warm_keys:
            return lightest
        if key not in self.homes:
            if len(self.homes) >= HOMES_MOST:  # keys are ever new: the one known longest is worked out again
                del self.homes[next(iter(self.homes))]
            near = [i for i, b in self.backends.items() if self._is_near(b.info) or not self.near]
            self.homes[key] = nlargest(KEY_HOMES, near, key=partial(rendezvous, key))
        # hot keys must spread, and compressed weights would hide how much a hot one's home is booked
        limit = lightest.load + lightest.held + KEY_SLACK
        tried = [attempt.to for attempt in request.attempts]
        for home in (self.backends[ident] for ident in self.homes[key]):
            if home.load + home.held <= limit and home not in tried and self._ready(now, home):
                return home
        return lightest

    def _next_turn(self, now: float, request: Request) -> Backend | None:
        """The backend of most weight that may take a turn, own zone first if the wait is cheaper."""
        far, near, rest = self.turns
        worth_crossing = self.settings.price_cross_zone * request.klass.aim_ms * CROSS_FOR
        spill = self.random.uniform(1.0, 2.0) * worth_crossing < self.wait
        if not self.near or spill or len(request.attempts) >= NEAR_TRIES:
            tops = [self._top(near, now, request.attempts), self._top(far, now, request.attempts)]
            top = max((top for top in tops if top), key=lambda top: top.weight, default=None)
        else:
            top = self._top(near, now, request.attempts) or self._top(far, now, request.attempts)
        return top or self._top(rest, now, request.attempts)

    def _top(self, turns: list[tuple[float, float, int]], now: float, tried: list[Attempt]) -> Backend | None:
        """The first of a heap that is ready and not tried; of near equals one whose connection is open."""
        aside: list[tuple[float, float, int]] = []
        first = chosen = None
        while turns and chosen is None and (first is None or len(aside) < OPEN_LOOK):
            weight, turn, ident = entry = heappop(turns)
            backend = self.backends.get(ident)
            if backend is None or backend.turn != turn or -backend.weight != weight:
                continue  # gone, or it has a newer entry
            if not self._ready(now, backend):
                self.waiting.append(backend)
                continue
            aside.append(entry)  # the chosen one's entry goes stale with the send
            if tried and any(attempt.to is backend for attempt in tried):
                continue
            if first is None:
                first = backend
            elif backend.weight < first.weight - OPEN_WORTH:
                break
            if now - backend.served_at < OPEN_MS:
                chosen = backend
        for entry in aside:
            heappush(turns, entry)
        return chosen or first

    # The request's life: rules 1 and 2.

    def _arrival(self, now: float, arrival: api.Arrival) -> None:
        policy = arrival.policy
        klass = policy.klass if policy else self.classes.get(arrival.klass) or api.RequestClass(arrival.klass)
        deadline, in_share = now + arrival.time_left_ms, self._within_share(now, arrival)
        request = Request(arrival, klass, now, deadline, in_share, policy=policy)
        self.requests[arrival.request] = request
        self.retries = min(RETRY_BURST, self.retries + RETRY_SHARE)
        self.arrived += 1
        self._go_on(now, request)

    def _attempt_ended(self, now: float, ended: api.AttemptEnded) -> None:
        attempt = self.sent.pop((ended.request, ended.attempt))
        # what is still out keeps its backend booked past the end of its booking: slow and hung ones show
        attempt.to.held -= attempt.held
        if ended.outcome is not api.Outcome.REJECTED:  # a full one is no lighter before the next update
            attempt.to.weight += attempt.held
        if self.backends.get(ended.backend) is attempt.to:
            self._queue_turn(attempt.to)
        request = self.requests.get(ended.request)
        if ended.finished:
            self.requests.pop(ended.request, None)
        attempt.may_have_run, attempt.out = ended.outcome not in api.NEVER_RAN, False
        self.ended.now += attempt.may_have_run
        if ended.outcome is api.Outcome.REJECTED:
            self.turned_away.saw(True)
        self._judge(now, attempt, ended)
        if ended.outcome is api.Outcome.SERVED:
            self.served.now += attempt.cost
            attempt.to.served_at = now
            to, ratio = attempt.to, max(1.0, ended.latency_ms) / attempt.cost * attempt.ramp
            self.speeds.learn(to.info.kind, to.speed, ratio, attempt.ramp >= 1.0)
            to.factor = self.speeds.factor(to.info.kind, to.speed)
            if request and request.policy and self.books:
                self.books.served(request.policy, ended.latency_ms)
        if request and not ended.finished:
            request.last = ended.outcome
            if not any(other.out for other in request.attempts):  # else a second copy may yet be served
                self._go_on(now, request)

    def _judge(self, now: float, attempt: Attempt, ended: api.AttemptEnded) -> None:
        """Booked cost ignores how attempts end, so a backend that fails fast would keep its share: rest."""
        outcome, backend = ended.outcome, attempt.to
        if outcome is api.Outcome.TIMEOUT and ended.latency_ms < (0.9 * attempt.timeout or min(self.aims)):
            return  # no backend could have served a client that waits so little
        if outcome is api.Outcome.SERVED:
            backend.strikes = max(0.0, backend.strikes - REDEEM)
        elif outcome not in (api.Outcome.REJECTED, api.Outcome.CANCELLED, api.Outcome.NOT_SENT):
            backend.strikes = min(STRIKES_MOST, backend.strikes + 1.0)
            if outcome in LONE and backend.strikes <= LONE_MOST:
                return  # some answers are spoilt at any backend: one alone must not take it out
            backend.rests_until = now + PERIOD_MS * 2.0**backend.strikes * self.random.uniform(0.5, 1.0)

    def _find_part(self) -> None:
        """How much of the quotas is ours: an even part, or more if all tenants ask more here.

        A proxy sees its own arrivals alone.  It gets more than an even part when its site is busier or its
        peers restart, and then all tenants rise together, while one beyond its share rises alone.  It is too
        kind where all tenants go beyond their shares at once: then nobody has to yield to another.
        """
        per_s = PERIOD_MS / 1000.0
        asked = {name: rate.mean / per_s for name, rate in self.asked.items()}
        least = min((asked.get(name, 0.0) / quota for name, quota in self.quotas.items()), default=0.0)
        self.part = SHARE_SLACK * max(1.0 / self.settings.proxies, least)

    def _within_share(self, now: float, arrival: api.Arrival) -> bool:
        """Count a request against our part of its tenant's quota; a retry was counted as a first try."""
        if arrival.tenant not in self.quotas:
            return True
        quota = self.quotas[arrival.tenant] * self.part
        most = max(1.0, quota * SHARE_BURST_MS / 1000.0)
        saved, since = self.shares.get(arrival.tenant, (most, now))
        saved = min(most, saved + quota * (now - since) / 1000.0)
        if arrival.is_retry:
            self.shares[arrival.tenant] = (saved, now)
        else:
            self.asked.setdefault(arrival.tenant, Rate()).now += 1.0
            self.shares[arrival.tenant] = (saved - (saved >= 1.0), now)
        return saved >= 1.0

    def _bears(self, now: float, request: Request) -> bool:
        """Overload: what could not be in time behind what is out is refused early, least worth first."""
        if not self.sent:
            return True  # nothing of ours is out to wait behind, whatever a rare slow answer made of the mean
        klass = request.klass
        done = now + BASE_MS + request.arrival.hint_ms
        spare = request.arrived_at + klass.aim_ms - done
        if request.in_share and klass.worth >= self.most_worth:  # the dearest tries on, the rest yields to it
            return self.wait <= BEAR * max(spare, klass.late_worth * (request.deadline - done))
        # no class may wait longer than one of more worth could, or it would starve that one
        limit = min(other.aim_ms for other in self.settings.classes if other.worth >= klass.worth)
        rank = 0.5 + 0.5 * klass.worth / (self.most_worth or 1.0)
        bears = max(min(spare, limit), klass.late_worth * limit) * rank
        return self.press <= bears * (BEAR if request.in_share else BEAR_OVER_SHARE)

    def _go_on(self, now: float, request: Request) -> None:
        """Send a request that has no attempt out, let it pause, or end it."""
        ran = next((attempt for attempt in request.attempts if attempt.may_have_run), None)
        if self._pauses(now, request, ran):
            return
        backend = self._choose(now, request, ran)
        if backend is not None:
            self._send(now, request, backend, ran)
            return
        ident, klass = request.arrival.request, request.klass
        del self.requests[ident]
        everywhere = klass.effect is api.Effect.KEYED and klass.scope is api.DedupScope.ALL
        harmless = klass.effect is api.Effect.IDEMPOTENT or everywhere
        if ran is None or (request.policy.refuse_exhausted if request.policy else harmless):
            self.refused += 1
            self.actions.append(api.Refuse(ident, self._advice(now, klass)))
        else:
            self.actions.append(api.Fail(ident))

    def _pauses(self, now: float, request: Request, ran: Attempt | None) -> bool:
        """Back off, but only before an attempt allowed by then: what is given up is answered at once."""
        policy = request.policy
        if policy is None or not request.attempts or request.paused or request.last not in policy.retry_on:
            return False
        pause = policy.pause_before(len(request.attempts))
        if not pause or not self._may_send(now + pause, request, ran):
            return False
        self._pay(request, ran)
        request.paused = True
        self._remind(request, pause, False)
        return True

    def _remind(self, request: Request, delay: float, copy: bool) -> None:
        self.last_token += 1
        self.timers[self.last_token] = (request.arrival.request, copy)  # it ends when it fires
        self.actions.append(api.SetTimer(self.last_token, delay))

    def _resume(self, now: float, ident: int, copy: bool) -> None:
        """A pause is over, or a second copy is due."""
        request = self.requests.get(ident)
        if request is None:
            return
        if not copy:
            self._go_on(now, request)
            request.paused = False
            return
        policy, first = request.policy, request.attempts[0]
        if policy is None or len(request.attempts) > 1 or not first.out:
            return
        if not self._may_send(now, request, first):
            return
        bound = request.klass.effect is api.Effect.KEYED or policy.copy_in_group
        # not where the first is: there it would only wait behind it
        backend = self._in_group(now, request, first, True) if bound else self._next_turn(now, request)
        if backend is not None:
            self._pay(request, first)
            self._send(now, request, backend, first)

    def _may_send(self, now: float, request: Request, ran: Attempt | None) -> bool:
        """Whether rules and route allow another attempt at that time.  `ran`: one that may have run."""
        policy, klass, most = request.policy, request.klass, self.settings.max_attempts
        most = min(most, policy.max_attempts) if policy else most
        if now >= request.deadline or len(request.attempts) >= most:
            return False
        if ran is None or request.paused:
            return True
        if klass.effect is api.Effect.UNSAFE:
            return False
        if not (self.books.may_repeat(policy) if policy and self.books else self.retries >= 1.0):
            return False
        # a repeat may only go where the first is remembered, and it needs time to get there
        margin = self.settings.connect_timeout_ms + (policy.margin_ms if policy else 0.0)
        return klass.effect is api.Effect.IDEMPOTENT or now < ran.sent_at + klass.repeat_window_ms - margin

    def _pay(self, request: Request, ran: Attempt | None) -> None:
        if ran is not None and not request.paused:
            if request.policy and self.books:
                self.books.spend(request.policy)
            else:
                self.retries -= 1.0

    def _in_group(self, now: float, request: Request, ran: Attempt, other: bool = False) -> Backend | None:
        """The lightest backend of the group that knows of an attempt; `other`: not one tried already."""
        scope = request.klass.scope
        here = group_of(ran.to.info, scope)
        group = [b for b in self.backends.values() if group_of(b.info, scope) == here and self._ready(now, b)]
        if other:
            group = [b for b in group if not any(attempt.to is b for attempt in request.attempts)]
        return max(group, key=lambda b: (b.weight, -b.turn), default=None)

    def _advice(self, now: float, klass: api.RequestClass) -> float:
        """When a refused client should come back: a shortage is taken to last as long again as it has lasted.

        Sooner, and retries that are late in any case take the room of requests that could be in time.
        Spread out, or the refused would come as one wave.  It hurts where a long shortage has just ended.
        """
        short = now - self.short_since if self.short_since >= 0.0 else 0.0
        spread = self.random.uniform(0.5, 1.5)
        return min(max(short, ADVICE_LEAST * klass.aim_ms) * spread, self.settings.max_retry_after_ms)

    def _choose(self, now: float, request: Request, ran: Attempt | None) -> Backend | None:
        policy = request.policy
        if policy and request.attempts:
            unpaused = policy.pause_before(len(request.attempts)) and not request.paused
            if unpaused or request.last not in policy.retry_on:
                return None
        if not self._may_send(now, request, ran):
            return None
        if ran is None:
            may_try = self.turned_away.may_try(len(request.attempts)) and self._bears(now, request)
            return self._keyed_turn(now, request) if may_try else None
        bound = request.klass.effect is api.Effect.KEYED or (policy is not None and policy.retry_in_group)
        # after a pause the window may have closed: the timer came late
        if request.klass.effect is api.Effect.KEYED and now >= ran.sent_at + request.klass.repeat_window_ms:
            return None
        chosen = self._in_group(now, request, ran) if bound else self._next_turn(now, request)
        if chosen is not None:
            self._pay(request, ran)
        return chosen

    def _send(self, now: float, request: Request, backend: Backend, ran: Attempt | None) -> None:
        """Start an attempt and book it: its cost is on the board and off the weight at once."""
        cost = BASE_MS + request.arrival.hint_ms
        ramp = self._ramp(backend, now)
        turn_cost = cost * backend.factor / ramp  # rule 4: a cold backend is a slow one
        turns = turn_cost / (self.mean_service or turn_cost)
        attempt = Attempt(backend, now, cost, turns, ramp)
        self.sent[request.arrival.request, len(request.attempts)] = attempt
        request.attempts.append(attempt)
        backend.held += turns  # and once more for being out
        backend.board.queue.append((now, turn_cost * self.pace))
        backend.credit -= cost
        self.sends.now += 1.0
        self.turned_away.saw(False)
        self.mean_cost += (cost - self.mean_cost) * (COST_STEP if self.mean_cost else 1.0)
        self.service.now += cost * backend.factor
        self.busy[backend.info.backend] = None
        self.turn = backend.turn = self.turn + 1.0
        backend.load += turns
        backend.weight -= 2.0 * turns
        self._queue_turn(backend)
        policy, within = request.policy, 0.0
        if ran is not None and request.klass.effect is api.Effect.KEYED:
            within = ran.sent_at + request.klass.repeat_window_ms - now  # no stall may send it later
        attempt.timeout = policy.attempt_timeout_ms if policy else 0.0
        ident = request.arrival.request
        self.actions.append(api.StartAttempt(ident, backend.info.backend, attempt.timeout, within))
        if policy and len(request.attempts) == 1 and self.books:
            delay = self.books.copy_delay(policy)
            if delay is not None and self.settings.second_copies and policy.max_attempts > 1:
                self._remind(request, delay, True)

    # List, drains and slow start: rules 3 and 4.

    def _list(self, now: float, news: api.BackendList) -> None:
        if not self.started:
            self.started, self.updated_at = True, now
            self.actions.append(api.SetTimer(UPDATE, PERIOD_MS * self.random.uniform(0.1, 1.0)))
            if self.settings.watch_list:
                self.actions.append(api.SetTimer(WATCH, self.asking.begin(self.random)))
        if news.kind is api.ListKind.FAILED:
            wait = self.asking.failed(now, self.random, news.lost)
            if wait is not None:
                self.actions.append(api.SetTimer(WATCH, wait))
            return
        self.asking.told(now)
        up = [info for info in news.backends if info.state is api.State.UP]
        listed = {info.backend for info in up}
        gone = [info.backend for info in news.backends if info.state is not api.State.UP]
        if news.kind is not api.ListKind.CHANGES:
            gone += [ident for ident in self.backends if ident not in listed]
            gone += self.maintenance.missing(listed)
        for ident in gone:  # rule 3: a draining or missing backend gets nothing from here on
            self.backends.pop(ident, None)
            self.busy.pop(ident, None)
            self.maintenance.gone(ident)
        fresh = [line for info in up if (line := self.maintenance.admit(info)) is not None]
        self.random.shuffle(fresh)  # many proxies must not begin on the same backend
        for info in fresh:
            self._enter(now, info)
        self._listed_anew()

    def _enter(self, now: float, info: api.BackendInfo) -> None:
        """Take a listed backend up, or its line anew."""
        old = self.backends.get(info.backend)
        if old and old.info.started_ms == info.started_ms:
            old.info = info
            return
        self.busy.pop(info.backend, None)
        # rule 4: first sends of many proxies to a cold backend must not fall together
        credit = -self.random.random() * (self.mean_cost or PERIOD_MS)
        turn = self.random.random() - 1.0
        backend = Backend(info, Board(now), turn, credit, self.subset.rank(info.backend))
        backend.factor = self.speeds.factor(info.kind, backend.speed)
        self.backends[info.backend] = backend

    def _listed_anew(self) -> None:
        self.homes.clear()
        zones = [(backend, self._is_near(backend.info)) for backend in self.backends.values()]
        self.near = sum(near for _, near in zones)
        self.kept_by = [self.subset.kept_by(len(zones) - self.near), self.subset.kept_by(self.near)]
        for backend, near in zones:
            backend.heap = near if backend.rank < self.kept_by[near] else REST
        self._queue_turns()
        self.speeds.keep({backend.info.kind for backend in self.backends.values()})

    def _ramp(self, backend: Backend, now: float) -> float:
        """The least share of its capacity that a started backend has by now."""
        if not backend.info.started_ms:
            return 1.0
        risen = max(0.0, now - backend.info.started_ms) / max(1.0, self.settings.cold_ms)
        return min(1.0, self.settings.cold_from + (1.0 - self.settings.cold_from) * risen)

    def _ready(self, now: float, backend: Backend) -> bool:
        rests = backend.rests_until > now and len(self.waiting) < RESTING_MOST * len(self.backends)
        return not rests and (backend.credit > 0.0 or self._ramp(backend, now) >= 1.0)

    def _grant_credit(self, now: float, periods: float) -> None:
        """Rule 4 by one proxy alone: a cold backend earns its ramped share of what this proxy sees served.

        Work sent would not do: in an overload each refused try counts there once more.
        """
        started = [(b, self._ramp(b, now)) for b in self.backends.values() if b.info.started_ms]
        cold = [(b, ramp) for b, ramp in started if ramp < 1.0]
        if not cold:
            return
        whole = sum(1.0 / b.factor for b in self.backends.values())
        # where most are cold, nobody knows what a warm one takes: count on half the fleet
        strength = max(whole - sum((1.0 - ramp) / b.factor for b, ramp in cold), 0.5 * whole)
        share = COLD_SHARE * self.settings.overload_factor * self.served.mean * periods / strength
        for backend, ramp in cold:
            if backend.heap == REST:
                continue
            # as fast as its kind, or slower: what makes a single one look faster may be chance
            earned = share * ramp / max(backend.factor, self.speeds.of_kind(backend.info.kind))
            # also for the proxies that do not keep to it
            earned *= self.subset.proxies / self.kept_by[backend.heap]
            # saved up over the rule's time at most, also where a stall has made this update a long one
            most = earned / periods * self.settings.fall_ms / PERIOD_MS
            backend.credit = min(backend.credit + earned, most)
