"""Starts a proxy with the command `run` of the deploy file, and ends it."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import tomllib
from contextlib import suppress
from pathlib import Path
from typing import Any

from harness.discovery import Discovery
from harness.record import Record

ROOT = Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
MEMORY_MB = 192
SOCKETS = 1024


def settings(classes: list[dict[str, Any]], **limits: Any) -> dict[str, Any]:
    """Return the settings of a small deployment, with the figures of the site `profili-sicilia`."""
    return {
        "Balancers": 1,
        "SlotNo": 0,
        "Categories": classes,
        "Tenants": [{"Name": "ciclisti-etna", "Portion": 1.0}],
        "Discovery": "ask",
        "FailureDomains": ["palermo", "catania"],
        "Zone": "palermo",
        "CountedBy": "work",
        "Limits": {
            "MostTries": 4,
            "SecondCopies": True,
            "ConnectTimeoutMs": 250.0,
            "ConnIdleMs": 15000.0,
            "RetryAfter": True,
            "MaxRetryAfterMs": 2000.0,
        }
        | limits,
        "Rules": {
            "MustAskInMs": 10000.0,
            "DrainGraceMs": 500.0,
            "ColdFrom": 0.13,
            "ColdMs": 23000.0,
            "OverloadFactor": 4.0,
            "FallMs": 2000.0,
            "GraceToAnswerMs": 20.0,
        },
    }


def keyed_class(name: str = "salva-profilo", deadline_ms: float = 2500.0) -> dict[str, Any]:
    """Return the settings of a keyed class."""
    return {
        "Name": name,
        "OnTimeMs": 500.0,
        "HardLimitMs": deadline_ms,
        "Worth": 1.0,
        "LateWorth": 0.5,
        "Effect": "deduplicated",
        "DedupScope": "cell",
        "RepeatWindowMs": 5000.0,
    }


class Proxy:
    """One proxy process."""

    def __init__(self, folder: Path, record: Record, name: str = "n1") -> None:
        self.folder = folder
        self.record = record
        self.name = name
        self.port = _free_port()
        self.admin_port = _free_port()
        self.log_path = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, discovery: Discovery, proxy_settings: dict[str, Any]) -> None:
        """Start the process, and wait until its health check answers 200.

        Raises:
            TimeoutError: The proxy is not ready in time.
        """
        config = self.folder / f"{self.name}.json"
        temporary = self.folder / f"{self.name}.tmp"
        temporary.mkdir(exist_ok=True)
        config.write_text(json.dumps(self._document(discovery, proxy_settings)))
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        # The script's own search path is not the proxy's.
        inherited = {name: value for name, value in os.environ.items() if name != "PYTHONPATH"}
        environment = inherited | {
            "LB_NAME": self.name,
            "LB_LISTEN": f"127.0.0.1:{self.port}",
            "LB_DISCOVERY": f"127.0.0.1:{discovery.port}",
            "LB_CONFIG": str(config),
            "LB_MGMT": f"127.0.0.1:{self.admin_port}",
            "TMPDIR": str(temporary),
        }
        with self.log_path.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.is_ready():
                await asyncio.sleep(POLL_INTERVAL_S)
        self.record.add(f"proxy {self.name} is ready")

    def _document(self, discovery: Discovery, proxy_settings: dict[str, Any]) -> dict[str, Any]:
        return {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery.port}",
            "mgmt": f"127.0.0.1:{self.admin_port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
            "known": discovery.whole_list(),
            "settings": proxy_settings,
        }

    async def is_ready(self) -> bool:
        """Return whether the health check answers 200."""
        return await call(self.port, "GET", "/_health") == 200

    async def command(self, name: str, body: str = "") -> int:
        """Send a command of an operator, and return the status of the answer."""
        return await call(self.admin_port, "POST", f"/admin/{name}", body)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it still runs."""
        if self.process and self.process.returncode is None:
            with suppress(ProcessLookupError):
                self.process.send_signal(number)

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    async def stop(self) -> None:
        """End the process."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process:
            await self.process.wait()


async def call(port: int, method: str, path: str, body: str = "") -> int:
    """Make one call on a connection of its own, and return its status; 0 if there is no answer."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return 0
    head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    status = 0
    with suppress(OSError, ValueError, IndexError):
        writer.write((head + body).encode())
        status = int((await reader.readline()).split()[1])
    writer.close()
    return status


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port
