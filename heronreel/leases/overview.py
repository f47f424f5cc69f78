"""Overviews for operators: the holders of claims, the processes present, and the progress of tasks.

The functions return the rows of `--json` outputs, whose keys are fixed.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from heronreel.coordination.client import Client
from heronreel.coordination.model import LeaseResponse, LeaseTimeToLive, Range, RangeResponse, prefix_end
from heronreel.leases.keys import CLAIM_PREFIX, CURSOR_PREFIX, PRESENCE_PREFIX
from heronreel.leases.tasks import decode_cursor

Row = dict[str, Any]


class _LeaseTimes(NamedTuple):
    """The remaining time of one lease, and how long its renewal has been missing.

    Attributes:
        time_to_live_s: the remaining seconds; None if the lease has expired.
        overdue_s: the seconds since the last renewal if the next one is overdue, otherwise None.
    """

    time_to_live_s: int | None
    overdue_s: int | None


_UNKNOWN_TIMES = _LeaseTimes(None, None)


async def lease_overview(client: Client) -> dict[str, list[Row]]:
    """Return the claims and the processes present, with the remaining times of their leases.

    Raises:
        RequestError: the coordination service did not respond.
    """
    claims = await _range(client, CLAIM_PREFIX)
    presences = await _range(client, PRESENCE_PREFIX)
    times_by_lease: dict[int, _LeaseTimes] = {}
    for _, record in (*claims.records, *presences.records):
        if record.lease and record.lease not in times_by_lease:
            times_by_lease[record.lease] = await _lease_times(client, record.lease)
    return {
        "held": [
            {
                "task": _text(key[len(CLAIM_PREFIX) :]),
                "by": _text(record.value),
                "number": record.create_revision,
                "lease": str(record.lease),
                "left_s": times_by_lease.get(record.lease, _UNKNOWN_TIMES).time_to_live_s,
            }
            for key, record in claims.records
        ],
        "present": [
            {
                "name": _text(key[len(PRESENCE_PREFIX) :]),
                "what": _text(record.value),
                "since": record.create_revision,
                "lease": str(record.lease),
                "left_s": times_by_lease.get(record.lease, _UNKNOWN_TIMES).time_to_live_s,
                "unknown_since_s": times_by_lease.get(record.lease, _UNKNOWN_TIMES).overdue_s,
            }
            for key, record in presences.records
        ],
    }


async def _lease_times(client: Client, lease_id: int) -> _LeaseTimes:
    response = await client.call(LeaseTimeToLive(lease_id))
    assert isinstance(response, LeaseResponse)
    since_renewal_s = response.granted_ttl - max(0, response.ttl)
    # A lease is renewed after a third of its time to live, and the service rounds down to whole seconds.
    is_overdue = since_renewal_s > response.granted_ttl / 3 + 1
    return _LeaseTimes(
        time_to_live_s=response.ttl if response.ttl >= 0 else None,
        overdue_s=since_renewal_s if is_overdue else None,
    )


async def task_overview(client: Client) -> list[Row]:
    """Return the progress and the holder of each task.

    Raises:
        RequestError: the coordination service did not respond.
    """
    cursors = await _range(client, CURSOR_PREFIX)
    claims = await _range(client, CLAIM_PREFIX)
    holders = {key[len(CLAIM_PREFIX) :]: record.value for key, record in claims.records}
    rows = []
    for key, record in cursors.records:
        name = key[len(CURSOR_PREFIX) :]
        cursor = decode_cursor(record.value)
        row = {
            "task": _text(name),
            "confirmed": cursor.confirmed_step,
            "begun": cursor.started_step or None,
            "tries": cursor.attempts,
            "set_aside": cursor.suspended,
            "late": cursor.late_steps,
            "last_by": cursor.holder,
            "last_number": cursor.fencing_token,
            "held_by": _text(holders[name]) if name in holders else None,
        }
        rows.append(row)
    return rows


async def _range(client: Client, prefix: bytes) -> RangeResponse:
    response = await client.call(Range(prefix, prefix_end(prefix)))
    assert isinstance(response, RangeResponse)
    return response


def _text(data: bytes) -> str:
    return data.decode(errors="replace")
