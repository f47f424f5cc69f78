"""The task that writes a member's disk.

Only this task writes the disk and triggers a restart of the core from the disk, so that the core and the disk
never disagree.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import structlog

from heronreel.coordination.actions import Persist
from heronreel.coordination.crash_points import CrashPoints
from heronreel.coordinator.disk import MemberDisk
from heronreel.store import StoreError, WriteFailedError

RETRY_DELAY_S = 0.1  # The delay after a failed write that may succeed later.

log = structlog.get_logger()


class DiskWriter:
    """Writes in the background; requests that arrive during a write are combined in the next write."""

    def __init__(
        self,
        disk: MemberDisk,
        crash_points: CrashPoints,
        *,
        on_persisted: Callable[[Persist], None],
        on_reset: Callable[[], None],
        on_failed: Callable[[], None],
    ) -> None:
        """Create an idle writer.

        Args:
            disk: The disk to write.
            crash_points: Records the crash points before and after each write.
            on_persisted: Called for each durable request, in order.
            on_reset: Called when the core has to restart from the disk: after an erasure or a failed write.
            on_failed: Called once, when the disk can no longer be written.
        """
        self.disk = disk
        self.crash_points = crash_points
        self.on_persisted = on_persisted
        self.on_reset = on_reset
        self.on_failed = on_failed
        self.pending: list[Persist] = []
        self.erasing = False
        # The task remains set after a final failure, so that nothing is written any more.
        self.task: asyncio.Task[None] | None = None

    def persist(self, persist: Persist) -> None:
        """Queue a write request."""
        self.pending.append(persist)
        self._ensure_running()

    def erase(self) -> None:
        """Erase the disk; requests that are still queued at that time are dropped."""
        self.erasing = True
        self._ensure_running()

    def discard_pending(self) -> None:
        """Drop the queued requests."""
        self.pending.clear()

    async def wait_idle(self) -> None:
        """Wait until nothing is being written."""
        if self.task is not None:
            await asyncio.wait([self.task])

    def _ensure_running(self) -> None:
        if self.task is None:
            self.task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while self.pending or self.erasing:
            persists, self.pending = self.pending, []
            self.crash_points.reach("write")
            try:
                await self._write(persists)
            except (StoreError, OSError) as error:
                log.error("disk write failed", member=self.disk.name, error=str(error))
                if not isinstance(error, WriteFailedError) or error.final:
                    self.on_failed()
                    return
                await asyncio.sleep(RETRY_DELAY_S)
                self.on_reset()
                continue
            self.crash_points.reach("written")
            if self.erasing:
                self.erasing = False
                self.on_reset()
                continue
            for persist in persists:
                self.on_persisted(persist)
        self.task = None

    async def _write(self, persists: list[Persist]) -> None:
        if self.erasing:
            await asyncio.to_thread(self.disk.erase)
        else:
            await asyncio.to_thread(self.disk.persist, persists)
