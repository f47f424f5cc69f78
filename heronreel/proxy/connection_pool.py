"""Pools the connections to all backends and sends attempts on them.

A connection carries one attempt at a time and is kept for reuse.  It is certain that an attempt never ran
only if its connection ended before the last byte of the request was written.  The pool itself never sends an
attempt a second time.
"""

from __future__ import annotations

import asyncio
import logging
import math
import time
from bisect import bisect_right, insort
from operator import attrgetter

from heronreel.balancer.interface import Outcome
from heronreel.proxy.backend_connection import (
    Attempt,
    AttemptObserver,
    Backend,
    BackendConnection,
)
from heronreel.proxy.config import Config
from heronreel.proxy.memory_account import CONNECTING_BYTES, CONNECTION_BYTES, MemoryUse
from heronreel.proxy.reading_pause import PauseReason
from heronreel.proxy.response import Response
from heronreel.proxy.socket_state import has_unread_input

# The share of the backend descriptors that is never lent to clients.
MIN_BACKEND_DESCRIPTOR_RATIO = 0.45
# Free descriptors that are kept for backends in addition to those in use.
SPARE_DESCRIPTORS = 8
# An idle connection is closed after this share of the backend's idle timeout, so that the proxy always closes
# it before the backend does.
IDLE_TIMEOUT_RATIO = 0.6
# Upper limits of the idle time for backends with a long idle timeout.  A backend's connection table is shared
# by all proxies, and a full table reduces the backend's capacity.  A connection that stays unused for longer
# than this costs all proxies more than a new handshake costs this one.
MAX_IDLE_S = 1.0
# The limit grows with the configured price of a handshake: seconds per point of a handshake for every
# request.
IDLE_S_PER_HANDSHAKE_COST = 12.5

_responded_at = attrgetter("responded_at")

log = logging.getLogger(__name__)


class ConnectionPool:
    """The connections to all backends.

    A connection is counted from `connection_made` until it is closed or lost.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, config: Config, observer: AttemptObserver) -> None:
        self.loop = loop
        self.observer = observer
        self.reconfigure(config)
        self.connections: set[BackendConnection] = set()
        self.idle: dict[BackendConnection, None] = {}  # The connection that has been idle longest is first.
        self.connecting: set[asyncio.Task[None]] = set()
        self.lent_descriptors = 0  # Backend descriptors that clients may use at present.
        # No attempt is sent from this time on, because the process is shutting down.
        self.send_until = math.inf
        # No attempt is sent to a listed backend after this time, because a change that the endpoint list
        # lacks may count as notified.
        self.list_valid_until = math.inf
        # Connections whose responses wait for memory before they can be forwarded, the longest waiting first.
        self.waiting_for_memory: dict[BackendConnection, None] = {}

    def reconfigure(self, config: Config) -> None:
        """Apply the limits and timeouts of a new configuration."""
        self.max_connections = config.backend_sockets
        self.drain_grace_s = config.drain_grace_ms / 1000.0
        self.connect_timeout_s = config.settings.connect_timeout_ms / 1000.0
        max_worthwhile_s = max(MAX_IDLE_S, IDLE_S_PER_HANDSHAKE_COST * config.settings.price_handshake)
        self.max_idle_s = min(config.backend_idle_ms / 1000.0 * IDLE_TIMEOUT_RATIO, max_worthwhile_s)
        self.accepts_any_status = config.accepts_any_status

    def open_count(self) -> int:
        """Return the number of descriptors in use or about to be opened.

        The limit is checked with this number, so that the process never runs into EMFILE.
        """
        return len(self.connections) + len(self.connecting)

    def lend_descriptors(self, wanted: int) -> int:
        """Lend up to `wanted` unused backend descriptors to clients and return how many are lent.

        Many clients that send their requests slowly need many client connections but few backend connections.
        All descriptors that are not in use for attempts are lent, except for a reserve.  Idle connections are
        closed as needed.
        """
        busy = self.open_count() - len(self.idle)
        reserved = max(int(self.max_connections * MIN_BACKEND_DESCRIPTOR_RATIO), busy + SPARE_DESCRIPTORS)
        self.lent_descriptors = max(0, min(wanted, self.max_connections - reserved))
        while self.idle and self.open_count() > self.max_connections - self.lent_descriptors:
            self.close(next(iter(self.idle)))
        return self.lent_descriptors

    # Attempts.

    def start_attempt(self, attempt: Attempt) -> None:
        """Send an attempt on an idle connection, or open a new connection for it."""
        backend = attempt.backend
        attempt.request.in_flight += 1
        backend.in_flight += 1
        connection = self._take_idle(backend, attempt.started_at)
        if connection is not None:
            self._send(connection, attempt)
            return
        # More than one connection has to be closed if the limit has shrunk, as during an upgrade.
        while self.open_count() >= self.max_connections - self.lent_descriptors and self.idle:
            self.close(next(iter(self.idle)))
        has_descriptor = self.open_count() < self.max_connections - self.lent_descriptors
        if not has_descriptor or not self.observer.memory.reserve(MemoryUse.CONNECTIONS, CONNECTING_BYTES):
            self.end_attempt(attempt, Outcome.NOT_SENT)
            return
        task = self.loop.create_task(self._connect(attempt))
        self.connecting.add(task)
        task.add_done_callback(self._on_connect_ended)

    def _on_connect_ended(self, task: asyncio.Task[None]) -> None:
        self.connecting.discard(task)
        self.observer.memory.release(MemoryUse.CONNECTIONS, CONNECTING_BYTES)

    def _take_idle(self, backend: Backend, now: float) -> BackendConnection | None:
        """Return an idle connection that has no unread input, or None.

        Bytes after the end of a response, or an end of the connection that was not read yet, would otherwise
        be taken for the response to the next request.  The check covers a duplicate response, invalid bytes
        and a backend that closed an idle connection early.  It costs system calls, and an additional
        connection if responses follow each other faster than the backend's reuse delay on few connections.
        """
        rested_since = now - backend.reuse_delay.at(now)
        rested_count = bisect_right(backend.idle, rested_since, key=_responded_at)
        for index in range(rested_count - 1, -1, -1):
            connection = backend.idle[index]
            if now - connection.idle_since < self.max_idle_s and not has_unread_input(connection.transport):
                del backend.idle[index], self.idle[connection]
                return connection
            self.close(connection)
        return None

    async def _connect(self, attempt: Attempt) -> None:
        """Open a connection and send the attempt on it.

        Whatever fails, the attempt ends and the connection is either counted or closed.
        """
        backend = attempt.backend
        connection = BackendConnection(self, backend)
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                await self.loop.create_connection(lambda: connection, *backend.address)
        except Exception as error:
            connection.abandon()  # The connection may come up at the same moment as the timeout.
            if not isinstance(error, OSError | TimeoutError):
                log.error(
                    "unexpected error while connecting to backend %s: %s: %s",
                    backend.name,
                    type(error).__name__,
                    error,
                )
            self.end_attempt(attempt, Outcome.UNREACHABLE)
            return
        if not attempt.ended and not attempt.request.finished:
            if connection.address != backend.address:  # The backend has moved meanwhile.
                connection.transport.abort()
                await self._connect(attempt)
                return
            self._send(connection, attempt)
            return
        self.release(connection)  # Its handshake is done, so the next attempt may use it.
        self.end_attempt(attempt, Outcome.NOT_SENT)

    def _send(self, connection: BackendConnection, attempt: Attempt) -> None:
        backend, now = attempt.backend, time.monotonic()
        # A draining backend gets no new requests after the grace, which a slow connect or a stall of this
        # process may exceed.
        if backend.cordoned or (not backend.listed and now > backend.draining_since + self.drain_grace_s):
            connection.transport.abort()
            self.end_attempt(attempt, Outcome.NOT_SENT)
        elif self._must_not_send(attempt, now):
            self.release(connection)
            self.end_attempt(attempt, Outcome.NOT_SENT)
        else:
            connection.send(attempt, now)
            if attempt.send_by < math.inf and connection.has_undelivered_bytes():
                self.loop.call_later(attempt.send_by - now, self._on_send_deadline, attempt)

    def _must_not_send(self, attempt: Attempt, now: float) -> bool:
        """Return whether the attempt may no longer be sent.

        The situation may have changed since the balancer's decision, while a connection was being opened.
        """
        upload = attempt.request.upload
        # Part of the body may have been dropped since the decision.
        if upload and not upload.can_restart():
            return True
        # No request may take effect twice: the backends' deduplication may already have forgotten the first
        # attempt, and the balancer's own check was made before a connect or a stall of this process.
        if now >= min(attempt.send_by, self.send_until):
            return True
        # From `list_valid_until` on, changes missing in discovery's list may count as notified.  Backends of
        # a pool come from a file and are not affected.
        if not attempt.backend.pool and now >= self.list_valid_until:
            return True
        # A backend should not work on a request without a client: the client may have closed its connection
        # after bytes that are not read yet, or while this process was stalled.
        return self.observer.is_abandoned(attempt)

    def _on_send_deadline(self, attempt: Attempt) -> None:
        """Cancel a retry that would be late.

        A backend starts the request when its last byte arrives, which may be long after the first one.
        """
        connection = attempt.connection
        if connection and connection.attempt is attempt and connection.has_undelivered_bytes():
            self.abandon_attempt(attempt, Outcome.CANCELLED)

    def end_attempt(self, attempt: Attempt, outcome: Outcome, response: Response | None = None) -> None:
        """End an attempt and report its outcome once; calls after the first one have no effect."""
        if attempt.ended:
            return
        attempt.ended = True
        if attempt.timer:
            attempt.timer.cancel()
        attempt.backend.in_flight -= 1
        attempt.request.in_flight -= 1
        self.observer.attempt_ended(attempt, outcome, response)

    def abandon_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        """Stop waiting for an attempt and close the connection that carries it.

        If the request was not written completely, the backend can never run it.
        """
        connection = attempt.connection
        if connection is None or connection.has_unsent_bytes:
            # An attempt that the proxy cancelled itself says nothing about the backend's health.
            outcome = Outcome.NOT_SENT if outcome is Outcome.CANCELLED else Outcome.UNREACHABLE
        # The backend gets nothing more once the client may know that the attempt has ended.
        if connection is not None and connection.attempt is attempt:
            connection.give_up()
        self.end_attempt(attempt, outcome)

    # Connections.

    def release(self, connection: BackendConnection) -> None:
        """Keep a connection for the next attempt, or close it if the backend may get no further attempts."""
        backend = connection.backend
        if (
            not backend.listed
            or backend.cordoned
            or connection.transport.is_closing()
            or connection.address != backend.address
        ):
            connection.transport.abort()
            return
        connection.idle_since = time.monotonic()
        insort(backend.idle, connection, key=_responded_at)
        self.idle[connection] = None

    def close(self, connection: BackendConnection) -> None:
        """Close a connection.  Its descriptor is closed before a later connect opens a new one."""
        self.remove(connection)
        connection.transport.abort()

    def close_idle(self, backend: Backend) -> None:
        """Close all idle connections to a backend."""
        for connection in list(backend.idle):
            self.close(connection)

    def close_expired(self, now: float) -> None:
        """Close the connections that have been idle for longer than the limit."""
        for connection in list(self.idle):
            if now - connection.idle_since < self.max_idle_s:
                break
            self.close(connection)

    def remove(self, connection: BackendConnection) -> None:
        """Stop counting a connection that is closed or lost."""
        if connection in self.connections:
            self.connections.remove(connection)
            self.observer.memory.release(MemoryUse.CONNECTIONS, CONNECTION_BYTES)
        if connection in self.idle:
            del self.idle[connection]
            connection.backend.idle.remove(connection)

    def resume_waiting_for_memory(self) -> None:
        """Resume responses that wait for memory, the longest waiting first, as far as the memory suffices."""
        while (
            self.waiting_for_memory and (connection := next(iter(self.waiting_for_memory))).start_streaming()
        ):
            del self.waiting_for_memory[connection]
            connection.reading_pause.remove(PauseReason.MEMORY_USED_UP)
