"""Tests of the disruption budget and of operations with 1,024 instances (docs/fleet-design.md)."""

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

INSTANCE_COUNT = 1024
MAX_NAME_LENGTH = 64
INSTANCES = [
    Instance(
        InstanceKind.PROXY,
        f"{number:04}".ljust(MAX_NAME_LENGTH, "i"),
        zone=f"zone-{number % 3}",
        condition=Condition.SERVING,
        owner="agent".ljust(MAX_NAME_LENGTH, "a"),
    )
    for number in range(INSTANCE_COUNT)
]


def test_a_rule_counts_1024_instances() -> None:
    rule = BudgetRule("rule", InstanceKind.PROXY, max_unavailable=INSTANCE_COUNT)
    snapshot = BudgetSnapshot(1, (rule,), {instance.id: instance for instance in INSTANCES}, {})
    status = snapshot.rule_statuses()[0]
    assert status.total_capacity == INSTANCE_COUNT and status.disruptions_allowed == INSTANCE_COUNT


def test_the_records_of_1024_instances_fit_in_the_group_state() -> None:
    state = Keyspace.from_content(EMPTY_CONTENT)
    for instance in INSTANCES:
        state = state.apply(Put(instance.key, encode_record(instance))).state
    assert len(state.keys) == INSTANCE_COUNT and state.header.size < MAX_STATE_BYTES


def test_an_operation_on_1024_instances_fits_in_one_value() -> None:
    instance_ids = tuple(instance.id for instance in INSTANCES)
    outcomes = {instance_id: "done" for instance_id in instance_ids}
    operation = FleetOperation(
        "ab", OperationKind.UPGRADE, "me", instance_ids, "v2", INSTANCE_COUNT, outcomes
    )
    assert len(encode_record(operation)) <= MAX_VALUE_BYTES
