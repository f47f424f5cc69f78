"""The configuration file of a group: its members, its time-outs, and how far clocks may differ.

`docs/coordination.md` shows one.  All problems of a file are reported together, each with its line and what
would be right.  The fields of the tables are named as the keys of the file.
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


class GroupSettings(msgspec.Struct, frozen=True):
    """The table [group].  Names that end in `_ms` are in milliseconds, in `_s` in seconds."""

    beat_ms: Milliseconds = 100  # the heartbeat interval of an idle leader
    patience_ms: Milliseconds = 600  # the election timeout; up to twice as long is drawn
    request_ms: Milliseconds = 3000  # the time limit of a request
    clock_drift: Annotated[
        float, msgspec.Meta(ge=0.0, le=0.2, description="a share from 0 to 0.2, as 0.01 for one in a hundred")
    ] = 0.01
    upkeep_s: Annotated[
        float, msgspec.Meta(ge=0.0, le=30 * 86_400.0, description="seconds, or 0 for none")
    ] = 0.0  # the period of the disks' compaction
    even: Annotated[bool, msgspec.Meta(description="true or false")] = (
        False  # accept an even number of members
    )
    lease_s: Annotated[int, msgspec.Meta(ge=1, le=86_400, description="whole seconds from 1 to 86,400")] = 6
    margin_s: Annotated[float, msgspec.Meta(ge=0.0, le=3600.0, description="seconds from 0 to 3,600")] = 1.0
    answer_s: Annotated[float, msgspec.Meta(ge=0.05, le=60.0, description="seconds from 0.05 to 60")] = 1.0


class GroupConfig(msgspec.Struct, frozen=True):
    """A group as its file, or a command line, describes it."""

    members: tuple[MemberAddress, ...]
    settings: GroupSettings = GroupSettings()

    def member(self, name: str) -> MemberAddress | None:
        """The member of that name."""
        return next((member for member in self.members if member.name == name), None)

    @property
    def timing(self) -> Timing:
        """The consensus protocol's time-outs."""
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
        BadFile: with all problems found.
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
        right = f"{len(members) - 1} bear as many losses; even = true in [group] if it has to be"
        reader.wrong(("members",), f"{len(members)} members", right, "even")


def _check_times(reader: TableReader, settings: GroupSettings) -> None:
    least = MIN_HEARTBEATS_PER_ELECTION_TIMEOUT * settings.beat_ms
    if settings.patience_ms < least:
        wrong = f"is {settings.patience_ms}"
        reader.wrong(("group", "patience_ms"), wrong, f"at least {least}, three beats", "timing")
    reader.lease(("group", "lease_s"), settings.lease_s, settings.answer_s, settings.margin_s)


def load_group(path: str) -> GroupConfig:
    """Read a group from a file.

    Raises:
        BadFile: with all problems found, or because the file can't be read.
    """
    return parse_group(read_file(path))


def read_file(path: str) -> bytes:
    """A file's bytes, up to one more than a valid file may have.

    Raises:
        BadFile: the file can't be read.
    """
    try:
        with Path(path).open("rb") as file:
            return file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        wrong = f"can't be read: {error.strerror or error}"
        raise ConfigFileError([Problem(0, "file", wrong, "a readable file", "unreadable")]) from None


def group_from_addresses(option: str, folder: str) -> GroupConfig:
    """The group of a command line's `--members a=ADDRESS,b=ADDRESS`.

    Raises:
        BadFile: with all problems found.
    """
    tables: list[str] = []
    for word in option.split(","):
        name, _, address = word.strip().partition("=")
        fields = {"name": name, "address": address, "folder": folder}
        lines = [f"{field} = {_quoted(value)}" for field, value in fields.items()]
        tables.append("\n".join(["[[members]]", *lines]))
    return parse_group("\n".join(tables).encode())


def _quoted(text: str) -> str:
    """A TOML string."""
    return msgspec.json.encode(text).decode()


def parse_addresses(words: Iterable[str]) -> list[tuple[str, int]]:
    """The hosts and ports of addresses as "127.0.0.1:9001".

    Raises:
        InvalidAddressError: one of them is not in that form.
    """
    addresses: list[tuple[str, int]] = []
    for word in words:
        host, _, port = word.rpartition(":")
        try:
            number = int(port) if host else -1
        except ValueError as error:
            raise InvalidAddressError(str(error)) from None
        if not 0 <= number <= MAX_PORT:
            raise InvalidAddressError(f"{word!r} is no address as 127.0.0.1:9001")
        addresses.append((host, number))
    return addresses
