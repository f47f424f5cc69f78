"""The dispatcher after unexpected errors, at shutdown, and in a process with little memory."""

import asyncio
import json
import signal
import time
from pathlib import Path
from typing import Any

from heronreel.balancer import interface as api
from heronreel.proxy.config import Config, load
from heronreel.proxy.connection_pool import MAX_IDLE_S
from heronreel.proxy.dispatcher import Dispatcher
from heronreel.proxy.request import RequestHead, ResponseWriter
from tests.support.loopback import (
    Backend,
    configuration,
    entry,
    proxy_with_backend,
    read_response,
    request,
    run,
)

SENT_HEAD = b"GET /read/1 HTTP/1.1\r\nx-request-id: r1\r\n"


def config_of(path: Path, *known: dict[str, Any]) -> Config:
    file = path / "config.json"
    file.write_text(json.dumps(configuration("127.0.0.1:1", *known)))
    return load({"LB_NAME": "n0", "LB_LISTEN": "127.0.0.1:0", "LB_CONFIG": str(file)})


class WaitingClient(ResponseWriter):
    """A client that waits for its response and keeps only the status."""

    def __init__(self) -> None:
        self.status: asyncio.Future[int] = asyncio.get_running_loop().create_future()

    def respond(self, status: int, header_lines: bytes, body: bytes = b"") -> None:
        self.status.set_result(status)


def test_an_unexpected_connect_error_ends_its_attempt_and_leaks_nothing(tmp_path: Path) -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        dispatcher = Dispatcher(
            loop, config_of(tmp_path, entry("b1", "127.0.0.1:9"), entry("b2", "127.0.0.1:9"))
        )

        async def fail_unexpectedly(*args: object, **options: object) -> None:
            raise ValueError("no such family")

        loop.create_connection = fail_unexpectedly  # type: ignore
        client = WaitingClient()
        dispatcher.submit(client, RequestHead(b"GET /read/1 HTTP/1.1\r\n", class_name="read"), b"")
        assert await client.status == 503  # The request never ran, so it is rejected, and immediately.
        await asyncio.sleep(0)
        assert not dispatcher.pool.connecting and not dispatcher.pool.connections
        assert not dispatcher.requests and not dispatcher.memory.used

    run(scenario())


def test_no_attempt_is_sent_after_admission_has_ended(tmp_path: Path) -> None:
    """The same check applies to retries and to attempts whose connection comes up late."""

    async def scenario() -> None:
        async with Backend() as backend:
            config = config_of(tmp_path, entry("b1", backend.address))
            dispatcher = Dispatcher(asyncio.get_running_loop(), config)
            now = time.monotonic()
            dispatcher.begin_shutdown(send_until=now, answer_by=now + 60.0)
            client = WaitingClient()
            dispatcher.submit(client, RequestHead(SENT_HEAD, class_name="read"), b"")
            assert await client.status == 503
            assert backend.seen == []

    run(scenario())


def test_an_idle_connection_is_closed_long_before_the_backend_would_close_it(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Backend() as backend:
            config = config_of(tmp_path, entry("b1", backend.address))
            dispatcher = Dispatcher(asyncio.get_running_loop(), config)
            client = WaitingClient()
            head = RequestHead(b"GET /read/1 HTTP/1.1\r\nx-request-id: 1\r\n", class_name="read")
            dispatcher.submit(client, head, b"")
            assert await client.status == 200
            (connection,) = dispatcher.pool.idle
            # The backend would keep the connection for far longer.
            assert config.backend_idle_ms >= 10.0 * MAX_IDLE_S * 1000.0
            dispatcher.pool.close_expired(connection.idle_since + 0.9 * MAX_IDLE_S)
            assert connection in dispatcher.pool.idle
            dispatcher.pool.close_expired(connection.idle_since + 1.1 * MAX_IDLE_S)
            assert not dispatcher.pool.idle and not dispatcher.pool.open_count()

    run(scenario())


def test_a_timer_event_that_the_balancer_fails_on_is_repeated(tmp_path: Path) -> None:
    async def scenario() -> None:
        dispatcher = Dispatcher(asyncio.get_running_loop(), config_of(tmp_path, entry("b1", "127.0.0.1:9")))
        handle, fired_again = dispatcher.balancer.handle, asyncio.Event()
        failed_events: list[api.Event] = []

        def fail_once(now: float, event: api.Event) -> list[api.Action]:
            if isinstance(event, api.TimerFired) and event.token == 0:
                if not failed_events:
                    failed_events.append(event)
                    raise RuntimeError("once")
                fired_again.set()
            return handle(now, event)

        dispatcher.balancer.handle = fail_once  # type: ignore[method-assign, assignment]
        await fired_again.wait()
        assert dispatcher.watch
        dispatcher.watch.close()

    run(scenario())


def test_a_process_with_a_limit_of_32_mb_starts_and_drains(tmp_path: Path) -> None:
    async def scenario() -> None:
        backend = Backend(lambda head, body: None)
        async with proxy_with_backend(tmp_path, backend, memory_mb=32) as proxy:
            reader, writer = await proxy.connect()
            writer.write(request("a1"))
            await backend.requested.wait()
            proxy.signal(signal.SIGTERM)
            backend.writers[0].write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
            assert await read_response(reader) == ("200", b"done")
            assert await reader.read() == b""  # The proxy closes the connection after the response.
            assert await proxy.process.wait() == 0

    run(scenario())
