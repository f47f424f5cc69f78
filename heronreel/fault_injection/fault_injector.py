"""Executes a schedule of faults against a group and its workers."""

from __future__ import annotations

import asyncio
import shutil
from collections.abc import Mapping, Sequence

from heronreel.fault_injection.harness import Harness
from heronreel.fault_injection.managed_process import ManagedProcess
from heronreel.fault_injection.schedule import (
    CLIENT_FAULTS,
    HOLDER,
    LINK_FAULTS,
    MEMBER_FAULTS,
    Fault,
    FaultKind,
)
from heronreel.fault_injection.worker import held_token

MAX_DELAY_S = 0.3
DUPLICATE_PROBABILITY = 0.3
TRICKLE_BYTES = 40


class FaultInjector:
    """Injects each fault of a schedule at its start, and ends it after its duration."""

    def __init__(
        self,
        harness: Harness,
        workers: dict[str, ManagedProcess],
        commands: Mapping[str, Sequence[str]],
    ) -> None:
        """Create an injector.

        Args:
            harness: The group.
            workers: The processes of the workers, by name; a restarted worker replaces its entry.
            commands: The arguments that restart each worker, by name.
        """
        self.harness = harness
        self.workers = workers
        self.commands = commands

    async def run(self, schedule: Sequence[Fault]) -> None:
        """Execute a schedule, and wait until the group is healthy again.

        Faults of members are injected sequentially, each only when the group is healthy, so that they do not
        overlap even on a busy machine.

        Raises:
            HarnessError: The group did not recover from a fault.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        member_turn = asyncio.Lock()

        async def inject_in_time(fault: Fault) -> None:
            await asyncio.sleep(max(0.0, began + fault.start_s - loop.time()))
            if fault.kind not in MEMBER_FAULTS:
                await self.inject(fault)
                return
            async with member_turn:
                await self.harness.wait_until_healthy()
                await self.inject(fault)

        await asyncio.gather(*(inject_in_time(fault) for fault in schedule))
        await self.harness.wait_until_healthy()

    async def inject(self, fault: Fault) -> None:
        """Inject one fault, and end it after its duration."""
        if fault.kind in LINK_FAULTS:
            await self._inject_link_fault(fault)
        elif fault.kind in MEMBER_FAULTS:
            await self._inject_member_fault(fault)
        elif fault.kind in CLIENT_FAULTS:
            await self._inject_client_fault(fault)
        else:
            await self._inject_worker_fault(fault)

    async def _inject_member_fault(self, fault: Fault) -> None:
        name, harness = fault.target, self.harness
        match fault.kind:
            case FaultKind.KILL | FaultKind.LOSE_DISK:
                await harness.members[name].kill()
                if fault.kind is FaultKind.LOSE_DISK:
                    shutil.rmtree(harness.folder / name)
                await asyncio.sleep(fault.duration_s)
                await harness.start_member(name)
            case FaultKind.PAUSE:
                await _pause(harness.members[name], fault.duration_s)
            case FaultKind.PARTITION:
                harness.network.partition(name)
                await asyncio.sleep(fault.duration_s)
                harness.network.heal(name)
            case FaultKind.RESET:
                for relay in harness.network.relays_of(name):
                    relay.reset_connections()

    async def _inject_link_fault(self, fault: Fault) -> None:
        relay = self.harness.network.peer_relays[fault.target, fault.peer]
        if fault.kind is FaultKind.ONE_WAY_PARTITION:
            relay.requests.partitioned = True
        else:
            relay.requests.max_delay_s = MAX_DELAY_S
        await asyncio.sleep(fault.duration_s)
        relay.heal()

    async def _inject_client_fault(self, fault: Fault) -> None:
        relay = self.harness.network.client_relays[fault.target]
        if fault.kind is FaultKind.RESET_CLIENTS:
            relay.reset_connections()
            return
        relay.responses.partitioned = fault.kind is FaultKind.LOSE_RESPONSES
        duplicates = fault.kind is FaultKind.DUPLICATE_REQUESTS
        relay.duplicate_probability = DUPLICATE_PROBABILITY if duplicates else 0.0
        relay.requests.trickle_bytes = TRICKLE_BYTES if fault.kind is FaultKind.TRICKLE else 0
        await asyncio.sleep(fault.duration_s)
        relay.heal()

    async def _inject_worker_fault(self, fault: Fault) -> None:
        name = self._holder() if fault.target == HOLDER else fault.target
        if fault.kind is FaultKind.PAUSE_WORKER:
            await _pause(self.workers[name], fault.duration_s)
            return
        await self.workers[name].kill()
        await asyncio.sleep(fault.duration_s)
        self.workers[name] = await self.harness.start_process(name, *self.commands[name])

    def _holder(self) -> str:
        return max(self.workers, key=lambda name: held_token(self.workers[name].lines))


async def _pause(process: ManagedProcess, seconds: float) -> None:
    process.pause()
    await asyncio.sleep(seconds)
    process.resume()
