"""A stand-in for discovery that is asked: the whole list, or a watch with its changes."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass

from harness.messages import read_head

HEARTBEAT_S = 2.0
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@dataclass(slots=True)
class Endpoint:
    """One entry of the list."""

    name: str
    port: int
    group: int = 0
    status: str = "active"
    zone: str = "palermo"

    def entry(self) -> dict[str, object]:
        """Return the entry in the form of the protocol page."""
        return {
            "name": self.name,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "type": "medio",
            "group": self.group,
            "status": self.status,
            "weight": 1.0,
            "since_ms": 0,
        }


def message(index: int, endpoints: Iterable[Endpoint], snapshot: bool) -> dict[str, object]:
    """Return a message of discovery with a list, or with the changed entries of a list."""
    return {"index": index, "snapshot": snapshot, "endpoints": [entry.entry() for entry in endpoints]}


class Discovery:
    """Serves the list on an ephemeral loopback port."""

    def __init__(self, endpoints: list[Endpoint]) -> None:
        self.endpoints = endpoints
        self.index = 1
        self.port = 0
        self.watches: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start to listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def whole_list(self) -> dict[str, object]:
        """Return the message with the whole list."""
        return message(self.index, [entry for entry in self.endpoints if entry.status != "left"], True)

    def change(self, endpoint: Endpoint, status: str) -> None:
        """Change the status of an endpoint, and tell it to all watches at once."""
        endpoint.status = status
        self.index += 1
        for writer in self.watches:
            self._write_line(writer, message(self.index, [endpoint], False))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            head = await read_head(reader)
            if "stream=1" in head.first_line:
                await self._stream(writer)
            else:
                body = json.dumps(self.whole_list()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                await writer.drain()
        writer.close()

    async def _stream(self, writer: asyncio.StreamWriter) -> None:
        writer.write(STREAM_HEAD)
        self._write_line(writer, self.whole_list())
        self.watches.add(writer)
        try:
            while not writer.is_closing():
                await asyncio.sleep(HEARTBEAT_S)
                writer.write(b"1\r\n\n\r\n")
                await writer.drain()
        finally:
            self.watches.discard(writer)

    def _write_line(self, writer: asyncio.StreamWriter, content: dict[str, object]) -> None:
        line = json.dumps(content).encode() + b"\n"
        writer.write(b"%x\r\n%b\r\n" % (len(line), line))
