"""Verification: reads and checks every byte of a store without changing it."""

from __future__ import annotations

import os
from dataclasses import dataclass, field

from heronreel.store.block_scan import read_index, scan_blocks
from heronreel.store.disk import LOCK_NAME, Disk, as_disk, read_all
from heronreel.store.errors import Lost
from heronreel.store.log_format import segment_name
from heronreel.store.log_reader import DroppedTail
from heronreel.store.manifest import MANIFEST_NAME, Manifest, decode_manifest
from heronreel.store.progress import Progress
from heronreel.store.reader import store_not_found_error
from heronreel.store.recovery import Contents, has_data_files, manifest_loss, read_contents, segment_numbers
from heronreel.store.sstable import SSTable
from heronreel.store.sstable_format import RunInfo, decode_block, index_name


@dataclass(slots=True)
class VerifyReport:
    """The result of `verify`.  The field names are keys of `heronreel store verify --json`.

    Attributes:
        files: The number of files that were read.
        bytes: Their size.
        records: The number of records in the runs and the log, with obsolete ones.
        lost: Acknowledged data that can't be read.
        dropped: Ends of the log that were never acknowledged.
        notes: Harmless findings: an index to be rebuilt, or a file that the manifest does not name.
    """

    files: int = 0
    bytes: int = 0
    records: int = 0
    lost: list[Lost] = field(default_factory=list)
    dropped: list[DroppedTail] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)

    @property
    def sound(self) -> bool:
        """Whether no acknowledged data is lost."""
        return not self.lost


def verify(path: str | os.PathLike[str] | Disk, progress: Progress | None = None) -> VerifyReport:
    """Read every byte of a store, and check that its files are valid and consistent.

    It is meant for a store that is not open for writing: a live writer may remove files while they are read.

    Args:
        path: The store's directory, or a `Disk` to use instead of the file system.
        progress: Called with the bytes done so far and the total bytes.

    Raises:
        FileNotFoundError: There is no store.
        UnknownFormatError: A file has a newer format version.
    """
    disk = as_disk(path)
    report = VerifyReport()
    names = set(disk.list_names())
    manifest = _verify_manifest(disk, names, report)
    if manifest is None:
        return report
    contents = read_contents(disk, manifest)
    report.lost += contents.lost
    _verify_runs(manifest, report)
    expected_names = {MANIFEST_NAME, LOCK_NAME}
    expected_names |= _verify_tables(disk, manifest, contents, report, progress)
    expected_names |= _verify_log(disk, manifest, contents, report)
    report.notes += [
        f"{name}: no manifest names it; the next opening removes it"
        for name in sorted(names - expected_names)
    ]
    return report


def _verify_manifest(disk: Disk, names: set[str], report: VerifyReport) -> Manifest | None:
    if MANIFEST_NAME not in names:
        if not has_data_files(list(names)):
            raise store_not_found_error(disk)
        report.lost.append(manifest_loss("it is missing"))
        return None
    data = read_all(disk, MANIFEST_NAME)
    manifest = decode_manifest(data)
    report.files, report.bytes = 1, len(data)
    if manifest is None:
        report.lost.append(manifest_loss("it can't be read", len(data)))
    return manifest


def _verify_runs(manifest: Manifest, report: VerifyReport) -> None:
    """Check that the runs hold consecutive ranges of groups, and that the parts of each are in key order."""
    runs = manifest.run_infos
    for index, run in enumerate(runs):
        _verify_parts(run, report)
        if index and run.first_sequence != runs[index - 1].last_sequence + 1:
            groups = f"groups {runs[index - 1].last_sequence + 1} to {run.first_sequence - 1}"
            report.lost.append(Lost(MANIFEST_NAME, 0, 0, groups, "no run has them"))
    if runs and runs[-1].last_sequence >= manifest.next_sequence:
        report.lost.append(Lost(MANIFEST_NAME, 0, 0, "the last run", "it reaches into the log"))


def _verify_parts(run: RunInfo, report: VerifyReport) -> None:
    for previous, part in zip(run.parts, run.parts[1:], strict=False):
        if previous.last_key >= part.first_key:
            files = f"{previous.file} and {part.file}"
            report.lost.append(Lost(MANIFEST_NAME, 0, 0, files, "their keys overlap"))


def _verify_tables(
    disk: Disk, manifest: Manifest, contents: Contents, report: VerifyReport, progress: Progress | None
) -> set[str]:
    """Check the tables that can be opened; return the names of their files."""
    expected_names: set[str] = set()
    total = sum(run.size for run in manifest.run_infos) or 1
    done = 0
    for table in (table for run in contents.runs for table in run.tables):
        expected_names |= {table.info.file, index_name(table.info.number)}
        _verify_table(disk, table, report)
        done += table.info.size
        if progress:
            progress(done, total)
    return expected_names


def _verify_log(disk: Disk, manifest: Manifest, contents: Contents, report: VerifyReport) -> set[str]:
    """Add the results of reading the log to the report; return the file names of its segments."""
    numbers = segment_numbers(disk, manifest)
    report.dropped += contents.log.dropped
    report.records += len(contents.memtable)
    report.files += len(numbers)
    report.bytes += contents.log.bytes
    return {segment_name(number) for number in numbers}


def _verify_table(disk: Disk, table: SSTable, report: VerifyReport) -> None:
    info = table.info
    report.files += 1
    report.bytes += info.size
    index = read_index(disk, info.number, table.header.salt)
    if index is None:
        name = index_name(info.number)
        report.notes.append(f"{name}: missing or torn; it will be rebuilt when needed")
    entries, last_key = 0, b""
    offsets: list[int] = []
    first_keys: list[bytes] = []
    losses_before = len(report.lost)
    for offset, block, lost in scan_blocks(disk, info, table.header, table.footer.end, index):
        if lost is not None:
            report.lost.append(lost)
            continue
        keys = [key for key, _ in decode_block(block)]
        offsets.append(offset)
        first_keys += keys[:1]
        for key in keys:
            if key <= last_key and entries:
                why = "its keys are out of order"
                report.lost.append(Lost(info.file, offset, len(block), repr(key), why))
            last_key = key
            entries += 1
    report.records += entries
    if losses_before != len(report.lost):
        return
    if entries != table.footer.entries or last_key != info.last_key:
        missing = f"{table.footer.entries - entries} records"
        report.lost.append(Lost(info.file, 0, info.size, missing, "missing"))
    if index is not None and (index.offsets, index.first_keys) != (offsets, first_keys):
        why = "the index does not fit its table"
        report.lost.append(Lost(index_name(info.number), 0, 0, "none", why))
