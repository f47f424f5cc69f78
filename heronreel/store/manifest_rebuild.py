"""Rebuilds a lost manifest from the headers and footers of a store's other files."""

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
    """The rebuilt manifest, the losses found in the files, and descriptions of possibly incomplete data."""

    manifest: Manifest
    lost: list[Lost] = field(default_factory=list)
    doubts: list[str] = field(default_factory=list)


class _Sequences(NamedTuple):
    """The sequences of the first and the last group in a run."""

    first: int
    last: int


class _RunPart(NamedTuple):
    """A part of a run, as its table's header and footer describe it."""

    number: int
    last_part: bool
    info: TableInfo


class _FoundTable(NamedTuple):
    """A table whose header and footer are valid."""

    header: TableHeader
    footer: Footer
    info: TableInfo


def rebuild_manifest(disk: Disk) -> RebuiltManifest:
    """Return the manifest that fits the files best.

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
        f"the run of groups {sequences.first} to {sequences.last} is incomplete"
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
    """Read a table's header and footer, and its first and last keys from its blocks; None if that fails."""
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
    """Return the readable headers of the log segments, in the order of the file names."""
    segments: list[SegmentHeader] = []
    for number in file_numbers(names, SEGMENT_SUFFIX):
        name = segment_name(number)
        header = SegmentHeader.decode(read_all(disk, name, SEGMENT_HEADER_BYTES), name)
        if header is not None:
            segments.append(header)
    return segments


def _group_by_run(tables: list[_FoundTable], store: str) -> dict[_Sequences, list[_RunPart]]:
    runs: dict[_Sequences, list[_RunPart]] = {}
    for header, footer, info in tables:
        if header.store.hex() == store:
            sequences = _Sequences(header.first_sequence, header.last_sequence)
            runs.setdefault(sequences, []).append(_RunPart(header.part, footer.last_part, info))
    for parts in runs.values():
        parts.sort(key=lambda part: part.number)
    return runs


def _is_complete(parts: list[_RunPart]) -> bool:
    return [part.number for part in parts] == list(range(len(parts))) and parts[-1].last_part


def _choose_runs(runs: dict[_Sequences, list[_RunPart]]) -> list[RunInfo]:
    """Return runs that together hold all groups without overlapping.

    If two runs overlap, the smaller one was merged into the larger one.  All parts of the larger run exist,
    unless the compaction was interrupted before a manifest named them; then the smaller runs still exist.
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
    """Return the number of the log's first segment, and the sequence of its first group.

    Segments whose groups are all in the runs may still exist, so the log starts with the last segment that
    begins at or before the end of the runs.  If several such segments begin with the same group, it starts
    with the earliest, because a large group may extend over all of them.
    """
    by_number = sorted(segments, key=lambda header: header.number)
    candidates = [header for header in by_number if header.first_sequence <= last_sequence + 1] or by_number[
        :1
    ]
    if not candidates:
        return 1, last_sequence + 1
    first = max(candidates, key=lambda header: (header.first_sequence, -header.number))
    return first.number, first.first_sequence
