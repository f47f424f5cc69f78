"""Histories of the operations of processes, with times of the machine's monotonic clock.

Each process appends lines of JSON to its own file: one when an operation starts and one when it ends.  A
process that is killed in between leaves an operation whose outcome is unknown.
"""

from __future__ import annotations

import json
import os
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

UNKNOWN_END = float("inf")


class Operation(NamedTuple):
    """One operation by one process.

    Times are seconds of the machine's monotonic clock.
    """

    process: str
    kind: str
    arguments: Any
    start: float
    end: float  # UNKNOWN_END if there was no response
    result: Any  # None if `end` is UNKNOWN_END

    @property
    def completed(self) -> bool:
        """Whether the process got a response."""
        return self.end != UNKNOWN_END


class HistoryWriter:
    """Writes the history of one process."""

    def __init__(self, path: Path, process: str) -> None:
        """Open the file at `path` for appending; it is created if needed."""
        self.process = process
        self.file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC, 0o600)
        self.count = 0

    def start(self, kind: str, arguments: Any = None) -> str:
        """Record the start of an operation, and return its id for `end`."""
        self.count += 1
        operation_id = f"{os.getpid()}.{self.count}"  # unique even if a restarted process uses the same file
        self._write({"id": operation_id, "kind": kind, "arguments": arguments})
        return operation_id

    def end(self, operation_id: str, result: Any) -> None:
        """Record the end of an operation and its result."""
        self._write({"id": operation_id, "result": result})

    def _write(self, row: dict[str, Any]) -> None:
        row |= {"at": time.clock_gettime(time.CLOCK_MONOTONIC), "process": self.process}
        os.write(self.file, json.dumps(row).encode() + b"\n")

    def close(self) -> None:
        """Close the file."""
        os.close(self.file)


def read_histories(paths: Iterable[Path]) -> list[Operation]:
    """Return all operations in the files, ordered by start time.

    An incomplete last line, left by a process that was killed, is ignored.
    """
    operations: list[Operation] = []
    for path in paths:
        operations += _read_history(path)
    return sorted(operations, key=lambda operation: operation.start)


def _read_history(path: Path) -> list[Operation]:
    operations: list[Operation] = []
    pending: dict[tuple[str, str], Operation] = {}
    for line in path.read_bytes().splitlines():
        try:
            row = json.loads(line)
        except ValueError:
            continue
        key = row["process"], row["id"]
        if "kind" in row:
            pending[key] = Operation(
                row["process"], row["kind"], row["arguments"], row["at"], UNKNOWN_END, None
            )
        else:
            operations.append(pending.pop(key)._replace(end=row["at"], result=row["result"]))
    return [*operations, *pending.values()]
