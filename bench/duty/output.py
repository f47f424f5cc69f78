"""Parses the result of a play from the output of the kit's program."""

from __future__ import annotations

import re
from dataclasses import dataclass

from bench.duty.plays import Reading

# The line of one day.  Any text after the score reports a breach, such as "BROKEN: drain".
DAY = re.compile(r"^(\S+) +G -?\d\S* .* score (-?\d+\.\d+)(?: +(?:BROKEN: )?(\S.*))?$", re.MULTILINE)
SCORE = re.compile(r"^score of the real nodes (-?\d+\.\d+)\b", re.MULTILINE)
GATE = re.compile(r"^GATE (passed|failed)\b[: ]*(.*)$", re.MULTILINE)
# A broken rule is reported on a separate line or on an indented line below its day.
RULE = re.compile(r"^(?: +| *RULE BROKEN \([^)]*\): )(\w[\w ]*), (\d+ times?|once)\b", re.MULTILINE)
# The first estimate has no comparison with an earlier estimate, neither in total nor by day.
ESTIMATE = re.compile(r"^quick estimate on the standard days of .*?: (-?\d+\.\d+)[,;] (.*)$", re.MULTILINE)
ESTIMATED_DAY = re.compile(r"(\S+) (-?\d+\.\d+)(?: \([+-][\d.]+\))?[,;]")


class OutputError(ValueError):
    """An output contains no complete result."""


@dataclass(frozen=True)
class Day:
    """A day's name and score, and the rules that were broken on it."""

    name: str
    score: float
    broken: str = ""


@dataclass(frozen=True)
class Gate:
    """The verdict of the gate on a play, with the rule and day for which it failed."""

    passed: bool
    detail: str = ""


@dataclass(frozen=True)
class BrokenRule:
    """A rule that was broken on a day, and the reported number of breaches."""

    rule: str
    count: str


@dataclass(frozen=True)
class Result:
    """The result of a play.

    Attributes:
        score: The play's score.
        days: The days, in the order in which they were printed.
        gate: The verdict of the gate, or None if the program prints none.
        broken_rules: The rules reported as broken, with their counts.
    """

    score: float
    days: tuple[Day, ...]
    gate: Gate | None = None
    broken_rules: tuple[BrokenRule, ...] = ()

    @property
    def broken(self) -> bool:
        """Whether a rule was broken on any day."""
        return bool(self.broken_rules) or any(day.broken for day in self.days)

    @property
    def good(self) -> bool:
        """Whether no rule was broken and no gate failed."""
        return not self.broken and (self.gate is None or self.gate.passed)


def read_result(output: str, reading: Reading) -> Result:
    """Parse the result of a play from its output.

    Raises:
        OutputError: The output lacks the score, the days or the gate.
    """
    if reading is Reading.ESTIMATE:
        return _read_estimate(output)
    score = SCORE.findall(output)
    if not score:
        raise OutputError("no score was printed")
    days = tuple(Day(name, float(day_score), broken) for name, day_score, broken in DAY.findall(output))
    if not days:
        raise OutputError("a score was printed, but no day")
    gate = _last_gate(output)
    if gate is None and reading is Reading.GATED_SCORE:
        raise OutputError("a score was printed, but no verdict of the gate")
    return Result(float(score[-1]), days, gate, _broken_rules(output))


def _read_estimate(output: str) -> Result:
    estimates = ESTIMATE.findall(output)
    if not estimates:
        raise OutputError("no estimate was printed")
    score, rest = estimates[-1]
    days = tuple(Day(name, float(day_score)) for name, day_score in ESTIMATED_DAY.findall(rest))
    if not days:
        raise OutputError("an estimate was printed, but no day")
    return Result(float(score), days, broken_rules=_broken_rules(output))


def _last_gate(output: str) -> Gate | None:
    verdicts = GATE.findall(output)
    if not verdicts:
        return None
    verdict, detail = verdicts[-1]
    return Gate(verdict == "passed", detail.strip())


def _broken_rules(output: str) -> tuple[BrokenRule, ...]:
    return tuple(BrokenRule(rule.strip(), count) for rule, count in RULE.findall(output))
