"""The regular line in the log about the memory of the process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from heronreel.proxy.event_log import record_state
from heronreel.proxy.memory_account import MB, MemoryAccount
from heronreel.proxy.process_memory import read_process_memory

REPORT_INTERVAL_S = 10.0
# The peak is looked at this often, and reported at once when it first exceeds HIGH_RATIO of the limit.
CHECK_INTERVAL_S = 0.2
HIGH_RATIO = 0.9


class MemoryReport:
    """Logs the memory of the process, its limit and what it is used for, regularly and when it runs high."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        limit_bytes: Callable[[], int],
        account: MemoryAccount,
        connections: Callable[[], int],
    ) -> None:
        """Start to report.

        Args:
            loop: Runs the report.
            limit_bytes: Returns the limit on the memory of the process, which a reload may change.
            account: What the memory is used for.
            connections: Returns the number of open connections of clients.
        """
        self._loop = loop
        self._limit_bytes = limit_bytes
        self._account = account
        self._connections = connections
        self._was_high = False
        self._next_report_at = loop.time()
        self._check()

    def _check(self) -> None:
        self._loop.call_later(CHECK_INTERVAL_S, self._check)
        now = self._loop.time()
        memory = read_process_memory()
        is_high = memory.peak > HIGH_RATIO * self._limit_bytes()
        if now < self._next_report_at and (self._was_high or not is_high):
            return
        self._was_high = is_high
        self._next_report_at = now + REPORT_INTERVAL_S
        record_state(
            "memory",
            resident_mb=round(memory.resident / MB, 1),
            peak_mb=round(memory.peak / MB, 1),
            limit_mb=round(self._limit_bytes() / MB, 1),
            account_used=self._account.used,
            account_limit=self._account.limit,
            connections=self._connections(),
            **self._account.by_use(),
        )
