"""Complete trials: workers that hold a lease, seeded faults in processes, and the checkers."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from heronreel.fault_injection.trial import TrialSettings, run_trial


@pytest.mark.parametrize("seed", [11, 12])
def test_steps_are_written_once_by_one_holder_at_a_time_under_seeded_faults(
    seed: int, tmp_path: Path
) -> None:
    settings = TrialSettings(workers=4, schedule_s=6.0, recovery_timeout_s=30.0)
    result = asyncio.run(run_trial(tmp_path, seed, settings))
    print(f"seed {seed}: {result}")
    assert not result.problems and result.steps > 20 and result.operations > 50


def test_clock_drift_within_the_bound_is_safe_and_beyond_it_the_resource_rejects(tmp_path: Path) -> None:
    within = {"a": 1.01, "b": 0.99, "c": 1.0, "w0": 0.99, "w1": 1.01, "w2": 0.99, "w3": 1.0}
    beyond = {"a": 1.7, "b": 1.7, "c": 1.7, "w0": 0.5, "w1": 1.0, "w2": 0.5, "w3": 1.5}

    async def run() -> None:
        for name, rates in (("within", within), ("beyond", beyond)):
            (tmp_path / name).mkdir()
            settings = TrialSettings(workers=4, schedule_s=4.0, recovery_timeout_s=30.0, clock_rates=rates)
            result = await run_trial(tmp_path / name, 31, settings)
            print(name, result)
            assert result.steps > 10
            if name == "within":
                assert not result.problems
            # Two workers may both believe that they hold the lease; the resource still accepts steps in
            # order.
            assert all("was started while" in problem for problem in result.problems), result.problems

    asyncio.run(run())
