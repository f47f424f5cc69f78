"""A resource guarded by fencing tokens that runs in a separate process.

`python -m heronreel.fault_injection.guarded_resource FOLDER HISTORY` prints the port that it listens on.  The
guard and the table are those of the product (`heronreel.leases.fencing`); the history is for the checkers.
"""

from __future__ import annotations

import socket
import sys
from pathlib import Path

import msgspec
from aiohttp import web

from heronreel.fault_injection.histories import HistoryWriter
from heronreel.fault_injection.resource_client import (
    ENTER_PATH,
    WRITE_PATH,
    ResourceEvent,
    ResourceRequest,
    ResourceResponse,
)
from heronreel.leases.fencing import FencedTable
from heronreel.store import Store


class GuardedResource:
    """The HTTP interface of a fenced table."""

    def __init__(self, table: FencedTable, history: HistoryWriter) -> None:
        self.table = table
        self.history = history

    async def enter(self, request: web.Request) -> web.Response:
        """Raise a task's fencing token."""
        resource_request = await _decode(request)
        task = resource_request.task.encode()
        verdict = self.table.register_holder(task, resource_request.fencing_token)
        if verdict.admitted:
            self._record(ResourceEvent.ENTERED, resource_request)
        return _encode(ResourceResponse(verdict.admitted, verdict.highest_token, self.table.step_count(task)))

    async def write(self, request: web.Request) -> web.Response:
        """Write one step of a task."""
        resource_request = await _decode(request)
        try:
            verdict, written = self.table.write(
                resource_request.task.encode(),
                resource_request.fencing_token,
                resource_request.step,
                resource_request.holder.encode(),
            )
        except ValueError as error:
            return web.json_response({"error": str(error)}, status=400)
        if written:
            event = ResourceEvent.WRITTEN
        else:
            event = ResourceEvent.REPEATED if verdict.admitted else ResourceEvent.REJECTED
        self._record(event, resource_request)
        return _encode(ResourceResponse(verdict.admitted, verdict.highest_token))

    def _record(self, event: ResourceEvent, resource_request: ResourceRequest) -> None:
        self.history.start(event, msgspec.to_builtins(resource_request))


async def _decode(request: web.Request) -> ResourceRequest:
    return msgspec.json.decode(await request.read(), type=ResourceRequest)


def _encode(response: ResourceResponse) -> web.Response:
    return web.Response(body=msgspec.json.encode(response), content_type="application/json")


def main(folder: str, history_path: str) -> None:
    """Serve until the process is terminated."""
    resource = GuardedResource(FencedTable(Store.open(folder)), HistoryWriter(Path(history_path), "resource"))
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))

    async def print_port(_: web.Application) -> None:
        print("listening", listener.getsockname()[1], flush=True)

    app = web.Application()
    app.router.add_post(ENTER_PATH, resource.enter)
    app.router.add_post(WRITE_PATH, resource.write)
    app.on_startup.append(print_port)
    web.run_app(app, sock=listener, print=lambda *_: None, access_log=None)


if __name__ == "__main__":
    main(*sys.argv[1:])
