"""The bytes of SSTables and of their indexes.  No I/O; `docs/store-format.md` has the layout.

A sorted run is the sorted content of a stretch of the log, cut into parts: each is an SSTable, with an index
file beside it.  The index holds nothing that its table does not: it is rebuilt where it is missing or does
not match.
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
_OFFSET_BYTES = 4  # of a record's offset in its block
_MIN_RECORD_BYTES = 7  # an operation's header and a key of one byte
_MAX_UINT64 = (1 << 64) - 1

Record = Operation


@dataclass(frozen=True, slots=True)
class TableHeader:
    """The header of an SSTable."""

    store: bytes
    number: int
    first_sequence: int  # of the stretch of the log that its run holds
    last_sequence: int
    part: int  # of its run, from 0
    salt: int

    def encode(self) -> bytes:
        """The header with its checksum."""
        sequences = self.first_sequence, self.last_sequence
        fields = (self.store, self.number, *sequences, self.part, 0, self.salt)
        return append_checksum(_HEADER.pack(MAGIC, FORMAT_VERSION, 0, *fields))

    @classmethod
    def decode(cls, data: bytes, file: str) -> TableHeader | None:
        """The header at the start of `data`, or None where there is no valid one.

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
    last_part: bool  # of its run
    entries: int
    deletions: int
    end: int  # where the blocks end and the footer begins

    def encode(self, salt: int) -> bytes:
        """The footer with its checksum."""
        counts = self.entries, self.deletions
        body = _FOOTER.pack(FOOTER_MAGIC, self.blocks, self.last_part, *counts, self.end)
        return append_checksum(body, salt)

    @classmethod
    def decode(cls, data: bytes, salt: int) -> Footer | None:
        """The footer in `data`, or None where it is not valid."""
        body = verified_body(data, _FOOTER.size, salt)
        if body is None:
            return None
        _, blocks, last_part, entries, deletions, end = _FOOTER.unpack(body)
        return cls(blocks, bool(last_part), entries, deletions, end)


@dataclass(frozen=True, slots=True)
class TableInfo:
    """What the manifest says of an SSTable."""

    number: int
    size: int  # bytes, with header and footer
    first_key: bytes
    last_key: bytes
    entries: int  # deletions among them
    deletions: int

    @property
    def file(self) -> str:
        """The name of its file."""
        return table_name(self.number)


@dataclass(frozen=True, slots=True)
class RunInfo:
    """What the manifest says of a sorted run; its parts are in the order of their keys."""

    first_sequence: int
    last_sequence: int
    parts: tuple[TableInfo, ...]

    @property
    def size(self) -> int:
        """Bytes of all parts."""
        return sum(part.size for part in self.parts)

    @property
    def entries(self) -> int:
        """Records of all parts, deletions among them."""
        return sum(part.entries for part in self.parts)

    @property
    def deletions(self) -> int:
        """Deletions of all parts."""
        return sum(part.deletions for part in self.parts)


def table_name(number: int) -> str:
    """The file name of an SSTable."""
    return f"{number:08}.{TABLE_SUFFIX}"


def index_name(number: int) -> str:
    """The file name of the index of an SSTable."""
    return f"{number:08}.{INDEX_SUFFIX}"


def block_seed(salt: int, offset: int) -> int:
    """The seed of a block's checksum: one read from a wrong place does not match."""
    return (salt + offset) & _MAX_UINT64


def encode_block(records: list[Record], salt: int, offset: int) -> bytes:
    """A block of sorted records, for the place `offset` of the table with this salt."""
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
    """Bytes of a block by its header; those of a header if it is cut short."""
    if len(header) != BLOCK_HEADER_BYTES:
        return BLOCK_HEADER_BYTES
    return BLOCK_HEADER_BYTES + int(_BLOCK_HEADER.unpack(header)[1])


def block_is_valid(block: bytes | memoryview, salt: int, offset: int) -> bool:
    """Whether the block's checksum matches its bytes and its place."""
    covered = memoryview(block)[CHECKSUM_BYTES:]
    return checksum_bytes(covered, block_seed(salt, offset)) == block[:CHECKSUM_BYTES]


def find_block(data: bytes, offset: int, salt: int) -> int | None:
    """Where in `data`, read from `offset` of a table on, the first valid block behind its start begins."""
    view = memoryview(data)
    for start in range(1, len(data) - BLOCK_HEADER_BYTES):
        _, length, count = _BLOCK_HEADER.unpack_from(data, start)
        end = start + BLOCK_HEADER_BYTES + length
        plausible = 0 < count <= length // _MIN_RECORD_BYTES + 1 and end <= len(data)
        if plausible and block_is_valid(view[start:end], salt, offset + start):
            return start
    return None


def decode_block(data: bytes) -> list[Record]:
    """The records of a block whose checksum matches."""
    _, _, count = _BLOCK_HEADER.unpack_from(data)
    return decode_operations(data, BLOCK_HEADER_BYTES + _OFFSET_BYTES * count)


def find_in_block(data: bytes, key: bytes) -> tuple[bool, bytes | None]:
    """Whether the block has the key, and its value or None where it is deleted."""
    _, _, count = _BLOCK_HEADER.unpack_from(data)
    base = BLOCK_HEADER_BYTES + _OFFSET_BYTES * count
    offsets = memoryview(data)[BLOCK_HEADER_BYTES:base].cast("I")
    low, high = 0, count
    while low < high:
        middle = (low + high) // 2
        found, value = match_operation(data, base + offsets[middle], key)
        if found == key:
            return True, value
        if found < key:
            low = middle + 1
        else:
            high = middle
    return False, None


@dataclass(slots=True)
class Index:
    """Where each block begins, its first key, and the Bloom filter; in memory from the first read on."""

    offsets: list[int]
    first_keys: list[bytes]
    bloom_filter: BloomFilter

    def encode(self, number: int, salt: int) -> bytes:
        """The index of the table with this number and salt, with its checksum."""
        filter_data = self.bloom_filter.data
        keys = b"".join(self.first_keys)
        count = len(self.offsets)
        lengths = count, len(filter_data), len(keys)
        header = _INDEX_HEADER.pack(INDEX_MAGIC, FORMAT_VERSION, 0, number, salt, *lengths)
        places = struct.pack(f"<{count}Q{count}H", *self.offsets, *map(len, self.first_keys))
        return append_checksum(header + places + filter_data + keys, salt)

    @classmethod
    def decode(cls, data: bytes, number: int, salt: int) -> Index | None:
        """The index in `data`, or None unless it is valid and of just that table."""
        body_length = len(data) - CHECKSUM_BYTES
        if body_length < _INDEX_HEADER.size or verified_body(data, body_length, salt) is None:
            return None
        magic, version, _, of_number, of_salt, count, filter_length, _ = _INDEX_HEADER.unpack_from(data)
        if (magic, version, of_number, of_salt) != (INDEX_MAGIC, FORMAT_VERSION, number, salt):
            return None
        at = _INDEX_HEADER.size
        offsets = list(struct.unpack_from(f"<{count}Q", data, at))
        at += 8 * count
        lengths = struct.unpack_from(f"<{count}H", data, at)
        at += 2 * count
        filter_data = data[at : at + filter_length]
        at += filter_length
        first_keys = []
        for length in lengths:
            first_keys.append(data[at : at + length])
            at += length
        return cls(offsets, first_keys, BloomFilter(filter_data))

    @staticmethod
    def stored_salt(data: bytes) -> int:
        """The salt of its table that an encoded index repeats; unverified."""
        return int.from_bytes(data[_INDEX_SALT], "little")
