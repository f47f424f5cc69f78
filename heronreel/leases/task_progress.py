"""The steps of one task while this process holds its claim.  No I/O; the time is passed in.

The next holder continues after the last confirmed step, and repeats a step that was started but not
confirmed.  Therefore a step must be idempotent, or fenced at the resource that it changes.  If several
holders have started a step and none of them has confirmed it, the task is suspended until an operator
restarts it.
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

MAX_ATTEMPTS = 3  # After this many holders have started a step without confirming it, the task is suspended.
MIN_STEP_RETRY_S = 1.0
REQUEST_RETRY_S = 0.1


class RunStep(NamedTuple):
    """Run a step under a fencing token, then call `step_succeeded` or `step_failed`."""

    task: str
    step: int
    fencing_token: int


class StepConfirmed(NamedTuple):
    """A step is confirmed and will not be run again.

    `late_s` is the time in seconds from the step's deadline to its confirmation.
    """

    task: str
    step: int
    late_s: float = 0.0


class TaskSuspended(NamedTuple):
    """The task is suspended until an operator restarts it."""

    task: str
    step: int
    attempts: int


class TaskReleased(NamedTuple):
    """This process runs no more steps of the task, because another process holds it or may hold it."""

    task: str
    fencing_token: int


Action = SendRequest | RunStep | StepConfirmed | TaskSuspended | TaskReleased
Actions = list[Action]


class Phase(enum.Enum):
    """The current activity of a task's holder."""

    READING = "reading"  # The cursor is being read.
    WAITING = "waiting"  # The next step is not due yet.
    STARTING = "starting"  # The step is being recorded as started.
    RUNNING = "running"  # The step is being run.
    CONFIRMING = "confirming"  # The step is being recorded as confirmed, or the task as suspended.
    ENDED = "ended"  # No more steps are run under this claim.


class TaskProgress(SingleRequestSender):
    """The progress of one task, from when its claim is acquired until the claim is lost."""

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
        """Begin to work on a task whose claim has been acquired.

        Args:
            task: the task.
            fencing_token: the fencing token of the claim.
            holder: the name of this process.
            now: the current time.
            response_timeout_s: the time after which a request counts as failed.
            fenced: whether writes of the cursor compare the claim and the revision of the cursor.  Only a
                test sets this to False, to show that the comparisons are needed.
        """
        super().__init__(response_timeout_s)
        self.task = task
        self.fencing_token = fencing_token
        self.holder = holder
        self.fenced = fenced
        self.phase = Phase.READING
        self.phase_since = now
        self.cursor = Cursor()
        self.cursor_revision = 0  # The modification revision of the cursor as last read or written.
        self.due_at = now
        self.unconfirmed_step = 0  # The step that was run by this process and may not be confirmed yet.
        self.step_due_at = now  # The time at which the step in progress was due.

    def next_wakeup(self) -> float:
        """Return the latest time at which `tick` has to be called again."""
        if self.phase is Phase.ENDED:
            return float("inf")
        if self.in_flight is not None:
            return self.in_flight.sent_at + self.response_timeout_s
        return self._step_timeout_at() if self.phase is Phase.RUNNING else self.due_at

    def _step_timeout_at(self) -> float:
        return self.phase_since + self.task.step_timeout_s

    def trigger(self, now: float) -> None:
        """Make the next step due now."""
        if self.phase is Phase.WAITING:
            self.due_at = now

    def tick(self, now: float) -> Actions:
        """Handle timeouts, and return the actions that are due."""
        if self._timed_out(now):
            # It is unknown whether the request was applied: the cursor has to be read again.
            self.in_flight = None
            self.phase = Phase.READING
        if self.in_flight is not None:
            return []
        if self.phase is Phase.READING and now >= self.due_at:
            return [self._send(now, Range(self.task.cursor_key))]
        if self.phase is Phase.WAITING and now >= self.due_at:
            return self._start_step(now)
        if self.phase is Phase.RUNNING and now >= self._step_timeout_at():
            # The step may still be running.  Another process retries it under a higher fencing token.
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
        """Write the cursor.

        The transaction succeeds only while the claim has the fencing token of this holder, and if the cursor
        has not been written since it was read.
        """
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
        """Return how many holders will have started the next step, including this holder."""
        cursor = self.cursor
        if not cursor.started_step:
            return 1
        # This holder may have written the cursor before, if the response to the write was lost.
        already_counted = cursor.fencing_token == self.fencing_token
        return cursor.attempts if already_counted else cursor.attempts + 1

    def step_succeeded(self, now: float, step: int) -> Actions:
        """Report that the step was run; the progress confirms it next."""
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
        """Return the seconds since the deadline of the step, or 0 before it or without one."""
        if not self.task.deadline_s:
            return 0.0
        return max(0.0, now - self.step_due_at - self.task.deadline_s)

    def step_failed(self, now: float, step: int) -> Actions:
        """Report that the step failed.

        This process retries it after the task's period, but not before `MIN_STEP_RETRY_S`.  The retry counts
        as the same attempt, because the holder is the same.
        """
        if self.phase is Phase.RUNNING and step == self.cursor.started_step:
            self._enter(Phase.READING, now)
            self.due_at = now + max(self.task.period_s, MIN_STEP_RETRY_S)
        return []

    def on_response(self, now: float, request_id: int, response: ResponseOrError) -> Actions:
        """Handle the response to a request, unless it has timed out."""
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
            # This process has run the step and does not run it again.  Either the step is already confirmed,
            # or the confirmation is repeated.
            confirmed = self.cursor.confirmed_step >= self.unconfirmed_step
            return self._on_step_confirmed(now) if confirmed else self._confirm(now)
        self._enter(Phase.WAITING, now)
        self.due_at = self._first_due_at(now)
        return []

    def _first_due_at(self, now: float) -> float:
        """Return the time at which the next step is due after the cursor was read."""
        if self.cursor.started_step:
            return now
        if not self.task.period_s:
            return float("inf")
        # A new holder can't know how long ago the last step was run, so it waits for a whole period.
        starts_at_once = not self.cursor.confirmed_step or self.task.rotates
        return now if starts_at_once else now + self.task.period_s
