"""Recovery: reads the manifest, the sorted runs and the log of a directory, without changing them."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import dataclass

from heronreel.store.disk import LOCK_NAME, Disk, read_all
from heronreel.store.errors import CorruptionError, Lost, UnknownFormatError
from heronreel.store.log_format import HEADER_BYTES, SEGMENT_SUFFIX, file_numbers, segment_name
from heronreel.store.log_reader import LogPosition, LogReader, LogState
from heronreel.store.manifest import MANIFEST_NAME, NEW_MANIFEST_NAME, Manifest, decode_manifest
from heronreel.store.operations import Memtable, Operation
from heronreel.store.sstable import SortedRun, SSTable
from heronreel.store.sstable_format import TABLE_SUFFIX, RunInfo

_DATA_SUFFIXES = (f".{SEGMENT_SUFFIX}", f".{TABLE_SUFFIX}")


@dataclass(frozen=True, slots=True)
class Contents:
    """The contents of the files that a manifest names, and the losses in them."""

    runs: list[SortedRun]
    memtable: Memtable  # The records of the log.
    log: LogState
    lost: list[Lost]


def read_manifest(disk: Disk) -> Manifest | None:
    """Return the current manifest, or None if there is no store yet.

    Raises:
        UnknownFormatError: The manifest has a newer format version, or the directory holds other files.
        CorruptionError: The manifest is missing or can't be read.
    """
    names = disk.list_names()
    if MANIFEST_NAME in names:
        manifest = decode_manifest(read_all(disk, MANIFEST_NAME))
        if manifest is None:
            raise CorruptionError((manifest_loss("it can't be read"),))
        return manifest
    expected = {LOCK_NAME, NEW_MANIFEST_NAME, segment_name(1)}
    if set(names) <= expected:
        # The first segment is created before the first manifest, and holds no frame until the manifest is
        # durable.  So a segment with frames proves that there was a manifest.
        if segment_name(1) in names and _size_of(disk, segment_name(1)) > HEADER_BYTES:
            raise CorruptionError((manifest_loss("it is missing"),))
        return None
    if has_data_files(names):
        raise CorruptionError((manifest_loss("it is missing"),))
    raise UnknownFormatError(f"the directory contains {sorted(set(names) - expected)[0]!r} but no store")


def manifest_loss(why: str, length: int = 0) -> Lost:
    """Return the loss of a manifest of `length` bytes."""
    return Lost(MANIFEST_NAME, 0, length, "the names of all files", why)


def has_data_files(names: list[str]) -> bool:
    """Return whether the names include log segments or SSTables."""
    return any(name.endswith(_DATA_SUFFIXES) for name in names)


def read_contents(disk: Disk, manifest: Manifest, durable: LogPosition | None = None) -> Contents:
    """Read the runs and the log that the manifest names.

    Args:
        disk: The store's disk.
        manifest: The current manifest.
        durable: The position up to which a live writer's log is durable. Nothing after it is read.
    """
    runs, lost = open_runs(disk, manifest)
    memtable, log = read_log(disk, manifest, durable)
    known = {(loss.file, loss.offset) for loss in [*lost, *log.lost]}
    recorded = [loss for loss in manifest.lost if (loss.file, loss.offset) not in known]
    return Contents(runs, memtable, log, [*lost, *log.lost, *recorded])


def open_runs(disk: Disk, manifest: Manifest) -> tuple[list[SortedRun], list[Lost]]:
    """Open the sorted runs without missing or mismatched tables; also return the losses of those."""
    runs: list[SortedRun] = []
    lost: list[Lost] = []
    for info in manifest.run_infos:
        tables: list[SSTable] = []
        for part in info.parts:
            try:
                tables.append(SSTable.open(disk, part, manifest.store_id, info))
            except FileNotFoundError:
                records = f"records of keys {part.first_key!r} to {part.last_key!r}"
                lost.append(Lost(part.file, 0, part.size, records, "the file is missing"))
            except CorruptionError as corruption:
                lost += corruption.lost
        readable_info = RunInfo(
            info.first_sequence, info.last_sequence, tuple(table.info for table in tables)
        )
        runs.append(SortedRun(readable_info, tables))
    return runs, lost


def read_log(disk: Disk, manifest: Manifest, durable: LogPosition | None) -> tuple[Memtable, LogState]:
    """Read the log: return its newest value of each key, and the result of reading it."""
    memtable: Memtable = {}

    def apply(operations: list[Operation]) -> None:
        memtable.update(operations)

    def read(number: int, limit: int | None) -> bytes:
        with suppress(FileNotFoundError):
            return read_all(disk, segment_name(number), limit)
        return b""

    first, sequence = manifest.first_segment, manifest.next_sequence
    reader = LogReader(read, manifest.store_id, first, sequence, apply, durable)
    return memtable, reader.run(segment_numbers(disk, manifest))


def segment_numbers(disk: Disk, manifest: Manifest) -> list[int]:
    """Return the numbers of the segments in the directory that are part of the log."""
    numbers = file_numbers(disk.list_names(), SEGMENT_SUFFIX)
    return [number for number in numbers if number >= manifest.first_segment]


def sync_log(disk: Disk, manifest: Manifest) -> None:
    """Make the log durable, if the disk is writable."""
    for number in segment_numbers(disk, manifest):
        with suppress(OSError):  # A read-only disk has no unwritten data.
            file = disk.open(segment_name(number))
            try:
                file.sync()
            finally:
                file.close()


def _size_of(disk: Disk, name: str) -> int:
    file = disk.open(name)
    try:
        return file.size()
    finally:
        file.close()
