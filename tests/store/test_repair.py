"""Repair: what is salvaged from damaged stores, and what is reported as lost."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from heronreel.store import CorruptionError, Store
from heronreel.store.fault_injecting_disk import FaultInjectingDisk
from heronreel.store.repair import repair
from tests.store.durability import SMALL_LIMITS, content, populate_store


class Damage:
    """Ways to spoil a store whose log and runs hold something, and what repair is to save."""

    @staticmethod
    def middle_of_the_log(disk: FaultInjectingDisk) -> None:
        log = min(name for name in disk.list_names() if name.endswith(".log"))
        disk.flip_bits(log, 120)

    @staticmethod
    def block_of_a_table(disk: FaultInjectingDisk) -> None:
        disk.flip_bits(min(name for name in disk.list_names() if name.endswith(".table")), 130)

    @staticmethod
    def header_of_a_table(disk: FaultInjectingDisk) -> None:
        disk.flip_bits(min(name for name in disk.list_names() if name.endswith(".table")), 40)

    @staticmethod
    def manifest(disk: FaultInjectingDisk) -> None:
        disk.flip_bits("MANIFEST", 70)

    @staticmethod
    def manifest_gone(disk: FaultInjectingDisk) -> None:
        disk.remove("MANIFEST")

    @staticmethod
    def table_gone(disk: FaultInjectingDisk) -> None:
        disk.remove(min(name for name in disk.list_names() if name.endswith(".table")))


@pytest.mark.parametrize("how", [name for name in vars(Damage) if not name.startswith("_")])
def test_repair_salvages_and_reports_what_is_lost(how: str) -> None:
    disk = FaultInjectingDisk()
    states = populate_store(disk)
    written = {item for state in states for item in state.items()}
    spoilt, target = disk.copy(), FaultInjectingDisk()
    spoil: Callable[[FaultInjectingDisk], None] = getattr(Damage, how)
    spoil(spoilt)
    if how != "block_of_a_table":  # that one is met where it is read
        with pytest.raises(CorruptionError):
            Store.open(spoilt, limits=SMALL_LIMITS)
    before = {name: spoilt.read_file(name) for name in spoilt.list_names() if name != "LOCK"}
    found = repair(spoilt, target)
    assert before == {name: spoilt.read_file(name) for name in spoilt.list_names() if name != "LOCK"}
    saved = content(Store.open(target))
    assert found.lost and found.records == len(saved)
    assert set(saved.items()) <= written
    right = [key for key, value in states[-1].items() if saved.get(key) == value]
    if how.startswith("manifest") or how == "header_of_a_table":
        assert saved == states[-1]  # all is in other files too
    else:
        assert found.doubts or "table" in how
        assert len(right) >= len(states[-1]) // 2
    with pytest.raises(ValueError, match="target"):
        repair(spoilt, target)
