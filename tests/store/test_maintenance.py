"""Flushes and compactions: their pacing, their cost, and writes beside them."""

from __future__ import annotations

import random
from contextlib import suppress

import pytest

from heronreel.store import Limits, Store, compaction_policy
from heronreel.store.fault_injecting_disk import FaultInjectingDisk
from tests.store.durability import SMALL_LIMITS, content

COMPACTION_STEPS = 18  # that the compaction of the next test takes


class CompactionInterruptedError(Exception):
    """Raised out of a compaction by its caller."""


class InterruptAfter:
    """The progress of a compaction whose caller gives up after some steps."""

    def __init__(self, steps: int) -> None:
        self.steps_left = steps

    def __call__(self, done: int, total: int) -> None:
        self.steps_left -= 1
        if not self.steps_left:
            raise CompactionInterruptedError


@pytest.mark.parametrize("steps", range(5, 26))
def test_a_compaction_under_way_at_the_first_write_keeps_its_files(steps: int) -> None:
    """The first write after an opening begins the log and tidies up: not what no manifest names yet."""
    disk = FaultInjectingDisk()
    with Store.open(disk, limits=SMALL_LIMITS) as store:
        for number in range(40):
            store.put(b"%02d" % number, bytes(60))
        store.maintain()
        expected = content(store)
    with Store.open(disk, limits=SMALL_LIMITS) as store:
        with suppress(CompactionInterruptedError):
            store.compact(InterruptAfter(steps))
        assert store.counters.compactions == (steps > COMPACTION_STEPS)  # else it is under way
        store.put(b"first", b"write")
        store.maintain()
    assert content(Store.open(disk, limits=SMALL_LIMITS)) == expected | {b"first": b"write"}


def test_large_writes_do_not_outrun_compaction() -> None:
    limits = Limits(
        memtable_bytes=1 << 16,
        segment_bytes=1 << 16,
        log_bytes=1 << 18,
        table_bytes=1 << 18,
        step_bytes=1024,
        sync_interval_bytes=1 << 14,
    )
    disk = FaultInjectingDisk()
    store = Store.open(disk, limits=limits)
    most = used = 0
    for number in range(400):
        store.put(b"%d" % (number % 8), bytes(1 << 15))
        most = max(most, len(store.stat()["runs"]))
        used = max(used, disk.used)
    assert most <= 8
    assert used < 4 * 8 * (1 << 15) + 2 * limits.log_bytes + 4 * limits.memtable_bytes


def test_the_compaction_policy_bounds_rewrites_and_garbage() -> None:
    """Bytes written by merges over bytes flushed, and the share of newer runs, over drawn sizes."""
    for seed in range(40):
        rng = random.Random(seed)
        runs: list[compaction_policy.RunWeight] = []
        flushed = rewritten = 0
        for _ in range(600):
            size = rng.choice((1, 1, 1, rng.randint(1, 4)))
            runs.append(compaction_policy.RunWeight(size, size, 0))
            flushed += size
            while (first := compaction_policy.oldest_run_to_compact(runs, 4)) is not None:
                whole = sum(run.size for run in runs[first:])
                runs[first:] = [compaction_policy.RunWeight(whole, whole, 0)]
                rewritten += whole
            assert len(runs) <= 12
            if runs[0].size >= 4:
                assert sum(run.size for run in runs[1:]) < max(runs[0].size, 13), f"seed {seed}: {runs}"
        assert rewritten / flushed < 10, f"seed {seed}"
    assert (
        compaction_policy.oldest_run_to_compact(
            [compaction_policy.RunWeight(1000, 10, 0), compaction_policy.RunWeight(10, 5, 5)], 4
        )
        == 0
    )
    assert compaction_policy.oldest_run_to_compact([compaction_policy.RunWeight(1000, 10, 2)], 4) == 0


def test_overwrites_of_one_key_fill_neither_memory_nor_disk() -> None:
    disk, value = FaultInjectingDisk(), bytes(16)
    store = Store.open(disk, limits=Limits(log_bytes=1 << 20, memtable_bytes=1 << 20))
    most = 0
    for number in range(100):
        store.write([[(b"key", b"%d" % at + value) for at in range(number * 10000, (number + 1) * 10000)]])
        most = max(most, disk.used)
    assert store.get(b"key") == b"999999" + value
    assert store.stat()["memory_entries"] <= 2
    store.maintain()
    store.compact()
    assert disk.used < 2 << 20 and most < 6 << 20
