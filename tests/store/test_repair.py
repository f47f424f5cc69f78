"""Tests of repair: salvaged records and reported losses of damaged stores."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from heronreel.store import CorruptionError, Store
from heronreel.store.fault_injecting_disk import FaultInjectingDisk
from heronreel.store.repair import repair
from tests.store.durability import SMALL_LIMITS, content, populate_store


class Damage:
    """Ways to damage a store that has records in its log and in its runs."""

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
    def manifest_missing(disk: FaultInjectingDisk) -> None:
        disk.remove("MANIFEST")

    @staticmethod
    def table_missing(disk: FaultInjectingDisk) -> None:
        disk.remove(min(name for name in disk.list_names() if name.endswith(".table")))


@pytest.mark.parametrize("damage_name", [name for name in vars(Damage) if not name.startswith("_")])
def test_repair_salvages_and_reports_what_is_lost(damage_name: str) -> None:
    disk = FaultInjectingDisk()
    states = populate_store(disk)
    written = {item for state in states for item in state.items()}
    damaged_disk, target = disk.copy(), FaultInjectingDisk()
    apply_damage: Callable[[FaultInjectingDisk], None] = getattr(Damage, damage_name)
    apply_damage(damaged_disk)
    # Opening the store reads no blocks, so it does not find a damaged block.
    if damage_name != "block_of_a_table":
        with pytest.raises(CorruptionError):
            Store.open(damaged_disk, limits=SMALL_LIMITS)
    before = {name: damaged_disk.read_file(name) for name in damaged_disk.list_names() if name != "LOCK"}
    report = repair(damaged_disk, target)
    assert before == {
        name: damaged_disk.read_file(name) for name in damaged_disk.list_names() if name != "LOCK"
    }
    saved = content(Store.open(target))
    assert report.lost and report.records == len(saved)
    assert set(saved.items()) <= written
    intact_keys = [key for key, value in states[-1].items() if saved.get(key) == value]
    if damage_name.startswith("manifest") or damage_name == "header_of_a_table":
        assert saved == states[-1]  # Other files have all the information of the damaged one.
    else:
        assert report.doubts or "table" in damage_name
        assert len(intact_keys) >= len(states[-1]) // 2
    with pytest.raises(ValueError, match="target"):
        repair(damaged_disk, target)
