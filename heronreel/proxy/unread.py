"""What has come on a connection and is not read yet, asked of the kernel at the instant it matters.

The event loop tells of bytes and ends in its own time, and of neither while reading is paused.  Whoever is
about to close a connection, to use it again or to send something for its owner can't wait for that.
"""

from __future__ import annotations

import select
from asyncio import Transport

ENDS = select.POLLRDHUP | select.POLLHUP | select.POLLERR  # told also behind bytes that nobody has read

_poll = select.poll()


def _ready(transport: Transport, events: int) -> int:
    number = transport.get_extra_info("socket").fileno()
    _poll.register(number, events)
    told = _poll.poll(0)
    _poll.unregister(number)
    return told[0][1] if told else 0


def has_come(transport: Transport) -> bool:
    """Bytes, or the connection's end."""
    return transport.is_closing() or _ready(transport, select.POLLIN) != 0


def has_ended(transport: Transport) -> bool:
    """Its other side has closed, or ended its sending."""
    return transport.is_closing() or _ready(transport, ENDS) & ENDS != 0
