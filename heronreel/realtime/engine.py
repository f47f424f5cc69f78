"""Runs a rehearsal over real sockets and proxy processes.

The script, the cluster, the models of the nodes and the scoring are those of the virtual-time emulator.
"""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path

from heronreel.emulator.model import Rehearsal
from heronreel.emulator.node import Node
from heronreel.emulator.result import Result
from heronreel.emulator.scoring import SECOND_MS
from heronreel.emulator.simulation import SETTLE_MS, Simulation
from heronreel.realtime.errors import UnplayableScriptError
from heronreel.realtime.node_server import NodeServer
from heronreel.realtime.process_proxy import ProcessProxy
from heronreel.realtime.runtime import MAX_REQUESTS, Runtime

# Limits that bound the traffic on the loopback interface.
MAX_PROXIES = 16
MAX_NODES = 64
MAX_REAL_TIME_S = 600.0

LAUNCH_TIMEOUT_S = 60.0

# The engine checks this often whether the rehearsal is over.
MAX_POLL_INTERVAL_S = 0.25
POLLS_PER_REHEARSAL_SECOND = 4.0

MS_PER_S = 1000.0

ProgressCallback = Callable[[float], None]


class RealTimeEngine:
    """Runs one rehearsal within a running event loop.

    `scale` is the number of real milliseconds for each millisecond of the script.
    """

    def __init__(self, rehearsal: Rehearsal, seed: int, scale: float, folder: Path) -> None:
        """Prepare the simulation; the processes write their configurations and logs below `folder`."""
        self.rehearsal = rehearsal
        self.runtime = Runtime(asyncio.get_running_loop(), scale, folder)
        self.clock = self.runtime.clock
        make_proxy = partial(ProcessProxy, runtime=self.runtime)
        self.simulation = Simulation(rehearsal, seed, events=self.clock, make_proxy=make_proxy)
        self.proxies = [proxy for proxy in self.simulation.proxies if isinstance(proxy, ProcessProxy)]
        self.servers: dict[int, NodeServer] = {}
        self.runtime.on_request_limit = self.simulation.clients.stop_sending
        self.simulation.cluster.on_process_started = self._node_started

    def _node_started(self, node: Node) -> None:
        """Listen at the address of the node; a node without a server gets one at a new address."""
        if node.ident not in self.servers:
            server = NodeServer(self.runtime, self.simulation.cluster, node)
            self.servers[node.ident] = self.runtime.nodes[node.ident] = server
        self.servers[node.ident].listen()

    async def play(self, progress: ProgressCallback | None = None) -> Result:
        """Run the rehearsal and return its result.

        `progress` is called with the share of the rehearsal's duration that has passed, from 0 to 1.

        Raises:
            TimeoutError: a proxy process did not become healthy in time.
        """
        try:
            for node in self.simulation.fleet.nodes:
                self._node_started(node)
            self.runtime.epoch_unix_ms = time.time() * MS_PER_S
            async with asyncio.timeout(LAUNCH_TIMEOUT_S):
                await asyncio.gather(*(proxy.launch() for proxy in self.proxies))
            self.runtime.epoch_unix_ms = time.time() * MS_PER_S
            self.clock.start()
            faults = self.simulation.begin()
            await self._wait_until_over(progress)
            self.clock.update()
            return self.simulation.finish(faults)
        finally:
            await self._stop()

    async def _wait_until_over(self, progress: ProgressCallback | None) -> None:
        poll_interval_s = min(
            MAX_POLL_INTERVAL_S, SECOND_MS * self.clock.scale / (POLLS_PER_REHEARSAL_SECOND * MS_PER_S)
        )
        while not self.simulation.is_over():
            await asyncio.sleep(poll_interval_s)
            now = self.clock.update()
            if progress is not None:
                progress(min(1.0, now / self.rehearsal.duration_ms))
        await asyncio.sleep(SETTLE_MS * self.clock.scale / MS_PER_S)

    async def _stop(self) -> None:
        self.runtime.stopping = True
        self.clock.stop()
        await asyncio.gather(*(proxy.stop() for proxy in self.proxies), return_exceptions=True)
        for server in self.servers.values():
            server.process_stopped()
        await self.runtime.cancel_tasks()


def play_over_sockets(
    rehearsal: Rehearsal, seed: int, scale: float = 1.0, progress: ProgressCallback | None = None
) -> tuple[Result, list[str]]:
    """Run a script over loopback; return the result and the failures of processes and tasks.

    Raises:
        UnplayableScriptError: the script exceeds a limit of this engine.
        TimeoutError: a proxy process did not become healthy in time.
    """
    _check_size(rehearsal, scale)
    return asyncio.run(_play(rehearsal, seed, scale, progress))


async def _play(
    rehearsal: Rehearsal, seed: int, scale: float, progress: ProgressCallback | None
) -> tuple[Result, list[str]]:
    with tempfile.TemporaryDirectory(prefix="rehearsal-") as folder:
        engine = RealTimeEngine(rehearsal, seed, scale, Path(folder))
        result = await engine.play(progress)
    return result, engine.runtime.failures


def _check_size(rehearsal: Rehearsal, scale: float) -> None:
    requests = rehearsal.traffic.requests_per_s * rehearsal.seconds
    for quantity, count, limit in (
        ("nodes", rehearsal.fleet.nodes, MAX_NODES),
        ("proxies", rehearsal.proxies.count, MAX_PROXIES),
        ("requests", int(requests), MAX_REQUESTS),
        ("seconds of real time", int(rehearsal.seconds * scale), int(MAX_REAL_TIME_S)),
    ):
        if count > limit:
            raise UnplayableScriptError(
                f"the script has {count:,} {quantity}: at most {limit:,} can be run over real sockets"
            )
