"""A memory limit shared by all request bodies and buffered responses of a process."""

from __future__ import annotations


class ByteBudget:
    """Counts the bytes held in memory for requests and responses against one limit."""

    __slots__ = ("limit", "used")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0

    def reserve(self, size: int, share: float = 1.0) -> bool:
        """Reserve `size` bytes if the total in use stays within `share` of the limit.

        Returns:
            Whether the bytes were reserved.
        """
        if self.used + size > self.limit * share:
            return False
        self.used += size
        return True

    def release(self, size: int) -> None:
        """Release `size` bytes that were reserved earlier."""
        self.used -= size
