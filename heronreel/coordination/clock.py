"""The clock that leases are counted on, and the points at which a test may stop a process.

A wall clock never decides: it may jump. The clock here goes on while the machine is suspended, which the
plain monotonic clock of Linux does not.  Under test a process is told by its environment to see another
rate (`HERONREEL_CLOCK_RATE`), and to end at the n-th time it reaches a named point
(`HERONREEL_END_AT=NAME:N`); `HERONREEL_POINTS` names a file to which each point is written as it is
reached.
"""

from __future__ import annotations

import os
import signal
import time
from collections.abc import Callable

CLOCK_RATE_VARIABLE = "HERONREEL_CLOCK_RATE"
CRASH_AT_VARIABLE = "HERONREEL_END_AT"
POINTS_FILE_VARIABLE = "HERONREEL_POINTS"

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def boot_clock() -> Callable[[], float]:
    """Seconds that only grow, also over a suspended machine."""
    rate = float(os.environ.get(CLOCK_RATE_VARIABLE, "1"))
    began = time.clock_gettime(_CLOCK)
    if rate == 1.0:
        return lambda: time.clock_gettime(_CLOCK)
    return lambda: began + (time.clock_gettime(_CLOCK) - began) * rate


class CrashPoints:
    """Where a process under test can be watched and ended; outside of tests a call that does nothing."""

    def __init__(self) -> None:
        name, _, count = os.environ.get(CRASH_AT_VARIABLE, "").partition(":")
        self.end_at, self.left = name, int(count or 0)
        path = os.environ.get(POINTS_FILE_VARIABLE)
        self.file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC) if path else None
        self.on = bool(name or path)

    def reach(self, name: str) -> None:
        if not self.on:
            return
        if self.file is not None:
            os.write(self.file, f"{name}\n".encode())
        if name == self.end_at:
            self.left -= 1
            if self.left <= 0:
                os.kill(os.getpid(), signal.SIGKILL)
