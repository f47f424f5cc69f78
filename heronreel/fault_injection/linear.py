"""Whether the answers to calls could have come one after the other (Wing and Gong, 1993).

Each call is done at one moment between its begin and its end.  A call without an answer may have been done
at any moment from its begin on, or never.  Each key is looked at alone: what holds of each key holds of
all.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from heronreel.fault_injection.histories import Call

READ, PUT, CAS = "read", "put", "cas"  # given: key; key, value; key, old, new
STATES_MOST = 2_000_000


class TooLarge(Exception):
    """The search was given up: nothing is known of this history."""


def wrong(calls: Iterable[Call], start: Any = None) -> str | None:
    """Why no order explains the answers, or None if one does.  `start` is what each key has first.

    The result of a read is the value, of a compare-and-set whether it was done; of a put anything.
    """
    by_key: dict[str, list[Call]] = {}
    for call in calls:
        if call.what == READ and not call.known:
            continue  # it showed nothing and did nothing
        by_key.setdefault(call.given[0], []).append(call)
    for key, rows in by_key.items():
        if not _explained(sorted(rows, key=lambda call: call.begin), start):
            return f"no order of the {len(rows)} calls on {key!r} explains their answers"
    return None


def _explained(rows: list[Call], start: Any) -> bool:
    """Depth first: the next one is any call that began before all others that are left have ended."""
    count = len(rows)
    needed = 0
    for place, call in enumerate(rows):
        if call.known:
            needed |= 1 << place
    seen: set[tuple[int, Any]] = {(0, start)}
    stack: list[tuple[int, Any]] = [(0, start)]
    while stack:
        done, value = stack.pop()
        if done & needed == needed:
            return True
        first_end = min(row.end for place, row in enumerate(rows) if not done >> place & 1)
        for place in range(count):
            if done >> place & 1:
                continue
            call = rows[place]
            if call.begin > first_end:
                break
            fits, after = _done(call, value)
            if not fits:
                continue
            state = done | 1 << place, after
            if state not in seen:
                if len(seen) >= STATES_MOST:
                    raise TooLarge(f"{count} calls")
                seen.add(state)
                stack.append(state)
    return False


def _done(call: Call, value: Any) -> tuple[bool, Any]:
    """Whether the answer fits, were it done on `value`; and what is there then."""
    if call.what == READ:
        return call.result == value, value
    if call.what == PUT:
        return True, call.given[1]
    _, old, new = call.given
    if not call.known:
        return True, new if value == old else value
    return call.result == (value == old), new if value == old else value
