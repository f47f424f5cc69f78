"""Tests of the lifecycle of an instance: old commands are rejected, and no second process is started.

Random runs kill the agent at any point; without one of the guards they have to find a violation.
"""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heronreel.fleet.instance_lifecycle import InstanceLifecycle
from heronreel.fleet.lifecycle_messages import (
    Actions,
    Command,
    CommandResult,
    DesiredState,
    LifecycleGuards,
    LifecycleTimeouts,
    Persist,
    PersistedState,
    ProcessIdentity,
    ProcessStage,
    SetQuiesced,
    SignalProcess,
    StartProcess,
)
from heronreel.fleet.model import Condition

TIMEOUTS = LifecycleTimeouts(start=5.0, drain=5.0, termination=5.0)


class SimulatedMachine:
    """Simulates the disk and the processes of an agent that is killed at random times.

    It records a problem if two processes run at the same time, an overtaken command is accepted, or a process
    that takes clients is reported as out of service.  Calls to quiesce it, and their responses, may be lost.
    """

    def __init__(self, seed: int, guards: LifecycleGuards | None = None) -> None:
        self.rng = random.Random(seed)
        self.guards = guards
        self.now = 0.0
        self.disk = PersistedState()
        self.alive: dict[int, ProcessIdentity] = {}
        self.started_count = 0
        self.greatest_accepted = (0, 0)  # fencing token and sequence number
        self.last_sent = (0, 0)
        self.lifecycle = InstanceLifecycle(self.disk, self.now, TIMEOUTS, guards=guards)
        self.problems: list[str] = []
        self.actions: Actions = []
        self.quiesced: set[ProcessIdentity] = set()
        self.call: tuple[ProcessIdentity | None, bool] | None = None  # a call whose result is not known yet

    def kill_agent(self) -> None:
        self.actions, self.call = [], None
        process = self.disk.process
        is_alive = process is not None and self.alive.get(process.pid) == process
        self.lifecycle = InstanceLifecycle(self.disk, self.now, TIMEOUTS, alive=is_alive, guards=self.guards)
        # the restarted agent finds orphan processes by their environment and kills them
        for pid in [pid for pid, running in self.alive.items() if running != process]:
            del self.alive[pid]

    def carry_out(self, actions: Actions) -> None:
        self.actions += actions
        while self.actions:
            if self.rng.random() < 0.05:
                self.kill_agent()
                return
            action = self.actions.pop(0)
            if isinstance(action, Persist):
                self.disk = action.state
                self.actions += self.lifecycle.persisted(self.now)
            elif isinstance(action, StartProcess):
                self._start_process(action.version)
            elif isinstance(action, SignalProcess):
                self._signal_process(action)
            elif isinstance(action, CommandResult) and action.accepted:
                self._check_accepted()
            elif isinstance(action, SetQuiesced):
                resumed_in = (ProcessStage.STARTING, ProcessStage.READY)
                expected = (ProcessStage.DRAINING,) if action.quiesced else resumed_in
                assert self.lifecycle.stage in expected and self.call is None
                self.call = self.lifecycle.process, action.quiesced

    def _start_process(self, version: str) -> None:
        self.started_count += 1
        process = ProcessIdentity(self.started_count % 3, self.started_count, version)  # reuses pids
        if self.alive:
            self.problems.append(f"{process} was started while {self.alive} is alive")
        self.alive[process.pid] = process
        self.actions += self.lifecycle.started(self.now, process)

    def _signal_process(self, action: SignalProcess) -> None:
        is_alive = self.alive.get(action.process.pid) == action.process
        if is_alive and (action.kill or self.rng.random() < 0.5):
            del self.alive[action.process.pid]
            self.actions += self.lifecycle.exited(self.now, "terminated")

    def _check_accepted(self) -> None:
        if self.last_sent < self.greatest_accepted:
            self.problems.append(f"{self.last_sent} was accepted after {self.greatest_accepted}")
        self.greatest_accepted = max(self.greatest_accepted, self.last_sent)

    def _end_call(self) -> None:
        """Execute the pending call and report its result, unless either is lost."""
        if self.call is None:
            return
        (process, quiesced), self.call = self.call, None
        is_executed, is_answered = self.rng.random() < 0.7, self.rng.random() < 0.7
        if process is not None and is_executed:
            self.quiesced = self.quiesced | {process} if quiesced else self.quiesced - {process}
        if is_executed and is_answered and process == self.lifecycle.process:
            self.carry_out(self.lifecycle.quiesce_confirmed(self.now, quiesced))
        else:
            self.carry_out(self.lifecycle.quiesce_failed(self.now, quiesced))

    def _check_condition(self) -> None:
        process = self.lifecycle.process
        is_draining = self.lifecycle.stage in (ProcessStage.DRAINING, ProcessStage.DRAINED)
        is_out = self.lifecycle.condition is Condition.OUT_OF_SERVICE
        if is_draining and is_out and process not in self.quiesced:
            self.problems.append(f"{process} takes clients and is reported as out of service")

    def step(self) -> None:
        """Advance the time, apply a random event and check the reported condition."""
        self._apply_random_event()
        self._check_condition()

    def _apply_random_event(self) -> None:
        self.now += self.rng.choice((0.1, 1.0, 6.0))
        event = self.rng.randrange(7)
        if event == 0:
            fencing_token, sequence = self.rng.randrange(1, 5), self.rng.randrange(1, 4)
            desired_state = self.rng.choice(list(DesiredState))
            self.last_sent = fencing_token, sequence
            version = self.rng.choice(("", "v1", "v2"))
            command = Command(fencing_token, sequence, desired_state, version)
            self.carry_out(self.lifecycle.command(self.now, command))
        elif event == 1 and self.alive:
            pid = self.rng.choice(list(self.alive))
            process = self.alive.pop(pid)
            if process == self.lifecycle.process:
                self.carry_out(self.lifecycle.exited(self.now, "crashed"))
        elif event == 2 and self.lifecycle.process is not None:
            self.carry_out(self.lifecycle.ready(self.now, self.lifecycle.process.version))
        elif event == 3:
            self._end_call()
        elif event == 6 and self.lifecycle.process is not None:
            takes_clients = self.lifecycle.process not in self.quiesced
            self.carry_out(self.lifecycle.health_checked(self.now, self.now, takes_clients))
        elif event == 4 and self.rng.random() < 0.3:
            self.kill_agent()
        else:
            self.carry_out(self.lifecycle.tick(self.now))


@settings(max_examples=150, deadline=None)
@given(st.integers(0, 1 << 30))
def test_one_process_runs_no_overtaken_command_is_accepted_and_a_drain_is_reported_truthfully(
    seed: int,
) -> None:
    machine = SimulatedMachine(seed)
    for _ in range(80):
        machine.step()
    assert machine.problems == []


@pytest.mark.parametrize("guard", LifecycleGuards._fields)
def test_without_a_guard_a_problem_is_found(guard: str) -> None:
    for seed in range(300):
        machine = SimulatedMachine(seed, LifecycleGuards(**{guard: False}))
        for _ in range(80):
            machine.step()
        if machine.problems:
            print(guard, seed, machine.problems[0])
            return
    raise AssertionError(f"no run without the guard {guard} found a violation")


def condition_of(lifecycle: InstanceLifecycle) -> Condition:
    """Return the condition; a property would count as unchanged for the type checker."""
    return lifecycle.condition


def running_lifecycle(version: str = "v1") -> InstanceLifecycle:
    """A lifecycle whose process serves, after one command under fencing token 1."""
    lifecycle = InstanceLifecycle(PersistedState(), 0.0, TIMEOUTS)
    state = PersistedState(1, 1, DesiredState.RUNNING, version)
    assert lifecycle.command(0.0, Command(1, 1, DesiredState.RUNNING, version)) == [Persist(state)]
    result, start = lifecycle.persisted(0.0)
    assert result == CommandResult(True, 1, 0) and start == StartProcess(version)
    process = ProcessIdentity(7, 99, version)
    (persist,) = lifecycle.started(0.0, process)
    assert isinstance(persist, Persist) and persist.state.process == process
    assert lifecycle.persisted(0.0) == []
    conditions = [lifecycle.condition]
    lifecycle.ready(1.0, version)
    conditions.append(lifecycle.condition)
    assert conditions == [Condition.UNKNOWN, Condition.SERVING]
    return lifecycle


def test_an_old_command_is_rejected_with_the_greatest_fencing_token() -> None:
    lifecycle = running_lifecycle()
    lifecycle.command(2.0, Command(5, 1, DesiredState.DRAINED))
    (result, quiesce) = lifecycle.persisted(2.0)
    assert result == CommandResult(True, 5, 0) and quiesce == SetQuiesced(True)
    assert lifecycle.command(2.0, Command(4, 9, DesiredState.RUNNING)) == [CommandResult(False, 5, 0)]
    retry = Command(5, 1, DesiredState.DRAINED)
    assert lifecycle.command(2.0, retry) == [CommandResult(True, 5, 0)]
    lifecycle.command(2.0, Command(5, 3, DesiredState.RUNNING))
    lifecycle.persisted(2.0)
    overtaken = Command(5, 2, DesiredState.STOPPED)
    assert lifecycle.command(2.0, overtaken) == [CommandResult(False, 5, 0)]
    # the process may be quiesced by a call that is under way, whatever its health check said
    assert lifecycle.stage is ProcessStage.STARTING and lifecycle.ready(2.0, "v1") == []
    assert lifecycle.observe().condition is Condition.UNKNOWN
    assert lifecycle.quiesce_confirmed(2.0, True) == [SetQuiesced(False)]
    assert lifecycle.quiesce_confirmed(2.0, False) == []
    assert lifecycle.stage is ProcessStage.STARTING and lifecycle.ready(2.0, "v1") == []
    assert lifecycle.observe() == (2, Condition.SERVING, 5)


def test_restarts_back_off_and_a_stable_process_resets_the_backoff() -> None:
    lifecycle = running_lifecycle()
    backoffs = []
    now = 2.0
    for _ in range(9):
        lifecycle.exited(now, "crashed")
        lifecycle.persisted(now)
        assert condition_of(lifecycle) is Condition.FAILED
        backoffs.append(lifecycle.wake() - now)
        now = lifecycle.wake()
        assert lifecycle.tick(now) == [StartProcess("v1")]
        lifecycle.started(now, ProcessIdentity(7, 99, "v1"))
        lifecycle.persisted(now)
        lifecycle.ready(now, "v1")
    assert backoffs == [0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 60.0, 60.0]
    lifecycle.exited(now + 61.0, "crashed")
    lifecycle.persisted(now + 61.0)
    assert lifecycle.wake() - now - 61.0 == pytest.approx(0.5)


def test_an_upgrade_drains_and_terminates_the_old_process_and_kills_it_after_a_timeout() -> None:
    lifecycle = running_lifecycle()
    old = lifecycle.process
    assert old is not None
    lifecycle.command(10.0, Command(2, 1, DesiredState.RUNNING, "v2"))
    _, quiesce = lifecycle.persisted(10.0)
    assert quiesce == SetQuiesced(True) and condition_of(lifecycle) is Condition.UNKNOWN
    assert (
        lifecycle.quiesce_confirmed(10.1, True) == [] and condition_of(lifecycle) is Condition.OUT_OF_SERVICE
    )
    assert lifecycle.tick(14.0) == []
    # the process did not report that it is drained
    assert lifecycle.tick(15.0) == [SignalProcess(old, False)]
    assert lifecycle.tick(19.0) == [] and lifecycle.tick(20.0) == [SignalProcess(old, True)]
    lifecycle.exited(20.5, "killed")
    assert lifecycle.persisted(20.5) == [StartProcess("v2")]
    assert lifecycle.failures == 0  # the exit was requested
    process = ProcessIdentity(8, 100, "v2")
    lifecycle.started(21.0, process)
    lifecycle.persisted(21.0)
    assert lifecycle.ready(21.0, "v1") == []  # the report of another version
    assert lifecycle.stage is ProcessStage.STARTING
    assert lifecycle.tick(26.0) == [SignalProcess(process, False)]  # the process was not ready in time


def test_a_call_to_quiesce_is_repeated_and_the_process_is_not_out_of_service_before_it_is_confirmed() -> None:
    """A process whose call to quiesce was lost was reported as drained while it took clients."""
    lifecycle = running_lifecycle()
    lifecycle.command(2.0, Command(2, 1, DesiredState.DRAINED))
    lifecycle.persisted(2.0)
    assert lifecycle.tick(2.2) == []  # the result is not known yet
    assert lifecycle.quiesce_failed(3.0, True) == [] and condition_of(lifecycle) is Condition.UNKNOWN
    assert lifecycle.health_checked(3.1, 3.1, True) == [] and condition_of(lifecycle) is Condition.SERVING
    assert lifecycle.wake() == 3.5 and lifecycle.tick(3.5) == [SetQuiesced(True)]
    assert (
        lifecycle.quiesce_confirmed(3.6, True) == [] and condition_of(lifecycle) is Condition.OUT_OF_SERVICE
    )
    # a health check that was sent before the confirmation
    assert (
        lifecycle.health_checked(3.5, 3.7, True) == [] and condition_of(lifecycle) is Condition.OUT_OF_SERVICE
    )
    # somebody else resumed the process
    assert lifecycle.health_checked(4.0, 4.1, True) == [SetQuiesced(True)]
    assert condition_of(lifecycle) is Condition.SERVING


def test_a_call_to_resume_is_repeated() -> None:
    lifecycle = running_lifecycle()
    lifecycle.command(2.0, Command(2, 1, DesiredState.DRAINED))
    lifecycle.persisted(2.0)
    lifecycle.quiesce_confirmed(2.1, True)
    lifecycle.command(3.0, Command(2, 2, DesiredState.RUNNING))
    assert lifecycle.persisted(3.0)[1:] == [SetQuiesced(False)]
    assert lifecycle.quiesce_failed(4.0, False) == [] and lifecycle.tick(4.5) == [SetQuiesced(False)]


def test_the_process_that_follows_a_quiesced_one_is_resumed() -> None:
    """Processes of an instance may share a folder that keeps them quiesced: the next one never served."""
    lifecycle = running_lifecycle()
    lifecycle.command(2.0, Command(2, 1, DesiredState.RUNNING, "v2"))
    assert lifecycle.persisted(2.0)[1:] == [SetQuiesced(True)]
    lifecycle.quiesce_confirmed(2.1, True)
    lifecycle.tick(8.0)
    lifecycle.exited(9.0, "terminated")
    assert lifecycle.persisted(9.0) == [StartProcess("v2")]
    lifecycle.started(9.0, ProcessIdentity(8, 100, "v2"))
    assert lifecycle.persisted(9.0) == [SetQuiesced(False)]
    lifecycle.quiesce_failed(9.1, False)  # it does not listen yet
    assert lifecycle.tick(9.6) == [SetQuiesced(False)]
    assert lifecycle.quiesce_confirmed(9.7, False) == [] and lifecycle.ready(9.8, "v2") == []
    assert condition_of(lifecycle) is Condition.SERVING


def test_a_process_that_can_not_be_quiesced_is_not_reported_as_out_of_service() -> None:
    lifecycle = running_lifecycle()
    lifecycle.command(2.0, Command(2, 1, DesiredState.DRAINED))
    lifecycle.persisted(2.0)
    assert lifecycle.quiesce_unavailable(2.1) == [] and condition_of(lifecycle) is Condition.UNKNOWN
    assert lifecycle.health_checked(2.2, 2.2, True) == [] and condition_of(lifecycle) is Condition.SERVING


def test_a_restarted_agent_keeps_a_drained_process_and_confirms_that_it_is_quiesced() -> None:
    state = PersistedState(3, 1, DesiredState.DRAINED, "v1", ProcessIdentity(7, 99, "v1"))
    lifecycle = InstanceLifecycle(state, 0.0, TIMEOUTS, alive=True)
    assert condition_of(lifecycle) is Condition.UNKNOWN and lifecycle.tick(0.0) == [SetQuiesced(True)]
    assert (
        lifecycle.quiesce_confirmed(0.1, True) == [] and condition_of(lifecycle) is Condition.OUT_OF_SERVICE
    )
    assert lifecycle.tick(90.0) == []


def test_a_restarted_agent_takes_over_its_own_process_and_no_other() -> None:
    state = PersistedState(3, 1, DesiredState.RUNNING, "v1", ProcessIdentity(7, 99, "v1"))
    taken_over = InstanceLifecycle(state, 0.0, TIMEOUTS, alive=True)
    assert taken_over.tick(0.0) == [] and taken_over.ready(0.0, "v1") == []
    assert condition_of(taken_over) is Condition.SERVING
    # the pid is unused or belongs to another process
    restarted = InstanceLifecycle(state, 0.0, TIMEOUTS, alive=False)
    assert restarted.tick(0.0) == [StartProcess("v1")]


def test_no_action_is_taken_before_a_command_is_durable() -> None:
    lifecycle = running_lifecycle()
    lifecycle.command(2.0, Command(2, 1, DesiredState.STOPPED))
    assert lifecycle.tick(2.0) == [] and lifecycle.wake() == float("inf")
    assert lifecycle.observe().sequence == 0
    second_command = Command(3, 1, DesiredState.RUNNING)
    assert lifecycle.command(2.0, second_command) == [CommandResult(False, 2, 0)]
    assert [type(action) for action in lifecycle.persisted(2.0)] == [CommandResult, SetQuiesced]
