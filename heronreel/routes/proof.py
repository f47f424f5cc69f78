"""Proves that a routes file is safe, or finds every rule that it could break, each with a short timeline.

The proof has no side effects: its input is a file and the limits that apply to it, its output are findings.
The runtime guards (the checks of the deduplication window in the balancer and in the network code) hold
without the proof.  The proof rejects files that would depend on those guards, and files that promise
something that can't happen.

Most checks depend on two times.  The first attempt reaches its deduplication group at 0 ms at the earliest.
A further attempt starts at the latest when all earlier attempts have timed out and all backoffs are over.
Its connection is established within `connect_timeout_ms`, and before the deadline.  A busy process notices
the end of an attempt, and writes the first byte of the next, at most `clock_margin_ms` late.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from heronreel.balancer.interface import Settings
from heronreel.routes import feasibility_checks, limit_checks, retry_checks
from heronreel.routes.checked_route import CheckedRoute
from heronreel.routes.findings import Finding, Report
from heronreel.routes.index import RouteConflict, RouteIndex
from heronreel.routes.load import load_routes
from heronreel.routes.model import PlatformClass, PlatformLimits, Problem, RoutesFile
from heronreel.routes.reader import ConfigFileError

SHARE_ROUNDING_TOLERANCE = 1e-9  # Allows for rounding in the sum of the tenants' shares.
MAX_SHOWN_ROUTES = 3  # The most conflicting routes that a message lists.

Check = Callable[[CheckedRoute], Iterator[Finding]]

CHECKS: tuple[Check, ...] = (
    retry_checks.window_outlasted,
    retry_checks.window_too_short,
    retry_checks.retry_of_unsafe,
    retry_checks.hedge_of_unsafe,
    retry_checks.write_called_safe,
    retry_checks.retry_leaves_group,
    retry_checks.hedge_leaves_group,
    retry_checks.refusal_after_run,
    limit_checks.deadline_over_wait,
    limit_checks.attempts_over_platform,
    limit_checks.hedge_not_allowed,
    limit_checks.weaker_than_platform,
    limit_checks.budget_over_whole,
    feasibility_checks.timeout_over_deadline,
    feasibility_checks.objective_over_deadline,
    feasibility_checks.attempt_never_starts,
    feasibility_checks.nothing_to_retry,
    feasibility_checks.hedge_too_late,
    feasibility_checks.hedge_without_attempt,
    feasibility_checks.two_hedge_rules,
    feasibility_checks.budget_of_nothing,
)


def check_routes(data: bytes, platform: PlatformLimits | None = None) -> Report:
    """Check a file and return its findings by line.

    A file whose form is wrong is not checked any further.
    """
    try:
        file = load_routes(data)
    except ConfigFileError as error:
        return Report(None, tuple(Finding(problem) for problem in error.problems))
    index = RouteIndex(file.routes)
    findings = prove(file, platform or file.process.limits, index)
    return Report(file, tuple(findings), index)


def platform_limits(settings: Settings, clock_margin_ms: float = 50.0) -> PlatformLimits:
    """Return the limits that a platform's settings impose."""
    classes = {
        request_class.name: PlatformClass(
            request_class.effect,
            request_class.dedup_scope,
            request_class.repeat_window_ms,
            request_class.deadline_ms,
        )
        for request_class in settings.classes
    }
    return PlatformLimits(
        settings.max_attempts,
        settings.hedging,
        settings.connect_timeout_ms,
        max(request_class.deadline_ms for request_class in settings.classes),
        clock_margin_ms,
        settings.max_retry_after_ms,
        classes,
    )


def prove(file: RoutesFile, limits: PlatformLimits, index: RouteIndex | None = None) -> list[Finding]:
    """Return every finding of a parsed file, sorted by line."""
    findings: list[Finding] = []
    for route in file.routes:
        checked = CheckedRoute(file, limits, route)
        for check in CHECKS:
            findings += check(checked)
    conflicts = (index or RouteIndex(file.routes)).conflicts
    findings += [_conflict_finding(file, conflict) for conflict in conflicts]
    shares = sum(tenant.share for tenant in file.tenants)
    if shares > 1.0 + SHARE_ROUNDING_TOLERANCE:
        wrong = f"shares add up to {shares:g}"
        line = file.line("tenants")
        findings.append(Finding(Problem(line, "tenants", wrong, "at most 1", "shares-over-whole")))
    return sorted(findings, key=lambda finding: finding.problem.line)


def _conflict_finding(file: RoutesFile, conflict: RouteConflict) -> Finding:
    others = ", ".join(
        f"{other.name!r} (line {file.line('routes', other.index)})"
        for other in conflict.others[:MAX_SHOWN_ROUTES]
    )
    if conflict.kind == "ambiguous":
        wrong = f"takes the same requests as {others} and neither comes first"
    else:
        wrong = f"never matches: {others} takes all of its requests"
    route = conflict.route
    line = file.line("routes", route.index, "match")
    right = "make one more specific, or set its priority"
    problem = Problem(line, f"routes.{route.name}.match", wrong, right, conflict.kind)
    return Finding(problem, conflict.example)
