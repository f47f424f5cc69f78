"""The steps of one task while this process holds the claim on it.  No I/O; time is passed in.

Whoever holds the task next continues after the last confirmed step and runs a started one again: a step
must be idempotent, or fenced at the resource that it changes.  A step that several holders started and none
confirmed suspends the task, until an operator restarts it.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

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
from heronreel.leases.requests import SendRequest, SingleRequestSender
from heronreel.leases.tasks import Cursor, Task, decode_cursor, encode_cursor

MAX_ATTEMPTS = 3  # holders that start a step and do not confirm it
MIN_STEP_RETRY_S = 1.0
REQUEST_RETRY_S = 0.1


class RunStep(NamedTuple):
    """Run this step under this fencing token, and report `step_succeeded` or `step_failed`."""

    task: str
    step: int
    fencing_token: int


class StepConfirmed(NamedTuple):
    """The step is confirmed: nobody runs it again."""

    task: str
    step: int
    late_s: float = 0.0  # after its deadline


class TaskSuspended(NamedTuple):
    """The task is not run any more until an operator restarts it."""

    task: str
    step: int
    attempts: int


class TaskReleased(NamedTuple):
    """Nothing more of the task is run here: another process has it, or may have it."""

    task: str
    fencing_token: int


Action = SendRequest | RunStep | StepConfirmed | TaskSuspended | TaskReleased
Actions = list[Action]


class Phase(enum.Enum):
    """What a holder of a task does at the moment."""

    READING = "reading"  # the cursor
    WAITING = "waiting"  # for the next step's time
    STARTING = "starting"  # the step is being recorded
    RUNNING = "running"
    CONFIRMING = "confirming"
    ENDED = "ended"


class TaskProgress(SingleRequestSender):
    """One task, from when its claim was acquired until it is lost."""

    def __init__(
        self,
        task: Task,
        fencing_token: int,
        holder: str,
        now: float,
        *,
        response_timeout_s: float = 1.0,
        fenced: bool = True,
    ) -> None:
        """`fencing_token` is the claim's.  `fenced` is a guard: a test takes it out, and has to fail then."""
        super().__init__(response_timeout_s)
        self.task = task
        self.fencing_token = fencing_token
        self.holder = holder
        self.fenced = fenced
        self.phase = Phase.READING
        self.phase_since = now
        self.cursor = Cursor()
        self.cursor_revision = 0  # MOD revision of the cursor as read or written last
        self.due_at = now
        self.unconfirmed_step = 0  # the step that was run here, and is not known to be confirmed
        self.step_due_at = now  # when the step in progress was due

    def next_wakeup(self) -> float:
        """When `tick` has something to do, at the latest."""
        if self.phase is Phase.ENDED:
            return float("inf")
        if self.in_flight is not None:
            return self.in_flight.sent_at + self.response_timeout_s
        return self._step_timeout_at() if self.phase is Phase.RUNNING else self.due_at

    def _step_timeout_at(self) -> float:
        return self.phase_since + self.task.step_timeout_s

    def trigger(self, now: float) -> None:
        """The next step is due now."""
        if self.phase is Phase.WAITING:
            self.due_at = now

    def tick(self, now: float) -> Actions:
        """Time has passed."""
        if self._timed_out(now):
            self.in_flight = None  # the outcome is unknown: the cursor tells
            self.phase = Phase.READING
        if self.in_flight is not None:
            return []
        if self.phase is Phase.READING and now >= self.due_at:
            return [self._send(now, Range(self.task.cursor_key))]
        if self.phase is Phase.WAITING and now >= self.due_at:
            return self._start_step(now)
        if self.phase is Phase.RUNNING and now >= self._step_timeout_at():
            # it may be running still: another process retries it, under a higher fencing token
            return self._release(now)
        return []

    def _enter(self, phase: Phase, now: float) -> None:
        self.phase = phase
        self.phase_since = now

    def _release(self, now: float) -> Actions:
        self._enter(Phase.ENDED, now)
        return [TaskReleased(self.task.name, self.fencing_token)]

    def _suspend(self, now: float) -> Actions:
        self._enter(Phase.ENDED, now)
        return [TaskSuspended(self.task.name, self.cursor.started_step, self.cursor.attempts)]

    def _write(self, now: float, cursor: Cursor) -> Actions:
        """Succeeds only while the claim has our token, and nobody wrote the cursor since it was read."""
        claim = Compare(self.task.claim_key, CompareTarget.CREATE, CompareOperator.EQUAL, self.fencing_token)
        unchanged = Compare(
            self.task.cursor_key, CompareTarget.MOD, CompareOperator.EQUAL, self.cursor_revision
        )
        compares = (claim, unchanged) if self.fenced else ()
        self.cursor = cursor
        return [self._send(now, Txn(compares, (Put(self.task.cursor_key, encode_cursor(cursor)),)))]

    def _start_step(self, now: float) -> Actions:
        attempts = self._next_attempts()
        suspends = attempts > MAX_ATTEMPTS
        self._enter(Phase.CONFIRMING if suspends else Phase.STARTING, now)
        if not suspends:
            self.step_due_at = min(now, self.due_at)
        cursor = self.cursor
        started = Cursor(
            confirmed_step=cursor.confirmed_step,
            started_step=cursor.started_step or cursor.confirmed_step + 1,
            attempts=cursor.attempts if suspends else attempts,
            fencing_token=self.fencing_token,
            holder=self.holder,
            suspended=suspends,
            late_steps=cursor.late_steps,
        )
        return self._write(now, started)

    def _next_attempts(self) -> int:
        """Holders that will have started the next step, this one included."""
        cursor = self.cursor
        if not cursor.started_step:
            return 1
        already_counted = cursor.fencing_token == self.fencing_token  # our write, with its response lost
        return cursor.attempts if already_counted else cursor.attempts + 1

    def step_succeeded(self, now: float, step: int) -> Actions:
        """The step was run; it is confirmed next."""
        if self.phase is not Phase.RUNNING or step != self.cursor.started_step:
            return []
        self.unconfirmed_step = step
        return self._confirm(now)

    def _confirm(self, now: float) -> Actions:
        self._enter(Phase.CONFIRMING, now)
        confirmed = Cursor(
            confirmed_step=self.unconfirmed_step,
            fencing_token=self.fencing_token,
            holder=self.holder,
            late_steps=self.cursor.late_steps + (self._late_s(now) > 0.0),
        )
        return self._write(now, confirmed)

    def _late_s(self, now: float) -> float:
        """Seconds after the deadline."""
        if not self.task.deadline_s:
            return 0.0
        return max(0.0, now - self.step_due_at - self.task.deadline_s)

    def step_failed(self, now: float, step: int) -> Actions:
        """The step failed: it is retried here at its next time, as the same holder's attempt."""
        if self.phase is Phase.RUNNING and step == self.cursor.started_step:
            self._enter(Phase.READING, now)
            self.due_at = now + max(self.task.period_s, MIN_STEP_RETRY_S)
        return []

    def on_response(self, now: float, request_id: int, response: ResponseOrError) -> Actions:
        """The response to a request."""
        if not self._is_in_flight(request_id):
            return []
        self.in_flight = None
        if isinstance(response, RangeResponse):
            return self._on_cursor_read(now, response)
        if not isinstance(response, TxnResponse):
            self._enter(Phase.READING, now)
            self.due_at = now + REQUEST_RETRY_S
            return []
        if not response.succeeded:
            return self._release(now)
        self.cursor_revision = response.revision
        return self._on_cursor_written(now)

    def _on_cursor_written(self, now: float) -> Actions:
        if self.cursor.suspended:
            return self._suspend(now)
        if self.cursor.started_step:
            self._enter(Phase.RUNNING, now)
            return [RunStep(self.task.name, self.cursor.started_step, self.fencing_token)]
        return self._on_step_confirmed(now)

    def _on_step_confirmed(self, now: float) -> Actions:
        self._enter(Phase.WAITING, now)
        self.unconfirmed_step = 0
        self.due_at = now + self.task.period_s if self.task.period_s else float("inf")
        return [StepConfirmed(self.task.name, self.cursor.confirmed_step, self._late_s(now))]

    def _on_cursor_read(self, now: float, response: RangeResponse) -> Actions:
        cursor = Cursor()
        self.cursor_revision = 0
        if response.records:
            record = response.records[0][1]
            self.cursor_revision = record.mod_revision
            cursor = decode_cursor(record.value)
        self.cursor = cursor
        if self.cursor.fencing_token > self.fencing_token:
            return self._release(now)
        if self.cursor.suspended:
            return self._suspend(now)
        if self.unconfirmed_step and self.cursor.fencing_token == self.fencing_token:
            # what was run here is not run again: it is confirmed already, or the confirmation is repeated
            confirmed = self.cursor.confirmed_step >= self.unconfirmed_step
            return self._on_step_confirmed(now) if confirmed else self._confirm(now)
        self._enter(Phase.WAITING, now)
        self.due_at = self._first_due_at(now)
        return []

    def _first_due_at(self, now: float) -> float:
        """When the next step is due, after the cursor was read."""
        if self.cursor.started_step:
            return now
        if not self.task.period_s:
            return float("inf")
        # a new holder can't know how long ago the last step was: it begins a period
        starts_at_once = not self.cursor.confirmed_step or self.task.rotates
        return now if starts_at_once else now + self.task.period_s
