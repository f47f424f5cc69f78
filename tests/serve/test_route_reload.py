"""Reloads of a routes file over loopback sockets: under load, of large files, and of rejected ones."""

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


def test_requests_keep_the_policy_they_started_with(tmp_path: Path) -> None:
    """Routes get other deadlines or are removed while requests wait, are in backoff, or are hedged."""

    async def scenario() -> None:
        async with ScriptedBackend(None, None) as one, ScriptedBackend(None, None) as two:
            members = [(one.address, "r1"), (two.address, "r1")]
            paused = READ.replace("/read", "/paused").replace('"read"', '"paused"') + "backoff_ms = 400\n"
            text = routes_file(HEDGED_SAVE, READ, paused, p=members)
            async with served(tmp_path, text) as proxy:
                hedged, hedged_writer = await proxy.connect()
                hedged_writer.write(post("/save/1", "k1", "a1"))
                await asyncio.gather(one.requested.wait(), two.requested.wait())  # Both attempts are sent.
                for node in (one, two):
                    node.answers = [ERROR]
                waiting, waiting_writer = await proxy.connect()
                waiting_writer.write(get("/paused/1", "b1"))
                while "b1" not in one.seen + two.seen:
                    await asyncio.sleep(0.01)
                for node in (one, two):
                    node.answers = []
                # The deadline of one route is shortened, and the other routes are removed.
                short = READ.replace("deadline_ms = 4000", "deadline_ms = 50").replace(
                    "aim_ms = 500", "aim_ms = 40"
                )
                proxy.path.write_text(routes_file(short, p=members))
                proxy.signal(signal.SIGHUP)
                await proxy.log_line("reload: done, 1 routes")
                assert (await proxy.ask(post("/save/2", "k2")))[0] == "404"
                # The retry after the backoff belongs to a route that has been removed.
                assert await read_response(waiting) == ("200", b"good")
                # The deadline is lengthened; a request that started before keeps the short one.
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
                assert await read_response(hedged) == ("200", b"late")
                assert (await proxy.ask(get("/read/2")))[0] == "200"

    run(scenario())


def test_a_rejected_file_changes_nothing(tmp_path: Path) -> None:
    async def scenario() -> None:
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

    run(scenario())


def test_reloads_under_load_lose_no_request(tmp_path: Path) -> None:
    """The pool's backend is replaced and restored while requests are in progress."""

    async def scenario() -> None:
        async with ScriptedBackend() as one, ScriptedBackend() as two:
            texts = [routes_file(SAVE, READ, p=[(node.address, "r1")]) for node in (one, two)]
            async with served(tmp_path, texts[0]) as proxy:
                statuses: list[str] = []
                stop = asyncio.Event()

                async def send_requests(worker: int) -> None:
                    reader, writer = await proxy.connect()
                    number = 0
                    while not stop.is_set():
                        number += 1
                        writer.write(post(f"/save/{worker}", f"k{worker}-{number}"))
                        statuses.append((await read_response(reader))[0])
                        if statuses[-1] != "200":
                            stop.set()
                    writer.close()

                workers = [asyncio.create_task(send_requests(n)) for n in range(8)]
                for turn in range(6):
                    proxy.path.write_text(texts[(turn + 1) % 2])
                    proxy.signal(signal.SIGHUP)
                    await proxy.log_line("reload: done")
                    count_before = len(statuses)
                    while len(statuses) < count_before + 40 and not stop.is_set():
                        await asyncio.sleep(0.005)
                stop.set()
                await asyncio.gather(*workers)
                assert set(statuses) == {"200"} and len(statuses) >= 240
                assert one.seen and two.seen

    run(scenario())


def test_ten_thousand_routes_are_served_and_malformed_files_are_rejected(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with ScriptedBackend() as node:
            text = routes_file(READ, p=[(node.address, "r1")])
            many = text + many_routes(10_000)
            async with served(tmp_path, text) as proxy:
                malformed = (b"version = 1\n\0", b"# " + b"x" * (5 << 20), b"x = " + b"[" * 5000, b"\xff")
                for bad in malformed:
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

    run(scenario())


def test_a_large_reload_does_not_delay_requests(tmp_path: Path) -> None:
    """Ten thousand routes take seconds to load and prove; requests are answered in the meantime."""

    async def scenario() -> None:
        async with ScriptedBackend() as node:
            text = routes_file(READ, p=[(node.address, "r1")])
            many = many_routes(10_000)
            async with served(tmp_path, text) as proxy:
                reader, writer = await proxy.connect()
                proxy.path.write_text(text + many)
                proxy.signal(signal.SIGHUP)
                await proxy.log_line("reload: reading")
                done = asyncio.create_task(proxy.log_line("reload: done"))
                started_at = time.monotonic()
                latencies_s: list[float] = []
                while not done.done():
                    sent_at = time.monotonic()
                    writer.write(get("/read/1"))
                    assert await read_response(reader) == ("200", b"good")
                    latencies_s.append(time.monotonic() - sent_at)
                # A blocked event loop would answer one request only after nearly all of the load time.
                assert max(latencies_s) < 0.5 * (time.monotonic() - started_at)

    run(scenario())
