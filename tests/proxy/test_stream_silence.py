"""The time in which a stream is not read, because its client takes no more, is no silence of its backend."""

from __future__ import annotations

import asyncio
import socket
from typing import cast

import pytest

from heronreel.balancer.interface import Outcome
from heronreel.proxy import backend_connection
from heronreel.proxy.backend_connection import Attempt, AttemptRequest, Backend, BackendConnection
from heronreel.proxy.memory_account import MemoryAccount
from tests.support.loopback import run

SILENCE_S = 0.2
LENGTH = 100_000


class Request:
    """A request without a body."""

    head, body, upload, in_flight, finished = b"GET / HTTP/1.1\r\n", b"", None, 1, False


class Owner:
    """The pool and the client of one attempt; keeps the outcome and the length of what was forwarded."""

    accepts_any_status = False

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.observer = self
        self.memory = MemoryAccount(1 << 20)
        self.connections = set[BackendConnection]()
        self.waiting_for_memory: dict[BackendConnection, None] = {}
        self.forwarded_bytes = 0
        self.outcome: asyncio.Future[Outcome] = self.loop.create_future()

    def response_streaming(self, *_: object) -> Owner:
        return self

    def write_body(self, data: bytes) -> None:
        self.forwarded_bytes += len(data)

    def end_attempt(self, attempt: Attempt, outcome: Outcome, *_: object) -> None:
        self.outcome.set_result(outcome)

    def release(self, connection: BackendConnection) -> None:
        connection.transport.abort()

    def remove(self, connection: BackendConnection) -> None: ...

    def resume_waiting_for_memory(self) -> None: ...


def test_a_pause_of_reading_that_ends_just_before_the_check_is_no_silence(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(backend_connection, "MAX_STREAM_SILENCE_S", SILENCE_S)

    async def scenario() -> None:
        loop, owner = asyncio.get_running_loop(), Owner()
        near, far = socket.socketpair()
        backend = Backend(1, "b1", ("", 0), 0.0)
        connection = BackendConnection(cast(backend_connection.ConnectionOwner, owner), backend)
        await loop.create_connection(lambda: connection, sock=near)
        attempt = Attempt(cast(AttemptRequest, Request()), 0, backend, 0.0, ends_at=0.0)  # past its deadline
        connection.send(attempt, 0.0)
        far.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LENGTH)
        while connection.silence_timer is None:
            await asyncio.sleep(0.001)
        connection.set_client_blocked(True)
        first_check = connection.silence_timer
        while connection.silence_timer is first_check:
            await asyncio.sleep(0.001)
        loop.call_at(connection.silence_timer.when() - 0.002, connection.set_client_blocked, False)
        loop.call_at(connection.silence_timer.when() + 0.05, far.sendall, bytes(LENGTH))
        assert await owner.outcome is Outcome.SERVED
        assert owner.forwarded_bytes == LENGTH
        far.close()

    run(scenario())
