"""Shared code of the `heronreel rehearse` commands: read scripts and results, write files, and exit."""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any, NoReturn

import click

if TYPE_CHECKING:
    from rich.console import Console

    from heronreel.emulator.model import Rehearsal
    from heronreel.routes.model import RoutesFile

EXIT_RULE_BROKEN = 1
EXIT_BAD_INPUT = 2
PIPED_WIDTH_COLUMNS = 140  # width of a table that is not printed to a terminal


def exit_with_error(message: str, code: int = EXIT_BAD_INPUT) -> NoReturn:
    """Print the message to standard error and exit."""
    click.echo(f"heronreel rehearse: {message}", err=True)
    sys.exit(code)


def load_script_or_exit(path: Path) -> Rehearsal:
    """Read a script from a file; print its problems and exit if it has any."""
    from heronreel.emulator.script_loader import load_script
    from heronreel.routes.reader import ConfigFileError

    try:
        return load_script(path.read_bytes())
    except OSError as error:
        exit_with_error(f"{path}: {error.strerror}")
    except ConfigFileError as error:
        for problem in error.problems:
            click.echo(f"{path}:{problem}", err=True)
        sys.exit(EXIT_BAD_INPUT)


def load_routes_or_exit(rehearsal: Rehearsal, script_path: Path) -> RoutesFile | None:
    """Read the file of routes that the script names, relative to the script; exit if it is not safe."""
    if not rehearsal.proxies.routes:
        return None
    from heronreel.serve.files import check_file

    path = script_path.parent / rehearsal.proxies.routes
    report = check_file(str(path))
    for finding in report.findings:
        click.echo(f"{path}:{finding}", err=True)
    if not report.safe or report.file is None:
        sys.exit(EXIT_BAD_INPUT)
    return report.file


def check_policy_or_exit(policy: str) -> None:
    """Exit if there is no policy of this name."""
    from heronreel.emulator.policies import FAULTY_POLICIES, POLICIES

    names = (*POLICIES, *FAULTY_POLICIES)
    if policy not in names:
        exit_with_error(f"policy: there is no {policy!r}; known here: {', '.join(sorted(names))}")


def load_results_or_exit(path: Path, conditions: tuple[str, ...]) -> list[Any]:
    """The rows of a results file or folder that match all conditions `COLUMN=VALUE`; exit if none does."""
    from heronreel.experiments.compare import filter_rows
    from heronreel.experiments.errors import UnreadableResultsError
    from heronreel.experiments.table import read_results

    values_by_column = {}
    for condition in conditions:
        column, equals, value = condition.partition("=")
        if not equals:
            exit_with_error(f"where: {condition!r} is not COLUMN=VALUE")
        values_by_column[column] = value
    try:
        rows = filter_rows(read_results(path), values_by_column)
    except UnreadableResultsError as error:
        exit_with_error(str(error))
    if not rows:
        exit_with_error(f"{path}: no play{' with ' + ', '.join(conditions) if conditions else ''}")
    return rows


def write_file_or_exit(path: Path, data: bytes) -> None:
    """Replace a file atomically: the previous one stays until the new one is complete."""
    temporary = path.with_name(f"{path.name}.unfinished")
    try:
        temporary.write_bytes(data)
        os.replace(temporary, path)
    except OSError as error:
        exit_with_error(f"{path}: {error.strerror}")


def table_console() -> Console:
    """The console that tables are printed to."""
    from rich.console import Console

    return Console(width=None if sys.stdout.isatty() else PIPED_WIDTH_COLUMNS)
