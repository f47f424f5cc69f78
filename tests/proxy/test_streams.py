"""Request and response bodies that are too long to be buffered, sent through the proxy process.

They arrive complete, take a bounded amount of memory, and are cut off if their sender stops.
"""

from __future__ import annotations

import asyncio
import hashlib
import os
import signal
from pathlib import Path

import pytest

from heronreel.proxy.memory_account import MemoryAccount, MemoryUse
from heronreel.proxy.streams import MAX_BODY_BYTES, MAX_BUFFERED_REQUEST_BYTES, RequestBodyStream
from tests.support.loopback import (
    Discovery,
    Listener,
    ProxyProcess,
    configuration,
    entry,
    proxy_with_backend,
    read_head,
    read_request,
    read_response,
    request,
    run,
    running_proxy,
)

MB = 1 << 20
LONG = os.urandom(1 << 16) * 48  # 3 MiB
SAVE = "POST /save/obj1 HTTP/1.1\r\nHost: x\r\nX-Request-Id: {}\r\nIdempotency-Key: k\r\n{}\r\n"


def chunked(body: bytes, chunk_bytes: int) -> bytes:
    parts = (body[start : start + chunk_bytes] for start in range(0, len(body), chunk_bytes))
    return b"".join(b"%x;n=1\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\nX-Sum: 1\r\n\r\n"


def request_head(ident: str, *lines: str) -> bytes:
    return SAVE.format(ident, "".join(f"{line}\r\n" for line in lines)).encode()


async def read_body(reader: asyncio.StreamReader, head: dict[str, str]) -> bytes:
    """Read a body of any framing.

    Raises:
        IncompleteReadError: The body is cut off.
    """
    if "content-length" in head:
        return await reader.readexactly(int(head["content-length"]))
    if "transfer-encoding" not in head:
        return await reader.read()
    complete = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        complete += (await reader.readexactly(size + 2))[:-2]
    while await reader.readuntil(b"\r\n") != b"\r\n":
        pass
    return complete


class DigestBackend(Listener):
    """Responds with each of `responses` once, then with the digest of the request body, of any length."""

    def __init__(self, *responses: bytes) -> None:
        super().__init__(self._handle)
        self.responses = list(responses)
        self.heads: list[dict[str, str]] = []
        self.head_received = asyncio.Event()

    async def _handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = await read_head(reader)
            self.heads.append(head)
            self.head_received.set()
            body = await read_body(reader, head)
            digest = hashlib.sha256(body).hexdigest().encode()
            if self.responses:
                writer.write(self.responses.pop(0))
                continue
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(digest), digest))


class PiecewiseBackend(Listener):
    """Responds in pieces and closes the connection after the last one if `closes`.

    Before each piece except the first, it waits for a release of `more`.
    """

    def __init__(self, *pieces: bytes, closes: bool = False) -> None:
        super().__init__(self._handle)
        self.pieces, self.closes, self.more = pieces, closes, asyncio.Semaphore(0)

    async def _handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await read_request(reader)
            for number, piece in enumerate(self.pieces):
                if number:
                    await self.more.acquire()
                writer.write(piece)
                await writer.drain()
            if self.closes:
                writer.close()
                return


FRAMINGS = {
    "length": ([f"Content-Length: {len(LONG)}"], LONG),
    "chunks": (["Transfer-Encoding: chunked"], chunked(LONG, 50_000)),
    "small chunks": (["Transfer-Encoding: chunked"], chunked(LONG[: 1 * MB], 700)),
    "buffered": (["Content-Length: 300000"], LONG[:300_000]),
}


@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_long_body_arrives_complete_and_the_connection_is_reused(tmp_path: Path, framing: str) -> None:
    lines, sent = FRAMINGS[framing]
    size = {"small chunks": MB, "buffered": 300_000}.get(framing, len(LONG))
    digest = hashlib.sha256(LONG[:size]).hexdigest().encode()

    async def scenario() -> None:
        backend = DigestBackend()
        async with proxy_with_backend(tmp_path, backend) as proxy:
            reader, writer = await proxy.connect()
            for number in range(2):
                writer.write(request_head(f"r{number}", *lines))
                if number:  # In pieces that are not aligned with chunks.
                    for start in range(0, len(sent), 70_001):
                        writer.write(sent[start : start + 70_001])
                        await writer.drain()
                else:
                    writer.write(sent)
                assert await read_response(reader) == ("200", digest)
            assert len(backend.heads) == 2 and "x-deadline-ms" in backend.heads[0]

    run(scenario())


def test_memory_does_not_grow_with_the_length_of_a_body(tmp_path: Path) -> None:
    """While the backend reads nothing, the client has to wait and the proxy buffers little."""

    async def scenario() -> None:
        reading_paused = asyncio.Event()
        heads: list[bytes] = []

        async def read_only_head(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            heads.append(await reader.readuntil(b"\r\n\r\n"))
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            reading_paused.set()
            await asyncio.Event().wait()

        backend = Listener(read_only_head)
        async with proxy_with_backend(tmp_path, backend) as proxy:
            before = memory_kb(proxy.process.pid)
            clients = [await proxy.connect() for _ in range(4)]
            for number, (_, writer) in enumerate(clients):
                writer.write(request_head(f"d{number}", f"Content-Length: {30 * MB}"))
                writer.write(b"x" * (30 * MB))
            await reading_paused.wait()
            await assert_serving_within(proxy, before + 16 * 1024)
            for _, writer in clients:
                writer.transport.abort()

    run(scenario())


def test_a_long_body_without_memory_for_it_is_rejected_before_any_part_reaches_a_backend(
    tmp_path: Path,
) -> None:
    held_bytes, seen, held = 900_000, list[str](), asyncio.Event()

    async def hold(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        seen.append((await read_head(reader))["x-request-id"])
        await reader.readexactly(held_bytes)  # The proxy holds them as well, for a retry.
        held.set()
        await reader.read()

    async def scenario() -> None:
        backend = Listener(hold)
        async with proxy_with_backend(tmp_path, backend, memory_mb=26) as proxy:  # Leaves 1 MiB to hold.
            _, first = await proxy.connect()
            first.write(request_head("r1", f"Content-Length: {len(LONG)}") + LONG[:held_bytes])
            await held.wait()
            reader, writer = await proxy.connect()
            writer.write(request_head("r2", "Content-Length: 2000000") + LONG[:2_000_000])
            assert (await read_response(reader))[0] == "503"
            assert seen == ["r1"]
            first.transport.abort()

    run(scenario())


async def assert_serving_within(proxy: ProxyProcess, max_kb: int) -> None:
    """Assert that the proxy responds and that its memory is below `max_kb`."""
    reader, writer = await proxy.connect()
    writer.write(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
    assert (await read_response(reader))[0] == "200"
    assert memory_kb(proxy.process.pid) < max_kb


def memory_kb(process: int) -> int:
    lines = Path(f"/proc/{process}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS"))


def test_a_rejected_upload_is_retried_from_its_first_byte(tmp_path: Path) -> None:
    """A body of which a part was dropped is not sent again."""
    not_run = b"HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"

    async def scenario() -> None:
        for size, expected, attempts in ((900_000, "200", 2), (len(LONG), "503", 1)):
            first_backend, second_backend = DigestBackend(not_run), DigestBackend()
            second_backend.responses = (
                first_backend.responses
            )  # The backend that gets the request first rejects it.
            async with first_backend, second_backend:
                known = [entry("b1", first_backend.address), entry("b2", second_backend.address)]
                async with Discovery(*known) as discovery:
                    async with running_proxy(tmp_path, configuration(discovery.address, *known)) as proxy:
                        reader, writer = await proxy.connect()
                        writer.write(request_head("r", f"Content-Length: {size}") + LONG[:size])
                        status, body = await read_response(reader)
                        assert (status, len(first_backend.heads) + len(second_backend.heads)) == (
                            expected,
                            attempts,
                        )
                        if attempts == 2:
                            assert body.decode() == hashlib.sha256(LONG[:size]).hexdigest()

    run(scenario())


def test_a_client_that_disconnects_or_stalls_ends_its_upload(tmp_path: Path) -> None:
    async def scenario() -> None:
        for disconnects in (True, False):
            backend = DigestBackend()
            async with proxy_with_backend(tmp_path, backend) as proxy:
                reader, writer = await proxy.connect()
                writer.write(request_head("r", f"Content-Length: {len(LONG)}") + LONG[:MB])
                await backend.head_received.wait()
                if disconnects:
                    writer.transport.abort()
                else:
                    assert (await read_response(reader))[0] == "408"
                await backend.ended()

    run(scenario())


@pytest.mark.parametrize(
    ("lines", "sent"),
    [
        (["Content-Length: 60000000"], b""),
        (["Transfer-Encoding: chunked"], chunked(b"y" * (MAX_BODY_BYTES + MB), MB)),
    ],
    ids=["declared", "chunked"],
)
def test_a_body_over_the_limit_is_rejected(tmp_path: Path, lines: list[str], sent: bytes) -> None:
    async def scenario() -> None:
        async with proxy_with_backend(tmp_path, DigestBackend()) as proxy:
            reader, writer = await proxy.connect()
            writer.write(request_head("r", *lines) + sent)
            assert (await read_response(reader))[0] == "413"

    run(scenario())


OK = b"HTTP/1.1 200 OK\r\n"
RESPONSES = {
    "length": ([OK + b"Content-Length: %d\r\n\r\n" % len(LONG) + LONG], False),
    "chunks and a trailer": ([OK + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(LONG, 9_999)], False),
    "to the connection's end": ([OK + b"Connection: close\r\n\r\n" + LONG], True),
    "an interim response before": (
        [b"HTTP/1.1 103 X\r\nA: b\r\n\r\n" + OK + b"Content-Length: %d\r\n\r\n" % len(LONG) + LONG], False
    ),
}  # fmt: skip


@pytest.mark.parametrize("version", ["1.1", "1.0"])
@pytest.mark.parametrize("response", RESPONSES)
def test_a_long_response_arrives_complete_at_clients_of_any_version(
    tmp_path: Path, response: str, version: str
) -> None:
    pieces, closes = RESPONSES[response]

    async def scenario() -> None:
        async with proxy_with_backend(tmp_path, PiecewiseBackend(*pieces, closes=closes)) as proxy:
            for _ in range(2):
                reader, writer = await proxy.connect()
                writer.write(request("r", "read").replace(b"HTTP/1.1", b"HTTP/" + version.encode()))
                head = await read_head(reader)
                assert head[""].split()[1] == "200"
                assert version == "1.1" or "transfer-encoding" not in head
                assert await read_body(reader, head) == LONG
                writer.close()

    run(scenario())


def test_the_first_bytes_of_a_long_response_are_forwarded_before_the_rest_arrives(tmp_path: Path) -> None:
    async def scenario() -> None:
        first = OK + b"Content-Length: %d\r\n\r\n" % len(LONG) + LONG[:5000]
        backend = PiecewiseBackend(first, LONG[5000:])
        async with proxy_with_backend(tmp_path, backend) as proxy:
            reader, writer = await proxy.connect()
            writer.write(request("r", "read"))
            head = await read_head(reader)
            assert await reader.readexactly(5000) == LONG[:5000]
            backend.more.release()  # The backend sends the rest only now.
            assert await reader.readexactly(len(LONG) - 5000) == LONG[5000:]
            assert int(head["content-length"]) == len(LONG)

    run(scenario())


@pytest.mark.parametrize("form", ["length", "chunks"])
def test_a_long_response_cut_off_by_its_backend_is_cut_off_for_its_client(tmp_path: Path, form: str) -> None:
    """The client must not mistake a part for the complete response, and the proxy continues to serve."""
    lines = b"Content-Length: 3000000\r\n" if form == "length" else b"Transfer-Encoding: chunked\r\n"
    part = LONG[:500_000] if form == "length" else chunked(LONG[:500_000], 5_000)[:-20]

    async def scenario() -> None:
        async with proxy_with_backend(
            tmp_path, PiecewiseBackend(OK + lines + b"\r\n" + part, closes=True)
        ) as proxy:
            for _ in range(2):
                reader, writer = await proxy.connect()
                writer.write(request("r", "read"))
                head = await read_head(reader)
                with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                    await read_body(reader, head)

    run(scenario())


def test_a_client_that_reads_nothing_costs_little_memory_and_its_disconnection_ends_the_response(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        endless = OK + b"Content-Length: %d\r\n\r\n" % (30 * MB) + b"z" * (30 * MB)
        backend = PiecewiseBackend(endless)
        async with proxy_with_backend(tmp_path, backend) as proxy:
            before = memory_kb(proxy.process.pid)
            clients = [await proxy.connect() for _ in range(6)]
            for number, (_, writer) in enumerate(clients):
                writer.transport.pause_reading()  # type: ignore[attr-defined]
                writer.write(request(f"r{number}", "read"))
            while backend.opened < 6:
                await asyncio.sleep(0)
            await assert_serving_within(proxy, before + 16 * 1024)
            for _, writer in clients:
                writer.transport.abort()
            for end in list(backend.ends.values()):
                await end.wait()

    run(scenario())


def test_a_drain_waits_for_long_responses(tmp_path: Path) -> None:
    async def scenario() -> None:
        backend = PiecewiseBackend(OK + b"Content-Length: %d\r\n\r\n" % len(LONG) + LONG[:MB], LONG[MB:])
        async with proxy_with_backend(tmp_path, backend) as proxy:
            reader, writer = await proxy.connect()
            writer.write(request("r", "read"))
            head = await read_head(reader)
            proxy.signal(signal.SIGTERM)
            backend.more.release()
            assert await read_body(reader, head) == LONG
            assert await proxy.process.wait() == 0

    run(scenario())


def test_an_upload_keeps_its_bytes_for_a_retry_up_to_a_limit_and_releases_its_memory() -> None:
    class Peer:
        def __init__(self) -> None:
            self.received, self.pauses, self.ended = b"", list[bool](), False

        def write_body(self, data: bytes) -> None:
            self.received += data

        def finish_body(self) -> None:
            self.ended = True

        def is_blocked(self) -> bool:
            return False

        def is_taking(self, now: float) -> bool:
            return True

        def set_body_blocked(self, blocked: bool) -> None:
            self.pauses.append(blocked)

    client, first, second = Peer(), Peer(), Peer()
    memory = MemoryAccount(4 * MAX_BUFFERED_REQUEST_BYTES)
    assert memory.reserve(MemoryUse.REQUESTS, MAX_BUFFERED_REQUEST_BYTES + 1)
    upload = RequestBodyStream(client, memory, b"a" * (MAX_BUFFERED_REQUEST_BYTES + 1), chunked=False)
    upload.feed(b"b")
    assert client.pauses == [True]  # No sink is attached yet.
    upload.attach(first)
    assert client.pauses[-1] is False and first.received.endswith(b"ab")
    upload.detach(first)
    assert upload.can_restart()
    upload.attach(second)
    assert second.received == first.received
    upload.feed(b"c" * MAX_BUFFERED_REQUEST_BYTES)  # More than the limit for retries.
    assert not upload.can_restart() and memory.used == 0
    late = Peer()
    small_memory = MemoryAccount(MAX_BUFFERED_REQUEST_BYTES + 1)
    assert small_memory.reserve(MemoryUse.REQUESTS, MAX_BUFFERED_REQUEST_BYTES + 1)
    waiting = RequestBodyStream(client, small_memory, b"a" * (MAX_BUFFERED_REQUEST_BYTES + 1), chunked=False)
    waiting.feed(b"b" * MAX_BUFFERED_REQUEST_BYTES)  # Over the limit, and no sink is attached.
    assert waiting.can_restart() and client.pauses[-1] is True
    waiting.attach(late)
    assert len(late.received) == 2 * MAX_BUFFERED_REQUEST_BYTES + 1
    waiting.feed(b"c")
    assert not waiting.can_restart() and late.received.endswith(b"bc") and small_memory.used == 0
    upload.detach(first)  # A sink that is not attached any more.
    upload.finish()
    assert second.ended and len(second.received) == 2 * MAX_BUFFERED_REQUEST_BYTES + 2 and not first.ended
