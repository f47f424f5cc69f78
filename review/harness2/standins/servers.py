"""Stand-ins for the servers around a proxy: backends, discovery, and a relay that resets connections."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any, Self

from standins.http import Message, read_message, response
from standins.ports import LOOPBACK

HEARTBEAT_S = 2.0  # an idle watch carries an empty line so often
LIST_INDEX = 7
LISTEN_BACKLOG = 1024
RELAY_READ_BYTES = 64 << 10


class Server:
    """Serves connections on a free loopback port; a subclass handles one connection."""

    def __init__(self) -> None:
        self.port = 0
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """The host and port that the server listens on."""
        return f"{LOOPBACK}:{self.port}"

    async def __aenter__(self) -> Self:
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0, backlog=LISTEN_BACKLOG)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        await asyncio.sleep(0)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                await self.handle(reader, writer)
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handle one connection until it ends."""
        raise NotImplementedError


class Backend(Server):
    """A sound server: it runs each request for a fixed time and answers 200."""

    def __init__(self, name: str, service_s: float, on_request: Callable[[str, Message], None]) -> None:
        """`on_request` is called with the server's name and each request when its last byte has come."""
        super().__init__()
        self.name = name
        self.service_s = service_s
        self.on_request = on_request

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Run the requests of a connection, one at a time."""
        while True:
            request = await read_message(reader)
            self.on_request(self.name, request)
            await asyncio.sleep(self.service_s)
            writer.write(response("200 OK", request.fields.get("x-request-id", "").encode()))
            await writer.drain()

    def entry(self) -> dict[str, Any]:
        """Return the server's entry in discovery's list."""
        return {
            "name": self.name, "address": self.address, "zone": "a", "type": "medio", "group": 1,
            "status": "active", "weight": 1.0, "since_ms": 0,
        }  # fmt: skip


class Discovery(Server):
    """A discovery service whose list does not change: a watch gets it whole, then empty lines."""

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        super().__init__()
        self.list = {"index": LIST_INDEX, "snapshot": True, "endpoints": entries}

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one call."""
        request = await read_message(reader)
        text = json.dumps(self.list).encode()
        if "stream=1" not in request.first_line:
            writer.write(response("200 OK", text))
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + _chunk(text + b"\n"))
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            writer.write(_chunk(b"\n"))
            await writer.drain()


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class Relay(Server):
    """Passes connections on to a port, and resets those that arrive while `is_cut` is set."""

    def __init__(self, target_port: int, on_reset: Callable[[], None]) -> None:
        super().__init__()
        self.target_port = target_port
        self.on_reset = on_reset
        self.is_cut = False

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Pass one connection on, or reset it."""
        if self.is_cut:
            self.on_reset()
            return
        target_reader, target_writer = await asyncio.open_connection(LOOPBACK, self.target_port)
        try:
            await asyncio.gather(_copy(reader, target_writer), _copy(target_reader, writer))
        finally:
            target_writer.close()


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await reader.read(RELAY_READ_BYTES):
        writer.write(data)
        await writer.drain()
    if writer.can_write_eof():
        writer.write_eof()


async def wait_until(
    condition: Callable[[], Awaitable[bool]], timeout_s: float, interval_s: float = 0.05
) -> bool:
    """Poll a condition until it holds; return whether it held in time."""
    deadline = asyncio.get_running_loop().time() + timeout_s
    while not await condition():
        if asyncio.get_running_loop().time() >= deadline:
            return False
        await asyncio.sleep(interval_s)
    return True
