"""Counts by tenant: no answer twice, none forgotten, whatever is killed, lost, late or doubled."""

from __future__ import annotations

import random
from collections.abc import Iterator
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heronreel.fault_injection.count_world import Budget, CountWorld, Guards
from heronreel.fault_injection.explore import advance, explore, random_walk
from heronreel.metering.book import (
    KINDS,
    SERVED,
    UNKNOWN,
    Book,
    Counts,
    Damaged,
    Head,
    added,
    blank,
    head_of,
)
from heronreel.metering.files import Shelf

TENANTS = ("etna", "madonie")


class Stores(list[int]):
    """Words that keep what the buffer was after each store: where a kill may leave it."""

    def __init__(self, words: list[int]) -> None:
        super().__init__(words)
        self.seen: list[list[int]] = []

    def __setitem__(self, place, value):  # type: ignore[no-untyped-def]
        super().__setitem__(place, value)
        self.seen.append(list(self))


def words_of(data: bytes) -> list[int]:
    return [int.from_bytes(data[at : at + 8], "little") for at in range(0, len(data), 8)]


def served(counts: Counts) -> int:
    return sum(row[SERVED] for row in counts.values())


def unknown(counts: Counts) -> int:
    return sum(row[UNKNOWN] for row in counts.values())


@settings(max_examples=60, deadline=None)
@given(st.lists(st.sampled_from(["begin", "settle", "seal", "confirm"]), max_size=40), st.integers(0, 99))
def test_a_book_that_is_killed_at_any_store_tells_what_it_counted(calls: list[str], seed: int) -> None:
    rng = random.Random(seed)
    head = Head("id", "p", "z", TENANTS)
    data = blank(head)
    _, first = head_of(data)
    stores = Stores(words_of(data))
    book = Book(head, stores, first)
    begun: list[int] = []
    sure = asked = 0  # settled, and begun
    taken: Counts = {}  # of pages that the group has
    for call in calls:
        before, pages = (sure, asked), taken
        del stores.seen[:]
        if call == "begin":
            begun.append(book.begin(rng.choice((*TENANTS, "other"))))
            asked += 1
        elif call == "settle" and begun:
            book.settle(begun.pop(rng.randrange(len(begun))), SERVED)
            sure += 1
        elif call == "seal" and book.sealed() is None:
            book.seal()
        elif call == "confirm" and (page := book.sealed()) is not None:
            taken = added(taken, page.counts)  # the group had it before the book is told
            book.confirm(page.number)
        for state in (list(stores), *stores.seen):
            found = Book(head, list(state), first)
            told = found.doubts()
            assert found.doubts() == 0
            total = taken if found.confirmed == book.confirmed else pages
            waiting = found.sealed()
            total = added(total, waiting.counts if waiting else {})
            total = added(total, found.counted())
            assert before[0] <= served(total) <= sure
            assert max(before[1], sure) <= served(total) + unknown(total)
            assert unknown(total) <= told <= asked - before[0]


def test_a_file_is_taken_over_only_from_a_process_that_is_gone(tmp_path: Path) -> None:
    shelf, other = Shelf(tmp_path), Shelf(tmp_path)
    one = shelf.make("p", "z", TENANTS)
    place = one.book.begin("etna")
    one.book.settle(one.book.begin("madonie"), SERVED)
    assert other.orphans() == ([], [])  # it lives
    one.close()  # its process is gone, in the middle of an answer
    (tmp_path / "x.counts").write_bytes(b"hrcount1 and no more")
    (tmp_path / "y.counts").write_bytes(b"")
    (tmp_path / "z.fresh").write_bytes(b"")
    ((found,), wrong) = other.orphans()
    assert found.book.doubts() == 1 and place == 1
    assert found.book.counted() == {"etna": (0, 0, 0, 1), "madonie": (1, 0, 0, 0)}
    assert len(wrong) == 2 and other.orphans() == ([], []) and not (tmp_path / "z.fresh").exists()
    found.remove()
    assert [path.suffix for path in tmp_path.iterdir()] == [".counts", ".counts"]  # the damaged ones stay


@settings(max_examples=80, deadline=None)
@given(st.data())
def test_a_buffer_that_was_written_over_is_no_book(data: st.DataObject) -> None:
    good = blank(Head("id", "p", "z", TENANTS))
    cut = data.draw(st.integers(0, len(good) - 1))
    with pytest.raises(Damaged):
        head_of(good[:cut])
    at = data.draw(st.integers(0, 39))
    other = data.draw(st.integers(1, 255))
    spoilt = good[:at] + bytes([good[at] ^ other]) + good[at + 1 :]
    with pytest.raises(Damaged):
        head_of(spoilt)
    assert head_of(good)[0].tenants == TENANTS and len(KINDS) == 4


# -- books, a group and two holders of the task


SMALL = Budget(answers=1, kills=0, repeats=0, periods=1, holders=0, asks=14)
COUNTED = ("p0 hands an answer over", "p0 has handed it over", "p0 ends")
READ = ("the time of p0 has come", "the group is asked by p0", "p0 is answered")
MADE = (*READ, *READ[1:], *READ)  # the group has a record, and the book knows


COUNT_GUARDS: list[tuple[str, Budget, tuple[str, ...]]] = [
    ("doubts", SMALL._replace(kills=1, asks=8), ()),
    ("record", SMALL._replace(repeats=1, asks=10), ()),
    ("dated", SMALL, COUNTED),
    ("registered", SMALL._replace(kills=1), (*COUNTED, *MADE)),
]


def with_a_kill() -> tuple[CountWorld, int]:
    return CountWorld(SMALL._replace(kills=1, asks=9), Guards()), 100_000


def with_count_guards(budget: Budget, prefix: tuple[str, ...]) -> tuple[CountWorld, int]:
    return advance(CountWorld(budget, Guards()), *prefix), 10_000


def without_count_guard(guard: str, budget: Budget, prefix: tuple[str, ...]) -> tuple[CountWorld, int]:
    return advance(CountWorld(budget, Guards()._replace(**{guard: False})), *prefix), 300_000


def walks_without_the_closers_guard() -> Iterator[list[str]]:
    return (walked(seed, Guards()._replace(closing=False)) for seed in range(400))


def test_every_order_with_a_kill_counts_each_answer_once() -> None:
    found = explore(*with_a_kill())
    print(found)
    assert found.complete and found.violation is None and found.states > 50_000


@pytest.mark.parametrize(("guard", "budget", "prefix"), COUNT_GUARDS)
def test_without_a_guard_an_answer_is_counted_twice_or_forgotten(
    guard: str, budget: Budget, prefix: tuple[str, ...]
) -> None:
    kept = explore(*with_count_guards(budget, prefix))
    assert kept.violation is None, str(kept)
    found = explore(*without_count_guard(guard, budget, prefix))
    print(guard, found)
    assert found.violation is not None


def test_without_the_closers_guard_a_walk_counts_an_answer_twice_or_forgets_it() -> None:
    """Its shortest way is too long for every order."""
    way = next(filter(None, walks_without_the_closers_guard()), None)
    print(way)
    assert way is not None


LARGE = Budget(answers=12, kills=4, repeats=6, periods=4, holders=3, asks=150)


def walked(seed: int, guards: Guards, books: int = 2) -> list[str]:
    return random_walk(CountWorld(LARGE, guards, books), random.Random(seed), 600)


@settings(max_examples=40, deadline=None)
@given(st.integers(0, 1 << 30))
def test_any_walk_through_a_large_world_counts_each_answer_once(seed: int) -> None:
    assert walked(seed, Guards()) == []
