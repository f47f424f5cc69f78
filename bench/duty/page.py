"""Insert rows at the end of the tables of a page."""

from __future__ import annotations

import os
import shutil
import tempfile
from collections.abc import Sequence
from pathlib import Path

from bench.duty.report import Row
from bench.duty.tables import Table


class TableNotFound(LookupError):
    """A table that the page does not have under its heading, with its columns."""

    def __init__(self, table: Table) -> None:
        super().__init__(f"no table ({', '.join(table.columns)}) under the heading '{table.heading}'")


def write_rows(page: Path, rows: Sequence[Row]) -> None:
    """Insert the rows into the page, which is changed as a whole or not at all.

    Raises:
        TableNotFound: The page lacks the table of a row; it is left as it was.
    """
    changed = with_rows(page.read_text(encoding="utf-8"), rows)
    _replace_file(page, changed)


def with_rows(text: str, rows: Sequence[Row]) -> str:
    """The text of the page with each row at the end of its table."""
    lines = text.split("\n")
    for row in rows:
        lines.insert(_end_of_table(lines, row.table), row.text())
    return "\n".join(lines)


def _end_of_table(lines: list[str], table: Table) -> int:
    """The index of the first line after the table."""
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
    """Write a temporary file beside the file, and rename it."""
    descriptor, name = tempfile.mkstemp(dir=file.parent, prefix=f".{file.name}.")
    temporary = Path(name)
    try:
        with os.fdopen(descriptor, "w", encoding="utf-8") as stream:
            stream.write(text)
        shutil.copymode(file, temporary)
        temporary.replace(file)
    finally:
        temporary.unlink(missing_ok=True)
