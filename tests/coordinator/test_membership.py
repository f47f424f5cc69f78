"""Membership changes of a group that serves requests."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Sequence
from pathlib import Path

from heronreel.coordination.client import Client
from heronreel.coordination.errors import RequestError
from heronreel.fault_injection.harness import Harness
from heronreel.leases import administration
from heronreel.leases.lease import LeaseTerms
from heronreel.leases.session import LeaseSession
from tests.coordinator.group_support import MEMBER_NAMES, other_than, put_until_done, value_of


async def change_membership(client: Client, names: Sequence[str]) -> None:
    """Change the members of the group, and wait until the change is complete."""
    async with asyncio.timeout(60):
        while True:
            try:
                await administration.resize_group(client, names)
                if sorted((await administration.group_overview(client))["disks"]) == sorted(names):
                    return
            except RequestError:
                pass
            await asyncio.sleep(0.05)


def test_a_group_grows_to_three_members_and_shrinks_to_a_different_one_while_serving(tmp_path: Path) -> None:
    """Writes continue, a lease is kept, and no confirmed write is lost, although a member is killed."""

    async def run() -> None:
        async with Harness(tmp_path, ("a",), 14) as harness, Client([harness.address("a")]) as first:
            written: list[bytes] = []
            done = asyncio.Event()

            async def write() -> None:
                async with Client([harness.address("a")]) as client:
                    while not done.is_set():
                        client.addresses = harness.addresses
                        key = b"k%d" % len(written)
                        await put_until_done(client, key, b"1")
                        written.append(key)

            await put_until_done(first, b"begin", b"1")
            writing = asyncio.create_task(write())
            terms = LeaseTerms(ttl_s=6, safety_margin_s=0.5, response_timeout_s=0.5)
            async with LeaseSession([harness.address("a")], "one", terms) as session:
                claim = session.claim("t")
                token = await session.wait_acquired(claim)
                for name in ("b", "c"):
                    await harness.add_member(name)
                session.client.addresses = harness.addresses
                await change_membership(first, MEMBER_NAMES)
                first.addresses = harness.addresses
                await harness.wait_until_healthy()
                assert claim.fencing_token(session.now()) == token
                await harness.members["a"].kill()  # A group of three members tolerates the loss of one.
                count = len(written)
                async with asyncio.timeout(30):
                    while len(written) < count + 20:
                        await asyncio.sleep(0.01)
                await harness.start_member("a")
                await harness.wait_until_healthy()
                # The remaining member is not the leader, so the leader has to remove itself.
                survivor = other_than(await harness.wait_for_leader())
                await change_membership(first, [survivor])
                for name in MEMBER_NAMES:
                    if name != survivor:
                        await harness.remove_member(name)
                first.addresses = session.client.addresses = harness.addresses
                await harness.wait_until_healthy()
                assert claim.fencing_token(session.now()) == token
                count = len(written)
                async with asyncio.timeout(30):
                    while len(written) < count + 20:
                        await asyncio.sleep(0.01)
            done.set()
            await writing
            for key in (b"begin", *written):
                assert await value_of(first, key) == b"1", key
            rows = json.loads(await asyncio.to_thread(harness.run_command, "members", "--json"))
            assert list(rows["disks"]) == [survivor] == rows["wish"]
            rejected = await asyncio.to_thread(harness.run_command, "members", "--set", "z", expected_code=78)
            assert "'z' is none of" in rejected

    asyncio.run(run())
