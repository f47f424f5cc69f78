"""Clients of one proxy; each kind uses its connections differently, also during and after the shutdown."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass
from itertools import count
from random import Random
from typing import NamedTuple

from heronreel.soak.plan import ClientKind
from heronreel.soak.records import End, RequestRecord, RunRecord, now

# Time that a client waits beyond its deadline, so that late responses are recorded.
WAIT_SLACK_S = 3.0
MAX_PIPELINED = 14  # requests sent at once on a connection
UPLOAD_BYTES = 700 << 10  # more than a proxy may hold in memory
UPLOAD_PIECES = 8
THINK_S = 0.05  # mean pause between two requests of a client
# The mean pause grows with the number of clients: more clients mean more connections, not more requests.
THINK_S_PER_CLIENT = 0.002
STUCK_S = 5.0  # time that a stuck client waits after half a request


class RequestClass(NamedTuple):
    """A request class of the proxies' settings."""

    name: str
    method: str
    keyed: bool


READ = RequestClass("read", "GET", False)
SAVE = RequestClass("save", "POST", True)
PAY = RequestClass("pay", "POST", False)  # unsafe to repeat
CLASSES = (READ, SAVE, PAY)


@dataclass(slots=True)
class ClientContext:
    """The state and limits that all clients of a process share; times are on the clock of the records."""

    records: RunRecord
    proxy: str
    port: int
    longest_deadline_s: float
    connect_until: float  # no connection is opened later
    stop_at: float  # no request is sent later
    connections: count[int]
    request_ids: count[int]
    think_s: float


class Client:
    """One client and its current connection."""

    def __init__(self, context: ClientContext, kind: ClientKind, random: Random) -> None:
        self.context = context
        self.kind = kind
        self.random = random
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter | None = None
        self.connection = 0
        self.place = 0  # position of the next request on the connection

    async def run(self) -> None:
        """Send requests until the time is up or no connection can be opened."""
        try:
            while now() < self.context.stop_at and await self._has_connection():
                await self._use_connection()
        finally:
            self._close()

    async def _has_connection(self) -> bool:
        if self.writer is not None and not self.reader.at_eof() and not self.writer.transport.is_closing():
            return True
        self._close()
        if now() >= self.context.connect_until:
            return False
        try:
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.context.port)
        except OSError:
            await asyncio.sleep(THINK_S)
            return now() < self.context.connect_until and await self._has_connection()
        self.connection, self.place = next(self.context.connections), 0
        return True

    def _close(self) -> None:
        if self.writer is not None:
            self.writer.close()
            self.writer = None

    async def _use_connection(self) -> None:
        match self.kind:
            case ClientKind.SILENT if self.place == 0:
                left_s = self.context.stop_at - now()
                await asyncio.sleep(self.random.uniform(0.0, max(0.0, left_s)))
                if self.reader.at_eof():
                    return
                await self._exchange([self._new_request()])
            case ClientKind.PIPELINED:
                batch = self.random.randint(2, MAX_PIPELINED)
                await self._exchange([self._new_request() for _ in range(batch)])
            case ClientKind.STUCK:
                await self._send_half_and_wait()
            case _:
                await self._exchange([self._new_request()])
        if self.kind is ClientKind.FRESH:
            self._close()
        await asyncio.sleep(self.random.expovariate(1.0 / self.context.think_s))

    def _new_request(self) -> tuple[RequestRecord, bytes]:
        request_class = SAVE if self.kind is ClientKind.UPLOADING else self.random.choice(CLASSES)
        deadline_s = self.context.longest_deadline_s * self.random.choice((1.0, 1.0, 0.5, 0.1))
        request_id = f"{self.context.proxy}-{next(self.context.request_ids)}"
        record = RequestRecord(
            request_id, request_class.name, self.kind, self.context.proxy, deadline_s, self.connection,
            self.place, begun_at=now(),
        )  # fmt: skip
        self.place += 1
        self.context.records.requests[request_id] = record
        body = b"" if request_class is READ else b"ride"
        if self.kind is ClientKind.UPLOADING:
            body = b"x" * UPLOAD_BYTES
        return record, _encoded(request_class, request_id, deadline_s, body)

    async def _exchange(self, batch: list[tuple[RequestRecord, bytes]]) -> None:
        """Send requests in one write or in pieces, and wait for their responses in order."""
        sent = [record for record, _ in batch]
        for record in sent:
            record.turn_s = max(request.deadline_s for request in sent)
        try:
            await self._send(b"".join(data for _, data in batch))
            for record in sent:
                record.sent_at = now()
            if self.kind is ClientKind.LEAVING and self.random.random() < 0.5:
                await asyncio.sleep(self.random.uniform(0.0, 0.02))
                self._end(sent, End.LEFT)
                self._close()
                return
            await self._read_responses(sent)
        except TimeoutError:
            self._end(sent, End.WAITED)
            self._close()
        except asyncio.IncompleteReadError:
            self._end(sent, End.EOF)
            self._close()
        except OSError:
            self._end(sent, End.RESET)
            self._close()

    async def _send(self, data: bytes) -> None:
        assert self.writer is not None
        pieces = [data]
        if self.kind is ClientKind.HALVES:
            cut = self.random.randint(1, len(data) - 1)
            pieces = [data[:cut], data[cut:]]
        elif self.kind is ClientKind.UPLOADING:
            size = len(data) // UPLOAD_PIECES + 1
            pieces = [data[start : start + size] for start in range(0, len(data), size)]
        for place, piece in enumerate(pieces):
            if place:
                await asyncio.sleep(self.random.uniform(0.0, 0.1))
            self.writer.write(piece)
            await self.writer.drain()

    async def _read_responses(self, sent: list[RequestRecord]) -> None:
        for place, record in enumerate(sent):
            async with asyncio.timeout(record.deadline_s + WAIT_SLACK_S):
                head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                length = next(
                    (
                        row.partition(":")[2]
                        for row in head.split("\r\n")
                        if row.lower().startswith("content-length")
                    ),
                    "0",
                )
                await self.reader.readexactly(int(length))
            record.status, record.ended_at = int(head.split()[1]), now()
            if "\r\nconnection: close" in head.lower():
                for later in sent[place:]:
                    later.announced_close = True
                self._end(sent[place + 1 :], End.EOF)
                self._close()
                return

    def _end(self, records: list[RequestRecord], end: End) -> None:
        for record in records:
            if record.status is None and record.end is None:
                record.end, record.ended_at = end, now()

    async def _send_half_and_wait(self) -> None:
        assert self.writer is not None
        record, data = self._new_request()
        with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            self.writer.write(data[: len(data) // 2])
            async with asyncio.timeout(STUCK_S):
                await self.reader.read()
        self._end([record], End.EOF)
        self._close()


def _encoded(request_class: RequestClass, request_id: str, deadline_s: float, body: bytes) -> bytes:
    lines = [
        f"{request_class.method} /{request_class.name}/obj1 HTTP/1.1", "Host: api.internal",
        f"X-Class: {request_class.name}", f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {int(deadline_s * 1000)}",
    ]  # fmt: skip
    if request_class.keyed:
        lines.append(f"Idempotency-Key: k{request_id}")
    if request_class.method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
