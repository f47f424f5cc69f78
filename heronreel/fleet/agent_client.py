"""Commands from a controller to the agents that own the instances."""

from __future__ import annotations

import aiohttp
import msgspec

from heronreel.coordination.client import Client
from heronreel.coordination.errors import RequestError
from heronreel.coordination.model import Range, RangeResponse
from heronreel.fleet.agent_protocol import (
    COMMAND_PATH,
    AgentPresence,
    CommandRequest,
    CommandResponse,
    ErrorResponse,
)
from heronreel.fleet.errors import AgentUnavailableError, CommandFailedError
from heronreel.fleet.lifecycle_messages import Command, CommandResult
from heronreel.fleet.model import Instance
from heronreel.leases.keys import PRESENCE_PREFIX

# 200: the command is accepted; 409: it is older than a command that was already accepted
DECIDED_STATUSES = (200, 409)


class AgentClient:
    """Finds the agent of an instance by its presence key in the group, and sends commands to the agent."""

    def __init__(self, client: Client, session: aiohttp.ClientSession) -> None:
        """The timeout of `session` applies to each command."""
        self.client = client
        self.session = session

    async def send(self, instance: Instance | None, command: Command) -> CommandResult:
        """Send a command to the instance's agent; `instance` is None if no agent has reported it.

        Raises:
            CommandFailedError: The agent can't execute the command.
            AgentUnavailableError: It is unknown whether the agent accepted the command.
        """
        if instance is None or not instance.owner:
            raise AgentUnavailableError("it has no agent")
        try:
            address = await self._address(instance.owner)
            return await self._post(address, instance, command)
        except RequestError as error:
            raise AgentUnavailableError(error.message) from error
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError) as error:
            raise AgentUnavailableError(f"its agent does not respond: {_reason(error)}") from error

    async def _post(self, address: str, instance: Instance, command: Command) -> CommandResult:
        request = CommandRequest(
            instance.name,
            command.fencing_token,
            command.sequence,
            command.desired_state,
            command.version,
        )
        body = msgspec.to_builtins(request)
        async with self.session.post(f"http://{address}{COMMAND_PATH}", json=body) as response:
            data = await response.read()
            if response.status in DECIDED_STATUSES:
                decision = msgspec.json.decode(data, type=CommandResponse)
                return CommandResult(decision.accepted, decision.fencing_token, decision.observation)
            failure = msgspec.json.decode(data, type=ErrorResponse)
            raise CommandFailedError(failure.error or f"status {response.status}")

    async def _address(self, agent: str) -> str:
        """Look up the address at which an agent accepts commands.

        Raises:
            AgentUnavailableError: The agent has no presence key.
            RequestError: The group does not respond.
        """
        response = await self.client.call(Range(PRESENCE_PREFIX + agent.encode()))
        assert isinstance(response, RangeResponse)
        if not response.records:
            raise AgentUnavailableError(f"its agent {agent} is not present")
        return msgspec.json.decode(response.records[0][1].value, type=AgentPresence).address


def _reason(error: Exception) -> str:
    return str(error) or type(error).__name__
