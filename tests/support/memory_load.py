"""Crowds of clients, each of a kind that makes a proxy hold memory, and backends that serve them slowly.

Every client ends by itself: with its response, with the end of its connection, or after `MAX_CLIENT_S`.
"""

from __future__ import annotations

import asyncio
import re
import socket
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from typing import Any

from tests.support.loopback import (
    Discovery,
    Listener,
    ProxyProcess,
    configuration,
    entry,
    ok,
    read_head,
    read_response,
    request,
    running_proxy,
)

KB = 1 << 10
MB = 1 << 20
MAX_CLIENT_S = 4.0  # longer than a client may take for a request, or a backend for its response
BACKENDS = 4
SLOW_BYTES = 6400  # read or written every SLOW_INTERVAL_S: 64 kB a second
SLOW_INTERVAL_S = 0.1
RESPONSE_DELAY_S = 2.0
UPLOAD_PARTS = 128  # of 64 KiB each
PART = bytes(64 * KB)
CHUNKS = (b"1000\r\n" + bytes(0x1000) + b"\r\n") * 16
LONG_RESPONSE_BYTES = 2 * MB
SHORT_RESPONSE_BYTES = 60 * KB
DEADLINE = "X-Deadline-Ms: 2500\r\n"
USUAL_INTERVAL_S = 0.05
METER_INTERVAL_S = 0.01
REFUSED_PAUSE_S = 0.2  # before a client sends again after a refusal


def _fields(number: int, size: int) -> str:
    """Return `number` header fields with values of `size` bytes."""
    return "".join(f"f{index}: {'v' * size}\r\n" for index in range(number))


def _unfinished_head(ident: str) -> bytes:
    return request(ident, "read", extra=DEADLINE + _fields(92, 1)).removesuffix(b"\r\n")


def _half_body(ident: str, size: int, head_fields: str) -> bytes:
    whole = request(ident, body=b"x" * size, extra=DEADLINE + head_fields)
    return whole[: len(whole) - size // 2]


def _half_short_body(ident: str) -> bytes:
    return _half_body(ident, 60_000, _fields(14, 1000))


def _half_long_body(ident: str) -> bytes:
    return _half_body(ident, 500_000, "")


def _pipelined(ident: str) -> bytes:
    heads = [
        request(f"late-{ident}-{index}", "read", extra=DEADLINE + _fields(14, 1000)) for index in range(9)
    ]
    return b"".join(heads)


def _waiting_body(ident: str) -> bytes:
    return request(f"late-{ident}", body=b"x" * 60_000, extra=DEADLINE)


def _long_waiting_body(ident: str) -> bytes:
    return request(f"late-{ident}", body=b"x" * 150_000, extra=DEADLINE)


def _upload(ident: str) -> bytes:
    whole = request(f"upload-{ident}", body=b"", extra=DEADLINE)
    return whole.replace(b"Content-Length: 0", b"Content-Length: %d" % (UPLOAD_PARTS * len(PART)))


def _chunked_upload(ident: str) -> bytes:
    whole = request(f"upload-{ident}", body=b"", extra=DEADLINE)
    return whole.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")


def _long_response(ident: str) -> bytes:
    return request(f"long-{ident}", "read", extra=DEADLINE)


def _short_response(ident: str) -> bytes:
    return request(f"short-{ident}", "read", extra=DEADLINE)


def _unfinished_response_head(ident: str) -> bytes:
    return request(f"fields-{ident}", "read", extra=DEADLINE)


@dataclass(frozen=True)
class Kind:
    """What the clients of one crowd do.

    Attributes:
        make: Returns what a client with a given id sends.
        clients: How many there are.
        read_bytes: How much a client reads every SLOW_INTERVAL_S.
        part: What a client sends UPLOAD_PARTS times after that, at full speed.
    """

    make: Callable[[str], bytes]
    clients: int
    read_bytes: int = 64 * KB
    part: bytes = b""


KINDS = {
    "unfinished-heads": Kind(_unfinished_head, 900),
    "half-short-bodies": Kind(_half_short_body, 700),
    "half-long-bodies": Kind(_half_long_body, 600),
    "pipelined-requests": Kind(_pipelined, 450),
    "waiting-requests": Kind(_waiting_body, 450),
    "uploads": Kind(_upload, 200, part=PART),
    "chunked-uploads": Kind(_chunked_upload, 200, part=CHUNKS),
    "slow-readers": Kind(_long_response, 250, SLOW_BYTES),
    "unread-responses": Kind(_short_response, 450, 0),
    "unfinished-response-heads": Kind(_unfinished_response_head, 300),
}


async def _serve_backend_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Serve each request as the first word of its id says."""
    while True:
        head = await read_head(reader)
        word = head["x-request-id"].partition("-")[0]
        if word == "upload":
            while await reader.read(SLOW_BYTES):
                await asyncio.sleep(SLOW_INTERVAL_S)
            return
        await reader.readexactly(int(head.get("content-length", "0")))
        match word:
            case "late":
                await asyncio.sleep(RESPONSE_DELAY_S)
                writer.write(ok(b"late"))
            case "long":
                writer.write(ok(bytes(LONG_RESPONSE_BYTES)))
            case "short":
                writer.write(ok(bytes(SHORT_RESPONSE_BYTES)))
            case "fields":
                writer.write(b"HTTP/1.1 200 OK\r\n" + b"a: b\r\n" * 1500)
            case _:
                writer.write(ok(b"usual"))
        await writer.drain()


@asynccontextmanager
async def slow_backends(memory_mb: int, sockets: int) -> AsyncIterator[dict[str, Any]]:
    """Run discovery and slow backends, and return the configuration of a proxy."""
    async with AsyncExitStack() as stack:
        backends = [
            await stack.enter_async_context(Listener(_serve_backend_connection)) for _ in range(BACKENDS)
        ]
        known = [entry(f"b{number}", backend.address) for number, backend in enumerate(backends)]
        discovery = await stack.enter_async_context(Discovery(*known))
        yield configuration(discovery.address, *known, memory_mb=memory_mb, sockets=sockets)


@asynccontextmanager
async def proxy_with_backends(path: Path, memory_mb: int, sockets: int) -> AsyncIterator[ProxyProcess]:
    """Run a proxy with discovery and slow backends."""
    async with slow_backends(memory_mb, sockets) as config, running_proxy(path, config) as proxy:
        yield proxy


def peak_kb(proxy: ProxyProcess) -> int:
    """Return the largest resident memory that the process has had, in KiB."""
    status = Path(f"/proc/{proxy.process.pid}/status").read_text()
    found = re.search(r"VmHWM:\s+(\d+) kB", status)
    assert found
    return int(found[1])


def proportional_set_kb(proxy: ProxyProcess) -> int:
    """Return the memory of a process in KiB, a shared page divided among its users; 0 once it has ended."""
    try:
        rollup = Path(f"/proc/{proxy.process.pid}/smaps_rollup").read_text()
    except OSError:
        return 0
    found = re.search(r"^Pss:\s+(\d+) kB", rollup, re.MULTILINE)
    return int(found[1]) if found else 0


@dataclass
class MemoryMeter:
    """Samples what processes use together; `peak_kb` is the most of it, in KiB."""

    processes: list[ProxyProcess]
    peak_kb: int = 0

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            self.peak_kb = max(self.peak_kb, sum(map(proportional_set_kb, self.processes)))
            await asyncio.sleep(METER_INTERVAL_S)


@dataclass
class Crowd:
    """Clients of one or more kinds, and a usual client beside them."""

    proxy: ProxyProcess
    numbers: count[int] = field(default_factory=count)
    statuses: Counter[str] = field(default_factory=Counter)

    async def run(self, kinds: list[Kind]) -> None:
        """Run all clients of the kinds at once, and the usual client until they have ended."""
        crowd = asyncio.gather(*(self._client(kind) for kind in kinds for _ in range(kind.clients)))
        while not crowd.done():
            await self._usual_request()
            await asyncio.sleep(USUAL_INTERVAL_S)
        await crowd

    async def _usual_request(self) -> None:
        status = "none"
        with suppress(OSError, TimeoutError):
            reader, writer = await self.proxy.connect()
            async with asyncio.timeout(MAX_CLIENT_S):
                writer.write(request(f"usual-{next(self.numbers)}", extra=DEADLINE))
                status = (await read_response(reader))[0]
            writer.transport.abort()
        self.statuses[status] += 1

    async def keep_sending(self, clients: int, until: float) -> None:
        """Let clients send one long request after the other, each on a new connection."""
        await asyncio.gather(*(self._send_until(until) for _ in range(clients)))

    async def _send_until(self, until: float) -> None:
        while asyncio.get_running_loop().time() < until:
            status = "none"
            with suppress(OSError, TimeoutError):
                reader, writer = await self.proxy.connect()
                async with asyncio.timeout(MAX_CLIENT_S):
                    writer.write(_long_waiting_body(f"{next(self.numbers)}"))
                    status = (await read_response(reader))[0]
                writer.transport.abort()
            self.statuses[status] += 1
            if status != "200":
                await asyncio.sleep(REFUSED_PAUSE_S)

    async def _client(self, kind: Kind) -> None:
        loop = asyncio.get_running_loop()
        with socket.socket() as connection, suppress(OSError, TimeoutError):
            if kind.read_bytes <= SLOW_BYTES:  # small buffers, so that bytes soon wait in the proxy
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 536)
            connection.setblocking(False)
            async with asyncio.timeout(MAX_CLIENT_S):
                await loop.sock_connect(connection, (self.proxy.host, self.proxy.port))
                sending = loop.create_task(self._send(connection, kind))
                try:
                    await self._read(connection, kind.read_bytes)
                finally:
                    sending.cancel()

    async def _send(self, connection: socket.socket, kind: Kind) -> None:
        loop = asyncio.get_running_loop()
        with suppress(OSError):
            await loop.sock_sendall(connection, kind.make(f"{next(self.numbers)}"))
            for _ in range(UPLOAD_PARTS if kind.part else 0):
                await loop.sock_sendall(connection, kind.part)

    async def _read(self, connection: socket.socket, read_bytes: int) -> None:
        loop = asyncio.get_running_loop()
        while not read_bytes or await loop.sock_recv(connection, read_bytes):
            await asyncio.sleep(SLOW_INTERVAL_S)
