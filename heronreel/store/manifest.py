"""The manifest, which lists the sorted runs and the first log segment of a store.

It is replaced as a whole, by a rename.  Its first line has a magic word, the format version, and the length
and the checksum of the rest of the file.  The rest is JSON that an operator can read.
"""

from __future__ import annotations

import re

import msgspec
import xxhash

from heronreel.store.checksum import FORMAT_VERSION, check_format_version
from heronreel.store.errors import Lost
from heronreel.store.sstable_format import RunInfo, TableInfo

MANIFEST_NAME = "MANIFEST"
NEW_MANIFEST_NAME = "MANIFEST.new"
_HEADER_LINE = re.compile(rb"heronreel-store (\d{1,9}) (\d{1,12}) ([0-9a-f]{16})\n")
_ANY_VERSION = re.compile(rb"heronreel-store (\d{1,9}) ")


class TableEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The manifest's entry of an SSTable; keys are in hexadecimal."""

    number: int
    size: int
    first_key: str = msgspec.field(name="first")
    last_key: str = msgspec.field(name="last")
    entries: int
    deletions: int

    @classmethod
    def of(cls, table: TableInfo) -> TableEntry:
        """Return the entry of a table."""
        keys = table.first_key.hex(), table.last_key.hex()
        return cls(table.number, table.size, *keys, table.entries, table.deletions)

    @property
    def info(self) -> TableInfo:
        """The table; raises ValueError if a key is not hexadecimal."""
        keys = bytes.fromhex(self.first_key), bytes.fromhex(self.last_key)
        return TableInfo(self.number, self.size, *keys, self.entries, self.deletions)


class RunEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The manifest's entry of a sorted run."""

    first_sequence: int = msgspec.field(name="low")
    last_sequence: int = msgspec.field(name="high")
    parts: list[TableEntry]

    @classmethod
    def of(cls, run: RunInfo) -> RunEntry:
        """Return the entry of a run."""
        return cls(run.first_sequence, run.last_sequence, [TableEntry.of(part) for part in run.parts])

    @property
    def info(self) -> RunInfo:
        """The run; raises ValueError if a key is not hexadecimal."""
        return RunInfo(self.first_sequence, self.last_sequence, tuple(part.info for part in self.parts))


class DamageEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Damage found by a read.  While the manifest has such an entry, the store opens for reading only."""

    file: str
    offset: int
    length: int
    records: str
    why: str

    @classmethod
    def of(cls, lost: Lost) -> DamageEntry:
        """Return the entry of lost bytes."""
        return cls(lost.file, lost.offset, lost.length, lost.records, lost.why)

    @property
    def lost(self) -> Lost:
        """The lost bytes."""
        return Lost(self.file, self.offset, self.length, self.records, self.why)


class Manifest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The content of the manifest.

    `runs` are ordered from the oldest to the newest. They hold every group below `next_sequence`; the log
    holds the later groups.
    """

    store: str  # The store's id, 32 hexadecimal digits.
    generation: int
    next_table_number: int = msgspec.field(name="next_file")  # Numbers from this one on were never used.
    first_segment: int = msgspec.field(name="log_from")  # The first segment of the log.
    next_sequence: int  # The sequence of the first group that is in no run.
    runs: list[RunEntry]
    damage: list[DamageEntry] = []

    @classmethod
    def initial(cls, store: str) -> Manifest:
        """Return the manifest of an empty store."""
        return cls(store, 0, 1, 1, 1, [])

    @property
    def store_id(self) -> bytes:
        """The store's id in the binary form of log segments and SSTables."""
        return bytes.fromhex(self.store)

    @property
    def lost(self) -> list[Lost]:
        """The losses that the manifest records."""
        return [entry.lost for entry in self.damage]

    @property
    def run_infos(self) -> list[RunInfo]:
        """The sorted runs, from the oldest to the newest."""
        return [run.info for run in self.runs]


def encode_manifest(manifest: Manifest) -> bytes:
    """Encode the manifest as the content of its file."""
    body = msgspec.json.format(msgspec.json.encode(manifest), indent=1) + b"\n"
    checksum = xxhash.xxh3_64_intdigest(body)
    return b"heronreel-store %d %d %016x\n" % (FORMAT_VERSION, len(body), checksum) + body


def decode_manifest(data: bytes) -> Manifest | None:
    """Decode the manifest in `data`; return None if it is not valid.

    Raises:
        UnknownFormatError: The manifest has a newer format version.
    """
    header = _HEADER_LINE.match(data)
    if not header:
        # Every later format version begins its first line in the same way, whatever follows.
        if version_match := _ANY_VERSION.match(data):
            check_format_version(int(version_match[1]), MANIFEST_NAME)
        return None
    check_format_version(int(header[1]), MANIFEST_NAME)
    body = data[header.end() :]
    if len(body) != int(header[2]) or xxhash.xxh3_64_intdigest(body) != int(header[3], 16):
        return None
    try:
        manifest = msgspec.json.decode(body, type=Manifest)
        _ = manifest.run_infos, manifest.store_id
    except (msgspec.DecodeError, ValueError):
        return None
    return manifest
