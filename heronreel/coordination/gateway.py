"""The parts of the gateway that its two sides share: paths, HTTP statuses, and the encoding of values.

The format is that of etcd's v3 gateway (grpc-gateway over rpc.proto).  Requests and responses are JSON.  Keys
and values are base64, 64-bit numbers are strings, and fields with default values may be omitted.
`gateway_server` decodes requests and encodes responses; `gateway_client` does the reverse.
"""

from __future__ import annotations

import base64
from typing import Any, NamedTuple

from heronreel.coordination.errors import StatusCode
from heronreel.coordination.model import (
    DeleteRange,
    LeaseGrant,
    LeaseKeepAlive,
    LeaseList,
    LeaseRevoke,
    LeaseTimeToLive,
    Put,
    Range,
    Request,
    Txn,
)

Json = dict[str, Any]

REQUEST_PATHS: dict[type[Request], str] = {
    Range: "/v3/kv/range",
    Put: "/v3/kv/put",
    DeleteRange: "/v3/kv/deleterange",
    Txn: "/v3/kv/txn",
    LeaseGrant: "/v3/lease/grant",
    LeaseRevoke: "/v3/lease/revoke",
    LeaseKeepAlive: "/v3/lease/keepalive",
    LeaseTimeToLive: "/v3/lease/timetolive",
    LeaseList: "/v3/lease/leases",
}
WATCH_PATH = "/v3/watch"
# The responses of these paths are wrapped in "result", like the lines of a stream.
STREAMED_PATHS = frozenset((REQUEST_PATHS[LeaseKeepAlive],))

HTTP_STATUS = {
    StatusCode.INVALID_ARGUMENT: 400,
    StatusCode.DEADLINE_EXCEEDED: 504,
    StatusCode.NOT_FOUND: 404,
    StatusCode.ALREADY_EXISTS: 409,
    StatusCode.RESOURCE_EXHAUSTED: 429,
    StatusCode.FAILED_PRECONDITION: 400,
    StatusCode.OUT_OF_RANGE: 400,
    StatusCode.UNKNOWN: 500,
    StatusCode.UNAVAILABLE: 503,
}


class ErrorResponse(NamedTuple):
    """The HTTP status and body of the response to a failed request."""

    status: int
    body: Json


def request_path(request: Request) -> str:
    """Return the path that a request is posted to."""
    return REQUEST_PATHS[type(request)]


def encode_base64(data: bytes) -> str:
    """Encode bytes as the base64 string that JSON bodies contain."""
    return base64.b64encode(data).decode()


def without_defaults(body: Json) -> Json:
    """Return a body without the fields that have their default value."""
    return {name: value for name, value in body.items() if value not in ("0", "", 0, False, None, [], ())}
