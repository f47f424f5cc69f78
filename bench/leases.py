"""Measures the cost of a group: renewals and writes per second, failover time, memory and idle traffic.

    python bench/leases.py [HOLDERS...]

Idle means that the holders only renew their leases; bytes are counted over all connections of the group.
Absolute times depend on the machine and the run; compare the rows with one another.
"""

from __future__ import annotations

import asyncio
import statistics
import sys
import tempfile
import time
from contextlib import AsyncExitStack
from pathlib import Path
from typing import NamedTuple

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from heronreel.coordination.client import Client
from heronreel.coordination.errors import RequestError
from heronreel.coordination.model import LeaseGrant, LeaseKeepAlive, LeaseResponse, Put
from heronreel.fault_injection.harness import Harness
from heronreel.leases.lease import LeaseTerms
from heronreel.leases.session import LeaseSession

DEFAULT_HOLDERS = 200
GROUP_SIZES = (1, 3, 5)
MEASURED_S = 3.0  # duration of each rate measurement
IDLE_S = 12.0
SETTLING_S = 2.0
MAX_CALLERS = 64
FAILOVERS = 7
REQUEST_TIMEOUT_S = 10.0


class TrafficRates(NamedTuple):
    """The traffic of a group in bytes per second."""

    between_members: float
    with_holders: float


class Row(NamedTuple):
    """The measurements with one group size."""

    members: int
    holders: int
    renewals: float  # per second
    writes: float  # per second
    leader_mb: float
    kill_failovers: list[float]  # seconds
    partition_failovers: list[float]  # seconds
    handover_s: float
    idle: TrafficRates

    def __str__(self) -> str:
        return (
            f"{self.members} members, {self.holders} leases: {self.renewals:6.0f} renewals/s, "
            f"{self.writes:6.0f} writes/s, {self.leader_mb:.0f} MB; "
            f"failover after a kill {_median_and_worst(self.kill_failovers)}, "
            f"after a partition {_median_and_worst(self.partition_failovers)}; "
            f"a released task is acquired again after {self.handover_s:.2f} s; "
            f"idle {self.idle.between_members / 1000:.1f} kB/s between members, "
            f"{self.idle.with_holders / 1000:.1f} kB/s with holders"
        )


def _median_and_worst(seconds: list[float]) -> str:
    return f"{statistics.median(seconds):.2f} s (worst {max(seconds):.2f})"


async def grant_leases(client: Client, count: int) -> list[int]:
    """Grant leases and return their ids."""
    leases = []
    for _ in range(count):
        granted = await client.call(LeaseGrant(600), REQUEST_TIMEOUT_S)
        assert isinstance(granted, LeaseResponse)
        leases.append(granted.id)
    return leases


async def request_rate(client: Client, leases: list[int], *, writes: bool) -> float:
    """Return the requests per second of one caller per lease, with at most MAX_CALLERS callers."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + MEASURED_S
    completed = 0

    async def caller(number: int) -> None:
        nonlocal completed
        while loop.time() < deadline:
            lease = leases[number % len(leases)]
            request = Put(b"k%d" % number, b"v" * 100) if writes else LeaseKeepAlive(lease)
            await client.call(request, REQUEST_TIMEOUT_S)
            number += MAX_CALLERS
            completed += 1

    await asyncio.gather(*(caller(number) for number in range(min(MAX_CALLERS, len(leases)))))
    return completed / MEASURED_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


async def kill_failover(harness: Harness) -> float:
    """Return the seconds from killing the leader until the next write is committed."""
    await harness.wait_until_healthy()
    leader = await harness.wait_for_leader()
    await harness.members[leader].kill()
    seconds = await _seconds_until_write(harness, leader)
    await harness.start_member(leader)
    return seconds


async def partition_failover(harness: Harness) -> float:
    """Return the seconds from partitioning the leader until the next write is committed."""
    await harness.wait_until_healthy()
    leader = await harness.wait_for_leader()
    harness.network.partition(leader)
    seconds = await _seconds_until_write(harness, leader)
    harness.network.heal(leader)
    return seconds


async def _seconds_until_write(harness: Harness, lost_leader: str) -> float:
    others = [harness.address(name) for name in harness.names if name != lost_leader]
    start_s = time.perf_counter()
    async with Client(others, response_timeout_s=0.2) as client:
        while True:
            try:
                await client.call(Put(b"over", b""), 0.3)
                return time.perf_counter() - start_s
            except RequestError:
                continue


async def handover(harness: Harness) -> float:
    """Return the seconds from the release of a task until the next holder acquires it."""
    terms = LeaseTerms(ttl_s=3, safety_margin_s=0.4, response_timeout_s=0.5)
    async with LeaseSession(harness.addresses, "two", terms) as second:
        async with LeaseSession(harness.addresses, "one", terms) as first:
            await first.wait_acquired(first.claim("task"))
            claim = second.claim("task")
        start_s = time.perf_counter()
        await second.wait_acquired(claim)
        return time.perf_counter() - start_s


async def idle_traffic(harness: Harness, holders: int) -> TrafficRates:
    """Return the traffic while each of the holders holds one task."""
    async with AsyncExitStack() as stack:
        for number in range(holders):
            session = await stack.enter_async_context(LeaseSession(harness.addresses, f"h{number}"))
            await session.wait_acquired(session.claim(f"rest{number}"))
        await asyncio.sleep(SETTLING_S)
        before = relayed_bytes(harness)
        await asyncio.sleep(IDLE_S)
        after = relayed_bytes(harness)
    return TrafficRates(*((b - a) / IDLE_S for a, b in zip(before, after, strict=True)))


def relayed_bytes(harness: Harness) -> tuple[int, int]:
    """Return the bytes relayed so far between members, and between members and clients."""
    peers = sum(relay.relayed_bytes for relay in harness.network.peer_relays.values())
    clients = sum(relay.relayed_bytes for relay in harness.network.client_relays.values())
    return peers, clients


async def measure(members: int, holders: int) -> Row:
    """Measure one group size."""
    names = "abcde"[:members]
    with tempfile.TemporaryDirectory() as folder:
        async with Harness(Path(folder), names, 1) as harness, Client(harness.addresses) as client:
            await harness.wait_until_available()
            leases = await grant_leases(client, holders)
            renewals = await request_rate(client, leases, writes=False)
            writes = await request_rate(client, leases, writes=True)
            leader = harness.members[await harness.wait_for_leader()]
            leader_mb = resident_mb(leader.pid)
            kills, partitions = [0.0], [0.0]
            if members > 1:
                kills = [await kill_failover(harness) for _ in range(FAILOVERS)]
                partitions = [await partition_failover(harness) for _ in range(FAILOVERS)]
            handover_s = await handover(harness)
            idle = await idle_traffic(harness, holders)
    return Row(members, holders, renewals, writes, leader_mb, kills, partitions, handover_s, idle)


async def main(*sizes: int) -> None:
    """Print a row for each group size and number of holders."""
    for holders in sizes or (DEFAULT_HOLDERS,):
        for members in GROUP_SIZES:
            print(await measure(members, holders), flush=True)


if __name__ == "__main__":
    asyncio.run(main(*map(int, sys.argv[1:])))
