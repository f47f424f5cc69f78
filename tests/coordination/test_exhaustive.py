"""Exhaustive exploration of small models that run the real protocol code.

With all guards, no reachable state violates an invariant.  With one guard disabled, the exploration finds a
counterexample.
"""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heronreel.coordination.member_state import Guards
from heronreel.fault_injection.explore import advance, explore, random_walk
from heronreel.fault_injection.group_world import Budget, GroupWorld
from heronreel.fault_injection.lease_world import LeaseGuards, LeaseWorld, Limits

NAMES = ("a", "b", "c")
# Member a leads with the promise of c, and c has received no other messages.
A_LEADS = (
    "a: starts",
    "c: receives from a: prepare",
    "a: receives from c: promise",
    "c: receives from a: round 2.1",
    "a: receives from c: at version 2.1, for round 1",
)
# Member b is a candidate, and the promise of c is in transit to b.
B_IS_CANDIDATE = ("b: starts", "c: receives from b: prepare")
NEW_DISK = "c: crashes, and restarts with a new disk"


def group(budget: Budget, max_states: int, *prefix: str, **guards: bool) -> tuple[GroupWorld, int]:
    return advance(GroupWorld(NAMES, budget, Guards(**guards)), *prefix), max_states


def crash_of_each_member() -> tuple[GroupWorld, int]:
    return group(Budget(elections="a", writes=1, reads=1, crashes="abc"), 400_000, rollback=False)


def test_no_confirmed_write_is_lost_in_any_order_of_events_with_a_crash_of_each_member() -> None:
    found = explore(*crash_of_each_member())
    print(found)
    assert found.complete and found.violation is None and found.states > 1_000


GROUP_GUARDS: list[tuple[str, Budget, tuple[str, ...]]] = [
    ("quorum", Budget(elections="ab", writes=1), ()),
    ("newest_version", Budget(elections="ab", writes=1), A_LEADS),
    ("promise", Budget(elections="ab", writes=1), B_IS_CANDIDATE),
    ("sync", Budget(elections="ab", writes=1, crashes="c"), A_LEADS),
    (
        "incarnation",
        Budget(elections="ab", writes=1, lost_disks="c"),
        (*B_IS_CANDIDATE, NEW_DISK, "a: starts"),
    ),
    ("rollback", Budget(elections="ab", writes=1, restored_disks="c"), A_LEADS),
]


def with_group_guard(guard: str, budget: Budget, prefix: tuple[str, ...]) -> tuple[GroupWorld, int]:
    others = {"rollback": False} if guard != "rollback" else {}
    return group(budget, 6_000, *prefix, **others)


def without_group_guard(guard: str, budget: Budget, prefix: tuple[str, ...]) -> tuple[GroupWorld, int]:
    others = {"rollback": False} if guard != "rollback" else {}
    return group(budget, 60_000, *prefix, **{**others, guard: False})


@pytest.mark.parametrize(("guard", "budget", "prefix"), GROUP_GUARDS)
def test_a_confirmed_write_is_lost_without_a_guard(
    guard: str, budget: Budget, prefix: tuple[str, ...]
) -> None:
    with_guard = explore(*with_group_guard(guard, budget, prefix))
    assert with_guard.violation is None, str(with_guard)
    found = explore(*without_group_guard(guard, budget, prefix))
    print(guard, found)
    assert found.violation is not None and "confirmed write" in found.violation


GROUP_GROWS: dict[str, tuple[str, ...]] = {"founders": ("a",), "desired_members": NAMES}
GROUP_SHRINKS: dict[str, tuple[str, ...]] = {"desired_members": ("a",)}


def resized(budget: Budget, change: dict[str, tuple[str, ...]], **guards: bool) -> GroupWorld:
    return GroupWorld(NAMES, budget, Guards(**guards), **change)


def resized_group(change: dict[str, tuple[str, ...]]) -> tuple[GroupWorld, int]:
    return resized(Budget(elections="a" if change is GROUP_GROWS else "ab", writes=1), change), 25_000


def two_members_removed() -> tuple[GroupWorld, int]:
    return resized(Budget(elections="ab", writes=1), GROUP_SHRINKS, single_change=False), 60_000


@pytest.mark.parametrize("change", [GROUP_GROWS, GROUP_SHRINKS], ids=["grows", "shrinks"])
def test_no_confirmed_write_is_lost_while_the_group_is_resized(change: dict[str, tuple[str, ...]]) -> None:
    found = explore(*resized_group(change))
    print(found)
    assert found.violation is None and found.states > 2_000


def test_a_confirmed_write_is_lost_when_two_members_are_removed_at_once() -> None:
    found = explore(*two_members_removed())
    print(found)
    assert found.violation is not None and "confirmed write" in found.violation


@settings(max_examples=30, deadline=None)
@given(st.integers(0, 1 << 30), st.sampled_from([GROUP_GROWS, GROUP_SHRINKS]))
def test_no_confirmed_write_is_lost_in_random_walks_of_a_resized_group(
    seed: int, change: dict[str, tuple[str, ...]]
) -> None:
    budget = Budget(elections="aaabbbccc", writes=4, reads=3, crashes="abc")
    assert random_walk(resized(budget, change), random.Random(seed), 300) == []


LEASE_LIMITS = Limits(seconds=7, requests=(0, 6), actions=2, leader_changes=0)
LEASE_GUARDS: list[tuple[str, dict[str, bool], str]] = [
    ("fencing", {}, "is taken after"),
    ("increasing_tokens", {}, "is taken after"),
    ("drift_margin", {"safety_margin": False}, "two act at once"),
    ("safety_margin", {"fencing": False}, "ends while"),
]


def with_lease_guards() -> tuple[LeaseWorld, int]:
    return LeaseWorld(LEASE_LIMITS._replace(requests=(0, 5), leader_changes=1), LeaseGuards()), 12_000


def without_lease_guard(guard: str, others: dict[str, bool]) -> tuple[LeaseWorld, int]:
    guarded = LeaseGuards()._replace(**{**others, guard: False})
    return LeaseWorld(LEASE_LIMITS, guarded), 150_000


def clocks_beyond_drift_bound() -> tuple[LeaseWorld, int]:
    return LeaseWorld(LEASE_LIMITS, LeaseGuards(), drift=0.01, true_drift=0.3), 100_000


def test_at_most_one_holder_acts_in_any_order_of_events() -> None:
    found = explore(*with_lease_guards())
    print(found)
    assert found.violation is None and found.states > 10_000


@pytest.mark.parametrize(("guard", "others", "expected_violation"), LEASE_GUARDS)
def test_without_a_lease_guard_an_invariant_is_violated(
    guard: str, others: dict[str, bool], expected_violation: str
) -> None:
    found = explore(*without_lease_guard(guard, others))
    print(guard, found)
    assert found.violation is not None and expected_violation in found.violation


def test_clock_drift_beyond_the_bound_allows_two_holders_but_fencing_rejects_the_earlier_one() -> None:
    found = explore(*clocks_beyond_drift_bound())
    print(found)
    assert found.violation == "two act at once"
