"""Reading the write-ahead log: which groups it holds, which were torn off, and which are lost."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from heronreel.store.errors import Lost
from heronreel.store.log_format import (
    FRAME_ALIGNMENT,
    HEADER_BYTES,
    Frame,
    FrameKind,
    SegmentHeader,
    decode_frame,
    scan_frames,
    segment_name,
)
from heronreel.store.operations import Operation, decode_operations


class LogPosition(NamedTuple):
    """A byte of the log: everything before it is meant."""

    segment: int
    offset: int


@dataclass(frozen=True, slots=True)
class DroppedTail:
    """The end of a log that was never acknowledged and is not in the store.

    The field names are keys of `verify --json` and `repair --json`.
    """

    file: str
    offset: int
    length: int
    why: str

    def __str__(self) -> str:
        return f"{self.file}: {self.length} bytes from {self.offset} on dropped: {self.why}"


@dataclass(slots=True)
class LogState:
    """What the segments of a log hold."""

    next_sequence: int
    groups: int = 0
    bytes: int = 0
    last_number: int = 0
    dropped: list[DroppedTail] = field(default_factory=list)
    lost: list[Lost] = field(default_factory=list)


class _Segment(NamedTuple):
    """A segment that is being read."""

    number: int
    data: bytes
    header: SegmentHeader
    end: int  # bytes of it that count, as far as that is known
    end_known: bool  # from the next segment's header, or from a live writer
    has_successor: bool


class _Tail(NamedTuple):
    """What is behind a frame that can't be read."""

    frames: list[Frame]
    durable: int  # the most that any of the frames says was durable


class LogReader:
    """Reads the segments of a log in order and passes on each complete group.

    One whole segment is in memory at a time.
    """

    def __init__(
        self,
        read: Callable[[int, int | None], bytes],
        store: bytes,
        first_number: int,
        first_sequence: int,
        apply: Callable[[list[Operation]], None],
        durable: LogPosition | None = None,
    ) -> None:
        """Prepare to read a log.

        Args:
            read: Returns the bytes of a segment by its number: all, or as many as requested.
            store: The store's id.
            first_number: The first segment that counts, by the manifest.
            first_sequence: The sequence of the first group that is not in a sorted run.
            apply: Called with the operations of each complete group.
            durable: How far a live writer has published its log as durable; nothing behind it is read.
        """
        self._read = read
        self._store = store
        self._first_number = first_number
        self._apply = apply
        self._durable = durable
        self._fragments: list[bytes] = []  # of a group that has begun
        self._group_start = LogPosition(0, 0)
        self.state = LogState(first_sequence)

    def run(self, numbers: list[int]) -> LogState:
        """Read the segments `numbers`, those in the directory from the first one on."""
        if self._durable:
            if self._durable.segment < self._first_number:
                return self.state  # published before its segments went into a run
            numbers = [number for number in numbers if number <= self._durable.segment]
        if not numbers or numbers[0] != self._first_number:
            self._lose(self._first_number, 0, 0, "the file is missing", "all from its begin on")
        headers = self._read_headers(numbers)
        for index, (number, header) in enumerate(headers):
            if index and number != headers[index - 1][0] + 1:
                self._lose(number - 1, 0, 0, "the file is missing", self._groups_from_here())
            successor = headers[index + 1] if index + 1 < len(headers) else None
            self._read_segment(number, header, successor)
        if self._fragments:
            self._drop_group("a group begun and not ended")
        return self.state

    def _read_headers(self, numbers: list[int]) -> list[tuple[int, SegmentHeader | None]]:
        starts = {number: self._read(number, HEADER_BYTES + 1) for number in numbers}
        headers = [
            (number, SegmentHeader.decode(data, segment_name(number))) for number, data in starts.items()
        ]
        # A segment's header is durable before its first frame is written, and before a manifest names it.
        # So a last segment without frames whose header is torn, or bytes that another file left there, is a
        # creation cut off. One that recovery created counts from the manifest on that begins the log with
        # it, and not before.
        while headers and headers[-1][0] != self._first_number:
            number, header = headers[-1]
            valid = header is not None and header.number == number and header.store == self._store
            length = len(starts[number])
            if length > HEADER_BYTES or (valid and header and not header.recovery):
                break
            headers.pop()
            cut_opening = header is not None and header.recovery
            why = "an opening was cut off" if cut_opening else "its creation was cut off"
            self.state.dropped.append(DroppedTail(segment_name(number), 0, length, why))
        return headers

    def _read_segment(
        self, number: int, header: SegmentHeader | None, successor: tuple[int, SegmentHeader | None] | None
    ) -> None:
        self.state.last_number = number
        data = self._read(number, None)
        self.state.bytes += len(data)
        if header is None:
            self._lose(number, 0, len(data), "its header is damaged", self._groups_from_here())
            self._fragments.clear()
            return
        if header.store != self._store or header.number != number:
            self._lose(number, 0, len(data), "it is of another store or segment", "all in it")
            return
        declared = self._declared_end(number, len(data), successor)
        if declared is not None and declared > len(data):
            missing = declared - len(data)
            self._lose(number, len(data), missing, "the file is cut short", "the groups at its end")
        end = len(data) if declared is None else min(declared, len(data))
        self._read_frames(_Segment(number, data, header, end, declared is not None, successor is not None))

    def _declared_end(
        self, number: int, size: int, successor: tuple[int, SegmentHeader | None] | None
    ) -> int | None:
        """How many bytes of the segment count, where its successor or a live writer says so."""
        if self._durable and number == self._durable.segment:
            return min(self._durable.offset, size)
        if successor is None:
            return None
        next_number, next_header = successor
        return next_header.previous_end if next_header and next_number == number + 1 else None

    def _read_frames(self, segment: _Segment) -> None:
        offset = HEADER_BYTES
        while offset < segment.end:
            frame = decode_frame(segment.data, offset, segment.end, segment.header.salt)
            if frame is not None:
                self._take_frame(segment.number, frame)
                offset = frame.end
                continue
            tail = _scan_tail(segment, offset)
            if not segment.end_known and not segment.has_successor and tail.durable <= offset:
                self._drop_torn_end(segment, offset, tail)
                return
            offset = self._skip_damage(segment, offset, tail)

    def _drop_torn_end(self, segment: _Segment, offset: int, tail: _Tail) -> None:
        kept = f", {len(tail.frames)} whole frames among them" if tail.frames else ""
        if segment.data.count(0, offset) < len(segment.data) - offset:  # else it has grown and no more
            why = f"a torn end, never acknowledged{kept}"
            length = segment.end - offset
            self.state.dropped.append(DroppedTail(segment_name(segment.number), offset, length, why))

    def _skip_damage(self, segment: _Segment, offset: int, tail: _Tail) -> int:
        """Note the loss of acknowledged frames at `offset`; returns where reading goes on."""
        state = self.state
        all_acknowledged = segment.has_successor or segment.end_known
        acknowledged = (frame for frame in tail.frames if all_acknowledged or frame.offset < tail.durable)
        following = next(acknowledged, None)
        first = state.next_sequence
        if following is None:
            self._lose(
                segment.number, offset, segment.end - offset,
                "the checksum does not hold", self._groups_from_here(),
            )  # fmt: skip
            self._fragments.clear()
            return segment.end
        groups = f"groups {first} to {max(first, following.sequence - 1)}"
        length = following.offset - offset
        self._lose(segment.number, offset, length, "the checksum does not hold", groups)
        self._fragments.clear()
        if following.kind in (FrameKind.MIDDLE, FrameKind.LAST):
            state.next_sequence = following.sequence + (following.kind is FrameKind.LAST)
            return following.end
        state.next_sequence = following.sequence
        return following.offset

    def _take_frame(self, number: int, frame: Frame) -> None:
        if frame.kind is FrameKind.MARK or not self._check_sequence(number, frame):
            return
        if frame.kind in (FrameKind.FULL, FrameKind.FIRST):
            if self._fragments:  # its write failed half-way, and what came next took its number
                self._drop_group("a group whose write failed half-way")
            self._fragments = [frame.payload]
            self._group_start = LogPosition(number, frame.offset)
        elif not self._fragments:
            self._take_orphan(number, frame)
            return
        else:
            self._fragments.append(frame.payload)
        if frame.kind in (FrameKind.FULL, FrameKind.LAST):
            self._end_group()

    def _check_sequence(self, number: int, frame: Frame) -> bool:
        """Whether the frame is not of an older group; notes the groups that are missing before it."""
        state = self.state
        if frame.sequence < state.next_sequence:
            length = frame.end - frame.offset
            self._lose(number, frame.offset, length, "out of order", "an older group")
            return False
        if frame.sequence > state.next_sequence:
            missing = f"groups {state.next_sequence} to {frame.sequence - 1}"
            self._lose(number, frame.offset, 0, "groups are missing before it", missing)
            state.next_sequence = frame.sequence
        return True

    def _take_orphan(self, number: int, frame: Frame) -> None:
        """A fragment whose group's first fragment is missing."""
        if not self.state.lost:
            length = frame.end - frame.offset
            self._lose(number, frame.offset, length, "its group has no begin", f"group {frame.sequence}")
        if frame.kind is FrameKind.LAST:
            self.state.next_sequence += 1

    def _end_group(self) -> None:
        operations = decode_operations(b"".join(self._fragments))
        self._fragments = []
        self.state.next_sequence += 1
        self.state.groups += 1
        self._apply(operations)

    def _drop_group(self, why: str) -> None:
        segment, offset = self._group_start
        self.state.dropped.append(DroppedTail(segment_name(segment), offset, 0, why))
        self._fragments = []

    def _groups_from_here(self) -> str:
        return f"groups from {self.state.next_sequence} on"

    def _lose(self, number: int, offset: int, length: int, why: str, records: str) -> None:
        self.state.lost.append(Lost(segment_name(number), offset, length, records, why))


def _scan_tail(segment: _Segment, offset: int) -> _Tail:
    frames = list(scan_frames(segment.data, offset + FRAME_ALIGNMENT, segment.end, segment.header.salt))
    return _Tail(frames, max((frame.durable for frame in frames), default=0))
