"""What attempts tell their backends of the time left, where it is not what the client said."""

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

TOLD_SLACK_S = 0.15
FULL = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
DEADLINE_MS = 3000
LONG_BODY = b"x" * (600 << 10)  # forwarded as it comes, and kept for a retry
LONGEST_COUNTED_S, KILL_MARGIN_S = 3.0, 0.7  # SIGKILL comes so long after SIGTERM


def with_deadline(ident: str, deadline_ms: int, body: bytes = b"ride") -> bytes:
    return request(ident, body=body, extra=f"X-Deadline-Ms: {deadline_ms}\r\n")


def test_a_long_body_that_is_sent_again_tells_what_is_left(tmp_path: Path) -> None:
    async def scenario() -> None:
        backends = [AttemptLog(after(0.4, FULL)) for _ in range(3)]
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
                        assert backend.told_too_much(sent_at, DEADLINE_MS, TOLD_SLACK_S) == []

    run(scenario())


def test_an_attempt_in_a_shutdown_tells_no_more_than_what_is_left_of_it(tmp_path: Path) -> None:
    """The client would wait beyond the process's end."""

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
            killed_at = signalled_at + LONGEST_COUNTED_S + KILL_MARGIN_S
            assert int(head["x-deadline-ms"]) / 1000.0 < killed_at - began_at

    run(scenario())


def test_a_retry_in_a_shutdown_tells_no_more_than_what_is_left_of_it(tmp_path: Path) -> None:
    """The request was taken before, and its client would wait beyond the process's end."""

    async def scenario() -> None:
        backends = [AttemptLog(after(0.5, FULL)) for _ in range(2)]
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
                    killed_at = signalled_at + LONGEST_COUNTED_S + KILL_MARGIN_S
                    assert int(head["x-deadline-ms"]) / 1000.0 < killed_at - began_at

    run(scenario())


def test_what_was_taken_before_a_shutdown_is_answered_before_its_end(tmp_path: Path) -> None:
    """A long body's time begins with its last byte, and would last beyond the process's end."""

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


def test_a_body_that_is_still_coming_when_nothing_is_admitted_any_more_is_refused_and_never_runs(
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
