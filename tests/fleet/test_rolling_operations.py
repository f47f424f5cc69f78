"""Operations that go through the fleet: one instance's way in any order of events, and between processes."""

from __future__ import annotations

import asyncio
import random
import re
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from pathlib import Path
from typing import Any

import aiohttp
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heronreel.coordination.client import Client
from heronreel.fault_injection.harness import Harness
from heronreel.fault_injection.managed_process import ManagedProcess
from heronreel.fleet.account import Account
from heronreel.fleet.agent import Agent, Keep, Kept, Order, Stage, Start, Want
from heronreel.fleet.agent import Answer as Answered
from heronreel.fleet.agent import Process as Ran
from heronreel.fleet.controller import selected, work_of
from heronreel.fleet.model import Condition, Instance, Kind, Verb
from heronreel.fleet.operation import account
from heronreel.fleet.step import Adopt, End, Give, Guards, Limits, Said, Step, Take, Tell
from heronreel.fleet.taking import Back, Refused, Taken, Waiting
from tests.fleet.test_agent_processes import Fleet
from tests.support.loopback import Backend

LIMITS = Limits(patience=40.0, settle=60.0)


class Walk:
    """One real step and one real agent; answers and looks are lost or late, the process dies, and what the
    judge says rests on the process alone.
    """

    def __init__(self, seed: int, verb: Verb, guards: Guards) -> None:
        self.draw = random.Random(seed)
        self.verb, self.now, self.pid = verb, 0.0, 1
        self.version = "2" if verb is Verb.UPGRADE else ""
        self.step = Step(verb, 7, 0.0, self.version, LIMITS, guards)
        self.agent = Agent(Kept(3, 1, Want.RUNNING, "1", Ran(1, 1, "1")), 0.0, alive=True)
        self.agent.ready(0.0, "1")
        self.part = False
        self.was_ready = False  # the process served at some time after the last order was durable
        self.row = self._look()
        self.ended = ""

    def _look(self) -> Instance:
        looked, condition, number = self.agent.look()
        version = self.agent.process.version if self.agent.process else ""
        return Instance(Kind.PROXY, "p", condition=condition, looked=looked, number=number, version=version)

    def _do(self, actions: list[Any]) -> None:
        """What the agent does; its disk is as fast as its memory."""
        for action in actions:
            if isinstance(action, Keep):
                self._do(self.agent.kept(self.now))
            elif isinstance(action, Start):
                self.pid += 1
                self._do(self.agent.started(self.now, Ran(self.pid, self.pid, action.version)))
            elif isinstance(action, Answered):
                self.answer = Said(action.taken, action.number, action.looked)
        if self.agent.stage is Stage.READY:
            self.was_ready = True

    def _event(self) -> None:
        """Something of the machine's own."""
        agent, process = self.agent, self.agent.process
        if process is None or agent.stage is Stage.NONE:
            self._do(agent.tick(self.now))
        elif agent.stage in (Stage.ENDING, Stage.KILLED) or self.draw.random() < 0.1:
            self._do(agent.ended(self.now, "gone"))
        elif agent.stage is Stage.STARTING:
            self._do(agent.ready(self.now, process.version))
        elif agent.stage is Stage.DRAINING:
            self._do(agent.empty(self.now))

    def _acts(self, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, End):
                self.ended = action.outcome
                self._judge(action.outcome)
            elif self.draw.random() < 0.2 and not isinstance(action, Take):
                self._acts(self.step.unanswered(self.now, "lost"))
            elif isinstance(action, Take):
                refused = self.draw.random() < 0.3
                self.part = not refused
                self._acts(self.step.took(self.now, Refused((), (), ("p",)) if refused else Taken(("p",))))
            elif isinstance(action, Adopt):
                self._acts(self.step.adopted(self.now, self.part))
            elif isinstance(action, Tell):
                assert self.part or self.verb in (Verb.START, Verb.UNDRAIN), "an order without a part"
                self.was_ready = False
                self._do(self.agent.told(self.now, Order(7, action.order, action.want, action.version)))
                self._acts(
                    self.step.unanswered(self.now, "lost")
                    if self.draw.random() < 0.3
                    else self.step.answered(self.now, self.answer)
                )
            elif isinstance(action, Give):
                good = self.row.condition is Condition.SERVING and self.row.looked > action.beyond
                self._acts(self.step.gave(self.now, Back("p") if good else Waiting("p", self.row.condition)))

    def _judge(self, outcome: str) -> None:
        if outcome.startswith("running"):
            assert self.was_ready, "running, and it never was since it was told"
            assert outcome == f"running {self.version or '1'}"
        if outcome == "stopped":
            assert self.agent.process is None, "stopped, and it runs"
        if outcome == "drained":
            assert self.agent.stage in (Stage.DRAINING, Stage.DRAINED, Stage.NONE, Stage.STARTING)

    def run(self) -> str:
        for _ in range(600):
            self.now += self.draw.uniform(0.0, 0.4)
            chance = self.draw.random()
            if chance < 0.3:
                self._event()
            elif chance < 0.5:
                self.row = self._look()
            elif chance < 0.75:
                self._acts(self.step.seen(self.now, self.row))
            else:
                self._acts(self.step.tick(self.now))
            if self.ended:
                return self.ended
        return "goes on"


@settings(max_examples=300, deadline=None)
@given(st.integers(0, 1 << 30), st.sampled_from(list(Verb)))
def test_what_is_called_done_was_seen_after_it_was_asked_for(seed: int, verb: Verb) -> None:
    assert Walk(seed, verb, Guards()).run() != "goes on"


@pytest.mark.parametrize("guard", Guards._fields)
def test_without_a_guard_something_is_called_done_that_is_not(guard: str) -> None:
    def broken(seed: int) -> bool:
        try:
            Walk(seed, list(Verb)[seed % len(Verb)], Guards(**{guard: False})).run()
        except AssertionError:
            return True
        return False

    assert any(broken(seed) for seed in range(600))


def test_a_step_that_halts_or_is_fenced_says_so_and_a_begun_one_goes_on() -> None:
    step = Step(Verb.RESTART, 7, 0.0, "", LIMITS)
    assert step.halt(0.0) == [End("not begun")]
    step = Step(Verb.RESTART, 7, 0.0, "", LIMITS)
    assert step.tick(0.0) == [Take()] and not step.halt(0.0)  # its answer decides
    assert step.took(0.1, Taken(("p",))) == [Tell(1, Want.STOPPED, "")] and not step.halt(0.1)
    assert step.answered(0.2, Said(False, 9, 0)) == [End("refused: number 9 is newer than 7")]
    step = Step(Verb.STOP, 7, 0.0, "", LIMITS)
    step.tick(0.0)
    step.took(0.0, Refused((), (), ("p",)))
    assert step.tick(41.0) == [End("refused: p: nobody told of it")]
    step = Step(Verb.STOP, 7, 0.0, "", LIMITS)
    step.tick(0.0)
    step.took(0.0, Taken(("p",)))
    step.answered(0.1, Said(True, 7, 4))
    step.seen(0.2, Instance(Kind.PROXY, "p", condition=Condition.SERVING, looked=5, number=7, version="1"))
    assert step.tick(61.0) == [End("failed: serving after 60 s, wanted stopped")]


def test_instances_are_meant_by_words_and_zones_take_turns() -> None:
    rows = [Instance(Kind.PROXY, f"p{n}", zone="xy"[n % 2], condition=Condition.SERVING) for n in range(4)]
    now = Account(1, (), {i.ident: i for i in rows}, {})
    assert selected(now, ["p*"]) == ("proxy/p0", "proxy/p1", "proxy/p2", "proxy/p3")
    assert selected(now, ["zone=x", "p[0-1]"]) == ("proxy/p0",)
    assert selected(now, ["state=failed"]) == ()
    with pytest.raises(ValueError, match="expected a name"):
        selected(now, ["rack=1"])


class Two:
    """Two agents with two proxies each, in a zone of their own, of which one a zone may be out."""

    def __init__(self, harness: Harness, folder: Path, backend: str, client: Client) -> None:
        self.harness, self.folder, self.client = harness, folder, client
        self.agents = [
            Fleet(harness, folder, backend, "m1", ("p1", "p2")),
            Fleet(harness, folder, backend, "m2", ("p3", "p4")),
        ]
        self.most_out = 0

    async def operator(self, *words: str, **env: str) -> ManagedProcess:
        line = ("heronreel.cli", "fleet", *words, "--members", f"a={self.harness.addresses[0]}")
        return await self.harness.start_process("operator", *line, **env)

    async def says(self, *words: str, code: int = 0) -> str:
        return await asyncio.to_thread(self.harness.run_command, "fleet", *words, expected_code=code)

    async def watch(self) -> None:
        """The judge: what the machines' own tables say, and not the account."""
        while True:
            for agent in self.agents:
                with suppress(aiohttp.ClientError, OSError, TimeoutError):
                    rows = (await agent.call("/status"))[1]
                    out = sum(row["condition"] != "serving" for row in rows.values())
                    self.most_out = max(self.most_out, out)
            await asyncio.sleep(0.02)

    async def processes(self) -> dict[str, int]:
        found = {}
        for agent in self.agents:
            for name, pids in agent.running().items():
                (found[name],) = pids
        return found


@asynccontextmanager
async def two(folder: Path) -> AsyncIterator[Two]:
    async with AsyncExitStack() as stack:
        harness = await stack.enter_async_context(Harness(folder, ("a",), 1))
        client = await stack.enter_async_context(Client(harness.addresses))
        backend = await stack.enter_async_context(Backend())
        await harness.wait_until_available()
        fleet = Two(harness, folder, backend.address, client)
        try:
            for agent in fleet.agents:
                await agent.agent()
                for name in agent.ports:
                    assert await agent.order(name, 1, 1, "running", "1") == 200
            for agent in fleet.agents:
                for name in agent.ports:
                    await agent.until(name, condition="serving")
            async with asyncio.timeout(40):
                while True:
                    seen = (await account(client)).instances
                    if [i.condition for i in seen.values()] == [Condition.SERVING] * 4:
                        break
                    await asyncio.sleep(0.05)
            (folder / "allow.toml").write_text(
                '[[allow]]\nname = "one a zone"\nkind = "proxy"\nscope = "zone"\nmost_out = 1\n'
            )
            await fleet.says("allow", str(folder / "allow.toml"))
            yield fleet
        finally:
            for agent in fleet.agents:
                agent.clear()


@pytest.mark.parametrize("point", ["taken:2", "told:3"])
def test_a_controller_killed_at_a_point_is_followed_and_no_more_are_out(point: str, tmp_path: Path) -> None:
    async def run() -> None:
        async with two(tmp_path) as fleet:
            before = await fleet.processes()
            judge = asyncio.ensure_future(fleet.watch())
            doomed = await fleet.operator("restart", "p*", "--at-once", "4", HERONREEL_END_AT=point)
            assert await doomed.wait_for_exit(90) == -9
            told = await fleet.says("restart", "p1", "--by", "ada", "--wait", "20", code=3)
            assert "go on with it, or give it up" in told, told
            told = await fleet.says("go-on", "--by", "ada", "--wait", "20")
            assert "4 of 4" in told, told
            judge.cancel()
            after = await fleet.processes()
            assert all(after[name] != before[name] for name in before)
            assert fleet.most_out == 1
            now = await account(fleet.client)
            assert not now.parts and {i.condition for i in now.instances.values()} == {Condition.SERVING}
            work = await work_of(fleet.client)
            assert work and work.ended == "done" and set(work.outcomes.values()) == {"running 1"}

    asyncio.run(run())


def test_a_halt_stops_what_is_new_and_a_bad_version_halts_and_comes_back(tmp_path: Path) -> None:
    async def run() -> None:
        async with two(tmp_path) as fleet:
            rolling = await fleet.operator("restart", "p*")
            await rolling.wait_for_line("running 1")
            told = await fleet.says("restart", "p2", "--by", "ada", "--wait", "1", code=3)
            assert re.search(r"has the fleet, with restart \w+ by", told), told
            await fleet.says("halt", "--why", "smoke", "--by", "ada")
            halted_at = len((await account(fleet.client)).parts)
            assert await rolling.wait_for_exit(60) == 1 and halted_at <= 1
            work = await work_of(fleet.client)
            assert work and work.left and not work.ended
            told = await fleet.says("status")
            assert "HALTED by ada: smoke" in told and "halted" in told
            told = await fleet.says("go-on", "--by", "ada", code=1)
            assert f"{len(work.left)} not begun" in told, told  # it stands through this as well
            await fleet.says("resume")
            await fleet.says("go-on", "--by", "ada")
            # a version that does not run: its first instance halts the rest, and it comes back by a start
            told = await fleet.says("upgrade", "p*", "--to", "bad", "--settle", "4", code=1)
            assert "proxy/p1" in told and "failed" in told, told
            now = await account(fleet.client)
            assert now.halted and "proxy/p1 is failed" in now.halted.why and set(now.parts) == {"proxy/p1"}
            await fleet.says("give-up")
            told = await fleet.says("start", "p1", "--to", "1")
            assert "running 1" in told, told
            now = await account(fleet.client)
            assert not now.parts and now.halted  # nobody but `resume` lifts it
            await fleet.says("drain", "p2", code=3)
            await fleet.says("resume")
            await fleet.says("stop", "p2", "p3", code=3)  # no instance has both names
            await fleet.says("stop", "p2")
            told = await fleet.says("stop", "p1", "--patience", "1", code=1)
            assert "one a zone: zone m1 2 out" in told, told
            assert "at most 1 may be" in told

    asyncio.run(run())
