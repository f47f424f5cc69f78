"""The proof rejects unsafe files with rule and line, accepts safe ones, and gives valid witnesses."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from heronreel.balancer.interface import DedupScope, Effect
from heronreel.routes.findings import Finding, Witness
from heronreel.routes.index import Example, route_accepts
from heronreel.routes.model import PlatformClass, PlatformLimits
from heronreel.routes.proof import check_routes
from heronreel.routes.timeline import EventKind, RequestTerms, TimelineEvent, broken_rules
from tests.support.route_files import SAFE, UNSAFE

ROOT = Path(__file__).parents[2]


def marked_line(text: str) -> int:
    """Return the line that ends with #!, or 0 if there is none."""
    return next((n for n, line in enumerate(text.split("\n"), 1) if line.endswith("#!")), 0)


def test_there_are_enough_sample_files() -> None:
    assert len(UNSAFE) >= 40 and len(SAFE) >= 15


@pytest.mark.parametrize("text", UNSAFE.values(), ids=UNSAFE)
def test_an_unsafe_file_is_rejected_with_its_rule_and_line(text: str) -> None:
    (rule,) = re.findall(r"^# refused: (\S+)$", text, re.MULTILINE)
    report = check_routes(text.encode())
    assert [(f.problem.rule, f.problem.line) for f in report.findings] == [(rule, marked_line(text))]
    assert report.findings[0].problem.wrong and report.findings[0].problem.right


@pytest.mark.parametrize("text", SAFE.values(), ids=SAFE)
def test_a_safe_file_at_the_limits_is_accepted(text: str) -> None:
    assert [str(finding) for finding in check_routes(text.encode()).findings] == []


def test_the_example_files_are_safe() -> None:
    for path in (ROOT / "examples").glob("*.toml"):
        assert check_routes(path.read_bytes()).safe


def findings_with_witness() -> list[tuple[str, Finding]]:
    return [
        (name, f) for name, text in UNSAFE.items() for f in check_routes(text.encode()).findings if f.witness
    ]


@pytest.mark.parametrize(
    ("name", "finding"), findings_with_witness(), ids=lambda value: value if isinstance(value, str) else ""
)
def test_a_witness_breaks_the_rule_it_names(name: str, finding: Finding) -> None:
    if isinstance(finding.witness, Witness):
        assert set(broken_rules(finding.witness.events, finding.witness.terms)) == {finding.witness.rule}
        times = [event.at_ms for event in finding.witness.events]
        assert times == sorted(times) and str(finding.witness)


@pytest.mark.parametrize(
    ("name", "finding"), findings_with_witness(), ids=lambda value: value if isinstance(value, str) else ""
)
def test_an_example_request_matches_several_routes(name: str, finding: Finding) -> None:
    example = finding.witness
    if not isinstance(example, Example):
        return
    file = check_routes(UNSAFE[name].encode()).file
    assert file
    headers = {key.encode(): value.encode() for key, value in example.headers}
    matching = [
        route
        for route in file.routes
        if route_accepts(
            route, example.host.encode(), example.path.encode(), example.method.encode(), headers
        )
    ]
    # Either neither route has precedence, or the other route shadows the reported one.
    assert len(matching) > 1


def test_every_rule_has_a_witness() -> None:
    rules = {f.witness.rule for _, f in findings_with_witness() if isinstance(f.witness, Witness)}
    assert rules == {"lost", "twice", "platform", "promise", "budget"}


PLATFORM = {"save": PlatformClass(Effect.KEYED, DedupScope.CELL, 5000.0, 2500.0)}
ROUTE = """
[[pools]]
name = "p"
discovery = "platform"
[[routes]]
name = "save"
match = { path = "/save", methods = ["POST"] }
pool = "p"
aim_ms = 100
"""


@pytest.mark.parametrize(
    ("body", "rule", "broken_rule"),
    [
        ('effect = "safe"\ndeadline_ms = 2500', "weaker-than-platform", "twice"),
        ('effect = "keyed"\nwindow_ms = 5001\ndeadline_ms = 2500', "weaker-than-platform", "twice"),
        (
            'effect = "keyed"\ngroup = "zone"\nwindow_ms = 5000\ndeadline_ms = 2500',
            "weaker-than-platform",
            "twice",
        ),
        ('effect = "unsafe"\ndeadline_ms = 2501', "weaker-than-platform", "lost"),
        ('effect = "unsafe"\ndeadline_ms = 2500\nclass = "other"', "unknown-class", ""),
        ('effect = "unsafe"\ndeadline_ms = 2500', "", ""),
        ('effect = "keyed"\nwindow_ms = 5000\ndeadline_ms = 2500', "", ""),
    ],
)
def test_a_policy_may_be_stricter_than_the_platform_but_not_weaker(
    body: str, rule: str, broken_rule: str
) -> None:
    limits = PlatformLimits(client_wait_ms=9000.0, classes=PLATFORM)
    findings = [
        f
        for f in check_routes((ROUTE + body).encode(), limits).findings
        if f.problem.rule != "write-called-safe"
    ]
    assert [finding.problem.rule for finding in findings] == ([rule] if rule else [])
    for finding in findings:
        if isinstance(finding.witness, Witness):
            assert broken_rule in broken_rules(finding.witness.events, finding.witness.terms)


def test_a_valid_timeline_breaks_no_rule() -> None:
    terms = RequestTerms(Effect.KEYED, 5000.0, 2500.0, 2, False)
    valid = [
        TimelineEvent(0.0, EventKind.ARRIVES),
        TimelineEvent(0.0, EventKind.SENT, group="r1"),
        TimelineEvent(900.0, EventKind.ENDED),
        TimelineEvent(900.0, EventKind.SENT, attempt=1, group="r1"),
        TimelineEvent(1000.0, EventKind.SERVED),
    ]
    assert broken_rules(valid, terms) == {}
    assert set(broken_rules([*valid, TimelineEvent(1001.0, EventKind.SERVED)], terms)) == {"lost"}
    assert set(broken_rules(valid[:-1], terms)) == {"lost"}


def test_all_problems_are_reported_at_once_with_their_lines() -> None:
    text = """\
[proxy]
zone = 3
memory = 5
[[pools]]
name = "p"
members = [{ name = "a", address = "nowhere" }, { name = "a", address = "127.0.0.1:1", rack = 4 }]
[[routes]]
name = "r r"
match = { path = "/x", path_prefix = "/x" }
pool = "q"
attempts = 0
[[routes]]
name = "s"
match = { methods = ["GET", "BREW"] , path = "/y" }
pool = "p"
deadline_ms = []
"""
    found = [
        (finding.problem.line, finding.problem.field) for finding in check_routes(text.encode()).findings
    ]
    assert found == [
        (2, "proxy.zone"),
        (3, "proxy.memory"),
        (6, "pools.p.members.a.address"),
        (6, "pools.p.members.a.rack"),
        (6, "pools.p.members.a"),
        (8, "routes.r r.name"),
        (9, "routes.r r.match"),
        (10, "routes.r r.pool"),
        (11, "routes.r r.attempts"),
        (14, "routes.s.match.methods[1]"),
        (16, "routes.s.deadline_ms"),
    ]
