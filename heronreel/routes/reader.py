"""TOML texts to checked values, with every problem of form at its line.  For all files that operators write.

What a file must hold is its reader's to say (`load` for files of routes); here is what all have in common:
the bounds of the text, lines, unknown fields, types, and names that stand twice.
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

MAX_FILE_BYTES = (
    4 << 20
)  # 10,000 routes take some 2 MB; TOML is read by slow code, and a reload must not stall
MAX_LINE_LENGTH = 16 << 10  # characters; a key of thousands of dotted parts costs their square
MAX_PROBLEMS = 500
_PLACE = re.compile(r"\(at (?:line (\d+), column \d+|end of document)\)")


class ConfigFileError(Exception):
    """A file that can't be used; `problems` holds all that is wrong with it, by line."""

    def __init__(self, problems: list[Problem]) -> None:
        self.problems = sorted(problems, key=lambda problem: problem.line)
        super().__init__("; ".join(str(problem) for problem in self.problems[:3]))


def describe_value(value: object) -> str:
    """A value as the file would have it, short."""
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
    """A text's tables, and the line of each key.

    Raises:
        ConfigFileError: the text is too long, no UTF-8 or no TOML.
    """

    def refuse(line: int, wrong: str, right: str) -> ConfigFileError:
        return ConfigFileError([Problem(line, "file", wrong, right, "text")])

    if len(data) > MAX_FILE_BYTES:
        raise refuse(0, f"has {len(data):,} bytes", f"at most {MAX_FILE_BYTES:,} are read")
    data = data.removeprefix(b"\xef\xbb\xbf")  # editors on some systems put a byte order mark first
    if (place := data.find(b"\0")) >= 0:
        raise refuse(data.count(b"\n", 0, place) + 1, "holds a NUL byte", "expected TOML in UTF-8")
    try:
        text = data.decode()
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        raise refuse(line, f"byte {error.start} is not UTF-8", "expected TOML in UTF-8") from None
    for number, row in enumerate(text.split("\n"), 1):
        if len(row) > MAX_LINE_LENGTH:
            raise refuse(
                number, f"a line of {len(row):,} characters", f"at most {MAX_LINE_LENGTH:,} are read"
            )
    text = text.replace("\r\n", "\n")
    try:
        raw = tomllib.loads(text)
        return raw, key_lines(text)
    except RecursionError:
        raise refuse(0, "is nested too deeply", "expected tables and lists a few levels deep") from None
    except ValueError as error:
        found = _PLACE.search(str(error))
        line = int(found[1]) if found and found[1] else text.count("\n") + 1 if found else 0
        raise refuse(line, f"is no TOML: {_PLACE.sub('', str(error)).strip()}", "see toml.io") from None


@functools.cache
def _fields(spec: type[msgspec.Struct]) -> dict[str, Any]:
    return {field.encode_name: field for field in msgspec.structs.fields(spec)}


def _wanted(kind: Any) -> str:
    """The description of a field's type; of its first part where it may be absent."""
    for part in (kind, *typing.get_args(kind)):
        for meta in getattr(part, "__metadata__", ()):
            if isinstance(meta, msgspec.Meta) and meta.description:
                return f"expected {meta.description}"
    return "expected another value"


class TableReader:
    """Tables of a TOML text, field by field; every problem is kept with its line."""

    def __init__(self, raw: dict[str, Any], lines: dict[Path, int]) -> None:
        self.raw = raw
        self.lines = lines
        self.problems: list[Problem] = []
        self.omitted_problems = 0

    def add_problem(self, path: Path, wrong: str, right: str, rule: str = "form") -> None:
        """Note a problem at the line of this path, or of the nearest table that holds it."""
        if len(self.problems) >= MAX_PROBLEMS:
            self.omitted_problems += 1
            return
        at = path
        while at and at not in self.lines:
            at = at[:-1]
        self.problems.append(Problem(self.lines.get(at, 0), self._field_name(path), wrong, right, rule))

    def _field_name(self, path: Path) -> str:
        """("routes", 3, "attempts") as routes.salva-profilo.attempts."""
        words: list[str] = []
        here: Any = self.raw
        for step in path:
            here = (
                here[step]
                if isinstance(here, list) and isinstance(step, int) and step < len(here)
                else (here.get(step) if isinstance(here, dict) else None)
            )
            if isinstance(step, str):
                words.append(f".{step}")
            elif isinstance(here, dict) and isinstance(here.get("name"), str) and here["name"]:
                words.append(f".{here['name'][:64]}")
            else:
                words.append(f"[{step}]")
        return "".join(words).lstrip(".") or "file"

    def read_table(self, raw: object, path: Path, spec: type[msgspec.Struct]) -> dict[str, Any]:
        """The fields that are set and right, by name; a problem for each that is not."""
        fields = _fields(spec)
        if not isinstance(raw, dict):
            self.add_problem(path, f"is {describe_value(raw)}", "expected a table")
            return {}
        values: dict[str, Any] = {}
        for name, value in raw.items():
            field = fields.get(name)
            if field is None:
                near = difflib.get_close_matches(name, fields, 1)
                right = f"did you mean {near[0]!r}?" if near else f"known here: {', '.join(sorted(fields))}"
                self.add_problem((*path, name), "no such field", right, "unknown-field")
                continue
            try:
                values[name] = msgspec.convert(value, field.type, strict=True)
            except msgspec.ValidationError as error:
                place = re.search(r"`\$(.*)`", str(error))
                where = f" at {place[1]}" if place else ""
                self.add_problem((*path, name), f"is {describe_value(value)}{where}", _wanted(field.type))
        for name, field in fields.items():
            if field.required and name not in raw:
                self.add_problem(path, f"{name} is missing", _wanted(field.type), "missing-field")
        return values

    def read_tables(self, raw: object, path: Path, most: int) -> list[tuple[Path, dict[str, Any]]]:
        """An array of tables, with the path of each."""
        if raw is msgspec.UNSET or raw is None or raw == ():
            return []
        if not isinstance(raw, list) or not all(isinstance(row, dict) for row in raw):
            self.add_problem(
                path,
                f"is {describe_value(raw)}",
                f"expected tables, each under [[{'.'.join(map(str, path))}]]",
            )
            return []
        if len(raw) > most:
            self.add_problem(path, f"has {len(raw):,} entries", f"at most {most:,} are allowed")
            return []
        return [((*path, place), row) for place, row in enumerate(raw)]

    def check_unique(self, rows: Iterable[tuple[Path, str]], what: str) -> None:
        """Each name once; a second one names the line of the first."""
        seen: dict[str, Path] = {}
        for path, name in rows:
            if name in seen:
                first = self.lines.get(seen[name], 0)
                self.add_problem(
                    path, f"{what} {name!r} stands on line {first} already", f"each {what} once", "duplicate"
                )
            seen.setdefault(name, path)

    def check_lease(self, path: Path, lease_s: float, answer_s: float, margin_s: float) -> None:
        """A lease has to leave a third of itself for an answer and the margin."""
        least = 3 * (answer_s + margin_s)
        if lease_s < least:
            rest = "a third is left for an answer of answer_s and the margin of margin_s"
            self.add_problem(path, f"is {lease_s}", f"at least {least:g}: {rest}", "lease")

    def raise_problems(self) -> None:
        """Raise BadFile with all that was found wrong, if anything was."""
        if self.problems:
            if self.omitted_problems:
                more = Problem(0, "file", f"{self.omitted_problems} more problems", "mend the others first")
                self.problems.append(more)
            raise ConfigFileError(self.problems)
