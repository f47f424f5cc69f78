"""The format of the write-ahead log: segment headers and frames.  This module does no I/O.

`docs/store-format.md` specifies the layout.

A segment consists of a header and frames.  A frame holds one group of operations, or a fragment of a group
that is too large for one frame; the fragments of a group may be in several segments.  Two numbers distinguish
damage from a torn write:

* a segment's header has the end offset of the valid part of the previous segment;
* a frame has the offset up to which its own segment was durable when the frame was written.

So an unreadable frame was acknowledged if and only if a later header or frame declares it durable.
"""

from __future__ import annotations

import enum
import struct
from collections.abc import Iterator
from dataclasses import dataclass

import xxhash

from heronreel.store.checksum import (
    CHECKSUM_BYTES,
    FORMAT_VERSION,
    append_checksum,
    checksum_bytes,
    decode_header,
)

SEGMENT_SUFFIX = "log"
MAGIC = b"HRNLOG\r\n"
_HEADER = struct.Struct("<8sII16sQQQQ")
HEADER_BYTES = _HEADER.size + CHECKSUM_BYTES
_FRAME = struct.Struct("<QIB3xQQ")
FRAME_HEADER_BYTES = _FRAME.size
_KIND_OFFSET = 12  # Offset of the frame kind in a frame's header.
MAX_FRAGMENT_BYTES = 1 << 20
FRAME_ALIGNMENT = 8


class FrameKind(enum.IntEnum):
    """The part of a group that a frame holds."""

    FULL = 1
    FIRST = 2
    MIDDLE = 3
    LAST = 4
    MARK = 5  # Holds no group. Written by sync() and close() to declare everything before it durable.


@dataclass(frozen=True, slots=True)
class SegmentHeader:
    """The header of a log segment."""

    store: bytes  # The store's id: 16 random bytes, drawn when the store was created.
    number: int
    first_sequence: int  # The sequence of the first group that begins in this segment.
    # Size of the valid part of the previous segment in bytes; the rest was never acknowledged.
    previous_end: int
    # Random for each segment, so that a stale frame of another segment fails the checksum in this one.
    salt: int
    # Whether recovery created the segment.  It is then ignored unless a manifest names it as the log's first.
    recovery: bool = False

    def encode(self) -> bytes:
        """Encode the header with its checksum."""
        fields = (self.recovery, self.store, self.number, self.first_sequence, self.previous_end, self.salt)
        return append_checksum(_HEADER.pack(MAGIC, FORMAT_VERSION, *fields))

    @classmethod
    def decode(cls, data: bytes, file: str) -> SegmentHeader | None:
        """Decode the header at the start of `data`; return None if it is not valid.

        Raises:
            UnknownFormatError: The header has a newer format version.
        """
        fields = decode_header(data, _HEADER, MAGIC, file)
        if fields is None:
            return None
        recovery, store, number, first_sequence, previous_end, salt = fields
        return cls(store, number, first_sequence, previous_end, salt, bool(recovery))


@dataclass(frozen=True, slots=True)
class Frame:
    """A frame as it was read from a segment."""

    offset: int
    end: int  # The end offset, with the frame's padding.
    kind: FrameKind
    sequence: int
    durable: int  # The bytes of the segment that were durable when the frame was written.
    payload: bytes


def segment_name(number: int) -> str:
    """Return the file name of a log segment."""
    return f"{number:08}.{SEGMENT_SUFFIX}"


def file_numbers(names: list[str], suffix: str) -> list[int]:
    """Return the numbers of the files with a suffix ("log", "table", "index"), in ascending order."""
    split = [name.partition(".") for name in names]
    return sorted(int(stem) for stem, _, ending in split if ending == suffix and stem.isdigit())


def encode_frame(
    salt: int, kind: FrameKind, sequence: int, durable: int, payload: bytes | memoryview
) -> bytes:
    """Encode a frame with its checksum and padding.

    Args:
        salt: The salt of the segment.
        kind: The part of its group that the payload is.
        sequence: The sequence of the group; for a mark, the sequence of the next group.
        durable: The bytes of the segment that an fsync has made durable.
        payload: At most `MAX_FRAGMENT_BYTES` bytes.
    """
    rest = _FRAME.pack(0, len(payload), kind, sequence, durable)[CHECKSUM_BYTES:] + payload
    padding = b"\0" * (-len(payload) % FRAME_ALIGNMENT)
    return checksum_bytes(rest, salt) + rest + padding


def decode_frame(data: bytes, offset: int, end: int, salt: int) -> Frame | None:
    """Decode the frame at `offset` of a segment; return None if it is incomplete or its checksum is wrong."""
    if offset + FRAME_HEADER_BYTES > end:
        return None
    checksum, length, kind, sequence, durable = _FRAME.unpack_from(data, offset)
    payload_end = offset + FRAME_HEADER_BYTES + length
    if length > MAX_FRAGMENT_BYTES or payload_end > end or not FrameKind.FULL <= kind <= FrameKind.MARK:
        return None
    covered = memoryview(data)[offset + CHECKSUM_BYTES : payload_end]
    if xxhash.xxh3_64_intdigest(covered, salt) != checksum:
        return None
    frame_end = payload_end + -length % FRAME_ALIGNMENT
    payload = data[payload_end - length : payload_end]
    return Frame(offset, frame_end, FrameKind(kind), sequence, durable, payload)


def scan_frames(data: bytes, offset: int, end: int, salt: int) -> Iterator[Frame]:
    """Yield the valid frames from `offset` on, to find those that follow an unreadable frame."""
    position = -(-(offset - HEADER_BYTES) // FRAME_ALIGNMENT) * FRAME_ALIGNMENT + HEADER_BYTES
    while position + FRAME_HEADER_BYTES <= end:
        # The cheap check of the kind comes first: in a range of arbitrary bytes it rejects most offsets.
        plausible = FrameKind.FULL <= data[position + _KIND_OFFSET] <= FrameKind.MARK
        if plausible and (frame := decode_frame(data, position, end, salt)):
            yield frame
            position = frame.end
        else:
            position += FRAME_ALIGNMENT
