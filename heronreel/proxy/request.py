"""A client request: its validated head, its state and the interface to the receiver of the response."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from heronreel.balancer import interface as api
from heronreel.proxy.backend_connection import Attempt, BackendConnection
from heronreel.proxy.response import Response, ResponseBodySink
from heronreel.proxy.streams import RequestBodyStream


class Router(Protocol):
    """Finds the policy of a request, if the proxy's host configures routes."""

    def find(
        self, host: bytes, path: bytes, method: bytes, headers: Mapping[bytes, bytes]
    ) -> api.RoutePolicy | None:
        """Return the policy of the request's route, or None if no route matches."""


class ResponseWriter(Protocol):
    """Receives the response to a request."""

    def respond(self, status: int, header_lines: bytes, body: bytes = b"") -> None:
        """Send a complete response."""

    def begin_stream(
        self, connection: BackendConnection, start: Response, length: int | None
    ) -> ResponseBodySink | None:
        """Start a response that is forwarded while it is being received.

        Returns None if the client can't receive it that way.
        """
        return None

    def finish_stream(self) -> None:
        """End a streamed response after its last byte was written to the sink."""
        return None

    def abort_stream(self) -> None:
        """Abort a streamed response that can't be completed."""
        return None

    def has_disconnected(self) -> bool:
        """Return whether the client has closed its connection, even if the end was not read yet.

        Nothing is sent to the client after that.
        """
        return False


@dataclass(slots=True)
class RequestHead:
    """The validated head of a client request.

    Attributes:
        encoded_head: Request line and header lines as sent to a backend, without the deadline header.
        request_id: The client's X-Request-Id.
        key: The key of the object that the request is about.
        read_at: When the last byte of the request was read, on the monotonic clock in seconds; None while the
            request is still being received.
    """

    encoded_head: bytes
    request_id: bytes = b""
    class_name: str = ""
    tenant: str = ""
    key: bytes = b""
    timeout_ms: float | None = None
    cost_hint_ms: float = 0.0
    is_retry: bool = False
    is_write: bool = False
    policy: api.RoutePolicy | None = None
    idempotency_key: bytes = b""
    is_http10: bool = False
    read_at: float | None = None


@dataclass(slots=True, eq=False)
class Request:
    """A request, which exists until its last attempt has ended.

    Attributes:
        client: Receives the response; None once it has the response or has disconnected.
        deadline: On the monotonic clock, in seconds.
        in_flight: The number of attempts that have not ended.
        finished: Whether nothing more is sent to the client.
        request_id: The client's X-Request-Id.
        upload: Replaces `body` if the body is forwarded while it is being received.
        reserved_bytes: The memory that is held for the request.
        upload_has_arrived: Whether the deadline counts from the arrival of the last byte of the upload.
        is_idempotent: Whether a second run does no harm.
        may_have_run: Whether an attempt has ended that may have run at its backend.
        streaming: The attempt whose response is forwarded to the client while it is being received.
    """

    number: int
    client: ResponseWriter | None
    head: bytes
    body: bytes | bytearray
    deadline: float
    timer: asyncio.TimerHandle | None = None
    attempts: list[Attempt] = field(default_factory=list)
    in_flight: int = 0
    finished: bool = False
    last_outcome: api.Outcome = api.Outcome.NOT_SENT
    request_id: bytes = b""
    upload: RequestBodyStream | None = None
    streaming: Attempt | None = None
    reserved_bytes: int = 0
    upload_has_arrived: bool = False
    is_idempotent: bool = False
    may_have_run: bool = False
