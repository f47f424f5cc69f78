"""State that the node servers and the proxy processes of one run share."""

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
    """Return the X-Request-Id value by which a node server finds the request that a proxy forwarded."""
    return b"%016x" % ident


class NodeEndpoint(Protocol):
    """The interface of a node's server that the other parts of the engine use."""

    address: SocketAddress

    def process_stopped(self) -> None:
        """Refuse new connections and reset open ones, because the node's process has stopped."""


class Runtime:
    """Holds the clock, the running tasks, and the tables of requests and nodes of one run."""

    def __init__(self, loop: asyncio.AbstractEventLoop, scale: float, folder: Path) -> None:
        self.loop, self.folder = loop, folder
        self.clock = WallClockEventQueue(loop, scale)
        # The Unix time of the rehearsal's time 0.
        self.epoch_unix_ms = 0.0
        # Requests in flight, by `request_header`.
        self.requests: dict[bytes, InboundRequest] = {}
        self.nodes: dict[int, NodeEndpoint] = {}
        # Descriptions of proxy processes that exited unexpectedly, of failed tasks, and of a reached limit.
        self.failures: list[str] = []
        self.stopping = False
        self.requests_sent = 0
        self.on_request_limit: Callable[[], None] = lambda: None
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine as a task; its exception, if any, is added to `failures`."""
        task = self.loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)

    def _task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None and not self.stopping:
            self.failures.append(f"{task.exception()!r}")

    async def cancel_tasks(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def count_request(self) -> None:
        """Count a request; stop the clients at `MAX_REQUESTS`.

        The limit bounds the traffic also where bursts, traffic shapes and retries add to the script's rate.
        """
        self.requests_sent += 1
        if self.requests_sent == MAX_REQUESTS:
            self.failures.append(f"stopped sending at {MAX_REQUESTS:,} requests")
            self.on_request_limit()
