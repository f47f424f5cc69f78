"""Clients that read long responses slowly, and backends that read long bodies slowly, over real sockets.

Guards against cutting off a peer that reads all the time, because of how full the kernel's buffers are.
"""

from __future__ import annotations

import asyncio
import socket
import time
from pathlib import Path

import pytest

from tests.support.loopback import Listener, ProxyProcess, ok, proxy_with_backend, read_head, request, run

MB = 1 << 20
SLOW_INTERVAL_S = 0.1
SLOW_S = 8.0  # longer than any limit that counts from when the kernel's buffer was full
RECEIVE_BYTES = 1 << 18
CLOSE_LINE = "Connection: close\r\n"


async def send_long_responses(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Respond with as many bytes as the request's id says, as fast as they are taken."""
    while True:
        head = await read_head(reader)
        length = int(head["x-request-id"])
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length)
        for start in range(0, length, 65536):
            writer.write(b"x" * min(65536, length - start))
            await writer.drain()


async def take_response(proxy: ProxyProcess, length: int, rate: float, extra: str = "") -> int:
    """Send a request and read its response, slowly at first; return how many bytes of its body came."""
    loop = asyncio.get_running_loop()
    with socket.socket() as connection:
        connection.setblocking(False)
        await loop.sock_connect(connection, (proxy.host, proxy.port))
        await loop.sock_sendall(connection, request(str(length), "read", extra=extra))
        received = bytearray()
        began_at = time.monotonic()
        while len(received) - received.find(b"\r\n\r\n") - 4 < length:
            slow = time.monotonic() - began_at < SLOW_S
            size = int(rate * SLOW_INTERVAL_S) if slow else RECEIVE_BYTES
            data = await loop.sock_recv(connection, size) if size else b"-"
            if not data:
                break
            received += data if size else b""
            if slow:
                await asyncio.sleep(SLOW_INTERVAL_S)
        return len(received) - received.find(b"\r\n\r\n") - 4


@pytest.mark.parametrize("extra", ["", CLOSE_LINE], ids=["kept", "closed"])
def test_a_client_that_reads_a_long_response_slowly_gets_all_of_it(tmp_path: Path, extra: str) -> None:
    """Lengths around the size of the kernel's buffer make the last bytes wait in the proxy.

    Clients that read nothing for a while are among them.
    """
    lengths = [6 * MB, 12 * MB, 32 * MB - 1, *range(2 * MB, 6 * MB, 200_000)]
    rates = [128_000.0, 64_000.0, 0.0]

    async def scenario() -> None:
        async with proxy_with_backend(tmp_path, Listener(send_long_responses), memory_mb=128) as proxy:
            calls = [
                take_response(proxy, length + number, rates[number % len(rates)], extra)
                for number, length in enumerate(lengths)
            ]
            received = await asyncio.gather(*calls)
            assert received == [length + number for number, length in enumerate(lengths)]

    run(scenario())


def test_a_backend_that_reads_a_long_body_slowly_gets_all_of_it(tmp_path: Path) -> None:
    length = 12 * MB

    async def read_slowly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        began_at, left = time.monotonic(), length
        while left:
            slow = time.monotonic() - began_at < 1.5 * SLOW_S
            data = await reader.read(min(left, 6400 if slow else RECEIVE_BYTES))
            assert data
            left -= len(data)
            await asyncio.sleep(SLOW_INTERVAL_S if slow else 0.0)
        writer.write(ok(b"all"))

    async def scenario() -> None:
        async with proxy_with_backend(tmp_path, Listener(read_slowly), memory_mb=128) as proxy:
            reader, writer = await proxy.connect()
            writer.write(request("a1", body=b"x" * length))
            head = await read_head(reader)
            assert head[""].split()[1] == "200"

    run(scenario())
