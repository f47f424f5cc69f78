"""HTTP/1.1 messages as the protocol page describes them, and single calls."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace

from standins.ports import LOOPBACK

CALL_TIMEOUT_S = 1.0  # an operator waits so long for the answer to a call


@dataclass(frozen=True)
class Message:
    """One request or response: its first line, its header fields by lower-case name, and its body."""

    first_line: str
    fields: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.first_line.split()[1])

    @property
    def ends_connection(self) -> bool:
        """Whether the sender closes the connection behind this message."""
        return self.fields.get("connection", "").lower() == "close"


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the head of one message.

    Raises:
        asyncio.IncompleteReadError: The connection ended before the end of the head.
        OSError: The connection was reset.
    """
    first_line, *lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")[:-2]
    parts = (line.partition(":") for line in lines)
    fields = {name.lower(): value.strip() for name, _, value in parts}
    return Message(first_line, fields, b"")


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message with a Content-Length or without a body.

    Raises:
        asyncio.IncompleteReadError: The connection ended before the end of the message.
        OSError: The connection was reset.
    """
    head = await read_head(reader)
    body = await reader.readexactly(int(head.fields.get("content-length", "0")))
    return replace(head, body=body)


def response(status: str, body: bytes = b"") -> bytes:
    """Return an encoded response, for example with the status `200 OK`."""
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


@dataclass(frozen=True)
class ClientRequest:
    """A request of a client, with the header fields of the protocol page."""

    request_class: str
    request_id: str
    deadline_ms: int
    body: bytes
    idempotency_key: str = ""

    def encode(self) -> bytes:
        """Return the bytes of the request."""
        lines = [
            f"POST /{self.request_class}/{self.request_id} HTTP/1.1",
            "Host: api.internal",
            f"X-Request-Id: {self.request_id}",
            f"X-Class: {self.request_class}",
            f"X-Deadline-Ms: {self.deadline_ms}",
            f"Content-Length: {len(self.body)}",
        ]
        if self.idempotency_key:
            lines.append(f"Idempotency-Key: {self.idempotency_key}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + self.body


async def call(port: int, method: str, path: str, timeout_s: float = CALL_TIMEOUT_S) -> Message | None:
    """Make one call on a connection of its own; None if there is no whole answer in time."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n".encode())
            return await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def says_yes(port: int, path: str) -> bool:
    """Return whether a GET is answered with a 2xx status."""
    answer = await call(port, "GET", path)
    return answer is not None and 200 <= answer.status < 300
