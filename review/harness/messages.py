"""Heads of HTTP/1.1 messages and their parsing, for the stand-ins of clients and backends."""

from __future__ import annotations

import asyncio
import uuid
from dataclasses import dataclass, field

HEAD_END = b"\r\n\r\n"


@dataclass(slots=True)
class Head:
    """The first line and the fields of a message; the names of the fields are in lower case."""

    first_line: str
    fields: dict[str, str]

    @property
    def length(self) -> int:
        """Return the Content-Length, or 0 if there is none."""
        return int(self.fields.get("content-length", "0"))


@dataclass(slots=True)
class ClientRequest:
    """A request of a client, in the form that the protocol page gives."""

    request_class: str
    deadline_ms: int
    body: bytes = b""
    keyed: bool = True
    request_id: str = field(default_factory=lambda: uuid.uuid4().hex[:16])
    idempotency_key: str = field(default_factory=lambda: uuid.uuid4().hex)

    def head(self) -> bytes:
        """Return the head of the request as the client sends it."""
        lines = [
            f"POST /{self.request_class}/{self.request_id} HTTP/1.1",
            "Host: api.internal",
            f"X-Request-Id: {self.request_id}",
            f"X-Class: {self.request_class}",
            "X-Tenant: ciclisti-etna",
            f"X-Deadline-Ms: {self.deadline_ms}",
        ]
        if self.keyed:
            lines.append(f"Idempotency-Key: {self.idempotency_key}")
        lines.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join(lines).encode() + HEAD_END


def parse_head(data: bytes) -> Head:
    """Parse the head of a message, with or without its final empty line."""
    first_line, *lines = data.decode("latin-1").rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return Head(first_line, {name.strip().lower(): value.strip() for name, _, value in pairs})


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Read the head of the next message.

    Raises:
        asyncio.IncompleteReadError: The connection ended before the end of the head.
    """
    return parse_head(await reader.readuntil(HEAD_END))
