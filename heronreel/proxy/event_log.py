"""Structured log lines for events of connections, requests and the process.

The lines hold what the records of clients and backends can't tell after an incident: which request on which
connection was closed, refused or sent again, in which state of the process, and for which reason.  Usual
events (a request that is served, a client that closes an idle connection, the end of an idle connection to a
backend) are not logged.  At most `logs.MAX_LINES_PER_S` lines of each kind are written per second; the first
line of a later second gives the number of lines that were dropped before it.  Changes of the process's state
are always written.
"""

from __future__ import annotations

import logging
from enum import Enum

from heronreel.proxy.logs import KIND_FIELD, NOT_RATE_LIMITED, LineRateLimiter

MAX_ID_CHARACTERS = 64  # longest part of a client's request id that is logged
MAX_IDS_PER_LINE = 16

log = logging.getLogger(__name__)


class EventKind(Enum):
    """What happened to a connection, a request or the endpoint list; the value is the line's message."""

    # The proxy closed a client's connection without a response that announced it.
    CONNECTION_CLOSED = "connection closed"
    # The client closed its connection before it had its response.
    CLIENT_DISCONNECTED = "client left"
    # Bytes arrived after the proxy had ended its side of the connection.
    INPUT_DROPPED = "input dropped"
    # The proxy rejected a request with an error status.
    REQUEST_REFUSED = "request refused"
    # The proxy responded with an error status because no attempt succeeded in time.
    REQUEST_FAILED = "request failed"
    # An attempt ended without a usable response.
    ATTEMPT_ENDED = "attempt ended"
    # A response that may be long brings no more bytes; its attempt goes on.
    ATTEMPT_STALLED = "attempt stalled"
    # A retry or a hedged request was started.
    ATTEMPT_REPEATED = "attempt repeated"
    ACCEPT_FAILED = "accept failed"
    # A call to discovery for the endpoint list was started.
    LIST_CALLED = "list call"
    # The call's first list arrived; a watch stays open after it.
    LIST_RECEIVED = "list call answered"
    # The call has been silent for too long but stays open.
    LIST_CALL_LATE = "list call late"
    # The call failed or was refused, or a watch ended.
    LIST_CALL_FAILED = "list call failed"
    # The list is too old: no requests are sent to its backends any more.
    LIST_EXPIRED = "list expired"
    LIST_VALID = "list valid again"


class CloseReason(Enum):
    """Why the proxy closed a client's connection."""

    IDLE = "idle for too long"
    NO_FIRST_BYTE = "no first byte in time"
    TOO_MANY_INACTIVE = "inactive while many connections are open"
    REPLACED = "closed to accept a new connection"
    REJECTION_LIMIT = "too many rejected connections"
    QUIESCED = "quiesced"
    DRAINING = "draining"
    DRAIN_ENDED = "end of the drain"
    WRITE_TIMED_OUT = "client does not read its response"
    LINGER_ENDED = "end of the lingering close"
    RESPONSE_TRUNCATED = "response can't be completed"


class RefusalReason(Enum):
    """Why a request got a response that didn't come from a backend."""

    INVALID = "invalid"
    TIMED_OUT = "request was not received in time"
    NO_MEMORY = "no memory for the request body"
    TOO_MANY_CONNECTIONS = "too many connections"
    DUPLICATE_ID = "another request with this id is in flight or may have run"
    TOO_MANY_PIPELINED = "too many pipelined requests"
    DRAINING = "received too late in the drain"
    REJECTED_BY_BALANCER = "rejected by the balancer"
    LIST_EXPIRED = "the endpoint list is too old to send by"
    NO_ATTEMPT_SERVED = "no attempt succeeded"
    DEADLINE_EXCEEDED = "deadline exceeded"
    DRAIN_ENDED = "end of the drain"


class FailureReason(Enum):
    """Why an attempt ended without a usable response although its connection was not lost."""

    MALFORMED = "malformed response"
    TOO_LONG = "response is too long"
    SILENT = "no more of the response for too long"
    NO_MEMORY = "no memory for the response"
    STATUS = "status of a failure"


_limiters = {kind: LineRateLimiter() for kind in EventKind}


def record(kind: EventKind, request_id: bytes = b"", **fields: object) -> None:
    """Write one line for an event, unless the limit of its kind for this second is reached.

    Args:
        kind: What happened.
        request_id: The id that the client gave the request concerned, if there is one.
        fields: Further fields of the line; an Enum is written by its value.
    """
    limiter = _limiters[kind]
    if not limiter.allow():
        return
    extra: dict[str, object] = {KIND_FIELD: kind}
    if request_id:
        extra["request_id"] = printable_id(request_id)
    for name, value in fields.items():
        extra[name] = value.value if isinstance(value, Enum) else value
    if dropped := limiter.take_dropped():
        extra["dropped_before"] = dropped
    log.info(kind.value, extra=extra)


def record_state(message: str, **fields: object) -> None:
    """Write a change of the process's state; such lines are not rate-limited."""
    log.info(message, extra=NOT_RATE_LIMITED | fields)


def printable_id(request_id: bytes) -> str:
    """Return a client's request id as text of at most `MAX_ID_CHARACTERS` characters."""
    return request_id[:MAX_ID_CHARACTERS].decode("latin-1")


def printable_ids(request_ids: list[bytes]) -> str:
    """Return the first `MAX_IDS_PER_LINE` of the given request ids as text, separated by commas."""
    return ",".join(printable_id(request_id) for request_id in request_ids[:MAX_IDS_PER_LINE])
