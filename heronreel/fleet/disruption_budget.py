"""The disruption budget: which instances are unavailable, and how many more may become so.

This module performs no I/O: it evaluates one consistent read of the records.

An instance is unavailable if an operation holds a claim on it, whatever its condition, or if it is not known
to serve.  Crashed, stopped and unknown instances count as unavailable, and an instance that warms up counts
with the capacity that it provides.  An unplanned loss therefore uses up the same budget as a drain, and does
so immediately.  Planned operations yield to losses, and no rule forces an instance out of service.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

import msgspec

from heronreel.coordination.model import Range, RangeResponse, Record, Txn, TxnResponse, prefix_end
from heronreel.fleet.model import (
    DISRUPTION_CLAIM_PREFIX,
    HALT_KEY,
    INSTANCE_PREFIX,
    REVISION_KEY,
    RULES_KEY,
    BudgetRule,
    Condition,
    DisruptionClaim,
    Halt,
    Instance,
)
from heronreel.leases.keys import PRESENCE_PREFIX, present_names

# relative tolerance for sums of capacities; far below the share of any single instance
ROUNDING_TOLERANCE = 1e-9

# One transaction reads all records at the same revision.  `parse_snapshot` relies on the order of the ranges.
READ_SNAPSHOT = Txn(
    (),
    (
        Range(REVISION_KEY),
        Range(RULES_KEY),
        Range(INSTANCE_PREFIX, prefix_end(INSTANCE_PREFIX)),
        Range(DISRUPTION_CLAIM_PREFIX, prefix_end(DISRUPTION_CLAIM_PREFIX)),
        Range(HALT_KEY),
        Range(PRESENCE_PREFIX, prefix_end(PRESENCE_PREFIX), keys_only=True),
    ),
)


class RuleStatus(NamedTuple):
    """One budget rule evaluated for one scope value."""

    rule: BudgetRule
    scope_value: str  # the name of a zone, group or pool; "" for the whole fleet
    unavailable: tuple[str, ...]  # instance IDs
    available_capacity: float
    total_capacity: float

    @property
    def disruptions_allowed(self) -> int | None:
        """How many more instances may become unavailable; None if the rule has no such limit.

        The number is negative if more instances are unavailable than the rule permits.
        """
        if self.rule.max_unavailable is None:
            return None
        return self.rule.max_unavailable - len(self.unavailable)

    @property
    def min_available_capacity(self) -> float:
        """The capacity that has to remain available."""
        return self.total_capacity * (self.rule.min_available or 0.0)

    @property
    def violated(self) -> bool:
        """Whether too many instances are unavailable or too little capacity is available."""
        if self.disruptions_allowed is not None and self.disruptions_allowed < 0:
            return True
        if self.rule.min_available is None:
            return False
        return self.available_capacity < self.min_available_capacity * (1.0 - ROUNDING_TOLERANCE)

    def __str__(self) -> str:
        scope = f" {self.rule.scope.value} {self.scope_value}" if self.scope_value else ""
        parts = [f"{self.rule.name}:{scope} {len(self.unavailable)} unavailable"]
        if self.rule.max_unavailable is not None:
            parts.append(f"at most {self.rule.max_unavailable} allowed")
        if self.rule.min_available is not None:
            parts.append(
                f"{self.available_capacity:g} of {self.total_capacity:g} capacity available, "
                f"at least {self.min_available_capacity:g} required"
            )
        return ", ".join(parts)


class BudgetSnapshot(NamedTuple):
    """All records of the disruption budget, read at one moment."""

    revision: int  # modification revision of the revision key; 0 if it was never written
    rules: tuple[BudgetRule, ...]
    instances: Mapping[str, Instance]  # by ID
    claims: Mapping[str, DisruptionClaim]  # by instance ID
    halt: Halt | None = None

    def is_unavailable(self, instance_id: str) -> bool:
        """Whether the instance counts as unavailable: claimed, or not known to serve."""
        if instance_id in self.claims:
            return True
        instance = self.instances.get(instance_id)
        return instance is None or not instance.condition.is_serving

    def rule_statuses(self, claimed: Collection[str] = ()) -> list[RuleStatus]:
        """The status of every rule for every value of its scope.

        Args:
            claimed: Instances that are treated as claimed in addition to those with a claim.
        """
        return [
            self._rule_status(rule, scope_value, members, claimed)
            for rule in self.rules
            for scope_value, members in sorted(self._members_by_scope(rule).items())
        ]

    def _members_by_scope(self, rule: BudgetRule) -> dict[str, list[Instance]]:
        members: dict[str, list[Instance]] = {}
        for instance in self.instances.values():
            scope_value = rule.scope_of(instance)
            if scope_value is not None:
                members.setdefault(scope_value, []).append(instance)
        return members

    def _rule_status(
        self, rule: BudgetRule, scope_value: str, members: list[Instance], claimed: Collection[str]
    ) -> RuleStatus:
        unavailable = {
            member.id for member in members if member.id in claimed or self.is_unavailable(member.id)
        }
        available_capacity = sum(
            member.available_capacity for member in members if member.id not in unavailable
        )
        total_capacity = sum(member.capacity for member in members)
        return RuleStatus(rule, scope_value, tuple(sorted(unavailable)), available_capacity, total_capacity)

    def violations(self, claimed: Collection[str]) -> list[RuleStatus]:
        """The rules that forbid claims on these instances; if there are none, the claims may be granted.

        A rule that is already violated forbids every claim in its scope, even a claim that would not change
        the number of unavailable instances or the capacity: planned operations yield to a loss.
        """
        affected_scopes: set[tuple[str, str]] = set()
        for rule in self.rules:
            for instance_id in claimed:
                instance = self.instances.get(instance_id)
                scope_value = None if instance is None else rule.scope_of(instance)
                if scope_value is not None:
                    affected_scopes.add((rule.name, scope_value))
        return [
            status
            for status in self.rule_statuses(claimed)
            if status.violated and (status.rule.name, status.scope_value) in affected_scopes
        ]

    def unreported(self, instance_ids: Iterable[str]) -> list[str]:
        """The IDs that no owner has reported, so that the effect of a claim on them is unknown."""
        return sorted(instance_id for instance_id in instance_ids if instance_id not in self.instances)


def parse_snapshot(response: TxnResponse) -> BudgetSnapshot:
    """Decode the response to `READ_SNAPSHOT`.

    Raises:
        msgspec.DecodeError: A record is malformed; no claim may be granted on such a response.
    """
    *ranges, presence = (result for result in response.responses if isinstance(result, RangeResponse))
    revision, rules, instances, claims, halt = (result.records for result in ranges)
    present_owners = set(present_names(presence))
    reported = [msgspec.json.decode(record.value, type=Instance) for _, record in instances]
    granted = [msgspec.json.decode(record.value, type=DisruptionClaim) for _, record in claims]
    return BudgetSnapshot(
        _modification_revision(revision),
        msgspec.json.decode(rules[0][1].value, type=tuple[BudgetRule, ...]) if rules else (),
        {instance.id: _with_known_condition(instance, present_owners) for instance in reported},
        {claim.instance_id: claim for claim in granted},
        msgspec.json.decode(halt[0][1].value, type=Halt) if halt else None,
    )


def _with_known_condition(instance: Instance, present_owners: Collection[str]) -> Instance:
    """Set the condition to UNKNOWN if the owner is absent, because its last report may be out of date."""
    if not instance.owner or instance.owner in present_owners:
        return instance
    return msgspec.structs.replace(instance, condition=Condition.UNKNOWN)


def _modification_revision(records: tuple[tuple[bytes, Record], ...]) -> int:
    return records[0][1].mod_revision if records else 0
