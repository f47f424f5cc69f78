"""Several pools of backends behind one host, with a `Balancer` for each pool.

Separate balancers keep the overload of one pool from affecting the others.
"""

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
    """A request, which is kept until it has ended and none of its attempts is in flight."""

    arrival: api.Arrival
    deadline: float
    # The pools that were tried, each with the number of attempts sent before it.
    pools: list[tuple[str, int]] = field(default_factory=list)
    sent: int = 0
    in_flight: int = 0
    has_ended: bool = False
    may_have_run: bool = False

    def pool_of(self, attempt: int) -> tuple[str, int]:
        """Return the pool of an attempt, and the number of attempts sent before those to this pool."""
        return next(tried for tried in reversed(self.pools) if tried[1] <= attempt)


def _hash(text: str) -> int:
    """Return a 64-bit hash of a text; it is the same in all processes."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest())


def _unit_hash(pool: str, key: int) -> float:
    """Return a number between 0 and 1 for weighted rendezvous hashing; it is the same in all proxies."""
    return (_hash(f"{key} {pool}") + 0.5) / 2.0**64


class Pools:
    """The balancers of a proxy with routes, by pool."""

    def __init__(self, settings: api.Settings, seed: int, discovered: str = "") -> None:
        self.settings, self.seed = settings, seed
        self.discovered = discovered  # The pool of list entries without a pool's name.
        self.random = random.Random(seed)
        self.route_limits = RouteLimiter()
        self.balancers: dict[str, Balancer] = {}
        self.requests: dict[int, PooledRequest] = {}
        # By token: the pool, its balancer and the balancer's token.  Entries are removed when timers fire.
        self.timers: dict[int, tuple[str, Balancer, int]] = {}
        self.last_timer = 0
        self.actions: list[api.Action] = []

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """Process an event and return the actions that the host must carry out, in order.

        Raises:
            UnexpectedEventError: the event belongs to a health check or a streamed response.
        """
        self.actions = []
        match event:
            case api.Arrival():
                self._request_arrived(now_ms, event)
            case api.AttemptEnded():
                self._attempt_ended(now_ms, event)
            case api.AttemptStalled():
                self._attempt_stalled(now_ms, event)
            case api.TimerFired():
                pool, balancer, token = self.timers.pop(event.token)
                # The pool may have been removed, or removed and added again, since the timer was set.
                if self.balancers.get(pool) is balancer:
                    self._forward(now_ms, pool, api.TimerFired(token))
            case api.RequestClosed():
                self._request_closed(now_ms, event)
            case _:
                self._handle_general(now_ms, event)
        return self.actions

    def _handle_general(self, now: float, event: api.Event) -> None:
        """Process an event that does not concern a single request."""
        match event:
            case api.BackendList():
                self._list_received(now, event)
            case api.NewSettings():
                self._new_settings(now, event)
            case api.BeginMaintenance() | api.EndMaintenance():
                for name in self.balancers:  # A pool without this backend is not affected.
                    self._forward(now, name, event)
            case _:
                raise UnexpectedEventError(f"pools do not support the event {event!r}")

    def _new_settings(self, now: float, event: api.NewSettings) -> None:
        self.settings = event.settings
        for name in [name for name in self.balancers if self._is_unused(name)]:
            del self.balancers[name]
        for name in self.balancers:
            self._forward(now, name, api.NewSettings(self._pool_settings(name)))

    def _pool_settings(self, pool: str) -> api.Settings:
        return self.settings if pool == self.discovered else replace(self.settings, watch_list=False)

    def _is_unused(self, name: str) -> bool:
        """Return whether a pool has no backends, and none of its requests or attempts is in progress."""
        pool = self.balancers[name]
        return name != self.discovered and not (pool.endpoints.backends or pool.requests or pool.in_flight)

    def _list_received(self, now: float, update: api.BackendList) -> None:
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
                settings, seed = self._pool_settings(name), self.seed ^ _hash(name)
                self.balancers[name] = Balancer(settings, seed, self.route_limits)
                kind = api.ListKind.CACHED
            self._forward(now, name, api.BackendList(kind, by_pool.get(name, [])))

    def _forward(self, now: float, pool: str, event: api.Event) -> None:
        """Forward an event to a pool's balancer and collect its actions."""
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

    def _request_arrived(self, now: float, arrival: api.Arrival) -> None:
        policy, ident = arrival.policy, arrival.request
        retry_after = None if policy is None else self.route_limits.admit(now, policy)
        if retry_after is not None:
            self.actions.append(api.Reject(ident, min(retry_after, self.settings.max_retry_after_ms)))
            return
        request = self.requests[ident] = PooledRequest(arrival, now + arrival.time_left_ms)
        pool = self._choose_pool(request)
        if pool is None:
            self.actions.append(api.Reject(ident))  # No pool of its split has been listed.
            self._finish(ident)
            return
        request.pools.append((pool, 0))
        self._forward(now, pool, arrival)

    def _choose_pool(self, request: PooledRequest) -> str | None:
        """Return a pool of the split that this request has not tried, chosen by weight, or None.

        A request with an idempotency key gets the same pool again when its client retries it.
        """
        policy, tried = request.arrival.policy, [pool for pool, _ in request.pools]
        split = policy.split if policy and policy.split else ((self.discovered, 1.0),)
        untried = [(n, w) for n, w in split if w > 0.0 and n in self.balancers and n not in tried]
        if not untried:
            return None
        key = request.arrival.idempotency_key
        if key is None:
            return self.random.choices([n for n, _ in untried], [w for _, w in untried])[0]
        return max(untried, key=lambda entry: -entry[1] / math.log(_unit_hash(entry[0], key)))[0]

    def _spill(self, now: float, request: PooledRequest) -> bool:
        """Send a rejected request to another pool if its route allows it; return whether that was done.

        A rejection says that a retry does no harm.
        """
        policy = request.arrival.policy
        if policy is None or not policy.spills_over or request.has_ended or now >= request.deadline:
            return False
        attempts_left = min(policy.max_attempts, self.settings.max_attempts) - request.sent
        idempotent = policy.request_class.effect is api.Effect.IDEMPOTENT
        pool = (
            self._choose_pool(request)
            if attempts_left > 0 and (idempotent or not request.may_have_run)
            else None
        )
        if pool is None:
            return False
        request.pools.append((pool, request.sent))
        policy, time_left_ms = replace(policy, max_attempts=attempts_left), request.deadline - now
        self._forward(now, pool, replace(request.arrival, time_left_ms=time_left_ms, policy=policy))
        return True

    def _attempt_stalled(self, now: float, stalled: api.AttemptStalled) -> None:
        request = self.requests.get(stalled.request)
        if request is not None and not request.has_ended:
            pool, sent_before = request.pool_of(stalled.attempt)
            self._forward(now, pool, replace(stalled, attempt=stalled.attempt - sent_before))

    def _attempt_ended(self, now: float, ended: api.AttemptEnded) -> None:
        request = self.requests[ended.request]
        pool, sent_before = request.pool_of(ended.attempt)
        request.in_flight -= 1
        request.may_have_run |= ended.outcome not in api.NEVER_RAN
        if ended.finished and not request.has_ended:
            self._finish(ended.request)
        self._forward(
            now, pool, replace(ended, attempt=ended.attempt - sent_before) if sent_before else ended
        )
        self._remove_if_done(ended.request, request)

    def _request_closed(self, now: float, event: api.RequestClosed) -> None:
        request = self.requests.get(event.request)
        if request is not None and not request.has_ended:
            self._finish(event.request)
            self._forward(now, request.pools[-1][0], event)

    def _finish(self, ident: int) -> None:
        request = self.requests[ident]
        request.has_ended = True
        if request.arrival.policy is not None:
            self.route_limits.finished(request.arrival.policy)
        self._remove_if_done(ident, request)

    def _remove_if_done(self, ident: int, request: PooledRequest) -> None:
        if request.has_ended and not request.in_flight:
            self.requests.pop(ident, None)
