"""Every way a file could break a rule, each with the shortest timeline that shows the harm.

Pure: a file and what its surroundings allow in, findings out.  The runtime guards (the module's and the
network code's check of the window) hold without this; the proof keeps files out of service that would only
ever live by those guards, or that promise what can't come about.

Two times decide most of it.  The first attempt reaches its group at 0 ms at the earliest.  A further one is
decided at the latest when all before it have run to their time-out and all pauses are over, its connection
takes `connect_timeout_ms` at most and no longer than the deadline, and a busy process learns of each end, and
writes each first byte, `clock_margin_ms` later at most.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from heronreel.balancer.interface import DedupScope, Effect, Settings
from heronreel.routes.index import Clash, Example, RouteIndex
from heronreel.routes.load import load
from heronreel.routes.model import (
    EFFECT_WORDS,
    GROUP_WORDS,
    Exhausted,
    Limits,
    Policy,
    Problem,
    Reach,
    Route,
    RoutesFile,
)
from heronreel.routes.reader import BadFile
from heronreel.routes.timeline import Step, Terms, What

WRITES = frozenset(("POST", "PATCH"))  # the methods taken that are not idempotent (RFC 9110, 9.2.2)
STRICTNESS = {Effect.IDEMPOTENT: 0, Effect.KEYED: 1, Effect.UNSAFE: 2}
WIDTH = {DedupScope.CELL: 0, DedupScope.ZONE: 1, DedupScope.ALL: 2}


@dataclass(slots=True, frozen=True)
class Witness:
    """A timeline that breaks `rule` under `terms`."""

    rule: str
    terms: Terms
    steps: tuple[Step, ...]

    def __str__(self) -> str:
        return "; ".join(str(step) for step in self.steps if step.note)


@dataclass(slots=True, frozen=True)
class Finding:
    problem: Problem
    witness: Witness | Example | None = None  # None: the text itself is wrong

    def __str__(self) -> str:
        return f"{self.problem}\n    shown by: {self.witness}" if self.witness else str(self.problem)


@dataclass(slots=True, frozen=True)
class Report:
    file: RoutesFile | None
    findings: tuple[Finding, ...]
    index: RouteIndex | None = None  # of the file's routes, compiled once

    @property
    def safe(self) -> bool:
        return not self.findings


def check(data: bytes, platform: Limits | None = None) -> Report:
    """All that is wrong with a file, by line: its form first, and if that is good, what it could break."""
    try:
        file = load(data)
    except BadFile as error:
        return Report(None, tuple(Finding(problem) for problem in error.problems))
    index = RouteIndex(file.routes)
    findings = prove(file, platform or file.process.limits, index)
    return Report(file, tuple(findings), index)


def limits_of(settings: Settings, clock_margin_ms: float = 50.0) -> Limits:
    """What a platform's settings allow."""
    return Limits(
        settings.max_attempts,
        settings.hedging,
        settings.connect_timeout_ms,
        max(klass.deadline_ms for klass in settings.classes),
        clock_margin_ms,
        settings.max_retry_after_ms,
        {k.name: (k.effect, k.dedup_scope, k.repeat_window_ms, k.deadline_ms) for k in settings.classes},
    )


def prove(file: RoutesFile, limits: Limits, index: RouteIndex | None = None) -> list[Finding]:
    """Every finding, by line."""
    found = [finding for route in file.routes for finding in _Prover(file, limits, route).findings()]
    found += [_clash(file, clash) for clash in (index or RouteIndex(file.routes)).clashes]
    shares = sum(tenant.share for tenant in file.tenants)
    if shares > 1.0 + 1e-9:
        problem = Problem(
            file.line("tenants"), "tenants", f"shares add up to {shares:g}", "at most 1", "shares-over-whole"
        )
        found.append(Finding(problem))
    return sorted(found, key=lambda finding: finding.problem.line)


def _clash(file: RoutesFile, clash: Clash) -> Finding:
    others = ", ".join(f"{r.name!r} (line {file.line('routes', r.place)})" for r in clash.others[:3])
    if clash.kind == "ambiguous":
        wrong = f"takes the same requests as {others} and neither comes first"
    else:
        wrong = f"is never found: {others} takes all it would"
    route = clash.route
    line = file.line("routes", route.place, "match")
    right = "make one more specific, or set its priority"
    return Finding(Problem(line, f"routes.{route.name}.match", wrong, right, clash.kind), clash.example)


def latest_writes(policy: Policy, limits: Limits) -> list[float]:
    """When the first byte of each attempt is written at the latest, ms after the request came."""
    latest, at = [], 0.0
    span = policy.attempt_most_ms
    for attempt in range(policy.attempts):
        at += policy.backoff_before(attempt)
        latest.append(min(at + limits.connect_timeout_ms, policy.deadline_ms) + limits.clock_margin_ms)
        at = min(at + span + limits.clock_margin_ms, policy.deadline_ms)
    return latest


class _Prover:
    """The checks of one route.  CHECKS lists them, so that a test can leave one out."""

    def __init__(self, file: RoutesFile, limits: Limits, route: Route) -> None:
        self.file = file
        self.limits = limits
        self.route = route
        self.policy = route.policy
        self.pool = route.split[0].pool if route.split else "pool"
        self.group = self._group_name(0)

    def findings(self) -> Iterator[Finding]:
        for check in CHECKS:
            yield from check(self)

    def _group_name(self, place: int) -> str:
        if self.policy.group is DedupScope.ALL:
            return "the fleet"
        named = sorted(self._groups() or ())
        word = GROUP_WORDS[self.policy.group]
        return f"{word} {named[place]}" if place < len(named) and named[place] else f"{word} {place + 1}"

    def _groups(self, pools: tuple[str, ...] | None = None) -> frozenset[str] | None:
        names = pools if pools is not None else tuple(share.pool for share in self.route.split)
        groups: set[str] = set()
        for name in names:
            own = self.file.pools[name].groups(self.policy.group)
            if own is None:
                return None
            groups |= own
        return frozenset(groups)

    def _problem(self, field: str, wrong: str, right: str, rule: str) -> Problem:
        """At the field's own line; at that of [defaults] if it was inherited; else at the route's."""
        place: tuple[str | int, ...] = ("routes", self.route.place, field)
        if place not in self.file.lines and ("defaults", field) in self.file.lines:
            origin = self.route.origins.get(field)
            place = ("defaults", field) if origin == "defaults" else place
        return Problem(self.file.line(*place), f"routes.{self.route.name}.{field}", wrong, right, rule)

    def _terms(self, effect: Effect | None = None, window_ms: float | None = None) -> Terms:
        return Terms(
            effect or self.policy.effect,
            self.policy.window_ms if window_ms is None else window_ms,
            self.limits.client_wait_ms,
            self.limits.max_attempts,
            self.limits.second_copies,
        )

    def _may_run_outcome(self) -> str:
        for word in ("timeout", "reset", "error"):
            if word in self.policy.retries_after_it_may_have_run:
                return word
        return "timeout"

    def _first(self, group: str | None = None) -> list[Step]:
        group = group or self.group
        return [
            Step(0.0, What.ARRIVES),
            Step(0.0, What.SENT, attempt=0, group=group, note=f"sent to {group}, where it takes effect"),
        ]

    def _ended(self, at: float, outcome: str, attempt: int = 0) -> Step:
        words = {"timeout": "timed out", "reset": "the connection broke", "error": "answered with an error"}
        return Step(at, What.ENDED, attempt=attempt, note=f"{words[outcome]}, though it ran")

    def _again_at_once(self, group: str, terms: Terms, first: str | None = None) -> Witness:
        """Ended in a way that may have run, then sent again to `group`; first sent to `first`."""
        span = self.policy.attempt_most_ms
        outcome = self._may_run_outcome()
        ended = span if outcome == "timeout" else min(1.0, span)
        again = min(ended + self.policy.backoff_before(1), self.policy.deadline_ms)
        note = f"sent again to {group}, where it takes effect a second time"
        steps = [
            *self._first(first),
            self._ended(ended, outcome),
            Step(again, What.SENT, attempt=1, group=group, note=note),
            Step(again, What.SERVED),
        ]
        return Witness("twice", terms, tuple(steps))

    def _copied(self, group: str, terms: Terms, rule: str = "twice", first: str | None = None) -> Witness:
        after = self.policy.second_copy_after_ms
        when = after or min(1.0, self.policy.deadline_ms)
        note = f"second copy sent to {group} while the first runs"
        steps = [
            *self._first(first),
            Step(when, What.SENT, attempt=1, group=group, note=note),
            Step(when, What.SERVED),
        ]
        return Witness(rule, terms, tuple(steps))

    # Rule 2: no effect twice.

    def window_outlasted(self) -> Iterator[Finding]:
        """A repeat that is written when its group has forgotten the first."""
        policy, limits = self.policy, self.limits
        if policy.effect is not Effect.KEYED or not (policy.retries_after_it_may_have_run or policy.copies):
            return
        window = policy.window_ms
        if window <= limits.connect_timeout_ms + limits.clock_margin_ms:
            return  # `window_too_short` says it
        latest = latest_writes(policy, limits)
        late = next((n for n, at in enumerate(latest) if n and at >= window), None)
        if late is None:
            return
        span = policy.attempt_most_ms
        steps, at = self._first(), 0.0
        outcome = self._may_run_outcome()
        for attempt in range(late):
            at = min(at + span, policy.deadline_ms)
            steps.append(self._ended(at, outcome, attempt))
            at += policy.backoff_before(attempt + 1)
            if attempt + 1 < late:
                steps.append(
                    Step(at, What.SENT, attempt=attempt + 1, group=self.group, note="sent again, dropped")
                )
        steps.append(
            Step(
                latest[late], What.SENT, attempt=late, group=self.group,
                note=f"sent again after connecting: {self.group} forgot the key at {window:,.0f} ms",
            )
        )  # fmt: skip
        steps.append(Step(latest[late], What.SERVED))
        most = window - limits.clock_margin_ms
        right = (
            f"deadline_ms under {most:,.0f}, fewer attempts or shorter time-outs, so that all are out by then"
        )
        wrong = f"attempt {late + 1} may start at {latest[late]:,.0f} ms, past the window of {window:,.0f} ms"
        problem = self._problem("attempts", wrong, right, "window-outlasted")
        yield Finding(problem, Witness("twice", self._terms(), tuple(steps)))

    def window_too_short(self) -> Iterator[Finding]:
        policy, limits = self.policy, self.limits
        if policy.effect is not Effect.KEYED or not (policy.retries_after_it_may_have_run or policy.copies):
            return
        needed = limits.connect_timeout_ms + limits.clock_margin_ms
        if policy.window_ms > needed:
            return
        wrong = (
            f"a window of {policy.window_ms:,.0f} ms, while a repeat may need {needed:,.0f} ms to get there"
        )
        right = 'state the time the group truly remembers, or retry_on = ["not-run"] and no second copy'
        when = max(needed, policy.window_ms)
        steps = [
            *self._first(),
            self._ended(0.0, "reset"),
            Step(
                when,
                What.SENT,
                attempt=1,
                group=self.group,
                note=f"sent again: {self.group} has forgotten the key",
            ),
            Step(when, What.SERVED),
        ]
        terms = Terms(Effect.KEYED, policy.window_ms)
        yield Finding(
            self._problem("window_ms", wrong, right, "window-too-short"),
            Witness("twice", terms, tuple(steps)),
        )

    def repeat_of_unsafe(self) -> Iterator[Finding]:
        if self.policy.effect is not Effect.UNSAFE:
            return
        for word in sorted(self.policy.retries_after_it_may_have_run):
            wrong = f"tries an unsafe request again after {word!r}, when it may have run"
            right = 'retry_on = ["not-run"], or effect = "keyed" if a group drops repeats'
            problem = self._problem("retry_on", wrong, right, "repeat-of-unsafe")
            yield Finding(problem, self._again_at_once(self._group_name(1), self._terms()))
            return

    def copy_of_unsafe(self) -> Iterator[Finding]:
        if self.policy.effect is Effect.UNSAFE and self.policy.copies:
            wrong, right = (
                "a second copy of an unsafe request",
                'no second copy, or effect = "keyed" or "safe"',
            )
            problem = self._problem(self._copy_field(), wrong, right, "copy-of-unsafe")
            yield Finding(problem, self._copied(self._group_name(1), self._terms()))

    def write_called_safe(self) -> Iterator[Finding]:
        """POST and PATCH may write; that a repeat of them does no harm is for a key to see to."""
        if self.policy.effect is not Effect.IDEMPOTENT:
            return
        writes = sorted((self.route.match.methods or WRITES) & WRITES)
        if not writes:
            return
        wrong = f"is called safe and takes {' and '.join(writes)}, which may write (RFC 9110, 9.2.2)"
        right = 'methods = ["GET"] in match, or effect = "keyed" or "unsafe"'
        witness = self._again_at_once(self._group_name(1), self._terms(Effect.UNSAFE))
        yield Finding(self._problem("effect", wrong, right, "write-called-safe"), witness)

    def _leaves(self, reach: Reach) -> bool:
        if self.policy.effect is not Effect.KEYED or reach is Reach.GROUP:
            return False
        if reach is Reach.SPLIT:
            groups = self._groups()
            return groups is None or len(groups) > 1
        each = [self._groups((share.pool,)) for share in self.route.split]
        return any(groups is None or len(groups) > 1 for groups in each)

    def _two_groups(self, reach: Reach) -> tuple[str, str]:
        """A group that remembers, and one that the repeat may reach, by name where they are known."""
        word = GROUP_WORDS[self.policy.group]
        for pools in (
            [tuple(s.pool for s in self.route.split)]
            if reach is Reach.SPLIT
            else [(share.pool,) for share in self.route.split]
        ):
            groups = self._groups(pools)
            if groups and len(groups) > 1:
                one, two = sorted(groups)[:2]
                return f"{word} {one or '(none)'}", f"{word} {two or '(none)'}"
        return f"{word} 1", f"{word} 2"

    def retry_leaves_group(self) -> Iterator[Finding]:
        reach = self.policy.retry_to
        if not self.policy.retries_after_it_may_have_run or not self._leaves(reach):
            return
        here, there = self._two_groups(reach)
        wrong = f"a repeat may go from {here} to {there}, which does not know the key"
        witness = self._again_at_once(there, self._terms(), here)
        yield Finding(self._problem("retry_to", wrong, 'retry_to = "group"', "retry-leaves-group"), witness)

    def copy_leaves_group(self) -> Iterator[Finding]:
        reach = self.policy.second_copy_to
        if not self.policy.copies or not self._leaves(reach):
            return
        here, there = self._two_groups(reach)
        wrong = f"a second copy may go to {there} while {here} has the first"
        witness = self._copied(there, self._terms(), first=here)
        yield Finding(
            self._problem("second_copy_to", wrong, 'second_copy_to = "group"', "copy-leaves-group"), witness
        )

    def refusal_after_run(self) -> Iterator[Finding]:
        """A refusal invites the client to try again, which may find another group, or come too late."""
        policy = self.policy
        if policy.when_exhausted is not Exhausted.REFUSE or policy.effect is Effect.IDEMPOTENT:
            return
        back = policy.deadline_ms + self.limits.max_retry_after_ms + self.limits.client_wait_ms
        if policy.effect is Effect.KEYED and policy.group is DedupScope.ALL and back < policy.window_ms:
            return
        refused = policy.attempt_most_ms
        other = self._group_name(1)
        returns = refused + 1.0 if policy.group is not DedupScope.ALL else max(back, policy.window_ms)
        steps = (
            *self._first(),
            self._ended(refused, "timeout"),
            Step(refused, What.REFUSED, note="refused, so the client believes that nothing ran"),
            Step(returns, What.RETURNS),
            Step(
                returns,
                What.SENT,
                attempt=0,
                group=other,
                note=f"the client tries again: sent to {other}, runs again",
            ),
            Step(returns, What.SERVED),
        )
        wrong = "promises a refusal when an attempt may have run"
        problem = self._problem("when_exhausted", wrong, 'when_exhausted = "fail"', "refusal-after-run")
        yield Finding(problem, Witness("twice", self._terms(), steps))

    # Rule 1: one final answer in time.

    def deadline_over_wait(self) -> Iterator[Finding]:
        deadline, wait = self.policy.deadline_ms, self.limits.client_wait_ms
        if deadline <= wait:
            return
        steps = (
            *self._first(),
            Step(wait, What.ENDED, note="the client gives up"),
            Step(deadline, What.FAILED, note="the answer, which nobody hears"),
        )
        wrong = f"waits {deadline:,.0f} ms for clients that leave after {wait:,.0f} ms"
        right = f"deadline_ms of at most {wait:,.0f}"
        terms = Terms(Effect.IDEMPOTENT, client_wait_ms=wait)
        problem = self._problem("deadline_ms", wrong, right, "deadline-over-wait")
        yield Finding(problem, Witness("lost", terms, steps))

    # What the surroundings allow.

    def attempts_over_platform(self) -> Iterator[Finding]:
        attempts, most = self.policy.attempts, self.limits.max_attempts
        if attempts <= most:
            return
        steps = [Step(0.0, What.ARRIVES)]
        for number in range(most + 1):
            note = f"attempt {number + 1} sent" + (f", where {most} are allowed" if number == most else "")
            steps.append(
                Step(float(number), What.SENT, attempt=number, group=self.group, runs=False, note=note)
            )
            steps.append(Step(number + 0.5, What.ENDED, attempt=number))
        steps.append(Step(most + 1.0, What.FAILED))
        problem = self._problem(
            "attempts", f"{attempts} attempts", f"at most {most}", "attempts-over-platform"
        )
        yield Finding(problem, Witness("platform", self._terms(Effect.IDEMPOTENT), tuple(steps)))

    def copy_not_allowed(self) -> Iterator[Finding]:
        if self.policy.copies and not self.limits.second_copies:
            problem = self._problem(
                self._copy_field(), "a second copy, which the settings don't allow",
                "no second copy, or second_copies = true in [proxy]", "copy-not-allowed",
            )  # fmt: skip
            yield Finding(problem, self._copied(self.group, self._terms(Effect.IDEMPOTENT), "platform"))

    def weaker_than_platform(self) -> Iterator[Finding]:
        """A file may ask for more care than the platform's class, never for less."""
        if self.limits.classes is None:
            return
        policy = self.policy
        told = self.limits.classes.get(policy.klass)
        if told is None:
            known = ", ".join(sorted(self.limits.classes)[:10])
            problem = self._problem(
                "class", f"the platform has no class {policy.klass!r}", f"known: {known}", "unknown-class"
            )
            yield Finding(problem)
            return
        effect, scope, window, deadline = told
        if STRICTNESS[policy.effect] < STRICTNESS[effect]:
            wrong = f"is {EFFECT_WORDS[policy.effect]!r}, the platform's class is {EFFECT_WORDS[effect]!r}"
            problem = self._problem(
                "effect", wrong, f"effect = {EFFECT_WORDS[effect]!r}", "weaker-than-platform"
            )
            other = self._group_name(1) if effect is Effect.KEYED else self.group
            yield Finding(problem, self._again_at_once(other, self._terms(effect, 0.0)))
        elif policy.effect is Effect.KEYED and effect is Effect.KEYED:
            if WIDTH[policy.group] > WIDTH[scope]:
                own, true = GROUP_WORDS[policy.group], GROUP_WORDS[scope]
                wrong = f"counts on {own!r} where only {true!r} drops repeats"
                right = f"group = {true!r}"
                problem = self._problem("group", wrong, right, "weaker-than-platform")
                yield Finding(problem, self._again_at_once("another", self._terms(Effect.KEYED, window)))
            if policy.window_ms > window:
                wrong = f"counts on {policy.window_ms:,.0f} ms where repeats are dropped for {window:,.0f} ms"
                problem = self._problem("window_ms", wrong, f"at most {window:,.0f}", "weaker-than-platform")
                steps = (
                    *self._first(),
                    self._ended(1.0, "reset"),
                    Step(
                        window,
                        What.SENT,
                        attempt=1,
                        group=self.group,
                        note="sent again: the key is forgotten",
                    ),
                    Step(window, What.SERVED),
                )
                yield Finding(problem, Witness("twice", Terms(Effect.KEYED, window), steps))
        if policy.deadline_ms > deadline:
            wrong = f"waits {policy.deadline_ms:,.0f} ms, the platform's class {deadline:,.0f} ms"
            problem = self._problem("deadline_ms", wrong, f"at most {deadline:,.0f}", "weaker-than-platform")
            steps = (
                *self._first(),
                Step(policy.deadline_ms, What.FAILED, note="the answer, which nobody hears"),
            )
            yield Finding(problem, Witness("lost", Terms(Effect.IDEMPOTENT, client_wait_ms=deadline), steps))

    def budget_over_whole(self) -> Iterator[Finding]:
        budget = self.policy.retry_budget
        if budget <= 1.0:
            return
        steps = [Step(float(request), What.ARRIVES, request) for request in range(2)]
        for request in range(2):
            for attempt in range(3):
                note = f"request {request + 1}, attempt {attempt + 1}"
                steps.append(Step(10.0 + attempt, What.SENT, request, attempt, self.group, False, note=note))
                steps.append(Step(10.5 + attempt, What.ENDED, request, attempt))
            steps.append(Step(20.0, What.FAILED, request))
        steps.sort(key=lambda step: step.at_ms)
        wrong = f"{budget:g} repeats for each first try: an overloaded fleet gets more repeats than requests"
        problem = self._problem(
            "retry_budget", wrong, "a share from 0 to 1, such as 0.2", "budget-over-whole"
        )
        yield Finding(problem, Witness("budget", Terms(Effect.IDEMPOTENT), tuple(steps)))

    # What can't come about.

    def _promise(self, promised: Step, end: float, note: str) -> Witness:
        """The file promises what the deadline ends before."""
        steps = (
            Step(0.0, What.ARRIVES),
            promised,
            Step(0.0, What.SENT, attempt=0, group=self.group, note="sent"),
            Step(end, What.FAILED, note=note),
        )
        return Witness("promise", Terms(Effect.IDEMPOTENT), steps)

    def _never(self, attempt: int, end: float) -> Witness:
        note = f"the file promises attempt {attempt + 1}"
        promised = Step(0.0, What.PROMISED, attempt=attempt, note=note)
        return self._promise(promised, end, "the deadline ends the request before that")

    def _over_early(self, until: float, words: str) -> Witness:
        note = f"the file promises {words} {until:,.0f} ms"
        promised = Step(0.0, What.PROMISED, until_ms=until, note=note)
        return self._promise(promised, self.policy.deadline_ms, "the deadline ends the request")

    def timeout_over_deadline(self) -> Iterator[Finding]:
        timeout, deadline = self.policy.attempt_timeout_ms, self.policy.deadline_ms
        if timeout and timeout >= deadline:
            wrong = f"{timeout:,.0f} ms of the request's {deadline:,.0f} ms: no attempt ever times out"
            right = f"under {deadline:,.0f}, or 0 for none"
            problem = self._problem("attempt_timeout_ms", wrong, right, "timeout-over-deadline")
            yield Finding(problem, self._over_early(timeout, "a time-out after"))

    def aim_over_deadline(self) -> Iterator[Finding]:
        aim, deadline = self.policy.aim_ms, self.policy.deadline_ms
        if aim > deadline:
            wrong = f"aims at {aim:,.0f} ms, the request is over after {deadline:,.0f} ms"
            problem = self._problem("aim_ms", wrong, f"at most {deadline:,.0f}", "aim-over-deadline")
            yield Finding(problem, self._over_early(aim, "full worth until"))

    def attempt_never_starts(self) -> Iterator[Finding]:
        policy = self.policy
        if not policy.retry_on and not policy.copies:
            return  # `nothing_to_retry` says it
        span = policy.attempt_most_ms
        quick = 0.0 if policy.retry_on - {"timeout"} or policy.copies else span
        at = 0.0
        for attempt in range(1, policy.attempts):
            at += quick + policy.backoff_before(attempt)
            if at >= policy.deadline_ms:
                wrong = f"attempt {attempt + 1} could start after {at:,.0f} ms, past the deadline"
                right = f"attempts = {attempt}, shorter pauses or time-outs"
                problem = self._problem("attempts", wrong, right, "attempt-never-starts")
                yield Finding(problem, self._never(attempt, policy.deadline_ms))
                return

    def nothing_to_retry(self) -> Iterator[Finding]:
        policy = self.policy
        if policy.attempts > 1 and not policy.retry_on and not policy.copies:
            wrong = f"{policy.attempts} attempts, but no outcome is worth another"
            problem = self._problem(
                "retry_on", wrong, "attempts = 1, or outcomes to retry", "attempt-never-starts"
            )
            yield Finding(problem, self._never(1, policy.deadline_ms))

    def copy_too_late(self) -> Iterator[Finding]:
        policy = self.policy
        end = policy.attempt_most_ms
        if policy.second_copy_after_ms and policy.second_copy_after_ms >= end:
            wrong = (
                f"a copy after {policy.second_copy_after_ms:,.0f} ms; the first is given up at {end:,.0f} ms"
            )
            problem = self._problem("second_copy_after_ms", wrong, f"under {end:,.0f}", "copy-never-sent")
            yield Finding(problem, self._never(1, end))

    def copy_without_attempt(self) -> Iterator[Finding]:
        if self.policy.copies and self.policy.attempts < 2:
            wrong, right = (
                "a second copy is a second attempt, and 1 is allowed",
                "attempts of at least 2, or no copy",
            )
            problem = self._problem("attempts", wrong, right, "copy-never-sent")
            yield Finding(problem, self._never(1, self.policy.deadline_ms))

    def two_copy_rules(self) -> Iterator[Finding]:
        if self.policy.second_copy_after_ms and self.policy.second_copy_percentile:
            wrong = "a fixed time and a percentile for the same copy"
            yield Finding(self._problem("second_copy_percentile", wrong, "one of the two", "two-copy-rules"))

    def budget_of_nothing(self) -> Iterator[Finding]:
        policy = self.policy
        if not policy.retry_budget and (policy.retries_after_it_may_have_run or policy.copies):
            wrong = "a budget of 0 for retries after an attempt that may have run, or second copies"
            right = 'over 0, or retry_on = ["not-run"] and no second copy'
            problem = self._problem("retry_budget", wrong, right, "attempt-never-starts")
            yield Finding(problem, self._never(1, policy.deadline_ms))

    def _copy_field(self) -> str:
        return "second_copy_after_ms" if self.policy.second_copy_after_ms else "second_copy_percentile"


CHECKS: tuple[Callable[[_Prover], Iterator[Finding]], ...] = (
    _Prover.window_outlasted,
    _Prover.window_too_short,
    _Prover.repeat_of_unsafe,
    _Prover.copy_of_unsafe,
    _Prover.write_called_safe,
    _Prover.retry_leaves_group,
    _Prover.copy_leaves_group,
    _Prover.refusal_after_run,
    _Prover.deadline_over_wait,
    _Prover.attempts_over_platform,
    _Prover.copy_not_allowed,
    _Prover.weaker_than_platform,
    _Prover.budget_over_whole,
    _Prover.timeout_over_deadline,
    _Prover.aim_over_deadline,
    _Prover.attempt_never_starts,
    _Prover.nothing_to_retry,
    _Prover.copy_too_late,
    _Prover.copy_without_attempt,
    _Prover.two_copy_rules,
    _Prover.budget_of_nothing,
)
