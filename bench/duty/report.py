"""Formats outcomes as rows of the roadmap's tables and as summary lines."""

from __future__ import annotations

import re
from datetime import date
from typing import NamedTuple

from bench.duty import tables
from bench.duty.output import Day, Result
from bench.duty.plays import Play, Reading, Run
from bench.duty.runner import Outcome
from bench.duty.tables import Table

DAY_NUMBER = re.compile(r"-\d+$")
# Parts of the name of a day that denote the size of its fleet.
SIZES = ("mass", "huge", "vast")
PANELS = ("brink",)
LABEL_WIDTH = 32


class Row(NamedTuple):
    """A row for a table of the roadmap."""

    table: Table
    cells: tuple[str, ...]

    def text(self) -> str:
        """Return the row as a Markdown line; bars inside cells are replaced, as they would end a cell."""
        cells = [cell.replace("|", "/") for cell in self.cells]
        # The page represents an empty cell as one space.
        return "|" + "|".join(f" {cell} " if cell else " " for cell in cells) + "|"


def row_of(outcome: Outcome, why: str, today: date) -> Row | None:
    """Return the row that records a result, or None for a run without result."""
    result = outcome.result
    if result is None:
        return None
    table = outcome.run.play.table
    if table is tables.STANDING:
        return Row(table, _standing_cells(outcome.run.play, result, why, today))
    if table is tables.BRINK:
        return Row(table, _brink_cells(outcome.run, result, why))
    return Row(table, _plain_cells(outcome.run.play, result, why, today))


def summary_of(outcome: Outcome) -> str:
    """Return a line with the run, its score, its verdict and the file with its output."""
    label = outcome.run.name.ljust(LABEL_WIDTH)
    if outcome.result is None:
        return f"{label} NO RESULT: {outcome.failure} ({outcome.output_file.name})"
    result = outcome.result
    if result.good:
        verdict = "no rule broken" if result.gate is None else "GATE passed"
    else:
        verdict = f"FAILED: {_breach(result)}"
    return f"{label} {result.score:.3f} {verdict} ({outcome.output_file.name})"


def short_day_name(name: str) -> str:
    """Return the name of a day without its number, fleet size and panel."""
    parts = DAY_NUMBER.sub("", name).split("+")
    return "+".join(part for part in parts if part not in SIZES + PANELS)


def _standing_cells(play: Play, result: Result, why: str, today: date) -> tuple[str, ...]:
    scores: dict[str, list[str]] = {}
    for day in result.days:
        scores.setdefault(short_day_name(day.name), []).append(f"{day.score:.2f}")
    days = [", ".join(scores.get(name, [])) for name in tables.STANDING_DAYS]
    kind = f"{play.kind}, {why}"
    return (today.isoformat(), _gate_cell(result), f"{result.score:.3f}", *days, kind)


def _brink_cells(run: Run, result: Result, why: str) -> tuple[str, ...]:
    """Put all days into the first day cell, because the panel has days that have no column."""
    days = ", ".join(f"{short_day_name(day.name)} {day.score:.2f}" for day in result.days)
    unused = [""] * (len(tables.BRINK_DAYS) - 1)
    program = why if run.on_first_site else f"{run.site.name}, {why}"
    return (str(run.seed), _gate_cell(result), f"{result.score:.3f}", days, *unused, program)


def _plain_cells(play: Play, result: Result, why: str, today: date) -> tuple[str, ...]:
    score = f"{result.score:.3f}"
    if play.table is not tables.EARLIER or play.reading is Reading.ESTIMATE:
        score = f"{score} ({_scores(result.days)})"
    kind = f"{play.kind}, {why}"
    if not result.good:
        kind = f"{kind}; **broken** ({_breach(result)})"
    return (today.isoformat(), score, kind)


def _scores(days: tuple[Day, ...]) -> str:
    return ", ".join(f"{day.score:.2f}" for day in days)


def _gate_cell(result: Result) -> str:
    if result.good:
        return "passed"
    if result.gate is not None and result.gate.passed:
        return f"passed, **broken** ({_breach(result)})"
    return f"**failed** ({_breach(result)})"


def _breach(result: Result) -> str:
    """Describe a failure by the detail of the gate or the broken days, and by the counts of broken rules."""
    parts = [result.gate.detail] if result.gate and not result.gate.passed and result.gate.detail else []
    if not parts:
        parts = [f"{day.broken}, {day.name}" for day in result.days if day.broken]
    parts += [f"{broken.rule}, {broken.count}" for broken in result.broken_rules]
    return "; ".join(parts) or "gate failed, no reason printed"
