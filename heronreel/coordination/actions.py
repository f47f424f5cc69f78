"""What a consensus member wants done: messages to send, writes to make durable, and changes to report."""

from __future__ import annotations

from typing import NamedTuple

from heronreel.coordination.ballots import Ballot, Version
from heronreel.coordination.keyspace import Writes
from heronreel.coordination.messages import AnyMessage


class Send(NamedTuple):
    """Send a message to the member of that name.  It may be lost, delayed or duplicated."""

    to: str
    message: AnyMessage


class Persist(NamedTuple):
    """Make a write durable after all earlier ones, then send `sends` and report `persisted(number)`."""

    number: int
    group_id: str
    promised: Ballot
    version: Version
    writes: Writes  # to the map
    replaces_all: bool  # the map is emptied before the writes
    sends: tuple[Send, ...]  # messages that rely on this write


class Elected(NamedTuple):
    """This member leads, and its map is committed."""

    ballot: Ballot


class Deposed(NamedTuple):
    """This member no longer leads: the round in flight may have been committed or not."""


class RoundCommitted(NamedTuple):
    """A quorum has accepted the round."""

    number: int


class EraseDisk(NamedTuple):
    """The disk holds an older copy: erase it and start again with a new incarnation."""

    reason: str


Action = Send | Persist | Elected | Deposed | RoundCommitted | EraseDisk
Actions = list[Action]
