"""How far the fleet turns attempts away, and what a request may still try then.  Part of the decisions.

An attempt that a full server turned away costs that server next to nothing, but the next attempt finds a
place somewhere, and so every waiting room is kept full to the brim: then all that is served has waited its
longest, a quarter of it is late, and late work is lost work.  So where many attempts are turned away, what
was turned away tries once more, and where most are it tries no more: it is refused at once and told when to
come back.
"""

from __future__ import annotations

FADE = 0.8  # of what was seen that still counts a period (200 ms) later: about a second's worth (ours)
LEAST_SEEN = 50.0  # attempts; fewer tell less (ours)
FEW_TURNED_AWAY = 0.4  # share up to which trying on finds room that is there (ours)
MOST_TURNED_AWAY = 0.6  # share from which on a second attempt does more harm than good (ours)
FULL_FIRST_MS, FULL_MOST_MS = 10.0, 40.0  # that a full one is passed over (ours)
TRIES = 2  # attempts between the two of a request that were all turned away (ours)


class TurnedAway:
    """The share of attempts that servers turn away as full, as one proxy sees it over a second or so."""

    __slots__ = ("rejected", "sent", "share")

    def __init__(self) -> None:
        self.share = self.sent = self.rejected = 0.0

    def saw(self, rejected: bool) -> None:
        """An attempt goes out, or comes back turned away.  One that stays out has been taken."""
        self.sent += not rejected
        self.rejected += rejected

    def roll(self) -> None:
        """A period is over.  A burst that fills the waiting rooms for less is no shortage."""
        self.share = self.rejected / max(self.sent, LEAST_SEEN)
        self.sent *= FADE
        self.rejected *= FADE

    def may_try(self, tried: int) -> bool:
        """Whether a request whose `tried` attempts were all turned away may have another one."""
        if self.share < FEW_TURNED_AWAY:
            return True
        return tried < (1 if self.share >= MOST_TURNED_AWAY else TRIES)


class Full:
    """Whether a server has just turned an attempt away, and so is passed over while others have room.

    A rejection leaves nothing on its books, so the lightest booked is often the one that is full.  Passed
    over for longer, its room is found late: with 25 to 400 ms the overload day fell from 0.33 to 0.12 in
    simulated time.  Where all are full, the lightest is asked all the same.
    """

    __slots__ = ("pause_ms", "until")

    def __init__(self) -> None:
        self.pause_ms = self.until = 0.0

    def turned_away(self, now: float, draw: float) -> None:
        """`draw`: 0.5 to 1.5, so that many proxies do not come back together."""
        self.pause_ms = min(FULL_MOST_MS, max(FULL_FIRST_MS, self.pause_ms * 2.0))
        self.until = now + self.pause_ms * draw

    def took(self) -> None:
        self.pause_ms = 0.0
