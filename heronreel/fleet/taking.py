"""One operation's way to a part of the allowance, and back.  Pure: events and time in, actions out.

A part is taken before anything is done, by a transaction on the register as it was read, and given back only
on evidence that the instance serves: a look of its owner after the last act, by an owner that knows the
number under which it is given back, so that no older operation can act on it any more.  No part ends by
time.  Whoever dies leaves it, and whoever follows finds out what became of the instance and takes it over.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from heronreel.coordination.model import (
    Compare,
    CompareOperator,
    CompareTarget,
    DeleteRange,
    Operation,
    Put,
    ResponseOrError,
    Txn,
    TxnResponse,
)
from heronreel.fleet.account import READ, Account, Standing, read
from heronreel.fleet.model import HALT, REGISTER, Condition, Halt, Instance, Part, encoded
from heronreel.leases.backoff import JitteredBackoff
from heronreel.leases.requests import SendRequest, SingleRequestSender


class Guards(NamedTuple):
    """What keeps the promise; taken out one by one by tests that have to fail then."""

    register: bool = True  # a part is taken only while all is as it was read
    losses: bool = True  # what is lost or unknown counts as out
    evidence: bool = True  # a part is given back only on a look after the last act
    entered: bool = True  # and only where the owner knows the number by then
    halted: bool = True  # nothing is taken while a halt stands


ALL = Guards()


class Taken(NamedTuple):
    """The parts are this operation's: it may act on the instances, under its number."""

    idents: tuple[str, ...]


class Refused(NamedTuple):
    """Not now: which rules are against it, which instances another operation has, which nobody knows."""

    against: tuple[Standing, ...]
    others: tuple[Part, ...]
    unheard: tuple[str, ...]
    halted: Halt | None = None

    def __str__(self) -> str:
        told = [str(standing) for standing in self.against]
        told += [f"{part.ident} is taken: {part.why} by {part.by}" for part in self.others]
        told += [f"{ident}: nobody told of it" for ident in self.unheard]
        if self.halted:
            told.append(f"halted by {self.halted.by}: {self.halted.why}")
        return "; ".join(told)


class Back(NamedTuple):
    """The part is given back: the instance serves."""

    ident: str


class Waiting(NamedTuple):
    """The part stays taken: what is known of the instance is no evidence that it serves."""

    ident: str
    condition: Condition


class Fenced(NamedTuple):
    """A newer operation has the part: nothing more is done here."""

    part: Part


Action = SendRequest | Taken | Refused | Back | Waiting | Fenced
Actions = list[Action]


class Phase(enum.Enum):
    IDLE = "idle"
    READING = "reading"
    WRITING = "writing"


class Wish(enum.Enum):
    NOTHING = "nothing"
    TAKE = "take"
    GIVE = "give"


class Taking(SingleRequestSender):
    """An operation on some instances: all of their parts are taken together or none."""

    def __init__(
        self,
        operation: str,
        by: str,
        why: str,
        number: int,
        idents: tuple[str, ...],
        *,
        answer_s: float = 1.0,
        jitter: Callable[[], float] = lambda: 0.5,
        guards: Guards = ALL,
    ) -> None:
        self.operation = operation
        self.by = by
        self.why = why
        self.number = number
        self.idents = idents
        super().__init__(answer_s)
        self.guards = guards
        self.pause = JitteredBackoff(jitter)
        self.phase = Phase.IDLE
        self.wish = Wish.NOTHING
        self.giving = ""  # the instance whose part is to be given back
        self.beyond = 0  # looks up to this one are no evidence
        self.due = 0.0

    def wake(self) -> float:
        if self.in_flight is not None:
            return self.in_flight.sent_at + self.response_timeout_s
        return float("inf") if self.wish is Wish.NOTHING else self.due

    def take(self, now: float) -> Actions:
        self.wish = Wish.TAKE
        self.due = now
        return self.tick(now)

    def give(self, now: float, ident: str, beyond: int = 0) -> Actions:
        """Give one part back, if there is evidence: a look with a greater count than `beyond`, which is the
        owner's count when it did what it was last told.
        """
        self.wish, self.giving, self.beyond = Wish.GIVE, ident, beyond
        self.due = now
        return self.tick(now)

    def tick(self, now: float) -> Actions:
        if self._timed_out(now):
            self._again(now)
        if self.in_flight is not None:
            return []
        if self.wish is Wish.NOTHING or now < self.due:
            return []
        self.phase = Phase.READING
        return [self._send(now, READ)]

    def _again(self, now: float) -> None:
        """Whatever became of the question, the records say."""
        self.in_flight = None
        self.phase = Phase.IDLE
        self.due = now + self.pause.next_delay()

    def answered(self, now: float, number: int, answer: ResponseOrError) -> Actions:
        if not self._is_in_flight(number):
            return []
        reading = self.phase is Phase.READING
        self._again(now)
        if not isinstance(answer, TxnResponse):
            return []
        if not reading:
            self.due = now  # done, or another was faster: the records say which
            return []
        try:
            account = read(answer)
        except msgspec.DecodeError:
            return []  # nothing is taken from an account that can't be read
        self.pause.reset()
        return self._take(now, account) if self.wish is Wish.TAKE else self._give(now, account)

    def _settled(self, *actions: Action) -> Actions:
        self.wish = Wish.NOTHING
        return list(actions)

    def _ours(self, part: Part | None) -> bool:
        return part is not None and part.operation == self.operation and part.number <= self.number

    def _take(self, now: float, account: Account) -> Actions:
        parts = [account.parts.get(ident) for ident in self.idents]
        if all(self._ours(part) for part in parts):
            return self._settled(Taken(self.idents))
        newer = [part for part in parts if part is not None and part.number > self.number]
        if newer:
            return self._settled(Fenced(newer[0]))
        others = tuple(part for part in parts if part is not None and part.operation != self.operation)
        wanted = [ident for ident in self.idents if ident not in account.parts]
        seen = account if self.guards.losses else _blind(account)
        against = tuple(seen.against(wanted))
        unheard = tuple(account.unheard(wanted))
        halted = account.halted if self.guards.halted else None
        if others or against or unheard or halted:
            return self._settled(Refused(against, others, unheard, halted))
        puts: list[Operation] = []
        for ident in wanted:
            part = Part(
                ident, self.operation, self.by, self.why, self.number,
                account.instances[ident].looked, account.register,
            )  # fmt: skip
            puts.append(Put(part.key, encoded(part)))
        return self._write(now, account, puts)

    def _write(self, now: float, account: Account, operations: list[Operation]) -> Actions:
        self.phase = Phase.WRITING
        register = account.register if self.guards.register else None
        return [self._send(now, changing(register, self.operation.encode(), *operations))]

    def _give(self, now: float, account: Account) -> Actions:
        part = account.parts.get(self.giving)
        if part is None:
            return self._settled(Back(self.giving))
        if not self._ours(part):
            return self._settled(Fenced(part))
        instance = account.instances.get(self.giving)
        if not self._proved(instance, part):
            condition = Condition.UNKNOWN if instance is None else instance.condition
            return self._settled(Waiting(self.giving, condition))
        return self._write(now, account, [DeleteRange(part.key)])

    def _proved(self, instance: Instance | None, part: Part) -> bool:
        """Whether its owner saw the instance serve after all that was done to it."""
        if instance is None or not instance.condition.serves:
            return False
        if self.guards.evidence and instance.looked <= max(part.looked, self.beyond):
            return False
        return instance.number >= self.number or not self.guards.entered


def changing(register: int | None, word: bytes, *operations: Operation) -> Txn:
    """A change of the account's records, and of the register with them, so that whatever rests on the records
    as they were is not done.  It is done itself only while the register is as it was read; None: in any case.
    """
    same = (
        () if register is None else (Compare(REGISTER, CompareTarget.MOD, CompareOperator.EQUAL, register),)
    )
    return Txn(same, (*operations, Put(REGISTER, word)))


def take_over(part: Part, operation: str, by: str, number: int) -> Part:
    """A part of somebody who is gone, for whoever finds out what became of the instance.  Raises ValueError
    for a number that is not newer.
    """
    if number <= part.number:
        raise ValueError(f"number {number} takes nothing over from number {part.number}")
    return msgspec.structs.replace(part, operation=operation, by=by, number=number)


def halting(halt: Halt | None) -> Txn:
    """Put a halt in force, or lift it: a part that was about to be taken on what was read before is not."""
    return changing(None, b"halt", DeleteRange(HALT) if halt is None else Put(HALT, encoded(halt)))


def told(register: int, instance: Instance) -> Txn:
    """An owner tells of a look at its instance; done only while the register is as it was before the look,
    so that a look is never told over a newer one.
    """
    return changing(register, b"look", Put(instance.key, encoded(instance)))


def _blind(account: Account) -> Account:
    """As if everybody served who is not taken: for tests that have to fail."""
    serving = {
        ident: msgspec.structs.replace(instance, condition=Condition.SERVING)
        for ident, instance in account.instances.items()
    }
    return account._replace(instances=serving)
