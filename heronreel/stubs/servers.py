"""Profile nodes that can be slow, fail after running, break connections, hang or turn requests away.

They keep the books that show a double effect: an effect is counted for each request that ran, and a rack
drops the repeats of a key for its window.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Self

import httptools

from heronreel.stubs.peer import Peer


@dataclass(slots=True)
class Rack:
    """The nodes that together drop a repeat of a key for a while."""

    name: str = ""
    window_s: float = 5.0
    ran: dict[bytes, float] = field(default_factory=dict)

    def is_repeat(self, key: bytes, now: float) -> bool:
        for old in [k for k, at in list(self.ran.items())[:8] if at + self.window_s <= now]:
            del self.ran[old]  # the oldest first, so the book holds a window's keys and few more
        at = self.ran.get(key)
        if at is not None and now < at + self.window_s:
            return True
        self.ran.pop(key, None)
        self.ran[key] = now
        return False


@dataclass(slots=True)
class Manners:
    """How a node behaves, in shares of its requests and seconds of work."""

    work_s: float = 0.02
    fails: float = 0.0  # 500 after it ran
    breaks: float = 0.0  # the connection ends after it ran
    hangs: float = 0.0  # ran, and never answers
    turns_away: float = 0.0  # 503 with X-Not-Run
    slots: int = 64  # at once; beyond that it turns away


class ProfileNode:
    """One server on an ephemeral loopback port.  `effects` counts what ran, by X-Effect-Id."""

    def __init__(self, name: str, rack: Rack, manners: Manners, effects: Counter[bytes], seed: int) -> None:
        self.name = name
        self.rack = rack
        self.manners = manners
        self.effects = effects
        self.random = random.Random(seed)
        self.address = ("127.0.0.1", 0)
        self.asked = self.dropped = self.running = 0
        self.held: list[tuple[_Connection, Callable[[], None]]] | None = None  # a test lets them go
        self.server: asyncio.Server | None = None
        self.connections: set[_Connection] = set()

    async def __aenter__(self) -> Self:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: _Connection(self), "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = (host, port)
        return self

    async def __aexit__(self, *_: object) -> None:
        if self.server:
            self.server.close()
        for connection in list(self.connections):
            if connection.transport:
                connection.transport.abort()


class _Connection(Peer):
    def __init__(self, node: ProfileNode) -> None:
        super().__init__()
        self.node = node
        self.parser = httptools.HttpRequestParser(self)
        self.headers: dict[bytes, bytes] = {}
        self.timers: set[asyncio.TimerHandle] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.node.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        super().connection_lost(error)
        self.node.connections.discard(self)
        del self.parser

    def on_message_begin(self) -> None:
        self.headers = {}

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_message_complete(self) -> None:
        node, manners, headers = self.node, self.node.manners, self.headers
        node.asked += 1
        draw = node.random.random()
        if draw < manners.turns_away or node.running >= manners.slots:
            self._answer(503, b"X-Not-Run: 1\r\n", b"")
            return
        key = headers.get(b"idempotency-key")
        if key and node.rack.is_repeat(key, time.monotonic()):
            node.dropped += 1
        else:
            node.effects[headers.get(b"x-effect-id", headers.get(b"x-request-id", b""))] += 1
        node.running += 1
        draw = node.random.random()
        work = manners.work_s * node.random.uniform(0.5, 1.5)
        body = headers.get(b"x-effect-id", b"") or b"done"

        def finish() -> None:
            node.running -= 1
            if draw < manners.fails:
                self._answer(500, b"", b"")
            elif draw < manners.fails + manners.breaks:
                if self.transport:
                    self.transport.abort()
            elif draw >= manners.fails + manners.breaks + manners.hangs:
                self._answer(200, b"", body)

        if node.held is not None:
            node.held.append((self, finish))
        else:
            asyncio.get_running_loop().call_later(work, finish)

    def _answer(self, status: int, lines: bytes, body: bytes) -> None:
        if self.transport:
            head = b"HTTP/1.1 %d X\r\n%bContent-Length: %d\r\n\r\n" % (status, lines, len(body))
            self.transport.write(head + body)
