"""The log's bytes: segments, frames and the operations in them.  No I/O; `docs/store-format.md` has the
layout.

A segment is a header and log_format.  One frame carries one group of operations, or a fragment of a group too
large for a frame; fragments of one group may lie in several segments.  Two numbers make damage told from a
torn end:

* a segment's header says up to which byte the segment before it counts;
* a frame says up to which byte its own segment was durable when the frame was written.

So a frame that can't be read was acknowledged if, and only if, something behind it says that it was durable.
"""

from __future__ import annotations

import enum
import struct
from collections.abc import Callable, Iterator
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
from heronreel.store.errors import Lost

MAGIC = b"HRNLOG\r\n"
_HEADER = struct.Struct("<8sII16sQQQQ")
HEADER_BYTES = _HEADER.size + CHECKSUM_BYTES
_FRAME = struct.Struct("<QIB3xQQ")
FRAME_BYTES = _FRAME.size
MAX_FRAGMENT_BYTES = 1 << 20
_OPERATION = struct.Struct("<HI")
OPERATION_BYTES = _OPERATION.size
_DELETED = 0xFFFFFFFF
_ALIGN = 8

Operation = tuple[bytes, bytes | None]
"""A key and its new value, or None where it is deleted."""


class FrameKind(enum.IntEnum):
    """What a frame is of its group."""

    WHOLE = 1
    FIRST = 2
    MIDDLE = 3
    LAST = 4
    MARK = 5  # no group: says that all before it is durable, as sync() and close() leave it


@dataclass(frozen=True, slots=True)
class SegmentHeader:
    store: bytes  # 16 bytes, drawn when the store was made
    number: int
    first_sequence: int  # of the first group that begins in this segment
    former_end: int  # bytes of the segment before this one that count; the rest of it was never acknowledged
    salt: int  # drawn anew for each segment, so that no frame of another one passes for one of its own
    fresh: bool = False  # made by an opening: nothing to the log, unless a manifest begins the log with it

    def encode(self) -> bytes:
        fields = (self.fresh, self.store, self.number, self.first_sequence, self.former_end, self.salt)
        return append_checksum(_HEADER.pack(MAGIC, FORMAT_VERSION, *fields))

    @classmethod
    def decode(cls, data: bytes, file: str) -> SegmentHeader | None:
        """The header at the begin of `data`, None where it is no whole one; UnknownFormatError for a newer
        one.
        """
        body = verified_body(data, _HEADER.size)
        if body is None or not body.startswith(MAGIC):
            return None
        _, version, fresh, store, number, first, former_end, salt = _HEADER.unpack(body)
        check_format_version(version, file)
        return cls(store, number, first, former_end, salt, bool(fresh))


@dataclass(frozen=True, slots=True)
class Frame:
    offset: int
    end: int  # of the frame with its padding
    kind: FrameKind
    sequence: int
    durable: int
    payload: bytes


def encode_operation(key: bytes, value: bytes | None) -> bytes:
    """As it lies in a group of the log and in a block of a table."""
    if value is None:
        return _OPERATION.pack(len(key), _DELETED) + key
    return _OPERATION.pack(len(key), len(value)) + key + value


def encode_operations(operations: list[Operation]) -> bytes:
    return b"".join([encode_operation(key, value) for key, value in operations])


def decode_operations(data: bytes, at: int = 0) -> list[Operation]:
    """Those in `data` from `at` on.

    ValueError where it is no whole number of them; a frame or block whose checksum holds never is such.
    """
    operations: list[Operation] = []
    end = len(data)
    while at < end:
        try:
            key_length, value_length = _OPERATION.unpack_from(data, at)
        except struct.error:
            raise ValueError(f"an operation cut short at byte {at}") from None
        at += OPERATION_BYTES
        key = data[at : at + key_length]
        at += key_length
        if value_length == _DELETED:
            operations.append((key, None))
        else:
            operations.append((key, data[at : at + value_length]))
            at += value_length
    if at != end:
        raise ValueError(f"an operation reaches {at - end} bytes past its group")
    return operations


def encode_frame(
    salt: int, kind: FrameKind, sequence: int, durable: int, payload: bytes | memoryview
) -> bytes:
    rest = _FRAME.pack(0, len(payload), kind, sequence, durable)[8:] + payload
    padding = b"\0" * (-len(payload) % _ALIGN)
    return checksum_bytes(rest, salt) + rest + padding


def decode_frame(data: bytes, offset: int, end: int, salt: int) -> Frame | None:
    """The frame at `offset` of a segment's `data`, None unless all of it is there and its checksum holds."""
    if offset + FRAME_BYTES > end:
        return None
    checksum, length, kind, sequence, durable = _FRAME.unpack_from(data, offset)
    last = offset + FRAME_BYTES + length
    if length > MAX_FRAGMENT_BYTES or last > end or not 1 <= kind <= 5:
        return None
    if xxhash.xxh3_64_intdigest(memoryview(data)[offset + 8 : last], salt) != checksum:
        return None
    return Frame(
        offset, last + -length % _ALIGN, FrameKind(kind), sequence, durable, data[last - length : last]
    )


def scan_frames(data: bytes, offset: int, end: int, salt: int) -> Iterator[Frame]:
    """Every valid frame from `offset` on, wherever it begins: for what lies behind a frame that can't be
    read.
    """
    at = -(-(offset - HEADER_BYTES) // _ALIGN) * _ALIGN + HEADER_BYTES
    while at + FRAME_BYTES <= end:
        # the cheap look comes first: in a segment full of other bytes hardly any place has such a head
        if 1 <= data[at + 12] <= 5 and (frame := decode_frame(data, at, end, salt)):
            yield frame
            at = frame.end
        else:
            at += _ALIGN


@dataclass(frozen=True, slots=True)
class DroppedTail:
    """The end of a log that was never acknowledged and is not in the store."""

    file: str
    offset: int
    length: int
    why: str

    def __str__(self) -> str:
        return f"{self.file}: {self.length} bytes from {self.offset} on dropped: {self.why}"


@dataclass(slots=True)
class LogState:
    """What a folder's segments hold."""

    next_sequence: int
    groups: int = 0
    bytes: int = 0
    last_number: int = 0
    dropped: list[DroppedTail] = field(default_factory=list)
    lost: list[Lost] = field(default_factory=list)


def segment_name(number: int) -> str:
    return f"{number:08}.log"


def file_numbers(names: list[str], kind: str) -> list[int]:
    """The numbers of the files of a kind ("log", "table", "index"), in their order."""
    split = [name.partition(".") for name in names]
    return sorted(int(stem) for stem, _, ending in split if ending == kind and stem.isdigit())


class LogReader:
    """Reads the segments of a log in their order and hands on each whole group.

    `read` gives a segment's bytes by its number, all or as many as wanted; one whole segment is held at a
    time.  `durable` is the segment and the byte up to which a live writer has told that its log is durable:
    nothing behind it is looked at.
    """

    def __init__(
        self,
        read: Callable[[int, int | None], bytes],
        store: bytes,
        first_number: int,
        first_sequence: int,
        apply: Callable[[int, list[Operation]], None],
        durable: tuple[int, int] | None = None,
    ) -> None:
        self._read = read
        self._store = store
        self._first = first_number
        self._apply = apply
        self._durable = durable
        self._parts: list[bytes] = []  # fragments of a group that has begun
        self._begun = 0  # the segment it began in
        self._begun_at = 0
        self.state = LogState(first_sequence)

    def run(self, numbers: list[int]) -> LogState:
        """Read the segments `numbers`, those that the folder has from the first one on."""
        state = self.state
        if self._durable:
            if self._durable[0] < self._first:
                return state  # told before its segments went into a run
            numbers = [number for number in numbers if number <= self._durable[0]]
        if not numbers or numbers[0] != self._first:
            self._lose(self._first, 0, 0, "the file is missing", "all from its begin on")
        headers = self._headers(numbers)
        for place, (number, header) in enumerate(headers):
            following = headers[place + 1][1] if place + 1 < len(headers) else None
            if place and number != headers[place - 1][0] + 1:
                self._lose(number - 1, 0, 0, "the file is missing", f"groups from {state.next_sequence} on")
            state.last_number = number
            data = self._read(number, None)
            state.bytes += len(data)
            if header is None:
                words = f"groups from {state.next_sequence} on"
                self._lose(number, 0, len(data), "its header is damaged", words)
                self._parts.clear()
                continue
            if header.store != self._store or header.number != number:
                self._lose(number, 0, len(data), "it is of another store or segment", "all in it")
                continue
            adjacent = bool(following) and headers[place + 1][0] == number + 1
            end = following.former_end if following and adjacent else None
            self._segment(number, data, header, end, sealed=place + 1 < len(headers))
        if self._parts:
            why = "a group begun and not ended"
            state.dropped.append(DroppedTail(segment_name(self._begun), self._begun_at, 0, why))
            self._parts.clear()
        return state

    def _headers(self, numbers: list[int]) -> list[tuple[int, SegmentHeader | None]]:
        begins = {number: self._read(number, HEADER_BYTES + 1) for number in numbers}
        headers = [
            (number, SegmentHeader.decode(data, segment_name(number))) for number, data in begins.items()
        ]
        # A segment's header is durable before its first frame is written, and before a manifest names it.
        # So a last segment without frames whose header is torn, or bytes that another file left there, is a
        # creation cut off. One that an opening made counts from the manifest on that begins the log with
        # it, and not before.
        while headers and headers[-1][0] != self._first:
            number, header = headers[-1]
            whole = header is not None and header.number == number and header.store == self._store
            length = len(begins[number])
            if length > HEADER_BYTES or (whole and header and not header.fresh):
                break
            headers.pop()
            why = "an opening was cut off" if header and header.fresh else "its creation was cut off"
            self.state.dropped.append(DroppedTail(segment_name(number), 0, length, why))
        return headers

    def _segment(
        self, number: int, data: bytes, header: SegmentHeader, declared: int | None, *, sealed: bool
    ) -> None:
        state, end = self.state, len(data)
        if self._durable and number == self._durable[0]:
            declared = min(self._durable[1], end)
        if declared is not None:
            if declared > end:
                self._lose(number, end, declared - end, "the file is cut short", "the groups at its end")
            end = min(declared, end)
        at = HEADER_BYTES
        while at < end:
            frame = decode_frame(data, at, end, header.salt)
            if frame is None:
                behind = list(scan_frames(data, at + _ALIGN, end, header.salt))
                known = max((found.durable for found in behind), default=0)
                if declared is None and not sealed and known <= at:
                    kept = f", {len(behind)} whole frames among them" if behind else ""
                    if data.count(0, at) < len(data) - at:
                        state.dropped.append(
                            DroppedTail(
                                segment_name(number), at, end - at, f"a torn end, never acknowledged{kept}"
                            )
                        )
                    break
                # only what is behind an acknowledged frame and acknowledged itself is taken up again
                behind = [found for found in behind if sealed or declared is not None or found.offset < known]
                until = behind[0].offset if behind else end
                first = state.next_sequence
                after = behind[0].sequence if behind else None
                words = (
                    f"groups from {first} on"
                    if after is None
                    else f"groups {first} to {max(first, after - 1)}"
                )
                self._lose(number, at, until - at, "the checksum does not hold", words)
                self._parts.clear()
                at = until
                if behind and behind[0].kind in (FrameKind.MIDDLE, FrameKind.LAST):
                    state.next_sequence = behind[0].sequence + (behind[0].kind is FrameKind.LAST)
                    at = behind[0].end
                elif behind:
                    state.next_sequence = behind[0].sequence
                continue
            self._frame(number, frame)
            at = frame.end

    def _frame(self, number: int, frame: Frame) -> None:
        state = self.state
        if frame.kind is FrameKind.MARK:
            return
        if frame.sequence != state.next_sequence:
            if frame.sequence < state.next_sequence:
                self._lose(number, frame.offset, frame.end - frame.offset, "out of order", "an older group")
                return
            self._lose(
                number, frame.offset, 0, "groups are missing before it",
                f"groups {state.next_sequence} to {frame.sequence - 1}",
            )  # fmt: skip
            state.next_sequence = frame.sequence
        if frame.kind in (FrameKind.WHOLE, FrameKind.FIRST):
            if self._parts:  # its write failed half-way, and what came next took its number
                state.dropped.append(
                    DroppedTail(
                        segment_name(self._begun), self._begun_at, 0, "a group whose write failed half-way"
                    )
                )
            self._parts = [frame.payload]
            self._begun, self._begun_at = number, frame.offset
        elif not self._parts:
            if not self.state.lost:
                words = f"group {frame.sequence}"
                self._lose(number, frame.offset, frame.end - frame.offset, "its group has no begin", words)
            if frame.kind is FrameKind.LAST:
                state.next_sequence += 1
            return
        else:
            self._parts.append(frame.payload)
        if frame.kind in (FrameKind.WHOLE, FrameKind.LAST):
            operations = decode_operations(b"".join(self._parts))
            self._parts = []
            state.next_sequence += 1
            state.groups += 1
            self._apply(frame.sequence, operations)

    def _lose(self, number: int, offset: int, length: int, why: str, records: str) -> None:
        self.state.lost.append(Lost(segment_name(number), offset, length, records, why))
