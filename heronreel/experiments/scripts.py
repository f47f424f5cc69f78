"""Scripts written anew: of a record, of an incident.

An incident is JSON lines, each with the fields of a trouble, such as `{"at_s": 12.0, "what": "slow",
"names": ["n7"], "for_s": 9.0, "size": 4.0}`; a line with `"event"` is one of a rehearsal's own timeline, so
what a play drew by share or chance can be replayed with its targets by name.  Lines without either are passed
over and counted.
"""

from __future__ import annotations

from typing import Any

import msgspec
import tomli_w

from heronreel.emulator import model
from heronreel.emulator.model import Fault, Rehearsal
from heronreel.experiments.errors import InvalidIncidentError

MAX_LINES = 100_000
FAULT_FIELDS = {field.encode_name for field in msgspec.structs.fields(Fault)}


def script_to_toml(rehearsal: Rehearsal) -> str:
    """The script as TOML: what is set otherwise than by default."""
    raw = msgspec.to_builtins(rehearsal)
    told: dict[str, Any] = {"version": 1}
    default = msgspec.to_builtins(Rehearsal())
    for name, value in raw.items():
        if name in ("classes", "tenants", "troubles"):
            if value:
                told[name] = [_struct_without_defaults(row, name) for row in value]
        elif name == "fleet":
            kinds = [_struct_without_defaults(kind, "kinds") for kind in value["kinds"]]
            told[name] = {k: v for k, v in value.items() if k != "kinds"} | {"kinds": kinds}
        elif value != default.get(name) or name in ("name", "seconds"):
            told[name] = _without_defaults(value, default.get(name))
    return tomli_w.dumps(told)


def _without_defaults(value: Any, default: Any) -> Any:
    if not isinstance(value, dict):
        return value
    return {
        k: list(v) if isinstance(v, tuple) else v for k, v in value.items() if v != (default or {}).get(k)
    }


def _struct_without_defaults(row: dict[str, Any], what: str) -> dict[str, Any]:
    specs: dict[str, type[msgspec.Struct]] = {
        "classes": model.RequestClass,
        "tenants": model.Tenant,
        "troubles": model.Fault,
        "kinds": model.NodeKind,
    }
    defaults: dict[str, Any] = {}
    for field in msgspec.structs.fields(specs[what]):
        if field.default_factory is not msgspec.NODEFAULT:
            defaults[field.encode_name] = field.default_factory()
        elif field.default is not msgspec.NODEFAULT:
            defaults[field.encode_name] = field.default
    return {k: v for k, v in row.items() if k not in defaults or defaults[k] != v}


def script_from_incident(base: Rehearsal, data: bytes) -> tuple[Rehearsal, int]:
    """The base's fleet and traffic with the incident's troubles; and how many lines were passed over."""
    troubles: list[Fault] = []
    passed = 0
    open_: dict[int, int] = {}  # a timeline's trouble: its place here
    rows = data.splitlines()
    if len(rows) > MAX_LINES:
        raise InvalidIncidentError(f"has {len(rows):,} lines; at most {MAX_LINES:,} are read")
    for number, text in enumerate(rows, 1):
        if not text.strip():
            continue
        try:
            row = msgspec.json.decode(text)
        except msgspec.DecodeError as error:
            raise InvalidIncidentError(f"line {number}: is no JSON: {error}") from None
        if not isinstance(row, dict):
            raise InvalidIncidentError(f"line {number}: expected an object")
        if row.get("event") in ("begins", "ends"):
            _apply_timeline_row(base, row, troubles, open_, number)
        elif "what" in row:
            troubles.append(_fault_from_line(row, number))
        else:
            passed += 1
    if not troubles:
        raise InvalidIncidentError('holds no trouble: no line has "what" or "event"')
    end = max(trouble.at_s + max(trouble.for_s, trouble.within_s) for trouble in troubles)
    seconds = max(base.seconds, end + 5.0)
    name = f"{base.name}, an incident replayed"[:200]
    return msgspec.structs.replace(base, name=name, seconds=seconds, faults=tuple(troubles)), passed


def _fault_from_line(row: dict[str, Any], number: int) -> Fault:
    unknown = sorted(row.keys() - FAULT_FIELDS)
    if unknown:
        raise InvalidIncidentError(f"line {number}: no such field of a trouble: {', '.join(unknown)}")
    try:
        return msgspec.convert(row, Fault)
    except msgspec.ValidationError as error:
        raise InvalidIncidentError(f"line {number}: {error}") from None


def _apply_timeline_row(
    base: Rehearsal, row: dict[str, Any], troubles: list[Fault], open_: dict[int, int], number: int
) -> None:
    """A trouble as it was carried out: the script's own, with the targets that it had."""
    place = row.get("trouble")
    if not isinstance(place, int) or not 0 <= place < len(base.faults):
        raise InvalidIncidentError(
            f"line {number}: trouble {place!r} is none of the script that it is replayed on"
        )
    if row["event"] == "begins":
        trouble = base.faults[place]
        names = [name for name in row.get("names", ()) if name[:1] in "np" and name[1:].isdigit()]
        if names:
            trouble = msgspec.structs.replace(
                trouble,
                names=names,
                share=0.0,
                busiest=0,
                count=0,
                rack="",
                zone="" if trouble.fault_kind not in ("zone_cut", "shift") else trouble.zone,
                node_kind="",
            )
        open_[place] = len(troubles)
        troubles.append(msgspec.structs.replace(trouble, at_s=row["at_ms"] / 1000.0))
    elif place in open_:
        begun = troubles[open_[place]]
        lasted = round(row["at_ms"] / 1000.0 - begun.at_s, 6)
        troubles[open_[place]] = msgspec.structs.replace(begun, for_s=lasted)
