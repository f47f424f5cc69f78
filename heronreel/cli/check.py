"""`heronreel check FILE...`: every way the files could break a rule."""

from __future__ import annotations

import json
import sys
from typing import Any

import click

from heronreel.routes.index import Example
from heronreel.routes.proof import Finding, Witness
from heronreel.serve.files import check_file


@click.command("check")
@click.argument("files", nargs=-1, required=True)
@click.option("--json", "as_json", is_flag=True, help="One JSON object on standard output.")
def check_command(files: tuple[str, ...], as_json: bool) -> None:
    """Check files of routes: exit 0 if all are safe, 1 with every error otherwise."""
    reports = [(path, check_file(path)) for path in files]
    if as_json:
        told = [
            {"file": path, "safe": report.safe, "findings": [finding_of(found) for found in report.findings]}
            for path, report in reports
        ]
        click.echo(json.dumps({"files": told}, indent=2))
    else:
        for path, report in reports:
            for finding in report.findings:
                click.echo(f"{path}:{finding}")
            if report.file and report.safe:
                routes, pools = len(report.file.routes), len(report.file.pools)
                click.echo(f"{path}: safe: {routes} routes, {pools} pools")
    sys.exit(0 if all(report.safe for _, report in reports) else 1)


def finding_of(finding: Finding) -> dict[str, Any]:
    """A finding as JSON has it."""
    problem, witness = finding.problem, finding.witness
    told: dict[str, Any] = {
        "line": problem.line, "field": problem.field, "rule": problem.rule,
        "wrong": problem.wrong, "right": problem.right,
    }  # fmt: skip
    if isinstance(witness, Witness):
        told["breaks"] = witness.rule
        told["witness"] = [
            {"at_ms": step.at_ms, "what": step.what.value, "attempt": step.attempt, "note": step.note}
            for step in witness.steps
        ]
    elif isinstance(witness, Example):
        told["example"] = str(witness)
    return told
