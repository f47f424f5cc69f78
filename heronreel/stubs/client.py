"""A steady client: so many requests a second on kept connections, each with one outcome."""

from __future__ import annotations

import asyncio
import time
from collections import Counter, deque
from dataclasses import dataclass, field

import httptools

from heronreel.stubs.peer import Peer

OUTCOMES = ("served", "refused", "failed", "lost")


@dataclass(slots=True)
class Told:
    """What the clients heard."""

    asked: int = 0
    counts: Counter[str] = field(default_factory=Counter)
    latencies: deque[float] = field(default_factory=lambda: deque(maxlen=2000))  # s, of those served
    routes: dict[str, Counter[str]] = field(default_factory=dict)

    def note(self, route: str, outcome: str, took: float) -> None:
        self.counts[outcome] += 1
        self.routes.setdefault(route, Counter())[outcome] += 1
        if outcome == "served":
            self.latencies.append(took)

    def percentile(self, percent: float) -> float:
        """Of the latest served latencies, ms; 0 while there are none."""
        row = sorted(self.latencies)
        return row[min(len(row) - 1, int(len(row) * percent / 100.0))] * 1000.0 if row else 0.0


class Caller(Peer):
    """One kept connection; one request at a time."""

    parser: httptools.HttpResponseParser

    def __init__(self) -> None:
        super().__init__()
        self.parser = httptools.HttpResponseParser(self)
        self.answer: asyncio.Future[tuple[int, bytes]] | None = None
        self.body = bytearray()
        self.retry_after_s = 0.0  # as the latest answer advises

    def connection_lost(self, error: Exception | None) -> None:
        super().connection_lost(error)
        if self.answer and not self.answer.done():
            self.answer.set_exception(ConnectionResetError("closed with an answer owed"))

    def on_message_begin(self) -> None:
        self.body, self.retry_after_s = bytearray(), 0.0

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"retry-after":
            self.retry_after_s = float(value)

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        if self.answer and not self.answer.done():
            self.answer.set_result((self.parser.get_status_code(), bytes(self.body)))
        if not self.parser.should_keep_alive() and self.transport:
            self.transport.close()

    async def ask(self, data: bytes, wait_s: float) -> tuple[int, bytes]:
        """Status and body.  Raises TimeoutError or ConnectionResetError if there is no answer."""
        assert self.transport
        self.answer = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        async with asyncio.timeout(wait_s):
            return await self.answer


class Clients:
    """Connections to one proxy, as many as are busy at once."""

    def __init__(
        self, address: tuple[str, int], told: Told, wait_s: float = 2.5, grace_s: float = 0.2
    ) -> None:
        self.address = address
        self.told = told
        self.wait_s = wait_s + grace_s  # an answer on its way when the wait ends is not lost
        self.idle: list[Caller] = []

    async def ask(self, route: str, data: bytes) -> int:
        """One request's outcome, noted; its status, 0 for none."""
        self.told.asked += 1
        began = time.monotonic()
        status, _, caller = await self.exchange(data, self.wait_s)
        outcome = "lost"
        if caller is None:
            outcome = "failed"  # never taken
        elif status:
            outcome = "served" if status < 400 else "refused" if status in (429, 503) else "failed"
        self.told.note(route, outcome, time.monotonic() - began)
        return status

    async def exchange(self, data: bytes, wait_s: float) -> tuple[int, bytes, Caller | None]:
        """An answer's status, body and connection.  Status 0: there is none; no connection: never taken."""
        caller = None
        for _ in range(2):  # a kept connection may close just as it is written to: once more on a new one
            caller, fresh = await self._caller()
            if caller is None:
                break
            try:
                status, body = await caller.ask(data, wait_s)
            except TimeoutError:
                if caller.transport:
                    caller.transport.abort()
                break
            except ConnectionResetError:
                if fresh:
                    break
                continue
            if caller.transport and not caller.transport.is_closing():
                self.idle.append(caller)
            return status, body, caller
        return 0, b"", caller

    async def _caller(self) -> tuple[Caller | None, bool]:
        while self.idle:
            caller = self.idle.pop()
            if caller.transport and not caller.transport.is_closing():
                return caller, False
        try:
            made = await asyncio.get_running_loop().create_connection(Caller, *self.address)
        except OSError:
            return None, True
        return made[1], True

    def close(self) -> None:
        for caller in self.idle:
            if caller.transport:
                caller.transport.abort()
        self.idle.clear()
