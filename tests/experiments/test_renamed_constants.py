"""Tests that `rehearse --set` accepts the names that constants had up to version 0.2.0."""

from __future__ import annotations

import importlib

import pytest

from heronreel.experiments.errors import InvalidSettingError
from heronreel.experiments.identity import Setting, apply_settings, overridden_constants, parse_settings
from heronreel.experiments.renamed import RENAMED_CONSTANTS
from tests.experiments.scripts import SMALL

# All numeric constants of version 0.2.0 by their names then, with their current values.  Two are left out:
# choice.REST, a heap index that no rehearsal could change, and asking.GONE_GROWTH, the backoff growth while
# the list service is down, which no longer exists.
VALUES = {
    "choice.PERIOD_MS": 200.0,
    "choice.BASE_MS": 10.0,
    "choice.RETRY_SHARE": 0.2,
    "choice.RETRY_BURST": 10.0,
    "choice.BOOKED_SHARE": 0.9,
    "choice.STRIKES_MOST": 5.0,
    "choice.REDEEM": 0.5,
    "choice.LONE_MOST": 1.0,
    "choice.RESTING_MOST": 0.5,
    "choice.SEEN_LEAST": 0.2,
    "choice.COST_STEP": 0.05,
    "choice.OUT_STEP": 0.4,
    "choice.FLOOR_STEP": 0.005,
    "choice.BEAR": 0.8,
    "choice.BEAR_OVER_SHARE": 0.2,
    "choice.SHARE_BURST_MS": 2000.0,
    "choice.SHARE_SLACK": 1.3,
    "choice.KEY_HOMES": 3,
    "choice.KEY_SLACK": 8.0,
    "choice.HOMES_MOST": 4096,
    "choice.CROSS_FOR": 2.0,
    "choice.NEAR_TRIES": 2,
    "choice.COLD_SHARE": 0.55,
    "choice.RATE_MS": 3000.0,
    "choice.SHORT_SHARE": 0.1,
    "choice.ADVICE_LEAST": 0.25,
    "choice.OPEN_MS": 1000.0,
    "choice.OPEN_WORTH": 1.0,
    "choice.OPEN_LOOK": 3,
    "choice.UPDATE": 0,
    "choice.WATCH": 1,
    "asking.FIRST_SHARE": 0.125,
    "asking.FIRST_MS": 1000.0,
    "asking.MOVED_MS": 500.0,
    "asking.SPREAD_MS": 2000.0,
    "asking.MOST_MS": 2600.0,
    "asking.MOST_SHARE": 0.3333333333333333,
    "asking.AT_ONCE_MS": 500.0,
    "asking.LONG_FROM": 3,
    "asking.LONG_LEAST": 0.9,
    "asking.GONE_MS": 2000.0,
    "asking.GONE_FOR_MS": 12000.0,
    "asking.GONE_LEAST": 0.5,
    "asking.FULL_LEAST": 0.4,
    "board.SLOT_MS": 200.0,
    "board.SLOTS": 64,
    "overload.FADE": 0.8,
    "overload.LEAST_SEEN": 50.0,
    "overload.FEW_TURNED_AWAY": 0.4,
    "overload.MOST_TURNED_AWAY": 0.6,
    "overload.TRIES": 2,
    "speed.FACTOR_LEAST": 0.1,
    "speed.FACTOR_MOST": 20.0,
    "speed.FALL_STEP": 0.25,
    "speed.RISE_STEP": 0.08,
    "speed.KIND_STEPS": 0.25,
    "speed.OWN_AFTER": 8.0,
    "speed.OWN_MOST": 64.0,
    "subset.KEPT_BY": 13,
    "subset.LEAST": 8,
    "subset.WORD": 18446744073709551616,
    "routes.BURST": 10.0,
    "routes.BURST_MS": 1000.0,
    "routes.SAMPLES_LEAST": 20,
    "routes.SAMPLES_MOST": 2000.0,
    "routes.STEP": 0.09531017980432493,
    "routes.BUCKETS": 160,
}


def current_value(key: str) -> float:
    module, name = RENAMED_CONSTANTS.get(key, key).split(".")
    value = getattr(importlib.import_module(f"heronreel.balancer.{module}"), name)
    assert isinstance(value, int | float)
    return value


@pytest.mark.parametrize("package", ["flintplank", "heronreel.balancer"])
@pytest.mark.parametrize("key", VALUES)
def test_an_earlier_name_overrides_the_renamed_constant_and_restores_it(key: str, package: str) -> None:
    original = current_value(key)
    assert original == VALUES[key]
    (setting,) = parse_settings(f"{package}.{key}=7")
    assert apply_settings(SMALL, (setting,)) == SMALL
    with overridden_constants((setting,)):
        assert current_value(key) == 7
    assert current_value(key) == original


def test_current_names_are_accepted() -> None:
    for key in RENAMED_CONSTANTS.values():
        with overridden_constants((Setting(f"heronreel.balancer.{key}", 3),)):
            assert current_value(key) == 3


def test_a_removed_constant_is_rejected_and_not_ignored() -> None:
    with pytest.raises(InvalidSettingError, match="no module"):
        apply_settings(SMALL, (Setting("flintplank.asking.GONE_GROWTH", 1),))


def test_an_unknown_constant_name_is_rejected() -> None:
    with pytest.raises(InvalidSettingError, match="no module"):
        apply_settings(SMALL, (Setting("flintplank.asking.NONE", 1),))
