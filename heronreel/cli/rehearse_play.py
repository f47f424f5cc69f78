"""`heronreel rehearse play`: play one script with one seed, and compare it with the baseline policies."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click

from heronreel.cli.rehearse_input import (
    EXIT_RULE_BROKEN,
    check_policy_or_exit,
    exit_with_error,
    load_routes_or_exit,
    load_script_or_exit,
    table_console,
    write_file_or_exit,
)

if TYPE_CHECKING:
    from heronreel.emulator.model import Rehearsal
    from heronreel.emulator.result import Result
    from heronreel.routes.model import RoutesFile

OUTCOMES = ("late", "refused", "failed")  # printed as shares of all requests
MAX_TRACED_BREACHES = 20  # requests whose traces a page contains
MAX_PRINTED_BREACHES = 5


@click.command("play")
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--seed", default=1, show_default=True, type=click.IntRange(0, 2**63 - 1))
@click.option("--policy", default="", help="The policy of the proxies; by default that of the script.")
@click.option("--alone", is_flag=True, help="Do not play the baseline policies for comparison.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object to standard output.")
@click.option(
    "--trace", multiple=True, type=click.IntRange(1), help="The number of a request to trace; repeatable."
)
@click.option(
    "--timeline", type=click.Path(path_type=Path), help="Write the timeline to this file, as JSON lines."
)
@click.option(
    "--page", type=click.Path(path_type=Path), help="Write a page with tables and charts to this file."
)
@click.option("--real", is_flag=True, help="Also play over loopback, with real proxy processes.")
@click.option(
    "--scale",
    default=1.0,
    show_default=True,
    type=click.FloatRange(0.1, 100.0),
    help="With --real: real milliseconds for each millisecond of the script.",
)
def play_command(
    file: Path, seed: int, policy: str, alone: bool, as_json: bool, trace: tuple[int, ...],
    timeline: Path | None, page: Path | None, real: bool, scale: float,
) -> None:  # fmt: skip
    """Play one script; exit 1 if a rule was violated."""
    rehearsal = load_script_or_exit(file)
    routes = load_routes_or_exit(rehearsal, file)
    from heronreel.emulator.policies import BASELINES, DEFAULT_POLICY

    policy = policy or rehearsal.proxies.policy
    check_policy_or_exit(policy)
    baselines = [] if alone else [name for name in (DEFAULT_POLICY, *BASELINES) if name != policy]
    if real and (policy != DEFAULT_POLICY or routes is not None):
        exit_with_error("real: the real proxy plays its own decisions, without --policy and without routes")
    results = _play_policies(rehearsal, [policy, *baselines], seed, trace, routes, quiet=as_json)
    if real:
        results.insert(0, _play_over_sockets(rehearsal, seed, scale, quiet=as_json))
    if page and not trace and not real:
        results[0] = _with_traces_of_breaches(results[0], rehearsal, routes)
    main_result = results[0]
    if timeline:
        write_file_or_exit(timeline, main_result.json_lines())
    if page:
        from heronreel.experiments.report import render_rehearsal

        write_file_or_exit(page, render_rehearsal(rehearsal, results).encode())
    if as_json:
        _print_json(results)
    else:
        _print_results(results)
        _print_traces(main_result)
    sys.exit(0 if main_result.rules_kept else EXIT_RULE_BROKEN)


def _with_traces_of_breaches(result: Result, rehearsal: Rehearsal, routes: RoutesFile | None) -> Result:
    """Repeat the play and trace the requests that violated a rule, because a page links to their traces."""
    requests = result.breached_requests()[:MAX_TRACED_BREACHES]
    if not requests:
        return result
    from heronreel.emulator.simulation import play

    return play(rehearsal, result.seed, result.policy, requests, routes)


def _play_policies(
    rehearsal: Rehearsal,
    names: list[str],
    seed: int,
    trace: tuple[int, ...],
    routes: RoutesFile | None,
    quiet: bool,
) -> list[Result]:
    from rich.console import Console
    from rich.progress import BarColumn, Progress, TextColumn, TimeRemainingColumn

    from heronreel.emulator.simulation import play

    results = []
    console = Console(stderr=True)
    columns = (TextColumn("{task.description}"), BarColumn(), TimeRemainingColumn())
    with Progress(*columns, console=console, disable=quiet or not console.is_terminal, transient=True) as bar:
        for index, name in enumerate(names):
            task = bar.add_task(name, total=1.0)
            traced_requests = trace if not index else ()
            results.append(
                play(
                    rehearsal, seed, name, traced_requests, routes,
                    lambda share, task=task: bar.update(task, completed=share),  # type: ignore[misc]
                )
            )  # fmt: skip
    return results


def _play_over_sockets(rehearsal: Rehearsal, seed: int, scale: float, quiet: bool) -> Result:
    from rich.console import Console
    from rich.progress import Progress

    from heronreel.realtime.engine import play_over_sockets
    from heronreel.realtime.errors import UnplayableScriptError

    console = Console(stderr=True)
    with Progress(console=console, disable=quiet or not console.is_terminal, transient=True) as bar:
        task = bar.add_task("real sockets", total=1.0)
        try:
            result, crashes = play_over_sockets(
                rehearsal, seed, scale, lambda done: bar.update(task, completed=done)
            )
        except UnplayableScriptError as error:
            exit_with_error(f"real: {error}")
    for crash in crashes:
        click.echo(f"heronreel rehearse: {crash}", err=True)
    result.policy = "real sockets"
    return result


def _print_json(results: list[Result]) -> None:
    plays = [
        result.table_row() | {"rules": result.breach_counts, "digest": result.digest()} for result in results
    ]
    plays[0] |= {"breaches": results[0].breaches, "traces": results[0].traces}
    click.echo(json.dumps({"plays": plays}, indent=2))


def _print_results(results: list[Result]) -> None:
    from rich.table import Table

    table = Table(title=f"{results[0].name}, seed {results[0].seed}")
    for header in ("policy", "score", "service", "worst 10 s", "worst tenant", *OUTCOMES, "p99 ms"):
        table.add_column(header, justify="left" if header == "policy" else "right")
    table.add_column("rules")
    for index, result in enumerate(results):
        table.add_row(*_result_cells(result), style="bold" if index == 0 else "")
    table_console().print(table)
    for breach in results[0].breaches[:MAX_PRINTED_BREACHES]:
        location = " ".join(filter(None, (breach["proxy"], breach["node"])))
        click.echo(
            f"{breach['at_ms'] / 1000.0:9.3f} s  {breach['rule']}: {breach['words']}  "
            f"({location}, request {breach['line']})"
        )


def _result_cells(result: Result) -> list[str]:
    row = result.table_row()
    requests = max(1, row["requests"])
    return [
        result.policy,
        f"{result.score:.3f}",
        *(f"{row[name]:.3f}" for name in ("service", "worst_window", "worst_tenant")),
        *(f"{row[outcome] / requests:.1%}" for outcome in OUTCOMES),
        f"{row.get('p99', 0.0):.0f}",
        result.broken_rules or "kept",
    ]


def _print_traces(result: Result) -> None:
    if not result.traces:
        return
    from heronreel.experiments.report import trace_text

    for line, steps in result.traces.items():
        click.echo(f"\nrequest {line}:\n{trace_text(steps) if steps else '  there is no such request'}")
