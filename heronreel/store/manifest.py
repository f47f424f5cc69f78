"""The manifest: which runs and which segments make up the store.  It is replaced whole, by a rename.

One line with a magic word, the format, the length and the checksum of the rest, then JSON that an operator
can read.
"""

from __future__ import annotations

import re

import msgspec
import xxhash

from heronreel.store.checksum import FORMAT_VERSION, check_format_version
from heronreel.store.errors import Lost
from heronreel.store.sstable import RunInfo, TableInfo

MANIFEST = "MANIFEST"
MANIFEST_NEW = "MANIFEST.new"
_LINE = re.compile(rb"heronreel-store (\d{1,9}) (\d{1,12}) ([0-9a-f]{16})\n")


class TableEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    number: int
    size: int
    first: str  # keys in hexadecimal
    last: str
    entries: int
    deletions: int


class RunEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    low: int
    high: int
    parts: list[TableEntry]


class DamageEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Damage met while reading; as long as it stands here the store opens for reading only."""

    file: str
    offset: int
    length: int
    records: str
    why: str


class Manifest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`runs` from the oldest to the newest; they hold every group below `next_sequence`, the log the rest."""

    store: str  # the store's id, 32 hexadecimal digits
    generation: int
    next_file: int  # numbers from here on have never been used for a table
    log_from: int  # the first segment that counts
    next_sequence: int  # of the first group that is in the log and in no run
    runs: list[RunEntry]
    damage: list[DamageEntry] = []

    @property
    def lost(self) -> list[Lost]:
        """The damage that it remembers."""
        return [Lost(d.file, d.offset, d.length, d.records, d.why) for d in self.damage]

    @property
    def run_infos(self) -> list[RunInfo]:
        return [
            RunInfo(
                run.low,
                run.high,
                tuple(
                    TableInfo(
                        part.number, part.size, bytes.fromhex(part.first), bytes.fromhex(part.last),
                        part.entries, part.deletions,
                    )
                    for part in run.parts
                ),
            )
            for run in self.runs
        ]  # fmt: skip


def run_entry(run: RunInfo) -> RunEntry:
    return RunEntry(
        run.low,
        run.high,
        [
            TableEntry(p.number, p.size, p.first.hex(), p.last.hex(), p.entries, p.deletions)
            for p in run.parts
        ],
    )


def encode_manifest(manifest: Manifest) -> bytes:
    body = msgspec.json.format(msgspec.json.encode(manifest), indent=1) + b"\n"
    return (
        b"heronreel-store %d %d %016x\n" % (FORMAT_VERSION, len(body), xxhash.xxh3_64_intdigest(body)) + body
    )


def decode_manifest(data: bytes) -> Manifest | None:
    """None where it is no whole manifest; UnknownFormatError for one of a newer format."""
    line = _LINE.match(data)
    if not line:
        # the line of any later format begins alike, whatever may follow
        if later := re.match(rb"heronreel-store (\d{1,9}) ", data):
            check_format_version(int(later[1]), MANIFEST)
        return None
    check_format_version(int(line[1]), MANIFEST)
    body = data[line.end() :]
    if len(body) != int(line[2]) or xxhash.xxh3_64_intdigest(body) != int(line[3], 16):
        return None
    try:
        manifest = msgspec.json.decode(body, type=Manifest)
        _ = manifest.run_infos, bytes.fromhex(manifest.store)
    except (msgspec.DecodeError, ValueError):
        return None
    return manifest
