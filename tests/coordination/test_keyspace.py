"""Effects of requests on the keyspace, and the lease clients and fenced tables that rely on it."""

from __future__ import annotations

import json
import random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heronreel.coordination.errors import RequestError, StatusCode
from heronreel.coordination.gateway import request_path
from heronreel.coordination.gateway_client import decode_response, encode_request
from heronreel.coordination.gateway_server import ResponseHeader, decode_request, encode_response
from heronreel.coordination.keyspace import EMPTY_CONTENT, Keyspace, apply_writes
from heronreel.coordination.model import (
    Compare,
    CompareOperator,
    CompareTarget,
    DeleteRange,
    DeleteRangeResponse,
    LeaseGrant,
    LeaseKeepAlive,
    LeaseResponse,
    LeaseRevoke,
    Put,
    PutResponse,
    Range,
    RangeResponse,
    Request,
    Txn,
    TxnResponse,
)
from heronreel.leases.claim import ClaimAcquired, ClaimLost
from heronreel.leases.fencing import FencedTable, FencingGuard
from heronreel.leases.lease import LeaseClient, LeaseTerms
from heronreel.leases.requests import SendRequest
from heronreel.store import Store
from heronreel.store.fault_injecting_disk import FaultInjectingDisk

keys = st.sampled_from([b"a", b"b", b"ba", b"c", b"\xff"])
ends = st.sampled_from([b"", b"\0", b"b", b"c", b"\xff\xff"])
values = st.binary(max_size=4)
leases = st.integers(0, 3)
ranges = st.builds(Range, keys, ends, st.integers(0, 3))
puts = st.builds(Put, keys, values, leases, st.booleans())
deletes = st.builds(DeleteRange, keys, ends, st.booleans())
numeric_targets = st.sampled_from(
    [CompareTarget.VERSION, CompareTarget.CREATE, CompareTarget.MOD, CompareTarget.LEASE]
)
compares = st.one_of(
    st.builds(Compare, keys, numeric_targets, st.sampled_from(CompareOperator), st.integers(0, 5)),
    st.builds(Compare, keys, st.just(CompareTarget.VALUE), st.sampled_from(CompareOperator), values),
)
operations = st.lists(st.one_of(ranges, puts, deletes), max_size=3).map(tuple)
txns = st.builds(Txn, st.lists(compares, max_size=2).map(tuple), operations, operations)
requests = st.one_of(
    ranges,
    puts,
    deletes,
    txns,
    st.builds(LeaseGrant, st.integers(1, 9), leases),
    st.builds(LeaseRevoke, leases),
)


@settings(max_examples=150, deadline=None)
@given(st.lists(requests, max_size=25))
def test_writes_reproduce_the_state_and_requests_and_responses_survive_json(sequence: list[Request]) -> None:
    content, state = EMPTY_CONTENT, Keyspace.from_content(EMPTY_CONTENT)
    for request in sequence:
        decoded = decode_request(request_path(request), json.dumps(encode_request(request)).encode())
        assert decoded == request
        before = state
        try:
            applied = state.apply(request)  # type: ignore[arg-type]
        except RequestError:
            assert state.keys == before.keys and state.leases == before.leases
            continue
        body = encode_response(ResponseHeader(1, 2, 3), applied.response)
        decoded_response = decode_response(request, json.loads(json.dumps(body)))
        if not isinstance(applied.response, (PutResponse, TxnResponse)):
            assert decoded_response == applied.response or isinstance(request, (LeaseGrant, LeaseRevoke))
        content, state = apply_writes(content, applied.writes), applied.state
        reloaded = Keyspace.from_content(content)
        assert (reloaded.keys, reloaded.leases, reloaded.lease_keys) == (
            state.keys,
            state.leases,
            state.lease_keys,
        )
        assert reloaded.header == state.header and state.revision - before.revision in (0, 1)
        # A transaction that creates and deletes the same key increases the revision without an event.
        may_have_no_events = isinstance(request, Txn)
        assert bool(applied.events) == (state.revision > before.revision) or may_have_no_events
        assert state.keys_in_range(b"\0", b"\0") == sorted(state.keys)
        assert all(record.lease in state.leases for record in state.keys.values() if record.lease)


def test_transactions_are_atomic_and_revisions_only_increase() -> None:
    state = Keyspace.from_content(EMPTY_CONTENT).apply(LeaseGrant(5, 7)).state
    does_not_exist = Compare(b"task", CompareTarget.CREATE, CompareOperator.EQUAL, 0)
    claim = Txn((does_not_exist,), (Put(b"task", b"one", 7), Put(b"log", b"x")), (Range(b"task"),))
    first = state.apply(claim)
    assert isinstance(first.response, TxnResponse) and first.response.succeeded
    first_token = first.state.keys[b"task"].create_revision
    second = first.state.apply(claim).response
    assert isinstance(second, TxnResponse) and not second.succeeded
    (found,) = second.responses
    assert isinstance(found, RangeResponse) and found.records[0][1].create_revision == first_token
    # The second write fails, so the first one has no effect.
    with pytest.raises(RequestError, match="lease not found"):
        first.state.apply(Txn((), (Put(b"y", b""), Put(b"z", b"", 99))))
    revoked = first.state.apply(LeaseRevoke(7))
    assert b"task" not in revoked.state.keys and b"log" in revoked.state.keys
    assert [event.record for event in revoked.events] == [None]
    claimed_again = revoked.state.apply(LeaseGrant(5, 7)).state.apply(claim).state
    assert claimed_again.keys[b"task"].create_revision > first_token
    deleted_all = claimed_again.apply(DeleteRange(b"\0", b"\0", True)).response
    assert isinstance(deleted_all, DeleteRangeResponse) and deleted_all.deleted == 2


def test_the_size_of_the_state_is_limited_and_can_shrink_at_the_limit() -> None:
    state = Keyspace.from_content(EMPTY_CONTENT)
    value = bytes(256 << 10)
    with pytest.raises(RequestError, match="would pass") as raised:
        for number in range(40):
            state = state.apply(Put(b"k%d" % number, value)).state
    assert raised.value.code is StatusCode.RESOURCE_EXHAUSTED
    state = state.apply(Put(b"k0", b"small")).state
    assert state.apply(DeleteRange(b"k1")).state.header.size < state.header.size


def test_a_renewal_after_expiry_is_reported_as_a_loss_and_a_new_claim() -> None:
    """Guards against a holder that does not know that it holds a claim.

    After a late renewal, a process that waited for its claim was not notified that it held the claim, and
    kept all others from it.  This fault occurred between processes.
    """
    state = Keyspace.from_content(EMPTY_CONTENT)
    session = LeaseClient(LeaseTerms(ttl_s=3, safety_margin_s=0.5, response_timeout_s=0.5), 0.0, lambda: 7)
    claim = session.claim(b"held/t", b"me")
    notifications: list[object] = []

    def execute(actions: list[Any], now: float) -> list[Any]:
        """Execute requests except renewals, which are returned, and collect notifications."""
        nonlocal state
        renewals = []
        while actions:
            action = actions.pop(0)
            if not isinstance(action, SendRequest):
                notifications.append(action)
            elif isinstance(action.request, LeaseKeepAlive):
                renewals.append(action)
            else:
                applied = state.apply(action.request)  # type: ignore[arg-type]
                state = applied.state
                actions += session.on_response(now, action.request_id, applied.response)
        return renewals

    execute(session.tick(0.0), 0.0)
    assert (
        notifications == [ClaimAcquired(b"held/t", claim.granted_token)]
        and claim.fencing_token(2.4)
        and not claim.fencing_token(2.5)
    )
    (renewal,) = execute(session.tick(2.2), 2.2)
    late_response = LeaseResponse(2, 7, 3, 3)
    # There was no tick since the lease expired.
    execute(session.on_response(2.6, renewal.request_id, late_response), 2.6)
    assert (
        isinstance(notifications[1], ClaimLost)
        and notifications[2] == ClaimAcquired(b"held/t", claim.granted_token)
        and claim.fencing_token(2.6)
    )


def test_a_fenced_table_rejects_an_earlier_holder_after_a_crash() -> None:
    disk = FaultInjectingDisk()
    table = FencedTable(Store.open(disk))
    assert table.register_holder(b"t", 5).admitted
    assert table.write(b"t", 5, 1, b"one") == ((True, 5), True)
    assert table.write(b"t", 5, 1, b"one") == ((True, 5), False)  # A repeated write is not executed again.
    assert table.register_holder(b"t", 9).admitted
    disk = disk.crash_image(random.Random(1))
    table = FencedTable(Store.open(disk))
    assert table.write(b"t", 5, 2, b"late") == ((False, 9), False)
    with pytest.raises(ValueError, match="the next one is 2"):
        table.write(b"t", 9, 3, b"gap")
    assert table.write(b"t", 9, 2, b"two")[1] and table.entries(b"t") == [(5, b"one"), (9, b"two")]
    assert FencingGuard([(b"t", 3)]).admit(b"t", 2) == (False, 3)
