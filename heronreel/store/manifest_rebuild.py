"""Rebuilding a lost manifest from what the other files of a store say of themselves."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from heronreel.store.block_scan import scan_blocks
from heronreel.store.disk import Disk, read_all
from heronreel.store.errors import Lost
from heronreel.store.log_format import HEADER_BYTES as SEGMENT_HEADER_BYTES
from heronreel.store.log_format import SEGMENT_SUFFIX, SegmentHeader, file_numbers, segment_name
from heronreel.store.manifest import Manifest, RunEntry
from heronreel.store.sstable_format import (
    FOOTER_BYTES,
    HEADER_BYTES,
    TABLE_SUFFIX,
    Footer,
    RunInfo,
    TableHeader,
    TableInfo,
    decode_block,
)

_UNKNOWN_STORE = "00" * 16


@dataclass(slots=True)
class RebuiltManifest:
    """The manifest, what of the files is lost, and what may be incomplete."""

    manifest: Manifest
    lost: list[Lost] = field(default_factory=list)
    doubts: list[str] = field(default_factory=list)


class _Sequences(NamedTuple):
    """The first and the last group that a run holds."""

    first: int
    last: int


class _Part(NamedTuple):
    """A part of a run, by what its table says of itself."""

    number: int
    last_part: bool
    info: TableInfo


class _FoundTable(NamedTuple):
    header: TableHeader
    footer: Footer
    info: TableInfo


def rebuild_manifest(disk: Disk) -> RebuiltManifest:
    """The manifest that fits the files best.

    Raises:
        UnknownFormatError: A file has a newer format version.
        OSError: The disk fails.
    """
    names = disk.list_names()
    lost: list[Lost] = []
    tables = _find_tables(disk, names, lost)
    segments = _find_segments(disk, names)
    store = tables[0].header.store.hex() if tables else ""
    runs = _group_by_run(tables, store)
    doubts = [
        f"the run of groups {sequences.first} to {sequences.last} is not whole"
        for sequences, parts in runs.items()
        if not _is_complete(parts)
    ]
    chosen = _choose_runs(runs)
    last_sequence = chosen[-1].last_sequence if chosen else 0
    first_segment, next_sequence = _start_of_log(segments, last_sequence)
    if not store:
        store = segments[0].store.hex() if segments else _UNKNOWN_STORE
    entries = [RunEntry.of(run) for run in chosen]
    return RebuiltManifest(Manifest(store, 0, 1, first_segment, next_sequence, entries), lost, doubts)


def _find_tables(disk: Disk, names: list[str], lost: list[Lost]) -> list[_FoundTable]:
    found: list[_FoundTable] = []
    for name in names:
        if not name.endswith(f".{TABLE_SUFFIX}"):
            continue
        table = _describe_table(disk, name)
        if table is None:
            lost.append(Lost(name, 0, 0, "all in it", "neither header nor footer can be read"))
        else:
            found.append(table)
    return found


def _describe_table(disk: Disk, name: str) -> _FoundTable | None:
    """What a table says of itself; its first and last keys are read from its blocks."""
    file = disk.open(name)
    size = file.size()
    header = TableHeader.decode(file.read(0, HEADER_BYTES), name)
    if header is None or size < HEADER_BYTES + FOOTER_BYTES:
        return None
    footer = Footer.decode(file.read(size - FOOTER_BYTES, FOOTER_BYTES), header.salt)
    if footer is None:
        return None
    counts = footer.entries, footer.deletions
    first_key = last_key = b""
    without_keys = TableInfo(header.number, size, b"", b"", *counts)
    for _, block, lost in scan_blocks(disk, without_keys, header, footer.end, None):
        if lost is None:
            for key, _ in decode_block(block):
                first_key = first_key or key
                last_key = key
    return _FoundTable(header, footer, TableInfo(header.number, size, first_key, last_key, *counts))


def _find_segments(disk: Disk, names: list[str]) -> list[SegmentHeader]:
    """The headers that can be read, by number of segment as the headers have it."""
    segments: list[SegmentHeader] = []
    for number in file_numbers(names, SEGMENT_SUFFIX):
        name = segment_name(number)
        header = SegmentHeader.decode(read_all(disk, name, SEGMENT_HEADER_BYTES), name)
        if header is not None:
            segments.append(header)
    return segments


def _group_by_run(tables: list[_FoundTable], store: str) -> dict[_Sequences, list[_Part]]:
    runs: dict[_Sequences, list[_Part]] = {}
    for header, footer, info in tables:
        if header.store.hex() == store:
            sequences = _Sequences(header.first_sequence, header.last_sequence)
            runs.setdefault(sequences, []).append(_Part(header.part, footer.last_part, info))
    for parts in runs.values():
        parts.sort(key=lambda part: part.number)
    return runs


def _is_complete(parts: list[_Part]) -> bool:
    return [part.number for part in parts] == list(range(len(parts))) and parts[-1].last_part


def _choose_runs(runs: dict[_Sequences, list[_Part]]) -> list[RunInfo]:
    """The runs that hold everything without overlapping.

    What two runs both hold was merged from the smaller ones into the larger.  Its parts are all there unless
    the compaction was cut off before any manifest named them, and then the smaller ones are still there.
    """
    chosen: list[RunInfo] = []
    for sequences, parts in sorted(runs.items(), key=lambda item: (item[0].first, -item[0].last)):
        has_smaller = any(
            other != sequences and sequences.first <= other.first and other.last <= sequences.last
            for other in runs
        )
        overlaps = bool(chosen) and sequences.first <= chosen[-1].last_sequence
        if overlaps or (has_smaller and not _is_complete(parts)):
            continue
        chosen.append(RunInfo(*sequences, tuple(part.info for part in parts)))
    return chosen


def _start_of_log(segments: list[SegmentHeader], last_sequence: int) -> tuple[int, int]:
    """The first segment that counts, and the first group in it.

    Segments that are wholly in the runs may still be there: the log counts from the last one that begins at
    or before their end, and of several that begin with the same group from the earliest, for a large group
    may extend over all of them.
    """
    by_number = sorted(segments, key=lambda header: header.number)
    begun = [header for header in by_number if header.first_sequence <= last_sequence + 1] or by_number[:1]
    if not begun:
        return 1, last_sequence + 1
    first = max(begun, key=lambda header: (header.first_sequence, -header.number))
    return first.number, first.first_sequence
