"""Tests of the asyncio interface: shared fsyncs, the bounded write queue, and failures."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from heronreel.store import AsyncStore, InvalidArgumentError, Store, StoreClosedError, WriteFailedError
from heronreel.store.fault_injecting_disk import Fault, FaultInjectingDisk


def test_asyncio_writers_share_an_fsync(tmp_path: Path) -> None:
    async def run_scenario() -> None:
        async with await AsyncStore.open(tmp_path) as store:
            await asyncio.gather(*(store.put(b"%03d" % n, b"%d" % n) for n in range(500)))
            assert store.store.counters.groups < 50
            assert await store.get(b"007") == b"7" and await store.get(b"x") is None
            async with store.batch() as batch:
                batch.put(b"b", b"1")
                batch.delete(b"007")
            await store.delete(b"008")
            await store.sync()
            await store.compact()
            assert await store.get(b"007") is None and await store.get(b"009") == b"9"
            found = [key async for key, _ in store.scan(b"0")]
            assert found == [b"%03d" % n for n in range(100) if n not in (7, 8)]
            cancelled_put = asyncio.ensure_future(store.put(b"late", b"1"))
            await asyncio.sleep(0)
            cancelled_put.cancel()
            with pytest.raises(InvalidArgumentError):
                await store.put(b"", b"")
            # These values exceed the queue's limit together; all of them must be written.
            await asyncio.gather(*(store.put(b"big%d" % n, bytes(1 << 20)) for n in range(24)))
        with pytest.raises(StoreClosedError):
            await store.put(b"a", b"b")

    asyncio.run(run_scenario())
    assert len([1 for _ in Store.open(tmp_path, read_only=True).scan(b"big")]) == 24


def test_asyncio_writers_get_the_error_of_a_failed_fsync() -> None:
    async def run_scenario() -> None:
        disk = FaultInjectingDisk()
        store = await AsyncStore.open(disk)
        disk.fault = lambda call, name: Fault(5) if call == "sync" else None
        results = await asyncio.gather(*(store.put(b"%d" % n, b"") for n in range(9)), return_exceptions=True)
        assert all(isinstance(result, WriteFailedError) and result.final for result in results)
        assert await store.get(b"1") is None
        await store.close()

    asyncio.run(run_scenario())
