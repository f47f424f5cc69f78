"""The state of a consensus member, and the transitions that all parts of the protocol share.

Attributes are replaced and never changed in place, so that a shallow copy of the object is a copy of its
state: that is how the explorer forks a member (`heronreel.fault_injection.group_world`).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import Enum
from typing import NamedTuple

import msgspec
from immutables import Map

from heronreel.coordination.actions import Actions, Deposed, Persist, Send
from heronreel.coordination.ballots import NO_BALLOT, NO_VERSION, Ballot, Version
from heronreel.coordination.group_records import decode_confirmed_versions, decode_membership
from heronreel.coordination.keyspace import EMPTY_CONTENT, Content, Writes
from heronreel.coordination.messages import Accept, Prepare


class Timing(msgspec.Struct, frozen=True):
    """The protocol's time-outs, in seconds."""

    heartbeat_interval_s: float = 0.1  # between two rounds of an idle leader
    retransmit_interval_s: float = 0.1  # to members that have not responded
    election_timeout_s: float = 0.6  # without a leader, before an election; up to twice as long is drawn
    step_down_timeout_s: float = 1.2  # a leader without responses from a quorum steps down


class DurableState(NamedTuple):
    """What a member's disk holds."""

    incarnation: str  # drawn when the disk was initialised
    group_id: str = ""  # the incarnation of the member that founded the group; empty: no group yet
    promised: Ballot = NO_BALLOT
    version: Version = NO_VERSION
    content: Content = EMPTY_CONTENT


class Role(Enum):
    """What a member is doing."""

    NEW = "new"  # its disk is new, and no group has admitted it yet
    FOLLOWER = "follower"
    PRE_CANDIDATE = "asking"  # collecting pre-votes
    CANDIDATE = "candidate"
    LEADER = "leader"


class Round(NamedTuple):
    """A leader's round in flight."""

    number: int
    base: Version | None  # the version that the writes apply to; None: there are no writes
    writes: Writes
    accepted_by: frozenset[str]
    uncounted: str  # a member being readmitted, which does not count towards the quorum; empty: none


class Snapshot(NamedTuple):
    """The whole map at one version."""

    version: Version
    content: Content


NO_SNAPSHOT = Snapshot(NO_VERSION, EMPTY_CONTENT)


class PromiseRecord(NamedTuple):
    """What a member reported with its promise."""

    incarnation: str
    version: Version


class Acknowledgement(NamedTuple):
    """The newest version that a member has confirmed to this leader."""

    version: Version
    round_number: int  # the leader's last round when the confirmation arrived


NO_ACKNOWLEDGEMENT = Acknowledgement(NO_VERSION, 0)


class Guards(msgspec.Struct, frozen=True):
    """The protocol's safeguards.  Tests disable them one by one, and have to fail then."""

    quorum: bool = True  # a round or a ballot needs more than half of the members
    newest_version: bool = True  # a leader continues from the newest version that was reported
    promise: bool = True  # a lower ballot is rejected
    incarnation: bool = True  # a lost disk is recognised
    rollback: bool = True  # a disk that was restored from an older copy is recognised
    single_change: bool = True  # one member is added or removed at a time
    sync: bool = True  # what a response relies on is durable first


ALL_GUARDS = Guards()


class MemberState:
    """The state of one member."""

    def __init__(
        self,
        name: str,
        configured_members: Iterable[str],
        durable: DurableState,
        now: float,
        *,
        timing: Timing | None = None,
        jitter: Callable[[], float] = lambda: 0.0,
        guards: Guards = ALL_GUARDS,
    ) -> None:
        """Starts from what the disk holds.

        Args:
            name: of this member.
            configured_members: the names in the group's configuration file.
            durable: what the disk holds.
            now: the time in seconds, on the clock that all later events are given in.
            timing: the time-outs; None means the defaults.
            jitter: draws from 0 up to 1, for election time-outs.
            guards: the safeguards in force; all of them outside of tests.
        """
        self.name = name
        self.configured_members = tuple(sorted(configured_members))
        self.desired_members: frozenset[str] | None = None  # None: whoever is a member now
        self.timing = timing or Timing()
        self.jitter = jitter
        self.guards = guards

        # durable state, and what its records say about the group
        self.incarnation = durable.incarnation
        self.group_id = durable.group_id
        self.promised = durable.promised
        self.version = durable.version
        self.content = durable.content
        self.members: Map[str, str] = Map()  # incarnations by name
        self.confirmed_versions: Map[str, Version] = Map()
        self.load_group_records()
        self.last_persist = 0  # the number of the last Persist
        self.synced_persist = 0  # the number of the last Persist that is durable

        self.role = Role.FOLLOWER if self.version != NO_VERSION else Role.NEW
        self.leader: str | None = None
        self.last_leader_contact = now - self.timing.election_timeout_s
        self.election_deadline = now + self.timing.election_timeout_s * self.jitter()
        self.highest_term = self.promised.term  # of any ballot seen

        # an election
        self.ballot = NO_BALLOT
        self.own_promise_persist = 0  # the Persist that holds this member's own promise
        self.promises: Map[str, PromiseRecord] = Map()
        self.pre_votes: frozenset[str] = frozenset()
        self.newest = NO_SNAPSHOT  # among those reported with promises

        # leadership
        self.round_number = 0  # of the last round
        self.round_in_flight: Round | None = None
        self.established = False  # the first round of the ballot is committed
        self.own_accept_persist = 0  # the Persist that holds this member's own part in the round
        self.acknowledgements: Map[str, Acknowledgement] = Map()
        self.last_contact: Map[str, float] = Map()
        self.snapshot_sent_at: Map[str, float] = Map()
        self.round_sent_at = now  # the last transmission of the round in flight
        self.round_started_at = now
        self.joining: Map[str, str] = Map()  # incarnations of members with new disks, by name

    @property
    def is_leader(self) -> bool:
        """Whether this member leads and the first round of its ballot is committed."""
        return self.role is Role.LEADER and self.established

    def quorum_size(self, members: Map[str, str]) -> int:
        """How many of `members` make a quorum."""
        return len(members) // 2 + 1 if self.guards.quorum else max(1, len(members) // 2)

    def is_addressed_by(self, message: Prepare | Accept) -> bool:
        """Whether a message comes from this member's group and is meant for its present disk.

        A member with a new disk belongs to no group: it may join any.
        """
        joins = not self.group_id and self.role is Role.NEW
        if message.group_id != self.group_id and not joins:
            return False
        return message.receiver_incarnation == self.incarnation or not self.guards.incarnation

    def is_unknown_sender(self, name: str, incarnation: str) -> bool:
        """Whether a message comes from a disk that is no member's."""
        return self.members.get(name) != incarnation and self.guards.incarnation

    def load_group_records(self) -> None:
        """Read the records about the group, after the map has changed.

        Raises:
            msgspec.DecodeError: a record is malformed.
        """
        self.members = decode_membership(self.content, self.members)
        self.confirmed_versions = decode_confirmed_versions(self.content, self.confirmed_versions)

    def new_ballot(self) -> Ballot:
        """A ballot of this member that is higher than any it has seen."""
        return Ballot(self.highest_term + 1, self.proposer_id())

    def proposer_id(self) -> str:
        """This member's name and incarnation, as its ballots carry them."""
        return f"{self.name}/{self.incarnation}"

    def reset_election_timer(self, now: float, interval: float) -> None:
        """Let the next election, or greeting, begin after one to two times `interval` seconds."""
        self.election_deadline = now + interval * (1.0 + self.jitter())

    def step_down(self, now: float) -> Actions:
        """Give up leading, or trying to."""
        was_leader = self.is_leader
        if self.role is not Role.NEW:
            self.role = Role.FOLLOWER
        self.established = False
        self.round_in_flight = None
        self.acknowledgements = Map()
        self.last_contact = Map()
        self.snapshot_sent_at = Map()
        self.joining = Map()
        self.promises = Map()
        self.pre_votes = frozenset()
        self.newest = NO_SNAPSHOT
        self.own_accept_persist = 0
        self.own_promise_persist = 0
        self.load_group_records()  # a membership change in flight may not be in the committed map
        self.reset_election_timer(now, self.timing.election_timeout_s)
        return [Deposed()] if was_leader else []

    def persist(self, writes: Writes, sends: tuple[Send, ...], *, replaces_all: bool = False) -> Actions:
        """Have the present state made durable with these writes to the map, and `sends` sent after that."""
        self.last_persist += 1
        action = Persist(
            self.last_persist, self.group_id, self.promised, self.version, writes, replaces_all, sends
        )
        if not self.guards.sync:
            return [*sends, action._replace(sends=())]
        return [action]
