"""Retries and hedged requests of routes over loopback sockets: one response each, no effect twice."""

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


def test_a_keyed_request_is_repeated_and_one_without_its_key_is_not(tmp_path: Path) -> None:
    async def talk() -> None:
        async with ScriptedBackend(
            ok(b"first"), CLOSE_WITHOUT_RESPONSE, ok(b"second"), CLOSE_WITHOUT_RESPONSE
        ) as node:
            async with served(tmp_path, routes_file(SAVE, p=[(node.address, "r1")])) as proxy:
                assert await proxy.ask(post("/save/1", "k0")) == ("200", b"first")
                assert len(node.seen.pop()) == 16  # ids are made where clients give none
                assert await proxy.ask(post("/save/1", "k1", "a1")) == ("200", b"second")
                assert node.seen == ["a1"] * 2  # a rack of one: its own repeats it drops
                assert await proxy.ask(post("/save/1", "", "a2")) == ("502", b"")
                assert node.seen[2:] == ["a2"]

    run(talk())


def test_a_request_without_its_key_is_unsafe(tmp_path: Path) -> None:
    """Two servers stand ready for a repeat, which comes only with a key."""

    async def talk() -> None:
        for key, count, status in (("", 1, "502"), ("k1", 2, "200")):
            async with (
                ScriptedBackend(CLOSE_WITHOUT_RESPONSE) as one,
                ScriptedBackend(CLOSE_WITHOUT_RESPONSE) as two,
            ):
                nodes = [one, two]
                one.answers = two.answers = [CLOSE_WITHOUT_RESPONSE]  # whichever comes first breaks
                async with served(tmp_path, routes_file(SAVE, p=[(n.address, "r1") for n in nodes])) as proxy:
                    assert (await proxy.ask(post("/save/1", key, "a1")))[0] == status
                    assert len(one.seen + two.seen) == count

    run(talk())


@pytest.mark.parametrize("winner", [0, 1])
def test_of_two_attempts_that_both_answer_one_is_served(tmp_path: Path, winner: int) -> None:
    """The loser's answer is thrown away, and the client's connection goes on with its own answers."""

    async def talk() -> None:
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

    run(talk())


def test_two_attempts_and_a_copy_that_all_answer(tmp_path: Path) -> None:
    """First and copy fail, in either order, before the third goes out; its answer is the one."""

    async def talk() -> None:
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
                one.go.set()  # what the two still write after their 500 is nobody's
                two.go.set()
                await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
                assert await read_response(reader) == ("200", b"third")
                assert len(one.seen + two.seen) == 3
                for task in waits:
                    task.cancel()

    run(talk())


def test_a_drained_server_gets_no_copy(tmp_path: Path) -> None:
    async def talk() -> None:
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
                await asyncio.sleep(0.8)  # past the time of the copy
                assert other.seen == []
                first.go.set()
                assert await read_response(reader) == ("200", b"late")
                for task in waits:
                    task.cancel()

    run(talk())


def test_a_process_that_stands_still_past_the_window_repeats_nothing(tmp_path: Path) -> None:
    """Stopped between the time-out and the repeat, and longer than the rack remembers."""

    async def talk() -> None:
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

    run(talk())


class FixedDecisions:
    """Decides as a test says."""

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
def test_between_decision_and_first_byte(fault: str) -> None:
    """The network code looks once more where it writes: at the window, and at a drain past its grace.

    The connection comes up only after this loop has stood still, or after the leave was notified.
    """

    async def talk() -> None:
        async with ScriptedBackend() as node:
            more = '[[listeners]]\nname = "in"\naddress = "127.0.0.1:0"\n'
            text = routes_file(SAVE, more=more, p=[(node.address, "r1")])
            file = load_routes(text.replace("[proxy]", "[proxy]\ndrain_grace_ms = 1").encode())
            loop = asyncio.get_running_loop()
            within = 0.0 if fault == "drain" else 60.0
            numbers: list[int] = []

            def decide(event: api.Event) -> list[api.Action]:
                if isinstance(event, api.BackendList):
                    numbers.extend(info.backend for info in event.backends)
                if isinstance(event, api.Arrival):
                    return [api.StartAttempt(event.request, numbers[0], 0.0, within)]
                if isinstance(event, api.AttemptEnded) and not event.finished:
                    return [api.Fail(event.request)]
                return []

            decisions = FixedDecisions(decide)
            proxy = Dispatcher(loop, config_of(file), decisions, Router(file))
            connect = loop.create_connection

            async def slow(*args: Any, **more: Any) -> Any:
                made = await connect(*args, **more)
                if fault == "window":
                    time.sleep(0.1)  # the loop stands still, as a busy or swapped process does
                elif fault == "drain":
                    for backend in proxy.backends.values():
                        backend.listed, backend.draining_since = False, time.monotonic() - 1.0
                return made

            loop.create_connection = slow  # type: ignore[method-assign]
            policy = Router(file).find(b"h", b"/save", b"POST", {b"idempotency-key": b"k"})
            writer = RecordingWriter()
            head = RequestHead(
                b"POST /save HTTP/1.1\r\nx-request-id: a\r\n", timeout_ms=3000.0, policy=policy
            )
            proxy.submit(writer, head, b"")
            await decisions.attempt_ended.wait()
            loop.create_connection = connect  # type: ignore[method-assign]
            ran = fault == "none"
            assert decisions.ended[0].outcome is (api.Outcome.SERVED if ran else api.Outcome.NOT_SENT)
            assert writer.statuses == [200 if ran else 502]
            assert len(node.seen) == ran

    run(talk())


def test_a_percentile_without_samples_sends_no_copy(tmp_path: Path) -> None:
    async def talk() -> None:
        async with ScriptedBackend(None) as one, ScriptedBackend(None) as two:
            nodes = (one, two)
            route = READ + "second_copy_percentile = 50\n"
            async with served(tmp_path, routes_file(route, p=[(n.address, "r1") for n in nodes])) as proxy:
                reader, writer = await proxy.connect()
                writer.write(get("/read/0"))
                await asyncio.sleep(0.4)  # a copy would be out long since
                assert len(one.seen + two.seen) == 1
                for node in nodes:
                    node.go.set()
                assert await read_response(reader) == ("200", b"late")
                for number in range(25):  # now there are samples, of a few ms
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

    run(talk())


def test_a_split_over_pools_that_share_a_rack_keeps_a_repeat_in_its_own(tmp_path: Path) -> None:
    """a has racks r1 and r2, b has r2 and r3; every first try breaks after it ran."""

    async def talk() -> None:
        nodes = {place: ScriptedBackend() for place in ("a1", "a2", "b2", "b3")}
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
                    asked = [place for place, node in nodes.items() if node.seen]
                    assert (
                        len(asked) == 1
                    )  # a lone server of its rack that rests gets no repeat, and nobody else
                    assert status == "200" or len(nodes[asked[0]].seen) == 1
                    seen.update(asked)
                assert {place[0] for place in seen} == {"a", "b"}

    run(talk())


def test_answers_in_the_turn_of_the_copys_start(tmp_path: Path) -> None:
    """Answers come just as copies go out, again and again: one answer each, and the right one."""

    async def talk() -> None:
        effects: Counter[bytes] = Counter()
        rack = DeduplicationGroup("r1")
        manners = ServerBehaviour(work_s=0.02)  # 10 to 30 ms; the copy is due after 20
        async with (
            StubServer("one", rack, manners, effects, 1) as one,
            StubServer("two", rack, manners, effects, 2) as two,
        ):
            members = [(f"{host}:{port}", "r1") for host, port in (one.address, two.address)]
            route = HEDGED_SAVE + "retry_budget = 1\n"
            async with served(tmp_path, routes_file(route, p=members)) as proxy:
                reader, writer = await proxy.connect()
                for number in range(80):
                    writer.write(post("/save/1", f"k{number}", extra=f"X-Effect-Id: e{number}\r\n"))
                    assert await read_response(reader) == ("200", b"e%d" % number)
                assert len(effects) == 80 and set(effects.values()) == {1}
                assert 5 < one.repeats_dropped + two.repeats_dropped < 75  # copies went out, and not for all

    run(talk())
