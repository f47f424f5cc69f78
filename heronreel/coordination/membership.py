"""Membership: founding a group, admitting members with new disks, adding and removing members.

An established leader adds, removes or readmits one member at a time, each by a round.  Any quorum before such
a change therefore has a member in common with any quorum after it.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypeVar

from immutables import Map

from heronreel.coordination.actions import Actions, EraseDisk, Send
from heronreel.coordination.ballots import Ballot
from heronreel.coordination.group_records import MEMBERSHIP_KEY, encode_membership
from heronreel.coordination.member_state import NO_SNAPSHOT, MemberState, Role
from heronreel.coordination.messages import Hello, ResetDisk, Status
from heronreel.coordination.replication import lead, start_round

_FIRST_TERM = 1

V = TypeVar("V")

# -- founding a group


def send_hello(state: MemberState, now: float) -> Actions:
    """Announce a new disk to all configured members; a sole configured member founds a group of one."""
    if state.configured_members == (state.name,):
        return _found_group(state, now)
    hello = Hello(state.name, state.incarnation)
    return [Send(name, hello) for name in state.configured_members if name != state.name]


def receive_hello(state: MemberState, message: Hello) -> Actions:
    """Handle the announcement of a member with a new disk, which a leader admits at its next tick."""
    name = message.sender
    belongs = name in state.members or name in (state.desired_members or ())
    if state.role is Role.LEADER and belongs and state.members.get(name) != message.incarnation:
        state.joining = state.joining.set(name, message.incarnation)
    is_new = state.role is Role.NEW and not state.group_id
    return [Send(name, Status(state.name, state.incarnation, is_new))]


def receive_status(state: MemberState, now: float, message: Status) -> Actions:
    """Handle the response to a `Hello`.

    Only the configured member whose name sorts first founds a group, and only if the disks of all others are
    new as well.
    """
    if state.role is not Role.NEW or state.group_id or state.name != state.configured_members[0]:
        return []
    if not message.new:
        state.joining = _without(state.joining, message.sender)
        return []
    state.joining = state.joining.set(message.sender, message.incarnation)
    all_new = len(state.joining) == len(state.configured_members) - 1
    return _found_group(state, now) if all_new else []


def _found_group(state: MemberState, now: float) -> Actions:
    """Lead a new group.  Its first version names all members; a member accepts it only if it is named."""
    members = dict(sorted({**state.joining, state.name: state.incarnation}.items()))
    state.group_id = state.incarnation
    state.ballot = state.promised = Ballot(_FIRST_TERM, state.proposer_id())
    state.highest_term = _FIRST_TERM
    state.newest_snapshot = NO_SNAPSHOT
    state.joining = Map()
    state.members = Map(members)
    return lead(state, now, ((MEMBERSHIP_KEY, encode_membership(members)),))


# -- changes by a leader


def admit_member(state: MemberState, now: float) -> Actions:
    """Admit the member with a new disk whose name sorts first.

    A readmitted member does not count towards the quorum of this round, since it has lost its promises.  An
    added member does.
    """
    name, incarnation = min(state.joining.items())
    state.joining = state.joining.delete(name)
    is_added = name not in state.members
    is_wanted = name in (state.desired_members or ())
    if state.members.get(name) == incarnation or (is_added and not is_wanted):
        return []
    members = {**state.members, name: incarnation}
    if not state.guards.single_change:
        members |= state.joining
    state.last_contact = state.last_contact.set(name, now)
    return _change_members(state, now, members, excluded_voter="" if is_added else name)


def surplus_members(state: MemberState) -> list[str]:
    """Return the members to remove, in order; none until all desired members have been added.

    The members that have not responded for the longest time come first, and this member comes last.
    """
    present = frozenset(state.members)
    if not state.desired_members or not state.desired_members <= present:
        return []
    surplus = present - state.desired_members
    return sorted(surplus, key=lambda name: (name == state.name, state.last_contact.get(name, 0.0), name))


def remove_member(state: MemberState, now: float) -> Actions:
    """Remove the first surplus member."""
    surplus = surplus_members(state)
    removed = surplus[:1] if state.guards.single_change else surplus
    members = {name: incarnation for name, incarnation in state.members.items() if name not in removed}
    return _change_members(state, now, members)


def _change_members(
    state: MemberState, now: float, members: Mapping[str, str], *, excluded_voter: str = ""
) -> Actions:
    members = dict(sorted(members.items()))
    changed = [name for name, incarnation in state.members.items() if members.get(name) != incarnation]
    state.members = Map(members)
    for name in changed:
        state.acknowledgements = _without(state.acknowledgements, name)
        state.confirmed_versions = _without(state.confirmed_versions, name)
    return start_round(
        state, now, ((MEMBERSHIP_KEY, encode_membership(members)),), excluded_voter=excluded_voter
    )


def _without(entries: Map[str, V], name: str) -> Map[str, V]:
    return entries.delete(name) if name in entries else entries


# -- a disk that was rolled back


def receive_reset_disk(state: MemberState, message: ResetDisk) -> Actions:
    """Handle a leader's report that this disk has confirmed a newer version than it holds now."""
    is_addressed = message.group_id == state.group_id and message.receiver_incarnation == state.incarnation
    if not is_addressed or message.ballot < state.promised:
        return []
    return [EraseDisk(f"{message.sender} reports that this disk has confirmed a newer version than it holds")]
