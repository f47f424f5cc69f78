"""The record of a run: what was sent, answered and run, in order, with times since the start."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Collects lines and writes them to a file."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.began_at = time.monotonic()
        self.lines: list[str] = []

    def add(self, text: str) -> None:
        """Add a line with the present time."""
        line = f"{time.monotonic() - self.began_at:9.3f} {text}"
        self.lines.append(line)

    def write(self) -> None:
        """Write all lines to the file."""
        self.path.write_text("\n".join(self.lines) + "\n")
