"""The current view of the store, which reads use, and its memtable, which writes extend."""

from __future__ import annotations

import threading
from collections.abc import Iterable

from heronreel.store.operations import Operation
from heronreel.store.snapshot import ReadView
from heronreel.store.sstable import SortedRun

RECORD_MEMORY_BYTES = 200  # Memory overhead of a memtable record beyond its key and value.


class CurrentView:
    """Holds the current `ReadView`.

    Changes replace the whole view, except that writes add records to its memtable in place.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._view = ReadView({}, {}, ())
        self._shared = False  # Whether a snapshot uses the current memtable.
        self._memtable_bytes = 0

    @property
    def view(self) -> ReadView:
        """The view that a read uses now; later writes may add records to its memtable."""
        return self._view

    @property
    def memtable_bytes(self) -> int:
        """The approximate memory use of the memtable."""
        return self._memtable_bytes

    def load(self, view: ReadView) -> None:
        """Install the view that was loaded from the disk."""
        with self._lock:
            self._view = view
            self._shared = False

    def share(self) -> ReadView:
        """Return the current view and protect it from later writes, which copy the memtable first."""
        with self._lock:
            self._shared = True
            return self._view

    def apply(self, operations: Iterable[Operation]) -> None:
        """Apply operations to the memtable; copy it first if a snapshot shares it."""
        with self._lock:
            view = self._view
            if self._shared:
                self._view = view = ReadView(dict(view.memtable), view.frozen, view.runs)
                self._shared = False
            memtable, growth_bytes = view.memtable, 0
            for key, value in operations:
                if key in memtable:
                    growth_bytes += len(value or b"") - len(memtable[key] or b"")
                else:
                    growth_bytes += RECORD_MEMORY_BYTES + len(key) + len(value or b"")
                memtable[key] = value
            self._memtable_bytes += growth_bytes

    def freeze_memtable(self) -> None:
        """Freeze the memtable, so that it can be flushed, and start an empty one."""
        with self._lock:
            view = self._view
            self._view = ReadView({}, view.memtable, view.runs)
            self._shared = False
            self._memtable_bytes = 0

    def replace_frozen(self, run: SortedRun | None) -> None:
        """Replace the frozen memtable by the run that it was flushed to, or by none if it was empty."""
        with self._lock:
            view = self._view
            self._view = ReadView(view.memtable, {}, (*view.runs, run) if run else view.runs)

    def replace_runs(self, runs: tuple[SortedRun, ...]) -> None:
        """Replace the runs after a compaction."""
        with self._lock:
            view = self._view
            self._view = ReadView(view.memtable, view.frozen, runs)
