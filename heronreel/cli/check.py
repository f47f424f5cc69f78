"""`heronreel check FILE...`: find every violation of the safety rules in files of routes."""

from __future__ import annotations

import json
import sys
from typing import Any

import click

from heronreel.routes.findings import Finding, Report, Witness
from heronreel.routes.index import Example
from heronreel.serve.files import check_file


@click.command("check")
@click.argument("files", nargs=-1, required=True)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object to standard output.")
def check_command(files: tuple[str, ...], as_json: bool) -> None:
    """Check files of routes: exit 0 if all are safe, else print every error and exit 1."""
    reports = {path: check_file(path) for path in files}
    if as_json:
        rows = [report_row(path, report) for path, report in reports.items()]
        click.echo(json.dumps({"files": rows}, indent=2))
    else:
        for path, report in reports.items():
            _print_report(path, report)
    sys.exit(0 if all(report.safe for report in reports.values()) else 1)


def _print_report(path: str, report: Report) -> None:
    for finding in report.findings:
        click.echo(f"{path}:{finding}")
    if report.file and report.safe:
        routes, pools = len(report.file.routes), len(report.file.pools)
        click.echo(f"{path}: safe: {routes} routes, {pools} pools")


def report_row(path: str, report: Report) -> dict[str, Any]:
    """One file's report in the form that `--json` prints."""
    findings = [finding_row(finding) for finding in report.findings]
    return {"file": path, "safe": report.safe, "findings": findings}


def finding_row(finding: Finding) -> dict[str, Any]:
    """One finding in the form that `--json` prints."""
    problem, witness = finding.problem, finding.witness
    row: dict[str, Any] = {
        "line": problem.line,
        "field": problem.field,
        "rule": problem.rule,
        "wrong": problem.wrong,
        "right": problem.right,
    }
    if isinstance(witness, Witness):
        row["breaks"] = witness.rule
        row["witness"] = [
            {"at_ms": event.at_ms, "what": event.kind.value, "attempt": event.attempt, "note": event.note}
            for event in witness.events
        ]
    elif isinstance(witness, Example):
        row["example"] = str(witness)
    return row
