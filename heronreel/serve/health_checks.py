"""Active health checks in a serving process: probes members and tracks which of them are down."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Collection

from heronreel.coordination.clock import boot_clock
from heronreel.health.checks import HealthCheckConfig, HealthTracker, Member, apply_panic_threshold
from heronreel.health.prober import Address, Prober
from heronreel.routes.model import HealthCheckSettings, RoutesFile

log = logging.getLogger(__name__)

DownListener = Callable[[Collection[Member]], None]


def config_of(probe: HealthCheckSettings) -> HealthCheckConfig:
    """Return the configuration of the [probe] table, with times in seconds."""
    return HealthCheckConfig(
        probe.path, probe.every_ms / 1000, probe.timeout_ms / 1000, probe.fall, probe.rise
    )


def members_of(file: RoutesFile) -> dict[Member, Address]:
    """Return the members that are probed, which are all members that the file names."""
    return {
        Member(pool.name, member.name): member.address
        for pool in file.pools.values()
        for member in pool.members
    }


class HealthChecks:
    """Tracks the members that are down, and probes all members."""

    def __init__(self, file: RoutesFile, on_change: DownListener) -> None:
        """`on_change` is called with all members that get no traffic whenever that set changes."""
        assert file.probe is not None
        self.zone = file.process.zone
        self.config = config_of(file.probe)
        self.prober = Prober(self.config)
        self.clock = boot_clock()
        self._file = file
        self._on_change = on_change
        self._down: frozenset[Member] = frozenset()

    @property
    def members(self) -> dict[Member, Address]:
        """The members that are probed."""
        return members_of(self._file)

    def reload(self, file: RoutesFile) -> None:
        """Apply another file."""
        self._file = file
        self.update(self._down)

    def update(self, down: Collection[Member]) -> None:
        """Set the members that were found down.

        The panic threshold may keep some of them in service.
        """
        effective = apply_panic_threshold(down, self.members)
        if effective == self._down:
            return
        for member in sorted(effective - self._down):
            log.warning("health check: %s/%s is down", *member)
        for member in sorted(self._down - effective):
            log.warning("health check: %s/%s is no longer known to be down", *member)
        self._down = effective
        self._on_change(effective)

    async def run(self) -> None:
        """Probe the members for this process alone until cancelled."""
        tracker = HealthTracker(self.config)
        try:
            while True:
                started_at = self.clock()
                if await self.prober.probe_all(self.members, tracker):
                    self.update(tracker.down)
                await asyncio.sleep(max(0.0, started_at + self.config.interval_s - self.clock()))
        finally:
            await self.close()

    async def close(self) -> None:
        """Close the prober's connections."""
        await self.prober.close()
