"""The process's log: one rate-limited stream on standard error."""

from __future__ import annotations

import logging
import sys
import time

MAX_LINES_PER_S = 5
ALWAYS = {"always": True}  # `extra` of a line that the limit must not drop: an operator waits for it


class RateLimit(logging.Filter):
    """Drops lines beyond `MAX_LINES_PER_S`: a storm of bad input must cost neither disk nor time.

    Records with a true `always` attribute pass in any case.
    """

    def __init__(self) -> None:
        super().__init__()
        self.second, self.count, self.dropped = 0, 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether the record is written; the first of a second tells how many were dropped before it."""
        if getattr(record, "always", False):  # an operator asked for it, and waits for the outcome
            return True
        second = int(time.monotonic())
        if second != self.second:
            if self.dropped:
                record.msg, record.args = f"{record.getMessage()} ({self.dropped} lines dropped before)", None
            self.second, self.count, self.dropped = second, 0, 0
        self.count += 1
        self.dropped += self.count > MAX_LINES_PER_S
        return self.count <= MAX_LINES_PER_S


def log_to_stderr(name: str) -> None:
    """Log the process's lines from level INFO on to standard error, under the proxy's name."""
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(RateLimit())
    handler.setFormatter(logging.Formatter(f"%(asctime)s {name} %(message)s"))
    logging.basicConfig(level=logging.INFO, handlers=[handler])
