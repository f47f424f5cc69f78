"""Reading every byte of a store, and salvaging what is left of a damaged one.

Neither changes the store that it reads.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field

import xxhash

from heronreel.store import log_format
from heronreel.store.disk import Disk, RealDisk, read_whole
from heronreel.store.errors import CorruptionError, InvalidArgumentError, Lost
from heronreel.store.log_format import DroppedTail, Operation, SegmentHeader
from heronreel.store.manifest import MANIFEST, Manifest, decode_manifest, run_entry
from heronreel.store.recovery import read_contents, read_log, segment_numbers
from heronreel.store.snapshot import merge_records
from heronreel.store.sstable import (
    BLOCK,
    BLOCK_BYTES,
    FOOTER_BYTES,
    HEADER_BYTES,
    MASK,
    Footer,
    Index,
    Record,
    RunInfo,
    SSTable,
    TableHeader,
    TableInfo,
    decode_block,
    index_name,
)
from heronreel.store.store import Store

Progress = Callable[[int, int], None]
SALVAGED_AT_ONCE = 1 << 20  # bytes of one batch that repair writes


@dataclass(slots=True)
class VerifyReport:
    """What `verify` found; `sound` if nothing acknowledged is missing."""

    files: int = 0
    bytes: int = 0
    records: int = 0  # in runs and log, those out of date among them
    lost: list[Lost] = field(default_factory=list)
    dropped: list[DroppedTail] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)  # harmless: an index to be made anew, a file nobody names

    @property
    def sound(self) -> bool:
        return not self.lost


def verify(path: str | os.PathLike[str] | Disk, progress: Progress | None = None) -> VerifyReport:
    """Read every byte of the store and check it against every other.

    Beside a live writer it may see files go; it is meant for a store at rest.  Raises FileNotFoundError
    where there is none and UnknownFormatError.
    """
    disk: Disk = RealDisk(path) if isinstance(path, (str, os.PathLike)) else path
    found = VerifyReport()
    names = set(disk.names())
    if MANIFEST not in names:
        if any(name.endswith((".log", ".table")) for name in names):
            found.lost.append(Lost(MANIFEST, 0, 0, "the names of all files", "it is missing"))
            return found
        raise FileNotFoundError(2, "no store", str(getattr(disk, "path", "")))
    data = read_whole(disk, MANIFEST)
    manifest = decode_manifest(data)
    found.files, found.bytes = 1, len(data)
    if manifest is None:
        found.lost.append(Lost(MANIFEST, 0, len(data), "the names of all files", "it can't be read"))
        return found
    infos = manifest.run_infos
    whole = sum(run.size for run in infos) or 1
    contents = read_contents(disk, manifest)
    found.lost += contents.lost
    named = {MANIFEST, "LOCK"}
    done = 0
    for at, run in enumerate(infos):
        for former, following in zip(run.parts, run.parts[1:], strict=False):
            if former.last >= following.first:
                found.lost.append(
                    Lost(MANIFEST, 0, 0, f"{former.file} and {following.file}", "their keys overlap")
                )
        if at and run.low != infos[at - 1].high + 1:
            found.lost.append(
                Lost(MANIFEST, 0, 0, f"groups {infos[at - 1].high + 1} to {run.low - 1}", "no run has them")
            )
    if infos and manifest.next_sequence != infos[-1].high + 1 and infos[-1].high >= manifest.next_sequence:
        found.lost.append(Lost(MANIFEST, 0, 0, "the last run", "it reaches into the log"))
    for run_open in contents.runs:
        for table in run_open.tables:
            named |= {table.info.file, index_name(table.info.number)}
            _verify_table(disk, table, found)
            done += table.info.size
            if progress:
                progress(done, whole)
    found.dropped += contents.log.dropped
    found.records += len(contents.memory)
    numbers = segment_numbers(disk, manifest)
    found.files += len(numbers)
    found.bytes += contents.log.bytes
    named |= {log_format.segment_name(number) for number in numbers}
    found.notes += [
        f"{name}: no manifest names it; the next opening removes it" for name in sorted(names - named)
    ]
    return found


def _verify_table(disk: Disk, table: SSTable, found: VerifyReport) -> None:
    found.files += 1
    found.bytes += table.info.size
    salt = table.header.salt
    index = None
    with suppress(OSError):
        index = Index.decode(read_whole(disk, index_name(table.info.number)), table.info.number, salt)
    if index is None:
        name = index_name(table.info.number)
        found.notes.append(f"{name}: missing or torn; it is made anew when it is needed")
    entries, former = 0, b""
    offsets: list[int] = []
    firsts: list[bytes] = []
    problems = len(found.lost)
    file = table.info.file
    for offset, block, lost in blocks_left(disk, table.info, table.header, table.footer.end, index):
        if lost is not None:
            found.lost.append(lost)
            continue
        offsets.append(offset)
        for place, (key, _) in enumerate(decode_block(block)):
            if not place:
                firsts.append(key)
            if key <= former and entries:
                found.lost.append(Lost(file, offset, len(block), repr(key), "its keys are out of order"))
            former = key
            entries += 1
    found.records += entries
    if problems == len(found.lost):
        if entries != table.footer.entries or former != table.info.last:
            missing = f"{table.footer.entries - entries} records"
            found.lost.append(Lost(file, 0, table.info.size, missing, "missing"))
        if index is not None and (index.offsets, index.firsts) != (offsets, firsts):
            name = index_name(table.info.number)
            found.lost.append(Lost(name, 0, 0, "none", "the index does not fit its table"))


def blocks_left(
    disk: Disk, info: TableInfo, header: TableHeader, end: int, index: Index | None
) -> Iterator[tuple[int, bytes, Lost | None]]:
    """Every block of a table, or what is lost in its place, going on behind it as far as that can be found.

    With the index the next block's place is known.  Without it a damaged length hides what follows, so all
    places are tried: a block's checksum depends on where it stands.
    """
    file = disk.open(info.file)
    table = SSTable(disk, file, info, header, Footer(0, True, 0, 0, end), index)
    places = index.offsets if index else None
    offset = HEADER_BYTES
    while offset < end:
        length = BLOCK_BYTES + int.from_bytes(file.read(offset + 8, 4), "little")
        try:
            if offset + length > end:
                raise CorruptionError(())
            yield offset, table.block(offset, length), None
            offset += length
            continue
        except CorruptionError:
            pass
        if places is not None:
            following = next((place for place in places if place > offset), end)
        else:
            following = _next_block(file.read(offset, end - offset), offset, header.salt)
        lost = table.lost_at(offset, following - offset)
        yield offset, b"", lost
        offset = following


def _next_block(data: bytes, offset: int, salt: int) -> int:
    view = memoryview(data)
    for at in range(1, len(data) - BLOCK_BYTES):
        checksum, length, count = BLOCK.unpack_from(data, at)
        end = at + BLOCK_BYTES + length
        if (
            0 < count <= length // 7 + 1
            and end <= len(data)
            and xxhash.xxh3_64_intdigest(view[at + 8 : end], (salt + offset + at) & MASK) == checksum
        ):
            return offset + at
    return offset + len(data)


# -- repair


@dataclass(slots=True)
class RepairReport:
    """What `repair` saved and what it could not save."""

    records: int = 0
    bytes: int = 0
    lost: list[Lost] = field(default_factory=list)
    doubts: list[str] = field(default_factory=list)  # what may be older than what was acknowledged
    dropped: list[DroppedTail] = field(default_factory=list)


def repair(
    source: str | os.PathLike[str] | Disk,
    target: str | os.PathLike[str] | Disk,
    progress: Progress | None = None,
) -> RepairReport:
    """Salvage what can be read of the store `source` into a new store `target`, a folder not there yet or
    empty.

    Each key gets the newest value that is left.  Where something newer may be lost, `doubts` names it: an
    older value may show, or a deleted key come back.  The source is opened for reading only.
    """
    read: Disk = RealDisk(source) if isinstance(source, (str, os.PathLike)) else source
    write: Disk = RealDisk(target) if isinstance(target, (str, os.PathLike)) else target
    if write.exists() and set(write.names()) - {"LOCK"}:
        raise InvalidArgumentError("target: it should be a folder that is empty or not there yet")
    if read.note() is not None:
        raise InvalidArgumentError("source: a writer has it open")
    found = RepairReport()
    manifest = _manifest_left(read, found)
    memory, log = read_log(read, manifest, None)
    found.lost += log.lost
    found.dropped += log.dropped
    if log.lost:
        found.doubts.append("groups of the log are lost: any key may show an older value")
    sources: list[Iterator[Record]] = [iter(sorted(memory.items()))]
    whole = 1
    for place in range(len(manifest.runs) - 1, -1, -1):
        run = manifest.run_infos[place]
        whole += run.size
        sources.append(_run_left(read, run, manifest.store, found, place > 0))
    batch: list[Operation] = []
    size = done = 0
    with Store.open(write) as store:
        for key, value in merge_records(sources):
            if value is None:
                continue
            batch.append((key, value))
            size += len(key) + len(value) + log_format.OPERATION_BYTES
            found.records += 1
            found.bytes += len(value)
            if size >= SALVAGED_AT_ONCE:
                store.write([batch])
                done += size
                batch, size = [], 0
                if progress:
                    progress(min(done, whole), whole)
        if batch:
            store.write([batch])
    return found


def _run_left(disk: Disk, run: RunInfo, store: str, found: RepairReport, has_older: bool) -> Iterator[Record]:
    for part in run.parts:
        try:
            file = disk.open(part.file)
        except FileNotFoundError:
            words = f"records of keys {part.first!r} to {part.last!r}"
            found.lost.append(Lost(part.file, 0, part.size, words, "the file is missing"))
            if has_older:
                found.doubts.append(f"keys {part.first!r} to {part.last!r} may show an older value")
            continue
        header = TableHeader.decode(file.read(0, HEADER_BYTES), part.file)
        size = file.size()
        index: Index | None = None
        try:
            raw = read_whole(disk, index_name(part.number))
            # the index repeats the table's salt, so it can stand in for a header that is lost
            salt = int.from_bytes(raw[24:32], "little") if header is None else header.salt
            index = Index.decode(raw, part.number, salt)
            if header is None and index is not None:
                header = TableHeader(bytes.fromhex(store), part.number, run.low, run.high, 0, salt)
                found.lost.append(Lost(part.file, 0, HEADER_BYTES, "none", "its header is damaged"))
        except OSError:
            pass
        if header is None:
            words = f"records of keys {part.first!r} to {part.last!r}"
            found.lost.append(Lost(part.file, 0, size, words, "neither header nor index can be read"))
            if has_older:
                found.doubts.append(f"keys {part.first!r} to {part.last!r} may show an older value")
            continue
        end = min(size, part.size - FOOTER_BYTES)
        if Footer.decode(file.read(part.size - FOOTER_BYTES, FOOTER_BYTES), header.salt) is None:
            words = "those behind its end" if size < end else "none"
            found.lost.append(Lost(part.file, end, part.size - end, words, "cut or damaged"))
        for _, block, lost in blocks_left(disk, part, header, end, index):
            if lost is None:
                yield from decode_block(block)
                continue
            found.lost.append(lost)
            if has_older:
                found.doubts.append(f"{lost.records}: they may show an older value")


def _manifest_left(disk: Disk, found: RepairReport) -> Manifest:
    """The manifest, or one made from what the files say of themselves."""
    names = disk.names()
    if MANIFEST in names:
        manifest = decode_manifest(read_whole(disk, MANIFEST))
        if manifest is not None:
            return manifest
    why = "missing or damaged; made anew from the other files"
    found.lost.append(Lost(MANIFEST, 0, 0, "none by itself", why))
    runs: dict[tuple[int, int], list[tuple[int, bool, TableInfo]]] = {}
    store = ""
    for name in names:
        if not name.endswith(".table"):
            continue
        described = _described(disk, name)
        if described is None:
            found.lost.append(Lost(name, 0, 0, "all in it", "neither header nor footer can be read"))
            continue
        header, footer, info = described
        store = store or header.store.hex()
        if header.store.hex() == store:
            runs.setdefault((header.low, header.high), []).append((header.part, footer.last_part, info))
    for (low, high), parts in runs.items():
        parts.sort(key=lambda part: part[0])
        if [part[0] for part in parts] != list(range(len(parts))) or not parts[-1][1]:
            found.doubts.append(f"the run of groups {low} to {high} is not whole")
    # What two runs both hold was merged from the smaller ones into the larger.  Its parts are all there
    # unless the merge was cut off before any manifest named them, and then the smaller ones are still
    # there.
    chosen: list[tuple[tuple[int, int], list[tuple[int, bool, TableInfo]]]] = []
    for reach, parts in sorted(runs.items(), key=lambda item: (item[0][0], -item[0][1])):
        whole = [part[0] for part in parts] == list(range(len(parts))) and parts[-1][1]
        inside = [other for other in runs if other != reach and reach[0] <= other[0] and other[1] <= reach[1]]
        if (chosen and reach[0] <= chosen[-1][0][1]) or (not whole and inside):
            continue
        chosen.append((reach, parts))
    segments: list[SegmentHeader] = []
    for number in log_format.file_numbers(names, "log"):
        name = log_format.segment_name(number)
        head = SegmentHeader.decode(read_whole(disk, name, log_format.HEADER_BYTES), name)
        if head is not None:
            store = store or head.store.hex()
            segments.append(head)
    segments.sort(key=lambda head: head.number)
    reached = chosen[-1][0][1] if chosen else 0
    # Segments wholly in the runs may still be there: the log counts from the last one that begins at or
    # before their end, and of several that begin with the same group from the earliest, for a large group
    # may lie over all of them.
    begun = [head for head in segments if head.first_sequence <= reached + 1] or segments[:1]
    first = max(begun, key=lambda head: (head.first_sequence, -head.number), default=None)
    log_from, sequence = (first.number, first.first_sequence) if first else (1, reached + 1)
    entries = [
        run_entry(RunInfo(low, high, tuple(info for _, _, info in parts))) for (low, high), parts in chosen
    ]
    return Manifest(store or "00" * 16, 0, 1, log_from, sequence, entries)


def _described(disk: Disk, name: str) -> tuple[TableHeader, Footer, TableInfo] | None:
    """What a table says of itself; its first and last keys are read from its blocks."""
    file = disk.open(name)
    size = file.size()
    header = TableHeader.decode(file.read(0, HEADER_BYTES), name)
    if header is None or size < HEADER_BYTES + FOOTER_BYTES:
        return None
    footer = Footer.decode(file.read(size - FOOTER_BYTES, FOOTER_BYTES), header.salt)
    if footer is None:
        return None
    first = last = b""
    info = TableInfo(header.number, size, first, last, footer.entries, footer.deletions)
    for _, block, lost in blocks_left(disk, info, header, footer.end, None):
        if lost is None:
            for key, _ in decode_block(block):
                first = first or key
                last = key
    return header, footer, TableInfo(header.number, size, first, last, footer.entries, footer.deletions)


def folder_of(path: str) -> str:
    """`path` if a store is there; FileNotFoundError otherwise, for a command should not make one by a
    slip.
    """
    if MANIFEST not in RealDisk(path).names():
        raise FileNotFoundError(2, "no store", path)
    return path
