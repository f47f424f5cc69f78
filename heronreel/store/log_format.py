"""The bytes of the write-ahead log: segment headers and frames.  No I/O.

`docs/store-format.md` has the layout.

A segment is a header and frames.  One frame carries one group of operations, or a fragment of a group too
large for a frame; fragments of one group may be in several segments.  Two numbers tell damage from a torn
write:

* a segment's header says up to which byte the segment before it counts;
* a frame says up to which byte its own segment was durable when the frame was written.

So a frame that can't be read was acknowledged if, and only if, something behind it says that it was durable.
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
_KIND_OFFSET = 12  # of the kind in a frame's header
MAX_FRAGMENT_BYTES = 1 << 20
FRAME_ALIGNMENT = 8


class FrameKind(enum.IntEnum):
    """Which part of its group a frame carries."""

    FULL = 1
    FIRST = 2
    MIDDLE = 3
    LAST = 4
    MARK = 5  # no group: says that all before it is durable, as sync() and close() leave it


@dataclass(frozen=True, slots=True)
class SegmentHeader:
    """The header of a log segment."""

    store: bytes  # 16 bytes, drawn when the store was created
    number: int
    first_sequence: int  # of the first group that begins in this segment
    previous_end: int  # bytes of the previous segment that count; the rest was never acknowledged
    salt: int  # drawn anew for each segment, so that no frame of another segment passes for one of its own
    recovery: bool = False  # created by recovery: ignored, unless a manifest begins the log with it

    def encode(self) -> bytes:
        """The header with its checksum."""
        fields = (self.recovery, self.store, self.number, self.first_sequence, self.previous_end, self.salt)
        return append_checksum(_HEADER.pack(MAGIC, FORMAT_VERSION, *fields))

    @classmethod
    def decode(cls, data: bytes, file: str) -> SegmentHeader | None:
        """The header at the start of `data`, or None where there is no valid one.

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
    end: int  # of the frame with its padding
    kind: FrameKind
    sequence: int
    durable: int
    payload: bytes


def segment_name(number: int) -> str:
    """The file name of a log segment."""
    return f"{number:08}.{SEGMENT_SUFFIX}"


def file_numbers(names: list[str], suffix: str) -> list[int]:
    """The numbers of the files with a suffix ("log", "table", "index"), in ascending order."""
    split = [name.partition(".") for name in names]
    return sorted(int(stem) for stem, _, ending in split if ending == suffix and stem.isdigit())


def encode_frame(
    salt: int, kind: FrameKind, sequence: int, durable: int, payload: bytes | memoryview
) -> bytes:
    """A frame with its checksum and padding.

    Args:
        salt: Of the segment.
        kind: Which part of its group the payload is.
        sequence: Of the group; of a mark, the next group's.
        durable: Bytes of the segment that an fsync has covered.
        payload: At most `MAX_FRAGMENT_BYTES`.
    """
    rest = _FRAME.pack(0, len(payload), kind, sequence, durable)[CHECKSUM_BYTES:] + payload
    padding = b"\0" * (-len(payload) % FRAME_ALIGNMENT)
    return checksum_bytes(rest, salt) + rest + padding


def decode_frame(data: bytes, offset: int, end: int, salt: int) -> Frame | None:
    """The frame at `offset` of a segment's `data`, or None unless it is complete and its checksum matches."""
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
    """Every valid frame from `offset` on, wherever it begins: to find what follows an unreadable frame."""
    at = -(-(offset - HEADER_BYTES) // FRAME_ALIGNMENT) * FRAME_ALIGNMENT + HEADER_BYTES
    while at + FRAME_HEADER_BYTES <= end:
        # the cheap check comes first: in a segment full of other bytes hardly any place has such a kind
        plausible = FrameKind.FULL <= data[at + _KIND_OFFSET] <= FrameKind.MARK
        if plausible and (frame := decode_frame(data, at, end, salt)):
            yield frame
            at = frame.end
        else:
            at += FRAME_ALIGNMENT
