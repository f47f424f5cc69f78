"""The messages between the members of a group.

They travel as tagged arrays in MessagePack, so the class tags and the order of the fields are the wire
format, and the names of the fields are not.
"""

from __future__ import annotations

import msgspec

from heronreel.coordination.ballots import Ballot, Version
from heronreel.coordination.keyspace import Writes


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """What every message begins with."""

    sender: str
    incarnation: str  # of the sender's disk


class Hello(Message, frozen=True, array_like=True, tag=True):
    """The announcement of a member whose disk is new."""


class Status(Message, frozen=True, array_like=True, tag=True):
    """The response to `Hello`."""

    new: bool  # the sender's disk is new as well, and it belongs to no group


class Prepare(Message, frozen=True, array_like=True, tag=True):
    """A candidate's request for a promise; with `pre_vote`, only the question whether it would be granted."""

    group_id: str
    receiver_incarnation: str  # as the sender knows it
    ballot: Ballot
    version: Version  # the newest one on the sender's disk
    pre_vote: bool


class Promise(Message, frozen=True, array_like=True, tag=True):
    """The response to `Prepare`."""

    ballot: Ballot  # of the Prepare
    pre_vote: bool
    granted: bool
    promised: Ballot  # the highest ballot that the sender has promised
    version: Version  # the newest one on the sender's disk
    content: tuple[tuple[bytes, bytes], ...] | None = None  # set if it is newer than the candidate's


class Accept(Message, frozen=True, array_like=True, tag=True):
    """A leader's round.

    `version` is what the receiver has after it.  With a `base`, applying `writes` to that version gives it;
    without one, `writes` are the whole map.  A round without writes names the version that stands already.
    """

    group_id: str
    receiver_incarnation: str  # as the sender knows it
    ballot: Ballot
    round_number: int
    version: Version
    base: Version | None
    writes: Writes


class Accepted(Message, frozen=True, array_like=True, tag=True):
    """The response to `Accept`."""

    ballot: Ballot  # of the Accept
    round_number: int  # of the Accept
    promised: Ballot  # the highest ballot that the sender has promised
    version: Version  # on the sender's disk
    accepted: bool  # whether the sender has what the round was about


class ResetDisk(Message, frozen=True, array_like=True, tag="Forget"):
    """A leader's order to a member whose disk holds an older copy: erase it and rejoin as a new member."""

    group_id: str
    receiver_incarnation: str
    ballot: Ballot


AnyMessage = Hello | Status | Prepare | Promise | Accept | Accepted | ResetDisk
