"""The listener for clients: accepts connections, limits their number and closes them when quiesced."""

from __future__ import annotations

import asyncio
import logging
import math
import socket
import time
from collections.abc import Callable
from itertools import islice

from heronreel.proxy.acceptor import Acceptor
from heronreel.proxy.client_connection import ClientConnection
from heronreel.proxy.client_interface import IDLE_TIMEOUT_S, REQUEST_TIMEOUT_S, Phase
from heronreel.proxy.config import Config, with_descriptors_in_use
from heronreel.proxy.disconnect_watch import DisconnectWatch
from heronreel.proxy.dispatcher import Dispatcher
from heronreel.proxy.event_log import CloseReason, record_state
from heronreel.proxy.memory_account import CONNECTION_BYTES, MemoryUse
from heronreel.proxy.read_turns import ReadTurns
from heronreel.proxy.socket_state import has_unread_input

BACKLOG = 2048
MAX_INSPECTED = 16  # connections that are inspected to find one that may be closed
SWEEP_INTERVAL_S = 0.2
# Timeouts that replace IDLE_TIMEOUT_S between requests, and REQUEST_TIMEOUT_S for the first byte, while many
# connections are open.
MIN_IDLE_TIMEOUT_S = 0.1
MIN_FIRST_BYTE_TIMEOUT_S = 0.5
FEW_CONNECTIONS_RATIO = 0.25  # up to this part of the connection limit, few connections are open
# How long to wait after the quiesce command until the upstream load balancer has seen a failed health check
# and sends no more connections; then how often connections are closed.
QUIESCE_DELAY_S = 0.35
QUIESCE_INTERVAL_S = 0.05
QUIESCE_FIRST_BYTE_TIMEOUT_S = 0.6  # for the first byte of a connection to a quiesced proxy

log = logging.getLogger(__name__)


def bind_listener(address: tuple[str, int]) -> socket.socket:
    """Return a socket that is bound to the address, to listen on.

    Raises:
        OSError: The address can't be bound.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    # Allows binding while closed connections to the address are in TIME_WAIT.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(address)
    return listener


class ClientListener:
    """Accepts clients' connections and closes those that are overdue or exceed the limit."""

    def __init__(self, loop: asyncio.AbstractEventLoop, config: Config, dispatcher: Dispatcher) -> None:
        self.loop = loop
        self.dispatcher = dispatcher
        self.memory = dispatcher.memory
        self.address = config.listen
        self.config = config
        # Called for each accepted connection while another process shares the limits.
        self.before_admit: Callable[[], None] | None = None
        self.reload(config)
        self.connections: dict[ClientConnection, None] = {}
        # Connections that have not sent a byte, the oldest first.
        self.silent: dict[ClientConnection, None] = {}
        # Connections between requests, the longest idle first.
        self.idle: dict[ClientConnection, None] = {}
        self.disconnect_watch = DisconnectWatch(loop)
        self.read_turns = ReadTurns(loop)
        self.draining = False
        self.admit_until = math.inf  # requests whose last byte is read later are refused
        self.quiesced_at = math.inf  # when an operator quiesced the proxy; infinite while it is not quiesced
        self.accepted_at = 0.0  # when the last connection was accepted
        self.accepted = 0  # number of connections since the start
        self.acceptors: list[Acceptor] = []

    def limit_descriptors(self, in_use_elsewhere: int) -> None:
        """Reduce the limits by the descriptors that the proxy's other processes use."""
        config = self.config
        if in_use_elsewhere:
            config = with_descriptors_in_use(config, in_use_elsewhere)
        self.max_connections, self.max_rejected = config.client_sockets, config.rejected_sockets
        self.dispatcher.pool.reconfigure(config)

    def reload(self, config: Config) -> None:
        """Apply the limits of a new configuration."""
        self.config = config
        self.max_connections, self.max_rejected = config.client_sockets, config.rejected_sockets
        # If the endpoints come from a file, the embedding program reports changes of its listeners.
        if config.listen != self.address and not config.endpoints_from_file:
            log.error(
                "reload: listen: a new address needs a restart; still listening on %s:%d", *self.address
            )

    def listen(self, address: tuple[str, int], inherited: int | None = None) -> tuple[str, int]:
        """Listen on an address, or on an inherited socket that is shared with successors.

        Returns:
            The bound address.

        Raises:
            OSError: The address can't be bound, or the inherited descriptor is not a socket.
        """
        listener = bind_listener(address) if inherited is None else socket.socket(fileno=inherited)
        listener.listen(BACKLOG)
        bound = listener.getsockname()
        if not self.acceptors:
            self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        self.acceptors.append(Acceptor(self.loop, listener, lambda: ClientConnection(self)))
        return bound[0], bound[1]

    async def stop_listening(self, has_successor: bool, until: float) -> None:
        """Stop accepting; without a successor, accept the connections in the kernel's queue first.

        Args:
            has_successor: Whether another process accepts on the same socket.
            until: When to give up while `accept` fails, in seconds on the monotonic clock.
        """
        for acceptor in self.acceptors:
            if not has_successor:
                await acceptor.accept_pending(until)
            acceptor.close()
        self.acceptors.clear()

    # Limits on connections.

    def admit(self, client: ClientConnection) -> bool:
        """Register a new connection.

        False means that it must be rejected, because there are too many or memory is scarce.
        """
        self.connections[client] = None
        self.memory.charge(MemoryUse.CONNECTIONS, CONNECTION_BYTES)
        self.accepted += 1
        client.number = self.accepted
        self.accepted_at = time.monotonic()
        if self.before_admit:
            self.before_admit()
        if len(self.connections) <= self.max_connections and not self.memory.is_scarce():
            return True
        # Connections that have sent nothing are closed before those that have sent a request.  This protects
        # usual clients: any number of silent connections costs no more than accepting them.  A client that
        # connects long before it sends may be closed too.
        oldest = self._first_without_input(self.silent)
        if oldest and oldest is not client:
            oldest.abort(CloseReason.REPLACED)
            return True
        excess = max(0, len(self.connections) - self.max_connections)
        if oldest := self._first_without_input(self.idle):
            oldest.close(CloseReason.REPLACED)
            # Closing connections still hold the descriptors that are meant for rejected clients.
            if excess > self.max_rejected:
                self._abort_slowest(client)
            return True
        if self.memory.is_scarce():
            if self.memory.is_exceeded():
                self._abort_slowest(client)
            return False
        if self.dispatcher.pool.lend_descriptors(excess) >= excess:
            return True
        if excess > self.dispatcher.pool.lent_descriptors + self.max_rejected:
            self._abort_slowest(client)
        return False

    def _abort_slowest(self, newest: ClientConnection) -> None:
        """Free a descriptor: abort a closing connection, else the one that sends its request for longest."""
        slow = [client for client in self.connections if not client.is_being_served()]
        slowest = min(
            slow, key=lambda client: (client.phase is not Phase.CLOSING, client.started_at), default=newest
        )
        slowest.abort(CloseReason.REJECTION_LIMIT)

    def _first_without_input(self, clients: dict[ClientConnection, None]) -> ClientConnection | None:
        """Return the first connection without unread input, among the first `MAX_INSPECTED`."""
        inspected = islice(clients, MAX_INSPECTED)
        return next((client for client in inspected if not has_unread_input(client.transport)), None)

    def remove(self, client: ClientConnection) -> None:
        """Remove a closed connection."""
        if client in self.connections:
            del self.connections[client]
            self.memory.release(MemoryUse.CONNECTIONS, CONNECTION_BYTES)
        self.idle.pop(client, None)
        self.silent.pop(client, None)
        self.disconnect_watch.discard(client)
        if self.dispatcher.pool.lent_descriptors:
            self.dispatcher.pool.lend_descriptors(len(self.connections) - self.max_connections)

    def _sweep(self) -> None:
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = time.monotonic()
        for client in list(self.connections):
            if client.delivery.waiting:
                client.check_delivery(now)
            elif client.due_at <= now:
                client.on_overdue()
        self._close_inactive(now)
        self.dispatcher.pool.close_expired(now)

    def _close_inactive(self, now: float) -> None:
        """Close inactive connections early while many connections are open.

        A client that sends one request and keeps its connection open must not use up the connections that new
        clients need, neither at this proxy nor at clients that limit their own connections.  The price is
        that a client that sends a request now and then needs a new connection each time.
        """
        kept = FEW_CONNECTIONS_RATIO * self.max_connections
        inactive = [(client, REQUEST_TIMEOUT_S - MIN_FIRST_BYTE_TIMEOUT_S) for client in self.silent]
        inactive += [(client, IDLE_TIMEOUT_S - MIN_IDLE_TIMEOUT_S) for client in self.idle]
        for client, reduction_s in inactive:
            if len(self.connections) > kept and client.due_at - reduction_s <= now:
                client.close(CloseReason.TOO_MANY_INACTIVE)
                kept += 1

    # Quiescing; `heronreel.proxy.drain` has the graceful shutdown.

    def is_ready(self) -> bool:
        """Return whether requests are served and more clients may connect."""
        return self.dispatcher.is_serving() and not self.is_closing_connections()

    def is_closing_connections(self) -> bool:
        """Return whether each connection is closed after its next response, while quiesced or draining."""
        return self.draining or self.quiesced_at < math.inf

    def is_admitting(self) -> bool:
        """Return whether a request whose last byte is read now may still be sent to a backend."""
        return time.monotonic() < self.admit_until

    def set_quiesced(self, quiesced: bool) -> None:
        """Quiesce the proxy, which sends its clients to other proxies, or resume."""
        if quiesced == (self.quiesced_at < math.inf):
            return
        self.quiesced_at = time.monotonic() if quiesced else math.inf
        record_state("quiesced" if quiesced else "resumed", connections=len(self.connections))
        if quiesced:
            self.loop.call_later(QUIESCE_DELAY_S, self._close_quiesced, self.quiesced_at)

    def _close_quiesced(self, quiesced_at: float) -> None:
        """Close connections between requests; by now their clients reconnect to another proxy."""
        if self.quiesced_at != quiesced_at or self.draining:
            return
        self.loop.call_later(QUIESCE_INTERVAL_S, self._close_quiesced, quiesced_at)
        for client in list(self.idle):
            client.close(CloseReason.QUIESCED)
        due_by = time.monotonic() + REQUEST_TIMEOUT_S - QUIESCE_FIRST_BYTE_TIMEOUT_S
        for client in [client for client in self.silent if client.due_at <= due_by]:
            client.close(CloseReason.QUIESCED)
