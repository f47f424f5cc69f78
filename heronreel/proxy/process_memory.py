"""The memory of a process as the kernel counts it."""

from __future__ import annotations

import re
from pathlib import Path
from typing import NamedTuple

KB = 1 << 10

_STATUS_LINES = re.compile(rb"^(VmHWM|VmRSS):\s+(\d+) kB$", re.MULTILINE)


class ProcessMemory(NamedTuple):
    """The resident memory of a process in bytes; 0 where the kernel does not tell it."""

    resident: int
    peak: int


def read_process_memory(process: int | None = None) -> ProcessMemory:
    """Return the memory of a process, by default of this one, from its `/proc/PID/status` (proc(5))."""
    try:
        status = Path(f"/proc/{process or 'self'}/status").read_bytes()
        found = dict(_STATUS_LINES.findall(status))
    except OSError:
        return ProcessMemory(0, 0)
    return ProcessMemory(int(found.get(b"VmRSS", 0)) * KB, int(found.get(b"VmHWM", 0)) * KB)
