"""The view that reads see now, and the memtable in it that writes grow."""

from __future__ import annotations

import threading
from collections.abc import Iterable

from heronreel.store.operations import Operation
from heronreel.store.snapshot import ReadView
from heronreel.store.sstable import SortedRun

RECORD_MEMORY_BYTES = 200  # that a record takes in the memtable beside its key and value


class CurrentView:
    """Holds the current `ReadView`, replaced as a whole but for its memtable, which grows in place."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._view = ReadView({}, {}, ())
        self._shared = False  # a snapshot has the memtable
        self._memtable_bytes = 0

    @property
    def view(self) -> ReadView:
        """What a read of this moment sees; its memtable may grow."""
        return self._view

    @property
    def memtable_bytes(self) -> int:
        """Memory that the memtable takes, about."""
        return self._memtable_bytes

    def load(self, view: ReadView) -> None:
        """Begin with what the disk holds."""
        with self._lock:
            self._view = view
            self._shared = False

    def share(self) -> ReadView:
        """The current view, which no later write changes."""
        with self._lock:
            self._shared = True
            return self._view

    def apply(self, operations: Iterable[Operation]) -> None:
        """Put operations into the memtable; a shared one is copied first."""
        with self._lock:
            view = self._view
            if self._shared:
                self._view = view = ReadView(dict(view.memtable), view.frozen, view.runs)
                self._shared = False
            memtable, grown = view.memtable, 0
            for key, value in operations:
                if key in memtable:
                    grown += len(value or b"") - len(memtable[key] or b"")
                else:
                    grown += RECORD_MEMORY_BYTES + len(key) + len(value or b"")
                memtable[key] = value
            self._memtable_bytes += grown

    def freeze_memtable(self) -> None:
        """Put the memtable aside to be flushed, and begin an empty one."""
        with self._lock:
            view = self._view
            self._view = ReadView({}, view.memtable, view.runs)
            self._shared = False
            self._memtable_bytes = 0

    def replace_frozen(self, run: SortedRun | None) -> None:
        """The frozen memtable was flushed to a run, or was empty."""
        with self._lock:
            view = self._view
            self._view = ReadView(view.memtable, {}, (*view.runs, run) if run else view.runs)

    def replace_runs(self, runs: tuple[SortedRun, ...]) -> None:
        """Runs were merged."""
        with self._lock:
            view = self._view
            self._view = ReadView(view.memtable, view.frozen, runs)
