"""What processes saw, on the one clock of the machine: lines of JSON, one a file a process.

A line is written when a call begins and another when it ends, so that a process that is ended in between
leaves a call of which nobody knows whether it was done.
"""

from __future__ import annotations

import json
import os
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple


class Call(NamedTuple):
    """One call by one process: from `begin` until `end`, which is infinite where no answer came."""

    by: str
    what: str
    given: Any
    begin: float
    end: float
    result: Any  # None with an infinite end: nobody knows

    @property
    def known(self) -> bool:
        return self.end != float("inf")


class History:
    """One process's own file."""

    def __init__(self, path: Path, by: str) -> None:
        self.by = by
        self.file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC, 0o600)
        self.count = 0

    def begin(self, what: str, given: Any = None) -> str:
        self.count += 1
        number = f"{os.getpid()}.{self.count}"  # a process begun anew goes on in the same file
        self._write({"n": number, "what": what, "given": given})
        return number

    def end(self, number: str, result: Any) -> None:
        self._write({"n": number, "result": result})

    def _write(self, row: dict[str, Any]) -> None:
        row |= {"at": time.clock_gettime(time.CLOCK_MONOTONIC), "by": self.by}
        os.write(self.file, json.dumps(row).encode() + b"\n")

    def close(self) -> None:
        os.close(self.file)


def read(paths: Iterable[Path]) -> list[Call]:
    """All calls of these files, by the time they began.  A last line cut off by an end of its process is
    none.
    """
    calls: list[Call] = []
    for path in paths:
        open_: dict[tuple[str, str], Call] = {}
        for line in path.read_bytes().splitlines():
            try:
                row = json.loads(line)
            except ValueError:
                continue
            mark = row["by"], row["n"]
            if "what" in row:
                open_[mark] = Call(row["by"], row["what"], row["given"], row["at"], float("inf"), None)
            else:
                calls.append(open_.pop(mark)._replace(end=row["at"], result=row["result"]))
        calls += open_.values()
    return sorted(calls, key=lambda call: call.begin)
