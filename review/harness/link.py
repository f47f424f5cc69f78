"""A relay that stands for the network between two sites: it delivers all data after a fixed delay."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from contextlib import suppress

CHUNK_BYTES = 65536


class Link:
    """Relays connections to a port of this machine, with a delay in each direction."""

    def __init__(self, target_port: int, delay_s: float) -> None:
        self.target_port = target_port
        self.delay_s = delay_s
        self.port = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start to listen on an ephemeral loopback port."""
        server = await asyncio.start_server(self._relay, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        for source, sink in ((reader, far_writer), (far_reader, writer)):
            pieces: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
            self._start(self._receive(source, pieces))
            self._start(self._deliver(pieces, sink))

    def _start(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _receive(
        self, reader: asyncio.StreamReader, pieces: asyncio.Queue[tuple[float, bytes]]
    ) -> None:
        """Note when each piece is due at the other end; the empty piece is the end of the connection."""
        loop = asyncio.get_running_loop()
        data = b"-"
        while data:
            try:
                data = await reader.read(CHUNK_BYTES)
            except OSError:
                data = b""
            pieces.put_nowait((loop.time() + self.delay_s, data))

    async def _deliver(
        self, pieces: asyncio.Queue[tuple[float, bytes]], writer: asyncio.StreamWriter
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_at, data = await pieces.get()
            await asyncio.sleep(due_at - loop.time())
            if not data:
                break
            writer.write(data)
            with suppress(OSError):
                await writer.drain()
        writer.close()
