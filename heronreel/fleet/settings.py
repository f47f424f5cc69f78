"""The file of allowances: how many may be out, and how much has to serve.

    [[allow]]
    name = "one a zone"
    kind = "proxy"        # or "backend"
    scope = "zone"        # each zone by itself; or "fleet", "group", "pool"
    only = ""             # this one zone alone
    most_out = 1
    least_serving = 0.5   # of the capacity in the scope

Problems are told all at once, each with its line and what would be right.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from heronreel.coordination.settings import read_file
from heronreel.fleet.model import Kind, Rule, Scope
from heronreel.routes.reader import TableReader, parse_toml

RULES_MOST = 100


class AllowTable(msgspec.Struct, frozen=True):
    """One table under [[allow]]."""

    name: Annotated[
        str, msgspec.Meta(min_length=1, max_length=64, description="a name of 1 to 64 characters")
    ]
    kind: Annotated[Kind, msgspec.Meta(description='"proxy" or "backend"')]
    scope: Annotated[Scope, msgspec.Meta(description='"fleet", "zone", "group" or "pool"')] = Scope.FLEET
    only: Annotated[str, msgspec.Meta(max_length=64, description="a name of up to 64 characters")] = ""
    most_out: Annotated[int, msgspec.Meta(ge=0, le=100_000, description="a whole number from 0")] | None = (
        None
    )
    least_serving: (
        Annotated[float, msgspec.Meta(ge=0.0, le=1.0, description="a share from 0 to 1")] | None
    ) = None


def load(data: bytes) -> tuple[Rule, ...]:
    """The allowances of a TOML text.  Raises BadFile."""
    raw, lines = parse_toml(data)
    reader = TableReader(raw, lines)
    for name in raw:
        if name != "allow":
            reader.wrong((name,), "no such table", "known here: allow", "unknown-field")
    rules: list[Rule] = []
    names: list[tuple[tuple[Any, ...], str]] = []
    for path, each in reader.tables(raw.get("allow"), ("allow",), RULES_MOST):
        told = reader.table(each, path, AllowTable)
        if "name" in told:
            names.append((path, told["name"]))
        if "most_out" not in each and "least_serving" not in each:
            reader.wrong(path, "allows anything", "most_out or least_serving, or both", "empty")
        if "name" in told and "kind" in told:
            rules.append(Rule(**told))
    reader.once(names, "allowance")
    reader.finish()
    return tuple(rules)


def load_file(path: str) -> tuple[Rule, ...]:
    """The allowances of a file.  Raises BadFile, for one that can't be read as well."""
    return load(read_file(path))
