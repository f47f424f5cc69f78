"""Incremental flushes and compactions, whose steps are run by writes in proportion to their size."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from typing import NamedTuple, NoReturn

from msgspec.structs import replace

from heronreel.store.compaction_policy import RunWeight, oldest_run_to_compact
from heronreel.store.counters import Counters
from heronreel.store.current_view import CurrentView
from heronreel.store.disk import Disk
from heronreel.store.errors import CorruptionError, StoreError, WriteFailedError
from heronreel.store.health import Health
from heronreel.store.limits import Limits
from heronreel.store.log_format import SEGMENT_SUFFIX, file_numbers, segment_name
from heronreel.store.manifest import RunEntry
from heronreel.store.manifest_file import ManifestFile
from heronreel.store.merge import merge_records
from heronreel.store.operations import Memtable
from heronreel.store.progress import Progress
from heronreel.store.run_writer import RunWriter, UnreferencedTables, remove_file, remove_table
from heronreel.store.sstable import SortedRun

WRITE_OVERHEAD_BYTES = 64  # Maintenance credit of a write in addition to its payload.
SMALL_RUN_MEMTABLES = 4  # Runs smaller than this many memtables are merged only together with others.
MAX_SAVED_STEPS = 4  # Maximum credit that small writes accumulate, in steps.


class FrozenEnd(NamedTuple):
    """The end of the log of the frozen memtable."""

    last_sequence: int  # The last group in the memtable.
    next_segment: int  # The first segment after its log.


class Maintenance:
    """Runs the current flush and the current compaction.

    `lock` guards them and the manifest. The caller of a method whose description begins with "while locked"
    must hold it.
    """

    def __init__(
        self,
        disk: Disk,
        limits: Limits,
        health: Health,
        counters: Counters,
        current: CurrentView,
        manifest_file: ManifestFile,
    ) -> None:
        self.lock = threading.Lock()
        self.closed = False
        self.manifest_file = manifest_file
        self._disk = disk
        self._limits = limits
        self._health = health
        self._counters = counters
        self._current = current
        self._credit_bytes = 0  # Bytes of maintenance work that earlier writes have earned.
        self._flush: Iterator[int] | None = None
        self._compaction: Iterator[int] | None = None
        self._unreferenced = UnreferencedTables()
        self._frozen_end = FrozenEnd(0, 0)

    # -- steps

    def run(self, budget: int) -> int:
        """Run due flushes and compactions, up to `budget` bytes; return the bytes processed."""
        done = 0
        while done < budget:
            with self.lock:
                step = self.step()
            if not step:
                break
            done += step
        return done

    def run_for_write(self, written: int) -> None:
        """Run the maintenance that is due after a write of `written` bytes.

        The work is proportional to the size of the write, so that large writes do not outrun the compactions.
        Small writes accumulate credit until it suffices for a step.
        """
        step_bytes = self._limits.step_bytes
        earned = (written + WRITE_OVERHEAD_BYTES) * self._limits.compaction_ratio
        self._credit_bytes = min(self._credit_bytes + earned, max(earned, MAX_SAVED_STEPS * step_bytes))
        if self._credit_bytes < step_bytes or not self.lock.acquire(blocking=False):
            return
        try:
            while self._credit_bytes >= step_bytes and not self.closed:
                done = self.step()
                if not done:
                    self._credit_bytes = 0
                    break
                self._credit_bytes -= max(done, step_bytes)
        finally:
            self.lock.release()

    def step(self) -> int:
        """While locked: run one step of the current flush, or else of the current compaction.

        Returns:
            The bytes processed, at least 1; 0 if no work was due or the step failed.
        """
        if not self._health.is_sound:
            return 0
        started_at = time.perf_counter()
        try:
            done = self._next_step()
            if done is None:
                return 0
            self._health.maintenance_error = None
            return done or 1
        except OSError as error:
            self._health.maintenance_error = error
            self.abandon()
            return 0
        except CorruptionError as corruption:
            self.abandon()
            self._health.add_lost(corruption.lost)
            self.record_damage()
            return 0
        finally:
            elapsed_ms = (time.perf_counter() - started_at) * 1000
            self._counters.longest_step_ms = max(self._counters.longest_step_ms, elapsed_ms)

    def _next_step(self) -> int | None:
        """Run a step; return its bytes, 0 if its task is finished, or None if no work is due."""
        if self._flush is not None or self._current.view.frozen:
            if self._flush is None:
                self._start_flush()  # The previous attempt failed.
            assert self._flush
            done = next(self._flush, 0)
            if not done:
                self._flush = None
            return done
        if self._compaction is not None or self._start_due_compaction():
            assert self._compaction
            done = next(self._compaction, 0)
            if not done:
                self._compaction = None
            return done
        return None

    def abandon(self) -> None:
        """While locked: abandon the current tasks and remove their tables, to which no manifest refers.

        This frees disk space, which may be exhausted.
        """
        self._flush = self._compaction = None
        numbers = self._unreferenced.abandon()
        if self._health.failure is None:  # Else a manifest on the disk may refer to them.
            for number in numbers:
                remove_table(self._disk, number)

    def raise_failure(self) -> NoReturn:
        """Raise the error of the last step, which failed.

        Raises:
            WriteFailedError: The disk failed.
            CorruptionError: Damage was found.
        """
        self._health.check()
        error = self._health.maintenance_error
        raise WriteFailedError(f"flushing failed: {error}", final=False) from error

    def record_damage(self) -> None:
        """While locked: record the known losses in the manifest, for the next opening."""
        with suppress(OSError, StoreError):  # The next read of the damaged data will detect it again.
            self.manifest_file.record_damage(self._health.lost)

    # -- flushing

    def freeze_memtable(self, end: FrozenEnd) -> None:
        """While locked: freeze the memtable and start its flush, after a new segment was started."""
        self._current.freeze_memtable()
        self._frozen_end = end
        self._start_flush()

    def finish_flush(self) -> None:
        """While locked: run steps until no memtable is frozen, a step fails, or the store rejects writes."""
        while self._current.view.frozen and self.step():
            pass

    def flush_recovered(self, memtable: Memtable, end: FrozenEnd) -> None:
        """Flush the records that recovery read from the log.

        Raises:
            OSError: The disk fails.
        """
        for _ in self._flush_steps(memtable, self.manifest_file.current.next_sequence, end):
            pass

    def _start_flush(self) -> None:
        frozen, first = self._current.view.frozen, self.manifest_file.current.next_sequence
        self._flush = self._flush_steps(frozen, first, self._frozen_end)

    def _flush_steps(self, frozen: Memtable, first_sequence: int, end: FrozenEnd) -> Iterator[int]:
        """Write the frozen memtable as the newest run, and remove the log segments that it replaces."""
        run: SortedRun | None = None
        if frozen:
            writer = self._run_writer(first_sequence, end.last_sequence, self._count_flushed)
            records = ((key, frozen[key]) for key in sorted(frozen))
            yield from writer.write(records, keep_deletions=bool(self._current.view.runs))
            run = writer.run
        yield 1
        manifest = self.manifest_file.current
        runs = [*manifest.runs, *([RunEntry.of(run.info)] if run else [])]
        next_sequence = end.last_sequence + 1
        self.manifest_file.install(
            replace(manifest, first_segment=end.next_segment, next_sequence=next_sequence, runs=runs)
        )
        if run:
            self._unreferenced.mark_run_referenced(run)
        self._current.replace_frozen(run)
        self.remove_segments(end.next_segment)

    def remove_segments(self, first: int) -> None:
        """Remove all segments before `first`, the log's first segment according to the manifest."""
        for number in file_numbers(self._disk.list_names(), SEGMENT_SUFFIX):
            if number < first:
                remove_file(self._disk, segment_name(number))

    # -- compaction

    def compact_all(self, progress: Progress | None) -> None:
        """Merge all runs into one without obsolete records, once the current compaction has finished.

        Raises:
            WriteFailedError: The disk failed; the store is unchanged.
            CorruptionError: Damage was found.
        """
        task = self._start_full_compaction()
        if task is None:
            return
        total = sum(run.info.size for run in self._current.view.runs)
        done = 0
        while True:
            with self.lock:
                if self._compaction is not task:
                    # A step of another thread has finished this task, or has failed and abandoned it.
                    if self._health.maintenance_error:
                        self.raise_failure()
                    return
                if not (step := self.step()):
                    self.raise_failure()
            done += step
            if progress:
                progress(min(done, total), total)

    def _start_full_compaction(self) -> Iterator[int] | None:
        """Start to merge all runs once no other compaction is running; return None if there is no need."""
        while True:
            with self.lock:
                if self._compaction is None:
                    runs = self._current.view.runs
                    if runs and (len(runs) > 1 or runs[0].info.deletions):
                        self._compaction = self._compaction_steps(runs, oldest=True)
                    return self._compaction
                if not self.step():
                    self.raise_failure()

    def _start_due_compaction(self) -> bool:
        """Start the compaction that the policy requests; return whether there is one."""
        runs = self._current.view.runs
        weights = [RunWeight(run.info.size, run.info.entries, run.info.deletions) for run in runs]
        first = oldest_run_to_compact(weights, SMALL_RUN_MEMTABLES * self._limits.memtable_bytes)
        if first is None:
            return False
        self._compaction = self._compaction_steps(runs[first:], oldest=first == 0)
        return True

    def _compaction_steps(self, merged: tuple[SortedRun, ...], oldest: bool) -> Iterator[int]:
        """Write adjacent runs as one run, and remove their files."""
        first, last = merged[0].info.first_sequence, merged[-1].info.last_sequence
        writer = self._run_writer(first, last, self._count_compacted)
        records = merge_records([run.records() for run in reversed(merged)])
        yield from writer.write(records, keep_deletions=not oldest)
        yield 1
        runs = _replace_runs(self._current.view.runs, merged, writer.run)
        self.manifest_file.install(
            replace(self.manifest_file.current, runs=[RunEntry.of(run.info) for run in runs])
        )
        if writer.run:
            self._unreferenced.mark_run_referenced(writer.run)
        self._current.replace_runs(runs)
        self._counters.compactions += 1
        for run in merged:
            for part in run.info.parts:
                remove_table(self._disk, part.number)

    def _run_writer(self, first: int, last: int, on_table_finished: Callable[[int], None]) -> RunWriter:
        return RunWriter(
            self._disk, self._limits, self.manifest_file, self._unreferenced, (first, last), on_table_finished
        )

    def _count_flushed(self, size: int) -> None:
        self._counters.flushed_bytes += size

    def _count_compacted(self, size: int) -> None:
        self._counters.compacted_bytes += size


def _replace_runs(
    runs: tuple[SortedRun, ...], merged: tuple[SortedRun, ...], result: SortedRun | None
) -> tuple[SortedRun, ...]:
    """Return `runs` with the adjacent runs `merged` replaced by their result, if it has any records."""
    start = runs.index(merged[0])
    end = start + len(merged)
    assert runs[start:end] == merged
    return (*runs[:start], *([result] if result else []), *runs[end:])
