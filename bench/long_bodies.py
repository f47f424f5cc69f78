"""Measures long bodies through the proxy and directly from the backend: bytes per second and memory.

    .venv-cli/bin/python bench/long_bodies.py [MB] [STREAMS]

Transfers bodies of MB (default 16) megabytes in STREAMS (default 8) concurrent streams, up and down,
alternating between the proxy and a direct connection.  Each row is the median of five rounds.  The last row
shows the memory that the proxy holds for each client that does not read its response.  All connections use
the loopback interface; compare only the ratios within one run.
"""

from __future__ import annotations

import asyncio
import json
import os
import statistics
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).parent.parent
ROUNDS = 5
CHUNK = os.urandom(1 << 16)


async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Serve requests of any length; the response to a GET has the number of bytes given in its path."""
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            left = int(head.partition(b"content-length:")[2].split(b"\r\n")[0] or 0)
            while left:
                left -= len(await reader.read(min(left, 1 << 18)))
            response_bytes = int(head.split()[1].rpartition(b"/")[2]) if head.startswith(b"get") else 0
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % response_bytes)
            for _ in range(response_bytes // len(CHUNK)):
                writer.write(CHUNK)
                await writer.drain()
    except (OSError, asyncio.IncompleteReadError):
        writer.close()


async def transfer(address: tuple[str, int], up: bool, size: int, number: int) -> None:
    reader, writer = await asyncio.open_connection(*address)
    ident = f"{time.monotonic_ns()}-{number}"
    common = f"Host: x\r\nX-Request-Id: {ident}\r\n"
    if up:
        idempotency_headers = f"Idempotency-Key: {ident}\r\nContent-Length: {size}\r\n\r\n"
        writer.write(f"POST /save/{size} HTTP/1.1\r\n{common}{idempotency_headers}".encode())
        for _ in range(size // len(CHUNK)):
            writer.write(CHUNK)
            await writer.drain()
    else:
        writer.write(f"GET /read/{size} HTTP/1.1\r\n{common}\r\n".encode())
    head = await reader.readuntil(b"\r\n\r\n")
    if b" 200 " not in head.split(b"\r\n")[0]:
        raise SystemExit(f"long_bodies: unexpected response {head!r}")
    left = 0 if up else size
    while left:
        left -= len(await reader.read(1 << 18))
    writer.close()


async def transfer_rate(address: tuple[str, int], up: bool, size: int, streams: int) -> float:
    """Return the total bytes per second of all streams."""
    start_s = time.perf_counter()
    await asyncio.gather(*(transfer(address, up, size, number) for number in range(streams)))
    return size * streams / (time.perf_counter() - start_s)


def memory_mb(process: int, field: str) -> float:
    text = Path(f"/proc/{process}/status").read_text()
    return int(text.partition(field)[2].split()[0]) / 1024


async def main() -> None:
    size = (int(sys.argv[1]) if len(sys.argv) > 1 else 16) << 20
    streams = int(sys.argv[2]) if len(sys.argv) > 2 else 8
    server = await asyncio.start_server(backend, "127.0.0.1", 0, limit=1 << 18)
    host, port = server.sockets[0].getsockname()
    classes = [
        {"Name": "save", "HardLimitMs": 60000.0, "Effect": "deduplicated", "RepeatWindowMs": 5000.0},
        {"Name": "read", "HardLimitMs": 60000.0, "Effect": "idempotent"},
    ]
    member = {"name": "b1", "address": f"{host}:{port}", "status": "active"}
    config = {
        "discovery": "127.0.0.1:9", "seed": "1", "limits": {"memory_mb": 80, "sockets": 256},
        "known": {"index": 1, "snapshot": True, "endpoints": [member]},
        "settings": {"Categories": classes, "Discovery": "push", "Limits": {"MostTries": 2}},
    }  # fmt: skip
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(config, file)
        file.flush()
        environment = {"LB_NAME": "bench", "LB_LISTEN": "127.0.0.1:0", "LB_CONFIG": file.name}
        proxy = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "heronreel.proxy",
            cwd=ROOT,
            env=os.environ | environment,
            stderr=asyncio.subprocess.PIPE,
        )
        assert proxy.stderr
        try:
            while b"listening" not in (line := await proxy.stderr.readline()):
                if not line:
                    raise SystemExit("long_bodies: the proxy did not start")
            proxy_address = ("127.0.0.1", int(line.rsplit(b":", 1)[1].partition(b'"')[0]))
            idle = memory_mb(proxy.pid, "VmRSS:")
            for up, name in ((True, "up"), (False, "down")):
                rates = [(await transfer_rate((host, port), up, size, streams),
                          await transfer_rate(proxy_address, up, size, streams))
                         for _ in range(ROUNDS)]  # fmt: skip
                direct = statistics.median(rate for rate, _ in rates)
                proxied = statistics.median(rate for _, rate in rates)
                ratio = statistics.median(b / a for a, b in rates)
                rate_text = f"{direct / 1e6:7.0f} MB/s direct {proxied / 1e6:7.0f} proxied"
                print(f"{name:5}{rate_text}, ratio {ratio:.2f}")
            print(f"memory {idle:.1f} MB idle, {memory_mb(proxy.pid, 'VmHWM:'):.1f} MB peak")
            stalled = []
            for number in range(32):
                _, writer = await asyncio.open_connection(*proxy_address)
                writer.transport.pause_reading()  # type: ignore[attr-defined]
                request = f"GET /read/{size} HTTP/1.1\r\nHost: x\r\nX-Request-Id: s{number}\r\n\r\n"
                writer.write(request.encode())
                stalled.append(writer)
            before = memory_mb(proxy.pid, "VmRSS:")
            await asyncio.sleep(2.0)
            kib_per_client = (memory_mb(proxy.pid, "VmRSS:") - before) * 1024 / len(stalled)
            print(f"{len(stalled)} clients that do not read: {kib_per_client:.0f} KiB each")
            for writer in stalled:
                writer.transport.abort()
        finally:
            proxy.terminate()
            await proxy.wait()
            server.close()


if __name__ == "__main__":
    asyncio.run(main())
