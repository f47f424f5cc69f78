"""Agents that own real proxies: killed, cut off and told late, between processes."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from contextlib import suppress
from pathlib import Path
from typing import Any

import aiohttp
import pytest

from heronreel.coordination.client import Client
from heronreel.fault_injection.harness import Harness
from heronreel.fault_injection.managed_process import ManagedProcess
from heronreel.fleet.machine import load
from heronreel.fleet.model import Condition
from heronreel.fleet.operation import account
from heronreel.routes.reader import BadFile
from tests.support.loopback import Backend, free_port
from tests.support.serve_process import gets_to

POINTS = ("order", "ordered", "keep", "kept", "start", "started")


class Fleet:
    """One agent with two proxies on files of their own."""

    def __init__(
        self,
        harness: Harness,
        folder: Path,
        backend: str,
        agent: str = "m1",
        names: tuple[str, ...] = ("p1", "p2"),
    ) -> None:
        self.name = agent
        self.harness = harness
        self.folder = folder
        self.address = f"127.0.0.1:{free_port()}"
        self.ports = {name: free_port() for name in names}
        for name, port in self.ports.items():
            (folder / f"{name}.toml").write_text(f"""
[[listeners]]
name = "in"
address = "127.0.0.1:{port}"
{gets_to(backend)}""")
        run = [sys.executable, "-m", "heronreel.cli", "serve", str(folder / "{name}.toml")]
        rows = "".join(
            f'[[instances]]\nname = "{name}"\nlisten = "127.0.0.1:{port}"\nzone = "{agent}"\n'
            for name, port in self.ports.items()
        )
        group = ", ".join(f'"{address}"' for address in harness.addresses)
        self.text = f"""
[agent]
name = "{agent}"
folder = "{folder / agent}"
address = "{self.address}"
group = [{group}]
lease_s = 2
margin_s = 0.3
answer_s = 0.3
[[versions]]
name = "1"
run = {run}
[[versions]]
name = "bad"
run = ["false"]
{rows}
"""
        (folder / f"{agent}.toml").write_text(self.text)

    async def agent(self, **env: str) -> ManagedProcess:
        process = await self.harness.start_process(
            self.name, "heronreel.cli", "agent", str(self.folder / f"{self.name}.toml"), **env
        )
        await process.wait_for_line('"listens"')
        return process

    async def call(self, path: str, body: dict[str, Any] | None = None) -> tuple[int, dict[str, Any]]:
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=10)) as session:
            how = session.get if body is None else session.post
            async with how(f"http://{self.address}{path}", json=body) as answer:
                return answer.status, await answer.json()

    async def order(self, name: str, number: int, order: int, want: str, version: str = "") -> int:
        row = {"instance": name, "number": number, "order": order, "want": want, "version": version}
        return (await self.call("/order", row))[0]

    async def until(self, name: str, **wanted: Any) -> dict[str, Any]:
        """Wait until the agent says so of an instance."""
        async with asyncio.timeout(60):
            while True:
                try:
                    row = (await self.call("/status"))[1][name]
                    if all(row[field] == value for field, value in wanted.items()):
                        return dict(row)
                except (aiohttp.ClientError, OSError):
                    pass
                await asyncio.sleep(0.05)

    async def answers(self, name: str) -> bool:
        async with aiohttp.ClientSession() as session:
            try:
                async with session.get(f"http://127.0.0.1:{self.ports[name]}/ride") as answer:
                    return answer.status == 200
            except (aiohttp.ClientError, OSError):
                return False

    def running(self) -> dict[str, list[int]]:
        """Pids of the proxies that really run, by name."""
        found: dict[str, list[int]] = {name: [] for name in self.ports}
        for path in Path("/proc").iterdir():
            try:
                words = (path / "cmdline").read_bytes().split(b"\0")
            except (OSError, ValueError):
                continue
            for name in self.ports:
                if str(self.folder / f"{name}.toml").encode() in words and b"serve" in words:
                    found[name].append(int(path.name))
        return found

    def clear(self) -> None:
        """End what is left of this test's own proxies."""
        for pids in self.running().values():
            for pid in pids:
                os.kill(pid, signal.SIGKILL)


def test_an_agent_owns_its_proxies_through_its_own_kill_and_without_the_group(tmp_path: Path) -> None:
    async def run() -> None:
        async with Harness(tmp_path, ("a",), 1) as harness, Client(harness.addresses) as client:
            async with Backend() as backend:
                await harness.wait_until_available()
                fleet = Fleet(harness, tmp_path, backend.address)
                try:
                    agent = await fleet.agent()
                    for name in fleet.ports:
                        assert await fleet.order(name, 5, 1, "running", "1") == 200
                    rows = [await fleet.until(name, condition="serving") for name in fleet.ports]
                    assert await fleet.answers("p1") and await fleet.answers("p2")
                    assert await fleet.order("p1", 4, 9, "stopped") == 409  # of an older holder
                    assert await fleet.order("p3", 6, 1, "stopped") == 404
                    assert await fleet.order("p1", 6, 1, "running", "none") == 400
                    async with asyncio.timeout(40):
                        while True:
                            seen = (await account(client)).instances
                            if [i.condition for i in seen.values()] == [Condition.SERVING] * 2:
                                break
                            await asyncio.sleep(0.05)
                    assert seen["proxy/p1"].number == 5
                    looked = seen["proxy/p1"].looked
                    await agent.kill()  # its proxies go on, and the next one finds them
                    assert await fleet.answers("p1")
                    await harness.members["a"].kill()  # and the group is gone as well
                    await fleet.agent()
                    for name, row in zip(fleet.ports, rows, strict=True):
                        again = await fleet.until(name, condition="serving")
                        assert again["process"] == row["process"]
                    os.kill(rows[0]["process"]["pid"], signal.SIGKILL)  # cut off, it still keeps them alive
                    async with asyncio.timeout(40):
                        while (await fleet.until("p1", condition="serving"))["process"] == rows[0]["process"]:
                            await asyncio.sleep(0.05)
                    async with asyncio.timeout(40):
                        while not await fleet.answers("p1"):
                            await asyncio.sleep(0.05)
                    await harness.start_member("a")
                    async with asyncio.timeout(40):
                        while (await account(client)).instances["proxy/p1"].looked <= looked:
                            await asyncio.sleep(0.05)  # looks are counted on
                    assert await fleet.order("p1", 7, 1, "stopped") == 200
                    await fleet.until("p1", stage="none", condition="out")
                    assert not await fleet.answers("p1")
                    assert await fleet.order("p1", 7, 2, "running", "bad") == 200
                    await fleet.until("p1", condition="failed")  # a crash loop, slowed
                    assert {name: len(pids) for name, pids in fleet.running().items()} == {"p1": 0, "p2": 1}
                finally:
                    fleet.clear()

    asyncio.run(run())


@pytest.mark.parametrize("point", POINTS)
def test_an_agent_killed_at_a_point_leaves_one_process_and_keeps_what_it_answered(
    point: str, tmp_path: Path
) -> None:
    async def run() -> None:
        async with Harness(tmp_path, ("a",), 2) as harness, Backend() as backend:
            fleet = Fleet(harness, tmp_path, backend.address)
            try:
                doomed = await fleet.agent(HERONREEL_END_AT=f"{point}:1")
                taken = False
                with suppress(aiohttp.ClientError, OSError):
                    taken = await fleet.order("p1", 3, 1, "running", "1") == 200
                assert await doomed.wait_for_exit(60) == -signal.SIGKILL
                await fleet.agent()
                row = (await fleet.call("/status"))[1]["p1"]
                assert not taken or (row["number"], row["want"]) == (3, "running")
                assert await fleet.order("p1", 3, 1, "running", "1") == 200  # said again
                await fleet.until("p1", condition="serving")
                assert await fleet.answers("p1")
                assert len(fleet.running()["p1"]) == 1
            finally:
                fleet.clear()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("good", "bad", "words"),
    [
        ('name = "p2"', 'name = "p1"', "'p1' stands on line"),
        ("lease_s = 2", "lease_s = 1", "lease_s: is 1; at least 1.8"),
        ('run = ["false"]', "run = []", "expected a command as a list of words"),
        ("[[instances]]", "[[instance]]", "no such table"),
    ],
)
def test_a_file_that_is_wrong_is_told_with_its_line(good: str, bad: str, words: str, tmp_path: Path) -> None:
    harness = Harness(tmp_path, (), 1)
    harness.names = []
    text = Fleet(harness, tmp_path, "127.0.0.1:1").text.replace("group = []", 'group = ["127.0.0.1:1"]')
    assert len(load(text.encode()).instances) == 2
    with pytest.raises(BadFile) as raised:
        load(text.replace(good, bad).encode())
    assert any(words in str(problem) for problem in raised.value.problems), raised.value.problems
