"""Helpers for tests of start, reload, shutdown and handover: settings, signals and held responses."""

from __future__ import annotations

import asyncio
import signal
import socket
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from copy import deepcopy
from pathlib import Path
from typing import Any

from tests.support.loopback import (
    Backend,
    ProxyProcess,
    ok,
    read_response,
    request,
)

# The platform sends SIGKILL this long after SIGTERM: the longest deadline that counts (3 s) + 0.5 s + 0.7 s.
SIGKILL_AFTER_S = 4.2
START_LIMIT_S = 6.0  # the operators' limit from the start of a process until it serves
OLD_LIMIT_S = 6.0  # the hard limit of each class in the usual settings
SHORT_LIMIT_MS = 300.0
AFTER_HANDOVER_S = 2.0  # longer than a drain when the hard limit of each class is SHORT_LIMIT_MS
END_LIMIT_S = 2.0  # limit from SIGCONT after such a handover until the process has ended
WITHOUT_DEADLINE = "X-Without-Deadline: 1\r\n"  # makes the hard limit of the class apply
CROWD = 40


def pushed(config: dict[str, Any]) -> dict[str, Any]:
    """Return the configuration for lists that are pushed by an agent on the machine."""
    changed = deepcopy(config)
    changed["settings"]["Discovery"] = "push"
    return changed


def with_short_limit(config: dict[str, Any]) -> dict[str, Any]:
    """Return the configuration with a short hard limit for each class."""
    changed = deepcopy(config)
    for category in changed["settings"]["Categories"]:
        category["HardLimitMs"], category["OnTimeMs"] = SHORT_LIMIT_MS, SHORT_LIMIT_MS / 2
    return changed


def with_unsafe_class(config: dict[str, Any]) -> dict[str, Any]:
    """Return the configuration with a class `pay`, whose requests must never run twice."""
    changed = deepcopy(config)
    unsafe = {"Name": "pay", "OnTimeMs": 1500.0, "HardLimitMs": 6000.0, "Effect": "at_most_once"}
    changed["settings"]["Categories"].append(unsafe)
    return changed


@contextmanager
def shared_socket() -> Iterator[socket.socket]:
    """Open a listening socket that processes inherit."""
    with socket.socket() as shared:
        shared.bind(("127.0.0.1", 0))
        shared.listen(512)
        yield shared


def crowd(prefix: str) -> list[str]:
    """Return the ids of `CROWD` requests."""
    return [f"{prefix}{number}" for number in range(CROWD)]


def named(name: str) -> Backend:
    """Return a backend that responds with its name; ids that begin with `h` wait for `answer_held`."""

    def reply(head: dict[str, str], body: bytes) -> bytes | None:
        return None if head["x-request-id"].startswith("h") else ok(name.encode())

    return Backend(reply)


def answer_held(backend: Backend, *idents: str) -> None:
    for ident in idents:
        backend.carriers[ident].write(ok(b"held"))


async def until_seen(backend: Backend, *idents: str) -> None:
    while not set(idents) <= set(backend.seen):
        await asyncio.sleep(0.001)


async def until_health(proxy: ProxyProcess, status: str) -> None:
    """Wait until the admin API's health check returns `status`; it is 503 from the start of a drain."""
    while await proxy.health() != status:
        await asyncio.sleep(0.001)


async def stop(proxy: ProxyProcess) -> None:
    """Stop the process with SIGSTOP, and wait until the kernel reports it as stopped."""
    proxy.signal(signal.SIGSTOP)
    while "T (stopped)" not in Path(f"/proc/{proxy.process.pid}/status").read_text():
        await asyncio.sleep(0.001)


async def ended(proxy: ProxyProcess, within_s: float) -> int:
    async with asyncio.timeout(within_s):
        return await proxy.process.wait()


async def rest_of_log(proxy: ProxyProcess) -> str:
    assert proxy.process.stderr
    return (await proxy.process.stderr.read()).decode()


async def send_all(proxy: ProxyProcess, *idents: str) -> list[tuple[str, bytes]]:
    """Send all requests at once, each on a new connection, and return the responses."""
    return await asyncio.gather(*(proxy.send_request(ident, "read") for ident in idents))


class KeptConnection:
    """A client connection that stays open after its first response."""

    def __init__(self, proxy: ProxyProcess) -> None:
        self.proxy = proxy

    async def open(self, ident: str) -> None:
        self.reader, self.writer = await self.proxy.connect()
        self.writer.write(request(ident))
        assert (await read_response(self.reader))[0] == "200"

    async def send(self, ident: str) -> None:
        """Send a request; on loopback the other side's kernel has it as soon as it is written."""
        self.writer.write(request(ident))
        await self.writer.drain()

    async def is_answered_and_closed(self) -> None:
        head = await self.reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200") and b"Connection: close" in head, head
        await self.reader.read()  # body and end of the stream; a reset would raise


@asynccontextmanager
async def backlog_of_requests(shared: socket.socket) -> AsyncIterator[list[asyncio.StreamReader]]:
    """Open connections that no process has accepted yet, each with one request sent."""
    opened = [await asyncio.open_connection(*shared.getsockname()) for _ in range(CROWD)]
    for number, (_, writer) in enumerate(opened):
        writer.write(request(f"w{number}"))
    yield [reader for reader, _ in opened]
    for _, writer in opened:
        writer.close()
