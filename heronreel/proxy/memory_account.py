"""One account of the memory that peers make the process hold."""

from __future__ import annotations

from enum import Enum


class MemoryUse(Enum):
    """What memory is held for; the value is the field's name in the log."""

    REQUESTS = "requests_bytes"  # heads and bodies, from their first byte until the response
    RESPONSES = "responses_bytes"  # heads and bodies, until they are passed on


class MemoryAccount:
    """Counts the bytes held for peers against one limit."""

    __slots__ = ("_used_for", "limit", "used")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0
        self._used_for = dict.fromkeys(MemoryUse, 0)

    def reserve(self, use: MemoryUse, size: int, share: float = 1.0) -> bool:
        """Reserve `size` bytes if the total in use stays within `share` of the limit.

        Returns:
            Whether the bytes were reserved.
        """
        if self.used + size > self.limit * share:
            return False
        self.charge(use, size)
        return True

    def charge(self, use: MemoryUse, size: int) -> None:
        """Count `size` bytes that are held already, even beyond the limit."""
        self.used += size
        self._used_for[use] += size

    def release(self, use: MemoryUse, size: int) -> None:
        """Release `size` bytes that were reserved or charged earlier."""
        self.used -= size
        self._used_for[use] -= size

    def by_use(self) -> dict[str, int]:
        """Return the bytes in use, by the names of their uses in the log."""
        return {use.value: size for use, size in self._used_for.items()}
