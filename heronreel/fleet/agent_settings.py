"""The settings file of an agent: the instances of its machine, and the versions that they may run.

[agent]
name = "m1"
folder = "/var/lib/heronreel/agent"
address = "127.0.0.1:9100"       # where it accepts commands
group = ["127.0.0.1:9001"]

[[versions]]
name = "1"
run = ["bin/heronreel", "serve", "/etc/heronreel/{name}.toml"]   # {listen} is replaced as well

[[instances]]
name = "p1"
listen = "127.0.0.1:8080"        # responds to GET /_health
zone = "etna"
"""

from __future__ import annotations

from typing import Annotated, Any, NamedTuple, TypeVar

import msgspec

from heronreel.coordination.settings import read_file
from heronreel.routes.reader import TableReader, parse_toml

MAX_TABLES = 4096  # largest number of [[versions]] or of [[instances]] tables
TABLE_NAMES = ("agent", "versions", "instances")

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
    """The [agent] table; times are in seconds."""

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
    start_s: Seconds = 30.0  # limit for a started instance to become ready
    drain_s: Seconds = 60.0  # time after which a quiesced instance is terminated
    end_s: Seconds = 10.0  # time from SIGTERM to SIGKILL


class VersionTable(msgspec.Struct, frozen=True):
    """One [[versions]] table."""

    name: Name
    run: Annotated[tuple[str, ...], msgspec.Meta(min_length=1, description="a command as a list of words")]


class InstanceTable(msgspec.Struct, frozen=True):
    """One [[instances]] table."""

    name: Name
    listen: Address
    mgmt: Annotated[
        str, msgspec.Meta(pattern=r"\A([0-9.]+:[0-9]{1,5})?\Z", description="an address, or none")
    ] = ""
    zone: Text = ""
    group: Text = ""
    capacity: Annotated[float, msgspec.Meta(gt=0.0, le=1e6, description="a number over 0")] = 1.0


class AgentSettings(NamedTuple):
    """The content of an agent's settings file."""

    agent: AgentTable
    commands: dict[str, tuple[str, ...]]  # the command line of each version
    instances: tuple[InstanceTable, ...]


def load(data: bytes) -> AgentSettings:
    """Parse the settings from a TOML text.

    Raises:
        ConfigFileError: The text has problems; the error holds all of them.
    """
    raw, lines = parse_toml(data)
    reader = TableReader(raw, lines)
    for name in raw:
        if name not in TABLE_NAMES:
            expected = f"known here: {', '.join(TABLE_NAMES)}"
            reader.add_problem((name,), "no such table", expected, "unknown-field")
    agent = reader.read_table(raw.get("agent", {}), ("agent",), AgentTable)
    # No `AgentTable` exists yet, because the table may have problems, so its defaults are repeated here.
    lease_terms = agent.get("lease_s", 6), agent.get("answer_s", 1.0), agent.get("margin_s", 1.0)
    reader.check_lease(("agent", "lease_s"), *lease_terms)
    versions = _tables(reader, raw, "versions", VersionTable)
    instances = _tables(reader, raw, "instances", InstanceTable)
    reader.check_unique([(path, table.listen) for path, table in instances], "address")
    reader.raise_problems()
    return AgentSettings(
        AgentTable(**agent),
        {table.name: table.run for _, table in versions},
        tuple(table for _, table in instances),
    )


NamedTable = TypeVar("NamedTable", VersionTable, InstanceTable)


def _tables(
    reader: TableReader, raw: dict[str, Any], name: str, table_type: type[NamedTable]
) -> list[tuple[tuple[Any, ...], NamedTable]]:
    """The valid tables of one kind with their paths; it is a problem if there is none."""
    required = [field.name for field in msgspec.structs.fields(table_type) if field.required]
    valid_tables: list[tuple[tuple[Any, ...], NamedTable]] = []
    for path, table in reader.read_tables(raw.get(name), (name,), MAX_TABLES):
        values = reader.read_table(table, path, table_type)
        if all(field in values for field in required):
            valid_tables.append((path, table_type(**values)))
    reader.check_unique(((path, table.name) for path, table in valid_tables), name.rstrip("s"))
    if not valid_tables and not reader.problems:
        reader.add_problem((name,), "none", f"at least one table under [[{name}]]")
    return valid_tables


def load_file(path: str) -> AgentSettings:
    """Read the settings from a file.

    Raises:
        ConfigFileError: The file can't be read or has problems.
    """
    return load(read_file(path))
