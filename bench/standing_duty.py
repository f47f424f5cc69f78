"""Runs the operators' measuring programs one after another and prints the rows for the roadmap.

    python bench/standing_duty.py ../given/kit --seeds 501,502 --why "The reason for the run."

Without `--play`, the full standing test runs, and the brink panel with each seed.  The output of every play
is stored in the results folder under the name and seed of the play.  A play without result is reported, and
the next play starts.  At the end the command prints the rows for `docs/ROADMAP.md`, which `--write` inserts,
and a summary line for each play.

Exit code 0: every gate passed and no rule was broken.  1: a gate failed, a rule was broken, a play had no
result or a table of the page was not found.  2: a usage error, or the kit is missing.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Sequence
from datetime import date
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from bench import lay_sites
from bench.duty import plays
from bench.duty.page import TableNotFound, write_rows
from bench.duty.plays import Deployments, Run, Site
from bench.duty.report import Row, row_of, summary_of
from bench.duty.request import Checkout, Request, parse_request
from bench.duty.runner import Outcome, execute

EXIT_PASSED = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
THIS_CHECKOUT = Checkout(Path(__file__).resolve().parent.parent)


def main(arguments: Sequence[str], checkout: Checkout = THIS_CHECKOUT, today: date | None = None) -> int:
    """Run the requested plays in a checkout and return the exit code; the rows have the date `today`."""
    request = parse_request(arguments, checkout)
    runs = plays.planned_runs(request.plays, request.seeds, other_sites(request.deployments, checkout))
    missing = missing_file(request.kit, runs)
    if missing is not None:
        print(f"standing_duty: incomplete kit: {missing} is missing", file=sys.stderr)
        return EXIT_USAGE
    if any(not run.site.in_kit for run in runs):
        lay_sites.copy_files(request.kit, checkout.sites)
    outcomes = play_all(runs, request, checkout)
    day = today or date.today()
    rows = [row for outcome in outcomes if (row := row_of(outcome, request.why, day)) is not None]
    print_report(rows, outcomes)
    good = all(outcome.good for outcome in outcomes)
    if request.write and not insert_rows(checkout.roadmap, rows):
        good = False
    return EXIT_PASSED if good else EXIT_FAILED


def other_sites(deployments: Deployments, checkout: Checkout) -> list[Site]:
    """Return the deployments other than the first: that of the other customer and the variants."""
    if deployments is Deployments.FIRST:
        return []
    return [Site(plays.OTHER_SITE, in_kit=True), *checkout.variants()]


def missing_file(kit: Path, runs: list[Run]) -> Path | None:
    """Return the first file that a run needs and the kit lacks, relative to the kit."""
    needed = [Path(run.play.program.value) for run in runs]
    needed += [run.site.file for run in runs if run.site.in_kit]
    if any(not run.site.in_kit for run in runs):
        needed += lay_sites.needed_files()
    return next((file for file in needed if not (kit / file).is_file()), None)


def play_all(runs: list[Run], request: Request, checkout: Checkout) -> list[Outcome]:
    """Execute the runs one after another."""
    request.results.mkdir(parents=True, exist_ok=True)
    # The kit records its arguments in the journal, which must not contain absolute paths of a machine.
    kit = Path(os.path.relpath(request.kit, checkout.root))
    outcomes = []
    for run in runs:
        print(f"playing {run.name}", flush=True)
        command = run.command(kit, request.why)
        outcomes.append(execute(run, command, checkout.root, request.results))
    return outcomes


def print_report(rows: list[Row], outcomes: list[Outcome]) -> None:
    """Print the rows under the headings of their tables, then a summary line for each play."""
    for table in dict.fromkeys(row.table for row in rows):
        print(f"\n{table.heading}\n")
        for row in rows:
            if row.table == table:
                print(row.text())
    print()
    for outcome in outcomes:
        print(summary_of(outcome))


def insert_rows(page: Path, rows: list[Row]) -> bool:
    """Insert the rows into the page; print a message and return False if the table of a row is missing."""
    try:
        write_rows(page, rows)
    except TableNotFound as error:
        print(f"standing_duty: {page.name} is unchanged: {error}", file=sys.stderr)
        return False
    return True


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
