"""Requests that are completed near the end of a shutdown, on connections that are not idle.

The clients use their open connections until the process ends.  Each request that reached the backend must get
a response, whenever it was sent.  The exact timing varies between runs; the assertions don't depend on it.
"""

from __future__ import annotations

import asyncio
import signal
from dataclasses import dataclass
from pathlib import Path

import pytest

from tests.support.lifecycle import SHORT_LIMIT_MS, ended, rest_of_log, with_short_limit
from tests.support.loopback import (
    Backend,
    Discovery,
    ProxyProcess,
    configuration,
    entry,
    ok,
    read_response,
    request,
    run,
    running_proxy,
)

CLIENTS = 100  # few enough that none is closed to make room for another
# How much of its request a client has sent before the shutdown; "pipelined" sends three at once later.
KINDS = ("silent", "head", "body", "pipelined")
SERVICE_TIME_S = 0.01  # of the backend
FIRST_SEND_S = SHORT_LIMIT_MS / 1000.0  # after SIGTERM, while requests are still admitted
LAST_SEND_S = SHORT_LIMIT_MS / 1000.0 + 0.7  # after SIGTERM, at the earliest time of SIGKILL
END_LIMIT_S = 10.0


@dataclass
class RequestResult:
    """The result of a request; `status` is "closed" if its connection ended without a response."""

    ident: str
    status: str


class LateClient:
    """A client that opens its connection before the shutdown and completes a request during it."""

    def __init__(self, number: int, kind: str) -> None:
        self.number, self.kind = number, kind
        self.idents = [f"{kind}-{number}-{part}" for part in range(3 if kind == "pipelined" else 1)]

    async def open(self, proxy: ProxyProcess) -> None:
        self.reader, self.writer = await proxy.connect()
        self.rest = b"".join(map(request, self.idents))
        held_back = {"silent": len(self.rest), "head": 60, "body": 2, "pipelined": len(self.rest)}
        first_part, self.rest = self.rest[: -held_back[self.kind]], self.rest[-held_back[self.kind] :]
        self.writer.write(first_part)

    async def send_at(self, at: float) -> list[RequestResult]:
        await asyncio.sleep(at - asyncio.get_running_loop().time())
        try:
            self.writer.write(self.rest)
            statuses = [(await read_response(self.reader))[0] for _ in self.idents]
        except ConnectionError:
            statuses = ["closed"] * len(self.idents)
        self.writer.close()
        return [RequestResult(*row) for row in zip(self.idents, statuses, strict=True)]


class SlowBackend(Backend):
    """Responds after `SERVICE_TIME_S`."""

    def __init__(self) -> None:
        super().__init__(self._respond_later)

    def _respond_later(self, head: dict[str, str], body: bytes) -> None:
        ident = head["x-request-id"]
        asyncio.get_running_loop().call_later(
            SERVICE_TIME_S, lambda: self.carriers[ident].write(ok(ident.encode()))
        )


def test_a_client_that_never_completes_its_request_gets_a_503_before_the_shutdown_ends(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with Backend() as backend, Discovery(entry("b1", backend.address)) as discovery:
            config = with_short_limit(configuration(discovery.address, *discovery.entries))
            async with running_proxy(tmp_path, config) as proxy:
                clients = [LateClient(0, "head"), LateClient(0, "body")]
                for client in clients:
                    await client.open(proxy)
                proxy.signal(signal.SIGTERM)
                assert [(await read_response(client.reader))[0] for client in clients] == ["503", "503"]
                assert await ended(proxy, END_LIMIT_S) == 0
                assert backend.seen == []

    run(scenario())


def test_the_proxy_shuts_down_its_side_of_a_silent_connection_before_the_drain_ends(tmp_path: Path) -> None:
    """The client sees the end before the process exits, and what it sends meanwhile is still read."""

    async def scenario() -> None:
        async with Backend() as backend, Discovery(entry("b1", backend.address)) as discovery:
            config = with_short_limit(configuration(discovery.address, *discovery.entries))
            async with running_proxy(tmp_path, config) as proxy:
                reader, writer = await proxy.connect()
                proxy.signal(signal.SIGTERM)
                assert await reader.read() == b""
                writer.close()
                log = await rest_of_log(proxy)
                assert log.index("reason=draining") < log.index("drain ended")
                assert await ended(proxy, END_LIMIT_S) == 0

    run(scenario())


@pytest.mark.parametrize("kind", KINDS)
def test_a_request_completed_near_the_end_of_a_shutdown_is_answered_or_not_forwarded(
    tmp_path: Path, kind: str
) -> None:
    async def scenario() -> None:
        backend = SlowBackend()
        async with backend, Discovery() as discovery:
            discovery.entries = [entry("b1", backend.address)]
            config = with_short_limit(configuration(discovery.address, *discovery.entries, sockets=1024))
            async with running_proxy(tmp_path, config) as proxy:
                await discovery.watched.wait()
                clients = [LateClient(number, kind) for number in range(CLIENTS)]
                for client in clients:
                    await client.open(proxy)
                proxy.signal(signal.SIGTERM)
                began_at = asyncio.get_running_loop().time()
                step_s = (LAST_SEND_S - FIRST_SEND_S) / CLIENTS
                sent = await asyncio.gather(*(
                    client.send_at(began_at + FIRST_SEND_S + client.number * step_s) for client in clients
                ))  # fmt: skip
                assert await ended(proxy, END_LIMIT_S) == 0
                # Late requests are refused when their last byte is read, and not at a later check.
                assert "received too late in the drain" in await rest_of_log(proxy)
                unanswered = {
                    result.ident for results in sent for result in results if result.status == "closed"
                }
                assert not unanswered & set(backend.seen)

    run(scenario())
