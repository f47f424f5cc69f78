"""Tables: sorted records in blocks, written once and never changed.  `docs/store-format.md` has the layout.

A run is the sorted content of a stretch of the log, cut into parts, each a table file with an index file
beside it.  The index holds nothing that its table does not: it is made anew where it is missing or does not
fit.
"""

from __future__ import annotations

import struct
from bisect import bisect_left, bisect_right
from collections.abc import Iterator
from dataclasses import dataclass, field

import xxhash

from heronreel.store.checksum import (
    CHECKSUM_BYTES,
    FORMAT_VERSION,
    append_checksum,
    check_format_version,
    checksum_bytes,
    verified_body,
)
from heronreel.store.disk import Disk, DiskFile, read_whole, write_whole
from heronreel.store.errors import CorruptionError, Lost
from heronreel.store.log_format import Operation, decode_operations, encode_operation

MAGIC = b"HRNTBL\r\n"
END_MAGIC = b"HRNTEND\n"
INDEX_MAGIC = b"HRNIDX\r\n"
_HEADER = struct.Struct("<8sII16sQQQIIQ")
HEADER_BYTES = _HEADER.size + CHECKSUM_BYTES
_FOOTER = struct.Struct("<8sIIQQQ")
FOOTER_BYTES = _FOOTER.size + CHECKSUM_BYTES
BLOCK = struct.Struct("<QII")
BLOCK_BYTES = BLOCK.size
_ENTRY = struct.Struct("<HI")
_DELETED = 0xFFFFFFFF
_INDEX = struct.Struct("<8sIIQQIIQ")
WRITE_TARGET = 1 << 16
FILTER_BITS = 10
FILTER_PROBES = 4
FILTER_STEP = 4096  # keys put into a filter at once: some milliseconds
MASK = (1 << 64) - 1

Record = Operation


@dataclass(frozen=True, slots=True)
class TableHeader:
    store: bytes
    number: int
    low: int  # the first sequence of the log that its run holds
    high: int  # the last
    part: int  # of its run, from 0
    salt: int

    def encode(self) -> bytes:
        return append_checksum(
            _HEADER.pack(
                MAGIC,
                FORMAT_VERSION,
                0,
                self.store,
                self.number,
                self.low,
                self.high,
                self.part,
                0,
                self.salt,
            )
        )

    @classmethod
    def decode(cls, data: bytes, file: str) -> TableHeader | None:
        body = verified_body(data, _HEADER.size)
        if body is None or not body.startswith(MAGIC):
            return None
        _, version, _, store, number, low, high, part, _, salt = _HEADER.unpack(body)
        check_format_version(version, file)
        return cls(store, number, low, high, part, salt)


@dataclass(frozen=True, slots=True)
class Footer:
    blocks: int
    last_part: bool  # of its run
    entries: int
    deletions: int
    end: int  # where the footer begins

    def encode(self, salt: int) -> bytes:
        body = _FOOTER.pack(END_MAGIC, self.blocks, self.last_part, self.entries, self.deletions, self.end)
        return append_checksum(body, salt)

    @classmethod
    def decode(cls, data: bytes, salt: int) -> Footer | None:
        body = verified_body(data, _FOOTER.size, salt)
        if body is None:
            return None
        _, blocks, last, entries, deletions, end = _FOOTER.unpack(body)
        return cls(blocks, bool(last), entries, deletions, end)


@dataclass(frozen=True, slots=True)
class TableInfo:
    """What the manifest says of a table."""

    number: int
    size: int  # bytes, with header and footer
    first: bytes
    last: bytes
    entries: int  # deletions among them
    deletions: int

    @property
    def file(self) -> str:
        return table_name(self.number)


@dataclass(frozen=True, slots=True)
class RunInfo:
    """A run: the parts follow each other in the order of their keys."""

    low: int
    high: int
    parts: tuple[TableInfo, ...]

    @property
    def size(self) -> int:
        return sum(part.size for part in self.parts)

    @property
    def entries(self) -> int:
        return sum(part.entries for part in self.parts)

    @property
    def deletions(self) -> int:
        return sum(part.deletions for part in self.parts)


def table_name(number: int) -> str:
    return f"{number:08}.table"


def index_name(number: int) -> str:
    return f"{number:08}.index"


def encode_block(records: list[Record], salt: int, offset: int) -> bytes:
    """The block's own offset goes into its checksum: one read from a wrong place does not pass."""
    offsets: list[int] = []
    parts: list[bytes] = []
    at = 0
    for key, value in records:
        offsets.append(at)
        parts.append(encode_operation(key, value))
        at += len(parts[-1])
    body = struct.pack(f"<{len(offsets)}I", *offsets) + b"".join(parts)
    rest = struct.pack("<II", len(body), len(offsets)) + body
    return checksum_bytes(rest, (salt + offset) & MASK) + rest


def decode_block(data: bytes) -> list[Record]:
    """The records of a block whose checksum holds."""
    _, _, count = BLOCK.unpack_from(data)
    return decode_operations(data, BLOCK_BYTES + 4 * count)


def find_in_block(data: bytes, key: bytes) -> tuple[bool, bytes | None]:
    """Whether the block has the key, and its value."""
    _, _, count = BLOCK.unpack_from(data)
    offsets = memoryview(data)[BLOCK_BYTES : BLOCK_BYTES + 4 * count].cast("I")
    base = BLOCK_BYTES + 4 * count
    low, high = 0, count
    while low < high:
        middle = (low + high) // 2
        at = base + offsets[middle]
        key_length, value_length = _ENTRY.unpack_from(data, at)
        at += 6
        found = data[at : at + key_length]
        if found == key:
            at += key_length
            return True, None if value_length == _DELETED else data[at : at + value_length]
        if found < key:
            low = middle + 1
        else:
            high = middle
    return False, None


class BloomFilter:
    """A Bloom filter: says of a key that the table has not got that it may have it once in about eighty
    times.
    """

    __slots__ = ("_bits", "_data")

    def __init__(self, data: bytes | bytearray) -> None:
        self._data = data
        self._bits = len(data) * 8

    @classmethod
    def of(cls, hashes: list[int]) -> BloomFilter:
        made = cls(bytearray(max(8, (len(hashes) * FILTER_BITS + 7) // 8)))
        made.add(hashes)
        return made

    def add(self, hashes: list[int]) -> None:
        """Only for a filter made from a bytearray of the right size for all its keys."""
        data, bits = self._data, self._bits
        assert isinstance(data, bytearray)
        for hashed in hashes:
            at, step = hashed & 0xFFFFFFFF, hashed >> 32 | 1
            for _ in range(FILTER_PROBES):
                place = at % bits
                data[place >> 3] |= 1 << (place & 7)
                at += step

    @property
    def data(self) -> bytes:
        return bytes(self._data)

    def may_have(self, hashed: int) -> bool:
        data, bits = self._data, self._bits
        at, step = hashed & 0xFFFFFFFF, hashed >> 32 | 1
        for _ in range(FILTER_PROBES):
            place = at % bits
            if not data[place >> 3] >> (place & 7) & 1:
                return False
            at += step
        return True


@dataclass(slots=True)
class Index:
    """Where each block begins and its first key; and the filter.  Held in memory once the table has been
    asked.
    """

    offsets: list[int]
    firsts: list[bytes]
    filter: BloomFilter

    def encode(self, number: int, salt: int) -> bytes:
        filter_data = self.filter.data
        keys = b"".join(self.firsts)
        count = len(self.offsets)
        body: bytes = (
            _INDEX.pack(INDEX_MAGIC, FORMAT_VERSION, 0, number, salt, count, len(filter_data), len(keys))
            + struct.pack(f"<{count}Q{count}H", *self.offsets, *map(len, self.firsts))
            + filter_data
            + keys
        )
        return append_checksum(body, salt)

    @classmethod
    def decode(cls, data: bytes, number: int, salt: int) -> Index | None:
        """None for what is no whole index of just that table."""
        if (
            len(data) < _INDEX.size + CHECKSUM_BYTES
            or verified_body(data, len(data) - CHECKSUM_BYTES, salt) is None
        ):
            return None
        magic, version, _, of_number, of_salt, count, filter_length, _ = _INDEX.unpack_from(data)
        if (magic, version, of_number, of_salt) != (INDEX_MAGIC, FORMAT_VERSION, number, salt):
            return None
        at = _INDEX.size
        offsets = list(struct.unpack_from(f"<{count}Q", data, at))
        at += 8 * count
        lengths = struct.unpack_from(f"<{count}H", data, at)
        at += 2 * count
        filter_data = data[at : at + filter_length]
        at += filter_length
        firsts = []
        for length in lengths:
            firsts.append(data[at : at + length])
            at += length
        return cls(offsets, firsts, BloomFilter(filter_data))


@dataclass(slots=True, eq=False)
class TableWriter:
    """Writes one part of a run, record by record in the order of keys; `finish` makes it durable."""

    disk: Disk
    header: TableHeader
    block: int  # bytes
    written: int = 0
    entries: int = 0
    deletions: int = 0
    _file: DiskFile = field(init=False)
    _buffer: list[bytes] = field(init=False, default_factory=list)
    _buffered: int = field(init=False, default=0)
    _block: list[Record] = field(init=False, default_factory=list)
    _block_size: int = field(init=False, default=0)
    _offsets: list[int] = field(init=False, default_factory=list)
    _firsts: list[bytes] = field(init=False, default_factory=list)
    _hashes: list[int] = field(init=False, default_factory=list)
    _last: bytes = field(init=False, default=b"")
    _filter: BloomFilter | None = field(init=False, default=None)

    def __post_init__(self) -> None:
        self._file = self.disk.create(table_name(self.header.number))
        self._put(self.header.encode())

    def add(self, key: bytes, value: bytes | None) -> None:
        self._block.append((key, value))
        self._block_size += len(key) + 10 + (len(value) if value is not None else 0)
        self._hashes.append(xxhash.xxh3_64_intdigest(key))
        self.entries += 1
        self.deletions += value is None
        if self._block_size >= self.block:
            self._end_block()

    def sync(self) -> None:
        """Make what is there so far durable, so that `finish` has little left to wait for."""
        self._flush()
        self._file.sync()

    def filter_steps(self) -> Iterator[int]:
        """Make the filter some thousand keys at a time, once all records are there; yields after each."""
        if self._filter is None:
            self._filter = BloomFilter(bytearray(max(8, (len(self._hashes) * FILTER_BITS + 7) // 8)))
            for begin in range(0, len(self._hashes), FILTER_STEP):
                self._filter.add(self._hashes[begin : begin + FILTER_STEP])
                yield 1  # no bytes to speak of, and a step all the same

    def finish(self, last_part: bool) -> tuple[TableInfo, Index]:
        """Raises OSError where the disk fails; then nothing may refer to the table."""
        first = self._firsts[0] if self._firsts else self._block[0][0]
        self._end_block()
        footer = Footer(len(self._offsets), last_part, self.entries, self.deletions, self.written)
        self._put(footer.encode(self.header.salt))
        self._flush()
        self._file.sync()
        self._file.close()
        for _ in self.filter_steps():
            pass
        assert self._filter
        index = Index(self._offsets, self._firsts, self._filter)
        # not synced: an index that is lost or torn is made anew from its table
        file = self.disk.create(index_name(self.header.number))
        try:
            write_whole(file, index.encode(self.header.number, self.header.salt))
        finally:
            file.close()
        info = TableInfo(self.header.number, self.written, first, self._last, self.entries, self.deletions)
        return info, index

    def abandon(self) -> None:
        self._file.close()

    def _end_block(self) -> None:
        if self._block:
            self._offsets.append(self.written)
            self._firsts.append(self._block[0][0])
            self._last = self._block[-1][0]
            self._put(encode_block(self._block, self.header.salt, self.written))
            self._block = []
            self._block_size = 0

    def _put(self, data: bytes) -> None:
        self._buffer.append(data)
        self._buffered += len(data)
        self.written += len(data)
        if self._buffered >= WRITE_TARGET:
            self._flush()

    def _flush(self) -> None:
        if self._buffer:
            write_whole(self._file, b"".join(self._buffer))
            self._buffer = []
            self._buffered = 0


class SSTable:
    """A table opened for reading.  Its index is read with the first question, or made anew from its
    blocks.
    """

    __slots__ = ("_disk", "_file", "_index", "footer", "header", "index_made_anew", "info")

    def __init__(
        self,
        disk: Disk,
        file: DiskFile,
        info: TableInfo,
        header: TableHeader,
        footer: Footer,
        index: Index | None,
    ) -> None:
        self._disk = disk
        self._file = file
        self.info = info
        self.header = header
        self.footer = footer
        self._index = index
        self.index_made_anew = False

    @classmethod
    def open(
        cls, disk: Disk, info: TableInfo, store: bytes, run: RunInfo | None = None, index: Index | None = None
    ) -> SSTable:
        """Checks size, header and footer.  FileNotFoundError if there is none, CorruptionError if they
        don't fit.
        """
        file = disk.open(info.file)
        size = file.size()
        if size != info.size:
            raise CorruptionError((Lost(
                info.file, min(size, info.size), abs(info.size - size),
                f"keys up to {info.last!r}", f"it has {size} bytes and should have {info.size}",
            ),))  # fmt: skip
        header = TableHeader.decode(file.read(0, HEADER_BYTES), info.file)
        if header is None or header.store != store or header.number != info.number or (
            run is not None and (header.low, header.high) != (run.low, run.high)
        ):  # fmt: skip
            raise CorruptionError((Lost(info.file, 0, HEADER_BYTES, "all of it", "its header does not fit"),))
        footer = Footer.decode(file.read(size - FOOTER_BYTES, FOOTER_BYTES), header.salt)
        if footer is None or footer.end != size - FOOTER_BYTES or footer.entries != info.entries:
            raise CorruptionError((Lost(
                info.file, size - FOOTER_BYTES, FOOTER_BYTES, "none by itself", "its footer does not fit",
            ),))  # fmt: skip
        return cls(disk, file, info, header, footer, index)

    @property
    def index(self) -> Index:
        if self._index is None:
            try:
                data = read_whole(self._disk, index_name(self.info.number))
            except OSError:
                data = b""
            self._index = Index.decode(data, self.info.number, self.header.salt)
            if self._index is None:
                self._index = self.make_index()
                self.index_made_anew = True
        return self._index

    @property
    def index_bytes(self) -> int:
        """Memory that the index holds, 0 as long as nobody has asked."""
        if self._index is None:
            return 0
        return len(self._index.filter.data) + sum(73 + len(first) for first in self._index.firsts)

    def make_index(self) -> Index:
        """The index from the blocks alone; CorruptionError where one can't be read."""
        offsets, firsts, hashes = [], [], []
        for offset, block in self.blocks_in_file():
            offsets.append(offset)
            for place, (key, _) in enumerate(decode_block(block)):
                if not place:
                    firsts.append(key)
                hashes.append(xxhash.xxh3_64_intdigest(key))
        return Index(offsets, firsts, BloomFilter.of(hashes))

    def blocks_in_file(self) -> Iterator[tuple[int, bytes]]:
        """Offset and bytes of each block, found without the index."""
        offset = HEADER_BYTES
        while offset < self.footer.end:
            head = self._file.read(offset, BLOCK_BYTES)
            length = BLOCK_BYTES + BLOCK.unpack(head)[1] if len(head) == BLOCK_BYTES else BLOCK_BYTES
            if offset + length > self.footer.end:
                raise CorruptionError((self.lost_at(offset, self.footer.end - offset),))
            yield offset, self.block(offset, length)
            offset += length

    def block(self, offset: int, length: int) -> bytes:
        """A block's bytes, checked; CorruptionError names the keys that are lost with it."""
        data = self._file.read(offset, length)
        if (
            len(data) != length
            or length < BLOCK_BYTES
            or checksum_bytes(memoryview(data)[8:], (self.header.salt + offset) & MASK) != data[:8]
        ):
            raise CorruptionError((self.lost_at(offset, length),))
        return data

    def lost_at(self, offset: int, length: int) -> Lost:
        """What is lost with a block that can't be read, as closely as the index tells if it has been read."""
        words = f"records of keys {self.info.first!r} to {self.info.last!r}"
        index = self._index
        if index is not None and offset in index.offsets:
            place = index.offsets.index(offset)
            words = f"records of keys from {index.firsts[place]!r} on"
            if place + 1 < len(index.firsts):
                words += f", before {index.firsts[place + 1]!r}"
            else:
                words += f", to {self.info.last!r}"
        return Lost(self.info.file, offset, length, words, "the block's checksum does not hold")

    def _block_at(self, place: int) -> bytes:
        offsets = self.index.offsets
        following = offsets[place + 1] if place + 1 < len(offsets) else self.footer.end
        return self.block(offsets[place], following - offsets[place])

    def get(self, key: bytes, hashed: int) -> tuple[bool, bytes | None]:
        """Whether the table says something of the key, and its value or None where it is deleted."""
        index = self.index
        if not index.filter.may_have(hashed):
            return False, None
        place = bisect_right(index.firsts, key) - 1
        return find_in_block(self._block_at(place), key) if place >= 0 else (False, None)

    def records(self, start: bytes = b"") -> Iterator[Record]:
        """All records from the key `start` on, in order."""
        place = max(0, bisect_right(self.index.firsts, start) - 1)
        for at in range(place, len(self.index.offsets)):
            for record in decode_block(self._block_at(at)):
                if record[0] >= start:
                    yield record


class SortedRun:
    """A run opened for reading."""

    __slots__ = ("_lasts", "info", "tables")

    def __init__(self, info: RunInfo, tables: list[SSTable]) -> None:
        self.info = info
        self.tables = tables
        self._lasts = [part.last for part in info.parts]

    def _place(self, key: bytes) -> int:
        """The first part whose last key is not before `key`."""
        return bisect_left(self._lasts, key)

    def get(self, key: bytes, hashed: int) -> tuple[bool, bytes | None]:
        place = self._place(key)
        if place == len(self.tables) or key < self.tables[place].info.first:
            return False, None
        return self.tables[place].get(key, hashed)

    def records(self, start: bytes = b"") -> Iterator[Record]:
        for table in self.tables[self._place(start) :]:
            yield from table.records(start)
