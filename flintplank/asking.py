"""When to ask for the list of backends, and when to ask again.  Part of the decisions.

The list service is one for all proxies and works through calls in turn.  After a release many calls come
together, and each that fails comes again: the sum of them must fall until the service has caught up, also
where it does answer and breaks off at once, or sends what can't be read.
"""

from __future__ import annotations

import random

from flintplank.interface import Lost, pause_before

FIRST_SHARE = 1.0 / 8.0  # of the time within which a proxy must ask: the first calls spread over it (ours)
FIRST_MS = 1000.0  # the wait after a first failure; doubled with each further one (ours)
SPREAD_MS = 2000.0  # over which calls for late watches are spread (ours)
REFUSED_LEAST = 0.1  # of the time within which a proxy must ask: the shortest wait after a refusal (ours)
MOST_SHARE = 1.0 / 3.0  # of the time within which a proxy must ask: the longest wait, unless refused (ours)


class Asking:
    """One proxy's watch.  One timer for any number of failures, or their calls would add up."""

    __slots__ = ("asked_at", "due", "failures", "told_at", "within_ms")

    def __init__(self, within_ms: float) -> None:
        self.within_ms = within_ms
        self.failures = 0
        self.due = False  # a timer is set
        self.asked_at = 0.0
        self.told_at = -1.0  # last; before `asked_at`: the call was not answered

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
        soon counts as told.  A service that refuses may work through the calls of those who gave up as well,
        so it answers nobody while all ask faster than it works; it can take one call from everybody within
        the time in which a proxy must ask, and a failed call is good for four times that.
        """
        if self.due:
            return None
        self.due = True
        if lost is Lost.BUSY:
            return self.within_ms * draw.uniform(REFUSED_LEAST, 1.0)
        since, answered = now - self.asked_at, self.told_at >= self.asked_at
        if answered and (since >= self.most() or lost is Lost.LATE):
            self.failures = 0
        self.failures += 1
        pause = pause_before(self.failures, min(FIRST_MS, self.most()), self.most()) * draw.uniform(0.5, 1.0)
        if lost is Lost.LATE:
            return max(pause - since, min(SPREAD_MS, self.most()) * draw.random())
        return pause

    def told(self, now: float) -> None:
        """News came, so the call was answered."""
        self.told_at = now

    def most(self) -> float:
        return self.within_ms * MOST_SHARE
