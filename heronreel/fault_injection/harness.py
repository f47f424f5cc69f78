"""A group of member processes behind relays, together with other processes."""

from __future__ import annotations

import asyncio
import json
import resource
import signal
import subprocess
import sys
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path

import aiohttp
import msgspec

from heronreel.coordination.client import Client
from heronreel.coordination.clock import CLOCK_RATE_VARIABLE
from heronreel.coordination.errors import RequestError
from heronreel.coordination.member_state import Role
from heronreel.coordination.model import Range
from heronreel.coordinator.health import HealthReport
from heronreel.fault_injection.errors import CommandFailedError, GroupUnhealthyError
from heronreel.fault_injection.managed_process import ROOT, ManagedProcess
from heronreel.fault_injection.relay_network import RelayNetwork

TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02
HEALTH_TIMEOUT_S = 1.0
HEALTH_POLL_INTERVAL_S = 0.05
LEADER_TIMEOUT_S = 0.5  # timeout of one health check in the search for the leader
LEADER_ROLE = Role.LEADER.value
GROUP_SETTINGS = "beat_ms = 50\npatience_ms = 300\nrequest_ms = 1500\neven = true"


class Harness:
    """Starts the members, and kills every process that it started.

    Attributes:
        members: The current process of each member, by name.
        network: The relays between members and in front of them.
    """

    def __init__(
        self,
        folder: Path,
        names: Sequence[str],
        seed: int,
        *,
        clock_rates: Mapping[str, float] | None = None,
        extra_settings: str = "",
    ) -> None:
        """Create a harness whose members start when it is entered.

        Args:
            folder: The folder for configurations, disks and logs.
            names: The names of the members.
            seed: Determines the random faults of the network.
            clock_rates: The rates of the clocks of processes, by name; the default is 1.
            extra_settings: Additional lines for the table [group] of each member's configuration.
        """
        self.folder = folder
        self.names = list(names)
        self.clock_rates = dict(clock_rates or {})
        self.extra_settings = extra_settings
        self.network = RelayNetwork(seed)
        self.members: dict[str, ManagedProcess] = {}
        self.others: list[ManagedProcess] = []

    async def __aenter__(self) -> Harness:
        for name in self.names:
            await self.network.add_member(name)
        await asyncio.gather(*(self.start_member(name) for name in self.names))
        return self

    async def __aexit__(self, *_: object) -> None:
        for process in (*self.members.values(), *self.others):
            if process.running:
                await process.kill()
            with (self.folder / f"{process.name}.log").open("a") as file:
                file.writelines(f"{line}\n" for line in process.lines)
        await self.network.stop()

    # -- addresses

    def address(self, name: str) -> str:
        """Return the address at which clients reach a member, as "host:port"."""
        return self.network.client_relays[name].address

    @property
    def addresses(self) -> list[str]:
        """The addresses at which clients reach the members."""
        return [self.address(name) for name in self.names]

    # -- processes

    async def start_member(self, name: str, **env: str) -> ManagedProcess:
        """Start or restart a member, and direct the relays to its new port."""
        arguments = (
            "heronreel.cli", "coordinate", str(self._write_configuration(name)), "--name", name,
            "--folder", str(self.folder / name), "--listen", "127.0.0.1:0",
        )  # fmt: skip
        process = await ManagedProcess.start(name, arguments, self._environment(name, env))
        self.members[name] = process
        line = await process.wait_for_line('"listening"')
        self.network.set_port(name, json.loads(line)["port"])
        return process

    async def start_process(self, name: str, *arguments: str, **env: str) -> ManagedProcess:
        """Start a process that is not a member: `python -m` with these arguments."""
        process = await ManagedProcess.start(name, arguments, self._environment(name, env))
        self.others.append(process)
        return process

    async def add_member(self, name: str) -> None:
        """Start a new member, and make the others reload their configurations."""
        await self.network.add_member(name)
        self.names.append(name)
        self._reload_configurations()
        await self.start_member(name)

    async def remove_member(self, name: str) -> None:
        """Kill a member that has left the group, and make the others reload their configurations."""
        await self.members.pop(name).kill()
        self.names.remove(name)
        self._reload_configurations()

    def _reload_configurations(self) -> None:
        for name, process in self.members.items():
            self._write_configuration(name)
            process.send_signal(signal.SIGHUP)

    def _environment(self, name: str, env: dict[str, str]) -> dict[str, str]:
        if name not in self.clock_rates:
            return env
        return {CLOCK_RATE_VARIABLE: f"{self.clock_rates[name]:g}", **env}

    def _write_configuration(self, name: str) -> Path:
        """Write a member's configuration, in which the other members have the addresses of relays."""
        lines = [f"[group]\n{GROUP_SETTINGS}\n{self.extra_settings}\n"]
        for other in self.names:
            address = self.address(name) if other == name else self.network.peer_relays[name, other].address
            lines.append(f'[[members]]\nname = "{other}"\naddress = "{address}"\n')
        file = self.folder / f"{name}.toml"
        file.write_text("\n".join(lines))
        return file

    def run_command(self, *arguments: str, expected_code: int = 0) -> str:
        """Run a command of the program with this group's addresses, and return its output.

        Raises:
            CommandFailedError: The exit code differs from `expected_code`.
        """
        members = ",".join(f"{name}={self.address(name)}" for name in self.names)
        command = [sys.executable, "-m", "heronreel.cli", *arguments, "--members", members]
        completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
        if completed.returncode != expected_code:
            raise CommandFailedError(str(completed))
        return completed.stdout + completed.stderr

    # -- faults of a single member

    def fill_disk(self, name: str) -> None:
        """Make every write of a member fail as on a full disk, by a limit on the size of its files."""
        self._limit_file_size(name, 0)

    def free_disk(self, name: str) -> None:
        """End `fill_disk`."""
        _, hard_limit = resource.prlimit(self.members[name].pid, resource.RLIMIT_FSIZE)
        self._limit_file_size(name, hard_limit)

    def _limit_file_size(self, name: str, soft_limit: int) -> None:
        pid = self.members[name].pid
        _, hard_limit = resource.prlimit(pid, resource.RLIMIT_FSIZE)
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (soft_limit, hard_limit))

    # -- the state of the group

    async def wait_until_available(self, timeout_s: float = TIMEOUT_S) -> None:
        """Wait until the group responds to a request.

        Raises:
            TimeoutError: The group did not respond within `timeout_s` seconds.
        """
        async with Client(self.addresses, response_timeout_s=0.5) as client:
            async with asyncio.timeout(timeout_s):
                while True:
                    try:
                        await client.call(Range(b"nothing"), 1.0)
                        return
                    except RequestError:
                        await asyncio.sleep(POLL_INTERVAL_S)

    async def health(self) -> list[str]:
        """Return the response of each member's health check, or the text of an error."""
        async with _health_session(HEALTH_TIMEOUT_S) as session:
            return [await self._health_text(session, name) for name in self.names]

    async def _health_text(self, session: aiohttp.ClientSession, name: str) -> str:
        try:
            async with session.get(f"http://{self.address(name)}/health") as response:
                return await response.text()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return f"{name}: {error!r}"

    async def wait_for_leader(self, timeout_s: float = TIMEOUT_S) -> str:
        """Wait for a leader, and return its name.

        Raises:
            TimeoutError: There was no leader within `timeout_s` seconds.
        """
        async with _health_session(LEADER_TIMEOUT_S) as session, asyncio.timeout(timeout_s):
            while True:
                for name in self.names:
                    reports = _parsed([await self._health_text(session, name)])
                    if any(report.role == LEADER_ROLE for report in reports):
                        return name
                await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_until_healthy(self, timeout_s: float = TIMEOUT_S) -> None:
        """Wait until there is one leader, which every member follows with a disk that belongs to the group.

        Raises:
            GroupUnhealthyError: The group did not reach this state within `timeout_s` seconds.
        """
        await self._wait_for_reports(_is_healthy, timeout_s)

    async def wait_until_replicated(self, timeout_s: float = TIMEOUT_S) -> None:
        """Wait until the group is healthy and all members have the same version on their disks.

        Raises:
            GroupUnhealthyError: The group did not reach this state within `timeout_s` seconds.
        """
        await self._wait_for_reports(_is_replicated, timeout_s)

    async def _wait_for_reports(
        self, is_reached: Callable[[Sequence[HealthReport], int], bool], timeout_s: float
    ) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while True:
            responses = await self.health()
            if is_reached(_parsed(responses), len(self.names)):
                return
            if loop.time() >= deadline:
                raise GroupUnhealthyError(f"not healthy within {timeout_s:g} s: {responses}")
            await asyncio.sleep(HEALTH_POLL_INTERVAL_S)


def _health_session(timeout_s: float) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=timeout_s))


def _parsed(responses: Sequence[str]) -> list[HealthReport]:
    """Return the reports of the members that responded."""
    return [
        msgspec.json.decode(response, type=HealthReport) for response in responses if response.startswith("{")
    ]


def _is_replicated(reports: Sequence[HealthReport], size: int) -> bool:
    return _is_healthy(reports, size) and len({report.version for report in reports}) == 1


def _is_healthy(reports: Sequence[HealthReport], size: int) -> bool:
    leaders = [report for report in reports if report.role == LEADER_ROLE]
    if len(reports) != size or len(leaders) != 1:
        return False
    (leader,) = leaders
    return all(
        report.version[:2] == leader.version[:2]
        and leader.incarnations.get(report.member) == report.incarnation
        for report in reports
    )
