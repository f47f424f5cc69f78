"""HTTP/1.1 syntax that both sides share: heads, framing, dates and numbers in headers."""

from __future__ import annotations

import math
import re
import time

MAX_HEAD_BYTES = 16 << 10  # of a trailer too
MAX_TARGET_BYTES = 8 << 10  # RFC 9112, 3, asks for 8,000 at least

Headers = list[tuple[bytes, bytes]]  # names in lower case

HOP_BY_HOP = frozenset((
    b"connection", b"keep-alive", b"proxy-authenticate", b"proxy-authorization", b"proxy-connection", b"te",
    b"trailer", b"transfer-encoding", b"upgrade", b"content-length", b"expect", b"http2-settings",
))  # fmt: skip
# never dropped, whatever Connection names: without them a repeat could not be recognised
DEDUPLICATION_FIELDS = frozenset((b"x-request-id", b"idempotency-key"))
REASONS = {
    200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed", 408: b"Request Timeout",
    413: b"Content Too Large", 414: b"URI Too Long", 429: b"Too Many Requests",
    431: b"Request Header Fields Too Large", 502: b"Bad Gateway", 503: b"Service Unavailable",
    504: b"Gateway Timeout", 505: b"HTTP Version Not Supported",
}  # fmt: skip
HOST = re.compile(rb"(?:\[[0-9A-Fa-f:.]+\]|[A-Za-z0-9._~!$&'()*+,;=%-]*)(?::[0-9]{0,5})?")
DAYS = (b"Mon", b"Tue", b"Wed", b"Thu", b"Fri", b"Sat", b"Sun")
MONTHS = (
    b"Jan", b"Feb", b"Mar", b"Apr", b"May", b"Jun", b"Jul", b"Aug", b"Sep", b"Oct", b"Nov", b"Dec"
)  # fmt: skip
# surrounds a field's value and is no part of it (RFC 9110, 5.5); the parser leaves what follows it
OPTIONAL_WHITESPACE = b" \t"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def end_to_end_lines(headers: Headers, excluded: frozenset[bytes] = frozenset()) -> bytes:
    """The header lines that may cross a proxy: not hop-by-hop ones, nor those that Connection names."""
    kept = [(name, value) for name, value in headers if name not in HOP_BY_HOP and name not in excluded]
    for value in [value for name, value in headers if name == b"connection"]:
        named = {token.strip().lower() for token in value.split(b",")} - DEDUPLICATION_FIELDS
        kept = [(name, value) for name, value in kept if name not in named]
    return b"".join([b"%b: %b\r\n" % header for header in kept])


def response_head(
    status: int, header_lines: bytes, length: int | None, close: bool, chunked: bool = False
) -> bytes:
    """The head of a response to a client.  Without a length it is chunked or ends with its connection."""
    # RFC 9110, 8.6: no length with 204; that of a 304 would be the length of what is not sent
    framing = b"Transfer-Encoding: chunked\r\n" if chunked else b""
    if length is not None and status not in (204, 304):
        framing = b"Content-Length: %d\r\n" % length
    ending = b"Connection: close\r\n\r\n" if close else b"\r\n"
    return b"HTTP/1.1 %d %b\r\n%b%b%b" % (status, REASONS.get(status, b""), header_lines, framing, ending)


def is_host(value: bytes) -> bool:
    """Whether a Host field's value can be one (RFC 9110, 7.2: `uri-host [":" port]`, also empty)."""
    return HOST.fullmatch(value) is not None


def absolute_form(url: bytes) -> tuple[bytes, bytes] | None:
    """The authority and the origin form of an absolute target; None if it is not one (RFC 9112, 3.2.2)."""
    if url[:7].lower() != b"http://":
        return None
    rest = url[7:]
    ends = [place for place in (rest.find(b"/"), rest.find(b"?")) if place >= 0]
    end = min(ends, default=len(rest))
    path = rest[end:]
    return rest[:end], path if path.startswith(b"/") else b"/" + path


class DateLine:
    """The Date field of a response, formatted once a second (RFC 9110, 6.6.1)."""

    def __init__(self) -> None:
        self.second, self.line = 0, b""

    def now(self) -> bytes:
        """The header line for the current second."""
        second = int(time.time())
        if second != self.second:
            self.second = second
            at = time.gmtime(second)
            day, month = DAYS[at.tm_wday], MONTHS[at.tm_mon - 1]  # in English whatever the locale
            self.line = b"date: %b, %02d %b %d %02d:%02d:%02d GMT\r\n" % (
                day, at.tm_mday, month, at.tm_year, at.tm_hour, at.tm_min, at.tm_sec
            )  # fmt: skip
        return self.line


def parse_bounded_number(text: bytes, maximum: float) -> float | None:
    """A header's number, clamped to 0..`maximum`; None for what is no finite number."""
    try:
        value = float(text)
    except ValueError:
        return None
    return min(max(value, 0.0), maximum) if math.isfinite(value) else None


DATE_LINE = DateLine()
