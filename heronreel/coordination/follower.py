"""The follower's side of replication: accepting a leader's rounds."""

from __future__ import annotations

from typing import NamedTuple

from immutables import Map

from heronreel.coordination.actions import Actions, Send
from heronreel.coordination.group_records import CONFIRMED_VERSIONS_KEY, MEMBERSHIP_KEY
from heronreel.coordination.keyspace import Writes, apply_writes
from heronreel.coordination.member_state import MemberState, Role
from heronreel.coordination.messages import Accept, Accepted

_GROUP_RECORDS = (MEMBERSHIP_KEY, CONFIRMED_VERSIONS_KEY)


class _AppliedRound(NamedTuple):
    """The changes that a round made to the map."""

    changed: bool
    writes: Writes = ()
    replaces_all: bool = False


def receive_accept(state: MemberState, now: float, message: Accept) -> Actions:
    """Accept a leader's round, unless this member has promised a higher ballot."""
    if not state.is_addressed_by(message):
        return []
    state.highest_term = max(state.highest_term, message.ballot.term)
    if message.ballot < state.promised and state.guards.promise:
        return [Send(message.sender, _response(state, message, accepted=False))]
    actions: Actions = []
    if state.role is not Role.FOLLOWER:
        actions = state.step_down(now)
    newly_promised = message.ballot != state.promised
    _follow(state, now, message)
    applied = _apply_round(state, message)
    accepted = state.version >= message.version
    response = Send(message.sender, _response(state, message, accepted=accepted))
    if not (applied.changed or newly_promised) and state.synced_persist == state.last_persist:
        return [*actions, response]  # The response does not depend on any write that is still pending.
    return actions + state.persist(applied.writes, (response,), replaces_all=applied.replaces_all)


def _follow(state: MemberState, now: float, message: Accept) -> None:
    state.group_id = message.group_id
    state.promised = message.ballot
    state.leader = message.sender
    state.last_leader_contact = now
    state.reset_election_timer(now, state.timing.election_timeout_s)


def _apply_round(state: MemberState, message: Accept) -> _AppliedRound:
    """Bring the map to the round's version, if the round has the writes that this requires."""
    is_behind = state.version.ballot != message.ballot or state.version.step < message.version.step
    if state.version == message.version or not (is_behind or not state.guards.promise):
        return _AppliedRound(changed=False)
    writes = message.writes
    replaces_all = message.base is None
    if replaces_all:
        state.content = Map({key: data for key, data in writes if data is not None})
    elif message.base == state.version:
        state.content = apply_writes(state.content, writes)
    else:
        return _AppliedRound(changed=False)
    state.version = message.version
    state.role = Role.FOLLOWER
    if replaces_all or any(key in _GROUP_RECORDS for key, _ in writes):
        state.load_group_records()
    return _AppliedRound(True, writes, replaces_all)


def _response(state: MemberState, message: Accept, *, accepted: bool) -> Accepted:
    return Accepted(
        state.name,
        state.incarnation,
        message.ballot,
        message.round_number,
        state.promised,
        state.version,
        accepted,
    )
