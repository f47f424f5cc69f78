"""The HTTP interface of a member: watches, and the limits of requests."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import aiohttp

from heronreel.coordination.client import Client
from heronreel.coordination.model import (
    Range,
    RangeResponse,
)
from heronreel.fault_injection.harness import Harness
from tests.coordinator.group_support import MEMBER_NAMES, put_until_done


def test_a_watch_continues_across_leaders_and_one_that_fell_behind_is_canceled(tmp_path: Path) -> None:
    async def run() -> None:
        async with Harness(tmp_path, MEMBER_NAMES, 7) as harness, Client(harness.addresses) as client:
            await put_until_done(client, b"w/0", b"0")
            seen: list[bytes] = []
            missed = 0

            async def collect(changes: AsyncIterator[Any]) -> None:
                nonlocal missed
                async for change in changes:
                    missed += change.missed
                    if change.missed:
                        found = await client.call(Range(b"w/", b"w0"), 10.0)
                        assert isinstance(found, RangeResponse)
                        seen.extend(key for key, _ in found.records)
                    seen.extend(event.key for event in change.events)

            task = asyncio.create_task(collect(client.watch(b"w/", b"w0", 1)))
            await harness.wait_until_healthy()
            await harness.members[await harness.wait_for_leader()].kill()
            for number in range(1, 6):
                await put_until_done(client, b"w/%d" % number, b"1")
            async with asyncio.timeout(20):
                while not {b"w/%d" % number for number in range(6)} <= set(seen):
                    assert not task.done(), task.exception()
                    await asyncio.sleep(0.02)
            task.cancel()
            body = {"create_request": {"key": "dw==", "start_revision": "1"}}
            address = harness.address(await harness.wait_for_leader())
            async with aiohttp.ClientSession() as session:
                async with session.post(f"http://{address}/v3/watch", json=body) as response:
                    lines = [json.loads(await response.content.readline()) for _ in range(2)]
            assert lines[1]["result"]["canceled"] and int(lines[1]["result"]["compact_revision"]) > 1

    asyncio.run(run())


def test_malformed_and_oversized_requests_are_rejected(tmp_path: Path) -> None:
    async def run() -> None:
        async with Harness(tmp_path, ("a",), 8) as harness, aiohttp.ClientSession() as session:
            await harness.wait_until_available()
            base = f"http://{harness.address('a')}"
            async with session.post(f"{base}/v3/kv/put", data=b"{") as response:
                assert response.status == 400 and (await response.json())["code"] == 3
            async with session.post(f"{base}/v3/kv/put", data=b"[" * 100_000) as response:
                assert response.status == 400
            async with session.post(f"{base}/member", data=b"\x01") as response:
                assert response.status == 400
            reader, writer = await asyncio.open_connection(*harness.network.client_relays["a"].target)
            head = b"POST /v3/kv/put HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
            writer.write(head % (64 << 20) + b"x" * 999)
            assert b" 429 " in await reader.readline()
            writer.close()
            reader, writer = await asyncio.open_connection(*harness.network.client_relays["a"].target)
            writer.write(head % 500 + b"{")
            async with asyncio.timeout(20):  # The rest of the body never arrives.
                assert b" 400 " in await reader.readline()
            writer.close()

    asyncio.run(run())


def test_a_body_that_arrives_byte_by_byte_is_rejected_in_time(tmp_path: Path) -> None:
    async def run() -> None:
        async with Harness(tmp_path, ("a",), 16) as harness:
            await harness.wait_until_available()
            host, _, port = harness.address("a").partition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"POST /v3/kv/put HTTP/1.1\r\nHost: g\r\nContent-Length: 400\r\n\r\n")

            async def drip() -> None:
                while True:
                    writer.write(b"{")
                    await asyncio.sleep(1.0)

            dripping = asyncio.create_task(drip())
            async with asyncio.timeout(30):
                head = await reader.readline()
                # The server closes the connection, so the client reads to the end.
                assert b" 400 " in head and b"not here within" in await reader.read()
            dripping.cancel()
            await harness.wait_until_available()

    asyncio.run(run())
