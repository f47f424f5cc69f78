"""Stub servers that can be slow, fail after running a request, reset connections, hang or reject requests.

To detect double effects, they count the requests that ran by effect id.  The servers of a deduplication group
drop repeats of an idempotency key within a time window.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from dataclasses import dataclass, field
from itertools import islice
from typing import Self

import httptools

from heronreel.stubs.http_peer import HttpPeer

# Oldest keys checked for expiry per request, so that a group holds few keys beyond those of its window.
EXPIRY_BATCH = 8


@dataclass(slots=True)
class DeduplicationGroup:
    """Servers that share a record of idempotency keys."""

    name: str = ""
    window_s: float = 5.0
    ran: dict[bytes, float] = field(default_factory=dict)  # when the request of each key ran, oldest first

    def is_repeat(self, key: bytes, now: float) -> bool:
        """Return whether the key ran within the window; if not, record that it runs now."""
        oldest = list(islice(self.ran.items(), EXPIRY_BATCH))
        for expired in [key for key, ran_at in oldest if ran_at + self.window_s <= now]:
            del self.ran[expired]
        ran_at = self.ran.get(key)
        if ran_at is not None and now < ran_at + self.window_s:
            return True
        self.ran.pop(key, None)
        self.ran[key] = now
        return False


@dataclass(slots=True)
class ServerBehaviour:
    """Work time and fault rates of a server; the rates are shares of its requests."""

    work_s: float = 0.02
    error_share: float = 0.0  # status 500 after the request ran
    reset_share: float = 0.0  # the connection is reset after the request ran
    hang_share: float = 0.0  # no response after the request ran
    reject_share: float = 0.0  # status 503 with X-Not-Run
    slots: int = 64  # concurrent requests; it rejects further ones


class StubServer:
    """One server on an ephemeral loopback port; `effects` counts the requests that ran, by X-Effect-Id."""

    def __init__(
        self,
        name: str,
        group: DeduplicationGroup,
        behaviour: ServerBehaviour,
        effects: Counter[bytes],
        seed: int,
    ) -> None:
        self.name = name
        self.group = group
        self.behaviour = behaviour
        self.effects = effects
        self.random = random.Random(seed)
        self.address = ("127.0.0.1", 0)
        self.requests = 0
        self.repeats_dropped = 0
        self.running = 0
        self.server: asyncio.Server | None = None
        self.connections: set[_ServerConnection] = set()

    async def __aenter__(self) -> Self:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: _ServerConnection(self), "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = (host, port)
        return self

    async def __aexit__(self, *_: object) -> None:
        if self.server:
            self.server.close()
        for connection in list(self.connections):
            connection.abort()

    def run(self, headers: dict[bytes, bytes]) -> None:
        """Count the effect of a request, unless it repeats an idempotency key."""
        key = headers.get(b"idempotency-key")
        if key and self.group.is_repeat(key, time.monotonic()):
            self.repeats_dropped += 1
        else:
            self.effects[headers.get(b"x-effect-id", headers.get(b"x-request-id", b""))] += 1
        self.running += 1


class _ServerConnection(HttpPeer):
    """One client's connection."""

    def __init__(self, server: StubServer) -> None:
        super().__init__()
        self.server = server
        self.parser = httptools.HttpRequestParser(self)
        self.headers: dict[bytes, bytes] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.server.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        super().connection_lost(error)
        self.server.connections.discard(self)
        del self.parser  # breaks the reference cycle with this object

    def on_message_begin(self) -> None:
        self.headers = {}

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_message_complete(self) -> None:
        server, behaviour, headers = self.server, self.server.behaviour, self.headers
        server.requests += 1
        draw = server.random.random()
        if draw < behaviour.reject_share or server.running >= behaviour.slots:
            self._respond(503, b"X-Not-Run: 1\r\n", b"")
            return
        server.run(headers)
        draw = server.random.random()
        work_s = behaviour.work_s * server.random.uniform(0.5, 1.5)
        body = headers.get(b"x-effect-id", b"") or b"done"

        def finish() -> None:
            server.running -= 1
            self._finish(behaviour, draw, body)

        asyncio.get_running_loop().call_later(work_s, finish)

    def _finish(self, behaviour: ServerBehaviour, draw: float, body: bytes) -> None:
        reset_from = behaviour.error_share
        hang_from = reset_from + behaviour.reset_share
        if draw < reset_from:
            self._respond(500, b"", b"")
        elif draw < hang_from:
            self.abort()
        elif draw >= hang_from + behaviour.hang_share:
            self._respond(200, b"", body)

    def _respond(self, status: int, lines: bytes, body: bytes) -> None:
        if self.transport:
            head = b"HTTP/1.1 %d X\r\n%bContent-Length: %d\r\n\r\n" % (status, lines, len(body))
            self.transport.write(head + body)
