"""The manifest: which sorted runs and which log segments make up the store.

It is replaced as a whole, by a rename.  One line with a magic word, the format version, the length and the
checksum of the rest is followed by JSON that an operator can read.
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
    """An SSTable in the manifest; keys in hexadecimal."""

    number: int
    size: int
    first_key: str = msgspec.field(name="first")
    last_key: str = msgspec.field(name="last")
    entries: int
    deletions: int

    @classmethod
    def of(cls, table: TableInfo) -> TableEntry:
        """The entry of a table."""
        keys = table.first_key.hex(), table.last_key.hex()
        return cls(table.number, table.size, *keys, table.entries, table.deletions)

    @property
    def info(self) -> TableInfo:
        """The table; ValueError where a key is not hexadecimal."""
        keys = bytes.fromhex(self.first_key), bytes.fromhex(self.last_key)
        return TableInfo(self.number, self.size, *keys, self.entries, self.deletions)


class RunEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A sorted run in the manifest."""

    first_sequence: int = msgspec.field(name="low")
    last_sequence: int = msgspec.field(name="high")
    parts: list[TableEntry]

    @classmethod
    def of(cls, run: RunInfo) -> RunEntry:
        """The entry of a run."""
        return cls(run.first_sequence, run.last_sequence, [TableEntry.of(part) for part in run.parts])

    @property
    def info(self) -> RunInfo:
        """The run; ValueError where a key is not hexadecimal."""
        return RunInfo(self.first_sequence, self.last_sequence, tuple(part.info for part in self.parts))


class DamageEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Damage found while reading; as long as the manifest has it, the store opens for reading only."""

    file: str
    offset: int
    length: int
    records: str
    why: str

    @classmethod
    def of(cls, lost: Lost) -> DamageEntry:
        """The entry of lost bytes."""
        return cls(lost.file, lost.offset, lost.length, lost.records, lost.why)

    @property
    def lost(self) -> Lost:
        """The lost bytes."""
        return Lost(self.file, self.offset, self.length, self.records, self.why)


class Manifest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`runs` from the oldest to the newest; they hold every group below `next_sequence`, the log the rest."""

    store: str  # the store's id, 32 hexadecimal digits
    generation: int
    next_table_number: int = msgspec.field(name="next_file")  # numbers from here on were never used
    first_segment: int = msgspec.field(name="log_from")  # the first that counts
    next_sequence: int  # of the first group that is in the log and in no run
    runs: list[RunEntry]
    damage: list[DamageEntry] = []

    @classmethod
    def initial(cls, store: str) -> Manifest:
        """The manifest of a store that holds nothing."""
        return cls(store, 0, 1, 1, 1, [])

    @property
    def store_id(self) -> bytes:
        """The store's id as log segments and SSTables carry it."""
        return bytes.fromhex(self.store)

    @property
    def lost(self) -> list[Lost]:
        """The damage that it records."""
        return [entry.lost for entry in self.damage]

    @property
    def run_infos(self) -> list[RunInfo]:
        """The sorted runs, from the oldest to the newest."""
        return [run.info for run in self.runs]


def encode_manifest(manifest: Manifest) -> bytes:
    """The bytes of the manifest's file."""
    body = msgspec.json.format(msgspec.json.encode(manifest), indent=1) + b"\n"
    checksum = xxhash.xxh3_64_intdigest(body)
    return b"heronreel-store %d %d %016x\n" % (FORMAT_VERSION, len(body), checksum) + body


def decode_manifest(data: bytes) -> Manifest | None:
    """The manifest in `data`, or None where there is no valid one.

    Raises:
        UnknownFormatError: The manifest has a newer format version.
    """
    line = _HEADER_LINE.match(data)
    if not line:
        # the line of any later format begins alike, whatever may follow
        if newer := _ANY_VERSION.match(data):
            check_format_version(int(newer[1]), MANIFEST_NAME)
        return None
    check_format_version(int(line[1]), MANIFEST_NAME)
    body = data[line.end() :]
    if len(body) != int(line[2]) or xxhash.xxh3_64_intdigest(body) != int(line[3], 16):
        return None
    try:
        manifest = msgspec.json.decode(body, type=Manifest)
        _ = manifest.run_infos, manifest.store_id
    except (msgspec.DecodeError, ValueError):
        return None
    return manifest
