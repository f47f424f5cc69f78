"""The actions that a consensus member requests: sends, durable writes, and changes to report."""

from __future__ import annotations

from typing import NamedTuple

from heronreel.coordination.ballots import Ballot, Version
from heronreel.coordination.keyspace import Writes
from heronreel.coordination.messages import AnyMessage


class Send(NamedTuple):
    """Send a message to the member `to`.  The message may be lost, delayed or duplicated."""

    to: str
    message: AnyMessage


class Persist(NamedTuple):
    """Make a write durable after all earlier ones, then send `sends` and report `persisted(number)`."""

    number: int
    group_id: str
    promised: Ballot
    version: Version
    writes: Writes  # writes to the map
    replaces_all: bool  # whether the map is emptied before the writes
    sends: tuple[Send, ...]  # messages that may be sent only after this write is durable


class Elected(NamedTuple):
    """This member has become the leader, and its map is committed."""

    ballot: Ballot


class Deposed(NamedTuple):
    """This member no longer leads.  It is unknown whether the round in flight was committed."""


class RoundCommitted(NamedTuple):
    """A quorum has accepted the round."""

    number: int


class EraseDisk(NamedTuple):
    """The disk was rolled back to an older copy: erase it and restart with a new incarnation."""

    reason: str


Action = Send | Persist | Elected | Deposed | RoundCommitted | EraseDisk
Actions = list[Action]
