"""The server's side of the gateway: decodes requests, and encodes responses, errors and events.

Field names may be in snake case (`range_end`) or camel case (`rangeEnd`).  Features that the group does not
support (older revisions, sort orders, filters, nested transactions) are rejected as `INVALID_ARGUMENT` with a
message that names them; no field is silently ignored.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any, Literal, TypeVar

import msgspec

from heronreel.coordination.errors import RequestError, StatusCode
from heronreel.coordination.gateway import (
    HTTP_STATUS,
    REQUEST_PATHS,
    ErrorResponse,
    Json,
    encode_base64,
    without_defaults,
)
from heronreel.coordination.model import (
    Compare,
    CompareOperator,
    CompareTarget,
    DeleteRange,
    DeleteRangeResponse,
    Event,
    LeaseGrant,
    LeaseKeepAlive,
    LeaseList,
    LeaseListResponse,
    LeaseRevoke,
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

_CAMEL = re.compile(r"(?<=[a-z])(?=[A-Z])")
_UPPER_CASE_FIELDS = frozenset(("ID", "TTL"))

F = TypeVar("F")

# -- JSON schemas of requests


class _Form(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    pass


class _RangeForm(_Form, frozen=True, kw_only=True):
    key: bytes = b""
    range_end: bytes = b""
    limit: int = 0
    revision: int = 0
    sort_order: Literal["NONE", "ASCEND", 0, 1] = "NONE"
    sort_target: Literal["KEY", 0] = "KEY"
    serializable: bool = False  # accepted but treated as false: reads are always linearizable
    keys_only: bool = False
    count_only: bool = False


class _PutForm(_Form, frozen=True, kw_only=True):
    key: bytes = b""
    value: bytes = b""
    lease: int = 0
    prev_kv: bool = False


class _DeleteRangeForm(_Form, frozen=True, kw_only=True):
    key: bytes = b""
    range_end: bytes = b""
    prev_kv: bool = False


class _CompareForm(_Form, frozen=True, kw_only=True):
    key: bytes = b""
    target: CompareTarget = CompareTarget.VERSION
    result: CompareOperator = CompareOperator.EQUAL
    version: int = 0
    create_revision: int = 0
    mod_revision: int = 0
    value: bytes = b""
    lease: int = 0


class _OperationForm(_Form, frozen=True, kw_only=True):
    request_range: _RangeForm | None = None
    request_put: _PutForm | None = None
    request_delete_range: _DeleteRangeForm | None = None


class _TxnForm(_Form, frozen=True, kw_only=True):
    compare: tuple[_CompareForm, ...] = ()
    success: tuple[_OperationForm, ...] = ()
    failure: tuple[_OperationForm, ...] = ()


class _LeaseGrantForm(_Form, frozen=True, kw_only=True):
    TTL: int = 0
    ID: int = 0


class _LeaseForm(_Form, frozen=True, kw_only=True):
    ID: int = 0


class _LeaseTimeToLiveForm(_Form, frozen=True, kw_only=True):
    ID: int = 0
    keys: bool = False


class _LeaseListForm(_Form, frozen=True, kw_only=True):
    pass


class _WatchCreateForm(_Form, frozen=True, kw_only=True):
    key: bytes = b""
    range_end: bytes = b""
    start_revision: int = 0
    prev_kv: bool = False
    progress_notify: bool = False


class _WatchForm(_Form, frozen=True, kw_only=True):
    create_request: _WatchCreateForm


class WatchRequest(msgspec.Struct, frozen=True):
    """A request to watch a range from `start_revision` on; 0 means the next revision."""

    key: bytes
    end: bytes
    start_revision: int
    previous: bool  # whether events include the previous record


# -- decoding requests


def decode_request(path: str, data: bytes) -> Request:
    """Decode the request that was posted to `path`, which is one of `REQUEST_PATHS`.

    Raises:
        RequestError: the body is malformed, or requests an unsupported feature.
    """
    return _DECODERS[path](data)


def decode_watch_request(data: bytes) -> WatchRequest:
    """Decode the request that was posted to `WATCH_PATH`.

    Raises:
        RequestError: the body is malformed, or requests an unsupported feature.
    """
    form = _parse(data, _WatchForm).create_request
    if not form.key:
        raise RequestError(StatusCode.INVALID_ARGUMENT, "key is not provided")
    return WatchRequest(form.key, form.range_end, form.start_revision, form.prev_kv)


def _parse(data: bytes, form: type[F]) -> F:
    """Decode a body into the schema `form`."""
    try:
        raw = msgspec.json.decode(data or b"{}")
        return msgspec.convert(_snake_case(raw), form, strict=False)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise RequestError(StatusCode.INVALID_ARGUMENT, str(error) or "too deep") from None


def _snake_case(raw: Any) -> Any:
    """Convert field names from camel case to snake case, at all depths."""
    if isinstance(raw, dict):
        return {
            name if name in _UPPER_CASE_FIELDS else _CAMEL.sub("_", name).lower(): _snake_case(value)
            for name, value in raw.items()
        }
    return [_snake_case(value) for value in raw] if isinstance(raw, list) else raw


def _to_range(form: _RangeForm) -> Range:
    return Range(form.key, form.range_end, form.limit, form.revision, form.keys_only, form.count_only)


def _to_put(form: _PutForm) -> Put:
    return Put(form.key, form.value, form.lease, form.prev_kv)


def _to_delete_range(form: _DeleteRangeForm) -> DeleteRange:
    return DeleteRange(form.key, form.range_end, form.prev_kv)


def _to_operation(form: _OperationForm) -> Operation:
    operations: list[Operation] = []
    if form.request_range is not None:
        operations.append(_to_range(form.request_range))
    if form.request_put is not None:
        operations.append(_to_put(form.request_put))
    if form.request_delete_range is not None:
        operations.append(_to_delete_range(form.request_delete_range))
    if len(operations) != 1:
        message = "operation: expected one of a range, a put and a delete"
        raise RequestError(StatusCode.INVALID_ARGUMENT, message)
    return operations[0]


def _to_compare(form: _CompareForm) -> Compare:
    values: dict[CompareTarget, int | bytes] = {
        CompareTarget.VERSION: form.version,
        CompareTarget.CREATE: form.create_revision,
        CompareTarget.MOD: form.mod_revision,
        CompareTarget.LEASE: form.lease,
        CompareTarget.VALUE: form.value,
    }
    return Compare(form.key, form.target, form.result, values[form.target])


def _to_txn(form: _TxnForm) -> Txn:
    return Txn(
        tuple(map(_to_compare, form.compare)),
        tuple(map(_to_operation, form.success)),
        tuple(map(_to_operation, form.failure)),
    )


def _to_lease_grant(form: _LeaseGrantForm) -> LeaseGrant:
    return LeaseGrant(form.TTL, form.ID)


def _to_time_to_live(form: _LeaseTimeToLiveForm) -> LeaseTimeToLive:
    return LeaseTimeToLive(form.ID, form.keys)


def _to_lease_list(_: _LeaseListForm) -> LeaseList:
    return LeaseList()


_DECODERS: dict[str, Callable[[bytes], Request]] = {
    REQUEST_PATHS[Range]: lambda data: _to_range(_parse(data, _RangeForm)),
    REQUEST_PATHS[Put]: lambda data: _to_put(_parse(data, _PutForm)),
    REQUEST_PATHS[DeleteRange]: lambda data: _to_delete_range(_parse(data, _DeleteRangeForm)),
    REQUEST_PATHS[Txn]: lambda data: _to_txn(_parse(data, _TxnForm)),
    REQUEST_PATHS[LeaseGrant]: lambda data: _to_lease_grant(_parse(data, _LeaseGrantForm)),
    REQUEST_PATHS[LeaseRevoke]: lambda data: LeaseRevoke(_parse(data, _LeaseForm).ID),
    REQUEST_PATHS[LeaseKeepAlive]: lambda data: LeaseKeepAlive(_parse(data, _LeaseForm).ID),
    REQUEST_PATHS[LeaseTimeToLive]: lambda data: _to_time_to_live(_parse(data, _LeaseTimeToLiveForm)),
    REQUEST_PATHS[LeaseList]: lambda data: _to_lease_list(_parse(data, _LeaseListForm)),
}

# -- encoding responses


class ResponseHeader(msgspec.Struct, frozen=True):
    """The sender of a response: the group, the member, and the term of its ballot."""

    cluster_id: int
    member_id: int
    term: int

    def at_revision(self, revision: int) -> Json:
        """Return the header of a response about the state at a revision."""
        return {
            "cluster_id": str(self.cluster_id),
            "member_id": str(self.member_id),
            "revision": str(revision),
            "raft_term": str(self.term),
        }


def encode_response(header: ResponseHeader, response: Response) -> Json:
    """Return the JSON body of a response."""
    return {"header": header.at_revision(response.revision)} | without_defaults(_body(header, response))


def _body(header: ResponseHeader, response: Response) -> Json:
    """Return the JSON body of a response without its header."""
    if isinstance(response, RangeResponse):
        records = [_encode_record(*row) for row in response.records]
        return {"kvs": records, "more": response.more, "count": str(response.total)}
    if isinstance(response, PutResponse):
        previous = response.previous
        return {"prev_kv": None if previous is None else _encode_record(b"", previous)}
    if isinstance(response, DeleteRangeResponse):
        records = [_encode_record(*row) for row in response.previous]
        return {"deleted": str(response.deleted), "prev_kvs": records}
    if isinstance(response, TxnResponse):
        responses = [{_field_name(each): encode_response(header, each)} for each in response.responses]
        return {"succeeded": response.succeeded, "responses": responses}
    if isinstance(response, LeaseListResponse):
        return {"leases": [{"ID": str(lease)} for lease in response.ids]}
    return {
        "ID": str(response.id),
        "TTL": str(response.ttl),
        "grantedTTL": str(response.granted_ttl),
        "keys": [encode_base64(key) for key in response.keys],
    }


def _field_name(response: OperationResponse) -> str:
    """Return the field name of an operation's response within the response to its transaction."""
    if isinstance(response, RangeResponse):
        return "response_range"
    return "response_put" if isinstance(response, PutResponse) else "response_delete_range"


def _encode_record(key: bytes, record: Record) -> Json:
    return without_defaults(
        {
            "key": encode_base64(key),
            "create_revision": str(record.create_revision),
            "mod_revision": str(record.mod_revision),
            "version": str(record.version),
            "value": encode_base64(record.value),
            "lease": str(record.lease),
        }
    )


def encode_events(
    header: ResponseHeader, revision: int, events: tuple[Event, ...], *, with_previous: bool
) -> Json:
    """Return the JSON body that notifies a watch of events up to a revision."""
    rows = [_encode_event(event, with_previous=with_previous) for event in events]
    return {"header": header.at_revision(revision), "events": rows}


def _encode_event(event: Event, *, with_previous: bool) -> Json:
    row: Json = {}
    if event.record is None:
        row["type"] = "DELETE"
        row["kv"] = {"key": encode_base64(event.key), "mod_revision": str(event.revision)}
    else:
        row["kv"] = _encode_record(event.key, event.record)
    if with_previous and event.previous is not None:
        row["prev_kv"] = _encode_record(event.key, event.previous)
    return row


def encode_error(error: RequestError) -> ErrorResponse:
    """Return the HTTP status and body for a failed request."""
    body = {"error": error.message, "code": int(error.code), "message": error.message}
    return ErrorResponse(HTTP_STATUS[error.code], body)
