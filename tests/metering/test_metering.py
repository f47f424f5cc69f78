"""Usage by tenant: no response counted twice, none left out, whatever is killed, lost, late or duplicated."""

from __future__ import annotations

import random
from collections.abc import Iterator
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heronreel.fault_injection.count_world import Budget, CountWorld, Guards
from heronreel.fault_injection.explore import advance, explore, random_walk
from heronreel.metering.counts import KIND_NAMES, Counts, ResponseKind, merge_counts
from heronreel.metering.errors import InvalidLedgerError
from heronreel.metering.ledger import Ledger
from heronreel.metering.ledger_files import LedgerDirectory
from heronreel.metering.ledger_format import LedgerHeader, decode_header, encode_new_ledger

TENANTS = ("etna", "madonie")


class RecordedWords(list[int]):
    """Words that keep the buffer as it was after each store: as a kill may leave it."""

    def __init__(self, words: list[int]) -> None:
        super().__init__(words)
        self.states: list[list[int]] = []

    def __setitem__(self, place, value):  # type: ignore[no-untyped-def]
        super().__setitem__(place, value)
        self.states.append(list(self))


def words_of(data: bytes) -> list[int]:
    return [int.from_bytes(data[at : at + 8], "little") for at in range(0, len(data), 8)]


def served(counts: Counts) -> int:
    return sum(row[ResponseKind.SERVED] for row in counts.values())


def unknown(counts: Counts) -> int:
    return sum(row[ResponseKind.UNKNOWN] for row in counts.values())


@settings(max_examples=60, deadline=None)
@given(st.lists(st.sampled_from(["begin", "settle", "seal", "confirm"]), max_size=40), st.integers(0, 99))
def test_a_ledger_killed_at_any_store_holds_what_was_counted(calls: list[str], seed: int) -> None:
    rng = random.Random(seed)
    header = LedgerHeader("id", "p", "z", TENANTS)
    data = encode_new_ledger(header)
    _, first_cell = decode_header(data)
    words = RecordedWords(words_of(data))
    ledger = Ledger(header, words, first_cell)
    in_flight: list[int] = []
    settled = begun = 0
    uploaded: Counts = {}  # of confirmed pages
    for call in calls:
        settled_before, begun_before, uploaded_before = settled, begun, uploaded
        del words.states[:]
        if call == "begin":
            in_flight.append(ledger.begin(rng.choice((*TENANTS, "other"))))
            begun += 1
        elif call == "settle" and in_flight:
            ledger.settle(in_flight.pop(rng.randrange(len(in_flight))), ResponseKind.SERVED)
            settled += 1
        elif call == "seal" and ledger.pending_page() is None:
            ledger.seal_page()
        elif call == "confirm" and (page := ledger.pending_page()) is not None:
            uploaded = merge_counts(uploaded, page.counts)  # it is stored before it is confirmed
            ledger.confirm_page(page.number)
        for state in (list(words), *words.states):
            adopted = Ledger(header, list(state), first_cell)
            marked_unknown = adopted.count_in_flight_as_unknown()
            assert adopted.count_in_flight_as_unknown() == 0
            total = uploaded if adopted.confirmed_page == ledger.confirmed_page else uploaded_before
            pending = adopted.pending_page()
            total = merge_counts(total, pending.counts if pending else {})
            total = merge_counts(total, adopted.open_counts())
            assert settled_before <= served(total) <= settled
            assert max(begun_before, settled) <= served(total) + unknown(total)
            assert unknown(total) <= marked_unknown <= begun - settled_before


def test_a_ledger_is_adopted_only_from_a_process_that_is_gone(tmp_path: Path) -> None:
    directory, other = LedgerDirectory(tmp_path), LedgerDirectory(tmp_path)
    one = directory.create("p", "z", TENANTS)
    tenant_index = one.ledger.begin("etna")
    one.ledger.settle(one.ledger.begin("madonie"), ResponseKind.SERVED)
    assert other.adopt_orphans() == ([], [])  # its process is alive
    one.close()  # its process is gone, with a response in flight
    (tmp_path / "x.counts").write_bytes(b"hrcount1 and no more")
    (tmp_path / "y.counts").write_bytes(b"")
    (tmp_path / "z.fresh").write_bytes(b"")
    ((adopted,), problems) = other.adopt_orphans()
    assert adopted.ledger.count_in_flight_as_unknown() == 1 and tenant_index == 1
    assert adopted.ledger.open_counts() == {"etna": (0, 0, 0, 1), "madonie": (1, 0, 0, 0)}
    assert len(problems) == 2 and other.adopt_orphans() == ([], [])
    assert not (tmp_path / "z.fresh").exists()
    adopted.remove()
    assert [path.suffix for path in tmp_path.iterdir()] == [".counts", ".counts"]  # the damaged ones stay


@settings(max_examples=80, deadline=None)
@given(st.data())
def test_a_buffer_that_was_overwritten_is_no_ledger(data: st.DataObject) -> None:
    good = encode_new_ledger(LedgerHeader("id", "p", "z", TENANTS))
    cut = data.draw(st.integers(0, len(good) - 1))
    with pytest.raises(InvalidLedgerError):
        decode_header(good[:cut])
    at = data.draw(st.integers(0, 39))
    other = data.draw(st.integers(1, 255))
    overwritten = good[:at] + bytes([good[at] ^ other]) + good[at + 1 :]
    with pytest.raises(InvalidLedgerError):
        decode_header(overwritten)
    assert decode_header(good)[0].tenants == TENANTS and len(KIND_NAMES) == len(ResponseKind) == 4


# -- ledgers, the coordination service and two holders of the task


SMALL = Budget(responses=1, kills=0, duplicates=0, periods=1, new_holders=0, requests=14)
COUNTED = ("p0 begins a response", "p0 settles a response", "p0 finishes")
READ = ("p0 wakes up", "a request of p0 is handled", "p0 receives a response")
REGISTERED = (*READ, *READ[1:], *READ)  # the record exists, and the ledger keeps that


COUNT_GUARDS: list[tuple[str, Budget, tuple[str, ...]]] = [
    ("in_flight_unknown", SMALL._replace(kills=1, requests=8), ()),
    ("record_revision", SMALL._replace(duplicates=1, requests=10), ()),
    ("totals_revision", SMALL, COUNTED),
    ("registration", SMALL._replace(kills=1), (*COUNTED, *REGISTERED)),
]


def with_a_kill() -> tuple[CountWorld, int]:
    return CountWorld(SMALL._replace(kills=1, requests=9), Guards()), 100_000


def with_count_guards(budget: Budget, prefix: tuple[str, ...]) -> tuple[CountWorld, int]:
    return advance(CountWorld(budget, Guards()), *prefix), 10_000


def without_count_guard(guard: str, budget: Budget, prefix: tuple[str, ...]) -> tuple[CountWorld, int]:
    return advance(CountWorld(budget, Guards()._replace(**{guard: False})), *prefix), 300_000


def walks_without_the_closing_fence() -> Iterator[list[str]]:
    return (walked(seed, Guards()._replace(closing_fence=False)) for seed in range(400))


def test_every_order_with_a_kill_counts_each_response_once() -> None:
    found = explore(*with_a_kill())
    print(found)
    assert found.complete and found.violation is None and found.states > 50_000


@pytest.mark.parametrize(("guard", "budget", "prefix"), COUNT_GUARDS)
def test_without_a_guard_a_response_is_counted_twice_or_lost(
    guard: str, budget: Budget, prefix: tuple[str, ...]
) -> None:
    kept = explore(*with_count_guards(budget, prefix))
    assert kept.violation is None, str(kept)
    found = explore(*without_count_guard(guard, budget, prefix))
    print(guard, found)
    assert found.violation is not None


def test_without_the_closing_fence_a_walk_counts_a_response_twice_or_loses_it() -> None:
    """Its shortest way is too long for every order."""
    way = next(filter(None, walks_without_the_closing_fence()), None)
    print(way)
    assert way is not None


LARGE = Budget(responses=12, kills=4, duplicates=6, periods=4, new_holders=3, requests=150)


def walked(seed: int, guards: Guards, ledgers: int = 2) -> list[str]:
    return random_walk(CountWorld(LARGE, guards, ledgers), random.Random(seed), 600)


@settings(max_examples=40, deadline=None)
@given(st.integers(0, 1 << 30))
def test_any_walk_through_a_large_world_counts_each_response_once(seed: int) -> None:
    assert walked(seed, Guards()) == []
