"""Tests of the disruption budget: the rules are kept in every order of late and lost messages.

The explorations disable one guard at a time and expect a violation.  One test runs concurrent operations
between processes.
"""

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
from heronreel.fault_injection.budget_world import BudgetWorld, Limits
from heronreel.fault_injection.explore import advance, explore, random_walk
from heronreel.fault_injection.harness import Harness
from heronreel.fleet.budget_client import ClaimClient, report_instance
from heronreel.fleet.budget_settings import load
from heronreel.fleet.budget_transactions import transfer_claim
from heronreel.fleet.claim_requester import (
    ClaimDenied,
    ClaimGranted,
    ClaimGuards,
    ClaimReleased,
    ReleasePending,
)
from heronreel.fleet.disruption_budget import BudgetSnapshot, parse_snapshot
from heronreel.fleet.errors import StaleFencingTokenError
from heronreel.fleet.model import (
    REVISION_KEY,
    BudgetRule,
    Condition,
    DisruptionClaim,
    Instance,
    InstanceKind,
    Scope,
)
from heronreel.leases.keys import PRESENCE_PREFIX
from heronreel.routes.reader import ConfigFileError

CLAIM_GRANTED = (
    "1 requests a claim",
    "the group receives a request of 1",
    "1 receives a response",
    "the group receives a request of 1",
    "1 receives a response",
    "1 sends a request",
    "the group receives a request of 1",
    "1 receives a response",
)
SMALL_LIMITS = Limits(observations=1, messages=7)

EVERY_ORDER = {
    "late": SMALL_LIMITS,
    "lost": Limits(losses=1, observations=1, messages=4),
    "halt": Limits(observations=1, messages=4, halts=1),
}
# limits of the exploration, events before it starts, and the guards that are disabled
WITHOUT_GUARD: dict[str, tuple[Limits, tuple[str, ...], dict[str, bool]]] = {
    "revision": (Limits(observations=0, messages=6), (), {"revision_checked": False}),
    "losses": (Limits(losses=1, observations=1, messages=4), (), {"losses_counted": False}),
    "ordered": (Limits(observations=1, messages=8), CLAIM_GRANTED, {"ordered": False}),
    "fencing": (Limits(observations=1, messages=8, deaths=1), CLAIM_GRANTED, {"fencing_observed": False}),
    "evidence": (
        Limits(observations=1, messages=8),
        CLAIM_GRANTED,
        {"evidence_required": False, "fencing_observed": False},
    ),
    "halt": (Limits(observations=0, messages=4, halts=1), (), {"halt_checked": False}),
    "halt and revision": (Limits(observations=0, messages=4, halts=1), (), {"revision_checked": False}),
}


def every_order(limits: Limits) -> tuple[BudgetWorld, int]:
    """A world with all guards, and the largest number of explored states."""
    return BudgetWorld(limits, ClaimGuards()), 60_000


def with_all_guards(limits: Limits, prefix: tuple[str, ...]) -> tuple[BudgetWorld, int]:
    """A world with all guards after the events of `prefix`, and the largest number of explored states."""
    return advance(BudgetWorld(limits, ClaimGuards()), *prefix), 10_000


def without_guard(
    limits: Limits, prefix: tuple[str, ...], disabled_guards: dict[str, bool]
) -> tuple[BudgetWorld, int]:
    """A world without some guards after the events of `prefix`, and the largest number of explored states."""
    ordered = disabled_guards.get("ordered", True)
    guards = ClaimGuards(**{name: enabled for name, enabled in disabled_guards.items() if name != "ordered"})
    return advance(BudgetWorld(limits, guards, ordered=ordered), *prefix), 300_000


@pytest.mark.parametrize("limits", EVERY_ORDER.values(), ids=EVERY_ORDER)
def test_the_budget_is_kept_in_every_order_of_events(limits: Limits) -> None:
    exploration = explore(*every_order(limits))
    print(exploration)
    assert exploration.complete and exploration.violation is None and exploration.states > 20_000


@pytest.mark.parametrize(("limits", "prefix", "disabled_guards"), WITHOUT_GUARD.values(), ids=WITHOUT_GUARD)
def test_the_budget_is_violated_without_a_guard(
    limits: Limits, prefix: tuple[str, ...], disabled_guards: dict[str, bool]
) -> None:
    guarded = explore(*with_all_guards(limits, prefix))
    assert guarded.violation is None, str(guarded)
    unguarded = explore(*without_guard(limits, prefix, disabled_guards))
    print(disabled_guards, unguarded)
    assert unguarded.violation is not None


@settings(max_examples=40, deadline=None)
@given(st.integers(0, 1 << 30))
def test_the_budget_is_kept_in_random_orders_of_events(seed: int) -> None:
    limits = Limits(requests="0011", observations=20, losses=1, deaths=4, messages=120)
    assert random_walk(BudgetWorld(limits, ClaimGuards()), random.Random(seed), 400) == []


def instance(name: str, zone: str, condition: Condition = Condition.SERVING, **fields: float) -> Instance:
    return Instance(InstanceKind.PROXY, name, zone, condition=condition, **fields)  # type: ignore[arg-type]


def snapshot(
    instances: Mapping[str, Instance], *rules: BudgetRule, claims: tuple[DisruptionClaim, ...] = ()
) -> BudgetSnapshot:
    return BudgetSnapshot(
        1,
        rules,
        {member.id: member for member in instances.values()},
        {claim.instance_id: claim for claim in claims},
    )


ONE_PER_ZONE = BudgetRule("one a zone", InstanceKind.PROXY, Scope.ZONE, max_unavailable=1)
HALF_AVAILABLE = BudgetRule("half", InstanceKind.PROXY, min_available=0.5)


def test_failed_unknown_and_warming_up_instances_count_against_the_budget() -> None:
    instances = {
        "a": instance("a", "x"),
        "b": instance("b", "x"),
        "c": instance("c", "y"),
        "d": instance("d", "y"),
    }
    healthy = snapshot(instances, ONE_PER_ZONE, HALF_AVAILABLE)
    assert not healthy.violations(["proxy/a"]) and not healthy.violations(["proxy/a", "proxy/c"])
    assert [status.rule.name for status in healthy.violations(["proxy/a", "proxy/b"])] == ["one a zone"]
    for condition in (Condition.FAILED, Condition.UNKNOWN, Condition.OUT_OF_SERVICE):
        lost = snapshot(instances | {"b": instance("b", "x", condition)}, ONE_PER_ZONE, HALF_AVAILABLE)
        assert "1 unavailable" not in str(lost.violations(["proxy/a"])[0]) and lost.violations(["proxy/a"])
        assert not lost.violations(["proxy/c"])  # the rule is evaluated for each zone
        assert not lost.violations(["proxy/b"])  # an instance that is already unavailable may be restarted
    warming = snapshot(
        instances | {"b": instance("b", "x", Condition.WARMING_UP, capacity_fraction=0.1)}, HALF_AVAILABLE
    )
    assert not warming.violations(["proxy/b", "proxy/a"])  # the capacity is 2 of 4
    assert warming.violations(["proxy/a", "proxy/c"])  # the capacity is 1.1 of 4
    claim = DisruptionClaim("proxy/c", "o", "me", "drain", 7)
    claimed = snapshot(instances, ONE_PER_ZONE, claims=(claim,))
    assert claimed.is_unavailable("proxy/c")
    assert [status.scope_value for status in claimed.violations(["proxy/d"])] == ["y"]
    assert claimed.unreported(["proxy/z", "proxy/a"]) == ["proxy/z"]


def test_a_violated_rule_forbids_every_claim_in_its_scope() -> None:
    instances = {name: instance(name, "x", Condition.FAILED) for name in "ab"} | {"c": instance("c", "x")}
    violated = snapshot(instances, ONE_PER_ZONE)
    assert violated.violations(["proxy/a"]) and violated.violations(["proxy/c"])
    reasons = [str(status) for status in violated.violations(["proxy/c"])]
    assert reasons == ["one a zone: zone x 3 unavailable, at most 1 allowed"]


@settings(max_examples=200, deadline=None)
@given(st.integers(0, 1 << 30))
def test_violations_match_an_independent_calculation(seed: int) -> None:
    rng = random.Random(seed)
    conditions = list(Condition)
    instances = [
        instance(
            f"i{number}",
            rng.choice("xyz"),
            rng.choice(conditions),
            capacity=rng.choice([1.0, 2.0]),
            capacity_fraction=rng.choice([0.0, 0.25, 1.0]),
        )
        for number in range(8)
    ]
    claims = tuple(
        DisruptionClaim(member.id, "o", "", "drain", 1) for member in instances if rng.random() < 0.2
    )
    max_unavailable, min_available = rng.randrange(4), rng.choice([0.25, 0.5])
    rule = BudgetRule("r", InstanceKind.PROXY, Scope.ZONE, "", max_unavailable, min_available)
    requested = [member.id for member in instances if rng.random() < 0.2]
    claimed = {claim.instance_id for claim in claims} | set(requested)
    expected_zones = set()
    for zone in "xyz":
        members = [member for member in instances if member.zone == zone]
        unavailable, capacity = 0, 0.0
        for member in members:
            warming_up = member.condition is Condition.WARMING_UP
            available = (warming_up or member.condition is Condition.SERVING) and member.id not in claimed
            unavailable += not available
            if available:
                capacity += member.capacity * (member.capacity_fraction if warming_up else 1.0)
        too_little = capacity < min_available * sum(member.capacity for member in members)
        is_requested = any(member.id in requested for member in members)
        if is_requested and (unavailable > max_unavailable or too_little):
            expected_zones.add(zone)
    instances_by_name = {member.name: member for member in instances}
    violations = snapshot(instances_by_name, rule, claims=claims).violations(requested)
    assert {status.scope_value for status in violations} == expected_zones


def test_a_claim_is_transferred_only_to_a_greater_fencing_token() -> None:
    claim = DisruptionClaim("proxy/a", "o", "me", "drain", 7)
    assert transfer_claim(claim, "p", "you", 8).fencing_token == 8
    with pytest.raises(StaleFencingTokenError, match="can't take over"):
        transfer_claim(claim, "p", "you", 7)


RULES_FILE = """
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
    ("valid", "invalid", "expected_problem"),
    [
        ("most_out = 1", "most_out = -1", "6: allow.one a zone.most_out: is -1"),
        ("most_out = 1", "", "allow.one a zone: allows anything; most_out or least_serving"),
        ('scope = "zone"', 'scope = "rack"', 'scope: is "rack"'),
        ('name = "half of the backends"', 'name = "one a zone"', "is already used on line 2"),
        ("least_serving = 0.5", "least_serving = 5", "least_serving: is 5"),
        ("[[allow]]", "[[allows]]", "no such table"),
    ],
)
def test_problems_of_a_rules_file_are_reported_with_their_lines(
    valid: str, invalid: str, expected_problem: str
) -> None:
    assert len(load(RULES_FILE.encode())) == 2
    with pytest.raises(ConfigFileError) as raised:
        load(RULES_FILE.replace(valid, invalid, 1).encode())
    problems = [str(problem) for problem in raised.value.problems]
    assert any(expected_problem in problem for problem in problems), problems


def test_concurrent_operations_stay_within_the_budget(tmp_path: Path) -> None:
    """Twelve operations request claims from a group of three processes while its leader is killed."""

    async def run() -> None:
        file = tmp_path / "allow.toml"
        file.write_text(RULES_FILE)
        async with Harness(tmp_path, ("a", "b", "c"), 21) as harness, Client(harness.addresses) as client:
            await harness.wait_until_healthy()
            await asyncio.to_thread(harness.run_command, "fleet", "allow", str(file))
            for number in range(12):
                await report_instance(client, instance(f"p{number}", f"z{number % 3}", observation=1))
            operations = [
                ClaimClient(client, f"o{number}", "me", "drain", number + 1) for number in range(12)
            ]

            async def acquire(number: int) -> bool:
                return isinstance(await operations[number].acquire((f"proxy/p{number}",)), ClaimGranted)

            leader = await harness.wait_for_leader()
            acquiring = [asyncio.ensure_future(acquire(number)) for number in range(12)]
            # responses are lost, and the records show which claims were granted
            await harness.members[leader].kill()
            granted = [number for number, done in enumerate(await asyncio.gather(*acquiring)) if done]
            assert sorted(number % 3 for number in granted) == [0, 1, 2], granted
            status = json.loads(await asyncio.to_thread(harness.run_command, "fleet", "status", "--json"))
            assert [row["out"] for row in status["rules"] if row["rule"] == "one a zone"] == [
                [f"proxy/p{number}"] for number in sorted(granted, key=lambda number: number % 3)
            ]
            first = granted[0]
            pending = await operations[first].release(f"proxy/p{first}")
            assert isinstance(pending, ReleasePending)  # there is no observation after the claim
            restarted = instance(f"p{first}", f"z{first % 3}", observation=2)
            await report_instance(client, msgspec.structs.replace(restarted, fencing_token=first + 1))
            assert isinstance(await operations[first].release(f"proxy/p{first}"), ClaimReleased)
            other = next(number for number in range(12) if number % 3 == first % 3 and number != first)
            late = ClaimClient(client, "late", "me", "drain", 99)
            denied = await late.acquire((f"proxy/p{granted[1]}",))
            assert isinstance(denied, ClaimDenied)
            assert denied.conflicting_claims[0].operation_id == f"o{granted[1]}"
            lost = instance(f"p{first}", f"z{first % 3}", Condition.FAILED, observation=3)
            await report_instance(client, lost)
            denied = await operations[other].acquire((f"proxy/p{other}",))
            # a planned operation yields to a loss
            assert isinstance(denied, ClaimDenied) and denied.violations
            printed = await asyncio.to_thread(harness.run_command, "fleet", "status")
            assert f"proxy/p{granted[1]}" in printed and "drain by me" in printed

    asyncio.run(run())


def test_instances_of_an_absent_owner_are_unknown() -> None:
    instances = {"a": msgspec.structs.replace(instance("a", "x"), owner="agent-1"), "b": instance("b", "x")}
    absent = parse_snapshot(TxnResponse(5, True, snapshot_responses(instances, ())))
    assert absent.instances["proxy/a"].condition is Condition.UNKNOWN
    assert absent.instances["proxy/b"].condition is Condition.SERVING
    present = parse_snapshot(TxnResponse(5, True, snapshot_responses(instances, ("agent-1",))))
    assert present.instances["proxy/a"].condition is Condition.SERVING


def snapshot_responses(
    instances: Mapping[str, Instance], present: tuple[str, ...]
) -> tuple[RangeResponse, ...]:
    def range_response(*pairs: tuple[bytes, bytes]) -> RangeResponse:
        records = tuple((key, Record(data, 1, 5, 1, 0)) for key, data in pairs)
        return RangeResponse(5, records, len(pairs), False)

    reported = [(row.key, msgspec.json.encode(row)) for row in instances.values()]
    presence = [(PRESENCE_PREFIX + name.encode(), b"") for name in present]
    return (
        range_response((REVISION_KEY, b"")),
        range_response(),
        range_response(*reported),
        range_response(),
        range_response(),
        range_response(*presence),
    )
