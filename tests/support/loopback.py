"""Peers on loopback sockets for tests: discovery, backends whose every byte a test decides, and clients.

Nothing here waits for a stretch of time; every wait is for bytes, a connection or its end, and LIMIT only
keeps a broken proxy from holding the suite up.
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
import sys
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import ExitStack, asynccontextmanager, contextmanager, suppress
from pathlib import Path
from typing import Any, Self

ROOT = Path(__file__).parents[2]
LIMIT = 60.0
BEAT_S = 1.0  # between two empty lines of a watch
SETTINGS: dict[str, Any] = {
    "Balancers": 1,
    "Categories": [
        {
            "Name": "save", "OnTimeMs": 1500.0, "HardLimitMs": 6000.0, "Worth": 1.0, "LateWorth": 0.5,
            "Effect": "deduplicated", "DedupScope": "cell", "RepeatWindowMs": 5000.0,
        },
        {"Name": "read", "OnTimeMs": 1500.0, "HardLimitMs": 6000.0, "Effect": "idempotent"},
    ],
    "Discovery": "ask",
    "FailureDomains": ["a"],
    "Zone": "a",
    "Limits": {"MostTries": 4, "ConnectTimeoutMs": 1000.0, "ConnIdleMs": 15000.0},
    "Rules": {"MustAskInMs": 800.0, "DrainGraceMs": 500.0},
}  # fmt: skip
SYN_SENT = "02"  # in the kernel's table
Talk = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Listener:
    """A server on an ephemeral port; `talk` is one connection's whole life."""

    def __init__(self, talk: Talk, narrow: bool = False) -> None:
        self.talk = talk
        self.narrow = narrow  # the kernels on both sides hold little that is not read
        self.address = ""
        self.opened = 0
        self.writers: list[asyncio.StreamWriter] = []
        self.ends: dict[asyncio.StreamWriter, asyncio.Event] = {}

    async def __aenter__(self) -> Self:
        listener = socket.create_server(("127.0.0.1", 0))
        if self.narrow:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 536)
        limit = 4096 if self.narrow else 65536
        self.server = await asyncio.start_server(self._serve, sock=listener, limit=limit)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        self.writers.append(writer)
        self.ends[writer] = asyncio.Event()
        with suppress(OSError, asyncio.IncompleteReadError):
            await self.talk(reader, writer)
        self.ends[writer].set()

    async def ended(self) -> None:
        """The newest connection has ended."""
        await self.ends[self.writers[-1]].wait()

    async def __aexit__(self, *_: object) -> None:
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


async def head_of(reader: asyncio.StreamReader) -> dict[str, str]:
    """One head: its first line under "", header names in lower case."""
    first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")[:-2]
    parts = (line.partition(":") for line in lines)
    return {"": first} | {name.lower(): value.strip() for name, _, value in parts}


async def request_of(reader: asyncio.StreamReader) -> tuple[dict[str, str], bytes]:
    head = await head_of(reader)
    return head, await reader.readexactly(int(head.get("content-length", "0")))


def ok(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


class Backend(Listener):
    """Answers each request with what `reply` makes of it; None says nothing."""

    def __init__(self, reply: Callable[[dict[str, str], bytes], bytes | None] | None = None) -> None:
        super().__init__(self._answer)
        self.reply = reply or (lambda head, body: ok(head["x-request-id"].encode()))
        self.seen: list[str] = []
        self.carriers: dict[str, asyncio.StreamWriter] = {}  # by request, for a later answer
        self.asked = asyncio.Event()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head, body = await request_of(reader)
            self.seen.append(head["x-request-id"])
            self.carriers[head["x-request-id"]] = writer
            self.asked.set()
            answer = self.reply(head, body)
            if answer is not None:
                writer.write(answer)


def entry(name: str, address: str, status: str = "active", group: int = 0) -> dict[str, Any]:
    return {"name": name, "address": address, "zone": "a", "group": group, "status": status, "since_ms": 0}


class Discovery(Listener):
    """Watches get `entries` as a whole list; more is told with `change`."""

    def __init__(self, *entries: dict[str, Any]) -> None:
        super().__init__(self._watch)
        self.entries = list(entries)
        self.watched = asyncio.Event()

    async def _watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await head_of(reader)
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(head + self._line(True, self.entries))
        self.watched.set()
        while not reader.at_eof():  # as the platform's: a line a while, so that silence means a broken watch
            with suppress(TimeoutError):
                await asyncio.wait_for(reader.read(1), BEAT_S)
            writer.write(b"1\r\n\n\r\n")

    def _line(self, whole: bool, entries: list[dict[str, Any]]) -> bytes:
        line = json.dumps({"index": 7, "snapshot": whole, "endpoints": entries}).encode() + b"\n"
        return b"%x\r\n%b\r\n" % (len(line), line)

    def change(self, *entries: dict[str, Any]) -> None:
        changed = {told["name"]: told for told in (*self.entries, *entries)}
        self.entries = [told for told in changed.values() if told["status"] != "left"]
        for writer in self.writers:
            writer.write(self._line(False, list(entries)))


def configuration(discovery: str, *known: dict[str, Any], **limits: float) -> dict[str, Any]:
    return {
        "name": "n0", "discovery": discovery, "seed": "5eed",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256} | limits,
        "known": {"index": 1, "snapshot": True, "endpoints": list(known)},
        "settings": SETTINGS,
    }  # fmt: skip


class Node:
    """The real program in a process of its own."""

    def __init__(self, path: Path, process: asyncio.subprocess.Process, port: int, calls: int) -> None:
        self.path, self.process, self.host, self.port, self.calls = path, process, "127.0.0.1", port, calls

    async def call(self, path: str, body: str = "", method: str = "POST") -> str:
        """An operator's call, where the node has an address for them."""
        reader, writer = await asyncio.open_connection(self.host, self.calls)
        head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n{body}"
        writer.write(head.encode())
        status, _ = await answer_of(reader)
        writer.close()
        return status

    async def health(self) -> str:
        return await self.call("/admin/health", method="GET")

    def signal(self, number: int) -> None:
        self.process.send_signal(number)

    async def log_line(self, word: str) -> str:
        assert self.process.stderr
        seen = list[str]()
        while word not in (line := (await self.process.stderr.readline()).decode()):
            assert line, f"the log ended without {word!r}: {seen[-3:]}"
            seen.append(line)
        return line

    def descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def connecting(self) -> int:
        """How many connections of its own have not come up yet."""
        held = set[str]()
        for number in os.listdir(f"/proc/{self.process.pid}/fd"):
            with suppress(OSError):
                held.add(os.readlink(f"/proc/{self.process.pid}/fd/{number}"))
        rows = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
        return sum(row[3] == SYN_SENT and f"socket:[{row[9]}]" in held for row in rows)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(self.host, self.port)

    async def ask(self, ident: str, klass: str = "save") -> tuple[str, bytes]:
        reader, writer = await self.connect()
        writer.write(request(ident, klass))
        answer = await answer_of(reader)
        writer.close()
        return answer


@contextmanager
def held_port() -> Iterator[int]:
    """One that nobody else is given meanwhile; the proxy binds it all the same, with SO_REUSEADDR."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind(("127.0.0.1", 0))
        yield int(probe.getsockname()[1])


@asynccontextmanager
async def node(
    path: Path, config: dict[str, Any], called: bool = False, shared: socket.socket | None = None
) -> AsyncIterator[Node]:
    """`called`: with an address for operators; `shared`: a listening socket to inherit, as there."""
    held = ExitStack()
    calls = held.enter_context(held_port()) if called else 0
    file = path / f"config{calls or ''}.json"
    file.write_text(json.dumps(config | ({"mgmt": f"127.0.0.1:{calls}"} if called else {})))
    port = shared.getsockname()[1] if shared else held.enter_context(held_port())
    told = {
        "LB_NAME": "n0", "LB_LISTEN": f"127.0.0.1:{port}", "LB_CONFIG": str(file),
        "LB_DISCOVERY": config["discovery"], "TMPDIR": str(path),
    }  # fmt: skip
    passed = (shared.fileno(),) if shared else ()
    if shared:
        told["LB_ACCEPT_FD"] = str(shared.fileno())
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "heronreel.proxy", cwd=ROOT, env={**os.environ, **told}, pass_fds=passed,
        stderr=asyncio.subprocess.PIPE,
    )  # fmt: skip
    made = Node(file, process, port, calls)
    try:
        await made.log_line("listening")
        yield made
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
        held.close()


@asynccontextmanager
async def one_behind(
    path: Path, backend: Listener, called: bool = False, **limits: float
) -> AsyncIterator[Node]:
    """A proxy with discovery and that one backend; `called` as for `node`."""
    async with backend:
        known = [entry("b1", backend.address)]
        async with Discovery(*known) as discovery:
            config = configuration(discovery.address, *known, **limits)
            async with node(path, config, called) as proxy:
                yield proxy


def request(ident: str, klass: str = "save", body: bytes = b"ride", extra: str = "") -> bytes:
    method = "GET" if klass == "read" else "POST"
    lines = [f"{method} /{klass}/obj1 HTTP/1.1", "Host: api.internal", f"X-Class: {klass}"]
    lines += [f"X-Request-Id: {ident}"] if ident else []
    if klass != "read":
        lines += [f"Idempotency-Key: k{ident}", f"Content-Length: {len(body)}"]
    lines += ["X-Deadline-Ms: 5000"] if "deadline" not in extra.lower() else []
    return ("\r\n".join(lines) + f"\r\n{extra}\r\n").encode() + (body if klass != "read" else b"")


async def answer_of(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    """Status and body of one whole answer; "closed" if the connection ends first."""
    try:
        head, body = await request_of(reader)
    except (asyncio.IncompleteReadError, ConnectionError):
        return "closed", b""
    return head[""].split()[1], body


def free_port() -> int:
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        return int(taken.getsockname()[1])


def run(talk: Awaitable[None]) -> None:
    async def within() -> None:
        async with asyncio.timeout(LIMIT):
            await talk

    asyncio.run(within())
