"""Administration by operators: claims, suspended tasks, and the members of the group."""

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

MAX_ATTEMPTS = 5  # at a change that another one comes before


async def revoke_claim(client: Client, task: str) -> int | None:
    """Revoke a claim; its fencing token, which is rejected from now on, or None if nobody held it.

    The next grant has a higher token, and its holder registers at the resources before it acts: the previous
    holder may go on until it checks its claim, or until then.

    Raises:
        RequestError: the service did not respond.
    """
    key = claim_key(task)
    for _ in range(MAX_ATTEMPTS):
        record = await _read(client, key)
        if record is None:
            return None
        unchanged = Compare(key, CompareTarget.CREATE, CompareOperator.EQUAL, record.create_revision)
        if await _succeeds(client, unchanged, DeleteRange(key)):
            return record.create_revision
    return None


async def restart_task(client: Client, task: str) -> bool:
    """Have a suspended task retried; False if it is not suspended.

    Raises:
        RequestError: the service did not respond.
    """
    key = cursor_key(task)
    for _ in range(MAX_ATTEMPTS):
        record = await _read(client, key)
        if record is None:
            return False
        cursor = decode_cursor(record.value)
        if not cursor.suspended:
            return False
        unchanged = Compare(key, CompareTarget.MOD, CompareOperator.EQUAL, record.mod_revision)
        if await _succeeds(client, unchanged, Put(key, encode_cursor(restart_suspended(cursor)))):
            return True
    return False


async def _read(client: Client, key: bytes) -> Record | None:
    response = await client.call(Range(key))
    assert isinstance(response, RangeResponse)
    return response.records[0][1] if response.records else None


async def _succeeds(client: Client, condition: Compare, operation: Operation) -> bool:
    response = await client.call(Txn((condition,), (operation,)))
    assert isinstance(response, TxnResponse)
    return response.succeeded


async def resize_group(client: Client, names: Iterable[str]) -> None:
    """Have the group become these members.

    New members join once they have been started with an empty folder, then members that are not among the
    names leave, one at a time.

    Raises:
        RequestError: the service did not respond.
    """
    await client.call(Put(DESIRED_MEMBERS_KEY, " ".join(sorted(names)).encode()))


async def group_overview(client: Client) -> dict[str, Any]:
    """What each address reports of itself, and who is in the group as its leader says: the rows of `--json`.

    Raises:
        RequestError: no member says that it leads.
    """
    reports = await asyncio.gather(*(client.health(address) for address in client.addresses))
    leaders = [report for report in reports if report.get("role") == "leader"]
    if not leaders:
        raise RequestError(StatusCode.UNAVAILABLE, "nobody says that it leads")
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
