"""`heronreel rehearse`: play a script, sweep, compare, report, shrink, replay."""

from __future__ import annotations

import json
import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any, NoReturn

import click

if TYPE_CHECKING:
    from heronreel.emulator.model import Rehearsal
    from heronreel.emulator.result import Result

SEEDS = "1..20"
ENDS = ("late", "refused", "failed")  # shown as shares


class _Group(click.Group):
    """`rehearse FILE` is `rehearse play FILE`."""

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


def _stop(words: str, code: int = 2) -> NoReturn:
    click.echo(f"heronreel rehearse: {words}", err=True)
    sys.exit(code)


def _script(path: Path) -> Rehearsal:
    from heronreel.emulator.script_loader import load_script
    from heronreel.routes.reader import ConfigFileError

    try:
        return load_script(path.read_bytes())
    except OSError as error:
        _stop(f"{path}: {error.strerror}")
    except ConfigFileError as error:
        for problem in error.problems:
            click.echo(f"{path}:{problem}", err=True)
        sys.exit(2)


def _known(policy: str) -> None:
    from heronreel.emulator.policies import FAULTY_POLICIES, POLICIES

    names = (*POLICIES, *FAULTY_POLICIES)
    if policy not in names:
        _stop(f"policy: there is no {policy!r}; known here: {', '.join(sorted(names))}")


def _routes(rehearsal: Rehearsal, path: Path) -> Any:
    """The file of routes that the script names, beside it."""
    if not rehearsal.proxies.routes:
        return None
    from heronreel.serve.files import check_file

    place = path.parent / rehearsal.proxies.routes
    report = check_file(str(place))
    for finding in report.findings:
        click.echo(f"{place}:{finding}", err=True)
    if not report.safe or report.file is None:
        sys.exit(2)
    return report.file


@click.group("rehearse", cls=_Group)
def rehearse_group() -> None:
    """Rehearse a fleet in virtual time: nodes, proxies, clients, troubles, and a judge that sees all."""


@rehearse_group.command("play")
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--seed", default=1, show_default=True, type=click.IntRange(0, 2**63 - 1))
@click.option("--policy", default="", help="Of the proxies; by default as the script says.")
@click.option("--alone", is_flag=True, help="Without the plain policies beside it.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object on standard output.")
@click.option("--trace", multiple=True, type=click.IntRange(1), help="A request to be followed; repeatable.")
@click.option("--timeline", type=click.Path(path_type=Path), help="Write the timeline there, as JSON lines.")
@click.option("--page", type=click.Path(path_type=Path), help="Write a page with tables and charts there.")
@click.option("--real", is_flag=True, help="Over loopback, with real proxy processes, beside virtual time.")
@click.option(
    "--scale",
    default=1.0,
    show_default=True,
    type=click.FloatRange(0.1, 100.0),
    help="Real ms for each ms of the script, with --real.",
)
def play_command(
    file: Path, seed: int, policy: str, alone: bool, as_json: bool, trace: tuple[int, ...],
    timeline: Path | None, page: Path | None, real: bool, scale: float,
) -> None:  # fmt: skip
    """Play one script; exit 1 if a rule was broken."""
    rehearsal = _script(file)
    routes = _routes(rehearsal, file)
    from heronreel.emulator.policies import BASELINES, DEFAULT_POLICY

    policy = policy or rehearsal.proxies.policy
    _known(policy)
    names = [policy] + ([] if alone else [name for name in (DEFAULT_POLICY, *BASELINES) if name != policy])
    if real and (policy != DEFAULT_POLICY or routes is not None):
        _stop("real: the real proxy plays its own decisions, without --policy and without routes")
    results = _played(rehearsal, names, seed, trace, routes, as_json)
    if real:
        results.insert(0, _played_real(rehearsal, seed, scale, as_json))
    ours = results[0]
    broken_by = ours.breached_requests()[:20]
    if page and broken_by and not trace and not real:
        # breaches are linked to their traces: the same play once more, with those requests followed
        from heronreel.emulator.simulation import play

        ours = results[0] = play(rehearsal, seed, policy, broken_by, routes)
    if timeline:
        _write(timeline, ours.json_lines())
    if page:
        from heronreel.experiments.report import render_rehearsal

        _write(page, render_rehearsal(rehearsal, results).encode())
    if as_json:
        told = {
            "plays": [
                one.table_row() | {"rules": one.breach_counts, "digest": one.digest()} for one in results
            ]
        }
        told["plays"][0] |= {"breaches": ours.breaches, "traces": ours.traces}
        click.echo(json.dumps(told, indent=2))
    else:
        _tell(results)
        _tell_traces(ours)
    sys.exit(0 if ours.rules_kept else 1)


def _played(
    rehearsal: Rehearsal, names: list[str], seed: int, trace: tuple[int, ...], routes: Any, quiet: bool
) -> list[Result]:
    from rich.console import Console
    from rich.progress import BarColumn, Progress, TextColumn, TimeRemainingColumn

    from heronreel.emulator.simulation import play

    results = []
    console = Console(stderr=True)
    columns = (TextColumn("{task.description}"), BarColumn(), TimeRemainingColumn())
    with Progress(*columns, console=console, disable=quiet or not console.is_terminal, transient=True) as bar:
        for place, name in enumerate(names):
            task = bar.add_task(name, total=1.0)
            following = trace if not place else ()
            results.append(
                play(
                    rehearsal, seed, name, following, routes,
                    lambda share, task=task: bar.update(task, completed=share),  # type: ignore[misc]
                )
            )  # fmt: skip
    return results


def _played_real(rehearsal: Rehearsal, seed: int, scale: float, quiet: bool) -> Result:
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
            _stop(f"real: {error}")
    for words in crashes:
        click.echo(f"heronreel rehearse: {words}", err=True)
    result.policy = "real sockets"
    return result


def _tell(results: list[Result]) -> None:
    from rich.console import Console
    from rich.table import Table

    table = Table(title=f"{results[0].name}, seed {results[0].seed}")
    for head in ("policy", "score", "service", "worst 10 s", "worst tenant", *ENDS, "p99 ms"):
        table.add_column(head, justify="left" if head == "policy" else "right")
    table.add_column("rules")
    for place, one in enumerate(results):
        row = one.table_row()
        table.add_row(
            one.policy, f"{one.score:.3f}", f"{row['service']:.3f}", f"{row['worst_window']:.3f}",
            f"{row['worst_tenant']:.3f}", *(f"{row[end] / max(1, row['requests']):.1%}" for end in ENDS),
            f"{row.get('p99', 0.0):.0f}", one.broken_rules or "kept",
            style="bold" if not place else "",
        )  # fmt: skip
    Console(width=None if sys.stdout.isatty() else 140).print(table)
    for breach in results[0].breaches[:5]:
        where = " ".join(filter(None, (breach["proxy"], breach["node"])))
        click.echo(f"{breach['at_ms'] / 1000.0:9.3f} s  {breach['rule']}: {breach['words']}  ({where}, "
                   f"request {breach['line']})")  # fmt: skip


def _tell_traces(result: Result) -> None:
    if not result.traces:
        return
    from heronreel.experiments.report import trace_text

    for line, steps in result.traces.items():
        click.echo(f"\nrequest {line}:\n{trace_text(steps) if steps else '  there is no such request'}")


def _write(path: Path, data: bytes) -> None:
    """Whole or not at all: what was there before stays until the new one is complete."""
    unfinished = path.with_name(f"{path.name}.unfinished")
    try:
        unfinished.write_bytes(data)
        os.replace(unfinished, path)
    except OSError as error:
        _stop(f"{path}: {error.strerror}")


@rehearse_group.command("sweep")
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--set",
    "sets",
    multiple=True,
    metavar="KEY=A,B,C",
    help="A place in the script (proxies.idle_ms) or a constant of the module "
    "(heronreel.balancer.subset.KEPT_BY); repeatable.",
)
@click.option("--seeds", default=SEEDS, show_default=True)
@click.option("--policies", default="", help="Comma-separated; by default as the script says.")
@click.option("--out", type=click.Path(path_type=Path), default=Path("found/sweep"), show_default=True)
@click.option(
    "--workers", type=click.IntRange(1, 256), default=None, help="Processes; by default one a core."
)
@click.option("--json", "as_json", is_flag=True)
def sweep_command(
    file: Path, sets: tuple[str, ...], seeds: str, policies: str, out: Path, workers: int | None,
    as_json: bool,
) -> None:  # fmt: skip
    """Play a script over seeds, policies and settings, on all cores.

    What the folder has already is not played again, so a sweep that was stopped goes on where it was.
    """
    rehearsal = _script(file)
    from rich.console import Console
    from rich.progress import Progress

    from heronreel.experiments.errors import InvalidSettingError
    from heronreel.experiments.identity import parse_seeds, parse_settings
    from heronreel.experiments.sweep import plan_sweep, run_sweep

    names = [name.strip() for name in policies.split(",") if name.strip()] or [rehearsal.proxies.policy]
    for name in names:
        _known(name)
    try:
        plays = plan_sweep(rehearsal, parse_seeds(seeds), names, [parse_settings(text) for text in sets])
    except InvalidSettingError as error:
        _stop(str(error))
    console = Console(stderr=True)
    with Progress(console=console, disable=as_json or not console.is_terminal, transient=True) as bar:
        task = bar.add_task("plays", total=len(plays))
        count = run_sweep(plays, out, workers or len(os.sched_getaffinity(0)),
                      lambda done, of: bar.update(task, completed=done))  # fmt: skip
    told = {"plays": len(plays), "played": count, "there already": len(plays) - count, "results": str(out)}
    if as_json:
        click.echo(json.dumps(told))
    else:
        click.echo(", ".join(f"{name} {value}" for name, value in told.items()))


def _rows(path: Path, where: tuple[str, ...]) -> list[Any]:
    from heronreel.experiments import compare, table
    from heronreel.experiments.errors import UnreadableResultsError

    wanted = {}
    for text in where:
        key, equals, value = text.partition("=")
        if not equals:
            _stop(f"where: {text!r} is not COLUMN=VALUE")
        wanted[key] = value
    try:
        rows = compare.filter_rows(table.read_results(path), wanted)
    except UnreadableResultsError as error:
        _stop(str(error))
    if not rows:
        _stop(f"{path}: no play{' with ' + ', '.join(where) if where else ''}")
    return rows


@rehearse_group.command("compare")
@click.argument("a", type=click.Path(path_type=Path))
@click.argument("b", type=click.Path(path_type=Path))
@click.option("--where-a", multiple=True, metavar="COLUMN=VALUE", help="Which plays of A; repeatable.")
@click.option("--where-b", multiple=True, metavar="COLUMN=VALUE", help="Which plays of B; repeatable.")
@click.option("--json", "as_json", is_flag=True)
def compare_command(
    a: Path, b: Path, where_a: tuple[str, ...], where_b: tuple[str, ...], as_json: bool
) -> None:  # fmt: skip
    """Compare two sets of plays, pair by pair by seed: two builds, policies or settings."""
    from dataclasses import asdict

    from rich.console import Console
    from rich.table import Table

    from heronreel.experiments.compare import compare_results
    from heronreel.experiments.errors import IncomparableResultsError

    rows_a, rows_b = _rows(a, where_a), _rows(b, where_b)
    try:
        found = compare_results(rows_a, rows_b)
    except IncomparableResultsError as error:
        _stop(str(error))
    if as_json:
        click.echo(json.dumps([asdict(one) | {"words": one.words} for one in found], indent=2))
        return
    table = Table(title=f"{found[0].pairs} pairs")
    for head in ("figure", "A", "B", "B less A", "95 % from", "to", "verdict"):
        table.add_column(head, justify="left" if head in ("figure", "verdict") else "right")
    for one in found:
        low, high = min(one.low, one.boot_low), max(one.high, one.boot_high)
        table.add_row(
            one.metric, *(f"{n:.4f}" for n in (one.mean_a, one.mean_b, one.mean, low, high)), one.words
        )
    Console(width=None if sys.stdout.isatty() else 140).print(table)
    broken = [sum(not row["kept"] for row in rows) for rows in (rows_a, rows_b)]
    if any(broken):
        click.echo(
            f"plays with a broken rule: A {broken[0]} of {len(rows_a)}, B {broken[1]} of {len(rows_b)}"
        )


@rehearse_group.command("report")
@click.argument("results", type=click.Path(path_type=Path))
@click.option("--page", type=click.Path(path_type=Path), default=Path("found/sweep.html"), show_default=True)
@click.option("--where", multiple=True, metavar="COLUMN=VALUE", help="Which plays; repeatable.")
def report_command(results: Path, page: Path, where: tuple[str, ...]) -> None:
    """Write a page with the tables and charts of a sweep."""
    from heronreel.experiments.report import render_sweep

    rows = _rows(results, where)
    page.parent.mkdir(parents=True, exist_ok=True)
    _write(page, render_sweep(rows).encode())
    click.echo(f"{page}: {len(rows)} plays")


@rehearse_group.command("shrink")
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--seed", default=1, show_default=True, type=click.IntRange(0, 2**63 - 1))
@click.option("--policy", default="", help="Of the proxies; by default as the script says.")
@click.option(
    "--out", type=click.Path(path_type=Path), help="Where the smallest script goes; else standard output."
)
def shrink_command(file: Path, seed: int, policy: str, out: Path | None) -> None:
    """Cut a script that breaks a rule down to the smallest that still breaks it."""
    rehearsal = _script(file)
    from heronreel.experiments.errors import NoBreachError
    from heronreel.experiments.scripts import script_to_toml
    from heronreel.experiments.shrink import shrink

    try:
        found = shrink(
            rehearsal, seed, policy, lambda words: click.echo(f"still broken with {words}", err=True)
        )
    except NoBreachError as error:
        _stop(str(error), 1)
    head = (
        f"# Breaks the rule {found.rule!r} at {found.at_ms / 1000.0:.3f} s with seed {seed}"
        f"{' and policy ' + policy if policy else ''}; found in {found.plays} plays.\n"
    )
    text = head + script_to_toml(found.rehearsal)
    if out:
        _write(out, text.encode())
        click.echo(f"{out}: {len(found.rehearsal.faults)} troubles, {found.rehearsal.fleet.nodes} nodes")
    else:
        click.echo(text)


@rehearse_group.command("replay")
@click.argument("incident", type=click.Path(path_type=Path))
@click.option(
    "--on", "base", type=click.Path(path_type=Path), required=True, help="The script of fleet and traffic."
)
@click.option("--out", type=click.Path(path_type=Path), help="Where the script goes; else standard output.")
def replay_command(incident: Path, base: Path, out: Path | None) -> None:
    """Turn a recorded incident (JSON lines) into a script that can be played."""
    from heronreel.emulator.script_loader import load_script
    from heronreel.experiments.errors import InvalidIncidentError
    from heronreel.experiments.scripts import script_from_incident, script_to_toml
    from heronreel.routes.reader import ConfigFileError

    rehearsal = _script(base)
    try:
        made, passed = script_from_incident(rehearsal, incident.read_bytes())
        text = script_to_toml(made)
        load_script(text.encode())  # what is written can be played
    except OSError as error:
        _stop(f"{incident}: {error.strerror}")
    except InvalidIncidentError as error:
        _stop(f"{incident}: {error}")
    except ConfigFileError as error:
        _stop(f"{incident}: " + "; ".join(f"{p.field}: {p.wrong}, {p.right}" for p in error.problems[:5]))
    if passed:
        click.echo(f"{incident}: {passed} lines without a trouble passed over", err=True)
    if out:
        _write(out, text.encode())
        click.echo(f"{out}: {len(made.faults)} troubles")
    else:
        click.echo(text)
