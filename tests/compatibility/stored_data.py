"""Fixed values, and the files that the program writes for them.

The files in `stored/data` were written by `write` with the program at commit 60fa931; those in `input` were
written by hand.  They must never be regenerated for a refactoring: a difference means that the program reads
or writes another format.  Values are fixed, and counters replace the random numbers of the store, so all
files are identical each time.
"""

from __future__ import annotations

import asyncio
import json
import re
import secrets
import shutil
import tempfile
from contextlib import chdir
from itertools import count
from pathlib import Path
from typing import Any
from unittest.mock import patch

import msgspec
from click.testing import CliRunner
from immutables import Map

from heronreel.cli.__main__ import main
from heronreel.coordination.client import Client
from heronreel.coordination.keyspace import Keyspace
from heronreel.coordination.kv_service import DESIRED_MEMBERS_KEY
from heronreel.coordination.model import LeaseGrant, LeaseResponse, LeaseTimeToLive, Put, Request, Response
from heronreel.demo.runner import DemoState
from heronreel.emulator import model, result
from heronreel.experiments.scripts import script_from_incident, script_to_toml
from heronreel.experiments.table import ResultsTable, read_results
from heronreel.fleet import model as fleet
from heronreel.fleet.model import BudgetRule, Condition, Instance, OperationKind, Scope
from heronreel.leases.keys import CLAIM_PREFIX, CURSOR_PREFIX, PRESENCE_PREFIX
from heronreel.leases.tasks import Cursor, encode_cursor
from heronreel.metering.records import (
    TOTALS_KEY,
    ClosedPeriod,
    LedgerRecord,
    Totals,
    closed_period_key,
    ledger_key,
)
from heronreel.proxy.admin_api import AdminConnection, AdminServer
from heronreel.proxy.shared_state import Cordon, SharedState
from heronreel.store import Limits, Store
from heronreel.store.bloom_filter import BloomFilter
from heronreel.store.checksum import append_checksum
from heronreel.store.durable_note import encode_durable_note
from heronreel.store.log_format import FrameKind, SegmentHeader, encode_frame
from heronreel.store.log_reader import LogPosition
from heronreel.store.manifest import DamageEntry, Manifest, RunEntry, TableEntry, encode_manifest
from heronreel.store.operations import encode_operations
from heronreel.store.sstable_format import Footer, Index, TableHeader, encode_block

DATA = Path(__file__).parent / "stored" / "data"

# -- the store

STORE_ID = bytes(range(16))
SALT = 0x0123456789ABCDEF
OPERATIONS: list[tuple[bytes, bytes | None]] = [(b"a", b"one"), (b"b", None), (b"\xff\x00", b"")]
SEGMENT = SegmentHeader(STORE_ID, 7, 40, 1234, SALT, True)
FRAMES = [
    (FrameKind.FULL, 40, 72, encode_operations(OPERATIONS)),
    (FrameKind.FIRST, 41, 136, b"\x01\x00\x02\x00"),
    (FrameKind.MIDDLE, 41, 136, b"\x00\x00k"),
    (FrameKind.LAST, 41, 136, b"vw"),
    (FrameKind.MARK, 42, 256, b""),
]
TABLE = TableHeader(STORE_ID, 3, 1, 39, 2, SALT)
FOOTER = Footer(1, True, 3, 1, 143)
HASHES = [1, 2**40 + 77, 2**64 - 1]
INDEX = Index([80, 2**33], [b"a", b"\xff\x00"], BloomFilter.of(HASHES))
MANIFEST = Manifest(
    STORE_ID.hex(), 5, 4, 7, 40, [RunEntry(1, 39, [TableEntry(3, 191, "61", "ff00", 3, 1)])],
    [DamageEntry("00000002.table", 80, 63, "keys from a on", "the block's checksum does not hold")],
)  # fmt: skip
LIMITS = Limits(
    memtable_bytes=1400, segment_bytes=400, fragment_bytes=100, log_bytes=1200, block_bytes=120,
    table_bytes=200, step_bytes=128, sync_interval_bytes=256,
)  # fmt: skip


def encoders() -> dict[str, bytes]:
    """Return each part of the store's files as its encoder writes it for fixed values."""
    return {
        "segment.log": SEGMENT.encode() + b"".join(encode_frame(SALT, *frame) for frame in FRAMES),
        "header-and-block.table": TABLE.encode() + encode_block(OPERATIONS, SALT, 80),
        "footer.table": FOOTER.encode(SALT),
        "table.index": INDEX.encode(3, SALT),
        "MANIFEST": encode_manifest(MANIFEST),
        "sealed": append_checksum(b"a body", 5),
        "note": encode_durable_note(LogPosition(7, 4096)),
    }


def store_content() -> dict[bytes, bytes]:
    """Return the content of the store that `write_store` writes."""
    content = {b"key%02d" % number: b"%d:" % number + bytes(number) for number in range(1, 12) if number != 5}
    content |= {b"key%02d" % number: b"x" * 150 for number in (21, 22)}
    return content | {b"key03": b"again", b"large": bytes(range(256)), b"z\xff": b""}


def write_store(folder: Path) -> None:
    """Write a store as a killed process leaves it.

    It has runs, deletions, log segments and a batch in several frames.
    """
    numbers = count(1)
    salts = patch.object(secrets, "randbits", lambda bits: next(numbers) * SALT % 2**bits)
    names = patch.object(secrets, "token_hex", lambda size: STORE_ID.hex())
    with tempfile.TemporaryDirectory() as place, salts, names:
        with Store.open(place, limits=LIMITS) as store:
            for number in range(12):
                store.put(b"key%02d" % number, b"%d:" % number + bytes(number))
            store.delete(b"key05")
            for number in range(20, 23):
                store.put(b"key%02d" % number, b"x" * 150)
            store.delete(b"key00")
            store.maintain()
            with store.batch() as batch:
                batch.put(b"large", bytes(range(256)))
                batch.put(b"key03", b"again")
                batch.delete(b"key20")
            store.sync()
            store.put(b"z\xff", b"")
            shutil.copytree(place, folder)


# -- a proxy's shared state and its admin address

HOLDS = [Cordon("b1", 1700000000000.5), Cordon("zone/é", 1700000000000.0, 1700000001234.25)]
CALLS = [
    b"GET /admin/health HTTP/1.1\r\nHost: h\r\n\r\n",
    b"GET /admin/health?x=y HTTP/1.1\r\nHost: h\r\n\r\n",
    b"POST /admin/health HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
    b"POST /admin/cordon HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nb1\n",
    b"POST /admin/uncordon HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nb2",
    b"POST /admin/quiesce HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
    b"POST /admin/resume HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\ndisk",
    b"GET /admin/cordon HTTP/1.1\r\nHost: h\r\n\r\n",
    b"GET /nothing HTTP/1.1\r\nHost: h\r\n\r\n",
    b"nonsense\r\n\r\n",
    b"POST /admin/cordon HTTP/1.1\r\nHost: h\r\nContent-Length: 9999\r\n\r\n" + b"x" * 5000,
]


class RecordingTransport(asyncio.Transport):
    """A transport that records all written data."""

    def __init__(self) -> None:
        self.data = b""

    def write(self, data: Any) -> None:
        self.data += data

    def close(self) -> None:
        pass


def admin_responses() -> bytes:
    """Return every admin request with its response; the date is removed."""

    async def talk() -> bytes:
        output = b""
        healthy = iter((True, False))

        def order(name: str, backend: str) -> bool:
            if backend == "disk":
                raise OSError("full")
            return (name, backend) in (("cordon", "b1"), ("quiesce", ""))

        owner = AdminServer(asyncio.get_running_loop(), lambda: next(healthy), order)
        for call in CALLS:
            connection, transport = AdminConnection(owner), RecordingTransport()
            connection.connection_made(transport)
            connection.data_received(call)
            connection.connection_lost(None)
            output += b"> " + call[:72] + b"\n" + re.sub(rb"date: [^\r]*", b"date: *", transport.data) + b"\n"
        return output

    return asyncio.run(talk())


# -- the group's records

INSTANCES = (
    Instance(
        fleet.InstanceKind.PROXY, "p1", "a", "g", "", 2.0, Condition.SERVING, 1.0, "w1", "s1", 3, 4, "v1"
    ),
    Instance(fleet.InstanceKind.BACKEND, "n1", "b", "", "pool", 4.0, Condition.WARMING_UP, 0.25),
    Instance(fleet.InstanceKind.BACKEND, "n2", "b", "", "pool", 4.0, Condition.OUT_OF_SERVICE, 1.0, "gone"),
)
RULES = (
    BudgetRule("few", fleet.InstanceKind.BACKEND, Scope.ZONE, "b", 1, 0.5),
    BudgetRule("all", fleet.InstanceKind.PROXY, Scope.FLEET, "", None, 0.75),
)
PART = fleet.DisruptionClaim("backend/n2", "op1", "ada", "drain", 12, 5, 6)
HALT = fleet.Halt("ada", "smoke")
WORK = fleet.FleetOperation(
    "op1",
    OperationKind.UPGRADE,
    "ada",
    ("backend/n1", "backend/n2"),
    "v2",
    2,
    {"backend/n1": "running v2"},
    "",
)
CURSORS = {b"count": Cursor(4, 5, 2, 9, "w1", False, 1), b"sweep": Cursor(1, 2, 3, 7, "w2", True, 0)}
POSTED = LedgerRecord("p1", "a", 3, False, True, {"": (1, 2, 3, 4), "t1": (5, 0, 0, 0)}, 7)
SUMMED = Totals(6, {"t1": (1, 0, 0, 0)}, 2, {"t1": (10, 1, 0, 0)})
CLOSED = ClosedPeriod(6, 9, "w1", {"t1": (3, 0, 0, 1)}, 4, ("p9",))
# By lease: the remaining and the granted time to live in seconds.
LEFT = {11: (25, 30), 12: (3, 30), 13: (-1, 30)}
RECORDS: list[tuple[bytes, bytes, int]] = [
    (CLAIM_PREFIX + b"count", b"w1", 11),
    (CLAIM_PREFIX + b"fleet", b"ada", 13),
    (PRESENCE_PREFIX + b"w1", b"worker", 11),
    (PRESENCE_PREFIX + b"p1", b"proxy \xff", 12),
    *((CURSOR_PREFIX + name, encode_cursor(cursor), 0) for name, cursor in CURSORS.items()),
    (ledger_key("book1"), msgspec.json.encode(POSTED), 0),
    (TOTALS_KEY, msgspec.json.encode(SUMMED), 0),
    (closed_period_key(6), msgspec.json.encode(CLOSED), 0),
    *((instance.key, fleet.encode_record(instance), 0) for instance in INSTANCES),
    (fleet.RULES_KEY, fleet.encode_rules(RULES), 0),
    (PART.key, fleet.encode_record(PART), 0),
    (fleet.HALT_KEY, fleet.encode_record(HALT), 0),
    (fleet.OPERATION_KEY, fleet.encode_record(WORK), 0),
    (fleet.REVISION_KEY, b"rules", 0),
    (DESIRED_MEMBERS_KEY, b"a b c", 0),
]
HEALTH: dict[str, dict[str, Any]] = {
    "127.0.0.1:1": {"member": "a", "role": "leader", "disk": "d1", "version": [3, 1],
                    "disks": {"a": "d1", "b": "d2"}, "wish": ["a", "b", "c"]},
    "127.0.0.1:2": {"member": "b", "role": "follower", "disk": "d9"},
    "127.0.0.1:3": {},
}  # fmt: skip


def group_content() -> dict[bytes, bytes]:
    """Return the state of a group with all records, as a member writes it."""
    state = Keyspace.from_content(Map())
    content: dict[bytes, bytes] = {}
    requests: list[LeaseGrant | Put] = [LeaseGrant(30, lease) for lease in LEFT]
    for request in requests + [Put(key, value, lease) for key, value, lease in RECORDS]:
        done = state.apply(request)
        state = done.state
        content |= {name: value for name, value in done.writes if value is not None}
    return content


def lines_of(content: dict[bytes, bytes]) -> bytes:
    """Encode keys and values in hexadecimal, one pair per line."""
    return b"".join(b"%b %b\n" % (k.hex().encode(), v.hex().encode()) for k, v in sorted(content.items()))


def content_of(lines: bytes) -> dict[bytes, bytes]:
    """Decode the output of `lines_of`."""
    pairs = (line.split(" ") for line in lines.decode().splitlines())
    return {bytes.fromhex(name): bytes.fromhex(value) for name, value in pairs}


# -- experiments

SCRIPT = model.Rehearsal(
    "pinned", 2.0,
    model.FleetConfig(4, ["a", "b"], 2, 0.5, 0.7,
                      (model.NodeKind("medio", 1.0, 2, 1, 1.5), model.NodeKind("tiny", 0.5))),
    model.NetworkConfig(0.4, 10.0), model.ProxyConfig(2, 0.5), model.FrontEndConfig(1500.0),
    model.TrafficConfig(40.0, 0.25, "open", 50, 500.0, (model.TrafficPoint(0.5, 2.0),)),
    (model.RequestClass("save", 1.0, 60.0, "fixed"),),
    (model.Tenant("t1", 0.5, 2.0),), model.KeyDistribution(10),
    model.ClientConfig(2), model.EndpointListConfig(150.0),
    model.InvariantLimits(60.0), model.Prices(0.125), model.ScoreWeights(0.5, 0.25),
    (model.Fault("slow", 0.5, 1.0, 3.0, 0.0, ["n1"]), model.Fault("errors", 1.0, 0.5, 0.5, 0.5)),
)  # fmt: skip
INCIDENT = b"""{"at_s": 0.25, "what": "slow", "names": ["n1"], "for_s": 1.5, "size": 4.0}
{"event": "begins", "trouble": 1, "at_ms": 700.0, "names": ["n2"]}
{"event": "ends", "trouble": 1, "at_ms": 1100.0}
{"passed": "over"}
"""
RESULT = result.Result(
    "pinned", "random", 7, 2.0, {"whole": 0.5, "worst_window": 0.25, "worst_tenant": 0.75, "service": 0.5},
    {"handshake": 0.125}, 0.375, {"requests": 4, "late": 1, "refused": 0, "failed": 1},
    {"lost": 1, "twice": 0},
    {"p50": 1.5, "p99.9": 3.0}, {"attempts": 6.0, "handshakes": 2.0, "list_calls": 3.0}, 99,
    [{"second": 0, "asked": 1.0}], [{"event": "begins", "trouble": 0}],
    [{"rule": "lost", "at_ms": 5.0, "line": 3}], {"3": [{"at_ms": 1.0}]},
)  # fmt: skip
ROW = {
    "script": "s" * 16,
    "seed": 1,
    "policy": "random",
    "kept": True,
    "set proxies.idle_ms": "500",
    "score": 0.5,
}


def write_plays(folder: Path) -> None:
    """Write results of plays: a merged file, and a separate file of one play."""
    table = ResultsTable(folder)
    table.prepare()
    table.add("k1", ROW)
    table.add("k2", ROW | {"seed": 2, "p99": 12.5})
    table.merge_files()
    table.add("k3", ROW | {"seed": 3})


def shape(value: Any) -> Any:
    """Return the keys and the leaf types of a value; equal shapes in a list are listed once."""
    if isinstance(value, dict):
        return {key: shape(field) for key, field in value.items()}
    if isinstance(value, list):
        shapes = {json.dumps(shape(item)) for item in value}
        return [json.loads(item) for item in sorted(shapes)]
    return type(value).__name__


def shown(value: Any) -> bytes:
    """Return the value as JSON in the format of the files."""
    return json.dumps(value, indent=1).encode() + b"\n"


# -- the command line

GROUP = ("--members", "a=127.0.0.1:1,b=127.0.0.1:2,c=127.0.0.1:3", "--json")
COMMANDS: dict[str, tuple[str, ...]] = {
    "check": ("check", "one-route.toml", "two-routes.toml", "unsafe.toml", "wrong.toml", "none.toml",
              "--json"),
    "explain": ("explain", "one-route.toml", "post", "http://h/save/x?y", "-H", "X-A: b", "--json"),
    "explain-none": ("explain", "one-route.toml", "GET", "/else", "--json"),
    "explain-unsafe": ("explain", "unsafe.toml", "POST", "/save", "--json"),
    "verify": ("store", "verify", "store", "--json"),
    "stat": ("store", "stat", "store", "--json"),
    "dump": ("store", "dump", "store", "--json"),
    "dump-keys": ("store", "dump", "store", "--json", "--keys", "--prefix", "key0"),
    "repair": ("store", "repair", "store", "saved", "--json"),
    "verify-rotten": ("store", "verify", "rotten", "--json"),
    "stat-headless": ("store", "stat", "headless", "--json"),
    "compact-headless": ("store", "compact", "headless", "--json"),
    "repair-rotten": ("store", "repair", "rotten", "saved-too", "--json"),
    "stat-none": ("store", "stat", "none", "--json"),
    "verify-forgetful": ("store", "verify", "forgetful", "--json"),
    "stat-torn": ("store", "stat", "torn", "--json"),
    "repair-torn": ("store", "repair", "torn", "saved-of-torn", "--json"),
    "compact": ("store", "compact", "store", "--json"),
    "leases": ("leases", *GROUP),
    "leases-take": ("leases", *GROUP, "--take", "count"),
    "tasks": ("tasks", *GROUP),
    "tasks-again": ("tasks", *GROUP, "--again", "sweep"),
    "tasks-again-not": ("tasks", *GROUP, "--again", "count"),
    "members": ("members", *GROUP),
    "members-set": ("members", *GROUP, "--set", "c,a,b"),
    "counts": ("counts", *GROUP),
    "counts-forget": ("counts", *GROUP, "--forget", "book1"),
    "counts-forget-none": ("counts", *GROUP, "--forget", "book2"),
    "fleet-status": ("fleet", "status", *GROUP),
    "compare": ("rehearse", "compare", "five-a", "five-b", "--json"),
    "compare-few": ("rehearse", "compare", "plays", "plays", "--json"),
    "sweep": ("rehearse", "sweep", "script.toml", "--set", "proxies.idle_ms=500", "--seeds", "1..2", "--out",
              "out", "--workers", "1", "--json"),
    "sweep-again": ("rehearse", "sweep", "script.toml", "--set", "proxies.idle_ms=500", "--seeds", "1..3",
                    "--out", "out", "--workers", "1", "--json"),
}  # fmt: skip
DAMAGED_STORES = {
    "rotten": ("table", 90),
    "headless": ("table", 20),
    "forgetful": ("log", 110),
    "torn": ("log", 0),
}
"""Damaged stores: a bit flipped at an offset of the first file of a kind, or, for 0, bytes after the last."""
PLAY = ("rehearse", "play", "script.toml", "--alone", "--json", "--trace", "1", "--timeline", "timeline")


def prepare(folder: Path, source: Path) -> None:
    """Create the files that the commands read: those of `source`, damaged stores, and plays to compare."""
    for name in ("store", "plays"):
        shutil.copytree(source / name, folder / name)
    for path in [*(DATA / "input").iterdir(), source / "script.toml"]:
        shutil.copy(path, folder)
    for name, damage in DAMAGED_STORES.items():
        shutil.copytree(source / "store", folder / name)
        kind, offset = damage
        paths = sorted((folder / name).glob(f"*.{kind}"))
        path = paths[0 if offset else -1]
        data = bytearray(path.read_bytes())
        if offset:
            data[offset] ^= 1
        path.write_bytes(data if offset else data + b"a torn end")
    for name, score, whole in (("five-a", 0.5, 0.25), ("five-b", 0.75, 0.25)):
        table = ResultsTable(folder / name)
        table.prepare()
        for seed in range(5):
            more = {"seed": seed, "score": score, "whole": whole, "attempts_each": score + seed}
            table.add(f"k{seed}", ROW | more)


def commands(source: Path, content: dict[bytes, bytes]) -> dict[str, bytes]:
    """Return the output and exit code of each command on the files of `source` and the group `content`."""
    state = Keyspace.from_content(Map(content))

    async def ask(self: Client, request: Request, seconds: float = 3.0) -> Response:
        nonlocal state
        if isinstance(request, LeaseTimeToLive):
            return LeaseResponse(state.revision, request.id, *LEFT[request.id])
        done = state.apply(request)  # type: ignore[arg-type]
        state = done.state
        return done.response

    async def health(self: Client, address: str) -> dict[str, Any]:
        return HEALTH[address]

    patched_call = patch.object(Client, Client.call.__name__, ask)
    patched_health = patch.object(Client, Client.health.__name__, health)
    output: dict[str, bytes] = {}
    with tempfile.TemporaryDirectory() as folder, chdir(folder), patched_call, patched_health:
        prepare(Path(folder), source)
        for name, arguments in COMMANDS.items():
            state = Keyspace.from_content(Map(content))
            done = CliRunner().invoke(main, arguments)
            output[name] = f"{' '.join(arguments)}\nexit {done.exit_code}\n{done.stdout}".encode()
        done = CliRunner().invoke(main, PLAY)
        output["play-shape"] = shown(shape(json.loads(done.stdout)))
        rows = [json.loads(line) for line in Path("timeline").read_text().splitlines()]
        # The outcomes that the row of a second counts depend on the play, so they are left out.
        rows = [dict(list(row.items())[:4]) if "second" in row else row for row in rows]
        output["timeline-shape"] = shown(shape(rows))
        plays = read_results(Path("out"))
        output["sweep-rows-shape"] = shown([list(plays[0]), shape(plays)])
    return output


def write(folder: Path) -> None:
    """Write all files to an empty folder.

    They must not replace the committed files for a refactoring: see the docstring of the module.
    """
    folder = folder.resolve()
    files = {f"encoders/{name}": data for name, data in encoders().items()}
    files["operators.txt"] = admin_responses()
    files["group.state"] = lines_of(group_content())
    files["script.toml"] = script_to_toml(SCRIPT).encode()
    files["incident.toml"] = script_to_toml(script_from_incident(SCRIPT, INCIDENT)[0]).encode()
    files["result.jsonl"] = RESULT.json_lines() + shown(RESULT.table_row())
    files["demo.json"] = shown(DemoState(5.0).result())
    for name, data in files.items():
        (folder / name).parent.mkdir(parents=True, exist_ok=True)
        (folder / name).write_bytes(data)
    write_store(folder / "store")
    write_plays(folder / "plays")
    shared = SharedState(folder / "shared")
    for hold in HOLDS:
        shared.put(hold)
    shared.set_quiesced(True)
    (folder / "commands").mkdir()
    for name, data in commands(folder, group_content()).items():
        (folder / "commands" / f"{name}.txt").write_bytes(data)
