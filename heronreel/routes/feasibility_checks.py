"""Checks for policies that promise something that their own fields make impossible."""

from __future__ import annotations

from collections.abc import Iterator

from heronreel.routes.checked_route import CheckedRoute
from heronreel.routes.findings import Finding


def timeout_over_deadline(route: CheckedRoute) -> Iterator[Finding]:
    """Report a time-out that is not shorter than the deadline, so that no attempt ever times out."""
    timeout, deadline = route.policy.attempt_timeout_ms, route.policy.deadline_ms
    if timeout and timeout >= deadline:
        wrong = f"{timeout:,.0f} ms of the request's {deadline:,.0f} ms: no attempt ever times out"
        right = f"under {deadline:,.0f}, or 0 for none"
        problem = route.problem("attempt_timeout_ms", wrong, right, "timeout-over-deadline")
        yield Finding(problem, route.deadline_before(timeout, "a time-out after"))


def objective_over_deadline(route: CheckedRoute) -> Iterator[Finding]:
    """Report a latency objective that is longer than the deadline."""
    objective, deadline = route.policy.latency_objective_ms, route.policy.deadline_ms
    if objective > deadline:
        wrong = f"aims at {objective:,.0f} ms, but the request ends after {deadline:,.0f} ms"
        problem = route.problem("aim_ms", wrong, f"at most {deadline:,.0f}", "aim-over-deadline")
        yield Finding(problem, route.deadline_before(objective, "full worth until"))


def attempt_never_starts(route: CheckedRoute) -> Iterator[Finding]:
    """Report an attempt that could start only after the deadline."""
    policy = route.policy
    if not policy.retry_on and not policy.hedges:
        return  # `nothing_to_retry` reports this case.
    longest_attempt_ms = policy.max_attempt_ms
    shortest_attempt_ms = 0.0 if policy.retry_on - {"timeout"} or policy.hedges else longest_attempt_ms
    starts_at = 0.0
    for attempt in range(1, policy.max_attempts):
        starts_at += shortest_attempt_ms + policy.backoff_before(attempt)
        if starts_at >= policy.deadline_ms:
            wrong = f"attempt {attempt + 1} could start after {starts_at:,.0f} ms, past the deadline"
            right = f"attempts = {attempt}, shorter pauses or time-outs"
            problem = route.problem("attempts", wrong, right, "attempt-never-starts")
            yield Finding(problem, route.attempt_never_sent(attempt, policy.deadline_ms))
            return


def nothing_to_retry(route: CheckedRoute) -> Iterator[Finding]:
    """Report a policy that allows several attempts but retries no outcome."""
    policy = route.policy
    if policy.max_attempts > 1 and not policy.retry_on and not policy.hedges:
        wrong = f"{policy.max_attempts} attempts, but no outcome is retried"
        problem = route.problem(
            "retry_on", wrong, "attempts = 1, or outcomes to retry", "attempt-never-starts"
        )
        yield Finding(problem, route.attempt_never_sent(1, policy.deadline_ms))


def hedge_too_late(route: CheckedRoute) -> Iterator[Finding]:
    """Report a hedge delay that is not shorter than the first attempt can take."""
    policy = route.policy
    end = policy.max_attempt_ms
    if policy.hedge_after_ms and policy.hedge_after_ms >= end:
        wrong = f"a copy after {policy.hedge_after_ms:,.0f} ms; the first is given up at {end:,.0f} ms"
        problem = route.problem("second_copy_after_ms", wrong, f"under {end:,.0f}", "copy-never-sent")
        yield Finding(problem, route.attempt_never_sent(1, end))


def hedge_without_attempt(route: CheckedRoute) -> Iterator[Finding]:
    """Report hedging with a limit of one attempt: a hedged request is a second attempt."""
    if route.policy.hedges and route.policy.max_attempts < 2:
        wrong = "a second copy is a second attempt, and 1 is allowed"
        right = "attempts of at least 2, or no copy"
        problem = route.problem("attempts", wrong, right, "copy-never-sent")
        yield Finding(problem, route.attempt_never_sent(1, route.policy.deadline_ms))


def two_hedge_rules(route: CheckedRoute) -> Iterator[Finding]:
    """Report a policy that sets both a fixed hedge delay and a percentile."""
    if route.policy.hedge_after_ms and route.policy.hedge_percentile:
        wrong = "a fixed time and a percentile for the same copy"
        yield Finding(route.problem("second_copy_percentile", wrong, "one of the two", "two-copy-rules"))


def budget_of_nothing(route: CheckedRoute) -> Iterator[Finding]:
    """Report retries or hedged requests with a retry budget of 0."""
    policy = route.policy
    if not policy.retry_budget and (policy.unsafe_retry_outcomes or policy.hedges):
        wrong = "a budget of 0 for retries after an attempt that may have run, or second copies"
        right = 'over 0, or retry_on = ["not-run"] and no second copy'
        problem = route.problem("retry_budget", wrong, right, "attempt-never-starts")
        yield Finding(problem, route.attempt_never_sent(1, policy.deadline_ms))
