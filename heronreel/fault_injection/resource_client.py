"""The requests that processes under test send to the guarded resource, and their history.

`guarded_resource` serves them; `fencing_check` examines the history.
"""

from __future__ import annotations

import enum
from typing import Any

import aiohttp
import msgspec

from heronreel.fault_injection.errors import ResourceUnavailableError

ENTER_PATH = "/enter"
WRITE_PATH = "/write"
ACTION = "act"  # kind of the operations that a worker records


class ResourceEvent(enum.StrEnum):
    """The kinds of the operations that the resource records."""

    ENTERED = "entered"
    WRITTEN = "written"
    REPEATED = "repeated"  # a repeated write of a step
    REJECTED = "rejected"


class ResourceRequest(msgspec.Struct, frozen=True):
    """A request of a lease holder; also used as the arguments of operations in histories."""

    task: str
    fencing_token: int
    step: int  # starts at 1; ignored for ENTER_PATH
    holder: str


class ResourceResponse(msgspec.Struct, frozen=True):
    """The resource's response."""

    admitted: bool
    highest_token: int
    steps: int = 0  # number of written steps; only for ENTER_PATH


class ResourceClient:
    """Sends requests to the resource at `address`."""

    def __init__(self, address: str, session: aiohttp.ClientSession) -> None:
        self.address = address
        self.session = session

    async def enter(self, request: ResourceRequest) -> ResourceResponse:
        """Register a fencing token; the resource then rejects smaller tokens.

        Raises:
            ResourceUnavailableError: It is unknown whether the request was performed.
        """
        return await self._post(ENTER_PATH, request)

    async def write(self, request: ResourceRequest) -> ResourceResponse:
        """Write one step of a task.

        Raises:
            ResourceUnavailableError: It is unknown whether the request was performed.
        """
        return await self._post(WRITE_PATH, request)

    async def _post(self, path: str, request: ResourceRequest) -> ResourceResponse:
        body: dict[str, Any] = msgspec.to_builtins(request)
        try:
            async with self.session.post(f"http://{self.address}{path}", json=body) as response:
                if response.status != 200:
                    raise ResourceUnavailableError(f"status {response.status}")
                return msgspec.json.decode(await response.read(), type=ResourceResponse)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise ResourceUnavailableError(repr(error)) from error
