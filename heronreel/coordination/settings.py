"""The configuration file of a group: its members, timeouts and maximum clock drift.

`docs/coordination.md` has an example.  All problems of a file are reported together, each with its line and
the expected value.  The fields of the tables have the names of the keys in the file.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from pathlib import Path
from typing import Annotated, Any

import msgspec

from heronreel.coordination.errors import InvalidAddressError
from heronreel.coordination.member_state import Timing
from heronreel.routes.model import Problem
from heronreel.routes.reader import MAX_FILE_BYTES, ConfigFileError, TableReader, parse_toml

MAX_MEMBERS = 7
MAX_PORT = 65_535
MIN_HEARTBEATS_PER_ELECTION_TIMEOUT = 3
NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
Name = Annotated[
    str,
    msgspec.Meta(
        pattern=rf"\A{NAME.pattern}\Z",
        description="a name of lower-case letters, digits and -, at most 63 characters",
    ),
]
Address = Annotated[
    str, msgspec.Meta(pattern=r"\A[0-9.]+:[0-9]{1,5}\Z", description='an address such as "127.0.0.1:9001"')
]
Milliseconds = Annotated[
    int, msgspec.Meta(ge=10, le=60_000, description="whole milliseconds from 10 to 60,000")
]


class MemberAddress(msgspec.Struct, frozen=True):
    """One member: a table under [[members]]."""

    name: Name
    address: Address
    folder: Annotated[str, msgspec.Meta(min_length=1, description="the folder of its disk")] = ""


class GroupSettings(msgspec.Struct, frozen=True):
    """The table [group].  Fields that end in `_ms` are in milliseconds, those in `_s` in seconds."""

    beat_ms: Milliseconds = 100  # the heartbeat interval of an idle leader
    patience_ms: Milliseconds = 600  # the minimum election timeout; the maximum is twice as long
    request_ms: Milliseconds = 3000  # the time limit of a request
    # The maximum drift of a member's clock, as a share of the elapsed time.
    clock_drift: Annotated[
        float, msgspec.Meta(ge=0.0, le=0.2, description="a share from 0 to 0.2, such as 0.01 for 1 %")
    ] = 0.01
    upkeep_s: Annotated[
        float, msgspec.Meta(ge=0.0, le=30 * 86_400.0, description="seconds, or 0 for no compaction")
    ] = 0.0  # the period of disk compaction
    # Whether an even number of members is accepted.
    even: Annotated[bool, msgspec.Meta(description="true or false")] = False
    # The lease under which a member compacts its disk: time to live, safety margin, and response timeout.
    lease_s: Annotated[int, msgspec.Meta(ge=1, le=86_400, description="whole seconds from 1 to 86,400")] = 6
    margin_s: Annotated[float, msgspec.Meta(ge=0.0, le=3600.0, description="seconds from 0 to 3,600")] = 1.0
    answer_s: Annotated[float, msgspec.Meta(ge=0.05, le=60.0, description="seconds from 0.05 to 60")] = 1.0


class GroupConfig(msgspec.Struct, frozen=True):
    """The configuration of a group, from its file or from a command line."""

    members: tuple[MemberAddress, ...]
    settings: GroupSettings = GroupSettings()

    def member(self, name: str) -> MemberAddress | None:
        """Return the member with that name, or None."""
        return next((member for member in self.members if member.name == name), None)

    @property
    def timing(self) -> Timing:
        """The consensus protocol's timeouts."""
        heartbeat_interval_s = self.settings.beat_ms / 1000
        election_timeout_s = self.settings.patience_ms / 1000
        return Timing(
            heartbeat_interval_s=heartbeat_interval_s,
            retransmit_interval_s=heartbeat_interval_s,
            election_timeout_s=election_timeout_s,
            step_down_timeout_s=2 * election_timeout_s,
        )


def parse_group(data: bytes) -> GroupConfig:
    """Read a group from TOML.

    Raises:
        ConfigFileError: the file has problems; the error lists all of them.
    """
    raw, lines = parse_toml(data)
    reader = TableReader(raw, lines)
    for name in raw:
        if name not in ("group", "members"):
            reader.wrong((name,), "no such table", "known here: group, members", "unknown-field")
    settings = GroupSettings(**reader.table(raw.get("group", {}), ("group",), GroupSettings))
    members = _read_members(reader, raw)
    _check_size(reader, members, settings)
    _check_times(reader, settings)
    reader.finish()
    return GroupConfig(tuple(members), settings)


def _read_members(reader: TableReader, raw: dict[str, Any]) -> list[MemberAddress]:
    members: list[MemberAddress] = []
    paths: list[tuple[Any, ...]] = []
    for path, table in reader.tables(raw.get("members"), ("members",), MAX_MEMBERS):
        values = reader.table(table, path, MemberAddress)
        if "name" in values and "address" in values:
            members.append(MemberAddress(**values))
            paths.append(path)
    reader.once(((path, member.name) for path, member in zip(paths, members, strict=True)), "member")
    reader.once(((path, member.address) for path, member in zip(paths, members, strict=True)), "address")
    return members


def _check_size(reader: TableReader, members: list[MemberAddress], settings: GroupSettings) -> None:
    if not members and not reader.problems:
        reader.wrong(("members",), "none", "at least one table under [[members]]")
    if members and len(members) % 2 == 0 and not settings.even:
        expected = (
            f"an odd number: {len(members) - 1} tolerate as many failures; "
            "set even = true in [group] to accept an even number"
        )
        reader.wrong(("members",), f"{len(members)} members", expected, "even")


def _check_times(reader: TableReader, settings: GroupSettings) -> None:
    minimum_ms = MIN_HEARTBEATS_PER_ELECTION_TIMEOUT * settings.beat_ms
    if settings.patience_ms < minimum_ms:
        problem = f"is {settings.patience_ms}"
        reader.wrong(
            ("group", "patience_ms"), problem, f"at least {minimum_ms}, three heartbeat intervals", "timing"
        )
    reader.lease(("group", "lease_s"), settings.lease_s, settings.answer_s, settings.margin_s)


def load_group(path: str) -> GroupConfig:
    """Read a group from a file.

    Raises:
        ConfigFileError: the file can't be read or has problems; the error lists all of them.
    """
    return parse_group(read_file(path))


def read_file(path: str) -> bytes:
    """Read a file, up to one byte more than a valid file may have.

    Raises:
        ConfigFileError: the file can't be read.
    """
    try:
        with Path(path).open("rb") as file:
            return file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        problem = f"can't be read: {error.strerror or error}"
        raise ConfigFileError([Problem(0, "file", problem, "a readable file", "unreadable")]) from None


def group_from_addresses(option: str, folder: str) -> GroupConfig:
    """Return the group that the command-line option `--members a=ADDRESS,b=ADDRESS` describes.

    Raises:
        ConfigFileError: the option has problems; the error lists all of them.
    """
    tables: list[str] = []
    for member in option.split(","):
        name, _, address = member.strip().partition("=")
        fields = {"name": name, "address": address, "folder": folder}
        lines = [f"{field} = {_quoted(value)}" for field, value in fields.items()]
        tables.append("\n".join(["[[members]]", *lines]))
    return parse_group("\n".join(tables).encode())


def _quoted(text: str) -> str:
    """Return the text as a TOML string."""
    return msgspec.json.encode(text).decode()


def parse_addresses(texts: Iterable[str]) -> list[tuple[str, int]]:
    """Return the hosts and ports of addresses such as "127.0.0.1:9001".

    Raises:
        InvalidAddressError: an address is not of the form HOST:PORT.
    """
    addresses: list[tuple[str, int]] = []
    for text in texts:
        host, _, port = text.rpartition(":")
        try:
            number = int(port) if host else -1
        except ValueError as error:
            raise InvalidAddressError(str(error)) from None
        if not 0 <= number <= MAX_PORT:
            raise InvalidAddressError(f"{text!r} is not an address of the form 127.0.0.1:9001")
        addresses.append((host, number))
    return addresses
