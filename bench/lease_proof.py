"""The proof of leases in its long form: whole small worlds, and many seeded schedules between processes.

    python bench/lease_proof.py explore [STATES]      # every order of events, up to so many states a world
    python bench/lease_proof.py schedules [SEEDS] [SIDE_BY_SIDE]    # 100 schedules, 2 at a time

A schedule that breaks a promise is shortened, and its faults are printed; the exit code is 1 then.
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

from heronreel.coordination.consensus import Guards
from heronreel.fault_injection.explore import Found, World, explore
from heronreel.fault_injection.group_world import Budget, GroupWorld
from heronreel.fault_injection.lease_world import LeaseGuards, LeaseWorld, Limits
from heronreel.fault_injection.schedule import Fault, drawn, shortened
from heronreel.fault_injection.trial import Outcome, trial

NAMES = ("a", "b", "c")
WORKERS = 8
SECONDS = 10.0
NO_COPIES = Guards(rollback=False)  # fewer states: what members confirmed is not written down

WORLDS: dict[str, World] = {
    "one leader, a write, a read, a crash of each": GroupWorld(
        NAMES, Budget(tries="a", writes=1, reads=1, crashes="abc"), NO_COPIES
    ),
    "two leaders, a write": GroupWorld(NAMES, Budget(tries="ab", writes=1), NO_COPIES),
    "two leaders, a write, a crash": GroupWorld(NAMES, Budget(tries="ab", writes=1, crashes="c"), NO_COPIES),
    "two leaders, a write, a lost disk": GroupWorld(NAMES, Budget(tries="ab", writes=1, lost="c"), NO_COPIES),
    "two leaders, a write, an old copy": GroupWorld(NAMES, Budget(tries="ab", writes=1, restored="c")),
    "two holders, leader changes": LeaseWorld(
        Limits(seconds=7, requests=(0, 5), actions=2, leader_changes=1), LeaseGuards()
    ),
    "two holders, one renews": LeaseWorld(
        Limits(seconds=6, requests=(1, 4), actions=1, leader_changes=0), LeaseGuards()
    ),
}


def world(name: str, most: int) -> tuple[str, Found, float]:
    began = time.perf_counter()
    found = explore(WORLDS[name], most)
    return name, found, time.perf_counter() - began


def explored(most: int) -> bool:
    good = True
    with ProcessPoolExecutor(7) as pool:
        for name, found, seconds in pool.map(world, WORLDS, [most] * len(WORLDS)):
            print(f"{name}: {found} ({seconds:.0f} s)", flush=True)
            good = good and found.broken is None
    return good


async def one(seed: int, faults: Sequence[Fault] | None = None) -> Outcome:
    with tempfile.TemporaryDirectory() as folder:
        return await trial(
            Path(folder), seed, members=NAMES, workers=WORKERS, seconds=SECONDS, faults=faults, within=30.0
        )


async def schedules(seeds: int, beside: int) -> bool:
    room = asyncio.Semaphore(beside)
    outcomes: dict[int, Outcome] = {}

    async def run(seed: int) -> None:
        async with room:
            outcomes[seed] = await one(seed)
            if outcomes[seed].problems:
                print(f"seed {seed}: {outcomes[seed].problems}", flush=True)

    await asyncio.gather(*(run(seed) for seed in range(1, seeds + 1)))
    bad = [seed for seed, outcome in outcomes.items() if outcome.problems]
    recovery = sorted(outcome.recovery_s for outcome in outcomes.values())
    every = list(outcomes.values())
    print(
        f"{seeds} schedules, {len(bad)} broke a promise: {sum(o.steps for o in every):,} steps by "
        f"{sum(o.holders for o in every)} grants, {sum(o.refused for o in every)} refused, "
        f"{sum(o.calls for o in every):,} calls judged; next step after the last fault: "
        f"median {statistics.median(recovery):.2f} s, worst {recovery[-1]:.2f} s"
    )
    for seed in bad[:3]:

        async def fails(faults: Sequence[Fault], seed: int = seed) -> bool:
            return bool((await one(seed, faults)).problems)

        plan = drawn(seed, NAMES, [f"w{number}" for number in range(WORKERS)], SECONDS)
        print(f"seed {seed}, shortened:", *await shortened(plan, fails, 12), sep="\n  ")
    return not bad


def main(what: str = "explore", count: str = "", beside: str = "2") -> None:
    if what == "explore":
        good = explored(int(count or 1_000_000))
    else:
        good = asyncio.run(schedules(int(count or 100), int(beside)))
    sys.exit(0 if good else 1)


if __name__ == "__main__":
    main(*sys.argv[1:])
