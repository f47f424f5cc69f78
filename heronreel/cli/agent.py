"""`heronreel agent FILE`: own the instances of one machine."""

from __future__ import annotations

import asyncio
import sys

import click

from heronreel.cli.group_client import EXIT_BAD_CONFIGURATION, EXIT_START_FAILED, print_problems


@click.command("agent")
@click.argument("file")
def agent_command(file: str) -> None:
    """Start, watch, drain and end the instances of a machine as they are ordered. SIGTERM ends the agent, and
    no instance.

    Exit codes: 0 ended as asked, 74 the folder or the address can't be used, 78 a bad file.
    """
    from heronreel.coordination.logs import log_to_stderr
    from heronreel.fleet.machine import load_file
    from heronreel.fleet.serving import serve
    from heronreel.routes.reader import BadFile
    from heronreel.store import StoreError

    log_to_stderr()
    try:
        machine = load_file(file)
    except BadFile as bad:
        print_problems(file, bad)
        sys.exit(EXIT_BAD_CONFIGURATION)
    try:
        asyncio.run(serve(machine))
    except (StoreError, OSError) as error:
        click.echo(f"heronreel agent: {error}", err=True)
        sys.exit(EXIT_START_FAILED)
