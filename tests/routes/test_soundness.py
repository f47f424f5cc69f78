"""The decision module loses no request and repeats no effect under any file that the proof accepts.

A simulation with faults runs drawn files.  With a check of the proof left out, it finds a file that breaks a
rule, so each of those checks is needed.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest
from hypothesis import HealthCheck, Phase, assume, find, given, settings
from hypothesis import strategies as st
from hypothesis.errors import NoSuchExample

from heronreel.routes import limit_checks, proof, retry_checks
from heronreel.routes.load import load_routes
from heronreel.routes.proof import prove
from tests.routes.hostile_world import World
from tests.support.route_files import SAFE

POOLS = """
[[pools]]
name = "a"
members = [
  { name = "a1", address = "127.0.0.1:1", zone = "x", rack = "r1" },
  { name = "a2", address = "127.0.0.1:2", zone = "x", rack = "r1" },
  { name = "a3", address = "127.0.0.1:3", zone = "y", rack = "r2" },
]
[[pools]]
name = "b"
members = [
  { name = "b1", address = "127.0.0.1:4", zone = "x", rack = "r2" },
  { name = "b2", address = "127.0.0.1:5", zone = "y", rack = "r3" },
]
"""
CLOCK_MARGIN_MS = 50.0
SMALL_STALLS_MS = (0.0, 0.0, 1.0, CLOCK_MARGIN_MS)  # within the clock margin
LARGE_STALLS_MS = (0.0, 0.0, 20.0, 400.0, 6000.0)  # a stalled event loop
OUTCOMES = ("not-run", "error", "reset", "timeout")


@st.composite
def route_files(draw: st.DrawFn, fixed: str = "") -> str:
    """Draw a file of one route, safe or unsafe; the lines of `fixed` replace drawn ones."""

    def choose(*values: object) -> object:
        return draw(st.sampled_from(values))

    outcomes = draw(st.sets(st.sampled_from(OUTCOMES), min_size=1))
    effect = choose("safe", "keyed", "keyed", "unsafe")
    lines = {
        "effect": f'"{effect}"',
        "group": f'"{choose("rack", "zone", "all")}"',
        "window_ms": choose(5000, 5000, 250, 301, 1200, 60000) if effect == "keyed" else 0,
        "aim_ms": 100,
        "deadline_ms": choose(800, 2500, 2600, 4949, 4951, 8000),
        "attempt_timeout_ms": choose(0, 90, 350, 790, 2400, 2500, 4700),
        "attempts": choose(1, 2, 3, 4),
        "backoff_ms": choose(0, 0, 30, 700, 2000),
        "backoff_most_ms": 4000,
        "retry_on": "[" + ", ".join(f'"{outcome}"' for outcome in sorted(outcomes)) + "]",
        "retry_to": f'"{choose("group", "pool", "split")}"',
        "second_copy_after_ms": choose(0, 0, 1, 100, 1000),
        "second_copy_to": f'"{choose("group", "pool")}"',
        "when_exhausted": f'"{choose("fail", "fail", "refuse")}"',
    }
    methods = choose("GET", "POST", "POST", "PUT")
    pool = choose('pool = "a"', 'pool = "b"', 'split = [{ pool = "a" }, { pool = "b", weight = 3 }]')
    lines.update({name: value for name, value in (line.split(" = ") for line in fixed.splitlines())})
    body = "\n".join(f"{name} = {value}" for name, value in lines.items())
    client_wait_ms = choose(2500, 9000)
    return f"""\
[proxy]
second_copies = true
client_wait_ms = {client_wait_ms}
clock_margin_ms = {CLOCK_MARGIN_MS:g}
max_retry_after_ms = 100
{POOLS}
[[routes]]
name = "x"
match = {{ path = "/x", methods = ["{methods}"] }}
{pool}
{body}
"""


EXPLORATION = settings(
    max_examples=120, deadline=None, derandomize=True, database=None,
    suppress_health_check=[HealthCheck.filter_too_much, HealthCheck.too_slow],
)  # fmt: skip


def simulate(text: str, seed: int, stalls: tuple[float, ...], ignore_window: bool = False) -> dict[str, str]:
    """Run five requests under a file and return the rules that were broken."""
    return World(load_routes(text.encode()), seed, stalls, ignore_window).run(5)


def is_accepted(text: str) -> bool:
    file = load_routes(text.encode())
    return not prove(file, file.process.limits)


@EXPLORATION
@given(route_files(), st.integers(0, 2**16))
def test_accepted_files_repeat_no_effect_when_the_event_loop_stalls(text: str, seed: int) -> None:
    assume(is_accepted(text))
    violations = simulate(text, seed, LARGE_STALLS_MS)
    violations.pop("lost", None)  # A stalled process responds late under any file.
    assert not violations, f"seed {seed}"


@EXPLORATION
@given(route_files(), st.integers(0, 2**16))
def test_accepted_files_lose_no_request(text: str, seed: int) -> None:
    assume(is_accepted(text))
    assert not simulate(text, seed, SMALL_STALLS_MS), f"seed {seed}"


@EXPLORATION
@given(route_files(), st.integers(0, 2**16))
def test_accepted_files_stay_within_the_window_without_runtime_guards(text: str, seed: int) -> None:
    """The module and the network code assume a window of an hour, so only the proof prevents late repeats."""
    assume(is_accepted(text))
    assert not simulate(text, seed, SMALL_STALLS_MS, ignore_window=True), f"seed {seed}"


@EXPLORATION
@given(route_files(), st.integers(0, 2**16))
def test_runtime_guards_hold_without_the_proof(text: str, seed: int) -> None:
    """The module enforces windows, groups and the limits of unsafe requests, whatever a file allows."""
    file = load_routes(text.encode())
    rules = {finding.problem.rule for finding in prove(file, file.process.limits)}
    assume(not rules & {"write-called-safe", "refusal-after-run"})  # These files misdescribe their requests.
    assert "twice" not in simulate(text, seed, LARGE_STALLS_MS), f"seed {seed}"


Check = Callable[..., object]


@pytest.mark.parametrize(
    ("omitted_check", "broken_rule", "ignore_window", "fixed"),  # The fixed lines only shorten the search.
    [
        (retry_checks.write_called_safe, "twice", False, ""),
        (retry_checks.refusal_after_run, "twice", False, 'effect = "unsafe"\nwhen_exhausted = "refuse"'),
        (limit_checks.deadline_over_wait, "lost", False, ""),
        (retry_checks.window_outlasted, "twice", True, 'effect = "keyed"\nwindow_ms = 1200'),
        (retry_checks.window_too_short, "twice", True, 'effect = "keyed"\nwindow_ms = 250'),
    ],
    ids=lambda value: getattr(value, "__name__", ""),
)
def test_without_one_check_an_accepted_file_breaks_a_rule(
    omitted_check: Check, broken_rule: str, ignore_window: bool, fixed: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    remaining = tuple(check for check in proof.CHECKS if check is not omitted_check)
    assert len(remaining) == len(proof.CHECKS) - 1
    monkeypatch.setattr(proof, "CHECKS", remaining)

    def breaks_rule(drawn: tuple[str, int]) -> bool:
        text, seed = drawn
        return is_accepted(text) and broken_rule in simulate(text, seed, SMALL_STALLS_MS, ignore_window)

    # Shrinking would only take time, because the example is not reported.
    search = settings(EXPLORATION, max_examples=6000, phases=[Phase.generate])
    try:
        find(st.tuples(route_files(fixed), st.integers(0, 2**16)), breaks_rule, settings=search)
    except NoSuchExample:
        pytest.fail(
            "no accepted file breaks the rule: the check is redundant, or the simulation has too few faults"
        )


@pytest.mark.parametrize("text", SAFE.values(), ids=SAFE)
def test_safe_example_files_break_no_rule(text: str) -> None:
    file = load_routes(text.encode())
    for seed in range(20):
        world = World(file, seed, SMALL_STALLS_MS)
        if world.router.find(b"h", b"/x", world.method.encode(), {b"idempotency-key": b"k"}) is None:
            return  # The file has no route for the simulated requests.
        assert not world.run(5), f"seed {seed}"
