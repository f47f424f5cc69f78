"""A proxy that counts its responses by tenant: the adapter between the proxy and the usage meter."""

from __future__ import annotations

from typing import Any

from heronreel.metering.counts import NO_TENANT, ResponseKind, kind_of_status
from heronreel.metering.meter import BegunResponse, UsageMeter
from heronreel.proxy.backend_connection import BackendConnection
from heronreel.proxy.dispatcher import Dispatcher
from heronreel.proxy.request import Request, RequestHead, ResponseWriter
from heronreel.proxy.response import Response, ResponseBodySink
from heronreel.proxy.streams import RequestBodyStream


class MeteredClient:
    """A client that counts the responses it receives for its tenant.

    It takes the client's place as the proxy's `ResponseWriter` and forwards every call to the client.
    """

    __slots__ = ("begun", "client", "meter", "tenant")

    def __init__(self, meter: UsageMeter, client: ResponseWriter, tenant: str) -> None:
        self.meter = meter
        self.client = client
        self.tenant = tenant
        self.begun: BegunResponse | None = None

    def _begin(self) -> None:
        self.begun = self.meter.begin(self.tenant)

    def _settle(self, kind: ResponseKind) -> None:
        assert self.begun is not None
        self.meter.settle(self.begun, kind)

    def respond(self, status: int, header_lines: bytes, body: bytes = b"") -> None:
        """Forward a complete response."""
        self._begin()
        self.client.respond(status, header_lines, body)
        self._settle(kind_of_status(status))

    def begin_stream(
        self, connection: BackendConnection, start: Response, length: int | None
    ) -> ResponseBodySink | None:
        """Forward the start of a streamed response.

        The response counts as in flight until its stream ends or is aborted.
        """
        sink = self.client.begin_stream(connection, start, length)
        if sink is not None:
            self._begin()
        return sink

    def finish_stream(self) -> None:
        """Forward the end of a streamed response."""
        self.client.finish_stream()
        self._settle(ResponseKind.SERVED)

    def abort_stream(self) -> None:
        """Forward the abort of a streamed response that can't be completed."""
        self.client.abort_stream()
        self._settle(ResponseKind.FAILED)

    def has_disconnected(self) -> bool:
        """Whether the client has closed its connection."""
        return self.client.has_disconnected()


class MeteredProxy(Dispatcher):
    """A proxy that counts its responses by tenant."""

    def __init__(self, meter: UsageMeter, *proxy_arguments: Any) -> None:
        """`proxy_arguments` are those of `Dispatcher`."""
        super().__init__(*proxy_arguments)
        self.meter = meter

    def submit(
        self,
        client: ResponseWriter,
        head: RequestHead,
        body: bytes | bytearray,
        upload: RequestBodyStream | None = None,
        reserved_bytes: int = 0,
    ) -> Request:
        """Submit a request whose response is counted."""
        tenant = head.tenant if head.tenant in self.tenants else NO_TENANT
        return super().submit(MeteredClient(self.meter, client, tenant), head, body, upload, reserved_bytes)
