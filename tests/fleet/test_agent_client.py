"""Tests of the client that sends commands to agents: the result for each kind of response and failure."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import aiohttp
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from heronreel.coordination.client import Client
from heronreel.coordination.errors import RequestError as GroupError
from heronreel.coordination.errors import StatusCode
from heronreel.coordination.model import RangeResponse, Record, Request
from heronreel.fleet.agent_client import AgentClient
from heronreel.fleet.errors import AgentUnavailableError, CommandFailedError
from heronreel.fleet.lifecycle_messages import Command, CommandResult, DesiredState
from heronreel.fleet.model import Instance, InstanceKind
from heronreel.leases.keys import PRESENCE_PREFIX

INSTANCE = Instance(InstanceKind.PROXY, "p1", owner="m1")
COMMAND = Command(7, 2, DesiredState.STOPPED, "2")


class GroupClient(Client):
    """A stub of the group's client: the group has at most one agent, or every call fails."""

    def __init__(self, agent_address: str | None, error: GroupError | None = None) -> None:
        super().__init__(["127.0.0.1:1"])
        self.agent_address = agent_address
        self.error = error

    async def call(self, request: Request, *_: Any, **__: Any) -> Any:
        if self.error is not None:
            raise self.error
        if self.agent_address is None:
            return RangeResponse(3, (), 0, False)
        presence = json.dumps({"kind": "agent", "version": "0", "address": self.agent_address}).encode()
        return RangeResponse(3, ((PRESENCE_PREFIX + b"m1", Record(presence, 3, 3, 1, 7)),), 1, False)


def send(
    status: int,
    body: str,
    *,
    instance: Instance | None = INSTANCE,
    present: bool = True,
    group_error: GroupError | None = None,
) -> CommandResult:
    """Send COMMAND to an agent that responds with this status and body; check the request body."""
    received: list[Any] = []

    async def handle(request: web.Request) -> web.Response:
        received.append(await request.json())
        return web.Response(status=status, text=body)

    async def run() -> CommandResult:
        app = web.Application()
        app.router.add_post("/order", handle)
        async with TestServer(app, host="127.0.0.1") as server:
            client = GroupClient(f"127.0.0.1:{server.port}" if present else None, group_error)
            async with client, aiohttp.ClientSession() as session:
                return await AgentClient(client, session).send(instance, COMMAND)

    result = asyncio.run(run())
    assert received == [{"instance": "p1", "number": 7, "order": 2, "want": "stopped", "version": "2"}]
    return result


def test_the_decision_of_the_agent_is_returned() -> None:
    assert send(200, '{"taken": true, "number": 7, "looked": 4}') == CommandResult(True, 7, 4)
    assert send(409, '{"taken": false, "number": 9, "looked": 5}') == CommandResult(False, 9, 5)


@pytest.mark.parametrize(
    ("status", "body", "reason"),
    [(404, '{"error": "no instance"}', "no instance"), (400, "{}", "status 400")],
)
def test_a_command_that_the_agent_can_not_execute_fails_with_its_reason(
    status: int, body: str, reason: str
) -> None:
    with pytest.raises(CommandFailedError, match=reason):
        send(status, body)


@pytest.mark.parametrize(("status", "body"), [(200, "{}"), (200, "no JSON"), (502, "no JSON")])
def test_a_malformed_response_is_reported_as_an_unavailable_agent(status: int, body: str) -> None:
    with pytest.raises(AgentUnavailableError, match="does not respond"):
        send(status, body)


def test_an_agent_without_an_address_is_reported_as_unavailable() -> None:
    with pytest.raises(AgentUnavailableError, match="no agent"):
        send(200, "", instance=None)
    with pytest.raises(AgentUnavailableError, match="m1 is not present"):
        send(200, "", present=False)
    with pytest.raises(AgentUnavailableError, match="no leader"):
        send(200, "", group_error=GroupError(StatusCode.UNAVAILABLE, "no leader"))
