"""The clock that leases are counted on.

A wall clock never decides: it may jump.  This clock goes on while the machine is suspended, which the plain
monotonic clock of Linux does not.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable

CLOCK_RATE_VARIABLE = "HERONREEL_CLOCK_RATE"  # under test: how fast this process sees the clock run

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def boot_clock() -> Callable[[], float]:
    """A clock in seconds that never goes back, and counts the time of a suspended machine."""
    rate = float(os.environ.get(CLOCK_RATE_VARIABLE, "1"))
    if rate == 1.0:
        return lambda: time.clock_gettime(_CLOCK)
    start = time.clock_gettime(_CLOCK)
    return lambda: start + (time.clock_gettime(_CLOCK) - start) * rate
