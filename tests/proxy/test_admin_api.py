"""Operators' calls on the real program: holds, emptying, callers that stall, and upgrades on one socket."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import ClassVar

import pytest

from heronreel.balancer import interface as api
from heronreel.proxy.backend_registry import stable_number
from heronreel.proxy.config import load
from heronreel.proxy.dispatcher import Dispatcher
from heronreel.proxy.request import RequestHead, ResponseWriter
from heronreel.proxy.shared_state import Cordon, SharedState
from tests.support.loopback import (
    Backend,
    Discovery,
    Node,
    answer_of,
    configuration,
    entry,
    node,
    one_behind,
    request,
    run,
)


@asynccontextmanager
async def two_behind(path: Path) -> AsyncIterator[tuple[Node, Backend, Backend, Discovery]]:
    async with Backend() as one, Backend() as two:
        known = [entry("b1", one.address), entry("b2", two.address)]
        async with Discovery(*known) as discovery:
            async with node(path, configuration(discovery.address, *known), called=True) as proxy:
                await discovery.watched.wait()
                yield proxy, one, two, discovery


def test_a_held_backend_gets_nothing_whatever_the_list_says_until_one_call(tmp_path: Path) -> None:
    async def talk() -> None:
        async with two_behind(tmp_path) as (proxy, one, two, discovery):
            assert await proxy.call("/admin/cordon", "b1\n") == "200"
            assert await proxy.call("/admin/cordon", "b1") == "200"  # said twice, given back once
            # the list goes on, tells of it again, of its start and of its leave and return
            since = 1.0
            for status in ("active", "leaving", "active", "left", "active"):
                since += 1.0
                discovery.change(entry("b1", one.address, status) | {"since_ms": since})
                for number in range(4):
                    assert (await proxy.ask(f"h{since}{number}", "read"))[0] == "200"
            assert not one.seen and len(two.seen) == 20
            assert await proxy.call("/admin/uncordon", "b1") == "200"
            for number in range(40):
                assert (await proxy.ask(f"r{number}", "read"))[0] == "200"
            assert one.seen
            for path, name in (("cordon", "b3"), ("uncordon", "b3"), ("cordon", ""), ("nothing", "b1")):
                assert await proxy.call(f"/admin/{path}", name) == "404"
            assert await proxy.call("/admin/cordon", "b1", "GET") == "405"
            assert await proxy.call("/admin/uncordon", "b1") == "200"  # not held: it is used already

    run(talk())


def test_a_hold_reaches_the_attempt_that_waits_for_its_connection(tmp_path: Path) -> None:
    """What is decided before the call and would be written after it is never written."""

    class Decided:
        """Sends every request to the one backend there is."""

        ends: ClassVar[list[api.Event]] = []

        def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
            if isinstance(event, api.AttemptEnded):
                self.ends.append(event)
                ended.set()
            return [api.StartAttempt(event.request, number)] if isinstance(event, api.Arrival) else []

    class Client(ResponseWriter):
        def respond(self, status: int, header_lines: bytes, body: bytes = b"") -> None:
            ended.set()

    number, ended = stable_number(b"b1"), asyncio.Event()

    async def talk() -> None:
        async with Backend() as one:
            config = configuration("127.0.0.1:1", entry("b1", one.address))
            (tmp_path / "config.json").write_text(json.dumps(config))
            environ = {
                "LB_NAME": "n0",
                "LB_LISTEN": "127.0.0.1:0",
                "LB_CONFIG": str(tmp_path / "config.json"),
            }
            dispatcher = Dispatcher(asyncio.get_running_loop(), load(environ), Decided())
            head = RequestHead(b"GET /read/1 HTTP/1.1\r\nx-request-id: a\r\n", b"a", "read")
            dispatcher.submit(Client(), head, b"")  # it waits for its connection
            dispatcher.registry.apply_cordons({"b1": Cordon("b1", 1.0)})
            await ended.wait()
            assert [end.outcome for end in Decided.ends if isinstance(end, api.AttemptEnded)] == [
                api.Outcome.NOT_SENT
            ]
            assert not one.seen and not dispatcher.pool.idle  # nor is its connection kept

    run(talk())


def test_callers_that_stall_hold_up_nobody(tmp_path: Path) -> None:
    async def talk() -> None:
        async with two_behind(tmp_path) as (proxy, _one, _two, _):
            stalled = []
            for said in (b"", b"GET /adm", b"POST /admin/cordon HTTP/1.1\r\nContent-Length: 9\r\n\r\nb") * 10:
                reader, writer = await asyncio.open_connection("127.0.0.1", proxy.calls)
                writer.write(said)
                stalled.append((reader, writer))
                assert await proxy.health() == "200"
            assert proxy.descriptors() < 60
            reader, writer = await asyncio.open_connection("127.0.0.1", proxy.calls)
            writer.write(b"\x16\x03\x01 what is this\r\n\r\n")
            assert (await answer_of(reader))[0] == "400"
            for _, writer in stalled:
                writer.close()

    run(talk())


def test_emptied_it_says_no_answers_what_comes_keeps_no_connection_and_comes_back(tmp_path: Path) -> None:
    async def talk() -> None:
        async with two_behind(tmp_path) as (proxy, _one, _two, _):
            health = b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"
            idle, used, silent = [await proxy.connect() for _ in range(3)]
            for number, (reader, writer) in enumerate((idle, used)):
                writer.write(request(f"e{number}"))
                assert (await answer_of(reader))[0] == "200"
            assert await proxy.call("/admin/quiesce") == "200"
            reader, writer = await proxy.connect()
            writer.write(health)
            assert (await answer_of(reader))[0] == "503"
            assert await proxy.health() == "200"  # the process is well
            used[1].write(request("e9"))
            head = await used[0].readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200") and b"Connection: close" in head
            assert await idle[0].read() == b"" and await silent[0].read() == b""  # both are closed
            assert (await proxy.ask("late"))[0] == "200"  # the front may not have noticed yet
            assert await proxy.call("/admin/resume") == "200"
            reader, writer = await proxy.connect()
            for _ in range(2):  # and the connection is kept
                writer.write(health)
                assert (await answer_of(reader))[0] == "200"

    run(talk())


def test_an_upgrade_loses_nothing_and_keeps_what_operators_held(tmp_path: Path) -> None:
    """Clients ask without a pause while a second process takes the socket over and the first one goes."""

    async def talk() -> None:
        async with Backend() as one, Backend() as two, Backend() as three:
            known = [entry("b1", one.address), entry("b2", two.address), entry("b3", three.address)]
            async with Discovery(*known) as discovery:
                with socket.socket() as shared:
                    shared.bind(("127.0.0.1", 0))
                    shared.listen(64)
                    config = configuration(discovery.address, *known)
                    async with node(tmp_path, config, True, shared) as old:
                        await discovery.watched.wait()
                        assert await old.call("/admin/cordon", "b1") == "200"
                        done = asyncio.Event()
                        statuses: list[str] = []

                        async def rider(who: int) -> None:
                            """Keeps its connection as long as it may."""
                            reader, writer = await old.connect()
                            asked = 0
                            while not done.is_set():
                                asked += 1
                                writer.write(request(f"{who}-{asked}", "read"))
                                head = await reader.readuntil(b"\r\n\r\n")
                                statuses.append(head.split()[1].decode())
                                await reader.readexactly(len(f"{who}-{asked}"))
                                if b"Connection: close" in head:
                                    writer.close()
                                    reader, writer = await old.connect()
                            writer.close()

                        riders = [asyncio.create_task(rider(n)) for n in range(6)]
                        async with node(tmp_path, config, True, shared) as new:
                            while await new.health() != "200":
                                await asyncio.sleep(0.01)
                            assert await new.call("/admin/cordon", "b2") == "200"  # while both serve
                            await old.log_line("cordoned b2")
                            before = len(two.seen)
                            old.signal(signal.SIGTERM)
                            assert await old.process.wait() == 0
                            sofar = len(statuses)
                            while len(statuses) < sofar + 200:
                                await asyncio.sleep(0.01)
                                for task in riders:
                                    assert not task.done(), (task.exception(), set(statuses))
                            done.set()
                            await asyncio.gather(*riders)
                            assert set(statuses) == {"200"}
                            assert not one.seen and len(two.seen) == before and three.seen
                            assert await new.call("/admin/uncordon", "b1") == "200"
                            for number in range(40):
                                assert (await new.ask(f"n{number}", "read"))[0] == "200"
                            assert one.seen

    run(talk())


def test_a_request_under_way_at_the_end_of_a_drain_is_told_that_it_failed(tmp_path: Path) -> None:
    """The backend says nothing; the deadline is longer than the time before SIGKILL."""

    async def talk() -> None:
        mute = Backend(lambda head, body: None)
        async with one_behind(tmp_path, mute, True) as proxy:
            asked = asyncio.create_task(proxy.ask("slow"))
            await mute.asked.wait()
            proxy.signal(signal.SIGTERM)
            assert (await asked)[0] == "504"
            assert await proxy.process.wait() == 0

    run(talk())


NO_TIME = b'{"name": "b1", "since_ms": "x", "released_ms": 0}'


@pytest.mark.parametrize("odd", [b"", b"{", b'{"name": 1}', b"[]", NO_TIME])
def test_an_odd_file_in_the_shared_folder_holds_nothing(tmp_path: Path, odd: bytes) -> None:
    shared = SharedState(tmp_path / "s")
    (tmp_path / "s" / "hold-odd").write_bytes(odd)
    (tmp_path / "s" / "process-99999999").write_text("")
    shared.put(Cordon("b2", 5.0))
    assert shared.read() == ({"b2": Cordon("b2", 5.0)}, False)
    assert shared.other_processes() == []
    shared.put(Cordon("b2", 5.0, 9.0))
    assert SharedState(tmp_path / "s").read()[0] == {"b2": Cordon("b2", 5.0, 9.0)}
    shared.read()
    shared.forget_released_before(9.5)
    assert shared.read() == ({}, False)


def test_two_processes_of_one_proxy_keep_to_its_descriptors_together(tmp_path: Path) -> None:
    """A crowd meets the successor while the predecessor still holds its own."""

    async def talk() -> None:
        async with Backend() as one:
            known = [entry("b1", one.address)]
            async with Discovery(*known) as discovery:
                with socket.socket() as shared:
                    shared.bind(("127.0.0.1", 0))
                    shared.listen(512)
                    config = configuration(discovery.address, *known, sockets=160)
                    async with (
                        node(tmp_path, config, True, shared) as old,
                        node(tmp_path, config, True, shared) as new,
                    ):
                        while await new.health() != "200":
                            await asyncio.sleep(0.01)
                        most, crowd = 0, []
                        for _ in range(300):
                            _, writer = await old.connect()
                            crowd.append(writer)
                            writer.write(b"POST /save/")  # half a head: not silent
                            most = max(most, old.descriptors() + new.descriptors())
                        # the crowd goes again after 2.6 s; until then what is open is at its highest
                        for _ in range(100):
                            most = max(most, old.descriptors() + new.descriptors())
                            await asyncio.sleep(0.01)
                        assert 100 < most <= 160

    run(talk())
