"""Groups and holders in virtual time: invariants hold for any seed, and are violated without a guard."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heronreel.coordination.member_state import Guards
from heronreel.fault_injection.virtual import VirtualWorld


@settings(max_examples=25, deadline=None)
@given(st.integers(0, 1 << 30), st.sampled_from([1, 3, 5]), st.integers(2, 6), st.integers(0, 14))
def test_invariants_hold_for_any_seed(seed: int, members: int, holders: int, faults: int) -> None:
    world = VirtualWorld(seed, members=members, holders=holders, faults=faults)
    assert world.run() == []


def test_the_same_seed_gives_the_same_run() -> None:
    plays = [VirtualWorld(5) for _ in range(2)]
    for play in plays:
        play.run()
    assert plays[0].calls == plays[1].calls and plays[0].accepted == plays[1].accepted and plays[0].accepted


@pytest.mark.parametrize(
    ("without", "seeds"),
    [
        ({"guards": Guards(quorum=False)}, 40),
        ({"guards": Guards(newest_version=False)}, 60),
        ({"fenced": False}, 60),
    ],
)
def test_a_seed_violates_an_invariant_without_a_guard(without: dict[str, object], seeds: int) -> None:
    for seed in range(seeds):
        world = VirtualWorld(seed, faults=12, **without)  # type: ignore[arg-type]
        if problems := world.run():
            print(without, seed, problems)
            return
    raise AssertionError(f"{seeds} seeds broke nothing without {without}")
