"""Reads TOML files that operators write into checked values, and reports every problem with its line.

This module has the checks that all such files share: limits on the size of the text, line numbers, unknown
fields, types, and duplicate names.  Which tables a file must have is decided by the module that loads it
(`load` for routes files).
"""

from __future__ import annotations

import difflib
import functools
import math
import re
import tomllib
import typing
from collections.abc import Iterable
from typing import Any

import msgspec

from heronreel.routes.model import Path, Problem
from heronreel.routes.source import key_lines

# 10,000 routes take about 2 MB.  TOML is parsed by slow code, and a reload must not stall.
MAX_FILE_BYTES = 4 << 20
# A key of thousands of dotted parts costs the square of their number.
MAX_LINE_CHARACTERS = 16 << 10
MAX_PROBLEMS = 500  # Further problems are only counted.
_PARSER_POSITION = re.compile(r"\(at (?:line (\d+), column \d+|end of document)\)")


class ConfigFileError(Exception):
    """A file that can't be used.  `problems` lists everything that is wrong with it, sorted by line."""

    def __init__(self, problems: list[Problem]) -> None:
        self.problems = sorted(problems, key=lambda problem: problem.line)
        super().__init__("; ".join(str(problem) for problem in self.problems[:3]))


def describe_value(value: object) -> str:
    """Return a short description of a value, as an operator would write it in the file."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, dict):
        return f"a table of {len(value)}"
    if isinstance(value, list):
        return f"a list of {len(value)}"
    if isinstance(value, float) and not math.isfinite(value):
        return str(value)
    if isinstance(value, str):
        return f'"{value[:40]}{"…" if len(value) > 40 else ""}"'
    if isinstance(value, int) and abs(value) > 10**15:
        return "a number of over 15 digits"
    return str(value)[:40]


def parse_toml(data: bytes) -> tuple[dict[str, Any], dict[Path, int]]:
    """Parse a TOML text and return its tables, and the line of each key.

    Raises:
        ConfigFileError: the text is too long, or it is not valid UTF-8 or TOML.
    """

    def text_error(line: int, wrong: str, right: str) -> ConfigFileError:
        return ConfigFileError([Problem(line, "file", wrong, right, "text")])

    if len(data) > MAX_FILE_BYTES:
        raise text_error(0, f"has {len(data):,} bytes", f"at most {MAX_FILE_BYTES:,} are read")
    data = data.removeprefix(b"\xef\xbb\xbf")  # Some editors write a byte order mark.
    if (position := data.find(b"\0")) >= 0:
        raise text_error(data.count(b"\n", 0, position) + 1, "holds a NUL byte", "expected TOML in UTF-8")
    try:
        text = data.decode()
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        raise text_error(line, f"byte {error.start} is not UTF-8", "expected TOML in UTF-8") from None
    for number, row in enumerate(text.split("\n"), 1):
        if len(row) > MAX_LINE_CHARACTERS:
            raise text_error(
                number, f"a line of {len(row):,} characters", f"at most {MAX_LINE_CHARACTERS:,} are read"
            )
    text = text.replace("\r\n", "\n")
    try:
        raw = tomllib.loads(text)
        return raw, key_lines(text)
    except RecursionError:
        raise text_error(0, "is nested too deeply", "expected tables and lists a few levels deep") from None
    except ValueError as error:
        found = _PARSER_POSITION.search(str(error))
        line = int(found[1]) if found and found[1] else text.count("\n") + 1 if found else 0
        raise text_error(
            line, f"is no TOML: {_PARSER_POSITION.sub('', str(error)).strip()}", "see toml.io"
        ) from None


@functools.cache
def _fields(spec: type[msgspec.Struct]) -> dict[str, Any]:
    return {field.encode_name: field for field in msgspec.structs.fields(spec)}


def _expected(field_type: Any) -> str:
    """Return the text "expected ..." with the description of a field's type.

    If the type is a union, the first description in its members is used.
    """
    for member_type in (field_type, *typing.get_args(field_type)):
        for meta in getattr(member_type, "__metadata__", ()):
            if isinstance(meta, msgspec.Meta) and meta.description:
                return f"expected {meta.description}"
    return "expected another value"


class TableReader:
    """Reads the tables of a TOML text field by field and collects every problem with its line."""

    def __init__(self, raw: dict[str, Any], lines: dict[Path, int]) -> None:
        self.raw = raw
        self.lines = lines
        self.problems: list[Problem] = []
        self.omitted_problems = 0

    def add_problem(self, path: Path, wrong: str, right: str, rule: str = "form") -> None:
        """Record a problem at the line of this path, or of the nearest enclosing table."""
        if len(self.problems) >= MAX_PROBLEMS:
            self.omitted_problems += 1
            return
        located = path
        while located and located not in self.lines:
            located = located[:-1]
        self.problems.append(Problem(self.lines.get(located, 0), self._field_name(path), wrong, right, rule))

    def _field_name(self, path: Path) -> str:
        """Return a path as operators write it: ("routes", 3, "attempts") as routes.salva-profilo.attempts."""
        parts: list[str] = []
        value: Any = self.raw
        for step in path:
            value = (
                value[step]
                if isinstance(value, list) and isinstance(step, int) and step < len(value)
                else (value.get(step) if isinstance(value, dict) else None)
            )
            if isinstance(step, str):
                parts.append(f".{step}")
            elif isinstance(value, dict) and isinstance(value.get("name"), str) and value["name"]:
                parts.append(f".{value['name'][:64]}")
            else:
                parts.append(f"[{step}]")
        return "".join(parts).lstrip(".") or "file"

    def read_table(self, raw: object, path: Path, spec: type[msgspec.Struct]) -> dict[str, Any]:
        """Return the valid fields of a table by name; record a problem for each invalid or missing one."""
        fields = _fields(spec)
        if not isinstance(raw, dict):
            self.add_problem(path, f"is {describe_value(raw)}", "expected a table")
            return {}
        values: dict[str, Any] = {}
        for name, value in raw.items():
            field = fields.get(name)
            if field is None:
                similar = difflib.get_close_matches(name, fields, 1)
                right = (
                    f"did you mean {similar[0]!r}?" if similar else f"known here: {', '.join(sorted(fields))}"
                )
                self.add_problem((*path, name), "no such field", right, "unknown-field")
                continue
            try:
                values[name] = msgspec.convert(value, field.type, strict=True)
            except msgspec.ValidationError as error:
                location = re.search(r"`\$(.*)`", str(error))
                suffix = f" at {location[1]}" if location else ""
                self.add_problem((*path, name), f"is {describe_value(value)}{suffix}", _expected(field.type))
        for name, field in fields.items():
            if field.required and name not in raw:
                self.add_problem(path, f"{name} is missing", _expected(field.type), "missing-field")
        return values

    def read_tables(self, raw: object, path: Path, limit: int) -> list[tuple[Path, dict[str, Any]]]:
        """Return the tables of an array, each with its path; `limit` is the most that it may have."""
        if raw is msgspec.UNSET or raw is None or raw == ():
            return []
        if not isinstance(raw, list) or not all(isinstance(row, dict) for row in raw):
            self.add_problem(
                path,
                f"is {describe_value(raw)}",
                f"expected tables, each under [[{'.'.join(map(str, path))}]]",
            )
            return []
        if len(raw) > limit:
            self.add_problem(path, f"has {len(raw):,} entries", f"at most {limit:,} are allowed")
            return []
        return [((*path, index), row) for index, row in enumerate(raw)]

    def check_unique(self, rows: Iterable[tuple[Path, str]], kind: str) -> None:
        """Record a problem for each duplicate name, with the line of the first use."""
        seen: dict[str, Path] = {}
        for path, name in rows:
            if name in seen:
                first = self.lines.get(seen[name], 0)
                self.add_problem(
                    path, f"{kind} {name!r} is already used on line {first}", f"each {kind} once", "duplicate"
                )
            seen.setdefault(name, path)

    def check_lease(self, path: Path, lease_s: float, answer_s: float, margin_s: float) -> None:
        """Record a problem unless a third of the lease leaves time for a response and the margin."""
        shortest_s = 3 * (answer_s + margin_s)
        if lease_s < shortest_s:
            reason = "a third is left for an answer of answer_s and the margin of margin_s"
            self.add_problem(path, f"is {lease_s}", f"at least {shortest_s:g}: {reason}", "lease")

    def raise_problems(self) -> None:
        """Raise ConfigFileError with all recorded problems, if there are any."""
        if self.problems:
            if self.omitted_problems:
                more = Problem(0, "file", f"{self.omitted_problems} more problems", "fix the others first")
                self.problems.append(more)
            raise ConfigFileError(self.problems)
