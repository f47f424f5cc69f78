"""Tests of play keys, and of the parsing of seeds and settings."""

from __future__ import annotations

import msgspec
import pytest

from heronreel.balancer import subset
from heronreel.emulator.model import Fault
from heronreel.experiments.errors import InvalidSettingError
from heronreel.experiments.identity import (
    Setting,
    apply_settings,
    overridden_constants,
    parse_seeds,
    parse_settings,
    play_key,
)
from tests.experiments.scripts import SMALL


def test_a_play_key_depends_on_script_code_policy_seed_and_settings() -> None:
    keys = {
        play_key(script, code, policy, seed, {"a": value})
        for script in "st" for code in "cd" for policy in "pq" for seed in (1, 2) for value in (1, 1.5, "1")
    }  # fmt: skip
    assert len(keys) == 48


def test_settings_apply_to_the_script_and_to_constants_and_are_restored() -> None:
    script = msgspec.structs.replace(SMALL, faults=(Fault(fault_kind="slow", at_s=0.5, for_s=1.0, size=3.0),))
    changed = apply_settings(
        script,
        (Setting("proxies.idle_ms", 9000), Setting("troubles.0.size", 5), Setting("list.lines_per_s", 9)),
    )
    assert (
        changed.proxies.idle_ms == 9000.0
        and changed.faults[0].size == 5.0
        and changed.endpoint_list.entries_per_s == 9.0
    )
    original = subset.PROXIES_PER_BACKEND
    with overridden_constants((Setting("heronreel.balancer.subset.KEPT_BY", 77),)):
        assert subset.PROXIES_PER_BACKEND == 77
    assert original == subset.PROXIES_PER_BACKEND
    for text, message in (
        ("proxies.idel_ms=3", "no such key: 'idel_ms'"), ("troubles.7.size=2", "no such key: '7'"),
        ("proxies.idle_ms=fast", "idle_ms"), ("heronreel.balancer.subset.NONE=3", "no numeric constant"),
        ("heronreel.balancer.nowhere.NONE=3", "no module"), ("proxies.idle_ms", "KEY=A,B,C"),
    ):  # fmt: skip
        with pytest.raises(InvalidSettingError, match=message):
            for setting in parse_settings(text):
                apply_settings(script, (setting,))
    assert parse_seeds("1..3,7,2") == [1, 2, 3, 7]
    for text in ("3..1", "x", "1..999999999", ""):
        with pytest.raises(InvalidSettingError):
            parse_seeds(text)
