"""Every order of events of small worlds around the real cores; and with each guard out, a way to harm."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heronreel.coordination.consensus import Guards
from heronreel.fault_injection.explore import after, explore, walk
from heronreel.fault_injection.group_world import Budget, GroupWorld
from heronreel.fault_injection.lease_world import LeaseGuards, LeaseWorld, Limits

NAMES = ("a", "b", "c")
LEADS = (  # a leads with c's help, and c has not heard of anything else
    "a: tries", "c: is told by a: follow", "a: is told by c: yes", "c: is told by a: round 2.1",
    "a: is told by c: I have 2.1, for round 1",
)  # fmt: skip
B_HOPES = ("b: tries", "c: is told by b: follow")  # and c's promise is on its way to b
NEW_DISK = "c: crashes, and is back with a new disk"


def group(budget: Budget, most: int, *prefix: str, **guards: bool) -> tuple[GroupWorld, int]:
    return after(GroupWorld(NAMES, budget, Guards(**guards)), *prefix), most


def crash_of_each() -> tuple[GroupWorld, int]:
    return group(Budget(tries="a", writes=1, reads=1, crashes="abc"), 400_000, rollback=False)


def test_every_order_with_a_crash_of_each_keeps_what_was_confirmed() -> None:
    found = explore(*crash_of_each())
    print(found)
    assert found.whole and found.broken is None and found.states > 1_000


GROUP_GUARDS: list[tuple[str, Budget, tuple[str, ...]]] = [
    ("majority", Budget(tries="ab", writes=1), ()),
    ("newest", Budget(tries="ab", writes=1), LEADS),
    ("promise", Budget(tries="ab", writes=1), B_HOPES),
    ("sync", Budget(tries="ab", writes=1, crashes="c"), LEADS),
    ("incarnation", Budget(tries="ab", writes=1, lost="c"), (*B_HOPES, NEW_DISK, "a: tries")),
    ("rollback", Budget(tries="ab", writes=1, restored="c"), LEADS),
]


def with_group_guard(guard: str, budget: Budget, prefix: tuple[str, ...]) -> tuple[GroupWorld, int]:
    others = {"rollback": False} if guard != "rollback" else {}
    return group(budget, 6_000, *prefix, **others)


def without_group_guard(guard: str, budget: Budget, prefix: tuple[str, ...]) -> tuple[GroupWorld, int]:
    others = {"rollback": False} if guard != "rollback" else {}
    return group(budget, 60_000, *prefix, **{**others, guard: False})


@pytest.mark.parametrize(("guard", "budget", "prefix"), GROUP_GUARDS)
def test_without_a_guard_something_confirmed_is_lost(
    guard: str, budget: Budget, prefix: tuple[str, ...]
) -> None:
    kept = explore(*with_group_guard(guard, budget, prefix))
    assert kept.broken is None, str(kept)
    found = explore(*without_group_guard(guard, budget, prefix))
    print(guard, found)
    assert found.broken is not None and "confirmed write" in found.broken


GROWS: dict[str, tuple[str, ...]] = {"founders": ("a",), "wish": NAMES}
SHRINKS: dict[str, tuple[str, ...]] = {"wish": ("a",)}


def resized(budget: Budget, how: dict[str, tuple[str, ...]], **guards: bool) -> GroupWorld:
    return GroupWorld(NAMES, budget, Guards(**guards), **how)


def changed_size(how: dict[str, tuple[str, ...]]) -> tuple[GroupWorld, int]:
    return resized(Budget(tries="a" if how is GROWS else "ab", writes=1), how), 25_000


def two_let_go() -> tuple[GroupWorld, int]:
    return resized(Budget(tries="ab", writes=1), SHRINKS, single=False), 60_000


@pytest.mark.parametrize("how", [GROWS, SHRINKS], ids=["grows", "shrinks"])
def test_a_group_that_changes_its_size_keeps_what_was_confirmed(how: dict[str, tuple[str, ...]]) -> None:
    found = explore(*changed_size(how))
    print(found)
    assert found.broken is None and found.states > 2_000


def test_with_two_let_go_at_once_something_confirmed_is_lost() -> None:
    found = explore(*two_let_go())
    print(found)
    assert found.broken is not None and "confirmed write" in found.broken


@settings(max_examples=30, deadline=None)
@given(st.integers(0, 1 << 30), st.sampled_from([GROWS, SHRINKS]))
def test_any_walk_of_a_group_that_changes_its_size_keeps_what_was_confirmed(
    seed: int, how: dict[str, tuple[str, ...]]
) -> None:
    budget = Budget(tries="aaabbbccc", writes=4, reads=3, crashes="abc")
    assert walk(resized(budget, how), random.Random(seed), 300) == []


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


def clocks_apart() -> tuple[LeaseWorld, int]:
    return LeaseWorld(LEASE_LIMITS, LeaseGuards(), drift=0.01, true_drift=0.3), 100_000


def test_at_most_one_acts_in_every_order() -> None:
    found = explore(*with_lease_guards())
    print(found)
    assert found.broken is None and found.states > 10_000


@pytest.mark.parametrize(("guard", "others", "words"), LEASE_GUARDS)
def test_without_a_guard_of_leases_two_act(guard: str, others: dict[str, bool], words: str) -> None:
    found = explore(*without_lease_guard(guard, others))
    print(guard, found)
    assert found.broken is not None and words in found.broken


def test_clocks_further_apart_than_the_bound_let_two_hold_and_the_fence_still_refuses() -> None:
    found = explore(*clocks_apart())
    print(found)
    assert found.broken == "two act at once"
