"""`heronreel agent FILE`: run the agent that owns the instances of one machine."""

from __future__ import annotations

import asyncio
import sys

import click

from heronreel.cli.group_client import EXIT_BAD_CONFIGURATION, EXIT_START_FAILED, print_problems


@click.command("agent")
@click.argument("file")
def agent_command(file: str) -> None:
    """Start, monitor, drain and stop the instances of a machine on command. SIGTERM ends only the agent.

    Exit codes: 0 ended by a signal, 74 the folder or the address can't be used, 78 invalid settings file.
    """
    from heronreel.coordination.logs import log_to_stderr
    from heronreel.fleet.agent_server import serve
    from heronreel.fleet.agent_settings import load_file
    from heronreel.routes.reader import ConfigFileError
    from heronreel.store import StoreError

    log_to_stderr()
    try:
        settings = load_file(file)
    except ConfigFileError as error:
        print_problems(file, error)
        sys.exit(EXIT_BAD_CONFIGURATION)
    try:
        asyncio.run(serve(settings))
    except (StoreError, OSError) as error:
        click.echo(f"heronreel agent: {error}", err=True)
        sys.exit(EXIT_START_FAILED)
