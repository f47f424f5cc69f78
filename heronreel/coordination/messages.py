"""The messages between the members of a group.

They are encoded as tagged MessagePack arrays: the class tags and the order of the fields are part of the
wire format, and the names of the fields are not.
"""

from __future__ import annotations

import msgspec

from heronreel.coordination.ballots import Ballot, Version
from heronreel.coordination.keyspace import Writes


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The fields that every message begins with."""

    sender: str
    incarnation: str  # the incarnation of the sender's disk


class Hello(Message, frozen=True, array_like=True, tag=True):
    """The announcement of a member whose disk is new, sent to all configured members."""


class Status(Message, frozen=True, array_like=True, tag=True):
    """The response to `Hello`."""

    new: bool  # whether the sender's disk is new as well and the sender belongs to no group


class Prepare(Message, frozen=True, array_like=True, tag=True):
    """A candidate's request for a promise.

    With `pre_vote` it only asks whether the promise would be granted.
    """

    group_id: str
    receiver_incarnation: str  # the receiver's incarnation, as far as the sender knows
    ballot: Ballot
    version: Version  # the newest version on the sender's disk
    pre_vote: bool


class Promise(Message, frozen=True, array_like=True, tag=True):
    """The response to `Prepare`."""

    ballot: Ballot  # the ballot of the `Prepare`
    pre_vote: bool
    granted: bool
    promised: Ballot  # the highest ballot that the sender has promised
    version: Version  # the newest version on the sender's disk
    # The sender's map, if its version is newer than the candidate's.
    content: tuple[tuple[bytes, bytes], ...] | None = None


class Accept(Message, frozen=True, array_like=True, tag=True):
    """A leader's request to accept a round.

    `version` is the version that the receiver has after the round.  If `base` is set, the receiver obtains it
    by applying `writes` to the version `base`; otherwise `writes` are the whole map.  A round without writes
    names the current version.
    """

    group_id: str
    receiver_incarnation: str  # the receiver's incarnation, as far as the sender knows
    ballot: Ballot
    round_number: int
    version: Version
    base: Version | None
    writes: Writes


class Accepted(Message, frozen=True, array_like=True, tag=True):
    """The response to `Accept`."""

    ballot: Ballot  # the ballot of the `Accept`
    round_number: int  # the round number of the `Accept`
    promised: Ballot  # the highest ballot that the sender has promised
    version: Version  # the version on the sender's disk
    accepted: bool  # whether the sender's version is at least that of the round


class ResetDisk(Message, frozen=True, array_like=True, tag="Forget"):
    """A leader's order to a member whose disk was rolled back: erase it and rejoin with a new incarnation."""

    group_id: str
    receiver_incarnation: str
    ballot: Ballot


AnyMessage = Hello | Status | Prepare | Promise | Accept | Accepted | ResetDisk
