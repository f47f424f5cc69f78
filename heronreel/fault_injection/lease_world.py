"""Two holders of one task, a group and a guarded place, around the real `LeaseClient`, `Claim`,
`KeyValueService` and `FencingGuard`.

The group answers as one (that it does is `group_world`'s to show); a step may also make it change its
leader. Questions and answers may be late, doubled or lost.  Time goes on in steps of a second, seen by the
holders' clocks slower and by the group's faster by `drift`.  A holder looks whether it may act, and its
action reaches the place at any later time, or within the margin where nothing holds it up.

The judge looks from outside: never may two act; nothing of a holder may be taken after something of a later
one; and an action that was not held up is over before the next holder acts.
"""

from __future__ import annotations

import copy
from collections.abc import Hashable, Iterator
from typing import NamedTuple

import msgspec
from immutables import Map

from heronreel.coordination.actions import Actions as MemberActions
from heronreel.coordination.actions import Persist
from heronreel.coordination.consensus import ConsensusMember
from heronreel.coordination.kv_service import KeyValueService, Outputs
from heronreel.coordination.member_state import DurableState, Timing
from heronreel.coordination.model import LeaseKeepAlive, Request, ResponseOrError
from heronreel.coordination.request_batch import RequestCompleted
from heronreel.fault_injection.explore import InvariantViolationError
from heronreel.leases.fencing import FencingGuard
from heronreel.leases.lease import (
    Actions,
    Claim,
    ClaimAcquired,
    ClaimLost,
    LeaseClient,
    LeaseTerms,
    SendRequest,
)

KEY = b"held/task"
NAME = b"task"
SECONDS_MOST = 1e9


class Guarded(NamedTuple):
    """What keeps the promises; taken out one by one."""

    fence: bool = True
    enter: bool = True  # a new holder enters the place before it acts
    margin: bool = True
    drift: bool = True  # the group allows for clocks that differ
    grows: bool = True  # numbers grow


class Limits(NamedTuple):
    seconds: int = 7  # of true time
    questions: tuple[int, int] = (1, 6)  # that each holder puts
    actions: int = 2
    changes: int = 1  # of the leader


class Flying(NamedTuple):
    """An action on its way to the place."""

    holder: int
    number: int
    begun: int  # true seconds
    turn: int


class Question(NamedTuple):
    holder: int
    number: int
    request: Request


class Reply(NamedTuple):
    holder: int
    number: int
    answer: ResponseOrError


class LeaseWorld:
    """One state of the world."""

    def __init__(
        self, limits: Limits, guarded: Guarded, *, drift: float = 0.1, true_drift: float | None = None
    ) -> None:
        """`drift` is what the group allows for; clocks are off by `true_drift`, which may be more."""
        self.limits = limits
        self.guarded = guarded
        self.drift = drift
        self.off = drift if true_drift is None else true_drift
        self.time = 0
        terms = LeaseTerms(ttl=4, margin=1.0, answer=1.0, guarded=guarded.margin)
        self.sessions: tuple[LeaseClient, ...] = ()
        for holder in range(2):
            session = LeaseClient(terms, 0.0, _Lease(holder))
            session.claim(KEY, b"%d" % holder)
            self.sessions = (*self.sessions, session)
        self.entered: tuple[int, int] = (0, 0)  # the number that each holder has entered the place with
        self.group = self._group(DurableState("a1"))
        self.sent: frozenset[Question | Reply] = frozenset()
        self.flying: frozenset[Flying] = frozenset()
        self.fence: Map[bytes, int] = Map()
        self.turns: tuple[int, int] = (0, 0)  # the judge's: whose turn it is, counted over all grants
        self.acted = 0  # the latest turn of which something was taken
        self._prepare()

    def _prepare(self) -> None:
        """Begin where the first holds the task and has entered the place, and the second wants it: all orders
        from there on are looked at.
        """
        for holder, session in enumerate(self.sessions):
            actions = session.tick(0.0)
            while actions:
                asks = [action for action in actions if isinstance(action, SendRequest)]
                actions = []
                for ask in asks:
                    outputs = self.group.submit(0.0, 1, ask.request, SECONDS_MOST)
                    for answered in self._settle(self.group, outputs):
                        actions += session.answered(0.0, ask.number, answered.response)
                self._hold(holder, [action for action in actions if not isinstance(action, SendRequest)])
        number = self.sessions[0].claims[0].acts(0.0)
        assert number
        self.fence = Map({NAME: number})
        self.entered = (number, 0)

    def _group(self, disk: DurableState) -> KeyValueService:
        member = ConsensusMember("a", ("a",), disk, 0.0, timing=Timing(0.0, 0.0, 0.0, 1e9))
        service = KeyValueService(member, drift=self.drift if self.guarded.drift else 0.0)
        self._settle(service, service.tick(self.group_time()))
        return service

    def group_time(self) -> float:
        return self.time * (1 + self.off)

    def holder_time(self, holder: int) -> float:
        return self.time * (1 - self.off)

    def _settle(self, service: KeyValueService, outputs: Outputs) -> list[RequestCompleted]:
        """Let the group do all at once: its disk is durable where it writes."""
        answered: list[RequestCompleted] = []
        queue = list(outputs)
        while queue:
            output = queue.pop(0)
            if isinstance(output, Persist):
                actions: MemberActions = service.member.persisted(self.group_time(), output.number)
                queue += service.handle_actions(self.group_time(), actions)
            elif isinstance(output, RequestCompleted):
                answered.append(output)
        return answered

    def fork(self) -> LeaseWorld:
        world = object.__new__(LeaseWorld)
        world.__dict__.update(self.__dict__)
        world.sessions = tuple(_forked(session) for session in self.sessions)
        world.group = self.group.fork()
        return world

    def key(self) -> Hashable:
        rows = []
        for session in self.sessions:
            (claim,) = session.claims
            rows.append((
                session.lease, session.granted, session.until, session.due, session.number, session.asked,
                session.pause.failures, claim.number, claim.due, claim.asked, claim.pause.failures,
            ))  # fmt: skip
        group = self.group
        return (
            tuple(rows), self.entered, self.time, self.limits, self.sent, self.flying, self.fence, self.acted,
            self.turns,
            group.state.keys, group.state.leases, group.lease_deadlines.by_lease, group.state.revision,
        )  # fmt: skip

    # -- steps

    def steps(self) -> Iterator[tuple[str, LeaseWorld]]:
        limits = self.limits
        if limits.seconds:
            yield self._checked("a second goes by", self._second())
        for message in self.sent:
            if isinstance(message, Question):
                words = f"the group is asked by {message.holder}: {type(message.request).__name__}"
                yield self._checked(words, self._asked(message))
            else:
                words = f"{message.holder} is answered: {_told(message.answer)}"
                yield self._checked(words, self._answered(message))
        for holder, session in enumerate(self.sessions):
            (claim,) = session.claims
            number = claim.acts(self.holder_time(holder))
            if number and number != self.entered[holder] and self.guarded.enter:
                yield self._checked(f"{holder} enters the place with {number}", self._enter(holder, number))
            elif number and limits.actions and not any(each.holder == holder for each in self.flying):
                yield self._checked(f"{holder} looks, and begins an action", self._look(holder, number))
        for action in self.flying:
            yield self._checked(f"the action of {action.holder} reaches the place", self._reach(action))
        if limits.changes:
            world = self.fork()
            world.limits = limits._replace(changes=limits.changes - 1)
            member = self.group.member
            disk = DurableState("a1", member.group_id, member.promised, member.version, member.content)
            world.group = world._group(disk)
            yield self._checked("the group's leader changes", world)

    def _checked(self, words: str, world: LeaseWorld | str) -> tuple[str, LeaseWorld]:
        if isinstance(world, str):
            raise InvariantViolationError(world, words)
        world.sent = frozenset(message for message in world.sent if world._matters(message))
        acting = [
            holder for holder, session in enumerate(world.sessions)
            if session.claims[0].acts(world.holder_time(holder))
        ]  # fmt: skip
        if len(acting) > 1:
            raise InvariantViolationError("two act at once", words)
        return words, world

    def _matters(self, message: Question | Reply) -> bool:
        """An answer nobody waits for does nothing; a question may, however late it comes."""
        session = self.sessions[message.holder]
        waited = [claim.asked[0] for claim in session.claims if claim.asked is not None]
        if session.asked is not None:
            waited.append(session.asked[0])
        return (isinstance(message, Question) and not isinstance(message.request, LeaseKeepAlive)) or (
            message.number in waited
        )

    def _second(self) -> LeaseWorld:
        world = self.fork()
        world.time += 1
        world.limits = self.limits._replace(seconds=self.limits.seconds - 1)
        world._settle(world.group, world.group.tick(world.group_time()))
        for holder in range(2):
            world._hold(holder, world.sessions[holder].tick(world.holder_time(holder)))
        return world

    def _hold(self, holder: int, actions: Actions) -> None:
        """What a holder does."""
        for action in actions:
            if isinstance(action, SendRequest) and self.limits.questions[holder]:
                first, second = self.limits.questions
                left = (first - 1, second) if holder == 0 else (first, second - 1)
                self.limits = self.limits._replace(questions=left)
                self.sent |= {Question(holder, action.number, action.request)}
            elif isinstance(action, ClaimAcquired):
                turn = max(self.turns)
                if self.turns[holder] < turn or not turn:  # not the same grant, seen again
                    turn += 1
                self.turns = (turn, self.turns[1]) if holder == 0 else (self.turns[0], turn)
                if not self.guarded.grows:
                    self.sessions[holder].claims[0].number = 1
            elif isinstance(action, ClaimLost):
                self.entered = (0, self.entered[1]) if holder == 0 else (self.entered[0], 0)

    def _asked(self, question: Question) -> LeaseWorld:
        world = self.fork()
        now = world.group_time()
        outputs = world.group.submit(now, 1, question.request, now + SECONDS_MOST)
        for answered in world._settle(world.group, outputs):
            world.sent |= {Reply(question.holder, question.number, answered.response)}
        return world

    def _answered(self, reply: Reply) -> LeaseWorld:
        world = self.fork()
        now = world.holder_time(reply.holder)
        session = world.sessions[reply.holder]
        actions = session.answered(now, reply.number, reply.answer)
        world._hold(reply.holder, actions + session.tick(now))
        return world

    def _enter(self, holder: int, number: int) -> LeaseWorld:
        world = self.fork()
        fence = FencingGuard(self.fence.items())
        verdict = fence.admit(NAME, number)
        if verdict.admitted:
            world.fence = Map(fence.greatest)
            world.entered = (number, self.entered[1]) if holder == 0 else (self.entered[0], number)
        return world

    def _look(self, holder: int, number: int) -> LeaseWorld:
        world = self.fork()
        world.limits = self.limits._replace(actions=self.limits.actions - 1)
        world.flying = self.flying | {Flying(holder, number, self.time, self.turns[holder])}
        return world

    def _reach(self, action: Flying) -> LeaseWorld | str:
        world = self.fork()
        world.flying = self.flying - {action}
        fence = FencingGuard(self.fence.items())
        if self.guarded.fence and not fence.admit(NAME, action.number).admitted:
            return world
        world.fence = Map(fence.greatest) if self.guarded.fence else self.fence
        other = 1 - action.holder
        if action.turn < self.acted:
            return f"an action of {action.holder} is taken after {other} has acted"
        held = self.sessions[other].claims[0].acts(self.holder_time(other))
        quick = self.time == action.begun or (self.time - action.begun) * (1 - self.off) <= 1.0
        if held and quick and (self.entered[other] == held or not self.guarded.enter):
            return f"an action of {action.holder}, not held up, ends while {other} acts"
        world.acted = action.turn
        return world


class _Lease:
    """Numbers of leases: another for each holder and time."""

    def __init__(self, holder: int) -> None:
        self.next = 100 * (holder + 1)

    def __call__(self) -> int:
        self.next += 1
        return self.next


def _forked(session: LeaseClient) -> LeaseClient:
    fresh = copy.copy(session)
    fresh.pause = copy.copy(session.pause)
    fresh.draw = copy.copy(session.draw)
    fresh.claims = []
    for claim in session.claims:
        again: Claim = copy.copy(claim)
        again.session = fresh
        again.pause = copy.copy(claim.pause)
        fresh.claims.append(again)
    return fresh


def _told(answer: ResponseOrError) -> str:
    kind = type(answer).__name__
    if isinstance(answer, msgspec.Struct):
        return kind
    return f"{kind}{tuple(answer)[:3]}" if isinstance(answer, tuple) else f"{kind}: {answer}"
