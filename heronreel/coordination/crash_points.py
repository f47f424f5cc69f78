"""Named points of a program at which a test can observe or crash a process.

Tests set environment variables: `HERONREEL_END_AT=NAME:N` makes the process crash when it reaches the point
NAME for the N-th time, and `HERONREEL_POINTS` is the path of a file to which the process appends the name of
each point that it reaches.
"""

from __future__ import annotations

import os
import signal

CRASH_AT_VARIABLE = "HERONREEL_END_AT"
POINTS_FILE_VARIABLE = "HERONREEL_POINTS"


class CrashPoints:
    """The crash points of this process.  Outside of tests, reaching one does nothing."""

    def __init__(self) -> None:
        """Read the environment, and open the file, which stays open until the process ends."""
        name, _, count = os.environ.get(CRASH_AT_VARIABLE, "").partition(":")
        self._crash_at = name
        self._passes_left = int(count or 0)
        path = os.environ.get(POINTS_FILE_VARIABLE)
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
        self._file = os.open(path, flags) if path else None
        self._enabled = bool(name or path)

    def reach(self, name: str) -> None:
        """Record that the process has reached the point `name`, and crash it if a test asked for that."""
        if not self._enabled:
            return
        if self._file is not None:
            os.write(self._file, f"{name}\n".encode())
        if name == self._crash_at:
            self._passes_left -= 1
            if self._passes_left <= 0:
                os.kill(os.getpid(), signal.SIGKILL)
