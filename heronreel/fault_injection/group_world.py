"""A group of real `ConsensusMember` cores between a network that loses, doubles and delays, and disks that
crash.

Messages once sent stay sent: each may be delivered at any later time, again, or never.  A write waits for
its disk until a step of its own makes it durable; a crash takes what waits.  Any member may try to lead at
any time: no clock keeps it from that, so what holds here does not rest on time-outs.

The judge knows which writes were confirmed to a client, and looks at what leaders then show: a leader that
begins and a confirmed reading must have every write that had been confirmed before it began.
"""

from __future__ import annotations

import math
from collections.abc import Hashable, Iterator
from typing import NamedTuple

import msgspec
from immutables import Map

from heronreel.coordination.consensus import (
    ALL_GUARDS,
    CONFIRMED_VERSIONS_KEY,
    MEMBERSHIP_KEY,
    Accept,
    Accepted,
    Actions,
    AnyMessage,
    Ballot,
    ConsensusMember,
    DurableState,
    EraseDisk,
    Guards,
    Hello,
    Persist,
    Prepare,
    Promise,
    ResetDisk,
    Role,
    RoundCommitted,
    Send,
    Timing,
    Version,
)
from heronreel.coordination.keyspace import apply_writes
from heronreel.fault_injection.explore import Broken

NO_TIME = Timing(beat=0.0, resend=0.0, patience=0.0, contact=math.inf)
_FIELDS = (
    "incarnation", "group", "promised", "version", "content", "members", "confirmed", "role", "seen",
    "ballot", "promises", "best", "number", "pending", "established", "have", "new",
)  # fmt: skip


class Budget(NamedTuple):
    """How often each thing may happen, by whom it may: what keeps the world small."""

    tries: str = "ab"  # to lead: each member as often as it stands here
    writes: int = 2
    reads: int = 0
    crashes: str = ""  # who crashes and is back, as often as it stands here
    lost: str = ""  # whose disk is lost in a crash
    restored: str = ""  # whose disk is set back to an old copy in a crash


class Place:
    """One member, its disk, and what waits for it.  Never changed once made."""

    __slots__ = ("copy", "core", "disk", "mark", "waits")

    def __init__(
        self, core: ConsensusMember, disk: DurableState, waits: tuple[Persist, ...], copy: DurableState
    ) -> None:
        self.core = core
        self.disk = disk
        self.waits = waits
        self.copy = copy  # an older copy of the disk
        self.mark = hash((
            tuple(getattr(core, field) for field in _FIELDS),
            core.self_ack - core.synced, core.self_promise - core.synced, disk,
            tuple(wait._replace(number=0) for wait in waits),
        ))  # fmt: skip


class Sent(NamedTuple):
    """A message on its way, under a number that equal ones share."""

    number: int
    to: str
    message: AnyMessage

    def __hash__(self) -> int:
        return self.number

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Sent) and self.number == other.number


_NUMBERS: dict[tuple[str, AnyMessage], Sent] = {}


def _sent(to: str, message: AnyMessage) -> Sent:
    known = _NUMBERS.get((to, message))
    if known is None:
        known = _NUMBERS[to, message] = Sent(len(_NUMBERS), to, message)
    return known


class Reading(NamedTuple):
    """A round that shows what the leader has, and the writes confirmed when it began."""

    ballot: Ballot
    number: int
    before: frozenset[bytes]


class GroupWorld:
    """One state of the world."""

    def __init__(
        self,
        names: tuple[str, ...],
        budget: Budget,
        guards: Guards = ALL_GUARDS,
        *,
        founders: tuple[str, ...] = (),
        wish: tuple[str, ...] = (),
    ) -> None:
        """`founders` are in the group at first (all of `names` if none are named), the others' disks are
        new; with a `wish` the group is to become that.
        """
        self.budget = budget
        self.guards = guards
        self.names = names
        self.wish = frozenset(wish) or None
        names = founders or names
        incarnations = {name: f"{name}1" for name in names}
        old = Map({MEMBERSHIP_KEY: msgspec.msgpack.encode(incarnations)})
        ballot = Ballot(1, f"{names[0]}/{names[0]}1")
        first = Version(*ballot, 1)
        # all have confirmed the first version, and the second one says so
        content = old.set(CONFIRMED_VERSIONS_KEY, msgspec.msgpack.encode(dict.fromkeys(names, first)))
        self.places: Map[str, Place] = Map()
        for name in names:
            group = f"{names[0]}1"
            disk = DurableState(f"{name}1", group, ballot, Version(*ballot, 2), content)
            copy = DurableState(f"{name}1", group, ballot, Version(*ballot, 0), old)
            self.places = self.places.set(name, Place(self._core(name, disk), disk, (), copy))
        for name in self.names:
            if name not in names:
                disk = DurableState(f"{name}1")
                self.places = self.places.set(name, Place(self._core(name, disk), disk, (), disk))
        self.sent: frozenset[Sent] = frozenset()
        self.confirmed: frozenset[bytes] = frozenset()
        self.writing: Map[tuple[Ballot, int], bytes] = Map()  # writes under way, by ballot and round
        self.reading: frozenset[Reading] = frozenset()
        self.made = 0  # names of writes and incarnations

    def _core(self, name: str, disk: DurableState) -> ConsensusMember:
        core = ConsensusMember(name, self.names, disk, 0.0, timing=NO_TIME, guards=self.guards)
        core.wish = self.wish
        return core

    def fork(self) -> GroupWorld:
        copy = object.__new__(GroupWorld)
        copy.__dict__.update(self.__dict__)
        return copy

    def key(self) -> Hashable:
        rows = tuple(self.places[name].mark for name in self.names)
        return (rows, self.sent, self.confirmed, self.writing, self.reading, self.budget)

    # -- steps

    def steps(self) -> Iterator[tuple[str, GroupWorld]]:
        budget = self.budget
        for name in self.names:
            place = self.places[name]
            core = place.core
            if place.waits:
                yield self._step(f"{name}: the write reaches the disk", name, "sync")
            if core.role is Role.NEW and not core.group:
                yield self._step(f"{name}: says hello", name, "hello")
            stands = core.role is not Role.NEW and core.role is not Role.LEADER and name in core.members
            if stands and name in budget.tries:
                yield self._step(f"{name}: tries to lead", name, "stand")
            if core.leads and not core.busy:
                if core.changing:
                    what = "takes a new disk up" if core.new else "lets a member go"
                    yield self._step(f"{name}: {what}", name, "tick")
                if budget.writes:
                    yield self._step(f"{name}: a client writes", name, "write")
                if budget.reads:
                    yield self._step(f"{name}: a client reads", name, "read")
            if name in budget.crashes:
                yield self._step(f"{name}: crashes and is back", name, "crash")
            if name in budget.lost:
                yield self._step(f"{name}: crashes, and is back with a new disk", name, "lose")
            if name in budget.restored and place.copy != place.disk:
                yield self._step(f"{name}: crashes, and is back with an old copy", name, "restore")
        for _, to, message in self.sent:
            step = self._deliver(to, message)
            if step is not None:
                yield f"{to}: is told by {message.sender}: {_words(message)}", step

    def _step(self, words: str, name: str, what: str) -> tuple[str, GroupWorld]:
        world = self.fork()
        place = world.places[name]
        core = place.core.fork()
        budget = world.budget
        try:
            if what == "sync":
                persist, *waits = place.waits
                disk = _kept(place.disk, persist)
                world.places = world.places.set(name, Place(core, disk, tuple(waits), place.copy))
                world._act(name, core, [*persist.then, *core.persisted(0.0, persist.number)])
            elif what == "stand":
                world.budget = budget._replace(tries=budget.tries.replace(name, "", 1))
                world._act(name, core, core.stand(0.0))
            elif what == "hello":
                hello = Hello(name, core.incarnation)
                world._act(name, core, [Send(each, hello) for each in self.names if each != name])
            elif what == "tick":
                world._act(name, core, core.tick(0.0))
            elif what == "write":
                world.budget = budget._replace(writes=budget.writes - 1)
                world.made += 1
                key = b"w%d" % world.made
                actions = core.propose(0.0, ((key, b"1"),))
                world.writing = world.writing.set((core.ballot, core.number), key)
                world._act(name, core, actions)
            elif what == "read":
                world.budget = budget._replace(reads=budget.reads - 1)
                actions = core.propose(0.0, ())
                reading = Reading(core.ballot, core.number, world.confirmed)
                world.reading = world.reading | {reading}
                world._act(name, core, actions)
            else:
                world._crash(name, place, what)
        except Broken as broken:
            raise Broken(broken.args[0], words) from None
        return words, world

    def _crash(self, name: str, place: Place, what: str) -> None:
        budget = self.budget
        disk = place.disk
        if what == "crash":
            self.budget = budget._replace(crashes=budget.crashes.replace(name, "", 1))
        elif what == "lose":
            self.budget = budget._replace(lost=budget.lost.replace(name, "", 1))
            self.made += 1
            disk = DurableState(f"{name}{self.made + 1}")
        else:
            self.budget = budget._replace(restored=budget.restored.replace(name, "", 1))
            disk = place.copy
        self.places = self.places.set(name, Place(self._core(name, disk), disk, (), place.copy))

    def _deliver(self, to: str, message: AnyMessage) -> GroupWorld | None:
        """The world after it; None where it changes nothing."""
        world = self.fork()
        core = self.places[to].core.fork()
        try:
            actions = core.receive(0.0, message)
            world._act(to, core, actions)
        except Broken as broken:
            words = f"{to}: is told by {message.sender}: {_words(message)}"
            raise Broken(broken.args[0], words) from None
        return world

    # -- what a member does, and the judge

    def _act(self, name: str, core: ConsensusMember, actions: Actions) -> None:
        disk, waits, copy = self.places[name].disk, self.places[name].waits, self.places[name].copy
        sent = set(self.sent)
        fails = name in self.budget.crashes + self.budget.lost + self.budget.restored
        led = self.places[name].core.role is Role.LEADER
        actions = list(actions)
        while True:
            if core.role is Role.LEADER and not led:
                led = True  # its first round shows what it goes on from
                self.reading |= {Reading(core.ballot, 1, self.confirmed)}
            if not actions:
                break
            action = actions.pop(0)
            if isinstance(action, Send):
                sent.add(_sent(action.to, action.message))
            elif isinstance(action, Persist) and (waits or (fails and self._waits(core))):
                waits = (*waits, action)
            elif isinstance(action, Persist):
                disk = _kept(disk, action)
                actions += [*action.then, *core.persisted(0.0, action.number)]
            elif isinstance(action, RoundCommitted):
                self._confirm(core, action.number)
            elif isinstance(action, EraseDisk):
                self.made += 1
                disk = DurableState(f"{name}{self.made + 1}")
                core, waits = self._core(name, disk), ()
                break
        self.places = self.places.set(name, Place(core, disk, waits, copy))
        self.sent = frozenset(each for each in sent if self._matters(each.to, each.message))

    def _waits(self, core: ConsensusMember) -> bool:
        """Whether a write may be caught by a crash before it is durable.

        Of a member that answers another nothing has gone out by then, so that a crash there is one before the
        message came: only a leader, whose rounds go out beside its own write, has to wait.
        """
        return core.role is Role.LEADER or not self.guards.sync

    def _confirm(self, core: ConsensusMember, number: int) -> None:
        mark = core.ballot, number
        if mark in self.writing:
            self.confirmed |= {self.writing[mark]}
            self.writing = self.writing.delete(mark)
        for reading in self.reading:
            if (reading.ballot, reading.number) == mark:
                self._judge(core, reading.before, "leads, or answers a reading, without a confirmed write")
                self.reading -= {reading}

    @staticmethod
    def _judge(core: ConsensusMember, confirmed: frozenset[bytes], words: str) -> None:
        missing = sorted(key for key in confirmed if key not in core.content)
        if missing:
            raise Broken(f"{core.name} {words}: {b', '.join(missing).decode()}", "")

    def _matters(self, to: str, message: AnyMessage) -> bool:
        """Whether it could still do something.  What is left out counts as lost, which is always allowed."""
        place = self.places[to]
        core = place.core
        if isinstance(message, Promise):
            return core.role is Role.CANDIDATE and core.ballot == message.ballot and message.granted
        if isinstance(message, Accepted):
            leads = core.role is Role.LEADER and core.ballot == message.ballot
            return leads and (message.number == core.number or bool(self.budget.restored))
        if isinstance(message, Hello):
            return message.incarnation == self.places[message.sender].core.incarnation
        if not isinstance(message, (Prepare, Accept)):
            return not isinstance(message, ResetDisk) or message.you == core.incarnation
        if self.budget.restored or self.budget.lost:  # a disk may yet be what it was, or new
            return message.ballot >= place.disk.promised or not self.guards.promise
        asker = self.places[message.sender].core
        asks = asker.ballot == message.ballot
        if isinstance(message, Prepare):
            if message.ballot == place.disk.promised:
                return asks and asker.role is Role.CANDIDATE and to not in asker.promises
            return message.ballot > place.disk.promised
        if message.ballot < place.disk.promised:
            return not self.guards.promise
        have = place.disk.version
        if have.ballot == message.ballot and have.step >= message.version.step and have == core.version:
            pending = asker.pending
            waited_for = pending is not None and message.number == pending.number and to not in pending.acks
            return asks and asker.role is Role.LEADER and waited_for
        return True


def _kept(disk: DurableState, persist: Persist) -> DurableState:
    content = apply_writes(Map() if persist.whole else disk.content, persist.writes)
    return DurableState(disk.incarnation, persist.group, persist.promised, persist.version, content)


def _words(message: AnyMessage) -> str:
    if isinstance(message, Prepare):
        return f"follow ballot {message.ballot.round}?"
    if isinstance(message, Promise):
        kind = "yes" if message.granted else "no"
        version = message.version
        return f"{kind} to ballot {message.ballot.round}, I have {version.round}.{version.step}"
    if isinstance(message, Accept):
        keys = [k.decode() for k, _ in message.writes if k not in (MEMBERSHIP_KEY, CONFIRMED_VERSIONS_KEY)]
        return f"round {message.ballot.round}.{message.number} with {', '.join(keys) or 'nothing'}"
    if isinstance(message, Accepted):
        return f"I have {message.version.round}.{message.version.step}, for round {message.number}"
    return type(message).__name__.lower()
