"""A world for the explorer: a group of real `ConsensusMember` cores with a lossy network and crashes.

A sent message may be delivered at any later time, repeatedly, or never.  A write becomes durable in a
separate step, and a crash loses the writes that are not durable yet.  Any member may start an election at any
time, so the checked invariants do not depend on timeouts.

The checks know which writes were confirmed to a client: a new leader, and a confirmed read, must have every
write that was confirmed before they began.
"""

from __future__ import annotations

import math
from collections.abc import Hashable, Iterator
from enum import Enum
from typing import NamedTuple

from immutables import Map

from heronreel.coordination.actions import Actions, EraseDisk, Persist, RoundCommitted, Send
from heronreel.coordination.ballots import Ballot, Version
from heronreel.coordination.consensus import ConsensusMember
from heronreel.coordination.group_records import (
    CONFIRMED_VERSIONS_KEY,
    MEMBERSHIP_KEY,
    encode_confirmed_versions,
    encode_membership,
)
from heronreel.coordination.keyspace import Content, apply_writes
from heronreel.coordination.member_state import ALL_GUARDS, DurableState, Guards, Role, Timing
from heronreel.coordination.messages import (
    Accept,
    Accepted,
    AnyMessage,
    Hello,
    Prepare,
    Promise,
    ResetDisk,
)
from heronreel.fault_injection.explore import InvariantViolationError
from heronreel.fault_injection.group_network import MessagePool, SentMessage, describe_delivery

NO_TIME = Timing(
    heartbeat_interval_s=0.0, retransmit_interval_s=0.0, election_timeout_s=0.0, step_down_timeout_s=math.inf
)
NOW = 0.0  # the time does not advance

# The fields that identify the state of a member; the numbers of its Persists are compared as differences.
_STATE_FIELDS = (
    "incarnation", "group_id", "promised", "version", "content", "members", "confirmed_versions", "role",
    "highest_term", "ballot", "promises", "newest_snapshot", "round_number", "round_in_flight", "established",
    "acknowledgements", "joining",
)  # fmt: skip


class Budget(NamedTuple):
    """How often each kind of event may still happen, which keeps the world small.

    A string lists members; the event may happen to a member as often as the member occurs in it.
    """

    elections: str = "ab"  # members that may start an election
    writes: int = 2
    reads: int = 0
    crashes: str = ""  # members that may crash and restart
    lost_disks: str = ""  # members that may lose their disk in a crash
    restored_disks: str = ""  # members whose disk may be restored from an older copy in a crash


class Event(Enum):
    """An event of a member other than the delivery of a message; its value completes the text "NAME: "."""

    SYNC = "the write reaches the disk"
    HELLO = "says hello"
    ELECTION = "starts an election"
    ADMIT = "admits a new disk"
    REMOVE = "removes a member"
    WRITE = "a client writes"
    READ = "a client reads"
    CRASH = "crashes and restarts"
    LOSE_DISK = "crashes, and restarts with a new disk"
    RESTORE_DISK = "crashes, and restarts with an old copy"


class Node:
    """One member, its disk, and the writes that are not durable yet.  It is immutable."""

    __slots__ = ("backup", "core", "disk", "mark", "waiting")

    def __init__(
        self, core: ConsensusMember, disk: DurableState, waiting: tuple[Persist, ...], backup: DurableState
    ) -> None:
        """Create a node; `backup` is an older copy of the disk."""
        self.core = core
        self.disk = disk
        self.waiting = waiting
        self.backup = backup
        self.mark = hash(
            (
                tuple(getattr(core, field) for field in _STATE_FIELDS),
                core.own_accept_persist - core.synced_persist,
                core.own_promise_persist - core.synced_persist,
                disk,
                tuple(persist._replace(number=0) for persist in waiting),
            )
        )


class Read(NamedTuple):
    """A round that reads the leader's content, and the writes that were confirmed when it began."""

    ballot: Ballot
    round_number: int
    confirmed_before: frozenset[bytes]


class GroupWorld:
    """One state of the world."""

    def __init__(
        self,
        names: tuple[str, ...],
        budget: Budget,
        guards: Guards = ALL_GUARDS,
        *,
        founders: tuple[str, ...] = (),
        desired_members: tuple[str, ...] = (),
    ) -> None:
        """Create a world whose group has already confirmed a version.

        Args:
            names: The names of all processes.
            budget: How often each kind of event may happen.
            guards: The enabled safeguards.
            founders: The initial members of the group; by default all of `names`.  The other processes have
                new disks.
            desired_members: The members that the group should have; by default the initial ones.
        """
        self.budget = budget
        self.guards = guards
        self.names = names
        self.desired_members = frozenset(desired_members) or None
        self.pool = MessagePool()
        self.nodes: Map[str, Node] = Map()
        self._make_nodes(founders or names)
        self.sent: frozenset[SentMessage] = frozenset()
        self.confirmed: frozenset[bytes] = frozenset()
        self.writes: Map[tuple[Ballot, int], bytes] = Map()  # writes in flight, by ballot and round
        self.reads: frozenset[Read] = frozenset()
        self.last_name = 0  # number of the latest name of a write or an incarnation

    def _make_nodes(self, founders: tuple[str, ...]) -> None:
        incarnations = {name: f"{name}1" for name in founders}
        group_id = incarnations[founders[0]]
        ballot = Ballot(1, f"{founders[0]}/{group_id}")
        first = Version(*ballot, 1)
        old: Content = Map({MEMBERSHIP_KEY: encode_membership(incarnations)})
        # All founders have confirmed the first version; the second version records this.
        confirmed = encode_confirmed_versions(dict.fromkeys(founders, first))
        content = old.set(CONFIRMED_VERSIONS_KEY, confirmed)
        for name, incarnation in incarnations.items():
            disk = DurableState(incarnation, group_id, ballot, Version(*ballot, 2), content)
            backup = DurableState(incarnation, group_id, ballot, Version(*ballot, 0), old)
            self._add_node(name, disk, backup)
        for name in self.names:
            if name not in founders:
                disk = DurableState(f"{name}1")
                self._add_node(name, disk, disk)

    def _add_node(self, name: str, disk: DurableState, backup: DurableState) -> None:
        self.nodes = self.nodes.set(name, Node(self._core(name, disk), disk, (), backup))

    def _core(self, name: str, disk: DurableState) -> ConsensusMember:
        core = ConsensusMember(name, self.names, disk, NOW, timing=NO_TIME, guards=self.guards)
        core.desired_members = self.desired_members
        return core

    def fork(self) -> GroupWorld:
        """Return an independent copy."""
        copy = object.__new__(GroupWorld)
        copy.__dict__.update(self.__dict__)
        return copy

    def key(self) -> Hashable:
        """Return a key that is equal for states with the same future."""
        marks = tuple(self.nodes[name].mark for name in self.names)
        return (marks, self.sent, self.confirmed, self.writes, self.reads, self.budget)

    # -- steps

    def steps(self) -> Iterator[tuple[str, GroupWorld]]:
        """Return all possible next steps: their descriptions and the states that they lead to.

        Raises:
            InvariantViolationError: A step shows that a confirmed write is lost.
        """
        for name in self.names:
            for event in (*self._protocol_events(name), *self._leader_events(name), *self._faults(name)):
                yield self._step(name, event)
        for _, to, message in self.sent:
            yield self._delivery(to, message)

    def _protocol_events(self, name: str) -> Iterator[Event]:
        node = self.nodes[name]
        core = node.core
        if node.waiting:
            yield Event.SYNC
        if core.role is Role.NEW and not core.group_id:
            yield Event.HELLO
        may_lead = core.role not in (Role.NEW, Role.LEADER) and name in core.members
        if may_lead and name in self.budget.elections:
            yield Event.ELECTION

    def _leader_events(self, name: str) -> Iterator[Event]:
        core = self.nodes[name].core
        if not core.is_leader or core.has_round_in_flight:
            return
        if core.has_membership_change:
            yield Event.ADMIT if core.joining else Event.REMOVE
        if self.budget.writes:
            yield Event.WRITE
        if self.budget.reads:
            yield Event.READ

    def _faults(self, name: str) -> Iterator[Event]:
        node = self.nodes[name]
        if name in self.budget.crashes:
            yield Event.CRASH
        if name in self.budget.lost_disks:
            yield Event.LOSE_DISK
        if name in self.budget.restored_disks and node.backup != node.disk:
            yield Event.RESTORE_DISK

    def _step(self, name: str, event: Event) -> tuple[str, GroupWorld]:
        description = f"{name}: {event.value}"
        world = self.fork()
        try:
            world._apply(name, event)
        except InvariantViolationError as violation:
            raise InvariantViolationError(violation.reason, description) from None
        return description, world

    def _delivery(self, to: str, message: AnyMessage) -> tuple[str, GroupWorld]:
        description = describe_delivery(to, message)
        world = self.fork()
        core = self.nodes[to].core.fork()
        try:
            world._carry_out(to, core, core.receive(NOW, message))
        except InvariantViolationError as violation:
            raise InvariantViolationError(violation.reason, description) from None
        return description, world

    # -- events

    def _apply(self, name: str, event: Event) -> None:
        core = self.nodes[name].core.fork()
        match event:
            case Event.SYNC:
                self._sync(name, core)
            case Event.HELLO:
                hello = Hello(name, core.incarnation)
                self._carry_out(name, core, [Send(other, hello) for other in self.names if other != name])
            case Event.ELECTION:
                self.budget = self.budget._replace(elections=self.budget.elections.replace(name, "", 1))
                self._carry_out(name, core, core.start_election(NOW))
            case Event.ADMIT | Event.REMOVE:
                self._carry_out(name, core, core.tick(NOW))
            case Event.WRITE:
                self._write(name, core)
            case Event.READ:
                self._read(name, core)
            case Event.CRASH | Event.LOSE_DISK | Event.RESTORE_DISK:
                self._crash(name, event)

    def _sync(self, name: str, core: ConsensusMember) -> None:
        node = self.nodes[name]
        persist, *waiting = node.waiting
        disk = _persisted(node.disk, persist)
        actions = [*persist.sends, *core.persisted(NOW, persist.number)]
        self.nodes = self.nodes.set(name, Node(core, disk, tuple(waiting), node.backup))
        self._carry_out(name, core, actions)

    def _write(self, name: str, core: ConsensusMember) -> None:
        self.budget = self.budget._replace(writes=self.budget.writes - 1)
        self.last_name += 1
        key = b"w%d" % self.last_name
        actions = core.propose(NOW, ((key, b"1"),))
        self.writes = self.writes.set((core.ballot, core.round_number), key)
        self._carry_out(name, core, actions)

    def _read(self, name: str, core: ConsensusMember) -> None:
        self.budget = self.budget._replace(reads=self.budget.reads - 1)
        actions = core.propose(NOW, ())
        self.reads |= {Read(core.ballot, core.round_number, self.confirmed)}
        self._carry_out(name, core, actions)

    def _crash(self, name: str, event: Event) -> None:
        budget = self.budget
        node = self.nodes[name]
        if event is Event.CRASH:
            self.budget = budget._replace(crashes=budget.crashes.replace(name, "", 1))
            disk = node.disk
        elif event is Event.LOSE_DISK:
            self.budget = budget._replace(lost_disks=budget.lost_disks.replace(name, "", 1))
            disk = self._new_disk(name)
        else:
            self.budget = budget._replace(restored_disks=budget.restored_disks.replace(name, "", 1))
            disk = node.backup
        self._add_node(name, disk, node.backup)

    def _new_disk(self, name: str) -> DurableState:
        self.last_name += 1
        return DurableState(f"{name}{self.last_name + 1}")

    # -- actions of members

    def _carry_out(self, name: str, core: ConsensusMember, actions: Actions) -> None:
        """Carry out a member's actions and the resulting further actions."""
        node = self.nodes[name]
        disk = node.disk
        waiting = node.waiting
        sent = set(self.sent)
        was_leader = node.core.role is Role.LEADER
        queue = list(actions)
        while True:
            if core.role is Role.LEADER and not was_leader:
                was_leader = True  # its first round shows the content that it starts with
                self.reads |= {Read(core.ballot, 1, self.confirmed)}
            if not queue:
                break
            action = queue.pop(0)
            if isinstance(action, Send):
                sent.add(self.pool.intern(action.to, action.message))
            elif isinstance(action, Persist) and (waiting or self._waits_for_disk(core)):
                waiting = (*waiting, action)
            elif isinstance(action, Persist):
                disk = _persisted(disk, action)
                queue += [*action.sends, *core.persisted(NOW, action.number)]
            elif isinstance(action, RoundCommitted):
                self._confirm(core, action.number)
            elif isinstance(action, EraseDisk):
                disk = self._new_disk(name)
                core = self._core(name, disk)
                waiting = ()
                break
        self.nodes = self.nodes.set(name, Node(core, disk, waiting, node.backup))
        self.sent = frozenset(
            message for message in sent if self._can_have_effect(message.to, message.message)
        )

    def _waits_for_disk(self, core: ConsensusMember) -> bool:
        """Return whether a crash may lose a write before it is durable.

        A member that responds to another one sends nothing before its write is durable, so a crash in between
        is equivalent to a crash before the message arrived.  Only a leader has to wait, because it sends its
        rounds while its own write is in progress.
        """
        budget = self.budget
        if core.name not in budget.crashes + budget.lost_disks + budget.restored_disks:
            return False
        return core.role is Role.LEADER or not self.guards.sync

    # -- invariants

    def _confirm(self, core: ConsensusMember, round_number: int) -> None:
        """Handle a committed round: confirm its write to the client, and answer its reads."""
        committed = core.ballot, round_number
        if committed in self.writes:
            self.confirmed |= {self.writes[committed]}
            self.writes = self.writes.delete(committed)
        for read in self.reads:
            if (read.ballot, read.round_number) == committed:
                self._check_read(core, read)
                self.reads -= {read}

    @staticmethod
    def _check_read(core: ConsensusMember, read: Read) -> None:
        missing = sorted(key for key in read.confirmed_before if key not in core.content)
        if missing:
            names = b", ".join(missing).decode()
            reason = f"{core.name} leads, or answers a read, without a confirmed write: {names}"
            raise InvariantViolationError(reason, "")

    # -- messages without effect

    def _can_have_effect(self, to: str, message: AnyMessage) -> bool:
        """Return whether a message can still have an effect.

        Dropped messages count as lost, which is always allowed.
        """
        core = self.nodes[to].core
        match message:
            case Promise():
                is_candidate = core.role is Role.CANDIDATE and core.ballot == message.ballot
                return is_candidate and message.granted
            case Accepted():
                leads = core.role is Role.LEADER and core.ballot == message.ballot
                is_newest = message.round_number == core.round_number
                return leads and (is_newest or bool(self.budget.restored_disks))
            case Hello():
                return message.incarnation == self.nodes[message.sender].core.incarnation
            case Prepare():
                return self._prepare_can_have_effect(to, message)
            case Accept():
                return self._accept_can_have_effect(to, message)
            case ResetDisk():
                return message.receiver_incarnation == core.incarnation
            case _:
                return True

    def _prepare_can_have_effect(self, to: str, message: Prepare) -> bool:
        promised = self.nodes[to].disk.promised
        if self._disk_may_change():
            return message.ballot >= promised or not self.guards.promise
        if message.ballot != promised:
            return message.ballot > promised
        candidate = self.nodes[message.sender].core
        is_open = candidate.ballot == message.ballot and candidate.role is Role.CANDIDATE
        return is_open and to not in candidate.promises

    def _accept_can_have_effect(self, to: str, message: Accept) -> bool:
        node = self.nodes[to]
        if self._disk_may_change():
            return message.ballot >= node.disk.promised or not self.guards.promise
        if message.ballot < node.disk.promised:
            return not self.guards.promise
        version = node.disk.version
        is_known = version.ballot == message.ballot and version.step >= message.version.step
        if not is_known or version != node.core.version:
            return True
        leader = self.nodes[message.sender].core
        if leader.ballot != message.ballot or leader.role is not Role.LEADER:
            return False
        current = leader.round_in_flight
        return (
            current is not None and message.round_number == current.number and to not in current.accepted_by
        )

    def _disk_may_change(self) -> bool:
        """Return whether a disk may still be lost or restored."""
        return bool(self.budget.restored_disks or self.budget.lost_disks)


def _persisted(disk: DurableState, persist: Persist) -> DurableState:
    """Return the disk after a write."""
    content: Content = Map() if persist.replaces_all else disk.content
    content = apply_writes(content, persist.writes)
    return DurableState(disk.incarnation, persist.group_id, persist.promised, persist.version, content)
