"""The deadline header of attempts whose remaining time differs from the client's deadline."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path

from tests.support.attempt_log import AttemptLog, after, hang
from tests.support.lifecycle import with_short_limit
from tests.support.loopback import (
    Discovery,
    configuration,
    entry,
    ok,
    proxy_with_backend,
    read_response,
    request,
    run,
    running_proxy,
)

# How much the deadline header may exceed the client's remaining time.
DEADLINE_SLACK_S = 0.15
NOT_RUN_RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
DEADLINE_MS = 3000
# A body of this length is forwarded while it is being received, and is kept for a retry.
LONG_BODY = b"x" * (600 << 10)
# SIGKILL follows SIGTERM after the sum of these times.
MAX_COUNTED_DEADLINE_S = 3.0
KILL_MARGIN_S = 0.7


def with_deadline(ident: str, deadline_ms: int, body: bytes = b"ride") -> bytes:
    return request(ident, body=body, extra=f"X-Deadline-Ms: {deadline_ms}\r\n")


def test_a_retry_of_a_long_body_has_the_remaining_time_as_its_deadline(tmp_path: Path) -> None:
    async def scenario() -> None:
        backends = [AttemptLog(after(0.4, NOT_RUN_RESPONSE)) for _ in range(3)]
        async with backends[0], backends[1], backends[2]:
            known = [entry(f"b{number}", backend.address) for number, backend in enumerate(backends)]
            async with Discovery(*known) as discovery:
                config = configuration(discovery.address, *known)
                async with running_proxy(tmp_path, config) as proxy:
                    reader, writer = await proxy.connect()
                    writer.write(with_deadline("a1", DEADLINE_MS, LONG_BODY))
                    await writer.drain()
                    sent_at = time.monotonic()
                    await read_response(reader)
                    assert sum(len(backend.began) for backend in backends) >= 2
                    for backend in backends:
                        assert backend.excess_deadlines_s(sent_at, DEADLINE_MS, DEADLINE_SLACK_S) == []

    run(scenario())


def test_the_deadline_of_an_attempt_during_shutdown_is_before_the_end_of_the_process(tmp_path: Path) -> None:
    """The client's own deadline is after the end of the process."""

    async def scenario() -> None:
        backend = AttemptLog(after(0.0, ok(b"done")))
        async with proxy_with_backend(tmp_path, backend) as proxy:
            reader, writer = await proxy.connect()
            proxy.signal(signal.SIGTERM)
            signalled_at = time.monotonic()
            await proxy.log_line("drain started")
            writer.write(with_deadline("a1", 5000))
            assert await read_response(reader) == ("200", b"done")
            ((began_at, head),) = backend.began
            killed_at = signalled_at + MAX_COUNTED_DEADLINE_S + KILL_MARGIN_S
            assert int(head["x-deadline-ms"]) / 1000.0 < killed_at - began_at

    run(scenario())


def test_the_deadline_of_a_retry_during_shutdown_is_before_the_end_of_the_process(tmp_path: Path) -> None:
    """The request was accepted before the signal; its own deadline is after the end of the process."""

    async def scenario() -> None:
        backends = [AttemptLog(after(0.5, NOT_RUN_RESPONSE)) for _ in range(2)]
        async with backends[0], backends[1]:
            known = [entry(f"b{number}", backend.address) for number, backend in enumerate(backends)]
            async with Discovery(*known) as discovery:
                config = configuration(discovery.address, *known)
                async with running_proxy(tmp_path, config) as proxy:
                    reader, writer = await proxy.connect()
                    writer.write(with_deadline("a1", 6000))
                    while not any(backend.began for backend in backends):
                        await asyncio.sleep(0.001)
                    proxy.signal(signal.SIGTERM)
                    signalled_at = time.monotonic()
                    await read_response(reader)
                    *_, (began_at, head) = sorted(
                        (attempt for backend in backends for attempt in backend.began),
                        key=lambda attempt: attempt[0],
                    )
                    assert sum(len(backend.began) for backend in backends) >= 2
                    killed_at = signalled_at + MAX_COUNTED_DEADLINE_S + KILL_MARGIN_S
                    assert int(head["x-deadline-ms"]) / 1000.0 < killed_at - began_at

    run(scenario())


def test_a_request_accepted_before_a_shutdown_is_answered_before_its_end(tmp_path: Path) -> None:
    """The timeout of a long body starts with its last byte, and would end after the process."""

    async def scenario() -> None:
        async with proxy_with_backend(tmp_path, AttemptLog(hang)) as proxy:
            reader, writer = await proxy.connect()
            data = with_deadline("a1", 5000, LONG_BODY)
            writer.write(data[:-1])
            await writer.drain()
            proxy.signal(signal.SIGTERM)
            await proxy.log_line("drain started")
            writer.write(data[-1:])
            assert (await read_response(reader))[0] == "504"
            assert await proxy.process.wait() == 0

    run(scenario())


def test_a_body_that_is_incomplete_when_admission_ends_is_refused_and_never_runs(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        backend = AttemptLog(hang)
        async with backend, Discovery(entry("b1", backend.address)) as discovery:
            config = with_short_limit(configuration(discovery.address, *discovery.entries))
            async with running_proxy(tmp_path, config) as proxy:
                reader, writer = await proxy.connect()
                writer.write(with_deadline("a1", 300, LONG_BODY)[:-1])
                await writer.drain()
                proxy.signal(signal.SIGTERM)
                assert (await read_response(reader))[0] == "503"
                assert await proxy.process.wait() == 0
                assert backend.began == []

    run(scenario())
