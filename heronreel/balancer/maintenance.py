"""Backends that operators take out of service, and how cold one is when it is back.  Part of the decisions.

Operators overrule the list, which is late: a backend comes back restarted and cold before the list shows it.
"""

from dataclasses import replace

from heronreel.balancer.interface import BackendInfo


class Maintenance:
    """Maintenance by backend.  It lasts until its end, any other entry as long as its line on the list."""

    def __init__(self) -> None:
        self.began: dict[int, float] = {}
        self.lines: dict[int, BackendInfo] = {}  # the newest line of those out of service
        self.ended: dict[int, tuple[float, float]] = {}  # began at, ended at

    def begin(self, since: float, backend: int, line: BackendInfo | None) -> None:
        """Take a backend out of service.  A second call says nothing new: one end ends both."""
        self.began.setdefault(backend, since)
        if line is not None:
            self.lines[backend] = line

    def end(self, began: float, now: float, backend: int) -> BackendInfo | None:
        """The line that a backend comes back with, if the list still has it."""
        since = self.began.pop(backend, began)  # by `began` where another process of the proxy saw it begin
        self.ended[backend] = (since, now)
        line = self.lines.pop(backend, None)
        return self.effective(line) if line is not None else None

    def effective(self, line: BackendInfo) -> BackendInfo | None:
        """What counts of a line of the list; None while its backend is out of service."""
        if line.backend in self.began:
            self.lines[line.backend] = line
            return None
        since, at = self.ended.get(line.backend, (-1.0, 0.0))
        # guards rule 4: the list may not have heard of the restart yet
        return replace(line, started_ms=at) if line.started_ms <= since else line

    def forget(self, backend: int) -> None:
        """Drop a backend that is not listed any more.  Maintenance stays in force: its name may come back."""
        self.lines.pop(backend, None)
        self.ended.pop(backend, None)

    def missing(self, listed: set[int]) -> list[int]:
        """Those with a line or an end here that a full list no longer has."""
        return [backend for backend in (*self.lines, *self.ended) if backend not in listed]
