"""Cases of the data of metering, the disruption budget, agents and health checks.

See `stored_control.py` for the rules that apply to the cases.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
from aiohttp.test_utils import TestClient, TestServer

from heronreel.coordination.client import Client
from heronreel.coordination.gateway_server import encode_response
from heronreel.coordination.model import RangeResponse, Record, Request, TxnResponse
from heronreel.fleet.agent_client import AgentClient
from heronreel.fleet.agent_protocol import CommandRequest
from heronreel.fleet.agent_server import AgentServer
from heronreel.fleet.agent_settings import AgentSettings, AgentTable, InstanceTable
from heronreel.fleet.budget_transactions import halt_transaction, observation_transaction, rules_transaction
from heronreel.fleet.claim_requester import ClaimRequester
from heronreel.fleet.disruption_budget import READ_SNAPSHOT
from heronreel.fleet.lifecycle_messages import (
    Command,
    CommandResult,
    DesiredState,
    PersistedState,
    ProcessIdentity,
)
from heronreel.fleet.model import (
    REVISION_KEY,
    BudgetRule,
    Condition,
    DisruptionClaim,
    FleetOperation,
    Halt,
    Instance,
    InstanceKind,
    OperationKind,
    Scope,
    encode_record,
    encode_rules,
)
from heronreel.health.report import HealthReport, publish_request
from heronreel.health.report import decode_report as report_of
from heronreel.leases.keys import PRESENCE_PREFIX
from heronreel.metering.ledger import Page
from heronreel.metering.ledger_files import LEDGER_SUFFIX, LedgerDirectory
from heronreel.metering.ledger_format import LedgerHeader
from heronreel.metering.period_closing import PeriodClosing
from heronreel.metering.records import TOTALS_KEY, ClosedPeriod, LedgerRecord, Totals, ledger_key
from heronreel.metering.upload import LedgerUpload
from heronreel.serve.fleet import Presence
from heronreel.store import Store
from tests.compatibility.stored_forms import (
    FIXED_TOKEN,
    HEADER,
    Form,
    Server,
    as_json,
    as_msgpack,
    as_request,
    as_rows,
    create_store,
    with_store,
)
from tests.compatibility.stored_group import sent_request

COUNTS = {"": (1, 0, 0, 2), "gold": (5, 1, 0, 0)}
LEDGER_RECORD = LedgerRecord("p1", "etna", 3, False, True, COUNTS, 7)
TOTALS = Totals(8, {"gold": (1, 1, 1, 1)}, 2, {"": (9, 0, 0, 0)})
LEDGER_HEADER = LedgerHeader(FIXED_TOKEN, "p1", "etna", ("gold", "näm"))


def upload() -> dict[str, Request]:
    """Return the requests of a ledger upload: read, create the record, add a page."""
    ledger_upload = LedgerUpload(LEDGER_HEADER, 0, None, 1.0, 0.0)
    read = sent_request(ledger_upload.tick(0.0, False))
    nothing, total = (
        RangeResponse(4, (), 0, False),
        RangeResponse(4, ((TOTALS_KEY, Record(b"{}", 2, 3, 1, 0)),), 1, False),
    )
    make = sent_request(ledger_upload.on_response(0.1, 1, TxnResponse(4, True, (nothing, total))))
    ledger_upload = LedgerUpload(
        LEDGER_HEADER, 2, Page(3, COUNTS), 1.0, 0.0, registered=True, pending_is_last=True
    )
    ledger_upload.tick(0.0, False)
    record = Record(msgspec.json.encode(LedgerRecord("p1", "etna", 2, True, False, {}, 6)), 5, 9, 2, 0)
    found = RangeResponse(9, ((ledger_key(FIXED_TOKEN), record),), 1, False)
    put = sent_request(ledger_upload.on_response(0.1, 1, TxnResponse(9, True, (found, total))))
    return {"count-read": read, "count-make": make, "count-put": put}


def period_closing() -> dict[str, Request]:
    """Return the requests of the task that closes periods: read, aggregate pages, close a period."""
    calls: dict[str, Request] = {}
    for name, aggregated in (("count-take", False), ("count-close", True)):
        closing = PeriodClosing(100, 12, "m1", ["p2"])
        total = closing.next_request()
        closing.on_response(
            RangeResponse(9, ((TOTALS_KEY, Record(msgspec.json.encode(TOTALS), 3, 8, 2, 0)),), 1, False)
        )
        ledgers = closing.next_request()
        rows = tuple(
            (ledger_key(ident), Record(msgspec.json.encode(record), 5, 9, 2, 0))
            for ident, record in (
                ("b1", LedgerRecord("p1", "etna", 3, aggregated, False, COUNTS)),
                ("b2", LedgerRecord("p1", "", 4, aggregated, True)),
            )
        )  # fmt: skip
        closing.on_response(RangeResponse(9, rows, 2, False))
        step = closing.next_request()
        assert total is not None and ledgers is not None and step is not None
        calls |= {"count-sum": total, "count-books": ledgers, name: step}
    return calls


RULES = (
    BudgetRule("most", InstanceKind.PROXY, Scope.ZONE, "etna", 2, 0.5),
    BudgetRule("least", InstanceKind.BACKEND),
)
INSTANCE = Instance(
    InstanceKind.PROXY, "p1", "etna", "edge", "web", 4.0, Condition.WARMING_UP, 0.25, "m1", "81.9",
    (1 << 32) + 5, 9, "2",
)  # fmt: skip
CLAIM = DisruptionClaim("proxy/p1", "op1", "ann", "drain", 9, 11, 40)
HALT = Halt("ann", "smoke")
OPERATION = FleetOperation(
    "op1", OperationKind.RESTART, "ann", ("proxy/p1", "proxy/p2"), "2", 3, {"proxy/p1": "running 2"}, "done"
)


def claiming() -> dict[str, Request]:
    """Return the requests of an operation on an instance: acquire the claim, release it."""
    serving = Instance(InstanceKind.PROXY, "p1", "", "", "", 1.0, Condition.SERVING, 1.0, "", "", 12, 9)
    instance = ((serving.key, Record(encode_record(serving), 3, 3, 1, 0)),)
    revision = RangeResponse(5, ((REVISION_KEY, Record(b"look", 2, 5, 3, 0)),), 1, False)
    none, there = RangeResponse(5, (), 0, False), RangeResponse(5, instance, 1, False)
    claim = RangeResponse(5, ((CLAIM.key, Record(encode_record(CLAIM), 4, 4, 1, 0)),), 1, False)
    acquire, release = (ClaimRequester("op1", "ann", "drain", 9, ("proxy/p1",)) for _ in range(2))
    acquire.acquire(0.0)
    release.release(0.0, "proxy/p1", 11)
    free = TxnResponse(5, True, (revision, none, there, none, none, none))
    claimed = TxnResponse(5, True, (revision, none, there, claim, none, none))
    return {
        "fleet-take": sent_request(acquire.response_received(0.1, 1, free)),
        "fleet-give": sent_request(release.response_received(0.1, 1, claimed)),
    }


REPORT = HealthReport(5, "p1", 9, 40, (("web", "b1"), ("web", "b2")))
CALLS: dict[str, Request] = {
    **upload(), **period_closing(), **claiming(),
    "fleet-read": READ_SNAPSHOT, "fleet-halt": halt_transaction(HALT), "fleet-resume": halt_transaction(None),
    "fleet-look": observation_transaction(40, INSTANCE),
    "fleet-rules": rules_transaction(RULES),
    "probe": publish_request("etna", REPORT),
}  # fmt: skip


# -- ledger files


def ledger_file() -> bytes:
    """Return the file of a ledger with a confirmed, a sealed and an open page, and a response in flight."""

    def work(folder: Path) -> bytes:
        opened = LedgerDirectory(folder).create("p1", "etna", ("gold", "näm"))
        ledger, path = opened.ledger, opened.path
        assert path.name == FIXED_TOKEN + LEDGER_SUFFIX
        for tenants in (("gold",), ("gold", "", "gold", "näm")):
            for kind, tenant in enumerate(tenants):
                ledger.settle(ledger.begin(tenant), kind)
            if tenants == ("gold",):
                ledger.mark_registered()
                ledger.confirm_page(ledger.seal_page().number)
        ledger.mark_last_page()
        ledger.seal_page()
        ledger.settle(ledger.begin("nobody's"), 0)
        ledger.begin("gold")
        opened.close()
        return path.read_bytes()

    return with_store(work)


LEDGER = (
    LEDGER_HEADER, 3, 1, True, True, [0, 1, 0], {"": (1, 0, 0, 0)},
    Page(2, {"": (0, 1, 0, 0), "gold": (1, 0, 1, 0), "näm": (0, 0, 0, 1)}),
)  # fmt: skip


def ledger_of(data: bytes) -> tuple[object, ...]:
    """Return the state of a ledger that is adopted from this file."""

    def work(folder: Path) -> tuple[object, ...]:
        (folder / (FIXED_TOKEN + LEDGER_SUFFIX)).write_bytes(data)
        (opened,), _ = LedgerDirectory(folder).adopt_orphans()
        ledger = opened.ledger
        flags = ledger.registered, ledger.is_complete
        pages = ledger.open_page, ledger.confirmed_page
        counts = list(ledger.in_flight()), ledger.open_counts(), ledger.pending_page()
        state = ledger.header, *pages, *flags, *counts
        opened.close()
        return state

    return with_store(work)


# -- agents and their commands


def commanded(request: CommandRequest) -> bytes:
    """Return the body of a command to an agent, whose address is in its presence record."""

    async def talk() -> bytes:
        async with Server({"/order": b'{"taken": true, "number": 9, "looked": 4}'}) as server:
            presence = json.dumps({"kind": "agent", "version": "0.2.0", "address": server.address}).encode()
            found = RangeResponse(3, ((PRESENCE_PREFIX + b"m1", Record(presence, 3, 3, 1, 7)),), 1, False)
            server.answers["/v3/kv/range"] = json.dumps(encode_response(HEADER, found)).encode()
            command = Command(request.fencing_token, request.sequence, request.desired_state, request.version)
            async with Client([server.address]) as client, aiohttp.ClientSession() as session:
                result = await AgentClient(client, session).send(INSTANCE, command)
                assert result == CommandResult(True, 9, 4)
            path, body = server.calls[-1]
            assert path == "/order"
            return body

    return asyncio.run(talk())


def agent_settings(folder: Path) -> AgentSettings:
    """Return settings with one instance whose program is never started."""
    table = AgentTable("m1", str(folder), "127.0.0.1:1", ("127.0.0.1:1",))
    return AgentSettings(table, {"2": ("true",)}, (InstanceTable("p1", "127.0.0.1:1", "", "etna", "edge"),))


ORDERS = (
    b'{"instance":"p1","number":9,"order":3,"want":"stopped","version":"2"}',
    b'{"instance":"p1","number":8,"order":4,"want":"running"}',
    b'{"instance":"p1","number":9,"order":0,"want":"running"}',
    b'{"instance":"p1","number":9,"order":4,"want":"running","version":"7"}',
    b'{"instance":"p2","number":9,"order":4,"want":"drained"}',
)


def agent_run(folder: Path) -> tuple[str, dict[bytes, bytes]]:
    """Return an agent's responses to `ORDERS` and to a status request, and its records afterwards."""

    async def talk() -> tuple[str, dict[bytes, bytes]]:
        with Store.open(folder / "orders") as store:
            server = AgentServer(agent_settings(folder), store)
            app = server.runner.app
            assert app is not None
            lines = []
            async with TestClient(TestServer(app, host="127.0.0.1")) as client:
                for order in ORDERS:
                    async with client.post("/order", data=order) as response:
                        lines.append(f"{response.status} {await response.text()}")
                async with client.get("/status") as response:
                    lines.append(f"{response.status} {await response.text()}")
            for supervisor in server.supervisors.values():
                supervisor.close()
            return "\n".join(lines), dict(store.scan())

    return asyncio.run(talk())


def agent_answers() -> bytes:
    """Return the status and body of each response of the agent."""
    return with_store(agent_run)[0].encode()


def agent_disk(folder: Path) -> dict[bytes, bytes]:
    """Return the agent's records after `ORDERS`."""
    return agent_run(folder)[1]


def agent_of(rows: Mapping[bytes, bytes]) -> tuple[PersistedState, int]:
    """Return the state of an agent that starts with these records."""

    async def talk(folder: Path) -> tuple[PersistedState, int]:
        with create_store(folder / "orders", rows) as store:
            lifecycle = AgentServer(agent_settings(folder), store).supervisors["p1"].lifecycle
            return lifecycle.durable_state, lifecycle.observation_count

    return with_store(lambda folder: asyncio.run(talk(folder)))


def parse_responses(data: bytes) -> list[tuple[int, Any]]:
    """Parse the status and body of each response from the file of an agent's responses."""
    lines = (line.split(b" ", 1) for line in data.splitlines())
    return [(int(status), json.loads(body)) for status, body in lines]


AGENT_ANSWERS: list[tuple[int, Any]] = [
    (200, {"taken": True, "number": 9, "looked": 1 << 32}),
    (409, {"taken": False, "number": 9, "looked": 1 << 32}),
    (400, {"error": "expected a number and an order from 1"}),
    (400, {"error": "version '7' is none of 2"}),
    (404, {"error": "no instance 'p2' here"}),
    (200, {"p1": {
        "condition": "out", "stage": "none", "why": "", "want": "stopped", "version": "2", "number": 9,
        "order": 3, "process": None,
    }}),
]  # fmt: skip


FORMS: dict[str, Form] = {
    **{f"call-{name}.txt": as_request(request) for name, request in CALLS.items()},
    "presence.json": as_json(Presence("proxy", "etna", "127.0.0.1:80", "0.2.0", FIXED_TOKEN, 81)),
    "book.bin": Form(LEDGER, ledger_file, ledger_of),
    "posted.json": as_json(LEDGER_RECORD), "posted-least.json": as_json(LedgerRecord("p1")),
    "sum.json": as_json(TOTALS), "sum-empty.json": as_json(Totals()),
    "closed.json": as_json(ClosedPeriod(9, 12, "m1", COUNTS, 2, ("p2", "p3"))),
    "closed-least.json": as_json(ClosedPeriod(9, 12, "m1")),
    "fleet-instance.json": as_json(INSTANCE, encode_record),
    "fleet-instance-least.json": as_json(Instance(InstanceKind.BACKEND, "b1"), encode_record),
    "fleet-part.json": as_json(CLAIM, encode_record), "fleet-halt.json": as_json(HALT, encode_record),
    "fleet-work.json": as_json(OPERATION, encode_record),
    "fleet-work-least.json": as_json(FleetOperation("op1", OperationKind.DRAIN, "ann", ()), encode_record),
    "fleet-rules.json": Form(
        RULES, lambda: encode_rules(RULES),
        lambda data: msgspec.json.decode(data, type=tuple[BudgetRule, ...]),
    ),
    "agent-rows.json": as_rows(
        (PersistedState(9, 3, DesiredState.STOPPED, "2"), 2 << 32), lambda: with_store(agent_disk), agent_of
    ),
    "agent-kept.msgpack": as_msgpack(
        PersistedState(9, 3, DesiredState.DRAINED, "2", ProcessIdentity(81, 9, "2"))
    ),
    "agent-kept-new.msgpack": as_msgpack(PersistedState()),
    "agent-order.json": as_json(CommandRequest("p1", 9, 3, DesiredState.RUNNING, "2"), commanded),
    "agent-answers.txt": Form(AGENT_ANSWERS, agent_answers, parse_responses),
    "probe-report.json": Form(REPORT, lambda: msgspec.json.encode(REPORT), report_of),
    "probe-report-least.json": as_json(HealthReport(1, "p1", 9)),
}  # fmt: skip
