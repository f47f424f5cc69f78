"""The process's log: one rate-limited stream of logfmt lines on standard error.

Every line is `when=... level=... msg="..."`, for an event its fields, and `proxy=...`;
`heronreel.proxy.event_log` has the events.  Logfmter was weighed against structlog, python-json-logger,
loguru and ecs-logging: it takes 1.5 ms of the start and 0.1 MB, they take 4.8 to 33 ms and 0.5 to 3.2 MB, and
it needs no change of a call.
"""

from __future__ import annotations

import logging
import sys
import time

from logfmter import Logfmter

MAX_LINES_PER_S = 5  # of one kind
NOT_RATE_LIMITED = {
    "always": True
}  # `extra` of a line that the limit must not drop: an operator waits for it
KIND_FIELD = "event_kind"  # a record's kind, where it is an event; all other lines are one kind
NOT_LOGGED = ["always", KIND_FIELD]  # attributes of records that steer the log


class SecondLimit:
    """Passes the first `MAX_LINES_PER_S` of each second, and counts the others."""

    __slots__ = ("count", "dropped", "second")

    def __init__(self) -> None:
        self.second, self.count = 0, 0
        self.dropped = 0  # since the last that passed as the first of its second

    def passes(self) -> bool:
        """Whether one more passes."""
        second = int(time.monotonic())
        if second != self.second:
            self.second, self.count = second, 0
        self.count += 1
        self.dropped += self.count > MAX_LINES_PER_S
        return self.count <= MAX_LINES_PER_S

    def take_dropped(self) -> int:
        """How many were dropped before the first line of this second; 0 for any later line."""
        if self.count != 1:
            return 0
        dropped, self.dropped = self.dropped, 0
        return dropped


class RateLimit(logging.Filter):
    """Drops lines beyond `MAX_LINES_PER_S`: a storm of bad input must cost neither disk nor time.

    Records with a true `always` attribute pass in any case, and events are limited where they are made.
    """

    def __init__(self) -> None:
        super().__init__()
        self.limit = SecondLimit()

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether the record is written; the first of a second tells how many were dropped before it."""
        if getattr(record, "always", False):  # an operator asked for it, and waits for the outcome
            return True
        if getattr(record, KIND_FIELD, None) is not None:
            return True
        if not self.limit.passes():
            return False
        if dropped := self.limit.take_dropped():
            record.msg, record.args = f"{record.getMessage()} ({dropped} lines dropped before)", None
        return True


class ProxyName(logging.Filter):
    """Adds the proxy's name to each record, as its field `proxy`."""

    def __init__(self, name: str) -> None:
        super().__init__()
        self.proxy_name = name

    def filter(self, record: logging.LogRecord) -> bool:
        """Add the field; every record passes."""
        record.proxy = self.proxy_name
        return True


def log_to_stderr(name: str) -> None:
    """Log the process's lines from level INFO on to standard error, under the proxy's name."""
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(RateLimit())
    handler.addFilter(ProxyName(name))
    handler.setFormatter(
        Logfmter(
            keys=["when", "level"],
            mapping={"when": "asctime", "level": "levelname"},
            ignored_keys=NOT_LOGGED,
        )
    )
    logging.basicConfig(level=logging.INFO, handlers=[handler])
