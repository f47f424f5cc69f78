"""Shared code of the commands that connect to a group: options, one request, and exit codes."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any, TypeVar

import click

if TYPE_CHECKING:  # at run time each command imports what it needs, so that the others start quickly
    from heronreel.coordination.client import Client
    from heronreel.coordination.settings import GroupConfig
    from heronreel.routes.reader import ConfigFileError

EXIT_NOT_FOUND = 1
EXIT_NO_RESPONSE = 2
EXIT_START_FAILED = 74  # EX_IOERR
EXIT_BAD_CONFIGURATION = 78  # EX_CONFIG
UNUSED_FOLDER = "-"  # placeholder for clients of a group, which keep no data

Result = TypeVar("Result")
Command = TypeVar("Command", bound=Callable[..., Any])


def group_options(command: Command) -> Command:
    """Add the argument and the option that select the group that a command connects to."""
    members_help = "Without a FILE: a=ADDRESS,b=ADDRESS,c=ADDRESS."
    with_members = click.option("--members", help=members_help)(command)
    return click.argument("file", required=False)(with_members)


def print_problems(name: str, error: ConfigFileError) -> None:
    """Print the problems of a configuration, one per line."""
    for problem in error.problems:
        click.echo(f"{name}: {problem}", err=True)


def load_group(file: str | None, members: str | None, folder: str = UNUSED_FOLDER) -> GroupConfig:
    """Read the group from a file or from `--members`; end the process if it is invalid.

    Args:
        file: The configuration file.
        members: The value of the option `--members`.
        folder: The folder of each member's data; used with `members`.

    Raises:
        click.UsageError: Both or neither of `file` and `members` are given.
    """
    from heronreel.coordination.settings import group_from_addresses, load_group
    from heronreel.routes.reader import ConfigFileError

    if (file is None) == (members is None):
        raise click.UsageError("expected a FILE, or --members")
    try:
        return load_group(file) if file is not None else group_from_addresses(members or "", folder)
    except ConfigFileError as error:
        print_problems(file or "--members", error)
        sys.exit(EXIT_BAD_CONFIGURATION)


def call_group(
    file: str | None, members: str | None, call: Callable[[Client], Coroutine[Any, Any, Result]]
) -> Result:
    """Run a call to the group and return its result; end the process if the group does not respond."""
    from heronreel.coordination.client import Client
    from heronreel.coordination.errors import RequestError

    group = load_group(file, members)

    async def run() -> Result:
        async with Client(member.address for member in group.members) as client:
            return await call(client)

    try:
        return asyncio.run(run())
    except RequestError as error:
        click.echo(f"heronreel leases: {error.message}", err=True)
        sys.exit(EXIT_NO_RESPONSE)
