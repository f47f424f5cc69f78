"""`heronreel explain FILE METHOD URL`: the route of one request and its policy in force."""

from __future__ import annotations

import json
import sys

import click

from heronreel.routes.explain import UNITS, explain
from heronreel.serve.files import check_file


@click.command("explain")
@click.argument("file")
@click.argument("method")
@click.argument("url")
@click.option(
    "-H", "--header", "headers", multiple=True, metavar="'NAME: VALUE'", help="A header; repeatable."
)
@click.option("--json", "as_json", is_flag=True, help="One JSON object on standard output.")
def explain_command(file: str, method: str, url: str, headers: tuple[str, ...], as_json: bool) -> None:
    """Say which route takes a request, what it may do, and where each value came from."""
    report = check_file(file)
    if report.file is None:
        for finding in report.findings:
            click.echo(f"{file}:{finding}", err=True)
        sys.exit(1)
    told: dict[str, str] = {}
    for header in headers:
        name, colon, value = header.partition(":")
        if not colon or not name.strip():
            raise click.BadParameter(f"not NAME: VALUE: {header!r}", param_hint="-H")
        told[name.strip()] = value.strip()
    try:
        found = explain(report.file, method.upper(), url, told)
    except ValueError as error:
        raise click.BadParameter(f"{url!r}: {error}", param_hint="URL") from None
    if as_json:
        click.echo(json.dumps({
            "route": found.route.name if found.route else None,
            "line": found.line,
            "safe": report.safe,
            "pools": {share.pool: share.weight for share in found.route.split} if found.route else {},
            "also": [route.name for route in found.others],
            "policy": {v.field: {"value": v.value, "from": v.origin, "line": v.line} for v in found.values},
        }, indent=2))  # fmt: skip
    elif found.route is None:
        click.echo("no route takes this request: it is answered 404")
    else:
        click.echo(f"route {found.route.name} ({file}:{found.line})")
        pools = ", ".join(f"{share.pool} ({share.weight:g})" for share in found.route.split)
        click.echo(f"  pools: {pools}")
        for row in found.values:
            unit = " ms" if row.field.endswith("_ms") else UNITS.get(row.field, "")
            shown = ", ".join(row.value) if isinstance(row.value, list) else row.value
            where = f"{row.origin}, line {row.line}" if row.line else row.origin
            click.echo(f"  {row.field:24} {shown}{unit if shown else ''}  [{where}]")
        if found.others:
            click.echo(f"  less specific: {', '.join(route.name for route in found.others[:10])}")
        if not report.safe:
            click.echo(
                f"  the file is refused: {len(report.findings)} findings; see heronreel check", err=True
            )
    sys.exit(0 if found.route else 1)
