"""The write-ahead log: appending groups of operations to segments, and making them durable."""

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
    """The end of the log that a writer appends to.

    Only the leader of the commit queue calls it.  `next_sequence` is that of the next group; its owner
    advances it once a group is durable.
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
        """Continue a log behind `last_segment`; nothing is written until a segment is started."""
        self._disk = disk
        self._lock = lock
        self._store_id = store_id
        self._limits = limits
        self._health = health
        self._counters = counters
        self._segment: DiskFile | None = None
        self._segment_number = last_segment
        self._salt = 0
        self._end = 0  # of what was written to the segment
        self._durable = 0  # bytes of the segment that an fsync has covered
        self._segment_failed = False
        self.next_sequence = next_sequence
        self.size = 0  # bytes behind the sorted runs

    @property
    def is_started(self) -> bool:
        """Whether there is a segment to append to."""
        return self._segment is not None

    @property
    def segment_number(self) -> int:
        """The number of the current segment."""
        return self._segment_number

    def start_segment(self, *, recovery: bool = False) -> None:
        """Start a segment.  The one before ends, for good, where the last acknowledged group in it ends.

        The header and the name are durable before a frame is written, so that a valid header in a longer
        file is a matter of damage and never of a crash.

        Args:
            recovery: The segment is unrelated to those before it; it counts once a manifest names it.

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
        """Forget the current segment, which nothing refers to; the next write starts another."""
        self._segment = None

    def fail_segment(self) -> None:
        """A write to the current segment failed: what it left there is excluded by the next one's header."""
        self._segment_failed = True

    def end_flushed_part(self) -> None:
        """All before the current segment is about to be flushed: only this one is left to count."""
        self.size = self._end

    def append_group(self, payload: bytes) -> None:
        """Append a group, in as many fragments and segments as it takes; `sync` makes it durable.

        Raises:
            OSError: The disk fails.
        """
        view, fragment_bytes = memoryview(payload), self._limits.fragment_bytes
        for start in range(0, max(1, len(payload)), fragment_bytes):
            if start and self._segment_is_full():
                # what the next segment's header calls the end of this one must be durable before
                self.sync()
                self.start_segment()
            kind = _fragment_kind(first=start == 0, last=start + fragment_bytes >= len(payload))
            self._append_frame(kind, view[start : start + fragment_bytes])

    def append_mark(self) -> None:
        """Append a mark, which says that all before it is durable; `sync` makes it durable itself.

        Raises:
            OSError: The disk fails.
        """
        self._append_frame(FrameKind.MARK, b"")

    def sync(self) -> None:
        """Make what was appended durable.

        Raises:
            OSError: The fsync failed; writes are rejected from now on.
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
        """Readers in other processes read no further than what is durable."""
        self._lock.publish(encode_durable_note(LogPosition(self._segment_number, self._durable)))


def _fragment_kind(*, first: bool, last: bool) -> FrameKind:
    if first:
        return FrameKind.FULL if last else FrameKind.FIRST
    return FrameKind.LAST if last else FrameKind.MIDDLE
