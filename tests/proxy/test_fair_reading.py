"""Other clients are served while some send at full speed what is costly to read.

The senders run in a process of their own, so that they do not delay the clients that are measured.
"""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path

import pytest

from tests.support.loopback import (
    ROOT,
    Backend,
    ProxyProcess,
    proxy_with_backend,
    read_response,
    request,
    run,
)

DEADLINE_S = 2.5
SENDERS = 200
LOAD_S = 6.0
REQUESTS = 20
CHUNK = b"1\r\nx\r\n"
BURST = 2000


def one_byte_chunks(number: int) -> tuple[bytes, bytes]:
    """Return what a sender begins with, and what it repeats."""
    head = request(f"c{number}", body=b"", extra="Transfer-Encoding: chunked\r\n")
    return head.replace(b"Content-Length: 0\r\n", b""), CHUNK * BURST


def small_requests(number: int) -> tuple[bytes, bytes]:
    return b"", b"".join(request(f"s{number}-{index}", "read") for index in range(100))


def unsound_lines(number: int) -> tuple[bytes, bytes]:
    return b"", b"no request\r\n" * BURST


KINDS = {"one-byte-chunks": one_byte_chunks, "small-requests": small_requests, "unsound-lines": unsound_lines}


async def send_at_full_speed(port: int, kind: str, number: int, until: float) -> None:
    loop = asyncio.get_running_loop()
    while time.monotonic() < until:
        with socket.socket() as connection, suppress(OSError, TimeoutError):
            connection.setblocking(False)
            async with asyncio.timeout_at(loop.time() + until - time.monotonic()):
                await loop.sock_connect(connection, ("127.0.0.1", port))
                first, repeated = KINDS[kind](number)
                await loop.sock_sendall(connection, first)
                while True:
                    await loop.sock_sendall(connection, repeated)
        number += SENDERS


async def send_all(port: int, kind: str, senders: int) -> None:
    until = time.monotonic() + LOAD_S
    print("sending", flush=True)
    await asyncio.gather(*(send_at_full_speed(port, kind, number, until) for number in range(senders)))


@asynccontextmanager
async def senders_at_full_speed(proxy: ProxyProcess, kind: str, senders: int) -> AsyncIterator[None]:
    """Run the senders in another process."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "tests.proxy.test_fair_reading", str(proxy.port), kind, str(senders),
        cwd=ROOT, stdout=asyncio.subprocess.PIPE,
    )  # fmt: skip
    assert process.stdout
    try:
        await process.stdout.readline()
        yield
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


async def response_time_s(proxy: ProxyProcess, ident: str) -> float:
    """Return how long a request on a new connection takes until its response."""
    began_at = time.monotonic()
    reader, writer = await proxy.connect()
    writer.write(request(ident))
    status, _ = await read_response(reader)
    writer.transport.abort()
    assert status == "200"
    return time.monotonic() - began_at


@pytest.mark.parametrize("senders", [1, SENDERS])
@pytest.mark.parametrize("kind", KINDS)
def test_other_clients_are_served_in_time_beside_senders_at_full_speed(
    tmp_path: Path, kind: str, senders: int
) -> None:
    async def scenario() -> None:
        async with (
            proxy_with_backend(tmp_path, Backend(), memory_mb=64, sockets=1024) as proxy,
            senders_at_full_speed(proxy, kind, senders),
        ):
            times = [await response_time_s(proxy, f"u{number}") for number in range(REQUESTS)]
            print(f"longest {max(times):.3f} s of {DEADLINE_S} s, all {sum(times):.3f} s")
            assert max(times) < DEADLINE_S

    run(scenario())


if __name__ == "__main__":
    asyncio.run(send_all(int(sys.argv[1]), sys.argv[2], int(sys.argv[3])))
