"""A harness that runs an agent and real proxy processes, for tests of agents and rolling operations."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from contextlib import ExitStack
from pathlib import Path
from typing import Any, Self

import aiohttp

from heronreel.coordination.client import Client
from heronreel.fault_injection.harness import Harness
from heronreel.fault_injection.managed_process import ManagedProcess
from heronreel.fleet.budget_client import read_snapshot
from heronreel.fleet.model import Condition, Instance
from tests.support.loopback import reserved_port
from tests.support.serve_process import gets_to

REQUEST_TIMEOUT_S = 10
STATE_TIMEOUT_S = 60  # for an instance to reach an expected state
POLL_S = 0.05


class AgentHarness:
    """One agent and its proxies, with their settings files in a folder.

    As a context manager it reserves the ports of the agent and the proxies, so that no other test uses them,
    and kills the remaining proxies on exit.
    """

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
        self.reservations = ExitStack()
        self.address = f"127.0.0.1:{self.reservations.enter_context(reserved_port())}"
        self.ports = {name: self.reservations.enter_context(reserved_port()) for name in names}
        for name, port in self.ports.items():
            self._proxy_file(name).write_text(f"""
[[listeners]]
name = "in"
address = "127.0.0.1:{port}"
{gets_to(backend)}""")
        self.settings = self._settings()
        self._agent_file().write_text(self.settings)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self._kill_proxies()
        self.reservations.close()

    def _proxy_file(self, name: str) -> Path:
        return self.folder / f"{name}.toml"

    def _agent_file(self) -> Path:
        return self.folder / f"{self.name}.toml"

    def _settings(self) -> str:
        run = [sys.executable, "-m", "heronreel.cli", "serve", str(self._proxy_file("{name}"))]
        instances = "".join(
            f'[[instances]]\nname = "{name}"\nlisten = "127.0.0.1:{port}"\nzone = "{self.name}"\n'
            for name, port in self.ports.items()
        )
        group = ", ".join(f'"{address}"' for address in self.harness.addresses)
        return f"""
[agent]
name = "{self.name}"
folder = "{self.folder / self.name}"
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
{instances}
"""

    def use_managed_proxy(self, name: str, admin_address: str, config: dict[str, Any]) -> None:
        """Add the version `managed`: the proxy of the deploy file, with an admin API for the agent."""
        file = self.folder / f"{name}.json"
        file.write_text(json.dumps(config))
        variables = f"LB_NAME={name} LB_LISTEN={{listen}} LB_CONFIG={file}"
        run = ["/bin/sh", "-c", f"{variables} exec {sys.executable} -m heronreel.proxy"]
        version = f'[[versions]]\nname = "managed"\nrun = {json.dumps(run)}\n[[instances]]'
        settings = self.settings.replace("[[instances]]", version, 1)
        instance = f'name = "{name}"\n'
        self.settings = settings.replace(instance, f'{instance}mgmt = "{admin_address}"\n')
        self._agent_file().write_text(self.settings)

    async def start(self, **env: str) -> ManagedProcess:
        """Start the agent and wait until it accepts commands."""
        process = await self.harness.start_process(
            self.name, "heronreel.cli", "agent", str(self._agent_file()), **env
        )
        await process.wait_for_line('"listening"')
        return process

    async def _request(self, path: str, body: dict[str, Any] | None = None) -> tuple[int, dict[str, Any]]:
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            method = session.get if body is None else session.post
            async with method(f"http://{self.address}{path}", json=body) as response:
                return response.status, await response.json()

    async def command(
        self, name: str, fencing_token: int, sequence: int, desired_state: str, version: str = ""
    ) -> int:
        """Send a command and return the status of the response."""
        body = {
            "instance": name,
            "number": fencing_token,
            "order": sequence,
            "want": desired_state,
            "version": version,
        }
        status, _ = await self._request("/order", body)
        return status

    async def status(self) -> dict[str, Any]:
        """The agent's status of each instance."""
        _, body = await self._request("/status")
        return body

    async def wait_for(self, name: str, **expected: Any) -> dict[str, Any]:
        """Wait until the agent reports these values for an instance; return the full status."""
        async with asyncio.timeout(STATE_TIMEOUT_S):
            while True:
                try:
                    status = (await self.status())[name]
                    if all(status[field] == value for field, value in expected.items()):
                        return dict(status)
                except (aiohttp.ClientError, OSError):
                    pass
                await asyncio.sleep(POLL_S)

    async def responds(self, name: str) -> bool:
        """Whether a proxy forwards a request."""
        async with aiohttp.ClientSession() as session:
            try:
                async with session.get(f"http://127.0.0.1:{self.ports[name]}/ride") as response:
                    return response.status == 200
            except (aiohttp.ClientError, OSError):
                return False

    def running_pids(self) -> dict[str, list[int]]:
        """Pids of the proxy processes that /proc lists, by instance name."""
        pids: dict[str, list[int]] = {name: [] for name in self.ports}
        for path in Path("/proc").iterdir():
            try:
                arguments = (path / "cmdline").read_bytes().split(b"\0")
            except (OSError, ValueError):
                continue
            for name in self.ports:
                if str(self._proxy_file(name)).encode() in arguments and b"serve" in arguments:
                    pids[name].append(int(path.name))
        return pids

    def _kill_proxies(self) -> None:
        """Kill the remaining proxies of this test."""
        for pids in self.running_pids().values():
            for pid in pids:
                os.kill(pid, signal.SIGKILL)


async def wait_until_serving(client: Client, count: int, timeout_s: float = 40.0) -> dict[str, Instance]:
    """Wait until the group has `count` instances and all of them serve; return the instances by ID."""
    async with asyncio.timeout(timeout_s):
        while True:
            instances = (await read_snapshot(client)).instances
            if [instance.condition for instance in instances.values()] == [Condition.SERVING] * count:
                return dict(instances)
            await asyncio.sleep(POLL_S)
