"""The timeline of a rehearsal: its events, and the state of the fleet once a second."""

from __future__ import annotations

from typing import Any

NO_FAULT = -1


class Timeline:
    """Rows in the order of their time.  Their keys are part of a result."""

    def __init__(self) -> None:
        self.rows: list[dict[str, Any]] = []

    def record(
        self, now: float, event: str, kind: str, names: list[str], fault_index: int = NO_FAULT
    ) -> None:
        """Add an event at `now` (ms) that affected `names`.

        `fault_index` is the position of a fault in the script.
        """
        row: dict[str, Any] = {"at_ms": round(now, 3), "event": event, "kind": kind, "names": names}
        if fault_index != NO_FAULT:
            row["trouble"] = fault_index
        self.rows.append(row)
