"""`heronreel rehearse sweep`, `compare` and `report`: play many variants of a script and evaluate them."""

from __future__ import annotations

import json
import os
from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING

import click

from heronreel.cli.rehearse_input import (
    check_policy_or_exit,
    exit_with_error,
    load_results_or_exit,
    load_script_or_exit,
    table_console,
    write_file_or_exit,
)

if TYPE_CHECKING:
    from heronreel.emulator.model import Rehearsal
    from heronreel.experiments.compare import Difference
    from heronreel.experiments.sweep import PlannedPlay

DEFAULT_SEEDS = "1..20"


@click.command("sweep")
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--set",
    "settings",
    multiple=True,
    metavar="KEY=A,B,C",
    help="A field of the script (proxies.idle_ms) or a constant of a module "
    "(heronreel.balancer.subset.PROXIES_PER_BACKEND); repeatable.",
)
@click.option("--seeds", default=DEFAULT_SEEDS, show_default=True)
@click.option("--policies", default="", help="Policies, comma-separated; by default that of the script.")
@click.option("--out", type=click.Path(path_type=Path), default=Path("found/sweep"), show_default=True)
@click.option(
    "--workers",
    type=click.IntRange(1, 256),
    default=None,
    help="Number of processes; by default one per core.",
)
@click.option("--json", "as_json", is_flag=True)
def sweep_command(
    file: Path, settings: tuple[str, ...], seeds: str, policies: str, out: Path, workers: int | None,
    as_json: bool,
) -> None:  # fmt: skip
    """Play a script with all combinations of seeds, policies and settings, on all cores.

    Plays whose results are in the folder are not repeated, so a sweep that was stopped can be continued.
    """
    rehearsal = load_script_or_exit(file)
    names = [name.strip() for name in policies.split(",") if name.strip()] or [rehearsal.proxies.policy]
    for name in names:
        check_policy_or_exit(name)
    plays = _plan_or_exit(rehearsal, seeds, names, settings)
    played = _run_with_progress(plays, out, workers or len(os.sched_getaffinity(0)), quiet=as_json)
    summary = {
        "plays": len(plays),
        "played": played,
        "there already": len(plays) - played,
        "results": str(out),
    }
    if as_json:
        click.echo(json.dumps(summary))
    else:
        click.echo(", ".join(f"{name} {value}" for name, value in summary.items()))


def _plan_or_exit(
    rehearsal: Rehearsal, seeds: str, policies: list[str], settings: tuple[str, ...]
) -> list[PlannedPlay]:
    from heronreel.experiments.errors import InvalidSettingError
    from heronreel.experiments.identity import parse_seeds, parse_settings
    from heronreel.experiments.sweep import plan_sweep

    try:
        return plan_sweep(
            rehearsal, parse_seeds(seeds), policies, [parse_settings(text) for text in settings]
        )
    except InvalidSettingError as error:
        exit_with_error(str(error))


def _run_with_progress(plays: list[PlannedPlay], out: Path, workers: int, quiet: bool) -> int:
    from rich.console import Console
    from rich.progress import Progress

    from heronreel.experiments.sweep import run_sweep

    console = Console(stderr=True)
    with Progress(console=console, disable=quiet or not console.is_terminal, transient=True) as bar:
        task = bar.add_task("plays", total=len(plays))
        return run_sweep(plays, out, workers, lambda done, total: bar.update(task, completed=done))


@click.command("compare")
@click.argument("a", type=click.Path(path_type=Path))
@click.argument("b", type=click.Path(path_type=Path))
@click.option("--where-a", multiple=True, metavar="COLUMN=VALUE", help="Select plays of A; repeatable.")
@click.option("--where-b", multiple=True, metavar="COLUMN=VALUE", help="Select plays of B; repeatable.")
@click.option("--json", "as_json", is_flag=True)
def compare_command(
    a: Path, b: Path, where_a: tuple[str, ...], where_b: tuple[str, ...], as_json: bool
) -> None:  # fmt: skip
    """Compare two sets of plays of two builds, policies or settings; plays are paired by seed."""
    from dataclasses import asdict

    from heronreel.experiments.compare import compare_results
    from heronreel.experiments.errors import IncomparableResultsError

    rows_a = load_results_or_exit(a, where_a)
    rows_b = load_results_or_exit(b, where_b)
    try:
        differences = compare_results(rows_a, rows_b)
    except IncomparableResultsError as error:
        exit_with_error(str(error))
    if as_json:
        click.echo(
            json.dumps(
                [asdict(difference) | {"words": difference.words} for difference in differences], indent=2
            )
        )
        return
    _print_differences(differences)
    broken_a, broken_b = (sum(not row["kept"] for row in rows) for rows in (rows_a, rows_b))
    if broken_a or broken_b:
        click.echo(f"plays with a broken rule: A {broken_a} of {len(rows_a)}, B {broken_b} of {len(rows_b)}")


def _print_differences(differences: Sequence[Difference]) -> None:
    from rich.table import Table

    table = Table(title=f"{differences[0].pairs} pairs")
    for header in ("figure", "A", "B", "B less A", "95 % from", "to", "verdict"):
        table.add_column(header, justify="left" if header in ("figure", "verdict") else "right")
    for difference in differences:
        low = min(difference.low, difference.boot_low)
        high = max(difference.high, difference.boot_high)
        numbers = (difference.mean_a, difference.mean_b, difference.mean, low, high)
        table.add_row(difference.metric, *(f"{number:.4f}" for number in numbers), difference.words)
    table_console().print(table)


@click.command("report")
@click.argument("results", type=click.Path(path_type=Path))
@click.option("--page", type=click.Path(path_type=Path), default=Path("found/sweep.html"), show_default=True)
@click.option("--where", multiple=True, metavar="COLUMN=VALUE", help="Select plays; repeatable.")
def report_command(results: Path, page: Path, where: tuple[str, ...]) -> None:
    """Write a page with the tables and charts of a sweep."""
    from heronreel.experiments.report import render_sweep

    rows = load_results_or_exit(results, where)
    page.parent.mkdir(parents=True, exist_ok=True)
    write_file_or_exit(page, render_sweep(rows).encode())
    click.echo(f"{page}: {len(rows)} plays")
