"""Elections: pre-votes, promises, and how a candidate becomes the leader.

Pre-votes keep a member from disturbing a working leader: before an election, a member asks the others whether
they would grant promises; a response to a pre-vote promises nothing.  A quorum of promises makes a candidate
the leader: it then knows the newest version that was reported with them, and the quorum accepts nothing under
a lower ballot any more.
"""

from __future__ import annotations

from immutables import Map

from heronreel.coordination.actions import Actions, Send
from heronreel.coordination.ballots import NO_VERSION
from heronreel.coordination.group_records import decode_confirmed_versions, decode_membership
from heronreel.coordination.member_state import MemberState, PromiseRecord, Role, Snapshot
from heronreel.coordination.messages import Prepare, Promise
from heronreel.coordination.replication import lead

# -- the candidate's side


def start_pre_vote(state: MemberState, now: float) -> Actions:
    """Ask the other members whether they would grant a promise."""
    if state.name not in state.members and state.version != NO_VERSION:
        state.reset_election_timer(now, state.timing.election_timeout_s)
        return []  # This member was removed from the group.
    state.role = Role.PRE_CANDIDATE
    state.leader = None
    state.ballot = state.new_ballot()
    state.pre_votes = frozenset((state.name,))
    state.reset_election_timer(now, state.timing.election_timeout_s)
    return _count_pre_votes(state, now) or [*_prepare_messages(state, pre_vote=True)]


def start_election(state: MemberState, now: float) -> Actions:
    """Become a candidate.  Other members are asked once this member's own promise is durable."""
    state.role = Role.CANDIDATE
    state.leader = None
    state.ballot = state.promised = state.new_ballot()
    state.highest_term = state.ballot.term
    state.promises = Map()
    state.newest_snapshot = Snapshot(state.version, state.content)
    state.reset_election_timer(now, state.timing.election_timeout_s)
    actions = state.persist((), _prepare_messages(state, pre_vote=False))
    state.own_promise_persist = state.last_persist
    return actions


def record_own_promise(state: MemberState, now: float) -> Actions:
    """Count this member's own promise, which is durable now."""
    own = PromiseRecord(state.incarnation, state.version)
    state.promises = state.promises.set(state.name, own)
    return _count_promises(state, now)


def receive_promise(state: MemberState, now: float, message: Promise) -> Actions:
    """Handle the response to a request for a promise or a pre-vote."""
    state.highest_term = max(state.highest_term, message.promised.term)
    if message.ballot != state.ballot or not message.granted:
        return []
    if message.pre_vote:
        return _receive_pre_vote(state, now, message)
    if state.role is not Role.CANDIDATE:
        return []
    promise = PromiseRecord(message.incarnation, message.version)
    state.promises = state.promises.set(message.sender, promise)
    if (
        message.content is not None
        and message.version > state.newest_snapshot.version
        and state.guards.newest_version
    ):
        state.newest_snapshot = Snapshot(message.version, Map(message.content))
    return _count_promises(state, now)


def _receive_pre_vote(state: MemberState, now: float, message: Promise) -> Actions:
    is_member = state.members.get(message.sender) == message.incarnation
    if state.role is not Role.PRE_CANDIDATE or not is_member:
        return []
    state.pre_votes |= {message.sender}
    return _count_pre_votes(state, now)


def _count_pre_votes(state: MemberState, now: float) -> Actions:
    enough = len(state.pre_votes) >= state.quorum_size(state.members)
    return start_election(state, now) if enough else []


def _count_promises(state: MemberState, now: float) -> Actions:
    """Start to lead if the promises make a quorum.

    The newest reported map decides who is a member, and which versions the members have confirmed.
    """
    if state.name not in state.promises:
        return []
    members = decode_membership(state.newest_snapshot.content, state.members)
    confirmed_versions = decode_confirmed_versions(state.newest_snapshot.content, state.confirmed_versions)
    count = 0
    for name, promise in state.promises.items():
        is_member = members.get(name) == promise.incarnation or not state.guards.incarnation
        rolled_back = promise.version < confirmed_versions.get(name, NO_VERSION) and state.guards.rollback
        count += is_member and not rolled_back
    if members.get(state.name) != state.incarnation and state.guards.incarnation:
        return []  # A new disk was admitted under the name of this member.
    if count < state.quorum_size(members):
        return []
    state.members = members
    state.confirmed_versions = confirmed_versions
    return lead(state, now, ())


def _prepare_messages(state: MemberState, *, pre_vote: bool) -> tuple[Send, ...]:
    sends: list[Send] = []
    for name, incarnation in sorted(state.members.items()):
        if name == state.name:
            continue
        message = Prepare(
            state.name,
            state.incarnation,
            state.group_id,
            incarnation,
            state.ballot,
            state.version,
            pre_vote,
        )
        sends.append(Send(name, message))
    return tuple(sends)


# -- the voter's side


def receive_prepare(state: MemberState, now: float, message: Prepare) -> Actions:
    """Handle a candidate's request for a promise or a pre-vote."""
    granted = False
    if state.is_addressed_by(message):
        state.highest_term = max(state.highest_term, message.ballot.term)
        granted = _grants(state, now, message)
    if message.pre_vote or not granted:
        return [Send(message.sender, _response(state, message, granted=granted))]
    actions: Actions = []
    if message.ballot > state.promised:
        actions = state.step_down(now)
        state.promised = message.ballot
        state.group_id = message.group_id
        state.leader = None
    response = _response(state, message, granted=True)
    return actions + state.persist((), (Send(message.sender, response),))


def _grants(state: MemberState, now: float, message: Prepare) -> bool:
    if not message.pre_vote:
        return message.ballot >= state.promised  # An equal ballot means that the request is a retransmission.
    silence = now - state.last_leader_contact
    has_leader = silence < state.timing.election_timeout_s or state.is_leader
    return message.ballot > state.promised and not has_leader


def _response(state: MemberState, message: Prepare, *, granted: bool) -> Promise:
    """Return the promise or its refusal.  A promise includes the map if it is newer than the candidate's."""
    content = None
    if granted and not message.pre_vote and state.version > message.version:
        content = tuple(sorted(state.content.items()))
    return Promise(
        state.name,
        state.incarnation,
        message.ballot,
        message.pre_vote,
        granted,
        state.promised,
        state.version,
        content,
    )
