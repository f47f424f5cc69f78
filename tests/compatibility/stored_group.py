"""Cases of the data of a member group: messages, disks, the keyspace, requests and responses.

See `stored_control.py` for the rules that apply to the cases.
"""

from __future__ import annotations

import asyncio
import json
import shutil
from collections import deque
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any

import msgspec
from immutables import Map

from heronreel.coordination.actions import Persist, Send
from heronreel.coordination.ballots import Ballot, Version
from heronreel.coordination.consensus import ConsensusMember
from heronreel.coordination.errors import RequestError, StatusCode
from heronreel.coordination.gateway_client import decode_error, decode_events
from heronreel.coordination.gateway_server import decode_request, encode_error, encode_events
from heronreel.coordination.keyspace import EMPTY_CONTENT, Content, Keyspace, apply_writes
from heronreel.coordination.kv_service import DESIRED_MEMBERS_KEY, parse_member_names
from heronreel.coordination.member_state import DurableState
from heronreel.coordination.messages import Accept, Accepted, Hello, Prepare, Promise, ResetDisk, Status
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
from heronreel.coordinator.disk import MemberDisk, MemberRecord
from heronreel.coordinator.watch_stream import encode_line
from heronreel.leases.administration import resize_group
from heronreel.leases.fencing import FencedTable
from heronreel.leases.keys import BUDGET_PREFIX as BUDGETS
from heronreel.leases.keys import CLAIM_PREFIX, CURSOR_PREFIX
from heronreel.leases.lease import LeaseClient, LeaseTerms
from heronreel.leases.rate_budget import BudgetShare, StoredShare
from heronreel.leases.rate_limits import TOTAL_UNITS
from heronreel.leases.requests import SendRequest
from heronreel.leases.task_progress import TaskProgress
from heronreel.leases.tasks import Cursor, Priority, Task, decode_cursor, encode_cursor
from heronreel.store import Store
from tests.compatibility.stored_forms import (
    FIXED_TOKEN,
    HEADER,
    Form,
    as_json,
    as_message,
    as_msgpack,
    as_request,
    as_response,
    as_rows,
    create_store,
    with_store,
)

# -- messages and disks of members

BALLOT, VERSION = Ballot(3, "a/aa01"), Version(3, "a/aa01", 7)
OLDER = Version(2, "b/bb02", 4)
WRITES = ((b"kx", b"\x01\x02"), (b"ky", None))
MESSAGES = {
    "hello": Hello("a", FIXED_TOKEN),
    "status": Status("b", "bb02", True),
    "prepare": Prepare("a", "aa01", "aa01", "bb02", BALLOT, VERSION, True),
    "promise": Promise("b", "bb02", BALLOT, False, True, BALLOT, OLDER),
    "promise-content": Promise("b", "bb02", BALLOT, True, False, BALLOT, OLDER, ((b"h", b"\x00"),)),
    "accept": Accept("a", "aa01", "aa01", "bb02", BALLOT, 12, VERSION, OLDER, WRITES),
    "accept-whole": Accept("a", "aa01", "aa01", "bb02", BALLOT, 13, VERSION, None, WRITES[:1]),
    "accepted": Accepted("b", "bb02", BALLOT, 12, BALLOT, VERSION, True),
    "forget": ResetDisk("a", "aa01", "aa01", "bb02", BALLOT),
}
PERSISTS = (
    Persist(1, "aa01", BALLOT, OLDER, ((b"old", b"gone"), (b"h", b"\x93\x02\x00\x00")), False, ()),
    Persist(2, "aa01", BALLOT, VERSION, ((b"h", b"\x93\x03\x01\x05"), (b"kx", b"\xff")), True, ()),
)
DURABLE = DurableState(FIXED_TOKEN, "aa01", BALLOT, VERSION, Map({b"h": b"\x93\x03\x01\x05", b"kx": b"\xff"}))


def persisted_disk(folder: Path) -> dict[bytes, bytes]:
    """Return the records of a member's store after `PERSISTS`."""
    disk = MemberDisk(folder / "member", "a")
    disk.persist(PERSISTS)
    rows = dict(disk.store.scan())
    disk.close()
    return rows


def erased_disk(folder: Path) -> dict[bytes, bytes]:
    """Return the records that remain in a member's store after it was erased."""
    persisted_disk(folder)
    disk = MemberDisk(folder / "member", "a")
    disk.erase()
    rows = dict(disk.store.scan())
    disk.close()
    return rows


def durable_of(rows: Mapping[bytes, bytes]) -> DurableState:
    """Return the durable state that a member loads from a disk with these records."""

    def work(folder: Path) -> DurableState:
        create_store(folder / "member", rows).close()
        disk = MemberDisk(folder / "member", "a")
        disk.close()
        return disk.durable

    return with_store(work)


def opened_folder(folder: Path) -> DurableState:
    """Return the durable state that a member loads from a copy of a store folder."""

    def work(scratch: Path) -> DurableState:
        disk = MemberDisk(shutil.copytree(folder, scratch / "member"), "a")
        disk.close()
        return disk.durable

    return with_store(work)


def founded() -> Content:
    """Return the content of a new group of three members after three rounds of writes."""
    members = {name: ConsensusMember(name, "abc", DurableState(f"disk-{name}"), 0.0) for name in "abc"}
    for moment in range(4):
        now = moment / 20  # earlier than the leader's next round without writes
        waiting = deque((name, action) for name in members for action in members[name].tick(now))
        if members["a"].is_leader and not members["a"].has_round_in_flight:
            waiting.extend(("a", action) for action in members["a"].propose(now, ((b"kx", b"%d" % moment),)))
        while waiting:
            name, action = waiting.popleft()
            if isinstance(action, Send):
                waiting.extend(
                    (action.to, reaction) for reaction in members[action.to].receive(now, action.message)
                )
            elif isinstance(action, Persist):
                waiting.extend((name, send) for send in action.sends)
                waiting.extend((name, reaction) for reaction in members[name].persisted(now, action.number))
    return members["a"].content


def group_of(content: Content) -> tuple[dict[str, str], dict[str, Version]]:
    """Return the members and their confirmed versions as a member reads them from the content."""
    member = ConsensusMember("a", "abc", DurableState("disk-a", "disk-a", BALLOT, VERSION, content), 0.0)
    return dict(member.members), dict(member.confirmed_versions)


# -- the keyspace

CHANGES: tuple[Request, ...] = (
    LeaseGrant(6), LeaseGrant(10, 77), Put(b"held/t", b"me", 77), Put(b"x", b"\x00\xff"), Put(b"x", b"two"),
    Put(b"gone", b"1"), Put(b"y", b"", 1), DeleteRange(b"gone"),
)  # fmt: skip
KEYS = {
    b"held/t": Record(b"me", 2, 2, 1, 77), b"x": Record(b"two", 3, 4, 2, 0), b"y": Record(b"", 6, 6, 1, 1),
}  # fmt: skip


def changed() -> Content:
    """Return the content after `CHANGES`."""
    content, state = EMPTY_CONTENT, Keyspace.from_content(EMPTY_CONTENT)
    for request in CHANGES:
        assert isinstance(request, Range | Put | DeleteRange | Txn | LeaseGrant | LeaseRevoke)
        done = state.apply(request)
        content, state = apply_writes(content, done.writes), done.state
    return content


def state_of(content: Content) -> tuple[object, ...]:
    """Return everything that a keyspace reads from the content."""
    state = Keyspace.from_content(content)
    attached = {lease: sorted(keys) for lease, keys in state.lease_keys.items()}
    return tuple(msgspec.structs.astuple(state.header)), dict(state.keys), dict(state.leases), attached


def fenced(folder: Path) -> dict[bytes, bytes]:
    """Return the records of a store whose writes are checked with fencing tokens."""
    with Store.open(folder / "place") as store:
        table = FencedTable(store)
        table.register_holder(b"t", 5)
        table.write(b"t", 9, 1, b"one")
        return dict(store.scan())


def fence_of(rows: Mapping[bytes, bytes]) -> tuple[object, ...]:
    """Return the state that a fenced table loads from these records."""

    def work(folder: Path) -> tuple[object, ...]:
        with create_store(folder / "place", rows) as store:
            table = FencedTable(store)
            return table.guard.highest_tokens, table.step_count(b"t"), table.entries(b"t")

    return with_store(work)


# -- requests of the protocol state machines


def sent_request(actions: Iterable[object]) -> Request:
    """Return the only request among these actions."""
    (send,) = (action for action in actions if isinstance(action, SendRequest))
    return send.request


def session() -> LeaseClient:
    """Return the client of a lease that has been granted."""
    client = LeaseClient(LeaseTerms(), 0.0, lambda: 77)
    client.tick(0.0)
    client.on_response(0.1, 1, LeaseResponse(1, 77, 6, 6))
    return client


def claims() -> dict[str, Request]:
    """Return the requests of a claim: acquire, check and release."""
    held = session()
    claim = held.claim(CLAIM_PREFIX + b"t", b"m1")
    wanted = sent_request(claim.tick(0.2))
    claim.on_response(0.3, TxnResponse(5, True, (PutResponse(5, None),)))
    look = sent_request(claim.tick(4.0))
    claim.on_response(4.1, TxnResponse(5, True, (RangeResponse(5, (), 0, False),)))
    claim.release(4.2)
    return {"claim-take": wanted, "claim-look": look, "claim-release": sent_request(claim.tick(4.2))}


def shares() -> dict[str, Request]:
    """Return the requests for a share of a budget: take the whole budget, and queue if nothing is left."""
    calls: dict[str, Request] = {}
    for name, others in (("budget-take", 0), ("budget-wish", TOTAL_UNITS)):
        share = BudgetShare(session(), Priority.IDLE.stored_name, "m1", lambda: 0.5)
        share.acquire(0.2)
        calls["budget-read"] = sent_request(share.tick(0.2))
        part = Record(msgspec.json.encode(StoredShare(others)), 3, 3, 1, 9)
        rows = ((BUDGETS + b"idle/part/m2", part), (BUDGETS + b"idle/register", Record(b"", 2, 4, 2, 0)))
        calls[name] = sent_request(share.on_response(0.3, RangeResponse(4, rows, 2, False)))
    return calls


def steps() -> dict[str, Request]:
    """Return the requests of the holder of a task: read its cursor, begin a step, confirm the step."""
    task = TaskProgress(Task("t", 5.0), 9, "m1", 0.0)
    read = sent_request(task.tick(0.0))
    cursor = Record(encode_cursor(Cursor(4, 0, 0, 8, "m2", False, 1)), 3, 6, 4, 0)
    task.on_response(0.1, 1, RangeResponse(6, ((CURSOR_PREFIX + b"t", cursor),), 1, False))
    begin = sent_request(task.tick(5.1))
    task.on_response(5.2, 2, TxnResponse(7, True, (PutResponse(7, None),)))
    return {"task-read": read, "task-begin": begin, "task-confirm": sent_request(task.step_succeeded(5.3, 5))}


COMPARES = (
    Compare(b"x", CompareTarget.VERSION, CompareOperator.EQUAL, 1),
    Compare(b"x", CompareTarget.CREATE, CompareOperator.GREATER, 2),
    Compare(b"x", CompareTarget.MOD, CompareOperator.LESS, 3),
    Compare(b"x", CompareTarget.LEASE, CompareOperator.NOT_EQUAL, 4),
    Compare(b"x", CompareTarget.VALUE, CompareOperator.EQUAL, b"\x00\xff"),
)
TXN = Txn(
    COMPARES,
    (Put(b"x", b"1", 77, True), DeleteRange(b"y", b"z", True), Range(b"z")),
    (Range(b"x", b"y", 5, 0, True, True),),
)
CALLS: dict[str, Request] = {
    "range": Range(b"x"),
    "range-all": Range(b"\xff", b"\0", 3, 7, True, True),
    "put": Put(b"x", b"\x00"),
    "put-lease": Put(b"x", b"", (1 << 63) - 1, True),
    "delete": DeleteRange(b"x"),
    "delete-range": DeleteRange(b"x", b"y", True),
    "txn": TXN,
    "grant": LeaseGrant(6, 77),
    "revoke": LeaseRevoke(77),
    "keepalive": LeaseKeepAlive(77),
    "timetolive": LeaseTimeToLive(77, True),
    "leases": LeaseList(),
    **claims(),
    **shares(),
    **steps(),
}


# -- responses

X, Y = Record(b"\x00\xff", 2, 9, 3, 77), Record(b"", 3, 3, 1, 0)
ANSWERS: dict[str, tuple[Request, Response]] = {
    "range": (Range(b"x", b"z"), RangeResponse(9, ((b"x", X), (b"y", Y)), 5, True)),
    "range-none": (Range(b"x"), RangeResponse(1, (), 0, False)),
    "put": (Put(b"x", b""), PutResponse(9, None)),
    "put-previous": (Put(b"x", b"", 0, True), PutResponse(9, X)),
    "delete": (DeleteRange(b"x", b"z", True), DeleteRangeResponse(9, 2, ((b"x", X), (b"y", Y)))),
    "txn": (
        TXN,
        TxnResponse(
            9,
            True,
            (PutResponse(9, X), DeleteRangeResponse(9, 0, ()), RangeResponse(9, ((b"z", Y),), 1, False)),
        ),
    ),
    "txn-failure": (TXN, TxnResponse(9, False, (RangeResponse(9, (), 2, False),))),
    "grant": (LeaseGrant(6), LeaseResponse(9, 77, 6, 6)),
    "revoke": (LeaseRevoke(77), LeaseResponse(9, 77, 0)),
    "keepalive": (LeaseKeepAlive(77), LeaseResponse(9, 77, 6, 0)),
    "timetolive": (LeaseTimeToLive(77, True), LeaseResponse(9, 77, 4, 6, (b"x", b"\xff"))),
    "timetolive-ended": (LeaseTimeToLive(77), LeaseResponse(9, 77, -1)),
    "leases": (LeaseList(), LeaseListResponse(9, (1, 77))),
}
EVENTS = (Event(b"x", X, None, 9), Event(b"y", Record(b"2", 3, 10, 2, 0), Y, 10), Event(b"x", None, X, 11))
BAD_CALLS: tuple[tuple[str, str], ...] = (
    ("/v3/kv/put", "{}"),
    ("/v3/kv/range", '{"key": "eA==", "revision": "99"}'),
    ("/v3/kv/range", '{"key": "eA==", "revision": "2"}'),
    ("/v3/kv/put", '{"key": "eA==", "lease": "5"}'), ("/v3/kv/txn", '{"success": [{}]}'),
    ("/v3/lease/grant", '{"TTL": "0"}'), ("/v3/lease/grant", '{"TTL": "6", "ID": "77"}'),
    ("/v3/lease/revoke", '{"ID": "5"}'),
)  # fmt: skip


def refusals() -> bytes:
    """Return the status and body of the error response for each status code and each of `BAD_CALLS`."""
    rows: list[tuple[object, ...]] = [
        ("", "", *encode_error(RequestError(code, "why"))) for code in StatusCode
    ]
    for path, body in BAD_CALLS:
        try:
            request = decode_request(path, body.encode())
            assert isinstance(request, Range | Put | DeleteRange | Txn | LeaseGrant | LeaseRevoke)
            Keyspace.from_content(changed()).apply(request)
        except RequestError as error:
            rows.append((path, body, *encode_error(error)))
    return b"[\n" + b",\n".join(json.dumps(row).encode() for row in rows) + b"\n]"


def refused(data: bytes) -> list[int]:
    """Return the codes of error responses as a client decodes them, and check that encoding restores them."""
    found = [(decode_error(status, body), status, body) for _, _, status, body in json.loads(data)]
    assert all(encode_error(error) == (status, body) for error, status, body in found)
    return [int(error.code) for error, _, _ in found]


class Recorder:
    """Replaces a client: records the request and returns no response."""

    async def call(self, request: Request) -> None:
        """Record the request."""
        self.request = request


def resized(names: str) -> bytes:
    """Return the record of the desired members that the operator's command writes."""
    recorder: Any = Recorder()
    asyncio.run(resize_group(recorder, names))
    assert recorder.request.key == DESIRED_MEMBERS_KEY
    return bytes(recorder.request.value)


FORMS: dict[str, Form] = {
    **{f"message-{name}.msgpack": as_message(message) for name, message in MESSAGES.items()},
    **{f"call-{name}.txt": as_request(request) for name, request in CALLS.items()},
    **{f"answer-{name}.json": as_response(*pair) for name, pair in ANSWERS.items()},
    "watch-events.json": Form(
        (11, EVENTS), lambda: encode_line(encode_events(HEADER, 11, EVENTS, with_previous=True)),
        lambda data: decode_events(json.loads(data)["result"]),
    ),
    "refusals.json": Form(
        [*map(int, StatusCode), 3, 11, 11, 5, 3, 3, 9, 5], refusals, refused
    ),
    "disk-names.msgpack": as_msgpack(MemberRecord("a", FIXED_TOKEN, "aa01", BALLOT, VERSION)),
    "disk-rows.json": as_rows(DURABLE, lambda: with_store(persisted_disk), durable_of),
    "disk-wiped.json": as_rows(DurableState(FIXED_TOKEN), lambda: with_store(erased_disk), durable_of),
    "group.json": as_rows(
        (
            {"a": "disk-a", "b": "disk-b", "c": "disk-c"},
            {name: Version(1, "a/disk-a", 3) for name in "abc"},
        ),
        founded, group_of,
    ),
    "state.json": as_rows(
        ((7, 1, 205), KEYS, {1: 6, 77: 10}, {1: [b"y"], 77: [b"held/t"]}), changed, state_of
    ),
    "fence.json": as_rows(({b"t": 9}, 1, [(9, b"one")]), lambda: with_store(fenced), fence_of),
    "wish.txt": Form(frozenset("abc"), lambda: resized("cab"), parse_member_names),
    "cursor.json": Form(c := Cursor(4, 5, 2, 9, "m1", True, 1), lambda: encode_cursor(c), decode_cursor),
    "cursor-new.json": Form(Cursor(), lambda: encode_cursor(Cursor()), decode_cursor),
    "budget-part.json": as_json(StoredShare(240)),
}  # fmt: skip
