"""Limits, timeouts and types that client connections and their listener share."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import NamedTuple, Protocol, TypeVar

from heronreel.proxy.disconnect_watch import DisconnectWatch
from heronreel.proxy.dispatcher import Dispatcher
from heronreel.proxy.event_log import RefusalReason
from heronreel.proxy.read_turns import ReadTurns
from heronreel.proxy.request import RequestHead

MAX_HEADER_FIELDS = 100  # in one request
MAX_FRAMING_BYTES = 256 << 10  # of trailers and chunk extensions in one request
SMALL_BODY_BYTES = 16 << 10
# Objects that the proxy holds for a request until its response, beside its head and body.
REQUEST_OBJECTS_BYTES = 3 << 10
MAX_PIPELINED = 8  # requests that a client may send ahead of its responses
MIN_BODY_BYTES_PER_S = 48e3  # lowest rate at which a client may send a large body
# Longest pause between pieces of a large body; at 64 kB a second they may arrive in large pieces.
MAX_BODY_PAUSE_S = 1.5
UPLOAD_CHECK_INTERVAL_S = 0.5  # how often it is checked that a backend takes more of a forwarded body
# From the accept of the connection, or from the first byte of a later request, to the request's last byte.
# Slow clients take up to 2 s.
REQUEST_TIMEOUT_S = 2.6
IDLE_TIMEOUT_S = 15.0  # between requests, while few connections are open
# After the last response, input is read and dropped for this long and up to this size: unread input would
# reset the connection, and the reset could destroy the response.
LINGER_S = 1.0
# Input that is still unread this long after its connection was due to be closed does not delay the close.
UNREAD_INPUT_TIMEOUT_S = 1.0
MAX_LINGER_BYTES = 256 << 10

Connection = TypeVar("Connection")


class Phase(Enum):
    """What a client's connection reads next."""

    IDLE = 0  # between requests
    HEAD = 1
    BODY = 2
    CLOSING = 3  # the last response is written or still due; further input is read and dropped


class ReadRequest(NamedTuple):
    """A request that was read completely.

    If `error_status` is not 0, the proxy responds with that status and sends the request to no backend.
    `reserved_bytes` of memory are held for the request.
    """

    head: RequestHead | None
    error_status: int
    body: bytes | bytearray
    reason: RefusalReason | None = None  # why the request is refused, if it is
    reserved_bytes: int = 0


TOO_MANY_PIPELINED = ReadRequest(None, 429, b"", RefusalReason.TOO_MANY_PIPELINED)


class ConnectionRegistry(Protocol[Connection]):
    """The part of the listener that a connection uses."""

    loop: asyncio.AbstractEventLoop
    dispatcher: Dispatcher
    silent: dict[Connection, None]  # connections that have not sent a byte
    idle: dict[Connection, None]  # connections between requests
    disconnect_watch: DisconnectWatch  # polls the connections that are not read
    read_turns: ReadTurns  # lets connections whose input is costly wait for each other

    def admit(self, connection: Connection) -> bool:
        """Register a new connection; False means that its requests get an error response."""

    def remove(self, connection: Connection) -> None:
        """Remove a closed connection."""

    def is_ready(self) -> bool:
        """Return whether requests are served and more clients may connect."""

    def is_closing_connections(self) -> bool:
        """Return whether each connection is closed after its next response, while quiesced or draining."""

    def is_admitting(self) -> bool:
        """Return whether a request whose last byte is read now may still be sent to a backend."""
