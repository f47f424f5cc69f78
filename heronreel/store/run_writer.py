"""Writes a sorted run in steps, for flushes and compactions."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field

from heronreel.store.disk import Disk
from heronreel.store.limits import Limits
from heronreel.store.manifest_file import ManifestFile
from heronreel.store.sstable import SortedRun, SSTable
from heronreel.store.sstable_format import (
    Index,
    Record,
    RunInfo,
    TableHeader,
    TableInfo,
    index_name,
    table_name,
)
from heronreel.store.sstable_writer import SSTableWriter

_RECORD_WORK_BYTES = 16  # Work that a record counts for in addition to its key and value.


@dataclass(slots=True)
class UnreferencedTables:
    """SSTables, complete or still being written, that no manifest names yet."""

    writing: list[SSTableWriter] = field(default_factory=list)
    complete: list[TableInfo] = field(default_factory=list)

    def mark_run_referenced(self, run: SortedRun) -> None:
        """Remove the tables of a run that a manifest now names."""
        numbers = {part.number for part in run.info.parts}
        self.complete = [info for info in self.complete if info.number not in numbers]

    def abandon(self) -> list[int]:
        """Stop writing and forget all tables; return their numbers."""
        for writer in self.writing:
            writer.abandon()
        numbers = [writer.header.number for writer in self.writing]
        numbers += [info.number for info in self.complete]
        self.writing.clear()
        self.complete.clear()
        return list(dict.fromkeys(numbers))


class RunWriter:
    """Writes the run of one range of groups; `run` is the result, or None until there is one."""

    def __init__(
        self,
        disk: Disk,
        limits: Limits,
        manifest_file: ManifestFile,
        unreferenced: UnreferencedTables,
        sequences: tuple[int, int],
        on_table_finished: Callable[[int], None],
    ) -> None:
        """Prepare to write a run.

        Args:
            disk: The store's disk.
            limits: The store's limits.
            manifest_file: Allocates the numbers of tables.
            unreferenced: Holds the tables until a manifest names them.
            sequences: The sequences of the first and the last group in the run.
            on_table_finished: Called with the size of each complete table.
        """
        self.run: SortedRun | None = None
        self._disk = disk
        self._limits = limits
        self._manifest_file = manifest_file
        self._unreferenced = unreferenced
        self._sequences = sequences
        self._on_table_finished = on_table_finished
        self._table: SSTableWriter | None = None
        self._complete: list[tuple[TableInfo, Index]] = []

    def write(self, records: Iterator[Record], *, keep_deletions: bool) -> Iterator[int]:
        """Write sorted records as a run; no run results if there are no records to keep.

        Yields:
            The bytes of work since the previous step, about every `Limits.step_bytes`.

        Raises:
            OSError: The disk fails.
            CorruptionError: A record can't be read.
        """
        limits = self._limits
        step = unsynced = 0
        for key, value in records:
            if value is None and not keep_deletions:
                step += len(key)
            else:
                if self._table is not None and self._table.written >= limits.table_bytes:
                    yield from self._finish_table(self._table, last_part=False)
                if self._table is None:
                    self._table = self._start_table()
                    unsynced = 0
                self._table.add(key, value)
                step += len(key) + len(value or b"") + _RECORD_WORK_BYTES
            if step >= limits.step_bytes:
                unsynced += step
                if self._table is not None and unsynced >= limits.sync_interval_bytes:
                    self._table.sync()
                    unsynced = 0
                yield step
                step = 0
        if self._table is not None:
            yield from self._finish_table(self._table, last_part=True)
        if self._complete:
            self.run = self._open_run()

    def _start_table(self) -> SSTableWriter:
        header = TableHeader(
            self._manifest_file.current.store_id,
            self._manifest_file.allocate_table_number(),
            *self._sequences,
            part=len(self._complete),
            salt=secrets.randbits(64),
        )
        table = SSTableWriter(self._disk, header, self._limits.block_bytes)
        self._unreferenced.writing.append(table)
        return table

    def _finish_table(self, table: SSTableWriter, *, last_part: bool) -> Iterator[int]:
        yield from table.filter_steps()
        info, index = table.finish(last_part)
        self._complete.append((info, index))
        self._unreferenced.complete.append(info)
        self._unreferenced.writing.remove(table)
        self._on_table_finished(info.size)
        self._table = None

    def _open_run(self) -> SortedRun:
        info = RunInfo(*self._sequences, tuple(table for table, _ in self._complete))
        store = self._manifest_file.current.store_id
        tables = [SSTable.open(self._disk, table, store, info, index) for table, index in self._complete]
        return SortedRun(info, tables)


def remove_file(disk: Disk, name: str) -> None:
    """Remove a file, best effort: a file that remains is removed at the next opening."""
    with suppress(OSError):
        disk.remove(name)


def remove_table(disk: Disk, number: int) -> None:
    """Remove a table and its index, best effort."""
    remove_file(disk, table_name(number))
    remove_file(disk, index_name(number))
