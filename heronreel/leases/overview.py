"""What operators see and do: who holds what, who is present, and taking a task away."""

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
    LeaseResponse,
    LeaseTimeToLive,
    Put,
    Range,
    RangeResponse,
    Txn,
    TxnResponse,
    prefix_end,
)
from heronreel.leases.lease import CLAIM_PREFIX, PRESENCE_PREFIX
from heronreel.leases.tasks import CURSOR_PREFIX, decode_cursor, encode_cursor, restart_suspended


async def lease_overview(client: Client) -> dict[str, list[dict[str, Any]]]:
    """Rows for people and programs.  Raises Refused."""
    held = await _rows(client, CLAIM_PREFIX)
    present = await _rows(client, PRESENCE_PREFIX)
    left: dict[int, int | None] = {}
    silent: dict[int, int | None] = {}  # seconds since the last renewal, where one is overdue
    for _, record in (*held.records, *present.records):
        if record.lease and record.lease not in left:
            told = await client.call(LeaseTimeToLive(record.lease))
            assert isinstance(told, LeaseResponse)
            left[record.lease] = told.ttl if told.ttl >= 0 else None
            since = told.granted_ttl - max(0, told.ttl)
            # renewed at a third; the group tells whole seconds, rounded down
            silent[record.lease] = since if since > told.granted_ttl / 3 + 1 else None
    return {
        "held": [
            {
                "task": _text(key[len(CLAIM_PREFIX) :]),
                "by": _text(record.value),
                "number": record.create_revision,
                "lease": str(record.lease),
                "left_s": left.get(record.lease),
            }
            for key, record in held.records
        ],
        "present": [
            {
                "name": _text(key[len(PRESENCE_PREFIX) :]),
                "what": _text(record.value),
                "since": record.create_revision,
                "lease": str(record.lease),
                "left_s": left.get(record.lease),
                "unknown_since_s": silent.get(record.lease),
            }
            for key, record in present.records
        ],
    }


async def tasks(client: Client) -> list[dict[str, Any]]:
    """Where each task is, and who has it.  Raises Refused."""
    found = await _rows(client, CURSOR_PREFIX)
    held = {key[len(CLAIM_PREFIX) :]: record for key, record in (await _rows(client, CLAIM_PREFIX)).records}
    rows = []
    for key, record in found.records:
        name = key[len(CURSOR_PREFIX) :]
        cursor = decode_cursor(record.value)
        holder = held.get(name)
        rows.append({
            "task": _text(name), "confirmed": cursor.step, "begun": cursor.begun or None,
            "tries": cursor.tries,
            "set_aside": cursor.aside, "late": cursor.late,
            "last_by": cursor.by, "last_number": cursor.number,
            "held_by": _text(holder.value) if holder else None,
        })  # fmt: skip
    return rows


async def restart_task(client: Client, task: str) -> bool:
    """Have a task that was set aside tried anew; False if it is not set aside.  Raises Refused."""
    key = CURSOR_PREFIX + task.encode()
    for _ in range(5):
        found = await client.call(Range(key))
        assert isinstance(found, RangeResponse)
        if not found.records or not (cursor := decode_cursor(found.records[0][1].value)).aside:
            return False
        same = Compare(key, CompareTarget.MOD, CompareOperator.EQUAL, found.records[0][1].mod_revision)
        done = await client.call(Txn((same,), (Put(key, encode_cursor(restart_suspended(cursor))),)))
        assert isinstance(done, TxnResponse)
        if done.succeeded:
            return True
    return False


async def _rows(client: Client, prefix: bytes) -> RangeResponse:
    found = await client.call(Range(prefix, prefix_end(prefix)))
    assert isinstance(found, RangeResponse)
    return found


def _text(data: bytes) -> str:
    return data.decode(errors="replace")


async def revoke_claim(client: Client, task: str) -> int | None:
    """End a holder's claim; the number that is refused from now on, or None if nobody held it.

    The next grant has a greater number, and whoever takes it enters the places before acting: the old holder
    may go on until it looks again, or until then.  Raises Refused.
    """
    key = CLAIM_PREFIX + task.encode()
    for _ in range(5):
        found = await client.call(Range(key))
        assert isinstance(found, RangeResponse)
        if not found.records:
            return None
        number = found.records[0][1].create_revision
        same = Compare(key, CompareTarget.CREATE, CompareOperator.EQUAL, number)
        done = await client.call(Txn((same,), (DeleteRange(key),)))
        assert isinstance(done, TxnResponse)
        if done.succeeded:
            return number
    return None


async def resize(client: Client, names: Iterable[str]) -> None:
    """Have the group become these: whoever is new is taken up once it has been started with an empty folder,
    then whoever is not among them is let go, one at a time.  Raises Refused.
    """
    await client.call(Put(DESIRED_MEMBERS_KEY, " ".join(sorted(names)).encode()))


async def members(client: Client) -> dict[str, Any]:
    """What each address says of itself, and who is in the group by the leader's word.  Raises Refused."""
    told = await asyncio.gather(*(client.health(address) for address in client.addresses))
    leads = [row for row in told if row.get("role") == "leader"]
    if not leads:
        raise RequestError(StatusCode.UNAVAILABLE, "nobody says that it leads")
    disks = max(leads, key=lambda row: row["version"])["disks"]
    return {
        "members": [
            {
                "address": address, "member": row.get("member", ""), "role": row.get("role", "no answer"),
                "in": "disk" in row and disks.get(row["member"]) == row["disk"],
            }
            for address, row in zip(client.addresses, told, strict=True)
        ],
        "disks": disks,
        "wish": max(leads, key=lambda row: row["version"])["wish"],
    }  # fmt: skip
