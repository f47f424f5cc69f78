"""Groups of processes under the loss of members, disks and connections."""

from __future__ import annotations

import asyncio
import shutil
from pathlib import Path

import pytest

from heronreel.coordination.client import Client
from heronreel.coordination.errors import RequestError, StatusCode
from heronreel.coordination.model import Put, Range
from heronreel.fault_injection.harness import Harness
from tests.coordinator.group_support import MEMBER_NAMES, other_than, put_until_done, value_of


def test_the_loss_of_one_member_and_its_disk_is_tolerated_and_the_loss_of_two_is_not(tmp_path: Path) -> None:
    async def run() -> None:
        async with Harness(tmp_path, MEMBER_NAMES, 1) as harness, Client(harness.addresses) as client:
            for count, name in enumerate((*MEMBER_NAMES, await harness.wait_for_leader())):
                await harness.wait_until_healthy()
                await put_until_done(client, b"k", b"%d" % count)
                await harness.members[name].kill()
                shutil.rmtree(tmp_path / name)
                await put_until_done(client, b"other", b"%d" % count)  # The other members continue.
                await harness.start_member(name)
                await harness.wait_until_healthy()
                assert await value_of(client, b"k") == b"%d" % count
            leader = await harness.wait_for_leader()
            for name in MEMBER_NAMES:
                if name != leader:
                    await harness.members[name].kill()
            with pytest.raises(RequestError):
                await client.call(Put(b"k", b"lost"), 2.0)
            async with Client([harness.address(leader)]) as alone:
                with pytest.raises(RequestError) as raised:
                    # A read fails as well, because another member may have become the leader.
                    await alone.call(Range(b"k"), 2.5)
                assert raised.value.code in (
                    StatusCode.UNAVAILABLE,
                    StatusCode.DEADLINE_EXCEEDED,
                    StatusCode.UNKNOWN,
                )
            for name in MEMBER_NAMES:
                if name != leader:
                    await harness.start_member(name)
            await put_until_done(client, b"last", b"1")
            assert await value_of(client, b"other") == b"3"

    asyncio.run(run())


def test_a_leader_that_crashes_around_a_write_loses_no_acknowledged_write(tmp_path: Path) -> None:
    """The process crashes at a crash point: before a disk write, after it, or after sending messages."""

    async def run() -> None:
        async with Harness(tmp_path, MEMBER_NAMES, 2) as harness, Client(harness.addresses) as client:
            for count in range(6):
                await harness.wait_until_healthy()
                leader = await harness.wait_for_leader()
                await harness.members[leader].kill()
                point = ("write", "written", "sent")[count % 3]
                await harness.start_member(leader, HERONREEL_END_AT=f"{point}:{count + 4}")
                for number in range(4):
                    await put_until_done(client, b"n%d" % count, b"%d" % number)
                if harness.members[leader].running:
                    await harness.members[leader].kill()
                await harness.members[leader].wait_for_exit()
                await harness.start_member(leader)
                assert await value_of(client, b"n%d" % count) == b"3"
            for count in range(6):
                assert await value_of(client, b"n%d" % count) == b"3"

    asyncio.run(run())


def test_a_disk_that_was_rolled_back_is_detected_and_erased(tmp_path: Path) -> None:
    async def run() -> None:
        async with Harness(tmp_path, MEMBER_NAMES, 3) as harness, Client(harness.addresses) as client:
            await put_until_done(client, b"k", b"old")
            await harness.wait_until_healthy()
            rolled_back = other_than(await harness.wait_for_leader())
            await harness.members[rolled_back].kill()
            shutil.copytree(tmp_path / rolled_back, tmp_path / "backup")
            await harness.start_member(rolled_back)
            await harness.wait_until_healthy()
            for number in range(5):
                await put_until_done(client, b"k", b"%d" % number)
            await harness.wait_until_replicated()
            # A member that has this write has confirmed the fifth write as well.
            await put_until_done(client, b"k", b"last")
            await harness.wait_until_replicated()
            # This write contains the record of the versions that each member has confirmed.
            await put_until_done(client, b"k", b"new")
            await harness.members[rolled_back].kill()
            shutil.rmtree(tmp_path / rolled_back)
            shutil.copytree(tmp_path / "backup", tmp_path / rolled_back)
            process = await harness.start_member(rolled_back)
            await process.wait_for_line("disk rollback detected")
            await harness.wait_until_healthy()
            assert await value_of(client, b"k") == b"new"

    asyncio.run(run())


def test_one_way_partitions_and_a_paused_leader_are_tolerated(tmp_path: Path) -> None:
    async def run() -> None:
        async with Harness(tmp_path, MEMBER_NAMES, 4) as harness, Client(harness.addresses) as client:
            await harness.wait_until_healthy()
            leader = await harness.wait_for_leader()
            other = other_than(leader)
            link = harness.network.peer_relays[leader, other]
            link.requests.partitioned = True  # The other member receives nothing from the leader.
            for number in range(20):
                await client.call(Put(b"k", b"%d" % number), 3.0)
            # The isolated member does not disrupt the leader.
            assert await harness.wait_for_leader() == leader
            link.heal()
            await harness.wait_until_healthy()
            leader = await harness.wait_for_leader()
            harness.members[leader].pause()
            other_addresses = [harness.address(name) for name in MEMBER_NAMES if name != leader]
            async with Client(other_addresses) as others:
                await put_until_done(others, b"k", b"later")
            harness.members[leader].resume()
            async with Client([harness.address(leader)]) as resumed:
                assert await value_of(resumed, b"k") == b"later"  # The resumed leader returns no stale value.
            # The leader receives nothing, while the others receive its messages.  It steps down, and another
            # member is elected.
            await harness.wait_until_healthy()
            leader = await harness.wait_for_leader()
            for name in MEMBER_NAMES:
                if name != leader:
                    harness.network.peer_relays[name, leader].requests.partitioned = True
            await put_until_done(client, b"k", b"last")
            assert await harness.wait_for_leader() != leader

    asyncio.run(run())


def test_a_member_with_a_full_disk_fails_and_one_with_a_corrupt_disk_does_not_start(tmp_path: Path) -> None:
    async def run() -> None:
        async with Harness(tmp_path, MEMBER_NAMES, 9) as harness, Client(harness.addresses) as client:
            await harness.wait_until_healthy()
            full = await harness.wait_for_leader()
            harness.fill_disk(full)
            await put_until_done(client, b"k", b"1")
            await harness.members[full].wait_for_line("disk write failed")
            harness.free_disk(full)
            await harness.wait_until_healthy()
            name = other_than(await harness.wait_for_leader())
            await harness.members[name].kill()
            log = max((tmp_path / name).glob("*.log"), key=lambda path: path.stat().st_size)
            data = bytearray(log.read_bytes())
            data[len(data) // 2] ^= 0xFF
            log.write_bytes(data)
            table = next(iter((tmp_path / name).glob("*.table")), None)
            if table is not None:
                table.write_bytes(b"x" * table.stat().st_size)
            arguments = ("heronreel.cli", "coordinate", str(tmp_path / f"{name}.toml"), "--name", name)
            corrupt = await harness.start_process("corrupt", *arguments, "--folder", str(tmp_path / name))
            assert await corrupt.wait_for_exit() == 74
            await corrupt.wait_for_line("start failed")
            await put_until_done(client, b"k", b"2")
            other_member = await harness.start_process(
                "other", *arguments[:4], "c" if name != "c" else "b", "--folder", str(tmp_path / "nothing"),
                "--listen", "127.0.0.1:0",
            )  # fmt: skip
            await other_member.wait_for_line("listening")

    asyncio.run(run())
