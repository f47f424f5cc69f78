"""The consensus protocol by which the members of a group agree on one map of records.

The protocol does no I/O: it receives events and the time, and returns actions.

The whole map is one register, and quorums agree on its versions: this is single-register Paxos with a
long-lived leader (`docs/coordination-design.md` compares it with a replicated log).  A *ballot* is one
member's attempt to lead.  A quorum that has promised a ballot accepts nothing under a lower ballot any more,
and reports the newest version it has.  The leader writes that version again under its own ballot and
continues from there, one *round* at a time.  A round with writes is committed once a quorum has them on disk.
A round without writes proves that the leader still led when the round began.

A lost disk is detected by its *incarnation*, a random name that is drawn when the disk is initialised.  The
map records the valid incarnation of each member, so a member that has lost its promises cannot vote against
them.  A disk that was rolled back to an older copy is detected by the versions that members have confirmed,
which the map records as well.

The state that a response depends on is durable before the response is sent: `Persist.sends` are sent once
that write and all earlier ones are on disk.

The parts of the protocol are functions on the member's state (`member_state`): `election`, `replication` (the
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
    """One member of a group.  Each event returns the resulting actions in the order of their execution."""

    def fork(self) -> ConsensusMember:
        """Return an independent copy."""
        return copy.copy(self)

    @property
    def has_round_in_flight(self) -> bool:
        """Whether a round is in flight, so that no other round may start."""
        return self.round_in_flight is not None

    @property
    def has_membership_change(self) -> bool:
        """Whether this member leads and has to start a round that admits or removes a member."""
        return self.is_leader and bool(self.joining or membership.surplus_members(self))

    def set_configured_members(self, names: Iterable[str]) -> None:
        """Use the names of a reloaded configuration file; membership itself is decided by the map."""
        self.configured_members = tuple(sorted(names))

    def next_wakeup(self) -> float:
        """Return the time at which `tick` has work to do, unless another event occurs first."""
        if self.role is not Role.LEADER:
            return self.election_deadline
        if self.round_in_flight is not None:
            return self.round_sent_at + self.timing.retransmit_interval_s
        return self.round_started_at + self.timing.heartbeat_interval_s

    # -- events

    def tick(self, now: float) -> Actions:
        """Handle the passing of time: timeouts, retransmissions, heartbeats and membership changes."""
        if self.role is Role.LEADER:
            return self._tick_leader(now)
        if now < self.election_deadline:
            return []
        if self.role is Role.NEW:
            self.reset_election_timer(now, self.timing.retransmit_interval_s)
            return membership.send_hello(self, now)
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
        """Become a candidate immediately, without pre-votes."""
        return election.start_election(self, now)

    def propose(self, now: float, writes: Writes) -> Actions:
        """Start the next round of a leader, with writes or without; no round may be in flight."""
        assert self.is_leader and self.round_in_flight is None
        return replication.start_round(self, now, writes)

    def persisted(self, now: float, number: int) -> Actions:
        """Handle the report that the Persist `number` and all earlier ones are durable."""
        self.synced_persist = number
        if self.role is Role.CANDIDATE and number == self.own_promise_persist:
            return election.record_own_promise(self, now)
        in_flight = self.role is Role.LEADER and self.round_in_flight is not None
        if in_flight and number == self.own_accept_persist:
            return replication.record_own_acceptance(self, now)
        return []

    def receive(self, now: float, message: AnyMessage) -> Actions:
        """Handle a message, which may be delayed or duplicated."""
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
