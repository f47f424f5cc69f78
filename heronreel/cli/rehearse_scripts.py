"""`heronreel rehearse shrink` and `replay`: make a script from a failing script or a recorded incident."""

from __future__ import annotations

from pathlib import Path

import click

from heronreel.cli.rehearse_input import (
    EXIT_RULE_BROKEN,
    exit_with_error,
    load_script_or_exit,
    write_file_or_exit,
)


@click.command("shrink")
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--seed", default=1, show_default=True, type=click.IntRange(0, 2**63 - 1))
@click.option("--policy", default="", help="The policy of the proxies; by default that of the script.")
@click.option(
    "--out",
    type=click.Path(path_type=Path),
    help="The file for the smallest script; by default standard output.",
)
def shrink_command(file: Path, seed: int, policy: str, out: Path | None) -> None:
    """Reduce a script that violates a rule to the smallest script that still violates it."""
    rehearsal = load_script_or_exit(file)
    from heronreel.experiments.errors import NoBreachError
    from heronreel.experiments.scripts import script_to_toml
    from heronreel.experiments.shrink import shrink

    try:
        shrunk = shrink(
            rehearsal, seed, policy, lambda step: click.echo(f"still broken with {step}", err=True)
        )
    except NoBreachError as error:
        exit_with_error(str(error), EXIT_RULE_BROKEN)
    comment = (
        f"# Breaks the rule {shrunk.rule!r} at {shrunk.at_ms / 1000.0:.3f} s with seed {seed}"
        f"{' and policy ' + policy if policy else ''}; found in {shrunk.plays} plays.\n"
    )
    script = shrunk.rehearsal
    summary = f"{len(script.faults)} troubles, {script.fleet.nodes} nodes"
    _write_script(out, comment + script_to_toml(script), summary)


@click.command("replay")
@click.argument("incident", type=click.Path(path_type=Path))
@click.option(
    "--on",
    "base",
    type=click.Path(path_type=Path),
    required=True,
    help="The script that defines fleet and traffic.",
)
@click.option(
    "--out", type=click.Path(path_type=Path), help="The file for the script; by default standard output."
)
def replay_command(incident: Path, base: Path, out: Path | None) -> None:
    """Turn a recorded incident (JSON lines) into a script that can be played."""
    from heronreel.emulator.script_loader import load_script
    from heronreel.experiments.errors import InvalidIncidentError
    from heronreel.experiments.scripts import script_from_incident, script_to_toml
    from heronreel.routes.reader import ConfigFileError

    rehearsal = load_script_or_exit(base)
    try:
        script, skipped_lines = script_from_incident(rehearsal, incident.read_bytes())
        text = script_to_toml(script)
        load_script(text.encode())  # checks that the written script can be played
    except OSError as error:
        exit_with_error(f"{incident}: {error.strerror}")
    except InvalidIncidentError as error:
        exit_with_error(f"{incident}: {error}")
    except ConfigFileError as error:
        problems = (f"{problem.field}: {problem.wrong}, {problem.right}" for problem in error.problems[:5])
        exit_with_error(f"{incident}: " + "; ".join(problems))
    if skipped_lines:
        click.echo(f"{incident}: {skipped_lines} lines without a trouble passed over", err=True)
    _write_script(out, text, f"{len(script.faults)} troubles")


def _write_script(out: Path | None, text: str, summary: str) -> None:
    """Write the script to a file, or print it if no file is given."""
    if out:
        write_file_or_exit(out, text.encode())
        click.echo(f"{out}: {summary}")
    else:
        click.echo(text)
