"""Several pools behind one host: a `Balancer` for each, so that one pool's jam refuses nothing of another's.

Speaks the same interface as a Balancer.  Here is decided which pool a route's request goes to, and what the
route's rate and concurrency turn away; everything else is the pool's Balancer's.
"""

from __future__ import annotations

import hashlib
import math
import random
from dataclasses import dataclass, field, replace

from heronreel.balancer import interface as api
from heronreel.balancer.choice import Balancer
from heronreel.balancer.routes import RouteBooks


@dataclass(slots=True)
class Life:
    """One request, until it is over and nothing of it is out."""

    arrival: api.Arrival
    deadline: float
    legs: list[tuple[str, int]] = field(default_factory=list)  # pools tried, and attempts sent before each
    sent: int = 0
    out: int = 0
    over: bool = False
    may_have_run: bool = False


def _mixed(text: str, number: int) -> float:
    """A number between 0 and 1 that all proxies draw alike for a pool and a key."""
    digest = hashlib.blake2b(b"%d %b" % (number, text.encode()), digest_size=8).digest()
    return (int.from_bytes(digest) + 0.5) / 2.0**64


class Pools:
    def __init__(self, settings: api.Settings, seed: int, discovered: str = "") -> None:
        self.settings = settings
        self.seed = seed
        self.discovered = discovered  # the pool that lists without a pool's name belong to
        self.random = random.Random(seed)
        self.books = RouteBooks()
        self.balancers: dict[str, Balancer] = {}
        self.lives: dict[int, Life] = {}
        self.timers: dict[int, tuple[str, Balancer, int]] = {}  # each ends when it fires
        self.last_timer = 0
        self.actions: list[api.Action] = []

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        self.actions = []
        match event:
            case api.Arrival():
                self._arrival(now_ms, event)
            case api.AttemptEnded():
                self._attempt_ended(now_ms, event)
            case api.TimerFired():
                pool, balancer, token = self.timers.pop(event.token)
                if self.balancers.get(pool) is balancer:  # else the pool has gone, and may have come again
                    self._tell(now_ms, pool, api.TimerFired(token))
            case api.BackendList():
                self._list(now_ms, event)
            case api.NewSettings():
                self.settings = event.settings
                for name in [name for name in self.balancers if self._is_over(name)]:
                    del self.balancers[name]
                for name in self.balancers:
                    self._tell(now_ms, name, api.NewSettings(self._settings_of(name)))
            case api.ClientGone():
                self._gone(now_ms, event.request)
            case api.HoldBackend() | api.ReleaseBackend():
                for name in self.balancers:  # one that has no such backend has nothing to hold
                    self._tell(now_ms, name, event)
            case _:
                raise ValueError(f"no such event of pools: {event!r}")
        return self.actions

    def _settings_of(self, pool: str) -> api.Settings:
        return self.settings if pool == self.discovered else replace(self.settings, watch_list=False)

    def _is_over(self, name: str) -> bool:
        """A pool that no file names any more, once its last request has ended."""
        pool = self.balancers[name]
        return name != self.discovered and not (pool.backends or pool.requests or pool.sent)

    def _list(self, now: float, news: api.BackendList) -> None:
        if news.kind is api.ListKind.FAILED:
            self._tell(now, self.discovered, news)
            return
        by_pool: dict[str, list[api.BackendInfo]] = {}
        for info in news.backends:
            by_pool.setdefault(info.pool or self.discovered, []).append(info)
        whole = news.kind is not api.ListKind.CHANGES
        if self.discovered and not self.balancers:
            by_pool.setdefault(self.discovered, [])
        for name in dict.fromkeys([*by_pool, *(self.balancers if whole else ())]):
            if name not in self.balancers:
                digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
                seed = self.seed ^ int.from_bytes(digest)
                self.balancers[name] = Balancer(self._settings_of(name), seed, self.books)
                self._tell(now, name, api.BackendList(api.ListKind.CACHED, by_pool.get(name, [])))
            else:
                self._tell(now, name, api.BackendList(news.kind, by_pool.get(name, [])))

    def _tell(self, now: float, pool: str, event: api.Event) -> None:
        """Hand an event to a pool's balancer and take up what it wants done."""
        for action in self.balancers[pool].handle(now, event):
            match action:
                case api.SetTimer(token, delay_ms):
                    self.last_timer += 1
                    self.timers[self.last_timer] = (pool, self.balancers[pool], token)
                    self.actions.append(api.SetTimer(self.last_timer, delay_ms))
                case api.StartAttempt(ident):
                    life = self.lives[ident]
                    life.sent, life.out = life.sent + 1, life.out + 1
                    self.actions.append(action)
                case api.Refuse(ident):
                    if not self._spill(now, self.lives[ident]):
                        self.actions.append(action)
                        self._over(ident)
                case api.Fail(ident):
                    self.actions.append(action)
                    self._over(ident)
                case _:
                    self.actions.append(action)

    def _arrival(self, now: float, arrival: api.Arrival) -> None:
        policy = arrival.policy
        if policy is not None:
            advice = self.books.admit(now, policy)
            if advice is not None:
                wait = min(advice, self.settings.max_retry_after_ms)
                self.actions.append(api.Refuse(arrival.request, wait))
                return
        life = self.lives[arrival.request] = Life(arrival, now + arrival.time_left_ms)
        pool = self._pool_of(life)
        if pool is None:
            self.actions.append(api.Refuse(arrival.request))  # no pool of its split has ever been listed
            self._over(arrival.request)
            return
        life.legs.append((pool, 0))
        self._tell(now, pool, arrival)

    def _pool_of(self, life: Life) -> str | None:
        """A pool of the split that this request has not tried, by weight.

        A request with a repeat key goes where its key leads (weighted rendezvous), so that a client's own
        repeat of it finds the same pool, and a change of weights moves few keys.
        """
        policy, tried = life.arrival.policy, [pool for pool, _ in life.legs]
        split = policy.split if policy and policy.split else ((self.discovered, 1.0),)
        open_ones = [(n, w) for n, w in split if w > 0.0 and n in self.balancers and n not in tried]
        if not open_ones:
            return None
        key = life.arrival.repeat_key
        if key is None:
            return self.random.choices([n for n, _ in open_ones], [w for _, w in open_ones])[0]
        return max(open_ones, key=lambda share: -share[1] / math.log(_mixed(share[0], key)))[0]

    def _spill(self, now: float, life: Life) -> bool:
        """A refusal says that trying again does no harm; where the route allows, the next pool is tried."""
        policy = life.arrival.policy
        if policy is None or not policy.spills or life.over or now >= life.deadline:
            return False
        left = min(policy.max_attempts, self.settings.max_attempts) - life.sent
        harmless = policy.klass.effect is api.Effect.IDEMPOTENT or not life.may_have_run
        pool = self._pool_of(life) if left > 0 and harmless else None
        if pool is None:
            return False
        life.legs.append((pool, life.sent))
        policy = replace(policy, max_attempts=left)
        self._tell(now, pool, replace(life.arrival, time_left_ms=life.deadline - now, policy=policy))
        return True

    def _attempt_ended(self, now: float, ended: api.AttemptEnded) -> None:
        life = self.lives[ended.request]
        pool, before = next(leg for leg in reversed(life.legs) if leg[1] <= ended.attempt)
        life.out -= 1
        life.may_have_run |= ended.outcome not in api.NEVER_RAN
        if ended.finished and not life.over:
            self._over(ended.request)
        self._tell(now, pool, replace(ended, attempt=ended.attempt - before) if before else ended)
        self._forget(ended.request, life)

    def _gone(self, now: float, ident: int) -> None:
        life = self.lives.get(ident)
        if life is not None and not life.over:
            self._over(ident)
            self._tell(now, life.legs[-1][0], api.ClientGone(ident))

    def _over(self, ident: int) -> None:
        life = self.lives[ident]
        life.over = True
        if life.arrival.policy is not None:
            self.books.over(life.arrival.policy)
        self._forget(ident, life)

    def _forget(self, ident: int, life: Life) -> None:
        if life.over and not life.out:
            self.lives.pop(ident, None)
