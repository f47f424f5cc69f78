"""The owner of an instance: old orders are refused, and there is never a second process."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heronreel.fleet.agent import (
    Actions,
    Agent,
    Answer,
    Guards,
    Keep,
    Kept,
    Order,
    Process,
    Quiesce,
    Signal,
    Stage,
    Start,
    Terms,
    Want,
)
from heronreel.fleet.model import Condition

TERMS = Terms(start=5.0, drain=5.0, end=5.0)


class Machine:
    """A disk, processes and one agent that is killed now and then.  What it does is seen from outside."""

    def __init__(self, seed: int, guards: Guards | None = None) -> None:
        self.rng = random.Random(seed)
        self.guards = guards
        self.now = 0.0
        self.disk = Kept()
        self.alive: dict[int, Process] = {}
        self.pids = 0
        self.most = (0, 0)  # the greatest mark of an order that was answered yes
        self.last = (0, 0)  # of the order told last
        self.agent = Agent(self.disk, self.now, TERMS, guards=guards)
        self.problems: list[str] = []
        self.todo: Actions = []

    def kill_agent(self) -> None:
        self.todo = []
        process = self.disk.process
        known = process is not None and self.alive.get(process.pid) == process
        self.agent = Agent(self.disk, self.now, TERMS, alive=known, guards=self.guards)
        # a process that was started and not written down is found by its mark in the environment, and ended
        for pid in [pid for pid, each in self.alive.items() if each != process]:
            del self.alive[pid]

    def act(self, actions: Actions) -> None:
        self.todo += actions
        while self.todo:
            if self.rng.random() < 0.05:
                self.kill_agent()
                return
            action = self.todo.pop(0)
            if isinstance(action, Keep):
                self.disk = action.kept
                self.todo += self.agent.kept(self.now)
            elif isinstance(action, Start):
                self.pids += 1
                process = Process(self.pids % 3, self.pids, action.version)  # pids come again
                if self.alive:
                    self.problems.append(f"{process} is started beside {self.alive}")
                self.alive[process.pid] = process
                self.todo += self.agent.started(self.now, process)
            elif isinstance(action, Signal):
                if self.alive.get(action.process.pid) == action.process and (
                    action.kill or self.rng.random() < 0.5
                ):
                    del self.alive[action.process.pid]
                    self.todo += self.agent.ended(self.now, "told")
            elif isinstance(action, Answer) and action.taken:
                if self.last < self.most:
                    self.problems.append(f"{self.last} is taken after {self.most}")
                self.most = max(self.most, self.last)
            elif isinstance(action, Quiesce):
                assert self.agent.stage in (Stage.DRAINING, Stage.STARTING)

    def step(self) -> None:
        self.now += self.rng.choice((0.1, 1.0, 6.0))
        kind = self.rng.randrange(6)
        if kind == 0:
            number, order = self.rng.randrange(1, 5), self.rng.randrange(1, 4)
            want = self.rng.choice(list(Want))
            self.last = number, order
            version = self.rng.choice(("", "v1", "v2"))
            self.act(self.agent.told(self.now, Order(number, order, want, version)))
        elif kind == 1 and self.alive:
            pid = self.rng.choice(list(self.alive))
            process = self.alive.pop(pid)
            if process == self.agent.process:
                self.act(self.agent.ended(self.now, "crashed"))
        elif kind == 2 and self.agent.process is not None:
            self.act(self.agent.ready(self.now, self.agent.process.version))
        elif kind == 3:
            self.act(self.agent.empty(self.now))
        elif kind == 4 and self.rng.random() < 0.3:
            self.kill_agent()
        else:
            self.act(self.agent.tick(self.now))


@settings(max_examples=150, deadline=None)
@given(st.integers(0, 1 << 30))
def test_there_is_never_a_second_process_and_no_overtaken_order_is_taken(seed: int) -> None:
    machine = Machine(seed)
    for _ in range(80):
        machine.step()
    assert machine.problems == []


@pytest.mark.parametrize("guard", ["durable", "ordered", "single"])
def test_without_a_guard_an_old_order_is_taken_or_a_second_process_started(guard: str) -> None:
    for seed in range(300):
        machine = Machine(seed, Guards(**{guard: False}))
        for _ in range(80):
            machine.step()
        if machine.problems:
            print(guard, seed, machine.problems[0])
            return
    raise AssertionError(f"nothing broke without {guard}")


def running(version: str = "v1") -> Agent:
    agent = Agent(Kept(), 0.0, TERMS)
    assert agent.told(0.0, Order(1, 1, Want.RUNNING, version)) == [Keep(Kept(1, 1, Want.RUNNING, version))]
    answer, start = agent.kept(0.0)
    assert answer == Answer(True, 1, 0) and start == Start(version)
    process = Process(7, 99, version)
    (keep,) = agent.started(0.0, process)
    assert isinstance(keep, Keep) and keep.kept.process == process
    assert agent.kept(0.0) == [] and agent.condition() is Condition.UNKNOWN
    agent.ready(1.0, version)
    assert agent.condition() is Condition.SERVING
    return agent


def test_an_old_order_is_refused_with_the_greatest_number() -> None:
    agent = running()
    agent.told(2.0, Order(5, 1, Want.DRAINED))
    (answer, quiesce) = agent.kept(2.0)
    assert answer == Answer(True, 5, 0) and quiesce == Quiesce(True)
    assert agent.told(2.0, Order(4, 9, Want.RUNNING)) == [Answer(False, 5, 0)]
    assert agent.told(2.0, Order(5, 1, Want.DRAINED)) == [Answer(True, 5, 0)]  # said again
    agent.told(2.0, Order(5, 3, Want.RUNNING))
    agent.kept(2.0)
    assert agent.told(2.0, Order(5, 2, Want.STOPPED)) == [Answer(False, 5, 0)]  # overtaken
    assert agent.stage is Stage.STARTING and agent.ready(2.0, "v1") == []
    assert agent.look() == (1, Condition.SERVING, 5)


def test_a_crash_loop_is_slowed_down_and_a_steady_process_begins_anew() -> None:
    agent = running()
    pauses = []
    now = 2.0
    for _ in range(9):
        agent.ended(now, "crashed")
        agent.kept(now)
        assert agent.condition() is Condition.FAILED
        pauses.append(agent.wake() - now)
        now = agent.wake()
        assert agent.tick(now) == [Start("v1")]
        agent.started(now, Process(7, 99, "v1"))
        agent.kept(now)
        agent.ready(now, "v1")
    assert pauses == [0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 60.0, 60.0]
    agent.ended(now + 61.0, "crashed")
    agent.kept(now + 61.0)
    assert agent.wake() - now - 61.0 == pytest.approx(0.5)


def test_a_new_version_drains_ends_and_starts_and_one_that_does_not_end_is_killed() -> None:
    agent = running()
    old = agent.process
    assert old is not None
    agent.told(10.0, Order(2, 1, Want.RUNNING, "v2"))
    _, quiesce = agent.kept(10.0)
    assert quiesce == Quiesce(True) and agent.condition() is Condition.OUT
    assert agent.tick(14.0) == [] and agent.tick(15.0) == [Signal(old, False)]  # it drains for ever
    assert agent.tick(19.0) == [] and agent.tick(20.0) == [Signal(old, True)]
    agent.ended(20.5, "killed")
    assert agent.kept(20.5) == [Start("v2")] and agent.failures == 0  # it was asked for
    process = Process(8, 100, "v2")
    agent.started(21.0, process)
    agent.kept(21.0)
    assert agent.ready(21.0, "v1") == [] and agent.stage is Stage.STARTING  # says that it is another version
    assert agent.tick(26.0) == [Signal(process, False)]  # it was not ready in time


def test_an_agent_that_is_back_takes_up_its_own_process_and_no_other() -> None:
    kept = Kept(3, 1, Want.RUNNING, "v1", Process(7, 99, "v1"))
    back = Agent(kept, 0.0, TERMS, alive=True)
    assert back.tick(0.0) == [] and back.ready(0.0, "v1") == [] and back.condition() is Condition.SERVING
    gone = Agent(kept, 0.0, TERMS, alive=False)  # the pid is another's by now, or nobody's
    assert gone.tick(0.0) == [Start("v1")]


def test_nothing_is_begun_before_what_was_told_is_durable() -> None:
    agent = running()
    agent.told(2.0, Order(2, 1, Want.STOPPED))
    assert agent.tick(2.0) == [] and agent.look()[0] == 0 and agent.wake() == float("inf")
    assert agent.told(2.0, Order(3, 1, Want.RUNNING)) == [Answer(False, 2, 0)]  # one at a time
    assert [type(each) for each in agent.kept(2.0)] == [Answer, Quiesce]
