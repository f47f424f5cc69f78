"""Reading and checking the files that commands and reloads name."""

from __future__ import annotations

from pathlib import Path

from heronreel.routes.model import Limits, Problem
from heronreel.routes.proof import Finding, Report, check
from heronreel.routes.reader import BYTES_MOST


def check_file(path: str, platform: Limits | None = None) -> Report:
    """The report on a file; a file that can't be read is reported as a finding."""
    try:
        with Path(path).open("rb") as file:
            data = file.read(BYTES_MOST + 1)  # one beyond the limit, so that `load` reports it
    except OSError as error:
        wrong = f"can't be read: {error.strerror or error}"
        problem = Problem(0, "file", wrong, "a readable file", "unreadable")
        return Report(None, (Finding(problem),))
    return check(data, platform)
