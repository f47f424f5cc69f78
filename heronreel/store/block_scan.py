"""Reads all intact blocks of an SSTable and skips damaged ones."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import suppress
from typing import NamedTuple

from heronreel.store.disk import Disk, DiskFile, read_all
from heronreel.store.errors import CorruptionError, Lost
from heronreel.store.sstable import SSTable
from heronreel.store.sstable_format import (
    BLOCK_HEADER_BYTES,
    HEADER_BYTES,
    Footer,
    Index,
    TableHeader,
    TableInfo,
    block_length,
    find_block,
    index_name,
)


class ScannedBlock(NamedTuple):
    """A block at an offset of its table, or the loss that an unreadable block stands for."""

    offset: int
    data: bytes
    lost: Lost | None


def scan_blocks(
    disk: Disk, info: TableInfo, header: TableHeader, end: int, index: Index | None
) -> Iterator[ScannedBlock]:
    """Yield every block of a table up to the offset `end`, and a loss for each unreadable range.

    The index gives the offset of the next block.  Without an index, a damaged length field hides the start of
    the next block, so every offset is tried; this is safe because a block's checksum depends on its offset.
    """
    file = disk.open(info.file)
    table = SSTable(disk, file, info, header, Footer(0, True, 0, 0, end), index)
    offset = HEADER_BYTES
    while offset < end:
        length = block_length(file.read(offset, BLOCK_HEADER_BYTES))
        block = _readable_block(table, offset, length) if offset + length <= end else None
        if block is not None:
            yield ScannedBlock(offset, block, None)
            offset += length
            continue
        next_offset = _next_offset(file, offset, end, header.salt, index)
        yield ScannedBlock(offset, b"", table.block_loss(offset, next_offset - offset))
        offset = next_offset


def read_index(disk: Disk, number: int, salt: int) -> Index | None:
    """Return the index of a table, or None if it is missing, torn or belongs to another table."""
    with suppress(OSError):
        return Index.decode(read_all(disk, index_name(number)), number, salt)
    return None


def _readable_block(table: SSTable, offset: int, length: int) -> bytes | None:
    try:
        return table.block(offset, length)
    except CorruptionError:
        return None


def _next_offset(file: DiskFile, offset: int, end: int, salt: int, index: Index | None) -> int:
    """Return the offset of the first block after an unreadable one, or `end` if there is none."""
    if index is not None:
        return next((start for start in index.offsets if start > offset), end)
    data = file.read(offset, end - offset)
    distance = find_block(data, offset, salt)
    return offset + (len(data) if distance is None else distance)
