"""How long a backend connection rests after a response before it carries the next request.

An HTTP/1.1 response carries nothing that names its request.  A backend that sends a second response some
milliseconds after the first one may send it while the next request is on its way, and the proxy would take
it for the response to that request.  Until the delay is over, a second response arrives on an idle
connection, where it is recognized; its connection is then closed.  The distance to the backend does not
matter: it delays the first and the second response alike.
"""

from __future__ import annotations

# Second responses come some milliseconds late; this is several times as long.
MIN_REUSE_DELAY_S = 0.02
# A backend whose responses were followed by unexpected bytes gets a delay of this many times their lateness.
DELAY_PER_LATENESS = 4.0
# Bytes that come later than this belong to no second response, but for instance to an idle timeout.
MAX_LATENESS_S = 0.25
# For how long the lateness of a backend's unexpected bytes is remembered.
LATENESS_MEMORY_S = 600.0


class ReuseDelay:
    """The delay of the connections to one backend; all times are in seconds on the monotonic clock."""

    __slots__ = ("_expires_at", "_learned_s")

    def __init__(self) -> None:
        self._learned_s = MIN_REUSE_DELAY_S
        self._expires_at = 0.0

    def at(self, now: float) -> float:
        """Return the delay in seconds that holds at a time."""
        return self._learned_s if now < self._expires_at else MIN_REUSE_DELAY_S

    def note_unexpected_bytes(self, late_s: float, now: float) -> None:
        """Learn from bytes that arrived on an idle connection, `late_s` seconds after its last response."""
        if late_s <= MAX_LATENESS_S:
            self._learned_s = max(self.at(now), DELAY_PER_LATENESS * late_s)
            self._expires_at = now + LATENESS_MEMORY_S
