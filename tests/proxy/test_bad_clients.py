"""Clients that send what can't be served, too much of it, too little, or nothing."""

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
SAVES, READ = HEAD.replace(b"save", b"saves"), HEAD.replace(b"Class: save", b"Class: read")
CHUNKS = b"8000\r\n%b\r\n" % (b"x" * 32768) * 15  # test_streams has what is more than any body may have
BAD = {
    "noise": b"\xb1\x03`W\xab\x1a\x8b\xca\r\n\r\n",
    "a request line that is none": b"GET 5af3\r\n\r\n",
    "a length and chunks": HEAD + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "chunks and a length": HEAD + b"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
    "an unknown coding": HEAD + b"Transfer-Encoding: gzip\r\n\r\n0\r\n\r\n",
    "two lengths": HEAD + b"Content-Length: 4\r\nContent-Length: 5\r\n\r\nride!",
    "a negative length": HEAD + b"Content-Length: -4\r\n\r\nride",
    "a length that is none": HEAD + b"Content-Length: four\r\n\r\nride",
    "a huge length": HEAD + b"Content-Length: 99999999999999999999\r\n\r\nride",
    "60 MB to come": HEAD + b"Content-Length: 60000000\r\n\r\n" + b"x" * 1_000_000,
    "chunks without a last one": HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + CHUNKS,
    "a class that does not exist": SAVES + b"Content-Length: 4\r\n\r\nride",
    "a class unlike the path's": READ + b"Content-Length: 4\r\n\r\nride",
    "a deadline that is none": HEAD + b"X-Deadline-Ms: soon\r\nContent-Length: 4\r\n\r\nride",
    "a negative deadline": HEAD + b"X-Deadline-Ms: -5\r\nContent-Length: 4\r\n\r\nride",
    "no id": request(""),
    "two ids": HEAD + b"X-Request-Id: b2\r\nContent-Length: 4\r\n\r\nride",
    "no key": HEAD.replace(b"Idempotency-Key", b"X-Other") + b"Content-Length: 4\r\n\r\nride",
    "a method that may be repeated": HEAD.replace(b"POST", b"GET") + b"\r\n",
    "a field without end": HEAD + b"X-Pad: " + b"p" * 200_000,
    "fields without end": HEAD + b"a: b\r\n" * 30_000,
    "half a request": HEAD + b"Content-Length: 400\r\n\r\nride",
    "half a head": HEAD,
}  # fmt: skip


@pytest.mark.parametrize("sent", BAD.values(), ids=BAD.keys())
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


def test_the_id_of_an_open_request_is_rejected(tmp_path: Path) -> None:
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
            hidden = b"4\r\nride\r\n0\r\n\r\n" + request("a9")
            writer.write(HEAD + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n" + hidden)
            assert (await read_response(reader))[0] == "400"
            assert await reader.read() == b""
            assert backend.seen == []

    run(scenario())


def test_an_owed_response_is_sent_though_half_of_another_request_follows(tmp_path: Path) -> None:
    async def scenario() -> None:
        backend = Backend(lambda head, body: None)
        async with proxy_with_backend(tmp_path, backend) as proxy:
            reader, writer = await proxy.connect()
            writer.write(request("a1") + HEAD)
            await backend.requested.wait()
            other, _ = await proxy.connect()
            assert await other.read() == b""  # the later connection's time is over, so that half's is too
            backend.writers[0].write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
            assert await read_response(reader) == ("200", b"done")

    run(scenario())


def test_a_silent_crowd_does_not_displace_usual_clients(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with proxy_with_backend(tmp_path, Backend()) as proxy:
            reader, writer = await proxy.connect()
            writer.write(request("a1"))
            assert await read_response(reader) == ("200", b"a1")
            crowd = [await proxy.connect() for _ in range(300)]
            assert await proxy.send_request("a2") == ("200", b"a2")
            writer.write(request("a3"))
            response = await read_response(reader)
            if response[0] == "closed":  # idle too long for a crowd: a client sends it again
                response = await proxy.send_request("a3")
            assert response == ("200", b"a3")
            assert proxy.descriptors() <= 256
            for other, _ in crowd:  # all of them are closed, in time
                with suppress(ConnectionError):
                    assert await other.read() == b""
            for _, ending in crowd:
                ending.close()

    run(scenario())


def test_many_idle_connections_are_closed_and_a_few_are_kept(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Backend() as backend:
            known = [entry("b1", backend.address)]
            config = configuration(":0", *known)
            async with Discovery(*known) as discovery:
                config["discovery"] = discovery.address
                async with running_proxy(tmp_path, config) as proxy:
                    stay = []
                    for number in range(60):
                        reader, writer = await proxy.connect()
                        writer.write(request(f"a{number}"))
                        assert (await read_response(reader))[0] == "200"
                        stay.append((reader, writer))
                    async with asyncio.timeout(6.0):
                        assert await stay[0][0].read() == b""  # the longest idle goes in a few seconds
                    reader, writer = stay[-1]
                    writer.write(request("z1"))
                    assert await read_response(reader) == (
                        "200",
                        b"z1",
                    )  # few are left then, and they may stay

    run(scenario())


def test_slow_clients_borrow_descriptors_that_backends_do_not_use(tmp_path: Path) -> None:
    """96 descriptors leave clients 30 of their own; 40 with half a head must not keep the next one out."""

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
