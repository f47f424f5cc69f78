"""The memory of this process as the kernel counts it, and its regular line in the log."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from heronreel.proxy.event_log import record_state
from heronreel.proxy.memory_account import MemoryAccount

KB = 1 << 10
MB = 1 << 20
REPORT_INTERVAL_S = 10.0
# The peak is looked at this often, and reported at once when it first exceeds HIGH_RATIO of the limit.
CHECK_INTERVAL_S = 0.2
HIGH_RATIO = 0.9

_STATUS_FILE = Path("/proc/self/status")
_STATUS_LINES = re.compile(rb"^(VmHWM|VmRSS):\s+(\d+) kB$", re.MULTILINE)


class ProcessMemory(NamedTuple):
    """The resident memory of this process in bytes; 0 where the kernel does not tell it."""

    resident: int
    peak: int


def read_process_memory() -> ProcessMemory:
    """Return the memory of this process, from `/proc/self/status` (proc(5))."""
    try:
        found = dict(_STATUS_LINES.findall(_STATUS_FILE.read_bytes()))
    except OSError:
        return ProcessMemory(0, 0)
    return ProcessMemory(int(found.get(b"VmRSS", 0)) * KB, int(found.get(b"VmHWM", 0)) * KB)


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
