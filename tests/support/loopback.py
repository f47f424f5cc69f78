"""Loopback peers for tests: discovery, backends whose every byte the test decides, and clients.

No helper waits for a fixed time: each waits for bytes, for a connection or for its end.  TIMEOUT_S only
keeps a broken proxy from blocking the test suite.
"""

from __future__ import annotations

import asyncio
import gc
import json
import os
import socket
import sys
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import ExitStack, asynccontextmanager, contextmanager, suppress
from pathlib import Path
from typing import Any, Self

ROOT = Path(__file__).parents[2]
TIMEOUT_S = 60.0
HEARTBEAT_S = 1.0  # interval of the empty lines of a watch
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
SYN_SENT = "02"  # connection state in /proc/net/tcp
ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Listener:
    """A server on an ephemeral port; `handler` serves one connection until it ends."""

    def __init__(self, handler: ConnectionHandler, narrow: bool = False) -> None:
        self.handler = handler
        self.narrow = narrow  # small socket buffers on both sides, so that unread data soon blocks the sender
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
            await self.handler(reader, writer)
        self.ends[writer].set()

    async def ended(self) -> None:
        """Wait until the newest connection has ended."""
        await self.ends[self.writers[-1]].wait()

    async def __aexit__(self, *_: object) -> None:
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


async def read_head(reader: asyncio.StreamReader) -> dict[str, str]:
    """Read one message head: its first line under "", headers under their names in lower case."""
    first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")[:-2]
    parts = (line.partition(":") for line in lines)
    return {"": first} | {name.lower(): value.strip() for name, _, value in parts}


async def read_request(reader: asyncio.StreamReader) -> tuple[dict[str, str], bytes]:
    head = await read_head(reader)
    return head, await reader.readexactly(int(head.get("content-length", "0")))


def ok(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


class Backend(Listener):
    """Responds to each request with the result of `reply`; None means no response."""

    def __init__(self, reply: Callable[[dict[str, str], bytes], bytes | None] | None = None) -> None:
        super().__init__(self._handle)
        self.reply = reply or (lambda head, body: ok(head["x-request-id"].encode()))
        self.seen: list[str] = []
        self.carriers: dict[str, asyncio.StreamWriter] = {}  # connections by request id, for later responses
        self.requested = asyncio.Event()

    async def _handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head, body = await read_request(reader)
            self.seen.append(head["x-request-id"])
            self.carriers[head["x-request-id"]] = writer
            self.requested.set()
            response = self.reply(head, body)
            if response is not None:
                writer.write(response)


def entry(name: str, address: str, status: str = "active", group: int = 0) -> dict[str, Any]:
    return {"name": name, "address": address, "zone": "a", "group": group, "status": status, "since_ms": 0}


class Discovery(Listener):
    """A list service: watches get `entries` as a snapshot once `may_answer` is set, and later `change`s."""

    def __init__(self, *entries: dict[str, Any]) -> None:
        super().__init__(self._watch)
        self.entries = list(entries)
        self.called, self.watched = asyncio.Event(), asyncio.Event()
        self.may_answer = asyncio.Event()
        self.may_answer.set()

    async def _watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        self.called.set()
        await self.may_answer.wait()
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(head + self._line(True, self.entries))
        self.watched.set()
        while (
            not reader.at_eof()
        ):  # Like the platform's service, sends empty lines regularly, so that silence means a broken watch.
            with suppress(TimeoutError):
                await asyncio.wait_for(reader.read(1), HEARTBEAT_S)
            writer.write(b"1\r\n\n\r\n")

    def _line(self, is_snapshot: bool, entries: list[dict[str, Any]]) -> bytes:
        line = json.dumps({"index": 7, "snapshot": is_snapshot, "endpoints": entries}).encode() + b"\n"
        return b"%x\r\n%b\r\n" % (len(line), line)

    def change(self, *entries: dict[str, Any]) -> None:
        changed = {item["name"]: item for item in (*self.entries, *entries)}
        self.entries = [item for item in changed.values() if item["status"] != "left"]
        for writer in self.writers:
            writer.write(self._line(False, list(entries)))


def configuration(discovery: str, *known: dict[str, Any], **limits: float) -> dict[str, Any]:
    return {
        "name": "n0", "discovery": discovery, "seed": "5eed",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256} | limits,
        "known": {"index": 1, "snapshot": True, "endpoints": list(known)},
        "settings": SETTINGS,
    }  # fmt: skip


class ProxyProcess:
    """The real proxy program in a separate process."""

    def __init__(self, path: Path, process: asyncio.subprocess.Process, port: int, admin_port: int) -> None:
        self.path, self.process, self.host = path, process, "127.0.0.1"
        self.port, self.admin_port = port, admin_port
        self.writers: list[asyncio.StreamWriter] = []  # of the clients, aborted when the proxy ends

    async def call(self, path: str, body: str = "", method: str = "POST") -> str:
        """Make a call of the admin API, and return the status; the process must have an admin address."""
        reader, writer = await asyncio.open_connection(self.host, self.admin_port)
        head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n{body}"
        writer.write(head.encode())
        status, _ = await read_response(reader)
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
        """Return how many of the process's outgoing connections are not established yet."""
        own = set[str]()
        for number in os.listdir(f"/proc/{self.process.pid}/fd"):
            with suppress(OSError):
                own.add(os.readlink(f"/proc/{self.process.pid}/fd/{number}"))
        rows = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
        return sum(row[3] == SYN_SENT and f"socket:[{row[9]}]" in own for row in rows)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection(self.host, self.port)
        self.writers.append(writer)
        return reader, writer

    async def send_request(self, ident: str, klass: str = "save") -> tuple[str, bytes]:
        reader, writer = await self.connect()
        writer.write(request(ident, klass))
        response = await read_response(reader)
        writer.close()
        return response


@contextmanager
def reserved_port() -> Iterator[int]:
    """Reserve a port that no other process is given; the proxy can bind it because of SO_REUSEADDR."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind(("127.0.0.1", 0))
        yield int(probe.getsockname()[1])


@asynccontextmanager
async def running_proxy(
    path: Path,
    config: dict[str, Any],
    with_admin_api: bool = False,
    shared: socket.socket | None = None,
    until_listening: bool = True,
) -> AsyncIterator[ProxyProcess]:
    """Start the program.

    `shared` is a listening socket to inherit; it requires an admin API.  Without `until_listening` the
    process may not listen yet when this returns.
    """
    ports = ExitStack()
    admin_port = ports.enter_context(reserved_port()) if with_admin_api else 0
    file = path / f"config{admin_port or ''}.json"
    file.write_text(json.dumps(config | ({"mgmt": f"127.0.0.1:{admin_port}"} if with_admin_api else {})))
    port = shared.getsockname()[1] if shared else ports.enter_context(reserved_port())
    environ = {
        "LB_NAME": "n0", "LB_LISTEN": f"127.0.0.1:{port}", "LB_CONFIG": str(file),
        "LB_DISCOVERY": config["discovery"], "TMPDIR": str(path),
    }  # fmt: skip
    inherited = (shared.fileno(),) if shared else ()
    if shared:
        environ["LB_ACCEPT_FD"] = str(shared.fileno())
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "heronreel.proxy", cwd=ROOT, env={**os.environ, **environ}, pass_fds=inherited,
        stderr=asyncio.subprocess.PIPE,
    )  # fmt: skip
    proxy = ProxyProcess(file, process, port, admin_port)
    try:
        if until_listening:
            await proxy.log_line("listening")
        yield proxy
    finally:
        for writer in proxy.writers:
            writer.transport.abort()
        if process.returncode is None:
            process.kill()
        await process.wait()
        ports.close()


@asynccontextmanager
async def proxy_with_backend(
    path: Path, backend: Listener, with_admin_api: bool = False, **limits: float
) -> AsyncIterator[ProxyProcess]:
    """Run a proxy with discovery and the given backend; `with_admin_api` as for `running_proxy`."""
    async with backend:
        known = [entry("b1", backend.address)]
        async with Discovery(*known) as discovery:
            config = configuration(discovery.address, *known, **limits)
            async with running_proxy(path, config, with_admin_api) as proxy:
                yield proxy


def request(ident: str, klass: str = "save", body: bytes = b"ride", extra: str = "") -> bytes:
    method = "GET" if klass == "read" else "POST"
    lines = [f"{method} /{klass}/obj1 HTTP/1.1", "Host: api.internal", f"X-Class: {klass}"]
    lines += [f"X-Request-Id: {ident}"] if ident else []
    if klass != "read":
        lines += [f"Idempotency-Key: k{ident}", f"Content-Length: {len(body)}"]
    lines += ["X-Deadline-Ms: 5000"] if "deadline" not in extra.lower() else []
    return ("\r\n".join(lines) + f"\r\n{extra}\r\n").encode() + (body if klass != "read" else b"")


async def read_response(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    """Return status and body of one response, or "closed" if the connection ends first."""
    try:
        head, body = await read_request(reader)
    except (asyncio.IncompleteReadError, ConnectionError):
        return "closed", b""
    return head[""].split()[1], body


def run(scenario: Awaitable[None]) -> None:
    async def within() -> None:
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await scenario
        finally:
            await end_leftovers()

    asyncio.run(within())


async def end_leftovers() -> None:
    """End tasks and connections that a test has left, while there is a loop in which they can end.

    A stream that is collected later raises in a place that has nothing to do with it.
    """
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    gc.collect()
