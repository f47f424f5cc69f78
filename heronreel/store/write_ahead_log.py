"""The write-ahead log: appends groups of operations to segments, and makes them durable."""

from __future__ import annotations

import secrets

from heronreel.store.counters import Counters
from heronreel.store.disk import Disk, DiskFile, LockFile, write_all
from heronreel.store.durable_note import encode_durable_note
from heronreel.store.health import Health
from heronreel.store.limits import Limits
from heronreel.store.log_format import FrameKind, SegmentHeader, encode_frame, segment_name
from heronreel.store.log_reader import LogPosition


class WriteAheadLog:
    """The end of the log, to which a writer appends.

    Only the leader of the commit queue may call it.  `next_sequence` is the sequence of the next group; the
    caller increments it once a group is durable.
    """

    def __init__(
        self,
        disk: Disk,
        lock: LockFile,
        store_id: bytes,
        limits: Limits,
        health: Health,
        counters: Counters,
        last_segment: int,
        next_sequence: int,
    ) -> None:
        """Continue a log after `last_segment`; nothing is written until a segment is started."""
        self._disk = disk
        self._lock = lock
        self._store_id = store_id
        self._limits = limits
        self._health = health
        self._counters = counters
        self._segment: DiskFile | None = None
        self._segment_number = last_segment
        self._salt = 0
        self._end = 0  # Bytes written to the segment.
        self._durable = 0  # Bytes of the segment that an fsync has made durable.
        self._segment_failed = False
        self.next_sequence = next_sequence
        self.size = 0  # Bytes of the log that are not yet in sorted runs.

    @property
    def is_started(self) -> bool:
        """Whether there is a segment to append to."""
        return self._segment is not None

    @property
    def segment_number(self) -> int:
        """The number of the current segment."""
        return self._segment_number

    def start_segment(self, *, recovery: bool = False) -> None:
        """Start a segment, whose header ends the previous segment after its last acknowledged group.

        The header and the file name are durable before a frame is written. So if a segment has frames but no
        valid header, the cause is damage and not a crash.

        Args:
            recovery: The segment does not continue the previous ones; it is valid once a manifest names it.

        Raises:
            OSError: The disk fails; the current segment stays in use.
        """
        header = SegmentHeader(
            self._store_id,
            self._segment_number + 1,
            self.next_sequence,
            self._durable if self._segment_failed else self._end,
            secrets.randbits(64),
            recovery,
        )
        file = self._disk.create(segment_name(header.number))
        data = header.encode()
        write_all(file, data)
        try:
            file.sync()
            self._disk.sync_directory()
        except OSError as error:
            self._health.fail(f"an fsync of a new segment failed: {error}")
            raise
        if self._segment:
            self._segment.close()
        self._segment, self._segment_number, self._salt = file, header.number, header.salt
        self._end = self._durable = len(data)
        self._segment_failed = False
        self.size += len(data)
        self._publish_durable()

    def roll_segment(self) -> None:
        """Start a segment if the current one has failed or is full; raises as `start_segment` does."""
        if self._segment_failed or self._segment_is_full():
            self.start_segment()

    def roll_failed_segment(self) -> None:
        """Start a segment if the current one has failed; raises as `start_segment` does."""
        if self._segment_failed:
            self.start_segment()

    def discard_segment(self) -> None:
        """Abandon the current segment, to which no manifest refers; the next write starts another."""
        self._segment = None

    def fail_segment(self) -> None:
        """Record a failed write to the current segment; the next segment's header excludes its remains."""
        self._segment_failed = True

    def exclude_flushed_segments(self) -> None:
        """Reset `size` to the current segment, because the earlier segments are about to be flushed."""
        self.size = self._end

    def append_group(self, payload: bytes) -> None:
        """Append a group, split into fragments and segments as needed; `sync` makes it durable.

        Raises:
            OSError: The disk fails.
        """
        view, fragment_bytes = memoryview(payload), self._limits.fragment_bytes
        for start in range(0, max(1, len(payload)), fragment_bytes):
            if start and self._segment_is_full():
                # The next header declares the end of this segment, which must be durable before that.
                self.sync()
                self.start_segment()
            kind = _fragment_kind(first=start == 0, last=start + fragment_bytes >= len(payload))
            self._append_frame(kind, view[start : start + fragment_bytes])

    def append_mark(self) -> None:
        """Append a mark, which declares everything before it durable; `sync` makes the mark itself durable.

        Raises:
            OSError: The disk fails.
        """
        self._append_frame(FrameKind.MARK, b"")

    def sync(self) -> None:
        """Make the appended frames durable.

        Raises:
            OSError: The fsync failed; all later writes are rejected.
        """
        assert self._segment
        try:
            self._segment.sync()
        except OSError as error:
            self._health.fail(f"an fsync of the log failed: {error}")
            raise
        self._counters.syncs += 1
        self._durable = self._end
        self._publish_durable()

    def close(self) -> None:
        """Close the current segment's file."""
        if self._segment:
            self._segment.close()

    def _segment_is_full(self) -> bool:
        return self._end >= self._limits.segment_bytes

    def _append_frame(self, kind: FrameKind, payload: bytes | memoryview) -> None:
        assert self._segment
        frame = encode_frame(self._salt, kind, self.next_sequence, self._durable, payload)
        write_all(self._segment, frame)
        self._end += len(frame)
        self.size += len(frame)
        self._counters.log_bytes += len(frame)

    def _publish_durable(self) -> None:
        """Publish the durable position, which limits what readers in other processes read."""
        self._lock.publish(encode_durable_note(LogPosition(self._segment_number, self._durable)))


def _fragment_kind(*, first: bool, last: bool) -> FrameKind:
    if first:
        return FrameKind.FULL if last else FrameKind.FIRST
    return FrameKind.LAST if last else FrameKind.MIDDLE
