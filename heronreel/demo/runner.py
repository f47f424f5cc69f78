"""Runs the demo: the proxy in a process of its own, servers and client in this one."""

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

from heronreel.demo.scenario import (
    DEDUPLICATION_GROUPS,
    DRAIN,
    FAULTS,
    REQUESTS_PER_SECOND,
    requests,
    routes_file,
)
from heronreel.stubs.http_client import OUTCOMES, ClientStats, HttpClient
from heronreel.stubs.http_server import DeduplicationGroup, ServerBehaviour, StubServer

ROOT = Path(__file__).parent.parent.parent
START_TIMEOUT_S = 15.0  # for the proxy to listen
DRAIN_TIMEOUT_S = 10.0  # for it to exit after SIGTERM
REQUEST_TIMEOUT_S = 2.5
LAST_RESPONSES_S = 2 * REQUEST_TIMEOUT_S + 1.0  # for requests in flight at the end
REFRESH_S = 0.25  # between two updates of the display
IDEMPOTENT_ROUTE = "read-profile"

Display = Callable[["DemoState"], None]


class DemoError(Exception):
    """The demo could not be run to its end."""


@dataclass(slots=True)
class DemoState:
    """What the display shows."""

    seconds: float  # the demo's length
    stats: ClientStats = field(default_factory=ClientStats)
    effects: Counter[bytes] = field(default_factory=Counter)  # how often each ran
    idempotent: set[bytes] = field(default_factory=set)  # effects that may be repeated
    servers: list[StubServer] = field(default_factory=list)
    faults: dict[int, str] = field(default_factory=dict)  # descriptions, by the server's index
    began: float = 0.0
    exit_code: int | None = None  # of the proxy

    def repeated_effects(self) -> int:
        """How many effects ran more than once that must not."""
        return sum(count > 1 for effect_id, count in self.effects.items() if effect_id not in self.idempotent)

    def result(self) -> dict[str, int]:
        """The figures of `--json`."""
        counts = {outcome: self.stats.counts[outcome] for outcome in OUTCOMES}
        return {"asked": self.stats.requests, **counts, "twice": self.repeated_effects()}


@dataclass(slots=True)
class _ProxyProcess:
    """The proxy, the file that it was started with, and the address where it listens."""

    process: asyncio.subprocess.Process
    file: Path
    address: tuple[str, int]


async def run_demo(seconds: float, seed: int, display: Display) -> DemoState:
    """Run the demo from the proxy's start to its exit; ends only processes that it started.

    Raises:
        DemoError: the proxy did not start, or exited early.
    """
    state = DemoState(seconds)
    async with AsyncExitStack() as stack:
        await _start_servers(state, seed, stack)
        proxy = await _start_proxy(state, stack)
        await _send_requests(state, seed, proxy, display)
        proxy.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(DRAIN_TIMEOUT_S):
            state.exit_code = await proxy.process.wait()
    display(state)
    return state


async def _start_servers(state: DemoState, seed: int, stack: AsyncExitStack) -> None:
    groups = {name: DeduplicationGroup(name) for name in DEDUPLICATION_GROUPS}
    for index, group in enumerate(DEDUPLICATION_GROUPS):
        server = StubServer(f"n{index}", groups[group], ServerBehaviour(), state.effects, seed + index)
        state.servers.append(await stack.enter_async_context(server))


async def _start_proxy(state: DemoState, stack: AsyncExitStack) -> _ProxyProcess:
    folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="heronreel-demo-")))
    file = folder / "routes.toml"
    file.write_text(routes_file([server.address for server in state.servers]))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "heronreel.cli",
        "serve",
        str(file),
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
    )
    stack.push_async_callback(_kill, process)
    address = await _listen_address(process)
    discarding = asyncio.create_task(_discard_log(process))
    stack.callback(discarding.cancel)
    return _ProxyProcess(process, file, address)


async def _kill(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        process.kill()
        await process.wait()


async def _listen_address(process: asyncio.subprocess.Process) -> tuple[str, int]:
    """Read the proxy's log up to the line that names its address."""
    assert process.stderr
    lines: list[str] = []
    try:
        async with asyncio.timeout(START_TIMEOUT_S):
            while line := (await process.stderr.readline()).decode():
                lines.append(line)
                if found := re.search(r"listening on (\S+):(\d+) ", line):
                    return found[1], int(found[2])
    except TimeoutError:
        pass
    raise DemoError("the proxy did not start: " + "".join(lines[-5:]).strip())


async def _discard_log(process: asyncio.subprocess.Process) -> None:
    assert process.stderr
    while await process.stderr.readline():
        pass


async def _send_requests(state: DemoState, seed: int, proxy: _ProxyProcess, display: Display) -> None:
    """Send requests at a steady rate, whatever becomes of them, while faults begin and end."""
    client = HttpClient(proxy.address, state.stats, REQUEST_TIMEOUT_S)
    in_flight: set[asyncio.Task[int]] = set()
    source = requests(seed)
    state.began = time.monotonic()
    drained = False
    sent = 0
    shown_s = -REFRESH_S
    while (now_s := time.monotonic() - state.began) < state.seconds:
        if proxy.process.returncode is not None:
            raise DemoError(f"the proxy ended with {proxy.process.returncode}")
        _apply_faults(state, now_s / state.seconds)
        if not drained and now_s >= DRAIN.start * state.seconds:
            drained = True
            _drain_server(state, proxy)
        while sent < now_s * REQUESTS_PER_SECOND:
            sent += 1
            request = next(source)
            if request.route == IDEMPOTENT_ROUTE:
                state.idempotent.add(request.effect_id)
            task = asyncio.create_task(client.request(request.route, request.data))
            in_flight.add(task)
            task.add_done_callback(in_flight.discard)
        if now_s - shown_s >= REFRESH_S:
            shown_s = now_s
            display(state)
        await asyncio.sleep(1.0 / REQUESTS_PER_SECOND)
    if in_flight:
        await asyncio.wait(in_flight, timeout=LAST_RESPONSES_S)
    client.close()


def _drain_server(state: DemoState, proxy: _ProxyProcess) -> None:
    proxy.file.write_text(routes_file([server.address for server in state.servers], DRAIN.server))
    proxy.process.send_signal(signal.SIGHUP)


def _apply_faults(state: DemoState, progress: float) -> None:
    """Set each server's behaviour after that share of the demo's length."""
    active = {fault.server: fault for fault in reversed(FAULTS) if fault.is_active(progress)}
    for index, server in enumerate(state.servers):
        server.behaviour = active[index].behaviour if index in active else ServerBehaviour()
    state.faults = {index: fault.description for index, fault in active.items()}
    if progress >= DRAIN.start:
        state.faults[DRAIN.server] = "drained by a new file"
