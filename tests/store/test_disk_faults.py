"""Tests of disk faults: failed fsyncs, full disks, I/O errors and short writes."""

from __future__ import annotations

import random

import pytest

from heronreel.store import CorruptionError, Store, WriteFailedError
from heronreel.store.fault_injecting_disk import Fault, FaultInjectingDisk
from tests.store.durability import SMALL_LIMITS, DurabilityModel, content, random_changes


def test_a_failed_fsync_rejects_later_writes() -> None:
    """After a failed fsync, that write and all later ones fail, and reads still work.

    The page cache still shows the failed write.  A reopening may keep it or drop it, and a later crash must
    not change that.
    """
    disk, model, rng = FaultInjectingDisk(), DurabilityModel(), random.Random(3)
    store = Store.open(disk)
    model.write(store, {b"before": b"1"})
    disk.fault = lambda call, name: Fault(5) if call == "sync" else None
    with pytest.raises(WriteFailedError) as failed:
        model.write(store, {b"during": b"2"})
    assert failed.value.final and failed.value.__cause__
    disk.fault = None
    with pytest.raises(WriteFailedError, match="fsync"):
        store.put(b"after", b"3")
    assert content(store) == {b"before": b"1"}
    store.close()
    # The page cache still shows the failed write.  Whether a reopening keeps or drops it must be durable.
    with Store.open(disk) as reopened:
        found = content(reopened)
        assert model.allows(found)
    for _ in range(20):
        assert content(Store.open(disk.crash_image(rng))) == found


@pytest.mark.parametrize("seed", range(6))
def test_a_full_disk_fails_writes_until_there_is_space(seed: int) -> None:
    rng = random.Random(seed)
    disk, model = FaultInjectingDisk(capacity=6000), DurabilityModel()
    store = Store.open(disk, limits=SMALL_LIMITS)
    failed = succeeded = 0
    for round_number in range(6):
        for change in random_changes(rng, 20):
            try:
                model.write(store, change)
                succeeded += 1
            except WriteFailedError as error:
                assert not error.final
                model.pending = None
                failed += 1
            assert content(store) == model.acknowledged, f"seed {seed}"
        disk.capacity = 1 << 20 if round_number % 2 else disk.used + rng.randrange(500)
    assert failed and succeeded > 40
    disk.capacity = 1 << 30
    model.write(store, {b"room": b"again"})
    for _ in range(20):
        model.check(disk.crash_image(rng), f"seed {seed}")
    store.close()
    assert content(Store.open(disk)) == model.acknowledged


@pytest.mark.parametrize("seed", range(8))
def test_errors_and_short_writes_at_any_operation(seed: int) -> None:
    """After any failed operation, reads return the acknowledged content, also after a crash and reopening."""
    rng = random.Random(seed)
    disk, model = FaultInjectingDisk(), DurabilityModel()

    def fault(call: str, name: str) -> Fault | None:
        if rng.random() > 0.03:
            return None
        return Fault(rng.choice((5, 28)), rng.choice((0, 7)) if call == "write" else 0)

    store: Store | None = None
    for change in random_changes(rng, 150):
        disk.fault = fault
        try:
            store = store or Store.open(disk, limits=SMALL_LIMITS)
            model.write(store, change)
        except (OSError, WriteFailedError, CorruptionError) as error:
            disk.fault = None
            if store is None:
                assert isinstance(error, OSError) or error.lost[0].why == "the file is missing"  # type: ignore
                continue
            assert isinstance(error, WriteFailedError)
            assert content(store) == model.acknowledged
            if error.final:
                image = disk.crash_image(rng)
                model.check(image, f"seed {seed}")
                disk = image.crash_image(rng)
                store = Store.open(disk, limits=SMALL_LIMITS)
                model.acknowledged = content(store)
            model.pending = None
