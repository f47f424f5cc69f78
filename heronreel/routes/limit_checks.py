"""Checks of a route against external limits.

The limits are the time that clients wait, the platform's limits and classes, and the retry budget.
"""

from __future__ import annotations

from collections.abc import Iterator

from heronreel.balancer.interface import DedupScope, Effect
from heronreel.routes.checked_route import CheckedRoute
from heronreel.routes.findings import Finding, Witness
from heronreel.routes.model import DEDUP_SCOPE_NAMES, EFFECT_NAMES, PlatformClass
from heronreel.routes.timeline import EventKind, RequestTerms, TimelineEvent

EFFECT_STRICTNESS = {Effect.IDEMPOTENT: 0, Effect.KEYED: 1, Effect.UNSAFE: 2}
SCOPE_WIDTH = {DedupScope.CELL: 0, DedupScope.ZONE: 1, DedupScope.ALL: 2}
MAX_SHOWN_CLASSES = 10  # The most classes of the platform that a message lists.


def deadline_over_wait(route: CheckedRoute) -> Iterator[Finding]:
    """Report a deadline after which the client has already disconnected."""
    deadline, wait = route.policy.deadline_ms, route.limits.client_wait_ms
    if deadline <= wait:
        return
    events = (
        *route.first_attempt(),
        TimelineEvent(wait, EventKind.ENDED, note="the client disconnects"),
        TimelineEvent(deadline, EventKind.FAILED, note="the response, after the client has disconnected"),
    )
    wrong = f"waits {deadline:,.0f} ms for clients that disconnect after {wait:,.0f} ms"
    right = f"deadline_ms of at most {wait:,.0f}"
    terms = RequestTerms(Effect.IDEMPOTENT, client_wait_ms=wait)
    problem = route.problem("deadline_ms", wrong, right, "deadline-over-wait")
    yield Finding(problem, Witness("lost", terms, events))


def attempts_over_platform(route: CheckedRoute) -> Iterator[Finding]:
    """Report more attempts than the limits allow."""
    attempts, allowed = route.policy.max_attempts, route.limits.max_attempts
    if attempts <= allowed:
        return
    events = [TimelineEvent(0.0, EventKind.ARRIVES)]
    for number in range(allowed + 1):
        note = f"attempt {number + 1} sent" + (f", where {allowed} are allowed" if number == allowed else "")
        events.append(
            TimelineEvent(
                float(number), EventKind.SENT, attempt=number, group=route.group, runs=False, note=note
            )
        )
        events.append(TimelineEvent(number + 0.5, EventKind.ENDED, attempt=number))
    events.append(TimelineEvent(allowed + 1.0, EventKind.FAILED))
    problem = route.problem(
        "attempts", f"{attempts} attempts", f"at most {allowed}", "attempts-over-platform"
    )
    yield Finding(problem, Witness("platform", route.terms(Effect.IDEMPOTENT), tuple(events)))


def hedge_not_allowed(route: CheckedRoute) -> Iterator[Finding]:
    """Report hedged requests that the limits don't allow."""
    if route.policy.hedges and not route.limits.second_copies:
        problem = route.problem(
            route.hedge_field(), "a second copy, which the settings don't allow",
            "no second copy, or second_copies = true in [proxy]", "copy-not-allowed",
        )  # fmt: skip
        yield Finding(problem, route.hedged(route.group, route.terms(Effect.IDEMPOTENT), "platform"))


def weaker_than_platform(route: CheckedRoute) -> Iterator[Finding]:
    """Report a policy that is less strict than the platform's class: a file may only be stricter."""
    if route.limits.classes is None:
        return
    name = route.policy.request_class
    platform_class = route.limits.classes.get(name)
    if platform_class is None:
        known = ", ".join(sorted(route.limits.classes)[:MAX_SHOWN_CLASSES])
        wrong = f"the platform has no class {name!r}"
        yield Finding(route.problem("class", wrong, f"known: {known}", "unknown-class"))
        return
    effect = route.policy.effect
    if EFFECT_STRICTNESS[effect] < EFFECT_STRICTNESS[platform_class.effect]:
        yield _weaker_effect(route, platform_class)
    elif effect is Effect.KEYED and platform_class.effect is Effect.KEYED:
        yield from _weaker_deduplication(route, platform_class)
    if route.policy.deadline_ms > platform_class.deadline_ms:
        yield _longer_deadline(route, platform_class)


def _weaker_effect(route: CheckedRoute, platform_class: PlatformClass) -> Finding:
    own, required = EFFECT_NAMES[route.policy.effect], EFFECT_NAMES[platform_class.effect]
    wrong = f"is {own!r}, the platform's class is {required!r}"
    problem = route.problem("effect", wrong, f"effect = {required!r}", "weaker-than-platform")
    other = route.group_name(1) if platform_class.effect is Effect.KEYED else route.group
    return Finding(problem, route.retried_at_once(other, route.terms(platform_class.effect, 0.0)))


def _weaker_deduplication(route: CheckedRoute, platform_class: PlatformClass) -> Iterator[Finding]:
    policy, window = route.policy, platform_class.window_ms
    if SCOPE_WIDTH[policy.deduplication_scope] > SCOPE_WIDTH[platform_class.scope]:
        own, required = DEDUP_SCOPE_NAMES[policy.deduplication_scope], DEDUP_SCOPE_NAMES[platform_class.scope]
        wrong = f"relies on {own!r} where only {required!r} drops repeats"
        problem = route.problem("group", wrong, f"group = {required!r}", "weaker-than-platform")
        yield Finding(problem, route.retried_at_once("another", route.terms(Effect.KEYED, window)))
    if policy.deduplication_window_ms > window:
        own_window = policy.deduplication_window_ms
        wrong = f"relies on {own_window:,.0f} ms where repeats are dropped for {window:,.0f} ms"
        problem = route.problem("window_ms", wrong, f"at most {window:,.0f}", "weaker-than-platform")
        note = "sent again: the key is forgotten"
        events = (
            *route.first_attempt(),
            route.attempt_ended(1.0, "reset"),
            TimelineEvent(window, EventKind.SENT, attempt=1, group=route.group, note=note),
            TimelineEvent(window, EventKind.SERVED),
        )
        yield Finding(problem, Witness("twice", RequestTerms(Effect.KEYED, window), events))


def _longer_deadline(route: CheckedRoute, platform_class: PlatformClass) -> Finding:
    own, deadline = route.policy.deadline_ms, platform_class.deadline_ms
    wrong = f"waits {own:,.0f} ms, the platform's class {deadline:,.0f} ms"
    problem = route.problem("deadline_ms", wrong, f"at most {deadline:,.0f}", "weaker-than-platform")
    events = (
        *route.first_attempt(),
        TimelineEvent(own, EventKind.FAILED, note="the response, after the client has disconnected"),
    )
    terms = RequestTerms(Effect.IDEMPOTENT, client_wait_ms=deadline)
    return Finding(problem, Witness("lost", terms, events))


def budget_over_whole(route: CheckedRoute) -> Iterator[Finding]:
    """Report a retry budget with which an overloaded fleet gets more retries than requests."""
    budget = route.policy.retry_budget
    if budget <= 1.0:
        return
    events = [TimelineEvent(float(request), EventKind.ARRIVES, request) for request in range(2)]
    for request in range(2):
        for attempt in range(3):
            note = f"request {request + 1}, attempt {attempt + 1}"
            events.append(
                TimelineEvent(10.0 + attempt, EventKind.SENT, request, attempt, route.group, False, note=note)
            )
            events.append(TimelineEvent(10.5 + attempt, EventKind.ENDED, request, attempt))
        events.append(TimelineEvent(20.0, EventKind.FAILED, request))
    events.sort(key=lambda event: event.at_ms)
    wrong = f"{budget:g} repeats for each first try: an overloaded fleet gets more repeats than requests"
    problem = route.problem("retry_budget", wrong, "a share from 0 to 1, such as 0.2", "budget-over-whole")
    yield Finding(problem, Witness("budget", RequestTerms(Effect.IDEMPOTENT), tuple(events)))
