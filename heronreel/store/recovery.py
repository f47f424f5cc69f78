"""Recovery: reading what a directory holds, which is a manifest, sorted runs and a log.  Changes nothing."""

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
    """What the files of a manifest hold, and what of them is lost."""

    runs: list[SortedRun]
    memtable: Memtable  # what the log holds
    log: LogState
    lost: list[Lost]


def read_manifest(disk: Disk) -> Manifest | None:
    """The manifest in force, or None where there is no store yet.

    Raises:
        UnknownFormatError: It has a newer format version, or the directory holds other things.
        CorruptionError: It is missing or can't be read.
    """
    names = disk.list_names()
    if MANIFEST_NAME in names:
        manifest = decode_manifest(read_all(disk, MANIFEST_NAME))
        if manifest is None:
            raise CorruptionError((lost_manifest("it can't be read"),))
        return manifest
    expected = {LOCK_NAME, NEW_MANIFEST_NAME, segment_name(1)}
    if set(names) <= expected:
        # the first segment is made before the first manifest and holds no frame until that is durable
        if segment_name(1) in names and _size_of(disk, segment_name(1)) > HEADER_BYTES:
            raise CorruptionError((lost_manifest("it is missing"),))
        return None
    if has_data_files(names):
        raise CorruptionError((lost_manifest("it is missing"),))
    raise UnknownFormatError(f"the folder holds {sorted(set(names) - expected)[0]!r} and no store")


def lost_manifest(why: str, length: int = 0) -> Lost:
    """The loss of a manifest of `length` bytes."""
    return Lost(MANIFEST_NAME, 0, length, "the names of all files", why)


def has_data_files(names: list[str]) -> bool:
    """Whether there are log segments or SSTables among the names."""
    return any(name.endswith(_DATA_SUFFIXES) for name in names)


def read_contents(disk: Disk, manifest: Manifest, durable: LogPosition | None = None) -> Contents:
    """Read what the manifest names.

    Args:
        disk: The store's disk.
        manifest: The manifest in force.
        durable: How far a live writer's log is durable; nothing behind it is read.
    """
    runs, lost = open_runs(disk, manifest)
    memtable, log = read_log(disk, manifest, durable)
    known = {(each.file, each.offset) for each in [*lost, *log.lost]}
    remembered = [each for each in manifest.lost if (each.file, each.offset) not in known]
    return Contents(runs, memtable, log, [*lost, *log.lost, *remembered])


def open_runs(disk: Disk, manifest: Manifest) -> tuple[list[SortedRun], list[Lost]]:
    """The sorted runs, without tables that are missing or don't match, and what is lost with those."""
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
        left = RunInfo(info.first_sequence, info.last_sequence, tuple(table.info for table in tables))
        runs.append(SortedRun(left, tables))
    return runs, lost


def read_log(disk: Disk, manifest: Manifest, durable: LogPosition | None) -> tuple[Memtable, LogState]:
    """The newest values in the log by key, and what else is known of it."""
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
    """The numbers of the segments in the directory that count."""
    numbers = file_numbers(disk.list_names(), SEGMENT_SUFFIX)
    return [number for number in numbers if number >= manifest.first_segment]


def sync_log(disk: Disk, manifest: Manifest) -> None:
    """Make the log durable, as far as the disk can be written."""
    for number in segment_numbers(disk, manifest):
        with suppress(OSError):  # a disk that can't be written has nothing unwritten
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
