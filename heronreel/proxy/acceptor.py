"""Accepting connections on a listening socket.

The event loop's own listener resets every connection that arrives while `accept` fails for lack of
descriptors, and loops without a pause while it fails for another reason.  Here a connection that can't be
accepted stays in the kernel's queue, `accept` is tried again after a growing pause, and the pending
connections are accepted before the socket closes.
"""

from __future__ import annotations

import asyncio
import errno
import socket
import time
from collections.abc import Callable, Coroutine
from enum import Enum
from typing import Any

from heronreel.proxy.event_log import EventKind, record

Opening = Coroutine[Any, Any, object]  # hands an accepted connection to the event loop

# Connections accepted in one turn of the loop.  They are counted, and others closed to make room for them,
# only in the next turn.
MAX_ACCEPTS_PER_TURN = 4
# Pauses after failures of `accept`; each is twice as long as the one before it.
MIN_PAUSE_S = 0.005
MAX_PAUSE_S = 0.1
# Bounds the time to accept pending connections before the close while new ones keep arriving.
MAX_PENDING_TURNS = 256
# After this many failures in a row, errors of single connections are taken for a failure of the listener.
MAX_FAILURES = 8
# Errors of accept(2) that belong to the new connection, which is lost; the next one may be accepted.
CONNECTION_ERRORS = frozenset((
    errno.ECONNABORTED, errno.EPROTO, errno.ENOPROTOOPT, errno.ENETDOWN, errno.EHOSTDOWN, errno.ENONET,
    errno.EHOSTUNREACH, errno.EOPNOTSUPP, errno.ENETUNREACH, errno.ETIMEDOUT, errno.ECONNRESET,
))  # fmt: skip


class AcceptResult(Enum):
    """The outcome of one turn of accepting."""

    MORE = "more connections may wait"
    EMPTY = "none waits"
    FAILED = "accept failed"


class Acceptor:
    """Accepts the connections of one listening socket, until `close`, which is called once."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        listener: socket.socket,
        make_protocol: Callable[[], asyncio.BaseProtocol],
    ) -> None:
        """Start to accept on a listening socket, which this object closes."""
        self.loop = loop
        self.listener = listener
        self.make_protocol = make_protocol
        self.pause_s = MIN_PAUSE_S
        self.consecutive_failures = 0
        self.resume_timer: asyncio.TimerHandle | None = None
        self.opening: set[Opening] = set()
        listener.setblocking(False)
        loop.add_reader(listener.fileno(), self._accept)

    async def accept_pending(self, until: float) -> None:
        """Accept the connections in the kernel's queue, which closing its only socket would reset.

        Args:
            until: When to give up while `accept` fails, in seconds on the monotonic clock.
        """
        for _ in range(MAX_PENDING_TURNS):
            result = self._accept_some()
            if result is AcceptResult.EMPTY:
                break
            if result is AcceptResult.FAILED and time.monotonic() >= until:
                break
            # Gives the loop a turn to count the accepted connections.
            await asyncio.sleep(self.pause_s if result is AcceptResult.FAILED else 0.0)
        while self.opening:
            await asyncio.sleep(0)

    def close(self) -> None:
        """Stop listening and close the socket."""
        if self.resume_timer:
            self.resume_timer.cancel()
        self.loop.remove_reader(self.listener.fileno())
        self.listener.close()

    def _accept(self) -> None:
        self._accept_some()

    def _accept_some(self) -> AcceptResult:
        """Accept up to `MAX_ACCEPTS_PER_TURN` connections."""
        for _ in range(MAX_ACCEPTS_PER_TURN):
            try:
                connection, _ = self.listener.accept()
            except BlockingIOError:
                return AcceptResult.EMPTY
            except OSError as error:
                record(EventKind.ACCEPT_FAILED, error=errno.errorcode.get(error.errno or 0, str(error)))
                self.consecutive_failures += 1
                if error.errno in CONNECTION_ERRORS and self.consecutive_failures < MAX_FAILURES:
                    continue
                self._pause()
                return AcceptResult.FAILED
            self.pause_s, self.consecutive_failures = MIN_PAUSE_S, 0
            connection.setblocking(False)
            self._open(connection)
        return AcceptResult.MORE

    def _open(self, connection: socket.socket) -> None:
        """Hand the connection to the event loop.

        The coroutine waits only until the loop has called `connection_made`.  It is stepped here rather than
        by a task, which would make the whole accept 1.5 times as expensive.
        """
        opening = self.loop.connect_accepted_socket(self.make_protocol, connection)
        try:
            connected: asyncio.Future[None] = opening.send(None)
        except StopIteration:
            return
        except OSError as error:
            record(EventKind.ACCEPT_FAILED, error=str(error))
            connection.close()
            return
        self.opening.add(opening)
        connected.add_done_callback(lambda _: self._finish_opening(opening))

    def _finish_opening(self, opening: Opening) -> None:
        self.opening.discard(opening)
        try:
            opening.send(None)
        except StopIteration:
            return
        except OSError as error:
            record(EventKind.ACCEPT_FAILED, error=str(error))

    def _pause(self) -> None:
        """Stop accepting for a while; new connections stay in the kernel's queue."""
        self.consecutive_failures = 0
        if self.resume_timer:
            self.resume_timer.cancel()
        self.loop.remove_reader(self.listener.fileno())
        self.resume_timer = self.loop.call_later(self.pause_s, self._resume)
        self.pause_s = min(MAX_PAUSE_S, 2.0 * self.pause_s)

    def _resume(self) -> None:
        self.resume_timer = None
        self.loop.add_reader(self.listener.fileno(), self._accept)
