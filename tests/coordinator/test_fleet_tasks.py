"""Fleet-wide tasks, their rate budgets, and the compaction of the members' disks as such a task."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from heronreel.coordination.client import Client
from heronreel.coordination.errors import RequestError
from heronreel.fault_injection.fencing_check import request_of
from heronreel.fault_injection.harness import Harness
from heronreel.fault_injection.histories import Operation, read_histories
from heronreel.fault_injection.managed_process import ManagedProcess
from heronreel.fault_injection.resource_client import ResourceEvent
from heronreel.fault_injection.task_process import TASK_VARIABLE
from heronreel.fault_injection.trial import start_resource
from heronreel.leases import overview
from heronreel.leases.rate_limits import BURST_S
from tests.coordinator.group_support import MEMBER_NAMES, other_than, put_until_done

TASK_PROCESS = "heronreel.fault_injection.task_process"


def written_steps(history: Path) -> list[Operation]:
    """Return the steps that the guarded resource accepted."""
    operations = read_histories([history])
    return [operation for operation in operations if operation.kind == ResourceEvent.WRITTEN]


def compactions(process: ManagedProcess) -> list[dict[str, Any]]:
    """Return the log lines of a member about the compaction of its disk."""
    rows = [json.loads(line) for line in process.lines if line.startswith("{")]
    return [row for row in rows if row["event"].startswith("compaction")]


def check_one_at_a_time(rows: Sequence[dict[str, Any]]) -> None:
    """Assert that compactions do not overlap, except that one may start under a greater fencing token.

    That happens when the process of the earlier compaction was killed.
    """
    token = 0
    in_progress: dict[str, Any] | None = None
    for row in rows:
        assert row["fencing_token"] >= token, (row, in_progress)
        token = row["fencing_token"]
        if row["event"] == "compaction started":
            assert in_progress is None or token > in_progress["fencing_token"]
            in_progress = row
        elif in_progress is not None:
            assert row["member"] == in_progress["member"]
            assert token == in_progress["fencing_token"]
            in_progress = None


def test_a_fleet_wide_task_resumes_at_its_step_after_its_holders_are_killed(tmp_path: Path) -> None:
    async def run() -> None:
        async with Harness(tmp_path, MEMBER_NAMES, 12) as harness, Client(harness.addresses) as client:
            await harness.wait_until_healthy()
            history = tmp_path / "resource.history"
            port = await start_resource(harness, tmp_path / "table", history)

            async def start(name: str, **env: str) -> ManagedProcess:
                arguments = (TASK_PROCESS, name, f"127.0.0.1:{port}", "2", *harness.addresses)
                return await harness.start_process(name, *arguments, **env)

            async def confirmed_steps() -> int:
                try:
                    rows = await overview.task_overview(client)
                except RequestError:
                    return 0
                return int(rows[0]["confirmed"]) if rows else 0

            async def wait_for_step(count: int) -> None:
                async with asyncio.timeout(40):
                    while await confirmed_steps() < count:
                        await asyncio.sleep(0.02)

            await start("last")
            for count, point in enumerate(("step:3", "stepped:3")):
                before = await confirmed_steps()
                doomed = [await start(f"d{count}{number}", HERONREEL_END_AT=point) for number in range(2)]
                await wait_for_step(before + 4)
                leader = await harness.wait_for_leader()
                await harness.members[leader].kill()  # The group's leader is killed as well.
                await wait_for_step(before + 8)
                await harness.start_member(leader)
                await harness.wait_until_healthy()
                for process in doomed:
                    if process.running:
                        await process.kill()
            await wait_for_step(await confirmed_steps() + 5)
            requests = [request_of(operation) for operation in written_steps(history)]
        tokens = [request.fencing_token for request in requests]
        assert [request.step for request in requests] == list(range(1, len(requests) + 1))
        assert tokens == sorted(tokens)

    asyncio.run(run())


def test_a_priority_class_stays_within_the_fleet_budget_and_a_killed_process_releases_its_share(
    tmp_path: Path,
) -> None:
    rate = 40.0

    async def run() -> None:
        async with Harness(tmp_path, ("a",), 13) as harness:
            await harness.wait_until_available()
            history = tmp_path / "resource.history"
            port = await start_resource(harness, tmp_path / "table", history)
            processes: list[ManagedProcess] = []
            for number in range(5):
                name = f"d{number}"
                arguments = (TASK_PROCESS, name, f"127.0.0.1:{port}", "2", *harness.addresses)
                environment = {TASK_VARIABLE: f"t{number}:{rate:g}"}
                processes.append(await harness.start_process(name, *arguments, **environment))

            def steps_of(name: str) -> int:
                return sum(request_of(operation).holder == name for operation in written_steps(history))

            async def all_make_progress(names: Sequence[str]) -> None:
                before = {name: steps_of(name) for name in names}
                async with asyncio.timeout(60):
                    while any(steps_of(name) < before[name] + 10 for name in names):
                        await asyncio.sleep(0.05)

            await all_make_progress([f"d{number}" for number in range(5)])
            for number in (0, 1, 2):
                await processes[number].kill()  # Its share is released when its lease expires.
            await all_make_progress(["d3", "d4"])
            times = [operation.start for operation in written_steps(history)]
        worst = 0.0
        for first, start in enumerate(times):
            for last in range(first, len(times)):
                budget = rate * (times[last] - start + BURST_S)
                # One step of each of the five processes may be in flight.
                worst = max(worst, (last - first + 1) / (budget + 5))
        print(f"{len(times)} steps, at worst {worst:.2f} of the budget")
        assert worst <= 1.0

    asyncio.run(run())


def test_disks_are_compacted_by_one_member_at_a_time_although_one_is_killed(tmp_path: Path) -> None:
    async def run() -> None:
        settings = "upkeep_s = 0.3\nlease_s = 2\nmargin_s = 0.3\nanswer_s = 0.3"
        async with (
            Harness(tmp_path, MEMBER_NAMES, 19, extra_settings=settings) as harness,
            Client(harness.addresses) as client,
        ):
            await harness.wait_until_healthy()

            async def all_compact() -> None:
                before = {name: len(compactions(process)) for name, process in harness.members.items()}
                async with asyncio.timeout(60):
                    while any(len(compactions(p)) < before[name] + 4 for name, p in harness.members.items()):
                        await put_until_done(client, b"k", b"v" * 1000)
                        await asyncio.sleep(0.02)

            await all_compact()
            seen = [row for process in harness.members.values() for row in compactions(process)]
            doomed = other_than(await harness.wait_for_leader())
            await harness.members[doomed].kill()
            killed = await harness.start_member(doomed, HERONREEL_END_AT="compact:2")
            # The member crashes during a compaction; the others continue once its lease has expired.
            await killed.wait_for_exit(60)
            seen += compactions(killed)
            await harness.start_member(doomed)
            await harness.wait_until_healthy()
            await all_compact()
            seen += [
                row for process in harness.members.values() for row in compactions(process) if row not in seen
            ]
            check_one_at_a_time(sorted(seen, key=lambda row: row["timestamp"]))
            assert len({row["member"] for row in seen}) == 3

    asyncio.run(run())
