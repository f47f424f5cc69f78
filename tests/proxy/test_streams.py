"""Bodies longer than what is held, both ways, on the real program: whole, bounded, cut off."""

from __future__ import annotations

import asyncio
import hashlib
import os
import signal
from pathlib import Path

import pytest

from heronreel.proxy.budget import ByteBudget
from heronreel.proxy.streams import MAX_BODY_BYTES, MAX_BUFFERED_REQUEST_BYTES, RequestBodyStream
from tests.support.loopback import (
    Discovery,
    Listener,
    Node,
    answer_of,
    configuration,
    entry,
    head_of,
    node,
    one_behind,
    request,
    request_of,
    run,
)

MB = 1 << 20
LONG = os.urandom(1 << 16) * 48  # 3 MiB
SAVE = "POST /save/obj1 HTTP/1.1\r\nHost: x\r\nX-Request-Id: {}\r\nIdempotency-Key: k\r\n{}\r\n"


def chunked(body: bytes, step: int) -> bytes:
    parts = (body[at : at + step] for at in range(0, len(body), step))
    return b"".join(b"%x;n=1\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\nX-Sum: 1\r\n\r\n"


def head(ident: str, *lines: str) -> bytes:
    return SAVE.format(ident, "".join(f"{line}\r\n" for line in lines)).encode()


async def body_of(reader: asyncio.StreamReader, told: dict[str, str]) -> bytes:
    """A body of any framing; raises IncompleteReadError for one that is cut off."""
    if "content-length" in told:
        return await reader.readexactly(int(told["content-length"]))
    if "transfer-encoding" not in told:
        return await reader.read()
    whole = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        whole += (await reader.readexactly(size + 2))[:-2]
    while await reader.readuntil(b"\r\n") != b"\r\n":
        pass
    return whole


class Digests(Listener):
    """Answers a request of any length with its digest, or does what `answers` says, once for each request."""

    def __init__(self, *answers: bytes) -> None:
        super().__init__(self._talk)
        self.answers = list(answers)
        self.heads: list[dict[str, str]] = []
        self.begun = asyncio.Event()

    async def _talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            told = await head_of(reader)
            self.heads.append(told)
            self.begun.set()
            body = await body_of(reader, told)
            said = hashlib.sha256(body).hexdigest().encode()
            if self.answers:
                writer.write(self.answers.pop(0))
                continue
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(said), said))


class Gives(Listener):
    """Answers each request with these pieces, `more` before each but the first, and ends if told so."""

    def __init__(self, *pieces: bytes, ends: bool = False) -> None:
        super().__init__(self._talk)
        self.pieces, self.ends_it, self.more = pieces, ends, asyncio.Semaphore(0)

    async def _talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await request_of(reader)
            for number, piece in enumerate(self.pieces):
                if number:
                    await self.more.acquire()
                writer.write(piece)
                await writer.drain()
            if self.ends_it:
                writer.close()
                return


FRAMINGS = {
    "length": ([f"Content-Length: {len(LONG)}"], LONG),
    "chunks": (["Transfer-Encoding: chunked"], chunked(LONG, 50_000)),
    "small chunks": (["Transfer-Encoding: chunked"], chunked(LONG[: 1 * MB], 700)),
    "held": (["Content-Length: 300000"], LONG[:300_000]),
}


@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_long_body_comes_whole_and_the_connection_goes_on(tmp_path: Path, framing: str) -> None:
    lines, sent = FRAMINGS[framing]
    size = {"small chunks": MB, "held": 300_000}.get(framing, len(LONG))
    digest = hashlib.sha256(LONG[:size]).hexdigest().encode()

    async def talk() -> None:
        backend = Digests()
        async with one_behind(tmp_path, backend) as proxy:
            reader, writer = await proxy.connect()
            for number in range(2):
                writer.write(head(f"r{number}", *lines))
                if number:  # in pieces that cut anything anywhere
                    for at in range(0, len(sent), 70_001):
                        writer.write(sent[at : at + 70_001])
                        await writer.drain()
                else:
                    writer.write(sent)
                assert await answer_of(reader) == ("200", digest)
            assert len(backend.heads) == 2 and "x-deadline-ms" in backend.heads[0]

    run(talk())


def test_the_length_of_a_body_bounds_no_memory(tmp_path: Path) -> None:
    """A backend that reads nothing: the client is made to wait, and the proxy stays small."""

    async def talk() -> None:
        halt = asyncio.Event()
        told: list[bytes] = []

        async def deaf(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            told.append(await reader.readuntil(b"\r\n\r\n"))
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            halt.set()
            await asyncio.Event().wait()

        backend = Listener(deaf)
        async with one_behind(tmp_path, backend) as proxy:
            before = memory_kb(proxy.process.pid)
            clients = [await proxy.connect() for _ in range(4)]
            for number, (_, writer) in enumerate(clients):
                writer.write(head(f"d{number}", f"Content-Length: {30 * MB}"))
                writer.write(b"x" * (30 * MB))
            await halt.wait()
            await serves_within(proxy, before + 16 * 1024)
            for _, writer in clients:
                writer.transport.abort()

    run(talk())


def test_a_long_body_that_finds_no_room_reaches_no_backend_in_part(tmp_path: Path) -> None:
    async def talk() -> None:
        backend = Digests()
        async with one_behind(tmp_path, backend, memory_mb=30) as proxy:  # 1 MiB for bodies
            _, first = await proxy.connect()
            first.write(head("r1", f"Content-Length: {len(LONG)}") + LONG[:900_000])
            await backend.begun.wait()
            reader, writer = await proxy.connect()
            writer.write(head("r2", "Content-Length: 2000000") + LONG[:2_000_000])
            assert (await answer_of(reader))[0] == "503"
            assert [told["x-request-id"] for told in backend.heads] == ["r1"]
            first.transport.abort()

    run(talk())


async def serves_within(proxy: Node, most_kb: int) -> None:
    """It still answers, and holds no more than that."""
    reader, writer = await proxy.connect()
    writer.write(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
    assert (await answer_of(reader))[0] == "200"
    assert memory_kb(proxy.process.pid) < most_kb


def memory_kb(process: int) -> int:
    lines = Path(f"/proc/{process}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS"))


def test_what_a_backend_turns_away_goes_to_it_again_from_the_first_byte(tmp_path: Path) -> None:
    """Only as long as all that came is still there."""
    away = b"HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"

    async def talk() -> None:
        for size, status, tries in ((900_000, "200", 2), (len(LONG), "503", 1)):
            one, two = Digests(away), Digests()
            two.answers = one.answers  # whoever is asked first turns it away
            async with one, two:
                known = [entry("b1", one.address), entry("b2", two.address)]
                async with Discovery(*known) as discovery:
                    async with node(tmp_path, configuration(discovery.address, *known)) as proxy:
                        reader, writer = await proxy.connect()
                        writer.write(head("r", f"Content-Length: {size}") + LONG[:size])
                        told, body = await answer_of(reader)
                        assert (told, len(one.heads) + len(two.heads)) == (status, tries)
                        if tries == 2:
                            assert body.decode() == hashlib.sha256(LONG[:size]).hexdigest()

    run(talk())


def test_a_client_that_leaves_or_stops_half_way_ends_what_went_out(tmp_path: Path) -> None:
    async def talk() -> None:
        for leaves in (True, False):
            backend = Digests()
            async with one_behind(tmp_path, backend) as proxy:
                reader, writer = await proxy.connect()
                writer.write(head("r", f"Content-Length: {len(LONG)}") + LONG[:MB])
                await backend.begun.wait()
                if leaves:
                    writer.transport.abort()
                else:
                    assert (await answer_of(reader))[0] == "408"
                await backend.ended()

    run(talk())


@pytest.mark.parametrize(
    ("lines", "sent"),
    [
        (["Content-Length: 60000000"], b""),
        (["Transfer-Encoding: chunked"], chunked(b"y" * (MAX_BODY_BYTES + MB), MB)),
    ],
    ids=["told", "not told"],
)
def test_more_than_any_body_may_have_is_refused(tmp_path: Path, lines: list[str], sent: bytes) -> None:
    async def talk() -> None:
        async with one_behind(tmp_path, Digests()) as proxy:
            reader, writer = await proxy.connect()
            writer.write(head("r", *lines) + sent)
            assert (await answer_of(reader))[0] == "413"

    run(talk())


OK = b"HTTP/1.1 200 OK\r\n"
ANSWERS = {
    "length": ([OK + b"Content-Length: %d\r\n\r\n" % len(LONG) + LONG], False),
    "chunks and a trailer": ([OK + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(LONG, 9_999)], False),
    "to the connection's end": ([OK + b"Connection: close\r\n\r\n" + LONG], True),
    "an interim answer before": (
        [b"HTTP/1.1 103 X\r\nA: b\r\n\r\n" + OK + b"Content-Length: %d\r\n\r\n" % len(LONG) + LONG], False
    ),
}  # fmt: skip


@pytest.mark.parametrize("version", ["1.1", "1.0"])
@pytest.mark.parametrize("answer", ANSWERS)
def test_a_long_answer_comes_whole_to_clients_of_any_age(tmp_path: Path, answer: str, version: str) -> None:
    pieces, ends = ANSWERS[answer]

    async def talk() -> None:
        async with one_behind(tmp_path, Gives(*pieces, ends=ends)) as proxy:
            for _ in range(2):
                reader, writer = await proxy.connect()
                writer.write(request("r", "read").replace(b"HTTP/1.1", b"HTTP/" + version.encode()))
                told = await head_of(reader)
                assert told[""].split()[1] == "200"
                assert version == "1.1" or "transfer-encoding" not in told
                assert await body_of(reader, told) == LONG
                writer.close()

    run(talk())


def test_the_first_bytes_of_a_long_answer_do_not_wait_for_the_rest(tmp_path: Path) -> None:
    async def talk() -> None:
        first = OK + b"Content-Length: %d\r\n\r\n" % len(LONG) + LONG[:5000]
        backend = Gives(first, LONG[5000:])
        async with one_behind(tmp_path, backend) as proxy:
            reader, writer = await proxy.connect()
            writer.write(request("r", "read"))
            told = await head_of(reader)
            assert await reader.readexactly(5000) == LONG[:5000]  # and only then comes the rest
            backend.more.release()
            assert await reader.readexactly(len(LONG) - 5000) == LONG[5000:]
            assert int(told["content-length"]) == len(LONG)

    run(talk())


@pytest.mark.parametrize("form", ["length", "chunks"])
def test_a_long_answer_cut_off_by_its_backend_is_cut_off_for_its_client(tmp_path: Path, form: str) -> None:
    """Nobody may take a part for the whole, and the proxy goes on."""
    lines = b"Content-Length: 3000000\r\n" if form == "length" else b"Transfer-Encoding: chunked\r\n"
    part = LONG[:500_000] if form == "length" else chunked(LONG[:500_000], 5_000)[:-20]

    async def talk() -> None:
        async with one_behind(tmp_path, Gives(OK + lines + b"\r\n" + part, ends=True)) as proxy:
            for _ in range(2):
                reader, writer = await proxy.connect()
                writer.write(request("r", "read"))
                told = await head_of(reader)
                with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                    await body_of(reader, told)

    run(talk())


def test_a_client_that_reads_nothing_holds_little_and_ends_the_answer_by_leaving(tmp_path: Path) -> None:
    async def talk() -> None:
        endless = OK + b"Content-Length: %d\r\n\r\n" % (30 * MB) + b"z" * (30 * MB)
        backend = Gives(endless)
        async with one_behind(tmp_path, backend) as proxy:
            before = memory_kb(proxy.process.pid)
            clients = [await proxy.connect() for _ in range(6)]
            for number, (_, writer) in enumerate(clients):
                writer.transport.pause_reading()  # type: ignore[attr-defined]
                writer.write(request(f"r{number}", "read"))
            while backend.opened < 6:
                await asyncio.sleep(0)
            await serves_within(proxy, before + 16 * 1024)
            for _, writer in clients:
                writer.transport.abort()
            for end in list(backend.ends.values()):
                await end.wait()

    run(talk())


def test_a_drain_lets_long_ones_under_way_end(tmp_path: Path) -> None:
    async def talk() -> None:
        backend = Gives(OK + b"Content-Length: %d\r\n\r\n" % len(LONG) + LONG[:MB], LONG[MB:])
        async with one_behind(tmp_path, backend) as proxy:
            reader, writer = await proxy.connect()
            writer.write(request("r", "read"))
            told = await head_of(reader)
            proxy.signal(signal.SIGTERM)
            backend.more.release()
            assert await body_of(reader, told) == LONG
            assert await proxy.process.wait() == 0

    run(talk())


def test_an_upload_keeps_what_may_be_sent_again_and_gives_back_what_it_took() -> None:
    class Peer:
        def __init__(self) -> None:
            self.received, self.pauses, self.ended = b"", list[bool](), False

        def write_body(self, data: bytes) -> None:
            self.received += data

        def finish_body(self) -> None:
            self.ended = True

        def set_reading_paused(self, paused: bool) -> None:
            self.pauses.append(paused)

    client, first, second = Peer(), Peer(), Peer()
    budget = ByteBudget(4 * MAX_BUFFERED_REQUEST_BYTES)
    assert budget.reserve(MAX_BUFFERED_REQUEST_BYTES + 1)
    upload = RequestBodyStream(client, budget, b"a" * (MAX_BUFFERED_REQUEST_BYTES + 1), chunked=False)
    upload.feed(b"b")
    assert client.pauses == [True]  # nowhere to send it yet
    upload.attach(first)
    assert client.pauses[-1] is False and first.received.endswith(b"ab")
    upload.detach(first)
    assert upload.can_restart()
    upload.attach(second)
    assert second.received == first.received
    upload.feed(b"c" * MAX_BUFFERED_REQUEST_BYTES)  # more than is kept
    assert not upload.can_restart() and budget.used == 0
    late = Peer()
    tight = ByteBudget(MAX_BUFFERED_REQUEST_BYTES + 1)
    assert tight.reserve(MAX_BUFFERED_REQUEST_BYTES + 1)
    waits = RequestBodyStream(client, tight, b"a" * (MAX_BUFFERED_REQUEST_BYTES + 1), chunked=False)
    waits.feed(b"b" * MAX_BUFFERED_REQUEST_BYTES)  # no room for it, and nowhere to send it
    assert waits.can_restart() and client.pauses[-1] is True
    waits.attach(late)
    assert len(late.received) == 2 * MAX_BUFFERED_REQUEST_BYTES + 1
    waits.feed(b"c")
    assert not waits.can_restart() and late.received.endswith(b"bc") and tight.used == 0
    upload.detach(first)  # one that has it no more
    upload.finish()
    assert second.ended and len(second.received) == 2 * MAX_BUFFERED_REQUEST_BYTES + 2 and not first.ended
