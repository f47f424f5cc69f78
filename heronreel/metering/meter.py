"""Counting in a serving process: responses by tenant, as they are handed to their clients."""

from __future__ import annotations

import asyncio
from typing import Any, NamedTuple

from heronreel.coordination.clock import CrashPoints
from heronreel.metering.counts import ResponseKind, kind_of_status
from heronreel.metering.ledger_files import LedgerDirectory, LedgerFile


class BegunResponse(NamedTuple):
    """A response that is in flight, and the ledger in which it is counted."""

    ledger_file: LedgerFile
    tenant_index: int


class UsageMeter:
    """Counts the responses of one process, in its current ledger."""

    def __init__(self, directory: LedgerDirectory, proxy: str, zone: str, tenants: tuple[str, ...]) -> None:
        """Create the first ledger.

        Raises:
            OSError: no ledger can be created, so nothing could be served without being left out.
        """
        self.directory = directory
        self.proxy = proxy
        self.zone = zone
        self.points = CrashPoints()
        self.current = directory.create(proxy, zone, tenants)
        self._handed_over: list[tuple[BegunResponse, ResponseKind]] = []

    def begin(self, tenant: str) -> BegunResponse:
        """Record that a response is about to be handed over."""
        ledger_file = self.current
        begun = BegunResponse(ledger_file, ledger_file.ledger.begin(tenant))
        self.points.reach("begin")
        return begun

    def settle(self, begun: BegunResponse, kind: ResponseKind) -> None:
        """Count a response in the loop's next turn, when what was written has gone to the system."""
        if not self._handed_over:
            asyncio.get_running_loop().call_soon(self.flush)
        self._handed_over.append((begun, kind))

    def flush(self) -> None:
        """Count now what was handed over."""
        handed_over, self._handed_over = self._handed_over, []
        for begun, kind in handed_over:
            begun.ledger_file.ledger.settle(begun.tenant_index, kind)
        if handed_over:
            self.points.reach("settled")

    def replace_ledger(self, tenants: tuple[str, ...]) -> LedgerFile:
        """Go on in a new ledger, and return the old one; what began in that is still counted there.

        Raises:
            OSError: no ledger can be created; the old one stays current.
        """
        replaced, self.current = self.current, self.directory.create(self.proxy, self.zone, tenants)
        return replaced


class MeteredClient:
    """The receiver of a response, with its tenant: what reaches it is counted.

    It stands where the proxy expects its client, and passes every call on.
    """

    __slots__ = ("begun", "client", "meter", "tenant")

    def __init__(self, meter: UsageMeter, client: Any, tenant: str) -> None:
        self.meter = meter
        self.client = client
        self.tenant = tenant
        self.begun: BegunResponse | None = None

    def _settle(self, kind: ResponseKind) -> None:
        assert self.begun is not None
        self.meter.settle(self.begun, kind)

    def answer(self, status: int, lines: bytes, body: bytes = b"") -> None:
        """Pass on a complete response."""
        self.begun = self.meter.begin(self.tenant)
        self.client.answer(status, lines, body)
        self._settle(kind_of_status(status))

    def begin(self, link: Any, answer: Any, length: int | None) -> Any:
        """Pass on the start of a streamed response: in flight for as long as its client takes it."""
        taker = self.client.begin(link, answer, length)
        if taker is not None:
            self.begun = self.meter.begin(self.tenant)
        return taker

    def finish(self) -> None:
        """Pass on the end of a streamed response."""
        self.client.finish()
        self._settle(ResponseKind.SERVED)

    def has_left(self) -> bool:
        """Whether the client has closed its connection."""
        return bool(self.client.has_left())

    def cut(self) -> None:
        """Pass on that a streamed response can't be completed."""
        self.client.cut()
        self._settle(ResponseKind.FAILED)
