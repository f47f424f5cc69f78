"""The schedule of calls to the list service: when a watch starts, and when to call again after a failure.

All proxies share the list service, so calls must become rarer until it has caught up.  On the other hand, a
change counts as received 6 s after the service had it and was reachable.  This must hold even for a proxy
whose last call came just before the service's return: the rest of that call, the backoff and the next call
must take less than 6 s.
"""

import random

from heronreel.balancer.interface import WatchFailure, exponential_backoff

# The first calls of all proxies are spread over this share of the time within which a proxy must call.
FIRST_CALL_SHARE = 1.0 / 8.0
# The backoff after a first failure; it doubles with each further one.
FIRST_BACKOFF_MS = 1000.0
# After the watches of all proxies ended at once, their calls are spread over this time per proxy, up to a
# maximum.  The service must not stand idle between these calls.
RESUME_SPACING_MS = 2.5
MAX_RESUME_MS = 500.0
# A watch that stays open for this time earns one immediate resumption.
RESUME_EARNING_MS = 1000.0
# The number of immediate resumptions that can be saved up.
MAX_RESUMES = 3.0
# The time over which calls are spread after the address of the service changed.
MOVED_SPREAD_MS = 500.0
# The time over which calls are spread after watches that were silent for too long.
LATE_SPREAD_MS = 2000.0
# The longest backoff after failures that are not refusals, in ms and as a share of the time for calls.
MAX_BACKOFF_MS = 2600.0
MAX_BACKOFF_SHARE = 1.0 / 3.0
# A refusal within this time means that the service is overloaded; a later one means that it is down.
FAST_REFUSAL_MS = 500.0
# The backoff after a first refusal by an overloaded service: the part of each proxy, and its lower limit.  It
# doubles with each further refusal, up to a share of the time for calls.  A refusal costs the service a fifth
# of a response, so the calls of all proxies together must be few.
OVERLOAD_SPACING_MS = 50.0
MIN_OVERLOAD_BACKOFF_MS = 500.0
MAX_OVERLOAD_BACKOFF_SHARE = 0.5
# From this number of failures on, a backoff is spread from MIN_LONG_BACKOFF_SHARE of its full length upwards.
LONG_BACKOFF_FAILURES = 3
MIN_LONG_BACKOFF_SHARE = 0.9
# After a refused call began, the list may be used for this time.  A service that is down holds the next call
# for as long as the last one, and must refuse it within this time.
REFUSAL_VALIDITY_MS = 6000.0
# The limits of the longest backoff after a refusal by a service that is down.
MIN_DOWN_BACKOFF_MS = 300.0
MAX_DOWN_BACKOFF_MS = 2000.0
# The shortest backoff as a share of the longest one while the service is down.
MIN_DOWN_BACKOFF_SHARE = 0.5
# Late refusals count as a sign that the service is down for this time only, because an overloaded service
# that works through abandoned calls may also refuse late.
MAX_DOWN_MS = 12_000.0
# After this number of late refusals, a process that has had no response takes the service for overloaded.
MAX_FIRST_REFUSALS = 2
# The shortest backoff, as a share of the time for calls, after a late refusal by an overloaded service.
MIN_LATE_REFUSAL_BACKOFF_SHARE = 0.4


class WatchSchedule:
    """Schedules the calls by which one proxy watches the list.

    Only one timer is set at a time, whatever the number of failures; otherwise their calls would add up.
    """

    def __init__(self, within_ms: float, proxies: int) -> None:
        self.within_ms, self.proxies = within_ms, proxies
        # `late_refusals` counts late refusals; it and `fast_refusals` restart with each list.
        self.failures = self.late_refusals = self.fast_refusals = 0
        # The time of the first late refusal, and the saved resumptions, which go down to -1.
        self.first_refused_at, self.saved_resumes = 0.0, MAX_RESUMES
        # Whether the service seems to have too many calls rather than to be down, and whether a timer is set.
        self.overloaded = self.scheduled = False
        # The times of the last call and of the last first response to a call; -1: there was none.
        self.called_at = self.answered_at = -1.0
        # The time of the last list; if it is before `called_at`, the last call got no response.
        self.received_at = -1.0

    def first_delay(self, rng: random.Random) -> float:
        """Return the delay before the first call, ms."""
        self.scheduled = True
        return self.within_ms * FIRST_CALL_SHARE * rng.random()

    def call_started(self, now: float) -> None:
        """Record that the timer fired and the call starts."""
        self.scheduled, self.called_at = False, now

    def call_failed(self, now: float, rng: random.Random, failure: WatchFailure) -> float | None:
        """Return the delay before the next call, ms, or None if a call is already scheduled."""
        elapsed_ms = now - self.called_at
        max_backoff = min(MAX_BACKOFF_MS, self.within_ms * MAX_BACKOFF_SHARE)
        if failure is WatchFailure.MOVED:
            self.failures = self.late_refusals = self.fast_refusals = 0
            self.overloaded, self.scheduled = False, True
            return min(MOVED_SPREAD_MS, max_backoff) * rng.random()
        if self.scheduled:
            return None
        self.scheduled = True
        if failure is WatchFailure.BUSY and elapsed_ms < FAST_REFUSAL_MS:
            self.fast_refusals += 1
            max_backoff = max(MIN_OVERLOAD_BACKOFF_MS, self.within_ms * MAX_OVERLOAD_BACKOFF_SHARE)
            first_backoff = min(max(MIN_OVERLOAD_BACKOFF_MS, OVERLOAD_SPACING_MS * self.proxies), max_backoff)
            backoff = exponential_backoff(self.fast_refusals, first_backoff, max_backoff)
            return backoff * rng.uniform(0.5, 1.0)
        if failure is WatchFailure.BUSY:
            self.first_refused_at = self.first_refused_at if self.late_refusals else now
            self.late_refusals += 1
            return self._late_refusal_backoff(now, elapsed_ms, rng)
        self.overloaded = failure is WatchFailure.LATE
        if self.received_at >= self.called_at:
            earned = (now - self.answered_at) / RESUME_EARNING_MS
            self.failures = 0 if earned >= 1.0 else self.failures
            self.saved_resumes = min(MAX_RESUMES, max(0.0, self.saved_resumes) + earned) - 1.0
            if failure is WatchFailure.ENDED and self.saved_resumes >= 0.0:
                return min(RESUME_SPACING_MS * self.proxies, MAX_RESUME_MS, max_backoff) * rng.random()
        self.failures += 1
        spread = rng.uniform(0.5 if self.failures < LONG_BACKOFF_FAILURES else MIN_LONG_BACKOFF_SHARE, 1.0)
        backoff = exponential_backoff(self.failures, min(FIRST_BACKOFF_MS, max_backoff), max_backoff) * spread
        # The changes that a late watch misses soon count as received, so the time since the call is deducted.
        if failure is WatchFailure.LATE:
            return max(backoff - elapsed_ms, min(LATE_SPREAD_MS, max_backoff) * rng.random())
        return backoff

    def _late_refusal_backoff(self, now: float, held_ms: float, rng: random.Random) -> float:
        """Return the delay after a late refusal, which comes from a service that is down or overloaded.

        `held_ms` is the time for which the service held the call before it refused it.

        While the service is down, calls cost nothing, and once it is back, all proxies need its list soon.
        While it is overloaded, no proxy gets a response as long as all of them call faster than the service
        works through the calls, including abandoned ones.  A proxy that has had no response yet takes the
        service for overloaded after a few refusals, since that is far more common after a mass restart.
        """
        never_answered = self.answered_at < 0.0 and self.late_refusals > MAX_FIRST_REFUSALS
        if self.overloaded or never_answered or now - self.first_refused_at > MAX_DOWN_MS:
            return self.within_ms * rng.uniform(MIN_LATE_REFUSAL_BACKOFF_SHARE, 1.0)
        max_backoff = min(MAX_DOWN_BACKOFF_MS, max(MIN_DOWN_BACKOFF_MS, REFUSAL_VALIDITY_MS - 2.0 * held_ms))
        return max_backoff * rng.uniform(MIN_DOWN_BACKOFF_SHARE, 1.0)

    def list_received(self, now: float) -> None:
        """Record that a list was received, which is the response to the call."""
        self.answered_at = now if self.received_at < self.called_at else self.answered_at
        self.received_at, self.late_refusals, self.fast_refusals, self.overloaded = now, 0, 0, False
