"""Runs the demo: the proxy in a separate process, the servers and the client in this process."""

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

# The proxy must listen within this time of its start.
START_TIMEOUT_S = 15.0

# The proxy must exit within this time of SIGTERM.
DRAIN_TIMEOUT_S = 10.0

REQUEST_TIMEOUT_S = 2.5

# Requests in flight at the end of the demo get this long to finish.
IN_FLIGHT_TIMEOUT_S = 2 * REQUEST_TIMEOUT_S + 1.0

# The time between two updates of the display.
REFRESH_INTERVAL_S = 0.25

IDEMPOTENT_ROUTE = "read-profile"

Display = Callable[["DemoState"], None]


class DemoError(Exception):
    """The demo was aborted because the proxy did not start or exited early."""


@dataclass(slots=True)
class DemoState:
    """The progress and the counters of the demo, for the display.

    `seconds` is the length of the demo, `began` its start by the monotonic clock, and `exit_code` that of the
    proxy.
    """

    seconds: float
    stats: ClientStats = field(default_factory=ClientStats)
    # How often each effect took place, by its ID.
    effects: Counter[bytes] = field(default_factory=Counter)
    # IDs of effects that may be repeated.
    idempotent: set[bytes] = field(default_factory=set)
    servers: list[StubServer] = field(default_factory=list)
    # Descriptions of the active faults, by the server's index.
    faults: dict[int, str] = field(default_factory=dict)
    began: float = 0.0
    exit_code: int | None = None

    def repeated_effects(self) -> int:
        """Return how many effects ran more than once although they must not be repeated."""
        return sum(count > 1 for effect_id, count in self.effects.items() if effect_id not in self.idempotent)

    def result(self) -> dict[str, int]:
        """Return the counts that `--json` prints."""
        counts = {outcome: self.stats.counts[outcome] for outcome in OUTCOMES}
        return {"asked": self.stats.requests, **counts, "twice": self.repeated_effects()}


@dataclass(slots=True)
class _ProxyProcess:
    """The proxy's process, its routes file, and the address on which it listens."""

    process: asyncio.subprocess.Process
    routes_path: Path
    address: tuple[str, int]


async def run_demo(seconds: float, seed: int, display: Display) -> DemoState:
    """Run the demo from the start of the proxy to its exit; no other process is ended.

    Raises:
        DemoError: the proxy did not start, or exited early.
        TimeoutError: the proxy did not exit after SIGTERM.
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
    routes_path = folder / "routes.toml"
    routes_path.write_text(routes_file([server.address for server in state.servers]))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "heronreel.cli",
        "serve",
        str(routes_path),
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
    )
    stack.push_async_callback(_kill, process)
    address = await _listen_address(process)
    discard_task = asyncio.create_task(_discard_log(process))
    stack.callback(discard_task.cancel)
    return _ProxyProcess(process, routes_path, address)


async def _kill(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        process.kill()
        await process.wait()


async def _listen_address(process: asyncio.subprocess.Process) -> tuple[str, int]:
    """Read the proxy's log until the line with its listen address, and return that address.

    Raises:
        DemoError: the log ended or the timeout passed before that line.
    """
    assert process.stderr
    lines: list[str] = []
    try:
        async with asyncio.timeout(START_TIMEOUT_S):
            while line := (await process.stderr.readline()).decode():
                lines.append(line)
                if match := re.search(r"listening on (\S+):(\d+) ", line):
                    return match[1], int(match[2])
    except TimeoutError:
        pass
    raise DemoError("the proxy did not start: " + "".join(lines[-5:]).strip())


async def _discard_log(process: asyncio.subprocess.Process) -> None:
    assert process.stderr
    while await process.stderr.readline():
        pass


async def _send_requests(state: DemoState, seed: int, proxy: _ProxyProcess, display: Display) -> None:
    """Send requests at a constant rate, independent of their responses, and apply the scheduled faults."""
    client = HttpClient(proxy.address, state.stats, REQUEST_TIMEOUT_S)
    in_flight: set[asyncio.Task[int]] = set()
    request_source = requests(seed)
    state.began = time.monotonic()
    drain_started = False
    sent = 0
    displayed_at_s = -REFRESH_INTERVAL_S
    while (elapsed_s := time.monotonic() - state.began) < state.seconds:
        if proxy.process.returncode is not None:
            raise DemoError(f"the proxy exited early with status {proxy.process.returncode}")
        _apply_faults(state, elapsed_s / state.seconds)
        if not drain_started and elapsed_s >= DRAIN.start * state.seconds:
            drain_started = True
            _drain_server(state, proxy)
        while sent < elapsed_s * REQUESTS_PER_SECOND:
            sent += 1
            request = next(request_source)
            if request.route == IDEMPOTENT_ROUTE:
                state.idempotent.add(request.effect_id)
            task = asyncio.create_task(client.request(request.route, request.data))
            in_flight.add(task)
            task.add_done_callback(in_flight.discard)
        if elapsed_s - displayed_at_s >= REFRESH_INTERVAL_S:
            displayed_at_s = elapsed_s
            display(state)
        await asyncio.sleep(1.0 / REQUESTS_PER_SECOND)
    if in_flight:
        await asyncio.wait(in_flight, timeout=IN_FLIGHT_TIMEOUT_S)
    client.close()


def _drain_server(state: DemoState, proxy: _ProxyProcess) -> None:
    proxy.routes_path.write_text(routes_file([server.address for server in state.servers], DRAIN.server))
    proxy.process.send_signal(signal.SIGHUP)


def _apply_faults(state: DemoState, progress: float) -> None:
    """Set the behaviour of each server when the share `progress` of the demo's length has passed."""
    active = {fault.server: fault for fault in reversed(FAULTS) if fault.is_active(progress)}
    for index, server in enumerate(state.servers):
        server.behaviour = active[index].behaviour if index in active else ServerBehaviour()
    state.faults = {index: fault.description for index, fault in active.items()}
    if progress >= DRAIN.start:
        state.faults[DRAIN.server] = "drained by a new routes file"
