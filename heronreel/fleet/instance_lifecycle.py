"""The lifecycle of one instance: which commands its agent accepts, and how it reaches the desired state.

This module performs no I/O: it takes events and the time, and returns actions.

A command is made durable before it is executed and before it is acknowledged; the fencing token and sequence
number of the last accepted command and the desired state are stored.  An older command is rejected with the
greatest known fencing token, and so is a command that a later command of the same token has overtaken.  While
the group is unreachable, the last desired state stays in force, and a process that exits is restarted.

A process is identified by its pid and its start time.  An agent that was killed and restarted therefore takes
over its own process, and never a later process that was given the same pid.

A process is reported as out of service only once it has confirmed that it is quiesced, and no longer when its
health check says that it takes clients.  A call to quiesce or resume it is repeated until it is confirmed.
"""

from __future__ import annotations

import msgspec

from heronreel.fleet.lifecycle_messages import (
    Actions,
    Command,
    CommandResult,
    DesiredState,
    LifecycleGuards,
    LifecycleTimeouts,
    Observation,
    Persist,
    PersistedState,
    ProcessIdentity,
    ProcessStage,
    SetQuiesced,
    SignalProcess,
    StartProcess,
)
from heronreel.fleet.model import Condition

# limits of the delay before a process that exited unexpectedly is restarted
MIN_RESTART_BACKOFF_S = 0.5
MAX_RESTART_BACKOFF_S = 60.0
# a process that stays in one stage for this long resets the backoff to its minimum
STABLE_AFTER_S = 60.0

QUIESCE_RETRY_S = 0.5  # delay after a call to quiesce or resume that was not confirmed

DRAIN_STAGES = (ProcessStage.DRAINING, ProcessStage.DRAINED)
TERMINATION_STAGES = (ProcessStage.TERMINATING, ProcessStage.KILLED)
# the stages in which the process can be quiesced and resumed
MANAGED_STAGES = (ProcessStage.STARTING, ProcessStage.READY, *DRAIN_STAGES)


class InstanceLifecycle:
    """The state machine of one instance.

    The caller executes the actions and reports events: `command`, `persisted`, `started`, `ready`, `exited`
    and `health_checked`, and one of `quiesce_confirmed`, `quiesce_failed` and `quiesce_unavailable` for each
    `SetQuiesced`.  It calls `tick` no later than the time that `wake` returns.  All times are seconds on one
    monotonic clock.
    """

    def __init__(
        self,
        state: PersistedState,
        now: float,
        timeouts: LifecycleTimeouts | None = None,
        *,
        alive: bool = False,
        guards: LifecycleGuards | None = None,
    ) -> None:
        """Restore the lifecycle from the persisted state.

        Args:
            state: The persisted state.
            now: The current time.
            timeouts: The limits of the stages.
            alive: Whether the process of the persisted state, by pid and start time, still exists.
            guards: The safety checks, which tests disable.
        """
        self.timeouts = timeouts or LifecycleTimeouts()
        self.guards = guards or LifecycleGuards()
        self.durable_state = state
        self.observation_count = 0
        self.failures = 0  # number of consecutive unexpected exits
        self.start_due = now
        self.stage_since = now
        self.failure_reason = ""  # reason of the last unexpected exit
        self.unpersisted: list[PersistedState] = []  # states that are not durable yet, oldest first
        # the result of an accepted command, held back until the command is durable
        self.pending_result: CommandResult | None = None
        # Whether the process is quiesced, as it confirmed or its health check showed; None if unknown.
        self.is_quiesced: bool | None = None
        self.quiesced_since = now  # time of that confirmation
        self.wanted_quiesced: bool | None = None  # what a call has to reach; None if no call is due
        self.quiesce_call_pending = False  # a call was made and its result is not known yet
        self.quiesce_call_due = now
        # Whether the folder that processes of the instance share may say that it is quiesced.
        self.may_start_quiesced = state.process is not None
        self.stage = ProcessStage.NONE
        if state.process is not None and alive and self.guards.single_process:
            self.stage = ProcessStage.STARTING  # until the process reports that it is ready
            if self._stays_drained(state.process):  # its health check says no, as it should
                self.stage = ProcessStage.DRAINING
                self.wanted_quiesced = True

    @property
    def process(self) -> ProcessIdentity | None:
        """The process in the durable state."""
        return self.durable_state.process

    @property
    def condition(self) -> Condition:
        """The condition that is reported to the group."""
        if self.stage is ProcessStage.READY:
            return Condition.SERVING
        if self.stage in DRAIN_STAGES:
            return self._drain_condition()
        if self.stage in TERMINATION_STAGES:
            return Condition.OUT_OF_SERVICE
        if self.stage is ProcessStage.NONE and self.durable_state.desired_state is DesiredState.STOPPED:
            return Condition.OUT_OF_SERVICE
        return Condition.FAILED if self.failures else Condition.UNKNOWN

    def _drain_condition(self) -> Condition:
        if not self.guards.confirmed_quiesce:
            return Condition.OUT_OF_SERVICE
        if self.is_quiesced is None:
            return Condition.UNKNOWN
        return Condition.OUT_OF_SERVICE if self.is_quiesced else Condition.SERVING

    def observe(self) -> Observation:
        """Make a new observation to report.

        The count increases only while every state is durable, because what is reported has to hold after a
        crash as well.
        """
        if not self.unpersisted:
            self.observation_count += 1
        return Observation(self.observation_count, self.condition, self.durable_state.fencing_token)

    def wake(self) -> float:
        """The time by which `tick` has to be called next."""
        if self.unpersisted:
            return float("inf")
        if self.stage is ProcessStage.NONE:
            stopped = self.durable_state.desired_state is DesiredState.STOPPED
            return float("inf") if stopped else self.start_due
        timeout = {
            ProcessStage.STARTING: self.timeouts.start,
            ProcessStage.DRAINING: self.timeouts.drain,
            ProcessStage.TERMINATING: self.timeouts.termination,
        }.get(self.stage)
        stage_ends_at = float("inf") if timeout is None else self.stage_since + timeout
        return min(stage_ends_at, self.quiesce_call_due) if self._needs_quiesce_call() else stage_ends_at

    # -- events

    def command(self, now: float, command: Command) -> Actions:
        """Handle a command, which may be late or a duplicate; acknowledge it once its state is durable."""
        latest = self._latest_state()
        position = (command.fencing_token, command.sequence)
        latest_position = (latest.fencing_token, latest.sequence)
        is_old = position < latest_position and self.guards.ordered
        if is_old or self.pending_result is not None:
            return [CommandResult(False, latest.fencing_token, self.observation_count)]
        if position == latest_position:  # a retry of the last accepted command
            return [CommandResult(True, latest.fencing_token, self.observation_count)]
        version = command.version or latest.version
        state = PersistedState(*position, command.desired_state, version, latest.process)
        result = CommandResult(True, command.fencing_token, self.observation_count)
        if not self.guards.durable:
            return [result, *self._persist(state)]
        self.pending_result = result
        return self._persist(state)

    def persisted(self, now: float) -> Actions:
        """The oldest unpersisted state has become durable."""
        self.durable_state = self.unpersisted.pop(0)
        actions: Actions = []
        if self.pending_result is not None and not self.unpersisted:
            # observations up to this count may not show the effect of the command
            actions.append(self.pending_result._replace(observation=self.observation_count))
            self.pending_result = None
        return actions + self.tick(now)

    def started(self, now: float, process: ProcessIdentity) -> Actions:
        """The process was started; its identity is persisted so that a restarted agent finds it."""
        self.is_quiesced = self.wanted_quiesced = None
        if self.may_start_quiesced and self.durable_state.desired_state is DesiredState.RUNNING:
            self._want_quiesced(False, now)
        self._enter(ProcessStage.STARTING, now)
        return self._persist(msgspec.structs.replace(self._latest_state(), process=process))

    def ready(self, now: float, version: str) -> Actions:
        """The process, which runs this version, reports that it serves.

        While the result of a call to quiesce or resume it is not known, the report may be outdated.
        """
        is_current = self.process is not None and self.process.version == version
        if self.stage is not ProcessStage.STARTING or not is_current or self.quiesce_call_pending:
            return []
        self._enter(ProcessStage.READY, now)
        return self.tick(now)

    def quiesce_confirmed(self, now: float, quiesced: bool) -> Actions:
        """The process has confirmed that it is quiesced, or that it has resumed."""
        self.quiesce_call_pending = False
        self.is_quiesced, self.quiesced_since = quiesced, now
        self.may_start_quiesced = quiesced
        if self.wanted_quiesced is quiesced:
            self.wanted_quiesced = None
        return self.tick(now)

    def quiesce_failed(self, now: float, quiesced: bool) -> Actions:
        """A call to quiesce or resume the process was rejected or got no response.

        The call may have been executed all the same, so it is repeated, and the state is unknown until then.
        """
        self.quiesce_call_pending = False
        if self.wanted_quiesced is quiesced:
            self.quiesce_call_due = now + QUIESCE_RETRY_S
        return self.tick(now)

    def quiesce_unavailable(self, now: float) -> Actions:
        """The process can't be quiesced or resumed; its graceful shutdown drains it."""
        self.quiesce_call_pending = False
        self.wanted_quiesced = None
        if self.stage is ProcessStage.DRAINING:
            self._enter(ProcessStage.DRAINED, now)
        return self.tick(now)

    def health_checked(self, asked_at: float, now: float, takes_clients: bool) -> Actions:
        """The response to a health check of a process that drains, which was sent at `asked_at`."""
        was_confirmed_since = self.is_quiesced is not None and asked_at < self.quiesced_since
        if self.stage not in DRAIN_STAGES or self.quiesce_call_pending or was_confirmed_since:
            return []
        if takes_clients:
            self.is_quiesced, self.quiesced_since = False, now
            if self.stage is ProcessStage.DRAINING and self.wanted_quiesced is None:
                self._want_quiesced(True, now)
        elif self.is_quiesced is False:
            self.is_quiesced = None  # it may be about to take clients again
        return self.tick(now)

    def exited(self, now: float, reason: str) -> Actions:
        """The process has exited, or could not be started."""
        if self.stage in (ProcessStage.TERMINATING, ProcessStage.KILLED):
            self.start_due = now
        else:
            was_stable = now - self.stage_since >= STABLE_AFTER_S
            self.failures = 1 if was_stable else self.failures + 1
            self.failure_reason = reason
            backoff = MIN_RESTART_BACKOFF_S * 2.0 ** (self.failures - 1)
            self.start_due = now + min(MAX_RESTART_BACKOFF_S, backoff)
        self._enter(ProcessStage.NONE, now)
        return self._persist(msgspec.structs.replace(self._latest_state(), process=None))

    def tick(self, now: float) -> Actions:
        """Take the next step toward the desired state; no step is taken while a state is not durable."""
        if self.unpersisted:
            return []
        if self.stage is ProcessStage.NONE:
            return self._start_if_due(now)
        process = self.process
        if process is None:
            return []  # the process is being started
        return self._tick_stage(process, now) + self._call_if_due(now)

    def _tick_stage(self, process: ProcessIdentity, now: float) -> Actions:
        if self.stage is ProcessStage.STARTING:
            return self._tick_starting(process, now)
        if self.stage is ProcessStage.READY:
            return self._tick_ready(process, now)
        if self.stage in DRAIN_STAGES:
            return self._tick_draining(process, now)
        if self.stage is ProcessStage.TERMINATING and now >= self.stage_since + self.timeouts.termination:
            self._enter(ProcessStage.KILLED, now)
            return [SignalProcess(process, kill=True)]
        return []

    # -- transitions

    def _start_if_due(self, now: float) -> Actions:
        version = self.durable_state.version
        stopped = self.durable_state.desired_state is DesiredState.STOPPED
        if stopped or now < self.start_due or not version:
            return []
        self._enter(ProcessStage.STARTING, now)
        return [StartProcess(version)]

    def _tick_starting(self, process: ProcessIdentity, now: float) -> Actions:
        timed_out = now >= self.stage_since + self.timeouts.start
        stopped = self.durable_state.desired_state is DesiredState.STOPPED
        if timed_out or stopped or not self._is_desired_version(process):
            return self._terminate(process, now)
        return []

    def _tick_ready(self, process: ProcessIdentity, now: float) -> Actions:
        if self._is_desired(process):
            if now - self.stage_since >= STABLE_AFTER_S:
                self.failures = 0
            return []
        self._enter(ProcessStage.DRAINING, now)
        self.is_quiesced = None
        self._want_quiesced(True, now)
        return []

    def _tick_draining(self, process: ProcessIdentity, now: float) -> Actions:
        if self._is_desired(process):
            self._enter(ProcessStage.STARTING, now)  # until the process reports that it serves again
            self._want_quiesced(False, now)
            return []
        timed_out = now >= self.stage_since + self.timeouts.drain
        drain_ended = self.stage is ProcessStage.DRAINED or timed_out
        if drain_ended and not self._stays_drained(process):
            return self._terminate(process, now)
        return []

    def _want_quiesced(self, quiesced: bool, now: float) -> None:
        self.wanted_quiesced = quiesced
        self.quiesce_call_due = now

    def _needs_quiesce_call(self) -> bool:
        """Whether a call is due now or later; calls are made one at a time, so that they keep their order."""
        wanted = self.wanted_quiesced is not None and not self.quiesce_call_pending
        return wanted and self.process is not None and self.stage in MANAGED_STAGES

    def _call_if_due(self, now: float) -> Actions:
        if self.wanted_quiesced is None or not self._needs_quiesce_call() or now < self.quiesce_call_due:
            return []
        self.quiesce_call_pending = True
        self.may_start_quiesced = self.may_start_quiesced or self.wanted_quiesced
        return [SetQuiesced(self.wanted_quiesced)]

    def _is_desired(self, process: ProcessIdentity) -> bool:
        running = self.durable_state.desired_state is DesiredState.RUNNING
        return running and self._is_desired_version(process)

    def _is_desired_version(self, process: ProcessIdentity) -> bool:
        return process.version == self.durable_state.version

    def _stays_drained(self, process: ProcessIdentity) -> bool:
        drained = self.durable_state.desired_state is DesiredState.DRAINED
        return drained and self._is_desired_version(process)

    def _terminate(self, process: ProcessIdentity, now: float) -> Actions:
        self._enter(ProcessStage.TERMINATING, now)
        return [SignalProcess(process, kill=False)]

    def _enter(self, stage: ProcessStage, now: float) -> None:
        self.stage = stage
        self.stage_since = now

    def _latest_state(self) -> PersistedState:
        """The state that is durable once all pending writes have completed."""
        return self.unpersisted[-1] if self.unpersisted else self.durable_state

    def _persist(self, state: PersistedState) -> Actions:
        self.unpersisted.append(state)
        return [Persist(state)]
