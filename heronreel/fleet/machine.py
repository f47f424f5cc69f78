"""The file of an agent: its machine's instances, and the versions that they may run.

[agent]
name = "m1"
folder = "/var/lib/heronreel/agent"
address = "127.0.0.1:9100"       # for orders
group = ["127.0.0.1:9001"]

[[versions]]
name = "1"
run = ["bin/heronreel", "serve", "/etc/heronreel/{name}.toml"]   # {listen} too

[[instances]]
name = "p1"
listen = "127.0.0.1:8080"        # answers GET /_health
zone = "etna"
"""

from __future__ import annotations

from typing import Annotated, Any, NamedTuple

import msgspec

from heronreel.coordination.settings import read_file
from heronreel.routes.reader import TableReader, parse_toml

Name = Annotated[
    str,
    msgspec.Meta(
        pattern=r"\A[A-Za-z0-9][A-Za-z0-9._-]{0,63}\Z",
        description="a name of 1 to 64 letters, digits, dots, dashes and underscores",
    ),
]
Address = Annotated[
    str, msgspec.Meta(pattern=r"\A[0-9.]+:[0-9]{1,5}\Z", description='an address as "127.0.0.1:9100"')
]
Text = Annotated[str, msgspec.Meta(max_length=256, description="a text of at most 256 characters")]
Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=3600.0, description="seconds from 0 to 3,600")]


class AgentTable(msgspec.Struct, frozen=True):
    name: Name
    folder: Annotated[str, msgspec.Meta(min_length=1, description="a folder that outlives the agent")]
    address: Address
    group: Annotated[
        tuple[Address, ...],
        msgspec.Meta(min_length=1, max_length=7, description='a list of addresses, as ["127.0.0.1:9001"]'),
    ]
    lease_s: Annotated[int, msgspec.Meta(ge=1, le=3600, description="whole seconds from 1 to 3,600")] = 6
    margin_s: Seconds = 1.0
    answer_s: Seconds = 1.0
    start_s: Seconds = 30.0  # until an instance is ready
    drain_s: Seconds = 60.0  # until a quiesced one is told to end
    end_s: Seconds = 10.0  # until it is killed


class VersionRow(msgspec.Struct, frozen=True):
    name: Name
    run: Annotated[tuple[str, ...], msgspec.Meta(min_length=1, description="a command as a list of words")]


class InstanceRow(msgspec.Struct, frozen=True):
    name: Name
    listen: Address
    mgmt: Annotated[
        str, msgspec.Meta(pattern=r"\A([0-9.]+:[0-9]{1,5})?\Z", description="an address, or none")
    ] = ""
    zone: Text = ""
    group: Text = ""
    capacity: Annotated[float, msgspec.Meta(gt=0.0, le=1e6, description="a number over 0")] = 1.0


class Machine(NamedTuple):
    """What an agent's file says."""

    agent: AgentTable
    versions: dict[str, tuple[str, ...]]
    instances: tuple[InstanceRow, ...]


def load(data: bytes) -> Machine:
    """The machine of a TOML text.  Raises BadFile."""
    raw, lines = parse_toml(data)
    reader = TableReader(raw, lines)
    for name in raw:
        if name not in ("agent", "versions", "instances"):
            reader.wrong((name,), "no such table", "known here: agent, versions, instances", "unknown-field")
    told = reader.table(raw.get("agent", {}), ("agent",), AgentTable)
    times = told.get("lease_s", 6), told.get("answer_s", 1.0), told.get("margin_s", 1.0)
    reader.lease(("agent", "lease_s"), *times)
    versions = _rows(reader, raw, "versions", VersionRow)
    instances = _rows(reader, raw, "instances", InstanceRow)
    where = [(path, row.listen) for path, row in instances]
    reader.once(where, "address")
    reader.finish()
    return Machine(
        AgentTable(**told), {row.name: row.run for _, row in versions}, tuple(row for _, row in instances)
    )


def _rows(
    reader: TableReader, raw: dict[str, Any], name: str, kind: type[Any]
) -> list[tuple[tuple[Any, ...], Any]]:
    found = []
    for path, each in reader.tables(raw.get(name), (name,), 1000):
        told = reader.table(each, path, kind)
        needed = [field.name for field in msgspec.structs.fields(kind) if field.required]
        if all(field in told for field in needed):
            found.append((path, kind(**told)))
    reader.once(((path, row.name) for path, row in found), name.rstrip("s"))
    if not found and not reader.problems:
        reader.wrong((name,), "none", f"at least one table under [[{name}]]")
    return found


def load_file(path: str) -> Machine:
    """The machine of a file.  Raises BadFile, for one that can't be read as well."""
    return load(read_file(path))
