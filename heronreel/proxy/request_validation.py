"""Validation of request heads, which rejects requests that no backend could serve.

A request rejected here costs the backends nothing and does not affect their health.  A rejection is the
status of the response to the client.
"""

from __future__ import annotations

import os
from collections.abc import Callable

from heronreel.balancer.interface import Effect
from heronreel.proxy.dispatcher import Dispatcher
from heronreel.proxy.http1 import Headers, end_to_end_lines, is_host, parse_bounded_number
from heronreel.proxy.request import RequestHead, Router

METHODS = frozenset((b"GET", b"POST", b"PUT", b"PATCH", b"DELETE", b"OPTIONS"))
WRITE_METHODS = (b"POST", b"PUT", b"PATCH")
HEALTH_PATH = b"/_health"
REPLACED_FIELDS = frozenset((b"x-deadline-ms",))  # the proxy sends its own value to backends
VERSIONS = ("1.1", "1.0")
VIA = {version: b"via: %b heronreel\r\n" % version.encode() for version in VERSIONS}  # RFC 9110, 7.6.3
# A head that has one of these fields twice is ambiguous.
SINGLETON_FIELDS = frozenset((
    b"content-length", b"transfer-encoding", b"x-request-id", b"x-class", b"x-tenant", b"x-deadline-ms",
    b"idempotency-key", b"host",
))  # fmt: skip
MAX_NUMBER_DIGITS = 12  # of a length or a deadline
MAX_HOPS_DIGITS = 9
# With a larger hint, a single request would dominate the cost estimates of backends.
MAX_COST_HINT_US = 60e6

Fields = dict[bytes, bytes]  # header fields by their names in lower case


def is_well_framed(headers: Headers, fields: Fields, version: str) -> bool:
    """Return whether the head's framing is unambiguous and its Host field is valid."""
    names = [name for name, _ in headers if name in SINGLETON_FIELDS]
    # Request smuggling: a message with two lengths may hide another request in its body.
    if len(set(names)) < len(names) or (b"content-length" in fields and b"transfer-encoding" in fields):
        return False
    if fields.get(b"transfer-encoding", b"chunked").lower() != b"chunked":
        return False
    if version == "1.0":
        # RFC 9112, 6.1: the framing is faulty, so the end of the body is not known for certain.
        if b"transfer-encoding" in fields:
            return False
    elif b"host" not in fields:
        return False  # RFC 9112, 3.2
    return is_host(fields.get(b"host", b""))


def host_name(fields: Fields) -> bytes:
    """Return the host name of the Host field, in lower case and without port and brackets."""
    host = fields.get(b"host", b"").lower()
    if not host.endswith(b"]"):
        host = host.rpartition(b":")[0] if b":" in host else host
    return host.strip(b"[]")


def read_request_head(
    dispatcher: Dispatcher,
    is_ready: Callable[[], bool],
    method: bytes,
    target: bytes,
    headers: Headers,
    fields: Fields,
    version: str,
) -> RequestHead | int:
    """Return the validated head, or the status of a response for which no backend is needed.

    Such a response answers a health check, which `is_ready` decides, or rejects the request.
    """
    path = target.partition(b"?")[0]
    if method not in METHODS:
        return 405
    if path == HEALTH_PATH:
        return 200 if is_ready() else 503
    if method == b"OPTIONS" and (hops := fields.get(b"max-forwards", b"")).isdigit():
        # RFC 9110, 7.6.2: with 0 hops left, the proxy is the final recipient.
        if not int(hops[:MAX_HOPS_DIGITS]):
            return 200
        headers = [
            (name, b"%d" % (int(value[:MAX_HOPS_DIGITS]) - 1) if name == b"max-forwards" else value)
            for name, value in headers
        ]
    if dispatcher.router and dispatcher.accepts_any_client:
        return _read_routed(dispatcher.router, method, target, path, headers, fields, version)
    return _read_platform(dispatcher, method, target, path, headers, fields, version)


def _read_platform(
    dispatcher: Dispatcher,
    method: bytes,
    target: bytes,
    path: bytes,
    headers: Headers,
    fields: Fields,
    version: str,
) -> RequestHead | int:
    """Validate a request of the platform's clients, which must send the platform's headers."""
    segments = path.split(b"/")
    class_name = segments[1] if len(segments) > 1 and not segments[0] else b""
    deadline = fields.get(b"x-deadline-ms")
    request_id, request_class = (
        fields.get(b"x-request-id"),
        dispatcher.classes.get(class_name.decode("latin-1")),
    )
    if (
        request_class is None
        or not request_id
        or not target.isascii()
        or fields.get(b"x-class", class_name) != class_name
        or (deadline is not None and not _is_number(deadline))
        or (request_class.effect is Effect.KEYED and not fields.get(b"idempotency-key"))
    ):
        return 400
    if method == b"GET" and request_class.effect is not Effect.IDEMPOTENT:
        return 405
    lines = end_to_end_lines(headers, REPLACED_FIELDS)
    head = RequestHead(
        b"%b %b HTTP/1.1\r\n%b%b" % (method, target, lines, VIA[version]),
        request_id,
        request_class.name,
        fields.get(b"x-tenant", b"").decode("latin-1"),
        segments[-1] if len(segments) > 2 else b"",
        min(float(deadline), dispatcher.max_deadline_ms) if deadline else None,
        _cost_hint_ms(fields),
        fields.get(b"x-retry") == b"1",
        method != b"GET",
    )
    if dispatcher.router:  # without a matching route, the class's own settings apply
        policy = head.policy = dispatcher.router.find(host_name(fields), path, method, fields)
        if policy:
            maximum_ms = policy.request_class.deadline_ms
            head.timeout_ms = maximum_ms if head.timeout_ms is None else min(head.timeout_ms, maximum_ms)
    return head


def _read_routed(
    router: Router,
    method: bytes,
    target: bytes,
    path: bytes,
    headers: Headers,
    fields: Fields,
    version: str,
) -> RequestHead | int:
    """Validate a request that is matched to a route; its client need not send the platform's headers."""
    policy = router.find(host_name(fields), path, method, fields)
    if policy is None:
        return 404
    deadline = fields.get(b"x-deadline-ms")
    if deadline is not None and not _is_number(deadline):
        return 400
    added = b""
    if not fields.get(b"x-request-id"):
        added = b"x-request-id: %b\r\n" % os.urandom(8).hex().encode()
    lines = end_to_end_lines(headers, REPLACED_FIELDS)
    maximum_ms = policy.request_class.deadline_ms
    return RequestHead(
        b"%b %b HTTP/1.1\r\n%b%b%b" % (method, target, lines, added, VIA[version]),
        class_name=policy.request_class.name,
        tenant=fields.get(b"x-tenant", b"").decode("latin-1"),
        key=path.rpartition(b"/")[2],
        timeout_ms=min(float(deadline), maximum_ms) if deadline else maximum_ms,
        cost_hint_ms=_cost_hint_ms(fields),
        is_retry=fields.get(b"x-retry") == b"1",
        is_write=method in WRITE_METHODS,
        policy=policy,
        idempotency_key=fields.get(b"idempotency-key", b""),
    )


def _is_number(text: bytes) -> bool:
    return text.isdigit() and len(text) <= MAX_NUMBER_DIGITS


def _cost_hint_ms(fields: Fields) -> float:
    return (parse_bounded_number(fields.get(b"x-cost-hint", b""), MAX_COST_HINT_US) or 0.0) / 1000.0
