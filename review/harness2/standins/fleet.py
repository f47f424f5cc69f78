"""One machine of a small fleet: a coordination group, an agent, and proxies that the agent starts.

The proxies run the command of the deploy file.  The agent starts them by a shell script that sets the
variables of the deployment page.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any, Self

from standins.http import call, says_yes
from standins.ports import ReservedPort
from standins.programs import ROOT, Program, proxy_configuration, run_command, write_configuration
from standins.servers import Backend, Discovery, Relay, wait_until
from standins.verdict import Record

BACKENDS = 2
SERVICE_S = 0.02
START_TIMEOUT_S = 20.0
LEASE_S = 6
CATEGORIES = [
    {
        "Name": "salva-profilo", "OnTimeMs": 500.0, "HardLimitMs": 2500.0, "Worth": 1.0, "LateWorth": 0.5,
        "Effect": "deduplicated", "DedupScope": "cell", "RepeatWindowMs": 5000.0,
    }
]  # fmt: skip


class FleetError(Exception):
    """The fleet did not start."""


@dataclass
class Instance:
    """One proxy: its ports, and the relay between its agent and its management address."""

    name: str
    clients: ReservedPort
    admin: ReservedPort
    relay: Relay


class FleetMachine:
    """The programs of one machine; a context manager that ends all of them."""

    def __init__(
        self, record: Record, folder: Path, names: tuple[str, ...], start_s: float, drain_s: float
    ) -> None:
        """Prepare the machine.

        Args:
            record: The record of the case.
            folder: A temporary folder.
            names: The names of the proxies.
            start_s: The agent's limit for a started proxy to become ready.
            drain_s: The time after which the agent ends a quiesced proxy.
        """
        self.record = record
        self.folder = folder
        self.names = names
        self.start_s = start_s
        self.drain_s = drain_s
        self.instances: dict[str, Instance] = {}
        self.group_file = folder / "group.toml"
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        try:
            await self._start()
        except BaseException:
            await self._stack.aclose()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._stack.aclose()

    async def _start(self) -> None:
        backends = [
            await self._stack.enter_async_context(Backend(f"s{number}", SERVICE_S, lambda _, __: None))
            for number in range(BACKENDS)
        ]
        entries = [backend.entry() for backend in backends]
        discovery = await self._stack.enter_async_context(Discovery(entries))
        for name in self.names:
            await self._prepare_instance(name, discovery.address, entries)
        self.group = self._stack.enter_context(ReservedPort())
        self.agent = self._stack.enter_context(ReservedPort())
        self.group_file.write_text(
            f'[[members]]\nname = "a"\naddress = "{self.group.address}"\nfolder = "{self.folder / "group"}"\n'
        )
        self._write_agent_file()
        self._stack.callback(self._kill_instances)
        self._run("coordinate", str(self.group_file), "--name", "a")
        await self._wait_for("the group", partial(says_yes, self.group.number, "/health"))
        self._run("agent", str(self.folder / "agent.toml"))
        await self._wait_for("the agent", partial(says_yes, self.agent.number, "/status"))

    async def _prepare_instance(self, name: str, discovery: str, entries: list[dict[str, Any]]) -> None:
        clients = self._stack.enter_context(ReservedPort())
        admin = self._stack.enter_context(ReservedPort())
        relay = Relay(
            admin.number, lambda: self.record.note(f"relay: a call to {name}'s management is reset")
        )
        await self._stack.enter_async_context(relay)
        self.instances[name] = Instance(name, clients, admin, relay)
        configuration = proxy_configuration(name, clients.address, discovery, entries, CATEGORIES)
        write_configuration(self.folder / f"{name}.json", configuration | {"mgmt": admin.address})

    def _write_agent_file(self) -> None:
        script = self.folder / "proxy.sh"
        script.write_text(
            f"cd {ROOT}\nexport LB_NAME=$1 LB_LISTEN=$2 LB_CONFIG={self.folder}/$1.json\n{run_command()}\n"
        )
        tables = [
            f'[agent]\nname = "m1"\nfolder = "{self.folder / "agent"}"\naddress = "{self.agent.address}"\n'
            f'group = ["{self.group.address}"]\nlease_s = {LEASE_S}\n'
            f"start_s = {self.start_s}\ndrain_s = {self.drain_s}\n",
            f'[[versions]]\nname = "1"\nrun = ["/bin/sh", "{script}", "{{name}}", "{{listen}}"]\n',
        ]
        tables += [
            f'[[instances]]\nname = "{instance.name}"\nlisten = "{instance.clients.address}"\n'
            f'mgmt = "{instance.relay.address}"\nzone = "a"\n'
            for instance in self.instances.values()
        ]
        (self.folder / "agent.toml").write_text("".join(tables))

    def _run(self, *arguments: str) -> None:
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        command = [str(ROOT / "bin" / "heronreel"), *arguments]
        output = self.folder / f"{arguments[0]}.log"
        program = Program.start(command, output, {"TMPDIR": str(temporary)})
        self.record.note(f"{arguments[0]}: process {program.pid}")
        self._stack.push_async_callback(program.stop)

    async def _wait_for(self, what: str, condition: partial[Any]) -> None:
        if not await wait_until(condition, START_TIMEOUT_S):
            raise FleetError(f"{what} does not answer")

    def _kill_instances(self) -> None:
        """Kill the proxies that the agent has started, which outlive it."""
        marker = f"HERONREEL_AGENT={(self.folder / 'agent').resolve()}/".encode()
        for pid in self._started_pids():
            with suppress(OSError):
                # The number may belong to another process by now.
                if marker in Path(f"/proc/{pid}/environ").read_bytes():
                    os.kill(pid, signal.SIGKILL)

    def _started_pids(self) -> list[int]:
        pids = []
        with suppress(OSError):
            for line in (self.folder / "agent.log").read_text().splitlines():
                with suppress(ValueError):
                    event = json.loads(line)
                    if event.get("event") == "process started":
                        pids.append(int(event["pid"]))
        return pids

    def note_agent_log(self) -> None:
        """Copy what the agent has done to the record."""
        for line in (self.folder / "agent.log").read_text().splitlines():
            self.record.note(f"agent: {line}")

    async def operate(self, *arguments: str) -> int:
        """Run `heronreel fleet` with the group's file, record its output, and return its exit status."""
        process = await asyncio.create_subprocess_exec(
            str(ROOT / "bin" / "heronreel"), "fleet", *arguments, "--group", str(self.group_file),
            cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
        )  # fmt: skip
        self.record.note(f"operator: heronreel fleet {' '.join(arguments)}")
        try:
            output, _ = await process.communicate()
        finally:
            if process.returncode is None:
                process.kill()
        for line in output.decode().splitlines():
            self.record.note(f"  {line}")
        self.record.note(f"  exit status {process.returncode}")
        assert process.returncode is not None
        return process.returncode

    async def is_taking_clients(self, name: str) -> bool:
        """Return whether a proxy's health check says yes, so that the front sends clients to it."""
        return await says_yes(self.instances[name].clients.number, "/_health")

    async def status_of(self, name: str) -> str:
        """Return the status of a proxy's health check, for the record."""
        answer = await call(self.instances[name].clients.number, "GET", "/_health")
        return "no answer" if answer is None else str(answer.status)
