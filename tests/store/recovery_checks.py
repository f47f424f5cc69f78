"""What the tests of the store share: small limits, a scripted run, and the judge of what recovery found."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator

from heronreel.store import Limits, Store
from heronreel.store.disk import Disk
from heronreel.store.fault_injecting_disk import FaultInjectingDisk

Model = dict[bytes, bytes]
Step = Callable[[Store], None]

TINY = Limits(
    memtable_bytes=2400, segment_bytes=700, fragment_bytes=256, log_bytes=2000, block_bytes=120,
    table_bytes=500, step_bytes=256, sync_interval_bytes=400, group_bytes=2000,
)  # fmt: skip
"""Every write is a step or so from a new segment, a flush or a merge."""


def content(store: Store) -> Model:
    return dict(store.scan())


class Judge:
    """Knows what was acknowledged and what is under way, and what a store may therefore hold after a
    crash.
    """

    def __init__(self) -> None:
        self.acknowledged: Model = {}
        self.begun: Model | None = None

    def write(self, store: Store, change: dict[bytes, bytes | None]) -> None:
        """One batch, whole or not there."""
        self.begun = dict(self.acknowledged)
        for key, value in change.items():
            if value is None:
                self.begun.pop(key, None)
            else:
                self.begun[key] = value
        with store.batch() as batch:
            for key, value in change.items():
                if value is None:
                    batch.delete(key)
                else:
                    batch.put(key, value)
        self.acknowledged, self.begun = self.begun, None

    def allows(self, found: Model) -> bool:
        return found == self.acknowledged or found == self.begun

    def check(self, disk: FaultInjectingDisk, words: str) -> None:
        """The store on `disk` opens, and holds all that was acknowledged and nothing but that and what was
        begun.
        """
        with Store.open(disk, limits=TINY) as store:
            found = content(store)
            assert self.allows(found), f"{words}: {_difference(found, self.acknowledged)}"


def _difference(found: Model, expected: Model) -> str:
    missing = sorted(expected.keys() - found.keys())[:3]
    new = sorted(found.keys() - expected.keys())[:3]
    other = sorted(k for k in found.keys() & expected.keys() if found[k] != expected[k])[:3]
    return f"missing {missing}, unexpected {new}, other values {other}"


def script(rng: random.Random, writes: int) -> Iterator[dict[bytes, bytes | None]]:
    """Changes: mostly single writes over few keys, some deletions, some batches, some larger than a
    segment.
    """
    for number in range(writes):
        size = rng.choice((1, 1, 1, 3, 12))
        change: dict[bytes, bytes | None] = {}
        for _ in range(size):
            key = b"k%02d" % rng.randrange(24)
            change[key] = None if rng.random() < 0.25 else b"%d:" % number + bytes(rng.randrange(90))
        yield change


def play(judge: Judge, disk: Disk, seed: int, writes: int) -> None:
    """The scripted run: writes in three openings, with a compaction in the middle."""
    rng = random.Random(seed)
    changes = list(script(rng, writes))
    third = len(changes) // 3
    for part in (changes[:third], changes[third : 2 * third], changes[2 * third :]):
        with Store.open(disk, limits=TINY) as store:
            for place, change in enumerate(part):
                judge.write(store, change)
                if place == len(part) // 2:
                    store.compact()
                if place % 5 == 4:
                    store.sync()
