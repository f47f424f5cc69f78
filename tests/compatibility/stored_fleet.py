"""Cases of what counting, the fleet's account, agents and probers store and send.

See `stored_control.py`.
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

from heronreel.coordination.gateway import answer_of
from heronreel.coordination.model import Put, RangeResponse, Record, Request, TxnResponse
from heronreel.fleet.account import READ, Account
from heronreel.fleet.agent import Kept, Process, Want
from heronreel.fleet.controller import Controller
from heronreel.fleet.machine import AgentTable, InstanceRow, Machine
from heronreel.fleet.model import (
    REGISTER,
    RULES,
    Condition,
    Halt,
    Instance,
    Kind,
    Part,
    Rule,
    Scope,
    Verb,
    Work,
    encoded,
    rules_encoded,
)
from heronreel.fleet.serving import Serving, Told
from heronreel.fleet.step import Said, Tell
from heronreel.fleet.taking import Taking, changing, halting, told
from heronreel.health.report import Report, telling
from heronreel.health.report import decoded as report_of
from heronreel.leases.keys import PRESENCE_PREFIX
from heronreel.metering.book import Head as BookHead
from heronreel.metering.book import Page
from heronreel.metering.closing import Closing
from heronreel.metering.files import ENDING, Shelf
from heronreel.metering.posting import Posting
from heronreel.metering.records import SUM, Closed, Posted, Sum, book_key
from heronreel.serve.fleet import Presence
from heronreel.store import Store
from tests.compatibility.stored_forms import (
    DRAWN,
    HEADER,
    Form,
    Server,
    as_call,
    as_json,
    as_msgpack,
    as_rows,
    stored,
    with_store,
)
from tests.compatibility.stored_group import asked

COUNTS = {"": (1, 0, 0, 2), "gold": (5, 1, 0, 0)}
POSTED = Posted("p1", "etna", 3, False, True, COUNTS, 7)
TOTAL = Sum(8, {"gold": (1, 1, 1, 1)}, 2, {"": (9, 0, 0, 0)})
BOOK_HEAD = BookHead(DRAWN, "p1", "etna", ("gold", "näm"))


def posting() -> dict[str, Request]:
    """What a book asks: read, make its record, put a page."""
    post = Posting(BOOK_HEAD, 0, None, 1.0, 0.0)
    read = asked(post.tick(0.0, False))
    nothing, total = (
        RangeResponse(4, (), 0, False),
        RangeResponse(4, ((SUM, Record(b"{}", 2, 3, 1, 0)),), 1, False),
    )
    make = asked(post.answered(0.1, 1, TxnResponse(4, True, (nothing, total))))
    post = Posting(BOOK_HEAD, 2, Page(3, COUNTS), 1.0, 0.0, registered=True, last=True)
    post.tick(0.0, False)
    record = Record(msgspec.json.encode(Posted("p1", "etna", 2, True, False, {}, 6)), 5, 9, 2, 0)
    found = RangeResponse(9, ((book_key(DRAWN), record),), 1, False)
    put = asked(post.answered(0.1, 1, TxnResponse(9, True, (found, total))))
    return {"count-read": read, "count-make": make, "count-put": put}


def closing() -> dict[str, Request]:
    """What the task that closes periods asks: read, take pages, close a period."""
    calls: dict[str, Request] = {}
    for name, taken in (("count-take", False), ("count-close", True)):
        close = Closing(100, 12, "m1", ["p2"])
        total = close.next()
        close.answered(RangeResponse(9, ((SUM, Record(msgspec.json.encode(TOTAL), 3, 8, 2, 0)),), 1, False))
        books = close.next()
        rows = tuple(
            (book_key(ident), Record(msgspec.json.encode(posted), 5, 9, 2, 0))
            for ident, posted in (
                ("b1", Posted("p1", "etna", 3, taken, False, COUNTS)),
                ("b2", Posted("p1", "", 4, taken, True)),
            )
        )  # fmt: skip
        close.answered(RangeResponse(9, rows, 2, False))
        step = close.next()
        assert total is not None and books is not None and step is not None
        calls |= {"count-sum": total, "count-books": books, name: step}
    return calls


ALLOWED = (Rule("most", Kind.PROXY, Scope.ZONE, "etna", 2, 0.5), Rule("least", Kind.BACKEND))
INSTANCE = Instance(
    Kind.PROXY, "p1", "etna", "edge", "web", 4.0, Condition.COLD, 0.25, "m1", "81.9",
    (1 << 32) + 5, 9, "2",
)  # fmt: skip
PART = Part("proxy/p1", "op1", "ann", "drain", 9, 11, 40)
HALTED = Halt("ann", "smoke")
WORK = Work("op1", Verb.RESTART, "ann", ("proxy/p1", "proxy/p2"), "2", 3, {"proxy/p1": "running 2"}, "done")


def taking() -> dict[str, Request]:
    """What an operation on an instance asks: take its part, give it back."""
    serving = Instance(Kind.PROXY, "p1", "", "", "", 1.0, Condition.SERVING, 1.0, "", "", 12, 9)
    instance = ((serving.key, Record(encoded(serving), 3, 3, 1, 0)),)
    register = RangeResponse(5, ((REGISTER, Record(b"look", 2, 5, 3, 0)),), 1, False)
    none, there = RangeResponse(5, (), 0, False), RangeResponse(5, instance, 1, False)
    part = RangeResponse(5, ((PART.key, Record(encoded(PART), 4, 4, 1, 0)),), 1, False)
    take, give = (Taking("op1", "ann", "drain", 9, ("proxy/p1",)) for _ in range(2))
    take.take(0.0)
    give.give(0.0, "proxy/p1", 11)
    free = TxnResponse(5, True, (register, none, there, none, none, none))
    taken = TxnResponse(5, True, (register, none, there, part, none, none))
    return {
        "fleet-take": asked(take.answered(0.1, 1, free)), "fleet-give": asked(give.answered(0.1, 1, taken)),
    }  # fmt: skip


REPORT = Report(5, "p1", 9, 40, (("web", "b1"), ("web", "b2")))
CALLS: dict[str, Request] = {
    **posting(), **closing(), **taking(),
    "fleet-read": READ, "fleet-halt": halting(HALTED), "fleet-resume": halting(None),
    "fleet-look": told(40, INSTANCE),
    "fleet-rules": changing(None, b"rules", Put(RULES, rules_encoded(ALLOWED))),
    "probe": telling("etna", REPORT),
}  # fmt: skip


# -- books of counts


def book() -> bytes:
    """The file of a book with a confirmed, a sealed and an open page and an answer under way."""

    def work(folder: Path) -> bytes:
        opened = Shelf(folder).make("p1", "etna", ("gold", "näm"))
        found, path = opened.book, opened.path
        assert path.name == DRAWN + ENDING
        for tenants in (("gold",), ("gold", "", "gold", "näm")):
            for kind, tenant in enumerate(tenants):
                found.settle(found.begin(tenant), kind)
            if tenants == ("gold",):
                found.register()
                found.confirm(found.seal().number)
        found.end()
        found.seal()
        found.settle(found.begin("nobody's"), 0)
        found.begin("gold")
        opened.close()
        return path.read_bytes()

    return with_store(work)


BOOK = (
    BOOK_HEAD, 3, 1, True, True, [0, 1, 0], {"": (1, 0, 0, 0)},
    Page(2, {"": (0, 1, 0, 0), "gold": (1, 0, 1, 0), "näm": (0, 0, 0, 1)}),
)  # fmt: skip


def book_of(data: bytes) -> tuple[object, ...]:
    """What whoever takes over a book finds in it."""

    def work(folder: Path) -> tuple[object, ...]:
        (folder / (DRAWN + ENDING)).write_bytes(data)
        (opened,), _ = Shelf(folder).orphans()
        b = opened.book
        flags = b.registered, b.ended
        all_of_it = b.head, b.number, b.confirmed, *flags, list(b.under_way()), b.counted(), b.sealed()
        opened.close()
        return all_of_it

    return with_store(work)


# -- an agent, and what is sent to it


def ordered(order: Told) -> bytes:
    """The body with which a controller tells an agent an order; the agent's address is in its presence."""

    async def talk() -> bytes:
        async with Server({"/order": b'{"taken": true, "number": 9, "looked": 4}'}) as server:
            presence = json.dumps({"kind": "agent", "version": "0.2.0", "address": server.address}).encode()
            found = RangeResponse(3, ((PRESENCE_PREFIX + b"m1", Record(presence, 3, 3, 1, 7)),), 1, False)
            server.answers["/v3/kv/range"] = json.dumps(answer_of(HEADER, found)).encode()
            controller = Controller([server.address], "ann")
            controller.account = Account(0, (), {INSTANCE.ident: INSTANCE}, {})
            async with aiohttp.ClientSession() as controller.session:
                tell = Tell(order.order, order.want, order.version)
                assert await controller._tell(INSTANCE.ident, order.number, tell) == Said(True, 9, 4)
            await controller.client.close()
            path, body = server.calls[-1]
            assert path == "/order"
            return body

    return asyncio.run(talk())


def machine(folder: Path) -> Machine:
    """One instance whose program is never started."""
    table = AgentTable("m1", str(folder), "127.0.0.1:1", ("127.0.0.1:1",))
    return Machine(table, {"2": ("true",)}, (InstanceRow("p1", "127.0.0.1:1", "", "etna", "edge"),))


ORDERS = (
    b'{"instance":"p1","number":9,"order":3,"want":"stopped","version":"2"}',
    b'{"instance":"p1","number":8,"order":4,"want":"running"}',
    b'{"instance":"p1","number":9,"order":0,"want":"running"}',
    b'{"instance":"p1","number":9,"order":4,"want":"running","version":"7"}',
    b'{"instance":"p2","number":9,"order":4,"want":"drained"}',
)


def agent_run(folder: Path) -> tuple[str, dict[bytes, bytes]]:
    """An agent's answers to `ORDERS` and to a question for its status, and its disk after them."""

    async def talk() -> tuple[str, dict[bytes, bytes]]:
        with Store.open(folder / "orders") as store:
            serving = Serving(machine(folder), store)
            app = serving.runner.app
            assert app is not None
            lines = []
            async with TestClient(TestServer(app, host="127.0.0.1")) as client:
                for order in ORDERS:
                    async with client.post("/order", data=order) as answer:
                        lines.append(f"{answer.status} {await answer.text()}")
                async with client.get("/status") as answer:
                    lines.append(f"{answer.status} {await answer.text()}")
            for owner in serving.owners.values():
                assert owner.timer is not None
                owner.timer.cancel()
            return "\n".join(lines), dict(store.scan())

    return asyncio.run(talk())


def agent_answers() -> bytes:
    """Status and body of each of the agent's answers."""
    return with_store(agent_run)[0].encode()


def agent_disk(folder: Path) -> dict[bytes, bytes]:
    """The agent's records after `ORDERS`."""
    return agent_run(folder)[1]


def agent_of(rows: Mapping[bytes, bytes]) -> tuple[Kept, int]:
    """What an agent knows that begins with these records."""

    async def talk(folder: Path) -> tuple[Kept, int]:
        with stored(folder / "orders", rows) as store:
            core = Serving(machine(folder), store).owners["p1"].core
            return core.kept_record, core.looked

    return with_store(lambda folder: asyncio.run(talk(folder)))


def answers_told(data: bytes) -> list[tuple[int, Any]]:
    """Status and body of each answer, of such a file."""
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
    **{f"call-{name}.txt": as_call(request) for name, request in CALLS.items()},
    "presence.json": as_json(Presence("proxy", "etna", "127.0.0.1:80", "0.2.0", DRAWN, 81)),
    "book.bin": Form(BOOK, book, book_of),
    "posted.json": as_json(POSTED), "posted-least.json": as_json(Posted("p1")),
    "sum.json": as_json(TOTAL), "sum-empty.json": as_json(Sum()),
    "closed.json": as_json(Closed(9, 12, "m1", COUNTS, 2, ("p2", "p3"))),
    "closed-least.json": as_json(Closed(9, 12, "m1")),
    "fleet-instance.json": as_json(INSTANCE, encoded),
    "fleet-instance-least.json": as_json(Instance(Kind.BACKEND, "b1"), encoded),
    "fleet-part.json": as_json(PART, encoded), "fleet-halt.json": as_json(HALTED, encoded),
    "fleet-work.json": as_json(WORK, encoded),
    "fleet-work-least.json": as_json(Work("op1", Verb.DRAIN, "ann", ()), encoded),
    "fleet-rules.json": Form(
        ALLOWED, lambda: rules_encoded(ALLOWED),
        lambda data: msgspec.json.decode(data, type=tuple[Rule, ...]),
    ),
    "agent-rows.json": as_rows(
        (Kept(9, 3, Want.STOPPED, "2"), 2 << 32), lambda: with_store(agent_disk), agent_of
    ),
    "agent-kept.msgpack": as_msgpack(Kept(9, 3, Want.DRAINED, "2", Process(81, 9, "2"))),
    "agent-kept-new.msgpack": as_msgpack(Kept()),
    "agent-order.json": as_json(Told("p1", 9, 3, Want.RUNNING, "2"), ordered),
    "agent-answers.txt": Form(AGENT_ANSWERS, agent_answers, answers_told),
    "probe-report.json": Form(REPORT, lambda: msgspec.json.encode(REPORT), report_of),
    "probe-report-least.json": as_json(Report(1, "p1", 9)),
}  # fmt: skip
