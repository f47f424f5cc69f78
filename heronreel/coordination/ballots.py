"""Ballots and versions: the order of attempts to lead, and of the states of the replicated map."""

from __future__ import annotations

from typing import NamedTuple


class Ballot(NamedTuple):
    """An attempt to lead.  Ballots are ordered by term, then by proposer; no two attempts share one."""

    term: int
    proposer: str  # name/incarnation of the member that attempts to lead


class Version(NamedTuple):
    """A state of the map: the ballot it was written under, and the number of the write within that ballot."""

    term: int
    proposer: str
    step: int

    @property
    def ballot(self) -> Ballot:
        """The ballot that this version was written under."""
        return Ballot(self.term, self.proposer)


NO_BALLOT = Ballot(0, "")
NO_VERSION = Version(0, "", 0)
