"""A client that sends requests on persistent connections and classifies each response."""

from __future__ import annotations

import asyncio
import time
from collections import Counter, deque
from dataclasses import dataclass, field

import httptools

from heronreel.stubs.http_peer import HttpPeer

OUTCOMES = ("served", "refused", "failed", "lost")
REFUSED_STATUSES = (429, 503)
MAX_LATENCIES = 2000  # latest latencies kept for percentiles
# A server may close a persistent connection just as a request is written; the request is then sent once more.
MAX_SENDS = 2


@dataclass(slots=True)
class ClientStats:
    """Counts of the requests sent and of their outcomes."""

    requests: int = 0
    counts: Counter[str] = field(default_factory=Counter)  # by outcome
    latencies: deque[float] = field(
        default_factory=lambda: deque(maxlen=MAX_LATENCIES)
    )  # of served requests, in seconds
    routes: dict[str, Counter[str]] = field(default_factory=dict)  # outcomes by route

    def record(self, route: str, outcome: str, latency_s: float) -> None:
        """Count one finished request."""
        self.counts[outcome] += 1
        self.routes.setdefault(route, Counter())[outcome] += 1
        if outcome == "served":
            self.latencies.append(latency_s)

    def percentile(self, percent: float) -> float:
        """Return a latency percentile of the latest served requests in ms, or 0 if there are none."""
        latencies = sorted(self.latencies)
        if not latencies:
            return 0.0
        index = min(len(latencies) - 1, int(len(latencies) * percent / 100.0))
        return latencies[index] * 1000.0


class HttpConnection(HttpPeer):
    """One persistent connection, with one request at a time."""

    parser: httptools.HttpResponseParser

    def __init__(self) -> None:
        super().__init__()
        self.parser = httptools.HttpResponseParser(self)
        self.response: asyncio.Future[tuple[int, bytes]] | None = None
        self.body = bytearray()
        self.retry_after_s = 0.0  # from the latest response

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the request in flight."""
        super().connection_lost(error)
        if self.response and not self.response.done():
            self.response.set_exception(ConnectionResetError("closed before the response"))

    def on_message_begin(self) -> None:
        """Start a response."""
        self.body, self.retry_after_s = bytearray(), 0.0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Remember Retry-After."""
        if name.lower() == b"retry-after":
            self.retry_after_s = float(value)

    def on_body(self, data: bytes) -> None:
        """Collect the body."""
        self.body += data

    def on_message_complete(self) -> None:
        """Deliver the response, and close the connection if the server asked for it."""
        if self.response and not self.response.done():
            self.response.set_result((self.parser.get_status_code(), bytes(self.body)))
        if not self.parser.should_keep_alive() and self.transport:
            self.transport.close()

    @property
    def is_open(self) -> bool:
        """Whether another request can be written."""
        return self.transport is not None and not self.transport.is_closing()

    async def send(self, data: bytes, timeout_s: float) -> tuple[int, bytes]:
        """Write a request, and return the status and body of its response.

        Raises:
            TimeoutError: There was no response within `timeout_s` seconds.
            ConnectionResetError: The connection closed before the response.
        """
        assert self.transport
        self.response = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        async with asyncio.timeout(timeout_s):
            return await self.response


class HttpClient:
    """A pool of connections to one server, with one connection per concurrent request."""

    def __init__(
        self, address: tuple[str, int], stats: ClientStats, timeout_s: float = 2.5, grace_s: float = 0.2
    ) -> None:
        """Create a client; `grace_s` extends the timeout for responses that are already in transit."""
        self.address = address
        self.stats = stats
        self.timeout_s = timeout_s + grace_s
        self.idle: list[HttpConnection] = []

    async def request(self, route: str, data: bytes) -> int:
        """Send one request, record its outcome, and return the status, or 0 without a response."""
        self.stats.requests += 1
        began = time.monotonic()
        status, _, connection = await self.exchange(data, self.timeout_s)
        self.stats.record(route, _outcome(status, connection), time.monotonic() - began)
        return status

    async def exchange(self, data: bytes, timeout_s: float) -> tuple[int, bytes, HttpConnection | None]:
        """Send one request, and return the status, body and connection of its response.

        Status 0 means that there was no response; connection None means that none could be opened.
        """
        connection = None
        for _ in range(MAX_SENDS):
            connection, is_new = await self._acquire()
            if connection is None:
                break
            try:
                status, body = await connection.send(data, timeout_s)
            except TimeoutError:
                connection.abort()
                break
            except ConnectionResetError:
                if is_new:
                    break
                continue
            if connection.is_open:
                self.idle.append(connection)
            return status, body, connection
        return 0, b"", connection

    async def _acquire(self) -> tuple[HttpConnection | None, bool]:
        """Return an open connection, or None if the server accepts none, and whether it is new."""
        while self.idle:
            connection = self.idle.pop()
            if connection.is_open:
                return connection, False
        try:
            loop = asyncio.get_running_loop()
            _, connection = await loop.create_connection(HttpConnection, *self.address)
        except OSError:
            return None, True
        return connection, True

    def close(self) -> None:
        """Abort the idle connections."""
        for connection in self.idle:
            connection.abort()
        self.idle.clear()


def _outcome(status: int, connection: HttpConnection | None) -> str:
    if connection is None:
        return "failed"  # the server accepted no connection
    if not status:
        return "lost"
    if status < 400:
        return "served"
    return "refused" if status in REFUSED_STATUSES else "failed"
