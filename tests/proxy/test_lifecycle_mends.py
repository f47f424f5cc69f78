"""Starts, reloads and drains that cross: faults that these tests found, each mended with its test."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from pathlib import Path

from tests.proxy.test_lifecycle_crossings import pushed, shared_socket, with_short_limit
from tests.support.loopback import (
    Backend,
    Discovery,
    configuration,
    entry,
    ok,
    reserved_port,
    run,
    running_proxy,
)


def test_a_successor_that_gets_sigterm_while_it_waits_ends_before_sigkill(tmp_path: Path) -> None:
    """Its classes' longest time is 0.3 s, so SIGKILL comes 1.5 s after SIGTERM; it waits for 3 s."""

    async def scenario() -> None:
        async with Backend() as backend, Discovery() as discovery:
            discovery.may_answer.clear()
            config = with_short_limit(configuration(discovery.address, entry("b", backend.address)))
            with shared_socket() as shared:
                async with (
                    running_proxy(tmp_path, config, True, shared),
                    running_proxy(tmp_path, config, True, shared, until_listening=False) as new,
                ):
                    await new.log_line("admin API")
                    started_at = time.monotonic()
                    new.signal(signal.SIGTERM)
                    await new.process.wait()
                    assert time.monotonic() - started_at < 1.5

    run(scenario())


def test_a_malformed_reload_is_logged_though_the_agent_is_down(tmp_path: Path) -> None:
    """A call every 0.1 s, each with a line; the log takes 5 a second."""

    async def scenario() -> None:
        async with Backend() as backend:
            with reserved_port() as closed_port:
                config = pushed(configuration(f"127.0.0.1:{closed_port}", entry("b", backend.address)))
                async with running_proxy(tmp_path, config, until_listening=False) as proxy:
                    for _ in range(8):
                        await proxy.log_line("no connection")
                    proxy.path.write_text("{")
                    for _ in range(3):
                        proxy.signal(signal.SIGHUP)
                        async with asyncio.timeout(2.0):
                            await proxy.log_line("stays in force")

    run(scenario())


def test_a_wrong_field_is_logged_with_its_file(tmp_path: Path) -> None:
    """The line has the field alone."""

    async def scenario() -> None:
        async with Backend() as backend, Discovery() as discovery:
            config = configuration(discovery.address, entry("b", backend.address))
            async with running_proxy(tmp_path, config) as proxy:
                proxy.path.write_text(json.dumps(config | {"limits": {}}))
                proxy.signal(signal.SIGHUP)
                assert str(proxy.path) in await proxy.log_line("stays in force")

    run(scenario())


def test_the_end_of_a_drain_starts_no_further_attempt(tmp_path: Path) -> None:
    """Two backends drop each other's repeats; the one that has the request says nothing."""

    async def scenario() -> None:
        mute = Backend(lambda head, body: None if head["x-request-id"] == "h1" else ok(b"done"))
        async with mute, Discovery() as discovery:
            discovery.entries = [entry("b1", mute.address), entry("b2", mute.address)]
            config = configuration(discovery.address, *discovery.entries)
            async with running_proxy(tmp_path, config) as proxy:
                await discovery.watched.wait()
                for number in range(20):  # connections to both rest
                    assert (await proxy.send_request(f"r{number}", "read"))[0] == "200"
                held = asyncio.create_task(proxy.send_request("h1"))
                while "h1" not in mute.seen:
                    await asyncio.sleep(0.001)
                proxy.signal(signal.SIGTERM)
                status, _ = await held
                assert await proxy.process.wait() == 0
                assert (status, mute.seen.count("h1")) == ("504", 1)

    run(scenario())
