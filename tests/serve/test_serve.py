"""Serving routes over loopback sockets: responses, listeners, discovery, start and shutdown."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from tests.support.loopback import (
    ROOT,
    SETTINGS,
    Discovery,
    configuration,
    entry,
    read_response,
    request,
    run,
)
from tests.support.scripted_backend import ScriptedBackend
from tests.support.serve_process import HEDGED_SAVE, READ, SAVE, get, post, routes_file, served


def test_requests_without_a_route_are_not_forwarded(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with ScriptedBackend() as node:
            async with served(tmp_path, routes_file(SAVE, READ, p=[(node.address, "r1")])) as proxy:
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

    run(scenario())


def test_responses_with_any_status_are_forwarded(tmp_path: Path) -> None:
    async def scenario() -> None:
        answers = (
            b"HTTP/1.1 201 Made\r\nLocation: /x\r\nContent-Length: 2\r\n\r\nok",
            b"HTTP/1.1 204 No Content\r\n\r\n",
            b"HTTP/1.1 404 No\r\nContent-Length: 1\r\n\r\n?",
            b"HTTP/1.1 302 Go\r\nLocation: /y\r\nContent-Length: 0\r\n\r\n",
        )
        async with ScriptedBackend(*answers) as node:
            async with served(tmp_path, routes_file(READ, p=[(node.address, "r1")])) as proxy:
                for status, body in (("201", b"ok"), ("204", b""), ("404", b"?"), ("302", b"")):
                    assert await proxy.ask(get("/read/1")) == (status, body)

    run(scenario())


def test_accepted_requests_are_answered_after_sigterm(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with ScriptedBackend(None) as node:
            async with served(tmp_path, routes_file(SAVE, p=[(node.address, "r1")])) as proxy:
                reader, writer = await proxy.connect()
                writer.write(post("/save/1", "k1"))
                await node.requested.wait()
                proxy.signal(signal.SIGTERM)
                await proxy.log_line("draining")
                node.go.set()
                assert await read_response(reader) == ("200", b"late")
                assert await proxy.process.wait() == 0

    run(scenario())


def test_several_listeners_share_one_proxy(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with ScriptedBackend() as node:
            listeners = "".join(
                f'[[listeners]]\nname = "{n}"\naddress = "127.0.0.1:0"\n' for n in ("in", "out")
            )
            async with served(tmp_path, routes_file(READ, more=listeners, p=[(node.address, "r1")])) as proxy:
                for name in ("in", "out"):
                    reader, writer = await proxy.connect(name)
                    writer.write(get("/read/1"))
                    assert await read_response(reader) == ("200", b"good")
                assert len(node.seen) == 2

    run(scenario())


@pytest.mark.parametrize(
    ("change", "exit_status", "error"),
    [
        (("window_ms = 5000", "window_ms = 10"), 1, "window-too-short"),
        (('name = "in"', 'nam = "in"'), 1, "unknown-field"),
        (("[[listeners]]", "[[tenants]]"), 1, "unknown-field"),
        (("127.0.0.1:0", "127.0.0.1:{taken}"), 2, "listeners"),
    ],
)
def test_a_file_that_cant_be_served_is_reported_at_start(
    tmp_path: Path, change: tuple[str, str], exit_status: int, error: str
) -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        port = str(taken.getsockname()[1])
        text = routes_file(SAVE, p=[("127.0.0.1:9", "r1")]).replace(
            change[0], change[1].replace("{taken}", port), 1
        )
        path = tmp_path / "routes.toml"
        path.write_text(text)
        command = [sys.executable, "-m", "heronreel.cli", "serve", str(path)]
        done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=30, check=False)
    assert done.returncode == exit_status and error in done.stderr


def test_a_discovered_pool_and_a_pool_of_the_file_are_independent(tmp_path: Path) -> None:
    """Neither a reload nor a complete list from discovery removes members of the other pool."""

    async def scenario() -> None:
        async with ScriptedBackend() as one, ScriptedBackend() as two, ScriptedBackend() as three:
            async with Discovery(entry("d1", two.address)) as discovery:
                discovered_route = (
                    READ.replace('pool = "p"', 'pool = "found"')
                    .replace("/read", "/found")
                    .replace('"read"', '"f"')
                )
                text = routes_file(READ, discovered_route, p=[(one.address, "r1")])
                text = text.replace("[proxy]", f'[proxy]\ndiscovery = "{discovery.address}"')
                text += '[[pools]]\nname = "found"\ndiscovery = "platform"\n'
                async with served(tmp_path, text) as proxy:
                    await discovery.watched.wait()
                    while (await proxy.ask(get("/found/1")))[0] != "200":
                        # The proxy may not have processed the watch's response yet.
                        await asyncio.sleep(0.05)
                    assert (await proxy.ask(get("/read/1")))[0] == "200"
                    proxy.path.write_text(text.replace(one.address, three.address))
                    proxy.signal(signal.SIGHUP)
                    await proxy.log_line("reload: done")
                    seen_before = len(two.seen)
                    assert (await proxy.ask(get("/found/2")))[0] == "200" and len(two.seen) == seen_before + 1
                    assert (await proxy.ask(get("/read/2")))[0] == "200" and len(three.seen) == 1
                    discovery.change(entry("d1", two.address, "leaving"))
                    while (await proxy.ask(get("/found/3")))[0] != "503":
                        await asyncio.sleep(0.05)
                    assert (await proxy.ask(get("/read/3")))[0] == "200"

    run(scenario())


def test_routes_on_the_platform_are_limited_by_its_settings(tmp_path: Path) -> None:
    """The platform's classes, ids and list apply; a route adds its policy, which may not be weaker."""

    async def scenario() -> None:
        async with ScriptedBackend(None) as one, ScriptedBackend(None) as two:
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
                text = f'[[pools]]\nname = "p"\ndiscovery = "platform"\n[[routes]]\n{HEDGED_SAVE}'
                async with served(tmp_path, text, "--platform", **env) as proxy:
                    await discovery.watched.wait()
                    proxy.ports["in"] = int((await proxy.log_line("listening")).split(":")[-1].split()[0])
                    # The platform requires an id.
                    assert (await proxy.ask(post("/save/1", "k1")))[0] == "400"
                    reader, writer = await proxy.connect()
                    writer.write(request("a1"))
                    # The route allows a hedged request.
                    await asyncio.gather(one.requested.wait(), two.requested.wait())
                    one.go.set()
                    two.go.set()
                    assert await read_response(reader) == ("200", b"late")
                    # Without a route only the request's class applies.
                    assert await proxy.ask(request("a2", "read")) == ("200", b"good")
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

    run(scenario())
