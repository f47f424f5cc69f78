"""The memory that all bodies and buffered responses of a process share."""

from __future__ import annotations


class ByteBudget:
    """Counts bytes that are in memory for requests and responses against one limit."""

    __slots__ = ("limit", "used")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0

    def reserve(self, size: int, share: float = 1.0) -> bool:
        """Count `size` bytes, unless more than that share of the limit would then be in use."""
        if self.used + size > self.limit * share:
            return False
        self.used += size
        return True

    def release(self, size: int) -> None:
        """Give back `size` bytes that were reserved."""
        self.used -= size
