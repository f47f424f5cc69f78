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

# exit codes in addition to 0 for success and those of `heronreel.cli.group_client`
EXIT_INCOMPLETE = 1
EXIT_REJECTED = 3
EXIT_UNKNOWN_STATE = 4

OPERATION_EXIT_CODES = """

    Exit codes: 0 success, 1 halted or not successful on every instance, 2 the group does not respond, 3
    rejected (the message names the leader or the error), 4 the state of an instance is unknown, 78 invalid
    file.
    """
DEFAULT_WAIT_S = 15.0
DEFAULT_CLAIM_TIMEOUT_S = 600.0
DEFAULT_COMMAND_TIMEOUT_S = 150.0
MAX_PARALLEL_LIMIT = 1000

ClickCommand = Any  # a function or click.Command, as decorators of click take and return them
Json = dict[str, Any]


class GroupOptions(NamedTuple):
    """The options that select the group that a command connects to."""

    file: str | None
    members: str | None


def _group_options(command: ClickCommand) -> ClickCommand:
    command = click.option("--members", help="Without a file: a=ADDRESS,b=ADDRESS,c=ADDRESS.")(command)
    return click.option("--group", "file", help="The configuration file of the group.")(command)


_operator_option = click.option(
    "--by", default=getpass.getuser, help="Your name, shown to other operators.", show_default="your name"
)


@click.group("fleet")
def fleet_command() -> None:
    """Manage the disruption budget of the fleet, and run operations within it."""


@fleet_command.command("allow")
@click.argument("allowances")
@_group_options
def allow_command(allowances: str, file: str | None, members: str | None) -> None:
    """Replace the budget rules by those of a file, completely or not at all.

    Exit codes: 0 success, 2 the group does not respond, 78 invalid file.
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
@click.option("--json", "as_json", is_flag=True, help="Print JSON to standard output.")
def status_command(file: str | None, members: str | None, as_json: bool) -> None:
    """Print the budget rules with their use, the operation, and the instances with their claims.

    Exit codes: 0 success, 2 the group does not respond, 78 invalid file.
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
    scope = f"{rule['scope']} {rule['value']}".strip()
    limit = "" if rule["may_be_out"] is None else f" of {rule['may_be_out']}"
    unavailable = f"{len(rule['out'])}{limit} unavailable ({', '.join(rule['out']) or 'none'})"
    capacity = f"capacity {rule['serving']:g}, at least {rule['least']:g}"
    state = "VIOLATED" if rule["broken"] else "ok"
    return f"{rule['rule']:24} {scope:16} {unavailable}; {capacity}; {state}"


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
    """Run a controller, print progress, and exit with the code of the result."""
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
        _exit_with(EXIT_REJECTED, str(error))
    except LeadershipLostError as error:
        _exit_with(EXIT_UNKNOWN_STATE, f"{error}; another controller can resume the operation")
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
        sys.exit(EXIT_UNKNOWN_STATE)
    sys.exit(0 if succeeded == total else EXIT_INCOMPLETE)


def _controller_options(command: ClickCommand) -> ClickCommand:
    wait = click.option(
        "--wait",
        default=DEFAULT_WAIT_S,
        help="Seconds to wait until another controller releases the leadership.",
    )
    return _group_options(_operator_option(wait(command)))


_parallel_option = click.option(
    "--at-once",
    default=1,
    type=click.IntRange(1, MAX_PARALLEL_LIMIT),
    help="The largest number of instances at a time.",
)
_command_timeout_option = click.option(
    "--settle", default=DEFAULT_COMMAND_TIMEOUT_S, help="Seconds to wait for the effect of a command."
)
_claim_timeout_option = click.option(
    "--patience",
    default=DEFAULT_CLAIM_TIMEOUT_S,
    help="Seconds to wait for a claim on the disruption budget.",
)


def _version_option(required: bool) -> ClickCommand:
    return click.option(
        "--to", "version", required=required, help="A version that is configured on the agents."
    )


def _add_operation_command(name: str, description: str, version_option: ClickCommand | None = None) -> None:
    """Add the command for one kind of operation."""

    def run(
        selectors: tuple[str, ...],
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
            lambda controller: controller.run(kind, selectors, version, at_once, wait),
            OperationTimeouts(patience, settle),
        )

    run.__doc__ = (
        f"{description} SELECTORS: name patterns (p*), zone=, group=, state=, version=; all have to match."
        f"{OPERATION_EXIT_CODES}"
    )
    command: ClickCommand = click.argument("selectors", nargs=-1, required=True)(run)
    for option in (_parallel_option, _command_timeout_option, _claim_timeout_option):
        command = option(command)
    if version_option is not None:
        command = version_option(command)
    fleet_command.command(name)(_controller_options(command))


_add_operation_command(
    "drain", "Drain instances as the budget permits: they accept no new clients until undrained."
)
_add_operation_command("undrain", "Make drained instances accept clients again, whoever drained them.")
_add_operation_command(
    "start", "Start stopped instances, whoever stopped them.", _version_option(required=False)
)
_add_operation_command("stop", "Shut instances down gracefully, as the budget permits; they stay stopped.")
_add_operation_command(
    "restart", "Shut instances down gracefully and start them again, as the budget permits."
)
_add_operation_command(
    "upgrade",
    "Replace the version that instances run, as the budget permits.",
    _version_option(required=True),
)


@fleet_command.command("go-on", help=f"Resume an operation whose controller ended.{OPERATION_EXIT_CODES}")
@_controller_options
def resume_operation_command(file: str | None, members: str | None, by: str, wait: float) -> None:
    """Resume an operation whose controller ended."""
    _run_controller(GroupOptions(file, members), by, lambda controller: controller.resume(wait))


@fleet_command.command(
    "give-up",
    help="Abandon the operation; instances that it took out of service stay so until they are started."
    f"{OPERATION_EXIT_CODES}",
)
@_controller_options
def abandon_operation_command(file: str | None, members: str | None, by: str, wait: float) -> None:
    """Abandon the operation; instances that it took out of service stay so until they are started."""
    _run_controller(GroupOptions(file, members), by, lambda controller: controller.abandon(wait))


@fleet_command.command("halt")
@_group_options
@_operator_option
@click.option("--why", required=True, help="The reason, shown to other operators.")
def halt_command(file: str | None, members: str | None, by: str, why: str) -> None:
    """Take no further instance out of service until `resume`; instances in progress are completed.

    Exit codes: 0 success, 2 the group does not respond, 78 invalid file.
    """
    from heronreel.fleet.budget_client import halt_fleet

    call_group(file, members, lambda client: halt_fleet(client, by, why))
    click.echo("halted")


@fleet_command.command("resume")
@_group_options
def resume_command(file: str | None, members: str | None) -> None:
    """Lift the halt. An operation that was halted is resumed with `go-on`.

    Exit codes: 0 success, 2 the group does not respond, 78 invalid file.
    """
    from heronreel.fleet.budget_client import resume_fleet

    call_group(file, members, resume_fleet)
    click.echo("the halt is lifted")
