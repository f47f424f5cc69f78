"""Backends that operators hold out, and how cold one is when it comes back.  Part of the decisions.

What an operator said stands until the operator says otherwise, whatever the list says in between: a list is
late, and one read anew after a restart of discovery has forgotten.  A backend is held out so that it can be
restarted, so it comes back cold, and the list tells of its start only some seconds later.
"""

from __future__ import annotations

from dataclasses import replace

from heronreel.balancer.interface import BackendInfo


class Maintenance:
    """Holds and releases by backend.  A hold lasts until its release, any other entry as long as its line."""

    __slots__ = ("held", "lines", "released")

    def __init__(self) -> None:
        self.held: dict[int, float] = {}  # since when
        self.lines: dict[int, BackendInfo] = {}  # the newest line of those held
        self.released: dict[int, tuple[float, float]] = {}  # held since, released at

    def hold(self, since: float, backend: int, line: BackendInfo | None) -> None:
        """Give a backend no turn any more.  A second hold says nothing new: one release ends both."""
        self.held.setdefault(backend, since)
        if line is not None:
            self.lines[backend] = line

    def release(self, held_since: float, now: float, backend: int) -> BackendInfo | None:
        """The line that a backend comes back with, if the list still has it.

        `held_since`: where this module has seen no hold, since another process of the proxy took it.
        """
        since = self.held.pop(backend, held_since)
        self.released[backend] = (since, now)
        line = self.lines.pop(backend, None)
        return self.admit(line) if line is not None else None

    def admit(self, line: BackendInfo) -> BackendInfo | None:
        """What counts of a line that the list tells; None while its backend is held."""
        if line.backend in self.held:
            self.lines[line.backend] = line
            return None
        since, at = self.released.get(line.backend, (-1.0, 0.0))
        # guards rule 4: the list may not have heard of the restart yet
        return replace(line, started_ms=at) if line.started_ms <= since else line

    def gone(self, backend: int) -> None:
        """The list has it no more.  A hold stays in force, for its name may come back."""
        self.lines.pop(backend, None)
        self.released.pop(backend, None)

    def missing(self, listed: set[int]) -> list[int]:
        """Those this knows a line of that a whole list no longer has."""
        return [backend for backend in (*self.lines, *self.released) if backend not in listed]
