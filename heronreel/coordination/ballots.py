"""Ballots and versions, which order the attempts to lead and the states of the replicated map."""

from __future__ import annotations

from typing import NamedTuple


class Ballot(NamedTuple):
    """The identifier of one attempt to lead.  Ballots are ordered by term, then by proposer."""

    term: int
    proposer: str  # "NAME/INCARNATION" of the member that attempts to lead


class Version(NamedTuple):
    """The identifier of a state of the map: its ballot, and the number of the write under that ballot."""

    term: int
    proposer: str
    step: int

    @property
    def ballot(self) -> Ballot:
        """The ballot that this version was written under."""
        return Ballot(self.term, self.proposer)


NO_BALLOT = Ballot(0, "")
NO_VERSION = Version(0, "", 0)
