"""HTTP/1.1 syntax shared by the client and the backend side: heads, framing, dates and header numbers."""

from __future__ import annotations

import math
import re
import time

MAX_HEAD_BYTES = 16 << 10  # The limit applies to trailers as well.
MAX_TARGET_BYTES = 8 << 10  # RFC 9112, section 3, recommends at least 8,000 bytes.

# Header fields in the order received; the names are in lower case.
Headers = list[tuple[bytes, bytes]]

HOP_BY_HOP = frozenset((
    b"connection", b"keep-alive", b"proxy-authenticate", b"proxy-authorization", b"proxy-connection", b"te",
    b"trailer", b"transfer-encoding", b"upgrade", b"content-length", b"expect", b"http2-settings",
))  # fmt: skip
# These fields are forwarded even if the Connection field names them, because a backend recognises a repeated
# request by them.
DEDUPLICATION_FIELDS = frozenset((b"x-request-id", b"idempotency-key"))
REASON_PHRASES = {
    200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed", 408: b"Request Timeout",
    413: b"Content Too Large", 414: b"URI Too Long", 429: b"Too Many Requests",
    431: b"Request Header Fields Too Large", 502: b"Bad Gateway", 503: b"Service Unavailable",
    504: b"Gateway Timeout", 505: b"HTTP Version Not Supported",
}  # fmt: skip
HOST_PATTERN = re.compile(rb"(?:\[[0-9A-Fa-f:.]+\]|[A-Za-z0-9._~!$&'()*+,;=%-]*)(?::[0-9]{0,5})?")
DAY_NAMES = (b"Mon", b"Tue", b"Wed", b"Thu", b"Fri", b"Sat", b"Sun")
MONTH_NAMES = (
    b"Jan", b"Feb", b"Mar", b"Apr", b"May", b"Jun", b"Jul", b"Aug", b"Sep", b"Oct", b"Nov", b"Dec"
)  # fmt: skip
# Whitespace around a field value is not part of the value (RFC 9110, section 5.5).  The parser strips only
# the leading part.
OPTIONAL_WHITESPACE = b" \t"
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


def end_to_end_lines(headers: Headers, excluded: frozenset[bytes] = frozenset()) -> bytes:
    """Encode the header lines that a proxy forwards.

    Hop-by-hop fields, the fields named by Connection and the `excluded` names are left out.
    """
    kept = [(name, value) for name, value in headers if name not in HOP_BY_HOP and name not in excluded]
    for value in [value for name, value in headers if name == b"connection"]:
        named = {token.strip().lower() for token in value.split(b",")} - DEDUPLICATION_FIELDS
        kept = [(name, value) for name, value in kept if name not in named]
    return b"".join([b"%b: %b\r\n" % header for header in kept])


def response_head(
    status: int, header_lines: bytes, length: int | None, close: bool, chunked: bool = False
) -> bytes:
    """Build the head of a response to a client.

    Without a length, the body is chunked or ends when the connection is closed.
    """
    # RFC 9110, section 8.6: a 204 has no Content-Length, and that of a 304 would describe a body that is not
    # sent.
    framing = b"Transfer-Encoding: chunked\r\n" if chunked else b""
    if length is not None and status not in (204, 304):
        framing = b"Content-Length: %d\r\n" % length
    ending = b"Connection: close\r\n\r\n" if close else b"\r\n"
    return b"HTTP/1.1 %d %b\r\n%b%b%b" % (
        status,
        REASON_PHRASES.get(status, b""),
        header_lines,
        framing,
        ending,
    )


def is_host(value: bytes) -> bool:
    """Return whether a Host field value is valid: `uri-host [":" port]` or empty (RFC 9110, section 7.2)."""
    return HOST_PATTERN.fullmatch(value) is not None


def split_absolute_form(url: bytes) -> tuple[bytes, bytes] | None:
    """Split a target in absolute form into its authority and its origin form (RFC 9112, section 3.2.2).

    Returns None if the target is not in absolute form.
    """
    if url[:7].lower() != b"http://":
        return None
    rest = url[7:]
    delimiters = [index for index in (rest.find(b"/"), rest.find(b"?")) if index >= 0]
    authority_end = min(delimiters, default=len(rest))
    path = rest[authority_end:]
    return rest[:authority_end], path if path.startswith(b"/") else b"/" + path


class DateLine:
    """The Date header line of responses, formatted at most once a second (RFC 9110, section 6.6.1)."""

    def __init__(self) -> None:
        self.second, self.line = 0, b""

    def now(self) -> bytes:
        """Return the header line for the current second."""
        second = int(time.time())
        if second != self.second:
            self.second = second
            utc = time.gmtime(second)
            # strftime would use the names of the process's locale; HTTP dates are always in English.
            day, month = DAY_NAMES[utc.tm_wday], MONTH_NAMES[utc.tm_mon - 1]
            self.line = b"date: %b, %02d %b %d %02d:%02d:%02d GMT\r\n" % (
                day, utc.tm_mday, month, utc.tm_year, utc.tm_hour, utc.tm_min, utc.tm_sec
            )  # fmt: skip
        return self.line


def parse_bounded_number(text: bytes, maximum: float) -> float | None:
    """Parse a number from a header and clamp it to 0..`maximum`.

    Returns None if the text is not a finite number.
    """
    try:
        value = float(text)
    except ValueError:
        return None
    return min(max(value, 0.0), maximum) if math.isfinite(value) else None


DATE_LINE = DateLine()
