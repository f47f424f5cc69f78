"""Helpers of the store's tests: small limits, a random workload, and a model of the durable content."""

from __future__ import annotations

import random
from collections.abc import Iterator

from heronreel.store import Limits, Store
from heronreel.store.disk import Disk
from heronreel.store.fault_injecting_disk import FaultInjectingDisk, PowerLoss

Model = dict[bytes, bytes]

SMALL_LIMITS = Limits(
    memtable_bytes=2400, segment_bytes=700, fragment_bytes=256, log_bytes=2000, block_bytes=120,
    table_bytes=500, step_bytes=256, sync_interval_bytes=400, group_bytes=2000,
)  # fmt: skip
"""Limits so small that almost every write is close to a new segment, a flush or a compaction."""


def content(store: Store) -> Model:
    """Return all records of a store."""
    return dict(store.scan())


class DurabilityModel:
    """Tracks acknowledged and pending writes, and so the contents that a store may have after a crash."""

    def __init__(self) -> None:
        self.acknowledged: Model = {}
        self.pending: Model | None = None

    def write(self, store: Store, change: dict[bytes, bytes | None]) -> None:
        """Write one batch, which is pending until it is acknowledged."""
        self.pending = dict(self.acknowledged)
        for key, value in change.items():
            if value is None:
                self.pending.pop(key, None)
            else:
                self.pending[key] = value
        with store.batch() as batch:
            for key, value in change.items():
                if value is None:
                    batch.delete(key)
                else:
                    batch.put(key, value)
        self.acknowledged, self.pending = self.pending, None

    def allows(self, found: Model) -> bool:
        """Return whether `found` is the acknowledged content, with all or nothing of the pending write."""
        return found == self.acknowledged or found == self.pending

    def check(self, disk: FaultInjectingDisk, label: str) -> None:
        """Assert that the store on `disk` opens with the acknowledged content.

        The pending write must be applied completely or not at all.
        """
        with Store.open(disk, limits=SMALL_LIMITS) as store:
            found = content(store)
            assert self.allows(found), f"{label}: {_difference(found, self.acknowledged)}"


def _difference(found: Model, expected: Model) -> str:
    missing = sorted(expected.keys() - found.keys())[:3]
    new = sorted(found.keys() - expected.keys())[:3]
    other = sorted(k for k in found.keys() & expected.keys() if found[k] != expected[k])[:3]
    return f"missing {missing}, unexpected {new}, other values {other}"


def random_changes(rng: random.Random, writes: int) -> Iterator[dict[bytes, bytes | None]]:
    """Yield random changes of few keys: mostly single writes, some deletions, batches and large changes.

    Some changes are larger than a log segment.
    """
    for number in range(writes):
        size = rng.choice((1, 1, 1, 3, 12))
        change: dict[bytes, bytes | None] = {}
        for _ in range(size):
            key = b"k%02d" % rng.randrange(24)
            change[key] = None if rng.random() < 0.25 else b"%d:" % number + bytes(rng.randrange(90))
        yield change


def run_workload(model: DurabilityModel, disk: Disk, seed: int, writes: int) -> None:
    """Write random changes in three openings of the store, with a compaction in the middle of each."""
    rng = random.Random(seed)
    changes = list(random_changes(rng, writes))
    third = len(changes) // 3
    for part in (changes[:third], changes[third : 2 * third], changes[2 * third :]):
        with Store.open(disk, limits=SMALL_LIMITS) as store:
            for position, change in enumerate(part):
                model.write(store, change)
                if position == len(part) // 2:
                    store.compact()
                if position % 5 == 4:
                    store.sync()


def lose_power_at(disk: FaultInjectingDisk, operations: int) -> None:
    """Make the disk lose power at the given number of calls to its `watch` callback.

    The callback is called before, during and after each operation that changes the disk.
    """
    calls_left = [operations]

    def watch(*_: str) -> None:
        calls_left[0] -= 1
        if not calls_left[0]:
            disk.power_off()
            raise PowerLoss

    disk.watch = watch


def populate_store(disk: FaultInjectingDisk) -> list[dict[bytes, bytes]]:
    """Write a store with runs and an open log; return its initial content and that after each write."""
    states: list[dict[bytes, bytes]] = [{}]
    model = DurabilityModel()
    store = Store.open(disk, limits=SMALL_LIMITS)
    for change in random_changes(random.Random(5), 45):
        model.write(store, change)
        states.append(dict(model.acknowledged))
    return states
