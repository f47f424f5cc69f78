"""What a group costs and how fast it gives on: renewals and writes a second, time to take over, memory.

    python bench/leases.py [HOLDERS...]

At rest: bytes a second over all of the group's connections while the holders do nothing but renew.

Times hold for this machine and this run; what compares is the ratio between rows.
"""

from __future__ import annotations

import asyncio
import statistics
import sys
import tempfile
import time
from contextlib import AsyncExitStack
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from heronreel.coordination.client import Client
from heronreel.coordination.model import LeaseGrant, LeaseKeepAlive, LeaseResponse, Put, RequestError
from heronreel.fault_injection.processes import Harness
from heronreel.leases.lease import LeaseTerms
from heronreel.leases.session import LeaseSession

SECONDS = 3.0
REST_S = 12.0


async def rate(client: Client, leases: list[int], writes: bool) -> float:
    """Calls a second by as many callers as there are leases, up to 64."""
    loop = asyncio.get_running_loop()
    until = loop.time() + SECONDS
    done = 0

    async def caller(number: int) -> None:
        nonlocal done
        while loop.time() < until:
            lease = leases[number % len(leases)]
            request = Put(b"k%d" % number, b"v" * 100) if writes else LeaseKeepAlive(lease)
            await client.call(request, 10.0)
            number += 64
            done += 1

    await asyncio.gather(*(caller(number) for number in range(min(64, len(leases)))))
    return done / SECONDS


def resident(pid: int) -> float:
    """Megabytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


async def take_over(harness: Harness, client: Client, cut: bool) -> float:
    """Seconds from a leader's end until the next write is agreed on."""
    await harness.whole()
    leader = await harness.leader()
    if cut:
        harness.cut(leader)
    else:
        await harness.members[leader].kill()
    away = [harness.front[name].address for name in harness.names if name != leader]
    began = time.perf_counter()
    async with Client(away, answer_s=0.2) as rest:
        while True:
            try:
                await rest.ask(Put(b"over", b""), 0.3)
                break
            except RequestError:
                continue
    took = time.perf_counter() - began
    if cut:
        harness.cut(leader, on=False)
    else:
        await harness.start(leader)
    return took


async def at_rest(harness: Harness, holders: int) -> tuple[float, float]:
    """Bytes a second between members, and between members and holders of one task each."""
    async with AsyncExitStack() as stack:
        for number in range(holders):
            holding = await stack.enter_async_context(LeaseSession(harness.addresses, f"h{number}"))
            await holding.wait_acquired(holding.claim(f"rest{number}"))
        await asyncio.sleep(2.0)
        before = [sum(r.bytes for r in relays.values()) for relays in (harness.between, harness.front)]
        await asyncio.sleep(REST_S)
        after = [sum(r.bytes for r in relays.values()) for relays in (harness.between, harness.front)]
    inner, outer = ((b - a) / REST_S for a, b in zip(before, after, strict=True))
    return inner, outer


async def main(*sizes: int) -> None:
    for holders in sizes or (200,):
        await measured(holders)


async def measured(holders: int) -> None:
    for count in (1, 3, 5):
        names = "abcde"[:count]
        with tempfile.TemporaryDirectory() as folder:
            async with Harness(Path(folder), names, 1) as harness, Client(harness.addresses) as client:
                await harness.serves()
                leases = []
                for _ in range(holders):
                    granted = await client.call(LeaseGrant(600), 10.0)
                    assert isinstance(granted, LeaseResponse)
                    leases.append(granted.id)
                renewals = await rate(client, leases, writes=False)
                writes = await rate(client, leases, writes=True)
                leader = harness.members[await harness.leader()]
                memory = resident(leader.process.pid)
                kills, cuts = [0.0], [0.0]
                if count > 1:
                    kills = [await take_over(harness, client, cut=False) for _ in range(7)]
                    cuts = [await take_over(harness, client, cut=True) for _ in range(7)]
                handed = await hand_over(harness)
                inner, outer = await at_rest(harness, holders)
        print(
            f"{count} members, {holders} leases: {renewals:6.0f} renewals/s, {writes:6.0f} writes/s, "
            f"{memory:.0f} MB; after a kill {statistics.median(kills):.2f} s (worst {max(kills):.2f}), "
            f"after a cut {statistics.median(cuts):.2f} s (worst {max(cuts):.2f}); "
            f"a task given back is held again after {handed:.2f} s; "
            f"at rest {inner / 1000:.1f} kB/s between members, {outer / 1000:.1f} kB/s with holders",
            flush=True,
        )


async def hand_over(harness: Harness) -> float:
    """Seconds from an orderly end until the next holder has the task."""
    terms = LeaseTerms(ttl_s=3, safety_margin_s=0.4, response_timeout_s=0.5)
    async with LeaseSession(harness.addresses, "two", terms) as second:
        async with LeaseSession(harness.addresses, "one", terms) as first:
            await first.wait_acquired(first.claim("task"))
            claim = second.claim("task")
        began = time.perf_counter()
        await second.wait_acquired(claim)
        return time.perf_counter() - began


if __name__ == "__main__":
    asyncio.run(main(*map(int, sys.argv[1:])))
