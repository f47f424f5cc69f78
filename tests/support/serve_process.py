"""Runs `heronreel serve` in a separate process with a route file that a test writes."""

from __future__ import annotations

import asyncio
import os
import re
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from tests.support.loopback import ROOT, read_response

_ROUTE = """\
name = "{name}"
match = {{ path_prefix = "/{name}", methods = ["{method}"] }}
effect = "{effect}"
{window}aim_ms = 500
deadline_ms = 4000
attempts = 3
retry_on = ["not-run", "error", "reset", "timeout"]
pool = "p"
"""
SAVE = _ROUTE.format(name="save", method="POST", effect="keyed", window="window_ms = 5000\n")
READ = _ROUTE.format(name="read", method="GET", effect="safe", window="")
HEDGED_SAVE = SAVE + "second_copy_after_ms = 20\n"


class ServeProcess:
    """A running `heronreel serve` process and the ports that it listens on."""

    def __init__(self, path: Path, process: asyncio.subprocess.Process) -> None:
        self.path, self.process = path, process
        self.ports: dict[str, int] = {}
        self.lines: list[str] = []

    async def log_line(self, word: str) -> str:
        """Wait for the next log line that contains `word`."""
        assert self.process.stderr
        while word not in (line := (await self.process.stderr.readline()).decode()):
            self.lines.append(line)
            assert line, f"the log ended without {word!r}: {''.join(self.lines[-5:])}"
        return line

    async def connect(self, listener: str = "in") -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.ports[listener])

    async def ask(self, data: bytes) -> tuple[str, bytes]:
        """Send a request on a new connection, and return the status and body of the response."""
        reader, writer = await self.connect()
        writer.write(data)
        answer = await read_response(reader)
        writer.close()
        return answer

    def signal(self, number: int) -> None:
        self.process.send_signal(number)


@asynccontextmanager
async def served(folder: Path, text: str, *arguments: str, **env: str) -> AsyncIterator[ServeProcess]:
    """Start `heronreel serve` on a route file, and wait until all its listeners are bound."""
    path = folder / "routes.toml"
    path.write_text(text)
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "heronreel.cli", "serve", str(path), *arguments,
        cwd=ROOT, env={**os.environ, **env}, stderr=asyncio.subprocess.PIPE,
    )  # fmt: skip
    serve_process = ServeProcess(path, process)
    try:
        for _ in range(text.count("[[listeners]]")):
            found = re.search(r"listening on \S+:(\d+) for (\S+)", await serve_process.log_line("listening"))
            assert found
            serve_process.ports[found[2]] = int(found[1])
        yield serve_process
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


def routes_file(*routes: str, more: str = "", **pools: list[tuple[str, str]]) -> str:
    """Return a route file: `pools` lists address and rack of each member; `routes` are bodies of tables."""
    parts = [
        "[proxy]\nsecond_copies = true\nconnect_timeout_ms = 200\nclient_wait_ms = 20000\n",
        more or '[[listeners]]\nname = "in"\naddress = "127.0.0.1:0"\n',
    ]
    for name, members in pools.items():
        parts.append(f'[[pools]]\nname = "{name}"\n')
        for number, (address, rack) in enumerate(members):
            parts.append(f'[[pools.members]]\nname = "m{number}"\naddress = "{address}"\nrack = "{rack}"\n')
    parts += [f"[[routes]]\n{body}\n" for body in routes]
    return "\n".join(parts)


def gets_to(backend: str) -> str:
    """Return the tables that route every GET request to one server."""
    return f"""
[[pools]]
name = "p"
[[pools.members]]
name = "m"
address = "{backend}"
[[routes]]
name = "all"
match = {{ path_prefix = "/", methods = ["GET"] }}
effect = "safe"
deadline_ms = 2000
pool = "p"
"""


def many_routes(count: int) -> str:
    """Return the tables of `count` more routes to pool `p`, each with a distinct path."""
    return "".join(
        f'[[routes]]\nname = "m{n}"\nmatch = {{ path = "/many/{n}" }}\npool = "p"\n' for n in range(count)
    )


def post(path: str, key: str = "", ident: str = "", extra: str = "") -> bytes:
    lines = [f"POST {path} HTTP/1.1", "Host: h", "Content-Length: 4"]
    lines += [f"Idempotency-Key: {key}"] if key else []
    lines += [f"X-Request-Id: {ident}"] if ident else []
    return ("\r\n".join(lines) + f"\r\n{extra}\r\n").encode() + b"ride"


def get(path: str, ident: str = "", extra: str = "") -> bytes:
    named = f"X-Request-Id: {ident}\r\n" if ident else ""
    return f"GET {path} HTTP/1.1\r\nHost: h\r\n{named}{extra}\r\n".encode()
