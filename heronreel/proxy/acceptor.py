"""Accepting connections on a listening socket.

The event loop's own listener resets every connection that comes while `accept` fails for want of
descriptors, and spins while it fails otherwise.  Here a connection that can't be accepted now stays in the
kernel's queue, `accept` is tried again after a pause that grows, and the last connections are accepted before
the socket closes.
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

Opening = Coroutine[Any, Any, object]  # of a connection that was accepted

MAX_ACCEPTS = 4  # in one turn of the loop: they are counted, and others closed for them, in the next one
MIN_PAUSE_S, MAX_PAUSE_S = 0.005, 0.1  # after a failure of `accept`
MAX_LAST_TURNS = 256  # in which the last connections are accepted, however many come
MAX_FAILURES = 8  # in a row, of single connections; then it is no matter of theirs
# accept(2): errors of the new connection, which is gone; the next one may be well
CONNECTION_ERRORS = frozenset((
    errno.ECONNABORTED, errno.EPROTO, errno.ENOPROTOOPT, errno.ENETDOWN, errno.EHOSTDOWN, errno.ENONET,
    errno.EHOSTUNREACH, errno.EOPNOTSUPP, errno.ENETUNREACH, errno.ETIMEDOUT, errno.ECONNRESET,
))  # fmt: skip


class AcceptResult(Enum):
    """What a turn of accepting leaves."""

    MORE = "more connections may wait"
    EMPTY = "none waits"
    FAILED = "accept failed"


class Acceptor:
    """Accepts the connections of one listening socket, until `close`, which is called once."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        listener: socket.socket,
        make_protocol: Callable[[], asyncio.Protocol],
    ) -> None:
        """Accept from now on; the socket listens already, and is this object's to close."""
        self.loop = loop
        self.listener = listener
        self.make_protocol = make_protocol
        self.pause_s = MIN_PAUSE_S
        self.failures = 0  # in a row
        self.resume_timer: asyncio.TimerHandle | None = None
        self.opening: set[Opening] = set()
        listener.setblocking(False)
        loop.add_reader(listener.fileno(), self._accept)

    async def accept_the_last(self, until: float) -> None:
        """Accept what waits in the kernel's queue: closing its only socket would reset that.

        Args:
            until: When to give up where `accept` fails, on the monotonic clock in seconds.
        """
        for _ in range(MAX_LAST_TURNS):
            result = self._accept_some()
            if result is AcceptResult.EMPTY:
                break
            if result is AcceptResult.FAILED and time.monotonic() >= until:
                break
            await asyncio.sleep(self.pause_s if result is AcceptResult.FAILED else 0.0)  # they are counted
        while self.opening:
            await asyncio.sleep(0)

    def close(self) -> None:
        """Listen no more."""
        if self.resume_timer:
            self.resume_timer.cancel()
        self.loop.remove_reader(self.listener.fileno())
        self.listener.close()

    def _accept(self) -> None:
        self._accept_some()

    def _accept_some(self) -> AcceptResult:
        """Accept up to `MAX_ACCEPTS` connections."""
        for _ in range(MAX_ACCEPTS):
            try:
                connection, _ = self.listener.accept()
            except BlockingIOError:
                return AcceptResult.EMPTY
            except OSError as error:
                record(EventKind.ACCEPT_FAILED, error=errno.errorcode.get(error.errno or 0, str(error)))
                self.failures += 1
                if error.errno in CONNECTION_ERRORS and self.failures < MAX_FAILURES:
                    continue
                self._pause()
                return AcceptResult.FAILED
            self.pause_s, self.failures = MIN_PAUSE_S, 0
            connection.setblocking(False)
            self._open(connection)
        return AcceptResult.MORE

    def _open(self, connection: socket.socket) -> None:
        """Make the connection the event loop's.

        The coroutine waits only until the loop has called `connection_made`.  It is stepped here and not by a
        task, which would cost half as much again as the whole accept does.
        """
        opening = self.loop.connect_accepted_socket(self.make_protocol, connection)
        try:
            made: asyncio.Future[None] = opening.send(None)
        except StopIteration:
            return
        except OSError as error:
            record(EventKind.ACCEPT_FAILED, error=str(error))
            connection.close()
            return
        self.opening.add(opening)
        made.add_done_callback(lambda _: self._opened(opening))

    def _opened(self, opening: Opening) -> None:
        self.opening.discard(opening)
        try:
            opening.send(None)
        except StopIteration:
            return
        except OSError as error:
            record(EventKind.ACCEPT_FAILED, error=str(error))

    def _pause(self) -> None:
        """Leave new connections in the kernel's queue for a while."""
        self.failures = 0
        if self.resume_timer:
            self.resume_timer.cancel()
        self.loop.remove_reader(self.listener.fileno())
        self.resume_timer = self.loop.call_later(self.pause_s, self._resume)
        self.pause_s = min(MAX_PAUSE_S, 2.0 * self.pause_s)

    def _resume(self) -> None:
        self.resume_timer = None
        self.loop.add_reader(self.listener.fileno(), self._accept)
