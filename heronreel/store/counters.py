"""Activity counters of an open store, shared by its components."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Counters:
    """Activity of a store since it was opened."""

    groups: int = 0
    operations: int = 0
    payload_bytes: int = 0  # Encoded operations.
    log_bytes: int = 0  # Bytes written to the log.
    flushed_bytes: int = 0  # SSTables written by flushes.
    compacted_bytes: int = 0  # SSTables written by compactions.
    syncs: int = 0
    compactions: int = 0
    stalls: int = 0  # Writes that waited for the flush of a memtable.
    longest_step_ms: float = 0.0  # Longest step of a flush or compaction, with its fsyncs.

    def as_json(self) -> dict[str, int | float]:
        """Return the counters under the keys that `Store.stat` reports."""
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
