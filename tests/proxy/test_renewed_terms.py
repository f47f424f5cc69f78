"""The operators' updated requirements with their numbers, tested with real connections to the proxy process.

Requirements that other files test are not repeated: pipelined or late requests whose client has closed are in
test_race_conditions.py, and malformed requests are in test_bad_clients.py.
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
from tests.support.attempt_log import AttemptAnswer, AttemptLog, after, hang, reset
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

# How much the deadline header of an attempt may exceed the client's remaining time.
DEADLINE_SLACK_S = 0.15
# An attempt may begin up to this long after its client has closed its connection.
CLOSED_CLIENT_SLACK_S = 0.1
# The maximum time from the start of a process to its first response.
READY_S = 6.0
# The maximum time for which a proxy may reject all requests although backends have capacity.
MAX_REJECTING_S = 4.0
# A request that is written slowly gets a response, or its connection is closed, within this time.
SLOW_REQUEST_S = 4.0
NOT_RUN_RESPONSE = b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
ERROR_RESPONSE = b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
UNSAFE_CLASS = {"Name": "charge", "OnTimeMs": 1500.0, "HardLimitMs": 6000.0, "Effect": "at_most_once"}


def settings_with_unsafe_class(**limits: Any) -> dict[str, Any]:
    """Return the usual settings with an additional class that is unsafe to repeat."""
    classes = [*SETTINGS["Categories"], UNSAFE_CLASS]
    return SETTINGS | {"Categories": classes, "Limits": SETTINGS["Limits"] | limits}


def with_deadline(ident: str, klass: str, deadline_ms: int) -> bytes:
    return request(ident, klass, extra=f"X-Deadline-Ms: {deadline_ms}\r\n")


def unsafe_request(ident: str, deadline_ms: int) -> bytes:
    """Return a POST request without an idempotency key."""
    lines = with_deadline(ident, "charge", deadline_ms).split(b"\r\n")
    return b"\r\n".join(line for line in lines if not line.lower().startswith(b"idempotency-key"))


@asynccontextmanager
async def proxy_of(path: Path, *addresses: str, **limits: Any) -> AsyncIterator[ProxyProcess]:
    """Run a proxy whose discovery lists backends at these addresses."""
    known = [entry(f"b{number}", address) for number, address in enumerate(addresses)]
    async with Discovery(*known) as discovery:
        config = configuration(discovery.address, *known, sockets=limits.pop("sockets", 256))
        async with running_proxy(path, config | {"settings": settings_with_unsafe_class(**limits)}) as proxy:
            yield proxy


# The deadline header of attempts.


@pytest.mark.parametrize("failure", [ERROR_RESPONSE, NOT_RUN_RESPONSE], ids=["error", "not run"])
def test_the_deadline_of_retries_is_the_clients_remaining_time(tmp_path: Path, failure: bytes) -> None:
    async def scenario() -> None:
        backends = [AttemptLog(after(0.3, failure)) for _ in range(3)]
        async with backends[0], backends[1], backends[2]:
            async with proxy_of(tmp_path, *(backend.address for backend in backends)) as proxy:
                reader, writer = await proxy.connect()
                sent_at = time.monotonic()
                writer.write(with_deadline("a1", "read", 3000))
                await read_response(reader)
                assert sum(len(backend.began) for backend in backends) >= 2
                assert [
                    backend.excess_deadlines_s(sent_at, 3000, DEADLINE_SLACK_S) for backend in backends
                ] == [
                    [],
                    [],
                    [],
                ]

    run(scenario())


def test_the_deadline_of_an_attempt_whose_connection_comes_up_late_is_the_remaining_time(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with late_backend() as backend, Discovery(entry("b1", backend.address)) as discovery:
            config = with_timeouts(configuration(discovery.address, entry("b1", backend.address)), 5_000.0)
            async with running_proxy(tmp_path, config) as proxy:
                reader, writer = await proxy.connect()
                sent_at = time.monotonic()
                writer.write(with_deadline("a1", "read", 5000))
                while not proxy.connecting():
                    await asyncio.sleep(0.005)
                await asyncio.sleep(0.8)  # Connections come up to 1 s late in the operators' runs.
                backend.go.set()
                assert await read_response(reader) == ("200", b"done")
                (deadline_line,) = (
                    line
                    for data in backend.received
                    for line in data.split(b"\r\n")
                    if b"x-deadline-ms" in line
                )
                # This is less than the remaining time when the attempt began.
                remaining_s = sent_at + 5.0 - time.monotonic()
                assert int(deadline_line.split()[1]) / 1000.0 <= remaining_s + DEADLINE_SLACK_S

    run(scenario())


# Requests that are unsafe to repeat.

FAILURES: dict[str, tuple[AttemptAnswer, str]] = {
    "answers late": (hang, "504"),
    "resets": (reset, "502"),
    "fails": (after(0.0, ERROR_RESPONSE), "502"),
    "rejects without X-Not-Run": (after(0.0, NOT_RUN_RESPONSE.replace(b"X-Not-Run: 1\r\n", b"")), "502"),
    "answers with invalid bytes": (after(0.0, b"\x00noise\r\n\r\n"), "502"),
}


@pytest.mark.parametrize("failure", FAILURES)
def test_an_unsafe_request_that_may_have_run_is_not_retried(tmp_path: Path, failure: str) -> None:
    async def scenario() -> None:
        answer, status = FAILURES[failure]
        first_backend, second_backend = AttemptLog(answer), AttemptLog(answer)
        async with (
            first_backend,
            second_backend,
            proxy_of(tmp_path, first_backend.address, second_backend.address) as proxy,
        ):
            for number in range(4):
                reader, writer = await proxy.connect()
                writer.write(unsafe_request(f"a{number}", 700))
                assert (await read_response(reader))[0] == status
                writer.close()
            assert sorted(first_backend.idents() + second_backend.idents()) == ["a0", "a1", "a2", "a3"]

    run(scenario())


@pytest.mark.parametrize("failure", ["refuses connections", "says that it never ran"])
def test_an_unsafe_request_that_never_ran_is_retried_and_served(tmp_path: Path, failure: str) -> None:
    async def scenario() -> None:
        good, full = AttemptLog(after(0.0, ok(b"done"))), AttemptLog(after(0.0, NOT_RUN_RESPONSE))
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
    """A request that was retried at the other backend is not also written to the late connection."""

    async def scenario() -> None:
        good = AttemptLog(after(2.0, ok(b"done")))  # The kernel retransmits the SYN of a connect after 1 s.
        async with late_backend() as late, good:
            async with proxy_of(tmp_path, late.address, good.address, ConnectTimeoutMs=300.0) as proxy:
                clients = [await proxy.connect() for _ in range(6)]
                for number, (_, writer) in enumerate(clients):
                    writer.write(unsafe_request(f"a{number}", 3000))
                while not proxy.connecting():
                    await asyncio.sleep(0.005)
                while len(good.began) < 6:  # Until no attempt waits for the late backend any more.
                    await asyncio.sleep(0.005)
                late.go.set()
                answers = [await read_response(reader) for reader, _ in clients]
                assert answers == [("200", b"done")] * 6
                assert sorted(good.idents()) == [f"a{number}" for number in range(6)]
                assert late.received == []

    run(scenario())


# Many requests at once.

PIPELINED = 6  # Requests written at once; the proxy accepts up to nine.


async def read_all(reader: asyncio.StreamReader, count: int) -> list[tuple[str, bytes]]:
    return [await read_response(reader) for _ in range(count)]


def test_pipelined_requests_cut_at_any_byte_are_answered_in_order(tmp_path: Path) -> None:
    """The proxy has read the first part completely when it sends the first response."""

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
def test_many_pipelined_requests_in_parts_are_answered_in_order_whatever_the_latency(
    tmp_path: Path, seed: int
) -> None:
    async def scenario() -> None:
        rng = random.Random(seed)

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                head, _ = await read_request(reader)
                await asyncio.sleep(rng.uniform(0.0, 0.02))
                writer.write(ok(head["x-request-id"].encode()))

        async def send_pipelined(proxy: ProxyProcess, client: int) -> None:
            reader, writer = await proxy.connect()
            for turn in range(5):
                idents = [f"p{client}-{turn}-{number}" for number in range(PIPELINED)]
                whole = b"".join(request(ident, rng.choice(["save", "read"])) for ident in idents)
                while whole:
                    size = rng.choice([1, 2, 7, 64, len(whole)])
                    writer.write(whole[:size])
                    whole = whole[size:]
                    await asyncio.sleep(0.0)
                answers = [("200", ident.encode()) for ident in idents]
                assert await read_all(reader, PIPELINED) == answers, f"seed {seed}"

        async with Listener(serve) as first_backend, Listener(serve) as second_backend:
            async with proxy_of(tmp_path, first_backend.address, second_backend.address) as proxy:
                await asyncio.gather(*(send_pipelined(proxy, client) for client in range(8)))

    run(scenario())


@pytest.mark.parametrize("seed", [1, 2])
def test_no_pipelined_request_begins_long_after_its_client_has_closed(tmp_path: Path, seed: int) -> None:
    async def scenario() -> None:
        rng = random.Random(seed)
        # Each response takes so long that the next pipelined request would begin too late.
        backend = AttemptLog(after(2.0 * CLOSED_CLIENT_SLACK_S, ok(b"done")))
        closed_at: dict[str, float] = {}

        async def send_and_close(proxy: ProxyProcess, client: str) -> None:
            _, writer = await proxy.connect()
            writer.write(b"".join(request(f"{client}-{number}") for number in range(PIPELINED)))
            await asyncio.sleep(rng.uniform(0.0, 0.9))
            writer.close()
            closed_at[client] = time.monotonic()

        async with backend, proxy_of(tmp_path, backend.address) as proxy:
            await asyncio.gather(*(send_and_close(proxy, f"g{number}") for number in range(20)))
            assert (await proxy.send_request("last-0"))[0] == "200"
            while backend.out:
                await asyncio.sleep(0.005)
            for at, head in backend.began:
                client = head["x-request-id"].partition("-")[0]
                assert at <= closed_at.get(client, at) + CLOSED_CLIENT_SLACK_S, (client, f"seed {seed}")
            assert len(backend.began) < 20 * PIPELINED  # Some clients closed early enough.

    run(scenario())


# Slow writers.


async def write_slowly(proxy: ProxyProcess, sent: bytes, interval_s: float) -> tuple[str, float]:
    """Write a request byte by byte, and return the status of its response and the time that it took."""
    reader, writer = await proxy.connect()
    began_at = time.monotonic()
    answer = asyncio.create_task(read_response(reader))
    for index in range(len(sent)):
        if answer.done():
            break
        with suppress(ConnectionError):
            writer.write(sent[index : index + 1])
        await asyncio.wait([answer], timeout=interval_s)
    status, _ = await answer
    duration_s = time.monotonic() - began_at
    writer.close()
    return status, duration_s


def test_slow_requests_are_answered_or_closed_in_time_while_other_clients_are_served(tmp_path: Path) -> None:
    """30 clients would take over 15 s for their heads or bodies, and 10 take less than 2 s."""

    async def scenario() -> None:
        async with Backend() as backend, proxy_of(tmp_path, backend.address, sockets=128) as proxy:
            endless = [request(f"e{number}", body=b"x" * 150) for number in range(30)]
            from_body = [write_slowly(proxy, sent, 0.1) for sent in endless[:15]]
            from_head = [write_slowly(proxy, sent[:-160], 0.1) for sent in endless[15:]]
            fast = [write_slowly(proxy, request(f"s{number}"), 0.005) for number in range(10)]
            slow = asyncio.gather(*from_body, *from_head)
            done = asyncio.gather(*fast)
            served = 0
            while not slow.done():
                async with asyncio.timeout(2.0):
                    assert (await proxy.send_request(f"u{served}"))[0] == "200"
                served += 1
            assert served >= 20
            for status, duration_s in await slow:
                assert status in ("408", "closed") and duration_s <= SLOW_REQUEST_S, (status, duration_s)
            assert [status for status, _ in await done] == ["200"] * 10
            assert not any(ident.startswith("e") for ident in backend.seen)

    run(scenario())


# Descriptors.


def test_connections_beyond_the_descriptor_limit_are_answered_or_closed_and_the_others_are_served(
    tmp_path: Path,
) -> None:
    """The kernel enforces the limit.  Meanwhile all requests in flight wait for the backend."""

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
            received = await answers
            expected = [("200", f"a{number}".encode()) for number in range(300)]
            unserved = [answer for answer, served in zip(received, expected, strict=True) if answer != served]
            assert {status for status, _ in unserved} <= {"503", "429", "closed"}, unserved[:5]
            assert len(unserved) <= 280
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
async def discovery_in_state(state: str, member: dict[str, Any]) -> AsyncIterator[str]:
    """Run a list service in that state and return its address."""
    if state == "is not there":
        with reserved_port() as port:
            yield f"127.0.0.1:{port}"
        return
    handler = refuse_call if state == "refuses" else stay_silent
    async with Discovery(member) if state == "is up" else Listener(handler) as service:
        yield service.address


async def first_answer(proxy: ProxyProcess) -> tuple[str, bytes]:
    """Return the first response of a process that may not be listening yet."""
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
            async with discovery_in_state(state, member) as address:
                config = configuration(address, member)
                config["settings"] = settings_with_unsafe_class() | {"Discovery": mode}
                began_at = time.monotonic()
                async with running_proxy(tmp_path, config, until_listening=False) as proxy:
                    assert await first_answer(proxy) == ("200", b"a1")
                    assert time.monotonic() - began_at <= READY_S

    run(scenario())


# A proxy that rejects all requests.


@pytest.mark.parametrize("burst", ["is rejected", "queues", "hangs"])
def test_after_a_burst_that_overloads_the_backends_an_attempt_follows_in_time(
    tmp_path: Path, burst: str
) -> None:
    """200 requests/s arrive for 2 s and none is served in time; then there is capacity, and 20/s arrive."""

    async def scenario() -> None:
        has_capacity = False

        async def answer(writer: asyncio.StreamWriter) -> None:
            if has_capacity:
                writer.write(ok(b"done"))
            elif burst == "is rejected":
                writer.write(NOT_RUN_RESPONSE)
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

        async with AttemptLog(answer) as first_backend, AttemptLog(answer) as second_backend:
            async with proxy_of(
                tmp_path, first_backend.address, second_backend.address, sockets=1024
            ) as proxy:
                pending = []
                for number in range(400):
                    pending.append(asyncio.create_task(send(proxy, f"f{number}")))
                    await asyncio.sleep(0.005)
                has_capacity = True
                capacity_at = time.monotonic()
                served = False
                while not served and time.monotonic() < capacity_at + MAX_REJECTING_S:
                    pending.append(asyncio.create_task(send(proxy, f"r{len(pending)}")))
                    await asyncio.sleep(0.05)
                    began = first_backend.idents() + second_backend.idents()
                    served = any(ident.startswith("r") for ident in began)
                assert served
                await asyncio.gather(*pending)

    run(scenario())


def test_the_deadline_of_a_pipelined_request_is_the_remaining_time(tmp_path: Path) -> None:
    async def scenario() -> None:
        backend = AttemptLog(after(0.4, ok(b"done")))
        async with backend, proxy_of(tmp_path, backend.address) as proxy:
            reader, writer = await proxy.connect()
            sent_at = time.monotonic()
            writer.write(b"".join(with_deadline(f"a{number}", "save", 3000) for number in range(4)))
            for _ in range(4):
                await read_response(reader)
            assert backend.excess_deadlines_s(sent_at, 3000, DEADLINE_SLACK_S) == []

    run(scenario())
