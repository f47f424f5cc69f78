"""Races between the start of a process, signals, discovery and clients in the backlog.

The tests force the order of events and draw nothing at random: a stub holds back its response, a named pipe
holds back the content of a configuration file, or a process is stopped and continued.
"""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import time
from pathlib import Path
from typing import Any

import pytest

from tests.support.lifecycle import (
    CROWD,
    OLD_LIMIT_S,
    SIGKILL_AFTER_S,
    START_LIMIT_S,
    WITHOUT_DEADLINE,
    KeptConnection,
    backlog_of_requests,
    ended,
    named,
    pushed,
    rest_of_log,
    send_all,
    shared_socket,
    stop,
    with_short_limit,
)
from tests.support.loopback import (
    Backend,
    Discovery,
    Listener,
    configuration,
    entry,
    read_response,
    request,
    reserved_port,
    run,
    running_proxy,
)


def test_sigterm_while_a_start_waits_for_its_agent_ends_the_process_without_an_error(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Backend() as backend, Discovery() as agent:
            agent.may_answer.clear()
            config = pushed(configuration(agent.address, entry("b", backend.address)))
            async with running_proxy(tmp_path, config, until_listening=False) as proxy:
                await agent.called.wait()
                proxy.signal(signal.SIGTERM)
                assert await ended(proxy, SIGKILL_AFTER_S) == 0
                assert "Traceback" not in await rest_of_log(proxy)

    run(scenario())


def test_after_sigterm_to_a_waiting_successor_the_predecessor_serves_all_requests(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Backend() as backend, Discovery() as discovery, Discovery() as held:
            discovery.entries = held.entries = [entry("b", backend.address)]
            held.may_answer.clear()
            config = configuration(discovery.address, *discovery.entries)
            with shared_socket() as shared:
                async with running_proxy(tmp_path, config, True, shared) as old:
                    kept = KeptConnection(old)
                    await kept.open("k1")
                    waiting = config | {"discovery": held.address}
                    async with running_proxy(tmp_path, waiting, True, shared, until_listening=False) as new:
                        await held.called.wait()
                        new.signal(signal.SIGTERM)
                        end = asyncio.create_task(ended(new, SIGKILL_AFTER_S))
                        sent = 0
                        while not end.done() or sent < CROWD:
                            sent += 1
                            assert await old.send_request(f"r{sent}") == ("200", b"r%d" % sent)
                        assert await end == 0
                        assert "Traceback" not in await rest_of_log(new)
                    await kept.send("k2")
                    assert await read_response(kept.reader) == ("200", b"k2")
                    assert len(set(backend.seen)) == len(backend.seen) == sent + 2

    run(scenario())


def test_a_reload_while_a_start_waits_applies_to_the_first_request(tmp_path: Path) -> None:
    """The request is in the backlog, so it is read as soon as the process listens."""

    async def scenario() -> None:
        async with named("old") as old, named("new") as new, Discovery() as first, Discovery() as second:
            first.entries, second.entries = [entry("b-old", old.address)], [entry("b-new", new.address)]
            first.may_answer.clear()
            second.may_answer.clear()
            config = pushed(configuration(first.address, *first.entries))
            with shared_socket() as shared:
                async with running_proxy(tmp_path, config, shared=shared, until_listening=False) as proxy:
                    await first.called.wait()
                    reader, writer = await proxy.connect()
                    writer.write(request("h1", extra=WITHOUT_DEADLINE))
                    changed = with_short_limit(config) | {"discovery": second.address}
                    proxy.path.write_text(json.dumps(changed))
                    proxy.signal(signal.SIGHUP)
                    await proxy.log_line("listening")
                    listening_at = time.monotonic()
                    assert (await read_response(reader))[0] == "504"
                    assert time.monotonic() - listening_at < OLD_LIMIT_S / 2
                    # Set only now, so that the request had no other backend for a retry.
                    second.may_answer.set()
                    await second.watched.wait()
                    while (await proxy.send_request("r0", "read"))[1] != b"new":
                        pass  # the new list has not been read yet
                    first.may_answer.set()
                    await first.watched.wait()
                    responses = await send_all(proxy, *(f"r{number}" for number in range(1, 9)))
                    assert responses == [("200", b"new")] * 8

    run(scenario())


async def check_backlog_served_in_time(
    path: Path, config: dict[str, Any], shared: socket.socket, backend: Backend, with_admin_api: bool
) -> None:
    """Start a proxy, and check that it serves each request in the backlog once and in time."""
    async with backlog_of_requests(shared) as readers:
        started_at = time.monotonic()
        # Its line "listening" may be dropped, because failing calls to the agent use up the log's limit.
        async with running_proxy(path, config, with_admin_api, shared, until_listening=False):
            responses = await asyncio.gather(*map(read_response, readers))
            assert time.monotonic() - started_at < START_LIMIT_S
            assert responses == [("200", b"w%d" % number) for number in range(CROWD)]
            assert len(backend.seen) == len(set(backend.seen)) == CROWD


@pytest.mark.parametrize("mode", ["watched", "pushed"])
@pytest.mark.parametrize("failure", ["refuses connections", "does not respond"])
def test_clients_in_the_backlog_are_served_in_time_while_discovery_is_down(
    tmp_path: Path, mode: str, failure: str
) -> None:
    async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()

    async def scenario() -> None:
        async with Backend() as backend, Listener(silent) as silent_discovery:
            with shared_socket() as shared, reserved_port() as closed_port:
                refusing_address = f"127.0.0.1:{closed_port}"
                address = silent_discovery.address if failure == "does not respond" else refusing_address
                config = configuration(address, entry("b", backend.address))
                config = pushed(config) if mode == "pushed" else config
                await check_backlog_served_in_time(tmp_path, config, shared, backend, False)

    run(scenario())


def test_a_successor_serves_the_backlog_in_time_while_discovery_is_down_and_its_predecessor_stopped(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with Backend() as backend:
            with shared_socket() as shared, reserved_port() as closed_port:
                config = configuration(f"127.0.0.1:{closed_port}", entry("b", backend.address))
                async with running_proxy(tmp_path, config, True, shared) as old:
                    await stop(old)
                    await check_backlog_served_in_time(tmp_path, config, shared, backend, True)

    run(scenario())


def test_a_successor_that_gets_sigterm_while_it_waits_exits_before_sigkill(tmp_path: Path) -> None:
    """The longest deadline is 0.3 s, so SIGKILL comes 1.5 s after SIGTERM; the wait is for 3 s."""

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
