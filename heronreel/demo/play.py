"""Plays the demo: the proxy in a process of its own, servers and client in this one."""

from __future__ import annotations

import asyncio
import os
import re
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path

from heronreel.demo.scene import DRAINED, RACKS, RATE, TROUBLES, file_of, requests
from heronreel.stubs.client import Clients, Told
from heronreel.stubs.servers import Manners, ProfileNode, Rack

ROOT = Path(__file__).parent.parent.parent
START_S = 15.0  # for the proxy to be up
WAIT_S = 2.5


class DemoFailed(Exception):
    """The demo could not be played to its end."""


@dataclass(slots=True)
class Stage:
    """What happens just now, for the table."""

    seconds: float
    told: Told = field(default_factory=Told)
    effects: Counter[bytes] = field(default_factory=Counter)
    safe: set[bytes] = field(default_factory=set)  # effects that may be repeated
    nodes: list[ProfileNode] = field(default_factory=list)
    troubles: dict[int, str] = field(default_factory=dict)
    began: float = 0.0
    code: int | None = None  # the proxy's exit

    def twice(self) -> int:
        """Effects of requests that must not run twice, and did."""
        return sum(count > 1 for ident, count in self.effects.items() if ident not in self.safe)

    def result(self) -> dict[str, int]:
        counts = self.told.counts
        return {
            "asked": self.told.asked,
            **{name: counts[name] for name in ("served", "refused", "failed", "lost")},
            "twice": self.twice(),
        }


async def play(seconds: float, seed: int, show: Callable[[Stage], None]) -> Stage:
    """The demo from start to drained.  Raises DemoFailed; ends only processes it started."""
    stage = Stage(seconds)
    racks = {name: Rack(name) for name in RACKS}
    async with AsyncExitStack() as stack:
        for number, rack in enumerate(RACKS):
            node = ProfileNode(f"n{number}", racks[rack], Manners(), stage.effects, seed + number)
            stage.nodes.append(await stack.enter_async_context(node))
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="heronreel-demo-")))
        path = folder / "routes.toml"
        addresses = [node.address for node in stage.nodes]
        path.write_text(file_of(addresses))
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "heronreel.cli", "serve", str(path),
            cwd=ROOT, stderr=asyncio.subprocess.PIPE, env={**os.environ, "PYTHONPATH": str(ROOT)},
        )  # fmt: skip
        stack.push_async_callback(_end, process)
        address = await _listening(process)
        drain_log = asyncio.create_task(_drain_log(process))
        stack.callback(drain_log.cancel)
        await _drive(stage, seed, address, process, path, addresses, show)
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(10.0):
            stage.code = await process.wait()
    show(stage)
    return stage


async def _end(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        process.kill()
        await process.wait()


async def _listening(process: asyncio.subprocess.Process) -> tuple[str, int]:
    assert process.stderr
    lines: list[str] = []
    try:
        async with asyncio.timeout(START_S):
            while line := (await process.stderr.readline()).decode():
                lines.append(line)
                if found := re.search(r"listening on (\S+):(\d+) ", line):
                    return found[1], int(found[2])
    except TimeoutError:
        pass
    raise DemoFailed("the proxy did not start: " + "".join(lines[-5:]).strip())


async def _drain_log(process: asyncio.subprocess.Process) -> None:
    assert process.stderr
    while await process.stderr.readline():
        pass


async def _drive(
    stage: Stage,
    seed: int,
    address: tuple[str, int],
    process: asyncio.subprocess.Process,
    path: Path,
    addresses: list[tuple[str, int]],
    show: Callable[[Stage], None],
) -> None:
    clients = Clients(address, stage.told, WAIT_S)
    asking: set[asyncio.Task[int]] = set()
    source = requests(seed)
    stage.began = time.monotonic()
    drained = False
    sent = 0
    shown = -1.0
    while (now := time.monotonic() - stage.began) < stage.seconds:
        if process.returncode is not None:
            raise DemoFailed(f"the proxy ended with {process.returncode}")
        _trouble(stage, now / stage.seconds)
        if not drained and now >= DRAINED[0] * stage.seconds:
            drained = True
            path.write_text(file_of(addresses, DRAINED[1]))
            process.send_signal(signal.SIGHUP)
        while sent < now * RATE:
            sent += 1
            route, ident, data = next(source)
            if route == "read-profile":
                stage.safe.add(ident)
            task = asyncio.create_task(clients.ask(route, data))
            asking.add(task)
            task.add_done_callback(asking.discard)
        if now - shown >= 0.25:
            shown = now
            show(stage)
        await asyncio.sleep(1.0 / RATE)
    if asking:
        await asyncio.wait(asking, timeout=2 * WAIT_S + 1.0)
    clients.close()


def _trouble(stage: Stage, share: float) -> None:
    stage.troubles = {
        trouble.node: trouble.words for trouble in TROUBLES if trouble.start <= share < trouble.end
    }
    for number, node in enumerate(stage.nodes):
        node.manners = next(
            (t.manners for t in TROUBLES if t.node == number and t.start <= share < t.end), Manners()
        )
    if share >= DRAINED[0]:
        stage.troubles[DRAINED[1]] = "drained by a new file"
