"""The read-write implementation of a store: recovery at opening, commits, flushes and compactions."""

from __future__ import annotations

import secrets
import time

from msgspec.structs import replace

from heronreel.store.counters import Counters
from heronreel.store.current_view import CurrentView
from heronreel.store.disk import Disk, LockFile
from heronreel.store.errors import CorruptionError, StoreError, StoreLockedError, WriteFailedError
from heronreel.store.group_commit import CommitQueue, PendingWrite
from heronreel.store.health import Health
from heronreel.store.limits import Limits
from heronreel.store.log_format import file_numbers
from heronreel.store.log_reader import DroppedTail, LogState
from heronreel.store.maintenance import FrozenEnd, Maintenance
from heronreel.store.manifest import NEW_MANIFEST_NAME, Manifest
from heronreel.store.manifest_file import ManifestFile
from heronreel.store.operations import Operation, encode_operations
from heronreel.store.progress import Progress
from heronreel.store.recovery import Contents, read_contents, read_manifest
from heronreel.store.run_writer import remove_file
from heronreel.store.snapshot import ReadView
from heronreel.store.sstable_format import INDEX_SUFFIX, TABLE_SUFFIX
from heronreel.store.write_ahead_log import WriteAheadLog

_LOCK_ATTEMPTS = 10
_LOCK_RETRY_S = 0.005


class StoreWriter:
    """The only writer of a store.

    A group of writes is appended to the write-ahead log with one fsync, and then applied to the memtable.  A
    full memtable is flushed to a sorted run.  A write needs leadership of the commit queue; flushes,
    compactions and changes of the manifest need the maintenance lock.
    """

    def __init__(
        self, disk: Disk, limits: Limits, health: Health, counters: Counters, current: CurrentView
    ) -> None:
        """Open the store in the disk's directory for writing, or create one.

        Raises:
            StoreLockedError: Another writer has the store open.
            UnknownFormatError: The directory has a newer format or is not a store.
            CorruptionError: Acknowledged records are lost.
            OSError: The disk fails.
        """
        self._disk = disk
        self._limits = limits
        self._health = health
        self._counters = counters
        self._current = current
        self._queue = CommitQueue(self._write_group, limits.group_bytes)
        if disk.exists():
            read_manifest(disk)  # Raise before a lock file is created in a directory with a newer format.
        else:
            disk.make_directory()
        self._lock = _acquire_lock(disk)
        try:
            self._lock.publish(b"")
            self._recover()
        except BaseException:
            self._lock.release()
            raise

    # -- recovery

    def _recover(self) -> None:
        disk = self._disk
        manifest = read_manifest(disk)
        if manifest is None:
            manifest = Manifest.initial(secrets.token_hex(16))
            contents = Contents([], {}, LogState(manifest.next_sequence), [])
        else:
            contents = read_contents(disk, manifest)
            if contents.lost:
                raise CorruptionError(tuple(contents.lost))
        self.dropped: tuple[DroppedTail, ...] = tuple(contents.log.dropped)
        self._current.load(ReadView({}, contents.memtable, tuple(contents.runs)))
        manifest_file = ManifestFile(disk, manifest, self._health, self._counters)
        self._maintenance = Maintenance(
            disk, self._limits, self._health, self._counters, self._current, manifest_file
        )
        self._log = WriteAheadLog(
            disk, self._lock, manifest.store_id, self._limits, self._health, self._counters,
            last_segment=contents.log.last_number, next_sequence=contents.log.next_sequence,
        )  # fmt: skip
        # Before any read is served, the groups of the log are flushed to a run and a new segment is started.
        # The pages that were just read may only be in the page cache: a crash could still lose them, and
        # after a failed fsync a later successful one does not prove that they are durable.  Besides, nothing
        # may be appended after a torn end.
        # If the log has no groups, nothing needs to be flushed, and the first write starts the segment.
        if manifest.generation == 0 or contents.log.groups:
            self._log.start_segment(recovery=True)
            end = FrozenEnd(self._log.next_sequence - 1, self._log.segment_number)
            self._maintenance.flush_recovered(contents.memtable, end)
        self._remove_unnamed_files()

    def _remove_unnamed_files(self) -> None:
        """Remove the files that the manifest does not name; only at opening, when no other work is running.

        Files that can't be removed are left for the next opening.
        """
        manifest = self.manifest
        named = {part.number for run in manifest.runs for part in run.parts}
        names = self._disk.list_names()
        for suffix in (TABLE_SUFFIX, INDEX_SUFFIX):
            for number in file_numbers(names, suffix):
                if number not in named:
                    remove_file(self._disk, f"{number:08}.{suffix}")
        if NEW_MANIFEST_NAME in names:
            remove_file(self._disk, NEW_MANIFEST_NAME)
        self._maintenance.remove_segments(manifest.first_segment)

    # -- state

    @property
    def manifest(self) -> Manifest:
        """The current manifest."""
        return self._maintenance.manifest_file.current

    @property
    def next_sequence(self) -> int:
        """The sequence of the next group."""
        return self._log.next_sequence

    @property
    def log_bytes(self) -> int:
        """Bytes of the log that are not yet in sorted runs."""
        return self._log.size

    # -- writing

    def write(self, batches: list[list[Operation]]) -> None:
        """Write batches that share an fsync, each of them atomically; raises as `Store.put` does."""
        operations = [operation for batch in batches for operation in batch]
        write = PendingWrite(encode_operations(operations), operations)
        if self._queue.submit(write):
            self._maintenance.run_for_write(len(write.payload))

    def sync(self) -> None:
        """Mark the end of the log; raises as `Store.sync` does."""
        self._queue.pause()
        try:
            self._health.check()
            try:
                self._write_mark()
            except OSError as error:
                self._log.fail_segment()
                raise self._log_failed(error) from error
        finally:
            self._queue.resume()

    def _write_group(self, group: list[PendingWrite]) -> None:
        self._health.check()
        payload = b"".join([write.payload for write in group])
        limits = self._limits
        if self._current.memtable_bytes >= limits.memtable_bytes or self._log.size >= limits.log_bytes:
            self._freeze_full_memtable()
        try:
            self._append(payload)
            self._apply(group)
        except WriteFailedError:
            raise
        except BaseException as error:  # After an interrupt it is unknown how far the write got.
            self._health.fail(f"a write was interrupted: {error!r}")
            raise
        self._counters.groups += 1
        self._counters.operations += sum(len(write.operations) for write in group)
        self._counters.payload_bytes += len(payload)

    def _append(self, payload: bytes) -> None:
        """Append one group to the log and sync it.

        Raises:
            WriteFailedError: The disk failed; the group is not part of the log.
        """
        try:
            if self._log.is_started:
                self._log.roll_segment()
            else:
                self._start_log()
            self._log.append_group(payload)
        except OSError as error:
            self._log.fail_segment()
            raise self._log_failed(error) from error
        try:
            self._log.sync()
        except OSError as error:
            raise WriteFailedError(f"the log: {error}", final=True) from error
        self._log.next_sequence += 1

    def _apply(self, group: list[PendingWrite]) -> None:
        self._current.apply(operation for write in group for operation in write.operations)

    def _write_mark(self) -> None:
        if self._log.is_started:
            self._log.roll_failed_segment()
        else:
            self._start_log()
        self._log.append_mark()
        self._log.sync()

    def _start_log(self) -> None:
        """Start the log at the first write after an opening that found no groups in it."""
        with self._maintenance.lock:
            self._log.start_segment(recovery=True)
            first_segment = self._log.segment_number
            try:
                self._maintenance.manifest_file.install(replace(self.manifest, first_segment=first_segment))
            except OSError:
                self._log.discard_segment()
                raise
            self._maintenance.remove_segments(first_segment)

    def _log_failed(self, error: OSError) -> WriteFailedError:
        return WriteFailedError(f"the log: {error}", final=self._health.failure is not None)

    # -- flushing

    def _freeze_full_memtable(self) -> None:
        """Freeze the full memtable for its flush, and continue the log in a new segment.

        Raises:
            WriteFailedError: The previous frozen memtable can't be flushed. The write fails because memory
                use is bounded even if the disk fails.
        """
        if self._current.view.frozen:
            self._counters.stalls += 1
            with self._maintenance.lock:
                self._maintenance.finish_flush()
                if self._current.view.frozen:
                    error = self._health.maintenance_error
                    why = f"the memtable is full, and flushing failed: {error}"
                    raise WriteFailedError(why, final=False)
        self._health.check()
        try:
            self._log.start_segment()
        except OSError as error:
            raise self._log_failed(error) from error
        with self._maintenance.lock:
            self._freeze_memtable()

    def _freeze_memtable(self) -> None:
        """Freeze the memtable after a new segment was started; the caller holds the maintenance lock."""
        self._log.exclude_flushed_segments()
        end = FrozenEnd(self._log.next_sequence - 1, self._log.segment_number)
        self._maintenance.freeze_memtable(end)

    def _flush_all(self) -> None:
        """Flush both memtables; the caller holds the maintenance lock, and no write is in progress."""
        self._flush_frozen()
        if self._current.view.memtable:
            self._log.start_segment()
            self._freeze_memtable()
            self._flush_frozen()

    def _flush_frozen(self) -> None:
        self._maintenance.finish_flush()
        if self._current.view.frozen:
            self._maintenance.raise_failure()

    # -- maintenance

    def maintain(self, budget: int) -> int:
        """Run due flushes and compactions, up to `budget` bytes; return the bytes processed."""
        return self._maintenance.run(budget)

    def compact(self, progress: Progress | None) -> None:
        """Rewrite the store as one run; raises as `Store.compact` does."""
        self._queue.pause()
        try:
            with self._maintenance.lock:
                self._flush_all()
        finally:
            self._queue.resume()
        self._maintenance.compact_all(progress)

    def record_damage(self) -> None:
        """Record the known losses in the manifest.

        If the maintenance lock is held, its holder does this in its next step instead.  The holder may be the
        caller itself, if a compaction found the damage.
        """
        if self._maintenance.lock.acquire(blocking=False):
            try:
                self._maintenance.record_damage()
            finally:
                self._maintenance.lock.release()

    # -- closing

    def close(self) -> None:
        """Finish all writes, flush the memtable, and release the lock."""
        self._queue.close()
        self._maintenance.closed = True
        self._queue.pause()
        with self._maintenance.lock:
            try:
                if self._health.is_sound:
                    self._flush_or_mark()
            except (OSError, StoreError):
                pass  # All acknowledged writes are in the log.
            finally:
                self._maintenance.abandon()
                self._log.close()
                self._lock.release()
                self._queue.resume()

    def _flush_or_mark(self) -> None:
        try:
            self._flush_all()
        except (OSError, StoreError):
            self._write_mark()


def _acquire_lock(disk: Disk) -> LockFile:
    # A reader that checks for a live writer holds the lock for a moment, so the writer retries.
    for attempt in range(_LOCK_ATTEMPTS):
        if attempt:
            time.sleep(_LOCK_RETRY_S)
        if lock := disk.acquire_lock():
            return lock
    raise StoreLockedError("another writer has the store open")
