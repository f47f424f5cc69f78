"""One account of the memory that peers make the process hold."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

MB = 1 << 20
# Memory of a process that has served nothing yet, where the kernel does not tell it.
USUAL_BASE_BYTES = 28 * MB
# Memory that is not counted: what parsing, logging and garbage need for a moment.
SPARE_BYTES = 1 * MB
# The part of the remaining memory that may be counted as held; the allocator's gaps need the rest.
HELD_SHARE = 0.6
MIN_HELD_BYTES = 1 * MB  # with less memory, too few requests could be served
# The objects of one open connection, with its parser and its transport.
CONNECTION_BYTES = 3 << 10
# What the event loop holds beside that while a connection is being opened.
CONNECTING_BYTES = 3 << 10
# The state of one known backend, and its part of a list that is being read.
BACKEND_BYTES = 2560
# From this share of the limit on, memory is too scarce for further connections.
SCARCE_SHARE = 0.95
# A holding up to this size may use all of the memory, a larger one LARGE_HOLDING_SHARE of it, so that small
# messages, the usual ones, keep a part for themselves.
SMALL_HOLDING_BYTES = 6 << 10
LARGE_HOLDING_SHARE = 0.85


class MemoryUse(Enum):
    """What memory is held for; the value is the field's name in the log."""

    REQUESTS = "requests_bytes"  # heads and bodies, from their first byte until the response
    RESPONSES = "responses_bytes"  # heads and bodies, until they are passed on
    UNREAD = "unread_bytes"  # responses that their clients have not taken yet
    CONNECTIONS = "connections_bytes"  # open connections of clients and to backends


@dataclass(slots=True)
class MemoryLimits:
    """What limits the memory that peers may make the process hold, in bytes.

    Attributes:
        process_bytes: The limit on the memory of the proxy's processes together.
        base_bytes: What this process needed before it served anything.
        added_backends: How many backends became known after that.
        elsewhere_bytes: What the proxy's other processes use.
    """

    process_bytes: int
    base_bytes: int = USUAL_BASE_BYTES
    added_backends: int = 0
    elsewhere_bytes: int = 0

    def held_bytes(self) -> int:
        """Return the limit on what is held for peers."""
        fixed_bytes = self.base_bytes + self.added_backends * BACKEND_BYTES + self.elsewhere_bytes
        return max(MIN_HELD_BYTES, int((self.process_bytes - fixed_bytes - SPARE_BYTES) * HELD_SHARE))


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

    def is_scarce(self) -> bool:
        """Return whether too little memory is left for further connections."""
        return self.used > SCARCE_SHARE * self.limit

    def is_exceeded(self) -> bool:
        """Return whether more is held than the limit allows."""
        return self.used > self.limit

    def by_use(self) -> dict[str, int]:
        """Return the bytes in use, by the names of their uses in the log."""
        return {use.value: size for use, size in self._used_for.items()}
