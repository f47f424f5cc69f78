"""Results in a folder of columnar files (Parquet): each play a file of its own until they are gathered.

A play's row is written whole to a file under another name, synced, and renamed, so a sweep that is killed in
the middle of a write leaves no half row: what has no final name is not read, and thrown away by the next
sweep.  Gathering writes one file anew in the same way before the small ones go; a row that is in both is the
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
PART_PREFIX, UNFINISHED_SUFFIX = "part-", ".unfinished"
FORMAT_VERSION = 1  # of the columns; a newer one is refused


class ResultsTable:
    def __init__(self, folder: Path) -> None:
        self.folder = folder

    def prepare(self) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        for path in self.folder.glob(f"*{UNFINISHED_SUFFIX}"):
            path.unlink()

    def add(self, key: str, row: dict[str, Any]) -> None:
        self._write(self.folder / f"{PART_PREFIX}{key}.parquet", [{"key": key, **row}])

    def rows(self) -> list[dict[str, Any]]:
        """All, in the order of their keys; a row that stands in two files once."""
        found: dict[str, dict[str, Any]] = {}
        for path in self._files():
            for row in self._read(path):
                found[row["key"]] = row
        return [found[key] for key in sorted(found)]

    def keys(self) -> set[str]:
        """Of what has been played.  A file that can't be read counts as not played, and is set aside."""
        keys: set[str] = set()
        for path in self._files():
            try:
                keys |= {row["key"] for row in self._read(path)}
            except UnreadableResultsError:
                path.rename(path.with_suffix(".unreadable"))
        return keys

    def gather(self) -> int:
        """Put all into one file; how many rows it has."""
        parts = [path for path in self._files() if path.name != MERGED_FILE]
        rows = self.rows()
        if parts:
            self._write(self.folder / MERGED_FILE, rows)
            for path in parts:
                path.unlink()
        return len(rows)

    def _files(self) -> list[Path]:
        gathered = [self.folder / MERGED_FILE] if (self.folder / MERGED_FILE).exists() else []
        return gathered + sorted(self.folder.glob(f"{PART_PREFIX}*.parquet"))

    def _read(self, path: Path) -> list[dict[str, Any]]:
        try:
            table = pq.read_table(path)
        except (pa.ArrowInvalid, OSError) as error:
            raise UnreadableResultsError(f"{path}: {error}") from None
        told = int((table.schema.metadata or {}).get(b"heronreel.format", b"0"))
        if told != FORMAT_VERSION:
            raise UnreadableResultsError(f"{path}: format {told}, and this program reads {FORMAT_VERSION}")
        rows: list[dict[str, Any]] = table.to_pylist()
        return rows

    def _write(self, path: Path, rows: Iterable[dict[str, Any]]) -> None:
        rows = list(rows)
        names = list(dict.fromkeys(name for row in rows for name in row))
        columns = {name: [row.get(name) for row in rows] for name in names}
        table = pa.table(columns).replace_schema_metadata({"heronreel.format": str(FORMAT_VERSION)})
        unfinished = path.with_name(f"{path.name}.{os.getpid()}{UNFINISHED_SUFFIX}")
        with open(unfinished, "wb") as file:
            pq.write_table(table, file, compression="zstd")
            file.flush()
            os.fsync(file.fileno())
        os.replace(unfinished, path)
        folder = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)


def row_label(row: Mapping[str, Any]) -> str:
    """The policy and what was set otherwise, in words."""
    told = [f"{key[4:]}={row[key]}" for key in row if key.startswith("set ") and row[key] is not None]
    return ", ".join([str(row["policy"]), *told])


def read_results(path: Path) -> list[dict[str, Any]]:
    """The rows of a folder of results, or of one file."""
    if path.is_dir():
        return ResultsTable(path).rows()
    if not path.exists():
        raise UnreadableResultsError(f"{path}: no such file or folder")
    return ResultsTable(path.parent)._read(path)
