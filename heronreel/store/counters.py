"""Counters of what an open store did, shared by its parts."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Counters:
    """What a store did since it was opened."""

    groups: int = 0
    operations: int = 0
    payload_bytes: int = 0  # of the operations as encoded
    log_bytes: int = 0  # written to the log
    flushed_bytes: int = 0  # of SSTables written by flushes
    compacted_bytes: int = 0  # of SSTables written by compactions
    syncs: int = 0
    compactions: int = 0
    stalls: int = 0  # writes that waited for a memtable to be flushed
    longest_step_ms: float = 0.0  # of one step of a flush or compaction, its fsyncs included

    def as_json(self) -> dict[str, int | float]:
        """The counters under the names that `Store.stat` gives them."""
        return {
            "groups": self.groups,
            "operations": self.operations,
            "asked": self.payload_bytes,
            "logged": self.log_bytes,
            "flushed": self.flushed_bytes,
            "merged": self.compacted_bytes,
            "syncs": self.syncs,
            "merges": self.compactions,
            "stalls": self.stalls,
            "longest_step_ms": self.longest_step_ms,
        }
