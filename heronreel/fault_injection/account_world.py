"""Two operations, two instances of which one may be out, and a group, around the real `Account` and `Taking`.

Commands to owners, questions to the group and what owners tell may be late; an operation may die, and
another take its part over; an instance may be lost.  Time-outs come at any moment.

The judge looks at the instances themselves: never are more out by what they were told than may be, and once
a loss is in the records nothing that is planned begins.
"""

from __future__ import annotations

import copy
from collections.abc import Hashable, Iterator
from typing import NamedTuple

import msgspec

from heronreel.coordination.keyspace import EMPTY_CONTENT, Keyspace
from heronreel.coordination.model import Put, RequestError, ResponseOrError, Txn
from heronreel.fault_injection.explore import Broken
from heronreel.fleet.model import (
    PARTS,
    REGISTER,
    RULES,
    Condition,
    Halt,
    Instance,
    Kind,
    Part,
    Rule,
    rules_encoded,
)
from heronreel.fleet.taking import Actions, Back, Guards, Taken, Taking, halting, take_over, told
from heronreel.leases.requests import SendRequest

RULE = Rule("one", Kind.PROXY, most_out=1)
IDENTS = ("proxy/x", "proxy/y")


class Budget(NamedTuple):
    """How often each thing may still happen."""

    wishes: str = "01"  # operations that want their part: each as often as it stands here
    looks: int = 3
    losses: int = 0
    deaths: int = 0  # of operations, each followed by a new one
    halts: int = 0
    asks: int = 12


class Owner(NamedTuple):
    """One instance as it is, and what its owner keeps."""

    fence: tuple[int, int] = (0, 0)  # the greatest number, and the order under it
    looked: int = 0
    out: bool = False  # as it was told
    lost: bool = False
    telling: Txn | None = None  # a look on its way to the records


class Command(NamedTuple):
    """On its way to an owner."""

    number: int
    ident: str
    out: bool


class Question(NamedTuple):
    by: int  # the operation's number; 0: nobody waits
    request: Txn


class Reply(NamedTuple):
    by: int
    answer: ResponseOrError


class Operation(NamedTuple):
    """One operation on one instance."""

    taking: Taking
    stage: str = "begun"  # wants, has, ordered out, ordered back, done
    beyond: int = 0


class AccountWorld:
    """One state of the world."""

    def __init__(self, budget: Budget, guards: Guards, *, ordered: bool = True) -> None:
        """`ordered`: owners refuse an order that was overtaken; taken out by a test that has to fail then."""
        self.ordered = ordered
        self.budget = budget
        self.guards = guards
        state = Keyspace.of(EMPTY_CONTENT).apply(Put(RULES, rules_encoded((RULE,)))).state
        for ident in IDENTS:
            instance = Instance(Kind.PROXY, ident.partition("/")[2], condition=Condition.SERVING)
            state = state.apply(Put(instance.key, msgspec.json.encode(instance))).state
        self.state = state.apply(Put(REGISTER, b"")).state
        self.owners: tuple[Owner, ...] = (Owner(), Owner())
        self.operations: tuple[Operation, ...] = tuple(
            Operation(self._taking(number + 1, ident)) for number, ident in enumerate(IDENTS)
        )
        self.sent: frozenset[Question | Reply | Command] = frozenset()
        self.loss_told = ""  # the instance whose loss the records have
        self.halted = False

    def _taking(self, number: int, ident: str) -> Taking:
        return Taking(f"o{number}", "x", "drain", number, (ident,), guards=self.guards)

    def fork(self) -> AccountWorld:
        world = object.__new__(AccountWorld)
        world.__dict__.update(self.__dict__)
        return world

    def key(self) -> Hashable:
        rows = [
            (each.stage, each.beyond, each.taking.number, each.taking.phase.value, each.taking.wish.value,
             each.taking.in_flight is not None)
            for each in self.operations
        ]  # fmt: skip
        return tuple(rows), self.owners, self.sent, self.state.keys, self.budget, self.loss_told, self.halted

    def steps(self) -> Iterator[tuple[str, AccountWorld]]:
        if self.budget.halts:
            world = self.fork()
            world.budget = self.budget._replace(halts=self.budget.halts - 1)
            world.state = self.state.apply(halting(Halt("x", "enough"))).state
            world.halted = True
            yield "somebody halts", world
        for place, operation in enumerate(self.operations):
            yield from self._of_operation(place, operation)
        for place, owner in enumerate(self.owners):
            yield from self._of_owner(place, owner)
        for message in self.sent:
            if isinstance(message, Question):
                words = f"the group is asked by {message.by or 'somebody gone'}"
                yield self._checked(words, self._asked(message))
            elif isinstance(message, Reply):
                yield self._checked(f"{message.by} is answered", self._answered(message))
            else:
                yield from self._commanded(message)

    def _of_operation(self, place: int, operation: Operation) -> Iterator[tuple[str, AccountWorld]]:
        taking, number = operation.taking, operation.taking.number
        ident = taking.idents[0]
        if operation.stage == "begun" and str(place) in self.budget.wishes:
            world = self.fork()
            world.budget = self.budget._replace(wishes=self.budget.wishes.replace(str(place), "", 1))
            again = copy.copy(taking)
            world._carry_out(place, operation._replace(taking=again, stage="wants"), again.take(0.0))
            yield f"{number} wants {ident}", world
        if operation.stage in ("has", "out"):
            world = self.fork()
            out = operation.stage == "has"
            world.sent = self.sent | {Command(number, ident, out)}
            world._put(place, operation._replace(stage="out" if out else "back"))
            yield f"{number} orders {ident} {'out' if out else 'back'}", world
        if operation.stage == "back" and taking.in_flight is None and self.budget.asks:
            world = self.fork()
            again = copy.copy(taking)
            actions = again.give(again.due, ident, operation.beyond)
            world._carry_out(place, operation._replace(taking=again), actions)
            yield f"{number} gives {ident} back", world
        if taking.in_flight is not None and self.budget.asks:
            world = self.fork()
            world._forget(number)
            again = copy.copy(taking)
            actions = again.tick(again.wake())
            world._carry_out(place, operation._replace(taking=again), actions)
            yield f"{number} gets no answer", world
        elif taking.wish.value != "nothing" and taking.in_flight is None and self.budget.asks:
            world = self.fork()
            again = copy.copy(taking)
            world._carry_out(place, operation._replace(taking=again), again.tick(again.due))
            yield f"{number} asks", world
        if operation.stage != "begun" and self.budget.deaths:
            yield self._checked(f"{number} dies, and another takes over", self._died(place, operation))

    def _died(self, place: int, operation: Operation) -> AccountWorld:
        """A new operation with a greater number has the part, if there is one; it begins with going back."""
        world = self.fork()
        world.budget = self.budget._replace(deaths=self.budget.deaths - 1)
        world._forget(operation.taking.number)
        number = max(each.taking.number for each in self.operations) + 1
        ident = operation.taking.idents[0]
        fresh = Operation(world._taking(number, ident), "out")
        record = self.state.keys.get(PARTS + ident.encode())
        if record is not None:
            part = take_over(msgspec.json.decode(record.value, type=Part), f"o{number}", "x", number)
            world.state = self.state.apply(Put(part.key, msgspec.json.encode(part))).state
            world.state = world.state.apply(Put(REGISTER, b"over")).state
        else:
            fresh = fresh._replace(stage="done")
        world._put(place, fresh)
        return world

    def _of_owner(self, place: int, owner: Owner) -> Iterator[tuple[str, AccountWorld]]:
        ident = IDENTS[place]
        if self.budget.losses and not owner.lost:
            world = self.fork()
            world.budget = self.budget._replace(losses=self.budget.losses - 1)
            world._own(place, owner._replace(lost=True))
            yield f"{ident} is lost", world
        if self.budget.looks and owner.telling is None:
            world = self.fork()
            world.budget = self.budget._replace(looks=self.budget.looks - 1)
            condition = Condition.FAILED if owner.lost else Condition.OUT if owner.out else Condition.SERVING
            looked = owner.looked + 1
            name = ident.partition("/")[2]
            seen = Instance(Kind.PROXY, name, condition=condition, looked=looked, number=owner.fence[0])
            telling = told(self.state.keys[REGISTER].mod, seen)
            world._own(place, owner._replace(looked=looked, telling=telling))
            yield f"the owner of {ident} looks: {condition.value}", world
        if owner.telling is not None:
            world = self.fork()
            world._own(place, owner._replace(telling=None))
            before = world.state
            world.state = before.apply(owner.telling).state
            if owner.lost and world.state is not before and b"failed" in repr(owner.telling).encode():
                world.loss_told = ident if world.state.keys[REGISTER].mod != before.keys[REGISTER].mod else ""
            yield f"the owner of {ident} tells of its look", world

    def _commanded(self, command: Command) -> Iterator[tuple[str, AccountWorld]]:
        place = IDENTS.index(command.ident)
        owner = self.owners[place]
        world = self.fork()
        world.sent = self.sent - {command}
        word = f"the owner of {command.ident} is told by {command.number}: {'out' if command.out else 'back'}"
        # an operation's own orders may overtake one another as well
        order = (command.number, 1 if command.out else 2) if self.ordered else (command.number, 0)
        if order < owner.fence:
            yield word, world  # fenced
            return
        world._own(place, owner._replace(fence=order, out=command.out))
        for number, operation in enumerate(world.operations):
            if operation.taking.number == command.number and not command.out:
                world._put(number, operation._replace(beyond=owner.looked))
        yield self._checked(word, world)

    # -- what follows

    def _put(self, place: int, operation: Operation) -> None:
        self.operations = (*self.operations[:place], operation, *self.operations[place + 1 :])

    def _own(self, place: int, owner: Owner) -> None:
        self.owners = (*self.owners[:place], owner, *self.owners[place + 1 :])

    def _forget(self, number: int) -> None:
        kept = {each for each in self.sent if isinstance(each, Command) or each.by != number}
        for each in self.sent - kept:
            if isinstance(each, Question) and each.request.writes:
                kept.add(Question(0, each.request))
        self.sent = frozenset(kept)

    def _carry_out(self, place: int, operation: Operation, actions: Actions) -> None:
        for action in actions:
            if isinstance(action, SendRequest):
                assert isinstance(action.request, Txn)
                self.budget = self.budget._replace(asks=max(0, self.budget.asks - 1))
                self.sent |= {Question(operation.taking.number, action.request)}
            elif isinstance(action, Taken):
                operation = operation._replace(stage="has")
            elif isinstance(action, Back):
                operation = operation._replace(stage="done")
        self._put(place, operation)

    def _asked(self, question: Question) -> AccountWorld:
        world = self.fork()
        world.sent = self.sent - {question}
        answer: ResponseOrError
        try:
            applied = self.state.apply(question.request)
            world.state, answer = applied.state, applied.result
        except RequestError as refused:
            answer = refused
        if question.by:
            world.sent |= {Reply(question.by, answer)}
        fresh = [key for key in world.state.keys if key.startswith(PARTS) and key not in self.state.keys]
        if self.loss_told and any(key != PARTS + self.loss_told.encode() for key in fresh):
            raise Broken("a part was taken though a loss was known", "the group is asked")
        if self.halted and fresh:
            raise Broken("a part was taken after the halt", "the group is asked")
        return world

    def _answered(self, reply: Reply) -> AccountWorld:
        world = self.fork()
        world.sent = self.sent - {reply}
        for place, operation in enumerate(self.operations):
            taking = operation.taking
            if taking.number == reply.by and taking.in_flight is not None:
                again = copy.copy(taking)
                actions = again.answered(taking.in_flight.sent_at, taking.in_flight.request_id, reply.answer)
                world._carry_out(place, operation._replace(taking=again), actions)
        return world

    def _checked(self, words: str, world: AccountWorld) -> tuple[str, AccountWorld]:
        rows = zip(IDENTS, world.owners, strict=True)
        out = [ident for ident, owner in rows if owner.out and not owner.lost]
        if len(out) > 1:
            raise Broken(f"{' and '.join(out)} are out", words)
        return words, world
