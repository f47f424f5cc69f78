"""A host for tests that checks the rules on every action of a balancer.

It keeps its own record of all events and does not look inside the balancer.  An attempt ends only when a test
ends it or its deadline passes.
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
    AttemptStalled,
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
    """An attempt that the host sent."""

    backend: int
    at: float
    ends_by: float
    in_flight: bool = True
    may_have_run: bool = True


@dataclass
class HostedRequest:
    """A request and the attempts that the balancer started for it."""

    arrival: Arrival
    deadline: float
    attempts: list[SentAttempt] = field(default_factory=list)
    has_ended: bool = False


class RuleViolationError(AssertionError):
    """The balancer returned an action that a rule forbids, or missed a deadline."""


class Host:
    """Hosts one balancer, with its clock, timers and requests."""

    def __init__(self, settings: Settings, seed: int = 1, now: float = 1000.0) -> None:
        self.settings = settings
        self.balancer = Balancer(settings, seed)
        self.classes = {request_class.name: request_class for request_class in settings.classes}
        self.now = now
        self.requests: dict[int, HostedRequest] = {}
        self.usable: dict[int, BackendInfo] = {}
        self.known: dict[int, BackendInfo] = {}
        self.timers: list[tuple[float, int]] = []
        self.log: list[Action] = []
        self.sent_work: dict[int, list[tuple[float, float]]] = {}
        self.next_id = 0
        self.live_attempts: dict[tuple[int, int], SentAttempt] = {}
        self.pending: dict[int, HostedRequest] = {}

    def _handle(self, event: Event) -> list[Action]:
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
            if request.has_ended:
                raise RuleViolationError("rule 1: the request got a second final response")
            if self.now > request.deadline + 20.0:
                raise RuleViolationError("rule 1: the final response came after the deadline")
            if isinstance(action, Reject) and any(a.may_have_run for a in request.attempts):
                request_class = self.classes[request.arrival.request_class]
                shared = request_class.effect is Effect.KEYED and request_class.dedup_scope is DedupScope.ALL
                if request_class.effect is not Effect.IDEMPOTENT and not shared:
                    raise RuleViolationError("rule 2: a request that may have run was rejected")
            request.has_ended = True
            self.pending.pop(action.request, None)
        elif isinstance(action, SetTimer):
            assert action.delay_ms >= 0.0
            self.timers.append((self.now + action.delay_ms, action.token))
        elif isinstance(action, CancelAttempt):
            assert action.attempt < len(self.requests[action.request].attempts)

    def _check_send(self, action: StartAttempt) -> None:
        request = self.requests[action.request]
        if request.has_ended:
            raise RuleViolationError("rule 1: an attempt started after the request had ended")
        if action.backend not in self.usable:
            raise RuleViolationError("rule 3: an attempt went to a draining or removed backend")
        request_class = self.classes[request.arrival.request_class]
        if len(request.attempts) >= self.settings.max_attempts:
            raise RuleViolationError("the request got more attempts than max_attempts")
        in_flight = sum(a.in_flight for a in request.attempts)
        if in_flight > int(self.settings.hedging):
            raise RuleViolationError("rule 2: more attempts of a request are in flight than hedging allows")
        executed = [a for a in request.attempts if a.may_have_run]
        if executed and request_class.effect is Effect.UNSAFE:
            raise RuleViolationError("rule 2: an unsafe request that may have run was sent again")
        if executed and request_class.effect is Effect.KEYED:
            retried, first = self.known[action.backend], self.known[executed[0].backend]
            same_group = {
                DedupScope.ALL: True,
                DedupScope.ZONE: retried.zone == first.zone,
                DedupScope.CELL: retried.cell == first.cell,
            }[request_class.dedup_scope]
            if not same_group:
                raise RuleViolationError("rule 2: a retry left its deduplication group")
            if self.now > executed[0].at + request_class.repeat_window_ms:
                raise RuleViolationError("rule 2: a retry started after its repeat window")
        limit = action.timeout_ms or float("inf")
        sent = SentAttempt(action.backend, self.now, min(request.deadline, self.now + limit))
        self.live_attempts[action.request, len(request.attempts)] = sent
        request.attempts.append(sent)
        self.sent_work.setdefault(action.backend, []).append((self.now, request.arrival.hint_ms))

    def receive_list(self, kind: ListKind, *infos: BackendInfo) -> list[Action]:
        """Send a backend list to the balancer."""
        if kind in (ListKind.FULL, ListKind.CACHED):
            self.usable = {}
        for info in infos:
            self.known[info.backend] = info
            if info.state is BackendState.UP:
                self.usable[info.backend] = info
            else:
                self.usable.pop(info.backend, None)
        return self._handle(BackendList(kind, list(infos)))

    def start_request(
        self,
        request_class: str = "",
        hint_ms: float = 50.0,
        time_left_ms: float = 2000.0,
        tenant: str = "",
        key: int | None = None,
        is_retry: bool = False,
    ) -> int:
        """Send a new request to the balancer and return its id."""
        ident = self.next_id
        self.next_id += 1
        name = request_class or self.settings.classes[0].name
        arrival = Arrival(ident, name, time_left_ms, tenant, key, hint_ms, is_retry)
        self.requests[ident] = self.pending[ident] = HostedRequest(arrival, self.now + time_left_ms)
        self._handle(arrival)
        return ident

    def stall_attempt(self, ident: int, attempt: int) -> list[Action]:
        """Report that the response to an attempt in flight has stopped half-way."""
        return self._handle(AttemptStalled(ident, attempt))

    def end_attempt(
        self, ident: int, attempt: int, outcome: Outcome, latency: float | None = None
    ) -> list[Action]:
        """End an attempt with an outcome; the latency is the time since its start if none is given."""
        request = self.requests[ident]
        sent = request.attempts[attempt]
        assert sent.in_flight
        sent.in_flight = False
        del self.live_attempts[ident, attempt]
        sent.may_have_run = outcome not in NEVER_RAN
        if outcome is Outcome.SERVED:
            request.has_ended = True
            self.pending.pop(ident, None)
        latency_ms = self.now - sent.at if latency is None else latency
        return self._handle(
            AttemptEnded(ident, attempt, sent.backend, outcome, latency_ms, request.has_ended)
        )

    def disconnect_client(self, ident: int) -> None:
        """Disconnect the client of a request."""
        self.requests[ident].has_ended = True
        self.pending.pop(ident, None)
        self._handle(RequestClosed(ident))

    def in_flight(self) -> list[tuple[int, int]]:
        """Return the attempts in flight as pairs of request id and attempt number."""
        return list(self.live_attempts)

    def advance_to(self, now: float) -> None:
        """Advance the clock, firing timers and ending attempts at their deadlines in order."""
        while True:
            timer_at = min((at for at, _ in self.timers), default=float("inf"))
            deadlines = [(sent.ends_by, i, n) for (i, n), sent in self.live_attempts.items()]
            first_deadline = min(deadlines, default=(float("inf"), 0, 0))
            if min(timer_at, first_deadline[0]) > now:
                break
            if first_deadline[0] <= timer_at:
                self.now = max(self.now, first_deadline[0])
                self.end_attempt(first_deadline[1], first_deadline[2], Outcome.TIMEOUT)
            else:
                timer = min(self.timers)
                self.timers.remove(timer)
                self.now = max(self.now, timer[0])
                self._handle(TimerFired(timer[1]))
            self.check_deadlines()
        self.now = now
        self.check_deadlines()

    def check_deadlines(self) -> None:
        """Raise RuleViolationError if a request has no final response after its deadline."""
        for request in self.pending.values():
            if self.now > request.deadline + 20.0:
                raise RuleViolationError("rule 1: the request got no final response by its deadline")


def backend_fleet(count: int) -> list[BackendInfo]:
    """Return backends in two zones, with four backends per cell."""
    return [BackendInfo(100 + n, zone=f"z{n % 2}", cell=n // 4) for n in range(count)]


def large_fleet_settings(**changes: Any) -> Settings:
    """Return the settings of a proxy of a large fleet, with the given changes."""
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
