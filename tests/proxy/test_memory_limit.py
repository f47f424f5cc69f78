"""The proxy's peak memory stays within `memory_mb`, whatever its peers make it hold."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from tests.support.loopback import run
from tests.support.memory_load import KINDS, Crowd, Kind, peak_kb, proxy_with_backends

KB_PER_MB = 1 << 10
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
