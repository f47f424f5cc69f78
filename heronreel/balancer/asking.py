"""When to ask for the list of backends, and when to ask again.  Part of the decisions.

The list service is one for all proxies and works through calls in turn.  After a release many calls come
together, and each that fails comes again: the sum of them must fall until the service has caught up, also
where it does answer and breaks off at once, or sends what can't be read.

The other bound is the platform's: whatever failed before, a change counts as told 6 s after the service had
it and could be reached.  So at the worst phase, a call made in the instant before the service is back, the
sum of what is left of that call, the pause, the connection and the turn stays within them.
"""

from __future__ import annotations

import random

from heronreel.balancer.interface import Lost, pause_before

FIRST_SHARE = 1.0 / 8.0  # of the time within which a proxy must ask: the first calls spread over it (ours)
FIRST_MS = 1000.0  # the wait after a first failure; doubled with each further one (ours)
MOVED_MS = 500.0  # over which calls to another service are spread (ours)
SPREAD_MS = 2000.0  # over which calls for late watches are spread (ours)
MOST_MS, MOST_SHARE = 2600.0, 1.0 / 3.0  # the longest wait, unless refused; of the time for asking (ours)
AT_ONCE_MS = 500.0  # a refusal before that costs the service nothing, and is like a broken call (ours)
LONG_FROM, LONG_LEAST = 3, 0.9  # failures from which waits are as long as that, or this share of it (ours)
# the longest wait after a refusal, growing by a factor, while the service may be down for so long (ours)
GONE_MS, GONE_GROWTH, GONE_FOR_MS = 1500.0, 1.25, 14_000.0
GONE_LEAST, FULL_LEAST = 0.4, 0.1  # of the longest wait; of the time for asking, where it is full (ours)


class Asking:
    """One proxy's watch.  One timer for any number of failures, or their calls would add up."""

    __slots__ = (
        "asked_at", "due", "failures", "full", "heard", "refusals", "refused_at", "told_at", "within_ms",
    )  # fmt: skip

    def __init__(self, within_ms: float) -> None:
        self.within_ms = within_ms
        self.failures = 0
        self.refusals = 0  # since the last news
        self.refused_at = 0.0  # the first of them
        self.full = False  # it is not down but has too many calls, as far as can be told
        self.due = False  # a timer is set
        self.heard = False  # any call was ever answered
        self.asked_at = -1.0  # before 0: never
        self.told_at = -2.0  # last; before `asked_at`: the call was not answered

    def begin(self, draw: random.Random) -> float:
        """How long to wait before the first call, ms."""
        self.due = True
        return self.within_ms * FIRST_SHARE * draw.random()

    def asks(self, now: float) -> None:
        """The timer has fired, and the call goes out."""
        self.due, self.asked_at = False, now

    def failed(self, now: float, draw: random.Random, lost: Lost = Lost.ENDED) -> float | None:
        """How long to wait before the next call, ms; None if one is due already.

        Only a watch that lasts ends the back-off: one that breaks off at once is no better than none.  For
        one that is late, what has passed since it was asked for is taken off the pause, as what it misses
        soon counts as told.
        """
        if lost is Lost.MOVED:
            self.failures = self.refusals = 0
            self.full, self.due = False, True
            return min(MOVED_MS, self.most()) * draw.random()
        if self.due:
            return None
        self.due = True
        at_once = now - self.asked_at < AT_ONCE_MS
        if lost is Lost.BUSY and (self.refusals or not at_once):
            self.full |= at_once  # down, it says so always alike
            self.refused_at = self.refused_at if self.refusals else now
            self.refusals += 1
            return self._refused_ms(now, draw)
        self.full = lost is Lost.LATE
        since, answered = now - self.asked_at, self.told_at >= self.asked_at
        if answered and (since >= self.most() or lost is Lost.LATE):
            self.failures = 0
        self.failures += 1
        least = 0.5 if self.failures < LONG_FROM else LONG_LEAST
        most, drawn = self.most(), draw.uniform(least, 1.0)
        pause = pause_before(self.failures, min(FIRST_MS, most), most) * drawn
        if lost is Lost.LATE:
            return max(pause - since, min(SPREAD_MS, most) * draw.random())
        return pause

    def _refused_ms(self, now: float, draw: random.Random) -> float:
        """The wait after a refusal.

        A service that is down and one that has too many calls say the same, 503 after some seconds.  Down, it
        ended its watches before, and calls cost nothing until it is back: then everybody has to be told soon.
        Full, it works through the calls of those who gave up as well, and answers nobody while all ask faster
        than it works; it can take one call from everybody within the time in which a proxy must ask, so that
        nothing narrower than this will do.  Who has never been answered can't tell which it is: after a herd
        has restarted it is full far more often, and short waits of the restarted alone kept it so.
        """
        if self.full or not self.heard or now - self.refused_at > GONE_FOR_MS:
            return self.within_ms * draw.uniform(FULL_LEAST, 1.0)
        longest = min(GONE_MS * GONE_GROWTH ** (self.refusals - 1), self.within_ms)
        return longest * draw.uniform(GONE_LEAST, 1.0)

    def told(self, now: float) -> None:
        """News came, so the call was answered."""
        self.told_at, self.heard = now, self.asked_at >= 0.0
        self.refusals, self.full = 0, False

    def most(self) -> float:
        return min(MOST_MS, self.within_ms * MOST_SHARE)
