"""Reads SSTables, and the sorted runs that consist of them."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterator

import xxhash

from heronreel.store.bloom_filter import BloomFilter
from heronreel.store.disk import Disk, DiskFile, read_all
from heronreel.store.errors import CorruptionError, Lost
from heronreel.store.sstable_format import (
    BLOCK_HEADER_BYTES,
    FOOTER_BYTES,
    HEADER_BYTES,
    Footer,
    Index,
    Record,
    RunInfo,
    TableHeader,
    TableInfo,
    block_is_valid,
    block_length,
    decode_block,
    find_in_block,
    index_name,
)

_INDEX_ENTRY_BYTES = 73  # Memory of an index entry: the offset, and the first key's object without its bytes.


class SSTable:
    """An SSTable opened for reading.  Its index is loaded by the first read, or rebuilt from its blocks."""

    __slots__ = ("_disk", "_file", "_index", "footer", "header", "index_rebuilt", "info")

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
        self.index_rebuilt = False

    @classmethod
    def open(
        cls, disk: Disk, info: TableInfo, store: bytes, run: RunInfo | None = None, index: Index | None = None
    ) -> SSTable:
        """Open a table and check its size, header and footer.

        Args:
            disk: The disk that holds the table's file.
            info: The table's description in the manifest.
            store: The store's id.
            run: The run that the table must belong to; None skips this check.
            index: The table's index, if it is already in memory.

        Raises:
            FileNotFoundError: There is no such file.
            CorruptionError: The file does not match its description in the manifest.
        """
        file = disk.open(info.file)
        size = file.size()
        if size != info.size:
            why = f"it has {size} bytes and should have {info.size}"
            offset, length = min(size, info.size), abs(info.size - size)
            raise CorruptionError((Lost(info.file, offset, length, f"keys up to {info.last_key!r}", why),))
        header = TableHeader.decode(file.read(0, HEADER_BYTES), info.file)
        if header is None or not _header_matches(header, info, store, run):
            raise CorruptionError((Lost(info.file, 0, HEADER_BYTES, "all of it", "its header does not fit"),))
        footer_offset = size - FOOTER_BYTES
        footer = Footer.decode(file.read(footer_offset, FOOTER_BYTES), header.salt)
        if footer is None or footer.end != footer_offset or footer.entries != info.entries:
            why = "its footer does not fit"
            raise CorruptionError((Lost(info.file, footer_offset, FOOTER_BYTES, "none by itself", why),))
        return cls(disk, file, info, header, footer, index)

    @property
    def index(self) -> Index:
        """The table's index, which is loaded or rebuilt at the first access.

        Raises:
            CorruptionError: The index must be rebuilt, and a block can't be read.
        """
        if self._index is None:
            try:
                data = read_all(self._disk, index_name(self.info.number))
            except OSError:
                data = b""
            self._index = Index.decode(data, self.info.number, self.header.salt)
            if self._index is None:
                self._index = self._rebuild_index()
                self.index_rebuilt = True
        return self._index

    @property
    def index_bytes(self) -> int:
        """The memory use of the index in bytes; 0 until it is loaded."""
        if self._index is None:
            return 0
        first_keys = sum(_INDEX_ENTRY_BYTES + len(key) for key in self._index.first_keys)
        return len(self._index.bloom_filter.data) + first_keys

    def get(self, key: bytes, key_hash: int) -> tuple[bool, bytes | None]:
        """Return whether the table has a record of the key, and its value, or None if it is deleted.

        Raises:
            CorruptionError: The block that should contain it can't be read.
        """
        index = self.index
        if not index.bloom_filter.may_contain(key_hash):
            return False, None
        position = bisect_right(index.first_keys, key) - 1
        return find_in_block(self._indexed_block(position), key) if position >= 0 else (False, None)

    def records(self, start: bytes = b"") -> Iterator[Record]:
        """Yield all records from the key `start` on, in key order; raises as `get` does."""
        first = max(0, bisect_right(self.index.first_keys, start) - 1)
        for position in range(first, len(self.index.offsets)):
            for record in decode_block(self._indexed_block(position)):
                if record[0] >= start:
                    yield record

    def block(self, offset: int, length: int) -> bytes:
        """Return a block's bytes after verifying its checksum.

        Raises:
            CorruptionError: The block can't be read or its checksum is wrong; the error names the lost keys.
        """
        data = self._file.read(offset, length)
        complete = len(data) == length >= BLOCK_HEADER_BYTES
        if not complete or not block_is_valid(data, self.header.salt, offset):
            raise CorruptionError((self.block_loss(offset, length),))
        return data

    def block_loss(self, offset: int, length: int) -> Lost:
        """Return the loss of an unreadable block; its key range is exact only if the index is in memory."""
        records = f"records of keys {self.info.first_key!r} to {self.info.last_key!r}"
        index = self._index
        if index is not None and offset in index.offsets:
            position = index.offsets.index(offset)
            records = f"records of keys from {index.first_keys[position]!r} on"
            if position + 1 < len(index.first_keys):
                records += f", before {index.first_keys[position + 1]!r}"
            else:
                records += f", to {self.info.last_key!r}"
        return Lost(self.info.file, offset, length, records, "the block's checksum does not hold")

    def _rebuild_index(self) -> Index:
        offsets: list[int] = []
        first_keys: list[bytes] = []
        hashes: list[int] = []
        for offset, block in self._scan_blocks():
            keys = [key for key, _ in decode_block(block)]
            offsets.append(offset)
            first_keys += keys[:1]
            hashes += [xxhash.xxh3_64_intdigest(key) for key in keys]
        return Index(offsets, first_keys, BloomFilter.of(hashes))

    def _scan_blocks(self) -> Iterator[tuple[int, bytes]]:
        """Yield the offset and the bytes of each block, without using the index."""
        offset = HEADER_BYTES
        while offset < self.footer.end:
            length = block_length(self._file.read(offset, BLOCK_HEADER_BYTES))
            if offset + length > self.footer.end:
                raise CorruptionError((self.block_loss(offset, self.footer.end - offset),))
            yield offset, self.block(offset, length)
            offset += length

    def _indexed_block(self, position: int) -> bytes:
        offsets = self.index.offsets
        end = offsets[position + 1] if position + 1 < len(offsets) else self.footer.end
        return self.block(offsets[position], end - offsets[position])


def _header_matches(header: TableHeader, info: TableInfo, store: bytes, run: RunInfo | None) -> bool:
    if header.store != store or header.number != info.number:
        return False
    sequences = header.first_sequence, header.last_sequence
    return run is None or sequences == (run.first_sequence, run.last_sequence)


class SortedRun:
    """A sorted run opened for reading."""

    __slots__ = ("_last_keys", "info", "tables")

    def __init__(self, info: RunInfo, tables: list[SSTable]) -> None:
        self.info = info
        self.tables = tables
        self._last_keys = [part.last_key for part in info.parts]

    def get(self, key: bytes, key_hash: int) -> tuple[bool, bytes | None]:
        """Return whether the run has a record of the key, and its value, or None if it is deleted.

        Raises:
            CorruptionError: The block that should contain it can't be read.
        """
        position = self._position(key)
        if position == len(self.tables) or key < self.tables[position].info.first_key:
            return False, None
        return self.tables[position].get(key, key_hash)

    def records(self, start: bytes = b"") -> Iterator[Record]:
        """Yield all records from the key `start` on, in key order; raises as `get` does."""
        for table in self.tables[self._position(start) :]:
            yield from table.records(start)

    def _position(self, key: bytes) -> int:
        """Return the position of the first part whose last key is not less than `key`."""
        return bisect_left(self._last_keys, key)
