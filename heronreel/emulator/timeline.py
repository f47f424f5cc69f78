"""The timeline of a play: what happened, and once a second the state of the fleet."""

from __future__ import annotations

from typing import Any

NO_FAULT = -1


class Timeline:
    """Rows in the order in which they happened.  Their keys are part of a result."""

    def __init__(self) -> None:
        self.rows: list[dict[str, Any]] = []

    def record(
        self, now: float, event: str, kind: str, names: list[str], fault_index: int = NO_FAULT
    ) -> None:
        """Something that happened at `now`, ms, to those named; with a fault, its place in the script."""
        row: dict[str, Any] = {"at_ms": round(now, 3), "event": event, "kind": kind, "names": names}
        if fault_index != NO_FAULT:
            row["trouble"] = fault_index
        self.rows.append(row)
