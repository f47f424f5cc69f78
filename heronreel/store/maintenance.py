"""Flushes and compactions, done in small steps that the writes themselves pay for."""

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

WRITE_COST_BYTES = 64  # that a write earns for maintenance beside its payload
SMALL_RUN_MEMTABLES = 4  # runs below so many memtables wait for others before they are merged
SAVED_STEPS = 4  # of maintenance, that small writes save up at most


class FrozenEnd(NamedTuple):
    """Where the log of the frozen memtable ends."""

    last_sequence: int  # the last group in it
    next_segment: int  # the first segment behind it


class Maintenance:
    """The flush and the compaction under way.

    `lock` guards them and the manifest; a method whose description begins with "while locked" needs it held.
    """

    def __init__(
        self,
        disk: Disk,
        limits: Limits,
        health: Health,
        counters: Counters,
        current: CurrentView,
        manifests: ManifestFile,
    ) -> None:
        self.lock = threading.Lock()
        self.closed = False
        self.manifests = manifests
        self._disk = disk
        self._limits = limits
        self._health = health
        self._counters = counters
        self._current = current
        self._credit = 0  # bytes of work that writes have paid for
        self._flush: Iterator[int] | None = None
        self._compaction: Iterator[int] | None = None
        self._unreferenced = UnreferencedTables()
        self._frozen_end = FrozenEnd(0, 0)

    # -- steps

    def run(self, budget: int) -> int:
        """Flush and compact what is due, up to `budget` bytes; returns the bytes done."""
        done = 0
        while done < budget:
            with self.lock:
                step = self.step()
            if not step:
                break
            done += step
        return done

    def pay_for(self, written: int) -> None:
        """Do the maintenance that a write of `written` bytes pays for.

        It pays for its own bytes at most, or large writes would outrun the compactions; small ones save up
        for a step.
        """
        step_bytes = self._limits.step_bytes
        earned = (written + WRITE_COST_BYTES) * self._limits.compaction_ratio
        self._credit = min(self._credit + earned, max(earned, SAVED_STEPS * step_bytes))
        if self._credit < step_bytes or not self.lock.acquire(blocking=False):
            return
        try:
            while self._credit >= step_bytes and not self.closed:
                done = self.step()
                if not done:
                    self._credit = 0
                    break
                self._credit -= max(done, step_bytes)
        finally:
            self.lock.release()

    def step(self) -> int:
        """While locked: one step of the flush or else of the compaction under way.

        Returns:
            The bytes done, at least 1; 0 if there was nothing to do or the step failed.
        """
        if not self._health.is_sound:
            return 0
        began = time.perf_counter()
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
            elapsed_ms = (time.perf_counter() - began) * 1000
            self._counters.longest_step_ms = max(self._counters.longest_step_ms, elapsed_ms)

    def _next_step(self) -> int | None:
        """The bytes of the step, 0 where it was the last of its task; None if nothing is due."""
        if self._flush is not None or self._current.view.frozen:
            if self._flush is None:
                self._start_flush()  # it failed before
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
        """While locked: give up what is being written; nothing refers to it, and its space is needed."""
        self._flush = self._compaction = None
        numbers = self._unreferenced.abandon()
        if self._health.failure is None:  # else a manifest that names them may be on the disk
            for number in numbers:
                remove_table(self._disk, number)

    def raise_failure(self) -> NoReturn:
        """Raise why the last step failed.

        Raises:
            WriteFailedError: The disk failed.
            CorruptionError: Damage was found.
        """
        self._health.check()
        error = self._health.maintenance_error
        raise WriteFailedError(f"flushing failed: {error}", final=False) from error

    def record_damage(self) -> None:
        """While locked: have the manifest remember what is lost, for the next opening."""
        with suppress(OSError, StoreError):  # whoever reads it next finds it again
            self.manifests.record_damage(self._health.lost)

    # -- flushing

    def freeze_memtable(self, end: FrozenEnd) -> None:
        """While locked: put the memtable aside to be flushed; a new segment has been started."""
        self._current.freeze_memtable()
        self._frozen_end = end
        self._start_flush()

    def finish_flush(self) -> None:
        """While locked: steps until nothing is frozen, or until flushing fails or writes have ended."""
        while self._current.view.frozen and self.step():
            pass

    def flush_recovered(self, memtable: Memtable, end: FrozenEnd) -> None:
        """Flush what recovery found in the log.

        Raises:
            OSError: The disk fails.
        """
        for _ in self._flush_steps(memtable, self.manifests.current.next_sequence, end):
            pass

    def _start_flush(self) -> None:
        frozen, first = self._current.view.frozen, self.manifests.current.next_sequence
        self._flush = self._flush_steps(frozen, first, self._frozen_end)

    def _flush_steps(self, frozen: Memtable, first_sequence: int, end: FrozenEnd) -> Iterator[int]:
        """Write the frozen memtable as the newest run; the log before it is not needed any more then."""
        run: SortedRun | None = None
        if frozen:
            writer = self._run_writer(first_sequence, end.last_sequence, self._count_flushed)
            records = ((key, frozen[key]) for key in sorted(frozen))
            yield from writer.write(records, keep_deletions=bool(self._current.view.runs))
            run = writer.run
        yield 1
        manifest = self.manifests.current
        runs = [*manifest.runs, *([RunEntry.of(run.info)] if run else [])]
        next_sequence = end.last_sequence + 1
        self.manifests.install(
            replace(manifest, first_segment=end.next_segment, next_sequence=next_sequence, runs=runs)
        )
        if run:
            self._unreferenced.remove_run(run)
        self._current.replace_frozen(run)
        self.remove_segments(end.next_segment)

    def remove_segments(self, first: int) -> None:
        """Remove the segments before `first`, which the manifest names as the log's first."""
        for number in file_numbers(self._disk.list_names(), SEGMENT_SUFFIX):
            if number < first:
                remove_file(self._disk, segment_name(number))

    # -- compaction

    def compact_all(self, progress: Progress | None) -> None:
        """Merge all runs into one without what is out of date, after any compaction under way.

        Raises:
            WriteFailedError: The disk fails; the store is as before then.
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
                    if (
                        self._health.maintenance_error
                    ):  # another thread's step failed, and abandoned this task
                        self.raise_failure()
                    return
                if not (step := self.step()):
                    self.raise_failure()
            done += step
            if progress:
                progress(min(done, total), total)

    def _start_full_compaction(self) -> Iterator[int] | None:
        """Start merging all runs, once no other compaction is under way; None if there is no need."""
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
        """Start the compaction that the policy asks for, if any."""
        runs = self._current.view.runs
        weights = [RunWeight(run.info.size, run.info.entries, run.info.deletions) for run in runs]
        first = oldest_run_to_compact(weights, SMALL_RUN_MEMTABLES * self._limits.memtable_bytes)
        if first is None:
            return False
        self._compaction = self._compaction_steps(runs[first:], oldest=first == 0)
        return True

    def _compaction_steps(self, merged: tuple[SortedRun, ...], oldest: bool) -> Iterator[int]:
        """Write neighbouring runs as one; their files are not needed any more then."""
        first, last = merged[0].info.first_sequence, merged[-1].info.last_sequence
        writer = self._run_writer(first, last, self._count_compacted)
        records = merge_records([run.records() for run in reversed(merged)])
        yield from writer.write(records, keep_deletions=not oldest)
        yield 1
        runs = _replace_runs(self._current.view.runs, merged, writer.run)
        self.manifests.install(replace(self.manifests.current, runs=[RunEntry.of(run.info) for run in runs]))
        if writer.run:
            self._unreferenced.remove_run(writer.run)
        self._current.replace_runs(runs)
        self._counters.compactions += 1
        for run in merged:
            for part in run.info.parts:
                remove_table(self._disk, part.number)

    def _run_writer(self, first: int, last: int, on_table: Callable[[int], None]) -> RunWriter:
        return RunWriter(
            self._disk, self._limits, self.manifests, self._unreferenced, (first, last), on_table
        )

    def _count_flushed(self, size: int) -> None:
        self._counters.flushed_bytes += size

    def _count_compacted(self, size: int) -> None:
        self._counters.compacted_bytes += size


def _replace_runs(
    runs: tuple[SortedRun, ...], merged: tuple[SortedRun, ...], result: SortedRun | None
) -> tuple[SortedRun, ...]:
    """`runs` with the stretch `merged` replaced by its result, if any record is left."""
    start = runs.index(merged[0])
    end = start + len(merged)
    assert runs[start:end] == merged
    return (*runs[:start], *([result] if result else []), *runs[end:])
