"""`heronreel fleet`: the account of what is out, and what may be."""

from __future__ import annotations

import asyncio
import getpass
import json
import sys
from collections.abc import Callable, Coroutine
from typing import Any

import click

from heronreel.cli.group_client import (
    EXIT_BAD_CONFIGURATION,
    EXIT_NO_RESPONSE,
    call_group,
    load_group,
    print_problems,
)

HALTED, REFUSED, LEFT = 1, 3, 4  # exit codes; 0 is done


def _of_group(command: Any) -> Any:
    """Which group a command speaks to."""
    command = click.option("--members", help="Without a file: a=ADDRESS,b=ADDRESS,c=ADDRESS.")(command)
    return click.option("--group", "file", help="The group's file.")(command)


_by = click.option("--by", default=getpass.getuser, help="Who you are, for others.", show_default="your name")


@click.group("fleet")
def fleet_command() -> None:
    """What of the fleet is out, and what more may be."""


@fleet_command.command("allow")
@click.argument("allowances")
@_of_group
def allow_command(allowances: str, file: str | None, members: str | None) -> None:
    """Put a file of allowances in force, whole or not at all.

    Exit codes: 0 done, 2 the group does not answer, 78 a bad file.
    """
    from heronreel.fleet import operation
    from heronreel.fleet.settings import load_file
    from heronreel.routes.reader import BadFile

    try:
        rules = load_file(allowances)
    except BadFile as bad:
        print_problems(allowances, bad)
        sys.exit(EXIT_BAD_CONFIGURATION)
    call_group(file, members, lambda client: operation.allow(client, rules))
    click.echo(f"{len(rules)} allowances are in force")


@fleet_command.command("status")
@_of_group
@click.option("--json", "as_json", is_flag=True, help="JSON on standard output.")
def status_command(file: str | None, members: str | None, as_json: bool) -> None:
    """Every allowance with what it is used for, what goes on, and every instance with who has taken it out.

    Exit codes: 0 told, 2 the group does not answer, 78 a bad file.
    """
    from heronreel.fleet import controller, operation

    async def both(client: Any) -> dict[str, Any]:
        now = await operation.account(client)
        return operation.status_of(now) | controller.rows(await controller.work_of(client), now.halted)

    rows = call_group(file, members, both)
    if as_json:
        click.echo(json.dumps(rows, indent=2))
        return
    if rows["halted"]:
        click.echo(f"HALTED by {rows['halted']['by']}: {rows['halted']['why']}")
    if work := rows["work"]:
        state = work.get("ended") or ("halted" if rows["halted"] else "goes on, or has lost its controller")
        done = len(work["idents"]) - len(work["left"])
        click.echo(f"{work['verb']} {work['name']} by {work['by']}: {done} of {len(work['idents'])}, {state}")
        for ident, outcome in work.get("outcomes", {}).items():
            click.echo(f"  {ident:30} {outcome}")
    for row in rows["rules"]:
        where = f"{row['scope']} {row['value']}".strip()
        most = "" if row["may_be_out"] is None else f" of {row['may_be_out']}"
        state = "BROKEN" if row["broken"] else "kept"
        out = ", ".join(row["out"]) or "none"
        serving = f"{row['serving']:g} serving, at least {row['least']:g}"
        click.echo(f"{row['rule']:24} {where:16} out {len(row['out'])}{most} ({out}); {serving}; {state}")
    for row in rows["instances"]:
        part = row["part"]
        taken = "" if part is None else f"{part['why']} by {part['by']} under {part['number']}"
        click.echo(f"{row['instance']:32} {row['zone']:10} {row['condition']:10} {taken}")


def _operate(
    file: str | None,
    members: str | None,
    by: str,
    call: Callable[[Any], Coroutine[Any, Any, Any]],
    limits: Any = None,
) -> None:
    """Run a controller, tell each change as it comes, and end with the code that says how it went."""
    from heronreel.coordination.model import RequestError
    from heronreel.fleet import controller

    group = load_group(file, members)

    def said(ident: str, words: str) -> None:
        click.echo(f"{ident:32} {words}")

    async def run() -> Any:
        return await call(controller.Controller((row.address for row in group.members), by, limits, said))

    try:
        work = asyncio.run(run())
    except (controller.Busy, ValueError) as refused:
        click.echo(f"heronreel fleet: {refused}", err=True)
        sys.exit(REFUSED)
    except controller.Lost as lost:
        click.echo(f"heronreel fleet: {lost}; whoever follows goes on with it", err=True)
        sys.exit(LEFT)
    except RequestError as refused:
        click.echo(f"heronreel fleet: {refused.what}", err=True)
        sys.exit(EXIT_NO_RESPONSE)
    good = sum(outcome.startswith(controller.GOOD) for outcome in work.outcomes.values())
    click.echo(f"{work.verb.value} {work.name}: {good} of {len(work.idents)}, {len(work.left)} not begun")
    if work.ended == "given up":
        return
    if any(outcome.startswith("unknown") for outcome in work.outcomes.values()):
        sys.exit(LEFT)
    sys.exit(0 if good == len(work.idents) else HALTED)


def _options(command: Any) -> Any:
    wait = click.option("--wait", default=15.0, help="Seconds to wait for another to let the fleet go.")
    return _of_group(_by(wait(command)))


EXITS = """

    Exit codes: 0 done, 1 halted or not as wanted, 2 the group does not answer, 3 refused (who has the fleet,
    or what is wrong), 4 an instance is left unknown, 78 a bad file.
    """


def _verb(name: str, what: str) -> None:
    def run(
        words: tuple[str, ...], file: str | None, members: str | None, by: str, wait: float, at_once: int,
        settle: float, patience: float, version: str = "",
    ) -> None:  # fmt: skip
        from heronreel.fleet.model import Verb
        from heronreel.fleet.step import Limits

        limits = Limits(patience, settle)
        _operate(file, members, by, lambda own: own.run(Verb(name), words, version, at_once, wait), limits)

    run.__doc__ = f"{what} WORDS: names (p*), zone=, group=, state=, version=; all have to hold.{EXITS}"
    command: Any = click.argument("words", nargs=-1, required=True)(run)
    for option in (
        click.option("--at-once", default=1, type=click.IntRange(1, 1000), help="At most so many at a time."),
        click.option("--settle", default=150.0, help="Seconds that one order may take until it is seen."),
        click.option("--patience", default=600.0, help="Seconds to wait for an allowance."),
    ):
        command = option(command)
    if name in ("upgrade", "start"):
        needed = name == "upgrade"
        command = click.option("--to", "version", required=needed, help="A version that the agents know.")(
            command
        )
    fleet_command.command(name)(_options(command))


for _name, _what in (
    ("drain", "Have these take nobody new, as the allowances let them go; they stay out."),
    ("undrain", "Have these take clients again, whoever took them out."),
    ("start", "Have these run, whoever took them out."),
    ("stop", "End these in order, as the allowances let them go; they stay out."),
    ("restart", "End these and start them again, each only while the allowances let it go."),
    ("upgrade", "Have these run another version, each only while the allowances let it go."),
):
    _verb(_name, _what)


@fleet_command.command("go-on")
@_options
def go_on_command(file: str | None, members: str | None, by: str, wait: float) -> None:
    _operate(file, members, by, lambda own: own.go_on(wait))


go_on_command.help = f"Take up what another began and did not end.{EXITS}"


@fleet_command.command("give-up")
@_options
def give_up_command(file: str | None, members: str | None, by: str, wait: float) -> None:
    _operate(file, members, by, lambda own: own.give_up(wait))


give_up_command.help = f"Do not go on with it; what it took out stays out until it is started.{EXITS}"


@fleet_command.command("halt")
@_of_group
@_by
@click.option("--why", required=True, help="For whoever finds the fleet halted.")
def halt_command(file: str | None, members: str | None, by: str, why: str) -> None:
    """No instance is taken out by anybody from now on, until `resume`; what is under way comes to its end.

    Exit codes: 0 done, 2 the group does not answer, 78 a bad file.
    """
    from heronreel.fleet import controller

    call_group(file, members, lambda client: controller.halt(client, by, why))
    click.echo("halted")


@fleet_command.command("resume")
@_of_group
def resume_command(file: str | None, members: str | None) -> None:
    """Lift the halt. What was halted goes on with `go-on`.

    Exit codes: 0 done, 2 the group does not answer, 78 a bad file.
    """
    from heronreel.fleet import controller

    call_group(file, members, controller.resume)
    click.echo("the halt is lifted")
