"""Several pools behind one host, a `Balancer` for each, so that one pool's overload spares the others."""

import hashlib
import math
import random
from dataclasses import dataclass, field, replace

from heronreel.balancer import interface as api
from heronreel.balancer.choice import Balancer
from heronreel.balancer.errors import UnexpectedEventError
from heronreel.balancer.routes import RouteLimiter


@dataclass(slots=True)
class PooledRequest:
    """One request, until it is over and nothing of it is in flight."""

    arrival: api.Arrival
    deadline: float
    pools: list[tuple[str, int]] = field(default_factory=list)  # tried, and attempts sent before each
    sent: int = 0
    in_flight: int = 0
    over: bool = False
    may_have_run: bool = False


def _hash(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest())


def _unit_hash(pool: str, key: int) -> float:
    """A number between 0 and 1 that all proxies draw alike for a pool and a key (weighted rendezvous)."""
    return (_hash(f"{key} {pool}") + 0.5) / 2.0**64


class Pools:
    """The balancers of one proxy with routes, by pool."""

    def __init__(self, settings: api.Settings, seed: int, discovered: str = "") -> None:
        self.settings, self.seed = settings, seed
        self.discovered = discovered  # the pool that lists without a pool's name belong to
        self.random = random.Random(seed)
        self.route_limits = RouteLimiter()
        self.balancers: dict[str, Balancer] = {}
        self.requests: dict[int, PooledRequest] = {}
        self.timers: dict[int, tuple[str, Balancer, int]] = {}  # each ends when it fires
        self.last_timer = 0
        self.actions: list[api.Action] = []

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """As `Balancer.handle`.  Raises UnexpectedEventError for probes and streams."""
        self.actions = []
        match event:
            case api.Arrival():
                self._arrival(now_ms, event)
            case api.AttemptEnded():
                self._attempt_ended(now_ms, event)
            case api.TimerFired():
                pool, balancer, token = self.timers.pop(event.token)
                if self.balancers.get(pool) is balancer:  # else the pool has gone, and may have come again
                    self._forward(now_ms, pool, api.TimerFired(token))
            case api.BackendList():
                self._list(now_ms, event)
            case api.NewSettings():
                self._new_settings(now_ms, event)
            case api.RequestClosed():
                self._client_gone(now_ms, event)
            case api.BeginMaintenance() | api.EndMaintenance():
                for name in self.balancers:  # one that has no such backend has nothing to take out
                    self._forward(now_ms, name, event)
            case _:
                raise UnexpectedEventError(f"no such event of pools: {event!r}")
        return self.actions

    def _new_settings(self, now: float, event: api.NewSettings) -> None:
        self.settings = event.settings
        for name in [name for name in self.balancers if self._is_over(name)]:
            del self.balancers[name]
        for name in self.balancers:
            self._forward(now, name, api.NewSettings(self._settings_of(name)))

    def _settings_of(self, pool: str) -> api.Settings:
        return self.settings if pool == self.discovered else replace(self.settings, watch_list=False)

    def _is_over(self, name: str) -> bool:
        """A pool that no file names any more, once its last request has ended."""
        pool = self.balancers[name]
        return name != self.discovered and not (pool.endpoints.backends or pool.requests or pool.in_flight)

    def _list(self, now: float, update: api.BackendList) -> None:
        if update.kind is api.ListKind.FAILED:
            self._forward(now, self.discovered, update)
            return
        by_pool: dict[str, list[api.BackendInfo]] = {}
        for info in update.backends:
            by_pool.setdefault(info.pool or self.discovered, []).append(info)
        complete = update.kind is not api.ListKind.CHANGES
        if self.discovered and not self.balancers:
            by_pool.setdefault(self.discovered, [])
        for name in dict.fromkeys([*by_pool, *(self.balancers if complete else ())]):
            kind = update.kind
            if name not in self.balancers:
                settings, seed = self._settings_of(name), self.seed ^ _hash(name)
                self.balancers[name] = Balancer(settings, seed, self.route_limits)
                kind = api.ListKind.CACHED
            self._forward(now, name, api.BackendList(kind, by_pool.get(name, [])))

    def _forward(self, now: float, pool: str, event: api.Event) -> None:
        """Hand an event to a pool's balancer and take up what it wants done."""
        for action in self.balancers[pool].handle(now, event):
            match action:
                case api.SetTimer(token, delay_ms):
                    self.last_timer += 1
                    self.timers[self.last_timer] = (pool, self.balancers[pool], token)
                    self.actions.append(api.SetTimer(self.last_timer, delay_ms))
                    continue
                case api.StartAttempt(ident):
                    request = self.requests[ident]
                    request.sent, request.in_flight = request.sent + 1, request.in_flight + 1
                case api.Reject(ident):
                    if self._spill(now, self.requests[ident]):
                        continue
                    self._finish(ident)
                case api.Fail(ident):
                    self._finish(ident)
            self.actions.append(action)

    def _arrival(self, now: float, arrival: api.Arrival) -> None:
        policy, ident = arrival.policy, arrival.request
        retry_after = None if policy is None else self.route_limits.admit(now, policy)
        if retry_after is not None:
            self.actions.append(api.Reject(ident, min(retry_after, self.settings.max_retry_after_ms)))
            return
        request = self.requests[ident] = PooledRequest(arrival, now + arrival.time_left_ms)
        pool = self._pool_of(request)
        if pool is None:
            self.actions.append(api.Reject(ident))  # no pool of its split has ever been listed
            self._finish(ident)
            return
        request.pools.append((pool, 0))
        self._forward(now, pool, arrival)

    def _pool_of(self, request: PooledRequest) -> str | None:
        """A pool of the split that this request has not tried, by weight; the same for a client's retry."""
        policy, tried = request.arrival.policy, [pool for pool, _ in request.pools]
        split = policy.split if policy and policy.split else ((self.discovered, 1.0),)
        untried = [(n, w) for n, w in split if w > 0.0 and n in self.balancers and n not in tried]
        if not untried:
            return None
        key = request.arrival.idempotency_key
        if key is None:
            return self.random.choices([n for n, _ in untried], [w for _, w in untried])[0]
        return max(untried, key=lambda share: -share[1] / math.log(_unit_hash(share[0], key)))[0]

    def _spill(self, now: float, request: PooledRequest) -> bool:
        """Try the next pool, where the route allows it: a rejection says that a retry does no harm."""
        policy = request.arrival.policy
        if policy is None or not policy.spills_over or request.over or now >= request.deadline:
            return False
        left = min(policy.max_attempts, self.settings.max_attempts) - request.sent
        idempotent = policy.request_class.effect is api.Effect.IDEMPOTENT
        pool = self._pool_of(request) if left > 0 and (idempotent or not request.may_have_run) else None
        if pool is None:
            return False
        request.pools.append((pool, request.sent))
        policy, time_left_ms = replace(policy, max_attempts=left), request.deadline - now
        self._forward(now, pool, replace(request.arrival, time_left_ms=time_left_ms, policy=policy))
        return True

    def _attempt_ended(self, now: float, ended: api.AttemptEnded) -> None:
        request = self.requests[ended.request]
        pool, before = next(each for each in reversed(request.pools) if each[1] <= ended.attempt)
        request.in_flight -= 1
        request.may_have_run |= ended.outcome not in api.NEVER_RAN
        if ended.finished and not request.over:
            self._finish(ended.request)
        self._forward(now, pool, replace(ended, attempt=ended.attempt - before) if before else ended)
        self._forget(ended.request, request)

    def _client_gone(self, now: float, event: api.RequestClosed) -> None:
        request = self.requests.get(event.request)
        if request is not None and not request.over:
            self._finish(event.request)
            self._forward(now, request.pools[-1][0], event)

    def _finish(self, ident: int) -> None:
        request = self.requests[ident]
        request.over = True
        if request.arrival.policy is not None:
            self.route_limits.finished(request.arrival.policy)
        self._forget(ident, request)

    def _forget(self, ident: int, request: PooledRequest) -> None:
        if request.over and not request.in_flight:
            self.requests.pop(ident, None)
