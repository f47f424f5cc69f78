"""The listener for clients: accepting, limits on connections, and quiescing."""

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
from heronreel.proxy.dispatcher import Dispatcher
from heronreel.proxy.event_log import CloseReason, record_state
from heronreel.proxy.socket_state import has_unread_input

BACKLOG = 2048
MAX_INSPECTED = 16  # connections that are looked at to find one that may be closed
SWEEP_INTERVAL_S = 0.2
MIN_IDLE_TIMEOUT_S = 0.1  # between requests, once many connections are open
MIN_SILENCE_TIMEOUT_S = 0.5  # for the first byte then; before that REQUEST_TIMEOUT_S
FEW_CONNECTIONS_SHARE = 0.25  # of the connections that clients may have, up to which few are open
# after a health check that failed, the load balancer in front of us sends no more connections
QUIESCE_DELAY_S, QUIESCE_INTERVAL_S = 0.35, 0.05
QUIESCE_SILENCE_S = 0.6  # after which a silent connection is closed then

log = logging.getLogger(__name__)


def bind_listener(address: tuple[str, int]) -> socket.socket:
    """A socket to listen on that address.

    Raises:
        OSError: The address can't be bound.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)  # no waiting for TIME_WAIT
    listener.bind(address)
    return listener


class ClientListener:
    """Accepts clients' connections, counts them and ends those that are overdue or too many."""

    def __init__(self, loop: asyncio.AbstractEventLoop, config: Config, dispatcher: Dispatcher) -> None:
        self.loop = loop
        self.dispatcher = dispatcher
        self.address = config.listen
        self.config = config
        self.before_admit: Callable[[], None] | None = None  # while another process shares our limits
        self.reload(config)
        self.connections: dict[ClientConnection, None] = {}
        self.silent: dict[ClientConnection, None] = {}  # those that have not sent a byte, the oldest first
        self.idle: dict[ClientConnection, None] = {}  # those between requests, the longest idle first
        self.draining = False
        self.admit_until = math.inf  # requests read later are refused
        self.quiesced_at = math.inf  # when operators commanded it
        self.accepted_at = 0.0
        self.accepted = 0  # connections, since the start
        self.acceptors: list[Acceptor] = []

    def limit_descriptors(self, in_use_elsewhere: int) -> None:
        """Leave the proxy's other processes what they use of the descriptors that are for all of them."""
        config = self.config
        if in_use_elsewhere:
            config = with_descriptors_in_use(config, in_use_elsewhere)
        self.max_connections, self.max_rejected = config.client_sockets, config.rejected_sockets
        self.dispatcher.pool.reconfigure(config)

    def reload(self, config: Config) -> None:
        """Take the limits of a new configuration."""
        self.config = config
        self.max_connections, self.max_rejected = config.client_sockets, config.rejected_sockets
        # where the endpoints are a file's, the host reports changes of its listeners
        if config.listen != self.address and not config.endpoints_from_file:
            log.error("reload: listen: a new address needs a restart; %s:%d stays", *self.address)

    def listen(self, address: tuple[str, int], inherited: int | None = None) -> tuple[str, int]:
        """Listen on an address, or on an inherited socket that successors will share; the bound address.

        Raises:
            OSError: The address can't be bound, or the inherited descriptor is no socket.
        """
        listener = bind_listener(address) if inherited is None else socket.socket(fileno=inherited)
        listener.listen(BACKLOG)
        bound = listener.getsockname()
        if not self.acceptors:
            self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        self.acceptors.append(Acceptor(self.loop, listener, lambda: ClientConnection(self)))
        return bound[0], bound[1]

    async def stop_listening(self, has_successor: bool, until: float) -> None:
        """Accept nothing that comes later; what waits in the kernel's queue is a successor's, or ours.

        Args:
            has_successor: Another process accepts on the same socket.
            until: When to give up accepting what waits, on the monotonic clock.
        """
        for acceptor in self.acceptors:
            if not has_successor:
                await acceptor.accept_the_last(until)
            acceptor.close()
        self.acceptors.clear()

    # Counting.

    def admit(self, client: ClientConnection) -> bool:
        """Count a new connection; False: there are too many, and it is only there to be rejected."""
        self.connections[client] = None
        self.accepted += 1
        client.number = self.accepted
        self.accepted_at = time.monotonic()
        if self.before_admit:
            self.before_admit()
        if len(self.connections) <= self.max_connections:
            return True
        # protects usual clients: a silent crowd is closed before anyone who has sent a request, so that its
        # size
        # costs no more than its accepts; a client that connects long before it sends may be closed too
        oldest = self._first_without_input(self.silent)
        if oldest and oldest is not client:
            oldest.abort(CloseReason.REPLACED)
            return True
        excess = len(self.connections) - self.max_connections
        if oldest := self._first_without_input(self.idle):
            oldest.close(CloseReason.REPLACED)
            if excess > self.max_rejected:  # those that still end hold what is for the rejected
                self._abort_slowest(client)
            return True
        if self.dispatcher.pool.lend_descriptors(excess) >= excess:
            return True
        if excess > self.dispatcher.pool.lent_descriptors + self.max_rejected:
            self._abort_slowest(client)
        return False

    def _abort_slowest(self, newest: ClientConnection) -> None:
        """Free the descriptor of a rejected client, or of the one that sends its request for longest."""
        slow = [client for client in self.connections if not client.request and not client.pipelined]
        slowest = min(
            slow, key=lambda client: (client.phase is not Phase.CLOSING, client.started_at), default=newest
        )
        slowest.abort(CloseReason.REJECTION_LIMIT)

    def _first_without_input(self, clients: dict[ClientConnection, None]) -> ClientConnection | None:
        """The first of those that have not just sent something; only so many are looked at."""
        inspected = islice(clients, MAX_INSPECTED)
        return next((client for client in inspected if not has_unread_input(client.transport)), None)

    def forget(self, client: ClientConnection) -> None:
        """A connection is closed."""
        self.connections.pop(client, None)
        self.idle.pop(client, None)
        self.silent.pop(client, None)
        if self.dispatcher.pool.lent_descriptors:
            self.dispatcher.pool.lend_descriptors(len(self.connections) - self.max_connections)

    def _sweep(self) -> None:
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = time.monotonic()
        for client in [client for client in self.connections if client.due_at <= now]:
            client.on_overdue()
        self._close_resting(now)
        self.dispatcher.pool.close_expired(now)

    def _close_resting(self, now: float) -> None:
        """Once many connections are open, close those that have rested for a while.

        Those that send one request and stay for good must not occupy what new clients need, here or where
        clients count their own.  One that sends now and then pays a connection each time.
        """
        kept = FEW_CONNECTIONS_SHARE * self.max_connections
        resting = [(client, REQUEST_TIMEOUT_S - MIN_SILENCE_TIMEOUT_S) for client in self.silent]
        resting += [(client, IDLE_TIMEOUT_S - MIN_IDLE_TIMEOUT_S) for client in self.idle]
        for client, earlier_s in resting:
            if len(self.connections) > kept and client.due_at - earlier_s <= now:
                client.close(CloseReason.TOO_MANY_INACTIVE)
                kept += 1

    # Quiescing; `heronreel.proxy.drain` shuts down.

    def is_ready(self) -> bool:
        """Whether requests are served and more clients may come."""
        return self.dispatcher.is_serving() and not self.is_closing_connections()

    def is_closing_connections(self) -> bool:
        """Whether each connection ends behind its next response, for a while or for good."""
        return self.draining or self.quiesced_at < math.inf

    def is_admitting(self) -> bool:
        """Whether a request whose last byte is read now may still be sent to a backend."""
        return time.monotonic() < self.admit_until

    def set_quiesced(self, quiesced: bool) -> None:
        """Operators send the proxy's clients elsewhere, or let them come again."""
        if quiesced == (self.quiesced_at < math.inf):
            return
        self.quiesced_at = time.monotonic() if quiesced else math.inf
        record_state("quiesced" if quiesced else "resumed", connections=len(self.connections))
        if quiesced:
            self.loop.call_later(QUIESCE_DELAY_S, self._close_quiesced, self.quiesced_at)

    def _close_quiesced(self, quiesced_at: float) -> None:
        """Close what is between requests, once closing it makes clients come to another proxy."""
        if self.quiesced_at != quiesced_at or self.draining:
            return
        self.loop.call_later(QUIESCE_INTERVAL_S, self._close_quiesced, quiesced_at)
        for client in list(self.idle):
            client.close(CloseReason.QUIESCED)
        due_by = time.monotonic() + REQUEST_TIMEOUT_S - QUIESCE_SILENCE_S
        for client in [client for client in self.silent if client.due_at <= due_by]:
            client.close(CloseReason.QUIESCED)
