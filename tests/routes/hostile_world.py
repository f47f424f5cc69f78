"""A host in virtual time that plays files of routes against the real decision module, with a hostile world.

It carries out the module's actions as the network code does, decides with a seeded draw how long connects,
stalls and answers take and how attempts end, and keeps the books of what truly ran in its own way: a timeline
for `heronreel.routes.timeline` to judge.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from heronreel.balancer import interface as api
from heronreel.balancer.pools import Pools
from heronreel.routes.model import RoutesFile
from heronreel.routes.timeline import EventKind, RequestTerms, TimelineEvent, broken_rules
from heronreel.serve.policies import Router, discovered_pool, members_of, settings_of

GRACE_MS = 50.0
HOUR_MS = 3.6e6


@dataclass
class Attempt:
    number: int
    backend: int
    group: str
    ends_at: float
    send_by: float
    written: bool = False
    ended: bool = False


@dataclass
class ClientRequest:
    ident: int
    line: int  # of the timeline: a client that comes back has the same one
    deadline: float
    waits_until: float
    key: int
    policy: api.RoutePolicy
    attempts: list[Attempt] = field(default_factory=list)
    finals: list[float] = field(default_factory=list)


class World:
    """`stalls` up to that many ms; `blind`: the module believes that keys are remembered for an hour."""

    def __init__(self, file: RoutesFile, seed: int, stalls: tuple[float, ...], blind: bool = False) -> None:
        self.file, self.random, self.stalls, self.blind = file, random.Random(seed), stalls, blind
        self.route = file.routes[0]
        self.limits = file.process.limits
        self.pools = Pools(settings_of(file), seed, discovered_pool(file))
        self.router = Router(file)
        self.now = 0.0
        self.due: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0
        self.requests: dict[int, ClientRequest] = {}
        self.steps: list[TimelineEvent] = []
        self.infos: dict[int, api.BackendInfo] = {}
        for number, member in enumerate(members_of(file).endpoints):
            self.infos[number] = api.BackendInfo(
                number, member.state, member.zone, member.kind, member.cell, pool=member.pool
            )
        self.telling = False
        self.events: list[api.Event] = []
        self.tell(api.BackendList(api.ListKind.CACHED, list(self.infos.values())))
        self.method = min(self.route.match.methods, default="POST")

    def terms(self) -> RequestTerms:
        """What the requests truly are: only a key and its group make a POST harmless to repeat."""
        effect, policy = api.Effect.IDEMPOTENT, self.route.policy
        if self.method in ("POST", "PATCH"):
            keyed = policy.effect is api.Effect.KEYED
            effect = api.Effect.KEYED if keyed else api.Effect.UNSAFE
        return RequestTerms(effect, policy.deduplication_window_ms, self.limits.client_wait_ms + GRACE_MS)

    def at(self, when: float, then: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.due, (when, self.count, then))

    def run(self, requests: int) -> dict[str, str]:
        """Play so many requests to their end; the rules broken."""
        for number in range(requests):
            self.at(self.random.choice((0.0, 40.0, 700.0, 3000.0)), lambda n=number: self.arrive(n, n))  # type: ignore[misc]
        last = 0.0
        while self.due:
            self.now, _, then = heapq.heappop(self.due)
            if self.now > 60_000.0 and not [a for a in self.requests.values() if not a.finals]:
                break  # only the module's own clock goes on
            then()
            last = max(last, self.now)
        found: dict[str, str] = {}
        for line in {step.request for step in self.steps}:
            found |= broken_rules([s for s in self.steps if s.request == line], self.terms())
        for request in self.requests.values():
            if len(request.finals) != 1:
                found["lost"] = f"{len(request.finals)} answers"
        return {rule: words for rule, words in found.items() if rule in ("lost", "twice")}

    def tell(self, event: api.Event) -> None:
        self.events.append(event)
        if self.telling:
            return
        self.telling = True
        while self.events:
            for action in self.pools.handle(self.now, self.events.pop(0)):
                self.carry_out(action)
        self.telling = False

    def arrive(self, line: int, key: int, again: bool = False) -> None:
        policy = self.router.find(b"h", b"/x", self.method.encode(), {b"idempotency-key": b"k"})
        assert policy
        policy = replace(
            policy, retry_budget_ratio=policy.retry_budget_ratio and 1.0
        )  # budgets must not hide what is unsafe
        if self.blind:
            policy = replace(
                policy,
                request_class=replace(policy.request_class, repeat_window_ms=HOUR_MS),
                window_margin_ms=0.0,
            )
        ident = len(self.requests)
        waits = self.now + self.limits.client_wait_ms
        request = ClientRequest(ident, line, self.now + policy.request_class.deadline_ms, waits, key, policy)
        self.requests[ident] = request
        self.steps.append(TimelineEvent(self.now, EventKind.RETURNS if again else EventKind.ARRIVES, line))
        self.at(request.deadline, lambda: self.deadline(request))
        left = policy.request_class.deadline_ms
        self.tell(
            api.Arrival(
                ident, policy.request_class.name, left, hint_ms=20.0, policy=policy, idempotency_key=key
            )
        )

    def carry_out(self, action: api.Action) -> None:
        match action:
            case api.StartAttempt():
                self.start(action)
            case api.SetTimer(token, delay):
                self.at(self.now + delay + self.late(), lambda: self.tell(api.TimerFired(token)))
            case api.Reject(ident, after):
                self.final(self.requests[ident], EventKind.REFUSED)
                self.at(self.now + after, lambda: self.come_back(ident))
            case api.Fail(ident):
                self.final(self.requests[ident], EventKind.FAILED)

    def late(self) -> float:
        return self.random.choice(self.stalls)

    def come_back(self, ident: int) -> None:
        request = self.requests[ident]
        if ident == request.line and self.now < request.waits_until:  # once
            self.arrive(request.line, request.key, True)

    def final(self, request: ClientRequest, what: EventKind) -> None:
        if not request.finals:
            self.steps.append(TimelineEvent(self.now, what, request.line))
        request.finals.append(self.now)

    def start(self, action: api.StartAttempt) -> None:
        request, decided = self.requests[action.request], self.now
        info = self.infos[action.backend]
        scope = self.route.policy.deduplication_scope
        group = {api.DedupScope.CELL: str(info.cell), api.DedupScope.ZONE: info.zone}.get(scope, "all")
        send_by = decided + action.within_ms if action.within_ms and not self.blind else float("inf")
        ends_at = (
            min(request.deadline, decided + action.timeout_ms) if action.timeout_ms else request.deadline
        )
        one = Attempt(len(request.attempts), action.backend, group, ends_at, send_by)
        request.attempts.append(one)
        if decided >= ends_at or request.finals:
            self.end(request, one, api.Outcome.NOT_SENT)
            return
        connect = self.random.choice((0.0, 1.0, 0.5, 1.0)) * self.limits.connect_timeout_ms
        if self.random.random() < 0.1:
            self.at(min(decided + connect, ends_at), lambda: self.end(request, one, api.Outcome.UNREACHABLE))
            return
        self.at(ends_at + self.late(), lambda: self.end(request, one, api.Outcome.TIMEOUT))
        if decided + connect < ends_at:
            self.at(decided + connect + self.late(), lambda: self.write(request, one))

    def write(self, request: ClientRequest, one: Attempt) -> None:
        if one.ended:
            return
        if request.finals or self.now >= one.send_by:
            self.end(request, one, api.Outcome.NOT_SENT)
            return
        one.written = True
        outcome = self.random.choice((
            api.Outcome.SERVED, api.Outcome.ERROR, api.Outcome.RESET, api.Outcome.REJECTED,
            api.Outcome.TIMEOUT, api.Outcome.TIMEOUT,
        ))  # fmt: skip
        if outcome is not api.Outcome.REJECTED:
            self.steps.append(TimelineEvent(self.now, EventKind.SENT, request.line, one.number, one.group))
        if outcome is not api.Outcome.TIMEOUT:
            took = self.random.choice((0.0, 1.0, 30.0, 340.0, 900.0, 2400.0))
            self.at(self.now + took, lambda: self.end(request, one, outcome))

    def end(self, request: ClientRequest, one: Attempt, outcome: api.Outcome) -> None:
        if one.ended:
            return
        one.ended = True
        if outcome is api.Outcome.TIMEOUT and not one.written:
            outcome = api.Outcome.UNREACHABLE  # its connection ends with it, so it can never run
        if outcome is api.Outcome.SERVED and not request.finals:
            self.final(request, EventKind.SERVED)
        ids = (request.ident, one.number, one.backend)
        self.tell(api.AttemptEnded(*ids, outcome, 10.0, bool(request.finals)))

    def deadline(self, request: ClientRequest) -> None:
        for one in request.attempts:
            self.end(request, one, api.Outcome.TIMEOUT)
        if not request.finals:
            self.final(request, EventKind.FAILED)
            self.tell(api.RequestClosed(request.ident))
