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


def read_process_memory() -> ProcessMemory:
    """Return the memory of this process, or 0 if it can't be read at present."""
    try:
        return look_up_process_memory("self")
    except OSError:
        return ProcessMemory(0, 0)


def look_up_process_memory(process: int | str) -> ProcessMemory:
    """Return the memory of a process from its `/proc/PID/status` (proc(5)), or 0 if it has ended.

    Raises:
        OSError: The memory can't be read at present.
    """
    try:
        status = Path(f"/proc/{process}/status").read_bytes()
    except (FileNotFoundError, ProcessLookupError):
        return ProcessMemory(0, 0)
    found = dict(_STATUS_LINES.findall(status))
    return ProcessMemory(int(found.get(b"VmRSS", 0)) * KB, int(found.get(b"VmHWM", 0)) * KB)
