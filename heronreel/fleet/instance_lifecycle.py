"""The lifecycle of one instance: the commands that its agent accepts, and the way to the desired state.

Pure: it takes events and the time, and returns actions.

A command is durable before anything is done and before it is acknowledged: fencing token and sequence number
of the last command accepted, and the desired state.  An older command is rejected with the greatest fencing
token known; so is one that a later command of the same token has overtaken.  Without the group nothing
changes: the last desired state stays in force, and a process that exits is started again.

A process is identified by its pid and its start time, so that an agent that was killed and restarted takes
over its own process and never one that was given the same pid later.
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

MIN_RESTART_BACKOFF_S = 0.5  # before a process that exited unexpectedly is started again
MAX_RESTART_BACKOFF_S = 60.0
STABLE_AFTER_S = 60.0  # of one stage; the backoff then starts again from its minimum

OUT_OF_SERVICE_STAGES = (
    ProcessStage.DRAINING,
    ProcessStage.DRAINED,
    ProcessStage.TERMINATING,
    ProcessStage.KILLED,
)


class InstanceLifecycle:
    """The state machine of one instance.

    The caller carries out the actions and reports events: `command`, `persisted`, `started`, `ready`,
    `drained`, `exited`, and `tick` no later than at `wake`.  All times are seconds of one monotonic clock.
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
        """`alive`: the process of the persisted state exists, by pid and start time."""
        self.timeouts = timeouts or LifecycleTimeouts()
        self.guards = guards or LifecycleGuards()
        self.durable_state = state
        self.observation_count = 0
        self.failures = 0  # unexpected exits in a row
        self.start_due = now
        self.stage_since = now
        self.failure_reason = ""  # of the last unexpected exit
        self.unpersisted: list[PersistedState] = []  # on their way to the disk, oldest first
        self.pending_result: CommandResult | None = None  # until the command is durable
        self.stage = ProcessStage.NONE
        if state.process is not None and alive and self.guards.single_process:
            self.stage = ProcessStage.STARTING  # until it reports that it is ready

    @property
    def process(self) -> ProcessIdentity | None:
        """The process, as far as it is durable."""
        return self.durable_state.process

    @property
    def condition(self) -> Condition:
        """The condition that is reported to the group."""
        if self.stage is ProcessStage.READY:
            return Condition.SERVING
        if self.stage in OUT_OF_SERVICE_STAGES:
            return Condition.OUT_OF_SERVICE
        if self.stage is ProcessStage.NONE and self.durable_state.desired_state is DesiredState.STOPPED:
            return Condition.OUT_OF_SERVICE
        return Condition.FAILED if self.failures else Condition.UNKNOWN

    def observe(self) -> Observation:
        """A new observation to report.

        Its count grows only while everything is durable: what is reported has to hold after a crash as well.
        """
        if not self.unpersisted:
            self.observation_count += 1
        return Observation(self.observation_count, self.condition, self.durable_state.fencing_token)

    def wake(self) -> float:
        """When `tick` has to be called next."""
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
        return float("inf") if timeout is None else self.stage_since + timeout

    # -- events

    def command(self, now: float, command: Command) -> Actions:
        """A command, however late or often it is sent; acknowledged once what it changes is durable."""
        latest = self._latest_state()
        position = (command.fencing_token, command.sequence)
        latest_position = (latest.fencing_token, latest.sequence)
        is_old = position < latest_position and self.guards.ordered
        if is_old or self.pending_result is not None:
            return [CommandResult(False, latest.fencing_token, self.observation_count)]
        if position == latest_position:  # a retry
            return [CommandResult(True, latest.fencing_token, self.observation_count)]
        version = command.version or latest.version
        state = PersistedState(*position, command.desired_state, version, latest.process)
        result = CommandResult(True, command.fencing_token, self.observation_count)
        if not self.guards.durable:
            return [result, *self._persist(state)]
        self.pending_result = result
        return self._persist(state)

    def persisted(self, now: float) -> Actions:
        """The oldest state on its way to the disk is durable."""
        self.durable_state = self.unpersisted.pop(0)
        actions: Actions = []
        if self.pending_result is not None and not self.unpersisted:
            # observations up to here do not show the effect of this command
            actions.append(self.pending_result._replace(observation=self.observation_count))
            self.pending_result = None
        return actions + self.tick(now)

    def started(self, now: float, process: ProcessIdentity) -> Actions:
        """The process was started; once persisted it is found again after a crash of the agent."""
        self._enter(ProcessStage.STARTING, now)
        return self._persist(msgspec.structs.replace(self._latest_state(), process=process))

    def ready(self, now: float, version: str) -> Actions:
        """The process of this version reports that it serves."""
        is_current = self.process is not None and self.process.version == version
        if self.stage is not ProcessStage.STARTING or not is_current:
            return []
        self._enter(ProcessStage.READY, now)
        return self.tick(now)

    def drained(self, now: float) -> Actions:
        """A draining process has no clients left."""
        if self.stage is ProcessStage.DRAINING:
            self._enter(ProcessStage.DRAINED, now)
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
        """Proceed toward the desired state; nothing is started while a state is on its way to the disk."""
        if self.unpersisted:
            return []
        if self.stage is ProcessStage.NONE:
            return self._start_if_due(now)
        process = self.process
        if process is None:
            return []  # it is being started
        if self.stage is ProcessStage.STARTING:
            return self._tick_starting(process, now)
        if self.stage is ProcessStage.READY:
            return self._tick_ready(process, now)
        if self.stage in (ProcessStage.DRAINING, ProcessStage.DRAINED):
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
        return [SetQuiesced(True)]

    def _tick_draining(self, process: ProcessIdentity, now: float) -> Actions:
        if self._is_desired(process):
            self._enter(ProcessStage.STARTING, now)  # until it reports that it serves again
            return [SetQuiesced(False)]
        timed_out = now >= self.stage_since + self.timeouts.drain
        is_over = self.stage is ProcessStage.DRAINED or timed_out
        if is_over and not self._stays_drained(process):
            return self._terminate(process, now)
        return []

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
        """The state that will be durable once everything on its way is."""
        return self.unpersisted[-1] if self.unpersisted else self.durable_state

    def _persist(self, state: PersistedState) -> Actions:
        self.unpersisted.append(state)
        return [Persist(state)]
