"""Compaction of the members' disks, as a task that one member performs at a time."""

from __future__ import annotations

import asyncio

import structlog

from heronreel.coordination.crash_points import CrashPoints
from heronreel.coordination.settings import GroupConfig
from heronreel.coordinator.disk import MemberDisk
from heronreel.leases.lease import LeaseTerms
from heronreel.leases.session import LeaseSession
from heronreel.leases.task_runner import StepContext, TaskRunner
from heronreel.leases.tasks import Priority, Task

TASK_NAME = "upkeep"  # stored by the group
MAX_COMPACTION_S = 60.0

log = structlog.get_logger()


class CompactionTask:
    """Compacts this member's disk whenever it is this member's turn."""

    def __init__(self, group: GroupConfig, name: str, disk: MemberDisk, crash_points: CrashPoints) -> None:
        """Create a task that `run` performs."""
        self.group = group
        self.name = name
        self.disk = disk
        self.crash_points = crash_points

    async def run(self) -> None:
        """Take part until cancelled: once a period one of the group's members compacts its disk."""
        table = self.group.settings
        task = Task(TASK_NAME, table.upkeep_s, Priority.IDLE, step_timeout_s=MAX_COMPACTION_S, rotates=True)
        terms = LeaseTerms(table.lease_s, table.margin_s, table.answer_s)
        addresses = [member.address for member in self.group.members]
        async with LeaseSession(addresses, self.name, terms) as session:
            await TaskRunner(session, self.name, {task: self._compact}, presence=None).run()

    async def _compact(self, work: StepContext) -> None:
        log.info("compaction started", member=self.name, step=work.step, fencing_token=work.fencing_token)
        self.crash_points.reach("compact")
        await asyncio.to_thread(self.disk.compact)
        self.crash_points.reach("compacted")
        log.info("compaction finished", member=self.name, step=work.step, fencing_token=work.fencing_token)
