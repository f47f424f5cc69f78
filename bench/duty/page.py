"""Appends rows to the tables of a Markdown page."""

from __future__ import annotations

import os
import shutil
import tempfile
from collections.abc import Sequence
from pathlib import Path

from bench.duty.report import Row
from bench.duty.tables import Table


class TableNotFound(LookupError):
    """The page has no table with these columns under the heading."""

    def __init__(self, table: Table) -> None:
        super().__init__(f"no table ({', '.join(table.columns)}) under the heading '{table.heading}'")


def write_rows(page: Path, rows: Sequence[Row]) -> None:
    """Insert all rows into the page, or leave it unchanged.

    Raises:
        TableNotFound: The page lacks the table of a row; the page is unchanged.
    """
    changed = with_rows(page.read_text(encoding="utf-8"), rows)
    _replace_file(page, changed)


def with_rows(text: str, rows: Sequence[Row]) -> str:
    """Return the text of the page with each row appended to its table."""
    lines = text.split("\n")
    for row in rows:
        lines.insert(_end_of_table(lines, row.table), row.text())
    return "\n".join(lines)


def _end_of_table(lines: list[str], table: Table) -> int:
    """Return the index of the first line after the table."""
    if table.heading not in lines:
        raise TableNotFound(table)
    header = f"| {' | '.join(table.columns)} |"
    index = lines.index(table.heading) + 1
    while index < len(lines) and lines[index] != header:
        if lines[index].startswith("#"):  # the next heading
            raise TableNotFound(table)
        index += 1
    if index == len(lines):
        raise TableNotFound(table)
    while index < len(lines) and lines[index].startswith("|"):
        index += 1
    return index


def _replace_file(file: Path, text: str) -> None:
    """Replace the file atomically by renaming a temporary file in the same folder."""
    descriptor, name = tempfile.mkstemp(dir=file.parent, prefix=f".{file.name}.")
    temporary = Path(name)
    try:
        with os.fdopen(descriptor, "w", encoding="utf-8") as stream:
            stream.write(text)
        shutil.copymode(file, temporary)
        temporary.replace(file)
    finally:
        temporary.unlink(missing_ok=True)
