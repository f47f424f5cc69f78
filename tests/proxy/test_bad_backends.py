"""Backends that send malformed responses, or more bytes after the end of a response."""

import asyncio
from contextlib import suppress
from pathlib import Path

import pytest

from tests.support.loopback import (
    Backend,
    ConnectionHandler,
    Discovery,
    configuration,
    entry,
    ok,
    proxy_with_backend,
    read_request,
    read_response,
    request,
    run,
    running_proxy,
)

OK = b"HTTP/1.1 200 OK\r\n"
HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
HUGE_CHUNK = b"ffffffffff\r\n" + b"x" * 10_000  # The chunk size is one terabyte.
MALFORMED = {
    "random bytes": b"\xd9\xd7M\x15y}V\x94e\xee\r\n\r\n",
    "another protocol": b"ICY 200 OK\r\nContent-Length: 4\r\n\r\nride",
    "an invalid status": b"HTTP/1.1 0x200 OK\r\nContent-Length: 4\r\n\r\nride",
    "two lengths": OK + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nride",
    "a negative length": OK + b"Content-Length: -4\r\n\r\nride",
    "a length and chunks": OK + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "an invalid chunk": OK + b"Transfer-Encoding: chunked\r\n\r\n4\r\nride\r\nzz\r\nride\r\n",
    "a line without a colon": OK + b"no colon here\r\nContent-Length: 4\r\n\r\nride",
    "three gigabytes": OK + b"Content-Length: 3000000000\r\n\r\n" + b"x" * 100_000,
    "a huge chunk": OK + b"Transfer-Encoding: chunked\r\n\r\n" + HUGE_CHUNK,
    "an endless field": OK + b"X-Pad: " + b"p" * 100_000,
    "endless fields": OK + b"X-Pad: pppp\r\n" * 10_000,
    "half a response": OK + b"Content-Length: 400\r\n\r\nride",
    "no length": OK + b"\r\nride",
    "switching protocols": b"HTTP/1.1 101 Other\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n",
}  # fmt: skip
UNUSUAL = {
    "early hints": HINTS + ok(b"ride"),
    "an invalid load report": OK + b"X-Load: %%%=,={\"\r\nContent-Length: 4\r\n\r\nride",
    "connection close": OK + b"Connection: close\r\nContent-Length: 4\r\n\r\nride",
}  # fmt: skip


def malformed_once(malformed: bytes, ended: asyncio.Event) -> ConnectionHandler:
    """Respond to the first request with `malformed`, to later ones with their id.

    The connection of the first request stays open until the proxy closes it; `ended` is set then.
    """
    unsent = [malformed]

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head, _ = await read_request(reader)
            if not unsent:
                writer.write(ok(head["x-request-id"].encode()))
                continue
            writer.write(unsent.pop())
            with suppress(ConnectionError):
                assert await reader.read(1) == b""  # No further request is sent on this connection.
            ended.set()
            return

    return handle


@pytest.mark.parametrize("malformed", MALFORMED.values(), ids=MALFORMED.keys())
def test_a_request_with_a_malformed_response_is_retried_and_the_connection_is_closed(
    tmp_path: Path, malformed: bytes
) -> None:
    async def scenario() -> None:
        ended = asyncio.Event()
        async with Backend() as first_backend, Backend() as second_backend:
            first_backend.handler = second_backend.handler = malformed_once(malformed, ended)
            known = [entry("b1", first_backend.address), entry("b2", second_backend.address)]
            async with (
                Discovery(*known) as discovery,
                running_proxy(tmp_path, configuration(discovery.address, *known)) as proxy,
            ):
                assert await proxy.send_request("a1") == ("200", b"a1")
                await ended.wait()
                assert await proxy.send_request("a2") == ("200", b"a2")

    run(scenario())


@pytest.mark.parametrize("response", UNUSUAL.values(), ids=UNUSUAL.keys())
def test_an_unusual_but_complete_response_is_served(tmp_path: Path, response: bytes) -> None:
    async def scenario() -> None:
        async with proxy_with_backend(tmp_path, Backend(lambda head, body: response)) as proxy:
            for ident in ("a1", "a2"):
                assert await proxy.send_request(ident) == ("200", b"ride")

    run(scenario())


@pytest.mark.parametrize("extra", [ok(b"copy"), b"\x00noise\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Le"])
@pytest.mark.parametrize("together", [True, False])
def test_a_connection_is_closed_if_bytes_follow_a_response(
    tmp_path: Path, extra: bytes, together: bool
) -> None:
    async def scenario() -> None:
        async with Backend() as backend:
            backend.reply = lambda head, body: (
                ok(head["x-request-id"].encode()) + (extra if together else b"")
            )
            known = [entry("b1", backend.address)]
            async with (
                Discovery(*known) as discovery,
                running_proxy(tmp_path, configuration(discovery.address, *known)) as proxy,
            ):
                reader, writer = await proxy.connect()
                for number in range(1, 5):
                    writer.write(request(f"a{number}"))
                    assert await read_response(reader) == ("200", b"a%d" % number)
                    if not together:
                        backend.writers[-1].write(extra)
                        await backend.ended()
                assert backend.opened == 4  # No connection carried a second request.

    run(scenario())


def test_a_client_error_from_a_backend_is_not_retried_and_does_not_count_against_the_backend(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with Backend() as first_backend, Backend() as second_backend:
            for backend in (first_backend, second_backend):
                backend.reply = lambda head, body: (
                    ok(b"ride") if body == b"ride" else b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
                )
            known = [entry("b1", first_backend.address), entry("b2", second_backend.address)]
            async with (
                Discovery(*known) as discovery,
                running_proxy(tmp_path, configuration(discovery.address, *known)) as proxy,
            ):
                for number in range(6):
                    reader, writer = await proxy.connect()
                    writer.write(request(f"a{number}", body=b"????"))
                    status, _ = await read_response(reader)
                    assert status == "400"
                assert (
                    len(first_backend.seen) + len(second_backend.seen) == 6
                )  # No request is retried at the other backend.
                assert [(await proxy.send_request(f"g{number}"))[0] for number in range(8)] == ["200"] * 8
                assert (
                    min(len(first_backend.seen), len(second_backend.seen)) > 3
                )  # Both backends continue to receive requests.

    run(scenario())
