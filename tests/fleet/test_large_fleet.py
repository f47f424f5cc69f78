"""The disruption budget and operations over 1,024 instances (docs/fleet-design.md)."""

from heronreel.coordination.keyspace import EMPTY_CONTENT, Keyspace
from heronreel.coordination.model import MAX_STATE_BYTES, MAX_VALUE_BYTES, Put
from heronreel.fleet.disruption_budget import BudgetSnapshot
from heronreel.fleet.model import (
    BudgetRule,
    Condition,
    FleetOperation,
    Instance,
    InstanceKind,
    OperationKind,
    encode_record,
)

COUNT = 1024
LONGEST_NAME = 64
INSTANCES = [
    Instance(
        InstanceKind.PROXY,
        f"{number:04}".ljust(LONGEST_NAME, "i"),
        zone=f"zone-{number % 3}",
        condition=Condition.SERVING,
        owner="agent".ljust(LONGEST_NAME, "a"),
    )
    for number in range(COUNT)
]


def test_a_rule_counts_1024_instances() -> None:
    rule = BudgetRule("rule", InstanceKind.PROXY, max_unavailable=COUNT)
    snapshot = BudgetSnapshot(1, (rule,), {each.id: each for each in INSTANCES}, {})
    status = snapshot.rule_statuses()[0]
    assert status.total_capacity == COUNT and status.disruptions_allowed == COUNT


def test_the_group_holds_the_records_of_1024_instances() -> None:
    state = Keyspace.from_content(EMPTY_CONTENT)
    for instance in INSTANCES:
        state = state.apply(Put(instance.key, encode_record(instance))).state
    assert len(state.keys) == COUNT and state.header.size < MAX_STATE_BYTES


def test_an_operation_on_1024_instances_fits_a_stored_value() -> None:
    idents = tuple(each.id for each in INSTANCES)
    outcomes = {ident: "done" for ident in idents}
    operation = FleetOperation("ab", OperationKind.UPGRADE, "me", idents, "v2", COUNT, outcomes)
    assert len(encode_record(operation)) <= MAX_VALUE_BYTES
