"""The frame of a case: its record, its time limit and its exit status."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from enum import IntEnum
from pathlib import Path

# A case may run for 120 s; the rest is for the start of the interpreter and for ending processes.
TIME_LIMIT_S = 110.0


class Verdict(IntEnum):
    """The result of a case, which is the exit status of its script."""

    HELD = 0
    BROKEN = 1
    COULD_NOT_RUN = 2


class Record:
    """The file `record.txt` of a case: what was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def note(self, text: str) -> None:
        """Write one line, also to standard output."""
        line = f"{time.monotonic() - self._started_at:8.3f}  {text}"
        self._file.write(line + "\n")
        self._file.flush()
        print(line, flush=True)


CaseBody = Callable[[Record, Path, bool], Awaitable[Verdict]]


def run_case(folder: Path, body: CaseBody) -> None:
    """Run a case with a temporary folder, and exit with its verdict.

    Args:
        folder: The folder of the case, which gets `record.txt`.
        body: The case; it is told whether the disruption takes place.
    """
    disrupted = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.note(f"case {folder.name}, disruption: {'yes' if disrupted else 'no'}")
    with tempfile.TemporaryDirectory(prefix="review-") as temporary:
        verdict = asyncio.run(_run_limited(record, Path(temporary), disrupted, body))
    record.note(f"verdict: {verdict.name}")
    sys.exit(verdict)


async def _run_limited(record: Record, temporary: Path, disrupted: bool, body: CaseBody) -> Verdict:
    try:
        async with asyncio.timeout(TIME_LIMIT_S):
            return await body(record, temporary, disrupted)
    except Exception:
        record.note(traceback.format_exc())
        return Verdict.COULD_NOT_RUN
