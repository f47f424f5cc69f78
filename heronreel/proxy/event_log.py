"""Events of connections, requests and the process's life, as bounded structured lines.

What a record of clients and backends can't tell after an incident: which request, on which connection, in
which state of the process, and for which reason something was closed, refused or sent again.  Usual events (a
request that is served, a client that closes an idle connection, the end of an idle connection to a backend)
make no line.  Of each kind at most `logs.MAX_LINES_PER_S` lines are written a second, with the number of
those dropped before; changes of the process's state are always written.
"""

from __future__ import annotations

import logging
from enum import Enum

from heronreel.proxy.logs import KIND_FIELD, NOT_RATE_LIMITED, SecondLimit

MAX_ID_CHARACTERS = 64  # of a client's request id
MAX_IDS = 16  # in one line

log = logging.getLogger(__name__)


class EventKind(Enum):
    """What happened to a connection or a request; the value is the line's message."""

    CONNECTION_CLOSED = "connection closed"  # by us, and not behind a response that announced it
    CLIENT_LEFT = "client left"  # while a response was owed to it
    INPUT_DROPPED = "input dropped"  # it came after we had ended our side
    REQUEST_REFUSED = "request refused"  # with a status of our own
    REQUEST_FAILED = "request failed"  # after attempts
    ATTEMPT_ENDED = "attempt ended"  # and was not served
    ATTEMPT_REPEATED = "attempt repeated"  # a retry or a hedged request
    ACCEPT_FAILED = "accept failed"
    LIST_CALLED = "list call"  # to discovery
    LIST_RECEIVED = "list call answered"  # by its first list; a watch goes on
    LIST_CALL_LATE = "list call late"  # it has been silent for too long, and goes on
    LIST_CALL_FAILED = "list call failed"  # or was refused, or a watch ended
    LIST_EXPIRED = "list expired"  # nothing is sent by it any more
    LIST_VALID = "list valid again"


class CloseReason(Enum):
    """Why a client's connection was closed."""

    IDLE = "idle for too long"
    SILENT = "no first byte in time"
    CROWDED = "many connections are open"
    MADE_ROOM = "room for a new connection"
    REJECTED_ROOM = "room beyond the limit used up"
    QUIESCED = "quiesced"
    DRAINING = "draining"
    DRAIN_ENDED = "end of the drain"
    NOT_TAKING = "it takes no response"
    LINGERED = "nothing more comes or too much"
    STREAM_CUT = "its response can't be finished"


class RefusalReason(Enum):
    """Why a request got a response that no backend made."""

    INVALID = "invalid"
    TIMED_OUT = "its last byte did not come in time"
    NO_MEMORY = "no memory for its body"
    TOO_MANY_CONNECTIONS = "too many connections"
    DUPLICATE_ID = "a request with its id is open"
    TOO_MANY_PIPELINED = "too many pipelined requests"
    DRAINING = "the drain ends too soon"
    REJECTED_BY_BALANCER = "the balancer rejected it"
    LIST_EXPIRED = "the endpoint list is too old to send by"
    NO_ATTEMPT_SERVED = "no attempt was served"
    DEADLINE_EXCEEDED = "its time is over"
    DRAIN_ENDED = "end of the drain"


_limits = {kind: SecondLimit() for kind in EventKind}


def record(kind: EventKind, request_id: bytes = b"", **fields: object) -> None:
    """Write one event's line, unless its kind has had its lines of this second.

    Args:
        kind: What happened.
        request_id: The client's id of the request concerned, if there is one.
        fields: Further fields; an Enum is written by its value.
    """
    limit = _limits[kind]
    if not limit.passes():
        return
    extra: dict[str, object] = {KIND_FIELD: kind}
    if request_id:
        extra["request_id"] = printable_id(request_id)
    for name, value in fields.items():
        extra[name] = value.value if isinstance(value, Enum) else value
    if dropped := limit.take_dropped():
        extra["dropped_before"] = dropped
    log.info(kind.value, extra=extra)


def record_state(message: str, **fields: object) -> None:
    """Write a change of the process's state; always."""
    log.info(message, extra=NOT_RATE_LIMITED | fields)


def printable_id(request_id: bytes) -> str:
    """A client's request id, cut to what a line may hold."""
    return request_id[:MAX_ID_CHARACTERS].decode("latin-1")


def printable_ids(request_ids: list[bytes]) -> str:
    """The first of some clients' request ids."""
    return ",".join(printable_id(each) for each in request_ids[:MAX_IDS])
