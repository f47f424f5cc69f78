"""Queries of a connection's current state in the kernel, without waiting for the event loop.

The event loop reports received bytes and a closed connection only in a later turn, and reports neither while
reading is paused.  Code that is about to close a connection, to reuse it or to send a request on behalf of
its peer needs the state at that instant.
"""

from __future__ import annotations

import fcntl
import select
import socket
import struct
import termios
from asyncio import Transport
from contextlib import suppress

# The kernel reports these also while there are unread bytes before the end of the connection.
CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
# The ioctl request for the unsent bytes of a socket (linux/sockios.h); Python has no name for it.
SIOCOUTQNSD = 0x894B
NO_LINGER = struct.pack("ii", 1, 0)

# The memory of a socket (linux/sock_diag.h): first the use and the limit of its receive buffer.
SO_MEMINFO = 55

_MEMORY_INFO = struct.Struct("II")
_INT = struct.Struct("i")
_poll = select.poll()


def _ready_events(transport: Transport, events: int) -> int:
    descriptor = transport.get_extra_info("socket").fileno()
    _poll.register(descriptor, events)
    ready = _poll.poll(0)
    _poll.unregister(descriptor)
    return ready[0][1] if ready else 0


def has_unread_input(transport: Transport) -> bool:
    """Return whether received bytes, or the end of the connection, have not been read yet."""
    return transport.is_closing() or _ready_events(transport, select.POLLIN) != 0


def peer_has_closed(transport: Transport) -> bool:
    """Return whether the peer has closed the connection or shut down its sending side."""
    return transport.is_closing() or _ready_events(transport, CLOSED_EVENTS) & CLOSED_EVENTS != 0


def unacknowledged_bytes(transport: Transport) -> int:
    """Return how many written bytes the peer's kernel has not acknowledged, or 0 if this is not known."""
    return _queued_bytes(transport, termios.TIOCOUTQ)


def unread_bytes(transport: Transport) -> int:
    """Return how many received bytes have not been read, or 0 if this is not known."""
    return _queued_bytes(transport, termios.FIONREAD)


def receive_buffer_share(transport: Transport) -> float:
    """Return how much of a connection's receive buffer the kernel has in use, or 0 if this is not known."""
    try:
        info = transport.get_extra_info("socket").getsockopt(socket.SOL_SOCKET, SO_MEMINFO, _MEMORY_INFO.size)
        used, limit = _MEMORY_INFO.unpack(info)
    except (OSError, struct.error):
        return 0.0
    return float(used / limit) if limit else 0.0


def unsent_bytes(transport: Transport) -> int:
    """Return how many written bytes this kernel has not sent yet, or 0 if this is not known."""
    return _queued_bytes(transport, SIOCOUTQNSD)


def discard_unsent_bytes(transport: Transport) -> None:
    """Make the close of the connection drop what the kernel has not sent; the peer sees a reset."""
    with suppress(OSError):
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)


def _queued_bytes(transport: Transport, request: int) -> int:
    try:
        descriptor = transport.get_extra_info("socket").fileno()
        answer = fcntl.ioctl(descriptor, request, bytes(_INT.size))
    except OSError:
        return 0
    count: int = _INT.unpack(answer)[0]
    return count
