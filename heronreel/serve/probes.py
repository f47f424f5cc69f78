"""Probing from a serving process: of its own, or as one of a zone that shares one prober."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Collection

from heronreel.coordination.client import Client
from heronreel.coordination.clock import boot_clock
from heronreel.coordination.model import Range, RangeResponse, RequestError, TxnResponse
from heronreel.health.checks import Health, Member, Rules, believed
from heronreel.health.prober import Prober
from heronreel.health.report import Heard, Report, decoded, key_of, task_of, telling
from heronreel.leases.task_runner import StepContext
from heronreel.leases.tasks import Task
from heronreel.routes.model import Probe, RoutesFile

SHOWN_S = 1.0  # at least between two reports that tell of no change
PATIENCE = 4  # reports that may be missing before nothing is known

log = logging.getLogger(__name__)

Down = Callable[[Collection[Member]], None]


def rules_of(probe: Probe) -> Rules:
    return Rules(probe.path, probe.every_ms / 1000, probe.timeout_ms / 1000, probe.fall, probe.rise)


def members_of(file: RoutesFile) -> dict[Member, tuple[str, int]]:
    """Whom the file has probed: every member of its own pools."""
    return {
        Member(pool.name, member.name): member.address
        for pool in file.pools.values()
        for member in pool.members
    }


class Probes:
    """`down` is called with those who are to be left alone whenever they become others."""

    def __init__(self, file: RoutesFile, down: Down) -> None:
        assert file.probe is not None
        self.file = file
        self.rules = rules_of(file.probe)
        self.prober = Prober(self.rules)
        self.tell = down
        self.now = boot_clock()
        self.told: frozenset[Member] = frozenset()
        self.health = Health(self.rules)
        # as the zone's prober
        self.zone = file.process.zone
        self.number = 0  # of the grant that `health` is of
        self.round = 0
        self.shown = 0.0
        # as one of the zone
        self.shown_s = max(SHOWN_S, self.rules.every_s)
        self.heard = Heard(PATIENCE * self.shown_s, self.now())

    def reload(self, file: RoutesFile) -> None:
        self.file = file
        self._took(self.told)

    def _took(self, down: Collection[Member]) -> None:
        members = members_of(self.file)
        found = believed(down, members)
        if found != self.told:
            for member in sorted(found - self.told):
                log.warning("probes: %s/%s is down", *member)
            for member in sorted(self.told - found):
                log.warning("probes: %s/%s is not known to be down any more", *member)
            self.told = found
            self.tell(found)

    async def alone(self) -> None:
        """Probe for this process, until it is cancelled."""
        try:
            while True:
                began = self.now()
                if await self.prober.round(members_of(self.file), self.health):
                    self._took(self.health.fallen)
                await asyncio.sleep(max(0.0, began + self.rules.every_s - self.now()))
        finally:
            await self.prober.close()

    # -- once a zone

    @property
    def task(self) -> Task:
        step_s = self.rules.every_s + 5.0
        return Task(task_of(self.zone), self.rules.every_s, step_timeout_s=step_s, zone=self.zone)

    async def step(self, client: Client, name: str, work: StepContext) -> None:
        """One round as the zone's prober; the report where it is due.  Raises Refused and PermissionError."""
        if self.number != work.fencing_token:
            before = await _report(client, self.zone)
            self.health = Health(self.rules, before.members if before else ())
            self.round = before.round if before else 0
            self.number = work.fencing_token
            self.shown = 0.0
        members = members_of(self.file)
        changed = await self.prober.round(members, self.health, lambda: work.acquire(calls=1))
        self.round += 1
        if not changed and self.now() < self.shown + self.shown_s:
            return
        down = tuple(sorted((member.pool, member.name) for member in self.health.fallen))
        report = Report(self.round, name, work.fencing_token, len(members), down)
        self.shown = 0.0  # told again if nobody knows whether it was
        done = await client.call(telling(self.zone, report), 2.0)
        assert isinstance(done, TxnResponse)
        if not done.succeeded:
            raise PermissionError("another probes the zone")
        self.shown = self.now()

    async def listen(self, client: Client) -> None:
        """Take what the zone's prober tells, until this is cancelled."""
        ending = asyncio.ensure_future(self._ends())
        try:
            while True:
                try:
                    await self._follow(client)
                except RequestError as refused:
                    log.warning("probes: the group does not answer: %s", refused.what)
                await asyncio.sleep(0.5)
        finally:
            ending.cancel()

    async def _follow(self, client: Client) -> None:
        key = key_of(self.zone)
        found = await client.call(Range(key))
        assert isinstance(found, RangeResponse)
        for _, record in found.records:
            self._hear(decoded(record.value))
        async for changes in client.watch(key, start=found.revision + 1):
            for event in changes.events:
                if event.record is not None:
                    self._hear(decoded(event.record.value))
            if changes.missed:
                return

    def _hear(self, report: Report | None) -> None:
        now = self.now()
        if self.heard.told(report, now):
            self._took(self.heard.down(now))

    async def _ends(self) -> None:
        """What is known ends where nothing new comes."""
        while True:
            known = self.heard.known(self.now())
            await asyncio.sleep(max(0.05, self.heard.until() - self.now()) if known else 0.2)
            if known and not self.heard.known(self.now()):
                words = "probes: nothing was heard for %g s; nobody is known to be down"
                log.warning(words, self.heard.patience_s)
                self._took(())

    async def close(self) -> None:
        await self.prober.close()


async def _report(client: Client, zone: str) -> Report | None:
    found = await client.call(Range(key_of(zone)))
    assert isinstance(found, RangeResponse)
    return decoded(found.records[0][1].value) if found.records else None
