"""When input arrived that the proxy did not read at once.

A client's time counts from its last byte, which may wait in a kernel's buffer for long while the connection
is not read.  How much waits here is looked at again and again, and input has arrived by the last change.
While the buffer here is not nearly empty, more may wait in the client's kernel, where it is not seen.  What
the client has written is then judged by what its kernel may hold.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import NamedTuple

from heronreel.proxy.socket_state import receive_buffer_share, unread_bytes

# Below this part of its limit, the kernel's buffer takes all that a client's kernel sends.
ROOM_SHARE = 0.25
# How much the kernel of a client may hold for it: the usual maximum of Linux (tcp_wmem in tcp(7)).
MAX_CLIENT_BUFFER_BYTES = 4 << 20
# A connection that was read for this long has brought all that had waited in its client's kernel.
DRAINED_AFTER_S = 0.25
# Looks within so many bytes count as one, at the time of the first of them.
SAMPLE_BYTES = 64 << 10


class _Sample(NamedTuple):
    """What had arrived at one look.  All counts are since the begin of the connection."""

    at: float
    received_bytes: int
    read_bytes: int


class InputArrival:
    """The unread input of one connection.  Times are in seconds on the monotonic clock."""

    __slots__ = ("_changed_at", "_read_bytes", "_resumed_at", "_samples", "_transport", "_unread_bytes")

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._unread_bytes = 0
        self._changed_at = 0.0
        self._read_bytes = 0
        self._resumed_at: float | None = None  # since when the connection is read; None while it is not
        # The looks since the kernel's buffer was nearly empty, with ever more received bytes.
        self._samples: deque[_Sample] = deque()

    def resume(self) -> None:
        """Handle that the connection is read again."""
        self._resumed_at = time.monotonic()

    def check(self) -> None:
        """Look at how much input waits; called when reading is paused, and then regularly."""
        now = time.monotonic()
        size = unread_bytes(self._transport)
        if size != self._unread_bytes:
            self._unread_bytes, self._changed_at = size, now
        self._forget_if_drained(now)
        self._resumed_at = None
        if receive_buffer_share(self._transport) < ROOM_SHARE:
            self._samples.clear()
        else:
            self._add_sample(_Sample(now, self._read_bytes + size, self._read_bytes))

    def _add_sample(self, sample: _Sample) -> None:
        last = self._samples[-1] if self._samples else None
        if last is None:
            self._samples.append(sample)
        elif sample.received_bytes <= last.received_bytes:
            return
        elif sample.read_bytes == last.read_bytes:
            # Nothing was read, so the buffer had room at the last look, and the client's kernel held nothing.
            self._samples[-1] = sample
        elif sample.received_bytes < last.received_bytes + SAMPLE_BYTES:
            self._samples[-1] = sample._replace(at=last.at)
        else:
            self._samples.append(sample)

    def _forget_if_drained(self, now: float) -> None:
        if self._resumed_at is not None and now - self._resumed_at >= DRAINED_AFTER_S:
            self._samples.clear()

    def take(self, size: int) -> float:
        """Return by when the next `size` bytes that are read had arrived."""
        waited, self._unread_bytes = self._unread_bytes > 0, max(0, self._unread_bytes - size)
        self._read_bytes += size
        return self._changed_at if waited else time.monotonic()

    def complete_since(self, missing_bytes: int | None, quiet_s: float) -> float | None:
        """Return since when all of a message has arrived, or None if that is not certain.

        Args:
            missing_bytes: How much of the message was not read yet; None if that is unknown.
            quiet_s: Without a known length, the rest has arrived if nothing more has come for this long,
                although the kernel's buffer has room.
        """
        if missing_bytes is not None:
            return self._changed_at if self._unread_bytes >= missing_bytes else None
        is_quiet = self._unread_bytes > 0 and time.monotonic() - self._changed_at >= quiet_s
        return self._changed_at if is_quiet and not self._samples else None

    def may_be_written_since(self, missing_bytes: int | None) -> float | None:
        """Return since when the client may have written all of a message.

        None means that it has not.  The time moves on while the message does, because a client's kernel holds
        no more than `MAX_CLIENT_BUFFER_BYTES`.

        Args:
            missing_bytes: How much of the message was not read yet; None if that is unknown.
        """
        self._forget_if_drained(time.monotonic())
        if missing_bytes is None and self._unread_bytes > 0 and not self._samples:
            return self._changed_at  # nothing waits in the client's kernel
        missing = missing_bytes or 0
        if not self._samples or missing - self._unread_bytes > MAX_CLIENT_BUFFER_BYTES:
            return None
        received_bytes = self._read_bytes + missing - MAX_CLIENT_BUFFER_BYTES
        while len(self._samples) > 1 and self._samples[0].received_bytes < received_bytes:
            self._samples.popleft()
        return self._samples[0].at
