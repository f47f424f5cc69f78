"""What the kernel holds of a connection that has not been read yet, at the instant it matters.

The event loop reports bytes and ends in its own time, and neither while reading is paused.  Whoever is about
to close a connection, to reuse it or to send something on its peer's behalf can't wait for that.
"""

from __future__ import annotations

import select
from asyncio import Transport

# reported also behind bytes that nobody has read
CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR

_poll = select.poll()


def _ready_events(transport: Transport, events: int) -> int:
    descriptor = transport.get_extra_info("socket").fileno()
    _poll.register(descriptor, events)
    ready = _poll.poll(0)
    _poll.unregister(descriptor)
    return ready[0][1] if ready else 0


def has_unread_input(transport: Transport) -> bool:
    """Whether bytes, or the connection's end, wait to be read."""
    return transport.is_closing() or _ready_events(transport, select.POLLIN) != 0


def peer_has_closed(transport: Transport) -> bool:
    """Whether the peer has closed the connection, or ended its sending."""
    return transport.is_closing() or _ready_events(transport, CLOSED_EVENTS) & CLOSED_EVENTS != 0
