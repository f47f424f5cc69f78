"""Reloads of a routes file over loopback sockets: under load, large, and refused."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path

from tests.support.loopback import (
    read_response,
    run,
)
from tests.support.scripted_backend import ERROR, ScriptedBackend
from tests.support.serve_process import HEDGED_SAVE, READ, SAVE, get, many_routes, post, routes_file, served


def test_requests_keep_the_policy_they_began_with(tmp_path: Path) -> None:
    """Shortened, lengthened and removed while requests wait for an answer, in a pause, with a copy out."""

    async def talk() -> None:
        async with ScriptedBackend(None, None) as one, ScriptedBackend(None, None) as two:
            members = [(one.address, "r1"), (two.address, "r1")]
            paused = READ.replace("/read", "/paused").replace('"read"', '"paused"') + "backoff_ms = 400\n"
            text = routes_file(HEDGED_SAVE, READ, paused, p=members)
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
                proxy.path.write_text(routes_file(short, p=members))
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
                proxy.path.write_text(routes_file(READ, p=members))
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
        async with ScriptedBackend() as node:
            text = routes_file(SAVE, p=[(node.address, "r1")])
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
                proxy.path.write_text(routes_file(SAVE, READ, p=[(node.address, "r1")]))
                proxy.signal(signal.SIGHUP)
                await proxy.log_line("reload: done, 2 routes")
                assert (await proxy.ask(get("/read/1")))[0] == "200"
                proxy.signal(signal.SIGTERM)
                assert await proxy.process.wait() == 0

    run(talk())


def test_reloads_under_load_lose_nothing(tmp_path: Path) -> None:
    """Pools move from one server to another and back while requests flow."""

    async def talk() -> None:
        async with ScriptedBackend() as one, ScriptedBackend() as two:
            texts = [routes_file(SAVE, READ, p=[(node.address, "r1")]) for node in (one, two)]
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


def test_ten_thousand_routes_are_served_and_odd_files_are_not_taken(tmp_path: Path) -> None:
    async def talk() -> None:
        async with ScriptedBackend() as node:
            text = routes_file(READ, p=[(node.address, "r1")])
            many = text + many_routes(10_000)
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


def test_a_large_reload_does_not_hold_requests_up(tmp_path: Path) -> None:
    """Ten thousand routes take seconds to read and prove; requests go on being answered meanwhile."""

    async def talk() -> None:
        async with ScriptedBackend() as node:
            text = routes_file(READ, p=[(node.address, "r1")])
            many = many_routes(10_000)
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
