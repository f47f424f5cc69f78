"""A strict host for tests: it keeps its own record of what happened and checks the rules on every action.

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
    BackendState,
    CancelAttempt,
    DedupScope,
    Effect,
    Event,
    Fail,
    ListKind,
    Outcome,
    Reject,
    RequestClass,
    RequestClosed,
    SetTimer,
    Settings,
    StartAttempt,
    TimerFired,
)


@dataclass
class SentAttempt:
    """An attempt as the host sees it."""

    backend: int
    at: float
    ends_by: float
    in_flight: bool = True
    may_have_run: bool = True


@dataclass
class HostedRequest:
    """A request, and the attempts that the balancer made of it."""

    arrival: Arrival
    deadline: float
    attempts: list[SentAttempt] = field(default_factory=list)
    over: bool = False


class RuleViolationError(AssertionError):
    """An action that a rule forbids."""


class Host:
    """One balancer, its clock, timers and requests."""

    def __init__(self, settings: Settings, seed: int = 1, now: float = 1000.0) -> None:
        self.settings = settings
        self.balancer = Balancer(settings, seed)
        self.classes = {each.name: each for each in settings.classes}
        self.now = now
        self.requests: dict[int, HostedRequest] = {}
        self.usable: dict[int, BackendInfo] = {}
        self.known: dict[int, BackendInfo] = {}
        self.timers: list[tuple[float, int]] = []
        self.log: list[Action] = []
        self.cold_work: dict[int, list[tuple[float, float]]] = {}
        self.next_id = 0
        self.live_attempts: dict[tuple[int, int], SentAttempt] = {}
        self.pending: dict[int, HostedRequest] = {}

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
            request = self.requests[action.request]
            if request.over:
                raise RuleViolationError("rule 1: a second final response")
            if self.now > request.deadline + 20.0:
                raise RuleViolationError("rule 1: final response too late")
            if isinstance(action, Reject) and any(a.may_have_run for a in request.attempts):
                request_class = self.classes[request.arrival.request_class]
                shared = request_class.effect is Effect.KEYED and request_class.dedup_scope is DedupScope.ALL
                if request_class.effect is not Effect.IDEMPOTENT and not shared:
                    raise RuleViolationError("rule 2: rejected though it may have run")
            request.over = True
            self.pending.pop(action.request, None)
        elif isinstance(action, SetTimer):
            assert action.delay_ms >= 0.0
            self.timers.append((self.now + action.delay_ms, action.token))
        elif isinstance(action, CancelAttempt):
            assert action.attempt < len(self.requests[action.request].attempts)

    def _check_send(self, action: StartAttempt) -> None:
        request = self.requests[action.request]
        if request.over:
            raise RuleViolationError("rule 1: sent after the end")
        if action.backend not in self.usable:
            raise RuleViolationError("rule 3: sent to a backend that drains or is gone")
        request_class = self.classes[request.arrival.request_class]
        if len(request.attempts) >= self.settings.max_attempts:
            raise RuleViolationError("more attempts than allowed")
        if not self.settings.hedging and any(a.in_flight for a in request.attempts):
            raise RuleViolationError("rule 2: two attempts in flight")
        executed = [a for a in request.attempts if a.may_have_run]
        if executed and request_class.effect is Effect.UNSAFE:
            raise RuleViolationError("rule 2: an unsafe request sent again")
        if executed and request_class.effect is Effect.KEYED:
            here, there = self.known[action.backend], self.known[executed[0].backend]
            same = {
                DedupScope.ALL: True,
                DedupScope.ZONE: here.zone == there.zone,
                DedupScope.CELL: here.cell == there.cell,
            }[request_class.dedup_scope]
            if not same:
                raise RuleViolationError("rule 2: a retry outside its group")
            if self.now > executed[0].at + request_class.repeat_window_ms:
                raise RuleViolationError("rule 2: a retry outside its window")
        limit = action.timeout_ms or float("inf")
        sent = SentAttempt(action.backend, self.now, min(request.deadline, self.now + limit))
        self.live_attempts[action.request, len(request.attempts)] = sent
        request.attempts.append(sent)
        self.cold_work.setdefault(action.backend, []).append((self.now, request.arrival.hint_ms))

    def listed(self, kind: ListKind, *infos: BackendInfo) -> list[Action]:
        if kind in (ListKind.FULL, ListKind.CACHED):
            self.usable = {}
        for info in infos:
            self.known[info.backend] = info
            if info.state is BackendState.UP:
                self.usable[info.backend] = info
            else:
                self.usable.pop(info.backend, None)
        return self._do(BackendList(kind, list(infos)))

    def arrive(
        self,
        request_class: str = "",
        hint: float = 50.0,
        left: float = 2000.0,
        tenant: str = "",
        key: int | None = None,
        retry: bool = False,
    ) -> int:
        ident = self.next_id
        self.next_id += 1
        name = request_class or self.settings.classes[0].name
        arrival = Arrival(ident, name, left, tenant, key, hint, retry)
        self.requests[ident] = self.pending[ident] = HostedRequest(arrival, self.now + left)
        self._do(arrival)
        return ident

    def end(self, ident: int, attempt: int, outcome: Outcome, latency: float | None = None) -> list[Action]:
        request = self.requests[ident]
        sent = request.attempts[attempt]
        assert sent.in_flight
        sent.in_flight = False
        del self.live_attempts[ident, attempt]
        sent.may_have_run = outcome not in NEVER_RAN
        if outcome is Outcome.SERVED:
            request.over = True
            self.pending.pop(ident, None)
        took = self.now - sent.at if latency is None else latency
        return self._do(AttemptEnded(ident, attempt, sent.backend, outcome, took, request.over))

    def disconnect(self, ident: int) -> None:
        self.requests[ident].over = True
        self.pending.pop(ident, None)
        self._do(RequestClosed(ident))

    def in_flight(self) -> list[tuple[int, int]]:
        return list(self.live_attempts)

    def run_to(self, now: float) -> None:
        """Let time pass: timers and the timeouts of attempts come due in order."""
        while True:
            due = min((at for at, _ in self.timers), default=float("inf"))
            late = [(sent.ends_by, i, n) for (i, n), sent in self.live_attempts.items()]
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
            self.check_deadlines()
        self.now = now
        self.check_deadlines()

    def check_deadlines(self) -> None:
        for request in self.pending.values():
            if self.now > request.deadline + 20.0:
                raise RuleViolationError("rule 1: no final response in time")


def fleet(count: int) -> list[BackendInfo]:
    return [BackendInfo(100 + n, zone=f"z{n % 2}", cell=n // 4) for n in range(count)]


def large(**changes: Any) -> Settings:
    """The settings of a proxy of a large fleet, and what a test changes of them."""
    request_class = RequestClass("read", 400.0, 2000.0, effect=Effect.IDEMPOTENT)
    base = Settings(
        (request_class,),
        max_attempts=4,
        slow_start_from=0.2,
        slow_start_ms=20_000.0,
        overload_window_ms=2000.0,
        overload_factor=4.0,
    )
    return replace(base, **changes)
