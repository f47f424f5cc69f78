"""`heronreel counts`: the number of requests of each tenant, over all proxies and by period."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING

import click

from heronreel.cli.group_client import EXIT_NOT_FOUND, call_group

if TYPE_CHECKING:
    from heronreel.metering.overview import CountsByKind, UsageOverview


@click.command("counts")
@click.argument("file", required=False)
@click.option("--members", help="Without a FILE: a=ADDRESS,b=ADDRESS,c=ADDRESS.")
@click.option(
    "--periods", type=click.IntRange(0, 96), default=1, help="The number of closed periods to print."
)
@click.option("--forget", help="Abandon a ledger whose disk is lost: no more of its usage is counted.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON to standard output.")
def counts_command(
    file: str | None, members: str | None, periods: int, forget: str | None, as_json: bool
) -> None:
    """Print requests by tenant over all proxies: in total, in the open period, and in closed periods.

    Exit codes: 0 success, 1 no such ledger, 2 the group does not respond, 78 invalid file.
    """
    from heronreel.metering import overview

    if forget is not None:
        done = call_group(file, members, lambda client: overview.abandon_ledger(client, forget))
        _print_abandoned(forget, done, as_json)
        sys.exit(0 if done else EXIT_NOT_FOUND)
    usage = call_group(file, members, lambda client: overview.usage_overview(client, periods))
    if as_json:
        click.echo(json.dumps(usage, indent=2))
    else:
        _print_usage(usage)


def _print_abandoned(ledger_id: str, done: bool, as_json: bool) -> None:
    if as_json:
        click.echo(json.dumps({"book": ledger_id, "done": done}))
    else:
        click.echo(f"{ledger_id}: {'nothing more of it is counted' if done else 'no such ledger'}")


def _print_usage(usage: UsageOverview) -> None:
    _print_counts("ever", usage["ever"])
    _print_counts("open", usage["open"])
    for period in usage["periods"]:
        _print_counts(f"period {period['step']}, closed by {period['by']}", period["counts"])
        if period["unknown"]:
            click.echo(f"  not known yet: the last counts of {', '.join(period['unknown'])}")
    for ledger in usage["books"]:
        state = "present" if ledger["there"] else "absent"
        click.echo(f"ledger {ledger['book']} of {ledger['proxy']}: page {ledger['page']}, {state}")


def _print_counts(title: str, counts: CountsByKind) -> None:
    click.echo(title)
    for tenant, row in counts.items():
        numbers = "  ".join(f"{kind} {number:,}" for kind, number in row.items())
        click.echo(f"  {tenant or '(no tenant)':24} {numbers}")
