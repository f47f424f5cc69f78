"""Reading the files that commands and reloads name."""

from __future__ import annotations

from pathlib import Path

from heronreel.routes.findings import Finding, Report
from heronreel.routes.model import PlatformLimits, Problem
from heronreel.routes.proof import check_routes
from heronreel.routes.reader import MAX_FILE_BYTES


def check_file(path: str, platform: PlatformLimits | None = None) -> Report:
    """The report on a file; one that can't be read is a finding too."""
    try:
        with Path(path).open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)  # one beyond the most, so that `load` can say so
    except OSError as error:
        wrong = f"can't be read: {error.strerror or error}"
        return Report(None, (Finding(Problem(0, "file", wrong, "a readable file", "unreadable")),))
    return check_routes(data, platform)
