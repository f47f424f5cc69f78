"""Counting in a serving process: responses by tenant, as they are handed to their clients."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from heronreel.coordination.crash_points import CrashPoints
from heronreel.metering.counts import ResponseKind
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
