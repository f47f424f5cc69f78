"""The state of a consensus member, and the transitions that all parts of the protocol share.

The values of attributes are immutable, so a shallow copy of the object is an independent copy of its state.
The state-space explorer relies on this to fork a member (`heronreel.fault_injection.group_world`).
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
    """The protocol's timeouts, in seconds."""

    heartbeat_interval_s: float = 0.1  # the time between two rounds of an idle leader
    retransmit_interval_s: float = 0.1  # the time before a round is sent again to members without a response
    # A member without a leader starts an election after a random time from one to two times this timeout.
    election_timeout_s: float = 0.6
    step_down_timeout_s: float = 1.2  # the time without responses of a quorum after which a leader steps down


class DurableState(NamedTuple):
    """The state on a member's disk."""

    incarnation: str  # a random name that was drawn when the disk was initialised
    group_id: str = ""  # the incarnation of the member that founded the group; empty: no group
    promised: Ballot = NO_BALLOT
    version: Version = NO_VERSION
    content: Content = EMPTY_CONTENT


class Role(Enum):
    """The role of a member in the protocol."""

    NEW = "new"  # The disk is new, and no group has admitted the member yet.
    FOLLOWER = "follower"
    PRE_CANDIDATE = "asking"  # The member collects pre-votes.
    CANDIDATE = "candidate"
    LEADER = "leader"


class Round(NamedTuple):
    """A leader's round in flight."""

    number: int
    base: Version | None  # the version that the writes apply to; None if there are no writes
    writes: Writes
    accepted_by: frozenset[str]
    excluded_voter: str  # a readmitted member, which does not count towards the quorum; empty: none


class Snapshot(NamedTuple):
    """The complete map at one version."""

    version: Version
    content: Content


NO_SNAPSHOT = Snapshot(NO_VERSION, EMPTY_CONTENT)


class PromiseRecord(NamedTuple):
    """The data that a member reported with its promise."""

    incarnation: str
    version: Version


class Acknowledgement(NamedTuple):
    """The newest version that a member has confirmed to this leader."""

    version: Version
    round_number: int  # the number of the leader's last round when the confirmation arrived


NO_ACKNOWLEDGEMENT = Acknowledgement(NO_VERSION, 0)


class Guards(msgspec.Struct, frozen=True):
    """The protocol's safeguards.

    Tests disable them one at a time to show that the checks detect the resulting violation.
    """

    quorum: bool = True  # A round or a ballot needs more than half of the members.
    newest_version: bool = True  # A leader continues from the newest version that was reported.
    promise: bool = True  # A lower ballot than the promised one is rejected.
    incarnation: bool = True  # A member that has lost its disk is detected.
    rollback: bool = True  # A disk that was restored from an older copy is detected.
    single_change: bool = True  # Only one member is added or removed at a time.
    sync: bool = True  # The state that a response depends on is durable before the response is sent.


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
        """Create a member from the state on its disk.

        Args:
            name: the name of this member.
            configured_members: the names of the members in the group's configuration file.
            durable: the state on the disk.
            now: the time in seconds, on the clock that is used for all later events.
            timing: the timeouts; None means the defaults.
            jitter: returns a random number from 0 up to 1, for election timeouts.
            guards: the enabled safeguards; all of them outside of tests.
        """
        self.name = name
        self.configured_members = tuple(sorted(configured_members))
        self.desired_members: frozenset[str] | None = None  # None: the present members
        self.timing = timing or Timing()
        self.jitter = jitter
        self.guards = guards

        # Durable state, and the group records decoded from it.
        self.incarnation = durable.incarnation
        self.group_id = durable.group_id
        self.promised = durable.promised
        self.version = durable.version
        self.content = durable.content
        self.members: Map[str, str] = Map()  # incarnations by member name
        self.confirmed_versions: Map[str, Version] = Map()
        self.load_group_records()
        self.last_persist = 0  # the number of the last Persist
        self.synced_persist = 0  # the number of the last Persist that is durable

        self.role = Role.FOLLOWER if self.version != NO_VERSION else Role.NEW
        self.leader: str | None = None
        self.last_leader_contact = now - self.timing.election_timeout_s
        self.election_deadline = now + self.timing.election_timeout_s * self.jitter()
        self.highest_term = self.promised.term  # the highest term of any ballot seen

        # The state of an election.
        self.ballot = NO_BALLOT
        self.own_promise_persist = 0  # the Persist that holds this member's own promise
        self.promises: Map[str, PromiseRecord] = Map()
        self.pre_votes: frozenset[str] = frozenset()
        self.newest_snapshot = NO_SNAPSHOT  # the newest snapshot reported with the promises

        # The state of a leader.
        self.round_number = 0  # the number of the last round
        self.round_in_flight: Round | None = None
        self.established = False  # whether the first round of the ballot is committed
        self.own_accept_persist = 0  # the Persist that holds this member's own acceptance of the round
        self.acknowledgements: Map[str, Acknowledgement] = Map()
        self.last_contact: Map[str, float] = Map()
        self.snapshot_sent_at: Map[str, float] = Map()
        self.round_sent_at = now  # the time of the last transmission of the round in flight
        self.round_started_at = now
        self.joining: Map[str, str] = Map()  # incarnations of members with new disks, by member name

    @property
    def is_leader(self) -> bool:
        """Whether this member leads and the first round of its ballot is committed."""
        return self.role is Role.LEADER and self.established

    def quorum_size(self, members: Map[str, str]) -> int:
        """Return the number of `members` that make a quorum."""
        return len(members) // 2 + 1 if self.guards.quorum else max(1, len(members) // 2)

    def is_addressed_by(self, message: Prepare | Accept) -> bool:
        """Return whether a message comes from this member's group and is addressed to its present disk.

        A member with a new disk belongs to no group and accepts messages of any group.
        """
        joins = not self.group_id and self.role is Role.NEW
        if message.group_id != self.group_id and not joins:
            return False
        return message.receiver_incarnation == self.incarnation or not self.guards.incarnation

    def is_unknown_sender(self, name: str, incarnation: str) -> bool:
        """Return whether a message comes from a disk that does not belong to a member of the group."""
        return self.members.get(name) != incarnation and self.guards.incarnation

    def load_group_records(self) -> None:
        """Decode the group records after the map has changed.

        Raises:
            msgspec.DecodeError: a record is malformed.
        """
        self.members = decode_membership(self.content, self.members)
        self.confirmed_versions = decode_confirmed_versions(self.content, self.confirmed_versions)

    def new_ballot(self) -> Ballot:
        """Return a ballot of this member that is higher than any ballot it has seen."""
        return Ballot(self.highest_term + 1, self.proposer_id())

    def proposer_id(self) -> str:
        """Return this member's identifier in ballots: its name and incarnation."""
        return f"{self.name}/{self.incarnation}"

    def reset_election_timer(self, now: float, interval: float) -> None:
        """Schedule the next election or `Hello` in a random time of one to two times `interval` seconds."""
        self.election_deadline = now + interval * (1.0 + self.jitter())

    def step_down(self, now: float) -> Actions:
        """Give up leadership or candidacy, and return `Deposed` if this member was an established leader."""
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
        self.newest_snapshot = NO_SNAPSHOT
        self.own_accept_persist = 0
        self.own_promise_persist = 0
        # A membership change in flight may not be in the committed map.
        self.load_group_records()
        self.reset_election_timer(now, self.timing.election_timeout_s)
        return [Deposed()] if was_leader else []

    def persist(self, writes: Writes, sends: tuple[Send, ...], *, replaces_all: bool = False) -> Actions:
        """Request that the present state and `writes` become durable and that `sends` are sent afterwards."""
        self.last_persist += 1
        action = Persist(
            self.last_persist, self.group_id, self.promised, self.version, writes, replaces_all, sends
        )
        if not self.guards.sync:
            return [*sends, action._replace(sends=())]
        return [action]
