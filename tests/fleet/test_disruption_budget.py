"""The account of what is out: never more than may be, whoever is late, dies or is lost."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Mapping
from pathlib import Path

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heronreel.coordination.client import Client
from heronreel.coordination.model import RangeResponse, Record, TxnResponse
from heronreel.fault_injection.account_world import AccountWorld, Budget
from heronreel.fault_injection.explore import after, explore, walk
from heronreel.fault_injection.processes import Harness
from heronreel.fleet.account import Account, read
from heronreel.fleet.model import REGISTER, Condition, Instance, Kind, Part, Rule, Scope
from heronreel.fleet.operation import Operation, tell
from heronreel.fleet.settings import load
from heronreel.fleet.taking import Back, Guards, Refused, Taken, Waiting, take_over
from heronreel.leases.keys import PRESENCE_PREFIX
from heronreel.routes.reader import BadFile

TOOK = (
    "1 wants", "the group is asked by 1", "1 is answered", "the group is asked by 1", "1 is answered",
    "1 asks", "the group is asked by 1", "1 is answered",
)  # fmt: skip
SMALL = Budget(looks=1, asks=7)


EVERY_ORDER = {
    "late": SMALL, "lost": Budget(losses=1, looks=1, asks=4), "halted": Budget(looks=1, asks=4, halts=1)
}  # fmt: skip
WITHOUT_GUARD: dict[str, tuple[Budget, tuple[str, ...], dict[str, bool]]] = {
    "register": (Budget(looks=0, asks=6), (), {"register": False}),
    "losses": (Budget(losses=1, looks=1, asks=4), (), {"losses": False}),
    "ordered": (Budget(looks=1, asks=8), TOOK, {"ordered": False}),
    "entered": (Budget(looks=1, asks=8, deaths=1), TOOK, {"entered": False}),
    "evidence": (Budget(looks=1, asks=8), TOOK, {"evidence": False, "entered": False}),
    "halted": (Budget(looks=0, asks=4, halts=1), (), {"halted": False}),
    "halted and register": (Budget(looks=0, asks=4, halts=1), (), {"register": False}),
}


def every_order(budget: Budget) -> tuple[AccountWorld, int]:
    return AccountWorld(budget, Guards()), 60_000


def with_all_guards(budget: Budget, prefix: tuple[str, ...]) -> tuple[AccountWorld, int]:
    return after(AccountWorld(budget, Guards()), *prefix), 10_000


def without_guard(
    budget: Budget, prefix: tuple[str, ...], without: dict[str, bool]
) -> tuple[AccountWorld, int]:
    ordered = without.get("ordered", True)
    guards = Guards(**{name: on for name, on in without.items() if name != "ordered"})
    return after(AccountWorld(budget, guards, ordered=ordered), *prefix), 300_000


@pytest.mark.parametrize("budget", EVERY_ORDER.values(), ids=EVERY_ORDER)
def test_in_every_order_no_more_are_out_than_may_be(budget: Budget) -> None:
    found = explore(*every_order(budget))
    print(found)
    assert found.whole and found.broken is None and found.states > 20_000


@pytest.mark.parametrize(("budget", "prefix", "without"), WITHOUT_GUARD.values(), ids=WITHOUT_GUARD)
def test_without_a_guard_more_are_out(
    budget: Budget, prefix: tuple[str, ...], without: dict[str, bool]
) -> None:
    kept = explore(*with_all_guards(budget, prefix))
    assert kept.broken is None, str(kept)
    found = explore(*without_guard(budget, prefix, without))
    print(without, found)
    assert found.broken is not None


@settings(max_examples=40, deadline=None)
@given(st.integers(0, 1 << 30))
def test_in_any_walk_no_more_are_out_than_may_be(seed: int) -> None:
    budget = Budget(wishes="0011", looks=20, losses=1, deaths=4, asks=120)
    assert walk(AccountWorld(budget, Guards()), random.Random(seed), 400) == []


def instance(name: str, zone: str, condition: Condition = Condition.SERVING, **more: float) -> Instance:
    return Instance(Kind.PROXY, name, zone, condition=condition, **more)  # type: ignore[arg-type]


def account(rows: Mapping[str, Instance], *rules: Rule, parts: tuple[Part, ...] = ()) -> Account:
    return Account(1, rules, {i.ident: i for i in rows.values()}, {p.ident: p for p in parts})


ONE_A_ZONE = Rule("one a zone", Kind.PROXY, Scope.ZONE, most_out=1)
HALF = Rule("half", Kind.PROXY, least_serving=0.5)


def test_what_is_lost_unknown_or_cold_eats_of_the_same_allowance() -> None:
    rows = {
        "a": instance("a", "x"), "b": instance("b", "x"), "c": instance("c", "y"), "d": instance("d", "y")
    }  # fmt: skip
    free = account(rows, ONE_A_ZONE, HALF)
    assert not free.against(["proxy/a"]) and not free.against(["proxy/a", "proxy/c"])
    assert [s.rule.name for s in free.against(["proxy/a", "proxy/b"])] == ["one a zone"]
    for gone in (Condition.FAILED, Condition.UNKNOWN, Condition.OUT):
        lost = account(rows | {"b": instance("b", "x", gone)}, ONE_A_ZONE, HALF)
        assert "1 out" not in str(lost.against(["proxy/a"])[0]) and lost.against(["proxy/a"])
        assert not lost.against(["proxy/c"])  # another zone's allowance is its own
        assert not lost.against(["proxy/b"])  # what is lost already may be restarted
    cold = account(rows | {"b": instance("b", "x", Condition.COLD, share=0.1)}, HALF)
    assert not cold.against(["proxy/b", "proxy/a"])  # 2 of 4 are left
    assert cold.against(["proxy/a", "proxy/c"])  # 1.1 of 4
    part = Part("proxy/c", "o", "me", "drain", 7)
    taken = account(rows, ONE_A_ZONE, parts=(part,))
    assert taken.is_out("proxy/c") and [s.value for s in taken.against(["proxy/d"])] == ["y"]
    assert taken.unheard(["proxy/z", "proxy/a"]) == ["proxy/z"]


def test_a_rule_that_is_broken_lets_nobody_in_its_scope_be_taken() -> None:
    rows = {name: instance(name, "x", Condition.FAILED) for name in "ab"} | {"c": instance("c", "x")}
    broken = account(rows, ONE_A_ZONE)
    assert broken.against(["proxy/a"]) and broken.against(["proxy/c"])
    assert [str(s) for s in broken.against(["proxy/c"])] == ["one a zone: zone x 3 out, at most 1 may be"]


@settings(max_examples=200, deadline=None)
@given(st.integers(0, 1 << 30))
def test_an_independent_count_comes_to_the_same(seed: int) -> None:
    rng = random.Random(seed)
    conditions = list(Condition)
    rows = {
        f"i{n}": instance(f"i{n}", rng.choice("xyz"), rng.choice(conditions), capacity=rng.choice([1.0, 2.0]),
                          share=rng.choice([0.0, 0.25, 1.0]))
        for n in range(8)
    }  # fmt: skip
    parts = tuple(Part(i.ident, "o", "", "drain", 1) for i in rows.values() if rng.random() < 0.2)
    rule = Rule("r", Kind.PROXY, Scope.ZONE, most_out=rng.randrange(4), least_serving=rng.choice([0.25, 0.5]))
    taking = [i.ident for i in rows.values() if rng.random() < 0.2]
    found = {s.value for s in account(rows, rule, parts=parts).against(taking)}
    wrong = set()
    for zone in "xyz":
        members = [i for i in rows.values() if i.zone == zone]
        held = {p.ident for p in parts} | set(taking)
        out, serving = 0, 0.0
        for i in members:
            up = i.condition in (Condition.SERVING, Condition.COLD) and i.ident not in held
            out += not up
            if up:
                serving += i.capacity * (i.share if i.condition is Condition.COLD else 1.0)
        too_few = serving < rule.least_serving * sum(i.capacity for i in members)  # type: ignore[operator]
        if (out > rule.most_out or too_few) and any(i.ident in taking for i in members):  # type: ignore[operator]
            wrong.add(zone)
    assert found == wrong


def test_a_part_is_taken_over_only_under_a_newer_number() -> None:
    part = Part("proxy/a", "o", "me", "drain", 7)
    assert take_over(part, "p", "you", 8).number == 8
    with pytest.raises(ValueError, match="takes nothing over"):
        take_over(part, "p", "you", 7)


FILE = """
[[allow]]
name = "one a zone"
kind = "proxy"
scope = "zone"
most_out = 1

[[allow]]
name = "half of the backends"
kind = "backend"
least_serving = 0.5
"""


@pytest.mark.parametrize(
    ("good", "bad", "words"),
    [
        ("most_out = 1", "most_out = -1", "6: allow.one a zone.most_out: is -1"),
        ("most_out = 1", "", "allow.one a zone: allows anything; most_out or least_serving"),
        ('scope = "zone"', 'scope = "rack"', 'scope: is "rack"'),
        ('name = "half of the backends"', 'name = "one a zone"', "stands on line 2 already"),
        ("least_serving = 0.5", "least_serving = 5", "least_serving: is 5"),
        ("[[allow]]", "[[allows]]", "no such table"),
    ],
)
def test_a_file_of_allowances_that_is_wrong_is_told_with_its_line(good: str, bad: str, words: str) -> None:
    assert len(load(FILE.encode())) == 2
    with pytest.raises(BadFile) as raised:
        load(FILE.replace(good, bad, 1).encode())
    told = [str(problem) for problem in raised.value.problems]
    assert any(words in problem for problem in told), told


def test_operations_beside_one_another_take_no_more_than_may_be(tmp_path: Path) -> None:
    """Between processes: a group, operators' commands, and operations that cross."""

    async def run() -> None:
        file = tmp_path / "allow.toml"
        file.write_text(FILE)
        async with Harness(tmp_path, ("a", "b", "c"), 21) as harness, Client(harness.addresses) as client:
            await harness.whole()
            await asyncio.to_thread(harness.said, "fleet", "allow", str(file))
            for number in range(12):
                seen = instance(f"p{number}", f"z{number % 3}", looked=1)
                await tell(client, seen)
            operations = [Operation(client, f"o{n}", "me", "drain", n + 1) for n in range(12)]

            async def take(number: int) -> bool:
                return isinstance(await operations[number].take((f"proxy/p{number}",)), Taken)

            leader = await harness.leader()
            taking = [asyncio.ensure_future(take(number)) for number in range(12)]
            await harness.members[leader].kill()  # answers are lost: what was done is found in the records
            took = [number for number, done in enumerate(await asyncio.gather(*taking)) if done]
            assert sorted(number % 3 for number in took) == [0, 1, 2], took
            rows = json.loads(await asyncio.to_thread(harness.said, "fleet", "status", "--json"))
            assert [row["out"] for row in rows["rules"] if row["rule"] == "one a zone"] == [
                [f"proxy/p{number}"] for number in sorted(took, key=lambda number: number % 3)
            ]
            first = took[0]
            waiting = await operations[first].give(f"proxy/p{first}")
            assert isinstance(waiting, Waiting)  # nobody looked since
            again = instance(f"p{first}", f"z{first % 3}", looked=2)
            await tell(client, msgspec.structs.replace(again, number=first + 1))
            assert isinstance(await operations[first].give(f"proxy/p{first}"), Back)
            other = next(n for n in range(12) if n % 3 == first % 3 and n != first)
            refused = await Operation(client, "late", "me", "drain", 99).take((f"proxy/p{took[1]}",))
            assert isinstance(refused, Refused) and refused.others[0].operation == f"o{took[1]}"
            lost = instance(f"p{first}", f"z{first % 3}", Condition.FAILED, looked=3)
            await tell(client, lost)
            refused = await operations[other].take((f"proxy/p{other}",))
            assert isinstance(refused, Refused) and refused.against  # planned work yields to a loss
            told = await asyncio.to_thread(harness.said, "fleet", "status")
            assert f"proxy/p{took[1]}" in told and "drain by me" in told

    asyncio.run(run())


def test_instances_of_an_owner_that_is_not_there_are_unknown() -> None:
    rows = {"a": msgspec.structs.replace(instance("a", "x"), owner="agent-1"), "b": instance("b", "x")}
    done = TxnResponse(5, True, answers(rows, ()))
    assert read(done).instances["proxy/a"].condition is Condition.UNKNOWN
    assert read(done).instances["proxy/b"].condition is Condition.SERVING
    there = TxnResponse(5, True, answers(rows, ("agent-1",)))
    assert read(there).instances["proxy/a"].condition is Condition.SERVING


def answers(rows: Mapping[str, Instance], present: tuple[str, ...]) -> tuple[RangeResponse, ...]:
    def found(*pairs: tuple[bytes, bytes]) -> RangeResponse:
        return RangeResponse(
            5, tuple((key, Record(data, 1, 5, 1, 0)) for key, data in pairs), len(pairs), False
        )

    told = [(i.key, msgspec.json.encode(i)) for i in rows.values()]
    names = [(PRESENCE_PREFIX + name.encode(), b"") for name in present]
    return found((REGISTER, b"")), found(), found(*told), found(), found(), found(*names)
