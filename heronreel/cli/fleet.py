"""`heronreel fleet`: the disruption budget, operations on the fleet, and the halt."""

from __future__ import annotations

import asyncio
import getpass
import json
import sys
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple, NoReturn

import click

from heronreel.cli.group_client import (
    EXIT_BAD_CONFIGURATION,
    EXIT_NO_RESPONSE,
    call_group,
    load_group,
    print_problems,
)

# exit codes besides 0 for success and those of `heronreel.cli.coordinate`
NOT_AS_WANTED = 1
REJECTED = 3
UNKNOWN_STATE = 4

OPERATION_EXIT_CODES = """

    Exit codes: 0 success, 1 halted or not as wanted, 2 the group does not respond, 3 rejected (who leads the
    fleet, or what is wrong), 4 the state of an instance is unknown, 78 a bad file.
    """
DEFAULT_WAIT_S = 15.0
DEFAULT_CLAIM_TIMEOUT_S = 600.0
DEFAULT_COMMAND_TIMEOUT_S = 150.0
MAX_PARALLEL_LIMIT = 1000

ClickCommand = Any  # a function or click.Command, as decorators of click take and return them
Json = dict[str, Any]


class GroupOptions(NamedTuple):
    """Which group a command connects to."""

    file: str | None
    members: str | None


def _group_options(command: ClickCommand) -> ClickCommand:
    command = click.option("--members", help="Without a file: a=ADDRESS,b=ADDRESS,c=ADDRESS.")(command)
    return click.option("--group", "file", help="The group's file.")(command)


_operator_option = click.option(
    "--by", default=getpass.getuser, help="Who you are, for others.", show_default="your name"
)


@click.group("fleet")
def fleet_command() -> None:
    """The disruption budget of the fleet, and operations within it."""


@fleet_command.command("allow")
@click.argument("allowances")
@_group_options
def allow_command(allowances: str, file: str | None, members: str | None) -> None:
    """Put a file of budget rules in force, completely or not at all.

    Exit codes: 0 success, 2 the group does not respond, 78 a bad file.
    """
    from heronreel.fleet.budget_client import replace_rules
    from heronreel.fleet.budget_settings import load_file
    from heronreel.routes.reader import ConfigFileError

    try:
        rules = load_file(allowances)
    except ConfigFileError as error:
        print_problems(allowances, error)
        sys.exit(EXIT_BAD_CONFIGURATION)
    call_group(file, members, lambda client: replace_rules(client, rules))
    click.echo(f"{len(rules)} allowances are in force")


@fleet_command.command("status")
@_group_options
@click.option("--json", "as_json", is_flag=True, help="JSON on standard output.")
def status_command(file: str | None, members: str | None, as_json: bool) -> None:
    """Every budget rule with its use, the operation, and every instance with the claim on it.

    Exit codes: 0 success, 2 the group does not respond, 78 a bad file.
    """
    status = call_group(file, members, _read_status)
    if as_json:
        click.echo(json.dumps(status, indent=2))
        return
    for line in _status_lines(status):
        click.echo(line)


async def _read_status(client: Any) -> Json:
    from heronreel.fleet.budget_client import read_snapshot
    from heronreel.fleet.fleet_status import budget_status, operation_status
    from heronreel.fleet.leadership import read_operation

    snapshot = await read_snapshot(client)
    operation = await read_operation(client)
    return budget_status(snapshot) | operation_status(snapshot, operation)


def _status_lines(status: Json) -> list[str]:
    halt = status["halted"]
    lines = [f"HALTED by {halt['by']}: {halt['why']}"] if halt else []
    if status["work"]:
        lines += _operation_lines(status["work"], halted=bool(halt))
    lines += [_rule_line(rule) for rule in status["rules"]]
    lines += [_instance_line(instance) for instance in status["instances"]]
    return lines


def _operation_lines(operation: Json, halted: bool) -> list[str]:
    unfinished = "halted" if halted else "in progress, or has lost its controller"
    state = operation.get("ended") or unfinished
    total = len(operation["idents"])
    done = total - len(operation["left"])
    title = f"{operation['verb']} {operation['name']} by {operation['by']}: {done} of {total}, {state}"
    outcomes = operation.get("outcomes", {})
    return [title, *(f"  {instance_id:30} {outcome}" for instance_id, outcome in outcomes.items())]


def _rule_line(rule: Json) -> str:
    where = f"{rule['scope']} {rule['value']}".strip()
    limit = "" if rule["may_be_out"] is None else f" of {rule['may_be_out']}"
    unavailable = f"{len(rule['out'])}{limit} unavailable ({', '.join(rule['out']) or 'none'})"
    capacity = f"capacity {rule['serving']:g}, at least {rule['least']:g}"
    state = "VIOLATED" if rule["broken"] else "ok"
    return f"{rule['rule']:24} {where:16} {unavailable}; {capacity}; {state}"


def _instance_line(instance: Json) -> str:
    claim = instance["part"]
    claimed = "" if claim is None else f"{claim['why']} by {claim['by']} under {claim['number']}"
    return f"{instance['instance']:32} {instance['zone']:10} {instance['condition']:10} {claimed}"


def _run_controller(
    group_options: GroupOptions,
    operator: str,
    call: Callable[[Any], Coroutine[Any, Any, Any]],
    timeouts: Any = None,
) -> None:
    """Run a controller, print each change as it comes, and exit with the code of the result."""
    from heronreel.coordination.errors import RequestError
    from heronreel.fleet.controller import Controller
    from heronreel.fleet.errors import (
        FleetBusyError,
        LeadershipLostError,
        OperationRejectedError,
        StaleFencingTokenError,
    )

    group = load_group(group_options.file, group_options.members, "-")

    def print_progress(instance_id: str, text: str) -> None:
        click.echo(f"{instance_id:32} {text}")

    async def run() -> Any:
        addresses = (member.address for member in group.members)
        return await call(Controller(addresses, operator, timeouts, print_progress))

    try:
        operation = asyncio.run(run())
    except (FleetBusyError, OperationRejectedError, StaleFencingTokenError) as error:
        _exit_with(REJECTED, str(error))
    except LeadershipLostError as error:
        _exit_with(UNKNOWN_STATE, f"{error}; another controller can resume the operation")
    except RequestError as error:
        _exit_with(EXIT_NO_RESPONSE, error.message)
    _exit_with_result(operation)


def _exit_with(code: int, message: str) -> NoReturn:
    click.echo(f"heronreel fleet: {message}", err=True)
    sys.exit(code)


def _exit_with_result(operation: Any) -> None:
    """Print the result of an operation and exit with its code."""
    from heronreel.fleet.controller import ABANDONED_STATUS
    from heronreel.fleet.instance_operation import SUCCESSFUL_OUTCOME_PREFIXES, UNKNOWN_OUTCOME_PREFIX

    outcomes = operation.outcomes.values()
    succeeded = sum(outcome.startswith(SUCCESSFUL_OUTCOME_PREFIXES) for outcome in outcomes)
    total = len(operation.instance_ids)
    title = f"{operation.kind.value} {operation.id}"
    click.echo(f"{title}: {succeeded} of {total}, {len(operation.pending)} not begun")
    if operation.final_status == ABANDONED_STATUS:
        return
    if any(outcome.startswith(UNKNOWN_OUTCOME_PREFIX) for outcome in outcomes):
        sys.exit(UNKNOWN_STATE)
    sys.exit(0 if succeeded == total else NOT_AS_WANTED)


def _controller_options(command: ClickCommand) -> ClickCommand:
    wait = click.option(
        "--wait", default=DEFAULT_WAIT_S, help="Seconds to wait for another controller to let the fleet go."
    )
    return _group_options(_operator_option(wait(command)))


_parallel_option = click.option(
    "--at-once", default=1, type=click.IntRange(1, MAX_PARALLEL_LIMIT), help="At most so many at a time."
)
_command_timeout_option = click.option(
    "--settle", default=DEFAULT_COMMAND_TIMEOUT_S, help="Seconds until the effect of a command is observed."
)
_claim_timeout_option = click.option(
    "--patience", default=DEFAULT_CLAIM_TIMEOUT_S, help="Seconds to wait for a claim on the budget."
)


def _version_option(required: bool) -> ClickCommand:
    return click.option("--to", "version", required=required, help="A version that the agents know.")


def _add_operation_command(name: str, description: str, version_option: ClickCommand | None = None) -> None:
    """Add the command for one kind of operation."""

    def run(
        words: tuple[str, ...],
        file: str | None,
        members: str | None,
        by: str,
        wait: float,
        at_once: int,
        settle: float,
        patience: float,
        version: str = "",
    ) -> None:
        from heronreel.fleet.instance_operation import OperationTimeouts
        from heronreel.fleet.model import OperationKind

        kind = OperationKind(name)
        _run_controller(
            GroupOptions(file, members),
            by,
            lambda controller: controller.run(kind, words, version, at_once, wait),
            OperationTimeouts(patience, settle),
        )

    run.__doc__ = (
        f"{description} WORDS: names (p*), zone=, group=, state=, version=; all have to match."
        f"{OPERATION_EXIT_CODES}"
    )
    command: ClickCommand = click.argument("words", nargs=-1, required=True)(run)
    for option in (_parallel_option, _command_timeout_option, _claim_timeout_option):
        command = option(command)
    if version_option is not None:
        command = version_option(command)
    fleet_command.command(name)(_controller_options(command))


_add_operation_command("drain", "Have these accept no new clients, as the budget permits; they stay so.")
_add_operation_command("undrain", "Have these accept clients again, whoever drained them.")
_add_operation_command("start", "Start these, whoever stopped them.", _version_option(required=False))
_add_operation_command("stop", "Shut these down gracefully, as the budget permits; they stay stopped.")
_add_operation_command("restart", "Shut these down and start them again, as the budget permits.")
_add_operation_command(
    "upgrade", "Have these run another version, as the budget permits.", _version_option(required=True)
)


@fleet_command.command("go-on", help=f"Resume an operation whose controller ended.{OPERATION_EXIT_CODES}")
@_controller_options
def resume_operation_command(file: str | None, members: str | None, by: str, wait: float) -> None:
    """Resume an operation whose controller ended."""
    _run_controller(GroupOptions(file, members), by, lambda controller: controller.resume(wait))


@fleet_command.command(
    "give-up",
    help="Abandon the operation; what it took out of service stays so until it is started."
    f"{OPERATION_EXIT_CODES}",
)
@_controller_options
def abandon_operation_command(file: str | None, members: str | None, by: str, wait: float) -> None:
    """Abandon the operation; what it took out of service stays so until it is started."""
    _run_controller(GroupOptions(file, members), by, lambda controller: controller.abandon(wait))


@fleet_command.command("halt")
@_group_options
@_operator_option
@click.option("--why", required=True, help="For whoever finds the fleet halted.")
def halt_command(file: str | None, members: str | None, by: str, why: str) -> None:
    """Let no instance be taken out of service until `resume`; what is under way is completed.

    Exit codes: 0 success, 2 the group does not respond, 78 a bad file.
    """
    from heronreel.fleet.budget_client import halt_fleet

    call_group(file, members, lambda client: halt_fleet(client, by, why))
    click.echo("halted")


@fleet_command.command("resume")
@_group_options
def resume_command(file: str | None, members: str | None) -> None:
    """Lift the halt. An operation that was halted is resumed with `go-on`.

    Exit codes: 0 success, 2 the group does not respond, 78 a bad file.
    """
    from heronreel.fleet.budget_client import resume_fleet

    call_group(file, members, resume_fleet)
    click.echo("the halt is lifted")
