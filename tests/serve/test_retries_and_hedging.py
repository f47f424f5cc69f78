"""Retries and hedged requests over loopback sockets: each request has one response and one effect."""

from __future__ import annotations

import asyncio
import signal
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from heronreel.balancer import interface as api
from heronreel.proxy.dispatcher import Dispatcher
from heronreel.proxy.request import RequestHead, ResponseWriter
from heronreel.routes.load import load_routes
from heronreel.serve.policies import Router, config_of
from heronreel.stubs.http_server import DeduplicationGroup, ServerBehaviour, StubServer
from tests.support.loopback import (
    ok,
    read_response,
    run,
)
from tests.support.scripted_backend import CLOSE_WITHOUT_RESPONSE, ERROR, ScriptedBackend
from tests.support.serve_process import HEDGED_SAVE, READ, SAVE, get, post, routes_file, served


def test_a_request_is_retried_only_with_an_idempotency_key(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with ScriptedBackend(
            ok(b"first"), CLOSE_WITHOUT_RESPONSE, ok(b"second"), CLOSE_WITHOUT_RESPONSE
        ) as node:
            async with served(tmp_path, routes_file(SAVE, p=[(node.address, "r1")])) as proxy:
                assert await proxy.ask(post("/save/1", "k0")) == ("200", b"first")
                assert len(node.seen.pop()) == 16  # The proxy makes an id if the client sends none.
                assert await proxy.ask(post("/save/1", "k1", "a1")) == ("200", b"second")
                assert node.seen == ["a1"] * 2  # The rack has one backend, so the retry goes to the same one.
                assert await proxy.ask(post("/save/1", "", "a2")) == ("502", b"")
                assert node.seen[2:] == ["a2"]

    run(scenario())


def test_a_request_without_its_key_is_unsafe(tmp_path: Path) -> None:
    """Two backends are available for a retry, which is sent only if the request has a key."""

    async def scenario() -> None:
        for key, count, status in (("", 1, "502"), ("k1", 2, "200")):
            async with (
                ScriptedBackend(CLOSE_WITHOUT_RESPONSE) as one,
                ScriptedBackend(CLOSE_WITHOUT_RESPONSE) as two,
            ):
                nodes = [one, two]
                one.answers = two.answers = [
                    CLOSE_WITHOUT_RESPONSE
                ]  # The first attempt fails on either backend.
                async with served(tmp_path, routes_file(SAVE, p=[(n.address, "r1") for n in nodes])) as proxy:
                    assert (await proxy.ask(post("/save/1", key, "a1")))[0] == status
                    assert len(one.seen + two.seen) == count

    run(scenario())


@pytest.mark.parametrize("winner", [0, 1])
def test_one_of_two_responses_is_served(tmp_path: Path, winner: int) -> None:
    """The later response is discarded, and the client's connection still gets the right responses."""

    async def scenario() -> None:
        async with ScriptedBackend(None) as one, ScriptedBackend(None) as two:
            nodes = [one, two]
            async with served(
                tmp_path, routes_file(HEDGED_SAVE, p=[(n.address, "r1") for n in nodes])
            ) as proxy:
                reader, writer = await proxy.connect()
                writer.write(post("/save/1", "k1", "a1"))
                await asyncio.gather(one.requested.wait(), two.requested.wait())
                nodes[winner].go.set()
                assert await read_response(reader) == ("200", b"late")
                nodes[1 - winner].go.set()
                writer.write(post("/save/2", "k2", "a2"))
                assert await read_response(reader) == ("200", b"good")
                assert sorted(one.seen + two.seen) == ["a1", "a1", "a2"]

    run(scenario())


def test_a_third_attempt_is_served_after_two_failed_ones(tmp_path: Path) -> None:
    """The first attempt and the hedged one fail, in either order; the third attempt's response is served."""

    async def scenario() -> None:
        async with ScriptedBackend(None, ok(b"third")) as one, ScriptedBackend(None, ok(b"third")) as two:
            for node in (one, two):
                node.reply = None  # type: ignore[assignment]
            async with served(
                tmp_path, routes_file(HEDGED_SAVE, p=[(n.address, "r1") for n in (one, two)])
            ) as proxy:
                reader, writer = await proxy.connect()
                writer.write(post("/save/1", "k1", "a1"))
                await asyncio.gather(one.requested.wait(), two.requested.wait())
                one.writers[0].write(ERROR)
                two.writers[0].write(ERROR)
                one.requested.clear()
                two.requested.clear()
                waits = [asyncio.create_task(node.requested.wait()) for node in (one, two)]
                one.go.set()  # What the two write after their 500 is discarded.
                two.go.set()
                await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
                assert await read_response(reader) == ("200", b"third")
                assert len(one.seen + two.seen) == 3
                for task in waits:
                    task.cancel()

    run(scenario())


def test_a_draining_backend_gets_no_hedged_request(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with ScriptedBackend(None) as one, ScriptedBackend(None) as two:
            text = routes_file(
                SAVE + "second_copy_after_ms = 600\n", p=[(n.address, "r1") for n in (one, two)]
            )
            async with served(tmp_path, text) as proxy:
                reader, writer = await proxy.connect()
                writer.write(post("/save/1", "k1", "a1"))
                waits = [asyncio.create_task(node.requested.wait()) for node in (one, two)]
                await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
                first, other = (one, two) if one.seen else (two, one)
                name = 'name = "m1"' if other is two else 'name = "m0"'
                proxy.path.write_text(text.replace(name, name + "\ndraining = true"))
                proxy.signal(signal.SIGHUP)
                await proxy.log_line("reload: done")
                await asyncio.sleep(0.8)  # longer than the hedge delay
                assert other.seen == []
                first.go.set()
                assert await read_response(reader) == ("200", b"late")
                for task in waits:
                    task.cancel()

    run(scenario())


def test_a_process_stopped_past_the_window_sends_no_retry(tmp_path: Path) -> None:
    """The process is stopped from the first attempt until after the deduplication window."""

    async def scenario() -> None:
        route = SAVE.replace("window_ms = 5000", "window_ms = 900").replace(
            "deadline_ms = 4000", "deadline_ms = 800"
        )
        route += "attempt_timeout_ms = 200\nbackoff_ms = 200\n"
        async with ScriptedBackend(None, None) as node:
            async with served(tmp_path, routes_file(route, p=[(node.address, "r1")])) as proxy:
                reader, writer = await proxy.connect()
                writer.write(post("/save/1", "k1", "a1"))
                await node.requested.wait()
                proxy.signal(signal.SIGSTOP)
                await asyncio.sleep(1.2)
                proxy.signal(signal.SIGCONT)
                assert (await read_response(reader))[0] in ("502", "504")
                assert await proxy.ask(get("/_health")) == ("200", b"")
                assert node.seen == ["a1"]

    run(scenario())


class FixedDecisions:
    """A decision module whose actions are chosen by a test."""

    def __init__(self, decide: Callable[[api.Event], list[api.Action]]) -> None:
        self.decide = decide
        self.ended: list[api.AttemptEnded] = []
        self.attempt_ended = asyncio.Event()

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.AttemptEnded):
            self.ended.append(event)
            self.attempt_ended.set()
        return self.decide(event)


class RecordingWriter(ResponseWriter):
    def __init__(self) -> None:
        self.statuses: list[int] = []

    def respond(self, status: int, header_lines: bytes, body: bytes = b"") -> None:
        self.statuses.append(status)


@pytest.mark.parametrize("fault", ["window", "drain", "none"])
def test_window_and_drain_are_checked_before_the_first_byte(fault: str) -> None:
    """Before its first write the network code checks the window, and a drain whose grace period is over.

    The connection is established only after the event loop has stalled or the backend has begun to drain.
    """

    async def scenario() -> None:
        async with ScriptedBackend() as node:
            listener = '[[listeners]]\nname = "in"\naddress = "127.0.0.1:0"\n'
            text = routes_file(SAVE, more=listener, p=[(node.address, "r1")])
            file = load_routes(text.replace("[proxy]", "[proxy]\ndrain_grace_ms = 1").encode())
            loop = asyncio.get_running_loop()
            within_ms = 0.0 if fault == "drain" else 60.0
            backend_numbers: list[int] = []

            def decide(event: api.Event) -> list[api.Action]:
                if isinstance(event, api.BackendList):
                    backend_numbers.extend(info.backend for info in event.backends)
                if isinstance(event, api.Arrival):
                    return [api.StartAttempt(event.request, backend_numbers[0], 0.0, within_ms)]
                if isinstance(event, api.AttemptEnded) and not event.finished:
                    return [api.Fail(event.request)]
                return []

            decisions = FixedDecisions(decide)
            proxy = Dispatcher(loop, config_of(file), decisions, Router(file))
            connect = loop.create_connection

            async def connect_slowly(*args: Any, **kwargs: Any) -> Any:
                connection = await connect(*args, **kwargs)
                if fault == "window":
                    time.sleep(0.1)  # The event loop stalls, as in a busy or swapped process.
                elif fault == "drain":
                    for backend in proxy.backends.values():
                        backend.listed, backend.draining_since = False, time.monotonic() - 1.0
                return connection

            loop.create_connection = connect_slowly  # type: ignore[method-assign]
            policy = Router(file).find(b"h", b"/save", b"POST", {b"idempotency-key": b"k"})
            writer = RecordingWriter()
            head = RequestHead(
                b"POST /save HTTP/1.1\r\nx-request-id: a\r\n", timeout_ms=3000.0, policy=policy
            )
            proxy.submit(writer, head, b"")
            await decisions.attempt_ended.wait()
            loop.create_connection = connect  # type: ignore[method-assign]
            is_sent = fault == "none"
            assert decisions.ended[0].outcome is (api.Outcome.SERVED if is_sent else api.Outcome.NOT_SENT)
            assert writer.statuses == [200 if is_sent else 502]
            assert len(node.seen) == is_sent

    run(scenario())


def test_hedging_by_percentile_needs_latency_samples(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with ScriptedBackend(None) as one, ScriptedBackend(None) as two:
            nodes = (one, two)
            route = READ + "second_copy_percentile = 50\n"
            async with served(tmp_path, routes_file(route, p=[(n.address, "r1") for n in nodes])) as proxy:
                reader, writer = await proxy.connect()
                writer.write(get("/read/0"))
                await asyncio.sleep(0.4)  # A hedged request would have been sent by this time.
                assert len(one.seen + two.seen) == 1
                for node in nodes:
                    node.go.set()
                assert await read_response(reader) == ("200", b"late")
                for number in range(25):  # Afterwards there are samples of a few ms.
                    writer.write(get(f"/read/{number}"))
                    assert (await read_response(reader))[0] == "200"
                for node in nodes:
                    node.answers = [None]
                    node.go.clear()
                    node.requested.clear()
                writer.write(get("/read/last"))
                await asyncio.gather(one.requested.wait(), two.requested.wait())
                one.go.set()
                two.go.set()
                assert await read_response(reader) == ("200", b"late")

    run(scenario())


def test_a_retry_of_a_split_route_stays_in_its_pool_and_rack(tmp_path: Path) -> None:
    """Pool a has racks r1 and r2, pool b has r2 and r3; every first attempt fails after it ran."""

    async def scenario() -> None:
        nodes = {name: ScriptedBackend() for name in ("a1", "a2", "b2", "b3")}
        async with nodes["a1"], nodes["a2"], nodes["b2"], nodes["b3"]:
            pools = {
                pool: [(nodes[pool + rack].address, f"r{rack}") for rack in racks]
                for pool, racks in (("a", "12"), ("b", "23"))
            }
            route = SAVE.replace('pool = "p"', 'split = [{ pool = "a" }, { pool = "b" }]')
            async with served(tmp_path, routes_file(route, a=pools["a"], b=pools["b"])) as proxy:
                seen: set[str] = set()
                for number in range(12):
                    for node in nodes.values():
                        node.seen, node.answers = [], [CLOSE_WITHOUT_RESPONSE]
                    status, _ = await proxy.ask(post(f"/save/{number}", f"k{number}", f"a{number}"))
                    used = [name for name, node in nodes.items() if node.seen]
                    # If the only backend of the rack is in backoff, no other backend gets the retry.
                    assert len(used) == 1
                    assert status == "200" or len(nodes[used[0]].seen) == 1
                    seen.update(used)
                assert {name[0] for name in seen} == {"a", "b"}

    run(scenario())


def test_responses_that_arrive_as_hedged_requests_start(tmp_path: Path) -> None:
    """Responses arrive just when hedged requests are sent; each request gets exactly its own response."""

    async def scenario() -> None:
        effects: Counter[bytes] = Counter()
        rack = DeduplicationGroup("r1")
        behaviour = ServerBehaviour(work_s=0.02)  # Responses take 10 to 30 ms; the hedge delay is 20 ms.
        async with (
            StubServer("one", rack, behaviour, effects, 1) as one,
            StubServer("two", rack, behaviour, effects, 2) as two,
        ):
            members = [(f"{host}:{port}", "r1") for host, port in (one.address, two.address)]
            route = HEDGED_SAVE + "retry_budget = 1\n"
            async with served(tmp_path, routes_file(route, p=members)) as proxy:
                reader, writer = await proxy.connect()
                for number in range(80):
                    writer.write(post("/save/1", f"k{number}", extra=f"X-Effect-Id: e{number}\r\n"))
                    assert await read_response(reader) == ("200", b"e%d" % number)
                assert len(effects) == 80 and set(effects.values()) == {1}
                # Some requests were hedged, but not all of them.
                assert 5 < one.repeats_dropped + two.repeats_dropped < 75

    run(scenario())
