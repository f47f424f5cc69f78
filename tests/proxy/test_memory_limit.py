"""The proxy's peak memory stays within `memory_mb`, whatever its peers make it hold."""

from __future__ import annotations

import asyncio
import signal
from contextlib import AsyncExitStack
from dataclasses import replace
from pathlib import Path

import pytest

from tests.support.lifecycle import shared_socket, until_health
from tests.support.loopback import run, running_proxy
from tests.support.memory_load import (
    KINDS,
    Crowd,
    Kind,
    MemoryMeter,
    peak_kb,
    proxy_with_backends,
    slow_backends,
)

KB_PER_MB = 1 << 10
CLIENTS = 240
LOAD_S = 5.0  # longer than the start of a process and the drain of another
HELD_AFTER_S = 1.0  # when the first requests have been read; their backends take longer
LIMITS = [(32, 256), (32, 1024), (64, 1024), (192, 1024)]  # memory in MB, descriptors
# `bench/peak_memory.py` measures the kinds with the other limits, which take longer.
LIMITS_OF_ONE_KIND = [(32, 1024), (64, 1024)]


async def assert_peak_within_limit(path: Path, memory_mb: int, sockets: int, kinds: list[Kind]) -> None:
    async with proxy_with_backends(path, memory_mb, sockets) as proxy:
        crowd = Crowd(proxy)
        await crowd.run(kinds)
        peak = peak_kb(proxy)
        print(f"peak {peak} kB of {memory_mb * KB_PER_MB}, usual requests {dict(crowd.statuses)}")
        assert proxy.process.returncode is None
        assert peak <= memory_mb * KB_PER_MB


@pytest.mark.parametrize("name", KINDS)
@pytest.mark.parametrize(("memory_mb", "sockets"), LIMITS_OF_ONE_KIND)
def test_a_crowd_of_one_kind_never_exceeds_the_memory_limit(
    tmp_path: Path, name: str, memory_mb: int, sockets: int
) -> None:
    run(assert_peak_within_limit(tmp_path, memory_mb, sockets, [KINDS[name]]))


@pytest.mark.parametrize(("memory_mb", "sockets"), LIMITS)
def test_crowds_of_all_kinds_at_once_never_exceed_the_memory_limit(
    tmp_path: Path, memory_mb: int, sockets: int
) -> None:
    kinds = [replace(kind, clients=kind.clients // 3) for kind in KINDS.values()]
    run(assert_peak_within_limit(tmp_path, memory_mb, sockets, kinds))


@pytest.mark.parametrize("begins", ["before the upgrade", "while the successor starts"])
@pytest.mark.parametrize("memory_mb", [64, 96])
def test_the_processes_of_an_upgrade_never_exceed_the_memory_limit_together(
    tmp_path: Path, memory_mb: int, begins: str
) -> None:
    """A successor took the whole limit at SIGTERM, while its predecessor still held its requests."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        async with AsyncExitStack() as stack:
            config = await stack.enter_async_context(slow_backends(memory_mb, 1024))
            shared = stack.enter_context(shared_socket())
            old = await stack.enter_async_context(running_proxy(tmp_path, config, True, shared))
            crowd, meter = Crowd(old), MemoryMeter([old])
            sampling = asyncio.create_task(meter.run())
            sending = asyncio.create_task(crowd.keep_sending(CLIENTS, loop.time() + LOAD_S))
            if begins == "before the upgrade":
                await asyncio.sleep(HELD_AFTER_S)
            new = await stack.enter_async_context(running_proxy(tmp_path, config, True, shared))
            meter.processes.append(new)
            await until_health(new, "200")
            old.signal(signal.SIGTERM)
            await sending
            sampling.cancel()
            print(f"peak {meter.peak_kb} kB of {memory_mb * KB_PER_MB}, {dict(crowd.statuses)}")
            assert crowd.statuses["200"]
            assert meter.peak_kb <= memory_mb * KB_PER_MB

    run(scenario())
