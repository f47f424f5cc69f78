"""Reading what a folder holds: manifest, runs and log.  Nothing here changes the folder."""

from __future__ import annotations

import struct
from contextlib import suppress
from dataclasses import dataclass

from heronreel.store import log_format
from heronreel.store.disk import LOCK, Disk, read_whole
from heronreel.store.errors import CorruptionError, Lost, UnknownFormatError
from heronreel.store.log_format import LogReader, LogState, Operation
from heronreel.store.manifest import MANIFEST, MANIFEST_NEW, Manifest, decode_manifest
from heronreel.store.sstable import RunInfo, SortedRun, SSTable

DURABLE_NOTE = struct.Struct("<8sQQ")
DURABLE_NOTE_MAGIC = b"HRNNOTE\n"


def read_manifest(disk: Disk) -> Manifest | None:
    """The manifest in force, None where there is no store yet.

    UnknownFormatError for a newer one and for a folder of other things, CorruptionError where it is gone or
    can't be read.
    """
    names = disk.names()
    if MANIFEST in names:
        manifest = decode_manifest(read_whole(disk, MANIFEST))
        if manifest is None:
            raise CorruptionError((Lost(MANIFEST, 0, 0, "the names of all files", "it can't be read"),))
        return manifest
    ours = {LOCK, MANIFEST_NEW, log_format.segment_name(1)}
    if set(names) <= ours:
        # the first segment is made before the first manifest and holds no frame until that is durable
        if log_format.segment_name(1) in names:
            file = disk.open(log_format.segment_name(1))
            try:
                size = file.size()
            finally:
                file.close()
            if size > log_format.HEADER_BYTES:
                raise CorruptionError((Lost(MANIFEST, 0, 0, "the names of all files", "it is missing"),))
        return None
    if any(name.endswith((".log", ".table")) for name in names):
        raise CorruptionError((Lost(MANIFEST, 0, 0, "the names of all files", "it is missing"),))
    raise UnknownFormatError(f"the folder holds {sorted(set(names) - ours)[0]!r} and no store")


def open_runs(disk: Disk, manifest: Manifest) -> tuple[list[SortedRun], list[Lost]]:
    """The runs, and what is lost with tables that are gone or don't fit.  A run without them is still a
    run.
    """
    runs, lost = [], []
    store = bytes.fromhex(manifest.store)
    for info in manifest.run_infos:
        tables, parts = [], []
        for part in info.parts:
            try:
                tables.append(SSTable.open(disk, part, store, info))
                parts.append(part)
            except FileNotFoundError:
                words = f"records of keys {part.first!r} to {part.last!r}"
                lost.append(Lost(part.file, 0, part.size, words, "the file is missing"))
            except CorruptionError as damaged:
                lost += damaged.lost
        runs.append(SortedRun(RunInfo(info.low, info.high, tuple(parts)), tables))
    return runs, lost


def segment_numbers(disk: Disk, manifest: Manifest) -> list[int]:
    return [number for number in log_format.file_numbers(disk.names(), "log") if number >= manifest.log_from]


def read_log(
    disk: Disk, manifest: Manifest, durable: tuple[int, int] | None
) -> tuple[dict[bytes, bytes | None], LogState]:
    memory: dict[bytes, bytes | None] = {}

    def apply(_: int, operations: list[Operation]) -> None:
        memory.update(operations)

    def read(number: int, most: int | None) -> bytes:
        with suppress(FileNotFoundError):
            return read_whole(disk, log_format.segment_name(number), most)
        return b""

    reader = LogReader(
        read, bytes.fromhex(manifest.store), manifest.log_from, manifest.next_sequence, apply, durable
    )
    return memory, reader.run(segment_numbers(disk, manifest))


@dataclass(frozen=True, slots=True)
class Contents:
    """What a manifest's files hold, and what of them is lost."""

    runs: list[SortedRun]
    memory: dict[bytes, bytes | None]
    log: LogState
    lost: list[Lost]


def read_contents(disk: Disk, manifest: Manifest, durable: tuple[int, int] | None = None) -> Contents:
    runs, lost = open_runs(disk, manifest)
    memory, log = read_log(disk, manifest, durable)
    known = {(each.file, each.offset) for each in [*lost, *log.lost]}
    remembered = [each for each in manifest.lost if (each.file, each.offset) not in known]
    return Contents(runs, memory, log, [*lost, *log.lost, *remembered])


def decode_durable_position(note: bytes | None) -> tuple[int, int] | None:
    """What a live writer has told: segment and bytes of it that are durable."""
    if note is None or len(note) < DURABLE_NOTE.size:
        return None
    magic, number, durable = DURABLE_NOTE.unpack_from(note)
    return (number, durable) if magic == DURABLE_NOTE_MAGIC else None


def sync_log(disk: Disk, manifest: Manifest) -> None:
    for number in segment_numbers(disk, manifest):
        try:
            file = disk.open(log_format.segment_name(number))
            try:
                file.sync()
            finally:
                file.close()
        except OSError:
            pass  # a medium that can't be written has nothing unwritten
