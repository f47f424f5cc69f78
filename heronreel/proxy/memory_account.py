"""One account of the memory that peers make the process hold."""

from __future__ import annotations

from enum import Enum

# A holding up to this size may use all of the memory, a larger one LARGE_HOLDING_SHARE of it, so that small
# messages, the usual ones, keep a part for themselves.
SMALL_HOLDING_BYTES = 4 << 10
LARGE_HOLDING_SHARE = 0.85


class MemoryUse(Enum):
    """What memory is held for; the value is the field's name in the log."""

    REQUESTS = "requests_bytes"  # heads and bodies, from their first byte until the response
    RESPONSES = "responses_bytes"  # heads and bodies, until they are passed on
    UNREAD = "unread_bytes"  # responses that their clients have not taken yet


class MemoryAccount:
    """Counts the bytes held for peers against one limit."""

    __slots__ = ("_used_for", "limit", "used")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0
        self._used_for = dict.fromkeys(MemoryUse, 0)

    def resize(self, use: MemoryUse, held: int, wanted: int) -> bool:
        """Change what one peer holds from `held` to `wanted` bytes if the limit allows it.

        Returns:
            Whether the size was changed; a holding may always shrink.
        """
        share = 1.0 if wanted <= SMALL_HOLDING_BYTES else LARGE_HOLDING_SHARE
        if wanted > held and self.used - held + wanted > self.limit * share:
            return False
        self.charge(use, wanted - held)
        return True

    def reserve(self, use: MemoryUse, size: int) -> bool:
        """Reserve `size` bytes, beside what is held already, if the limit allows it.

        Returns:
            Whether the bytes were reserved.
        """
        if self.used + size > self.limit:
            return False
        self.charge(use, size)
        return True

    def charge(self, use: MemoryUse, size: int) -> None:
        """Count `size` bytes that are held already, even beyond the limit; a negative size is released."""
        self.used += size
        self._used_for[use] += size

    def release(self, use: MemoryUse, size: int) -> None:
        """Release `size` bytes that were reserved or charged earlier."""
        self.used -= size
        self._used_for[use] -= size

    def by_use(self) -> dict[str, int]:
        """Return the bytes in use, by the names of their uses in the log."""
        return {use.value: size for use, size in self._used_for.items()}
