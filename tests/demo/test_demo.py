"""The demo end to end: a real proxy in a process of its own, servers with faults, a reload and a drain."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from heronreel.demo.scenario import routes_file
from heronreel.routes.proof import check_routes

ROOT = Path(__file__).parents[2]


def test_the_demo_loses_no_request_and_repeats_no_effect() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "heronreel.cli", "demo", "--seconds", "4", "--json"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    result = json.loads(done.stdout.strip().splitlines()[-1])
    assert done.returncode == 0, done.stderr
    assert result["lost"] == result["twice"] == 0
    assert result["asked"] == sum(result[name] for name in ("served", "refused", "failed", "lost"))
    assert result["served"] > 0.8 * result["asked"] > 300


@pytest.mark.parametrize("draining", [None, 5])
def test_its_routes_file_is_proven_safe(draining: int | None) -> None:
    addresses = [("127.0.0.1", 9000 + index) for index in range(6)]
    assert check_routes(routes_file(addresses, draining).encode()).findings == ()
