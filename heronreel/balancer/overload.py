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
