"""Tests of the loader of rehearsal scripts: each problem is reported with its line, and the examples load."""

from __future__ import annotations

from pathlib import Path

import pytest

from heronreel.emulator.script_loader import load_script
from heronreel.routes.reader import ConfigFileError

ROOT = Path(__file__).parents[2]
EXAMPLES = sorted((ROOT / "examples" / "rehearsals").glob("*.toml"))
SCRIPT = """version = 1
name = "base"
seconds = 20.0
[fleet]
nodes = 12
zones = ["a", "b"]
[[fleet.kinds]]
name = "medio"
[proxies]
count = 4
[traffic]
requests_per_s = 100.0
[[tenants]]
name = "etna"
[[troubles]]
what = "slow"
at_s = 5.0
for_s = 5.0
size = 3.0
"""


def problem_message(old: str, new: str) -> str:
    assert old in SCRIPT
    with pytest.raises(ConfigFileError) as raised:
        load_script(SCRIPT.replace(old, new).encode())
    return str(raised.value)


@pytest.mark.parametrize(
    ("old", "new", "line", "expected_text"),
    [
        ("size = 3.0", 'size = 3.0\nnames = ["n13"]', 20, "known at the start: n1 to n12"),
        ("size = 3.0", 'size = 3.0\nzone = "c"', 20, "known here: a, b"),
        ("size = 3.0", 'size = 3.0\nrack = "r7"', 20, "known here: r0, r1"),
        ("size = 3.0", "size = 3.0\nshare = 1.5", 20, "a share from 0 to 1"),
        ("size = 3.0", "size = 0.5", 19, "how many times slower"),
        ("size = 3.0", "size = 3.0\nshare = 0.5\nbusiest = 2", 15, "in several ways"),
        ("at_s = 5.0", "at_s = -1.0", 17, "seconds from 0"),
        ("at_s = 5.0", "at_s = 20.0", 17, "before the end of the rehearsal, 20 s"),
        ("for_s = 5.0", "for_s = 16.0", 18, "15 at most"),
        ("for_s = 5.0", "", 15, "lasts for a time"),
        ('what = "slow"', 'what = "slwo"', 16, "a kind of trouble"),
        ('what = "slow"', 'what = "kill"', 18, "kill has no end"),
        ('what = "slow"', 'what = "zone_cut"', 19, "zone_cut has no size"),
        ('what = "slow"', 'what = "tenant"', 15, "name the tenant"),
        ("requests_per_s = 100.0", "requests_per_s = -5.0", 12, "a number a second"),
        ("requests_per_s = 100.0", "request_per_s = 5.0", 12, "did you mean 'requests_per_s'"),
        ("nodes = 12", "nodes = 4", 5, "1 racks of 6 for 2 zones"),
        ("nodes = 12", "nodes = 0", 5, "a whole number from 1"),
        ("count = 4", "count = 1", 10, "one for each of the 2 zones"),
        ("count = 4", 'count = 4\npolicy = "best"', 11, "known here"),
        ("version = 1", "version = 2", 1, "use a newer one"),
        ("version = 1", "version = 1\nfleeet = 3", 2, "did you mean 'fleet'"),
        ('name = "medio"', "cores = 2", 7, "name is missing"),
        ('name = "etna"', 'name = "etna"\n[[tenants]]\nname = "etna"', 15, "is already used on line"),
        ("seconds = 20.0", "seconds = 20.0.0", 3, "is no TOML"),
        ('[[fleet.kinds]]\nname = "medio"', "", 4, "has no kinds"),
    ],
)
def test_a_problem_is_reported_with_its_line_and_a_correction(
    old: str, new: str, line: int, expected_text: str
) -> None:
    message = problem_message(old, new)
    assert f"{line}: " in message and expected_text in message, message


def test_all_problems_are_reported_at_once() -> None:
    with pytest.raises(ConfigFileError) as raised:
        load_script(SCRIPT.replace("nodes = 12", "nodes = 0").replace("at_s = 5.0", 'at_s = "x"').encode())
    assert [problem.line for problem in raised.value.problems] == [5, 17]


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.stem)
def test_the_examples_load(path: Path) -> None:
    script = load_script(path.read_bytes())
    assert script.faults or script.name == "calm evening"
