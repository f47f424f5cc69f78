"""What clients and backends share of HTTP/1.1: heads, framing, figures in headers, and rate-limited logs."""

from __future__ import annotations

import logging
import math
import sys
import time

HEAD_MOST = 16 << 10  # bytes of a head; of a trailer too
BODY_MOST = 64 << 10  # bytes of a body, either way

Headers = list[tuple[bytes, bytes]]  # names in lower case


class Unreadable(Exception):
    """Raised in a parser's callback: what comes is past any use, so the rest of the segment is not parsed."""


HOP_BY_HOP = frozenset((
    b"connection", b"keep-alive", b"proxy-authenticate", b"proxy-authorization", b"proxy-connection", b"te",
    b"trailer", b"transfer-encoding", b"upgrade", b"content-length", b"expect", b"http2-settings",
))
NEEDED = frozenset((b"x-request-id", b"idempotency-key"))  # without them a repeat could not be told
REASONS = {
    200: b"OK", 400: b"Bad Request", 405: b"Method Not Allowed", 408: b"Request Timeout",
    413: b"Content Too Large", 429: b"Too Many Requests", 431: b"Request Header Fields Too Large",
    502: b"Bad Gateway", 503: b"Service Unavailable", 504: b"Gateway Timeout",
}
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def end_to_end(headers: Headers, besides: frozenset[bytes] = frozenset()) -> bytes:
    """The header lines that may cross a proxy: not those of one hop, nor those that Connection names."""
    kept = [(name, value) for name, value in headers if name not in HOP_BY_HOP and name not in besides]
    for value in [value for name, value in headers if name == b"connection"]:
        named = {token.strip().lower() for token in value.split(b",")} - NEEDED
        kept = [(name, value) for name, value in kept if name not in named]
    return b"".join([b"%b: %b\r\n" % header for header in kept])


def answer_head(status: int, lines: bytes, length: int, close: bool) -> bytes:
    """The head of an answer to a client."""
    framing = b"Content-Length: %d" % length
    ending = b"\r\nConnection: close\r\n\r\n" if close else b"\r\n\r\n"
    return b"HTTP/1.1 %d %b\r\n%b%b%b" % (status, REASONS[status], lines, framing, ending)


def figure(text: bytes, most: float) -> float | None:
    """A header's number from 0 up to `most`; None for what is no finite number."""
    try:
        value = float(text)
    except ValueError:
        return None
    return min(max(value, 0.0), most) if math.isfinite(value) else None


class RateLimit(logging.Filter):
    """So many lines a second and no more: a storm of bad input must cost neither disk nor time."""

    MOST = 5

    def __init__(self) -> None:
        super().__init__()
        self.second, self.count, self.dropped = 0, 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        second = int(time.monotonic())
        if second != self.second:
            if self.dropped:
                record.msg, record.args = f"{record.getMessage()} ({self.dropped} lines dropped before)", None
            self.second, self.count, self.dropped = second, 0, 0
        self.count += 1
        self.dropped += self.count > self.MOST
        return self.count <= self.MOST


def log_to_stderr(name: str) -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(RateLimit())
    handler.setFormatter(logging.Formatter(f"%(asctime)s {name} %(message)s"))
    logging.basicConfig(level=logging.INFO, handlers=[handler])


class Budget:
    """Bytes that may be held for all requests and answers together."""

    __slots__ = ("most", "used")

    def __init__(self, most: int) -> None:
        self.most = most
        self.used = 0

    def take(self, size: int, share: float = 1.0) -> bool:
        if self.used + size > self.most * share:
            return False
        self.used += size
        return True

    def give(self, size: int) -> None:
        self.used -= size
