"""Reading the files that commands name."""

from __future__ import annotations

from pathlib import Path

from heronreel.routes.load import BYTES_MOST
from heronreel.routes.model import Problem
from heronreel.routes.proof import Finding, Report, check


def read(path: str) -> bytes:
    """A file's bytes, and one beyond the most that is taken, so that `load` can say so.  Raises OSError."""
    with Path(path).open("rb") as file:
        return file.read(BYTES_MOST + 1)


def checked(path: str) -> Report:
    """The report on a file; one that can't be read is a finding too."""
    try:
        return check(read(path))
    except OSError as error:
        problem = Problem(
            0, "file", f"can't be read: {error.strerror or error}", "a readable file", "unreadable"
        )
        return Report(None, (Finding(problem),))
