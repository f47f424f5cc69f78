"""The task that writes a member's disk.

It is the only place that writes the disk and that has the core restarted from it, so that the core and the
disk never disagree.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import structlog

from heronreel.coordination.actions import Persist
from heronreel.coordination.crash_points import CrashPoints
from heronreel.coordinator.disk import MemberDisk
from heronreel.store import StoreError, WriteFailedError

RETRY_DELAY_S = 0.1  # after a write that failed and may succeed later

log = structlog.get_logger()


class DiskWriter:
    """Writes in the background; requests that come during a write go together into the next one."""

    def __init__(
        self,
        disk: MemberDisk,
        crash_points: CrashPoints,
        *,
        on_persisted: Callable[[Persist], None],
        on_reset: Callable[[], None],
        on_failed: Callable[[], None],
    ) -> None:
        """Create a writer that is idle.

        Args:
            disk: Where to write.
            crash_points: Announces the points before and after each write.
            on_persisted: Called for each request that is durable, in order.
            on_reset: Called when the core has to restart from the disk: after an erasure or a failed write.
            on_failed: Called once, when the disk can't be written any more.
        """
        self.disk = disk
        self.crash_points = crash_points
        self.on_persisted = on_persisted
        self.on_reset = on_reset
        self.on_failed = on_failed
        self.pending: list[Persist] = []
        self.erasing = False
        self.task: asyncio.Task[None] | None = (
            None  # stays set after a final failure: nothing is written then
        )

    def persist(self, persist: Persist) -> None:
        """Queue a request."""
        self.pending.append(persist)
        self._ensure_running()

    def erase(self) -> None:
        """Have the disk erased; requests that are queued by then are dropped."""
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
