"""Reads and checks routes files for commands and reloads."""

from __future__ import annotations

from pathlib import Path

from heronreel.routes.findings import Finding, Report
from heronreel.routes.model import PlatformLimits, Problem
from heronreel.routes.proof import check_routes
from heronreel.routes.reader import MAX_FILE_BYTES


def check_file(path: str, platform: PlatformLimits | None = None) -> Report:
    """Read a file and return the report of its check; an unreadable file is reported as a finding."""
    try:
        with Path(path).open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)  # One byte more than allowed lets the check report the size.
    except OSError as error:
        wrong = f"can't be read: {error.strerror or error}"
        return Report(None, (Finding(Problem(0, "file", wrong, "a readable file", "unreadable")),))
    return check_routes(data, platform)
