"""`heronreel explain FILE METHOD URL`: print the route of one request and the policy that applies to it."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable
from typing import Any

import click

from heronreel.routes.explain import FIELD_UNITS, Explanation, PolicyValue, explain
from heronreel.routes.findings import Report
from heronreel.serve.files import check_file

MAX_SHOWN_ALTERNATIVES = 10  # largest number of less specific routes that are printed


@click.command("explain")
@click.argument("file")
@click.argument("method")
@click.argument("url")
@click.option(
    "-H", "--header", "headers", multiple=True, metavar="'NAME: VALUE'", help="A request header; repeatable."
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object to standard output.")
def explain_command(file: str, method: str, url: str, headers: tuple[str, ...], as_json: bool) -> None:
    """Print the route of a request, its policy, and where each policy value is set."""
    report = check_file(file)
    if report.file is None:
        for finding in report.findings:
            click.echo(f"{file}:{finding}", err=True)
        sys.exit(1)
    try:
        explanation = explain(report.file, method.upper(), url, _parse_headers(headers))
    except ValueError as error:
        raise click.BadParameter(f"{url!r}: {error}", param_hint="URL") from None
    if as_json:
        click.echo(json.dumps(_explanation_row(explanation, report), indent=2))
    elif explanation.route is None:
        click.echo("no route takes this request: it is answered 404")
    else:
        _print_explanation(explanation, file, report)
    sys.exit(0 if explanation.route else 1)


def _parse_headers(headers: Iterable[str]) -> dict[str, str]:
    parsed: dict[str, str] = {}
    for header in headers:
        name, colon, value = header.partition(":")
        if not colon or not name.strip():
            raise click.BadParameter(f"not NAME: VALUE: {header!r}", param_hint="-H")
        parsed[name.strip()] = value.strip()
    return parsed


def _explanation_row(explanation: Explanation, report: Report) -> dict[str, Any]:
    route = explanation.route
    return {
        "route": route.name if route else None,
        "line": explanation.line,
        "safe": report.safe,
        "pools": {share.pool: share.weight for share in route.split} if route else {},
        "also": [other.name for other in explanation.others],
        "policy": {
            policy_value.field: {
                "value": policy_value.value,
                "from": policy_value.origin,
                "line": policy_value.line,
            }
            for policy_value in explanation.values
        },
    }


def _print_explanation(explanation: Explanation, file: str, report: Report) -> None:
    assert explanation.route is not None
    click.echo(f"route {explanation.route.name} ({file}:{explanation.line})")
    pools = ", ".join(f"{share.pool} ({share.weight:g})" for share in explanation.route.split)
    click.echo(f"  pools: {pools}")
    for policy_value in explanation.values:
        click.echo(f"  {policy_value.field:24} {_value_text(policy_value)}  [{_origin_text(policy_value)}]")
    if explanation.others:
        names = ", ".join(other.name for other in explanation.others[:MAX_SHOWN_ALTERNATIVES])
        click.echo(f"  less specific: {names}")
    if not report.safe:
        count = len(report.findings)
        click.echo(f"  the file is refused: {count} findings; see heronreel check", err=True)


def _value_text(value: PolicyValue) -> str:
    text = ", ".join(value.value) if isinstance(value.value, list) else value.value
    unit = " ms" if value.field.endswith("_ms") else FIELD_UNITS.get(value.field, "")
    return f"{text}{unit if text else ''}"


def _origin_text(value: PolicyValue) -> str:
    return f"{value.origin}, line {value.line}" if value.line else value.origin
