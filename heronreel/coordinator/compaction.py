"""Compaction of the members' disks, as a fleet-wide task that one member performs at a time."""

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

TASK_NAME = "upkeep"  # The group stores the task under this name.
MAX_COMPACTION_S = 60.0

log = structlog.get_logger()


class CompactionTask:
    """Compacts this member's disk whenever this member holds the task."""

    def __init__(self, group: GroupConfig, name: str, disk: MemberDisk, crash_points: CrashPoints) -> None:
        """Create a task that `run` performs."""
        self.group = group
        self.name = name
        self.disk = disk
        self.crash_points = crash_points

    async def run(self) -> None:
        """Take part until cancelled.  Once per period, one of the group's members compacts its disk."""
        settings = self.group.settings
        task = Task(
            TASK_NAME, settings.upkeep_s, Priority.IDLE, step_timeout_s=MAX_COMPACTION_S, rotates=True
        )
        terms = LeaseTerms(settings.lease_s, settings.margin_s, settings.answer_s)
        addresses = [member.address for member in self.group.members]
        async with LeaseSession(addresses, self.name, terms) as session:
            await TaskRunner(session, self.name, {task: self._compact}, presence=None).run()

    async def _compact(self, context: StepContext) -> None:
        log.info(
            "compaction started", member=self.name, step=context.step, fencing_token=context.fencing_token
        )
        self.crash_points.reach("compact")
        await asyncio.to_thread(self.disk.compact)
        self.crash_points.reach("compacted")
        log.info(
            "compaction finished", member=self.name, step=context.step, fencing_token=context.fencing_token
        )
