"""Writes one SSTable, record by record."""

from __future__ import annotations

from collections.abc import Iterator

import xxhash

from heronreel.store.bloom_filter import BloomFilter
from heronreel.store.disk import Disk, write_all
from heronreel.store.sstable_format import (
    Footer,
    Index,
    Record,
    TableHeader,
    TableInfo,
    encode_block,
    index_name,
    table_name,
)

_WRITE_BYTES = 1 << 16  # Bytes that are buffered before a call to the disk.
_FILTER_STEP_KEYS = 4096  # Keys added to a Bloom filter in one step, which takes a few milliseconds.
_RECORD_OVERHEAD_BYTES = 10  # The header and the offset of a record in a block.


class SSTableWriter:
    """Writes one part of a sorted run in key order; `finish` makes it durable."""

    def __init__(self, disk: Disk, header: TableHeader, block_bytes: int) -> None:
        """Create the file and write its header.

        Raises:
            OSError: The disk fails.
        """
        self.header = header
        self.written = 0  # Bytes, including those still in the buffer.
        self._disk = disk
        self._block_bytes = block_bytes
        self._entries = 0
        self._deletions = 0
        self._buffer: list[bytes] = []
        self._buffered_bytes = 0
        self._block: list[Record] = []
        self._block_size = 0
        self._offsets: list[int] = []
        self._first_keys: list[bytes] = []
        self._last_key = b""
        self._hashes: list[int] = []
        self._bloom_filter: BloomFilter | None = None
        self._file = disk.create(table_name(header.number))
        self._write(header.encode())

    def add(self, key: bytes, value: bytes | None) -> None:
        """Add a record whose key is greater than the keys of all earlier records."""
        self._block.append((key, value))
        self._block_size += len(key) + _RECORD_OVERHEAD_BYTES + (len(value) if value is not None else 0)
        self._hashes.append(xxhash.xxh3_64_intdigest(key))
        self._entries += 1
        self._deletions += value is None
        if self._block_size >= self._block_bytes:
            self._end_block()

    def sync(self) -> None:
        """Make the records added so far durable, so that the fsync in `finish` is short."""
        self._flush_buffer()
        self._file.sync()

    def filter_steps(self) -> Iterator[int]:
        """Build the Bloom filter in steps of `_FILTER_STEP_KEYS` keys, once all records are added.

        Yields:
            1 after each step, since a step writes no bytes but must be counted.
        """
        if self._bloom_filter is None:
            self._bloom_filter = BloomFilter.empty(len(self._hashes))
            for begin in range(0, len(self._hashes), _FILTER_STEP_KEYS):
                self._bloom_filter.add(self._hashes[begin : begin + _FILTER_STEP_KEYS])
                yield 1

    def finish(self, last_part: bool) -> tuple[TableInfo, Index]:
        """Finish the table, make it durable, and write its index.

        Raises:
            OSError: The disk failed; no manifest may refer to the table.
        """
        self._end_block()
        footer = Footer(len(self._offsets), last_part, self._entries, self._deletions, self.written)
        self._write(footer.encode(self.header.salt))
        self._flush_buffer()
        self._file.sync()
        self._file.close()
        index = self._finish_index()
        info = TableInfo(
            self.header.number, self.written, self._first_keys[0], self._last_key,
            self._entries, self._deletions,
        )  # fmt: skip
        return info, index

    def abandon(self) -> None:
        """Close the file without finishing the table."""
        self._file.close()

    def _finish_index(self) -> Index:
        for _ in self.filter_steps():
            pass
        assert self._bloom_filter
        index = Index(self._offsets, self._first_keys, self._bloom_filter)
        # The index is not synced, because a lost or torn index is rebuilt from its table.
        file = self._disk.create(index_name(self.header.number))
        try:
            write_all(file, index.encode(self.header.number, self.header.salt))
        finally:
            file.close()
        return index

    def _end_block(self) -> None:
        if self._block:
            self._offsets.append(self.written)
            self._first_keys.append(self._block[0][0])
            self._last_key = self._block[-1][0]
            self._write(encode_block(self._block, self.header.salt, self.written))
            self._block = []
            self._block_size = 0

    def _write(self, data: bytes) -> None:
        self._buffer.append(data)
        self._buffered_bytes += len(data)
        self.written += len(data)
        if self._buffered_bytes >= _WRITE_BYTES:
            self._flush_buffer()

    def _flush_buffer(self) -> None:
        if self._buffer:
            write_all(self._file, b"".join(self._buffer))
            self._buffer = []
            self._buffered_bytes = 0
