"""How the members of a group agree on one map of records.  Pure: events and time in, actions out.

One register holds the whole map, and quorums agree on its versions: Paxos on a single register with a
standing proposer (`docs/coordination-design.md` compares it with a replicated log).  A *ballot* is one
member's attempt to lead.  A quorum that promises a ballot accepts nothing under a lower one any more, and
reports the newest version it has; the leader writes that version again under its ballot and continues from
there, one *round* after the other.  A round either carries writes, and is committed once a quorum has them
on its disks, or carries nothing and shows that the leader still led when the round began.

A lost disk is recognised by its *incarnation*, a name drawn when the disk was initialised: the map says
which incarnation of each member counts, so no member votes against promises it has forgotten.  A disk that
was rolled back to an older copy is recognised by the versions that members have confirmed, which the map
holds as well.

What a response relies on is durable before it is sent: `Persist.sends` go out once that write and all
before it are on the disk.

The protocol's parts are functions on the member's state (`member_state`): `election`, `replication` (the
leader's side), `follower`, and `membership`.  `ConsensusMember` dispatches events to them.
"""

from __future__ import annotations

import copy
from collections.abc import Iterable

from heronreel.coordination import election, follower, membership, replication
from heronreel.coordination.actions import Actions
from heronreel.coordination.keyspace import Writes
from heronreel.coordination.member_state import MemberState, Role
from heronreel.coordination.messages import (
    Accept,
    Accepted,
    AnyMessage,
    Hello,
    Prepare,
    Promise,
    ResetDisk,
    Status,
)


class ConsensusMember(MemberState):
    """One member of a group.  Every event returns the actions it leads to, in the order to take them in."""

    def fork(self) -> ConsensusMember:
        """A copy that goes on independently."""
        return copy.copy(self)

    @property
    def has_round_in_flight(self) -> bool:
        """Whether a round is in flight, so that no other may begin."""
        return self.round_in_flight is not None

    @property
    def has_membership_change(self) -> bool:
        """Whether this leader has a member to admit or to remove, by a round of its own."""
        return self.is_leader and bool(self.joining or membership.surplus_members(self))

    def set_configured_members(self, names: Iterable[str]) -> None:
        """Take the names of a reloaded configuration file.  Who is a member is the map's to say."""
        self.configured_members = tuple(sorted(names))

    def next_wakeup(self) -> float:
        """When `tick` has something to do, unless another event comes first."""
        if self.role is not Role.LEADER:
            return self.election_deadline
        if self.round_in_flight is not None:
            return self.round_sent_at + self.timing.retransmit_interval_s
        return self.round_started_at + self.timing.heartbeat_interval_s

    # -- events

    def tick(self, now: float) -> Actions:
        """Time has passed."""
        if self.role is Role.LEADER:
            return self._tick_leader(now)
        if now < self.election_deadline:
            return []
        if self.role is Role.NEW:
            self.reset_election_timer(now, self.timing.retransmit_interval_s)
            return membership.greet(self, now)
        return election.start_pre_vote(self, now)

    def _tick_leader(self, now: float) -> Actions:
        if not replication.has_quorum_contact(self, now):
            return self.step_down(now)
        if self.round_in_flight is not None:
            return replication.retransmit_round(self, now)
        if self.joining:
            return membership.admit_member(self, now)
        if membership.surplus_members(self):
            return membership.remove_member(self, now)
        if now >= self.round_started_at + self.timing.heartbeat_interval_s:
            return replication.start_round(self, now, ())
        return []

    def start_election(self, now: float) -> Actions:
        """Become a candidate at once, without pre-votes."""
        return election.start_election(self, now)

    def propose(self, now: float, writes: Writes) -> Actions:
        """Begin a leader's next round, with writes or without; none may be in flight."""
        assert self.is_leader and self.round_in_flight is None
        return replication.start_round(self, now, writes)

    def persisted(self, now: float, number: int) -> Actions:
        """The Persist of that number, and all before it, are durable."""
        self.synced_persist = number
        if self.role is Role.CANDIDATE and number == self.own_promise_persist:
            return election.record_own_promise(self, now)
        in_flight = self.role is Role.LEADER and self.round_in_flight is not None
        if in_flight and number == self.own_accept_persist:
            return replication.record_own_acceptance(self, now)
        return []

    def receive(self, now: float, message: AnyMessage) -> Actions:
        """A message has arrived, however late and however often."""
        if message.sender == self.name or message.sender not in self.configured_members:
            return []
        match message:
            case Accept():
                return follower.receive_accept(self, now, message)
            case Accepted():
                return replication.receive_accepted(self, now, message)
            case Prepare():
                return election.receive_prepare(self, now, message)
            case Promise():
                return election.receive_promise(self, now, message)
            case Hello():
                return membership.receive_hello(self, message)
            case Status():
                return membership.receive_status(self, now, message)
            case ResetDisk():
                return membership.receive_reset_disk(self, message)
