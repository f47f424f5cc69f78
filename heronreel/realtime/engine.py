"""The second engine: the same script, world, nodes and judge, on real sockets and real proxy processes."""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import Callable, Coroutine
from typing import Any

from heronreel.emulator.judge import SECOND_MS
from heronreel.emulator.model import Rehearsal
from heronreel.emulator.node import Node
from heronreel.emulator.proxies import Ask
from heronreel.emulator.result import Result
from heronreel.emulator.world import SETTLE_MS, World
from heronreel.realtime.clock import WallEvents
from heronreel.realtime.nodes import Server
from heronreel.realtime.proxies import RealProxy

PROXIES_MOST, NODES_MOST, REQUESTS_MOST = 16, 64, 100_000
SECONDS_MOST = 600.0  # real time: traffic on loopback is bounded


class NotPlayable(ValueError):
    """A script that the real engine can't play; one line."""


class Engine:
    """One play.  `scale`: real ms for each ms of the script."""

    def __init__(self, rehearsal: Rehearsal, seed: int, scale: float) -> None:
        self.rehearsal, self.seed, self.scale = rehearsal, seed, scale
        self.tasks: set[asyncio.Task[Any]] = set()
        self.asks: dict[bytes, Ask] = {}
        self.servers: dict[int, Server] = {}
        self.crashes: list[str] = []  # processes that ended by themselves
        self.over = False
        self.requests = 0  # sent to proxies

    def spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._done)

    def _done(self, task: asyncio.Task[Any]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None and not self.over:
            self.crashes.append(f"{task.exception()!r}")

    def count(self) -> None:
        """Traffic has a bound whatever bursts, shapes and retries make of it: no more is asked beyond it."""
        self.requests += 1
        if self.requests == REQUESTS_MOST:
            self.crashes.append(f"stopped asking at {REQUESTS_MOST:,} requests")
            self.world.clients.until = self.clock.now

    def _listen(self, node: Node) -> None:
        if node.ident in self.servers:
            self.servers[node.ident].listen()
        else:
            self.servers[node.ident] = Server(self, node)

    async def play(self, progress: Callable[[float], None] | None = None) -> Result:
        self.loop = asyncio.get_running_loop()
        self.clock = WallEvents(self.loop, self.scale)
        self.world = world = World(self.rehearsal, self.seed, events=self.clock, proxy=self._proxy)
        world.on_node = self._listen
        for node in world.fleet.nodes:
            self._listen(node)
        with tempfile.TemporaryDirectory(prefix="rehearsal-") as self.folder:
            try:
                self.unix_ms = time.time() * 1000.0
                async with asyncio.timeout(60.0):
                    await asyncio.gather(*(proxy.launch() for proxy in self._proxies()))
                self.unix_ms = time.time() * 1000.0
                self.clock.begin()
                troubles = world.begin()
                end = self.rehearsal.seconds * 1000.0
                while not world.is_over():
                    await asyncio.sleep(min(0.25, SECOND_MS * self.scale / 4000.0))
                    now = self.clock.update()
                    if progress is not None:
                        progress(min(1.0, now / end))
                await asyncio.sleep(SETTLE_MS * self.scale / 1000.0)
                self.clock.update()
                return world.finish(troubles)
            finally:
                await self._stop()

    def _proxy(self, world: World, name: str, zone: str, slot: int) -> RealProxy:
        made = RealProxy(world, name, zone, slot)
        made.engine = self
        return made

    def _proxies(self) -> list[RealProxy]:
        return [proxy for proxy in self.world.proxies if isinstance(proxy, RealProxy)]

    async def _stop(self) -> None:
        self.over = True
        self.clock.stop()
        await asyncio.gather(*(proxy.stop() for proxy in self._proxies()), return_exceptions=True)
        for server in self.servers.values():
            server.died()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def play_real(
    rehearsal: Rehearsal, seed: int, scale: float = 1.0, progress: Callable[[float], None] | None = None
) -> tuple[Result, list[str]]:
    """Play it on loopback; the result, and what went wrong with the processes themselves."""
    nodes, proxies = rehearsal.fleet.nodes, rehearsal.proxies.count
    requests = rehearsal.traffic.requests_per_s * rehearsal.seconds
    for what, count, most in (
        ("nodes", nodes, NODES_MOST), ("proxies", proxies, PROXIES_MOST),
        ("requests", int(requests), REQUESTS_MOST),
        ("seconds of real time", int(rehearsal.seconds * scale), int(SECONDS_MOST)),
    ):  # fmt: skip
        if count > most:
            raise NotPlayable(f"{count:,} {what}: at most {most:,} are played over real sockets")
    engine = Engine(rehearsal, seed, scale)
    result = asyncio.run(engine.play(progress))
    return result, engine.crashes
