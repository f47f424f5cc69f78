"""The client's side of the gateway: encodes requests, and decodes responses, errors and events."""

from __future__ import annotations

import base64
from typing import Any, NamedTuple

from heronreel.coordination.errors import MalformedResponseError, RequestError, StatusCode
from heronreel.coordination.gateway import HTTP_STATUS, Json, encode_base64, without_defaults
from heronreel.coordination.model import (
    Compare,
    CompareTarget,
    DeleteRange,
    DeleteRangeResponse,
    Event,
    LeaseGrant,
    LeaseList,
    LeaseListResponse,
    LeaseResponse,
    LeaseTimeToLive,
    Operation,
    OperationResponse,
    Put,
    PutResponse,
    Range,
    RangeResponse,
    Record,
    Request,
    Response,
    Txn,
    TxnResponse,
)

# -- encoding requests

_COMPARE_FIELDS = {
    CompareTarget.VERSION: "version",
    CompareTarget.CREATE: "create_revision",
    CompareTarget.MOD: "mod_revision",
    CompareTarget.LEASE: "lease",
    CompareTarget.VALUE: "value",
}
_OPERATION_FIELDS: dict[type[Operation], str] = {
    Range: "request_range",
    Put: "request_put",
    DeleteRange: "request_delete_range",
}


def encode_request(request: Request) -> Json:
    """Return the JSON body of a request."""
    if isinstance(request, (Range, Put, DeleteRange)):
        return _encode_operation(request)
    if isinstance(request, Txn):
        return without_defaults(
            {
                "compare": [_encode_compare(compare) for compare in request.compares],
                "success": [_encode_branch_operation(operation) for operation in request.success],
                "failure": [_encode_branch_operation(operation) for operation in request.failure],
            }
        )
    if isinstance(request, LeaseGrant):
        return {"TTL": str(request.ttl), "ID": str(request.id)}
    if isinstance(request, LeaseTimeToLive):
        return {"ID": str(request.id), "keys": request.keys}
    return {} if isinstance(request, LeaseList) else {"ID": str(request.id)}


def _encode_operation(operation: Operation) -> Json:
    if isinstance(operation, Range):
        return without_defaults(
            {
                "key": encode_base64(operation.key),
                "range_end": encode_base64(operation.end),
                "limit": str(operation.limit),
                "revision": str(operation.revision),
                "keys_only": operation.keys_only,
                "count_only": operation.count_only,
            }
        )
    if isinstance(operation, Put):
        return without_defaults(
            {
                "key": encode_base64(operation.key),
                "value": encode_base64(operation.value),
                "lease": str(operation.lease),
                "prev_kv": operation.previous,
            }
        )
    return without_defaults(
        {
            "key": encode_base64(operation.key),
            "range_end": encode_base64(operation.end),
            "prev_kv": operation.previous,
        }
    )


def _encode_branch_operation(operation: Operation) -> Json:
    return {_OPERATION_FIELDS[type(operation)]: _encode_operation(operation)}


def _encode_compare(compare: Compare) -> Json:
    value = encode_base64(compare.value) if isinstance(compare.value, bytes) else str(compare.value)
    return {
        "key": encode_base64(compare.key),
        "target": compare.target.value,
        "result": compare.relation.value,
        _COMPARE_FIELDS[compare.target]: value,
    }


# -- decoding responses


class WatchBatch(NamedTuple):
    """The events of one line of a watch's response, up to a revision."""

    revision: int
    events: tuple[Event, ...]


def decode_response(request: Request, body: Any) -> Response:
    """Decode the response to a request.

    Raises:
        MalformedResponseError: the body is not a response to `request`.
    """
    try:
        return _decode_response(request, body)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise MalformedResponseError(repr(error)) from error


def _decode_response(request: Request, body: Json) -> Response:
    body = body.get("result", body)
    if isinstance(request, (Range, Put, DeleteRange)):
        return _decode_operation_response(request, body)
    revision = _revision(body)
    if isinstance(request, Txn):
        return _decode_txn_response(request, revision, body)
    if isinstance(request, LeaseList):
        return LeaseListResponse(revision, tuple(int(row["ID"]) for row in body.get("leases", ())))
    return LeaseResponse(
        revision,
        int(body.get("ID", 0)),
        int(body.get("TTL", 0)),
        int(body.get("grantedTTL", 0)),
        tuple(base64.b64decode(key) for key in body.get("keys", ())),
    )


def _decode_txn_response(request: Txn, revision: int, body: Json) -> TxnResponse:
    succeeded = bool(body.get("succeeded", False))
    branch = request.success if succeeded else request.failure
    responses: list[OperationResponse] = []
    for operation, row in zip(branch, body.get("responses", ()), strict=True):
        (field,) = list(row.values())[:1]
        responses.append(_decode_operation_response(operation, field))
    return TxnResponse(revision, succeeded, tuple(responses))


def _decode_operation_response(operation: Operation, body: Json) -> OperationResponse:
    revision = _revision(body)
    if isinstance(operation, Range):
        total = int(body.get("count", 0))
        return RangeResponse(revision, _decode_records(body, "kvs"), total, bool(body.get("more", False)))
    if isinstance(operation, Put):
        return PutResponse(revision, _decode_previous(body))
    return DeleteRangeResponse(revision, int(body.get("deleted", 0)), _decode_records(body, "prev_kvs"))


def _revision(body: Json) -> int:
    return int(body["header"].get("revision", 0))


def _decode_records(body: Json, name: str) -> tuple[tuple[bytes, Record], ...]:
    return tuple(_decode_record(row) for row in body.get(name, ()))


def _decode_previous(body: Json) -> Record | None:
    return _decode_record(body["prev_kv"])[1] if "prev_kv" in body else None


def _decode_record(row: Json) -> tuple[bytes, Record]:
    record = Record(
        base64.b64decode(row.get("value", "")),
        int(row.get("create_revision", 0)),
        int(row.get("mod_revision", 0)),
        int(row.get("version", 0)),
        int(row.get("lease", 0)),
    )
    return base64.b64decode(row.get("key", "")), record


def decode_events(body: Json) -> WatchBatch:
    """Decode the events of one line of a watch's response; `body` is the "result" of the line.

    Raises:
        MalformedResponseError: the body is malformed.
    """
    try:
        return WatchBatch(_revision(body), tuple(map(_decode_event, body.get("events", ()))))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise MalformedResponseError(repr(error)) from error


def _decode_event(row: Json) -> Event:
    key, record = _decode_record(row["kv"])
    deleted = row.get("type") == "DELETE"
    return Event(key, None if deleted else record, _decode_previous(row), record.mod_revision)


def decode_error(status: int, body: Any) -> RequestError:
    """Decode the error in a response with an HTTP status other than 200."""
    message = f"status {status}"
    if isinstance(body, dict):
        message = str(body.get("message") or body.get("error") or message)
        code = body.get("code")
        if isinstance(code, int) and code in StatusCode._value2member_map_:
            return RequestError(StatusCode(code), message)
    return RequestError(_code_of_status(status), message)


def _code_of_status(status: int) -> StatusCode:
    """Return the code of an HTTP status; of several codes with that status, the last one."""
    found = StatusCode.UNKNOWN
    for code, code_status in HTTP_STATUS.items():
        if code_status == status and code is not StatusCode.UNKNOWN:
            found = code
    return found
