"""Exponential backoff with jitter."""

from __future__ import annotations

from collections.abc import Callable

MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0
MAX_DOUBLINGS = 10


class JitteredBackoff:
    """Retry delays that double with each failure, with jitter so that many clients do not retry together."""

    def __init__(self, jitter: Callable[[], float]) -> None:
        """`jitter` returns a random number from 0 to 1."""
        self.jitter = jitter
        self.failures = 0

    def next_delay(self) -> float:
        """Count a failure, and return the seconds to wait before the next retry."""
        delay: float = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2.0**self.failures)
        self.failures = min(self.failures + 1, MAX_DOUBLINGS)
        return delay * (0.5 + self.jitter())

    def reset(self) -> None:
        """Return to the shortest delay after a request has succeeded."""
        self.failures = 0
