"""How the processes of a group agree on one map of records.  Pure: events and time in, actions out.

One register holds the whole map, and majorities agree on its versions (Paxos on a single register with a
standing proposer: `docs/coordination-design.md` weighs it against a log).  A *ballot* is one member's try
to lead.  A majority that promises a ballot takes nothing of a lower one any more, and tells the newest
version it has; the leader writes that one anew under its ballot and goes on from there, one *round* after
the other.  A round either carries writes, and is agreed on once a majority has them on its disks, or
carries nothing and shows that the leader still led when the round began.

A disk that was lost is told by its *incarnation*, a name drawn when the disk was made: the agreed map says
which incarnation of each member counts, so nobody votes away what it forgot.  A disk that holds an older
copy is told by the versions that members are known to have confirmed, which the map holds as well.

Whatever an answer rests on is on the disk before it is sent: `Persist.then` is sent once that write and all
before it are durable.  Attributes are replaced and never changed in place: a copy of the object is a copy
of its state, which is how the explorer takes its steps (`heronreel.fault_injection.explore`).
"""

from __future__ import annotations

import copy
from collections.abc import Callable, Iterable
from enum import Enum
from typing import NamedTuple

import msgspec
from immutables import Map

from heronreel.coordination.keyspace import EMPTY_CONTENT, Content, Writes, apply_writes

MEMBERSHIP_KEY = b"g"  # the record of the members: incarnations by name
CONFIRMED_VERSIONS_KEY = b"c"  # the record of what each member is known to have on its disk


class Ballot(NamedTuple):
    """A try to lead: by whom, as name/incarnation, so that no two tries are ever alike."""

    round: int
    member: str


class Version(NamedTuple):
    """A state of the map: the ballot it was written under, and which write of it."""

    round: int
    member: str
    step: int

    @property
    def ballot(self) -> Ballot:
        return Ballot(self.round, self.member)


NO_BALLOT = Ballot(0, "")
NO_VERSION = Version(0, "", 0)


class Timing(msgspec.Struct, frozen=True):
    """In seconds."""

    beat: float = 0.1  # between two rounds of an idle leader
    resend: float = 0.1  # to who has not answered
    patience: float = 0.6  # without a leader, before one is sought; up to twice of it is drawn
    contact: float = 1.2  # a leader without a majority's answers steps down


class DurableState(NamedTuple):
    """What a member's disk holds."""

    incarnation: str
    group: str = ""  # the founder's incarnation; empty: no group yet
    promised: Ballot = NO_BALLOT
    version: Version = NO_VERSION
    content: Content = EMPTY_CONTENT


# -- messages


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    sender: str
    incarnation: str  # of the sender


class Hello(Message, frozen=True, array_like=True, tag=True):
    """From a member whose disk is new."""


class Status(Message, frozen=True, array_like=True, tag=True):
    """The answer to Hello."""

    new: bool


class Prepare(Message, frozen=True, array_like=True, tag=True):
    group: str
    you: str  # the receiver's incarnation, as the sender's map has it
    ballot: Ballot
    version: Version  # the sender's
    trial: bool  # only asked: nothing is promised


class Promise(Message, frozen=True, array_like=True, tag=True):
    ballot: Ballot
    trial: bool
    granted: bool
    promised: Ballot
    version: Version
    content: tuple[tuple[bytes, bytes], ...] | None = None  # where it is newer than the asker's


class Accept(Message, frozen=True, array_like=True, tag=True):
    """A round.  `version` is what the receiver should have after it; with `base` it is reached by `writes`,
    and without it by the whole map.  A round without writes names the version that stands.
    """

    group: str
    you: str
    ballot: Ballot
    number: int
    version: Version
    base: Version | None
    writes: Writes


class Accepted(Message, frozen=True, array_like=True, tag=True):
    ballot: Ballot  # of the Accept
    number: int
    promised: Ballot
    version: Version  # the sender's, on its disk
    taken: bool  # it has what the round was about


class ResetDisk(Message, frozen=True, array_like=True, tag="Forget"):
    """To a member whose disk is known to hold an older copy: begin anew."""

    group: str
    you: str
    ballot: Ballot


AnyMessage = Hello | Status | Prepare | Promise | Accept | Accepted | ResetDisk

# -- actions


class Send(NamedTuple):
    to: str
    message: AnyMessage


class Persist(NamedTuple):
    """Make it durable after all before it, then send `then` and tell `persisted(number)`."""

    number: int
    group: str
    promised: Ballot
    version: Version
    writes: Writes  # to the map; with `whole` it is emptied first
    whole: bool
    then: tuple[Send, ...]


class Elected(NamedTuple):
    """This member leads, and `content` is agreed on."""

    ballot: Ballot


class Deposed(NamedTuple):
    """It leads no more: what is under way may have been agreed on or not."""


class RoundCommitted(NamedTuple):
    """A majority has taken the round."""

    number: int


class EraseDisk(NamedTuple):
    """The disk holds an older copy: throw it away and start with a new incarnation."""

    why: str


Action = Send | Persist | Elected | Deposed | RoundCommitted | EraseDisk
Actions = list[Action]


class Role(Enum):
    NEW = "new"  # its disk is new, and no group has taken it up yet
    FOLLOWER = "follower"
    ASKING = "asking"  # whether it would be followed
    CANDIDATE = "candidate"
    LEADER = "leader"


class Pending(NamedTuple):
    """The round under way."""

    number: int
    base: Version | None  # None: no writes
    writes: Writes
    acks: frozenset[str]
    without: str  # a member whose answer does not count: it is being taken up; empty: none


class Guards(msgspec.Struct, frozen=True):
    """What keeps the promises, to be taken out one by one by tests that have to fail then."""

    majority: bool = True  # a round or a ballot needs more than half
    newest: bool = True  # a leader goes on from the newest version it was told
    promise: bool = True  # a lower ballot is refused
    incarnation: bool = True  # a lost disk is told
    rollback: bool = True  # an old copy is told
    single: bool = True  # one member comes or goes at a time
    sync: bool = True  # what an answer rests on is durable first


ALL_GUARDS = Guards()


class ConsensusMember:
    """One process of a group."""

    def __init__(
        self,
        name: str,
        listed: Iterable[str],
        durable: DurableState,
        now: float,
        *,
        timing: Timing | None = None,
        jitter: Callable[[], float] = lambda: 0.0,
        guards: Guards = ALL_GUARDS,
    ) -> None:
        """`listed`: the names of the group as its file has them; `jitter` draws from 0 up to 1."""
        self.name = name
        self.listed = tuple(sorted(listed))
        self.wish: frozenset[str] | None = None  # who should be in the group; None: whoever is
        self.timing = timing or Timing()
        self.jitter = jitter
        self.guards = guards
        self.incarnation = durable.incarnation
        self.group = durable.group
        self.promised = durable.promised
        self.version = durable.version
        self.content = durable.content
        self.members: Map[str, str] = Map()
        self.confirmed: Map[str, Version] = Map()
        self._read()
        self.role = Role.FOLLOWER if self.version != NO_VERSION else Role.NEW
        self.leader: str | None = None
        self.heard = now - self.timing.patience  # from a leader
        self.due = now + self.timing.patience * self.jitter()  # to seek one, or to say hello
        self.seen = self.promised.round  # the greatest round of any ballot heard of
        self.writes = 0  # numbers of Persist
        self.synced = 0  # the last of them that is durable
        # of a try to lead
        self.ballot = NO_BALLOT
        self.self_promise = 0  # the Persist that has this member's own promise
        self.promises: Map[str, tuple[str, Version]] = Map()
        self.willing: frozenset[str] = frozenset()
        self.best: tuple[Version, Content] = (NO_VERSION, EMPTY_CONTENT)
        # of a leader
        self.number = 0  # of the last round
        self.pending: Pending | None = None
        self.established = False
        self.self_ack = 0  # the Persist that has this member's own part in the round
        self.have: Map[str, tuple[Version, int]] = Map()  # what others confirmed, and the last round by then
        self.contact: Map[str, float] = Map()
        self.helped: Map[str, float] = Map()  # when others were sent the whole map
        self.sent = now  # the round under way, last
        self.began = now  # the last round
        self.new: Map[str, str] = Map()  # names and incarnations of members with new disks

    def fork(self) -> ConsensusMember:
        """A copy that goes its own way."""
        return copy.copy(self)

    def _read(self) -> None:
        """The records about the group, after the map changed as a whole or in one of them."""
        if MEMBERSHIP_KEY in self.content:
            self.members = Map(msgspec.msgpack.decode(self.content[MEMBERSHIP_KEY], type=dict[str, str]))
        if CONFIRMED_VERSIONS_KEY in self.content:
            found = msgspec.msgpack.decode(self.content[CONFIRMED_VERSIONS_KEY], type=dict[str, Version])
            self.confirmed = Map(found)

    # -- what the shell asks

    @property
    def leads(self) -> bool:
        return self.role is Role.LEADER and self.established

    @property
    def busy(self) -> bool:
        return self.pending is not None

    @property
    def changing(self) -> bool:
        """A leader has somebody to take up or to let go, by a round of its own."""
        return self.leads and bool(self.new or self._surplus())

    def relist(self, listed: Iterable[str]) -> None:
        """The file names others by now; who is in the group is the agreed map's to say."""
        self.listed = tuple(sorted(listed))

    def wake(self) -> float:
        """When `tick` has something to do, unless something else comes first."""
        if self.role is not Role.LEADER:
            return self.due
        if self.pending is not None:
            return self.sent + self.timing.resend
        return self.began + self.timing.beat

    # -- events

    def tick(self, now: float) -> Actions:
        """Time has passed."""
        if self.role is Role.LEADER:
            return self._lead_on(now)
        if now < self.due:
            return []
        if self.role is Role.NEW:
            self._wait(now, self.timing.resend)
            return self._greet(now)
        return self.ask(now)

    def propose(self, now: float, writes: Writes) -> Actions:
        """A leader's next round, with writes or without; only where none is under way."""
        assert self.leads and self.pending is None
        return self._round(now, writes)

    def persisted(self, now: float, number: int) -> Actions:
        """The Persist of that number, and all before it, are durable."""
        self.synced = number
        if self.role is Role.CANDIDATE and number == self.self_promise:
            self.promises = self.promises.set(self.name, (self.incarnation, self.version))
            return self._count_promises(now)
        if self.role is Role.LEADER and self.pending is not None and number == self.self_ack:
            return self._count(now, self.name)
        return []

    def receive(self, now: float, message: AnyMessage) -> Actions:
        """A message, however late and however often."""
        if message.sender == self.name or message.sender not in self.listed:
            return []
        if isinstance(message, Accept):
            return self._accept(now, message)
        if isinstance(message, Accepted):
            return self._accepted(now, message)
        if isinstance(message, Prepare):
            return self._prepare(now, message)
        if isinstance(message, Promise):
            return self._promise(now, message)
        if isinstance(message, Hello):
            return self._hello(now, message)
        if isinstance(message, Status):
            return self._status(now, message)
        return self._forget(message)

    # -- a group's beginning, and members with new disks

    def _greet(self, now: float) -> Actions:
        if self.listed == (self.name,):
            return self._found(now)
        hello = Hello(self.name, self.incarnation)
        return [Send(name, hello) for name in self.listed if name != self.name]

    def _hello(self, now: float, message: Hello) -> Actions:
        name = message.sender
        ours = name in self.members or name in (self.wish or ())
        if self.role is Role.LEADER and ours and self.members.get(name) != message.incarnation:
            self.new = self.new.set(name, message.incarnation)
        status = Status(self.name, self.incarnation, self.role is Role.NEW and not self.group)
        return [Send(message.sender, status)]

    def _status(self, now: float, message: Status) -> Actions:
        """Only the first by name founds a group, and only where every other disk is new as well."""
        if self.role is not Role.NEW or self.group or self.name != self.listed[0]:
            return []
        if not message.new:
            self.new = self.new.delete(message.sender) if message.sender in self.new else self.new
            return []
        self.new = self.new.set(message.sender, message.incarnation)
        return self._found(now) if len(self.new) == len(self.listed) - 1 else []

    def _found(self, now: float) -> Actions:
        """Begin a group: the first state names all members, and each one takes it only if it is named."""
        members = dict(sorted({**self.new, self.name: self.incarnation}.items()))
        self.group = self.incarnation
        self.ballot = self.promised = Ballot(1, self._ident())
        self.seen = 1
        self.best = NO_VERSION, EMPTY_CONTENT
        self.new = Map()
        self.members = Map(members)
        return self._lead(now, ((MEMBERSHIP_KEY, msgspec.msgpack.encode(members)),))

    def _ident(self) -> str:
        return f"{self.name}/{self.incarnation}"

    def _take_up(self, now: float) -> Actions:
        """A member with a new disk counts from here on, by the word of a majority of the others.

        Where it is one more than before, its own word counts as well: any majority with it and any without
        it have somebody in common, as long as one comes or goes at a time.
        """
        name, incarnation = min(self.new.items())
        self.new = self.new.delete(name)
        more = name not in self.members
        if self.members.get(name) == incarnation or (more and name not in (self.wish or ())):
            return []
        members = {**self.members, name: incarnation}
        if not self.guards.single:
            members |= self.new
        self.contact = self.contact.set(name, now)
        return self._regroup(now, members, "" if more else name)

    def _surplus(self) -> list[str]:
        """Who is to be let go, in this order, once everybody wanted is there: who is not reached first, and
        this member last.
        """
        there = frozenset(self.members)
        if not self.wish or not self.wish <= there:
            return []
        gone = there - self.wish
        return sorted(gone, key=lambda name: (name == self.name, self.contact.get(name, 0.0), name))

    def _let_go(self, now: float) -> Actions:
        names = self._surplus()
        gone = names[:1] if self.guards.single else names
        return self._regroup(now, {n: i for n, i in self.members.items() if n not in gone}, "")

    def _regroup(self, now: float, members: dict[str, str], without: str) -> Actions:
        members = dict(sorted(members.items()))
        changed = [name for name, incarnation in self.members.items() if members.get(name) != incarnation]
        self.members = Map(members)
        for name in changed:
            self.have = self.have.delete(name) if name in self.have else self.have
            self.confirmed = self.confirmed.delete(name) if name in self.confirmed else self.confirmed
        return self._round(now, ((MEMBERSHIP_KEY, msgspec.msgpack.encode(members)),), without=without)

    def _forget(self, message: ResetDisk) -> Actions:
        if message.group != self.group or message.you != self.incarnation or message.ballot < self.promised:
            return []
        return [EraseDisk(f"{message.sender} knows that this disk held more")]

    # -- seeking a leader

    def _wait(self, now: float, least: float) -> None:
        self.due = now + least * (1.0 + self.jitter())

    def _follow(self, now: float) -> Actions:
        """Lead no more, and try no more."""
        leading = self.role is Role.LEADER
        if self.role is not Role.NEW:
            self.role = Role.FOLLOWER
        self.pending = None
        established, self.established = self.established, False
        self.have, self.contact, self.new, self.helped = Map(), Map(), Map(), Map()
        self.promises, self.willing, self.best = Map(), frozenset(), (NO_VERSION, EMPTY_CONTENT)
        self.self_ack = self.self_promise = 0
        self._read()  # a member being taken up may not be in the agreed map
        self._wait(now, self.timing.patience)
        return [Deposed()] if leading and established else []

    def ask(self, now: float) -> Actions:
        """Ask whether a try to lead would be followed: one that would not disturbs nobody."""
        if self.name not in self.members and self.version != NO_VERSION:
            self._wait(now, self.timing.patience)
            return []  # it was let go
        self.role = Role.ASKING
        self.leader = None
        self.ballot = Ballot(self.seen + 1, self._ident())
        self.willing = frozenset((self.name,))
        self._wait(now, self.timing.patience)
        return self._count_willing(now) or self._prepares(trial=True)

    def _prepares(self, trial: bool) -> Actions:
        return [
            Send(
                name,
                Prepare(
                    self.name, self.incarnation, self.group, incarnation, self.ballot, self.version, trial
                ),
            )
            for name, incarnation in sorted(self.members.items())
            if name != self.name
        ]

    def _count_willing(self, now: float) -> Actions:
        return self.stand(now) if len(self.willing) >= self._majority(self.members) else []

    def _majority(self, members: Map[str, str]) -> int:
        return len(members) // 2 + 1 if self.guards.majority else max(1, len(members) // 2)

    def stand(self, now: float) -> Actions:
        """Try to lead: the promise to oneself first, and durably."""
        self.role = Role.CANDIDATE
        self.leader = None
        self.ballot = self.promised = Ballot(self.seen + 1, self._ident())
        self.seen = self.ballot.round
        self.promises = Map()
        self.best = self.version, self.content
        self._wait(now, self.timing.patience)
        persist = self._persist((), tuple(a for a in self._prepares(trial=False) if isinstance(a, Send)))
        self.self_promise = self.writes
        return persist

    def _prepare(self, now: float, message: Prepare) -> Actions:
        ours = message.you == self.incarnation or not self.guards.incarnation
        known = message.group == self.group or (not self.group and self.role is Role.NEW)
        self.seen = max(self.seen, message.ballot.round) if known and ours else self.seen
        led = now - self.heard < self.timing.patience or self.leads
        granted = known and ours and message.ballot > self.promised
        if message.trial:
            granted = granted and not led
        elif message.ballot == self.promised and known and ours:
            granted = True  # said again
        newer = granted and not message.trial and self.version > message.version
        actions: Actions = []
        if granted and not message.trial and message.ballot > self.promised:
            actions = self._follow(now)
            self.promised = message.ballot
            self.group = message.group
            self.leader = None
        answer = Promise(
            self.name, self.incarnation, message.ballot, message.trial, granted, self.promised, self.version,
            tuple(sorted(self.content.items())) if newer else None,
        )  # fmt: skip
        if message.trial or not granted:
            return [Send(message.sender, answer)]
        return actions + self._persist((), (Send(message.sender, answer),))

    def _promise(self, now: float, message: Promise) -> Actions:
        self.seen = max(self.seen, message.promised.round)
        if message.ballot != self.ballot or not message.granted:
            return []
        if message.trial:
            if self.role is not Role.ASKING or self.members.get(message.sender) != message.incarnation:
                return []
            self.willing |= {message.sender}
            return self._count_willing(now)
        if self.role is not Role.CANDIDATE:
            return []
        self.promises = self.promises.set(message.sender, (message.incarnation, message.version))
        if message.content is not None and message.version > self.best[0] and self.guards.newest:
            self.best = message.version, Map(message.content)
        return self._count_promises(now)

    def _count_promises(self, now: float) -> Actions:
        """A promise counts by the newest map's word on whose disk is whose, and what it should hold."""
        if self.name not in self.promises:
            return []
        _, content = self.best
        members, confirmed = self.members, self.confirmed
        if MEMBERSHIP_KEY in content:
            members = Map(msgspec.msgpack.decode(content[MEMBERSHIP_KEY], type=dict[str, str]))
        if CONFIRMED_VERSIONS_KEY in content:
            confirmed = Map(msgspec.msgpack.decode(content[CONFIRMED_VERSIONS_KEY], type=dict[str, Version]))
        count = 0
        for name, (incarnation, told) in self.promises.items():
            same = members.get(name) == incarnation or not self.guards.incarnation
            whole = told >= confirmed.get(name, NO_VERSION) or not self.guards.rollback
            count += same and whole
        if members.get(self.name) != self.incarnation and self.guards.incarnation:
            return []  # its place was given to another disk
        if count < self._majority(members):
            return []
        self.members, self.confirmed = members, confirmed
        return self._lead(now, ())

    # -- leading

    def _lead(self, now: float, writes: Writes) -> Actions:
        """The first round of a ballot writes the newest state anew."""
        self.role = Role.LEADER
        self.leader = self.name
        self.established = False
        self.number = 0
        # what they confirmed under others: whoever answers this ballot has that, or lost it
        self.have = Map({name: (version, 0) for name, version in self.confirmed.items()})
        self.contact = Map({name: now for name in self.members})
        base = self.best[0]
        whole = base != self.version
        self.version, self.content = self.best
        told = {
            name: version for name, (incarnation, version) in self.promises.items()
            if self.members.get(name) == incarnation
        }  # fmt: skip
        self.promises, self.best = Map(), (NO_VERSION, EMPTY_CONTENT)
        return self._round(now, writes, whole=whole, told=told, opening=True)

    def _round(
        self,
        now: float,
        writes: Writes,
        *,
        without: str = "",
        whole: bool = False,
        told: dict[str, Version] | None = None,
        opening: bool = False,
    ) -> Actions:
        self.number += 1
        self.sent = self.began = now
        self.pending = Pending(self.number, None, (), frozenset(), without)
        if not writes and not opening:
            confirmed_alone = self._count(now, self.name)
            return confirmed_alone or self._send_round(now)
        base = self.version
        record = {name: version for name, (version, _) in sorted(self.have.items())}
        if self.version != NO_VERSION:
            record[self.name] = self.version
        confirmed = msgspec.msgpack.encode(record)
        if self.content.get(CONFIRMED_VERSIONS_KEY) != confirmed and self.guards.rollback:
            writes = (*writes, (CONFIRMED_VERSIONS_KEY, confirmed))
        step = self.version.step + 1 if self.version.ballot == self.ballot else 1
        self.version = Version(*self.ballot, step)
        self.content = apply_writes(self.content, writes)
        self.pending = Pending(self.number, base, writes, frozenset(), without)
        sends = self._send_round(now, told)
        everything = tuple(sorted(self.content.items())) if whole else writes
        persist = self._persist(everything, (), whole=whole)
        self.self_ack = self.writes
        return sends + persist

    def _send_round(self, now: float, told: dict[str, Version] | None = None) -> Actions:
        """To all who have not answered; `told` has what they hold, where that is known.

        Who has not told gets the writes alone: it answers what it holds, and is looked at by that before it
        gets the whole map and stands like everybody else.
        """
        assert self.pending is not None
        sends: Actions = []
        for name in sorted(self.members):
            if name != self.name and name not in self.pending.acks:
                version = None if told is None else told.get(name)
                if version is not None and version < self._known(name):
                    sends.append(self._send_forget(name, self.members[name]))
                else:
                    sends.append(Send(name, self._message(name, version)))
        return sends

    def _known(self, name: str) -> Version:
        """What a member has confirmed, as far as is known here."""
        return self.have.get(name, (NO_VERSION, 0))[0] if self.guards.rollback else NO_VERSION

    def _send_forget(self, name: str, incarnation: str) -> Send:
        return Send(name, ResetDisk(self.name, self.incarnation, self.group, incarnation, self.ballot))

    def _message(self, name: str, told: Version | None) -> Accept:
        pending = self.pending
        base: Version | None = self.version
        writes: Writes = ()
        if pending is not None and pending.base is not None:
            base, writes = pending.base, pending.writes
        if told is not None and told != base:
            base, writes = None, tuple(sorted(self.content.items()))
        return Accept(
            self.name, self.incarnation, self.group, self.members[name], self.ballot, self.number,
            self.version, base, writes,
        )  # fmt: skip

    def _lead_on(self, now: float) -> Actions:
        reached = 0
        for name in self.members:
            reached += name == self.name or now - self.contact.get(name, now) < self.timing.contact
        if reached < self._majority(self.members):
            return self._follow(now)
        if self.pending is not None:
            if now < self.sent + self.timing.resend:
                return []
            self.sent = now
            return self._send_round(now)
        if self.new:
            return self._take_up(now)
        if self._surplus():
            return self._let_go(now)
        return self._round(now, ()) if now >= self.began + self.timing.beat else []

    def _accept(self, now: float, message: Accept) -> Actions:
        if self.group != message.group and (self.group or self.role is not Role.NEW):
            return []  # of another group: a disk that was made beside this one's
        if message.you != self.incarnation and self.guards.incarnation:
            return []
        self.seen = max(self.seen, message.ballot.round)
        if message.ballot < self.promised and self.guards.promise:
            return [Send(message.sender, self._answer(message, taken=False))]
        actions: Actions = []
        if self.role is not Role.FOLLOWER:
            actions = self._follow(now)
        changed = message.ballot != self.promised
        self.group = message.group
        self.promised = message.ballot
        self.leader = message.sender
        self.heard = now
        self._wait(now, self.timing.patience)
        writes: Writes = ()
        whole = False
        older = self.version.ballot != message.ballot or self.version.step < message.version.step
        if self.version != message.version and (older or not self.guards.promise):
            if message.base is None:
                writes, whole = message.writes, True
                self.content = Map({key: data for key, data in writes if data is not None})
            elif message.base == self.version:
                writes = message.writes
                self.content = apply_writes(self.content, writes)
            if whole or message.base == self.version:
                changed = True
                self.version = message.version
                self.role = Role.FOLLOWER
                if whole or any(key in (MEMBERSHIP_KEY, CONFIRMED_VERSIONS_KEY) for key, _ in writes):
                    self._read()
        reply = Send(message.sender, self._answer(message, taken=self.version >= message.version))
        if not (writes or whole or changed) and self.synced == self.writes:
            return [*actions, reply]  # it rests on nothing that is on its way to the disk
        return actions + self._persist(writes, (reply,), whole=whole)

    def _answer(self, message: Accept, *, taken: bool) -> Accepted:
        ballot, number = message.ballot, message.number
        return Accepted(self.name, self.incarnation, ballot, number, self.promised, self.version, taken)

    def _accepted(self, now: float, message: Accepted) -> Actions:
        self.seen = max(self.seen, message.promised.round)
        if self.role is not Role.LEADER or message.ballot != self.ballot:
            return []
        name = message.sender
        if self.members.get(name) != message.incarnation and self.guards.incarnation:
            return []
        if message.promised > self.ballot:
            return self._follow(now)
        self.contact = self.contact.set(name, now)
        known, by = self.have.get(name, (NO_VERSION, 0))
        if message.version < known and message.number > by and self.guards.rollback:
            # the answer was given after the greater version was confirmed: that disk was set back
            return [self._send_forget(name, message.incarnation)]
        if message.version > known and self.guards.rollback:
            self.have = self.have.set(name, (message.version, self.number))
        if message.version != self.version:
            # Either it took an earlier round, and is on its way; or it could not, and gets the whole map.
            # Whether the round is the newest says nothing: a leader at work is always some rounds on.
            helped = self.helped.get(name)
            if message.taken or (helped is not None and now < helped + self.timing.resend):
                return []
            self.helped = self.helped.set(name, now)
            return [Send(name, self._message(name, NO_VERSION))]
        if self.pending is not None and message.number == self.pending.number:
            return self._count(now, name)
        return []

    def _count(self, now: float, name: str) -> Actions:
        """One more has taken the round under way."""
        pending = self.pending
        assert pending is not None
        acks = pending.acks | {name}
        self.pending = pending._replace(acks=acks)
        if len((acks & frozenset(self.members)) - {pending.without}) < self._majority(self.members):
            return []
        self.pending = None
        if self.name not in self.members:
            return [RoundCommitted(pending.number), *self._follow(now)]  # its last round: it was let go
        if not self.established:
            self.established = True
            return [Elected(self.ballot), RoundCommitted(pending.number)]
        return [RoundCommitted(pending.number)]

    # -- the disk

    def _persist(self, writes: Writes, then: tuple[Send, ...], *, whole: bool = False) -> Actions:
        self.writes += 1
        persist = Persist(self.writes, self.group, self.promised, self.version, writes, whole, then)
        if not self.guards.sync:
            return [*then, persist._replace(then=())]
        return [persist]
