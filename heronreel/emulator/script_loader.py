"""Reads a rehearsal script into a checked `Rehearsal`, or reports all its problems with their lines."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

from heronreel.emulator import model
from heronreel.emulator.script_checks import check_script
from heronreel.routes.model import Path
from heronreel.routes.reader import TableReader, describe_value, parse_toml

MAX_TABLES = 64
FIELDS = {field.encode_name: field.name for field in msgspec.structs.fields(model.Rehearsal)}
PLAIN_FIELDS = ("name", "seconds")
TABLES: dict[str, type[msgspec.Struct]] = {
    "network": model.NetworkConfig,
    "proxies": model.ProxyConfig,
    "front": model.FrontEndConfig,
    "keys": model.KeyDistribution,
    "clients": model.ClientConfig,
    "list": model.EndpointListConfig,
    "rules": model.InvariantLimits,
    "prices": model.Prices,
    "score": model.ScoreWeights,
}
TopLevel = msgspec.defstruct("TopLevel", [("version", int, 1), *((key, object, None) for key in FIELDS)])
S = TypeVar("S", bound=msgspec.Struct)


def load_script(data: bytes) -> model.Rehearsal:
    """Parse and check a script.  Raises `heronreel.routes.reader.BadFile` with every problem."""
    raw, lines = parse_toml(data)
    return _ScriptReader(raw, lines).load()


class _ScriptReader(TableReader):
    def load(self) -> model.Rehearsal:
        self._check_version()
        unknown = {key: value for key, value in self.raw.items() if key not in FIELDS and key != "version"}
        self.read_table(unknown, (), TopLevel)
        plain = {key: value for key, value in self.raw.items() if key in PLAIN_FIELDS}
        values: dict[str, Any] = self.read_table(plain, (), model.Rehearsal)
        for key, spec in TABLES.items():
            record = self._optional(key, spec)
            if record is not None:
                values[key] = record
        values["fleet"] = self._fleet()
        values["traffic"] = self._traffic()
        values["classes"] = self._rows(("classes",), self.raw.get("classes"), model.RequestClass)
        values["tenants"] = self._rows(("tenants",), self.raw.get("tenants"), model.Tenant)
        values["troubles"] = self._rows(
            ("troubles",), self.raw.get("troubles"), model.Fault, model.MAX_FAULTS, named=False
        )
        if not values["classes"]:
            values["classes"] = (model.RequestClass(),)
        self.raise_problems()
        rehearsal = model.Rehearsal(**{FIELDS[key]: value for key, value in values.items()})
        for finding in check_script(rehearsal):
            self.add_problem(finding.path, finding.wrong, finding.right, finding.rule)
        self.raise_problems()
        return rehearsal

    def _check_version(self) -> None:
        version = self.raw.get("version", model.SCRIPT_VERSION)
        if version != model.SCRIPT_VERSION:
            newer = isinstance(version, int) and version > model.SCRIPT_VERSION
            right = f"this program reads version {model.SCRIPT_VERSION}"
            right += "; use a newer one" if newer else ""
            self.add_problem(("version",), f"is {describe_value(version)}", right, "version")
            self.raise_problems()

    def _struct(self, raw: object, path: Path, spec: type[S]) -> S | None:
        """Return the record of a table, or None if it has a problem."""
        problems = len(self.problems)
        values = self.read_table(raw, path, spec)
        return msgspec.convert(values, spec) if len(self.problems) == problems else None

    def _optional(self, key: str, spec: type[S], without: str = "") -> S | None:
        """Return the record of an optional table, ignoring the field `without`."""
        raw = self.raw.get(key)
        if raw is None:
            return None
        if isinstance(raw, dict):
            raw = {field: value for field, value in raw.items() if field != without}
        return self._struct(raw, (key,), spec)

    def _rows(
        self, path: Path, raw: object, spec: type[S], limit: int = MAX_TABLES, named: bool = True
    ) -> tuple[S, ...]:
        """Return the records of an array of tables; if they are `named`, report duplicate names."""
        rows = self.read_tables(raw, path, limit)
        records = [self._struct(row, place, spec) for place, row in rows]
        if named:
            names = ((place, row["name"]) for place, row in rows if isinstance(row.get("name"), str))
            self.check_unique(names, "name")
        return tuple(record for record in records if record is not None)

    def _fleet(self) -> model.FleetConfig:
        raw = self.raw.get("fleet")
        if raw is None:
            self.add_problem(
                (), "fleet is missing", "add [fleet] with nodes and [[fleet.kinds]]", "missing-field"
            )
            return model.FleetConfig()
        raw_kinds = raw.get("kinds", ()) if isinstance(raw, dict) else ()
        kinds = self._rows(("fleet", "kinds"), raw_kinds, model.NodeKind)
        fleet = self._optional("fleet", model.FleetConfig, without="kinds")
        if not kinds:
            self.add_problem(("fleet",), "has no kinds", "add [[fleet.kinds]] with a name", "missing-field")
        return msgspec.structs.replace(fleet or model.FleetConfig(), kinds=kinds)

    def _traffic(self) -> model.TrafficConfig:
        raw = self.raw.get("traffic")
        raw_points = raw.get("points", ()) if isinstance(raw, dict) else ()
        points = self._rows(("traffic", "points"), raw_points, model.TrafficPoint)
        traffic = self._optional("traffic", model.TrafficConfig, without="points")
        return msgspec.structs.replace(traffic or model.TrafficConfig(), points=points)
