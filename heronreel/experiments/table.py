"""Stores results in a folder of Parquet files: one file for each play, until the files are merged.

The row of a play is written to a temporary file that is synced and renamed, so a sweep that is killed during
a write leaves no partial row: a file without its final name is never read, and the next sweep deletes it.
Merging writes one new file in the same way before the small files are deleted.  A row that is in both is
recognised as the same row by its key.
"""

from __future__ import annotations

import os
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any

import pyarrow as pa
import pyarrow.parquet as pq

from heronreel.experiments.errors import UnreadableResultsError

MERGED_FILE = "plays.parquet"
PART_PREFIX = "part-"
UNFINISHED_SUFFIX = ".unfinished"
UNREADABLE_SUFFIX = ".unreadable"
# Version of the columns; files of any other version are rejected.
FORMAT_VERSION = 1
FORMAT_KEY = "heronreel.format"
# Prefix of the names of columns that hold settings.
SETTING_PREFIX = "set "

ResultRow = dict[str, Any]
"""The row of one play, by column name."""


class ResultsTable:
    """The result rows in a folder; only one process may write at a time."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder

    def prepare(self) -> None:
        """Create the folder and delete unfinished files of a killed sweep."""
        self.folder.mkdir(parents=True, exist_ok=True)
        for path in self.folder.glob(f"*{UNFINISHED_SUFFIX}"):
            path.unlink()

    def add(self, key: str, row: ResultRow) -> None:
        """Write one row durably to a separate file."""
        self._write(self.folder / f"{PART_PREFIX}{key}.parquet", [{"key": key, **row}])

    def rows(self) -> list[ResultRow]:
        """Return all rows, ordered by key; a row that is in two files is returned once.

        Raises:
            UnreadableResultsError: A file cannot be read.
        """
        by_key: dict[str, ResultRow] = {}
        for path in self._files():
            for row in read_file(path):
                by_key[row["key"]] = row
        return [by_key[key] for key in sorted(by_key)]

    def keys(self) -> set[str]:
        """Return the keys of the completed plays.

        A file that cannot be read is renamed, and its plays count as not completed.
        """
        keys: set[str] = set()
        for path in self._files():
            try:
                keys |= {row["key"] for row in read_file(path)}
            except UnreadableResultsError:
                path.rename(path.with_suffix(UNREADABLE_SUFFIX))
        return keys

    def merge_files(self) -> int:
        """Merge all rows into one file and return their number."""
        parts = [path for path in self._files() if path.name != MERGED_FILE]
        rows = self.rows()
        if parts:
            self._write(self.folder / MERGED_FILE, rows)
            for path in parts:
                path.unlink()
        return len(rows)

    def _files(self) -> list[Path]:
        merged = self.folder / MERGED_FILE
        parts = sorted(self.folder.glob(f"{PART_PREFIX}*.parquet"))
        return [merged, *parts] if merged.exists() else parts

    def _write(self, path: Path, rows: Iterable[ResultRow]) -> None:
        """Write a file atomically: it either exists completely or not at all."""
        rows = list(rows)
        names = list(dict.fromkeys(name for row in rows for name in row))
        columns = {name: [row.get(name) for row in rows] for name in names}
        table = pa.table(columns).replace_schema_metadata({FORMAT_KEY: str(FORMAT_VERSION)})
        unfinished = path.with_name(f"{path.name}.{os.getpid()}{UNFINISHED_SUFFIX}")
        with open(unfinished, "wb") as file:
            pq.write_table(table, file, compression="zstd")
            file.flush()
            os.fsync(file.fileno())
        os.replace(unfinished, path)
        self._sync_folder()

    def _sync_folder(self) -> None:
        descriptor = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def row_label(row: Mapping[str, Any]) -> str:
    """Return the policy and the settings of a row in the form shown in reports."""
    settings = [
        f"{column.removeprefix(SETTING_PREFIX)}={value}"
        for column, value in row.items()
        if column.startswith(SETTING_PREFIX) and value is not None
    ]
    return ", ".join([str(row["policy"]), *settings])


def read_file(path: Path) -> list[ResultRow]:
    """Return the rows of one file.

    Raises:
        UnreadableResultsError: The file is not a results file, or has another format version.
    """
    try:
        table = pq.read_table(path)
    except (pa.ArrowInvalid, OSError) as error:
        raise UnreadableResultsError(f"{path}: {error}") from None
    version = int((table.schema.metadata or {}).get(FORMAT_KEY.encode(), b"0"))
    if version != FORMAT_VERSION:
        raise UnreadableResultsError(
            f"{path}: format version {version}; this program reads version {FORMAT_VERSION}"
        )
    rows: list[ResultRow] = table.to_pylist()
    return rows


def read_results(path: Path) -> list[ResultRow]:
    """Return the rows of a results folder or of one results file.

    Raises:
        UnreadableResultsError: The path does not exist, or a file cannot be read.
    """
    if path.is_dir():
        return ResultsTable(path).rows()
    if not path.exists():
        raise UnreadableResultsError(f"{path}: no such file or folder")
    return read_file(path)
