"""What a client connection and its listener share: limits and times, phases, and calls.

Times are in seconds.
"""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import NamedTuple, Protocol, TypeVar

from heronreel.proxy.dispatcher import Dispatcher
from heronreel.proxy.event_log import RefusalReason
from heronreel.proxy.request import RequestHead

MAX_HEADER_FIELDS = 100  # of a request
MAX_FRAMING_BYTES = 256 << 10  # of trailers and chunk extensions
SMALL_BODY_BYTES, LARGE_BODY_SHARE = 16 << 10, 0.85  # larger bodies leave part of the budget to small ones
MAX_PIPELINED = 8  # requests that a client may send ahead of its responses
MIN_BODY_BYTES_PER_S = 48e3  # that a large body comes on with
MAX_BODY_PAUSE_S = 1.5  # between its pieces; 64 kB a second may come in large pieces
MAX_UPLOAD_PAUSE_S = 10.0  # that a client waits for a backend to take more of its body
REQUEST_TIMEOUT_S = 2.6  # from the connection, or a later request's first byte, to its last; slow: up to 2 s
IDLE_TIMEOUT_S = 15.0  # between requests, while few connections are open
WRITE_TIMEOUT_S = 5.0  # a client that takes no byte of its response for so long has gone
LINGER_S, MAX_LINGER_BYTES = 1.0, 256 << 10  # reading goes on after a last response, lest a reset overtake it

Connection = TypeVar("Connection")


class Phase(Enum):
    """What the connection reads next."""

    IDLE = 0  # nothing: it is between requests
    HEAD = 1
    BODY = 2
    CLOSING = 3  # the last response is written or owed; input is read and dropped


class ReadRequest(NamedTuple):
    """A request whose last byte was read.

    `error_status`, unless 0, is the status of its response, which needs no backend.
    """

    head: RequestHead | None
    error_status: int
    body: bytes | bytearray
    reason: RefusalReason | None = None  # of an error


TOO_MANY_PIPELINED = ReadRequest(None, 429, b"", RefusalReason.TOO_MANY_PIPELINED)


class ConnectionRegistry(Protocol[Connection]):
    """What a connection needs of its listener."""

    loop: asyncio.AbstractEventLoop
    dispatcher: Dispatcher
    silent: dict[Connection, None]
    idle: dict[Connection, None]

    def admit(self, connection: Connection) -> bool:
        """Count a new connection; False: it is only there to be rejected."""

    def forget(self, connection: Connection) -> None:
        """A connection is closed."""

    def is_ready(self) -> bool:
        """Whether requests are served and more clients may come."""

    def is_closing_connections(self) -> bool:
        """Whether each connection ends behind its next response, for a while or for good."""

    def is_admitting(self) -> bool:
        """Whether a request whose last byte is read now may still be sent to a backend."""
