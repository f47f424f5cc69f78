"""A request's attempts, and which retries the rules and its route allow.  Part of the decisions."""

from dataclasses import dataclass, field

from heronreel.balancer import interface as api
from heronreel.balancer.endpoints import Backend

BASE_COST_MS = 10.0  # fixed part of a request's cost: connection, parsing, logging (ours)
RETRY_BUDGET_RATIO = 0.2  # retries after attempts that may have run, per request (ours)
MAX_RETRY_BUDGET = 10.0  # of these saved up (ours)


@dataclass(slots=True)
class Attempt:
    """One attempt, and what was booked for it."""

    backend: Backend
    sent_at: float
    cost_ms: float
    in_flight_cost: float  # in mean costs
    capacity_share: float  # of the backend, when it was sent
    timeout_ms: float = 0.0  # 0: the request's deadline
    may_have_run: bool = True  # until its outcome proves that it never ran
    in_flight: bool = True


@dataclass(slots=True)
class Request:
    """One request that has no final response yet."""

    arrival: api.Arrival
    request_class: api.RequestClass
    arrived_at: float
    deadline: float
    within_quota: bool
    policy: api.RoutePolicy | None
    attempts: list[Attempt] = field(default_factory=list)
    last_outcome: api.Outcome = api.Outcome.NOT_SENT
    backing_off: bool = False  # before the next attempt, which is taken off the budget already


class RetryRules:
    """Rules 1 and 2 for further attempts, and the budget of a proxy without routes."""

    def __init__(self, settings: api.Settings, route_limits: api.RouteLimits | None) -> None:
        self.settings, self.route_limits = settings, route_limits  # the latter for requests with a policy
        self.budget = MAX_RETRY_BUDGET

    def add_request(self) -> None:
        """Add a request's part to the budget."""
        self.budget = min(MAX_RETRY_BUDGET, self.budget + RETRY_BUDGET_RATIO)

    def allow(self, now: float, request: Request, executed: Attempt | None) -> bool:
        """Whether another attempt may start at that time.  `executed`: the first one that may have run."""
        policy, settings, limits = request.policy, self.settings, self.route_limits
        max_attempts = min(settings.max_attempts, policy.max_attempts) if policy else settings.max_attempts
        if now >= request.deadline or len(request.attempts) >= max_attempts:
            return False
        if executed is None:
            return True
        effect = request.request_class.effect
        window_end = executed.sent_at + request.request_class.repeat_window_ms
        if request.backing_off:  # allowed already, but the timer may have come late
            return effect is not api.Effect.KEYED or now < window_end
        if effect is api.Effect.UNSAFE:
            return False
        if not (limits.may_retry(policy) if policy and limits else self.budget >= 1.0):
            return False
        margin = settings.connect_timeout_ms + (policy.window_margin_ms if policy else 0.0)  # to arrive in it
        return effect is api.Effect.IDEMPOTENT or now < window_end - margin

    def backoff(self, now: float, request: Request, executed: Attempt | None) -> float | None:
        """Pause before the next attempt, ms; None if there may be none after it."""
        policy, pause = request.policy, 0.0
        if policy and request.attempts:
            if request.last_outcome not in policy.retry_on:
                return None
            pause = 0.0 if request.backing_off else policy.backoff_before(len(request.attempts))
        return pause if self.allow(now + pause, request, executed) else None

    def spend(self, request: Request) -> None:
        """Take an attempt after one that may have run off the budget, unless a backoff before it did so."""
        if request.policy and self.route_limits and not request.backing_off:
            self.route_limits.spend(request.policy)
        elif not request.backing_off:
            self.budget -= 1.0

    def rejectable(self, request: Request, executed: Attempt | None) -> bool:
        """Whether a client's own retry does no harm, so that the request may be rejected."""
        if executed is None:
            return True
        if request.policy:
            return request.policy.reject_when_exhausted
        effect, scope = request.request_class.effect, request.request_class.dedup_scope
        return effect is api.Effect.IDEMPOTENT or (effect, scope) == (api.Effect.KEYED, api.DedupScope.ALL)
