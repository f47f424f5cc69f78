"""Counts responses by tenant in a serving process, as they are sent to their clients."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from heronreel.coordination.crash_points import CrashPoints
from heronreel.metering.counts import ResponseKind
from heronreel.metering.ledger_files import LedgerDirectory, LedgerFile


class BegunResponse(NamedTuple):
    """A response in flight, and the ledger in which it will be counted."""

    ledger_file: LedgerFile
    tenant_index: int


class UsageMeter:
    """Counts the responses of one process in its current ledger."""

    def __init__(self, directory: LedgerDirectory, proxy: str, zone: str, tenants: tuple[str, ...]) -> None:
        """Create the first ledger.

        Raises:
            OSError: no ledger can be created, so responses could not be counted.
        """
        self.directory = directory
        self.proxy = proxy
        self.zone = zone
        self.crash_points = CrashPoints()
        self.current = directory.create(proxy, zone, tenants)
        self._unsettled: list[tuple[BegunResponse, ResponseKind]] = []

    def begin(self, tenant: str) -> BegunResponse:
        """Record that a response is about to be sent."""
        ledger_file = self.current
        begun = BegunResponse(ledger_file, ledger_file.ledger.begin(tenant))
        self.crash_points.reach("begin")
        return begun

    def settle(self, begun: BegunResponse, kind: ResponseKind) -> None:
        """Count a response in the next iteration of the event loop.

        By that time the written data has been passed to the operating system.
        """
        if not self._unsettled:
            asyncio.get_running_loop().call_soon(self.flush)
        self._unsettled.append((begun, kind))

    def flush(self) -> None:
        """Count the responses that are waiting to be settled."""
        unsettled, self._unsettled = self._unsettled, []
        for begun, kind in unsettled:
            begun.ledger_file.ledger.settle(begun.tenant_index, kind)
        if unsettled:
            self.crash_points.reach("settled")

    def replace_ledger(self, tenants: tuple[str, ...]) -> LedgerFile:
        """Continue in a new ledger, and return the previous one.

        Responses that began in the previous ledger are still counted there.

        Raises:
            OSError: no ledger can be created; the previous ledger stays the current one.
        """
        replaced, self.current = self.current, self.directory.create(self.proxy, self.zone, tenants)
        return replaced
