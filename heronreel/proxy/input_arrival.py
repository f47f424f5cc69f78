"""When input arrived that the proxy did not read at once.

A client's time counts from its last byte, which may wait in a kernel's buffer for long while the connection
is not read.  How much waits here is looked at again and again, and input has arrived by the look that first
shows it.  While the buffer here is not nearly empty, more may wait in the client's kernel, where it is not
seen.  What the client has written is then judged by what its kernel may hold.
"""

from __future__ import annotations

import asyncio
import math
import time
from bisect import bisect_right
from collections.abc import Iterator
from operator import attrgetter
from typing import NamedTuple

from heronreel.proxy.socket_state import receive_buffer_share, unread_bytes

# Below this part of its limit, the kernel's buffer takes all that a client's kernel sends.
ROOM_SHARE = 0.25
# How much the kernel of a client may hold for it: the usual maximum of Linux, 4 MiB (tcp_wmem in tcp(7)), and
# a margin, since a write that begins below the maximum is taken whole.
MAX_CLIENT_BUFFER_BYTES = 5 << 20
# After a read, what waits in the client's kernel has come within this time.
REFILL_S = 0.03
# A connection that was read for this long has brought all that had waited in its client's kernel.
DRAINED_AFTER_S = 0.25
MAX_LOOKS = 256  # that are kept of one connection, the newest


class _Look(NamedTuple):
    """What had arrived at one look that showed more than the one before.

    Attributes:
        at: The time of the look.
        received_bytes: How much had arrived since the begin of the connection.
        not_written_before: When the client's kernel held nothing of what the look shows first.
    """

    at: float
    received_bytes: int
    not_written_before: float


class InputArrival:
    """The unread input of one connection.  Times are in seconds on the monotonic clock."""

    __slots__ = (
        "_changed_at", "_drained_at", "_looks", "_may_wait_at_client", "_read_at", "_read_bytes",
        "_resumed_at", "_transport", "_unread_bytes",
    )  # fmt: skip

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._unread_bytes = 0
        self._changed_at = 0.0
        self._read_bytes = 0
        self._read_at = -math.inf  # when the connection was read last
        self._may_wait_at_client = False  # whether the kernel's buffer was full since `_drained_at`
        self._drained_at = 0.0  # when it was last certain that nothing waited in the client's kernel
        self._resumed_at: float | None = None  # since when the connection is read; None while it is not
        self._looks: list[_Look] = []  # with ever more received bytes

    def resume(self) -> None:
        """Look at how much input waits before the connection is read again."""
        self._look(time.monotonic())
        self._resumed_at = time.monotonic()

    def check(self) -> None:
        """Look at how much input waits; called when reading is paused, and then regularly."""
        now = time.monotonic()
        self._note_long_reading(now)
        self._resumed_at = None
        self._look(now)

    def _look(self, now: float) -> None:
        size = unread_bytes(self._transport)
        if size != self._unread_bytes:
            self._unread_bytes, self._changed_at = size, now
        received_bytes = self._read_bytes + size
        has_grown = not self._looks or received_bytes > self._looks[-1].received_bytes
        self._note_fullness(now)
        if has_grown:
            self._forget_looks()
            self._add_look(now, received_bytes)

    def _note_fullness(self, now: float) -> None:
        """Judge whether the client's kernel may hold something, from how full the buffer here is.

        That more comes while nothing is read does not show that there was room: a closed window opens late.
        """
        has_refilled = now - self._read_at >= REFILL_S
        has_room = receive_buffer_share(self._transport) < ROOM_SHARE
        if has_room and (has_refilled or not self._may_wait_at_client):
            self._may_wait_at_client = False
            self._drained_at = now
        else:
            self._may_wait_at_client = True

    def _note_long_reading(self, now: float) -> None:
        if self._resumed_at is not None and now - self._resumed_at >= DRAINED_AFTER_S:
            self._may_wait_at_client = False
            self._drained_at = now

    def _forget_looks(self) -> None:
        """Forget the looks that tell nothing of what was not read yet, but for the last of them."""
        margin_bytes = MAX_CLIENT_BUFFER_BYTES if self._may_wait_at_client else 0
        while len(self._looks) > 1 and self._looks[1].received_bytes <= self._read_bytes - margin_bytes:
            del self._looks[0]

    def _add_look(self, now: float, received_bytes: int) -> None:
        if len(self._looks) >= MAX_LOOKS:
            del self._looks[0]
        self._looks.append(_Look(now, received_bytes, self._drained_at))

    def _first_look_beyond(self, offset: int) -> int:
        """Return the index of the first look that shows more than `offset` bytes since the begin."""
        return bisect_right(self._looks, offset, key=attrgetter("received_bytes"))

    def take(self, data: bytes) -> Iterator[tuple[bytes, float]]:
        """Divide data that was read, and yield each part with the time of the look that first showed it."""
        start, begins_at = 0, self._read_bytes
        self._read_bytes += len(data)
        self._unread_bytes = max(0, self._unread_bytes - len(data))
        now = self._read_at = time.monotonic()
        self._note_long_reading(now)
        for look in self._looks[self._first_look_beyond(begins_at) :]:
            if start == len(data):
                return
            end = min(len(data), look.received_bytes - begins_at)
            yield data[start:end], look.at
            start = end
        if start < len(data):
            yield data[start:], now

    def _next_look(self, now: float) -> _Look:
        """Return the look that shows what has come, or will come, since the last one."""
        not_written_before = self._drained_at if self._may_wait_at_client else now
        return _Look(now, self._read_bytes, not_written_before)

    def _written_by(self, look: _Look, offset: int) -> float:
        """Return the earliest time by which the client may have written all up to `offset`.

        Args:
            look: The first one that shows so much, or that follows if none does.
            offset: The number of bytes since the begin of the connection.
        """
        index = self._first_look_beyond(offset - MAX_CLIENT_BUFFER_BYTES - 1)
        earliest = self._looks[index].at if index < len(self._looks) else look.at
        return min(look.at, max(look.not_written_before, earliest))

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
        return self._changed_at if is_quiet and not self._may_wait_at_client else None

    def may_be_written_since(self, missing_bytes: int | None) -> float | None:
        """Return since when the client may have written all of a message that is being read.

        None means that it has not.  The time moves on while the message does, because a client's kernel holds
        no more than `MAX_CLIENT_BUFFER_BYTES`.

        Args:
            missing_bytes: How much of the message was not read yet; None if that is unknown.
        """
        if not self._looks:
            return None
        last = self._looks[-1]
        end = last.received_bytes if missing_bytes is None else self._read_bytes + missing_bytes
        waits_at_client = max(0, end - last.received_bytes)
        if not waits_at_client:
            return self._written_by(self._looks[self._first_look_beyond(end - 1)], end)
        if not self._may_wait_at_client or waits_at_client > MAX_CLIENT_BUFFER_BYTES:
            return None
        return self._written_by(self._next_look(time.monotonic()), end)
