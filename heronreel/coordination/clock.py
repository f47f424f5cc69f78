"""The clock that lease times are measured with.

The wall clock is not used, because it may jump.  This clock also advances while the machine is suspended,
which CLOCK_MONOTONIC of Linux does not.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable

# Tests set this environment variable to the rate at which the process sees the clock run; 1 is real time.
CLOCK_RATE_VARIABLE = "HERONREEL_CLOCK_RATE"

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def boot_clock() -> Callable[[], float]:
    """Return a monotonic clock in seconds that also counts the time while the machine is suspended."""
    rate = float(os.environ.get(CLOCK_RATE_VARIABLE, "1"))
    if rate == 1.0:
        return lambda: time.clock_gettime(_CLOCK)
    start = time.clock_gettime(_CLOCK)
    return lambda: start + (time.clock_gettime(_CLOCK) - start) * rate
