"""Tests of flushes and compactions: their pacing, their cost, and concurrent writes."""

from __future__ import annotations

import random
from contextlib import suppress

import pytest

from heronreel.store import Limits, Store, compaction_policy
from heronreel.store.fault_injecting_disk import FaultInjectingDisk
from tests.store.durability import SMALL_LIMITS, content

COMPACTION_STEPS = 18  # Steps of the compaction in the test of the first write after an opening.


class CompactionInterruptedError(Exception):
    """Raised by a progress callback to interrupt a compaction."""


class InterruptAfter:
    """A progress callback that interrupts a compaction after some steps."""

    def __init__(self, steps: int) -> None:
        self.steps_left = steps

    def __call__(self, done: int, total: int) -> None:
        self.steps_left -= 1
        if not self.steps_left:
            raise CompactionInterruptedError


@pytest.mark.parametrize("steps", range(5, 26))
def test_the_first_write_keeps_the_files_of_a_running_compaction(steps: int) -> None:
    """The first write after an opening starts the log and removes old segments.

    It must not remove the tables of a running compaction, which no manifest names yet.
    """
    disk = FaultInjectingDisk()
    with Store.open(disk, limits=SMALL_LIMITS) as store:
        for number in range(40):
            store.put(b"%02d" % number, bytes(60))
        store.maintain()
        expected = content(store)
    with Store.open(disk, limits=SMALL_LIMITS) as store:
        with suppress(CompactionInterruptedError):
            store.compact(InterruptAfter(steps))
        assert store.counters.compactions == (steps > COMPACTION_STEPS)  # Else it is still running.
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
    most = max_used_bytes = 0
    for number in range(400):
        store.put(b"%d" % (number % 8), bytes(1 << 15))
        most = max(most, len(store.stat()["runs"]))
        max_used_bytes = max(max_used_bytes, disk.used)
    assert most <= 8
    assert max_used_bytes < 4 * 8 * (1 << 15) + 2 * limits.log_bytes + 4 * limits.memtable_bytes


def test_the_compaction_policy_bounds_rewrites_and_garbage() -> None:
    """With random run sizes, rewrites per flushed byte and the size of the newer runs are bounded."""
    for seed in range(40):
        rng = random.Random(seed)
        runs: list[compaction_policy.RunWeight] = []
        flushed = rewritten = 0
        for _ in range(600):
            size = rng.choice((1, 1, 1, rng.randint(1, 4)))
            runs.append(compaction_policy.RunWeight(size, size, 0))
            flushed += size
            while (first := compaction_policy.oldest_run_to_compact(runs, 4)) is not None:
                merged_size = sum(run.size for run in runs[first:])
                runs[first:] = [compaction_policy.RunWeight(merged_size, merged_size, 0)]
                rewritten += merged_size
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
