"""Runs proxy processes and sends them the clients' requests.

A `ProcessProxy` replaces the emulated proxy.  It forwards the clients' requests over a socket to a process of
`python -m heronreel.proxy`, and serves the endpoint list protocol to that process.  The attempts that the
process sends to the nodes arrive at `node_server`.
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
from heronreel.realtime.proxy_config import RESOURCE_LIMITS, platform_settings
from heronreel.realtime.runtime import Runtime, SocketAddress, request_header
from heronreel.stubs.http_client import ClientStats, HttpClient

ROOT = Path(__file__).parent.parent.parent
LOOPBACK: SocketAddress = ("127.0.0.1", 0)
HEARTBEAT_S = 2.0
READY_TIMEOUT_S = 20.0
HEALTH_CHECK_INTERVAL_S = 0.05

# A response may be this late before the request counts as overdue, because a busy machine delays responses.
DEADLINE_SLACK_MS = 400.0

HEALTH_REQUEST = b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"
REFUSAL_STATUSES = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)

# The body of requests that may have an effect.
REQUEST_BODY = b"xx"

MICROSECONDS_PER_MS = 1000.0


class ProcessProxy(Proxy):
    """Controls one proxy process and exchanges requests with it; `alive` while that process is healthy."""

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
        self.on_response = self._send_node_response
        self.subprocess: asyncio.subprocess.Process | None = None
        self.address = LOOPBACK
        # Whether the process was killed without a drain; clients may then retry the requests in flight.
        self.killed = False
        self.http_clients = HttpClient(self.address, ClientStats())
        # The most recent call, as long as its connection is open.
        self.list_call: ListCall | None = None
        self.list_server: asyncio.Server | None = None
        self.list_index = 0

    # Lifecycle of the process.

    def start(self) -> None:
        """Start a process in the background."""
        self.runtime.spawn(self.launch())

    async def launch(self) -> None:
        """Start a process and wait until it is healthy.

        Raises:
            TimeoutError: the process was not healthy after `READY_TIMEOUT_S`.
        """
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
            runtime.spawn(self._watch_process_exit(process, incarnation))

    async def _spawn_process(self, incarnation: int) -> asyncio.subprocess.Process:
        folder = self.runtime.folder / f"{self.name}-{incarnation}"
        folder.mkdir()
        config = folder / "config.json"
        config.write_text(json.dumps(self._configuration()))
        environment = {
            **{name: value for name, value in os.environ.items() if not name.startswith("LB_")},
            "LB_NAME": self.name,
            "LB_LISTEN": _format_address(self.address),
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

    async def _watch_process_exit(self, process: asyncio.subprocess.Process, incarnation: int) -> None:
        code = await process.wait()
        if not self.runtime.stopping:
            self.runtime.clock.update()
            if not self.draining and code != -signal.SIGKILL:
                self.runtime.failures.append(f"{self.name} exited unexpectedly with status {code}")
            self._end(incarnation, not self.draining)

    def _running_process(self) -> asyncio.subprocess.Process | None:
        process = self.subprocess
        return process if process is not None and process.returncode is None else None

    def terminate(self, limit_ms: float) -> None:
        """Send SIGTERM, and SIGKILL if the process still runs after `limit_ms`."""
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
        """Send SIGKILL."""
        self._kill_process(self.incarnation)

    def _end_if_idle(self) -> None:
        """Do nothing: a drained process exits by itself, and `_watch_process_exit` handles the exit."""

    def _end(self, incarnation: int, killed: bool) -> None:
        self.http_clients.close()
        super()._end(incarnation, killed)

    def reload(self) -> None:
        """Send SIGHUP, on which the process reloads its configuration."""
        process = self._running_process()
        if process is not None:
            process.send_signal(signal.SIGHUP)

    async def stop(self) -> None:
        """Kill the process and close all connections at the end of the run."""
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
            "listen": _format_address(self.address),
            "discovery": _format_address(self.list_server.sockets[0].getsockname()),
            "seed": f"{self.seed_stream.seed():x}",
            "limits": RESOURCE_LIMITS,
            "known": self._list_message(True, list(self.known_endpoints.values())),
            "settings": platform_settings(rehearsal, self.settings, self.slot, self.zone, scale),
        }

    # Endpoint list protocol.

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
                # The process abandoned the call before it was answered.
                self.context.invariants.list_call_failed(self.name, now)

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
        """End the current call because the list service failed it, refused it or closed its watch."""
        if self.list_call is not None:
            call, self.list_call = self.list_call, None
            self._record_call_end(end)
            if end is CallEnd.REFUSED:
                call.refuse()
            else:
                call.fail()

    # Client requests.

    def receive(self, request: InboundRequest, time_left_ms: float) -> None:
        """Forward a client's request to the process."""
        self._accept(request)
        self.runtime.count_request()
        self.runtime.requests[request_header(request.ident)] = request
        self.runtime.spawn(self._exchange(request, time_left_ms))

    async def _exchange(self, request: InboundRequest, time_left_ms: float) -> None:
        runtime = self.runtime
        timeout_s = (time_left_ms + DEADLINE_SLACK_MS) * runtime.clock.scale / 1000.0
        data = self._request_bytes(request, time_left_ms)
        status, body, connection = await self.http_clients.exchange(data, timeout_s)
        runtime.clock.update()
        runtime.requests.pop(request_header(request.ident), None)
        if request.finished or runtime.stopping or self.killed:
            # The requests in flight of a killed process were ended with it.
            return
        if connection is None:
            self._close_request(request)
            # The process never accepted the request.
            self.context.invariants.client_left(request.ident)
            self.clients.connect_failed(request.client_request)
        elif not status or (status == HTTPStatus.OK and body != b"%x" % request.ident):
            self._overdue(request)
        else:
            self._finish(
                request, _request_result(status), connection.retry_after_s * 1000.0 / runtime.clock.scale
            )

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
            lines.append(f"Content-Length: {len(REQUEST_BODY)}")
        return "\r\n".join([*lines, "", ""]).encode() + (REQUEST_BODY if has_effect else b"")

    def _send_node_response(self, attempt: NodeAttempt, outcome: Outcome) -> None:
        """Send the outcome from a node's model over the connection on which the attempt arrived."""
        attempt.connection.respond(attempt, outcome)

    def node_stopped(self, node: Node) -> None:
        """Close the node's server and its connections, because the node's process has stopped."""
        self.runtime.nodes[node.ident].process_stopped()


def _request_result(status: int) -> RequestResult:
    if status == HTTPStatus.OK:
        return RequestResult.SERVED
    return RequestResult.REFUSED if status in REFUSAL_STATUSES else RequestResult.FAILED


def _free_address() -> SocketAddress:
    """Return a loopback address whose port was free just now; another process may still take it."""
    with socket.create_server(LOOPBACK) as probe:
        address: SocketAddress = probe.getsockname()
        return address


def _format_address(address: SocketAddress) -> str:
    return f"{address[0]}:{address[1]}"
