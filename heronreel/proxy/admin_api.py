"""The admin API on the second address: health checks and commands for a running proxy.

HTTP/1.1, one call a connection.  Calls share the event loop with the clients' requests, so each is bounded:
in bytes, in time, and all of them in number, the longest waiting going first.  Nothing a caller does or
leaves undone delays another.
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

MAX_CALLERS = 12  # at once; the descriptors come out of those kept for ourselves
CALL_TIMEOUT_S = 6.0  # from the connection to the call's last byte; slow callers take up to 4 s
MAX_CALL_BYTES = 4 << 10
BACKLOG = 64
LAST_CALLS_S, LAST_CALLS_POLL_S = 0.03, 0.005  # at the process's end
PATH_PREFIX = "/admin/"
COMMANDS = ("cordon", "uncordon", "quiesce", "resume")

log = logging.getLogger(__name__)


class AdminCommands:
    """Carries out commands here and, through the shared folder, in this proxy's other process."""

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
        self.descriptors_elsewhere = 0  # in use by the proxy's other process
        if shared is not None:
            self._poll()

    def _poll(self) -> None:
        self.loop.call_later(POLL_INTERVAL_S, self._poll)
        self._log_failure(self.synchronize)

    def _log_failure(self, step: Callable[[], None]) -> None:
        try:
            step()
        except OSError as error:  # what was known stays in force
            log.error("shared folder: %s", error)

    def synchronize(self) -> None:
        """Take over what the shared folder says.

        Raises:
            OSError: The folder can't be read.
        """
        if self.shared is not None:
            cordons, quiesced = self.shared.read()
            self.registry.apply_cordons(cordons)
            self.clients.set_quiesced(quiesced)
            self._share_descriptors()

    def _share_descriptors(self) -> None:
        """Keep to what the other process leaves, and take no more from clients than has to be.

        While there is another, each accept looks again: a crowd at both grows faster than we poll.
        """
        if self.shared is None:
            return
        in_use = self.shared.descriptors_in_use_elsewhere()
        if in_use != self.descriptors_elsewhere:
            self.descriptors_elsewhere = in_use
            self.clients.limit_descriptors(in_use)
            self.clients.before_admit = (
                (lambda: self._log_failure(self._share_descriptors)) if in_use else None
            )

    def execute(self, command: str, backend_name: str) -> bool:
        """Whether the command is done, and known to whoever shares the folder.

        Raises:
            OSError: The folder can't be read or written.
        """
        self.synchronize()  # the other process may have been called since
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
        return True  # nothing to change: two cordons need one uncordon

    def _store(self, cordon: Cordon) -> bool:
        cordons = self.registry.cordons
        if cordon.name not in cordons and len(cordons) >= MAX_CORDONS:
            return False
        if self.shared is None:
            self.registry.apply_cordons(cordons | {cordon.name: cordon})
        else:
            self.shared.put(cordon)
            self.synchronize()
            self.shared.forget_released_before(cordon.since_ms - self.dispatcher.settings.slow_start_ms)
        return True


class AdminServer:
    """The listener: `is_healthy` decides the health check, `execute` carries out a command."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        is_healthy: Callable[[], bool],
        execute: Callable[[str, str], bool],
    ) -> None:
        self.loop = loop
        self.is_healthy = is_healthy
        self.execute = execute
        self.connections: dict[AdminConnection, None] = {}  # the longest waiting first

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """The address that is bound.

        Raises:
            OSError: The address can't be bound.
        """
        listener = bind_listener(address)
        listener.listen(BACKLOG)
        bound = listener.getsockname()
        self.acceptor = Acceptor(self.loop, listener, lambda: AdminConnection(self))
        return bound[0], bound[1]

    async def close(self) -> None:
        """Accept no more calls, and answer for a moment those that have come."""
        closes_at = time.monotonic() + LAST_CALLS_S
        await self.acceptor.accept_the_last(closes_at)
        self.acceptor.close()
        await asyncio.sleep(0)  # what was accepted just now is counted
        while self.connections and time.monotonic() < closes_at:
            await asyncio.sleep(LAST_CALLS_POLL_S)

    def status_of(self, method: str, path: str, body: str) -> int:
        """Carry out one call; the status of its response."""
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
            done = self.execute(command, body.strip())
        except OSError as error:
            log.error("%s %s: %s", command, body.strip()[:80], error)
            return 503
        log.info("%s %s: %s", command, body.strip()[:80], "yes" if done else "no")
        return 200 if done else 404


class AdminConnection(asyncio.Protocol):
    """One call."""

    __slots__ = ("body", "done", "parser", "received", "server", "target", "timer", "transport")

    def __init__(self, server: AdminServer) -> None:
        self.server = server
        self.transport: asyncio.Transport
        self.parser = httptools.HttpRequestParser(self)
        self.target = self.body = b""
        self.received = 0  # bytes
        self.done = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the caller, and close the longest waiting one if there are too many."""
        self.transport = cast(asyncio.Transport, transport)
        self.timer = self.server.loop.call_later(CALL_TIMEOUT_S, self.transport.abort)
        if len(self.server.connections) >= MAX_CALLERS:  # a silent caller must not keep the next one out
            oldest = next(iter(self.server.connections))
            del self.server.connections[oldest]
            oldest.transport.abort()
        self.server.connections[self] = None

    def data_received(self, data: bytes) -> None:
        """Parse more of the call."""
        self.received += len(data)
        if self.done:
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.done:
                self._respond(400)
            return
        if self.received > MAX_CALL_BYTES and not self.done:
            self._respond(413)

    def on_url(self, url: bytes) -> None:
        """Parser callback: more of the target."""
        self.target += url

    def on_body(self, data: bytes) -> None:
        """Parser callback: more of the body."""
        self.body += data

    def on_message_complete(self) -> None:
        """Parser callback: carry out the call."""
        if self.done:
            raise UnreadableMessageError  # one call a connection
        method = self.parser.get_method().decode("latin-1")
        path = self.target.partition(b"?")[0].decode("latin-1")
        self._respond(self.server.status_of(method, path, self.body.decode("utf-8", "replace")))

    def _respond(self, status: int) -> None:
        self.done = True
        body = b"yes\n" if status < 300 else b"no\n"
        self.transport.write(response_head(status, DATE_LINE.now(), len(body), True) + body)
        self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Forget the caller."""
        self.timer.cancel()
        self.server.connections.pop(self, None)
        del self.parser  # it refers back to us
