"""What a request does to the state, the gateway's form of it, and files of groups."""

from __future__ import annotations

import base64
import json
import random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heronreel.coordination import gateway
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
    RequestError,
    StatusCode,
    Txn,
    TxnResponse,
)
from heronreel.coordination.settings import load
from heronreel.leases.fencing import FencedTable, FencingGuard
from heronreel.leases.lease import ClaimAcquired, ClaimLost, LeaseClient, LeaseTerms, SendRequest
from heronreel.routes.reader import BadFile
from heronreel.store import Store
from heronreel.store.fault_injecting_disk import FaultInjectingDisk

keys = st.sampled_from([b"a", b"b", b"ba", b"c", b"\xff"])
ends = st.sampled_from([b"", b"\0", b"b", b"c", b"\xff\xff"])
values = st.binary(max_size=4)
leases = st.integers(0, 3)
ranges = st.builds(Range, keys, ends, st.integers(0, 3))
puts = st.builds(Put, keys, values, leases, st.booleans())
deletes = st.builds(DeleteRange, keys, ends, st.booleans())
numbers = st.sampled_from(
    [CompareTarget.VERSION, CompareTarget.CREATE, CompareTarget.MOD, CompareTarget.LEASE]
)
compares = st.one_of(
    st.builds(Compare, keys, numbers, st.sampled_from(CompareOperator), st.integers(0, 5)),
    st.builds(Compare, keys, st.just(CompareTarget.VALUE), st.sampled_from(CompareOperator), values),
)
some = st.lists(st.one_of(ranges, puts, deletes), max_size=3).map(tuple)
txns = st.builds(Txn, st.lists(compares, max_size=2).map(tuple), some, some)
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
def test_what_is_written_is_what_is_known_and_every_form_survives_json(asked: list[Request]) -> None:
    content, state = EMPTY_CONTENT, Keyspace.of(EMPTY_CONTENT)
    for request in asked:
        form = gateway.request_of(gateway.path_of(request), json.dumps(gateway.body_of(request)).encode())
        assert form == request
        before = state
        try:
            done = state.apply(request)  # type: ignore[arg-type]
        except RequestError:
            assert state.keys == before.keys and state.leases == before.leases
            continue
        raw = gateway.answer_of(gateway.Header(1, 2, 3), done.result)
        again = gateway.result_of(request, json.loads(json.dumps(raw)))
        if not isinstance(done.result, (PutResponse, TxnResponse)):
            assert again == done.result or isinstance(request, (LeaseGrant, LeaseRevoke))
        content, state = apply_writes(content, done.writes), done.state
        read = Keyspace.of(content)
        assert (read.keys, read.leases, read.attached) == (state.keys, state.leases, state.attached)
        assert read.head == state.head and state.revision - before.revision in (0, 1)
        silent = isinstance(request, Txn)  # a key made and removed by one changes nothing that is told
        assert bool(done.events) == (state.revision > before.revision) or silent
        assert state.named(b"\0", b"\0") == sorted(state.keys)
        assert all(record.lease in state.leases for record in state.keys.values() if record.lease)


def test_a_transaction_is_whole_and_numbers_only_grow() -> None:
    state = Keyspace.of(EMPTY_CONTENT).apply(LeaseGrant(5, 7)).state
    free = Compare(b"task", CompareTarget.CREATE, CompareOperator.EQUAL, 0)
    take = Txn((free,), (Put(b"task", b"one", 7), Put(b"log", b"x")), (Range(b"task"),))
    first = state.apply(take)
    assert isinstance(first.result, TxnResponse) and first.result.succeeded
    number = first.state.keys[b"task"].create
    second = first.state.apply(take).result
    assert isinstance(second, TxnResponse) and not second.succeeded
    (found,) = second.results
    assert isinstance(found, RangeResponse) and found.records[0][1].create == number
    with pytest.raises(
        RequestError, match="lease not found"
    ):  # the second write fails: the first is not done
        first.state.apply(Txn((), (Put(b"y", b""), Put(b"z", b"", 99))))
    gone = first.state.apply(LeaseRevoke(7))
    assert b"task" not in gone.state.keys and b"log" in gone.state.keys
    assert [event.record for event in gone.events] == [None]
    again = gone.state.apply(LeaseGrant(5, 7)).state.apply(take).state
    assert again.keys[b"task"].create > number
    wiped = again.apply(DeleteRange(b"\0", b"\0", True)).result
    assert isinstance(wiped, DeleteRangeResponse) and wiped.deleted == 2


@pytest.mark.parametrize(
    ("path", "body", "code", "words"),
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
def test_bad_calls_are_refused_by_name(path: str, body: object, code: StatusCode, words: str) -> None:
    with pytest.raises(RequestError, match=words) as refused:
        Keyspace.of(EMPTY_CONTENT).apply(gateway.request_of(path, json.dumps(body).encode()))  # type: ignore[arg-type]
    assert refused.value.code is code


def test_a_state_has_a_bound_and_can_still_shrink_at_it() -> None:
    state = Keyspace.of(EMPTY_CONTENT)
    value = bytes(256 << 10)
    with pytest.raises(RequestError, match="would pass") as refused:
        for number in range(40):
            state = state.apply(Put(b"k%d" % number, value)).state
    assert refused.value.code is StatusCode.RESOURCE_EXHAUSTED
    state = state.apply(Put(b"k0", b"small")).state
    assert state.apply(DeleteRange(b"k1")).state.head.size < state.head.size


MEMBER = '[[members]]\nname = "{}"\naddress = "127.0.0.1:{}"\n'
THREE = "".join(MEMBER.format(name, 9001 + place) for place, name in enumerate("abc"))


@pytest.mark.parametrize(
    ("text", "line", "field", "words"),
    [
        (THREE + MEMBER.format("b", 9009), 10, "members.b", "stands on line 4 already"),
        (THREE.replace("9002", "9001"), 4, "members.b", "address '127.0.0.1:9001' stands on line 1"),
        (MEMBER.format("a", 1) + MEMBER.format("b", 2), 1, "members", "even = true"),
        ("[group]\nlease_s = 4\n" + THREE, 2, "group.lease_s", "at least 6"),
        ("[group]\npatience_ms = 200\n" + THREE, 2, "group.patience_ms", "at least 300"),
        ("[group]\nclock_drift = 0.5\n" + THREE, 2, "group.clock_drift", "a share from 0 to 0.2"),
        ("[group]\nlaese_s = 9\n" + THREE, 2, "group.laese_s", "did you mean 'lease_s'"),
        ("[[members]]\nname = \"A b\"\naddress = \"x\"\n", 2, "members.A b.name", "small letters"),
        ("", 0, "members", "at least one"),
    ],
)  # fmt: skip
def test_bad_files_are_refused_with_line_and_field(text: str, line: int, field: str, words: str) -> None:
    with pytest.raises(BadFile) as bad:
        load(text.encode())
    told = [problem for problem in bad.value.problems if words in str(problem)]
    assert told, bad.value.problems
    assert told[0].line == line and field in str(told[0])


def test_an_even_group_with_a_yes_is_taken() -> None:
    text = "[group]\neven = true\n" + MEMBER.format("a", 1) + MEMBER.format("b", 2)
    assert [row.name for row in load(text.encode()).members] == ["a", "b"]
    assert LeaseTerms(ttl=3, margin=1.0, answer=1.0).problem() and not LeaseTerms().problem()


def test_a_renewal_that_comes_after_the_end_is_told_as_a_loss_and_a_new_hold() -> None:
    """Seen between processes: who waited for its claim was not told that it had it, and kept it from
    others.
    """
    state = Keyspace.of(EMPTY_CONTENT)
    session = LeaseClient(LeaseTerms(ttl=3, margin=0.5, answer=0.5), 0.0, lambda: 7)
    claim = session.claim(b"held/t", b"me")
    told: list[object] = []

    def carry(actions: list[Any], now: float) -> list[Any]:
        nonlocal state
        kept = []
        while actions:
            action = actions.pop(0)
            if not isinstance(action, SendRequest):
                told.append(action)
            elif isinstance(action.request, LeaseKeepAlive):
                kept.append(action)
            else:
                done = state.apply(action.request)  # type: ignore[arg-type]
                state = done.state
                actions += session.answered(now, action.number, done.result)
        return kept

    carry(session.tick(0.0), 0.0)
    assert told == [ClaimAcquired(b"held/t", claim.number)] and claim.acts(2.4) and not claim.acts(2.5)
    (renewal,) = carry(session.tick(2.2), 2.2)
    late = LeaseResponse(2, 7, 3, 3)
    carry(session.answered(2.6, renewal.number, late), 2.6)  # no tick came between
    assert (
        isinstance(told[1], ClaimLost)
        and told[2] == ClaimAcquired(b"held/t", claim.number)
        and claim.acts(2.6)
    )


def test_a_fenced_table_refuses_an_old_holder_also_after_a_crash() -> None:
    disk = FaultInjectingDisk()
    table = FencedTable(Store.open(disk))
    assert table.enter(b"t", 5).admitted
    assert table.write(b"t", 5, 1, b"one") == ((True, 5), True)
    assert table.write(b"t", 5, 1, b"one") == ((True, 5), False)  # said again: done once
    assert table.enter(b"t", 9).admitted
    disk = disk.crash_image(random.Random(1))  # what a crash leaves
    table = FencedTable(Store.open(disk))
    assert table.write(b"t", 5, 2, b"late") == ((False, 9), False)
    with pytest.raises(ValueError, match="the next one is 2"):
        table.write(b"t", 9, 3, b"gap")
    assert table.write(b"t", 9, 2, b"two")[1] and table.rows(b"t") == [(5, b"one"), (9, b"two")]
    assert FencingGuard([(b"t", 3)]).admit(b"t", 2) == (False, 3)
