"""The engine: the same script, cluster, nodes and scoring, on real sockets and real proxy processes."""

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

MAX_PROXIES, MAX_NODES = 16, 64
MAX_REAL_SECONDS = 600.0  # traffic on loopback is bounded
LAUNCH_TIMEOUT_S = 60.0
MAX_POLL_S, POLLS_PER_SECOND = 0.25, 4.0  # how often the end of a play is looked for
Progress = Callable[[float], None]


class RealTimeEngine:
    """One play, within a running loop.  `scale`: real ms for each ms of the script."""

    def __init__(self, rehearsal: Rehearsal, seed: int, scale: float, folder: Path) -> None:
        """`folder` gets the configurations and logs of the processes."""
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
        """Listen at the node's address, a new one for a new node."""
        if node.ident not in self.servers:
            server = NodeServer(self.runtime, self.simulation.cluster, node)
            self.servers[node.ident] = self.runtime.nodes[node.ident] = server
        self.servers[node.ident].listen()

    async def play(self, progress: Progress | None = None) -> Result:
        """Play it; `progress` gets the share of the time that is over.  Raises TimeoutError."""
        try:
            for node in self.simulation.fleet.nodes:
                self._node_started(node)
            self.runtime.epoch_unix_ms = time.time() * 1000.0
            async with asyncio.timeout(LAUNCH_TIMEOUT_S):
                await asyncio.gather(*(proxy.launch() for proxy in self.proxies))
            self.runtime.epoch_unix_ms = time.time() * 1000.0
            self.clock.start()
            faults = self.simulation.begin()
            await self._wait_until_over(progress)
            self.clock.update()
            return self.simulation.finish(faults)
        finally:
            await self._stop()

    async def _wait_until_over(self, progress: Progress | None) -> None:
        poll_s = min(MAX_POLL_S, SECOND_MS * self.clock.scale / (POLLS_PER_SECOND * 1000.0))
        while not self.simulation.is_over():
            await asyncio.sleep(poll_s)
            now = self.clock.update()
            if progress is not None:
                progress(min(1.0, now / self.rehearsal.duration_ms))
        await asyncio.sleep(SETTLE_MS * self.clock.scale / 1000.0)

    async def _stop(self) -> None:
        self.runtime.stopping = True
        self.clock.stop()
        await asyncio.gather(*(proxy.stop() for proxy in self.proxies), return_exceptions=True)
        for server in self.servers.values():
            server.process_stopped()
        await self.runtime.cancel_tasks()


def play_over_sockets(
    rehearsal: Rehearsal, seed: int, scale: float = 1.0, progress: Progress | None = None
) -> tuple[Result, list[str]]:
    """Play a script on loopback; the result, and what went wrong with the processes themselves.

    Raises UnplayableScriptError and TimeoutError.
    """
    _check_size(rehearsal, scale)
    return asyncio.run(_play(rehearsal, seed, scale, progress))


async def _play(
    rehearsal: Rehearsal, seed: int, scale: float, progress: Progress | None
) -> tuple[Result, list[str]]:
    with tempfile.TemporaryDirectory(prefix="rehearsal-") as folder:
        engine = RealTimeEngine(rehearsal, seed, scale, Path(folder))
        result = await engine.play(progress)
    return result, engine.runtime.failures


def _check_size(rehearsal: Rehearsal, scale: float) -> None:
    requests = rehearsal.traffic.requests_per_s * rehearsal.seconds
    for what, count, limit in (
        ("nodes", rehearsal.fleet.nodes, MAX_NODES),
        ("proxies", rehearsal.proxies.count, MAX_PROXIES),
        ("requests", int(requests), MAX_REQUESTS),
        ("seconds of real time", int(rehearsal.seconds * scale), int(MAX_REAL_SECONDS)),
    ):
        if count > limit:
            raise UnplayableScriptError(f"{count:,} {what}: at most {limit:,} are played over real sockets")
