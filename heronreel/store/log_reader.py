"""Reads the write-ahead log: its complete groups, its unacknowledged end, and lost groups."""

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
    """A byte offset in a segment of the log.  As a limit, it includes everything before that byte."""

    segment: int
    offset: int


@dataclass(frozen=True, slots=True)
class DroppedTail:
    """The end of a log that was never acknowledged and is not part of the store.

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
    """The result of reading the segments of a log."""

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
    end: int  # The end of its valid part, as far as known, else the size of the file.
    end_known: bool  # Whether the next segment's header or a live writer gave the end.
    has_successor: bool


class _Tail(NamedTuple):
    """The valid frames after an unreadable frame."""

    frames: list[Frame]
    durable: int  # The largest durable offset that any of the frames declares.


class LogReader:
    """Reads the segments of a log in order and applies each complete group.

    Only one segment is in memory at a time.
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
            read: Returns the bytes of a segment by its number: all of them, or up to the given limit.
            store: The store's id.
            first_number: The number of the log's first segment, according to the manifest.
            first_sequence: The sequence of the first group that is not in a sorted run.
            apply: Called with the operations of each complete group.
            durable: The position up to which a live writer's log is durable. Nothing after it is read.
        """
        self._read = read
        self._store = store
        self._first_number = first_number
        self._apply = apply
        self._durable = durable
        self._fragments: list[bytes] = []  # Payloads of the current, incomplete group.
        self._group_start = LogPosition(0, 0)
        self.state = LogState(first_sequence)

    def run(self, numbers: list[int]) -> LogState:
        """Read the segments `numbers`, which are those in the directory from the log's first segment on."""
        if self._durable:
            if self._durable.segment < self._first_number:
                return self.state  # The position was published before its segments were flushed to a run.
            numbers = [number for number in numbers if number <= self._durable.segment]
        if not numbers or numbers[0] != self._first_number:
            self._record_loss(self._first_number, 0, 0, "the file is missing", "all from its begin on")
        headers = self._read_headers(numbers)
        for index, (number, header) in enumerate(headers):
            if index and number != headers[index - 1][0] + 1:
                self._record_loss(number - 1, 0, 0, "the file is missing", self._groups_from_here())
            successor = headers[index + 1] if index + 1 < len(headers) else None
            self._read_segment(number, header, successor)
        if self._fragments:
            self._drop_group("a group begun and not ended")
        return self.state

    def _read_headers(self, numbers: list[int]) -> list[tuple[int, SegmentHeader | None]]:
        """Read the segments' headers, without segments at the end whose creation was interrupted."""
        starts = {number: self._read(number, HEADER_BYTES + 1) for number in numbers}
        headers = [
            (number, SegmentHeader.decode(data, segment_name(number))) for number, data in starts.items()
        ]
        # A segment's header is durable before its first frame is written, and before a manifest names it.
        # So if the last segment has no frames and its header is torn, or consists of stale bytes of another
        # file, its creation was interrupted. A segment created by recovery is only valid once a manifest
        # names it as the log's first.
        while headers and headers[-1][0] != self._first_number:
            number, header = headers[-1]
            valid = header is not None and header.number == number and header.store == self._store
            length = len(starts[number])
            if length > HEADER_BYTES or (valid and header and not header.recovery):
                break
            headers.pop()
            recovery_interrupted = header is not None and header.recovery
            why = "an opening was cut off" if recovery_interrupted else "its creation was cut off"
            self.state.dropped.append(DroppedTail(segment_name(number), 0, length, why))
        return headers

    def _read_segment(
        self, number: int, header: SegmentHeader | None, successor: tuple[int, SegmentHeader | None] | None
    ) -> None:
        self.state.last_number = number
        data = self._read(number, None)
        self.state.bytes += len(data)
        if header is None:
            self._record_loss(number, 0, len(data), "its header is damaged", self._groups_from_here())
            self._fragments.clear()
            return
        if header.store != self._store or header.number != number:
            self._record_loss(number, 0, len(data), "it is of another store or segment", "all in it")
            return
        declared = self._declared_end(number, len(data), successor)
        if declared is not None and declared > len(data):
            missing = declared - len(data)
            self._record_loss(number, len(data), missing, "the file is cut short", "the groups at its end")
        end = len(data) if declared is None else min(declared, len(data))
        self._read_frames(_Segment(number, data, header, end, declared is not None, successor is not None))

    def _declared_end(
        self, number: int, size: int, successor: tuple[int, SegmentHeader | None] | None
    ) -> int | None:
        """Return the end of the segment's valid part if its successor or a live writer declares it."""
        if self._durable and number == self._durable.segment:
            return min(self._durable.offset, size)
        if successor is None:
            return None
        next_number, next_header = successor
        return next_header.previous_end if next_header and next_number == number + 1 else None

    def _read_frames(self, segment: _Segment) -> None:
        """Process the segment's frames, and skip damaged ones or drop a torn end."""
        offset = HEADER_BYTES
        while offset < segment.end:
            frame = decode_frame(segment.data, offset, segment.end, segment.header.salt)
            if frame is not None:
                self._process_frame(segment.number, frame)
                offset = frame.end
                continue
            tail = _scan_tail(segment, offset)
            if not segment.end_known and not segment.has_successor and tail.durable <= offset:
                self._drop_torn_end(segment, offset, tail)
                return
            offset = self._skip_damage(segment, offset, tail)

    def _drop_torn_end(self, segment: _Segment, offset: int, tail: _Tail) -> None:
        """Report the dropped end of the log, unless it consists of zeros only."""
        suffix = f", {len(tail.frames)} whole frames among them" if tail.frames else ""
        # A tail of zeros only means that the file was extended and nothing else was written.
        if segment.data.count(0, offset) < len(segment.data) - offset:
            why = f"a torn end, never acknowledged{suffix}"
            length = segment.end - offset
            self.state.dropped.append(DroppedTail(segment_name(segment.number), offset, length, why))

    def _skip_damage(self, segment: _Segment, offset: int, tail: _Tail) -> int:
        """Record the loss of acknowledged frames at `offset`; return the offset where reading continues."""
        state = self.state
        all_acknowledged = segment.has_successor or segment.end_known
        acknowledged = (frame for frame in tail.frames if all_acknowledged or frame.offset < tail.durable)
        next_frame = next(acknowledged, None)
        first = state.next_sequence
        if next_frame is None:
            self._record_loss(
                segment.number, offset, segment.end - offset,
                "the checksum does not hold", self._groups_from_here(),
            )  # fmt: skip
            self._fragments.clear()
            return segment.end
        groups = f"groups {first} to {max(first, next_frame.sequence - 1)}"
        length = next_frame.offset - offset
        self._record_loss(segment.number, offset, length, "the checksum does not hold", groups)
        self._fragments.clear()
        if next_frame.kind in (FrameKind.MIDDLE, FrameKind.LAST):
            state.next_sequence = next_frame.sequence + (next_frame.kind is FrameKind.LAST)
            return next_frame.end
        state.next_sequence = next_frame.sequence
        return next_frame.offset

    def _process_frame(self, number: int, frame: Frame) -> None:
        """Add the frame's payload to its group; apply the group after its last frame."""
        if frame.kind is FrameKind.MARK or not self._check_sequence(number, frame):
            return
        if frame.kind in (FrameKind.FULL, FrameKind.FIRST):
            if self._fragments:  # That group's write failed, and the next group reused its sequence.
                self._drop_group("a group whose write failed half-way")
            self._fragments = [frame.payload]
            self._group_start = LogPosition(number, frame.offset)
        elif not self._fragments:
            self._process_orphan_fragment(number, frame)
            return
        else:
            self._fragments.append(frame.payload)
        if frame.kind in (FrameKind.FULL, FrameKind.LAST):
            self._end_group()

    def _check_sequence(self, number: int, frame: Frame) -> bool:
        """Return False if the frame belongs to an older group; record groups that are missing before it."""
        state = self.state
        if frame.sequence < state.next_sequence:
            length = frame.end - frame.offset
            self._record_loss(number, frame.offset, length, "out of order", "an older group")
            return False
        if frame.sequence > state.next_sequence:
            missing = f"groups {state.next_sequence} to {frame.sequence - 1}"
            self._record_loss(number, frame.offset, 0, "groups are missing before it", missing)
            state.next_sequence = frame.sequence
        return True

    def _process_orphan_fragment(self, number: int, frame: Frame) -> None:
        """Handle a fragment whose group's first fragment is missing."""
        if not self.state.lost:
            length = frame.end - frame.offset
            self._record_loss(
                number, frame.offset, length, "its group has no begin", f"group {frame.sequence}"
            )
        if frame.kind is FrameKind.LAST:
            self.state.next_sequence += 1

    def _end_group(self) -> None:
        operations = decode_operations(b"".join(self._fragments))
        self._fragments = []
        self.state.next_sequence += 1
        self.state.groups += 1
        self._apply(operations)

    def _drop_group(self, why: str) -> None:
        """Drop the current, incomplete group, which was never acknowledged."""
        segment, offset = self._group_start
        self.state.dropped.append(DroppedTail(segment_name(segment), offset, 0, why))
        self._fragments = []

    def _groups_from_here(self) -> str:
        return f"groups from {self.state.next_sequence} on"

    def _record_loss(self, number: int, offset: int, length: int, why: str, records: str) -> None:
        self.state.lost.append(Lost(segment_name(number), offset, length, records, why))


def _scan_tail(segment: _Segment, offset: int) -> _Tail:
    frames = list(scan_frames(segment.data, offset + FRAME_ALIGNMENT, segment.end, segment.header.salt))
    return _Tail(frames, max((frame.durable for frame in frames), default=0))
