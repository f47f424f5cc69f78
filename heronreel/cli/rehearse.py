"""`heronreel rehearse`: the group of commands that simulate a fleet."""

from __future__ import annotations

import click

from heronreel.cli.rehearse_play import play_command
from heronreel.cli.rehearse_scripts import replay_command, shrink_command
from heronreel.cli.rehearse_sweep import compare_command, report_command, sweep_command


class _DefaultToPlayGroup(click.Group):
    """A command group in which `rehearse FILE` is short for `rehearse play FILE`."""

    def resolve_command(
        self, ctx: click.Context, args: list[str]
    ) -> tuple[str | None, click.Command | None, list[str]]:
        if args and args[0] not in self.commands:
            args = ["play", *args]
        return super().resolve_command(ctx, args)

    def parse_args(self, ctx: click.Context, args: list[str]) -> list[str]:
        if args and args[0].startswith("-") and args[0] not in ("-h", "--help"):
            args = ["play", *args]
        return super().parse_args(ctx, args)


@click.group("rehearse", cls=_DefaultToPlayGroup)
def rehearse_group() -> None:
    """Simulate a fleet in virtual time: nodes, proxies, clients and faults, checked against safety rules."""


for command in (play_command, sweep_command, compare_command, report_command, shrink_command, replay_command):
    rehearse_group.add_command(command)
