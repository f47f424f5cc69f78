"""Every way a file could break a rule, each with the shortest timeline that shows the harm.

Pure: a file and what its surroundings allow in, findings out.  The runtime guards (the balancer's and the
network code's check of the window) hold without this; the proof keeps files out of service that would only
ever live by those guards, or that promise what can't come about.

Two times decide most of it.  The first attempt reaches its group at 0 ms at the earliest.  A further one is
decided at the latest when all before it have run to their time-out and all backoffs are over, its connection
takes `connect_timeout_ms` at most and no longer than the deadline, and a busy process learns of each end, and
writes each first byte, `clock_margin_ms` later at most.
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

SHARE_SLACK = 1e-9  # of rounding, in a sum of shares
SHOWN_ROUTES = 3  # that a route conflicts with, in a message

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
    """All that is wrong with a file, by line: its form first, and if that is good, what it could break."""
    try:
        file = load_routes(data)
    except ConfigFileError as error:
        return Report(None, tuple(Finding(problem) for problem in error.problems))
    index = RouteIndex(file.routes)
    findings = prove(file, platform or file.process.limits, index)
    return Report(file, tuple(findings), index)


def platform_limits(settings: Settings, clock_margin_ms: float = 50.0) -> PlatformLimits:
    """What a platform's settings allow."""
    classes = {
        each.name: PlatformClass(each.effect, each.dedup_scope, each.repeat_window_ms, each.deadline_ms)
        for each in settings.classes
    }
    return PlatformLimits(
        settings.max_attempts,
        settings.hedging,
        settings.connect_timeout_ms,
        max(each.deadline_ms for each in settings.classes),
        clock_margin_ms,
        settings.max_retry_after_ms,
        classes,
    )


def prove(file: RoutesFile, limits: PlatformLimits, index: RouteIndex | None = None) -> list[Finding]:
    """Every finding of a file whose form is right, by line."""
    findings: list[Finding] = []
    for route in file.routes:
        checked = CheckedRoute(file, limits, route)
        for check in CHECKS:
            findings += check(checked)
    conflicts = (index or RouteIndex(file.routes)).conflicts
    findings += [_conflict_finding(file, conflict) for conflict in conflicts]
    shares = sum(tenant.share for tenant in file.tenants)
    if shares > 1.0 + SHARE_SLACK:
        wrong = f"shares add up to {shares:g}"
        line = file.line("tenants")
        findings.append(Finding(Problem(line, "tenants", wrong, "at most 1", "shares-over-whole")))
    return sorted(findings, key=lambda finding: finding.problem.line)


def _conflict_finding(file: RoutesFile, conflict: RouteConflict) -> Finding:
    others = ", ".join(
        f"{other.name!r} (line {file.line('routes', other.index)})"
        for other in conflict.others[:SHOWN_ROUTES]
    )
    if conflict.kind == "ambiguous":
        wrong = f"takes the same requests as {others} and neither comes first"
    else:
        wrong = f"is never found: {others} takes all it would"
    route = conflict.route
    line = file.line("routes", route.index, "match")
    right = "make one more specific, or set its priority"
    problem = Problem(line, f"routes.{route.name}.match", wrong, right, conflict.kind)
    return Finding(problem, conflict.example)
