"""Decides from probe results which members are down.  Pure: no I/O.

A single probe result is not reliable, so a member goes down after `fall` consecutive failures and comes up
after `rise` consecutive successes.  If more than half of a pool appears to be down, the prober is more likely
to be at fault than the members: it may have lost its network, or the probed path may no longer exist.  No
member of the pool is treated as down then.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import NamedTuple

MAX_MEMBERS = 10_000
PANIC_THRESHOLD_RATIO = 0.5  # If a larger share of a pool is reported down, the reports are ignored.


class HealthCheckConfig(NamedTuple):
    """The settings of health checks."""

    path: str
    interval_s: float = 1.0
    timeout_s: float = 0.5
    fall: int = 3  # A member goes down after this many consecutive failures.
    rise: int = 2  # A member that is down comes up after this many consecutive successes.


class Member(NamedTuple):
    """A member of a pool, identified by the names of the pool and the member in the configuration."""

    pool: str
    name: str


class HealthTracker:
    """Tracks the health of each member from the probe results of one prober."""

    def __init__(self, config: HealthCheckConfig, down: Iterable[Member] = ()) -> None:
        """Track health from the state that a previous prober reported.

        Members in `down` stay down until enough consecutive probes succeed.
        """
        self.config = config
        self.down: set[Member] = set(down)
        # The number of consecutive equal results of each member; failures count as negative numbers.
        self._streaks: dict[Member, int] = {}

    def retain(self, members: Collection[Member]) -> None:
        """Forget the state of all members other than these."""
        retained = set(members)
        self._streaks = {member: streak for member, streak in self._streaks.items() if member in retained}
        self.down &= retained

    def observe(self, member: Member, healthy: bool) -> bool:
        """Record a probe result; returns whether it took the member down or brought it up."""
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
    """Return the members of `down` to exclude from traffic.

    Pools in which the share of members that are down exceeds `PANIC_THRESHOLD_RATIO` contribute none.
    """
    pool_sizes: dict[str, int] = {}
    for member in members:
        pool_sizes[member.pool] = pool_sizes.get(member.pool, 0) + 1
    down_by_pool: dict[str, set[Member]] = {}
    for member in set(down) & set(members):
        down_by_pool.setdefault(member.pool, set()).add(member)
    excluded_by_pool = (
        down_members
        for pool, down_members in down_by_pool.items()
        if len(down_members) <= PANIC_THRESHOLD_RATIO * pool_sizes[pool]
    )
    return frozenset(member for down_members in excluded_by_pool for member in down_members)
