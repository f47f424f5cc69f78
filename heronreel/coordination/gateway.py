"""Requests and answers in JSON, in the published form of etcd's v3 gateway (grpc-gateway over rpc.proto).

Keys and values are base64, 64-bit numbers are strings, fields with default values may be left out, names
come as `range_end` or `rangeEnd`.  What the group does not do (older revisions, orders, filters, nested
transactions) is refused with code 3 and named; nothing is passed over in silence.
"""

from __future__ import annotations

import base64
import re
from typing import Any, Literal

import msgspec

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
    LeaseResponse,
    LeaseRevoke,
    LeaseTimeToLive,
    Operation,
    Put,
    PutResponse,
    Range,
    RangeResponse,
    Record,
    Request,
    RequestError,
    Response,
    StatusCode,
    Txn,
    TxnResponse,
)

STATUS = {
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
_CAMEL = re.compile(r"(?<=[a-z])(?=[A-Z])")
_SHOUTED = frozenset(("ID", "TTL"))
Json = dict[str, Any]


class _Form(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    pass


class _Range(_Form, frozen=True, kw_only=True):
    key: bytes = b""
    range_end: bytes = b""
    limit: int = 0
    revision: int = 0
    sort_order: Literal["NONE", "ASCEND", 0, 1] = "NONE"
    sort_target: Literal["KEY", 0] = "KEY"
    serializable: bool = False  # answered as one that is not: no older state is shown
    keys_only: bool = False
    count_only: bool = False


class _Put(_Form, frozen=True, kw_only=True):
    key: bytes = b""
    value: bytes = b""
    lease: int = 0
    prev_kv: bool = False


class _Delete(_Form, frozen=True, kw_only=True):
    key: bytes = b""
    range_end: bytes = b""
    prev_kv: bool = False


class _Compare(_Form, frozen=True, kw_only=True):
    key: bytes = b""
    target: CompareTarget = CompareTarget.VERSION
    result: CompareOperator = CompareOperator.EQUAL
    version: int = 0
    create_revision: int = 0
    mod_revision: int = 0
    value: bytes = b""
    lease: int = 0


class _Operation(_Form, frozen=True, kw_only=True):
    request_range: _Range | None = None
    request_put: _Put | None = None
    request_delete_range: _Delete | None = None


class _Txn(_Form, frozen=True, kw_only=True):
    compare: tuple[_Compare, ...] = ()
    success: tuple[_Operation, ...] = ()
    failure: tuple[_Operation, ...] = ()


class _Grant(_Form, frozen=True, kw_only=True):
    TTL: int = 0
    ID: int = 0


class _Lease(_Form, frozen=True, kw_only=True):
    ID: int = 0


class _TimeToLive(_Form, frozen=True, kw_only=True):
    ID: int = 0
    keys: bool = False


class _Nothing(_Form, frozen=True, kw_only=True):
    pass


class _Create(_Form, frozen=True, kw_only=True):
    key: bytes = b""
    range_end: bytes = b""
    start_revision: int = 0
    prev_kv: bool = False
    progress_notify: bool = False


class _Watch(_Form, frozen=True, kw_only=True):
    create_request: _Create


class WatchAsked(msgspec.Struct, frozen=True):
    key: bytes
    end: bytes
    start: int
    previous: bool


def _convert(data: bytes, form: Any) -> Any:
    try:
        raw = msgspec.json.decode(data or b"{}")
        return msgspec.convert(_snaked(raw), form, strict=False)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise RequestError(StatusCode.INVALID_ARGUMENT, str(error) or "too deep") from None


def _snaked(raw: Any) -> Any:
    """`rangeEnd` as `range_end`, everywhere."""
    if isinstance(raw, dict):
        return {
            name if name in _SHOUTED else _CAMEL.sub("_", name).lower(): _snaked(value)
            for name, value in raw.items()
        }
    return [_snaked(value) for value in raw] if isinstance(raw, list) else raw


def _range(form: _Range) -> Range:
    return Range(form.key, form.range_end, form.limit, form.revision, form.keys_only, form.count_only)


def _put(form: _Put) -> Put:
    return Put(form.key, form.value, form.lease, form.prev_kv)


def _delete(form: _Delete) -> DeleteRange:
    return DeleteRange(form.key, form.range_end, form.prev_kv)


def _operation(form: _Operation) -> Operation:
    given: list[Operation] = []
    if form.request_range is not None:
        given.append(_range(form.request_range))
    if form.request_put is not None:
        given.append(_put(form.request_put))
    if form.request_delete_range is not None:
        given.append(_delete(form.request_delete_range))
    if len(given) != 1:
        raise RequestError(
            StatusCode.INVALID_ARGUMENT, "operation: expected one of a range, a put and a delete"
        )
    return given[0]


def _compare(form: _Compare) -> Compare:
    values: dict[CompareTarget, int | bytes] = {
        CompareTarget.VERSION: form.version,
        CompareTarget.CREATE: form.create_revision,
        CompareTarget.MOD: form.mod_revision,
        CompareTarget.LEASE: form.lease,
        CompareTarget.VALUE: form.value,
    }
    value = values[form.target]
    return Compare(form.key, form.target, form.result, value)


def _txn(form: _Txn) -> Txn:
    return Txn(
        tuple(map(_compare, form.compare)),
        tuple(map(_operation, form.success)),
        tuple(map(_operation, form.failure)),
    )


PATHS: dict[str, tuple[Any, Any]] = {
    "/v3/kv/range": (_Range, _range),
    "/v3/kv/put": (_Put, _put),
    "/v3/kv/deleterange": (_Delete, _delete),
    "/v3/kv/txn": (_Txn, _txn),
    "/v3/lease/grant": (_Grant, lambda form: LeaseGrant(form.TTL, form.ID)),
    "/v3/lease/revoke": (_Lease, lambda form: LeaseRevoke(form.ID)),
    "/v3/lease/keepalive": (_Lease, lambda form: LeaseKeepAlive(form.ID)),
    "/v3/lease/timetolive": (_TimeToLive, lambda form: LeaseTimeToLive(form.ID, form.keys)),
    "/v3/lease/leases": (_Nothing, lambda form: LeaseList()),
}
WATCH = "/v3/watch"
STREAMED = frozenset(("/v3/lease/keepalive",))  # answers stand under "result", as those of streams do


def request_of(path: str, data: bytes) -> Request:
    """The request that a call to `path` is.  Raises Refused."""
    form, build = PATHS[path]
    request: Request = build(_convert(data, form))
    return request


def watch_of(data: bytes) -> WatchAsked:
    form: _Create = _convert(data, _Watch).create_request
    if not form.key:
        raise RequestError(StatusCode.INVALID_ARGUMENT, "key is not provided")
    return WatchAsked(form.key, form.range_end, form.start_revision, form.prev_kv)


# -- answers


class Header(msgspec.Struct, frozen=True):
    """Who answers: the group, the member and its ballot's round."""

    group: int
    member: int
    round: int

    def at(self, revision: int) -> Json:
        return {
            "cluster_id": str(self.group), "member_id": str(self.member), "revision": str(revision),
            "raft_term": str(self.round),
        }  # fmt: skip


def base64_of(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _trimmed(raw: Json) -> Json:
    return {name: value for name, value in raw.items() if value not in ("0", "", 0, False, None, [], ())}


def _record(key: bytes, record: Record) -> Json:
    return _trimmed({
        "key": base64_of(key), "create_revision": str(record.create), "mod_revision": str(record.mod),
        "version": str(record.version), "value": base64_of(record.value), "lease": str(record.lease),
    })  # fmt: skip


def answer_of(header: Header, result: Response) -> Json:
    """An answer as JSON would have it."""
    head = {"header": header.at(result.revision)}
    if isinstance(result, RangeResponse):
        rows = [_record(*row) for row in result.records]
        return head | _trimmed({"kvs": rows, "more": result.more, "count": str(result.total)})
    if isinstance(result, PutResponse):
        previous = None
        if result.previous is not None:
            previous = _record(b"", result.previous)
        return head | _trimmed({"prev_kv": previous})
    if isinstance(result, DeleteRangeResponse):
        rows = [_record(*row) for row in result.previous]
        return head | _trimmed({"deleted": str(result.deleted), "prev_kvs": rows})
    if isinstance(result, TxnResponse):
        done = [{_kind(each): answer_of(header, each)} for each in result.results]
        return head | _trimmed({"succeeded": result.succeeded, "responses": done})
    if isinstance(result, LeaseListResponse):
        return head | _trimmed({"leases": [{"ID": str(number)} for number in result.ids]})
    return head | _trimmed({
        "ID": str(result.id), "TTL": str(result.ttl), "grantedTTL": str(result.granted),
        "keys": [base64_of(key) for key in result.keys],
    })  # fmt: skip


def _kind(result: RangeResponse | PutResponse | DeleteRangeResponse) -> str:
    if isinstance(result, RangeResponse):
        return "response_range"
    return "response_put" if isinstance(result, PutResponse) else "response_delete_range"


def events_of(header: Header, revision: int, events: tuple[Event, ...], previous: bool) -> Json:
    rows = []
    for event in events:
        row: Json = {}
        if event.record is None:
            row["type"] = "DELETE"
            row["kv"] = {"key": base64_of(event.key), "mod_revision": str(event.revision)}
        else:
            row["kv"] = _record(event.key, event.record)
        if previous and event.previous is not None:
            row["prev_kv"] = _record(event.key, event.previous)
        rows.append(row)
    return {"header": header.at(revision), "events": rows}


def refusal_of(refused: RequestError) -> tuple[int, Json]:
    """The status and the body of a refusal."""
    return STATUS[refused.code], {"error": refused.what, "code": int(refused.code), "message": refused.what}


# -- the other side: requests as a client writes them, and answers as it reads them


def path_of(request: Request) -> str:
    for path, kind in (
        ("/v3/kv/range", Range), ("/v3/kv/put", Put), ("/v3/kv/deleterange", DeleteRange),
        ("/v3/kv/txn", Txn), ("/v3/lease/grant", LeaseGrant), ("/v3/lease/revoke", LeaseRevoke),
        ("/v3/lease/keepalive", LeaseKeepAlive), ("/v3/lease/timetolive", LeaseTimeToLive),
    ):  # fmt: skip
        if isinstance(request, kind):
            return path
    return "/v3/lease/leases"


def body_of(request: Request) -> Json:
    """The call's body for a request."""
    if isinstance(request, Range):
        return _trimmed({
            "key": base64_of(request.key), "range_end": base64_of(request.end), "limit": str(request.limit),
            "revision": str(request.revision), "keys_only": request.keys_only,
            "count_only": request.count_only,
        })  # fmt: skip
    if isinstance(request, Put):
        return _trimmed({
            "key": base64_of(request.key), "value": base64_of(request.value), "lease": str(request.lease),
            "prev_kv": request.previous,
        })  # fmt: skip
    if isinstance(request, DeleteRange):
        return _trimmed({
            "key": base64_of(request.key), "range_end": base64_of(request.end), "prev_kv": request.previous,
        })  # fmt: skip
    if isinstance(request, Txn):
        return _trimmed({
            "compare": [_compare_body(compare) for compare in request.compares],
            "success": [_operation_body(operation) for operation in request.success],
            "failure": [_operation_body(operation) for operation in request.failure],
        })  # fmt: skip
    if isinstance(request, LeaseGrant):
        return {"TTL": str(request.ttl), "ID": str(request.id)}
    if isinstance(request, LeaseTimeToLive):
        return {"ID": str(request.id), "keys": request.keys}
    return {} if isinstance(request, LeaseList) else {"ID": str(request.id)}


def _compare_body(compare: Compare) -> Json:
    field = {
        CompareTarget.VERSION: "version",
        CompareTarget.CREATE: "create_revision",
        CompareTarget.MOD: "mod_revision",
        CompareTarget.LEASE: "lease",
        CompareTarget.VALUE: "value",
    }[compare.target]
    value = base64_of(compare.value) if isinstance(compare.value, bytes) else str(compare.value)
    return {
        "key": base64_of(compare.key), "target": compare.target.value, "result": compare.relation.value,
        field: value,
    }  # fmt: skip


def _operation_body(operation: Operation) -> Json:
    name = {Range: "request_range", Put: "request_put", DeleteRange: "request_delete_range"}[type(operation)]
    return {name: body_of(operation)}


def _record_of(raw: Json) -> tuple[bytes, Record]:
    return base64.b64decode(raw.get("key", "")), Record(
        base64.b64decode(raw.get("value", "")), int(raw.get("create_revision", 0)),
        int(raw.get("mod_revision", 0)), int(raw.get("version", 0)), int(raw.get("lease", 0)),
    )  # fmt: skip


def _records_of(raw: Json, name: str) -> tuple[tuple[bytes, Record], ...]:
    return tuple(_record_of(row) for row in raw.get(name, ()))


def result_of(request: Request, raw: Json) -> Response:
    """What an answer says.  Raises KeyError, TypeError or ValueError for what is none."""
    raw = raw.get("result", raw)
    revision = int(raw["header"].get("revision", 0))
    if isinstance(request, Range):
        count = int(raw.get("count", 0))
        return RangeResponse(revision, _records_of(raw, "kvs"), count, bool(raw.get("more", False)))
    if isinstance(request, Put):
        return PutResponse(revision, _record_of(raw["prev_kv"])[1] if "prev_kv" in raw else None)
    if isinstance(request, DeleteRange):
        return DeleteRangeResponse(revision, int(raw.get("deleted", 0)), _records_of(raw, "prev_kvs"))
    if isinstance(request, Txn):
        succeeded = bool(raw.get("succeeded", False))
        results = tuple(
            _operation_result(operation, next(iter(row.values())))
            for operation, row in zip(
                request.success if succeeded else request.failure, raw.get("responses", ()), strict=True
            )
        )
        return TxnResponse(revision, succeeded, results)
    if isinstance(request, LeaseList):
        return LeaseListResponse(revision, tuple(int(row["ID"]) for row in raw.get("leases", ())))
    return LeaseResponse(
        revision, int(raw.get("ID", 0)), int(raw.get("TTL", 0)), int(raw.get("grantedTTL", 0)),
        tuple(base64.b64decode(key) for key in raw.get("keys", ())),
    )  # fmt: skip


def _operation_result(operation: Operation, raw: Json) -> RangeResponse | PutResponse | DeleteRangeResponse:
    result = result_of(operation, raw)
    assert isinstance(result, (RangeResponse, PutResponse, DeleteRangeResponse))
    return result


def events_told(raw: Json) -> tuple[int, tuple[Event, ...]]:
    """The revision and the events of one line of a watch (its "result")."""
    events = []
    for row in raw.get("events", ()):
        key, record = _record_of(row["kv"])
        previous = _record_of(row["prev_kv"])[1] if "prev_kv" in row else None
        gone = row.get("type") == "DELETE"
        events.append(Event(key, None if gone else record, previous, record.mod))
    return int(raw["header"].get("revision", 0)), tuple(events)


def refused_of(status: int, raw: Any) -> RequestError:
    """The refusal that an answer with an error status is."""
    code, what = StatusCode.UNKNOWN, f"status {status}"
    if isinstance(raw, dict):
        what = str(raw.get("message") or raw.get("error") or what)
        known = raw.get("code")
        if isinstance(known, int) and known in StatusCode._value2member_map_:
            return RequestError(StatusCode(known), what)
    for failure, number in STATUS.items():
        if number == status and failure is not StatusCode.UNKNOWN:
            code = failure
    return RequestError(code, what)
