"""A route under check: its deduplication groups, and the timelines that its policy allows."""

from __future__ import annotations

from heronreel.balancer.interface import DedupScope, Effect
from heronreel.routes.findings import Witness
from heronreel.routes.model import (
    DEDUP_SCOPE_NAMES,
    Path,
    PlatformLimits,
    Problem,
    RetryScope,
    Route,
    RoutesFile,
)
from heronreel.routes.timeline import EventKind, RequestTerms, TimelineEvent

OUTCOME_TEXTS = {
    "timeout": "timed out",
    "reset": "the connection broke",
    "error": "answered with an error",
}


class CheckedRoute:
    """A route with its file and limits; builds the witnesses of the checks."""

    def __init__(self, file: RoutesFile, limits: PlatformLimits, route: Route) -> None:
        self.file = file
        self.limits = limits
        self.route = route
        self.policy = route.policy
        self.group = self.group_name(0)

    def group_name(self, index: int) -> str:
        """Return the deduplication group at this index, with its configured name if it has one."""
        if self.policy.deduplication_scope is DedupScope.ALL:
            return "the fleet"
        named = sorted(self.deduplication_groups() or ())
        kind = DEDUP_SCOPE_NAMES[self.policy.deduplication_scope]
        return f"{kind} {named[index]}" if index < len(named) and named[index] else f"{kind} {index + 1}"

    def deduplication_groups(self, pools: tuple[str, ...] | None = None) -> frozenset[str] | None:
        """Return the deduplication groups of the given pools, by default of all pools of the route.

        Returns None if a pool's members come from discovery, so that its groups are unknown.
        """
        names = pools if pools is not None else tuple(share.pool for share in self.route.split)
        groups: set[str] = set()
        for name in names:
            pool_groups = self.file.pools[name].groups(self.policy.deduplication_scope)
            if pool_groups is None:
                return None
            groups |= pool_groups
        return frozenset(groups)

    def problem(self, field: str, wrong: str, right: str, rule: str) -> Problem:
        """Return a problem of one field of the route.

        Its line is that of the field, or of the field in [defaults] if it is inherited, or of the route.
        """
        path: Path = ("routes", self.route.index, field)
        if path not in self.file.lines and ("defaults", field) in self.file.lines:
            origin = self.route.origins.get(field)
            path = ("defaults", field) if origin == "defaults" else path
        return Problem(self.file.line(*path), f"routes.{self.route.name}.{field}", wrong, right, rule)

    def terms(self, effect: Effect | None = None, window_ms: float | None = None) -> RequestTerms:
        """Return the terms of the route's requests; the effect and the window default to the policy's."""
        return RequestTerms(
            effect or self.policy.effect,
            self.policy.deduplication_window_ms if window_ms is None else window_ms,
            self.limits.client_wait_ms,
            self.limits.max_attempts,
            self.limits.second_copies,
        )

    def outcome_that_may_have_run(self) -> str:
        """Return an outcome that the policy retries although the attempt may have run."""
        for outcome in ("timeout", "reset", "error"):
            if outcome in self.policy.unsafe_retry_outcomes:
                return outcome
        return "timeout"

    def first_attempt(self, group: str | None = None) -> list[TimelineEvent]:
        """Return the events of a request that arrives and is sent at once."""
        group = group or self.group
        return [
            TimelineEvent(0.0, EventKind.ARRIVES),
            TimelineEvent(
                0.0, EventKind.SENT, attempt=0, group=group, note=f"sent to {group}, where it takes effect"
            ),
        ]

    def attempt_ended(self, at: float, outcome: str, attempt: int = 0) -> TimelineEvent:
        """Return the end of an attempt that failed for the proxy although the backend ran it."""
        return TimelineEvent(
            at, EventKind.ENDED, attempt=attempt, note=f"{OUTCOME_TEXTS[outcome]}, though it ran"
        )

    def retried_at_once(self, group: str, terms: RequestTerms, first: str | None = None) -> Witness:
        """Return a witness in which an attempt fails after it ran and is retried in `group`.

        The first attempt goes to the group `first`, by default to the route's first group.
        """
        attempt_ms = self.policy.max_attempt_ms
        outcome = self.outcome_that_may_have_run()
        ended_at = attempt_ms if outcome == "timeout" else min(1.0, attempt_ms)
        retried_at = min(ended_at + self.policy.backoff_before(1), self.policy.deadline_ms)
        note = f"sent again to {group}, where it takes effect a second time"
        events = [
            *self.first_attempt(first),
            self.attempt_ended(ended_at, outcome),
            TimelineEvent(retried_at, EventKind.SENT, attempt=1, group=group, note=note),
            TimelineEvent(retried_at, EventKind.SERVED),
        ]
        return Witness("twice", terms, tuple(events))

    def hedged(
        self, group: str, terms: RequestTerms, rule: str = "twice", first: str | None = None
    ) -> Witness:
        """Return a witness in which a hedged request goes to `group` while the first attempt runs."""
        hedge_after_ms = self.policy.hedge_after_ms
        hedged_at = hedge_after_ms or min(1.0, self.policy.deadline_ms)
        note = f"second copy sent to {group} while the first runs"
        events = [
            *self.first_attempt(first),
            TimelineEvent(hedged_at, EventKind.SENT, attempt=1, group=group, note=note),
            TimelineEvent(hedged_at, EventKind.SERVED),
        ]
        return Witness(rule, terms, tuple(events))

    def may_leave_group(self, scope: RetryScope) -> bool:
        """Return whether a retry within this scope may reach a group that does not know the key."""
        if self.policy.effect is not Effect.KEYED or scope is RetryScope.GROUP:
            return False
        if scope is RetryScope.SPLIT:
            groups = self.deduplication_groups()
            return groups is None or len(groups) > 1
        groups_by_pool = [self.deduplication_groups((share.pool,)) for share in self.route.split]
        return any(groups is None or len(groups) > 1 for groups in groups_by_pool)

    def two_groups(self, scope: RetryScope) -> tuple[str, str]:
        """Return the group that knows the key and another that a retry may reach.

        The groups have their configured names where those are known at load.
        """
        kind = DEDUP_SCOPE_NAMES[self.policy.deduplication_scope]
        pools_of_retry: list[tuple[str, ...]] = [(share.pool,) for share in self.route.split]
        if scope is RetryScope.SPLIT:
            pools_of_retry = [tuple(share.pool for share in self.route.split)]
        for pools in pools_of_retry:
            groups = self.deduplication_groups(pools)
            if groups and len(groups) > 1:
                first, second = sorted(groups)[:2]
                return f"{kind} {first or '(none)'}", f"{kind} {second or '(none)'}"
        return f"{kind} 1", f"{kind} 2"

    def _unreachable_promise(self, promised: TimelineEvent, end: float, note: str) -> Witness:
        """Return a witness in which the request ends before what the file promises can happen."""
        events = (
            TimelineEvent(0.0, EventKind.ARRIVES),
            promised,
            TimelineEvent(0.0, EventKind.SENT, attempt=0, group=self.group, note="sent"),
            TimelineEvent(end, EventKind.FAILED, note=note),
        )
        return Witness("promise", RequestTerms(Effect.IDEMPOTENT), events)

    def attempt_never_sent(self, attempt: int, end: float) -> Witness:
        """Return a witness in which the request ends before the promised attempt is sent."""
        note = f"the file promises attempt {attempt + 1}"
        promised = TimelineEvent(0.0, EventKind.PROMISED, attempt=attempt, note=note)
        return self._unreachable_promise(promised, end, "the deadline ends the request before that")

    def deadline_before(self, until: float, promise: str) -> Witness:
        """Return a witness in which the deadline ends the request before a promised time, in ms."""
        note = f"the file promises {promise} {until:,.0f} ms"
        promised = TimelineEvent(0.0, EventKind.PROMISED, until_ms=until, note=note)
        return self._unreachable_promise(promised, self.policy.deadline_ms, "the deadline ends the request")

    def hedge_field(self) -> str:
        """Return the name of the field that enables hedged requests."""
        return "second_copy_after_ms" if self.policy.hedge_after_ms else "second_copy_percentile"
