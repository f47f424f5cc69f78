"""Request bodies are long, and backends take a second or more to read the longest.

Each client sends a long request and, once it has its answer, a short one on the same connection; then again.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress

from harness.case import Case, main
from harness.discovery import Endpoint
from harness.messages import ClientRequest, read_head
from harness.proxy import Proxy, keyed_class

BACKENDS = 3
# Little more than what the proxy holds of a body that it has not begun to send on.
MIDDLE_BODIES = range(530_000, 690_000, 10_000)
# Just under a multiple of 256,000 bytes, the most that the event loop reads at once.
LONG_BODIES = [length for length in range(4_095_000, 6_100_000, 256_000) for _ in range(3)]
PAIRS = 3  # a long and a short request, on each connection
SHORT_BODY = 50
UNTROUBLED_BODY = 60_000  # without the disruption, all bodies are of the usual size
SLOWLY_READ_BODY = 1_000_000  # backends read bodies over this length slowly, and others at once
READ_INTERVAL_S = 0.01  # between two pieces that a backend reads slowly
SERVICE_S = 0.03
READ_BYTES = 65536
DEADLINE_S = 2.5
LATEST_S = 0.5  # an answer that comes later after the deadline is lost
SLACK_S = 0.07  # the grace of the settings, and 50 ms on sockets
PATIENCE_S = 20.0  # how long a client waits before it goes, to show that no answer comes


async def start_backend(case: Case, name: str) -> Endpoint:
    """Start a backend that reads the longest bodies slowly."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = await read_head(reader)
                await read_body(reader, head.length)
                request_id = head.fields["x-request-id"]
                case.record.add(f"run {request_id} at {name}")
                await asyncio.sleep(SERVICE_S)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(request_id))
                writer.write(request_id.encode())
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    return Endpoint(name, server.sockets[0].getsockname()[1], group=1)


async def read_body(reader: asyncio.StreamReader, length: int) -> None:
    """Read a body to its last byte; the longest take a second or more.

    Raises:
        asyncio.IncompleteReadError: The connection ended before.
    """
    left = length
    while left:
        data = await reader.read(min(left, READ_BYTES))
        if not data:
            raise asyncio.IncompleteReadError(b"", left)
        left -= len(data)
        if length > SLOWLY_READ_BODY:
            await asyncio.sleep(READ_INTERVAL_S)


async def ask(
    case: Case, streams: tuple[asyncio.StreamReader, asyncio.StreamWriter], body: bytes
) -> tuple[str, str]:
    """Send one request; return the status line of its answer, and how the answer broke the rule."""
    reader, writer = streams
    request = ClientRequest("salva-profilo", int(DEADLINE_S * 1000), body)
    writer.write(request.head() + request.body)
    await writer.drain()
    sent_at = asyncio.get_running_loop().time()
    case.record.add(f"sent {request.request_id}, a body of {len(body)} bytes")
    status = ""
    try:
        async with asyncio.timeout_at(sent_at + PATIENCE_S):
            head = await read_head(reader)
            await reader.readexactly(head.length)
            status = head.first_line
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        status = f"no answer, {type(error).__name__}"
    took_s = asyncio.get_running_loop().time() - sent_at
    case.record.add(f"answer to {request.request_id}: {status} after {took_s:.2f} s")
    if status.startswith("HTTP/1.1 ") and took_s <= DEADLINE_S + LATEST_S + SLACK_S:
        return status, ""
    return status, f"{request.request_id}, a body of {len(body)} bytes: {status} after {took_s:.2f} s"


async def ask_in_pairs(case: Case, proxy: Proxy, body_bytes: int) -> str:
    """Send long and short requests in turn on one connection; return how a short one broke the rule.

    How a long request is answered is not judged: the pages time only its first bytes.
    """
    streams = await asyncio.open_connection("127.0.0.1", proxy.port)
    broken = ""
    for _ in range(PAIRS):
        status, _ = await ask(case, streams, b"r" * body_bytes)
        if not status.startswith("HTTP/1.1 200"):
            break
        _, broken = await ask(case, streams, b"r" * SHORT_BODY)
        if broken:
            break
    streams[1].close()
    return broken


async def scenario(case: Case) -> list[str]:
    """Send pairs of requests through a proxy, on several connections at once."""
    endpoints = [await start_backend(case, f"s-{number}") for number in range(BACKENDS)]
    proxy = await case.start_proxy(endpoints, [keyed_class(deadline_ms=DEADLINE_S * 1000)])
    lengths = [length if case.trouble else UNTROUBLED_BODY for length in (*MIDDLE_BODIES, *LONG_BODIES)]
    results = await asyncio.gather(*[ask_in_pairs(case, proxy, length) for length in lengths])
    await case.check_alive(proxy)
    breaks = [text for text in results if text]
    case.record.add(
        f"connections: {len(lengths)}; with a short request without an answer in time: {len(breaks)}"
    )
    return breaks


if __name__ == "__main__":
    main(scenario)
