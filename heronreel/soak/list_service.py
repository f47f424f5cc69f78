"""The endpoint list service of a run: one list, watched by every proxy."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from typing import Any

HEARTBEAT_S = 1.0
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def endpoint(name: str, port: int) -> dict[str, Any]:
    """An active backend's entry."""
    return {
        "name": name, "address": f"127.0.0.1:{port}", "zone": "a", "group": 0, "status": "active",
        "since_ms": 0,
    }  # fmt: skip


def whole_list(endpoints: list[dict[str, Any]]) -> dict[str, Any]:
    """A message with the whole list."""
    return {"index": 1, "snapshot": True, "endpoints": endpoints}


class ListService:
    """Serves watches of a list that never changes, on an ephemeral port of the loopback interface."""

    def __init__(self, endpoints: list[dict[str, Any]]) -> None:
        self.endpoints = endpoints
        self.address = ""
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._watch, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())

    def stop(self) -> None:
        """Stop listening."""
        if self.server:
            self.server.close()

    async def _watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            line = json.dumps(whole_list(self.endpoints)).encode() + b"\n"
            writer.write(HEAD + b"%x\r\n%b\r\n" % (len(line), line))
            while not reader.at_eof():
                with suppress(TimeoutError):
                    await asyncio.wait_for(reader.read(1), HEARTBEAT_S)
                writer.write(b"1\r\n\n\r\n")
        writer.transport.abort()
