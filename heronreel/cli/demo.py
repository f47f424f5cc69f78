"""`heronreel demo`."""

from __future__ import annotations

import asyncio
import json
import sys
import time

import click


@click.command("demo")
@click.option(
    "--seconds", default=20.0, show_default=True, type=click.FloatRange(2.0, 600.0), help="How long."
)
@click.option("--seed", default=1, show_default=True, help="Of the servers' and the clients' draws.")
@click.option("--json", "as_json", is_flag=True, help="No table; one JSON object as the last line.")
def demo_command(seconds: float, seed: int, as_json: bool) -> None:
    """A proxy, six stand-in servers in trouble and a steady client, on loopback; exit 1 if a rule broke."""
    from rich.console import Console
    from rich.live import Live
    from rich.table import Table

    from heronreel.demo.play import DemoFailed, Stage, play

    def table(stage: Stage) -> Table:
        now = min(time.monotonic() - stage.began, stage.seconds) if stage.began else 0.0
        result = stage.result()
        words = ", ".join(f"{name} {count}" for name, count in result.items())
        made = Table(title=f"{now:4.1f} of {stage.seconds:g} s   {words}")
        for name in ("server", "rack", "asked", "running", "repeats dropped", "what is wrong with it"):
            made.add_column(name, justify="left" if name in ("server", "rack") else "right")
        for number, node in enumerate(stage.nodes):
            made.add_row(
                node.name, node.rack.name, str(node.asked), str(node.running), str(node.dropped),
                stage.troubles.get(number, ""),
            )  # fmt: skip
        for route, counts in sorted(stage.told.routes.items()):
            made.add_row(
                f"[bold]{route}", "", "", "", "", ", ".join(f"{n} {c}" for n, c in sorted(counts.items()))
            )
        made.caption = (
            f"served: median {stage.told.percentile(50):.0f} ms, p95 {stage.told.percentile(95):.0f} ms"
        )
        return made

    try:
        if as_json:
            stage = asyncio.run(play(seconds, seed, lambda stage: None))
            click.echo(json.dumps(stage.result()))
        else:
            console = Console()
            with Live(console=console, refresh_per_second=4, transient=not console.is_terminal) as live:
                stage = asyncio.run(play(seconds, seed, lambda stage: live.update(table(stage))))
            click.echo(", ".join(f"{name} {count}" for name, count in stage.result().items()))
    except DemoFailed as error:
        click.echo(f"heronreel demo: {error}", err=True)
        sys.exit(1)
    result = stage.result()
    sys.exit(1 if result["lost"] or result["twice"] or stage.code else 0)
