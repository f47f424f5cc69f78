"""A simulation in virtual time that runs routes files on the real decision module under faults.

It executes the module's actions as the network code does.  Seeded random choices decide how long connects,
event loop stalls and responses take, and how attempts end.  It records what truly ran in a timeline of its
own, which `heronreel.routes.timeline` checks.
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

RESPONSE_GRACE_MS = 50.0  # How much longer clients wait than the file declares.
HOUR_MS = 3.6e6


@dataclass
class Attempt:
    """An attempt that the decision module started."""

    number: int
    backend: int
    group: str
    ends_at: float
    send_by: float
    written: bool = False
    ended: bool = False


@dataclass
class ClientRequest:
    """A request of a client; its retry after a refusal is a request of its own."""

    ident: int
    timeline_id: int  # A client that returns keeps its timeline.
    deadline: float
    waits_until: float
    key: int
    policy: api.RoutePolicy
    attempts: list[Attempt] = field(default_factory=list)
    finals: list[float] = field(default_factory=list)


class World:
    """The simulated clients, backends and network around the decision module.

    `stalls` are the delays in ms from which those of the event loop are drawn.  With `ignore_window` the
    module and the network code assume a deduplication window of an hour, so that their guards have no effect.
    """

    def __init__(
        self, file: RoutesFile, seed: int, stalls: tuple[float, ...], ignore_window: bool = False
    ) -> None:
        self.file, self.random = file, random.Random(seed)
        self.stalls, self.ignore_window = stalls, ignore_window
        self.route = file.routes[0]
        self.limits = file.process.limits
        self.pools = Pools(settings_of(file), seed, discovered_pool(file))
        self.router = Router(file)
        self.now = 0.0
        self.scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self.scheduled_count = 0
        self.requests: dict[int, ClientRequest] = {}
        self.timeline: list[TimelineEvent] = []
        self.infos: dict[int, api.BackendInfo] = {}
        for number, member in enumerate(members_of(file).endpoints):
            self.infos[number] = api.BackendInfo(
                number, member.state, member.zone, member.kind, member.cell, pool=member.pool
            )
        self.is_handling = False
        self.events: list[api.Event] = []
        self.handle(api.BackendList(api.ListKind.CACHED, list(self.infos.values())))
        self.method = min(self.route.match.methods, default="POST")

    def terms(self) -> RequestTerms:
        """Return the true terms of the requests: a POST can be repeated only with a key in its group."""
        effect, policy = api.Effect.IDEMPOTENT, self.route.policy
        if self.method in ("POST", "PATCH"):
            keyed = policy.effect is api.Effect.KEYED
            effect = api.Effect.KEYED if keyed else api.Effect.UNSAFE
        return RequestTerms(
            effect, policy.deduplication_window_ms, self.limits.client_wait_ms + RESPONSE_GRACE_MS
        )

    def schedule(self, at_ms: float, callback: Callable[[], None]) -> None:
        """Run a callback at a virtual time; callbacks of the same time run in the order of scheduling."""
        self.scheduled_count += 1
        heapq.heappush(self.scheduled, (at_ms, self.scheduled_count, callback))

    def run(self, requests: int) -> dict[str, str]:
        """Run this number of requests to their end and return the rules that were broken."""
        for number in range(requests):
            arrives_at = self.random.choice((0.0, 40.0, 700.0, 3000.0))
            self.schedule(arrives_at, lambda n=number: self.start_request(n, n))  # type: ignore[misc]
        last = 0.0
        while self.scheduled:
            self.now, _, callback = heapq.heappop(self.scheduled)
            if self.now > 60_000.0 and not [a for a in self.requests.values() if not a.finals]:
                break  # Only the module's own timers are left.
            callback()
            last = max(last, self.now)
        violations: dict[str, str] = {}
        for timeline_id in {event.request for event in self.timeline}:
            events = [event for event in self.timeline if event.request == timeline_id]
            violations |= broken_rules(events, self.terms())
        for request in self.requests.values():
            if len(request.finals) != 1:
                violations["lost"] = f"{len(request.finals)} responses"
        return {rule: text for rule, text in violations.items() if rule in ("lost", "twice")}

    def handle(self, event: api.Event) -> None:
        """Pass an event to the decision module and execute its actions; nested events are queued."""
        self.events.append(event)
        if self.is_handling:
            return
        self.is_handling = True
        while self.events:
            for action in self.pools.handle(self.now, self.events.pop(0)):
                self.execute(action)
        self.is_handling = False

    def start_request(self, timeline_id: int, key: int, returns: bool = False) -> None:
        """Start a request; `returns` if the client retries after a refusal."""
        policy = self.router.find(b"h", b"/x", self.method.encode(), {b"idempotency-key": b"k"})
        assert policy
        # A small budget could hide an unsafe policy, because it suppresses the repeats.
        policy = replace(policy, retry_budget_ratio=policy.retry_budget_ratio and 1.0)
        if self.ignore_window:
            policy = replace(
                policy,
                request_class=replace(policy.request_class, repeat_window_ms=HOUR_MS),
                window_margin_ms=0.0,
            )
        ident = len(self.requests)
        waits_until = self.now + self.limits.client_wait_ms
        deadline = self.now + policy.request_class.deadline_ms
        request = ClientRequest(ident, timeline_id, deadline, waits_until, key, policy)
        self.requests[ident] = request
        kind = EventKind.RETURNS if returns else EventKind.ARRIVES
        self.timeline.append(TimelineEvent(self.now, kind, timeline_id))
        self.schedule(request.deadline, lambda: self.reach_deadline(request))
        remaining_ms = policy.request_class.deadline_ms
        self.handle(
            api.Arrival(
                ident,
                policy.request_class.name,
                remaining_ms,
                hint_ms=20.0,
                policy=policy,
                idempotency_key=key,
            )
        )

    def execute(self, action: api.Action) -> None:
        match action:
            case api.StartAttempt():
                self.start_attempt(action)
            case api.SetTimer(token, delay):
                self.schedule(
                    self.now + delay + self.draw_stall(), lambda: self.handle(api.TimerFired(token))
                )
            case api.Reject(ident, after):
                self.respond(self.requests[ident], EventKind.REFUSED)
                self.schedule(self.now + after, lambda: self.return_client(ident))
            case api.Fail(ident):
                self.respond(self.requests[ident], EventKind.FAILED)

    def draw_stall(self) -> float:
        return self.random.choice(self.stalls)

    def return_client(self, ident: int) -> None:
        """Let a client retry once after a refusal, while it still waits."""
        request = self.requests[ident]
        if ident == request.timeline_id and self.now < request.waits_until:
            self.start_request(request.timeline_id, request.key, True)

    def respond(self, request: ClientRequest, kind: EventKind) -> None:
        if not request.finals:
            self.timeline.append(TimelineEvent(self.now, kind, request.timeline_id))
        request.finals.append(self.now)

    def start_attempt(self, action: api.StartAttempt) -> None:
        request, decided_at = self.requests[action.request], self.now
        info = self.infos[action.backend]
        scope = self.route.policy.deduplication_scope
        group = {api.DedupScope.CELL: str(info.cell), api.DedupScope.ZONE: info.zone}.get(scope, "all")
        send_by = (
            decided_at + action.within_ms if action.within_ms and not self.ignore_window else float("inf")
        )
        ends_at = (
            min(request.deadline, decided_at + action.timeout_ms) if action.timeout_ms else request.deadline
        )
        attempt = Attempt(len(request.attempts), action.backend, group, ends_at, send_by)
        request.attempts.append(attempt)
        if decided_at >= ends_at or request.finals:
            self.end_attempt(request, attempt, api.Outcome.NOT_SENT)
            return
        connect = self.random.choice((0.0, 1.0, 0.5, 1.0)) * self.limits.connect_timeout_ms
        if self.random.random() < 0.1:
            self.schedule(
                min(decided_at + connect, ends_at),
                lambda: self.end_attempt(request, attempt, api.Outcome.UNREACHABLE),
            )
            return
        self.schedule(
            ends_at + self.draw_stall(), lambda: self.end_attempt(request, attempt, api.Outcome.TIMEOUT)
        )
        if decided_at + connect < ends_at:
            self.schedule(
                decided_at + connect + self.draw_stall(), lambda: self.write_first_byte(request, attempt)
            )

    def write_first_byte(self, request: ClientRequest, attempt: Attempt) -> None:
        if attempt.ended:
            return
        if request.finals or self.now >= attempt.send_by:
            self.end_attempt(request, attempt, api.Outcome.NOT_SENT)
            return
        attempt.written = True
        outcome = self.random.choice((
            api.Outcome.SERVED, api.Outcome.ERROR, api.Outcome.RESET, api.Outcome.REJECTED,
            api.Outcome.TIMEOUT, api.Outcome.TIMEOUT,
        ))  # fmt: skip
        if outcome is not api.Outcome.REJECTED:
            event = TimelineEvent(
                self.now, EventKind.SENT, request.timeline_id, attempt.number, attempt.group
            )
            self.timeline.append(event)
        if outcome is not api.Outcome.TIMEOUT:
            duration_ms = self.random.choice((0.0, 1.0, 30.0, 340.0, 900.0, 2400.0))
            self.schedule(self.now + duration_ms, lambda: self.end_attempt(request, attempt, outcome))

    def end_attempt(self, request: ClientRequest, attempt: Attempt, outcome: api.Outcome) -> None:
        if attempt.ended:
            return
        attempt.ended = True
        if outcome is api.Outcome.TIMEOUT and not attempt.written:
            outcome = api.Outcome.UNREACHABLE  # Its connection is closed as well, so it can never run.
        if outcome is api.Outcome.SERVED and not request.finals:
            self.respond(request, EventKind.SERVED)
        ids = (request.ident, attempt.number, attempt.backend)
        self.handle(api.AttemptEnded(*ids, outcome, 10.0, bool(request.finals)))

    def reach_deadline(self, request: ClientRequest) -> None:
        for attempt in request.attempts:
            self.end_attempt(request, attempt, api.Outcome.TIMEOUT)
        if not request.finals:
            self.respond(request, EventKind.FAILED)
            self.handle(api.RequestClosed(request.ident))
