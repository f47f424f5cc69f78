"""A trial: a group, workers that compete for a task, a guarded resource, seeded faults, and checkers."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import NamedTuple

from heronreel.fault_injection import fencing_check, linearizability
from heronreel.fault_injection.errors import HarnessError
from heronreel.fault_injection.fault_injector import FaultInjector
from heronreel.fault_injection.harness import Harness
from heronreel.fault_injection.histories import HistoryWriter, Operation, read_histories
from heronreel.fault_injection.managed_process import ManagedProcess
from heronreel.fault_injection.register_client import RegisterClient
from heronreel.fault_injection.resource_client import ResourceEvent
from heronreel.fault_injection.schedule import Fault, random_schedule

REGISTER_CLIENTS = 4
POLL_INTERVAL_S = 0.02


class TrialSettings(NamedTuple):
    """The processes, duration and limits of a trial."""

    members: Sequence[str] = ("a", "b", "c")
    workers: int = 8
    schedule_s: float = 12.0
    lease_ttl_s: int = 2
    recovery_timeout_s: float = 15.0  # limit from the end of the faults to the next step
    clock_rates: Mapping[str, float] | None = None  # rates of the clocks of members and workers, by name

    @property
    def worker_names(self) -> list[str]:
        """The names of the workers."""
        return [f"w{number}" for number in range(self.workers)]

    def random_schedule(self, seed: int) -> list[Fault]:
        """Return the faults of the trial with this seed."""
        return random_schedule(seed, self.members, self.worker_names, self.schedule_s)


class TrialResult(NamedTuple):
    """The result of a trial."""

    problems: tuple[str, ...]  # empty if all guarantees were kept
    steps: int  # steps accepted by the resource
    grants: int  # fencing tokens under which steps were accepted
    rejected: int  # rejected writes of former holders
    operations: int  # operations on registers
    recovery_s: float  # time from the end of the faults to the next step


async def run_trial(
    folder: Path, seed: int, settings: TrialSettings, schedule: Sequence[Fault] | None = None
) -> TrialResult:
    """Run a trial and check its histories.

    Args:
        folder: The folder for configurations, disks, logs and histories.
        seed: Determines the schedule, the network's faults and the clients' operations.
        settings: The settings of the trial.
        schedule: The faults to inject instead of those determined by `seed`.
    """
    faults = settings.random_schedule(seed) if schedule is None else schedule
    async with Harness(folder, settings.members, seed, clock_rates=settings.clock_rates) as harness:
        trial = _Trial(harness, seed, settings)
        await trial.start()
        problems, recovery_s = await trial.run(faults)
        await trial.stop()
    return trial.result(problems, recovery_s)


class _Trial:
    def __init__(self, harness: Harness, seed: int, settings: TrialSettings) -> None:
        self.harness = harness
        self.folder = harness.folder
        self.seed = seed
        self.settings = settings
        self.resource_history = self.folder / "resource.history"
        self.commands: dict[str, list[str]] = {}  # arguments of the workers
        self.workers: dict[str, ManagedProcess] = {}
        self.clients: list[asyncio.Task[None]] = []
        self.stopping = asyncio.Event()

    def _worker_history(self, name: str) -> Path:
        return self.folder / f"{name}.history"

    async def start(self) -> None:
        """Start all processes and clients, and wait for the first step."""
        port = await start_resource(self.harness, self.folder / "resource", self.resource_history)
        for name in self.settings.worker_names:
            self.commands[name] = [
                "heronreel.fault_injection.worker", name, str(self._worker_history(name)),
                f"127.0.0.1:{port}", str(self.settings.lease_ttl_s), *self.harness.addresses,
            ]  # fmt: skip
        await self.harness.wait_until_available()
        for name, command in self.commands.items():
            self.workers[name] = await self.harness.start_process(name, *command)
        for number in range(REGISTER_CLIENTS):
            history = HistoryWriter(self.folder / f"client{number}.history", f"c{number}")
            client = RegisterClient(self.seed, number, history)
            self.clients.append(asyncio.create_task(client.run(self.harness.addresses, self.stopping)))
        await self._wait_for_events(1)

    async def run(self, schedule: Sequence[Fault]) -> tuple[list[str], float]:
        """Inject the faults; return the problems, and the seconds from the last fault to the next step."""
        loop = asyncio.get_running_loop()
        problems: list[str] = []
        try:
            await FaultInjector(self.harness, self.workers, self.commands).run(schedule)
        except HarnessError as error:
            problems.append(str(error))
        ended = loop.time()
        try:
            await self._wait_for_events(len(read_histories([self.resource_history])) + 1)
        except TimeoutError:
            problems.append(f"no step within {self.settings.recovery_timeout_s:g} s of the last fault")
            problems += await self.harness.health()
        return problems, loop.time() - ended

    async def _wait_for_events(self, count: int) -> None:
        """Wait until the resource has recorded `count` events."""
        path = self.resource_history
        async with asyncio.timeout(self.settings.recovery_timeout_s):
            while not path.exists() or path.read_bytes().count(b"\n") < count:
                await asyncio.sleep(POLL_INTERVAL_S)

    async def stop(self) -> None:
        """Stop the clients and pause the workers, so that nothing is written while the checkers read."""
        self.stopping.set()
        await asyncio.gather(*self.clients)
        for process in self.workers.values():
            process.pause()

    def result(self, problems: Sequence[str], recovery_s: float) -> TrialResult:
        """Check the histories, and return the result."""
        resource = read_histories([self.resource_history])
        histories = map(self._worker_history, self.settings.worker_names)
        actions = read_histories(path for path in histories if path.exists())
        registers = read_histories(self.folder.glob("client*.history"))
        found = [*problems, *fencing_check.find_violations(resource, actions)]
        if violation := linearizability.find_violation(registers):
            found.append(violation)
        written = _of_kind(resource, ResourceEvent.WRITTEN)
        return TrialResult(
            problems=tuple(found),
            steps=len(written),
            grants=len({fencing_check.request_of(operation).fencing_token for operation in written}),
            rejected=len(_of_kind(resource, ResourceEvent.REJECTED)),
            operations=len(registers),
            recovery_s=recovery_s,
        )


def _of_kind(operations: Sequence[Operation], kind: ResourceEvent) -> list[Operation]:
    return [operation for operation in operations if operation.kind == kind]


async def start_resource(harness: Harness, folder: Path, history: Path) -> int:
    """Start a guarded resource, and return its port."""
    module = "heronreel.fault_injection.guarded_resource"
    process = await harness.start_process("resource", module, str(folder), str(history))
    line = await process.wait_for_line("listening")
    return int(line.split()[1])
