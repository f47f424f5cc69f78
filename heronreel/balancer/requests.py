"""The attempts of a request, and the retries that the rules and its route allow."""

from dataclasses import dataclass, field

from heronreel.balancer import interface as api
from heronreel.balancer.endpoints import Backend

# The fixed part of a request's cost: connection handling, parsing and logging.
BASE_COST_MS = 10.0
# The part of an attempt that each request adds to the budget of retries after attempts that may have run.
RETRY_BUDGET_RATIO = 0.2
# The number of retries that can be saved up.
MAX_RETRY_BUDGET = 10.0


@dataclass(slots=True)
class Attempt:
    """One attempt and the cost that was booked for it."""

    backend: Backend
    sent_at: float
    cost_ms: float
    in_flight_cost: float  # In mean booked costs.
    capacity_share: float  # The capacity share of the backend when the attempt was sent.
    timeout_ms: float = 0.0  # 0: the attempt may last until the request's deadline.
    may_have_run: bool = True  # True until the outcome proves that the request did not run.
    in_flight: bool = True
    stalled: bool = False  # Its response has stopped half-way.


@dataclass(slots=True)
class Request:
    """A request that has no final response yet."""

    arrival: api.Arrival
    request_class: api.RequestClass
    arrived_at: float
    deadline: float
    within_quota: bool
    policy: api.RoutePolicy | None
    attempts: list[Attempt] = field(default_factory=list)
    last_outcome: api.Outcome = api.Outcome.NOT_SENT
    # Whether a backoff is in progress; its attempt is already taken from the retry budget.
    backing_off: bool = False


class RetryRules:
    """Decides on further attempts by rules 1 and 2.

    It also holds the retry budget of requests without a route policy.
    """

    def __init__(self, settings: api.Settings, route_limits: api.RouteLimits | None) -> None:
        # The limits of routes apply to requests with a policy.
        self.settings, self.route_limits = settings, route_limits
        self.budget = MAX_RETRY_BUDGET

    def add_request(self) -> None:
        """Add the contribution of one request to the budget."""
        self.budget = min(MAX_RETRY_BUDGET, self.budget + RETRY_BUDGET_RATIO)

    def allow(self, now: float, request: Request, executed: Attempt | None) -> bool:
        """Return whether another attempt may start at `now`.

        `executed` is the first attempt that may have run, if there is one.
        """
        policy, settings, limits = request.policy, self.settings, self.route_limits
        max_attempts = min(settings.max_attempts, policy.max_attempts) if policy else settings.max_attempts
        if now >= request.deadline or len(request.attempts) >= max_attempts:
            return False
        if executed is None:
            return True
        effect = request.request_class.effect
        window_end = executed.sent_at + request.request_class.repeat_window_ms
        if request.backing_off:  # The attempt was allowed before, but the timer may have fired late.
            return effect is not api.Effect.KEYED or now < window_end
        if effect is api.Effect.UNSAFE:
            return False
        if not (limits.may_retry(policy) if policy and limits else self.budget >= 1.0):
            return False
        # The retry must also arrive within the repeat window.
        margin_ms = settings.connect_timeout_ms + (policy.window_margin_ms if policy else 0.0)
        return effect is api.Effect.IDEMPOTENT or now < window_end - margin_ms

    def backoff(self, now: float, request: Request, executed: Attempt | None) -> float | None:
        """Return the backoff in ms before the next attempt, or None if no attempt may follow it."""
        policy, backoff_ms = request.policy, 0.0
        if policy and request.attempts:
            if request.last_outcome not in policy.retry_on:
                return None
            backoff_ms = 0.0 if request.backing_off else policy.backoff_before(len(request.attempts))
        return backoff_ms if self.allow(now + backoff_ms, request, executed) else None

    def spend_retry(self, request: Request) -> None:
        """Take an attempt that follows one that may have run from the budget, unless its backoff did so."""
        if request.policy and self.route_limits and not request.backing_off:
            self.route_limits.spend_retry(request.policy)
        elif not request.backing_off:
            self.budget -= 1.0

    def rejectable(self, request: Request, executed: Attempt | None) -> bool:
        """Return whether the request may be rejected because a retry by the client does no harm."""
        if executed is None:
            return True
        if request.policy:
            return request.policy.reject_when_exhausted
        effect, scope = request.request_class.effect, request.request_class.dedup_scope
        return effect is api.Effect.IDEMPOTENT or (effect, scope) == (api.Effect.KEYED, api.DedupScope.ALL)
