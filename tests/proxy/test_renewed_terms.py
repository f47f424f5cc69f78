"""The operators' renewed terms at their figures, over real connections against the program as a process.

Terms that an existing test shows just so are not shown again here: what a pipelined or a late request does
once its client has closed is in test_race_conditions.py, what malformed clients get in test_bad_clients.py.
"""

import asyncio
import random
import resource
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

import pytest

from tests.proxy.test_race_conditions import late_backend, with_timeouts
from tests.support.attempt_log import AttemptLog, Fate, after, hang, reset
from tests.support.loopback import (
    SETTINGS,
    Backend,
    Discovery,
    Listener,
    ProxyProcess,
    configuration,
    entry,
    ok,
    read_request,
    read_response,
    request,
    reserved_port,
    run,
    running_proxy,
)

TOLD_SLACK_S = 0.15  # more than what is left to the client that an attempt may tell
GONE_SLACK_S = 0.1  # after a client has closed that an attempt may begin
READY_S = 6.0  # from the start of a process to its first answer
TURNED_AWAY_S = 4.0  # on end that a proxy may turn away all that it gets, while backends have room
SLOW_REQUEST_S = 4.0  # within which one that is written slowly has its answer, or its end
FULL = b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
ERROR = b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
UNSAFE_CLASS = {"Name": "charge", "OnTimeMs": 1500.0, "HardLimitMs": 6000.0, "Effect": "at_most_once"}


def settings(**limits: Any) -> dict[str, Any]:
    """The usual settings with a class that is unsafe to repeat."""
    classes = [*SETTINGS["Categories"], UNSAFE_CLASS]
    return SETTINGS | {"Categories": classes, "Limits": SETTINGS["Limits"] | limits}


def with_deadline(ident: str, klass: str, deadline_ms: int) -> bytes:
    return request(ident, klass, extra=f"X-Deadline-Ms: {deadline_ms}\r\n")


def unsafe_request(ident: str, deadline_ms: int) -> bytes:
    """A POST without a key."""
    lines = with_deadline(ident, "charge", deadline_ms).split(b"\r\n")
    return b"\r\n".join(line for line in lines if not line.lower().startswith(b"idempotency-key"))


@asynccontextmanager
async def proxy_of(path: Path, *addresses: str, **limits: Any) -> AsyncIterator[ProxyProcess]:
    """A proxy whose discovery has backends at these addresses."""
    known = [entry(f"b{number}", address) for number, address in enumerate(addresses)]
    async with Discovery(*known) as discovery:
        config = configuration(discovery.address, *known, sockets=limits.pop("sockets", 256))
        async with running_proxy(path, config | {"settings": settings(**limits)}) as proxy:
            yield proxy


# The time that attempts tell.


@pytest.mark.parametrize("failure", [ERROR, FULL], ids=["error", "full"])
def test_further_attempts_tell_no_more_than_what_is_left_to_the_client(
    tmp_path: Path, failure: bytes
) -> None:
    async def scenario() -> None:
        backends = [AttemptLog(after(0.3, failure)) for _ in range(3)]
        async with backends[0], backends[1], backends[2]:
            async with proxy_of(tmp_path, *(backend.address for backend in backends)) as proxy:
                reader, writer = await proxy.connect()
                sent_at = time.monotonic()
                writer.write(with_deadline("a1", "read", 3000))
                await read_response(reader)
                assert sum(len(backend.began) for backend in backends) >= 2
                assert [backend.told_too_much(sent_at, 3000, TOLD_SLACK_S) for backend in backends] == [
                    [],
                    [],
                    [],
                ]

    run(scenario())


def test_an_attempt_whose_connection_comes_up_late_tells_what_is_left(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with late_backend() as backend, Discovery(entry("b1", backend.address)) as discovery:
            config = with_timeouts(configuration(discovery.address, entry("b1", backend.address)), 5_000.0)
            async with running_proxy(tmp_path, config) as proxy:
                reader, writer = await proxy.connect()
                sent_at = time.monotonic()
                writer.write(with_deadline("a1", "read", 5000))
                while not proxy.connecting():
                    await asyncio.sleep(0.005)
                await asyncio.sleep(0.8)  # up to 1 s late on the operators' days
                backend.go.set()
                assert await read_response(reader) == ("200", b"done")
                (told,) = (
                    line
                    for data in backend.received
                    for line in data.split(b"\r\n")
                    if b"x-deadline-ms" in line
                )
                left_s = sent_at + 5.0 - time.monotonic()  # less than what was left when it began
                assert int(told.split()[1]) / 1000.0 <= left_s + TOLD_SLACK_S

    run(scenario())


# Requests that are unsafe to repeat.

FAILURES: dict[str, tuple[Fate, str]] = {
    "answers late": (hang, "504"),
    "resets": (reset, "502"),
    "fails": (after(0.0, ERROR), "502"),
    "rejects without the word that it never ran": (after(0.0, FULL.replace(b"X-Not-Run: 1\r\n", b"")), "502"),
    "answers with noise": (after(0.0, b"\x00noise\r\n\r\n"), "502"),
}


@pytest.mark.parametrize("failure", FAILURES)
def test_an_unsafe_request_that_may_have_run_is_not_sent_again(tmp_path: Path, failure: str) -> None:
    async def scenario() -> None:
        answer, status = FAILURES[failure]
        one, two = AttemptLog(answer), AttemptLog(answer)
        async with one, two, proxy_of(tmp_path, one.address, two.address) as proxy:
            for number in range(4):
                reader, writer = await proxy.connect()
                writer.write(unsafe_request(f"a{number}", 700))
                assert (await read_response(reader))[0] == status
                writer.close()
            assert sorted(one.idents() + two.idents()) == ["a0", "a1", "a2", "a3"]

    run(scenario())


@pytest.mark.parametrize("failure", ["refuses connections", "says that it never ran"])
def test_an_unsafe_request_that_never_ran_is_sent_again_and_served(tmp_path: Path, failure: str) -> None:
    async def scenario() -> None:
        good, full = AttemptLog(after(0.0, ok(b"done"))), AttemptLog(after(0.0, FULL))
        with reserved_port() as port:
            async with good, full:
                bad = f"127.0.0.1:{port}" if failure.startswith("refuses") else full.address
                async with proxy_of(tmp_path, good.address, bad) as proxy:
                    for number in range(6):
                        reader, writer = await proxy.connect()
                        writer.write(unsafe_request(f"a{number}", 2000))
                        assert await read_response(reader) == ("200", b"done")
                        writer.close()
                assert good.idents() == [f"a{number}" for number in range(6)]

    run(scenario())


def test_an_unsafe_request_whose_connection_comes_up_late_runs_once(tmp_path: Path) -> None:
    """Given up and sent to the other backend, it is not written to the late connection as well."""

    async def scenario() -> None:
        good = AttemptLog(after(2.0, ok(b"done")))  # the kernel resends the packet of a connect after 1 s
        async with late_backend() as late, good:
            async with proxy_of(tmp_path, late.address, good.address, ConnectTimeoutMs=300.0) as proxy:
                clients = [await proxy.connect() for _ in range(6)]
                for number, (_, writer) in enumerate(clients):
                    writer.write(unsafe_request(f"a{number}", 3000))
                while not proxy.connecting():
                    await asyncio.sleep(0.005)
                while len(good.began) < 6:  # all of them have been given up at the late one
                    await asyncio.sleep(0.005)
                late.go.set()
                answers = [await read_response(reader) for reader, _ in clients]
                assert answers == [("200", b"done")] * 6
                assert sorted(good.idents()) == [f"a{number}" for number in range(6)]
                assert late.received == []

    run(scenario())


# Many requests at once.

PIPELINED = 6  # in one go; the program takes up to nine


async def read_all(reader: asyncio.StreamReader, count: int) -> list[tuple[str, bytes]]:
    return [await read_response(reader) for _ in range(count)]


def test_pipelined_requests_cut_at_any_byte_are_answered_in_order(tmp_path: Path) -> None:
    """The first piece has been read, up to its last byte, when the first response comes."""

    async def scenario() -> None:
        async with Backend() as backend, proxy_of(tmp_path, backend.address) as proxy:
            reader, writer = await proxy.connect()
            length = len(request("c000-0"))
            for cut in range(length + 1):
                idents = [f"c{cut:03}-{number}" for number in range(3)]
                whole = b"".join(request(ident) for ident in idents)
                writer.write(whole[: length + cut])
                assert await read_response(reader) == ("200", idents[0].encode()), f"cut {cut}"
                writer.write(whole[length + cut :])
                answers = [("200", ident.encode()) for ident in idents[1:]]
                assert await read_all(reader, 2) == answers, f"cut {cut}"

    run(scenario())


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_many_requests_in_pieces_are_answered_in_order_whatever_their_backends_take(
    tmp_path: Path, seed: int
) -> None:
    async def scenario() -> None:
        draw = random.Random(seed)

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                head, _ = await read_request(reader)
                await asyncio.sleep(draw.uniform(0.0, 0.02))
                writer.write(ok(head["x-request-id"].encode()))

        async def converse(proxy: ProxyProcess, client: int) -> None:
            reader, writer = await proxy.connect()
            for turn in range(5):
                idents = [f"p{client}-{turn}-{number}" for number in range(PIPELINED)]
                whole = b"".join(request(ident, draw.choice(["save", "read"])) for ident in idents)
                while whole:
                    size = draw.choice([1, 2, 7, 64, len(whole)])
                    writer.write(whole[:size])
                    whole = whole[size:]
                    await asyncio.sleep(0.0)
                answers = [("200", ident.encode()) for ident in idents]
                assert await read_all(reader, PIPELINED) == answers, f"seed {seed}"

        async with Listener(serve) as one, Listener(serve) as two:
            async with proxy_of(tmp_path, one.address, two.address) as proxy:
                await asyncio.gather(*(converse(proxy, client) for client in range(8)))

    run(scenario())


@pytest.mark.parametrize("seed", [1, 2])
def test_no_pipelined_request_begins_long_after_its_client_has_closed(tmp_path: Path, seed: int) -> None:
    async def scenario() -> None:
        draw = random.Random(seed)
        backend = AttemptLog(after(2.0 * GONE_SLACK_S, ok(b"done")))  # so that a turn comes too late
        closed_at: dict[str, float] = {}

        async def send_and_go(proxy: ProxyProcess, client: str) -> None:
            _, writer = await proxy.connect()
            writer.write(b"".join(request(f"{client}-{number}") for number in range(PIPELINED)))
            await asyncio.sleep(draw.uniform(0.0, 0.9))
            writer.close()
            closed_at[client] = time.monotonic()

        async with backend, proxy_of(tmp_path, backend.address) as proxy:
            await asyncio.gather(*(send_and_go(proxy, f"g{number}") for number in range(20)))
            assert (await proxy.send_request("last-0"))[0] == "200"
            while backend.out:
                await asyncio.sleep(0.005)
            for at, head in backend.began:
                client = head["x-request-id"].partition("-")[0]
                assert at <= closed_at.get(client, at) + GONE_SLACK_S, (client, f"seed {seed}")
            assert len(backend.began) < 20 * PIPELINED  # some had left, or this shows nothing

    run(scenario())


# Slow writers.


async def write_slowly(proxy: ProxyProcess, sent: bytes, interval_s: float) -> tuple[str, float]:
    """The status that a request gets which comes byte by byte, and when."""
    reader, writer = await proxy.connect()
    began_at = time.monotonic()
    answer = asyncio.create_task(read_response(reader))
    for place in range(len(sent)):
        if answer.done():
            break
        with suppress(ConnectionError):
            writer.write(sent[place : place + 1])
        await asyncio.wait([answer], timeout=interval_s)
    status, _ = await answer
    took_s = time.monotonic() - began_at
    writer.close()
    return status, took_s


def test_slow_writers_get_an_answer_or_an_end_in_time_while_usual_clients_are_served(tmp_path: Path) -> None:
    """30 would take over 15 s, in their heads or their bodies, and 10 are done in less than 2 s."""

    async def scenario() -> None:
        async with Backend() as backend, proxy_of(tmp_path, backend.address, sockets=128) as proxy:
            endless = [request(f"e{number}", body=b"x" * 150) for number in range(30)]
            from_body = [write_slowly(proxy, sent, 0.1) for sent in endless[:15]]
            from_head = [write_slowly(proxy, sent[:-160], 0.1) for sent in endless[15:]]
            brisk = [write_slowly(proxy, request(f"s{number}"), 0.005) for number in range(10)]
            slow = asyncio.gather(*from_body, *from_head)
            done = asyncio.gather(*brisk)
            served = 0
            while not slow.done():
                async with asyncio.timeout(2.0):
                    assert (await proxy.send_request(f"u{served}"))[0] == "200"
                served += 1
            assert served >= 20
            for status, took_s in await slow:
                assert status in ("408", "closed") and took_s <= SLOW_REQUEST_S, (status, took_s)
            assert [status for status, _ in await done] == ["200"] * 10
            assert not any(ident.startswith("e") for ident in backend.seen)

    run(scenario())


# Descriptors.


def test_connections_beyond_the_descriptor_limit_are_answered_or_shut_and_the_others_are_served(
    tmp_path: Path,
) -> None:
    """The kernel holds the program to its limit; all that is in flight waits for its backend meanwhile."""

    async def scenario() -> None:
        go = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                head, _ = await read_request(reader)
                if not head["x-request-id"].startswith("z"):
                    await go.wait()
                writer.write(ok(head["x-request-id"].encode()))

        async with Listener(serve) as backend, proxy_of(tmp_path, backend.address, sockets=128) as proxy:
            resource.prlimit(proxy.process.pid, resource.RLIMIT_NOFILE, (128, 128))
            clients = [await proxy.connect() for _ in range(300)]
            for number, (_, writer) in enumerate(clients):
                with suppress(ConnectionError):
                    writer.write(request(f"a{number}"))
            answers = asyncio.gather(*(read_response(reader) for reader, _ in clients))
            await asyncio.sleep(0.3)
            assert proxy.descriptors() <= 128
            go.set()
            found = await answers
            expected = [("200", f"a{number}".encode()) for number in range(300)]
            odd = [each for each, usual in zip(found, expected, strict=True) if each != usual]
            assert {status for status, _ in odd} <= {"503", "429", "closed"}, odd[:5]
            assert len(odd) <= 280
            for _, writer in clients:
                writer.close()
            assert await proxy.send_request("z1") == ("200", b"z1")

    run(scenario())


# A new process.


async def refuse_call(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await read_request(reader)
    writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")


async def stay_silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.read()


@asynccontextmanager
async def discovery_that(state: str, member: dict[str, Any]) -> AsyncIterator[str]:
    """The address of a list service in that state."""
    if state == "is not there":
        with reserved_port() as port:
            yield f"127.0.0.1:{port}"
        return
    down = refuse_call if state == "refuses" else stay_silent
    async with Discovery(member) if state == "is up" else Listener(down) as service:
        yield service.address


async def first_answer(proxy: ProxyProcess) -> tuple[str, bytes]:
    """Of a process that may not listen yet."""
    while True:
        with suppress(ConnectionError):
            return await proxy.send_request("a1")
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("mode", ["ask", "push"])
@pytest.mark.parametrize("state", ["is up", "is not there", "is silent", "refuses"])
def test_a_new_process_answers_in_time_whether_discovery_is_up_or_down(
    tmp_path: Path, state: str, mode: str
) -> None:
    async def scenario() -> None:
        async with Backend() as backend:
            member = entry("b1", backend.address)
            async with discovery_that(state, member) as address:
                config = configuration(address, member)
                config["settings"] = settings() | {"Discovery": mode}
                began_at = time.monotonic()
                async with running_proxy(tmp_path, config, until_listening=False) as proxy:
                    assert await first_answer(proxy) == ("200", b"a1")
                    assert time.monotonic() - began_at <= READY_S

    run(scenario())


# A proxy that turns all away.


@pytest.mark.parametrize("burst", ["is turned away", "queues", "hangs"])
def test_after_a_burst_that_fills_the_backends_an_attempt_follows_in_time(tmp_path: Path, burst: str) -> None:
    """200 requests/s for 2 s, of which the backends take none in time; then there is room, and 20/s come."""

    async def scenario() -> None:
        has_room = False

        async def answer(writer: asyncio.StreamWriter) -> None:
            if has_room:
                writer.write(ok(b"done"))
            elif burst == "is turned away":
                writer.write(FULL)
            elif burst == "queues":
                await asyncio.sleep(1.0)
                writer.write(ok(b"late"))
            else:
                await hang(writer)

        async def send(proxy: ProxyProcess, ident: str) -> str:
            reader, writer = await proxy.connect()
            writer.write(with_deadline(ident, "save", 1500))
            status, _ = await read_response(reader)
            writer.close()
            return status

        async with AttemptLog(answer) as one, AttemptLog(answer) as two:
            async with proxy_of(tmp_path, one.address, two.address, sockets=1024) as proxy:
                pending = []
                for number in range(400):
                    pending.append(asyncio.create_task(send(proxy, f"f{number}")))
                    await asyncio.sleep(0.005)
                has_room = True
                room_at = time.monotonic()
                served = False
                while not served and time.monotonic() < room_at + TURNED_AWAY_S:
                    pending.append(asyncio.create_task(send(proxy, f"r{len(pending)}")))
                    await asyncio.sleep(0.05)
                    began = one.idents() + two.idents()
                    served = any(ident.startswith("r") for ident in began)
                assert served
                await asyncio.gather(*pending)

    run(scenario())


def test_a_pipelined_request_tells_no_more_than_what_is_left(tmp_path: Path) -> None:
    async def scenario() -> None:
        backend = AttemptLog(after(0.4, ok(b"done")))
        async with backend, proxy_of(tmp_path, backend.address) as proxy:
            reader, writer = await proxy.connect()
            sent_at = time.monotonic()
            writer.write(b"".join(with_deadline(f"a{n}", "save", 3000) for n in range(4)))
            for _ in range(4):
                await read_response(reader)
            assert backend.told_too_much(sent_at, 3000, TOLD_SLACK_S) == []

    run(scenario())
