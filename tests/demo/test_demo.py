"""Tests of the demo end to end: a proxy process, servers with faults, a reload and a drain."""

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
    completed = subprocess.run(
        [sys.executable, "-m", "heronreel.cli", "demo", "--seconds", "4", "--json"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    result = json.loads(completed.stdout.strip().splitlines()[-1])
    assert completed.returncode == 0, completed.stderr
    assert result["lost"] == result["twice"] == 0
    assert result["asked"] == sum(result[name] for name in ("served", "refused", "failed", "lost"))
    assert result["served"] > 0.8 * result["asked"] > 300


@pytest.mark.parametrize("draining", [None, 5])
def test_the_routes_file_of_the_demo_passes_all_safety_checks(draining: int | None) -> None:
    addresses = [("127.0.0.1", 9000 + index) for index in range(6)]
    assert check_routes(routes_file(addresses, draining).encode()).findings == ()
