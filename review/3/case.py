"""Clients take long answers steadily, at twice the slowest rate that the pages name, while backends give all.

Each client reads slowly for some seconds and then at full speed, and counts what it gets.
"""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress

from harness.case import Case, main
from harness.discovery import Endpoint
from harness.messages import HEAD_END, ClientRequest, parse_head, read_head
from harness.proxy import Proxy, keyed_class

BACKENDS = 3
CLIENTS = 4
SERVICE_S = 0.03
BODY_BYTES = 6 << 20
WRITE_BYTES = 65536
SLOW_BYTES_PER_S = 128_000
SLOW_INTERVAL_S = 0.1
SLOW_S = 15.0
RECEIVE_BYTES = 1 << 18
PATIENCE_S = 60.0


async def start_backend(case: Case, name: str) -> Endpoint:
    """Start a backend that writes each long answer as fast as it is taken."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = await read_head(reader)
                await reader.readexactly(head.length)
                request_id = head.fields["x-request-id"]
                case.record.add(f"run {request_id} at {name}")
                await asyncio.sleep(SERVICE_S)
                await write_answer(writer)
                case.record.add(f"{name} has written the whole answer to {request_id}")
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    return Endpoint(name, server.sockets[0].getsockname()[1], group=1)


async def write_answer(writer: asyncio.StreamWriter) -> None:
    """Write a long answer, without a pause but for what the peer does not take."""
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES)
    for _ in range(BODY_BYTES // WRITE_BYTES):
        writer.write(b"p" * WRITE_BYTES)
        await writer.drain()


async def ask(case: Case, proxy: Proxy) -> str:
    """Send one request and take its answer; return what is wrong with it, or an empty string."""
    loop = asyncio.get_running_loop()
    request = ClientRequest("salva-profilo", 2500, b"ride")
    with socket.socket() as connection:
        connection.setblocking(False)
        await loop.sock_connect(connection, ("127.0.0.1", proxy.port))
        await loop.sock_sendall(connection, request.head() + request.body)
        case.record.add(f"sent {request.request_id}")
        received, end = await take_answer(connection, case.trouble)
    head_bytes, _, body = received.partition(HEAD_END)
    status = parse_head(head_bytes).first_line if head_bytes else "no status"
    case.record.add(f"answer to {request.request_id}: {status}, {len(body)} of {BODY_BYTES} bytes, {end}")
    if " 200 " in status and len(body) < BODY_BYTES:
        return f"{request.request_id} got {len(body)} of {BODY_BYTES} bytes, then {end}"
    return ""


async def take_answer(connection: socket.socket, slowly: bool) -> tuple[bytes, str]:
    """Take an answer to its last byte; return it, and how it ended."""
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    received = bytearray()
    while not is_whole(received):
        slow = slowly and loop.time() - began_at < SLOW_S
        size = int(SLOW_BYTES_PER_S * SLOW_INTERVAL_S) if slow else RECEIVE_BYTES
        try:
            async with asyncio.timeout_at(began_at + PATIENCE_S):
                data = await loop.sock_recv(connection, size)
        except (OSError, TimeoutError) as error:
            return bytes(received), type(error).__name__
        if not data:
            return bytes(received), "the end of the connection"
        received += data
        if slow:
            await asyncio.sleep(SLOW_INTERVAL_S)
    return bytes(received), "whole"


def is_whole(received: bytearray) -> bool:
    """Return whether the answer has come to its last byte."""
    head_end = received.find(HEAD_END)
    if head_end < 0:
        return False
    length = parse_head(bytes(received[:head_end])).length
    return len(received) >= head_end + len(HEAD_END) + length


async def scenario(case: Case) -> list[str]:
    """Let several clients take long answers at the same time."""
    endpoints = [await start_backend(case, f"s-{number}") for number in range(BACKENDS)]
    proxy = await case.start_proxy(endpoints, [keyed_class()])
    results = await asyncio.gather(*[ask(case, proxy) for _ in range(CLIENTS)])
    await case.check_alive(proxy)
    breaks = [text for text in results if text]
    case.record.add(f"long answers: {CLIENTS}; cut off: {len(breaks)}")
    return breaks


if __name__ == "__main__":
    main(scenario)
