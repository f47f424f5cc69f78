"""A proxy whose responses are counted by tenant: the adapter between the proxy and the usage meter."""

from __future__ import annotations

from typing import Any

from heronreel.metering.counts import NO_TENANT, ResponseKind, kind_of_status
from heronreel.metering.meter import BegunResponse, UsageMeter
from heronreel.proxy.backends import Answer, Link, Taker
from heronreel.proxy.proxy import Ask, Asker, Proxy, Request
from heronreel.proxy.streams import Upload


class MeteredClient:
    """The receiver of a response, with its tenant: what reaches it is counted.

    It implements `Asker` where the proxy expects its client, and passes every call on.
    """

    __slots__ = ("begun", "client", "meter", "tenant")

    def __init__(self, meter: UsageMeter, client: Asker, tenant: str) -> None:
        self.meter = meter
        self.client = client
        self.tenant = tenant
        self.begun: BegunResponse | None = None

    def _begin(self) -> None:
        self.begun = self.meter.begin(self.tenant)

    def _settle(self, kind: ResponseKind) -> None:
        assert self.begun is not None
        self.meter.settle(self.begun, kind)

    def answer(self, status: int, lines: bytes, body: bytes = b"") -> None:
        """Pass on a complete response."""
        self._begin()
        self.client.answer(status, lines, body)
        self._settle(kind_of_status(status))

    def begin(self, link: Link, answer: Answer, length: int | None) -> Taker | None:
        """Pass on the start of a streamed response: in flight for as long as its client takes it."""
        taker = self.client.begin(link, answer, length)
        if taker is not None:
            self._begin()
        return taker

    def finish(self) -> None:
        """Pass on the end of a streamed response."""
        self.client.finish()
        self._settle(ResponseKind.SERVED)

    def cut(self) -> None:
        """Pass on that a streamed response can't be completed."""
        self.client.cut()
        self._settle(ResponseKind.FAILED)

    def has_left(self) -> bool:
        """Whether the client has closed its connection."""
        return self.client.has_left()


class MeteredProxy(Proxy):
    """A proxy whose responses are counted by tenant."""

    def __init__(self, meter: UsageMeter, *proxy_arguments: Any) -> None:
        """`proxy_arguments` are those of `Proxy`."""
        super().__init__(*proxy_arguments)
        self.meter = meter

    def arrive(
        self, client: Asker, ask: Ask, body: bytes | bytearray, upload: Upload | None = None
    ) -> Request:
        """Take a request; what its client receives is counted."""
        tenant = ask.tenant if ask.tenant in self.tenants else NO_TENANT
        return super().arrive(MeteredClient(self.meter, client, tenant), ask, body, upload)
