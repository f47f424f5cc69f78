"""Whatever file the proof accepts, the module in a hostile world breaks neither rule 1 nor rule 2.

And the proof is what does it: without one of its rules, a file is found that breaks one.
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
MARGIN = 50.0
SMALL = (0.0, 0.0, 1.0, MARGIN)  # what the margin allows for
LARGE = (0.0, 0.0, 20.0, 400.0, 6000.0)  # an event loop that stands still
OUTCOMES = ("not-run", "error", "reset", "timeout")


@st.composite
def texts(draw: st.DrawFn, sure: str = "") -> str:
    """A file of one route, from bold to wrong; `sure` are lines that it has whatever is drawn."""

    def some(*values: object) -> object:
        return draw(st.sampled_from(values))

    outcomes = draw(st.sets(st.sampled_from(OUTCOMES), min_size=1))
    effect = some("safe", "keyed", "keyed", "unsafe")
    lines = {
        "effect": f'"{effect}"',
        "group": f'"{some("rack", "zone", "all")}"',
        "window_ms": some(5000, 5000, 250, 301, 1200, 60000) if effect == "keyed" else 0,
        "aim_ms": 100,
        "deadline_ms": some(800, 2500, 2600, 4949, 4951, 8000),
        "attempt_timeout_ms": some(0, 90, 350, 790, 2400, 2500, 4700),
        "attempts": some(1, 2, 3, 4),
        "backoff_ms": some(0, 0, 30, 700, 2000),
        "backoff_most_ms": 4000,
        "retry_on": "[" + ", ".join(f'"{word}"' for word in sorted(outcomes)) + "]",
        "retry_to": f'"{some("group", "pool", "split")}"',
        "second_copy_after_ms": some(0, 0, 1, 100, 1000),
        "second_copy_to": f'"{some("group", "pool")}"',
        "when_exhausted": f'"{some("fail", "fail", "refuse")}"',
    }
    methods = some("GET", "POST", "POST", "PUT")
    pool = some('pool = "a"', 'pool = "b"', 'split = [{ pool = "a" }, { pool = "b", weight = 3 }]')
    lines.update({name: value for name, value in (line.split(" = ") for line in sure.splitlines())})
    body = "\n".join(f"{name} = {value}" for name, value in lines.items())
    wait = some(2500, 9000)
    return f"""\
[proxy]
second_copies = true
client_wait_ms = {wait}
clock_margin_ms = {MARGIN:g}
max_retry_after_ms = 100
{POOLS}
[[routes]]
name = "x"
match = {{ path = "/x", methods = ["{methods}"] }}
{pool}
{body}
"""


CALM = settings(
    max_examples=120, deadline=None, derandomize=True, database=None,
    suppress_health_check=[HealthCheck.filter_too_much, HealthCheck.too_slow],
)  # fmt: skip


def played(text: str, seed: int, stalls: tuple[float, ...], blind: bool = False) -> dict[str, str]:
    return World(load_routes(text.encode()), seed, stalls, blind).run(5)


def accepted(text: str) -> bool:
    file = load_routes(text.encode())
    return not prove(file, file.process.limits)


@CALM
@given(texts(), st.integers(0, 2**16))
def test_what_the_proof_accepts_breaks_no_rule_even_when_the_process_stands_still(
    text: str, seed: int
) -> None:
    assume(accepted(text))
    found = played(text, seed, LARGE)
    found.pop("lost", None)  # a process that stands still answers late, whatever its file says
    assert not found, f"seed {seed}"


@CALM
@given(texts(), st.integers(0, 2**16))
def test_what_the_proof_accepts_loses_no_request(text: str, seed: int) -> None:
    assume(accepted(text))
    assert not played(text, seed, SMALL), f"seed {seed}"


@CALM
@given(texts(), st.integers(0, 2**16))
def test_what_the_proof_accepts_needs_no_guard_of_the_window(text: str, seed: int) -> None:
    """The module and the network code believe in a window of an hour: the proof alone keeps repeats in it."""
    assume(accepted(text))
    assert not played(text, seed, SMALL, blind=True), f"seed {seed}"


@CALM
@given(texts(), st.integers(0, 2**16))
def test_the_guards_hold_without_the_proof(text: str, seed: int) -> None:
    """Windows, groups and unsafe requests are the module's own to keep, whatever a file would allow."""
    file = load_routes(text.encode())
    rules = {finding.problem.rule for finding in prove(file, file.process.limits)}
    assume(not rules & {"write-called-safe", "refusal-after-run"})  # false words about what requests are
    assert "twice" not in played(text, seed, LARGE), f"seed {seed}"


Check = Callable[..., object]


@pytest.mark.parametrize(
    ("left_out", "breaks", "blind", "sure"),  # what is sure only saves time
    [
        (retry_checks.write_called_safe, "twice", False, ""),
        (retry_checks.refusal_after_run, "twice", False, 'effect = "unsafe"\nwhen_exhausted = "refuse"'),
        (limit_checks.deadline_over_wait, "lost", False, ""),
        (retry_checks.window_outlasted, "twice", True, 'effect = "keyed"\nwindow_ms = 1200'),
        (retry_checks.window_too_short, "twice", True, 'effect = "keyed"\nwindow_ms = 250'),
    ],
    ids=lambda value: getattr(value, "__name__", ""),
)
def test_without_one_rule_of_the_proof_a_file_breaks_it(
    left_out: Check, breaks: str, blind: bool, sure: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    kept = tuple(check for check in proof.CHECKS if check is not left_out)
    assert len(kept) == len(proof.CHECKS) - 1
    monkeypatch.setattr(proof, "CHECKS", kept)

    def breaks_it(drawn: tuple[str, int]) -> bool:
        text, seed = drawn
        return accepted(text) and breaks in played(text, seed, SMALL, blind)

    many = settings(CALM, max_examples=6000, phases=[Phase.generate])  # shrinking would only cost time
    try:
        find(st.tuples(texts(sure), st.integers(0, 2**16)), breaks_it, settings=many)
    except NoSuchExample:
        pytest.fail("the rule is not needed, or the world too kind to show it")


@pytest.mark.parametrize("text", SAFE.values(), ids=SAFE)
def test_the_bold_files_hold_too(text: str) -> None:
    file = load_routes(text.encode())
    for seed in range(20):
        world = World(file, seed, SMALL)
        if world.router.find(b"h", b"/x", world.method.encode(), {b"idempotency-key": b"k"}) is None:
            return  # its routes lie elsewhere
        assert not world.run(5), f"seed {seed}"
