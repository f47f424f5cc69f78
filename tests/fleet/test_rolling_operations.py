"""Tests of operations on the fleet: the state machine of one instance, and controllers as processes."""

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
from heronreel.fleet.budget_client import read_snapshot
from heronreel.fleet.claim_requester import ClaimDenied, ClaimGranted, ClaimReleased, ReleasePending
from heronreel.fleet.errors import InvalidSelectorError
from heronreel.fleet.instance_lifecycle import InstanceLifecycle
from heronreel.fleet.instance_operation import (
    AcquireClaim,
    AdoptClaim,
    Finish,
    InstanceOperation,
    OperationGuards,
    OperationTimeouts,
    ReleaseClaim,
    SendCommand,
)
from heronreel.fleet.instance_selector import select_instances
from heronreel.fleet.leadership import read_operation
from heronreel.fleet.lifecycle_messages import (
    Command,
    CommandResult,
    DesiredState,
    Persist,
    PersistedState,
    ProcessIdentity,
    ProcessStage,
    SetQuiesced,
    StartProcess,
)
from heronreel.fleet.model import Condition, Instance, InstanceKind, OperationKind
from tests.fleet.agent_harness import AgentHarness, wait_until_serving
from tests.support.loopback import Backend

TIMEOUTS = OperationTimeouts(claim=40.0, command=60.0)
FENCING_TOKEN = 7


class RandomRun:
    """Runs an operation against a lifecycle, with a simulated agent, group and process.

    Responses and observations are lost or late, and the process fails at random.  The reported outcome is
    compared with the actual state of the process.
    """

    def __init__(self, seed: int, kind: OperationKind, guards: OperationGuards) -> None:
        self.random = random.Random(seed)
        self.kind = kind
        self.now = 0.0
        self.pid = 1
        self.version = "2" if kind is OperationKind.UPGRADE else ""
        self.operation = InstanceOperation(kind, FENCING_TOKEN, 0.0, self.version, TIMEOUTS, guards)
        state = PersistedState(3, 1, DesiredState.RUNNING, "1", ProcessIdentity(1, 1, "1"))
        self.lifecycle = InstanceLifecycle(state, 0.0, alive=True)
        self.lifecycle.ready(0.0, "1")
        self.has_claim = False
        self.is_quiesced = False  # whether the process has been quiesced
        self.call: bool | None = None  # a call to quiesce or resume it whose result is not known yet
        self.was_ready = False  # whether the process served after the last command became durable
        self.observed = self._observe()
        self.outcome = ""

    def _observe(self) -> Instance:
        observation = self.lifecycle.observe()
        process = self.lifecycle.process
        return Instance(
            InstanceKind.PROXY,
            "p",
            condition=observation.condition,
            observation=observation.sequence,
            fencing_token=observation.fencing_token,
            version=process.version if process else "",
        )

    def _carry_out_lifecycle(self, actions: list[Any]) -> None:
        """Execute actions of the lifecycle; states become durable immediately."""
        for action in actions:
            if isinstance(action, Persist):
                self._carry_out_lifecycle(self.lifecycle.persisted(self.now))
            elif isinstance(action, StartProcess):
                self.pid += 1
                process = ProcessIdentity(self.pid, self.pid, action.version)
                if self.call is not None:
                    quiesced, self.call = self.call, None
                    self._carry_out_lifecycle(self.lifecycle.quiesce_failed(self.now, quiesced))
                self._carry_out_lifecycle(self.lifecycle.started(self.now, process))
            elif isinstance(action, CommandResult):
                self.result = action
            elif isinstance(action, SetQuiesced):
                self.call = action.quiesced
        if self.lifecycle.stage is ProcessStage.READY:
            self.was_ready = True

    def _process_event(self) -> None:
        lifecycle, process = self.lifecycle, self.lifecycle.process
        if process is None or lifecycle.stage is ProcessStage.NONE:
            self._carry_out_lifecycle(lifecycle.tick(self.now))
        elif lifecycle.stage in (ProcessStage.TERMINATING, ProcessStage.KILLED) or self.random.random() < 0.1:
            self._carry_out_lifecycle(lifecycle.exited(self.now, "gone"))
        elif lifecycle.stage is ProcessStage.STARTING and self.call is None and not self.is_quiesced:
            self._carry_out_lifecycle(lifecycle.ready(self.now, process.version))
        else:
            self._end_call()

    def _end_call(self) -> None:
        """Execute the pending call and report its result, unless either is lost."""
        if self.call is None:
            self._carry_out_lifecycle(self.lifecycle.tick(self.now))
            return
        quiesced, self.call = self.call, None
        if self.random.random() < 0.5:
            self._carry_out_lifecycle(self.lifecycle.quiesce_failed(self.now, quiesced))
            return
        self.is_quiesced = quiesced
        self._carry_out_lifecycle(self.lifecycle.quiesce_confirmed(self.now, quiesced))

    def _carry_out_operation(self, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, Finish):
                self.outcome = action.outcome
                self._check(action.outcome)
            elif self.random.random() < 0.2 and not isinstance(action, AcquireClaim):
                self._carry_out_operation(self.operation.request_failed(self.now, "lost"))
            elif isinstance(action, AcquireClaim):
                denied = self.random.random() < 0.3
                self.has_claim = not denied
                outcome = ClaimDenied((), (), ("p",)) if denied else ClaimGranted(("p",))
                self._carry_out_operation(self.operation.claim_decided(self.now, outcome))
            elif isinstance(action, AdoptClaim):
                self._carry_out_operation(self.operation.claim_adopted(self.now, self.has_claim))
            elif isinstance(action, SendCommand):
                self._send_command(action)
            elif isinstance(action, ReleaseClaim):
                self._release_claim(action)

    def _send_command(self, action: SendCommand) -> None:
        assert self.has_claim or self.kind.restores_service, "a command was sent without a claim"
        self.was_ready = False
        command = Command(FENCING_TOKEN, action.sequence, action.desired_state, action.version)
        self._carry_out_lifecycle(self.lifecycle.command(self.now, command))
        if self.random.random() < 0.3:
            self._carry_out_operation(self.operation.request_failed(self.now, "lost"))
        else:
            self._carry_out_operation(self.operation.command_acknowledged(self.now, self.result))

    def _release_claim(self, action: ReleaseClaim) -> None:
        is_later = self.observed.observation > action.last_command_observation
        if is_later and self.observed.condition is Condition.SERVING:
            actions = self.operation.release_decided(self.now, ClaimReleased("p"))
        else:
            pending = ReleasePending("p", self.observed.condition)
            actions = self.operation.release_decided(self.now, pending)
        self._carry_out_operation(actions)

    def _check(self, outcome: str) -> None:
        if outcome.startswith("running"):
            assert self.was_ready, "running was reported, but the process never served after the command"
            assert outcome == f"running {self.version or '1'}"
        if outcome == "stopped":
            assert self.lifecycle.process is None, "stopped was reported, but the process runs"
        if outcome == "drained":
            assert self.lifecycle.stage in (
                ProcessStage.DRAINING,
                ProcessStage.DRAINED,
                ProcessStage.NONE,
                ProcessStage.STARTING,
            )
            is_up = self.lifecycle.stage in (ProcessStage.DRAINING, ProcessStage.DRAINED)
            assert self.is_quiesced or not is_up, "drained was reported, but the process takes clients"

    def run(self) -> str:
        """Apply random events until there is an outcome; return "" if there is none after 600 events."""
        for _ in range(600):
            self.now += self.random.uniform(0.0, 0.4)
            draw = self.random.random()
            if draw < 0.3:
                self._process_event()
            elif draw < 0.5:
                self.observed = self._observe()
            elif draw < 0.75:
                self._carry_out_operation(self.operation.observed(self.now, self.observed))
            else:
                self._carry_out_operation(self.operation.tick(self.now))
            if self.outcome:
                return self.outcome
        return ""


@settings(max_examples=300, deadline=None)
@given(st.integers(0, 1 << 30), st.sampled_from(list(OperationKind)))
def test_success_is_reported_only_if_observed_after_the_command(seed: int, kind: OperationKind) -> None:
    assert RandomRun(seed, kind, OperationGuards()).run()


@pytest.mark.parametrize("guard", OperationGuards._fields)
def test_without_a_guard_success_is_reported_wrongly(guard: str) -> None:
    def violated(seed: int) -> bool:
        kind = list(OperationKind)[seed % len(OperationKind)]
        try:
            RandomRun(seed, kind, OperationGuards(**{guard: False})).run()
        except AssertionError:
            return True
        return False

    assert any(violated(seed) for seed in range(600))


def new_operation(kind: OperationKind) -> InstanceOperation:
    return InstanceOperation(kind, FENCING_TOKEN, 0.0, "", TIMEOUTS)


def test_a_halt_ends_an_operation_only_before_it_requests_its_claim() -> None:
    operation = new_operation(OperationKind.RESTART)
    assert operation.halt(0.0) == [Finish("not begun")]
    operation = new_operation(OperationKind.RESTART)
    assert operation.tick(0.0) == [AcquireClaim()]
    assert not operation.halt(0.0)  # the response to the claim request decides
    granted = operation.claim_decided(0.1, ClaimGranted(("p",)))
    assert granted == [SendCommand(1, DesiredState.STOPPED, "")]
    assert not operation.halt(0.1)
    # an operation that was fenced off reports the newer token
    fenced = operation.command_acknowledged(0.2, CommandResult(False, 9, 0))
    assert fenced == [Finish("refused: number 9 is newer than 7")]


def test_an_operation_without_a_claim_in_time_reports_the_reason() -> None:
    operation = new_operation(OperationKind.STOP)
    operation.tick(0.0)
    operation.claim_decided(0.0, ClaimDenied((), (), ("p",)))
    assert operation.tick(41.0) == [Finish("refused: p: never reported")]


def test_an_operation_that_takes_no_effect_in_time_reports_the_last_condition() -> None:
    operation = new_operation(OperationKind.STOP)
    operation.tick(0.0)
    operation.claim_decided(0.0, ClaimGranted(("p",)))
    operation.command_acknowledged(0.1, CommandResult(True, 7, 4))
    serving = Instance(
        InstanceKind.PROXY, "p", condition=Condition.SERVING, observation=5, fencing_token=7, version="1"
    )
    operation.observed(0.2, serving)
    assert operation.tick(61.0) == [Finish("failed: serving after 60 s, wanted stopped")]


def test_a_command_that_the_agent_can_not_execute_ends_the_operation_with_its_reason() -> None:
    operation = new_operation(OperationKind.STOP)
    operation.tick(0.0)
    operation.claim_decided(0.0, ClaimGranted(("p",)))
    assert operation.command_failed(0.1, "no instance 'p' here") == [Finish("refused: no instance 'p' here")]


def test_selectors_match_instances_and_zones_alternate() -> None:
    instances = [
        Instance(InstanceKind.PROXY, f"p{number}", zone="xy"[number % 2], condition=Condition.SERVING)
        for number in range(4)
    ]
    assert select_instances(instances, ["p*"]) == ("proxy/p0", "proxy/p1", "proxy/p2", "proxy/p3")
    assert select_instances(instances, ["zone=x", "p[0-1]"]) == ("proxy/p0",)
    assert select_instances(instances, ["state=failed"]) == ()
    with pytest.raises(InvalidSelectorError, match="expected a name"):
        select_instances(instances, ["rack=1"])


class TwoAgents:
    """Two agents with two proxies each.  Each agent is a zone, in which one instance may be unavailable."""

    def __init__(self, harness: Harness, folder: Path, backend: str, client: Client) -> None:
        self.harness = harness
        self.client = client
        self.agents = [
            AgentHarness(harness, folder, backend, "m1", ("p1", "p2")),
            AgentHarness(harness, folder, backend, "m2", ("p3", "p4")),
        ]
        self.max_unavailable = 0  # largest number of unavailable instances seen in one zone

    async def start(self, *arguments: str, **env: str) -> ManagedProcess:
        """Start `heronreel fleet` with these arguments."""
        command_line = ("heronreel.cli", "fleet", *arguments, "--members", f"a={self.harness.addresses[0]}")
        return await self.harness.start_process("operator", *command_line, **env)

    async def output(self, *arguments: str, code: int = 0) -> str:
        """Run `heronreel fleet`, which has to exit with this code; return its output."""
        return await asyncio.to_thread(self.harness.run_command, "fleet", *arguments, expected_code=code)

    async def watch(self) -> None:
        """Track the number of unavailable instances that the agents report, independently of the budget."""
        while True:
            for agent in self.agents:
                with suppress(aiohttp.ClientError, OSError, TimeoutError):
                    status = await agent.status()
                    unavailable = sum(row["condition"] != "serving" for row in status.values())
                    self.max_unavailable = max(self.max_unavailable, unavailable)
            await asyncio.sleep(0.02)

    async def pids(self) -> dict[str, int]:
        """The pid of each proxy, which has to have exactly one process."""
        pids_by_name = {}
        for agent in self.agents:
            for name, pids in agent.running_pids().items():
                (pids_by_name[name],) = pids
        return pids_by_name


@asynccontextmanager
async def two_agents(folder: Path) -> AsyncIterator[TwoAgents]:
    """Start a group and two agents whose proxies all serve, and apply the budget rules."""
    async with AsyncExitStack() as stack:
        harness = await stack.enter_async_context(Harness(folder, ("a",), 1))
        client = await stack.enter_async_context(Client(harness.addresses))
        backend = await stack.enter_async_context(Backend())
        await harness.wait_until_available()
        fleet = TwoAgents(harness, folder, backend.address, client)
        for agent in fleet.agents:
            stack.enter_context(agent)
        for agent in fleet.agents:
            await agent.start()
            for name in agent.ports:
                assert await agent.command(name, 1, 1, "running", "1") == 200
        for agent in fleet.agents:
            for name in agent.ports:
                await agent.wait_for(name, condition="serving")
        await wait_until_serving(client, 4)
        (folder / "allow.toml").write_text(
            '[[allow]]\nname = "one a zone"\nkind = "proxy"\nscope = "zone"\nmost_out = 1\n'
        )
        await fleet.output("allow", str(folder / "allow.toml"))
        yield fleet


@pytest.mark.parametrize("crash_point", ["claimed:2", "commanded:3"])
def test_a_successor_of_a_killed_controller_stays_within_the_budget(crash_point: str, tmp_path: Path) -> None:
    async def run() -> None:
        async with two_agents(tmp_path) as fleet:
            before = await fleet.pids()
            watching = asyncio.ensure_future(fleet.watch())
            killed_controller = await fleet.start(
                "restart", "p*", "--at-once", "4", HERONREEL_END_AT=crash_point
            )
            assert await killed_controller.wait_for_exit(90) == -9
            printed = await fleet.output("restart", "p1", "--by", "ada", "--wait", "20", code=3)
            assert "resume it with go-on, or abandon it with give-up" in printed, printed
            printed = await fleet.output("go-on", "--by", "ada", "--wait", "20")
            assert "4 of 4" in printed, printed
            watching.cancel()
            after = await fleet.pids()
            assert all(after[name] != before[name] for name in before)
            assert fleet.max_unavailable == 1
            snapshot = await read_snapshot(fleet.client)
            assert not snapshot.claims
            assert {instance.condition for instance in snapshot.instances.values()} == {Condition.SERVING}
            operation = await read_operation(fleet.client)
            assert operation and operation.final_status == "done"
            assert set(operation.outcomes.values()) == {"running 1"}

    asyncio.run(run())


def test_a_halt_stops_an_operation_and_a_failing_version_halts_and_is_rolled_back(tmp_path: Path) -> None:
    async def run() -> None:
        async with two_agents(tmp_path) as fleet:
            rolling = await fleet.start("restart", "p*")
            await rolling.wait_for_line("running 1")
            printed = await fleet.output("restart", "p2", "--by", "ada", "--wait", "1", code=3)
            assert re.search(r"leads the fleet, with restart \w+ by", printed), printed
            await fleet.output("halt", "--why", "smoke", "--by", "ada")
            claims_at_halt = len((await read_snapshot(fleet.client)).claims)
            assert await rolling.wait_for_exit(60) == 1 and claims_at_halt <= 1
            operation = await read_operation(fleet.client)
            assert operation and operation.pending and not operation.final_status
            printed = await fleet.output("status")
            assert "HALTED by ada: smoke" in printed and "halted" in printed
            printed = await fleet.output("go-on", "--by", "ada", code=1)
            assert f"{len(operation.pending)} not begun" in printed, printed  # the fleet is still halted
            await fleet.output("resume")
            await fleet.output("go-on", "--by", "ada")
            # The bad version exits immediately: its first instance halts the fleet, and is then started with
            # version 1 again.
            printed = await fleet.output("upgrade", "p*", "--to", "bad", "--settle", "4", code=1)
            assert "proxy/p1" in printed and "failed" in printed, printed
            snapshot = await read_snapshot(fleet.client)
            assert snapshot.halt and "proxy/p1 is failed" in snapshot.halt.reason
            assert set(snapshot.claims) == {"proxy/p1"}
            await fleet.output("give-up")
            printed = await fleet.output("start", "p1", "--to", "1")
            assert "running 1" in printed, printed
            snapshot = await read_snapshot(fleet.client)
            assert not snapshot.claims and snapshot.halt  # only `resume` lifts the halt
            await fleet.output("drain", "p2", code=3)
            await fleet.output("resume")
            await fleet.output("stop", "p2", "p3", code=3)  # no instance has both names
            await fleet.output("stop", "p2")
            printed = await fleet.output("stop", "p1", "--patience", "1", code=1)
            assert "one a zone: zone m1 2 unavailable" in printed, printed
            assert "at most 1 allowed" in printed

    asyncio.run(run())
