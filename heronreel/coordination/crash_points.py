"""Named points of a program at which a test can watch a process, or crash it.

Under test the environment has a process crash the n-th time it reaches a point (`HERONREEL_END_AT=NAME:N`),
and name a file to which each point is written as it is reached (`HERONREEL_POINTS`).
"""

from __future__ import annotations

import os
import signal

CRASH_AT_VARIABLE = "HERONREEL_END_AT"
POINTS_FILE_VARIABLE = "HERONREEL_POINTS"


class CrashPoints:
    """The points of this process.  Outside of tests, reaching one does nothing."""

    def __init__(self) -> None:
        """Reads the environment; opens the file, which stays open as long as the process runs."""
        name, _, count = os.environ.get(CRASH_AT_VARIABLE, "").partition(":")
        self._crash_at = name
        self._left = int(count or 0)
        path = os.environ.get(POINTS_FILE_VARIABLE)
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
        self._file = os.open(path, flags) if path else None
        self._enabled = bool(name or path)

    def reach(self, name: str) -> None:
        """Announce that the process has reached the point of that name."""
        if not self._enabled:
            return
        if self._file is not None:
            os.write(self._file, f"{name}\n".encode())
        if name == self._crash_at:
            self._left -= 1
            if self._left <= 0:
                os.kill(os.getpid(), signal.SIGKILL)
