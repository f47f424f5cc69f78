"""The file of a group: who its members are, how patient they are, how far clocks may differ.

`docs/coordination.md` shows one.  Problems are told all at once, each with its line and what would be right.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from pathlib import Path
from typing import Annotated, Any

import msgspec

from heronreel.coordination.consensus import Timing
from heronreel.routes.model import Problem
from heronreel.routes.reader import MAX_FILE_BYTES, ConfigFileError, TableReader, parse_toml

MEMBERS_MOST = 7
NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
Name = Annotated[
    str,
    msgspec.Meta(
        pattern=rf"\A{NAME.pattern}\Z", description="a name of small letters, digits and -, up to 63"
    ),
]
Address = Annotated[
    str, msgspec.Meta(pattern=r"\A[0-9.]+:[0-9]{1,5}\Z", description='an address as "127.0.0.1:9001"')
]
Milliseconds = Annotated[
    int, msgspec.Meta(ge=10, le=60_000, description="whole milliseconds from 10 to 60,000")
]


class MemberAddress(msgspec.Struct, frozen=True):
    """One member, under [[members]]."""

    name: Name
    address: Address
    folder: Annotated[str, msgspec.Meta(min_length=1, description="the folder of its disk")] = ""


class GroupTable(msgspec.Struct, frozen=True):
    """The table [group]."""

    beat_ms: Milliseconds = 100  # between two rounds of an idle leader
    patience_ms: Milliseconds = 600  # without a leader, before one is sought; up to twice of it
    request_ms: Milliseconds = 3000  # a request that takes longer fails
    clock_drift: Annotated[
        float, msgspec.Meta(ge=0.0, le=0.2, description="a share from 0 to 0.2, as 0.01 for one in a hundred")
    ] = 0.01
    upkeep_s: Annotated[
        float, msgspec.Meta(ge=0.0, le=30 * 86_400.0, description="seconds, or 0 for none")
    ] = 0.0
    even: Annotated[bool, msgspec.Meta(description="true or false")] = False  # a yes to an even number
    lease_s: Annotated[int, msgspec.Meta(ge=1, le=86_400, description="whole seconds from 1 to 86,400")] = 6
    margin_s: Annotated[float, msgspec.Meta(ge=0.0, le=3600.0, description="seconds from 0 to 3,600")] = 1.0
    answer_s: Annotated[float, msgspec.Meta(ge=0.05, le=60.0, description="seconds from 0.05 to 60")] = 1.0


class Group(msgspec.Struct, frozen=True):
    """A group as its file, or its command line, has it."""

    members: tuple[MemberAddress, ...]
    table: GroupTable = GroupTable()

    def row(self, name: str) -> MemberAddress | None:
        return next((row for row in self.members if row.name == name), None)

    @property
    def timing(self) -> Timing:
        beat, patience = self.table.beat_ms / 1000, self.table.patience_ms / 1000
        return Timing(beat=beat, resend=beat, patience=patience, contact=2 * patience)


def load(data: bytes) -> Group:
    """The group of a TOML text.  Raises BadFile."""
    raw, lines = parse_toml(data)
    reader = TableReader(raw, lines)
    for name in raw:
        if name not in ("group", "members"):
            reader.wrong((name,), "no such table", "known here: group, members", "unknown-field")
    table = GroupTable(**reader.table(raw.get("group", {}), ("group",), GroupTable))
    rows: list[MemberAddress] = []
    where: list[tuple[Any, ...]] = []
    for path, each in reader.tables(raw.get("members"), ("members",), MEMBERS_MOST):
        values = reader.table(each, path, MemberAddress)
        if "name" in values and "address" in values:
            rows.append(MemberAddress(**values))
            where.append(path)
    reader.once(((path, row.name) for path, row in zip(where, rows, strict=True)), "member")
    reader.once(((path, row.address) for path, row in zip(where, rows, strict=True)), "address")
    if not rows and not reader.problems:
        reader.wrong(("members",), "none", "at least one table under [[members]]")
    if len(rows) % 2 == 0 and rows and not table.even:
        right = f"{len(rows) - 1} bear as many losses; even = true in [group] if it has to be"
        reader.wrong(("members",), f"{len(rows)} members", right, "even")
    if table.patience_ms < 3 * table.beat_ms:
        right = f"at least {3 * table.beat_ms}, three beats"
        reader.wrong(("group", "patience_ms"), f"is {table.patience_ms}", right, "timing")
    reader.lease(("group", "lease_s"), table.lease_s, table.answer_s, table.margin_s)
    reader.finish()
    return Group(tuple(rows), table)


def load_file(path: str) -> Group:
    """The group of a file.  Raises BadFile, for one that can't be read as well."""
    return load(read_file(path))


def read_file(path: str) -> bytes:
    """A file's bytes, one more than may be at most.  Raises BadFile for one that can't be read."""
    try:
        with Path(path).open("rb") as file:
            return file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        wrong = f"can't be read: {error.strerror or error}"
        raise ConfigFileError([Problem(0, "file", wrong, "a readable file", "unreadable")]) from None


def group_of_addresses(words: str, folder: str) -> Group:
    """The group of `--members a=ADDRESS,b=ADDRESS`.  Raises BadFile."""
    rows: list[str] = []
    for word in words.split(","):
        name, _, address = word.strip().partition("=")
        rows.append(
            f"[[members]]\nname = {_quoted(name)}\naddress = {_quoted(address)}\nfolder = {_quoted(folder)}"
        )
    return load("\n".join(rows).encode())


def _quoted(text: str) -> str:
    return msgspec.json.encode(text).decode()


def addresses_of(words: Iterable[str]) -> list[tuple[str, int]]:
    """Hosts and ports of addresses.  Raises ValueError."""
    found = []
    for word in words:
        host, _, port = word.rpartition(":")
        if not host or not 0 <= int(port) < 65536:
            raise ValueError(f"{word!r} is no address as 127.0.0.1:9001")
        found.append((host, int(port)))
    return found
