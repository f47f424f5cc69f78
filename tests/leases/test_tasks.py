"""Fleet-wide tasks: the progress of steps over successive holders, and the scheduling of tasks.

The simulated holders guard against confirmed steps that are run again and steps that are skipped, when
requests and responses are lost and a previous holder does not know that it lost its claim.
"""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heronreel.coordination.errors import RequestError, StatusCode
from heronreel.coordination.keyspace import EMPTY_CONTENT, Keyspace
from heronreel.coordination.model import DeleteRange, Put, ResponseOrError
from heronreel.leases.requests import SendRequest
from heronreel.leases.scheduling import DueTask, next_task, rendezvous_order, standby_delay
from heronreel.leases.task_progress import (
    Action,
    Actions,
    RunStep,
    StepConfirmed,
    TaskProgress,
    TaskReleased,
    TaskSuspended,
)
from heronreel.leases.tasks import Priority, Task, decode_cursor, encode_cursor, restart_suspended

TASK = Task("upkeep", period_s=5.0)
STEP_INTERVALS_S = (0.1, 1.1, 6.0)
CRASH_BEFORE_STEP = "before"
CRASH_AFTER_STEP = "after"


class Simulation:
    """Simulates successive holders of a task on one keyspace; the seed decides which messages are lost."""

    def __init__(self, seed: int, loss: float, fenced: bool = True) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.fenced = fenced
        self.state = Keyspace.from_content(EMPTY_CONTENT)
        self.now = 0.0
        self.steps_run: list[int] = []
        self.actions: list[Action] = []
        self.problems: list[str] = []

    def new_holder(self) -> TaskProgress:
        """Grant the claim to a new holder; the previous holder does not notice."""
        self.state = self.state.apply(DeleteRange(TASK.claim_key)).state
        self.state = self.state.apply(Put(TASK.claim_key, b"x")).state
        token = self.state.keys[TASK.claim_key].create_revision
        return TaskProgress(TASK, token, f"h{token}", self.now, fenced=self.fenced)

    def confirmed_step(self) -> int:
        record = self.state.keys.get(TASK.cursor_key)
        return decode_cursor(record.value).confirmed_step if record else 0

    def last_action(self) -> Action:
        return self.actions[-1]

    def tick(self, progress: TaskProgress, crash: str = "") -> None:
        """Carry out the due actions of a holder, which may crash before or after a step."""
        actions = progress.tick(self.now)
        while actions:
            action = actions.pop(0)
            self.actions.append(action)
            if isinstance(action, SendRequest):
                if self.rng.random() < self.loss:
                    return  # The request is lost.
                actions += self.respond(progress, action)
            elif isinstance(action, RunStep):
                if action.step <= self.confirmed_step():
                    self.problems.append(f"step {action.step} is run again after it was confirmed")
                if crash == CRASH_BEFORE_STEP:
                    return
                self.steps_run.append(action.step)
                if crash == CRASH_AFTER_STEP:
                    return
                actions += progress.step_succeeded(self.now, action.step)

    def respond(self, progress: TaskProgress, action: SendRequest) -> Actions:
        """Apply a request; its response may be lost."""
        response = self.apply(action)
        if self.rng.random() >= self.loss:
            return progress.on_response(self.now, action.request_id, response)
        if self.rng.random() < 0.5:
            unknown_outcome = RequestError(StatusCode.UNKNOWN, "")
            return progress.on_response(self.now, action.request_id, unknown_outcome)
        return []

    def apply(self, action: SendRequest) -> ResponseOrError:
        before = self.confirmed_step()
        response: ResponseOrError
        try:
            applied = self.state.apply(action.request)  # type: ignore[arg-type]
            self.state, response = applied.state, applied.response
        except RequestError as error:
            response = error
        if self.confirmed_step() not in (before, before + 1):
            self.problems.append(f"step {self.confirmed_step()} is confirmed after step {before}")
        return response

    def run(self, rounds: int, previous_holders: int) -> None:
        """Run successive holders, with up to `previous_holders` continuing beside the latest one."""
        holders = [self.new_holder()]
        for _ in range(rounds):
            self.now += self.rng.choice(STEP_INTERVALS_S)
            if self.rng.random() < 0.1:
                holders = [*holders[-previous_holders:], self.new_holder()]
            for progress in holders:
                self.tick(progress)


@settings(max_examples=150, deadline=None)
@given(st.integers(0, 1 << 30), st.floats(0.0, 0.4), st.integers(1, 4))
def test_confirmed_steps_are_never_run_again_and_none_is_skipped(
    seed: int, loss: float, previous_holders: int
) -> None:
    simulation = Simulation(seed, loss)
    simulation.run(120, previous_holders)
    assert simulation.problems == []
    assert set(simulation.steps_run) >= set(range(1, simulation.confirmed_step() + 1))
    # If three holders were replaced before they confirmed the first step, the task is suspended.
    suspended = any(isinstance(action, TaskSuspended) for action in simulation.actions)
    assert simulation.confirmed_step() > 0 or suspended


def test_previous_holder_corrupts_the_cursor_if_writes_are_not_fenced() -> None:
    failed_runs = 0
    for seed in range(30):
        simulation = Simulation(seed, 0.2, fenced=False)
        simulation.run(120, 3)
        failed_runs += bool(simulation.problems)
    assert failed_runs


@pytest.mark.parametrize("crash", [CRASH_BEFORE_STEP, CRASH_AFTER_STEP])
def test_step_at_which_three_holders_crash_suspends_the_task(crash: str) -> None:
    simulation = Simulation(1, 0.0)
    first = simulation.new_holder()
    simulation.tick(first)
    simulation.tick(first)
    assert simulation.confirmed_step() == 1
    for attempt in range(3):
        simulation.now += 10.0
        progress = simulation.new_holder()
        simulation.tick(progress)
        simulation.now += 10.0
        simulation.tick(progress, crash)
        run_steps = [action for action in simulation.actions if isinstance(action, RunStep)]
        assert run_steps[-1].step == 2, attempt
    simulation.now += 10.0
    fourth = simulation.new_holder()
    simulation.tick(fourth)
    simulation.tick(fourth)
    assert simulation.last_action() == TaskSuspended("upkeep", 2, 3)
    simulation.now += 10.0
    simulation.tick(simulation.new_holder())
    # Every later holder finds the task suspended.
    assert simulation.last_action() == TaskSuspended("upkeep", 2, 3)
    cursor = decode_cursor(simulation.state.keys[TASK.cursor_key].value)
    restart = Put(TASK.cursor_key, encode_cursor(restart_suspended(cursor)))
    simulation.state = simulation.state.apply(restart).state
    fifth = simulation.new_holder()
    simulation.tick(fifth)
    simulation.tick(fifth)
    assert simulation.last_action() == StepConfirmed("upkeep", 2)


def test_holder_stops_when_another_process_has_the_claim_or_its_step_times_out() -> None:
    simulation = Simulation(2, 0.0)
    previous = simulation.new_holder()
    simulation.tick(previous)
    simulation.tick(previous)
    latest = simulation.new_holder()
    simulation.now += 6.0
    simulation.tick(previous)
    assert isinstance(simulation.last_action(), TaskReleased) and previous.next_wakeup() == float("inf")
    simulation.tick(latest)
    simulation.now += 6.0
    simulation.tick(latest, CRASH_AFTER_STEP)
    simulation.now += TASK.step_timeout_s
    assert latest.tick(simulation.now) == [TaskReleased("upkeep", latest.fencing_token)]
    assert latest.step_succeeded(simulation.now, 2) == []


def test_tasks_spread_over_the_processes_and_only_those_of_a_stopped_process_move() -> None:
    names = [f"p{number}" for number in range(20)]
    tasks = [f"t{number}" for number in range(400)]
    first = {task: rendezvous_order(task, names)[0] for task in tasks}
    counts = [list(first.values()).count(name) for name in names]
    assert min(counts) >= 6 and max(counts) <= 40
    remaining = names[:-1]
    moved = [task for task in tasks if rendezvous_order(task, remaining)[0] != first[task]]
    assert all(first[task] == names[-1] for task in moved)
    assert standby_delay("t1", first["t1"], names) == 0.0 and standby_delay("t1", "new", []) == 0.0


def test_urgent_tasks_run_first_and_no_task_starves() -> None:
    urgent, idle = Task("u", priority=Priority.URGENT), Task("i", priority=Priority.IDLE)
    assert next_task([DueTask(idle, 0.0), DueTask(urgent, 10.0)], 10.0) == urgent
    # The idle task has waited long enough to be raised by more than two priority classes.
    raised_by_waiting = DueTask(idle, 0.0)
    assert next_task([raised_by_waiting, DueTask(urgent, 99.0)], 100.0) == idle
    assert next_task([], 1.0) is None


def test_idle_task_runs_before_a_normal_task_once_half_of_its_deadline_has_passed() -> None:
    normal, with_deadline = Task("early"), Task("late", priority=Priority.IDLE, deadline_s=10.0)
    assert next_task([DueTask(normal, 0.0), DueTask(with_deadline, 1.0)], 4.0) is normal
    assert next_task([DueTask(normal, 0.0), DueTask(with_deadline, 1.0)], 6.0) is with_deadline


def test_each_priority_class_is_found_by_its_stored_name() -> None:
    assert [Priority.from_stored_name(priority.stored_name) for priority in Priority] == list(Priority)
    with pytest.raises(KeyError):
        Priority.from_stored_name("normal")  # In settings the name of this class is "usual".
