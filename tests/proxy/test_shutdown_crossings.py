"""Races between a graceful shutdown, further signals and requests.

The tests force the order of events and draw nothing at random: a stub holds back its response, a named pipe
holds back the content of a configuration file, or a process is stopped and continued.
"""

from __future__ import annotations

import asyncio
import os
import signal
from contextlib import suppress
from pathlib import Path

import pytest

from tests.support.lifecycle import (
    SIGKILL_AFTER_S,
    KeptConnection,
    answer_held,
    ended,
    named,
    rest_of_log,
    stop,
    until_health,
    until_seen,
)
from tests.support.loopback import (
    Backend,
    Discovery,
    configuration,
    entry,
    ok,
    proxy_with_backend,
    run,
    running_proxy,
)


@pytest.mark.parametrize("second", ["SIGHUP", "SIGHUP with a malformed file", "SIGTERM", "SIGINT"])
def test_a_signal_during_the_drain_does_not_cut_it_short(tmp_path: Path, second: str) -> None:
    async def scenario() -> None:
        backend = named("b")
        async with proxy_with_backend(tmp_path, backend, True) as proxy:
            kept = KeptConnection(proxy)
            await kept.open("k1")
            pending = [asyncio.create_task(proxy.send_request(ident)) for ident in ("h1", "h2")]
            await until_seen(backend, "h1", "h2")
            proxy.signal(signal.SIGTERM)
            await until_health(proxy, "503")
            if "malformed" in second:
                proxy.path.write_text("{")
            proxy.signal(signal.Signals[second.split()[0]])
            if "SIGHUP" in second:
                await proxy.log_line("reload")
            else:
                await until_health(proxy, "503")  # a health check after the signal
            await kept.send("k2")
            await kept.is_answered_and_closed()
            answer_held(backend, "h1", "h2")
            assert await asyncio.gather(*pending) == [("200", b"held")] * 2
            assert await ended(proxy, SIGKILL_AFTER_S) == 0
            assert "Traceback" not in await rest_of_log(proxy)
            assert sorted(backend.seen) == ["h1", "h2", "k1", "k2"]

    run(scenario())


def test_a_request_that_arrives_together_with_sigterm_gets_a_response(tmp_path: Path) -> None:
    """The process finds the signal and the unread requests at the same time, and responds while it drains."""

    async def scenario() -> None:
        backend = named("b")
        async with proxy_with_backend(tmp_path, backend, True) as proxy:
            clients = [KeptConnection(proxy) for _ in range(8)]
            idents = [f"h{number}" for number in range(8)]
            for number, client in enumerate(clients):
                await client.open(f"k{number}")
            await stop(proxy)
            for client, ident in zip(clients[:4], idents, strict=False):
                await client.send(ident)
            proxy.signal(signal.SIGTERM)
            for client, ident in zip(clients[4:], idents[4:], strict=True):
                await client.send(ident)
            proxy.signal(signal.SIGCONT)
            await until_seen(backend, *idents)
            await until_health(proxy, "503")
            answer_held(backend, *idents)
            for client in clients:
                await client.is_answered_and_closed()
            assert await ended(proxy, SIGKILL_AFTER_S) == 0
            assert len(backend.seen) == len(set(backend.seen)) == 16

    run(scenario())


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP, signal.SIGINT])
def test_signals_while_the_process_exits_do_not_change_its_exit_status(
    tmp_path: Path, number: signal.Signals
) -> None:
    async def scenario() -> None:
        async with proxy_with_backend(tmp_path, Backend()) as proxy:
            proxy.signal(signal.SIGTERM)
            await proxy.log_line("drain ended")
            with suppress(ProcessLookupError):
                while proxy.process.returncode is None:
                    # `send_signal` may reap the process and so consume its exit status.
                    os.kill(proxy.process.pid, number)
                    await asyncio.sleep(0.0005)
            assert await proxy.process.wait() == 0

    run(scenario())


def test_the_end_of_a_drain_starts_no_further_attempt(tmp_path: Path) -> None:
    """The two backends share deduplication, so a retry would be allowed; the request gets no response."""

    async def scenario() -> None:
        silent_backend = Backend(lambda head, body: None if head["x-request-id"] == "h1" else ok(b"done"))
        async with silent_backend, Discovery() as discovery:
            discovery.entries = [entry("b1", silent_backend.address), entry("b2", silent_backend.address)]
            config = configuration(discovery.address, *discovery.entries)
            async with running_proxy(tmp_path, config) as proxy:
                await discovery.watched.wait()
                for number in range(20):  # both backends then have idle connections
                    assert (await proxy.send_request(f"r{number}", "read"))[0] == "200"
                held = asyncio.create_task(proxy.send_request("h1"))
                while "h1" not in silent_backend.seen:
                    await asyncio.sleep(0.001)
                proxy.signal(signal.SIGTERM)
                status, _ = await held
                assert await proxy.process.wait() == 0
                assert (status, silent_backend.seen.count("h1")) == ("504", 1)

    run(scenario())
