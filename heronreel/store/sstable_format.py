"""The format of SSTables and of their indexes.  This module does no I/O.

`docs/store-format.md` specifies the layout.

A sorted run has the sorted records of a range of groups of the log.  It is divided into parts, each of which
is an SSTable with a separate index file.  All information in the index can be derived from its table, so the
index is rebuilt if it is missing or does not match.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

from heronreel.store.bloom_filter import BloomFilter
from heronreel.store.checksum import (
    CHECKSUM_BYTES,
    FORMAT_VERSION,
    append_checksum,
    checksum_bytes,
    decode_header,
    verified_body,
)
from heronreel.store.operations import Operation, decode_operations, encode_operation, match_operation

TABLE_SUFFIX = "table"
INDEX_SUFFIX = "index"
MAGIC = b"HRNTBL\r\n"
FOOTER_MAGIC = b"HRNTEND\n"
INDEX_MAGIC = b"HRNIDX\r\n"
_HEADER = struct.Struct("<8sII16sQQQIIQ")
HEADER_BYTES = _HEADER.size + CHECKSUM_BYTES
_FOOTER = struct.Struct("<8sIIQQQ")
FOOTER_BYTES = _FOOTER.size + CHECKSUM_BYTES
_BLOCK_HEADER = struct.Struct("<QII")
BLOCK_HEADER_BYTES = _BLOCK_HEADER.size
_INDEX_HEADER = struct.Struct("<8sIIQQIIQ")
_INDEX_SALT = slice(24, 32)
_OFFSET_BYTES = 4  # Size of a record's offset in its block.
_MIN_RECORD_BYTES = 7  # An operation's header and a key of one byte.
_MAX_UINT64 = (1 << 64) - 1

Record = Operation


@dataclass(frozen=True, slots=True)
class TableHeader:
    """The header of an SSTable."""

    store: bytes  # The store's id.
    number: int
    first_sequence: int  # The first group in its run.
    last_sequence: int  # The last group in its run.
    part: int  # The table's position in its run, from 0.
    salt: int

    def encode(self) -> bytes:
        """Encode the header with its checksum."""
        sequences = self.first_sequence, self.last_sequence
        fields = (self.store, self.number, *sequences, self.part, 0, self.salt)
        return append_checksum(_HEADER.pack(MAGIC, FORMAT_VERSION, 0, *fields))

    @classmethod
    def decode(cls, data: bytes, file: str) -> TableHeader | None:
        """Decode the header at the start of `data`; return None if it is not valid.

        Raises:
            UnknownFormatError: The header has a newer format version.
        """
        fields = decode_header(data, _HEADER, MAGIC, file)
        if fields is None:
            return None
        _, store, number, first_sequence, last_sequence, part, _, salt = fields
        return cls(store, number, first_sequence, last_sequence, part, salt)


@dataclass(frozen=True, slots=True)
class Footer:
    """The footer of an SSTable."""

    blocks: int
    last_part: bool  # Whether the table is the last part of its run.
    entries: int
    deletions: int
    end: int  # The offset where the blocks end and the footer begins.

    def encode(self, salt: int) -> bytes:
        """Encode the footer with its checksum."""
        counts = self.entries, self.deletions
        body = _FOOTER.pack(FOOTER_MAGIC, self.blocks, self.last_part, *counts, self.end)
        return append_checksum(body, salt)

    @classmethod
    def decode(cls, data: bytes, salt: int) -> Footer | None:
        """Decode the footer in `data`; return None if it is not valid."""
        body = verified_body(data, _FOOTER.size, salt)
        if body is None:
            return None
        _, blocks, last_part, entries, deletions, end = _FOOTER.unpack(body)
        return cls(blocks, bool(last_part), entries, deletions, end)


@dataclass(frozen=True, slots=True)
class TableInfo:
    """The manifest's description of an SSTable."""

    number: int
    size: int  # In bytes, with the header and the footer.
    first_key: bytes
    last_key: bytes
    entries: int  # The deletions are included.
    deletions: int

    @property
    def file(self) -> str:
        """The name of the table's file."""
        return table_name(self.number)


@dataclass(frozen=True, slots=True)
class RunInfo:
    """The manifest's description of a sorted run; its parts are in key order."""

    first_sequence: int
    last_sequence: int
    parts: tuple[TableInfo, ...]

    @property
    def size(self) -> int:
        """The size of all parts in bytes."""
        return sum(part.size for part in self.parts)

    @property
    def entries(self) -> int:
        """The number of records in all parts, with the deletions."""
        return sum(part.entries for part in self.parts)

    @property
    def deletions(self) -> int:
        """The number of deletions in all parts."""
        return sum(part.deletions for part in self.parts)


def table_name(number: int) -> str:
    """Return the file name of an SSTable."""
    return f"{number:08}.{TABLE_SUFFIX}"


def index_name(number: int) -> str:
    """Return the file name of the index of an SSTable."""
    return f"{number:08}.{INDEX_SUFFIX}"


def block_seed(salt: int, offset: int) -> int:
    """Return the seed of a block's checksum, so that a block at a wrong offset fails verification."""
    return (salt + offset) & _MAX_UINT64


def encode_block(records: list[Record], salt: int, offset: int) -> bytes:
    """Encode a block of sorted records for the offset `offset` of the table with this salt."""
    offsets: list[int] = []
    parts: list[bytes] = []
    end = 0
    for key, value in records:
        offsets.append(end)
        parts.append(encode_operation(key, value))
        end += len(parts[-1])
    body = struct.pack(f"<{len(offsets)}I", *offsets) + b"".join(parts)
    rest = struct.pack("<II", len(body), len(offsets)) + body
    return checksum_bytes(rest, block_seed(salt, offset)) + rest


def block_length(header: bytes) -> int:
    """Return the size of a block according to its header; the size of a header if that is cut short."""
    if len(header) != BLOCK_HEADER_BYTES:
        return BLOCK_HEADER_BYTES
    return BLOCK_HEADER_BYTES + int(_BLOCK_HEADER.unpack(header)[1])


def block_is_valid(block: bytes | memoryview, salt: int, offset: int) -> bool:
    """Return whether the block's checksum matches its bytes and its offset."""
    covered = memoryview(block)[CHECKSUM_BYTES:]
    return checksum_bytes(covered, block_seed(salt, offset)) == block[:CHECKSUM_BYTES]


def find_block(data: bytes, offset: int, salt: int) -> int | None:
    """Return the position in `data` of the first valid block after its first byte, or None.

    `data` was read from `offset` of a table.
    """
    view = memoryview(data)
    for start in range(1, len(data) - BLOCK_HEADER_BYTES):
        _, length, count = _BLOCK_HEADER.unpack_from(data, start)
        end = start + BLOCK_HEADER_BYTES + length
        plausible = 0 < count <= length // _MIN_RECORD_BYTES + 1 and end <= len(data)
        if plausible and block_is_valid(view[start:end], salt, offset + start):
            return start
    return None


def decode_block(data: bytes) -> list[Record]:
    """Decode the records of a block whose checksum was verified."""
    _, _, count = _BLOCK_HEADER.unpack_from(data)
    return decode_operations(data, BLOCK_HEADER_BYTES + _OFFSET_BYTES * count)


def find_in_block(data: bytes, key: bytes) -> tuple[bool, bytes | None]:
    """Return whether the block has the key, and its value or None if it is deleted."""
    _, _, count = _BLOCK_HEADER.unpack_from(data)
    base = BLOCK_HEADER_BYTES + _OFFSET_BYTES * count
    offsets = memoryview(data)[BLOCK_HEADER_BYTES:base].cast("I")
    low, high = 0, count
    while low < high:
        middle = (low + high) // 2
        found_key, value = match_operation(data, base + offsets[middle], key)
        if found_key == key:
            return True, value
        if found_key < key:
            low = middle + 1
        else:
            high = middle
    return False, None


@dataclass(slots=True)
class Index:
    """The offset and the first key of each block, and the Bloom filter; in memory from the first read on."""

    offsets: list[int]
    first_keys: list[bytes]
    bloom_filter: BloomFilter

    def encode(self, number: int, salt: int) -> bytes:
        """Encode the index of the table with this number and salt, with its checksum."""
        filter_data = self.bloom_filter.data
        keys = b"".join(self.first_keys)
        count = len(self.offsets)
        lengths = count, len(filter_data), len(keys)
        header = _INDEX_HEADER.pack(INDEX_MAGIC, FORMAT_VERSION, 0, number, salt, *lengths)
        offsets_and_key_lengths = struct.pack(f"<{count}Q{count}H", *self.offsets, *map(len, self.first_keys))
        return append_checksum(header + offsets_and_key_lengths + filter_data + keys, salt)

    @classmethod
    def decode(cls, data: bytes, number: int, salt: int) -> Index | None:
        """Decode the index in `data`; return None unless it is valid and belongs to that table."""
        body_length = len(data) - CHECKSUM_BYTES
        if body_length < _INDEX_HEADER.size or verified_body(data, body_length, salt) is None:
            return None
        magic, version, _, table_number, table_salt, count, filter_length, _ = _INDEX_HEADER.unpack_from(data)
        if (magic, version, table_number, table_salt) != (INDEX_MAGIC, FORMAT_VERSION, number, salt):
            return None
        position = _INDEX_HEADER.size
        offsets = list(struct.unpack_from(f"<{count}Q", data, position))
        position += 8 * count
        lengths = struct.unpack_from(f"<{count}H", data, position)
        position += 2 * count
        filter_data = data[position : position + filter_length]
        position += filter_length
        first_keys = []
        for length in lengths:
            first_keys.append(data[position : position + length])
            position += length
        return cls(offsets, first_keys, BloomFilter(filter_data))

    @staticmethod
    def stored_salt(data: bytes) -> int:
        """Return the table's salt that an encoded index repeats; it is not verified."""
        return int.from_bytes(data[_INDEX_SALT], "little")
