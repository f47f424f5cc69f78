"""The admin API on the second address: health checks and commands for a running proxy.

HTTP/1.1 with one request per connection.  Admin requests share the event loop with the clients' requests, so
their size, their time and their number are limited; the connection that has waited longest is closed when
there are too many.  No admin client can delay another one by what it sends or fails to send.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from typing import cast

import httptools

from heronreel.proxy.acceptor import Acceptor
from heronreel.proxy.client_listener import ClientListener, bind_listener
from heronreel.proxy.dispatcher import Dispatcher
from heronreel.proxy.errors import UnreadableMessageError
from heronreel.proxy.http1 import DATE_LINE, response_head
from heronreel.proxy.shared_state import MAX_CORDONS, POLL_INTERVAL_S, Cordon, SharedState

MAX_CONNECTIONS = 12  # their descriptors are part of `config.RESERVED_DESCRIPTORS`
# Time from the connection to the last byte of its request; slow clients take up to 4 s.
REQUEST_TIMEOUT_S = 6.0
MAX_REQUEST_BYTES = 4 << 10
BACKLOG = 64
# How long the last requests are awaited before the process ends, and how often they are checked.
CLOSE_GRACE_S = 0.03
CLOSE_POLL_INTERVAL_S = 0.005
PATH_PREFIX = "/admin/"
COMMANDS = ("cordon", "uncordon", "quiesce", "resume")

log = logging.getLogger(__name__)


class AdminCommands:
    """Executes commands in this process and, through the shared folder, in the proxy's other process."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        dispatcher: Dispatcher,
        clients: ClientListener,
        shared: SharedState | None,
    ) -> None:
        self.loop = loop
        self.dispatcher = dispatcher
        self.registry = dispatcher.registry
        self.clients = clients
        self.shared = shared
        self.shares_ids = False  # whether request ids are exchanged with another process
        self.descriptors_elsewhere = 0  # descriptors that the proxy's other process uses
        if shared is not None:
            self._poll()

    def _poll(self) -> None:
        self.loop.call_later(POLL_INTERVAL_S, self._poll)
        self._log_failure(self.synchronize)

    def _log_failure(self, step: Callable[[], None]) -> None:
        try:
            step()
        except OSError as error:  # the state read last stays in force
            log.error("shared folder: %s", error)

    def synchronize(self) -> None:
        """Apply the cordons and the quiesced state of the shared folder, and share the limits.

        Raises:
            OSError: The folder can't be read.
        """
        if self.shared is not None:
            cordons, quiesced = self.shared.read()
            self.registry.apply_cordons(cordons)
            self.clients.set_quiesced(quiesced)
            self._share_descriptors()
            self.dispatcher.set_memory_elsewhere(self.shared.memory_in_use_elsewhere())

    def _share_descriptors(self) -> None:
        """Limit this process to the descriptors that the other process leaves, and to no fewer.

        While there is another process, each accept checks again: many connections that arrive at both
        processes use up descriptors faster than the polls notice.
        """
        if self.shared is None:
            return
        in_use = self.shared.descriptors_in_use_elsewhere()
        self._share_request_ids(in_use > 0)
        if in_use != self.descriptors_elsewhere:
            self.descriptors_elsewhere = in_use
            self.clients.limit_descriptors(in_use)
            self.clients.before_admit = (
                (lambda: self._log_failure(self._share_descriptors)) if in_use else None
            )

    def _share_request_ids(self, has_other_process: bool) -> None:
        if self.shared is None or has_other_process == self.shares_ids:
            return
        self.shares_ids = has_other_process
        ids = self.shared.request_ids
        self.dispatcher.recent_ids.share(ids if has_other_process else None)
        if not has_other_process:
            ids.remove_others()

    def execute(self, command: str, backend_name: str) -> bool:
        """Execute a command and store its effect in the shared folder; return whether it could be executed.

        Raises:
            OSError: The folder can't be read or written.
        """
        self.synchronize()  # the other process may have executed commands since the last poll
        if command in ("quiesce", "resume"):
            if self.shared is not None:
                self.shared.set_quiesced(command == "quiesce")
            self.clients.set_quiesced(command == "quiesce")
            return True
        if not self.registry.is_known(backend_name):
            return False
        previous, now_ms = self.registry.cordons.get(backend_name), time.time() * 1000.0
        in_force = previous is not None and not previous.released_ms
        if command == "cordon" and not in_force:
            return self._store(Cordon(backend_name, now_ms))
        if command == "uncordon" and previous is not None and in_force:
            return self._store(Cordon(backend_name, previous.since_ms, now_ms))
        return True  # already in the requested state: cordons are not counted

    def _store(self, cordon: Cordon) -> bool:
        cordons = self.registry.cordons
        if cordon.name not in cordons and len(cordons) >= MAX_CORDONS:
            return False
        if self.shared is None:
            self.registry.apply_cordons(cordons | {cordon.name: cordon})
        else:
            self.shared.put(cordon)
            self.synchronize()
            self.shared.delete_released_before(cordon.since_ms - self.dispatcher.settings.slow_start_ms)
        return True


class AdminServer:
    """The admin API's server: `is_healthy` decides the health check, `execute` executes a command."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        is_healthy: Callable[[], bool],
        execute: Callable[[str, str], bool],
    ) -> None:
        self.loop = loop
        self.is_healthy = is_healthy
        self.execute = execute
        self.connections: dict[AdminConnection, None] = {}  # ordered by when they were opened

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Listen on an address, and return the bound address.

        Raises:
            OSError: The address can't be bound.
        """
        listener = bind_listener(address)
        listener.listen(BACKLOG)
        bound = listener.getsockname()
        self.acceptor = Acceptor(self.loop, listener, lambda: AdminConnection(self))
        return bound[0], bound[1]

    async def close(self) -> None:
        """Stop accepting, and respond for a short time to the requests that have arrived."""
        closes_at = time.monotonic() + CLOSE_GRACE_S
        await self.acceptor.accept_pending(closes_at)
        self.acceptor.close()
        await asyncio.sleep(0)  # lets the loop count the connections that were accepted last
        while self.connections and time.monotonic() < closes_at:
            await asyncio.sleep(CLOSE_POLL_INTERVAL_S)

    def status_of(self, method: str, path: str, body: str) -> int:
        """Handle one request, and return the status of its response."""
        if path == PATH_PREFIX + "health":
            if method not in ("GET", "HEAD"):
                return 405
            return 200 if self.is_healthy() else 503
        command = path.removeprefix(PATH_PREFIX)
        if command == path or command not in COMMANDS:
            return 404
        if method != "POST":
            return 405
        try:
            executed = self.execute(command, body.strip())
        except OSError as error:
            log.error("%s %s: %s", command, body.strip()[:80], error)
            return 503
        log.info("%s %s: %s", command, body.strip()[:80], "yes" if executed else "no")
        return 200 if executed else 404


class AdminConnection(asyncio.Protocol):
    """A connection to the admin API, which carries one request."""

    __slots__ = ("body", "parser", "received_bytes", "responded", "server", "target", "timer", "transport")

    def __init__(self, server: AdminServer) -> None:
        self.server = server
        self.transport: asyncio.Transport
        self.parser = httptools.HttpRequestParser(self)
        self.target = self.body = b""
        self.received_bytes = 0
        self.responded = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, and close the one opened first if there are too many."""
        self.transport = cast(asyncio.Transport, transport)
        self.timer = self.server.loop.call_later(REQUEST_TIMEOUT_S, self.transport.abort)
        # A client that sends nothing must not prevent the next one from connecting.
        if len(self.server.connections) >= MAX_CONNECTIONS:
            oldest = next(iter(self.server.connections))
            del self.server.connections[oldest]
            oldest.transport.abort()
        self.server.connections[self] = None

    def data_received(self, data: bytes) -> None:
        """Parse more of the request."""
        self.received_bytes += len(data)
        if self.responded:
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.responded:
                self._respond(400)
            return
        if self.received_bytes > MAX_REQUEST_BYTES and not self.responded:
            self._respond(413)

    def on_url(self, url: bytes) -> None:
        """Parser callback: more of the target."""
        self.target += url

    def on_body(self, data: bytes) -> None:
        """Parser callback: more of the body."""
        self.body += data

    def on_message_complete(self) -> None:
        """Parser callback: handle the request."""
        if self.responded:
            raise UnreadableMessageError  # only one request per connection
        method = self.parser.get_method().decode("latin-1")
        path = self.target.partition(b"?")[0].decode("latin-1")
        self._respond(self.server.status_of(method, path, self.body.decode("utf-8", "replace")))

    def _respond(self, status: int) -> None:
        self.responded = True
        body = b"yes\n" if status < 300 else b"no\n"
        self.transport.write(response_head(status, DATE_LINE.now(), len(body), True) + body)
        self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Remove the connection from the server."""
        self.timer.cancel()
        self.server.connections.pop(self, None)
        del self.parser  # breaks the reference cycle with this object
