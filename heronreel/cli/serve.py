"""`heronreel serve FILE`: run a proxy."""

from __future__ import annotations

import sys

import click


@click.command("serve")
@click.argument("file")
@click.option(
    "--platform", is_flag=True, help="Read listener, servers and classes from LB_NAME, LB_LISTEN, LB_CONFIG."
)
def serve_command(file: str, platform: bool) -> None:
    """Run a proxy on the pools of the file.  SIGHUP reloads the file, SIGTERM drains and ends the proxy."""
    # imported here, because the commands `check` and `explain` need no event loop
    from heronreel.serve.program import main

    sys.exit(main(file, platform))
