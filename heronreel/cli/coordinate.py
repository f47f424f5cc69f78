"""`heronreel coordinate`: run one member of a coordination group."""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING, Any

import click

from heronreel.cli.group_client import (
    EXIT_BAD_CONFIGURATION,
    EXIT_START_FAILED,
    group_options,
    load_group,
    print_problems,
)

if TYPE_CHECKING:  # at run time each command imports what it needs, so that the others start quickly
    from heronreel.coordination.settings import GroupConfig
    from heronreel.coordinator.disk import MemberDisk


@click.command("coordinate")
@group_options
@click.option("--name", required=True, help="The name of this member.")
@click.option("--folder", default="", help="The folder of this member's data; overrides the file.")
@click.option(
    "--listen", help="The address to listen on, if it differs from the one that the others connect to."
)
def coordinate_command(
    file: str | None, name: str, members: str | None, folder: str, listen: str | None
) -> None:
    """Run one member of a group. SIGTERM ends it, SIGHUP reloads the file.

    Exit codes: 0 ended by a signal, 74 the disk can't be used (corrupt, in use, or of another member), 78
    invalid file.
    """
    import structlog

    from heronreel.coordination.logs import log_to_stderr

    log_to_stderr()
    log = structlog.get_logger()
    group = load_group(file, members, folder)
    _check_name(group, name)
    disk = _open_disk(folder or _configured_folder(group, name, file or "--members"), name, log)

    def on_listening(port: int) -> None:
        log.info("listening", member=name, port=port, incarnation=disk.durable.incarnation)

    try:
        code = _run_server(group, name, disk, listen, on_listening, lambda: _reload_group(file))
    except OSError as error:
        log.error("start failed", member=name, error=str(error))
        disk.close()
        code = EXIT_START_FAILED
    log.info("stopped", member=name, code=code)
    sys.exit(code)


def _check_name(group: GroupConfig, name: str) -> None:
    """End the process if the group has no such member."""
    if group.member(name) is None:
        names = ", ".join(member.name for member in group.members)
        click.echo(f"--name: {name!r} is none of {names}", err=True)
        sys.exit(EXIT_BAD_CONFIGURATION)


def _configured_folder(group: GroupConfig, name: str, source: str) -> str:
    """The folder of a member in the configuration; ends the process if none is configured."""
    member = group.member(name)
    if member is None or not member.folder:
        click.echo(f"{source}: no folder for {name!r}, and --folder is not given", err=True)
        sys.exit(EXIT_BAD_CONFIGURATION)
    return member.folder


def _open_disk(path: str, name: str, log: Any) -> MemberDisk:
    """Open a member's disk; end the process if it can't be used."""
    from heronreel.coordinator.disk import MemberDisk
    from heronreel.coordinator.errors import WrongMemberError
    from heronreel.store import StoreError

    try:
        return MemberDisk(path, name)
    except (StoreError, WrongMemberError, OSError) as error:
        log.error("start failed", member=name, error=str(error))
        sys.exit(EXIT_START_FAILED)


def _run_server(*arguments: Any) -> int:
    import uvloop

    from heronreel.coordinator.server import run_server

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(run_server(*arguments))


def _reload_group(file: str | None) -> GroupConfig | None:
    """Read the group's file again.

    Returns:
        The group, or None without a file or if the file is invalid; its problems are printed.
    """
    from heronreel.coordination.settings import load_group
    from heronreel.routes.reader import ConfigFileError

    if file is None:
        return None
    try:
        return load_group(file)
    except ConfigFileError as error:
        print_problems(file, error)
        return None
