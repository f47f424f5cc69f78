"""Operations for administrators: revoke claims, restart suspended tasks, and resize the group."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Any

from heronreel.coordination.client import Client
from heronreel.coordination.errors import RequestError, StatusCode
from heronreel.coordination.kv_service import DESIRED_MEMBERS_KEY
from heronreel.coordination.model import (
    Compare,
    CompareOperator,
    CompareTarget,
    DeleteRange,
    Operation,
    Put,
    Range,
    RangeResponse,
    Record,
    Txn,
    TxnResponse,
)
from heronreel.leases.keys import claim_key, cursor_key
from heronreel.leases.tasks import decode_cursor, encode_cursor, restart_suspended

MAX_TRANSACTION_ATTEMPTS = 5  # A transaction fails if the key was changed after it was read.


async def revoke_claim(client: Client, task: str) -> int | None:
    """Revoke the claim on a task.

    The next grant has a higher fencing token, and its holder registers at the resources before it acts.  The
    previous holder may continue to act until it checks its claim, or until the next holder has registered.

    Returns:
        The fencing token of the revoked claim, or None if no process held the claim or if the key changed
        during each attempt.

    Raises:
        RequestError: the coordination service did not respond.
    """
    key = claim_key(task)
    for _ in range(MAX_TRANSACTION_ATTEMPTS):
        record = await _read(client, key)
        if record is None:
            return None
        unchanged = Compare(key, CompareTarget.CREATE, CompareOperator.EQUAL, record.create_revision)
        if await _apply_if(client, unchanged, DeleteRange(key)):
            return record.create_revision
    return None


async def restart_task(client: Client, task: str) -> bool:
    """Restart a suspended task.

    Returns:
        Whether the task was restarted.  It is not if it is not suspended, or if its cursor changed during
        each attempt.

    Raises:
        RequestError: the coordination service did not respond.
    """
    key = cursor_key(task)
    for _ in range(MAX_TRANSACTION_ATTEMPTS):
        record = await _read(client, key)
        if record is None:
            return False
        cursor = decode_cursor(record.value)
        if not cursor.suspended:
            return False
        unchanged = Compare(key, CompareTarget.MOD, CompareOperator.EQUAL, record.mod_revision)
        if await _apply_if(client, unchanged, Put(key, encode_cursor(restart_suspended(cursor)))):
            return True
    return False


async def _read(client: Client, key: bytes) -> Record | None:
    response = await client.call(Range(key))
    assert isinstance(response, RangeResponse)
    return response.records[0][1] if response.records else None


async def _apply_if(client: Client, condition: Compare, operation: Operation) -> bool:
    """Apply an operation if the condition holds; returns whether it was applied."""
    response = await client.call(Txn((condition,), (operation,)))
    assert isinstance(response, TxnResponse)
    return response.succeeded


async def resize_group(client: Client, names: Iterable[str]) -> None:
    """Set the desired members of the group.

    Each new member joins once it has been started with an empty data folder.  After that the members that are
    not among `names` leave, one at a time.

    Raises:
        RequestError: the coordination service did not respond.
    """
    await client.call(Put(DESIRED_MEMBERS_KEY, " ".join(sorted(names)).encode()))


async def group_overview(client: Client) -> dict[str, Any]:
    """Return the state that each member reports, and the membership that the leader reports.

    The result has the form of the `--json` output, whose keys are fixed.

    Raises:
        RequestError: no member reports that it is the leader.
    """
    reports = await asyncio.gather(*(client.health(address) for address in client.addresses))
    leaders = [report for report in reports if report.get("role") == "leader"]
    if not leaders:
        raise RequestError(StatusCode.UNAVAILABLE, "no member reports that it is the leader")
    newest = max(leaders, key=lambda report: report["version"])
    disks = newest["disks"]
    members = []
    for address, report in zip(client.addresses, reports, strict=True):
        member = {
            "address": address,
            "member": report.get("member", ""),
            "role": report.get("role", "no answer"),
            "in": "disk" in report and disks.get(report["member"]) == report["disk"],
        }
        members.append(member)
    return {"members": members, "disks": disks, "wish": newest["wish"]}
