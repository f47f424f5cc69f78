"""`heronreel counts`: what was served by tenant, over the fleet and by period."""

from __future__ import annotations

import json
import sys

import click

from heronreel.cli.group_client import EXIT_NOT_FOUND, call_group


@click.command("counts")
@click.argument("file", required=False)
@click.option("--members", help="Without a FILE: a=ADDRESS,b=ADDRESS,c=ADDRESS.")
@click.option("--periods", type=click.IntRange(0, 96), default=1, help="How many of the last closed ones.")
@click.option("--forget", help="Give up a book whose disk is lost: nothing of it is taken from now on.")
@click.option("--json", "as_json", is_flag=True, help="JSON on standard output.")
def counts_command(
    file: str | None, members: str | None, periods: int, forget: str | None, as_json: bool
) -> None:
    """Requests by tenant over all proxies: ever, in the period that is open, and in the last closed ones.

    Exit codes: 0 told or done, 1 there is no such book, 2 the group does not answer, 78 a bad file.
    """
    from heronreel.metering import overview

    if forget is not None:
        done = call_group(file, members, lambda client: overview.forget(client, forget))
        told = "nothing of it is taken from now on" if done else "no such book"
        click.echo(json.dumps({"book": forget, "done": done}) if as_json else f"{forget}: {told}")
        sys.exit(0 if done else EXIT_NOT_FOUND)
    rows = call_group(file, members, lambda client: overview.counts(client, periods))
    if as_json:
        click.echo(json.dumps(rows, indent=2))
        return
    for title, counts in (("ever", rows["ever"]), ("open", rows["open"])):
        _table(title, counts)
    for row in rows["periods"]:
        _table(f"period {row['step']}, closed by {row['by']}", row["counts"])
        if row["unknown"]:
            click.echo(f"  not known yet: what {', '.join(row['unknown'])} counted last")
    for row in rows["books"]:
        state = "there" if row["there"] else "not there"
        click.echo(f"book {row['book']} of {row['proxy']}: page {row['page']}, {state}")


def _table(title: str, counts: dict[str, dict[str, int]]) -> None:
    click.echo(title)
    for tenant, row in counts.items():
        numbers = "  ".join(f"{kind} {number:,}" for kind, number in row.items())
        click.echo(f"  {tenant or '(no tenant)':24} {numbers}")
