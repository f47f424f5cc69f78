"""Writes rehearsal scripts as TOML, and creates scripts from incident records.

An incident record is in JSON lines.  A line may have the fields of a fault, such as `{"at_s": 12.0, "what":
"slow", "names": ["n7"], "for_s": 9.0, "size": 4.0}`.  A line with `"event"` comes from the timeline of a
rehearsal; it allows a replay of randomly chosen targets by name.  Lines with neither are skipped and counted.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec
import tomli_w

from heronreel.emulator import model
from heronreel.emulator.model import Fault, Rehearsal
from heronreel.experiments.errors import InvalidIncidentError

SCRIPT_VERSION = 1
MAX_LINES = 100_000
MAX_NAME_LENGTH = 200
# Time that is played after the last fault of an incident ends.
QUIET_END_S = 5.0
FAULT_FIELDS = {field.encode_name for field in msgspec.structs.fields(Fault)}
LIST_TABLES: dict[str, type[msgspec.Struct]] = {
    "classes": model.RequestClass,
    "tenants": model.Tenant,
    "troubles": model.Fault,
}
ALWAYS_WRITTEN = ("name", "seconds")
# Fault kinds that keep their zone when they are replayed on named targets.
ZONE_FAULTS = ("zone_cut", "shift")


def script_to_toml(rehearsal: Rehearsal) -> str:
    """Return the script as TOML, without fields that have their default values."""
    defaults = msgspec.to_builtins(Rehearsal())
    script: dict[str, Any] = {"version": SCRIPT_VERSION}
    for name, value in msgspec.to_builtins(rehearsal).items():
        if name in LIST_TABLES:
            if value:
                script[name] = [_row_without_defaults(row, LIST_TABLES[name]) for row in value]
        elif name == "fleet":
            kinds = [_row_without_defaults(kind, model.NodeKind) for kind in value["kinds"]]
            script[name] = {key: field for key, field in value.items() if key != "kinds"} | {"kinds": kinds}
        elif value != defaults.get(name) or name in ALWAYS_WRITTEN:
            script[name] = _table_without_defaults(value, defaults.get(name))
    return tomli_w.dumps(script)


def _table_without_defaults(table: Any, defaults: Any) -> Any:
    if not isinstance(table, dict):
        return table
    return {
        key: list(value) if isinstance(value, tuple) else value
        for key, value in table.items()
        if value != (defaults or {}).get(key)
    }


def _row_without_defaults(row: dict[str, Any], row_type: type[msgspec.Struct]) -> dict[str, Any]:
    defaults: dict[str, Any] = {}
    for field in msgspec.structs.fields(row_type):
        if field.default_factory is not msgspec.NODEFAULT:
            defaults[field.encode_name] = field.default_factory()
        elif field.default is not msgspec.NODEFAULT:
            defaults[field.encode_name] = field.default
    return {key: value for key, value in row.items() if key not in defaults or defaults[key] != value}


class ReplayedIncident(NamedTuple):
    """The script that was created from an incident record, and the number of skipped lines."""

    script: Rehearsal
    skipped_lines: int


def script_from_incident(base: Rehearsal, data: bytes) -> ReplayedIncident:
    """Return the script `base` with its faults replaced by those of an incident record.

    Raises:
        InvalidIncidentError: A line cannot be parsed, there are too many lines, or no line has a fault.
    """
    lines = data.splitlines()
    if len(lines) > MAX_LINES:
        raise InvalidIncidentError(f"has {len(lines):,} lines; the limit is {MAX_LINES:,}")
    reader = _IncidentReader(base)
    for number, line in enumerate(lines, 1):
        if line.strip():
            reader.read_line(line, number)
    faults = reader.faults
    if not faults:
        raise InvalidIncidentError('contains no trouble: no line has "what" or "event"')
    last_end_s = max(fault.at_s + max(fault.for_s, fault.within_s) for fault in faults)
    script = msgspec.structs.replace(
        base,
        name=f"{base.name}, an incident replayed"[:MAX_NAME_LENGTH],
        seconds=max(base.seconds, last_end_s + QUIET_END_S),
        faults=tuple(faults),
    )
    return ReplayedIncident(script, reader.skipped_lines)


class _IncidentReader:
    """Collects the faults of an incident record line by line."""

    def __init__(self, base: Rehearsal) -> None:
        self.faults: list[Fault] = []
        self.skipped_lines = 0
        self._base = base
        # Maps the index of a fault in the base script to its index in `faults`.
        self._replayed_indices: dict[int, int] = {}

    def read_line(self, line: bytes, number: int) -> None:
        row = _decode_line(line, number)
        if row.get("event") in ("begins", "ends"):
            self._read_timeline_row(row, number)
        elif "what" in row:
            self.faults.append(_fault_from_row(row, number))
        else:
            self.skipped_lines += 1

    def _read_timeline_row(self, row: dict[str, Any], number: int) -> None:
        """Replay a fault of the base script with the targets and the duration that it had in the play."""
        index = row.get("trouble")
        if not isinstance(index, int) or not 0 <= index < len(self._base.faults):
            raise InvalidIncidentError(
                f"line {number}: trouble {index!r} does not exist in the script that it is replayed on"
            )
        if row["event"] == "begins":
            fault = _with_named_targets(self._base.faults[index], row.get("names", ()))
            self._replayed_indices[index] = len(self.faults)
            self.faults.append(msgspec.structs.replace(fault, at_s=row["at_ms"] / 1000.0))
        elif index in self._replayed_indices:
            started = self.faults[self._replayed_indices[index]]
            duration_s = round(row["at_ms"] / 1000.0 - started.at_s, 6)
            self.faults[self._replayed_indices[index]] = msgspec.structs.replace(started, for_s=duration_s)


def _decode_line(line: bytes, number: int) -> dict[str, Any]:
    try:
        row = msgspec.json.decode(line)
    except msgspec.DecodeError as error:
        raise InvalidIncidentError(f"line {number}: is not valid JSON: {error}") from None
    if not isinstance(row, dict):
        raise InvalidIncidentError(f"line {number}: expected an object")
    return row


def _fault_from_row(row: dict[str, Any], number: int) -> Fault:
    unknown = sorted(row.keys() - FAULT_FIELDS)
    if unknown:
        raise InvalidIncidentError(f"line {number}: a trouble has no such field: {', '.join(unknown)}")
    try:
        return msgspec.convert(row, Fault)
    except msgspec.ValidationError as error:
        raise InvalidIncidentError(f"line {number}: {error}") from None


def _with_named_targets(fault: Fault, targets: Iterable[str]) -> Fault:
    """Return the fault with these nodes and proxies as its only targets.

    The fault is returned unchanged if no name is that of a node or proxy.
    """
    names = [name for name in targets if name[:1] in "np" and name[1:].isdigit()]
    if not names:
        return fault
    return msgspec.structs.replace(
        fault,
        names=names,
        share=0.0,
        busiest=0,
        count=0,
        rack="",
        zone=fault.zone if fault.fault_kind in ZONE_FAULTS else "",
        node_kind="",
    )
