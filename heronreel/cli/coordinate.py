"""`heronreel coordinate` runs a member of a group; `heronreel leases` shows who holds what, and takes it
away.
"""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Callable, Coroutine
from typing import Any

import click

NOT_FOUND, NO_GROUP, BAD_FILE, NOT_SERVED = 1, 2, 78, 74


def tell(name: str, bad: Any) -> None:
    """The problems of a bad file, each on its line."""
    for problem in bad.problems:
        click.echo(f"{name}: {problem}", err=True)


def group_of(file: str | None, members: str | None, folder: str) -> Any:
    """The group of a file or of --members; ends the process with its problems."""
    from heronreel.coordination.settings import group_of_addresses, load_file
    from heronreel.routes.reader import BadFile

    if (file is None) == (members is None):
        raise click.UsageError("expected a FILE, or --members")
    try:
        return load_file(file) if file is not None else group_of_addresses(members or "", folder)
    except BadFile as bad:
        tell(file or "--members", bad)
        sys.exit(BAD_FILE)


@click.command("coordinate")
@click.argument("file", required=False)
@click.option("--name", required=True, help="Which of the members this is.")
@click.option("--members", help="Without a FILE: a=ADDRESS,b=ADDRESS,c=ADDRESS.")
@click.option("--folder", default="", help="Where this member keeps its disk, if not as the file says.")
@click.option("--listen", help="Another address to listen on than the one that the others call.")
def coordinate_command(
    file: str | None, name: str, members: str | None, folder: str, listen: str | None
) -> None:
    """Run one member of a group. SIGTERM ends it.

    Exit codes: 0 ended as asked, 74 the disk can't be used (damaged, in use, of another member), 78 a bad
    file.
    """
    import structlog

    from heronreel.coordination.logs import log_to_stderr
    from heronreel.coordination.settings import load_file
    from heronreel.coordinator.disk import MemberDisk, WrongMemberError
    from heronreel.coordinator.server import run_server
    from heronreel.routes.reader import BadFile
    from heronreel.store import StoreError

    log_to_stderr()
    log = structlog.get_logger()
    group = group_of(file, members, folder)
    row = group.row(name)
    if row is None:
        click.echo(f"--name: {name!r} is none of {', '.join(r.name for r in group.members)}", err=True)
        sys.exit(BAD_FILE)
    path = folder or row.folder
    if not path:
        click.echo(f"{file or '--members'}: no folder for {name!r}, and --folder is not given", err=True)
        sys.exit(BAD_FILE)
    try:
        disk = MemberDisk(path, name)
    except (StoreError, WrongMemberError, OSError) as error:
        log.error("does not serve", member=name, error=str(error))
        sys.exit(NOT_SERVED)

    def ready(port: int) -> None:
        log.info("listens", member=name, port=port, incarnation=disk.durable.incarnation)

    def reread() -> Any:
        """The file once more; a bad one is told, and the old one stays in force."""
        if file is None:
            return None
        try:
            return load_file(file)
        except BadFile as bad:
            tell(file, bad)
            return None

    try:
        import uvloop

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            code = runner.run(run_server(group, name, disk, listen, ready, reread))
    except OSError as error:
        log.error("does not serve", member=name, error=str(error))
        disk.close()
        code = NOT_SERVED
    log.info("ended", member=name, code=code)
    sys.exit(code)


def asked(file: str | None, members: str | None, call: Callable[[Any], Coroutine[Any, Any, Any]]) -> Any:
    from heronreel.coordination.client import Client
    from heronreel.coordination.model import RequestError

    group = group_of(file, members, "-")

    async def run_server() -> Any:
        async with Client(row.address for row in group.members) as client:
            return await call(client)

    try:
        return asyncio.run(run_server())
    except RequestError as refused:
        click.echo(f"heronreel leases: {refused.what}", err=True)
        sys.exit(NO_GROUP)


@click.command("leases")
@click.argument("file", required=False)
@click.option("--members", help="Without a FILE: a=ADDRESS,b=ADDRESS,c=ADDRESS.")
@click.option("--take", help="Take this task from its holder: whatever it does from now on is refused.")
@click.option("--json", "as_json", is_flag=True, help="JSON on standard output.")
def leases_command(file: str | None, members: str | None, take: str | None, as_json: bool) -> None:
    """Who holds what, with which number and for how long; who is present.

    Exit codes: 0 told or done, 1 nobody holds what is to be taken, 2 the group does not answer, 78 a bad
    file.
    """
    from heronreel.leases.administration import revoke_claim
    from heronreel.leases.overview import lease_overview

    if take is not None:
        number = asked(file, members, lambda client: revoke_claim(client, take))
        if number is None:
            click.echo(f"nobody holds {take!r}", err=True)
            sys.exit(NOT_FOUND)
        told = {"taken": take, "number": number}
        words = f"{take}: taken away, number {number} is refused from now on"
        click.echo(json.dumps(told) if as_json else words)
        return
    rows = asked(file, members, lease_overview)
    if as_json:
        click.echo(json.dumps(rows, indent=2))
        return
    for row in rows["held"]:
        left = "its lease has ended" if row["left_s"] is None else f"{row['left_s']} s left at least"
        click.echo(f"held     {row['task']:24} number {row['number']:<8} by {row['by']}, {left}")
    for row in rows["present"]:
        silent = row["unknown_since_s"]
        state = "present" if silent is None else f"unknown since {silent} s,"
        click.echo(f"{state}  {row['name']:24} since {row['since']:<9} {row['what']}")
    if not rows["held"] and not rows["present"]:
        click.echo("nobody holds anything")


@click.command("tasks")
@click.argument("file", required=False)
@click.option("--members", help="Without a FILE: a=ADDRESS,b=ADDRESS,c=ADDRESS.")
@click.option("--again", help="Have this task, which was set aside, tried anew.")
@click.option("--json", "as_json", is_flag=True, help="JSON on standard output.")
def tasks_command(file: str | None, members: str | None, again: str | None, as_json: bool) -> None:
    """Where each fleet-wide task is: its last confirmed step, what was begun, what was set aside.

    Exit codes: 0 told or done, 1 the task is not set aside, 2 the group does not answer, 78 a bad file.
    """
    from heronreel.leases.administration import restart_task
    from heronreel.leases.overview import task_overview

    if again is not None:
        done = asked(file, members, lambda client: restart_task(client, again))
        told = "tried anew" if done else "not set aside"
        click.echo(json.dumps({"task": again, "done": done}) if as_json else f"{again}: {told}")
        sys.exit(0 if done else NOT_FOUND)
    rows = asked(file, members, task_overview)
    if as_json:
        click.echo(json.dumps(rows, indent=2))
        return
    for row in rows:
        begun = f", step {row['begun']} begun {row['tries']} times" if row["begun"] else ""
        state = "set aside" if row["set_aside"] else f"held by {row['held_by'] or 'nobody'}"
        click.echo(f"{row['task']:24} step {row['confirmed']} confirmed by {row['last_by']}{begun}; {state}")
    if not rows:
        click.echo("no task was begun yet")


@click.command("members")
@click.argument("file", required=False)
@click.option("--members", help="Without a FILE: a=ADDRESS,b=ADDRESS,c=ADDRESS.")
@click.option("--set", "wish", help="Who should be in the group from now on: a,b,c, all of them in the file.")
@click.option("--even", is_flag=True, help="Yes, an even number.")
@click.option("--json", "as_json", is_flag=True, help="JSON on standard output.")
def members_command(
    file: str | None, members: str | None, wish: str | None, even: bool, as_json: bool
) -> None:
    """Who is in the group, what each member says of itself, and who should be in it.

    Exit codes: 0 told or done, 2 the group does not answer, 78 a bad file or bad names.
    """
    from heronreel.leases.administration import group_overview, resize_group

    if wish is not None:
        names = sorted(set(wish.replace(",", " ").split()))
        known = {row.name for row in group_of(file, members, "-").members}
        wrong = [f"{name!r} is none of {', '.join(sorted(known))}" for name in names if name not in known]
        if not names or (len(names) % 2 == 0 and not even):
            wrong.append(f"{len(names)} members; an odd number, or --even")
        for each in wrong:
            click.echo(f"--set: {each}", err=True)
        if wrong:
            sys.exit(BAD_FILE)
        asked(file, members, lambda client: resize_group(client, names))
        click.echo(json.dumps({"wish": names}) if as_json else f"the group is to be {', '.join(names)}")
        return
    rows = asked(file, members, group_overview)
    if as_json:
        click.echo(json.dumps(rows, indent=2))
        return
    for row in rows["members"]:
        state = "in the group" if row["in"] else "not in the group"
        click.echo(f"{row['address']:24} {row['member'] or '?':12} {row['role']:10} {state}")
    if rows["wish"] is not None:
        click.echo(f"should be: {', '.join(rows['wish'])}")
