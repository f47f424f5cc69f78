"""The agent process: instance supervisors, an HTTP server for commands, and reports to the group."""

from __future__ import annotations

import asyncio
import signal
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgspec
import structlog
from aiohttp import web

import heronreel
from heronreel.fleet.agent_protocol import (
    AGENT_KIND,
    COMMAND_PATH,
    STATUS_PATH,
    AgentPresence,
    CommandRequest,
    CommandResponse,
    ErrorResponse,
    InstanceStatus,
)
from heronreel.fleet.agent_settings import AgentSettings
from heronreel.fleet.budget_client import report_instance
from heronreel.fleet.errors import InvalidCommandError
from heronreel.fleet.lifecycle_messages import Command, DesiredState
from heronreel.fleet.process_supervisor import ProcessSupervisor
from heronreel.leases.lease import LeaseTerms
from heronreel.leases.session import LeaseSession
from heronreel.store import Store

REPORT_INTERVAL_S = 1.0  # longest time between two reports of an instance that does not change
SHUTDOWN_TIMEOUT_S = 1.0
MAX_REQUEST_BYTES = 16 << 10
FENCING_TOKEN_LIMIT = 1 << 63  # exclusive
SEQUENCE_LIMIT = 1 << 31  # exclusive

log = structlog.get_logger()


def _json_response(body: Any, status: int = 200) -> web.Response:
    return web.json_response(msgspec.to_builtins(body), status=status)


class AgentServer:
    """HTTP server for `POST /order` and `GET /status` of the instances of one machine."""

    def __init__(self, settings: AgentSettings, store: Store) -> None:
        """`store` holds the persisted state of all instances."""
        self.settings = settings
        self.supervisors = {
            instance.name: ProcessSupervisor(settings, instance, store) for instance in settings.instances
        }
        app = web.Application(client_max_size=MAX_REQUEST_BYTES)
        app.router.add_post(COMMAND_PATH, self._handle_command)
        app.router.add_get(STATUS_PATH, self._handle_status)
        self.runner = web.AppRunner(
            app, access_log=None, handle_signals=False, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT; the instances keep running.

        Raises:
            OSError: The address can't be bound.
        """
        stop = asyncio.Event()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(signal_number, stop.set)
        await self.runner.setup()
        await self._listen()
        agent = self.settings.agent
        terms = LeaseTerms(agent.lease_s, agent.margin_s, agent.answer_s)
        async with LeaseSession(agent.group, agent.name, terms) as session:
            presence = AgentPresence(AGENT_KIND, heronreel.__version__, agent.address)
            session.announce_presence(agent.name, msgspec.json.encode(presence))
            supervisors = self.supervisors.values()
            tasks = [asyncio.ensure_future(supervisor.run()) for supervisor in supervisors]
            tasks += [asyncio.ensure_future(self._report(session, supervisor)) for supervisor in supervisors]
            await stop.wait()
            # The HTTP server stops before the supervisors: a command that is accepted when no supervisor
            # executes it any more would get no result.
            await self.runner.cleanup()
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _listen(self) -> None:
        agent = self.settings.agent
        host, _, port = agent.address.rpartition(":")
        await web.TCPSite(self.runner, host, int(port)).start()
        bound_port = self.runner.addresses[0][1]
        log.info("listening", agent=agent.name, port=bound_port)

    async def _report(self, session: LeaseSession, supervisor: ProcessSupervisor) -> None:
        """Report observations to the group until cancelled.

        While the group is unreachable only the reports wait; the supervisor continues.
        """
        while True:
            supervisor.changed.clear()
            await report_instance(session.client, supervisor.observe())
            with suppress(TimeoutError):
                async with asyncio.timeout(REPORT_INTERVAL_S):
                    await supervisor.changed.wait()

    # -- HTTP handlers

    async def _handle_command(self, request: web.Request) -> web.Response:
        """Execute a command.

        The status is 200 if the command is accepted, 409 if a newer command was accepted before, 404 for an
        unknown instance, and 400 for an invalid command.
        """
        try:
            command = self._parse_command(await request.read())
        except (msgspec.MsgspecError, InvalidCommandError) as error:
            return _json_response(ErrorResponse(str(error)), 400)
        supervisor = self.supervisors.get(command.instance)
        if supervisor is None:
            return _json_response(ErrorResponse(f"no instance {command.instance!r} here"), 404)
        if command.desired_state is DesiredState.DRAINED and not supervisor.instance.mgmt:
            problem = f"{command.instance!r} has no management address, so it can't be drained"
            return _json_response(ErrorResponse(problem), 400)
        result = await supervisor.command(
            Command(command.fencing_token, command.sequence, command.desired_state, command.version)
        )
        response = CommandResponse(result.accepted, result.fencing_token, result.observation)
        return _json_response(response, 200 if result.accepted else 409)

    def _parse_command(self, body: bytes) -> CommandRequest:
        command = msgspec.json.decode(body, type=CommandRequest)
        has_valid_token = 0 < command.fencing_token < FENCING_TOKEN_LIMIT
        if not has_valid_token or not 0 < command.sequence < SEQUENCE_LIMIT:
            raise InvalidCommandError("expected a number and an order from 1")
        versions = self.settings.commands
        if command.version and command.version not in versions:
            raise InvalidCommandError(f"version {command.version!r} is none of {', '.join(versions)}")
        return command

    async def _handle_status(self, request: web.Request) -> web.Response:
        """Respond with the state of each instance, by name."""
        supervisors = self.supervisors.items()
        return _json_response({name: _status_of(supervisor) for name, supervisor in supervisors})


def _status_of(supervisor: ProcessSupervisor) -> InstanceStatus:
    lifecycle = supervisor.lifecycle
    state = lifecycle.durable_state
    return InstanceStatus(
        condition=lifecycle.condition,
        stage=lifecycle.stage,
        failure_reason=lifecycle.failure_reason,
        desired_state=state.desired_state,
        version=state.version,
        fencing_token=state.fencing_token,
        sequence=state.sequence,
        process=state.process,
    )


async def serve(settings: AgentSettings) -> None:
    """Run an agent until SIGTERM or SIGINT.

    Raises:
        StoreError: The folder can't be used, or another agent has it open.
        OSError: The folder can't be created, or the address can't be bound.
    """
    folder = Path(settings.agent.folder)
    folder.mkdir(parents=True, exist_ok=True)
    store = await asyncio.to_thread(Store.open, folder / "orders")
    try:
        await AgentServer(settings, store).run()
    finally:
        await asyncio.to_thread(store.close)
