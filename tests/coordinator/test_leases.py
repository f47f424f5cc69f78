"""Leases held by processes under failures of the group, the clocks and the network."""

from __future__ import annotations

import asyncio
import signal
import time
from collections import Counter
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import aiohttp
import pytest

from heronreel.coordination.client import Client
from heronreel.coordination.errors import RequestError
from heronreel.coordination.model import LeaseGrant, LeaseKeepAlive, LeaseResponse, LeaseTimeToLive, Put
from heronreel.fault_injection.harness import Harness
from heronreel.fault_injection.managed_process import ROOT, ManagedProcess
from heronreel.fault_injection.resource_client import ResourceClient, ResourceRequest
from heronreel.fault_injection.trial import start_resource
from heronreel.fault_injection.worker import LOST, TASK, acquired_tokens
from heronreel.leases.claim import Claim
from heronreel.leases.lease import LeaseTerms
from heronreel.leases.session import LeaseSession
from tests.coordinator.group_support import MEMBER_NAMES, SHORT_LEASE_TERMS, put_until_done, value_of


async def acquired_token(worker: ManagedProcess, after: int = 0) -> int:
    """Wait for the first fencing token above `after` that the worker acquires."""
    async with asyncio.timeout(30):
        while True:
            if tokens := [token for token in acquired_tokens(worker.lines) if token > after]:
                return tokens[0]
            await asyncio.sleep(0.01)


def test_a_holder_paused_during_an_action_is_rejected_and_notices_the_loss(tmp_path: Path) -> None:
    async def run() -> None:
        async with Harness(tmp_path, ("a",), 5) as harness:
            history = tmp_path / "resource.history"
            port = await start_resource(harness, tmp_path / "table", history)

            async def worker(name: str) -> ManagedProcess:
                path = str(tmp_path / f"{name}.history")
                arguments = ("heronreel.fault_injection.worker", name, path, f"127.0.0.1:{port}", "2")
                return await harness.start_process(name, *arguments, *harness.addresses)

            first = await worker("w1")
            token = await acquired_token(first)
            second = await worker("w2")
            await second.wait_for_line("started")
            first.pause()  # This may be at any point between the check of its lease and the write.
            later = await acquired_token(second, token)
            first.resume()
            await first.wait_for_line(LOST, str(token))
            # The second worker releases the task, and the first acquires it again.
            async with asyncio.timeout(20):
                second.send_signal(signal.SIGTERM)
                assert await second.wait_for_exit() == 0
            assert await acquired_token(first, later) > later
            async with aiohttp.ClientSession() as session:
                resource = ResourceClient(f"127.0.0.1:{port}", session)
                response = await resource.write(ResourceRequest(TASK, token, 1, "w1"))
            assert not response.admitted and response.highest_token >= later

    asyncio.run(run())


def test_a_lease_survives_the_loss_of_the_leader_and_has_one_holder(tmp_path: Path) -> None:
    async def run() -> None:
        async with Harness(tmp_path, MEMBER_NAMES, 6) as harness:
            async with (
                LeaseSession(harness.addresses, "one", SHORT_LEASE_TERMS) as one,
                LeaseSession(harness.addresses, "two", SHORT_LEASE_TERMS) as two,
            ):
                claim, other = one.claim("task"), two.claim("task")
                token = await one.wait_acquired(claim) if await is_first(one, claim, two, other) else 0
                token = token or await two.wait_acquired(other)
                await harness.members[await harness.wait_for_leader()].kill()
                async with Client(harness.addresses) as client:
                    await put_until_done(client, b"k", b"1")
                    holder, mine = (one, claim) if claim.granted_token else (two, other)
                    await holder.wait_acquired(mine)
                    assert mine.granted_token == token  # The new leader restarts the time of the lease.
                    left = await client.call(LeaseTimeToLive(holder.lease.lease_id, True), 5.0)
                    assert isinstance(left, LeaseResponse) and left.keys == (b"held/task",) and left.ttl >= 0
                    assert not (claim.fencing_token(one.now()) and other.fencing_token(two.now()))

    async def is_first(one: LeaseSession, claim: Claim, two: LeaseSession, other: Claim) -> bool:
        waits = [asyncio.create_task(one.wait_acquired(claim)), asyncio.create_task(two.wait_acquired(other))]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()
        return bool(claim.granted_token)

    asyncio.run(run())


def test_a_lease_whose_grant_was_not_received_is_resumed(tmp_path: Path) -> None:
    async def run() -> None:
        async with Harness(tmp_path, ("a",), 11) as harness, Client(harness.addresses) as client:
            await harness.wait_until_available()
            relay = harness.network.client_relays["a"]
            async with LeaseSession(harness.addresses, "one", SHORT_LEASE_TERMS) as holder:
                claim = holder.claim("t")
                token = await holder.wait_acquired(claim)
                # Renewals arrive at the member, but their responses are lost.
                relay.responses.partitioned = True
                async with asyncio.timeout(20):
                    while claim.fencing_token(holder.now()):
                        await asyncio.sleep(0.01)
                relay.heal()
                assert await holder.wait_acquired(claim) >= token
                again = await client.call(LeaseKeepAlive(holder.lease.lease_id), 5.0)
                assert isinstance(again, LeaseResponse) and again.ttl == 2
                with pytest.raises(RequestError, match="exists"):
                    await client.call(LeaseGrant(2, holder.lease.lease_id), 5.0)

    asyncio.run(run())


def test_a_client_and_a_holder_that_reach_only_the_minority_are_rejected_and_stop(tmp_path: Path) -> None:
    async def run() -> None:
        async with Harness(tmp_path, MEMBER_NAMES, 15) as harness, Client(harness.addresses) as client:
            await harness.wait_until_healthy()
            alone = await harness.wait_for_leader()
            minority = [harness.address(alone)]
            async with (
                LeaseSession(minority, "one", SHORT_LEASE_TERMS) as holder,
                Client(minority) as isolated,
            ):
                claim = holder.claim("t")
                token = await holder.wait_acquired(claim)
                harness.network.partition(alone)
                with pytest.raises(RequestError):
                    await isolated.call(Put(b"k", b"minority"), 2.0)
                async with asyncio.timeout(20):
                    while claim.fencing_token(holder.now()):
                        await asyncio.sleep(0.01)
                    others = [address for address in harness.addresses if address not in minority]
                    async with LeaseSession(others, "two", SHORT_LEASE_TERMS) as second:
                        # The majority grants the claim under a greater fencing token.
                        assert await second.wait_acquired(second.claim("t")) > token
                        assert not claim.fencing_token(holder.now())
                harness.network.heal(alone)
                await harness.wait_until_healthy()
                assert await value_of(client, b"k") is None  # The rejected write had no effect.

    asyncio.run(run())


def test_jumps_of_the_wall_clock_affect_no_lease(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The wall clocks of the holder and of the member jump; the member's through a `sitecustomize` module."""
    (tmp_path / "jump").mkdir()
    (tmp_path / "jump" / "sitecustomize.py").write_text(
        "import time\n_real, _began = time.time, time.monotonic()\n"
        "time.time = lambda: _real() + (3600.0 if int(time.monotonic() - _began) % 2 else -3600.0)\n"
    )

    async def run() -> None:
        async with Harness(tmp_path, ("a",), 17) as harness:
            await harness.members["a"].kill()
            await harness.start_member("a", PYTHONPATH=f"{tmp_path / 'jump'}:{ROOT}")
            await harness.wait_until_available()
            async with LeaseSession(harness.addresses, "one", SHORT_LEASE_TERMS) as holder:
                claim = holder.claim("t")
                token = await holder.wait_acquired(claim)
                real = time.time
                for jump in (3600.0, -3600.0, 7200.0):
                    monkeypatch.setattr(time, "time", lambda jump=jump: real() + jump)
                    await asyncio.sleep(1.2)
                    assert claim.fencing_token(holder.now()) == token
                monkeypatch.undo()

    asyncio.run(run())


def test_200_holders_reconnect_without_a_thundering_herd(tmp_path: Path) -> None:
    holders = 200

    async def run() -> None:
        async with Harness(tmp_path, ("a",), 18) as harness:
            await harness.wait_until_available()
            terms = LeaseTerms(ttl_s=6, safety_margin_s=0.8, response_timeout_s=0.8)
            async with AsyncExitStack() as stack:
                claims = []
                for number in range(holders):
                    holder = await stack.enter_async_context(
                        LeaseSession(harness.addresses, f"h{number}", terms)
                    )
                    claims.append((holder, holder.claim(f"t{number}")))
                for holder, claim in claims:
                    await holder.wait_acquired(claim)
                await harness.members["a"].kill()
                request_times: list[float] = []
                loop = asyncio.get_running_loop()
                for holder, _ in claims:
                    call = holder.client.call

                    async def recording_call(request: Any, seconds: float, call: Any = call) -> Any:
                        request_times.append(loop.time())
                        return await call(request, seconds)

                    monkey.setattr(holder.client, "call", recording_call)
                async with asyncio.timeout(60):
                    while any(claim.fencing_token(holder.now()) for holder, claim in claims):
                        await asyncio.sleep(0.02)
                await harness.start_member("a")
                restarted = loop.time()
                request_times.clear()
                async with asyncio.timeout(60):
                    for holder, claim in claims:
                        await holder.wait_acquired(claim)
                worst = max(Counter(int(at / 0.1) for at in request_times).values())
                load = f"{len(request_times)} requests, at most {worst} in 0.1 s"
                print(f"{load}, all hold their leases again after {loop.time() - restarted:.2f} s")
            # In a thundering herd, each holder sends two requests at once: for its lease and for its claim.
            assert worst <= 0.75 * holders

    with pytest.MonkeyPatch.context() as monkey:
        asyncio.run(run())
