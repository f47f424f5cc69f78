"""The store: a log that makes writes durable, a table in memory, and sorted runs on the disk.

`docs/store-design.md` says why it is built so.  In short: a group of writes is one frame of the log and one
fsync; then it is applied to a table in memory; a full table is written as a sorted run; runs are merged in
small steps that are paid for by the writes.  What a crash leaves is the manifest's runs and the log behind
them.
"""

from __future__ import annotations

import errno
import os
import secrets
import threading
import time
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from types import TracebackType
from typing import Any, NoReturn

from msgspec.structs import replace

from heronreel.store import compaction_policy, log_format
from heronreel.store.disk import Disk, DiskFile, LockFile, RealDisk, write_whole
from heronreel.store.errors import (
    CorruptionError,
    InvalidArgumentError,
    Lost,
    ReadOnlyError,
    StoreClosedError,
    StoreError,
    StoreLockedError,
    WriteFailedError,
)
from heronreel.store.log_format import DroppedTail, FrameKind, LogState, Operation, SegmentHeader
from heronreel.store.manifest import (
    MANIFEST,
    MANIFEST_NEW,
    DamageEntry,
    Manifest,
    encode_manifest,
    run_entry,
)
from heronreel.store.recovery import (
    DURABLE_NOTE,
    DURABLE_NOTE_MAGIC,
    Contents,
    decode_durable_position,
    read_contents,
    read_manifest,
    sync_log,
)
from heronreel.store.snapshot import (
    ReadView,
    Snapshot,
    look_up,
    merge_records,
    validated_key,
    validated_value,
)
from heronreel.store.sstable import (
    Index,
    Record,
    RunInfo,
    SortedRun,
    SSTable,
    TableHeader,
    TableInfo,
    TableWriter,
    index_name,
)

MAX_BATCH_BYTES = 64 << 20  # bytes of keys and values with 6 for each operation
ENTRY_COST = 200  # bytes of memory that a record takes beside its key and value


@dataclass(frozen=True, slots=True)
class Limits:
    """Sizes in bytes.  The defaults hold a store to some 10 MiB of memory and 4 bytes a key."""

    memory: int = 4 << 20  # of the table in memory; a second one may be on its way to the disk
    segment: int = 4 << 20  # of a segment of the log; one more frame may lie over it
    fragment: int = (
        log_format.MAX_FRAGMENT_BYTES
    )  # of a frame's payload; a larger group has several, in several segments
    log: int = 16 << 20  # of the log behind the runs: a key written over and over fills no memory
    block: int = (
        4096  # of a block of a table: what one read of one key reads; one more record may lie over it
    )
    part: int = 16 << 20  # of a table file; one more block may lie over it
    step: int = 64 << 10  # of one step of a merge: its pause
    sync_every: int = 1 << 20  # of a table between two fsyncs: the longest of them
    pace: int = 16  # bytes of merging for each byte written, at most
    group: int = 1 << 20  # of the writes that share an fsync

    def __post_init__(self) -> None:
        if self.fragment > log_format.MAX_FRAGMENT_BYTES:
            raise InvalidArgumentError(
                f"fragment: {self.fragment}, and it should be at most {log_format.MAX_FRAGMENT_BYTES}"
            )
        for name in self.__slots__:
            if getattr(self, name) < 1:
                raise InvalidArgumentError(f"{name}: {getattr(self, name)}, and it should be at least 1")


@dataclass(slots=True)
class Counters:
    """Since the store was opened; bytes and numbers."""

    groups: int = 0
    operations: int = 0
    asked: int = 0  # bytes of the operations as encoded
    logged: int = 0
    flushed: int = 0
    merged: int = 0
    syncs: int = 0
    merges: int = 0
    stalls: int = 0  # writes that waited for a full table in memory
    longest_step_ms: float = 0.0  # of one step of merging or flushing, its fsyncs with it


@dataclass(slots=True, eq=False)
class _Ticket:
    """A write under way."""

    payload: bytes
    operations: list[Operation]
    hold: bool = False  # it wants the lead for itself, and is in no group
    lead: bool = False
    error: BaseException | None = None
    turn: threading.Lock = field(default_factory=threading.Lock)


class Batch:
    """Writes that are all in the store or none of them.  They are committed where the `with` block ends
    well.
    """

    def __init__(self, store: Store) -> None:
        self._store = store
        self._operations: dict[bytes, bytes | None] = {}
        self._size = 0

    def put(self, key: bytes, value: bytes) -> None:
        """InvalidArgumentError if key, value or the whole batch is over its limit; the batch stays as it
        was.
        """
        self._add(validated_key(key), validated_value(value))

    def delete(self, key: bytes) -> None:
        self._add(validated_key(key), None)

    def _add(self, key: bytes, value: bytes | None) -> None:
        size = self._size + log_format.OPERATION_BYTES + len(key) + len(value or b"")
        if size > MAX_BATCH_BYTES:
            raise InvalidArgumentError(f"batch: {size} bytes, and it should be at most {MAX_BATCH_BYTES}")
        self._size = size
        self._operations[key] = value

    def taken(self) -> list[Operation]:
        """What is in the batch, which is empty from then on."""
        operations, self._operations, self._size = list(self._operations.items()), {}, 0
        return operations

    def commit(self) -> None:
        """Write what is in the batch, and empty it.  Raises as `Store.put` does."""
        if operations := self.taken():
            self._store.write([operations])

    def __enter__(self) -> Batch:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        if kind is None:
            self.commit()


class Store:
    """An embedded store of bytes by bytes.

    One process writes, any number read; within a process it may be used from many threads, whose writes
    share fsyncs. A write is durable when its call has returned.  One that raised `WriteFailedError` is not in
    the store, but for this: if the process then ends before another write succeeds, what recovery finds may
    have it, whole.
    """

    def __init__(self, disk: Disk, read_only: bool, limits: Limits) -> None:
        """Use `Store.open`."""
        self._disk = disk
        self.read_only = read_only
        self.limits = limits
        self.counters = Counters()
        self.lost: tuple[Lost, ...] = ()
        """What can't be read, as far as it is known.  A store with any takes no writes."""
        self.dropped: tuple[DroppedTail, ...] = ()
        """What the last opening left out: ends of the log that were never acknowledged."""
        self.failure: str | None = None
        """Why writes are refused until the store is opened anew, if they are."""
        self.maintenance_error: OSError | None = None
        """Why the last step of flushing or merging failed; it is tried again with later writes."""
        self._process = os.getpid()
        self._closed = False
        self._lock: LockFile | None = None
        self._state = threading.Lock()  # of the view and of `_shared`
        self._view = ReadView({}, {}, ())
        self._shared = False  # a snapshot holds the memory table
        self._memory_size = 0
        self._gate = threading.Lock()  # of the queue
        self._queue: deque[_Ticket] = deque()
        self._leading = False
        self._maintenance = threading.Lock()  # of the manifest, the flush and the merge
        self._credit = 0
        self._flush: Iterator[int] | None = None
        self._merge: Iterator[int] | None = None
        self._making: list[TableWriter] = []
        self._made: list[TableInfo] = []  # by the merge or flush under way, not yet in a manifest
        self._manifest = Manifest("", 0, 1, 1, 1, [])
        self._segment: DiskFile | None = None
        self._header = SegmentHeader(b"", 0, 0, 0, 0)
        self._offset = 0  # of the log's end in its segment
        self._durable = 0  # bytes of the segment that an fsync has covered
        self._next_sequence = 1
        self._log_bytes = 0  # behind the runs
        self._segment_failed = False
        self._frozen_until = 0, 0  # the last group in the frozen table, and the segment that begins behind it

    # -- opening and closing

    @classmethod
    def open(
        cls,
        path: str | os.PathLike[str] | Disk,
        *,
        read_only: bool = False,
        limits: Limits | None = None,
    ) -> Store:
        """Open the store in the folder `path`, or make one there.

        Raises StoreLockedError while another writer lives, UnknownFormatError for a newer format or a
        folder of other things (both leave it untouched), OSError where the disk fails, and CorruptionError
        where acknowledged records are lost: such a store opens with `read_only`, and `lost` says what is
        missing then; what is older may show in its place. FileNotFoundError if there is no store and
        `read_only` is set.
        """
        disk: Disk = RealDisk(path) if isinstance(path, (str, os.PathLike)) else path
        store = cls(disk, read_only, limits or Limits())
        if read_only:
            store._load_for_reading()
        else:
            store._open_for_writing()
        return store

    def _open_for_writing(self) -> None:
        disk = self._disk
        if disk.exists():
            read_manifest(disk)  # a newer format is left as it is, even without a lock file
        else:
            disk.make()
        lock = None
        for attempt in range(10):  # a reader that asks whether a writer lives holds the lock for a moment
            if attempt:
                time.sleep(0.005)
            if lock := disk.lock():
                break
        if lock is None:
            raise StoreLockedError("another writer has the store")
        self._lock = lock
        try:
            lock.tell(b"")
            self._recover()
        except BaseException:
            self._closed = True
            lock.release()
            raise

    def _recover(self) -> None:
        disk = self._disk
        manifest = read_manifest(disk)
        if manifest is None:
            manifest = Manifest(secrets.token_hex(16), 0, 1, 1, 1, [])
            found = Contents([], {}, LogState(1), [])
        else:
            found = read_contents(disk, manifest)
            if found.lost:
                raise CorruptionError(tuple(found.lost))
        log = found.log
        self.dropped = tuple(log.dropped)
        self._manifest = manifest
        self._next_sequence = log.next_sequence
        self._view = ReadView({}, found.memory, tuple(found.runs))
        # What the log holds is written anew and synced, and a new segment begun, before anything is
        # answered: the pages that were just read may be in memory only (a crash could still take them, and
        # an fsync that has failed once says nothing about them later), and nothing is ever written behind a
        # torn end.
        # Where the log holds no group there is nothing to write anew: the segment waits for the first write.
        self._header = SegmentHeader(b"", log.last_number, 0, 0, 0)
        if manifest.generation == 0 or log.groups:
            self._begin_log()
            until = log.next_sequence - 1, self._header.number
            flush = self._flushing(found.memory, manifest.next_sequence, *until)
            for _ in flush:
                pass
        self._clean()

    def _load_for_reading(self) -> None:
        disk = self._disk
        if not disk.exists():
            raise FileNotFoundError(errno.ENOENT, "no store", str(getattr(disk, "path", "")))
        for attempt in range(20):
            note = disk.note()
            manifest = read_manifest(disk)
            if manifest is None:
                raise FileNotFoundError(errno.ENOENT, "no store", str(getattr(disk, "path", "")))
            found = read_contents(disk, manifest, decode_durable_position(note))
            # the writer may have removed what was about to be opened: then there is a newer manifest
            if not found.lost or attempt == 19 or read_manifest(disk) == manifest:
                break
        assert manifest
        if decode_durable_position(note) is None:
            sync_log(disk, manifest)  # what is shown must not be taken back by a loss of power
        self._manifest = manifest
        self.lost = tuple(found.lost)
        self.dropped = tuple(found.log.dropped)
        self._next_sequence = found.log.next_sequence
        with self._state:
            self._view = ReadView(found.memory, {}, tuple(found.runs))
            self._shared = True

    def refresh(self) -> None:
        """Of a store opened for reading: look at what the writer has made durable since."""
        self._check_open()
        if not self.read_only:
            raise ReadOnlyError("refresh: only a store opened for reading has to")
        self._load_for_reading()

    def _clean(self) -> None:
        """At opening, when nothing is under way: remove the files that the manifest does not name.

        What can't be removed is left for the next opening.
        """
        named = {part.number for run in self._manifest.runs for part in run.parts}
        names = self._disk.names()
        for kind in ("table", "index"):
            for number in log_format.file_numbers(names, kind):
                if number not in named:
                    _remove(self._disk, f"{number:08}.{kind}")
        if MANIFEST_NEW in names:
            _remove(self._disk, MANIFEST_NEW)
        self._remove_segments(self._manifest.log_from)

    def close(self) -> None:
        """Settle all writes, move what is in memory to a run, and let the lock go.  Closing twice does
        nothing.
        """
        if self._closed or os.getpid() != self._process:
            return
        with self._gate:
            self._closed = True
        if self.read_only:
            return
        self._hold_writes()
        with self._maintenance:
            try:
                if self.failure is None and not self.lost:
                    try:
                        self._flush_all()
                    except (OSError, StoreError):
                        self._write_mark()
            except (OSError, StoreError):
                pass  # all that was acknowledged is in the log
            finally:
                self._abandon()
                if self._segment:
                    self._segment.close()
                if self._lock:
                    self._lock.release()
                self._let_writes_go()

    def __enter__(self) -> Store:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()

    def _check_open(self) -> None:
        if self._closed:
            raise StoreClosedError("the store is closed")
        if os.getpid() != self._process:
            raise StoreClosedError("the store was opened by another process, before a fork")

    # -- reading

    def get(self, key: bytes) -> bytes | None:
        """The value of `key`, or None.  CorruptionError if the block that should have it can't be read."""
        self._check_open()
        return look_up(self._view, validated_key(key), self._met)

    def snapshot(self) -> Snapshot:
        """The store as it is now, whatever is written later."""
        self._check_open()
        with self._state:
            self._shared = True
            return Snapshot(self._view, self._met)

    def scan(self, prefix: bytes = b"") -> Iterator[tuple[bytes, bytes]]:
        """Keys that begin with `prefix` and their values in the order of keys, as of this call."""
        return self.snapshot().scan(prefix)

    def _met(self, damaged: CorruptionError) -> None:
        """Damage was met while reading: writes end, and the manifest remembers it for the next opening."""
        fresh = tuple(lost for lost in damaged.lost if lost not in self.lost)
        if not fresh:
            return
        self.lost += fresh
        if self.read_only or self.failure:
            return
        # by the next one who has the manifest's lock; a merge that is the reader here has it already
        if self._maintenance.acquire(blocking=False):
            try:
                self._remember_damage()
            finally:
                self._maintenance.release()

    def _remember_damage(self) -> None:
        known = {(d.file, d.offset) for d in self._manifest.damage}
        fresh = [
            DamageEntry(x.file, x.offset, x.length, x.records, x.why)
            for x in self.lost
            if (x.file, x.offset) not in known
        ]
        if fresh:
            with suppress(OSError, StoreError):  # it is met again by whoever reads it next
                self._install(damage=[*self._manifest.damage, *fresh])

    # -- writing

    def put(self, key: bytes, value: bytes) -> None:
        """Set `key` (1 to 4,096 bytes) to `value` (up to 16 MiB), durably.

        Raises InvalidArgumentError for a key or value outside its limits, WriteFailedError where the disk
        refuses, CorruptionError once damage was found, ReadOnlyError and StoreClosedError.
        """
        self.write([[(validated_key(key), validated_value(value))]])

    def delete(self, key: bytes) -> None:
        """Forget `key`, durably; raises as `put` does.  A key that is not there is no error."""
        self.write([[(validated_key(key), None)]])

    def batch(self) -> Batch:
        """Up to 64 MiB of writes that are all in the store or none of them: `with store.batch() as batch:
        ...`
        """
        self._check_open()
        return Batch(self)

    def write(self, batches: list[list[Operation]]) -> None:
        """Write batches that share a fsync; each is whole or not there.  Keys and values have been
        checked.
        """
        self._check_writable()
        operations = [operation for batch in batches for operation in batch]
        ticket = _Ticket(log_format.encode_operations(operations), operations)
        self._queue_up(ticket)
        if ticket.lead:
            self._lead()
        if ticket.error is not None:
            raise ticket.error
        if ticket.lead:
            self._maintain(len(ticket.payload))

    def _check_writable(self) -> None:
        self._check_open()
        if self.read_only:
            raise ReadOnlyError("the store was opened for reading")
        self._check_sound()

    def _check_sound(self) -> None:
        if self.failure is not None:
            raise WriteFailedError(self.failure, final=True)
        if self.lost:
            raise CorruptionError(self.lost)

    def _lead(self) -> None:
        """Write the queue's first groups, the caller's own among them, and hand the lead on."""
        with self._gate:
            group: list[_Ticket] = []
            size = 0
            while self._queue and not self._queue[0].hold:
                size += len(self._queue[0].payload)
                if group and size > self.limits.group:
                    break
                group.append(self._queue.popleft())
        error: BaseException | None = None
        try:
            self._write_group(group)
        except BaseException as raised:
            error = raised
        for ticket in group:
            ticket.error = error
        with self._gate:
            self._pass_the_lead()  # first: the disk should not wait until the others have woken up
        for ticket in group:
            if not ticket.lead:
                ticket.turn.release()

    def _pass_the_lead(self) -> None:
        """To the first in the queue, if there is one; the gate is held."""
        if self._queue:
            self._queue[0].lead = True
            self._queue[0].turn.release()
        else:
            self._leading = False

    def _queue_up(self, ticket: _Ticket) -> None:
        """Wait until the ticket was written or has the lead.

        A thread interrupted here leaves the queue in order.
        """
        ticket.turn.acquire()
        with self._gate:
            if self._closed and not ticket.hold:
                raise StoreClosedError("the store is closed")
            self._queue.append(ticket)
            if not self._leading:
                self._leading = ticket.lead = True
        if ticket.lead:
            return
        try:
            ticket.turn.acquire()
        except BaseException:
            with self._gate:
                if ticket in self._queue:
                    self._queue.remove(ticket)
                    if ticket.lead:
                        self._pass_the_lead()
            raise

    def _write_group(self, group: list[_Ticket]) -> None:
        self._check_sound()
        payload = b"".join([ticket.payload for ticket in group])
        if self._memory_size >= self.limits.memory or self._log_bytes >= self.limits.log:
            self._freeze()
        try:
            self._append(payload)
            self._apply(group)
        except WriteFailedError:
            raise
        except BaseException as error:  # an interrupt: nobody can say how far the write came
            self._fail(f"a write was interrupted: {error!r}")
            raise
        counters = self.counters
        counters.groups += 1
        counters.operations += sum(len(ticket.operations) for ticket in group)
        counters.asked += len(payload)

    def _apply(self, group: list[_Ticket]) -> None:
        with self._state:
            view = self._view
            if self._shared:
                # somebody holds the table: it is theirs now
                self._view = view = ReadView(dict(view.memory), view.frozen, view.runs)
                self._shared = False
            memory, grown = view.memory, 0
            for ticket in group:
                for key, value in ticket.operations:
                    if key in memory:
                        grown += len(value or b"") - len(memory[key] or b"")
                    else:
                        grown += ENTRY_COST + len(key) + len(value or b"")
                    memory[key] = value
            self._memory_size += grown

    def _append(self, payload: bytes) -> None:
        """Write one group to the log and sync it, or raise WriteFailedError and leave the log as if it had
        not been.
        """
        sequence, view, most = self._next_sequence, memoryview(payload), self.limits.fragment
        try:
            if self._segment is None:
                self._name_log()
            elif self._segment_failed or self._offset >= self.limits.segment:
                self._new_segment()
            for begin in range(0, max(1, len(payload)), most):
                if begin and self._offset >= self.limits.segment:
                    # what the next segment's header calls the end of this one must be durable before
                    self._sync_segment()
                    self._new_segment()
                last = begin + most >= len(payload)
                kind = (
                    (FrameKind.FIRST, FrameKind.WHOLE)[last]
                    if not begin
                    else (FrameKind.MIDDLE, FrameKind.LAST)[last]
                )
                self._write_frame(kind, sequence, view[begin : begin + most])
        except OSError as error:
            # whatever of the group got into this segment is left out by the next one's header
            self._segment_failed = True
            raise WriteFailedError(f"the log: {error}", final=self.failure is not None) from error
        try:
            self._sync_segment()
        except OSError as error:
            raise WriteFailedError(f"the log: {error}", final=True) from error
        self._next_sequence += 1

    def _write_frame(self, kind: FrameKind, sequence: int, payload: bytes | memoryview) -> None:
        assert self._segment
        frame = log_format.encode_frame(self._header.salt, kind, sequence, self._durable, payload)
        write_whole(self._segment, frame)
        self._offset += len(frame)
        self._log_bytes += len(frame)
        self.counters.logged += len(frame)

    def _sync_segment(self) -> None:
        assert self._segment
        try:
            self._segment.sync()
        except OSError as error:
            self._fail(f"an fsync of the log failed: {error}")
            raise
        self.counters.syncs += 1
        self._durable = self._offset
        self._tell()

    def _tell(self) -> None:
        """Readers in other processes look no further than what is durable."""
        if self._lock:
            self._lock.tell(DURABLE_NOTE.pack(DURABLE_NOTE_MAGIC, self._header.number, self._durable))

    def _fail(self, what: str) -> None:
        self.failure = f"{what}; writes are refused until the store is opened anew"

    def _begin_log(self) -> None:
        """Begin a segment that has nothing to do with those before it; it counts once a manifest names it."""
        self._new_segment(fresh=True)

    def _name_log(self) -> None:
        """Begin the log anew where nothing was in it; the first write after an opening waits for it."""
        with self._maintenance:
            self._begin_log()
            try:
                self._install(log_from=self._header.number)
            except OSError:
                self._segment = None  # begun again by the next write
                raise
            self._remove_segments(self._header.number)

    def _new_segment(self, fresh: bool = False) -> None:
        """Begin a segment.  The one before ends, for good, where the last acknowledged group in it ends.

        The header and the name are durable before a frame is written, so that a whole header in a longer
        file is a matter of damage and never of a crash.
        """
        former_end = self._durable if self._segment_failed else self._offset
        header = SegmentHeader(
            bytes.fromhex(self._manifest.store),
            self._header.number + 1,
            self._next_sequence,
            former_end,
            secrets.randbits(64),
            fresh,
        )
        file = self._disk.create(log_format.segment_name(header.number))
        data = header.encode()
        write_whole(file, data)
        try:
            file.sync()
            self._disk.sync_folder()
        except OSError as error:
            self._fail(f"an fsync of a new segment failed: {error}")
            raise
        if self._segment:
            self._segment.close()
        self._segment, self._header = file, header
        self._offset = self._durable = len(data)
        self._segment_failed = False
        self._log_bytes += len(data)
        self._tell()

    def _freeze(self) -> None:
        """Put the full table aside to be flushed; the log goes on in a new segment.

        Raises WriteFailedError if the one before it can't be flushed: memory is bounded, whatever the disk
        does.
        """
        if self._view.frozen:
            self.counters.stalls += 1
            with self._maintenance:
                self._finish_flush()
                if self._view.frozen:
                    why = f"no room in memory, and flushing failed: {self.maintenance_error}"
                    raise WriteFailedError(why, final=False)
        self._check_sound()
        try:
            self._new_segment()
        except OSError as error:
            raise WriteFailedError(f"the log: {error}", final=self.failure is not None) from error
        with self._maintenance:
            self._put_aside()

    def _put_aside(self) -> None:
        """Make the table in memory the frozen one; a new segment has begun, and the maintenance lock is
        held.
        """
        with self._state:
            view = self._view
            self._view = ReadView({}, view.memory, view.runs)
            self._shared = False
            self._memory_size = 0
        self._log_bytes = self._offset
        self._frozen_until = self._next_sequence - 1, self._header.number
        self._begin_flush()

    def _begin_flush(self) -> None:
        self._flush = self._flushing(self._view.frozen, self._manifest.next_sequence, *self._frozen_until)

    def sync(self) -> None:
        """Mark the log's end: damage to anything before it will be told from a write that a crash cut off.

        Without a mark that holds of all but the last group, whose loss would pass for a torn end.
        """
        self._check_writable()
        self._hold_writes()
        try:
            self._check_sound()
            try:
                self._write_mark()
            except OSError as error:
                self._segment_failed = True
                raise WriteFailedError(f"the log: {error}", final=self.failure is not None) from error
        finally:
            self._let_writes_go()

    def _write_mark(self) -> None:
        if self._segment is None:
            self._name_log()
        elif self._segment_failed:
            self._new_segment()
        self._write_frame(FrameKind.MARK, self._next_sequence, b"")
        self._sync_segment()

    # -- flushing and merging

    def maintain(self, budget: int = 1 << 62) -> int:
        """Flush and merge what is due, up to `budget` bytes; returns the bytes done, 0 if nothing was due.

        Writes do this by themselves, in proportion to what they write.  An owner with idle time may do more.
        """
        self._check_writable()
        done = 0
        while done < budget:
            with self._maintenance:
                step = self._step()
            if not step:
                break
            done += step
        return done

    def _maintain(self, written: int) -> None:
        """Pay for a write of `written` bytes with steps of maintenance.

        It pays for its own bytes at most, or large writes would outrun the merges; small ones save up for a
        step.
        """
        limits = self.limits
        earned = (written + 64) * limits.pace
        self._credit = min(self._credit + earned, max(earned, 4 * limits.step))
        if self._credit < limits.step or not self._maintenance.acquire(blocking=False):
            return
        try:
            while self._credit >= limits.step and not self._closed:
                done = self._step()
                if not done:
                    self._credit = 0
                    break
                self._credit -= max(done, limits.step)
        finally:
            self._maintenance.release()

    def _step(self) -> int:
        """One step of the flush or else of the merge under way; 0 if there is nothing to do or it failed."""
        if self.failure is not None or self.lost:
            return 0
        began = time.perf_counter()
        try:
            if self._flush is not None or self._view.frozen:
                if self._flush is None:
                    self._begin_flush()  # it failed before
                assert self._flush
                done = next(self._flush, 0)
                if not done:
                    self._flush = None
            elif self._merge is not None or self._begin_merge():
                assert self._merge
                done = next(self._merge, 0)
                if not done:
                    self._merge = None
            else:
                return 0
            self.maintenance_error = None
            return done or 1
        except OSError as error:
            self.maintenance_error = error
            self._abandon()
            return 0
        except CorruptionError as damaged:
            self._abandon()
            self.lost += tuple(lost for lost in damaged.lost if lost not in self.lost)
            self._remember_damage()
            return 0
        finally:
            self.counters.longest_step_ms = max(
                self.counters.longest_step_ms, (time.perf_counter() - began) * 1000
            )

    def _finish_flush(self) -> None:
        """Steps until nothing is frozen, or until flushing fails or writes have ended."""
        while self._view.frozen and self._step():
            pass

    def _begin_merge(self) -> bool:
        runs = self._view.runs
        weights = [
            compaction_policy.RunWeight(run.info.size, run.info.entries, run.info.deletions) for run in runs
        ]
        first = compaction_policy.oldest_run_to_compact(weights, 4 * self.limits.memory)
        if first is None:
            return False
        self._merge = self._merging(runs[first:], oldest=first == 0)
        return True

    def _abandon(self) -> None:
        """Give up what is being written; nothing refers to it, and the room it took is wanted back."""
        self._flush = self._merge = None
        for writer in self._making:
            writer.abandon()
        numbers = [writer.header.number for writer in self._making] + [info.number for info in self._made]
        self._making.clear()
        self._made.clear()
        if self.failure is None:  # else a manifest may be on the disk that names them
            for number in dict.fromkeys(numbers):
                _remove(self._disk, f"{number:08}.table")
                _remove(self._disk, index_name(number))

    def _writing(
        self, records: Iterator[Record], low: int, high: int, keep_deletions: bool, count: str
    ) -> Iterator[int | SortedRun]:
        """Write a run: yields the bytes done now and then, and the run itself at the end unless it is
        empty.
        """
        limits, done, unsynced = self.limits, 0, 0
        writer: TableWriter | None = None
        finished: list[tuple[TableInfo, Index]] = []

        def finish(last: bool) -> Iterator[int]:
            assert writer
            yield from writer.filter_steps()
            made = writer.finish(last)
            finished.append(made)
            self._made.append(made[0])
            self._making.remove(writer)
            setattr(self.counters, count, getattr(self.counters, count) + made[0].size)

        for key, value in records:
            if value is None and not keep_deletions:
                done += len(key)
            else:
                if writer is not None and writer.written >= limits.part:
                    yield from finish(False)
                    writer = None
                if writer is None:
                    header = TableHeader(
                        bytes.fromhex(self._manifest.store), self._manifest.next_file, low, high,
                        len(finished), secrets.randbits(64),
                    )  # fmt: skip
                    self._manifest = replace(self._manifest, next_file=header.number + 1)
                    writer = TableWriter(self._disk, header, limits.block)
                    self._making.append(writer)
                    unsynced = 0
                writer.add(key, value)
                done += len(key) + len(value or b"") + 16
            if done >= limits.step:
                unsynced += done
                if writer is not None and unsynced >= limits.sync_every:
                    writer.sync()
                    unsynced = 0
                yield done
                done = 0
        if writer is not None:
            yield from finish(True)
        if finished:
            info = RunInfo(low, high, tuple(info for info, _ in finished))
            store = bytes.fromhex(self._manifest.store)
            tables = [SSTable.open(self._disk, part, store, info, index) for part, index in finished]
            yield SortedRun(info, tables)

    def _flushing(
        self, frozen: dict[bytes, bytes | None], low: int, high: int, log_from: int
    ) -> Iterator[int]:
        """Write the frozen table as the newest run; then the log before `log_from` is no more needed."""
        run: SortedRun | None = None
        if frozen:
            keep = bool(self._view.runs)
            records = ((key, frozen[key]) for key in sorted(frozen))
            for step in self._writing(records, low, high, keep, "flushed"):
                if isinstance(step, SortedRun):
                    run = step
                else:
                    yield step
        yield 1
        runs = [*self._manifest.runs, *([run_entry(run.info)] if run else [])]
        self._install(log_from=log_from, next_sequence=high + 1, runs=runs)
        if run:
            self._forget_made(run)
        with self._state:
            view = self._view
            self._view = ReadView(view.memory, {}, (*view.runs, run) if run else view.runs)
        self._remove_segments(log_from)

    def _remove_segments(self, before: int) -> None:
        """Of the log, by a manifest that begins it with `before`."""
        for number in log_format.file_numbers(self._disk.names(), "log"):
            if number < before:
                _remove(self._disk, log_format.segment_name(number))

    def _merging(self, runs: tuple[SortedRun, ...], oldest: bool) -> Iterator[int]:
        """Write neighbouring runs as one; then their files are no more needed."""
        merged: SortedRun | None = None
        records = merge_records([run.records() for run in reversed(runs)])
        for step in self._writing(records, runs[0].info.low, runs[-1].info.high, not oldest, "merged"):
            if isinstance(step, SortedRun):
                merged = step
            else:
                yield step
        yield 1
        view = self._view
        at = view.runs.index(runs[0])
        assert view.runs[at : at + len(runs)] == runs
        replaced = [merged] if merged else []
        now = (*view.runs[:at], *replaced, *view.runs[at + len(runs) :])
        self._install(runs=[run_entry(run.info) for run in now])
        if merged:
            self._forget_made(merged)
        with self._state:
            view = self._view
            self._view = ReadView(view.memory, view.frozen, now)
        self.counters.merges += 1
        for run in runs:
            for part in run.info.parts:
                _remove(self._disk, part.file)
                _remove(self._disk, index_name(part.number))

    def _forget_made(self, run: SortedRun) -> None:
        numbers = {part.number for part in run.info.parts}
        self._made = [info for info in self._made if info.number not in numbers]

    def _install(self, **changes: Any) -> None:
        """Make the manifest with `changes` the one in force.

        OSError before the rename leaves the old one in force.  After it nobody can say which one a crash
        would leave: both are whole, and their files are all there, so writes end and nothing is removed.
        """
        disk = self._disk
        manifest = replace(self._manifest, generation=self._manifest.generation + 1, **changes)
        file = disk.create(MANIFEST_NEW)
        try:
            write_whole(file, encode_manifest(manifest))
            file.sync()
        finally:
            file.close()
        disk.sync_folder()  # the names of the tables that it speaks of
        try:
            disk.rename(MANIFEST_NEW, MANIFEST)
            disk.sync_folder()
        except OSError as error:
            self._fail(f"a new manifest could not be made durable: {error}")
            raise
        self.counters.syncs += 3
        self._manifest = manifest

    def _flush_all(self) -> None:
        """All that is in memory to the disk; the maintenance lock is held and no write is under way."""
        if self._view.frozen:
            self._finish_flush()
            if self._view.frozen:
                self._raise_maintenance()
        if self._view.memory:
            self._new_segment()
            self._put_aside()
            self._finish_flush()
            if self._view.frozen:
                self._raise_maintenance()

    def _raise_maintenance(self) -> NoReturn:
        self._check_sound()
        error = self.maintenance_error
        raise WriteFailedError(f"flushing failed: {error}", final=False) from error

    def compact(self, progress: Callable[[int, int], None] | None = None) -> None:
        """Rewrite the store as one run without what is out of date; writes by other threads go on meanwhile.

        `progress` is told bytes done and bytes to do.  WriteFailedError where the disk fails; the store is as
        before then.
        """
        self._check_writable()
        self._hold_writes()
        try:
            with self._maintenance:
                self._flush_all()
        finally:
            self._let_writes_go()
        done = 0
        while True:
            with self._maintenance:
                if self._merge is None:
                    task = self._begin_whole_merge()
                    break
                if not self._step():  # a merge under way has its part done already
                    self._raise_maintenance()
        if task is None:
            return
        whole = sum(run.info.size for run in self._view.runs)
        while True:
            with self._maintenance:
                if self._merge is not task:
                    if self.maintenance_error:  # another thread's step failed, and gave up this merge too
                        self._raise_maintenance()
                    break
                if not (step := self._step()):
                    self._raise_maintenance()
            done += step
            if progress:
                progress(min(done, whole), whole)

    def _begin_whole_merge(self) -> Iterator[int] | None:
        runs = self._view.runs
        if runs and (len(runs) > 1 or runs[0].info.deletions):
            self._merge = self._merging(runs, oldest=True)
        return self._merge

    def _hold_writes(self) -> None:
        """Take the lead of the queue, with nothing to write: until it is passed on, no write is under way."""
        ticket = _Ticket(b"", [], hold=True)
        self._queue_up(ticket)
        with self._gate:
            self._queue.remove(ticket)

    def _let_writes_go(self) -> None:
        with self._gate:
            self._pass_the_lead()

    # -- telling

    def stat(self) -> dict[str, Any]:
        """Sizes and counts, all in bytes or numbers; `heronreel store stat --json` prints it."""
        self._check_open()
        view, counters = self._view, self.counters
        tables = [table for run in view.runs for table in run.tables]
        return {
            "store": self._manifest.store,
            "generation": self._manifest.generation,
            "next_sequence": self._next_sequence,
            "runs": [
                {
                    "groups": [run.info.low, run.info.high],
                    "parts": len(run.info.parts),
                    "bytes": run.info.size,
                    "entries": run.info.entries,
                    "deletions": run.info.deletions,
                }
                for run in view.runs
            ],
            "run_bytes": sum(run.info.size for run in view.runs),
            "log_bytes": self._log_bytes,
            "memory_entries": len(view.memory) + len(view.frozen),
            "memory_bytes": self._memory_size,
            "index_bytes": sum(table.index_bytes for table in tables),
            "indexes_made_anew": sum(table.index_made_anew for table in tables),
            "lost": [str(lost) for lost in self.lost],
            "dropped": [str(dropped) for dropped in self.dropped],
            "failure": self.failure,
            "maintenance_error": str(self.maintenance_error) if self.maintenance_error else None,
            "since_opening": {name: getattr(counters, name) for name in Counters.__dataclass_fields__},
        }


def _remove(disk: Disk, name: str) -> None:
    """Best effort: what stays is removed at the next opening."""
    with suppress(OSError):
        disk.remove(name)
