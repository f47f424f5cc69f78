"""Groups and lease holders in virtual time.

The invariants hold for any seed; with a guard disabled, some seed violates one.
"""

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
    worlds = [VirtualWorld(5) for _ in range(2)]
    for world in worlds:
        world.run()
    assert (
        worlds[0].calls == worlds[1].calls and worlds[0].accepted == worlds[1].accepted and worlds[0].accepted
    )


@pytest.mark.parametrize(
    ("disabled_guard", "seeds"),
    [
        ({"guards": Guards(quorum=False)}, 40),
        ({"guards": Guards(newest_version=False)}, 60),
        ({"fenced": False}, 60),
    ],
)
def test_some_seed_violates_an_invariant_without_a_guard(
    disabled_guard: dict[str, object], seeds: int
) -> None:
    for seed in range(seeds):
        world = VirtualWorld(seed, faults=12, **disabled_guard)  # type: ignore[arg-type]
        if problems := world.run():
            print(disabled_guard, seed, problems)
            return
    raise AssertionError(f"none of {seeds} seeds violated an invariant with {disabled_guard}")
