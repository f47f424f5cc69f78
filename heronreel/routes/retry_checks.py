"""Checks that no request takes effect twice by retries or hedging.

They report further attempts that a deduplication group would not drop.
"""

from __future__ import annotations

from collections.abc import Iterator

from heronreel.balancer.interface import DedupScope, Effect
from heronreel.routes.checked_route import CheckedRoute
from heronreel.routes.findings import Finding, Witness
from heronreel.routes.model import ExhaustedResponse, PlatformLimits, Policy
from heronreel.routes.timeline import EventKind, RequestTerms, TimelineEvent

NON_IDEMPOTENT_METHODS = frozenset(("POST", "PATCH"))  # Of the accepted methods, by RFC 9110, 9.2.2.


def latest_writes(policy: Policy, limits: PlatformLimits) -> list[float]:
    """Return the latest time at which each attempt's first byte is written, in ms after the arrival."""
    latest: list[float] = []
    at = 0.0
    span = policy.max_attempt_ms
    for attempt in range(policy.max_attempts):
        at += policy.backoff_before(attempt)
        latest.append(min(at + limits.connect_timeout_ms, policy.deadline_ms) + limits.clock_margin_ms)
        at = min(at + span + limits.clock_margin_ms, policy.deadline_ms)
    return latest


def window_outlasted(route: CheckedRoute) -> Iterator[Finding]:
    """Report a retry that may be written after its group's deduplication window has ended."""
    policy, limits = route.policy, route.limits
    if policy.effect is not Effect.KEYED or not (policy.unsafe_retry_outcomes or policy.hedges):
        return
    window = policy.deduplication_window_ms
    if window <= limits.connect_timeout_ms + limits.clock_margin_ms:
        return  # `window_too_short` reports this case.
    latest = latest_writes(policy, limits)
    late = next((n for n, at in enumerate(latest) if n and at >= window), None)
    if late is None:
        return
    max_deadline_ms = window - limits.clock_margin_ms
    right = (
        f"deadline_ms under {max_deadline_ms:,.0f}, fewer attempts or shorter time-outs, "
        "so that the last attempt starts before that"
    )
    wrong = f"attempt {late + 1} may start at {latest[late]:,.0f} ms, past the window of {window:,.0f} ms"
    problem = route.problem("attempts", wrong, right, "window-outlasted")
    yield Finding(problem, Witness("twice", route.terms(), _retried_too_late(route, late, latest[late])))


def _retried_too_late(route: CheckedRoute, late: int, written_at: float) -> tuple[TimelineEvent, ...]:
    """Return the events up to attempt `late`, whose first byte is written after the window has ended."""
    policy = route.policy
    events, at = route.first_attempt(), 0.0
    outcome = route.outcome_that_may_have_run()
    for attempt in range(late):
        at = min(at + policy.max_attempt_ms, policy.deadline_ms)
        events.append(route.attempt_ended(at, outcome, attempt))
        at += policy.backoff_before(attempt + 1)
        if attempt + 1 < late:
            note = "sent again, dropped"
            events.append(
                TimelineEvent(at, EventKind.SENT, attempt=attempt + 1, group=route.group, note=note)
            )
    window = policy.deduplication_window_ms
    note = f"sent again after connecting: {route.group} forgot the key at {window:,.0f} ms"
    events.append(TimelineEvent(written_at, EventKind.SENT, attempt=late, group=route.group, note=note))
    events.append(TimelineEvent(written_at, EventKind.SERVED))
    return tuple(events)


def window_too_short(route: CheckedRoute) -> Iterator[Finding]:
    """Report a deduplication window that may end before a retry can reach the group."""
    policy, limits = route.policy, route.limits
    if policy.effect is not Effect.KEYED or not (policy.unsafe_retry_outcomes or policy.hedges):
        return
    needed = limits.connect_timeout_ms + limits.clock_margin_ms
    window = policy.deduplication_window_ms
    if window > needed:
        return
    wrong = f"a window of {window:,.0f} ms, while a repeat may need {needed:,.0f} ms to reach the group"
    right = 'set the time for which the group drops repeats, or retry_on = ["not-run"] and no second copy'
    retried_at = max(needed, window)
    note = f"sent again: {route.group} has forgotten the key"
    events = [
        *route.first_attempt(),
        route.attempt_ended(0.0, "reset"),
        TimelineEvent(retried_at, EventKind.SENT, attempt=1, group=route.group, note=note),
        TimelineEvent(retried_at, EventKind.SERVED),
    ]
    problem = route.problem("window_ms", wrong, right, "window-too-short")
    yield Finding(problem, Witness("twice", RequestTerms(Effect.KEYED, window), tuple(events)))


def retry_of_unsafe(route: CheckedRoute) -> Iterator[Finding]:
    """Report an unsafe request that is retried after an outcome in which it may have run."""
    if route.policy.effect is not Effect.UNSAFE:
        return
    for outcome in sorted(route.policy.unsafe_retry_outcomes):
        wrong = f"retries an unsafe request after {outcome!r}, when it may have run"
        right = 'retry_on = ["not-run"], or effect = "keyed" if a group drops repeats'
        problem = route.problem("retry_on", wrong, right, "repeat-of-unsafe")
        yield Finding(problem, route.retried_at_once(route.group_name(1), route.terms()))
        return


def hedge_of_unsafe(route: CheckedRoute) -> Iterator[Finding]:
    """Report hedging of an unsafe request."""
    if route.policy.effect is Effect.UNSAFE and route.policy.hedges:
        wrong = "a second copy of an unsafe request"
        right = 'no second copy, or effect = "keyed" or "safe"'
        problem = route.problem(route.hedge_field(), wrong, right, "copy-of-unsafe")
        yield Finding(problem, route.hedged(route.group_name(1), route.terms()))


def write_called_safe(route: CheckedRoute) -> Iterator[Finding]:
    """Report POST and PATCH requests that are declared safe.

    They may write, so they can be repeated without harm only with a deduplication key.
    """
    if route.policy.effect is not Effect.IDEMPOTENT:
        return
    writes = sorted((route.route.match.methods or NON_IDEMPOTENT_METHODS) & NON_IDEMPOTENT_METHODS)
    if not writes:
        return
    wrong = f"is declared safe and accepts {' and '.join(writes)}, which may write (RFC 9110, 9.2.2)"
    right = 'methods = ["GET"] in match, or effect = "keyed" or "unsafe"'
    witness = route.retried_at_once(route.group_name(1), route.terms(Effect.UNSAFE))
    yield Finding(route.problem("effect", wrong, right, "write-called-safe"), witness)


def retry_leaves_group(route: CheckedRoute) -> Iterator[Finding]:
    """Report a retry that may reach a group that does not know the key."""
    scope = route.policy.retry_scope
    if not route.policy.unsafe_retry_outcomes or not route.may_leave_group(scope):
        return
    known_group, other_group = route.two_groups(scope)
    wrong = f"a repeat may go from {known_group} to {other_group}, which does not know the key"
    witness = route.retried_at_once(other_group, route.terms(), known_group)
    yield Finding(route.problem("retry_to", wrong, 'retry_to = "group"', "retry-leaves-group"), witness)


def hedge_leaves_group(route: CheckedRoute) -> Iterator[Finding]:
    """Report a hedged request that may reach a group that does not know the key."""
    scope = route.policy.hedge_scope
    if not route.policy.hedges or not route.may_leave_group(scope):
        return
    known_group, other_group = route.two_groups(scope)
    wrong = f"a second copy may go to {other_group} while {known_group} has the first"
    witness = route.hedged(other_group, route.terms(), first=known_group)
    yield Finding(
        route.problem("second_copy_to", wrong, 'second_copy_to = "group"', "copy-leaves-group"), witness
    )


def refusal_after_run(route: CheckedRoute) -> Iterator[Finding]:
    """Report refusals after an attempt that may have run.

    A refusal invites the client to retry, and its retry may reach another group or come after the window.
    """
    policy = route.policy
    if policy.when_exhausted is not ExhaustedResponse.REFUSE or policy.effect is Effect.IDEMPOTENT:
        return
    latest_return_ms = policy.deadline_ms + route.limits.max_retry_after_ms + route.limits.client_wait_ms
    if (
        policy.effect is Effect.KEYED
        and policy.deduplication_scope is DedupScope.ALL
        and latest_return_ms < policy.deduplication_window_ms
    ):
        return
    refused_at = policy.max_attempt_ms
    other = route.group_name(1)
    returned_at = (
        refused_at + 1.0
        if policy.deduplication_scope is not DedupScope.ALL
        else max(latest_return_ms, policy.deduplication_window_ms)
    )
    events = (
        *route.first_attempt(),
        route.attempt_ended(refused_at, "timeout"),
        TimelineEvent(refused_at, EventKind.REFUSED, note="refused, so the client believes that nothing ran"),
        TimelineEvent(returned_at, EventKind.RETURNS),
        TimelineEvent(
            returned_at,
            EventKind.SENT,
            attempt=0,
            group=other,
            note=f"the client tries again: sent to {other}, runs again",
        ),
        TimelineEvent(returned_at, EventKind.SERVED),
    )
    wrong = "promises a refusal when an attempt may have run"
    problem = route.problem("when_exhausted", wrong, 'when_exhausted = "fail"', "refusal-after-run")
    yield Finding(problem, Witness("twice", route.terms(), events))
