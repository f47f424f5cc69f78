"""What a check of a file of routes reports: problems, each with an example that shows the harm."""

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
    """One problem, and what shows it."""

    problem: Problem
    witness: Witness | Example | None = None  # None: the text itself is wrong

    def __str__(self) -> str:
        return f"{self.problem}\n    shown by: {self.witness}" if self.witness else str(self.problem)


@dataclass(slots=True, frozen=True)
class Report:
    """Everything that was found in one file."""

    file: RoutesFile | None  # None: its form is wrong
    findings: tuple[Finding, ...]
    index: RouteIndex | None = None  # of the file's routes, compiled once

    @property
    def safe(self) -> bool:
        """Whether the file may be put in force."""
        return not self.findings
