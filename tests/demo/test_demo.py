"""The demo end to end: a real proxy in a process of its own, troubled servers, a reload and a drain."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from heronreel.demo.scene import file_of
from heronreel.routes.proof import check

ROOT = Path(__file__).parents[2]


def test_the_demo_loses_nothing_and_runs_nothing_twice() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "heronreel.cli", "demo", "--seconds", "4", "--json"],
        cwd=ROOT, capture_output=True, text=True, timeout=60, check=False,
    )  # fmt: skip
    told = json.loads(done.stdout.strip().splitlines()[-1])
    assert done.returncode == 0, done.stderr
    assert told["lost"] == told["twice"] == 0
    assert told["asked"] == sum(told[name] for name in ("served", "refused", "failed", "lost"))
    assert told["served"] > 0.8 * told["asked"] > 300


@pytest.mark.parametrize("drained", [None, 5])
def test_its_file_is_safe(drained: int | None) -> None:
    addresses = [("127.0.0.1", 9000 + n) for n in range(6)]
    assert check(file_of(addresses, drained).encode()).findings == ()
