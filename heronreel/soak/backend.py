"""A backend that records attempts and handles them according to its current fault."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from random import Random

from heronreel.fault_injection.relay import LISTEN_BACKLOG
from heronreel.soak.plan import BackendFault
from heronreel.soak.records import AttemptRecord, RunRecord, now

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
REJECTION = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
REJECTED_SHARE = 0.5  # share of attempts that a rejecting backend rejects
RESET_SHARE = 0.3  # share of attempts that a resetting backend resets


class RecordingBackend:
    """Serves attempts on an ephemeral port of the loopback interface."""

    def __init__(self, name: str, records: RunRecord, service_s: float, random: Random) -> None:
        self.name = name
        self.records = records
        self.service_s = service_s
        self.random = random
        self.fault = BackendFault.NONE
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start to listen on an ephemeral loopback port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=LISTEN_BACKLOG)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening, and reset all open connections."""
        if self.server:
            self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with suppress(OSError, asyncio.IncompleteReadError):
            while True:
                await self._serve_attempt(reader, writer)
        self.writers.discard(writer)
        writer.transport.abort()

    async def _serve_attempt(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        first_byte = await reader.readexactly(1)
        began_at = now()
        head = (first_byte + await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        fields = {
            name.lower(): value.strip()
            for name, _, value in (row.partition(":") for row in head.split("\r\n"))
        }
        deadline_ms = fields.get("x-deadline-ms")
        attempt = AttemptRecord(
            fields.get("x-request-id", ""), self.name, began_at, int(deadline_ms) if deadline_ms else None
        )
        self.records.attempts.append(attempt)
        try:
            await reader.readexactly(int(fields.get("content-length", "0")))
            attempt.complete = True
            await self._answer(attempt, reader, writer)
        finally:
            attempt.ended_at = now()

    async def _answer(
        self, attempt: AttemptRecord, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.fault is BackendFault.HANGING:
            await reader.read(1)  # until the proxy closes the connection
            raise ConnectionResetError
        if self.fault is BackendFault.REJECTING and self.random.random() < REJECTED_SHARE:
            attempt.not_run = True
            writer.write(REJECTION)
            return
        await asyncio.sleep(self.service_s * self.random.uniform(0.5, 2.0))
        if self.fault is BackendFault.RESETTING and self.random.random() < RESET_SHARE:
            raise ConnectionResetError
        writer.write(RESPONSE)
        await writer.drain()
