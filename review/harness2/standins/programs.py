"""The project's programs as separate processes."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import tomllib
from contextlib import suppress
from pathlib import Path
from typing import Any

from standins.ports import LOOPBACK, ReservedPort

ROOT = Path(__file__).parents[3]  # root of the repository
LISTEN_BACKLOG = 2048
ACCEPT_DESCRIPTOR = 5  # the platform passes the listening socket as this descriptor during upgrades
EXIT_TIMEOUT_S = 5.0


class DescriptorInUseError(Exception):
    """The descriptor that the platform passes is in use in this process."""


def run_command() -> str:
    """Return the command of the deploy file that starts one proxy."""
    return str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"])


def proxy_configuration(
    name: str,
    listen: str,
    discovery: str,
    entries: list[dict[str, Any]],
    categories: list[dict[str, Any]],
    memory_mb: int = 96,
    sockets: int = 1024,
) -> dict[str, Any]:
    """Return the content of `LB_CONFIG` for one proxy of a small deployment."""
    return {
        "name": name, "listen": listen, "discovery": discovery, "seed": os.urandom(8).hex(),
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "known": {"index": 1, "snapshot": True, "endpoints": entries},
        "settings": {
            "Balancers": 1, "Categories": categories, "Discovery": "ask",
            "FailureDomains": ["a"], "Zone": "a",
            "Limits": {"MostTries": 4, "ConnectTimeoutMs": 250.0, "ConnIdleMs": 15000.0},
            "Rules": {"MustAskInMs": 10000.0, "DrainGraceMs": 500.0},
        },
    }  # fmt: skip


def write_configuration(path: Path, configuration: dict[str, Any]) -> None:
    """Write a configuration file."""
    path.write_text(json.dumps(configuration))


class Program:
    """A child process, whose output goes to a file."""

    def __init__(self, process: subprocess.Popen[bytes], output: Path) -> None:
        self.process = process
        self.output = output

    @classmethod
    def start(
        cls, command: list[str], output: Path, environment: dict[str, str], inherited: int | None = None
    ) -> Program:
        """Start a command in the root of the repository, with further environment variables.

        Args:
            command: The command.
            output: The file that standard output and standard error are appended to.
            environment: The further variables.
            inherited: A descriptor that the process inherits under the same number.
        """
        with output.open("ab") as file:
            process = subprocess.Popen(
                command,
                cwd=ROOT,
                env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1", **environment},
                stdin=subprocess.DEVNULL,
                stdout=file,
                stderr=subprocess.STDOUT,
                pass_fds=() if inherited is None else (inherited,),
            )
        return cls(process, output)

    @property
    def pid(self) -> int:
        """The process id."""
        return self.process.pid

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal unless the process has ended."""
        if self.is_running():
            self.process.send_signal(number)

    async def stop(self) -> None:
        """End the process with SIGTERM, or with SIGKILL if it takes too long."""
        self.send(signal.SIGTERM)
        for _ in range(int(EXIT_TIMEOUT_S / 0.05)):
            if not self.is_running():
                return
            await asyncio.sleep(0.05)
        self.kill()

    def kill(self) -> None:
        """End the process with SIGKILL."""
        self.send(signal.SIGKILL)
        self.process.wait()


class PlatformSocket:
    """The listening socket for clients that the platform holds across an upgrade.

    Every process inherits it as descriptor 5, as the page on daily operation says.  It has to be created
    before the event loop, which would take that descriptor for itself.

    Raises:
        DescriptorInUseError: The descriptor is in use.
    """

    def __init__(self) -> None:
        with suppress(OSError):
            os.fstat(ACCEPT_DESCRIPTOR)
            raise DescriptorInUseError(ACCEPT_DESCRIPTOR)
        listener = socket.socket()
        listener.bind((LOOPBACK, 0))
        listener.listen(LISTEN_BACKLOG)
        self.port: int = listener.getsockname()[1]
        os.dup2(listener.fileno(), ACCEPT_DESCRIPTOR, inheritable=True)
        listener.close()

    def close(self) -> None:
        """Close the socket."""
        os.close(ACCEPT_DESCRIPTOR)


class UpgradableProxy:
    """One process of a proxy whose listening socket the platform holds."""

    def __init__(
        self, folder: Path, number: int, listener: PlatformSocket, configuration: dict[str, Any]
    ) -> None:
        """Start the process with the command of the deploy file.

        Args:
            folder: The folder for the configuration and the output; its `tmp` is `$TMPDIR`, which is kept.
            number: The number of the process, counting from 1.
            listener: The socket for clients.
            configuration: The content of `LB_CONFIG`.
        """
        self.admin = ReservedPort()
        shared_folder = folder / "tmp"
        shared_folder.mkdir(exist_ok=True)
        path = folder / f"config-{number}.json"
        write_configuration(path, configuration | {"mgmt": self.admin.address})
        environment = {
            "LB_NAME": configuration["name"],
            "LB_LISTEN": f"{LOOPBACK}:{listener.port}",
            "LB_CONFIG": str(path),
            "LB_MGMT": self.admin.address,
            "LB_ACCEPT_FD": str(ACCEPT_DESCRIPTOR),
            "TMPDIR": str(shared_folder),
        }
        command = ["/bin/sh", "-c", run_command()]
        self.program = Program.start(command, folder / f"proxy-{number}.log", environment, ACCEPT_DESCRIPTOR)

    def stop(self) -> None:
        """Kill the process and release its port."""
        self.program.kill()
        self.admin.__exit__()
