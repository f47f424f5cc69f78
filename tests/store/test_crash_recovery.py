"""Tests of crash recovery: power losses at every point on the fault-injecting disk, checked with a model."""

from __future__ import annotations

import random
from contextlib import suppress

import pytest

from heronreel.store import Store
from heronreel.store.fault_injecting_disk import FaultInjectingDisk, PowerLoss
from tests.store.durability import (
    SMALL_LIMITS,
    DurabilityModel,
    content,
    lose_power_at,
    populate_store,
    run_workload,
)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_every_crash_point_keeps_acknowledged_writes(seed: int, capsys: pytest.CaptureFixture[str]) -> None:
    """The power is lost before, during and after every change of the disk; random unsynced data survives."""
    disk, model, rng = FaultInjectingDisk(), DurabilityModel(), random.Random(seed * 7919)
    seen: dict[str, int] = {}

    def watch(moment: str, operation: str, name: str) -> None:
        seen[operation] = seen.get(operation, 0) + 1
        for draw in range(2):
            label = (
                f"seed {seed}: crash {moment} {operation} {name}, operation {disk.operations}, draw {draw}"
            )
            model.check(disk.crash_image(rng), label)

    disk.watch = watch
    run_workload(model, disk, seed, 36)
    assert content(Store.open(disk)) == model.acknowledged
    assert {"create", "write", "sync", "rename", "remove", "sync_directory"} <= seen.keys()
    with capsys.disabled():
        print(f"\nrecovered from {2 * sum(seen.values())} crashes; operations: {seen}")


@pytest.mark.parametrize("seed", range(4))
def test_up_to_five_crashes_during_recovery_lose_nothing(seed: int) -> None:
    rng = random.Random(seed)
    disk, model = FaultInjectingDisk(), DurabilityModel()
    with pytest.raises(PowerLoss):
        lose_power_at(disk, rng.randrange(100, 400))
        run_workload(model, disk, seed, 60)
    for _ in range(60):
        image, depth = disk.crash_image(rng), 0
        while depth < 5:
            probe = image.crash_image(rng)
            lose_power_at(probe, rng.randrange(1, 30))
            try:
                Store.open(probe, limits=SMALL_LIMITS)
                break  # Recovery finished before the power loss.
            except PowerLoss:
                image, depth = probe.crash_image(rng), depth + 1
        model.check(image, f"seed {seed}: {depth} crashes during recovery")


@pytest.mark.parametrize("seed", range(12))
def test_two_interrupted_compactions_lose_nothing(seed: int) -> None:
    rng = random.Random(seed)
    disk = FaultInjectingDisk()
    expected = populate_store(disk)[-1]
    disk = disk.copy()
    for _ in range(2):
        store = Store.open(disk, limits=SMALL_LIMITS)
        lose_power_at(disk, rng.randrange(1, 90))
        with suppress(PowerLoss):
            store.compact()
        disk = disk.crash_image(rng)
    assert content(Store.open(disk, limits=SMALL_LIMITS)) == expected, f"seed {seed}"


def test_stale_frames_of_an_earlier_segment_are_ignored() -> None:
    """Valid frames of an earlier segment follow the last frame of this one, with the expected sequences.

    They fail the checksum only because each segment has its own salt.  Such frames appear if the file is
    extended into disk blocks of a removed segment.
    """
    disk, states = FaultInjectingDisk(), []
    for value in (b"former", b"latter"):
        with Store.open(disk) as store:
            for number in range(4):
                store.put(b"%d" % number, value)
                states.append(content(store))
            log = max(name for name in disk.list_names() if name.endswith(".log"))
            frames = disk.read_file(log)[72:]  # The segment's header has 72 bytes.
            if value == b"former":
                stale = frames
            else:
                after_two = disk.copy()
                after_two.overwrite(
                    log, disk.read_file(log)[: 72 + len(frames) // 2] + stale[len(frames) // 2 :]
                )
    reopened = Store.open(after_two)
    assert content(reopened) == states[5] and "never acknowledged" in str(reopened.dropped[0])


def test_a_clock_that_jumps_back_has_no_effect(monkeypatch: pytest.MonkeyPatch) -> None:
    rng = random.Random(1)
    for name in ("time", "monotonic", "perf_counter"):
        monkeypatch.setattr(f"time.{name}", lambda: 1e9 - rng.random() * 1e8)
    disk, model = FaultInjectingDisk(), DurabilityModel()
    run_workload(model, disk, 4, 60)
    assert content(Store.open(disk)) == model.acknowledged
