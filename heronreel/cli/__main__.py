"""The command line: `python -m heronreel.cli`, which `bin/heronreel` runs."""

from __future__ import annotations

import click

from heronreel import __version__
from heronreel.cli.agent import agent_command
from heronreel.cli.check import check_command
from heronreel.cli.coordinate import coordinate_command
from heronreel.cli.counts import counts_command
from heronreel.cli.demo import demo_command
from heronreel.cli.explain import explain_command
from heronreel.cli.fleet import fleet_command
from heronreel.cli.leases import leases_command, members_command, tasks_command
from heronreel.cli.rehearse import rehearse_group
from heronreel.cli.serve import serve_command
from heronreel.cli.store import store_group


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="heronreel")
def main() -> None:
    """A load-balancing reverse proxy that loses no request and never repeats a side effect."""


for command in (
    check_command,
    explain_command,
    serve_command,
    demo_command,
    store_group,
    rehearse_group,
    agent_command,
    coordinate_command,
    counts_command,
    fleet_command,
    leases_command,
    members_command,
    tasks_command,
):
    main.add_command(command)

if __name__ == "__main__":
    main(prog_name="heronreel")
