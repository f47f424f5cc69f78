"""Whether the receiver of a long message still takes it.

How full a buffer is doesn't show whether its receiver reads: the kernel reports a socket as writable only
when a third of its send buffer, which may have megabytes, is free.  What the receiver has acknowledged shows
it, though in steps: a receiver whose buffer was full announces free space only when a sixteenth of it is
free, so one with a buffer of 32 MiB that reads 64 kB a second is silent for 33 s.
"""

from __future__ import annotations

# Lowest rate at which a message is taken; the slowest receivers take 64 kB a second.
MIN_BYTES_PER_S = 48e3
# Longest time for which a receiver may take nothing.
MAX_SILENCE_S = 40.0


class DeliveryCredit:
    """The time that a receiver has left while bytes wait for it, after it has taken `taken_bytes` in all.

    It begins with `MAX_SILENCE_S`, which is also its maximum.  Each byte that is taken adds the time that it
    may need at `MIN_BYTES_PER_S`.  All times are in seconds on the monotonic clock.
    """

    __slots__ = ("_checked_at", "_left_s", "_taken_bytes")

    def __init__(self, taken_bytes: int) -> None:
        self._left_s = MAX_SILENCE_S
        self._taken_bytes = taken_bytes
        self._checked_at = 0.0

    def start(self, now: float, taken_bytes: int) -> None:
        """Begin to count the time: bytes wait from now on, after `taken_bytes` in all were taken."""
        self._checked_at = now
        self.is_left(now, taken_bytes)

    def is_left(self, now: float, taken_bytes: int) -> bool:
        """Count the time and the bytes since the last call, and return whether there is time left."""
        gained_s = (taken_bytes - self._taken_bytes) / MIN_BYTES_PER_S
        left_s = self._left_s - (now - self._checked_at) + gained_s
        self._left_s = min(MAX_SILENCE_S, left_s)
        self._taken_bytes, self._checked_at = taken_bytes, now
        return self._left_s > 0.0
