"""The settings file of the disruption budget, which `heronreel fleet allow` applies.

    [[allow]]
    name = "one a zone"
    kind = "proxy"        # or "backend"
    scope = "zone"        # evaluated for each zone; or "fleet", "group", "pool"
    only = ""             # the only zone that the rule applies to; "" for every zone
    most_out = 1          # instances that may be unavailable
    least_serving = 0.5   # fraction of the scope's capacity that has to stay available

All problems are reported together, each with its line and the expected value.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from heronreel.coordination.settings import read_file
from heronreel.fleet.model import BudgetRule, InstanceKind, Scope
from heronreel.routes.reader import TableReader, parse_toml

MAX_RULES = 100
MAX_NAME_LENGTH = 64
TABLE_NAME = "allow"
LIMIT_FIELDS = ("most_out", "least_serving")  # a rule has to set at least one of these


class AllowTable(msgspec.Struct, frozen=True):
    """One [[allow]] table."""

    name: Annotated[
        str,
        msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH, description="a name of 1 to 64 characters"),
    ]
    kind: Annotated[InstanceKind, msgspec.Meta(description='"proxy" or "backend"')]
    scope: Annotated[Scope, msgspec.Meta(description='"fleet", "zone", "group" or "pool"')] = Scope.FLEET
    scope_value: Annotated[
        str, msgspec.Meta(max_length=MAX_NAME_LENGTH, description="a name of up to 64 characters")
    ] = msgspec.field(default="", name="only")
    max_unavailable: (
        Annotated[int, msgspec.Meta(ge=0, le=100_000, description="a whole number from 0")] | None
    ) = msgspec.field(default=None, name="most_out")
    min_available: (
        Annotated[float, msgspec.Meta(ge=0.0, le=1.0, description="a share from 0 to 1")] | None
    ) = msgspec.field(default=None, name="least_serving")


FIELD_NAMES = {field.encode_name: field.name for field in msgspec.structs.fields(AllowTable)}


def load(data: bytes) -> tuple[BudgetRule, ...]:
    """Parse the budget rules from a TOML text.

    Raises:
        ConfigFileError: The text has problems; the error holds all of them.
    """
    raw, lines = parse_toml(data)
    reader = TableReader(raw, lines)
    for name in raw:
        if name != TABLE_NAME:
            reader.add_problem((name,), "no such table", f"known here: {TABLE_NAME}", "unknown-field")
    rules: list[BudgetRule] = []
    names: list[tuple[tuple[Any, ...], str]] = []
    for path, table in reader.read_tables(raw.get(TABLE_NAME), (TABLE_NAME,), MAX_RULES):
        values = reader.read_table(table, path, AllowTable)
        if "name" in values:
            names.append((path, values["name"]))
        if not any(field in table for field in LIMIT_FIELDS):
            reader.add_problem(path, "allows anything", "most_out or least_serving, or both", "empty")
        if "name" in values and "kind" in values:
            rules.append(BudgetRule(**{FIELD_NAMES[key]: value for key, value in values.items()}))
    reader.check_unique(names, "allowance")
    reader.raise_problems()
    return tuple(rules)


def load_file(path: str) -> tuple[BudgetRule, ...]:
    """Read the budget rules from a file.

    Raises:
        ConfigFileError: The file can't be read or has problems.
    """
    return load(read_file(path))
