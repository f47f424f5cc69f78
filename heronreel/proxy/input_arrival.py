"""When input arrived that the proxy did not read at once.

A client's time counts from its last byte, which may wait in the kernel's buffer for long while the connection
is not read.  How much waits there is looked at again and again, and input has arrived by the last change.
"""

from __future__ import annotations

import asyncio
import time

from heronreel.proxy.socket_state import receive_buffer_share, unread_bytes

# Below the first part of its limit, the kernel's buffer has room; from the second on it is full, so that more
# of the input waits in the client's kernel.
ROOM_SHARE = 0.25
FULL_SHARE = 0.5
# How much the kernel of a client may hold for it: the usual maximum of Linux (tcp_wmem in tcp(7)).
MAX_CLIENT_BUFFER_BYTES = 4 << 20


class InputArrival:
    """The unread input of one connection.  Times are in seconds on the monotonic clock."""

    __slots__ = ("_changed_at", "_transport", "_unread_bytes")

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._unread_bytes = 0
        self._changed_at = 0.0

    def check(self) -> None:
        """Look at how much input waits; called when reading is paused, and then regularly."""
        size = unread_bytes(self._transport)
        if size != self._unread_bytes:
            self._unread_bytes, self._changed_at = size, time.monotonic()

    def take(self, size: int) -> float:
        """Return by when the next `size` bytes that are read had arrived."""
        waited, self._unread_bytes = self._unread_bytes > 0, max(0, self._unread_bytes - size)
        return self._changed_at if waited else time.monotonic()

    def complete_since(self, missing_bytes: int | None, quiet_s: float) -> float | None:
        """Return since when a client may have written all of a message, or None if it has not.

        The rest of the message waits here, or in the client's kernel behind a full buffer of this one.

        Args:
            missing_bytes: How much of the message was not read yet; None if that is unknown.
            quiet_s: Without a known length, the rest has arrived if nothing more has come for this long,
                although the kernel's buffer has room.
        """
        if missing_bytes is None:
            is_quiet = self._unread_bytes > 0 and time.monotonic() - self._changed_at >= quiet_s
            is_complete = is_quiet and receive_buffer_share(self._transport) < ROOM_SHARE
        elif self._unread_bytes >= missing_bytes:
            is_complete = True
        else:
            fits_behind = missing_bytes - self._unread_bytes <= MAX_CLIENT_BUFFER_BYTES
            is_complete = fits_behind and receive_buffer_share(self._transport) >= FULL_SHARE
        return self._changed_at if is_complete else None
