"""Real proxy processes, and their clients' side.

A `ProcessProxy` takes the place of the emulated one: it receives arrivals and carries them over a socket to
`python -m heronreel.proxy`, and it speaks the list's protocol to that process.  What the process does on its
way to the nodes is seen by `node_server`.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from http import HTTPStatus
from pathlib import Path
from typing import Any

from heronreel.balancer.interface import Outcome
from heronreel.emulator.client_request import RequestResult
from heronreel.emulator.cluster import Cluster
from heronreel.emulator.context import SimulationContext
from heronreel.emulator.deciders import DeciderFactory
from heronreel.emulator.endpoint_list import CallEnd, Endpoint
from heronreel.emulator.node import Node
from heronreel.emulator.proxy import Proxy
from heronreel.emulator.requests import InboundRequest
from heronreel.realtime.list_call import ListCall, list_message
from heronreel.realtime.node_server import NodeAttempt
from heronreel.realtime.proxy_config import LIMITS, platform_settings
from heronreel.realtime.runtime import Runtime, SocketAddress, request_header
from heronreel.stubs.http_client import ClientStats, HttpClient

ROOT = Path(__file__).parent.parent.parent
LOOPBACK: SocketAddress = ("127.0.0.1", 0)
HEARTBEAT_S = 2.0
READY_TIMEOUT_S = 20.0
HEALTH_CHECK_INTERVAL_S = 0.05
DEADLINE_SLACK_MS = 400.0  # of a busy machine: a response this late still counts as what it is
HEALTH_REQUEST = b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"
REFUSAL_STATUSES = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
BODY = b"xx"  # of requests that may change something
MICROSECONDS_PER_MS = 1000.0


class ProcessProxy(Proxy):
    """The wire's side of one proxy; `alive` while its process is healthy."""

    def __init__(
        self,
        context: SimulationContext,
        cluster: Cluster,
        deciders: DeciderFactory,
        name: str,
        zone: str,
        slot: int,
        runtime: Runtime,
    ) -> None:
        super().__init__(context, cluster, deciders, name, zone, slot)
        self.runtime = runtime
        self.on_response = self._carry_response
        self.subprocess: asyncio.subprocess.Process | None = None
        self.address = LOOPBACK
        self.killed = False  # outright: its clients may retry what was in flight
        self.http_clients = HttpClient(self.address, ClientStats())
        self.list_call: ListCall | None = None  # the newest
        self.list_server: asyncio.Server | None = None
        self.list_index = 0

    # Its process.

    def start(self) -> None:
        """Start a process."""
        self.runtime.spawn(self.launch())

    async def launch(self) -> None:
        """Start a process and wait until it is healthy.  Raises TimeoutError."""
        self.incarnation += 1
        incarnation, runtime = self.incarnation, self.runtime
        if self.list_server is None:
            self.list_server = await runtime.loop.create_server(
                lambda: ListCall(self._list_called, self._list_call_closed), *LOOPBACK
            )
        self.address = _free_address()
        self.http_clients = HttpClient(self.address, ClientStats())
        self.subprocess = process = await self._spawn_process(incarnation)
        runtime.clock.update()
        self._record_start()
        async with asyncio.timeout(READY_TIMEOUT_S):
            await self._wait_until_healthy()
        if incarnation == self.incarnation and not runtime.stopping:
            self.alive, self.draining, self.killed = True, False, False
            self.supervisor.process_started(self)
            runtime.spawn(self._watch_end(process, incarnation))

    async def _spawn_process(self, incarnation: int) -> asyncio.subprocess.Process:
        folder = self.runtime.folder / f"{self.name}-{incarnation}"
        folder.mkdir()
        config = folder / "config.json"
        config.write_text(json.dumps(self._configuration()))
        environment = {
            **{name: value for name, value in os.environ.items() if not name.startswith("LB_")},
            "LB_NAME": self.name,
            "LB_LISTEN": _shown(self.address),
            "LB_CONFIG": str(config),
            "PYTHONPATH": str(ROOT),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with open(folder / "log", "wb") as log:
            return await asyncio.create_subprocess_exec(
                sys.executable, "-m", "heronreel.proxy", env=environment, stdout=log, stderr=log, cwd=folder
            )

    async def _wait_until_healthy(self) -> None:
        while not await self._is_healthy():
            await asyncio.sleep(HEALTH_CHECK_INTERVAL_S)

    async def _is_healthy(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(*self.address)
            writer.write(HEALTH_REQUEST)
            status_line = await reader.readline()
            writer.close()
        except OSError:
            return False
        return b" 200 " in status_line

    async def _watch_end(self, process: asyncio.subprocess.Process, incarnation: int) -> None:
        code = await process.wait()
        if not self.runtime.stopping:
            self.runtime.clock.update()
            if not self.draining and code != -signal.SIGKILL:
                self.runtime.failures.append(f"{self.name} ended by itself with {code}")
            self._end(incarnation, not self.draining)

    def _running_process(self) -> asyncio.subprocess.Process | None:
        process = self.subprocess
        return process if process is not None and process.returncode is None else None

    def terminate(self, limit_ms: float) -> None:
        """SIGTERM, and SIGKILL after the limit."""
        self.draining = True
        if self.subprocess:
            self.subprocess.send_signal(signal.SIGTERM)
        self.events.schedule(self.events.now + limit_ms, self._kill_process, self.incarnation)

    def _kill_process(self, incarnation: int) -> None:
        process = self._running_process()
        if incarnation == self.incarnation and self.alive and process is not None:
            self.killed = not self.draining
            process.kill()

    def kill(self) -> None:
        """SIGKILL."""
        self._kill_process(self.incarnation)

    def _end_if_idle(self) -> None:
        """Its process ends by itself, and `_watch_end` sees it."""

    def _end(self, incarnation: int, killed: bool) -> None:
        self.http_clients.close()
        super()._end(incarnation, killed)

    def reload(self) -> None:
        """SIGHUP."""
        process = self._running_process()
        if process is not None:
            process.send_signal(signal.SIGHUP)

    async def stop(self) -> None:
        """End everything: the play is over."""
        process = self._running_process()
        if process is not None:
            process.kill()
            await process.wait()
        if self.list_server:
            self.list_server.close()
        self.http_clients.close()

    def _configuration(self) -> dict[str, Any]:
        assert self.list_server
        rehearsal, scale = self.context.rehearsal, self.runtime.clock.scale
        return {
            "name": self.name,
            "listen": _shown(self.address),
            "discovery": _shown(self.list_server.sockets[0].getsockname()),
            "seed": f"{self.seed_stream.seed():x}",
            "limits": LIMITS,
            "known": self._list_message(True, list(self.known_endpoints.values())),
            "settings": platform_settings(rehearsal, self.settings, self.slot, self.zone, scale),
        }

    # The endpoint list.

    def _list_message(self, is_snapshot: bool, endpoints: list[Endpoint]) -> dict[str, Any]:
        self.list_index += 1
        return list_message(self.runtime, self.list_index, is_snapshot, endpoints)

    def _list_called(self, call: ListCall) -> None:
        self.list_call = call
        self._call_list(self.runtime.clock.update())

    def _list_call_closed(self, call: ListCall) -> None:
        if call is self.list_call:
            now = self.runtime.clock.update()
            self.list_call = None
            self.context.endpoint_list.end_watch(self)
            self.context.invariants.list_polled(self.name, now, False)
            if not call.has_response:
                self.context.invariants.list_call_failed(self.name, now)  # given up

    def _watches_list(self) -> bool:
        return self.list_call is not None

    def _forward_list(self, is_snapshot: bool, endpoints: list[Endpoint]) -> None:
        call = self.list_call
        assert call
        if not call.has_response:
            call.begin_stream()
            self.runtime.loop.call_later(HEARTBEAT_S, self._send_heartbeat, call)
        call.write(self._list_message(is_snapshot, endpoints))

    def _send_heartbeat(self, call: ListCall) -> None:
        if call is self.list_call and call.is_stream and not self.runtime.stopping:
            call.write_heartbeat()
            self.runtime.loop.call_later(HEARTBEAT_S, self._send_heartbeat, call)

    def call_failed(self, end: CallEnd) -> None:
        """The list service has failed the newest call, refused it, or closed its watch."""
        if self.list_call is not None:
            call, self.list_call = self.list_call, None
            self._record_call_end(end)
            if end is CallEnd.REFUSED:
                call.refuse()
            else:
                call.fail()

    # Requests.

    def receive(self, request: InboundRequest, time_left_ms: float) -> None:
        """Carry a request to the process."""
        self._accept(request)
        self.runtime.count_request()
        self.runtime.requests[request_header(request.ident)] = request
        self.runtime.spawn(self._carry(request, time_left_ms))

    async def _carry(self, request: InboundRequest, time_left_ms: float) -> None:
        runtime = self.runtime
        timeout_s = (time_left_ms + DEADLINE_SLACK_MS) * runtime.clock.scale / 1000.0
        data = self._request_bytes(request, time_left_ms)
        status, body, connection = await self.http_clients.exchange(data, timeout_s)
        runtime.clock.update()
        runtime.requests.pop(request_header(request.ident), None)
        if request.finished or runtime.stopping or self.killed:
            return  # a killed process takes what is in flight with it
        if connection is None:
            self._close_request(request)
            self.context.invariants.client_left(request.ident)  # it was never accepted
            self.clients.connect_failed(request.client_request)
        elif not status or (status == HTTPStatus.OK and body != b"%x" % request.ident):
            self._overdue(request)
        else:
            self._finish(request, _result_of(status), connection.retry_after_s * 1000.0 / runtime.clock.scale)

    def _request_bytes(self, request: InboundRequest, time_left_ms: float) -> bytes:
        request_class, client_request = request.request_class, request.client_request
        scale, has_effect = self.runtime.clock.scale, request_class.effect != "safe"
        method = "POST" if has_effect else "GET"
        lines = [
            f"{method} /{request_class.name}/{client_request.key:x} HTTP/1.1",
            "Host: x",
            f"X-Request-Id: {request.ident:016x}",
            f"X-Class: {request_class.name}",
            f"X-Deadline-Ms: {int(time_left_ms * scale)}",
        ]
        if client_request.tenant:
            lines.append(f"X-Tenant: {client_request.tenant}")
        if hint := self.context.work.hint(client_request):
            lines.append(f"X-Cost-Hint: {int(hint * scale * MICROSECONDS_PER_MS)}")
        if request_class.effect == "keyed":
            lines.append(f"Idempotency-Key: {client_request.ident:032x}")
        if request.is_retry and self.context.rehearsal.clients.mark_retries:
            lines.append("X-Retry: 1")
        if has_effect:
            lines.append(f"Content-Length: {len(BODY)}")
        return "\r\n".join([*lines, "", ""]).encode() + (BODY if has_effect else b"")

    def _carry_response(self, attempt: NodeAttempt, outcome: Outcome) -> None:
        """A node's model has responded: its connection carries it."""
        attempt.connection.respond(attempt, outcome)

    def node_stopped(self, node: Node) -> None:
        """A node's process is gone, and the connections to it."""
        self.runtime.nodes[node.ident].process_stopped()


def _result_of(status: int) -> RequestResult:
    if status == HTTPStatus.OK:
        return RequestResult.SERVED
    return RequestResult.REFUSED if status in REFUSAL_STATUSES else RequestResult.FAILED


def _free_address() -> SocketAddress:
    """A loopback port that was free a moment ago."""
    with socket.create_server(LOOPBACK) as probe:
        address: SocketAddress = probe.getsockname()
        return address


def _shown(address: SocketAddress) -> str:
    return f"{address[0]}:{address[1]}"
