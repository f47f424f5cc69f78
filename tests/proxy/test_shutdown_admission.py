"""Requests whose last byte comes while a shutdown ends, on connections that are not idle.

The clients go on using what they have opened until the process ends.  Whatever reached the backend has to be
answered, whenever it came; how the times fall is left to the machine, and the verdict does not depend on it.
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

CLIENTS = 100  # few enough that none is closed to make room
KINDS = ("silent", "head", "body", "pipelined")
SERVICE_S = 0.01  # of the backend
FIRST_SEND_S = SHORT_LIMIT_MS / 1000.0  # after SIGTERM, while the shutdown still admits requests
LAST_SEND_S = SHORT_LIMIT_MS / 1000.0 + 0.7  # when SIGKILL may come at the earliest
END_LIMIT_S = 10.0


@dataclass
class Sent:
    """What became of a request; `status` is "closed" where its connection ended without a response."""

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
        kept_back = {"silent": len(self.rest), "head": 60, "body": 2, "pipelined": len(self.rest)}
        begun, self.rest = self.rest[: -kept_back[self.kind]], self.rest[-kept_back[self.kind] :]
        self.writer.write(begun)

    async def send_at(self, at: float) -> list[Sent]:
        await asyncio.sleep(at - asyncio.get_running_loop().time())
        try:
            self.writer.write(self.rest)
            statuses = [(await read_response(self.reader))[0] for _ in self.idents]
        except ConnectionError:
            statuses = ["closed"] * len(self.idents)
        self.writer.close()
        return [Sent(*row) for row in zip(self.idents, statuses, strict=True)]


class SlowBackend(Backend):
    """Responds after SERVICE_S."""

    def __init__(self) -> None:
        super().__init__(self._respond_later)

    def _respond_later(self, head: dict[str, str], body: bytes) -> None:
        ident = head["x-request-id"]
        asyncio.get_running_loop().call_later(
            SERVICE_S, lambda: self.carriers[ident].write(ok(ident.encode()))
        )


def test_a_client_that_stops_in_the_middle_of_a_request_gets_its_rejection_before_the_end(
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


def test_a_silent_connection_ends_with_our_side_first(tmp_path: Path) -> None:
    """So that its client learns of the end before the process is gone, and what it sends is still read."""

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
def test_a_request_that_is_completed_while_a_shutdown_ends_is_answered_or_not_forwarded(
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
                # the gate where a request's last byte is read, and not a later one, refuses what is too late
                assert "received too late in the drain" in await rest_of_log(proxy)
                unanswered = {each.ident for row in sent for each in row if each.status == "closed"}
                assert not unanswered & set(backend.seen)

    run(scenario())
