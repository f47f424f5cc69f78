"""What the tests of the store share: small limits, a drawn workload, and a model of what must be durable."""

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
"""Every write is a step or so from a new segment, a flush or a compaction."""


def content(store: Store) -> Model:
    return dict(store.scan())


class DurabilityModel:
    """Knows what was acknowledged and what is under way, and so what a store may hold after a crash."""

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
        return found == self.acknowledged or found == self.pending

    def check(self, disk: FaultInjectingDisk, label: str) -> None:
        """The store on `disk` opens, and holds what was acknowledged, and of the pending write all or
        nothing.
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
    """Mostly single writes over few keys, some deletions, some batches, some larger than a segment."""
    for number in range(writes):
        size = rng.choice((1, 1, 1, 3, 12))
        change: dict[bytes, bytes | None] = {}
        for _ in range(size):
            key = b"k%02d" % rng.randrange(24)
            change[key] = None if rng.random() < 0.25 else b"%d:" % number + bytes(rng.randrange(90))
        yield change


def run_workload(model: DurabilityModel, disk: Disk, seed: int, writes: int) -> None:
    """Writes in three openings, with a compaction in the middle of each."""
    rng = random.Random(seed)
    changes = list(random_changes(rng, writes))
    third = len(changes) // 3
    for part in (changes[:third], changes[third : 2 * third], changes[2 * third :]):
        with Store.open(disk, limits=SMALL_LIMITS) as store:
            for place, change in enumerate(part):
                model.write(store, change)
                if place == len(part) // 2:
                    store.compact()
                if place % 5 == 4:
                    store.sync()


def lose_power_at(disk: FaultInjectingDisk, operations: int) -> None:
    """The power goes before, during or after the operation of that number."""
    left = [operations]

    def watch(*_: str) -> None:
        left[0] -= 1
        if not left[0]:
            disk.power_off()
            raise PowerLoss

    disk.watch = watch


def populate_store(disk: FaultInjectingDisk) -> list[dict[bytes, bytes]]:
    """Write a store with runs and a log that is not closed; returns its states after each write."""
    states: list[dict[bytes, bytes]] = [{}]
    model = DurabilityModel()
    store = Store.open(disk, limits=SMALL_LIMITS)
    for change in random_changes(random.Random(5), 45):
        model.write(store, change)
        states.append(dict(model.acknowledged))
    return states
