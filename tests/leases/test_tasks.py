"""Steps of fleet-wide tasks: where a successor goes on, whatever is lost, and who does what."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heronreel.coordination.errors import RequestError, StatusCode
from heronreel.coordination.keyspace import EMPTY_CONTENT, Keyspace
from heronreel.coordination.model import DeleteRange, Put, ResponseOrError
from heronreel.leases.lease import SendRequest
from heronreel.leases.tasks import (
    Priority,
    RunStep,
    StepConfirmed,
    Task,
    TaskProgress,
    TaskReleased,
    TaskSuspended,
    decode_cursor,
    encode_cursor,
    next_task,
    rendezvous_order,
    restart_suspended,
    standby_delay,
)

TASK = Task("upkeep", period_s=5.0)


class Play:
    """One holder after the other on a state that answers as one; answers and holders get lost by a seed."""

    def __init__(self, seed: int, loss: float, fenced: bool = True) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.fenced = fenced
        self.state = Keyspace.from_content(EMPTY_CONTENT)
        self.now = 0.0
        self.done: list[tuple[int, int]] = []  # step and number, in the order in which they were done
        self.told: list[object] = []
        self.problems: list[str] = []

    def holder(self) -> TaskProgress:
        """The claim is taken by the next one; whoever had it does not know."""
        self.state = self.state.apply(DeleteRange(TASK.claim)).state
        self.state = self.state.apply(Put(TASK.claim, b"x")).state
        number = self.state.keys[TASK.claim].create_revision
        return TaskProgress(TASK, number, f"h{number}", self.now, fenced=self.fenced)

    def confirmed(self) -> int:
        record = self.state.keys.get(TASK.key)
        return decode_cursor(record.value).step if record else 0

    def turn(self, steps: TaskProgress, die_at: str = "") -> bool:
        """What the holder does next; False where it died or has nothing to do."""
        actions = steps.tick(self.now)
        while actions:
            action = actions.pop(0)
            self.told.append(action)
            if isinstance(action, SendRequest):
                if self.rng.random() < self.loss:
                    return True  # the question is lost
                answer: ResponseOrError
                before = self.confirmed()
                try:
                    done = self.state.apply(action.request)  # type: ignore[arg-type]
                    self.state, answer = done.state, done.response
                except RequestError as refused:
                    answer = refused
                if self.confirmed() not in (before, before + 1):
                    self.problems.append(f"confirmed {self.confirmed()} after {before}")
                if self.rng.random() < self.loss:
                    if self.rng.random() < 0.5:
                        lost = RequestError(StatusCode.UNKNOWN, "")
                        actions += steps.answered(self.now, action.number, lost)
                    continue
                actions += steps.answered(self.now, action.number, answer)
            elif isinstance(action, RunStep):
                if action.step <= self.confirmed():
                    self.problems.append(f"step {action.step} is done again after it was confirmed")
                if die_at == "before":
                    return False
                self.done.append((action.step, action.number))
                if die_at == "behind":
                    return False
                actions += steps.done(self.now, action.step)
        return True


@settings(max_examples=150, deadline=None)
@given(st.integers(0, 1 << 30), st.floats(0.0, 0.4), st.integers(1, 4))
def test_confirmed_steps_are_never_done_again_and_none_is_left_out(seed: int, loss: float, many: int) -> None:
    play = Play(seed, loss)
    holders = [play.holder()]
    for _ in range(120):
        play.now += play.rng.choice((0.1, 1.1, 6.0))
        if play.rng.random() < 0.1:
            holders = [*holders[-many:], play.holder()]  # those before are late, and not gone
        for steps in holders:
            play.turn(steps)
    assert play.problems == []
    assert {step for step, _ in play.done} >= set(range(1, play.confirmed() + 1))
    # where three holders were followed before they confirmed the first step, it is set aside
    assert play.confirmed() > 0 or any(isinstance(each, TaskSuspended) for each in play.told)


def test_without_the_number_an_old_holder_takes_the_cursor_back() -> None:
    broken = 0
    for seed in range(30):
        play = Play(seed, 0.2, fenced=False)
        holders = [play.holder()]
        for _ in range(120):
            play.now += play.rng.choice((0.1, 1.1, 6.0))
            if play.rng.random() < 0.1:
                holders = [*holders[-3:], play.holder()]
            for steps in holders:
                play.turn(steps)
        broken += bool(play.problems)
    assert broken


@pytest.mark.parametrize("die_at", ["before", "behind"])
def test_a_step_that_three_holders_die_at_sets_the_task_aside(die_at: str) -> None:
    play = Play(1, 0.0)
    first = play.holder()
    assert play.turn(first) and play.turn(first) and play.confirmed() == 1
    for count in range(3):
        play.now += 10.0
        steps = play.holder()
        play.turn(steps)
        play.now += 10.0
        play.turn(steps, die_at)
        assert [each for each in play.told if isinstance(each, RunStep)][-1].step == 2, count
    play.now += 10.0
    fourth = play.holder()
    play.turn(fourth)
    play.turn(fourth)
    assert play.told[-1] == TaskSuspended("upkeep", 2, 3)
    play.now += 10.0
    play.turn(play.holder())
    assert play.told[-1] == TaskSuspended("upkeep", 2, 3)  # whoever comes is told
    record = play.state.keys[TASK.key]
    play.state = play.state.apply(
        Put(TASK.key, encode_cursor(restart_suspended(decode_cursor(record.value))))
    ).state
    fifth = play.holder()
    play.turn(fifth)
    play.turn(fifth)
    assert play.told[-1:] == [StepConfirmed("upkeep", 2)]


def test_one_whose_claim_was_taken_leaves_and_a_slow_step_is_not_waited_for() -> None:
    play = Play(2, 0.0)
    old = play.holder()
    assert play.turn(old) and play.turn(old)
    new = play.holder()
    play.now += 6.0
    play.turn(old)
    assert isinstance(play.told[-1], TaskReleased) and old.wake() == float("inf")
    play.turn(new)
    play.now += 6.0
    play.turn(new, "behind")
    play.now += TASK.step_s
    assert new.tick(play.now) == [TaskReleased("upkeep", new.number)] and new.done(play.now, 2) == []


def test_tasks_spread_over_those_present_and_move_little() -> None:
    names = [f"p{number}" for number in range(20)]
    tasks = [f"t{number}" for number in range(400)]
    first = {task: rendezvous_order(task, names)[0] for task in tasks}
    shares = [list(first.values()).count(name) for name in names]
    assert min(shares) >= 6 and max(shares) <= 40
    left = names[:-1]
    moved = [task for task in tasks if rendezvous_order(task, left)[0] != first[task]]
    assert all(first[task] == names[-1] for task in moved)
    assert standby_delay("t1", first["t1"], names) == 0.0 and standby_delay("t1", "new", []) == 0.0


def test_urgent_work_goes_first_and_nothing_starves() -> None:
    urgent, idle = Task("u", urgency=Priority.URGENT), Task("i", urgency=Priority.IDLE)
    assert next_task([(idle, 0.0), (urgent, 10.0)], 10.0) == urgent
    assert next_task([(idle, 0.0), (urgent, 99.0)], 100.0) == idle  # it waited for over two classes
    assert next_task([], 1.0) is None
