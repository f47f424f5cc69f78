"""`heronreel demo`: run a proxy with stub servers and faults for some seconds, and print the results."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from rich.table import Table

    from heronreel.demo.runner import DemoState

COLUMNS = ("server", "rack", "requests", "running", "repeats dropped", "fault")
TEXT_COLUMNS = ("server", "rack")
REFRESHES_PER_SECOND = 4


@click.command("demo")
@click.option(
    "--seconds",
    default=20.0,
    show_default=True,
    type=click.FloatRange(2.0, 600.0),
    help="The duration of the demo.",
)
@click.option(
    "--seed", default=1, show_default=True, help="The seed of the servers' and the clients' random numbers."
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object as the last line, and no table.")
def demo_command(seconds: float, seed: int, as_json: bool) -> None:
    """Run a proxy, six faulty stub servers and a steady client on loopback; exit 1 on a rule violation."""
    from heronreel.demo.runner import DemoError

    try:
        state = _run_quietly(seconds, seed) if as_json else _run_with_table(seconds, seed)
    except DemoError as error:
        click.echo(f"heronreel demo: {error}", err=True)
        sys.exit(1)
    result = state.result()
    if as_json:
        click.echo(json.dumps(result))
    else:
        click.echo(", ".join(f"{name} {count}" for name, count in result.items()))
    sys.exit(1 if result["lost"] or result["twice"] or state.exit_code else 0)


def _run_quietly(seconds: float, seed: int) -> DemoState:
    from heronreel.demo.runner import run_demo

    return asyncio.run(run_demo(seconds, seed, lambda state: None))


def _run_with_table(seconds: float, seed: int) -> DemoState:
    from rich.console import Console
    from rich.live import Live

    from heronreel.demo.runner import run_demo

    console = Console()
    with Live(
        console=console, refresh_per_second=REFRESHES_PER_SECOND, transient=not console.is_terminal
    ) as live:
        return asyncio.run(run_demo(seconds, seed, lambda state: live.update(_table(state))))


def _table(state: DemoState) -> Table:
    from rich.table import Table

    elapsed_s = min(time.monotonic() - state.began, state.seconds) if state.began else 0.0
    totals = ", ".join(f"{name} {count}" for name, count in state.result().items())
    table = Table(title=f"{elapsed_s:4.1f} of {state.seconds:g} s   {totals}")
    for name in COLUMNS:
        table.add_column(name, justify="left" if name in TEXT_COLUMNS else "right")
    for index, server in enumerate(state.servers):
        counters = (server.requests, server.running, server.repeats_dropped)
        table.add_row(server.name, server.group.name, *map(str, counters), state.faults.get(index, ""))
    for route, counts in sorted(state.stats.routes.items()):
        outcomes = ", ".join(f"{name} {count}" for name, count in sorted(counts.items()))
        table.add_row(f"[bold]{route}", "", "", "", "", outcomes)
    median, p95 = state.stats.percentile(50), state.stats.percentile(95)
    table.caption = f"served: median {median:.0f} ms, p95 {p95:.0f} ms"
    return table
