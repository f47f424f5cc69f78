"""`heronreel leases`, `tasks` and `members`: show and change the leases, tasks and members of a group."""

from __future__ import annotations

import json
import sys
from collections.abc import Sequence
from typing import Any

import click

from heronreel.cli.group_client import (
    EXIT_BAD_CONFIGURATION,
    EXIT_NOT_FOUND,
    call_group,
    group_options,
    load_group,
)

json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON to standard output.")


@click.command("leases")
@group_options
@click.option("--take", help="Revoke the claim on this task: later actions of its holder are rejected.")
@json_option
def leases_command(file: str | None, members: str | None, take: str | None, as_json: bool) -> None:
    """Print the holder, fencing token and remaining lease of each task, and who is present.

    Exit codes: 0 success, 1 nobody holds the task to revoke, 2 the group does not respond, 78 invalid file.
    """
    from heronreel.leases.overview import lease_overview

    if take is not None:
        _revoke(file, members, take, as_json)
        return
    overview = call_group(file, members, lease_overview)
    if as_json:
        click.echo(json.dumps(overview, indent=2))
    else:
        _print_leases(overview["held"], overview["present"])


def _revoke(file: str | None, members: str | None, task: str, as_json: bool) -> None:
    from heronreel.leases.administration import revoke_claim

    fencing_token = call_group(file, members, lambda client: revoke_claim(client, task))
    if fencing_token is None:
        click.echo(f"nobody holds {task!r}", err=True)
        sys.exit(EXIT_NOT_FOUND)
    report = {"taken": task, "number": fencing_token}
    text = f"{task}: taken away, number {fencing_token} is rejected from now on"
    click.echo(json.dumps(report) if as_json else text)


def _print_leases(held: Sequence[dict[str, Any]], present: Sequence[dict[str, Any]]) -> None:
    for row in held:
        left = "its lease has ended" if row["left_s"] is None else f"{row['left_s']} s left at least"
        click.echo(f"held     {row['task']:24} number {row['number']:<8} by {row['by']}, {left}")
    for row in present:
        unknown_since_s = row["unknown_since_s"]
        state = "present" if unknown_since_s is None else f"unknown since {unknown_since_s} s,"
        click.echo(f"{state}  {row['name']:24} since {row['since']:<9} {row['what']}")
    if not held and not present:
        click.echo("nobody holds anything")


@click.command("tasks")
@group_options
@click.option("--again", help="Retry this suspended task.")
@json_option
def tasks_command(file: str | None, members: str | None, again: str | None, as_json: bool) -> None:
    """Print each fleet-wide task's last confirmed step, the step in progress, and whether it is suspended.

    Exit codes: 0 success, 1 the task is not suspended, 2 the group does not respond, 78 invalid file.
    """
    from heronreel.leases import overview

    if again is not None:
        _restart(file, members, again, as_json)
    rows = call_group(file, members, overview.task_overview)
    if as_json:
        click.echo(json.dumps(rows, indent=2))
    else:
        _print_tasks(rows)


def _restart(file: str | None, members: str | None, task: str, as_json: bool) -> None:
    from heronreel.leases import administration

    done = call_group(file, members, lambda client: administration.restart_task(client, task))
    text = "retried" if done else "not suspended"
    click.echo(json.dumps({"task": task, "done": done}) if as_json else f"{task}: {text}")
    sys.exit(0 if done else EXIT_NOT_FOUND)


def _print_tasks(rows: Sequence[dict[str, Any]]) -> None:
    for row in rows:
        begun = f", step {row['begun']} begun {row['tries']} times" if row["begun"] else ""
        state = "suspended" if row["set_aside"] else f"held by {row['held_by'] or 'nobody'}"
        click.echo(f"{row['task']:24} step {row['confirmed']} confirmed by {row['last_by']}{begun}; {state}")
    if not rows:
        click.echo("no task was begun yet")


@click.command("members")
@group_options
@click.option("--set", "wanted", help="The desired members, as a,b,c; the file has to name all of them.")
@click.option("--even", is_flag=True, help="Allow an even number of members.")
@json_option
def members_command(
    file: str | None, members: str | None, wanted: str | None, even: bool, as_json: bool
) -> None:
    """Print the members of the group, the state of each, and the desired members.

    Exit codes: 0 success, 2 the group does not respond, 78 invalid file or names.
    """
    from heronreel.leases import administration

    if wanted is not None:
        _resize(file, members, wanted, even, as_json)
        return
    state = call_group(file, members, administration.group_overview)
    if as_json:
        click.echo(json.dumps(state, indent=2))
    else:
        _print_members(state)


def _resize(file: str | None, members: str | None, wanted: str, even: bool, as_json: bool) -> None:
    from heronreel.leases import administration

    names = sorted(set(wanted.replace(",", " ").split()))
    known = sorted(member.name for member in load_group(file, members).members)
    problems = [f"{name!r} is none of {', '.join(known)}" for name in names if name not in known]
    if not names or (len(names) % 2 == 0 and not even):
        problems.append(f"{len(names)} members; an odd number, or --even")
    for problem in problems:
        click.echo(f"--set: {problem}", err=True)
    if problems:
        sys.exit(EXIT_BAD_CONFIGURATION)
    call_group(file, members, lambda client: administration.resize_group(client, names))
    click.echo(json.dumps({"wish": names}) if as_json else f"the group is to be {', '.join(names)}")


def _print_members(state: dict[str, Any]) -> None:
    for row in state["members"]:
        membership = "in the group" if row["in"] else "not in the group"
        click.echo(f"{row['address']:24} {row['member'] or '?':12} {row['role']:10} {membership}")
    if state["wish"] is not None:
        click.echo(f"should be: {', '.join(state['wish'])}")
