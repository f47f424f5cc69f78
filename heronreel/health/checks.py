"""Who is down, from what probes found.  Pure.

One probe says little: a member is down after `fall` failures in a row and up after `rise` successes.  A
prober that finds more than half of a pool down is more likely to be wrong itself (its own way is cut, or
the probe's path is gone) than to know: then nobody of that pool is told as down by it.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import NamedTuple

MEMBERS_MOST = 10_000
BELIEVED = 0.5  # the most of a pool that is believed to be down


class Rules(NamedTuple):
    """How servers are probed."""

    path: str
    every_s: float = 1.0
    timeout_s: float = 0.5
    fall: int = 3
    rise: int = 2


class Member(NamedTuple):
    """A member of a pool, by the names of the file."""

    pool: str
    name: str


class Health:
    """What is known of each member by the probes of one prober."""

    def __init__(self, rules: Rules, down: Iterable[Member] = ()) -> None:
        """`down` is what a prober before this one told: it stands until probes say otherwise."""
        self.rules = rules
        self.rows: dict[Member, int] = {}  # the same result so often in a row; failures below zero
        self.fallen: set[Member] = set(down)

    def keep(self, members: Collection[Member]) -> None:
        """Those who are to be probed from now on; what is known of others is forgotten."""
        there = set(members)
        self.rows = {member: row for member, row in self.rows.items() if member in there}
        self.fallen &= there

    def observe(self, member: Member, ok: bool) -> bool:
        """One probe's result; whether the member went down or came up by it."""
        row = self.rows.get(member, 0)
        row = max(row, 0) + 1 if ok else min(row, 0) - 1
        self.rows[member] = max(-self.rules.fall, min(self.rules.rise, row))
        if ok and member in self.fallen and row >= self.rules.rise:
            self.fallen.discard(member)
            return True
        if not ok and member not in self.fallen and -row >= self.rules.fall:
            self.fallen.add(member)
            return True
        return False


def believed(down: Collection[Member], members: Collection[Member]) -> frozenset[Member]:
    """Those of `down` that are to be left alone: none of a pool of which too many are."""
    by_pool: dict[str, int] = {}
    for member in members:
        by_pool[member.pool] = by_pool.get(member.pool, 0) + 1
    fallen: dict[str, set[Member]] = {}
    for member in set(down) & set(members):
        fallen.setdefault(member.pool, set()).add(member)
    kept = (rows for pool, rows in fallen.items() if len(rows) <= BELIEVED * by_pool[pool])
    return frozenset(member for rows in kept for member in rows)
