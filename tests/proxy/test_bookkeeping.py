"""The proxy's own books after what should not happen, and its start and end within small limits."""

import asyncio
import json
import signal
from pathlib import Path
from typing import Any

from heronreel.balancer import interface as api
from heronreel.proxy.backends import IDLE_MOST_S
from heronreel.proxy.config import Config, load
from heronreel.proxy.proxy import Ask, Asker, Proxy
from tests.support.loopback import Backend, answer_of, configuration, entry, one_behind, request, run


def config_of(path: Path, *known: dict[str, Any]) -> Config:
    file = path / "config.json"
    file.write_text(json.dumps(configuration("127.0.0.1:1", *known)))
    return load({"LB_NAME": "n0", "LB_LISTEN": "127.0.0.1:0", "LB_CONFIG": str(file)})


class Asking(Asker):
    """A client that only waits for its answer."""

    def __init__(self) -> None:
        self.status: asyncio.Future[int] = asyncio.get_running_loop().create_future()

    def answer(self, status: int, lines: bytes, body: bytes = b"") -> None:
        self.status.set_result(status)


def test_a_connect_that_fails_in_an_odd_way_ends_its_attempt_and_leaves_no_count(tmp_path: Path) -> None:
    async def talk() -> None:
        loop = asyncio.get_running_loop()
        proxy = Proxy(loop, config_of(tmp_path, entry("b1", "127.0.0.1:9"), entry("b2", "127.0.0.1:9")))

        async def odd(*args: object, **more: object) -> None:
            raise ValueError("no such family")

        loop.create_connection = odd  # type: ignore
        client = Asking()
        proxy.arrive(client, Ask(b"GET /read/1 HTTP/1.1\r\n", klass="read"), b"")
        assert await client.status == 503  # it never ran, so it is refused, and at once
        await asyncio.sleep(0)
        assert not proxy.pool.connects and not proxy.pool.links
        assert not proxy.requests and not proxy.budget.used

    run(talk())


def test_an_idle_connection_does_not_stand_in_a_table_that_all_proxies_share(tmp_path: Path) -> None:
    async def talk() -> None:
        async with Backend() as backend:
            config = config_of(tmp_path, entry("b1", backend.address))
            proxy = Proxy(asyncio.get_running_loop(), config)
            client = Asking()
            ask = Ask(b"GET /read/1 HTTP/1.1\r\nx-request-id: 1\r\n", klass="read")
            proxy.arrive(client, ask, b"")
            assert await client.status == 200
            (link,) = proxy.pool.idle
            assert config.conn_idle_ms >= 10.0 * IDLE_MOST_S * 1000.0  # the backend would keep it far longer
            proxy.pool.sweep(link.idle_at + 0.9 * IDLE_MOST_S)
            assert link in proxy.pool.idle
            proxy.pool.sweep(link.idle_at + 1.1 * IDLE_MOST_S)
            assert not proxy.pool.idle and not proxy.pool.open()

    run(talk())


def test_a_timer_that_the_module_fails_on_comes_again(tmp_path: Path) -> None:
    async def talk() -> None:
        proxy = Proxy(asyncio.get_running_loop(), config_of(tmp_path, entry("b1", "127.0.0.1:9")))
        handle, again = proxy.balancer.handle, asyncio.Event()
        failed: list[api.Event] = []

        def failing(now: float, event: api.Event) -> list[api.Action]:
            if isinstance(event, api.TimerFired) and event.token == 0:
                if not failed:
                    failed.append(event)
                    raise RuntimeError("once")
                again.set()
            return handle(now, event)

        proxy.balancer.handle = failing  # type: ignore[method-assign, assignment]
        await again.wait()
        assert proxy.discovery
        proxy.discovery.close()

    run(talk())


def test_it_starts_and_drains_in_32_mb(tmp_path: Path) -> None:
    async def talk() -> None:
        backend = Backend(lambda head, body: None)
        async with one_behind(tmp_path, backend, memory_mb=32) as proxy:
            reader, writer = await proxy.connect()
            writer.write(request("a1"))
            await backend.asked.wait()
            proxy.signal(signal.SIGTERM)
            backend.writers[0].write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
            assert await answer_of(reader) == ("200", b"done")
            assert await reader.read() == b""  # and the connection with it
            assert await proxy.process.wait() == 0

    run(talk())
