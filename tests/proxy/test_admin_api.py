"""The admin API of a running proxy: cordons, quiescing, stalled clients, and upgrades on a shared socket."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import signal
import socket
import subprocess
import time
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any, ClassVar

import pytest

from heronreel.balancer import interface as api
from heronreel.proxy.backend_registry import stable_number
from heronreel.proxy.config import load
from heronreel.proxy.dispatcher import Dispatcher
from heronreel.proxy.request import RequestHead, ResponseWriter
from heronreel.proxy.shared_state import SPARE_DESCRIPTORS, Cordon, SharedState
from tests.support.loopback import (
    Backend,
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

STALL_COUNT = 4
STALL_S = 0.7
LONG_OBJECTIVE_MS = 60_000.0  # a latency objective that a stall does not violate


@asynccontextmanager
async def two_backends(path: Path) -> AsyncIterator[tuple[ProxyProcess, Backend, Backend, Discovery]]:
    async with Backend() as backend1, Backend() as backend2:
        known = [entry("b1", backend1.address), entry("b2", backend2.address)]
        async with Discovery(*known) as discovery:
            async with running_proxy(
                path, configuration(discovery.address, *known), with_admin_api=True
            ) as proxy:
                await discovery.watched.wait()
                yield proxy, backend1, backend2, discovery


def test_a_cordoned_backend_gets_no_requests_until_it_is_uncordoned_whatever_the_list_says(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with two_backends(tmp_path) as (proxy, backend1, backend2, discovery):
            assert await proxy.call("/admin/cordon", "b1\n") == "200"
            assert await proxy.call("/admin/cordon", "b1") == "200"  # two cordons need only one uncordon
            # In later lists the backend is restarted, draining, restarted, removed, and present again.
            since = 1.0
            for status in ("active", "leaving", "active", "left", "active"):
                since += 1.0
                discovery.change(entry("b1", backend1.address, status) | {"since_ms": since})
                for number in range(4):
                    assert (await proxy.send_request(f"h{since}{number}", "read"))[0] == "200"
            assert not backend1.seen and len(backend2.seen) == 20
            assert await proxy.call("/admin/uncordon", "b1") == "200"
            for number in range(40):
                assert (await proxy.send_request(f"r{number}", "read"))[0] == "200"
            assert backend1.seen
            for path, name in (("cordon", "b3"), ("uncordon", "b3"), ("cordon", ""), ("nothing", "b1")):
                assert await proxy.call(f"/admin/{path}", name) == "404"
            assert await proxy.call("/admin/cordon", "b1", "GET") == "405"
            assert await proxy.call("/admin/uncordon", "b1") == "200"  # it is not cordoned any more

    run(scenario())


def test_a_cordon_cancels_an_attempt_that_waits_for_its_connection(tmp_path: Path) -> None:
    """An attempt that was decided before the cordon, but not yet written, is never written."""

    class SingleBackendBalancer:
        """A balancer that sends every request to the only backend."""

        ended_attempts: ClassVar[list[api.Event]] = []

        def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
            if isinstance(event, api.AttemptEnded):
                self.ended_attempts.append(event)
                ended.set()
            return [api.StartAttempt(event.request, number)] if isinstance(event, api.Arrival) else []

    class Client(ResponseWriter):
        def respond(self, status: int, header_lines: bytes, body: bytes = b"") -> None:
            ended.set()

    number, ended = stable_number(b"b1"), asyncio.Event()

    async def scenario() -> None:
        async with Backend() as backend1:
            config = configuration("127.0.0.1:1", entry("b1", backend1.address))
            (tmp_path / "config.json").write_text(json.dumps(config))
            environ = {
                "LB_NAME": "n0",
                "LB_LISTEN": "127.0.0.1:0",
                "LB_CONFIG": str(tmp_path / "config.json"),
            }
            dispatcher = Dispatcher(asyncio.get_running_loop(), load(environ), SingleBackendBalancer())
            head = RequestHead(b"GET /read/1 HTTP/1.1\r\nx-request-id: a\r\n", b"a", "read")
            dispatcher.submit(Client(), head, b"")  # the attempt waits for its connection
            dispatcher.registry.apply_cordons({"b1": Cordon("b1", 1.0)})
            await ended.wait()
            attempts = SingleBackendBalancer.ended_attempts
            assert [end.outcome for end in attempts if isinstance(end, api.AttemptEnded)] == [
                api.Outcome.NOT_SENT
            ]
            assert not backend1.seen and not dispatcher.pool.idle  # the connection is not kept either

    run(scenario())


def test_stalled_admin_clients_do_not_delay_others(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with two_backends(tmp_path) as (proxy, _backend1, _backend2, _):
            stalled = []
            for call in (b"", b"GET /adm", b"POST /admin/cordon HTTP/1.1\r\nContent-Length: 9\r\n\r\nb") * 10:
                reader, writer = await asyncio.open_connection("127.0.0.1", proxy.admin_port)
                writer.write(call)
                stalled.append((reader, writer))
                assert await proxy.health() == "200"
            assert proxy.descriptors() < 60
            reader, writer = await asyncio.open_connection("127.0.0.1", proxy.admin_port)
            writer.write(b"\x16\x03\x01 what is this\r\n\r\n")
            assert (await read_response(reader))[0] == "400"
            for _, writer in stalled:
                writer.close()

    run(scenario())


def test_a_quiesced_proxy_fails_health_checks_serves_requests_closes_connections_and_can_resume(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with two_backends(tmp_path) as (proxy, _backend1, _backend2, _):
            health = b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"
            idle, used, silent = [await proxy.connect() for _ in range(3)]
            for number, (reader, writer) in enumerate((idle, used)):
                writer.write(request(f"e{number}"))
                assert (await read_response(reader))[0] == "200"
            assert await proxy.call("/admin/quiesce") == "200"
            reader, writer = await proxy.connect()
            writer.write(health)
            assert (await read_response(reader))[0] == "503"
            assert await proxy.health() == "200"  # the admin health check still succeeds
            used[1].write(request("e9"))
            head = await used[0].readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200") and b"Connection: close" in head
            assert await idle[0].read() == b"" and await silent[0].read() == b""  # the proxy closes both
            # The upstream load balancer may not have seen the failed health check yet.
            assert (await proxy.send_request("late"))[0] == "200"
            assert await proxy.call("/admin/resume") == "200"
            reader, writer = await proxy.connect()
            for _ in range(2):  # the connection is kept open
                writer.write(health)
                assert (await read_response(reader))[0] == "200"

    run(scenario())


class SteadyClient:
    """Sends requests without a pause, on a connection that it keeps until the proxy closes it."""

    def __init__(self, proxy: ProxyProcess, name: str) -> None:
        self.proxy, self.name = proxy, name
        self.sent = 0
        self.statuses: list[str] = []

    async def run(self, stop: asyncio.Event) -> None:
        reader, writer = await self.proxy.connect()
        while not stop.is_set():
            self.sent += 1
            request_id = f"{self.name}-{self.sent}"
            sent_at = time.monotonic()
            writer.write(request(request_id, "read"))
            try:
                head = await reader.readuntil(b"\r\n\r\n")
                body = await reader.readexactly(int(content_length(head)))
            except (asyncio.IncompleteReadError, ConnectionError) as error:
                waited_s = time.monotonic() - sent_at
                raise AssertionError(f"{request_id}: cut off after {waited_s:.3f} s: {error!r}") from error
            self.statuses.append(head.split()[1].decode())
            assert self.statuses[-1] == "200" and body == request_id.encode(), (request_id, head, body)
            if b"Connection: close" in head:
                writer.close()
                reader, writer = await self.proxy.connect()
        writer.close()


def content_length(head: bytes) -> bytes:
    """Return the value of a head's Content-Length field."""
    return head.lower().split(b"content-length:")[1].split()[0]


async def stall_clients_and_backends() -> None:
    """Block the event loop of the clients and backends a few times, as on a busy machine.

    The requests that then arrive together make the proxies open further connections to backends.  While two
    processes share the limit, these are more than one of them may have.
    """
    for _ in range(STALL_COUNT):
        await asyncio.sleep(0.2)
        time.sleep(STALL_S)


def without_load_shedding(config: dict[str, Any]) -> dict[str, Any]:
    """Return the configuration with a latency objective of a minute.

    A stall of this machine affects clients and backends alike and looks like queueing to the balancer, which
    would reject the requests that follow with 503.
    """
    classes = [category | {"OnTimeMs": LONG_OBJECTIVE_MS} for category in config["settings"]["Categories"]]
    return config | {"settings": config["settings"] | {"Categories": classes}}


async def wait_for_responses(
    clients: list[SteadyClient], tasks: list[asyncio.Task[None]], count: int
) -> None:
    """Wait until all clients together have `count` more responses; a failed client raises its error."""
    target = sum(len(client.statuses) for client in clients) + count
    while sum(len(client.statuses) for client in clients) < target:
        await asyncio.sleep(0.01)
        for task in tasks:
            if task.done():
                task.result()


def test_an_upgrade_loses_no_request_and_keeps_the_cordons(tmp_path: Path) -> None:
    """Clients send requests without a pause while a second process takes over the socket of the first."""

    async def scenario() -> None:
        async with Backend() as backend1, Backend() as backend2, Backend() as backend3:
            known = [
                entry("b1", backend1.address),
                entry("b2", backend2.address),
                entry("b3", backend3.address),
            ]
            async with Discovery(*known) as discovery:
                with socket.socket() as shared:
                    shared.bind(("127.0.0.1", 0))
                    shared.listen(64)
                    config = without_load_shedding(configuration(discovery.address, *known))
                    async with running_proxy(tmp_path, config, True, shared) as old:
                        await discovery.watched.wait()
                        assert await old.call("/admin/cordon", "b1") == "200"
                        stop = asyncio.Event()
                        clients = [SteadyClient(old, str(number)) for number in range(6)]
                        tasks = [asyncio.create_task(client.run(stop)) for client in clients]
                        async with running_proxy(tmp_path, config, True, shared) as new:
                            while await new.health() != "200":
                                await asyncio.sleep(0.01)
                            await stall_clients_and_backends()
                            assert await new.call("/admin/cordon", "b2") == "200"  # while both serve
                            await old.log_line("cordoned b2")
                            # Requests in flight at that time may still be read by their backend.
                            last_sent = {client.name: client.sent for client in clients}
                            old.signal(signal.SIGTERM)
                            assert await old.process.wait() == 0
                            await wait_for_responses(clients, tasks, 200)
                            stop.set()
                            await asyncio.gather(*tasks)
                            assert not backend1.seen and backend3.seen
                            for request_id in backend2.seen:
                                name, count = request_id.split("-")
                                assert int(count) <= last_sent[name], (request_id, last_sent)
                            assert await new.call("/admin/uncordon", "b1") == "200"
                            for number in range(40):
                                assert (await new.send_request(f"n{number}", "read"))[0] == "200"
                            assert backend1.seen

    run(scenario())


def test_a_request_in_flight_at_the_end_of_a_drain_gets_504(tmp_path: Path) -> None:
    """The backend does not respond, and the deadline is later than SIGKILL."""

    async def scenario() -> None:
        silent_backend = Backend(lambda head, body: None)
        async with proxy_with_backend(tmp_path, silent_backend, True) as proxy:
            pending = asyncio.create_task(proxy.send_request("slow"))
            await silent_backend.requested.wait()
            proxy.signal(signal.SIGTERM)
            assert (await pending)[0] == "504"
            assert await proxy.process.wait() == 0

    run(scenario())


MALFORMED_TIME = b'{"name": "b1", "since_ms": "x", "released_ms": 0}'


@pytest.mark.parametrize("malformed", [b"", b"{", b'{"name": 1}', b"[]", MALFORMED_TIME])
def test_a_malformed_file_in_the_shared_folder_is_ignored(tmp_path: Path, malformed: bytes) -> None:
    shared = SharedState(tmp_path / "s")
    (tmp_path / "s" / "hold-odd").write_bytes(malformed)
    (tmp_path / "s" / "process-99999999").write_text("")
    shared.put(Cordon("b2", 5.0))
    assert shared.read() == ({"b2": Cordon("b2", 5.0)}, False)
    assert shared.other_processes() == []
    shared.put(Cordon("b2", 5.0, 9.0))
    assert SharedState(tmp_path / "s").read()[0] == {"b2": Cordon("b2", 5.0, 9.0)}
    shared.read()
    shared.delete_released_before(9.5)
    assert shared.read() == ({}, False)


def test_two_processes_of_one_proxy_share_its_descriptor_limit(tmp_path: Path) -> None:
    """Many clients connect to both processes while the predecessor still has connections."""

    async def scenario() -> None:
        async with Backend() as backend1:
            known = [entry("b1", backend1.address)]
            async with Discovery(*known) as discovery:
                with socket.socket() as shared:
                    shared.bind(("127.0.0.1", 0))
                    shared.listen(512)
                    config = configuration(discovery.address, *known, sockets=160)
                    async with (
                        running_proxy(tmp_path, config, True, shared) as old,
                        running_proxy(tmp_path, config, True, shared) as new,
                    ):
                        while await new.health() != "200":
                            await asyncio.sleep(0.01)
                        highest, connections = 0, []
                        for _ in range(300):
                            _, writer = await old.connect()
                            connections.append(writer)
                            writer.write(b"POST /save/")  # an incomplete head: the connection is not silent
                            highest = max(highest, old.descriptors() + new.descriptors())
                        # The connections time out after 2.6 s; until then, their number is at its highest.
                        for _ in range(100):
                            highest = max(highest, old.descriptors() + new.descriptors())
                            await asyncio.sleep(0.01)
                        assert 100 < highest <= 160

    run(scenario())


def test_a_draining_process_counts_for_the_descriptor_limit_of_its_successor(tmp_path: Path) -> None:
    """The successor took the whole limit at SIGTERM, while its predecessor still had its connections."""

    async def scenario() -> None:
        async with Backend() as backend1, AsyncExitStack() as stack:
            known = [entry("b1", backend1.address)]
            discovery = await stack.enter_async_context(Discovery(*known))
            shared = stack.enter_context(socket.socket())
            shared.bind(("127.0.0.1", 0))
            shared.listen(512)
            config = configuration(discovery.address, *known, sockets=160)
            old = await stack.enter_async_context(running_proxy(tmp_path, config, True, shared))
            writers = []
            for _ in range(60):
                _, writer = await old.connect()
                writers.append(writer)
                writer.write(b"POST /save/")  # an incomplete head: the connection is not silent
            new = await stack.enter_async_context(running_proxy(tmp_path, config, True, shared))
            while await new.health() != "200":
                await asyncio.sleep(0.01)
            old.signal(signal.SIGTERM)
            while await old.health() != "503":
                await asyncio.sleep(0.01)
            highest = 0
            for _ in range(200):
                _, writer = await new.connect()
                writers.append(writer)
                writer.write(b"POST /save/")
                highest = max(highest, old.descriptors() + new.descriptors())
                await asyncio.sleep(0.002)  # the processes look at each other every 0.1 s
            assert old.process.returncode is None
            assert 100 < highest <= 160

    run(scenario())


def test_another_process_whose_use_can_not_be_read_does_not_count_as_ended(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A failed look lifted the limits and ended the exchange of request ids."""
    shared = SharedState(tmp_path / "s")
    with subprocess.Popen(["/bin/cat"], stdin=subprocess.PIPE) as process:
        (tmp_path / "s" / f"process-{process.pid}").touch()
        descriptors, memory = shared.descriptors_in_use_elsewhere(), shared.memory_in_use_elsewhere()
        assert descriptors > SPARE_DESCRIPTORS and memory > 0
        with monkeypatch.context() as patch, pytest.raises(OSError, match="too many"):
            patch.setattr(os, "listdir", failing_for("/proc/", os.listdir))
            shared.descriptors_in_use_elsewhere()
        with monkeypatch.context() as patch, pytest.raises(OSError, match="too many"):
            patch.setattr(Path, "read_bytes", failing_for("/proc/", Path.read_bytes))
            shared.memory_in_use_elsewhere()
    assert (shared.descriptors_in_use_elsewhere(), shared.memory_in_use_elsewhere()) == (0, 0)


def test_a_process_that_has_exited_is_no_successor_though_its_parent_has_not_taken_note(
    tmp_path: Path,
) -> None:
    """A predecessor stopped accepting for a successor that had crashed."""
    shared = SharedState(tmp_path / "s")
    with subprocess.Popen(["/bin/cat"], stdin=subprocess.DEVNULL) as process:
        (tmp_path / "s" / f"process-{process.pid}").touch()
        os.waitid(os.P_PID, process.pid, os.WEXITED | os.WNOWAIT)
        assert shared.other_serving_processes() == shared.other_processes() == []


def failing_for(prefix: str, call: Callable[[Any], Any]) -> Callable[[Any], Any]:
    """Return a function that fails as if no descriptor were free for paths with this prefix."""

    def call_or_fail(path: Any) -> Any:
        if str(path).startswith(prefix):
            raise OSError(errno.EMFILE, "too many open files")
        return call(path)

    return call_or_fail


def test_a_process_without_a_file_in_the_shared_folder_counts_until_it_ends(tmp_path: Path) -> None:
    """Some versions remove their file at SIGTERM and serve on."""
    shared = SharedState(tmp_path / "s")
    with subprocess.Popen(["/bin/cat"], stdin=subprocess.PIPE) as process:
        file = tmp_path / "s" / f"process-{process.pid}"
        file.touch()
        assert shared.other_processes() == shared.other_serving_processes() == [process.pid]
        file.unlink()
        assert shared.other_processes() == [process.pid] and shared.other_serving_processes() == []
    assert shared.other_processes() == []
