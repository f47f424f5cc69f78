"""Transactions that change the records of the disruption budget.

Each of them also writes the revision key, so that any other transaction fails that is based on an earlier
read.  The value of the revision key names the change and is meant for people who inspect the store.
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
    """Build a change that succeeds only at the expected revision, or always if that is None."""
    conditions = (
        ()
        if expected_revision is None
        else (Compare(REVISION_KEY, CompareTarget.MOD, CompareOperator.EQUAL, expected_revision),)
    )
    return Txn(conditions, (*operations, Put(REVISION_KEY, change)))


def halt_transaction(halt: Halt | None) -> Txn:
    """Build the transaction that creates the halt, or deletes it if `halt` is None.

    It changes the revision, so no claim is granted that is based on an earlier read.
    """
    operation = DeleteRange(HALT_KEY) if halt is None else Put(HALT_KEY, encode_record(halt))
    return update_transaction(None, HALT_CHANGE, operation)


def rules_transaction(rules: tuple[BudgetRule, ...]) -> Txn:
    """Build the transaction that replaces all budget rules."""
    return update_transaction(None, RULES_CHANGE, Put(RULES_KEY, encode_rules(rules)))


def observation_transaction(expected_revision: int, instance: Instance) -> Txn:
    """Build the transaction that stores an owner's observation of its instance.

    It succeeds only if no record was written since the expected revision was read, so that an observation
    never overwrites a later one.
    """
    write = Put(instance.key, encode_record(instance))
    return update_transaction(expected_revision, OBSERVATION_CHANGE, write)


def transfer_transaction(expected_revision: int, claim: DisruptionClaim) -> Txn:
    """Build the transaction that stores a claim which `transfer_claim` assigned to another operation."""
    write = Put(claim.key, encode_record(claim))
    return update_transaction(expected_revision, TRANSFER_CHANGE, write)


def transfer_claim(
    claim: DisruptionClaim, operation_id: str, operator: str, fencing_token: int
) -> DisruptionClaim:
    """Assign the claim of an operation that has ended to the operation that takes over.

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
