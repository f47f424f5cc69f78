"""Computes until when a proxy may send requests by its current endpoint list, if it polls discovery.

The platform counts a change of the endpoint list as notified at a certain time, whether or not the proxy has
received it.  Once that time and the drain grace have passed, no request may start at a draining backend.  An
endpoint list therefore expires at the earliest time at which a change that it may lack could count as
notified, plus the grace.  Calling discovery again is not enough to renew every list in time: discovery takes
longer to answer one call from each proxy of a fleet than some changes take to count as notified.

A change does not count as notified while discovery is unreachable; the proxy then continues with the list
that it has.  An overloaded discovery service refuses a call immediately.  During an outage, a call is refused
only after the full time that a call may wait, or the connection fails.

This module performs no I/O.  All times are in seconds on the monotonic clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

# A change counts as notified this long after discovery had it and was reachable.
NOTIFIED_AFTER_REACHABLE_S = 6.0
# A change counts as notified this long after the end of a watch that ended without delivering the change.
NOTIFIED_AFTER_WATCH_END_S = 2.0
# After a SIGHUP that changes discovery's address, every change that the new service had at that time counts
# as notified this long after the signal.
NOTIFIED_AFTER_MOVE_S = 4.0
# The proxy notices an event at discovery up to this much later than it happened; delays of 0.15 to 0.21 s
# occur.
MAX_DETECTION_DELAY_S = 0.2
# The process may be suspended for this long between reading its clock and writing a request.
MAX_STALL_S = 0.15
# A refusal within this time means that the service is overloaded, a later one that it is unreachable.
FAST_REFUSAL_S = 0.5
# This many unanswered calls in a row mean an outage; a single call may just wait at a busy service.
OUTAGE_UNANSWERED_CALLS = 2


@dataclass(slots=True)
class ListValidity:
    """Tracks how long the current endpoint list stays valid.

    Attributes:
        grace_s: How long after a notification requests may still start at a draining backend.
        current_at: When the list was last confirmed to be current; initially the start of the process.
        expires_at: From this time on, no request may start at a backend.
        watch_ended_at: The first end of an open watch since `current_at`.
        moved_at: When discovery's address changed since `current_at`.
        unreachable_at: The last time at which discovery was certainly unreachable.
        overloaded_at: The last time at which discovery refused a call because it was overloaded.
        unanswered_calls: Consecutive calls that got neither an answer nor a refusal.
    """

    grace_s: float
    current_at: float
    expires_at: float = math.inf
    watch_ended_at: float = math.inf
    moved_at: float = math.inf
    unreachable_at: float = -math.inf
    overloaded_at: float = -math.inf
    unanswered_calls: int = 0

    def __post_init__(self) -> None:
        self._update_expiry()

    def reconfigure(self, grace_s: float) -> None:
        """Apply the drain grace of new settings."""
        self.grace_s = grace_s
        self._update_expiry()

    def confirm_current(self, now: float) -> None:
        """Record that a list was received, or that an open watch reported no change."""
        self.current_at, self.unanswered_calls = now, 0
        self.watch_ended_at = self.moved_at = math.inf
        self._update_expiry()

    def watch_ended(self, now: float) -> None:
        """Record that an open watch ended; it may have ended instead of delivering a change."""
        self.watch_ended_at = min(self.watch_ended_at, now)
        self._update_expiry()

    def service_moved(self, now: float) -> None:
        """Record that another discovery service is called from now on."""
        self.moved_at, self.unanswered_calls = now, 0
        self._update_expiry()

    def call_refused(self, called_at: float, now: float) -> None:
        """Record a refused call.

        A fast refusal means that the service is overloaded, a slow one that it was unreachable.
        """
        self.unanswered_calls = 0
        if now - called_at < FAST_REFUSAL_S:
            self.overloaded_at = now
        else:
            self._record_outage(called_at)
        self._update_expiry()

    def connection_failed(self, called_at: float) -> None:
        """Record that no connection could be opened for a call."""
        self.unanswered_calls = 0
        self._record_outage(called_at)
        self._update_expiry()

    def call_unanswered(self, called_at: float) -> None:
        """Record a call that was reset or got no answer in time.

        A single such call is no proof of an outage, since it may just wait at a busy service.
        """
        self.unanswered_calls += 1
        if self.unanswered_calls >= OUTAGE_UNANSWERED_CALLS:
            self._record_outage(called_at)
        self._update_expiry()

    def _record_outage(self, outage_at: float) -> None:
        self.unreachable_at = max(self.unreachable_at, outage_at)
        # The outage explains why the watch ended, unless the service was reachable between the two.
        if self.overloaded_at < self.watch_ended_at <= outage_at:
            self.watch_ended_at = math.inf
        if self.overloaded_at < self.moved_at <= outage_at:
            self.moved_at = math.inf

    def _update_expiry(self) -> None:
        earliest_notified_at = min(
            max(self.current_at - MAX_DETECTION_DELAY_S, self.unreachable_at) + NOTIFIED_AFTER_REACHABLE_S,
            self.watch_ended_at - MAX_DETECTION_DELAY_S + NOTIFIED_AFTER_WATCH_END_S,
            self.moved_at - MAX_DETECTION_DELAY_S + NOTIFIED_AFTER_MOVE_S,
        )
        self.expires_at = earliest_notified_at + self.grace_s - MAX_STALL_S
