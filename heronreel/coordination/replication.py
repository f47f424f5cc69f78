"""The leader's side of replication: one round at a time, until a quorum has accepted it.

A round with writes creates the next version of the map.  A round without writes changes nothing: its
acceptance by a quorum proves that the leader still led when the round began, so the leader may answer reads
and lease renewals.
"""

from __future__ import annotations

from collections.abc import Mapping

from immutables import Map

from heronreel.coordination.actions import Actions, Elected, RoundCommitted, Send
from heronreel.coordination.ballots import NO_VERSION, Version
from heronreel.coordination.group_records import CONFIRMED_VERSIONS_KEY, encode_confirmed_versions
from heronreel.coordination.keyspace import Writes, apply_writes
from heronreel.coordination.member_state import (
    NO_ACKNOWLEDGEMENT,
    NO_SNAPSHOT,
    Acknowledgement,
    MemberState,
    Role,
    Round,
)
from heronreel.coordination.messages import Accept, Accepted, ResetDisk

# -- starting rounds


def lead(state: MemberState, now: float, writes: Writes) -> Actions:
    """Start to lead: the first round of a ballot writes the newest reported snapshot under that ballot."""
    state.role = Role.LEADER
    state.leader = state.name
    state.established = False
    state.round_number = 0
    # These versions were confirmed under earlier ballots.  A member that responds to this ballot with an
    # older version has lost the confirmed one.
    state.acknowledgements = Map(
        {name: Acknowledgement(version, 0) for name, version in state.confirmed_versions.items()}
    )
    state.last_contact = Map({name: now for name in state.members})
    replaces_all = state.newest_snapshot.version != state.version
    state.version, state.content = state.newest_snapshot
    reported = {
        name: promise.version
        for name, promise in state.promises.items()
        if state.members.get(name) == promise.incarnation
    }
    state.promises = Map()
    state.newest_snapshot = NO_SNAPSHOT
    _begin_round(state, now)
    return _replicate(state, writes, replaces_all=replaces_all, reported=reported)


def start_round(state: MemberState, now: float, writes: Writes, *, excluded_voter: str = "") -> Actions:
    """Start the next round, with writes or without.

    `excluded_voter` names a member whose response does not count towards the quorum.
    """
    _begin_round(state, now, excluded_voter)
    if writes:
        return _replicate(state, writes, excluded_voter=excluded_voter)
    committed_alone = _count_acceptance(state, now, state.name)
    return committed_alone or send_round(state)


def _begin_round(state: MemberState, now: float, excluded_voter: str = "") -> None:
    state.round_number += 1
    state.round_sent_at = now
    state.round_started_at = now
    state.round_in_flight = Round(state.round_number, None, (), frozenset(), excluded_voter)


def _replicate(
    state: MemberState,
    writes: Writes,
    *,
    excluded_voter: str = "",
    replaces_all: bool = False,
    reported: Mapping[str, Version] | None = None,
) -> Actions:
    """Create the next version of the map, and send it to the others while this member's disk writes it."""
    base = state.version
    writes = _with_confirmed_versions(state, writes)
    step = state.version.step + 1 if state.version.ballot == state.ballot else 1
    state.version = Version(*state.ballot, step)
    state.content = apply_writes(state.content, writes)
    state.round_in_flight = Round(state.round_number, base, writes, frozenset(), excluded_voter)
    sends = send_round(state, reported)
    durable_writes = tuple(sorted(state.content.items())) if replaces_all else writes
    persist = state.persist(durable_writes, (), replaces_all=replaces_all)
    state.own_accept_persist = state.last_persist
    return sends + persist


def _with_confirmed_versions(state: MemberState, writes: Writes) -> Writes:
    """Return the writes, with the record of confirmed versions added if it has changed."""
    versions = {name: known.version for name, known in sorted(state.acknowledgements.items())}
    if state.version != NO_VERSION:
        versions[state.name] = state.version
    record = encode_confirmed_versions(versions)
    if state.content.get(CONFIRMED_VERSIONS_KEY) == record or not state.guards.rollback:
        return writes
    return (*writes, (CONFIRMED_VERSIONS_KEY, record))


# -- sending rounds


def send_round(state: MemberState, reported: Mapping[str, Version] | None = None) -> Actions:
    """Send the round in flight to all members that have not accepted it.

    `reported` maps member names to the versions that the members have reported.  A member without a reported
    version gets only the writes: its response reports its version, which is checked before the whole map is
    sent to it.
    """
    assert state.round_in_flight is not None
    sends: Actions = []
    for name in sorted(state.members):
        if name == state.name or name in state.round_in_flight.accepted_by:
            continue
        version = None if reported is None else reported.get(name)
        if version is not None and version < _confirmed_version(state, name):
            sends.append(_reset_disk(state, name, state.members[name]))
        else:
            sends.append(Send(name, _accept_message(state, name, version)))
    return sends


def retransmit_round(state: MemberState, now: float) -> Actions:
    """Retransmit the round in flight, if the retransmit interval has passed."""
    if now < state.round_sent_at + state.timing.retransmit_interval_s:
        return []
    state.round_sent_at = now
    return send_round(state)


def has_quorum_contact(state: MemberState, now: float) -> bool:
    """Return whether a quorum, including this member, has responded within the step-down timeout."""
    in_contact = 0
    for name in state.members:
        silence = now - state.last_contact.get(name, now)
        in_contact += name == state.name or silence < state.timing.step_down_timeout_s
    return in_contact >= state.quorum_size(state.members)


def _confirmed_version(state: MemberState, name: str) -> Version:
    """Return the newest version that a member is known to have confirmed."""
    if not state.guards.rollback:
        return NO_VERSION
    return state.acknowledgements.get(name, NO_ACKNOWLEDGEMENT).version


def _reset_disk(state: MemberState, name: str, incarnation: str) -> Send:
    return Send(name, ResetDisk(state.name, state.incarnation, state.group_id, incarnation, state.ballot))


def _accept_message(state: MemberState, name: str, reported: Version | None) -> Accept:
    """Return the round for one member: the writes, or the whole map if its version is not the base."""
    current = state.round_in_flight
    base: Version | None = state.version
    writes: Writes = ()
    if current is not None and current.base is not None:
        base = current.base
        writes = current.writes
    if reported is not None and reported != base:
        base = None
        writes = tuple(sorted(state.content.items()))
    return Accept(
        state.name,
        state.incarnation,
        state.group_id,
        state.members[name],
        state.ballot,
        state.round_number,
        state.version,
        base,
        writes,
    )


# -- counting responses


def receive_accepted(state: MemberState, now: float, message: Accepted) -> Actions:
    """Handle a response to a round."""
    state.highest_term = max(state.highest_term, message.promised.term)
    if state.role is not Role.LEADER or message.ballot != state.ballot:
        return []
    name = message.sender
    if state.is_unknown_sender(name, message.incarnation):
        return []
    if message.promised > state.ballot:
        return state.step_down(now)
    state.last_contact = state.last_contact.set(name, now)
    known = state.acknowledgements.get(name, NO_ACKNOWLEDGEMENT)
    if state.guards.rollback:
        if message.version < known.version and message.round_number > known.round_number:
            # The member sent this response after it had confirmed a newer version: its disk was rolled back.
            return [_reset_disk(state, name, message.incarnation)]
        if message.version > known.version:
            acknowledgement = Acknowledgement(message.version, state.round_number)
            state.acknowledgements = state.acknowledgements.set(name, acknowledgement)
    if message.version != state.version:
        return _send_snapshot(state, now, message)
    if state.round_in_flight is not None and message.round_number == state.round_in_flight.number:
        return _count_acceptance(state, now, name)
    return []


def record_own_acceptance(state: MemberState, now: float) -> Actions:
    """Count this member's own acceptance of the round in flight, which is durable now."""
    return _count_acceptance(state, now, state.name)


def _send_snapshot(state: MemberState, now: float, message: Accepted) -> Actions:
    """Send the whole map to a member that could not apply the writes of a round.

    A member that has accepted an earlier round does not need it: the later rounds are on their way to it.
    The round number of the response is not a criterion, because a leader under load is always some rounds
    ahead of the responses.
    """
    if message.accepted:
        return []
    name = message.sender
    sent_at = state.snapshot_sent_at.get(name)
    if sent_at is not None and now < sent_at + state.timing.retransmit_interval_s:
        return []
    state.snapshot_sent_at = state.snapshot_sent_at.set(name, now)
    return [Send(name, _accept_message(state, name, NO_VERSION))]


def _count_acceptance(state: MemberState, now: float, name: str) -> Actions:
    """Record that a member has accepted the round in flight, and commit it if a quorum has."""
    current = state.round_in_flight
    assert current is not None
    accepted_by = current.accepted_by | {name}
    state.round_in_flight = current._replace(accepted_by=accepted_by)
    counted = (accepted_by & frozenset(state.members)) - {current.excluded_voter}
    if len(counted) < state.quorum_size(state.members):
        return []
    state.round_in_flight = None
    committed = RoundCommitted(current.number)
    if state.name not in state.members:
        return [committed, *state.step_down(now)]  # This round has removed this member from the group.
    if not state.established:
        state.established = True
        return [Elected(state.ballot), committed]
    return [committed]
