"""Clients that send malformed, oversized or incomplete requests, or nothing at all."""

import asyncio
from contextlib import suppress
from pathlib import Path

import pytest

from tests.support.loopback import (
    Backend,
    Discovery,
    configuration,
    entry,
    proxy_with_backend,
    read_response,
    request,
    run,
    running_proxy,
)

HEAD = (
    b"POST /save/obj1 HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: b1\r\nX-Class: save\r\n"
    b"Idempotency-Key: k\r\n"
)
UNKNOWN_CLASS_HEAD = HEAD.replace(b"save", b"saves")
OTHER_CLASS_HEAD = HEAD.replace(b"Class: save", b"Class: read")
# Bodies that exceed the largest allowed size are tested in test_streams.
CHUNKS = b"8000\r\n%b\r\n" % (b"x" * 32768) * 15
BAD_REQUESTS = {
    "random bytes": b"\xb1\x03`W\xab\x1a\x8b\xca\r\n\r\n",
    "an invalid request line": b"GET 5af3\r\n\r\n",
    "a length and then chunks": HEAD + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "chunks and then a length": HEAD + b"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
    "an unknown transfer coding": HEAD + b"Transfer-Encoding: gzip\r\n\r\n0\r\n\r\n",
    "two values of Content-Length": HEAD + b"Content-Length: 4\r\nContent-Length: 5\r\n\r\nride!",
    "a negative Content-Length": HEAD + b"Content-Length: -4\r\n\r\nride",
    "a Content-Length that is not a number": HEAD + b"Content-Length: four\r\n\r\nride",
    "a huge Content-Length": HEAD + b"Content-Length: 99999999999999999999\r\n\r\nride",
    "a declared body of 60 MB": HEAD + b"Content-Length: 60000000\r\n\r\n" + b"x" * 1_000_000,
    "chunks without a last chunk": HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + CHUNKS,
    "an unknown class": UNKNOWN_CLASS_HEAD + b"Content-Length: 4\r\n\r\nride",
    "a class that differs from the path's": OTHER_CLASS_HEAD + b"Content-Length: 4\r\n\r\nride",
    "a deadline that is not a number": HEAD + b"X-Deadline-Ms: soon\r\nContent-Length: 4\r\n\r\nride",
    "a negative deadline": HEAD + b"X-Deadline-Ms: -5\r\nContent-Length: 4\r\n\r\nride",
    "no request id": request(""),
    "two request ids": HEAD + b"X-Request-Id: b2\r\nContent-Length: 4\r\n\r\nride",
    "no idempotency key": HEAD.replace(b"Idempotency-Key", b"X-Other") + b"Content-Length: 4\r\n\r\nride",
    "a safe method for a class with effects": HEAD.replace(b"POST", b"GET") + b"\r\n",
    "a field of 200 kB": HEAD + b"X-Pad: " + b"p" * 200_000,
    "30,000 fields": HEAD + b"a: b\r\n" * 30_000,
    "an incomplete body": HEAD + b"Content-Length: 400\r\n\r\nride",
    "an incomplete head": HEAD,
}  # fmt: skip


@pytest.mark.parametrize("sent", BAD_REQUESTS.values(), ids=BAD_REQUESTS.keys())
def test_a_bad_request_is_rejected_and_reaches_no_backend(tmp_path: Path, sent: bytes) -> None:
    async def scenario() -> None:
        backend = Backend()
        async with proxy_with_backend(tmp_path, backend) as proxy:
            reader, writer = await proxy.connect()
            writer.write(sent)
            async with asyncio.timeout(4.0):
                status, _ = await read_response(reader)
            assert status in ("closed", "400", "405", "408", "413", "414", "431")
            assert await proxy.send_request("a1") == ("200", b"a1")
            assert backend.seen == ["a1"]

    run(scenario())


def test_a_request_with_the_id_of_a_request_in_flight_is_rejected(tmp_path: Path) -> None:
    async def scenario() -> None:
        backend = Backend(lambda head, body: None)
        async with proxy_with_backend(tmp_path, backend) as proxy:
            reader, writer = await proxy.connect()
            writer.write(request("a1"))
            await backend.requested.wait()
            assert (await proxy.send_request("a1"))[0] == "400"
            backend.writers[0].write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
            assert await read_response(reader) == ("200", b"done")
            assert backend.seen == ["a1"]

    run(scenario())


def test_nothing_after_a_rejected_request_is_served(tmp_path: Path) -> None:
    async def scenario() -> None:
        backend = Backend()
        async with proxy_with_backend(tmp_path, backend) as proxy:
            reader, writer = await proxy.connect()
            smuggled = b"4\r\nride\r\n0\r\n\r\n" + request("a9")
            writer.write(HEAD + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n" + smuggled)
            assert (await read_response(reader))[0] == "400"
            assert await reader.read() == b""
            assert backend.seen == []

    run(scenario())


def test_a_response_is_sent_although_an_incomplete_request_follows_its_request(tmp_path: Path) -> None:
    async def scenario() -> None:
        backend = Backend(lambda head, body: None)
        async with proxy_with_backend(tmp_path, backend) as proxy:
            reader, writer = await proxy.connect()
            writer.write(request("a1") + HEAD)
            await backend.requested.wait()
            other, _ = await proxy.connect()
            # The later connection has timed out, so the incomplete request has timed out too.
            assert await other.read() == b""
            backend.writers[0].write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
            assert await read_response(reader) == ("200", b"done")

    run(scenario())


def test_many_silent_connections_do_not_displace_clients_that_send_requests(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with proxy_with_backend(tmp_path, Backend()) as proxy:
            reader, writer = await proxy.connect()
            writer.write(request("a1"))
            assert await read_response(reader) == ("200", b"a1")
            silent = [await proxy.connect() for _ in range(300)]
            assert await proxy.send_request("a2") == ("200", b"a2")
            writer.write(request("a3"))
            response = await read_response(reader)
            if response[0] == "closed":  # closed early as idle, so the client sends the request again
                response = await proxy.send_request("a3")
            assert response == ("200", b"a3")
            assert proxy.descriptors() <= 256
            for other, _ in silent:  # all of them time out
                with suppress(ConnectionError):
                    assert await other.read() == b""
            for _, silent_writer in silent:
                silent_writer.close()

    run(scenario())


def test_many_idle_connections_are_closed_and_a_few_are_kept(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Backend() as backend:
            known = [entry("b1", backend.address)]
            config = configuration(":0", *known)
            async with Discovery(*known) as discovery:
                config["discovery"] = discovery.address
                async with running_proxy(tmp_path, config) as proxy:
                    connections = []
                    for number in range(60):
                        reader, writer = await proxy.connect()
                        writer.write(request(f"a{number}"))
                        assert (await read_response(reader))[0] == "200"
                        connections.append((reader, writer))
                    async with asyncio.timeout(6.0):
                        # The connection that has been idle longest is closed within a few seconds.
                        assert await connections[0][0].read() == b""
                    reader, writer = connections[-1]
                    writer.write(request("z1"))
                    # By now few are open, and those are kept.
                    assert await read_response(reader) == ("200", b"z1")

    run(scenario())


def test_slow_clients_borrow_descriptors_that_backends_do_not_use(tmp_path: Path) -> None:
    """With 96 descriptors the clients' limit is 30; 40 incomplete heads must not block the next client."""

    async def scenario() -> None:
        backend = Backend()
        async with proxy_with_backend(tmp_path, backend, sockets=96) as proxy:
            slow = [await proxy.connect() for _ in range(40)]
            for _, writer in slow:
                writer.write(HEAD)
            assert await proxy.send_request("a1") == ("200", b"a1")
            assert proxy.descriptors() <= 96
            for _, writer in slow:
                writer.close()

    run(scenario())
