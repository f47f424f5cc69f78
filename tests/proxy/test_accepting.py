"""Accepting connections while `accept` fails, and pending connections when the listener closes."""

from __future__ import annotations

import asyncio
import errno
import math
import os
import resource
import signal
import socket
import time
from pathlib import Path
from typing import Any

import pytest
import uvloop

from heronreel.proxy.acceptor import Acceptor
from heronreel.proxy.client_listener import ClientListener
from heronreel.proxy.dispatcher import Dispatcher
from tests.proxy.test_dispatcher import config_of
from tests.support.lifecycle import KeptConnection, ended, named, stop, with_short_limit
from tests.support.loopback import (
    Discovery,
    ProxyProcess,
    configuration,
    entry,
    proxy_with_backend,
    read_response,
    request,
    run,
    running_proxy,
)

HEALTH_CHECK = b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"
NEW_CONNECTIONS = 20  # opened while none can be accepted
MAX_CPU_RATIO = 0.25  # of one core while `accept` fails
FAULT_S = 1.0
MAX_DESCRIPTORS = 160
MAX_ACCEPT_CALLS_PER_S = 200


def limit_descriptors(proxy: ProxyProcess, soft: int) -> None:
    """Set the soft limit on descriptors of the running process; beyond it, `accept` fails with EMFILE."""
    _, hard = resource.prlimit(proxy.process.pid, resource.RLIMIT_NOFILE)
    resource.prlimit(proxy.process.pid, resource.RLIMIT_NOFILE, (soft, hard))


def processor_time_s(proxy: ProxyProcess) -> float:
    """Return the processor time that the process has used."""
    fields = Path(f"/proc/{proxy.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def test_connections_wait_while_descriptors_are_exhausted_and_are_served_afterwards(tmp_path: Path) -> None:
    async def scenario() -> None:
        backend = named("b")
        async with proxy_with_backend(tmp_path, backend) as proxy:
            kept = KeptConnection(proxy)
            await kept.open("k1")
            usual, _ = resource.prlimit(proxy.process.pid, resource.RLIMIT_NOFILE)
            limit_descriptors(proxy, 3)
            waiting = [
                asyncio.create_task(proxy.send_request(f"w{number}")) for number in range(NEW_CONNECTIONS)
            ]
            assert "error=EMFILE" in await proxy.log_line("accept failed")
            processor_time_before_s, began_at = processor_time_s(proxy), time.monotonic()
            # Open connections are served meanwhile.  A health check is sent because a request would need a
            # descriptor for the backend.
            while time.monotonic() < began_at + FAULT_S:
                kept.writer.write(HEALTH_CHECK)
                assert (await read_response(kept.reader))[0] == "200"
                await asyncio.sleep(FAULT_S / 10)
            elapsed_s = time.monotonic() - began_at
            assert processor_time_s(proxy) - processor_time_before_s < MAX_CPU_RATIO * elapsed_s
            assert not any(task.done() for task in waiting)
            limit_descriptors(proxy, usual)
            assert await asyncio.gather(*waiting) == [("200", b"b")] * NEW_CONNECTIONS

    run(scenario())


class FailingListener(socket.socket):
    """A listening socket whose `accept` fails while `error` is not 0, and counts its calls."""

    error = 0
    calls = 0

    def accept(self) -> tuple[socket.socket, Any]:
        self.calls += 1
        if self.error:
            raise OSError(self.error, os.strerror(self.error))
        return super().accept()


@pytest.mark.parametrize("name", ["ENFILE", "ENOBUFS", "ENOMEM", "EPROTO", "ECONNABORTED", "ENETUNREACH"])
def test_failing_accept_is_retried_at_a_limited_rate_and_pending_connections_are_accepted(name: str) -> None:
    async def scenario() -> None:
        accepted = asyncio.Event()

        class Accepted(asyncio.Protocol):
            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                accepted.set()

        listener = FailingListener()
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        listener.error = getattr(errno, name)
        acceptor = Acceptor(asyncio.get_running_loop(), listener, Accepted)
        _, writer = await asyncio.open_connection(*listener.getsockname())
        began_at = time.monotonic()
        await asyncio.sleep(FAULT_S)
        assert listener.calls <= MAX_ACCEPT_CALLS_PER_S * (time.monotonic() - began_at)
        assert not accepted.is_set()
        # Before the listener closes, pending connections are accepted as soon as the fault is over.
        accepting = asyncio.create_task(acceptor.accept_pending(until=math.inf))
        await asyncio.sleep(0)
        listener.error = 0
        await accepting
        acceptor.close()
        await accepted.wait()
        writer.close()

    uvloop.run(asyncio.wait_for(scenario(), 60.0))


def test_pending_connections_on_a_shared_socket_are_left_to_the_successor(tmp_path: Path) -> None:
    async def scenario() -> None:
        loop, config = asyncio.get_running_loop(), config_of(tmp_path)
        clients = ClientListener(loop, config, Dispatcher(loop, config))
        with socket.create_server(("127.0.0.1", 0)) as shared:
            clients.listen(shared.getsockname(), inherited=shared.dup().detach())
            with socket.create_connection(shared.getsockname()):
                await clients.stop_listening(has_successor=True, until=math.inf)
                shared.setblocking(False)
                shared.accept()[0].close()

    uvloop.run(scenario())


def test_many_connections_in_the_backlog_are_accepted_within_the_descriptor_limit(tmp_path: Path) -> None:
    """They arrive while the process is stopped.  None is silent or idle, so none can be closed."""

    async def scenario() -> None:
        async with proxy_with_backend(tmp_path, named("b"), sockets=MAX_DESCRIPTORS) as proxy:
            await stop(proxy)
            connections = [await proxy.connect() for _ in range(2 * MAX_DESCRIPTORS)]
            for _, writer in connections:
                writer.write(b"POST /save/")
            proxy.signal(signal.SIGCONT)
            highest, ends_at = 0, time.monotonic() + FAULT_S
            while time.monotonic() < ends_at:
                highest = max(highest, proxy.descriptors())
                await asyncio.sleep(0)
            assert MAX_DESCRIPTORS / 2 < highest <= MAX_DESCRIPTORS

    run(scenario())


@pytest.mark.parametrize("count", [1, NEW_CONNECTIONS])
def test_connections_in_the_backlog_of_a_closing_listener_get_responses(tmp_path: Path, count: int) -> None:
    """The process is stopped past the end of accepting, and then finds these in the kernel's queue."""

    async def scenario() -> None:
        async with named("b") as backend, Discovery() as discovery:
            discovery.entries = [entry("b1", backend.address)]
            config = with_short_limit(configuration(discovery.address, *discovery.entries))
            async with running_proxy(tmp_path, config) as proxy:
                await discovery.watched.wait()
                proxy.signal(signal.SIGTERM)
                await proxy.log_line("drain started")
                await stop(proxy)
                opened = [await proxy.connect() for _ in range(count)]
                for number, (_, writer) in enumerate(opened):
                    writer.write(request(f"w{number}"))
                await asyncio.sleep(1.0)  # the listener is due to close when the process continues
                proxy.signal(signal.SIGCONT)
                statuses = [(await read_response(reader))[0] for reader, _ in opened]
                assert statuses == ["503"] * count
                assert backend.seen == []
                assert await ended(proxy, 10.0) == 0

    run(scenario())
