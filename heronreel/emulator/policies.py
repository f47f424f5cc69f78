"""The policies that a rehearsal can run: the balancer, baselines for comparison, and faulty policies.

Each policy takes the events of `heronreel.balancer.interface` and returns its actions, like the real module,
so the same host runs all of them.  The baselines follow the rules and poll the endpoint list as often as the
balancer.  They differ only in the choice of the node and in whether they retry.  Each faulty policy breaks
one rule, to show that the invariant checker reports it.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from heapq import nlargest
from typing import ClassVar, Protocol

from heronreel.balancer import interface as api
from heronreel.balancer import subset, turns
from heronreel.balancer.choice import Balancer
from heronreel.balancer.endpoints import Endpoints
from heronreel.balancer.subset import Subset, rendezvous_hash
from heronreel.balancer.turns import TurnQueue
from heronreel.balancer.watch_schedule import WatchSchedule
from heronreel.emulator.errors import UnknownPolicyError

WATCH_TIMER = 1
RETRY_AFTER_RATIO = 0.5  # mean Retry-After of the baselines, as a share of the latency objective
MAX_HOMES = 8  # nodes of a key's preference order that bounded-load hashing considers
MAX_CACHED_KEYS = 4096  # keys whose homes one proxy caches
LOAD_BOUND = 1.25  # maximum load of a node over the mean in bounded-load hashing; the usual value
MAX_RANKS = 20_000  # backends whose ranks are cached
MAX_SHARED_HOMES = 500_000  # keys whose homes are cached for all proxies
NEW_FOR_MS = 10_000.0  # how long `ColdNodePolicy` prefers a new node
MAX_COMPARED = 40  # maximum number of nodes that the oracle policy compares


class Decider(Protocol):
    """Makes the decisions of one proxy process."""

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """Handle an event and return the resulting actions."""


class NodeOracle(Protocol):
    """Access to the real, current state of the nodes, which only an emulator has."""

    def wait_ms(self, zone: str, backend: int, work: float) -> float:
        """Return the ms until a node would respond; infinite if it would not respond."""


@dataclass(slots=True)
class PendingRequest:
    """A request without a response.  Times are ms."""

    arrival: api.Arrival
    request_class: api.RequestClass
    deadline: float
    attempted: list[int] = field(default_factory=list)
    in_flight: int = 0
    uncertain: tuple[int, float] | None = None  # node and time of an attempt that may have run


class BaselinePolicy:
    """Base of the baselines: follows the rules and chooses nodes with `pick`.

    A request is attempted up to `max_attempts` times as long as no attempt may have run.
    """

    def __init__(
        self, settings: api.Settings, seed: int, oracle: NodeOracle | None = None, max_attempts: int = 1
    ) -> None:
        self.settings, self.oracle = settings, oracle
        self.max_attempts = min(max_attempts, settings.max_attempts)
        self.random = random.Random(seed)
        self.watch = WatchSchedule(settings.watch_within_ms, settings.proxies)
        self.classes = {klass.name: klass for klass in settings.classes}
        self.infos: dict[int, api.BackendInfo] = {}
        self.order: list[int] = []
        self.load: dict[int, int] = {}  # attempts in flight
        self.pending: dict[int, PendingRequest] = {}
        self.sent_at: dict[tuple[int, int], float] = {}  # (request, attempt) in flight
        self.started = False
        self.actions: list[api.Action] = []

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """Handle an event and return the resulting actions."""
        self.actions = []
        match event:
            case api.Arrival():
                klass = self.classes[event.request_class]
                pending = PendingRequest(event, klass, now_ms + event.time_left_ms)
                self.pending[event.request] = pending
                self._go_on(now_ms, pending)
            case api.AttemptEnded():
                self._ended(now_ms, event)
            case api.RequestClosed():
                self.pending.pop(event.request, None)
            case api.BackendList():
                self._list(now_ms, event)
            case api.TimerFired(token) if token == WATCH_TIMER:
                self.watch.call_started(now_ms)
                self.actions.append(api.WatchList())
            case api.NewSettings():
                self.settings = event.settings
        return self.actions

    def _list(self, now: float, update: api.BackendList) -> None:
        if not self.started:
            self.started = True
            if self.settings.watch_list:
                self.actions.append(api.SetTimer(WATCH_TIMER, self.watch.first_delay(self.random)))
        if update.kind is api.ListKind.FAILED:
            wait = self.watch.call_failed(now, self.random, update.failure)
            if wait is not None:
                self.actions.append(api.SetTimer(WATCH_TIMER, wait))
            return
        self.watch.list_received(now)
        if update.kind is not api.ListKind.CHANGES:
            self.infos.clear()
        for info in update.backends:
            self.entry(info)
        self.order = list(self.infos)
        self.random.shuffle(self.order)

    def entry(self, info: api.BackendInfo) -> None:
        """Apply one entry of the endpoint list."""
        if info.state is api.BackendState.UP:
            self.infos[info.backend] = info
        else:
            self.infos.pop(info.backend, None)

    def _ended(self, now: float, ended: api.AttemptEnded) -> None:
        sent_at = self.sent_at.pop((ended.request, ended.attempt))
        self.load[ended.backend] = self.load.get(ended.backend, 1) - 1
        if not self.load[ended.backend]:
            del self.load[ended.backend]
        pending = self.pending.get(ended.request)
        if pending is None:
            return
        pending.in_flight -= 1
        if ended.finished:
            del self.pending[ended.request]
            return
        if ended.outcome not in api.NEVER_RAN and pending.uncertain is None:
            pending.uncertain = (ended.backend, sent_at)
        if not pending.in_flight:
            self._go_on(now, pending, ended.outcome)

    def may_retry(self, now: float, pending: PendingRequest) -> bool:
        """Return whether to retry after an attempt that may have run."""
        return False

    def _go_on(self, now: float, pending: PendingRequest, last: api.Outcome | None = None) -> None:
        may_have_run = pending.uncertain is not None
        again = not pending.attempted or not may_have_run or self.may_retry(now, pending)
        chosen = None
        if now < pending.deadline and len(pending.attempted) < self.max_attempts and again:
            chosen = self.pick(now, pending)
        if chosen is not None:
            self.send(now, pending, chosen)
            return
        self.give_up(now, pending)

    def send(self, now: float, pending: PendingRequest, chosen: int) -> None:
        """Start an attempt at node `chosen`."""
        ident = pending.arrival.request
        self.sent_at[ident, len(pending.attempted)] = now
        pending.attempted.append(chosen)
        pending.in_flight += 1
        self.load[chosen] = self.load.get(chosen, 0) + 1
        self.actions.append(api.StartAttempt(ident, chosen, self.timeout(pending)))

    def timeout(self, pending: PendingRequest) -> float:
        """Return the timeout of an attempt in ms; 0 is none."""
        return 0.0

    def give_up(self, now: float, pending: PendingRequest) -> None:
        """Refuse the request if a client may safely retry it, else fail it."""
        ident, klass = pending.arrival.request, pending.request_class
        del self.pending[ident]
        deduped_everywhere = klass.effect is api.Effect.KEYED and klass.dedup_scope is api.DedupScope.ALL
        if pending.uncertain is None or deduped_everywhere or klass.effect is api.Effect.IDEMPOTENT:
            retry_after_ms = klass.latency_objective_ms * RETRY_AFTER_RATIO * self.random.uniform(0.5, 1.5)
            self.actions.append(api.Reject(ident, min(retry_after_ms, self.settings.max_retry_after_ms)))
        else:
            self.actions.append(api.Fail(ident))

    def pick(self, now: float, pending: PendingRequest) -> int | None:
        """Choose the node for the next attempt, or None if there is none."""
        raise NotImplementedError

    def not_attempted(self, pending: PendingRequest) -> list[int]:
        """Return the nodes to which the request has not been sent."""
        return (
            [ident for ident in self.order if ident not in pending.attempted]
            if pending.attempted
            else self.order
        )


class RandomPolicy(BaselinePolicy):
    """Chooses a node at random."""

    def pick(self, now: float, pending: PendingRequest) -> int | None:
        """Choose a random node."""
        left = self.not_attempted(pending)
        return self.random.choice(left) if left else None


class RoundRobinPolicy(BaselinePolicy):
    """Chooses the nodes in turn."""

    turn = 0

    def pick(self, now: float, pending: PendingRequest) -> int | None:
        """Choose the next node in turn."""
        if not self.order:
            return None
        self.turn += 1
        return self.order[self.turn % len(self.order)]


class PowerOfTwoPolicy(BaselinePolicy):
    """Draws two nodes and chooses the one with fewer of this proxy's attempts in flight.

    This is the power of two choices.
    """

    def pick(self, now: float, pending: PendingRequest) -> int | None:
        """Choose the less loaded of two random nodes."""
        left = self.not_attempted(pending)
        if not left:
            return None
        first, second = self.random.choice(left), self.random.choice(left)
        return first if self.load.get(first, 0) <= self.load.get(second, 0) else second


class BoundedLoadHashPolicy(BaselinePolicy):
    """Chooses the first node of a key's preference order that is not over the load bound."""

    def __init__(
        self, settings: api.Settings, seed: int, oracle: NodeOracle | None = None, max_attempts: int = 1
    ) -> None:
        super().__init__(settings, seed, oracle, max_attempts)
        self.homes: dict[int, list[int]] = {}

    def _list(self, now: float, update: api.BackendList) -> None:
        super()._list(now, update)
        self.homes.clear()

    def pick(self, now: float, pending: PendingRequest) -> int | None:
        """Choose the first of the key's homes below the load bound, else the least loaded node."""
        if not self.order:
            return None
        key = pending.arrival.key or 0
        if key not in self.homes:
            if len(self.homes) >= MAX_CACHED_KEYS:
                self.homes.clear()
            self.homes[key] = nlargest(MAX_HOMES, self.order, key=lambda ident: rendezvous_hash(key, ident))
        max_load = LOAD_BOUND * (sum(self.load.values()) + 1) / len(self.order)
        for home in self.homes[key]:
            if home not in pending.attempted and self.load.get(home, 0) + 1 <= max(1.0, max_load):
                return home
        left = self.not_attempted(pending)
        return min(left, key=lambda ident: self.load.get(ident, 0), default=None)


class OraclePolicy(BaselinePolicy):
    """Knows the real load of every node, and refuses a request that no node would serve in time."""

    def pick(self, now: float, pending: PendingRequest) -> int | None:
        """Choose the node that responds first, or None if none responds in time."""
        assert self.oracle is not None
        left = self.not_attempted(pending)
        if len(left) > MAX_COMPARED:
            left = self.random.sample(left, MAX_COMPARED)
        best, shortest = None, pending.deadline - now
        for ident in left:
            wait = self.oracle.wait_ms(self.settings.zone, ident, pending.arrival.hint_ms or 1.0)
            if wait < shortest:
                best, shortest = ident, wait
        return best


class RetryStormPolicy(PowerOfTwoPolicy):
    """Times out at the latency objective, and retries at any node up to the limit, without a retry budget."""

    def timeout(self, pending: PendingRequest) -> float:
        """The latency objective."""
        return pending.request_class.latency_objective_ms

    def may_retry(self, now: float, pending: PendingRequest) -> bool:
        """Retry idempotent requests."""
        return pending.request_class.effect is api.Effect.IDEMPOTENT


class RequestLosingPolicy(PowerOfTwoPolicy):
    """Drops a request without a response when it has no attempts left."""

    def give_up(self, now: float, pending: PendingRequest) -> None:
        """Drop the request without a response."""
        del self.pending[pending.arrival.request]


class UnsafeRetryPolicy(PowerOfTwoPolicy):
    """Retries at any node, even if an earlier attempt may have run."""

    def timeout(self, pending: PendingRequest) -> float:
        """The latency objective."""
        return pending.request_class.latency_objective_ms

    def may_retry(self, now: float, pending: PendingRequest) -> bool:
        """Always retry."""
        return True


class DrainIgnoringPolicy(PowerOfTwoPolicy):
    """Keeps using draining nodes."""

    def entry(self, info: api.BackendInfo) -> None:
        """Treat every listed node as up."""
        super().entry(replace(info, state=api.BackendState.UP))


class ColdNodePolicy(PowerOfTwoPolicy):
    """Prefers the newest node because it is idle."""

    def pick(self, now: float, pending: PendingRequest) -> int | None:
        """Choose the newest node while it is new, else the less loaded of two."""
        newest = max((info.started_ms for info in self.infos.values()), default=0.0)
        fresh = [
            i for i, info in self.infos.items() if info.started_ms == newest and now - newest < NEW_FOR_MS
        ]
        fresh = [ident for ident in fresh if ident not in pending.attempted]
        return self.random.choice(fresh) if newest and fresh else super().pick(now, pending)


class SharedRanks(Subset):
    """Ranks of all proxies for a backend, sorted once for the whole fleet.

    `Subset` counts the rank for each proxy, which took a third of the run time of a rehearsal of ten seconds
    with 200 proxies and 200 nodes.  The ranks are equal (`tests/emulator/test_fleet_scenarios.py`).
    """

    tables: ClassVar[dict[tuple[int, int], list[int]]] = {}

    def rank(self, backend: int) -> int:
        """Return this proxy's rank for a backend."""
        if self.proxies <= subset.PROXIES_PER_BACKEND:
            return 0
        table = self.tables.get((backend, self.proxies))
        if table is None:
            if len(self.tables) >= MAX_RANKS:
                self.tables.clear()
            order = sorted((subset.proxy_hash(backend, slot), slot) for slot in range(self.proxies))
            table = [0] * self.proxies
            for rank, (_, slot) in enumerate(order):
                table[slot] = rank
            self.tables[backend, self.proxies] = table
        return table[self.index]


class SharedKeyHomes(dict[int, list[int]]):
    """One proxy's homes of keys, shared by all proxies with the same set of near nodes."""

    tables: ClassVar[dict[tuple[int, int], list[int]]] = {}
    places: ClassVar[dict[frozenset[int], int]] = {}  # numbers of the sets of near nodes
    numbers: ClassVar[Iterator[int]] = itertools.count()

    def __init__(self) -> None:
        super().__init__()
        self.place = -1

    def among(self, near: frozenset[int]) -> None:
        """Use the homes among this set of nodes from now on."""
        if len(self.places) >= MAX_RANKS:
            # Numbers are never reused, so homes stored under earlier numbers stay valid.
            self.places.clear()
        if near not in self.places:
            self.places[near] = next(self.numbers)
        self.place = self.places[near]

    def __contains__(self, key: object) -> bool:
        if super().__contains__(key):
            return True
        found = self.tables.get((self.place, key))  # type: ignore[arg-type]
        if found is None:
            return False
        if len(self) >= turns.MAX_REMEMBERED_KEYS:
            del self[next(iter(self))]
        super().__setitem__(key, found)  # type: ignore[index]
        return True

    def __setitem__(self, key: int, homes: list[int]) -> None:
        super().__setitem__(key, homes)
        if len(self.tables) >= MAX_SHARED_HOMES:
            self.tables.clear()
        self.tables[self.place, key] = homes


class SharedEndpoints(Endpoints):
    """Endpoints whose ranks are computed once for all proxies."""

    subset_type = SharedRanks


class SharedTurns(TurnQueue):
    """A turn queue whose owners of keys are computed once for all proxies."""

    def __init__(self, endpoints: Endpoints) -> None:
        super().__init__(endpoints)
        self.shared = SharedKeyHomes()
        self.key_owners = self.shared

    def rebuild(self) -> None:
        """Recompute the owners of keys among the near backends."""
        super().rebuild()
        endpoints = self.endpoints
        near = (
            i for i, b in endpoints.backends.items() if not endpoints.near_count or endpoints.is_near(b.info)
        )
        self.shared.among(frozenset(near))


class HostedBalancer(Balancer):
    """The real balancer, with the values that all proxies share computed once."""

    endpoints_type = SharedEndpoints
    turns_type = SharedTurns


def _make_balancer(settings: api.Settings, seed: int, oracle: NodeOracle | None) -> Decider:
    return HostedBalancer(settings, seed)


def _baseline(
    policy_class: Callable[..., BaselinePolicy], max_attempts: int
) -> Callable[[api.Settings, int, NodeOracle | None], Decider]:
    return lambda settings, seed, oracle: policy_class(settings, seed, oracle, max_attempts)


DEFAULT_POLICY = "heronreel"
POLICIES: dict[str, Callable[[api.Settings, int, NodeOracle | None], Decider]] = {
    DEFAULT_POLICY: _make_balancer,
    "random": _baseline(RandomPolicy, 1),
    "round-robin": _baseline(RoundRobinPolicy, 1),
    "least-of-two": _baseline(PowerOfTwoPolicy, 1),
    "least-of-two-retry": _baseline(PowerOfTwoPolicy, 2),
    "bounded-hash": _baseline(BoundedLoadHashPolicy, 2),
    "sees-all": _baseline(OraclePolicy, 2),
}
BASELINES = tuple(name for name in POLICIES if name != DEFAULT_POLICY)
FAULTY_POLICIES: dict[str, Callable[[api.Settings, int, NodeOracle | None], Decider]] = {
    "careless-lost": _baseline(RequestLosingPolicy, 1),
    "careless-twice": _baseline(UnsafeRetryPolicy, 4),
    "careless-drain": _baseline(DrainIgnoringPolicy, 1),
    "careless-cold": _baseline(ColdNodePolicy, 4),
    "storm": _baseline(RetryStormPolicy, 4),
}


def make_policy(name: str, settings: api.Settings, seed: int, oracle: NodeOracle | None = None) -> Decider:
    """Create the decider of a named policy.  Raises UnknownPolicyError."""
    factory = (POLICIES | FAULTY_POLICIES).get(name)
    if factory is None:
        raise UnknownPolicyError(name)
    return factory(settings, seed, oracle)
