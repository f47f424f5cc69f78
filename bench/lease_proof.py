"""Checks the guarantees of leases by exhaustive exploration of small worlds and by many seeded trials.

    python bench/lease_proof.py explore [STATES]
    python bench/lease_proof.py schedules [SEEDS] [CONCURRENT]

`explore` runs every order of events, up to STATES states per world.  `schedules` runs trials with faults, by
default 100 with 2 at a time.  A schedule that violates a guarantee is shrunk and its faults are printed; the
exit code is then 1.
"""

from __future__ import annotations

import asyncio
import statistics
import sys
import tempfile
import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from heronreel.coordination.member_state import Guards
from heronreel.fault_injection.explore import ExplorationResult, World, explore
from heronreel.fault_injection.group_world import Budget, GroupWorld
from heronreel.fault_injection.lease_world import LeaseGuards, LeaseWorld, Limits
from heronreel.fault_injection.schedule import Fault, shrink
from heronreel.fault_injection.trial import TrialResult, TrialSettings, run_trial

NAMES = ("a", "b", "c")
SETTINGS = TrialSettings(members=NAMES, workers=8, schedule_s=10.0, recovery_timeout_s=30.0)
MAX_STATES = 1_000_000  # per world
SEEDS = 100
CONCURRENT_TRIALS = 2
SHRUNK_SCHEDULES = 3
MAX_SHRINK_ATTEMPTS = 12
# Without the guard against restored disks, confirmed versions are not stored, which reduces the states.
NO_ROLLBACK_GUARD = Guards(rollback=False)

WORLDS: dict[str, World] = {
    "one leader, a write, a read, a crash of each": GroupWorld(
        NAMES, Budget(elections="a", writes=1, reads=1, crashes="abc"), NO_ROLLBACK_GUARD
    ),
    "two leaders, a write": GroupWorld(NAMES, Budget(elections="ab", writes=1), NO_ROLLBACK_GUARD),
    "two leaders, a write, a crash": GroupWorld(
        NAMES, Budget(elections="ab", writes=1, crashes="c"), NO_ROLLBACK_GUARD
    ),
    "two leaders, a write, a lost disk": GroupWorld(
        NAMES, Budget(elections="ab", writes=1, lost_disks="c"), NO_ROLLBACK_GUARD
    ),
    "two leaders, a write, an old copy": GroupWorld(
        NAMES, Budget(elections="ab", writes=1, restored_disks="c")
    ),
    "two holders, leader changes": LeaseWorld(
        Limits(seconds=7, requests=(0, 5), actions=2, leader_changes=1), LeaseGuards()
    ),
    "two holders, one renews": LeaseWorld(
        Limits(seconds=6, requests=(1, 4), actions=1, leader_changes=0), LeaseGuards()
    ),
}


def explore_world(name: str, max_states: int) -> tuple[str, ExplorationResult, float]:
    """Explore one world and return its name, the result and the duration in seconds."""
    start_s = time.perf_counter()
    result = explore(WORLDS[name], max_states)
    return name, result, time.perf_counter() - start_s


def explore_all(max_states: int) -> bool:
    """Explore all worlds and print the results; return False if a guarantee was violated."""
    succeeded = True
    with ProcessPoolExecutor(len(WORLDS)) as pool:
        for name, result, seconds in pool.map(explore_world, WORLDS, [max_states] * len(WORLDS)):
            print(f"{name}: {result} ({seconds:.0f} s)", flush=True)
            succeeded = succeeded and result.violation is None
    return succeeded


async def run_seed(seed: int, faults: Sequence[Fault] | None = None) -> TrialResult:
    """Run one trial in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        return await run_trial(Path(folder), seed, SETTINGS, faults)


async def run_seeds(seeds: int, concurrent: int) -> bool:
    """Run trials and print a summary; return False if a guarantee was violated."""
    slots = asyncio.Semaphore(concurrent)
    results: dict[int, TrialResult] = {}

    async def run(seed: int) -> None:
        async with slots:
            results[seed] = await run_seed(seed)
            if results[seed].problems:
                print(f"seed {seed}: {results[seed].problems}", flush=True)

    await asyncio.gather(*(run(seed) for seed in range(1, seeds + 1)))
    failed = [seed for seed, result in results.items() if result.problems]
    print_summary(list(results.values()), len(failed))
    for seed in failed[:SHRUNK_SCHEDULES]:
        print(f"seed {seed}, shrunk:", *await shrink_schedule(seed), sep="\n  ")
    return not failed


def print_summary(results: Sequence[TrialResult], failed: int) -> None:
    """Print the totals of all trials."""
    recovery = sorted(result.recovery_s for result in results)
    print(
        f"{len(results)} schedules, {failed} violated a guarantee: "
        f"{sum(result.steps for result in results):,} steps by "
        f"{sum(result.grants for result in results)} grants, "
        f"{sum(result.rejected for result in results)} rejected, "
        f"{sum(result.operations for result in results):,} operations checked; "
        f"next step after the last fault: "
        f"median {statistics.median(recovery):.2f} s, worst {recovery[-1]:.2f} s"
    )


async def shrink_schedule(seed: int) -> list[Fault]:
    """Return a reduced list of faults with which the trial still fails."""

    async def fails(faults: Sequence[Fault]) -> bool:
        return bool((await run_seed(seed, faults)).problems)

    return await shrink(SETTINGS.random_schedule(seed), fails, MAX_SHRINK_ATTEMPTS)


def main(mode: str = "explore", count: str = "", concurrent: str = "") -> None:
    """Run the exploration or the trials, and exit with 1 if a guarantee was violated."""
    if mode == "explore":
        succeeded = explore_all(int(count or MAX_STATES))
    else:
        trials = run_seeds(int(count or SEEDS), int(concurrent or CONCURRENT_TRIALS))
        succeeded = asyncio.run(trials)
    sys.exit(0 if succeeded else 1)


if __name__ == "__main__":
    main(*sys.argv[1:])
