"""A backend's response: its parts, its framing and the receiver of a body that is forwarded in parts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple, Protocol

from heronreel.proxy.errors import UnreadableMessageError
from heronreel.proxy.http1 import DATE_LINE, Headers, end_to_end_lines
from heronreel.proxy.streams import MAX_BODY_BYTES

# The maximum number of digits of a Content-Length.
MAX_LENGTH_DIGITS = 12
STATUSES_WITHOUT_BODY = (204, 304)
NOT_RUN_STATUSES = (429, 503, 504)


@dataclass(slots=True)
class Response:
    """A backend's response, or the start of a response that is forwarded while it is being received."""

    status: int
    header_lines: bytes
    body: bytes


class ResponseBodySink(Protocol):
    """Receives a response body in parts, and pauses the backend connection while it can't accept more."""

    def write_body(self, data: bytes) -> None:
        """Receive the next part of the body."""


@dataclass(slots=True, frozen=True)
class ResponseHead:
    """What the proxy needs of the head of a final response.

    Attributes:
        header_lines: The fields that are forwarded, encoded.
        framing: Where the body ends.
        says_not_run: Whether the backend tells that it did not run the request.
    """

    status: int
    header_lines: bytes
    framing: Framing
    says_not_run: bool


def read_response_head(status: int, headers: Headers) -> ResponseHead:
    """Read the head of a final response.

    Raises:
        UnreadableMessageError: The end of the response would not be certain.
    """
    lines = end_to_end_lines(headers)
    if not any(name == b"date" for name, _ in headers):
        # A proxy adds the missing Date field to a response that it forwards (RFC 9110, section 6.6.1).
        lines += DATE_LINE.now()
    says_not_run = status in NOT_RUN_STATUSES and (b"x-not-run", b"1") in headers
    return ResponseHead(status, lines, read_framing(status, headers), says_not_run)


class Framing(NamedTuple):
    """Where the body of a response ends."""

    declared_length: int | None  # The Content-Length, if the head has one.
    ends_with_connection: bool  # The response ends when the backend closes the connection.


def read_framing(status: int, headers: Headers) -> Framing:
    """Read the framing of a final response, on which the reuse of its connection depends.

    Raises:
        UnreadableMessageError: The end of the response would not be certain.
    """
    lengths = [value for name, value in headers if name == b"content-length"]
    chunked = any(name == b"transfer-encoding" for name, _ in headers)
    ends_with_connection = not lengths and not chunked and status not in STATUSES_WITHOUT_BODY
    closes = any(name == b"connection" and value.lower() == b"close" for name, value in headers)
    # A response may end with its connection only if it has `Connection: close`; otherwise a broken head
    # may have lost its Content-Length.
    if len(lengths) + chunked > 1 or (ends_with_connection and not closes):
        raise UnreadableMessageError
    if not lengths:
        return Framing(None, ends_with_connection)
    if not lengths[0].isdigit() or len(lengths[0]) > MAX_LENGTH_DIGITS or int(lengths[0]) > MAX_BODY_BYTES:
        raise UnreadableMessageError
    return Framing(int(lengths[0]), ends_with_connection)
