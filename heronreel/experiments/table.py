"""Results in a folder of columnar files (Parquet): one file for each play, until they are merged.

A play's row is written whole to a temporary file, synced and renamed, so a sweep that is killed in the middle
of a write leaves no partial row: a file without its final name is never read, and the next sweep deletes it.
Merging writes one new file in the same way before the small ones are deleted; a row that is in both is the
same row, by its key.
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
FORMAT_VERSION = 1  # of the columns; any other is rejected
FORMAT_KEY = "heronreel.format"
SETTING_PREFIX = "set "  # of the columns that hold settings

ResultRow = dict[str, Any]
"""A play's row, by column."""


class ResultsTable:
    """The rows of a folder of results; one process writes at a time."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder

    def prepare(self) -> None:
        """Create the folder, and delete what a killed sweep left unfinished."""
        self.folder.mkdir(parents=True, exist_ok=True)
        for path in self.folder.glob(f"*{UNFINISHED_SUFFIX}"):
            path.unlink()

    def add(self, key: str, row: ResultRow) -> None:
        """Write one row durably, to a file of its own."""
        self._write(self.folder / f"{PART_PREFIX}{key}.parquet", [{"key": key, **row}])

    def rows(self) -> list[ResultRow]:
        """All rows by key; one that is in two files only once.

        Raises:
            UnreadableResultsError: a file can't be read.
        """
        by_key: dict[str, ResultRow] = {}
        for path in self._files():
            for row in read_file(path):
                by_key[row["key"]] = row
        return [by_key[key] for key in sorted(by_key)]

    def keys(self) -> set[str]:
        """Keys of the plays that are done.  A file that can't be read is renamed; its plays aren't done."""
        keys: set[str] = set()
        for path in self._files():
            try:
                keys |= {row["key"] for row in read_file(path)}
            except UnreadableResultsError:
                path.rename(path.with_suffix(UNREADABLE_SUFFIX))
        return keys

    def merge_files(self) -> int:
        """Merge all rows into one file; returns their number."""
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
        """Write a file so that it is there whole or not at all."""
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
    """The policy and the settings of a row, as shown in reports."""
    settings = [
        f"{column.removeprefix(SETTING_PREFIX)}={value}"
        for column, value in row.items()
        if column.startswith(SETTING_PREFIX) and value is not None
    ]
    return ", ".join([str(row["policy"]), *settings])


def read_file(path: Path) -> list[ResultRow]:
    """The rows of one file.

    Raises:
        UnreadableResultsError: it is no such file, or of another format version.
    """
    try:
        table = pq.read_table(path)
    except (pa.ArrowInvalid, OSError) as error:
        raise UnreadableResultsError(f"{path}: {error}") from None
    version = int((table.schema.metadata or {}).get(FORMAT_KEY.encode(), b"0"))
    if version != FORMAT_VERSION:
        raise UnreadableResultsError(f"{path}: format {version}, and this program reads {FORMAT_VERSION}")
    rows: list[ResultRow] = table.to_pylist()
    return rows


def read_results(path: Path) -> list[ResultRow]:
    """The rows of a folder of results, or of one file.

    Raises:
        UnreadableResultsError: there is none, or a file can't be read.
    """
    if path.is_dir():
        return ResultsTable(path).rows()
    if not path.exists():
        raise UnreadableResultsError(f"{path}: no such file or folder")
    return read_file(path)
