"""Which members are down, from the results of probes.  Pure.

One probe says little: a member goes down after `fall` failures in a row, and comes up after `rise` successes.
A prober that finds more than half of a pool down is more likely to be wrong itself (its own network is cut,
or the probed path is gone): then no member of that pool counts as down.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import NamedTuple

MAX_MEMBERS = 10_000
PANIC_THRESHOLD = 0.5  # the largest part of a pool that is believed to be down


class HealthCheckConfig(NamedTuple):
    """How members are probed."""

    path: str
    interval_s: float = 1.0
    timeout_s: float = 0.5
    fall: int = 3  # failures in a row that take a member down
    rise: int = 2  # successes in a row that bring it up


class Member(NamedTuple):
    """A member of a pool, by the names in the configuration."""

    pool: str
    name: str


class HealthTracker:
    """The health of each member, by the results of one prober."""

    def __init__(self, config: HealthCheckConfig, down: Iterable[Member] = ()) -> None:
        """`down` is what a previous prober reported: it stands until probes say otherwise."""
        self.config = config
        self.down: set[Member] = set(down)
        self._streaks: dict[Member, int] = {}  # equal results in a row; failures are negative

    def retain(self, members: Collection[Member]) -> None:
        """Track these members from now on, and drop what is known of others."""
        retained = set(members)
        self._streaks = {member: streak for member, streak in self._streaks.items() if member in retained}
        self.down &= retained

    def observe(self, member: Member, healthy: bool) -> bool:
        """Take one probe's result; returns whether the member went down or came up by it."""
        streak = self._streaks.get(member, 0)
        streak = max(streak, 0) + 1 if healthy else min(streak, 0) - 1
        self._streaks[member] = max(-self.config.fall, min(self.config.rise, streak))
        if member in self.down and streak >= self.config.rise:
            self.down.discard(member)
            return True
        if member not in self.down and -streak >= self.config.fall:
            self.down.add(member)
            return True
        return False


def apply_panic_threshold(down: Collection[Member], members: Collection[Member]) -> frozenset[Member]:
    """The members of `down` that get no traffic: none of a pool of which too many are down."""
    sizes: dict[str, int] = {}
    for member in members:
        sizes[member.pool] = sizes.get(member.pool, 0) + 1
    down_by_pool: dict[str, set[Member]] = {}
    for member in set(down) & set(members):
        down_by_pool.setdefault(member.pool, set()).add(member)
    believed = (rows for pool, rows in down_by_pool.items() if len(rows) <= PANIC_THRESHOLD * sizes[pool])
    return frozenset(member for rows in believed for member in rows)
