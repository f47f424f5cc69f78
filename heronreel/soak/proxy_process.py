"""A real proxy process: its start, its planned signals and stops, and SIGKILL at the earliest time."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
from contextlib import suppress
from pathlib import Path

from heronreel.fault_injection.managed_process import ManagedProcess
from heronreel.soak.plan import MAX_HOLD_S, Hold, Shutdown
from heronreel.soak.records import LifeRecord, ProcessorWait, now

POLL_INTERVAL_S = 0.005
SAMPLE_INTERVAL_S = 0.1
NS_PER_S = 1e9


def reserve_port() -> socket.socket:
    """Bind a socket to reserve its port; the proxy can bind the port too, because of SO_REUSEADDR."""
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind(("127.0.0.1", 0))
    return reserved


class ProxyProcess:
    """A proxy process that serves for a time and is then shut down."""

    def __init__(
        self,
        name: str,
        process: ManagedProcess,
        port: int,
        reserved: list[socket.socket],
        admin_port: int = 0,
    ) -> None:
        self.name = name
        self.reserved = reserved  # sockets that reserve its ports until it has ended
        self.process = process
        self.port = port
        self.admin_port = admin_port  # 0 if it has no admin API
        self.record = LifeRecord(name, now(), 0.0, log=process.lines)

    @classmethod
    async def start(cls, name: str, config: Path, shared: socket.socket | None = None) -> ProxyProcess:
        """Start a process and wait until it listens; `shared` is a listening socket that it inherits."""
        reserved = [reserve_port()]
        port = (shared or reserved[0]).getsockname()[1]
        environment = {"LB_NAME": name, "LB_LISTEN": f"127.0.0.1:{port}", "LB_CONFIG": str(config)}
        admin_port, inherited = 0, []
        if shared:
            admin_port, inherited = reserved[0].getsockname()[1], [shared.fileno()]
            environment |= {
                "LB_ACCEPT_FD": str(shared.fileno()), "LB_MGMT": f"127.0.0.1:{admin_port}",
                "TMPDIR": str(config.parent),
            }  # fmt: skip
        process = await ManagedProcess.start(name, ["heronreel.proxy"], environment, inherited)
        await process.wait_for_line("listening on")
        return cls(name, process, port, reserved, admin_port)

    async def sample_waits(self) -> None:
        """Sample the time that the process has waited for a processor, until it ends or this is cancelled."""
        while self.process.process.returncode is None:
            self.record.waits.append(ProcessorWait(now(), self._starved_s()))
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def call_admin(self, command: str) -> None:
        """Send a command of an operator to its admin API."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.admin_port)
        writer.write(f"POST /admin/{command} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".encode())
        await reader.read()
        writer.close()

    async def shut_down(self, shutdown: Shutdown, kill_after_s: float) -> None:
        """Send SIGTERM, the planned signals and, if needed, SIGKILL; return when the process has ended."""
        first_at = min([0.0, *(planned.at_s for planned in shutdown.signals)])
        # The time of SIGTERM, to which the plan's times are relative.
        begin = asyncio.get_running_loop().time() - first_at
        tasks = [
            asyncio.create_task(self._signal_at(begin, planned.at_s, planned.number))
            for planned in shutdown.signals
        ]
        if shutdown.hold:
            tasks.append(asyncio.create_task(self._hold(begin, shutdown.hold)))
        await _sleep_until(begin)
        self._send(signal.SIGTERM)
        self.record.signalled_at = now()
        starved_before_s = self._starved_s()
        while self.process.process.returncode is None:
            self.record.starved_s = max(self.record.starved_s, self._starved_s() - starved_before_s)
            # Delays of a busy machine extend the limit, except for the time that a process must tolerate.
            allowed_s = kill_after_s + max(0.0, self.record.starved_s - MAX_HOLD_S)
            if now() > self.record.signalled_at + allowed_s and not self.record.killed:
                self.record.killed = True
                self._send(signal.SIGKILL)
            with suppress(TimeoutError):
                await asyncio.wait_for(self.process.process.wait(), POLL_INTERVAL_S)
        self.record.ended_at, self.record.exit_code = now(), self.process.process.returncode
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _send(self, number: signal.Signals) -> None:
        if self.process.process.returncode is None:
            with suppress(ProcessLookupError):
                # asyncio's `send_signal` may consume the exit status.
                os.kill(self.process.process.pid, number)

    async def _signal_at(self, begin: float, at_s: float, number: signal.Signals) -> None:
        await _sleep_until(begin + at_s)
        self._send(number)

    async def _hold(self, begin: float, hold: Hold) -> None:
        await _sleep_until(begin + hold.at_s)
        held_from = now()
        self._send(signal.SIGSTOP)
        try:
            await asyncio.sleep(hold.for_s)
        finally:
            self._send(signal.SIGCONT)
            self.record.held_s = now() - held_from

    def _starved_s(self) -> float:
        """Return how long the process has waited for a processor since its start."""
        with suppress(OSError, IndexError):
            return int(Path(f"/proc/{self.process.process.pid}/schedstat").read_text().split()[1]) / NS_PER_S
        return 0.0

    async def stop(self) -> None:
        """Kill the process if it still runs, and release its ports."""
        self._send(signal.SIGKILL)
        await self.process.process.wait()
        for reserved in self.reserved:
            reserved.close()


async def _sleep_until(at: float) -> None:
    await asyncio.sleep(at - asyncio.get_running_loop().time())
