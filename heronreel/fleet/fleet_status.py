"""The status of the fleet in the form that `heronreel fleet status --json` prints."""

from __future__ import annotations

from typing import Any

import msgspec

from heronreel.fleet.disruption_budget import BudgetSnapshot, RuleStatus
from heronreel.fleet.model import FleetOperation, Instance

Row = dict[str, Any]  # one JSON object


def budget_status(snapshot: BudgetSnapshot) -> Row:
    """Every budget rule with its current values, and every instance with the claim on it."""
    return {
        "rules": [_rule_row(status) for status in snapshot.rule_statuses()],
        "instances": [
            _instance_row(snapshot, instance) for _, instance in sorted(snapshot.instances.items())
        ],
    }


def operation_status(snapshot: BudgetSnapshot, operation: FleetOperation | None) -> Row:
    """The halt, and the current or last operation."""
    status: Row = {"halted": msgspec.to_builtins(snapshot.halt), "work": None}
    if operation is not None:
        status["work"] = msgspec.to_builtins(operation) | {"left": list(operation.pending)}
    return status


def _rule_row(status: RuleStatus) -> Row:
    return {
        "rule": status.rule.name,
        "scope": status.rule.scope.value,
        "value": status.scope_value,
        "out": list(status.unavailable),
        "may_be_out": status.rule.max_unavailable,
        "serving": status.available_capacity,
        "least": status.min_available_capacity,
        "broken": status.violated,
    }


def _instance_row(snapshot: BudgetSnapshot, instance: Instance) -> Row:
    return {
        "instance": instance.id,
        "zone": instance.zone,
        "group": instance.group,
        "pool": instance.pool,
        "condition": instance.condition.value,
        "capacity": instance.capacity,
        "serves": instance.available_capacity,
        "looked": instance.observation,
        "owner": instance.owner,
        "version": instance.version,
        "part": _claim_row(snapshot, instance.id),
    }


def _claim_row(snapshot: BudgetSnapshot, instance_id: str) -> Row | None:
    claim = snapshot.claims.get(instance_id)
    if claim is None:
        return None
    return {
        "operation": claim.operation_id,
        "by": claim.operator,
        "why": claim.reason,
        "number": claim.fencing_token,
    }
