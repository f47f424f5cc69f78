"""Tests the store against a dictionary, with random sequences of operations from Hypothesis."""

from __future__ import annotations

import random
from typing import Any

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from heronreel.store import Store
from heronreel.store.fault_injecting_disk import FaultInjectingDisk, PowerLoss
from tests.store.durability import SMALL_LIMITS, DurabilityModel, content, lose_power_at

KEYS = st.sampled_from([b"a", b"ab", b"b", b"c", b"\xff", b"\xff\xff", b"z" * 40])


VALUES = st.one_of(st.none(), st.sampled_from([b"", b"1", b"2" * 30, b"3" * 800]))


class StoreAgainstModel(RuleBasedStateMachine):
    """Compares the store with a dictionary through crashes, compactions, snapshots and reopenings."""

    @initialize(seed=st.integers(0, 1 << 16))
    def begin(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.disk = FaultInjectingDisk()
        self.model = DurabilityModel()
        self.store = Store.open(self.disk, limits=SMALL_LIMITS)
        self.snapshots: list[tuple[Any, dict[bytes, bytes]]] = []

    @rule(change=st.dictionaries(KEYS, VALUES, min_size=1, max_size=6))
    def write(self, change: dict[bytes, bytes | None]) -> None:
        self.model.write(self.store, change)

    @rule(change=st.dictionaries(KEYS, VALUES, min_size=1), calls=st.integers(1, 60))
    def crash_during_a_write(self, change: dict[bytes, bytes | None], calls: int) -> None:
        lose_power_at(self.disk, calls)
        try:
            self.model.write(self.store, change)
            self.store.compact()
        except PowerLoss:
            pass
        self.crash()

    @rule()
    def crash(self) -> None:
        self.disk = self.disk.crash_image(self.rng)
        self.store = Store.open(self.disk, limits=SMALL_LIMITS)
        found = content(self.store)
        assert self.model.allows(found)
        self.model.acknowledged, self.model.pending = found, None
        self.snapshots.clear()

    @rule()
    def compact(self) -> None:
        self.store.compact()

    @rule(budget=st.integers(1, 2000))
    def maintain(self, budget: int) -> None:
        self.store.maintain(budget)

    @rule()
    def reopen(self) -> None:
        self.store.close()
        self.store = Store.open(self.disk, limits=SMALL_LIMITS)

    @precondition(lambda self: len(self.snapshots) < 3)
    @rule()
    def take_snapshot(self) -> None:
        self.snapshots.append((self.store.snapshot(), dict(self.model.acknowledged)))

    @rule(prefix=st.sampled_from([b"a", b"\xff", b"z"]), key=KEYS)
    def read(self, prefix: bytes, key: bytes) -> None:
        expected = sorted(i for i in self.model.acknowledged.items() if i[0].startswith(prefix))
        assert list(self.store.scan(prefix)) == expected
        assert self.store.get(key) == self.model.acknowledged.get(key)

    @invariant()
    def content_matches_the_model(self) -> None:
        assert content(self.store) == self.model.acknowledged
        for snapshot, expected in self.snapshots:
            assert dict(snapshot.scan()) == expected
        reader = Store.open(self.disk, read_only=True)
        assert content(reader) == self.model.acknowledged and not reader.lost


StoreAgainstModel.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


test_the_store_against_a_model = StoreAgainstModel.TestCase
