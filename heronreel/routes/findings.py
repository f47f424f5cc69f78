"""The report of a check of a routes file: its problems, each with a witness that proves it."""

from __future__ import annotations

from dataclasses import dataclass

from heronreel.routes.index import Example, RouteIndex
from heronreel.routes.model import Problem, RoutesFile
from heronreel.routes.timeline import RequestTerms, TimelineEvent


@dataclass(slots=True, frozen=True)
class Witness:
    """A timeline that breaks `rule` under `terms`."""

    rule: str
    terms: RequestTerms
    events: tuple[TimelineEvent, ...]

    def __str__(self) -> str:
        return "; ".join(str(event) for event in self.events if event.note)


@dataclass(slots=True, frozen=True)
class Finding:
    """A problem and its witness."""

    problem: Problem
    witness: Witness | Example | None = None  # None for problems of the file's form

    def __str__(self) -> str:
        return f"{self.problem}\n    shown by: {self.witness}" if self.witness else str(self.problem)


@dataclass(slots=True, frozen=True)
class Report:
    """All findings of one file."""

    file: RoutesFile | None  # None if the file could not be parsed
    findings: tuple[Finding, ...]
    index: RouteIndex | None = None  # the compiled index of the file's routes

    @property
    def safe(self) -> bool:
        """Whether the file has no findings, so that it may be served."""
        return not self.findings
