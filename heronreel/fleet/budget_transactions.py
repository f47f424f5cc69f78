"""Transactions that change the records of the disruption budget.

Each of them also writes the revision key, so that a transaction which depends on the records as they were
read before fails.  The value written there names the change, for whoever reads the store.
"""

from __future__ import annotations

import msgspec

from heronreel.coordination.model import (
    Compare,
    CompareOperator,
    CompareTarget,
    DeleteRange,
    Operation,
    Put,
    Txn,
)
from heronreel.fleet.errors import StaleFencingTokenError
from heronreel.fleet.model import (
    HALT_KEY,
    REVISION_KEY,
    RULES_KEY,
    BudgetRule,
    DisruptionClaim,
    Halt,
    Instance,
    encode_record,
    encode_rules,
)

HALT_CHANGE = b"halt"
OBSERVATION_CHANGE = b"look"
RULES_CHANGE = b"rules"
TRANSFER_CHANGE = b"over"


def update_transaction(expected_revision: int | None, change: bytes, *operations: Operation) -> Txn:
    """A change that succeeds only while the revision is the expected one; with None it always succeeds."""
    conditions = (
        ()
        if expected_revision is None
        else (Compare(REVISION_KEY, CompareTarget.MOD, CompareOperator.EQUAL, expected_revision),)
    )
    return Txn(conditions, (*operations, Put(REVISION_KEY, change)))


def halt_transaction(halt: Halt | None) -> Txn:
    """Create the halt, or delete it with None; claims that rest on earlier reads are not granted."""
    operation = DeleteRange(HALT_KEY) if halt is None else Put(HALT_KEY, encode_record(halt))
    return update_transaction(None, HALT_CHANGE, operation)


def rules_transaction(rules: tuple[BudgetRule, ...]) -> Txn:
    """Replace all budget rules."""
    return update_transaction(None, RULES_CHANGE, Put(RULES_KEY, encode_rules(rules)))


def observation_transaction(expected_revision: int, instance: Instance) -> Txn:
    """Store an owner's observation of its instance.

    It succeeds only while the revision is the one from before the observation, so that an observation never
    overwrites a later one.
    """
    write = Put(instance.key, encode_record(instance))
    return update_transaction(expected_revision, OBSERVATION_CHANGE, write)


def transfer_transaction(expected_revision: int, claim: DisruptionClaim) -> Txn:
    """Store a claim that `transfer_claim` assigned to another operation."""
    write = Put(claim.key, encode_record(claim))
    return update_transaction(expected_revision, TRANSFER_CHANGE, write)


def transfer_claim(
    claim: DisruptionClaim, operation_id: str, operator: str, fencing_token: int
) -> DisruptionClaim:
    """The claim of a dead operation, assigned to the operation that takes over.

    Raises:
        StaleFencingTokenError: The fencing token is not greater than that of the claim.
    """
    if fencing_token <= claim.fencing_token:
        raise StaleFencingTokenError(
            f"fencing token {fencing_token} can't take over a claim under token {claim.fencing_token}"
        )
    return msgspec.structs.replace(
        claim, operation_id=operation_id, operator=operator, fencing_token=fencing_token
    )
