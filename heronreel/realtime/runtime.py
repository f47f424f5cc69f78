"""What the nodes' servers and the proxies' processes of one play share."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, Protocol

from heronreel.emulator.requests import InboundRequest
from heronreel.realtime.clock import WallClockEventQueue

SocketAddress = tuple[str, int]
MAX_REQUESTS = 100_000


def request_header(ident: int) -> bytes:
    """The X-Request-Id by which a proxy's request is found again at a node."""
    return b"%016x" % ident


class NodeEndpoint(Protocol):
    """A node's server, as the rest of the engine sees it."""

    address: SocketAddress

    def process_stopped(self) -> None:
        """The node's process is gone: refuse connections, reset those that are open."""


class Runtime:
    """Tasks, the clock, and the tables by which the parts of the engine find each other."""

    def __init__(self, loop: asyncio.AbstractEventLoop, scale: float, folder: Path) -> None:
        self.loop, self.folder = loop, folder
        self.clock = WallClockEventQueue(loop, scale)
        self.epoch_unix_ms = 0.0  # of the rehearsal's time 0
        self.requests: dict[bytes, InboundRequest] = {}  # in flight, by `request_header`
        self.nodes: dict[int, NodeEndpoint] = {}
        self.failures: list[str] = []  # processes that ended by themselves, tasks that failed
        self.stopping = False
        self.requests_sent = 0
        self.on_request_limit: Callable[[], None] = lambda: None
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine as a task; a failure is kept in `failures`."""
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)

    def _task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None and not self.stopping:
            self.failures.append(f"{task.exception()!r}")

    async def cancel_tasks(self) -> None:
        """Cancel all tasks and wait for their ends."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def count_request(self) -> None:
        """Bound the traffic, whatever bursts, shapes and retries make of it: no new request beyond it."""
        self.requests_sent += 1
        if self.requests_sent == MAX_REQUESTS:
            self.failures.append(f"stopped asking at {MAX_REQUESTS:,} requests")
            self.on_request_limit()
