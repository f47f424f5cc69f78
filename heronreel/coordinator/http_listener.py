"""The HTTP interface of a member: clients' requests, messages of other members, and health checks.

One address serves clients (the paths of etcd's v3 gateway) and the other members (`MESSAGES_PATH`).  A
member that is not the leader forwards clients' requests.  Requests are limited in size and time, and
connections in number.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web

from heronreel.coordination import gateway, gateway_server
from heronreel.coordination.errors import RequestError, StatusCode
from heronreel.coordinator.connections import ConnectionTracker
from heronreel.coordinator.forwarding import forward_to_leader
from heronreel.coordinator.health import health_report
from heronreel.coordinator.node import MemberNode
from heronreel.coordinator.request_body import has_unread_body, read_body
from heronreel.coordinator.transport import MESSAGES_PATH, decode_messages
from heronreel.coordinator.watch_stream import stream_watch

HEALTH_PATH = "/health"
MAX_REQUEST_BYTES = 1 << 20  # Limits the body of a client's request.
MAX_MESSAGES_BYTES = 24 << 20  # Limits a request between members: a snapshot and other messages.
LISTEN_BACKLOG = 512
SHUTDOWN_TIMEOUT_S = 1.0  # The time that requests in flight have to complete.

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def bind_socket(address: tuple[str, int]) -> socket.socket:
    """Return a socket bound to `address`.

    Raises:
        OSError: The socket can't be bound to the address.
    """
    listening_socket = socket.socket()
    listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listening_socket.bind(address)
    except OSError:
        listening_socket.close()
        raise
    return listening_socket


class HttpListener:
    """The HTTP server of a member."""

    def __init__(self, node: MemberNode) -> None:
        """Create a server; `listen` starts it."""
        self.node = node
        self.connections = ConnectionTracker()
        app = web.Application(client_max_size=MAX_MESSAGES_BYTES, middlewares=[self._handle_errors])
        app.router.add_post(MESSAGES_PATH, self._handle_messages)
        app.router.add_post(gateway.WATCH_PATH, self._handle_watch)
        for path in gateway.REQUEST_PATHS.values():
            app.router.add_post(path, self._handle_request)
        app.router.add_get(HEALTH_PATH, self._handle_health)
        self.runner = web.AppRunner(
            app,
            access_log=None,
            handle_signals=False,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
            lingering_time=SHUTDOWN_TIMEOUT_S,
        )
        self.server: asyncio.Server | None = None
        self.sweeper: asyncio.Task[None] | None = None

    async def listen(self, listening_socket: socket.socket) -> None:
        """Accept connections on a bound socket."""
        await self.runner.setup()
        assert self.runner.server is not None
        factory = self.connections.track(self.runner.server)
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(factory, sock=listening_socket, backlog=LISTEN_BACKLOG)
        self.sweeper = asyncio.create_task(self.connections.run())

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self.server is not None:
            self.server.close()
        if self.sweeper is not None:
            self.sweeper.cancel()
        await self.runner.cleanup()

    @web.middleware
    async def _handle_errors(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        self.connections.request_started(request.protocol)
        try:
            return await handler(request)
        except RequestError as error:
            status, body = gateway_server.encode_error(error)
            response = web.json_response(body, status=status)
            if has_unread_body(request):
                response.force_close()
            return response
        finally:
            self.connections.request_finished(request.protocol)

    async def _handle_messages(self, request: web.Request) -> web.Response:
        data = await read_body(request, MAX_MESSAGES_BYTES)
        try:
            messages = decode_messages(data)
        except msgspec.MsgspecError as error:
            raise RequestError(StatusCode.INVALID_ARGUMENT, str(error)) from None
        for message in messages:
            self.node.receive(message)
        return web.Response(status=204)

    async def _handle_health(self, request: web.Request) -> web.Response:
        member = self.node.service.member
        has_leader = member.is_leader or self.node.leader_connection() is not None
        body = msgspec.to_builtins(health_report(self.node.name, member))
        return web.json_response(body, status=200 if has_leader else 503)

    async def _handle_request(self, request: web.Request) -> web.StreamResponse:
        data = await read_body(request, MAX_REQUEST_BYTES)
        parsed = gateway_server.decode_request(request.path, data)
        if not self.node.service.member.is_leader:
            return await forward_to_leader(self.node, request, data)
        self.node.crash_points.reach("request")
        header = self.node.response_header()
        body = gateway_server.encode_response(header, await self.node.request(parsed))
        self.node.crash_points.reach("response")
        if request.path in gateway.STREAMED_PATHS:
            body = {"result": body}
        return web.json_response(body)

    async def _handle_watch(self, request: web.Request) -> web.StreamResponse:
        data = await read_body(request, MAX_REQUEST_BYTES)
        watch_request = gateway_server.decode_watch_request(data)
        if not self.node.service.member.is_leader:
            return await forward_to_leader(self.node, request, data)
        return await stream_watch(self.node, request, watch_request)
