"""Backends that write the head of a long response at once and its body late, or that pause within it.

Guards against a silence that ends a response which the backend would still have completed in time.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from pathlib import Path

import pytest

from tests.support.loopback import (
    Backend,
    Discovery,
    Listener,
    configuration,
    entry,
    ok,
    proxy_with_backend,
    read_request,
    request,
    run,
    running_proxy,
)

BODY = bytes(range(256)) * 500
PAUSE_S = 0.9
LONG_PAUSE_S = 1.6
DEADLINE = "X-Deadline-Ms: 2500\r\n"
FRAMINGS = ["length", "chunked", "close"]


class PausingBackend(Listener):
    """Writes the head and `first` bytes of the body, and the rest after a pause."""

    def __init__(self, framing: str, first: int, pause_s: float) -> None:
        super().__init__(self._respond)
        self.framing, self.first, self.pause_s = framing, first, pause_s
        self.runs = Counter[str]()

    async def _respond(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head, _ = await read_request(reader)
            self.runs[head["x-request-id"]] += 1
            writer.write(self._head() + self._part(BODY[: self.first]))
            await asyncio.sleep(self.pause_s)
            writer.write(self._part(BODY[self.first :]))
            if self.framing == "chunked":
                writer.write(b"0\r\n\r\n")
            if self.framing == "close":
                writer.close()
                return

    def _head(self) -> bytes:
        lines = {
            "length": b"Content-Length: %d\r\n" % len(BODY),
            "chunked": b"Transfer-Encoding: chunked\r\n",
            "close": b"Connection: close\r\n",
        }
        return b"HTTP/1.1 200 OK\r\n" + lines[self.framing] + b"\r\n"

    def _part(self, data: bytes) -> bytes:
        if self.framing != "chunked" or not data:
            return data
        return b"%x\r\n%b\r\n" % (len(data), data)


async def read_whole_body(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    """Return status and body of one response of any framing."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    status = head.split()[1]
    if "transfer-encoding: chunked" not in head:
        length = int(head.partition("content-length: ")[2].split("\r\n")[0])
        return status, await reader.readexactly(length)
    body = b""
    while size := int(await reader.readline(), 16):
        body += await reader.readexactly(size)
        await reader.readline()
    return status, body


async def assert_served(path: Path, backend: PausingBackend, klass: str) -> None:
    async with proxy_with_backend(path, backend, memory_mb=64) as proxy:
        reader, writer = await proxy.connect()
        began_at = time.monotonic()
        writer.write(request("a1", klass, extra=DEADLINE))
        try:
            status, body = await read_whole_body(reader)
        finally:
            writer.transport.abort()
        print(f"status {status} after {time.monotonic() - began_at:.2f} s, runs {dict(backend.runs)}")
        assert status == "200"
        assert body == BODY


@pytest.mark.parametrize("klass", ["save", "read"])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_long_response_whose_body_is_late_is_served(tmp_path: Path, framing: str, klass: str) -> None:
    run(assert_served(tmp_path, PausingBackend(framing, 0, PAUSE_S), klass))


@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_long_response_whose_body_is_very_late_is_served(tmp_path: Path, framing: str) -> None:
    run(assert_served(tmp_path, PausingBackend(framing, 0, LONG_PAUSE_S), "save"))


@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_long_response_that_pauses_after_its_first_bytes_is_served(tmp_path: Path, framing: str) -> None:
    run(assert_served(tmp_path, PausingBackend(framing, 5000, PAUSE_S), "save"))


@pytest.mark.parametrize("klass", ["save", "read"])
def test_a_response_that_never_ends_is_replaced_by_that_of_a_hedged_request(
    tmp_path: Path, klass: str
) -> None:
    unended = [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"]

    def reply(head: dict[str, str], body: bytes) -> bytes:
        return unended.pop() if unended else ok(b"whole")

    async def scenario() -> None:
        async with Backend(reply) as first, Backend(reply) as second:
            known = [entry("b1", first.address), entry("b2", second.address)]
            async with Discovery(*known) as discovery:
                config = configuration(discovery.address, *known)
                limits = config["settings"]["Limits"] | {"SecondCopies": True}
                config["settings"] = config["settings"] | {"Limits": limits}
                async with running_proxy(tmp_path, config) as proxy:
                    assert await proxy.send_request("a1", klass) == ("200", b"whole")
                    assert len(first.seen) == len(second.seen) == 1

    run(scenario())
