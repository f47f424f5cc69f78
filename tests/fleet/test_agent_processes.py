"""Tests of agent processes that own real proxies: kills of the agent, loss of the group, and old commands."""

from __future__ import annotations

import asyncio
import os
import signal
from contextlib import AsyncExitStack, suppress
from pathlib import Path

import aiohttp
import pytest

from heronreel.coordination.client import Client
from heronreel.fault_injection.harness import Harness
from heronreel.fleet.agent_settings import load
from heronreel.fleet.budget_client import read_snapshot
from heronreel.routes.reader import ConfigFileError
from tests.fleet.agent_harness import AgentHarness, wait_until_serving
from tests.support.loopback import Backend, Discovery, Listener, configuration, entry, reserved_port

LOST_CONTACT_S = 1.5
CRASH_POINTS = ("command", "commanded", "persist", "persisted", "start", "started")


def test_an_agent_keeps_its_proxies_over_a_kill_and_without_the_group(tmp_path: Path) -> None:
    async def run() -> None:
        async with Harness(tmp_path, ("a",), 1) as harness, Client(harness.addresses) as client:
            async with Backend() as backend:
                await harness.wait_until_available()
                with AgentHarness(harness, tmp_path, backend.address) as agent:
                    process = await agent.start()
                    for name in agent.ports:
                        assert await agent.command(name, 5, 1, "running", "1") == 200
                    before = [await agent.wait_for(name, condition="serving") for name in agent.ports]
                    assert await agent.responds("p1") and await agent.responds("p2")
                    assert await agent.command("p1", 4, 9, "stopped") == 409  # an older fencing token
                    assert await agent.command("p3", 6, 1, "stopped") == 404
                    assert await agent.command("p1", 6, 1, "running", "none") == 400
                    assert await agent.command("p1", 6, 1, "drained") == 400  # it has no management address
                    reported = await wait_until_serving(client, 2)
                    assert reported["proxy/p1"].fencing_token == 5
                    observation = reported["proxy/p1"].observation
                    await process.kill()  # its proxies keep running, and the restarted agent finds them
                    assert await agent.responds("p1")
                    await harness.members["a"].kill()  # the group is unavailable as well
                    await agent.start()
                    for name, status in zip(agent.ports, before, strict=True):
                        after = await agent.wait_for(name, condition="serving")
                        assert after["process"] == status["process"]
                    old_process = before[0]["process"]
                    os.kill(old_process["pid"], signal.SIGKILL)  # the agent restarts it without the group
                    async with asyncio.timeout(40):
                        while (await agent.wait_for("p1", condition="serving"))["process"] == old_process:
                            await asyncio.sleep(0.05)
                    async with asyncio.timeout(40):
                        while not await agent.responds("p1"):
                            await asyncio.sleep(0.05)
                    await harness.start_member("a")
                    async with asyncio.timeout(40):
                        while True:  # the observation count increases across the restart of the agent
                            instances = (await read_snapshot(client)).instances
                            if instances["proxy/p1"].observation > observation:
                                break
                            await asyncio.sleep(0.05)
                    assert await agent.command("p1", 7, 1, "stopped") == 200
                    await agent.wait_for("p1", stage="none", condition="out")
                    assert not await agent.responds("p1")
                    assert await agent.command("p1", 7, 2, "running", "bad") == 200
                    # the process exits immediately, and is restarted with backoff
                    await agent.wait_for("p1", condition="failed")
                    running = {name: len(pids) for name, pids in agent.running_pids().items()}
                    assert running == {"p1": 0, "p2": 1}

    asyncio.run(run())


@pytest.mark.parametrize("crash_point", CRASH_POINTS)
def test_an_agent_killed_at_a_crash_point_leaves_one_process_and_keeps_acknowledged_commands(
    crash_point: str, tmp_path: Path
) -> None:
    async def run() -> None:
        async with Harness(tmp_path, ("a",), 2) as harness, Backend() as backend:
            with AgentHarness(harness, tmp_path, backend.address) as agent:
                killed_agent = await agent.start(HERONREEL_END_AT=f"{crash_point}:1")
                accepted = False
                with suppress(aiohttp.ClientError, OSError):
                    accepted = await agent.command("p1", 3, 1, "running", "1") == 200
                assert await killed_agent.wait_for_exit(60) == -signal.SIGKILL
                await agent.start()
                status = (await agent.status())["p1"]
                assert not accepted or (status["number"], status["want"]) == (3, "running")
                assert await agent.command("p1", 3, 1, "running", "1") == 200  # a retry
                await agent.wait_for("p1", condition="serving")
                assert await agent.responds("p1")
                assert len(agent.running_pids()["p1"]) == 1

    asyncio.run(run())


class AdminRelay(Listener):
    """Passes calls on to a proxy's admin API, unless there is a `fault`: they get no response, or a 503."""

    def __init__(self, target_port: int) -> None:
        super().__init__(self._relay)
        self.target_port = target_port
        self.fault = ""

    async def _relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        fault = self.fault
        if fault == "lost call":
            return
        call = await reader.readuntil(b"\r\n\r\n")
        response = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
        if fault != "refused call":
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
            target_writer.write(call)
            response = await target_reader.read()
            target_writer.close()
        if fault != "lost response":
            writer.write(response)
            await writer.drain()


async def is_taking_clients(port: int) -> bool:
    """Return whether the health check of a proxy succeeds."""
    async with aiohttp.ClientSession() as session, session.get(f"http://127.0.0.1:{port}/_health") as answer:
        return answer.status == 200


@pytest.mark.parametrize("fault", ["lost call", "refused call", "lost response"])
def test_a_proxy_is_reported_as_out_of_service_only_once_it_takes_no_clients(
    tmp_path: Path, fault: str
) -> None:
    """A proxy whose call to quiesce was lost was reported as drained, and the call was not repeated."""

    async def run() -> None:
        async with Harness(tmp_path, ("a",), 3) as harness, AsyncExitStack() as stack:
            backend = await stack.enter_async_context(Backend())
            discovery = await stack.enter_async_context(Discovery(entry("b1", backend.address)))
            admin_port = stack.enter_context(reserved_port())
            relay = await stack.enter_async_context(AdminRelay(admin_port))
            agent = stack.enter_context(AgentHarness(harness, tmp_path, backend.address, names=("p1",)))
            port = agent.ports["p1"]
            config = configuration(discovery.address, *discovery.entries)
            agent.use_managed_proxy("p1", relay.address, config | {"mgmt": f"127.0.0.1:{admin_port}"})
            await agent.start()
            assert await agent.command("p1", 5, 1, "running", "managed") == 200
            process = (await agent.wait_for("p1", condition="serving"))["process"]
            stack.callback(os.kill, process["pid"], signal.SIGKILL)
            relay.fault = fault
            assert await agent.command("p1", 5, 2, "drained") == 200
            async with asyncio.timeout(LOST_CONTACT_S + 10.0):
                for _ in range(int(LOST_CONTACT_S / 0.05)):
                    status = (await agent.status())["p1"]["condition"]
                    assert status != "out" or not await is_taking_clients(port)
                    await asyncio.sleep(0.05)
            relay.fault = ""
            await agent.wait_for("p1", condition="out")
            assert not await is_taking_clients(port)
            assert await agent.command("p1", 5, 3, "running") == 200
            after = await agent.wait_for("p1", condition="serving")
            assert await is_taking_clients(port) and after["process"] == process

    asyncio.run(run())


def test_a_proxy_that_was_quiesced_serves_after_its_restart_although_its_folder_is_kept(
    tmp_path: Path,
) -> None:
    """The agent quiesced a proxy to restart it, and the next process was quiesced by what it had stored."""

    async def run() -> None:
        async with Harness(tmp_path, ("a",), 4) as harness, AsyncExitStack() as stack:
            backend = await stack.enter_async_context(Backend())
            discovery = await stack.enter_async_context(Discovery(entry("b1", backend.address)))
            admin_port = stack.enter_context(reserved_port())
            agent = stack.enter_context(AgentHarness(harness, tmp_path, backend.address, names=("p1",)))
            config = configuration(discovery.address, *discovery.entries)
            admin_address = f"127.0.0.1:{admin_port}"
            agent.use_managed_proxy("p1", admin_address, config | {"mgmt": admin_address})
            shared = tmp_path / "kept"
            shared.mkdir()
            await agent.start(TMPDIR=str(shared))
            assert await agent.command("p1", 5, 1, "running", "managed") == 200
            before = (await agent.wait_for("p1", condition="serving"))["process"]
            assert await agent.command("p1", 5, 2, "drained") == 200
            await agent.wait_for("p1", condition="out")
            os.kill(before["pid"], signal.SIGKILL)
            assert await agent.command("p1", 5, 3, "running") == 200
            after = (await agent.wait_for("p1", condition="serving"))["process"]
            stack.callback(os.kill, after["pid"], signal.SIGKILL)
            assert after != before and await is_taking_clients(agent.ports["p1"])

    asyncio.run(run())


@pytest.mark.parametrize(
    ("valid", "invalid", "expected_problem"),
    [
        ('name = "p2"', 'name = "p1"', "'p1' is already used on line"),
        ("lease_s = 2", "lease_s = 1", "lease_s: is 1; at least 1.8"),
        ('run = ["false"]', "run = []", "expected a command as a list of words"),
        ("[[instances]]", "[[instance]]", "no such table"),
    ],
)
def test_problems_of_a_settings_file_are_reported_with_their_lines(
    valid: str, invalid: str, expected_problem: str, tmp_path: Path
) -> None:
    harness = Harness(tmp_path, (), 1)
    harness.names = []
    with AgentHarness(harness, tmp_path, "127.0.0.1:1") as agent:
        text = agent.settings.replace("group = []", 'group = ["127.0.0.1:1"]')
    assert len(load(text.encode()).instances) == 2
    with pytest.raises(ConfigFileError) as raised:
        load(text.replace(valid, invalid).encode())
    problems = [str(problem) for problem in raised.value.problems]
    assert any(expected_problem in problem for problem in problems), problems
