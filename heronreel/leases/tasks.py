"""Fleet-wide tasks: who does one, in which order, and where a successor goes on.  Pure, as the cores below
it.

A task is done in steps.  Its cursor is an agreed key: a step is *begun* there before it is done and
*confirmed* behind it, each by a transaction that holds only while the claim has the number it is done
under.  Whoever follows goes on behind the last confirmed step and does a begun one again: what a step does
must be harmless when done twice, or be fenced where it acts.  A step that three holders began and none
confirmed sets the task aside, until somebody gives it back.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable
from typing import NamedTuple

import msgspec
import xxhash

from heronreel.coordination.model import (
    Compare,
    CompareOperator,
    CompareTarget,
    Put,
    Range,
    RangeResponse,
    ResponseOrError,
    Txn,
    TxnResponse,
)
from heronreel.leases.lease import CLAIM_PREFIX, SendRequest, SingleRequestSender

CURSOR_PREFIX = b"task/"
TRIES_MOST = 3  # holders that begin a step and do not confirm it
RANK_S = 0.5  # that each one behind the first in a task's order waits before it wants the task
AGEING_S = 30.0  # of waiting lift a task by one class


class Priority(enum.IntEnum):
    """Classes, the most urgent first."""

    URGENT = 0
    USUAL = 1
    IDLE = 2


class Task(msgspec.Struct, frozen=True):
    """What is to be done: a step every `period_s`, or whenever it is triggered with 0."""

    name: str
    period_s: float = 0.0
    urgency: Priority = Priority.USUAL
    step_s: float = 30.0  # a step that takes longer counts as not done
    turns: bool = False  # whoever did a step leaves the next one to others; each comes once a period
    zone: str = ""  # only those there in this zone do it; "": all
    deadline_s: float = 0.0  # a step is late that is not confirmed so long after it was due; 0: never

    @property
    def key(self) -> bytes:
        return CURSOR_PREFIX + self.name.encode()

    @property
    def claim(self) -> bytes:
        return CLAIM_PREFIX + self.name.encode()


class Cursor(msgspec.Struct, frozen=True):
    """Where a task is."""

    step: int = 0  # the last one confirmed
    begun: int = 0  # the one begun and not confirmed; 0: none
    tries: int = 0  # holders that began it
    number: int = 0  # the grant that wrote this
    by: str = ""
    aside: bool = False
    late: int = 0  # steps that were confirmed behind their deadline


def encode_cursor(cursor: Cursor) -> bytes:
    return msgspec.json.encode(cursor)


def decode_cursor(data: bytes) -> Cursor:
    """Raises msgspec.DecodeError for what is no cursor."""
    return msgspec.json.decode(data, type=Cursor)


def rendezvous_order(task: str, present: Iterable[str]) -> list[str]:
    """Those present in the order in which they should do a task: by rendezvous, so that tasks spread, and
    that one who comes or goes moves no task but those that become or were its own.
    """
    return sorted(present, key=lambda name: (-xxhash.xxh3_64_intdigest(f"{task}\0{name}".encode()), name))


def standby_delay(task: str, name: str, present: Iterable[str]) -> float:
    """Seconds that `name` leaves to those before it; those who are not there are not waited for."""
    order = rendezvous_order(task, {*present, name})
    return order.index(name) * RANK_S


def next_task(due: Iterable[tuple[Task, float]], now: float) -> Task | None:
    """Which of the tasks that are due since then is done next: by class, but who waits long enough rises,
    and who is half on the way to its deadline is urgent.
    """
    rows = []
    for task, since in due:
        waited = now - since
        pressed = task.deadline_s and waited >= task.deadline_s / 2
        urgency = min(task.urgency, Priority.URGENT) if pressed else task.urgency
        rows.append((urgency - waited / AGEING_S, since, task.name, task))
    return min(rows)[-1] if rows else None


class RunStep(NamedTuple):
    """Do this step under this number, and tell `done` or `failed`."""

    task: str
    step: int
    number: int


class StepConfirmed(NamedTuple):
    """The step is confirmed: nobody does it again."""

    task: str
    step: int
    late_s: float = 0.0  # behind its deadline


class TaskSuspended(NamedTuple):
    """The task is not done any more until it is given back."""

    task: str
    step: int
    tries: int


class TaskReleased(NamedTuple):
    """The task is another's by now; nothing of it is done here."""

    task: str
    number: int


Action = SendRequest | RunStep | StepConfirmed | TaskSuspended | TaskReleased
Actions = list[Action]


class Phase(enum.Enum):
    READING = "reading"  # the cursor
    WAITING = "waiting"  # for the next step's time
    BEGINNING = "beginning"  # the step is being written down
    DOING = "doing"
    CONFIRMING = "confirming"
    OVER = "over"


class TaskProgress(SingleRequestSender):
    """One held task, from the grant to its loss."""

    def __init__(
        self, task: Task, number: int, by: str, now: float, *, answer_s: float = 1.0, fenced: bool = True
    ) -> None:
        """`number` is the claim's.  `fenced` is taken out by a test that has to fail then."""
        self.task = task
        self.number = number
        self.by = by
        super().__init__(answer_s)
        self.fenced = fenced
        self.phase = Phase.READING
        self.cursor = Cursor()
        self.seen = 0  # the cursor key's MOD revision that this rests on
        self.due = now
        self.finished = 0  # the step that was done here, and is not known to be confirmed
        self.since = now  # when the phase began
        self.began = now  # when the step under way was due

    def wake(self) -> float:
        if self.phase is Phase.OVER:
            return float("inf")
        if self.asked is not None:
            return self.asked[1] + self.answer_s
        return self.since + self.task.step_s if self.phase is Phase.DOING else self.due

    def trigger(self, now: float) -> None:
        """The next step is due now."""
        if self.phase is Phase.WAITING:
            self.due = now

    def tick(self, now: float) -> Actions:
        """Time has passed."""
        if self._late(now):
            self.asked = None  # nobody knows: the cursor tells
            self.phase = Phase.READING
        if self.asked is not None:
            return []
        if self.phase is Phase.READING and now >= self.due:
            return [self._ask(now, Range(self.task.key))]
        if self.phase is Phase.WAITING and now >= self.due:
            return self._begin(now)
        if self.phase is Phase.DOING and now >= self.since + self.task.step_s:
            self._to(Phase.OVER, now)  # it may be under way still: another tries, under a greater number
            return [TaskReleased(self.task.name, self.number)]
        return []

    def _to(self, phase: Phase, now: float) -> None:
        self.phase = phase
        self.since = now

    def _write(self, now: float, cursor: Cursor) -> Actions:
        """Only while the claim has our number, and nobody wrote the cursor since it was read."""
        ours = Compare(self.task.claim, CompareTarget.CREATE, CompareOperator.EQUAL, self.number)
        same = Compare(self.task.key, CompareTarget.MOD, CompareOperator.EQUAL, self.seen)
        compares = (ours, same) if self.fenced else ()
        self.cursor = cursor
        return [self._ask(now, Txn(compares, (Put(self.task.key, encode_cursor(cursor)),)))]

    def _begin(self, now: float) -> Actions:
        cursor = self.cursor
        again = cursor.begun and cursor.number == self.number  # ours, of which we did not know
        tries = cursor.tries if again else cursor.tries + 1 if cursor.begun else 1
        step = cursor.begun or cursor.step + 1
        if tries > TRIES_MOST:
            self._to(Phase.CONFIRMING, now)
            fresh = Cursor(cursor.step, cursor.begun, cursor.tries, self.number, self.by, True, cursor.late)
            return self._write(now, fresh)
        self._to(Phase.BEGINNING, now)
        self.began = min(now, self.due)
        fresh = Cursor(cursor.step, step, tries, self.number, self.by, late=cursor.late)
        return self._write(now, fresh)

    def done(self, now: float, step: int) -> Actions:
        """The step was done; it is confirmed next."""
        if self.phase is not Phase.DOING or step != self.cursor.begun:
            return []
        self.finished = step
        return self._confirm(now)

    def _confirm(self, now: float) -> Actions:
        self._to(Phase.CONFIRMING, now)
        late = self.cursor.late + (self._behind(now) > 0.0)
        return self._write(now, Cursor(self.finished, 0, 0, self.number, self.by, late=late))

    def _behind(self, now: float) -> float:
        """Seconds behind the deadline."""
        return max(0.0, now - self.began - self.task.deadline_s) if self.task.deadline_s else 0.0

    def failed(self, now: float, step: int) -> Actions:
        """The step was not done: it is tried again here at its next time, as the same holder's."""
        if self.phase is Phase.DOING and step == self.cursor.begun:
            self._to(Phase.READING, now)
            self.due = now + max(self.task.period_s, 1.0)
        return []

    def answered(self, now: float, number: int, answer: ResponseOrError) -> Actions:
        if not self._expects(number):
            return []
        self.asked = None
        if isinstance(answer, RangeResponse):
            return self._read(now, answer)
        if not isinstance(answer, TxnResponse):
            self._to(Phase.READING, now)
            self.due = now + 0.1
            return []
        if not answer.succeeded:
            self._to(Phase.OVER, now)
            return [TaskReleased(self.task.name, self.number)]
        self.seen = answer.revision
        return self._settled(now)

    def _settled(self, now: float) -> Actions:
        """The cursor as it was written is agreed on."""
        cursor, name = self.cursor, self.task.name
        if cursor.aside:
            self._to(Phase.OVER, now)
            return [TaskSuspended(name, cursor.begun, cursor.tries)]
        if cursor.begun:
            self._to(Phase.DOING, now)
            return [RunStep(name, cursor.begun, self.number)]
        return self._stepped(now)

    def _stepped(self, now: float) -> Actions:
        self._to(Phase.WAITING, now)
        self.finished = 0
        self.due = now + self.task.period_s if self.task.period_s else float("inf")
        return [StepConfirmed(self.task.name, self.cursor.step, self._behind(now))]

    def _read(self, now: float, found: RangeResponse) -> Actions:
        cursor = Cursor()
        self.seen = 0
        if found.records:
            record = found.records[0][1]
            self.seen = record.mod_revision
            cursor = decode_cursor(record.value)
        self.cursor = cursor
        if cursor.number > self.number:
            self._to(Phase.OVER, now)
            return [TaskReleased(self.task.name, self.number)]
        if cursor.aside:
            self._to(Phase.OVER, now)
            return [TaskSuspended(self.task.name, cursor.begun, cursor.tries)]
        if self.finished and cursor.number == self.number:
            # what was done here is not done again: it is confirmed already, or the confirmation is asked anew
            return self._stepped(now) if cursor.step >= self.finished else self._confirm(now)
        self._to(Phase.WAITING, now)
        # a successor cannot know how long ago the last step was: it begins a period, unless one is left over
        begins = cursor.begun or not cursor.step or self.task.turns
        self.due = now if begins else now + self.task.period_s
        if not self.task.period_s and not cursor.begun:
            self.due = float("inf")
        return []


def restart_suspended(cursor: Cursor) -> Cursor:
    """A task that was set aside, to be tried anew from the step at which it stood."""
    return Cursor(cursor.step, cursor.begun, 0, cursor.number, cursor.by, late=cursor.late)
