"""A strict host for tests: it keeps its own books of what happened and checks the four rules on every action.

Nothing here looks inside the balancer.  Attempts end only when a test says so.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Any

from heronreel.balancer.choice import Balancer
from heronreel.balancer.interface import (
    NEVER_RAN,
    Action,
    Arrival,
    AttemptEnded,
    BackendInfo,
    BackendList,
    CancelAttempt,
    ClientGone,
    DedupScope,
    Effect,
    Event,
    Fail,
    ListKind,
    Outcome,
    Reject,
    RequestClass,
    SetTimer,
    Settings,
    StartAttempt,
    State,
    TimerFired,
)


@dataclass
class Sent:
    backend: int
    at: float
    ends_by: float
    out: bool = True
    maybe: bool = True


@dataclass
class Owed:
    arrival: Arrival
    deadline: float
    attempts: list[Sent] = field(default_factory=list)
    over: bool = False


class RuleBroken(AssertionError):
    pass


class Host:
    def __init__(self, settings: Settings, seed: int = 1, now: float = 1000.0) -> None:
        self.settings = settings
        self.balancer = Balancer(settings, seed)
        self.classes = {klass.name: klass for klass in settings.classes}
        self.now = now
        self.owed: dict[int, Owed] = {}
        self.usable: dict[int, BackendInfo] = {}
        self.known: dict[int, BackendInfo] = {}
        self.timers: list[tuple[float, int]] = []
        self.log: list[Action] = []
        self.cold_work: dict[int, list[tuple[float, float]]] = {}
        self.next_id = 0
        self.live: dict[tuple[int, int], Sent] = {}
        self.unanswered: dict[int, Owed] = {}

    def _do(self, event: Event) -> list[Action]:
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            self._check(action)
        self.log.extend(actions)
        return actions

    def _check(self, action: Action) -> None:
        if isinstance(action, StartAttempt):
            self._check_send(action)
        elif isinstance(action, Reject | Fail):
            owed = self.owed[action.request]
            if owed.over:
                raise RuleBroken("rule 1: a second final answer")
            if self.now > owed.deadline + 20.0:
                raise RuleBroken("rule 1: final answer too late")
            if isinstance(action, Reject) and any(a.maybe for a in owed.attempts):
                klass = self.classes[owed.arrival.request_class]
                shared = klass.effect is Effect.KEYED and klass.dedup_scope is DedupScope.ALL
                if klass.effect is not Effect.IDEMPOTENT and not shared:
                    raise RuleBroken("rule 2: refused though it may have run")
            owed.over = True
            self.unanswered.pop(action.request, None)
        elif isinstance(action, SetTimer):
            assert action.delay_ms >= 0.0
            self.timers.append((self.now + action.delay_ms, action.token))
        elif isinstance(action, CancelAttempt):
            assert action.attempt < len(self.owed[action.request].attempts)

    def _check_send(self, action: StartAttempt) -> None:
        owed = self.owed[action.request]
        if owed.over:
            raise RuleBroken("rule 1: sent after the end")
        if action.backend not in self.usable:
            raise RuleBroken("rule 3: sent to a backend that drains or is gone")
        klass = self.classes[owed.arrival.request_class]
        if len(owed.attempts) >= self.settings.max_attempts:
            raise RuleBroken("more attempts than allowed")
        if not self.settings.hedging and any(a.out for a in owed.attempts):
            raise RuleBroken("rule 2: two attempts out")
        maybe = [a for a in owed.attempts if a.maybe]
        if maybe and klass.effect is Effect.UNSAFE:
            raise RuleBroken("rule 2: an unsafe request sent again")
        if maybe and klass.effect is Effect.KEYED:
            here, there = self.known[action.backend], self.known[maybe[0].backend]
            same = {
                DedupScope.ALL: True,
                DedupScope.ZONE: here.zone == there.zone,
                DedupScope.CELL: here.cell == there.cell,
            }[klass.dedup_scope]
            if not same:
                raise RuleBroken("rule 2: a repeat outside its group")
            if self.now > maybe[0].at + klass.repeat_window_ms:
                raise RuleBroken("rule 2: a repeat outside its window")
        limit = action.timeout_ms or float("inf")
        sent = Sent(action.backend, self.now, min(owed.deadline, self.now + limit))
        self.live[action.request, len(owed.attempts)] = sent
        owed.attempts.append(sent)
        self.cold_work.setdefault(action.backend, []).append((self.now, owed.arrival.hint_ms))

    def listed(self, kind: ListKind, *infos: BackendInfo) -> list[Action]:
        if kind in (ListKind.FULL, ListKind.CACHED):
            self.usable = {}
        for info in infos:
            self.known[info.backend] = info
            if info.state is State.UP:
                self.usable[info.backend] = info
            else:
                self.usable.pop(info.backend, None)
        return self._do(BackendList(kind, list(infos)))

    def arrive(
        self,
        klass: str = "",
        hint: float = 50.0,
        left: float = 2000.0,
        tenant: str = "",
        key: int | None = None,
        retry: bool = False,
    ) -> int:
        ident = self.next_id
        self.next_id += 1
        arrival = Arrival(ident, klass or self.settings.classes[0].name, left, tenant, key, hint, retry)
        self.owed[ident] = self.unanswered[ident] = Owed(arrival, self.now + left)
        self._do(arrival)
        return ident

    def end(self, ident: int, attempt: int, outcome: Outcome, latency: float | None = None) -> list[Action]:
        owed = self.owed[ident]
        sent = owed.attempts[attempt]
        assert sent.out
        sent.out = False
        del self.live[ident, attempt]
        sent.maybe = outcome not in NEVER_RAN
        if outcome is Outcome.SERVED:
            owed.over = True
            self.unanswered.pop(ident, None)
        took = self.now - sent.at if latency is None else latency
        return self._do(AttemptEnded(ident, attempt, sent.backend, outcome, took, owed.over))

    def leave(self, ident: int) -> None:
        self.owed[ident].over = True
        self.unanswered.pop(ident, None)
        self._do(ClientGone(ident))

    def out(self) -> list[tuple[int, int]]:
        return list(self.live)

    def run_to(self, now: float) -> None:
        """Let time pass: timers and the time-outs of attempts come due in order."""
        while True:
            due = min((at for at, _ in self.timers), default=float("inf"))
            late = [(sent.ends_by, i, n) for (i, n), sent in self.live.items()]
            first = min(late, default=(float("inf"), 0, 0))
            if min(due, first[0]) > now:
                break
            if first[0] <= due:
                self.now = max(self.now, first[0])
                self.end(first[1], first[2], Outcome.TIMEOUT)
            else:
                timer = min(self.timers)
                self.timers.remove(timer)
                self.now = max(self.now, timer[0])
                self._do(TimerFired(timer[1]))
            self.check_nothing_forgotten()
        self.now = now
        self.check_nothing_forgotten()

    def check_nothing_forgotten(self) -> None:
        for owed in self.unanswered.values():
            if self.now > owed.deadline + 20.0:
                raise RuleBroken("rule 1: no final answer in time")


def fleet(count: int) -> list[BackendInfo]:
    return [BackendInfo(100 + n, zone=f"z{n % 2}", cell=n // 4) for n in range(count)]


def large(**changes: Any) -> Settings:
    """What a proxy of a large fleet is told, and what a test changes of it."""
    klass = RequestClass("read", 400.0, 2000.0, effect=Effect.IDEMPOTENT)
    base = Settings(
        (klass,),
        max_attempts=4,
        slow_start_from=0.2,
        slow_start_ms=20_000.0,
        overload_window_ms=2000.0,
        overload_factor=4.0,
    )
    return replace(base, **changes)
