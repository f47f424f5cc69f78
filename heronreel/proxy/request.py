"""A request on its way through the proxy: its checked head, its state, and who receives the response."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from heronreel.balancer import interface as api
from heronreel.proxy.backend_connection import Attempt, BackendConnection, Response, ResponseBodySink
from heronreel.proxy.streams import RequestBodyStream


class Router(Protocol):
    """Where the host has routes of its own: which policy applies to a request."""

    def find(
        self, host: bytes, path: bytes, method: bytes, headers: Mapping[bytes, bytes]
    ) -> api.RoutePolicy | None:
        """The policy of the request's route; None: no route takes it."""


class ResponseWriter(Protocol):
    """Who waits for the response."""

    def respond(self, status: int, header_lines: bytes, body: bytes = b"") -> None:
        """Send the whole response."""

    def begin_stream(
        self, connection: BackendConnection, start: Response, length: int | None
    ) -> ResponseBodySink | None:
        """Take a response as it comes; None: it can't be taken so."""
        return None

    def finish_stream(self) -> None:
        """That response's last byte was handed over."""
        return None

    def abort_stream(self) -> None:
        """That response can't be finished."""
        return None

    def has_disconnected(self) -> bool:
        """Whether the client has closed its connection, read or not; nothing is sent to it from then on."""
        return False


@dataclass(slots=True)
class RequestHead:
    """A client's checked head."""

    data: bytes  # request line and header lines for a backend, without the time left
    request_id: bytes = b""  # X-Request-Id
    class_name: str = ""
    tenant: str = ""
    key: bytes = b""  # of the object that the request is about
    timeout_ms: float | None = None
    cost_hint_ms: float = 0.0
    is_retry: bool = False
    is_write: bool = False
    policy: api.RoutePolicy | None = None
    idempotency_key: bytes = b""
    is_http10: bool = False
    read_at: float | None = (
        None  # when the request's last byte was, on the monotonic clock; None: it still comes
    )


@dataclass(slots=True, eq=False)
class Request:
    """One request until its last attempt has ended.  `deadline` is on the monotonic clock."""

    number: int
    client: ResponseWriter | None  # None once it has its response or has disconnected
    head: bytes
    body: bytes | bytearray
    deadline: float
    timer: asyncio.TimerHandle | None = None
    attempts: list[Attempt] = field(default_factory=list)
    in_flight: int = 0  # attempts that have not ended
    finished: bool = False
    last_outcome: api.Outcome = api.Outcome.NOT_SENT
    request_id: bytes = b""  # the client's
    upload: RequestBodyStream | None = None
    streaming: Attempt | None = None  # whose response the client gets as it comes
