"""Routes in force over loopback sockets: the hard cases, reloads and the process's life."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import subprocess
import sys
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
    ROOT,
    SETTINGS,
    Backend,
    Discovery,
    configuration,
    entry,
    ok,
    read_request,
    read_response,
    request,
    run,
)
from tests.support.serve_process import file_of, get, post, served

SAVE = """\
name = "save"
match = { path_prefix = "/save", methods = ["POST"] }
effect = "keyed"
window_ms = 5000
aim_ms = 500
deadline_ms = 4000
attempts = 3
retry_on = ["not-run", "error", "reset", "timeout"]
pool = "p"
"""
READ = """\
name = "read"
match = { path_prefix = "/read", methods = ["GET"] }
effect = "safe"
aim_ms = 500
deadline_ms = 4000
attempts = 3
retry_on = ["not-run", "error", "reset", "timeout"]
pool = "p"
"""
ERROR = b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
GONE = b""  # closes without an answer


class Scripted(Backend):
    """Answers with what a script holds for it, in turn; None waits for `go`."""

    def __init__(self, *answers: bytes | None) -> None:
        super().__init__()
        self.answers = list(answers)
        self.go = asyncio.Event()
        self.heads: list[dict[str, str]] = []

    async def _handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head, _ = await read_request(reader)
            self.heads.append(head)
            self.seen.append(head["x-request-id"])
            self.requested.set()
            answer = self.answers.pop(0) if self.answers else ok(b"good")
            if answer is None:
                await self.go.wait()
                answer = ok(b"late")
            if answer == GONE:
                writer.transport.abort()
                return
            writer.write(answer)


def test_a_keyed_request_is_repeated_and_one_without_its_key_is_not(tmp_path: Path) -> None:
    async def talk() -> None:
        async with Scripted(ok(b"first"), GONE, ok(b"second"), GONE) as node:
            async with served(tmp_path, file_of(SAVE, p=[(node.address, "r1")])) as proxy:
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
            async with Scripted(GONE) as one, Scripted(GONE) as two:
                nodes = [one, two]
                one.answers = two.answers = [GONE]  # whichever comes first breaks
                async with served(tmp_path, file_of(SAVE, p=[(n.address, "r1") for n in nodes])) as proxy:
                    assert (await proxy.ask(post("/save/1", key, "a1")))[0] == status
                    assert len(one.seen + two.seen) == count

    run(talk())


def test_what_no_route_takes_is_not_passed_on(tmp_path: Path) -> None:
    async def talk() -> None:
        async with Scripted() as node:
            async with served(tmp_path, file_of(SAVE, READ, p=[(node.address, "r1")])) as proxy:
                for sent, status in (
                    (get("/other"), "404"),
                    (get("/save/1"), "404"),
                    (get("/open/../read/1"), "404"),
                    (get("/read/1", extra="X-Deadline-Ms: soon\r\n"), "400"),
                    (get("/_health"), "200"),
                ):
                    assert (await proxy.ask(sent))[0] == status
                assert node.seen == []
                assert (await proxy.ask(get("/%72ead/1")))[0] == "200"

    run(talk())


def test_other_answers_than_200_are_passed_on_and_failings_are_not(tmp_path: Path) -> None:
    async def talk() -> None:
        answers = (
            b"HTTP/1.1 201 Made\r\nLocation: /x\r\nContent-Length: 2\r\n\r\nok",
            b"HTTP/1.1 204 No Content\r\n\r\n",
            b"HTTP/1.1 404 No\r\nContent-Length: 1\r\n\r\n?",
            b"HTTP/1.1 302 Go\r\nLocation: /y\r\nContent-Length: 0\r\n\r\n",
        )
        async with Scripted(*answers) as node:
            async with served(tmp_path, file_of(READ, p=[(node.address, "r1")])) as proxy:
                for status, body in (("201", b"ok"), ("204", b""), ("404", b"?"), ("302", b"")):
                    assert await proxy.ask(get("/read/1")) == (status, body)

    run(talk())


COPY = SAVE + "second_copy_after_ms = 20\n"


@pytest.mark.parametrize("winner", [0, 1])
def test_of_two_attempts_that_both_answer_one_is_served(tmp_path: Path, winner: int) -> None:
    """The loser's answer is thrown away, and the client's connection goes on with its own answers."""

    async def talk() -> None:
        async with Scripted(None) as one, Scripted(None) as two:
            nodes = [one, two]
            async with served(tmp_path, file_of(COPY, p=[(n.address, "r1") for n in nodes])) as proxy:
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
        async with Scripted(None, ok(b"third")) as one, Scripted(None, ok(b"third")) as two:
            for node in (one, two):
                node.reply = None  # type: ignore[assignment]
            async with served(tmp_path, file_of(COPY, p=[(n.address, "r1") for n in (one, two)])) as proxy:
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
        async with Scripted(None) as one, Scripted(None) as two:
            text = file_of(SAVE + "second_copy_after_ms = 600\n", p=[(n.address, "r1") for n in (one, two)])
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
        async with Scripted(None, None) as node:
            async with served(tmp_path, file_of(route, p=[(node.address, "r1")])) as proxy:
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


class Fixed:
    """Decides as a test says."""

    def __init__(self, decide: Callable[[api.Event], list[api.Action]]) -> None:
        self.decide = decide
        self.ended: list[api.AttemptEnded] = []
        self.told = asyncio.Event()

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.AttemptEnded):
            self.ended.append(event)
            self.told.set()
        return self.decide(event)


class Asking(ResponseWriter):
    def __init__(self) -> None:
        self.statuses: list[int] = []

    def respond(self, status: int, header_lines: bytes, body: bytes = b"") -> None:
        self.statuses.append(status)


@pytest.mark.parametrize("trouble", ["window", "drain", "none"])
def test_between_decision_and_first_byte(trouble: str) -> None:
    """The network code looks once more where it writes: at the window, and at a drain past its grace.

    The connection comes up only after this loop has stood still, or after the leave was told.
    """

    async def talk() -> None:
        async with Scripted() as node:
            more = '[[listeners]]\nname = "in"\naddress = "127.0.0.1:0"\n'
            text = file_of(SAVE, more=more, p=[(node.address, "r1")])
            file = load_routes(text.replace("[proxy]", "[proxy]\ndrain_grace_ms = 1").encode())
            loop = asyncio.get_running_loop()
            within = 0.0 if trouble == "drain" else 60.0
            numbers: list[int] = []

            def decide(event: api.Event) -> list[api.Action]:
                if isinstance(event, api.BackendList):
                    numbers.extend(info.backend for info in event.backends)
                if isinstance(event, api.Arrival):
                    return [api.StartAttempt(event.request, numbers[0], 0.0, within)]
                if isinstance(event, api.AttemptEnded) and not event.finished:
                    return [api.Fail(event.request)]
                return []

            decisions = Fixed(decide)
            proxy = Dispatcher(loop, config_of(file), decisions, Router(file))
            connect = loop.create_connection

            async def slow(*args: Any, **more: Any) -> Any:
                made = await connect(*args, **more)
                if trouble == "window":
                    time.sleep(0.1)  # the loop stands still, as a busy or swapped process does
                elif trouble == "drain":
                    for told in proxy.backends.values():
                        told.listed, told.draining_since = False, time.monotonic() - 1.0
                return made

            loop.create_connection = slow  # type: ignore[method-assign]
            policy = Router(file).find(b"h", b"/save", b"POST", {b"idempotency-key": b"k"})
            asking = Asking()
            head = RequestHead(
                b"POST /save HTTP/1.1\r\nx-request-id: a\r\n", timeout_ms=3000.0, policy=policy
            )
            proxy.submit(asking, head, b"")
            await decisions.told.wait()
            loop.create_connection = connect  # type: ignore[method-assign]
            ran = trouble == "none"
            assert decisions.ended[0].outcome is (api.Outcome.SERVED if ran else api.Outcome.NOT_SENT)
            assert asking.statuses == [200 if ran else 502]
            assert len(node.seen) == ran

    run(talk())


# Reloads under load.


def test_requests_keep_the_policy_they_began_with(tmp_path: Path) -> None:
    """Shortened, lengthened and removed while requests wait for an answer, in a pause, with a copy out."""

    async def talk() -> None:
        async with Scripted(None, None) as one, Scripted(None, None) as two:
            members = [(one.address, "r1"), (two.address, "r1")]
            paused = READ.replace("/read", "/paused").replace('"read"', '"paused"') + "backoff_ms = 400\n"
            text = file_of(COPY, READ, paused, p=members)
            async with served(tmp_path, text) as proxy:
                copied, copied_writer = await proxy.connect()
                copied_writer.write(post("/save/1", "k1", "a1"))
                await asyncio.gather(one.requested.wait(), two.requested.wait())  # first and copy are out
                for node in (one, two):
                    node.answers = [ERROR]
                waiting, waiting_writer = await proxy.connect()
                waiting_writer.write(get("/paused/1", "b1"))
                while "b1" not in one.seen + two.seen:
                    await asyncio.sleep(0.01)
                for node in (one, two):
                    node.answers = []
                # shortened to nothing, then removed
                short = READ.replace("deadline_ms = 4000", "deadline_ms = 50").replace(
                    "aim_ms = 500", "aim_ms = 40"
                )
                proxy.path.write_text(file_of(short, p=members))
                proxy.signal(signal.SIGHUP)
                await proxy.log_line("reload: done, 1 routes")
                assert (await proxy.ask(post("/save/2", "k2")))[0] == "404"
                assert await read_response(waiting) == (
                    "200",
                    b"good",
                )  # after its pause, on a route that is gone
                # lengthened: what began under the short one still ends by it
                for node in (one, two):
                    node.answers = [None]
                brief, brief_writer = await proxy.connect()
                brief_writer.write(get("/read/1", "c1"))
                proxy.path.write_text(file_of(READ, p=members))
                proxy.signal(signal.SIGHUP)
                await proxy.log_line("reload: done, 1 routes")
                assert (await read_response(brief))[0] == "504"
                one.go.set()
                two.go.set()
                assert await read_response(copied) == ("200", b"late")
                assert (await proxy.ask(get("/read/2")))[0] == "200"

    run(talk())


def test_a_bad_file_changes_nothing(tmp_path: Path) -> None:
    async def talk() -> None:
        async with Scripted() as node:
            text = file_of(SAVE, p=[(node.address, "r1")])
            async with served(tmp_path, text) as proxy:
                for bad in (
                    "[",
                    text.replace("window_ms = 5000", "window_ms = 10"),
                    text.replace("[[listeners]]", "[[listeners_]]"),
                    text.replace('pool = "p"', 'pool = "q"'),
                ):
                    proxy.path.write_text(bad)
                    proxy.signal(signal.SIGHUP)
                    await proxy.log_line("the old file stays in force")
                    assert (await proxy.ask(post("/save/1", "k1")))[0] == "200"
                proxy.path.unlink()
                proxy.signal(signal.SIGHUP)
                await proxy.log_line("the old file stays in force")
                proxy.path.write_text(file_of(SAVE, READ, p=[(node.address, "r1")]))
                proxy.signal(signal.SIGHUP)
                await proxy.log_line("reload: done, 2 routes")
                assert (await proxy.ask(get("/read/1")))[0] == "200"
                proxy.signal(signal.SIGTERM)
                assert await proxy.process.wait() == 0

    run(talk())


def test_reloads_under_load_lose_nothing(tmp_path: Path) -> None:
    """Pools move from one server to another and back while requests flow."""

    async def talk() -> None:
        async with Scripted() as one, Scripted() as two:
            texts = [file_of(SAVE, READ, p=[(node.address, "r1")]) for node in (one, two)]
            async with served(tmp_path, texts[0]) as proxy:
                answers: list[str] = []
                stop = asyncio.Event()

                async def ask_on(worker: int) -> None:
                    reader, writer = await proxy.connect()
                    number = 0
                    while not stop.is_set():
                        number += 1
                        writer.write(post(f"/save/{worker}", f"k{worker}-{number}"))
                        answers.append((await read_response(reader))[0])
                        if answers[-1] != "200":
                            stop.set()
                    writer.close()

                workers = [asyncio.create_task(ask_on(n)) for n in range(8)]
                for turn in range(6):
                    proxy.path.write_text(texts[(turn + 1) % 2])
                    proxy.signal(signal.SIGHUP)
                    await proxy.log_line("reload: done")
                    mark = len(answers)
                    while len(answers) < mark + 40 and not stop.is_set():
                        await asyncio.sleep(0.005)
                stop.set()
                await asyncio.gather(*workers)
                assert set(answers) == {"200"} and len(answers) >= 240
                assert one.seen and two.seen

    run(talk())


def test_sigterm_answers_what_was_taken(tmp_path: Path) -> None:
    async def talk() -> None:
        async with Scripted(None) as node:
            async with served(tmp_path, file_of(SAVE, p=[(node.address, "r1")])) as proxy:
                reader, writer = await proxy.connect()
                writer.write(post("/save/1", "k1"))
                await node.requested.wait()
                proxy.signal(signal.SIGTERM)
                await proxy.log_line("draining")
                node.go.set()
                assert await read_response(reader) == ("200", b"late")
                assert await proxy.process.wait() == 0

    run(talk())


def test_several_listeners_share_one_proxy(tmp_path: Path) -> None:
    async def talk() -> None:
        async with Scripted() as node:
            listeners = "".join(
                f'[[listeners]]\nname = "{n}"\naddress = "127.0.0.1:0"\n' for n in ("in", "out")
            )
            async with served(tmp_path, file_of(READ, more=listeners, p=[(node.address, "r1")])) as proxy:
                for name in ("in", "out"):
                    reader, writer = await proxy.connect(name)
                    writer.write(get("/read/1"))
                    assert await read_response(reader) == ("200", b"good")
                assert len(node.seen) == 2

    run(talk())


@pytest.mark.parametrize(
    ("change", "code", "word"),
    [
        (("window_ms = 5000", "window_ms = 10"), 1, "window-too-short"),
        (('name = "in"', 'nam = "in"'), 1, "unknown-field"),
        (("[[listeners]]", "[[tenants]]"), 1, "unknown-field"),
        (("127.0.0.1:0", "127.0.0.1:{taken}"), 2, "listeners"),
    ],
)
def test_a_file_that_cant_be_served_is_told_at_once(
    tmp_path: Path, change: tuple[str, str], code: int, word: str
) -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        port = str(taken.getsockname()[1])
        text = file_of(SAVE, p=[("127.0.0.1:9", "r1")]).replace(
            change[0], change[1].replace("{taken}", port), 1
        )
        path = tmp_path / "routes.toml"
        path.write_text(text)
        command = [sys.executable, "-m", "heronreel.cli", "serve", str(path)]
        done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=30, check=False)
    assert done.returncode == code and word in done.stderr


def test_a_pool_may_come_from_discovery_beside_one_of_the_file(tmp_path: Path) -> None:
    """Neither list's whole takes the other's members away, at a reload or when the watch tells anew."""

    async def talk() -> None:
        async with Scripted() as one, Scripted() as two, Scripted() as three:
            async with Discovery(entry("d1", two.address)) as discovery:
                found = (
                    READ.replace('pool = "p"', 'pool = "found"')
                    .replace("/read", "/found")
                    .replace('"read"', '"f"')
                )
                text = file_of(READ, found, p=[(one.address, "r1")])
                text = text.replace("[proxy]", f'[proxy]\ndiscovery = "{discovery.address}"')
                text += '[[pools]]\nname = "found"\ndiscovery = "platform"\n'
                async with served(tmp_path, text) as proxy:
                    await discovery.watched.wait()
                    while (await proxy.ask(get("/found/1")))[0] != "200":
                        await asyncio.sleep(0.05)  # the watch has been answered, not yet read
                    assert (await proxy.ask(get("/read/1")))[0] == "200"
                    proxy.path.write_text(text.replace(one.address, three.address))
                    proxy.signal(signal.SIGHUP)
                    await proxy.log_line("reload: done")
                    mark = len(two.seen)
                    assert (await proxy.ask(get("/found/2")))[0] == "200" and len(two.seen) == mark + 1
                    assert (await proxy.ask(get("/read/2")))[0] == "200" and len(three.seen) == 1
                    discovery.change(entry("d1", two.address, "leaving"))
                    while (await proxy.ask(get("/found/3")))[0] != "503":
                        await asyncio.sleep(0.05)
                    assert (await proxy.ask(get("/read/3")))[0] == "200"

    run(talk())


def test_a_percentile_without_samples_sends_no_copy(tmp_path: Path) -> None:
    async def talk() -> None:
        async with Scripted(None) as one, Scripted(None) as two:
            nodes = (one, two)
            route = READ + "second_copy_percentile = 50\n"
            async with served(tmp_path, file_of(route, p=[(n.address, "r1") for n in nodes])) as proxy:
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
        nodes = {place: Scripted() for place in ("a1", "a2", "b2", "b3")}
        async with nodes["a1"], nodes["a2"], nodes["b2"], nodes["b3"]:
            pools = {
                pool: [(nodes[pool + rack].address, f"r{rack}") for rack in racks]
                for pool, racks in (("a", "12"), ("b", "23"))
            }
            route = SAVE.replace('pool = "p"', 'split = [{ pool = "a" }, { pool = "b" }]')
            async with served(tmp_path, file_of(route, a=pools["a"], b=pools["b"])) as proxy:
                seen: set[str] = set()
                for number in range(12):
                    for node in nodes.values():
                        node.seen, node.answers = [], [GONE]
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
            route = COPY + "retry_budget = 1\n"
            async with served(tmp_path, file_of(route, p=members)) as proxy:
                reader, writer = await proxy.connect()
                for number in range(80):
                    writer.write(post("/save/1", f"k{number}", extra=f"X-Effect-Id: e{number}\r\n"))
                    assert await read_response(reader) == ("200", b"e%d" % number)
                assert len(effects) == 80 and set(effects.values()) == {1}
                assert 5 < one.repeats_dropped + two.repeats_dropped < 75  # copies went out, and not for all

    run(talk())


def test_ten_thousand_routes_are_served_and_odd_files_are_not_taken(tmp_path: Path) -> None:
    async def talk() -> None:
        async with Scripted() as node:
            text = file_of(READ, p=[(node.address, "r1")])
            many = text + "".join(
                f'[[routes]]\nname = "m{n}"\nmatch = {{ path = "/many/{n}" }}\npool = "p"\n'
                for n in range(10_000)
            )
            async with served(tmp_path, text) as proxy:
                odd = (b"version = 1\n\0", b"# " + b"x" * (5 << 20), b"x = " + b"[" * 5000, b"\xff")
                for bad in odd:
                    proxy.path.write_bytes(bad)
                    proxy.signal(signal.SIGHUP)
                    await proxy.log_line("the old file stays in force")
                    assert (await proxy.ask(get("/read/1")))[0] == "200"
                proxy.path.write_bytes(b"\xef\xbb\xbf" + many.replace("\n", "\r\n").encode())
                proxy.signal(signal.SIGHUP)
                await proxy.log_line("reload: done, 10001 routes")
                for number in (0, 9999):
                    assert (await proxy.ask(get(f"/many/{number}")))[0] == "200"
                assert (await proxy.ask(get("/many/10000")))[0] == "404"

    run(talk())


def test_on_the_platform_routes_stand_beside_its_own_checks(tmp_path: Path) -> None:
    """The platform's classes, ids and list hold; a route adds its policy, and may not ask for less care."""

    async def talk() -> None:
        async with Scripted(None) as one, Scripted(None) as two:
            entries = [entry("b1", one.address), entry("b2", two.address)]
            async with Discovery(*entries) as discovery:
                config = configuration(discovery.address, *entries)
                limits = SETTINGS["Limits"] | {"SecondCopies": True}
                config["settings"] = SETTINGS | {"Limits": limits}
                (tmp_path / "config.json").write_text(json.dumps(config))
                with socket.socket() as probe:
                    probe.bind(("127.0.0.1", 0))
                    port = probe.getsockname()[1]
                env = {
                    "LB_NAME": "n0",
                    "LB_LISTEN": f"127.0.0.1:{port}",
                    "LB_CONFIG": str(tmp_path / "config.json"),
                }
                text = f'[[pools]]\nname = "p"\ndiscovery = "platform"\n[[routes]]\n{COPY}'
                async with served(tmp_path, text, "--platform", **env) as proxy:
                    await discovery.watched.wait()
                    proxy.ports["in"] = int((await proxy.log_line("listening")).split(":")[-1].split()[0])
                    assert (await proxy.ask(post("/save/1", "k1")))[0] == "400"  # it needs an id here
                    reader, writer = await proxy.connect()
                    writer.write(request("a1"))
                    await asyncio.gather(
                        one.requested.wait(), two.requested.wait()
                    )  # the copy that the route allows
                    one.go.set()
                    two.go.set()
                    assert await read_response(reader) == ("200", b"late")
                    assert await proxy.ask(request("a2", "read")) == (
                        "200",
                        b"good",
                    )  # no route: its class alone
                    for bad in (
                        text.replace("window_ms = 5000", "window_ms = 6000"),
                        text.replace("save", "pay"),
                    ):
                        proxy.path.write_text(bad)
                        proxy.signal(signal.SIGHUP)
                        await proxy.log_line("the old file stays in force")
                    proxy.path.write_text(text.replace("after_ms = 20", "after_ms = 30"))
                    proxy.signal(signal.SIGHUP)
                    await proxy.log_line("reload: done")

    run(talk())


def test_a_large_reload_does_not_hold_requests_up(tmp_path: Path) -> None:
    """Ten thousand routes take seconds to read and prove; requests go on being answered meanwhile."""

    async def talk() -> None:
        async with Scripted() as node:
            text = file_of(READ, p=[(node.address, "r1")])
            many = "".join(
                f'[[routes]]\nname = "m{n}"\nmatch = {{ path = "/many/{n}" }}\npool = "p"\n'
                for n in range(10_000)
            )
            async with served(tmp_path, text) as proxy:
                reader, writer = await proxy.connect()
                proxy.path.write_text(text + many)
                proxy.signal(signal.SIGHUP)
                await proxy.log_line("reload: reading")
                done = asyncio.create_task(proxy.log_line("reload: done"))
                began = time.monotonic()
                waits: list[float] = []
                while not done.done():
                    asked = time.monotonic()
                    writer.write(get("/read/1"))
                    assert await read_response(reader) == ("200", b"good")
                    waits.append(time.monotonic() - asked)
                # a loop held up would answer one request only when the file is read: nearly all of the time
                assert max(waits) < 0.5 * (time.monotonic() - began)

    run(talk())
