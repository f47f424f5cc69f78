"""Repair: salvages the readable records of a damaged store into a new store.

The damaged store is not changed.
"""

from __future__ import annotations

import os
from collections.abc import Iterator
from dataclasses import dataclass, field

from heronreel.store.block_scan import scan_blocks
from heronreel.store.disk import LOCK_NAME, Disk, DiskFile, RealDisk, as_disk, read_all
from heronreel.store.errors import InvalidArgumentError, Lost
from heronreel.store.log_reader import DroppedTail
from heronreel.store.manifest import MANIFEST_NAME, Manifest, decode_manifest
from heronreel.store.manifest_rebuild import rebuild_manifest
from heronreel.store.merge import merge_records
from heronreel.store.operations import Operation, operation_size
from heronreel.store.progress import Progress
from heronreel.store.reader import store_not_found_error
from heronreel.store.recovery import read_log
from heronreel.store.sstable_format import (
    FOOTER_BYTES,
    HEADER_BYTES,
    Footer,
    Index,
    Record,
    RunInfo,
    TableHeader,
    TableInfo,
    decode_block,
    index_name,
)
from heronreel.store.store import Store

_BATCH_BYTES = 1 << 20  # The size at which a batch of salvaged records is written.


@dataclass(slots=True)
class RepairReport:
    """The result of `repair`.  The field names are keys of `heronreel store repair --json`.

    Attributes:
        records: The number of salvaged records.
        bytes: The size of their values.
        lost: The data that could not be salvaged.
        doubts: Descriptions of keys that may have an older value than the acknowledged one.
        dropped: Ends of the log that were never acknowledged.
    """

    records: int = 0
    bytes: int = 0
    lost: list[Lost] = field(default_factory=list)
    doubts: list[str] = field(default_factory=list)
    dropped: list[DroppedTail] = field(default_factory=list)


def repair(
    source: str | os.PathLike[str] | Disk,
    target: str | os.PathLike[str] | Disk,
    progress: Progress | None = None,
) -> RepairReport:
    """Write the newest readable value of each key in `source` to a new store in `target`.

    Args:
        source: The damaged store; it is not changed.
        target: A directory that is empty or does not exist yet.
        progress: Called with the approximate bytes done so far and the approximate total bytes.

    Raises:
        InvalidArgumentError: The target is not empty, or a writer has the source open.
        UnknownFormatError: The source has a newer format version.
    """
    read, write = as_disk(source), as_disk(target)
    if write.exists() and set(write.list_names()) - {LOCK_NAME}:
        raise InvalidArgumentError("target: the directory must be empty or not exist yet")
    if read.read_note() is not None:
        raise InvalidArgumentError("source: a writer has the store open")
    report = RepairReport()
    manifest = _salvage_manifest(read, report)
    memtable, log = read_log(read, manifest, None)
    report.lost += log.lost
    report.dropped += log.dropped
    if log.lost:
        report.doubts.append("groups of the log are lost: any key may show an older value")
    runs = manifest.run_infos
    sources: list[Iterator[Record]] = [iter(sorted(memtable.items()))]
    for position in range(len(runs) - 1, -1, -1):
        salvage = _RunSalvage(read, runs[position], manifest, report, has_older_runs=position > 0)
        sources.append(salvage.records())
    total = 1 + sum(run.size for run in runs)
    _write_records(write, merge_records(sources), report, total, progress)
    return report


def existing_store(path: str) -> str:
    """Return `path` if it has a store, so that a command does not create one by mistake.

    Raises:
        FileNotFoundError: There is no store.
    """
    disk = RealDisk(path)
    if MANIFEST_NAME not in disk.list_names():
        raise store_not_found_error(disk)
    return path


def _salvage_manifest(disk: Disk, report: RepairReport) -> Manifest:
    """Return the manifest, or one that is rebuilt from the other files."""
    if MANIFEST_NAME in disk.list_names():
        manifest = decode_manifest(read_all(disk, MANIFEST_NAME))
        if manifest is not None:
            return manifest
    why = "missing or damaged; made anew from the other files"
    report.lost.append(Lost(MANIFEST_NAME, 0, 0, "none by itself", why))
    rebuilt = rebuild_manifest(disk)
    report.lost += rebuilt.lost
    report.doubts += rebuilt.doubts
    return rebuilt.manifest


def _write_records(
    disk: Disk, records: Iterator[Record], report: RepairReport, total: int, progress: Progress | None
) -> None:
    batch: list[Operation] = []
    size = done = 0
    with Store.open(disk) as store:
        for key, value in records:
            if value is None:
                continue
            batch.append((key, value))
            size += operation_size(key, value)
            report.records += 1
            report.bytes += len(value)
            if size >= _BATCH_BYTES:
                store.write([batch])
                done += size
                batch, size = [], 0
                if progress:
                    progress(min(done, total), total)
        if batch:
            store.write([batch])


class _RunSalvage:
    """Reads the intact records of one run, and adds its losses to the report."""

    def __init__(
        self, disk: Disk, run: RunInfo, manifest: Manifest, report: RepairReport, *, has_older_runs: bool
    ) -> None:
        self._disk = disk
        self._run = run
        self._store_id = manifest.store_id
        self._report = report
        # Whether older runs exist, whose records may become visible where newer ones are lost.
        self._has_older_runs = has_older_runs

    def records(self) -> Iterator[Record]:
        for part in self._run.parts:
            yield from self._part_records(part)

    def _part_records(self, part: TableInfo) -> Iterator[Record]:
        try:
            file = self._disk.open(part.file)
        except FileNotFoundError:
            self._report_lost_part(part, part.size, "the file is missing")
            return
        header, index = self._read_header(part, file)
        if header is None:
            self._report_lost_part(part, file.size(), "neither header nor index can be read")
            return
        end = self._find_end(part, file, header)
        for _, block, lost in scan_blocks(self._disk, part, header, end, index):
            if lost is None:
                yield from decode_block(block)
                continue
            self._report.lost.append(lost)
            if self._has_older_runs:
                self._report.doubts.append(f"{lost.records}: they may show an older value")

    def _read_header(self, part: TableInfo, file: DiskFile) -> tuple[TableHeader | None, Index | None]:
        """Read the header and the index; a valid index can replace a damaged header."""
        header = TableHeader.decode(file.read(0, HEADER_BYTES), part.file)
        try:
            data = read_all(self._disk, index_name(part.number))
        except OSError:
            return header, None
        salt = Index.stored_salt(data) if header is None else header.salt
        index = Index.decode(data, part.number, salt)
        if header is None and index is not None:
            run = self._run
            sequences = run.first_sequence, run.last_sequence
            header = TableHeader(self._store_id, part.number, *sequences, part=0, salt=salt)
            self._report.lost.append(Lost(part.file, 0, HEADER_BYTES, "none", "its header is damaged"))
        return header, index

    def _find_end(self, part: TableInfo, file: DiskFile, header: TableHeader) -> int:
        """Return the end of the blocks; report the loss of the footer and of blocks that were cut off."""
        size = file.size()
        footer_offset = part.size - FOOTER_BYTES
        end = min(size, footer_offset)
        if Footer.decode(file.read(footer_offset, FOOTER_BYTES), header.salt) is None:
            records = "those behind its end" if size < end else "none"
            self._report.lost.append(Lost(part.file, end, part.size - end, records, "cut or damaged"))
        return end

    def _report_lost_part(self, part: TableInfo, size: int, why: str) -> None:
        keys = f"keys {part.first_key!r} to {part.last_key!r}"
        self._report.lost.append(Lost(part.file, 0, size, f"records of {keys}", why))
        if self._has_older_runs:
            self._report.doubts.append(f"{keys} may show an older value")
