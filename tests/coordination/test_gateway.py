"""Requests that the gateway or the keyspace rejects."""

from __future__ import annotations

import base64
import json

import pytest

from heronreel.coordination.errors import RequestError, StatusCode
from heronreel.coordination.gateway_server import decode_request
from heronreel.coordination.keyspace import EMPTY_CONTENT, Keyspace


@pytest.mark.parametrize(
    ("path", "body", "code", "expected_message"),
    [
        (
            "/v3/kv/put",
            {"key": base64.b64encode(b"k" * 1025).decode()},
            StatusCode.INVALID_ARGUMENT,
            "1025 bytes",
        ),
        ("/v3/kv/put", {"value": "eA=="}, StatusCode.INVALID_ARGUMENT, "not provided"),
        ("/v3/kv/put", {"key": "not base64!"}, StatusCode.INVALID_ARGUMENT, "ase64"),
        ("/v3/kv/put", {"key": "eA==", "lease": "12"}, StatusCode.NOT_FOUND, "lease"),
        ("/v3/kv/put", {"key": "eA==", "ignoreLease": True}, StatusCode.INVALID_ARGUMENT, "ignore_lease"),
        ("/v3/kv/range", {"key": "eA==", "revision": "9"}, StatusCode.OUT_OF_RANGE, "future"),
        ("/v3/kv/range", {"key": "eA==", "sort_order": "DESCEND"}, StatusCode.INVALID_ARGUMENT, "DESCEND"),
        ("/v3/kv/range", {"key": "eA==", "limit": "-1"}, StatusCode.INVALID_ARGUMENT, "0 or more"),
        ("/v3/kv/txn", {"success": [{}]}, StatusCode.INVALID_ARGUMENT, "one of"),
        (
            "/v3/kv/txn",
            {"success": [{"requestPut": {"key": "eA=="}}] * 2},
            StatusCode.INVALID_ARGUMENT,
            "duplicate",
        ),
        ("/v3/lease/grant", {"TTL": "0"}, StatusCode.INVALID_ARGUMENT, "TTL"),
        ("/v3/lease/grant", {"TTL": "9" * 30}, StatusCode.INVALID_ARGUMENT, "TTL"),
        ("/v3/lease/grant", {"TTL": "3", "ID": "-4"}, StatusCode.INVALID_ARGUMENT, "ID"),
        ("/v3/lease/revoke", {"ID": "5"}, StatusCode.NOT_FOUND, "lease"),
    ],
)
def test_invalid_requests_are_rejected_with_a_code_and_a_reason(
    path: str, body: object, code: StatusCode, expected_message: str
) -> None:
    with pytest.raises(RequestError, match=expected_message) as raised:
        Keyspace.from_content(EMPTY_CONTENT).apply(decode_request(path, json.dumps(body).encode()))  # type: ignore[arg-type]
    assert raised.value.code is code
