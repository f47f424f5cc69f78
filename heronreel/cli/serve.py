"""The command `heronreel serve FILE`."""

from __future__ import annotations

import sys

import click


@click.command("serve")
@click.argument("file")
@click.option(
    "--platform", is_flag=True, help="Listener, servers and classes come from LB_NAME, LB_LISTEN, LB_CONFIG."
)
def serve_command(file: str, platform: bool) -> None:
    """Run a proxy on the file's own pools.  SIGHUP takes the file again, SIGTERM drains."""
    from heronreel.serve.program import main  # check and explain need no event loop

    sys.exit(main(file, platform))
