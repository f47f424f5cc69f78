"""Pipelined requests beyond the limit and during a shutdown: each that was read gets a response."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from tests.support.lifecycle import (
    answer_held,
    ended,
    named,
    stop,
    until_health,
    until_seen,
    with_short_limit,
)
from tests.support.loopback import (
    Discovery,
    configuration,
    entry,
    proxy_with_backend,
    read_response,
    request,
    run,
    running_proxy,
)

KEPT = 9  # one request in flight, and eight that wait behind it
BATCH = 30
# Longer than a shutdown admits requests if the longest deadline of each class is short.
AFTER_ADMISSION_S = 1.0


def test_pipelined_requests_beyond_the_limit_are_refused_in_order_and_the_connection_stays_open(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        backend = named("b")
        async with proxy_with_backend(tmp_path, backend) as proxy:
            reader, writer = await proxy.connect()
            writer.write(b"".join(request(f"{'h' if not n else 'r'}{n}") for n in range(BATCH)))
            await until_seen(backend, "h0")
            answer_held(backend, "h0")
            statuses = [(await read_response(reader))[0] for _ in range(BATCH)]
            assert statuses == ["200"] * KEPT + ["429"] * (BATCH - KEPT)
            writer.write(request("after"))
            assert (await read_response(reader))[0] == "200"
            assert len(backend.seen) == len(set(backend.seen)) == KEPT + 1

    run(scenario())


def test_pipelined_requests_during_a_shutdown_get_responses_and_the_last_closes_the_connection(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with named("b") as backend, Discovery() as discovery:
            discovery.entries = [entry("b1", backend.address)]
            config = with_short_limit(configuration(discovery.address, *discovery.entries))
            async with running_proxy(tmp_path, config, True) as proxy:
                await discovery.watched.wait()
                connections = [await proxy.connect() for _ in range(2)]
                proxy.signal(signal.SIGTERM)
                await until_health(proxy, "503")
                for number, (reader, writer) in enumerate(connections):
                    if number:  # the second batch is read after admission has ended
                        await stop(proxy)
                    writer.write(b"".join(request(f"r{number}-{index}") for index in range(KEPT)))
                    if number:
                        await asyncio.sleep(AFTER_ADMISSION_S)
                        proxy.signal(signal.SIGCONT)
                    statuses = [(await read_response(reader))[0] for _ in range(KEPT)]
                    assert statuses == ["503" if number else "200"] * KEPT
                    assert await reader.read() == b""
                assert len(backend.seen) == KEPT
                assert await ended(proxy, 10.0) == 0

    run(scenario())
