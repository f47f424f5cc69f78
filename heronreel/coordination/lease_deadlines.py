"""The expiry times of leases, on the clock of the leader.

A holder measures its lease from before it sent the request.  The group measures it from after it received
the request, and extends it by the maximum drift of two clocks.  A lease therefore never expires in the group
before its holder has stopped using it, as long as neither clock drifts by more than the configured maximum.
"""

from __future__ import annotations

import copy
import math
from collections.abc import Iterable, Mapping

from immutables import Map


class LeaseDeadlines:
    """The deadlines of all leases, in seconds of the leader's clock."""

    def __init__(self, max_clock_drift: float) -> None:
        """`max_clock_drift`: how much faster or slower than true time a clock may run, as a fraction."""
        self.max_clock_drift = max_clock_drift
        self.by_lease: Map[int, float] = Map()
        self.earliest = math.inf  # a lower bound of all deadlines

    def fork(self) -> LeaseDeadlines:
        """Return an independent copy."""
        return copy.copy(self)

    def restart(self, now: float, leases: Mapping[int, int]) -> None:
        """Restart the time of all leases at `now`; `leases` maps their ids to their seconds to live."""
        self.by_lease = Map({lease: self._deadline(now, ttl) for lease, ttl in leases.items()})
        self._find_earliest()

    def clear(self) -> None:
        """Remove all deadlines, because this member no longer leads."""
        self.by_lease = Map()
        self.earliest = math.inf

    def expired(self, now: float) -> list[int]:
        """Return the leases whose deadline has passed."""
        if self.earliest > now:
            return []
        return [lease for lease, deadline in self.by_lease.items() if deadline <= now]

    def remaining(self, lease: int, now: float, ttl: int) -> int:
        """Return the remaining time of a lease in whole seconds; `ttl` if it has no deadline yet."""
        return max(0, int(self.by_lease.get(lease, now + ttl) - now))

    def update(
        self,
        now: float,
        renewed: Iterable[tuple[int, int]],
        ended: Iterable[int],
        leases: Mapping[int, int],
    ) -> None:
        """Apply the lease changes of a committed round.

        Args:
            now: the time in seconds.
            renewed: granted or renewed leases, with their seconds to live.
            ended: leases that were revoked or have expired.
            leases: all leases after the round.
        """
        before = self.by_lease
        for lease, ttl in renewed:
            if lease in leases:
                self.by_lease = self.by_lease.set(lease, self._deadline(now, ttl))
        for lease in ended:
            if lease in self.by_lease and lease not in leases:
                self.by_lease = self.by_lease.delete(lease)
        if self.by_lease is not before:
            self._find_earliest()

    def _deadline(self, now: float, ttl: int) -> float:
        return now + ttl * (1.0 + self.max_clock_drift) / (1.0 - self.max_clock_drift)

    def _find_earliest(self) -> None:
        self.earliest = min(self.by_lease.values(), default=math.inf)
