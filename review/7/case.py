"""Case 7: during an upgrade, a request that must not be repeated runs twice in one proxy.

The old process has got SIGTERM and still serves its open connections.  A client sends it a request of a class
that is unsafe to repeat.  While that request is open, a bad client sends the same id on a new connection,
which the new process accepts.  The new process sends the request to a backend again.
"""

from __future__ import annotations

import asyncio
import signal
from contextlib import AsyncExitStack
from functools import partial
from pathlib import Path

from standins.http import ClientRequest, Message, read_message, says_yes
from standins.ports import LOOPBACK
from standins.programs import PlatformSocket, UpgradableProxy, proxy_configuration
from standins.servers import Backend, Discovery, wait_until
from standins.verdict import Record, Verdict, run_case

BACKENDS = 3
SERVICE_S = 1.0
DEADLINE_MS = 2500
READY_WITHIN_S = 6.0
REQUEST_AFTER_SIGTERM_S = 0.5  # well within the time in which clients use their open connections
REPEAT_AFTER_S = 0.3  # the first request is open for SERVICE_S
CLIENT_TIMEOUT_S = 5.0
FIRST_ID, OPEN_ID = "9b1f03aa5c7e2d40", "9b1f03aa5c7e2d41"
CATEGORIES = [
    {
        "Name": "salva-profilo", "OnTimeMs": 500.0, "HardLimitMs": float(DEADLINE_MS), "Worth": 1.0,
        "LateWorth": 0.5, "Effect": "at_most_once",
    }
]  # fmt: skip


class Client:
    """A client with one connection."""

    def __init__(self, name: str, record: Record) -> None:
        self.name = name
        self.record = record

    async def connect(self, port: int) -> None:
        """Open the connection."""
        self.reader, self.writer = await asyncio.open_connection(LOOPBACK, port)

    async def send(self, request_id: str) -> Message | None:
        """Send a request and return the answer; None if the connection ends without one."""
        self.record.note(f"{self.name} sends {request_id}")
        request = ClientRequest("salva-profilo", request_id, DEADLINE_MS, b"a ride")
        self.writer.write(request.encode())
        try:
            async with asyncio.timeout(CLIENT_TIMEOUT_S):
                answer = await read_message(self.reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self.record.note(f"{self.name} gets no answer to {request_id}: {type(error).__name__}")
            return None
        self.record.note(f"{self.name} gets {answer.status} to {request_id}")
        return answer


async def run(listener: PlatformSocket, record: Record, folder: Path, disrupted: bool) -> Verdict:
    """Upgrade a proxy, repeat the id of an open request, and count how often the request runs."""
    runs: list[str] = []

    def on_request(server: str, request: Message) -> None:
        runs.append(request.fields["x-request-id"])
        record.note(f"server {server} runs {runs[-1]}")

    async with AsyncExitStack() as stack:
        backends = [
            await stack.enter_async_context(Backend(f"s{number}", SERVICE_S, on_request))
            for number in range(BACKENDS)
        ]
        entries = [backend.entry() for backend in backends]
        discovery = await stack.enter_async_context(Discovery(entries))
        address = f"{LOOPBACK}:{listener.port}"
        configuration = proxy_configuration("n1", address, discovery.address, entries, CATEGORIES)

        async def start(number: int) -> UpgradableProxy | None:
            proxy = UpgradableProxy(folder, number, listener, configuration)
            stack.callback(proxy.stop)
            record.note(f"process {proxy.program.pid} started")
            says_so = await wait_until(partial(says_yes, proxy.admin.number, "/admin/health"), READY_WITHIN_S)
            return proxy if says_so else None

        old = await start(1)
        if old is None:
            return Verdict.COULD_NOT_RUN
        usual, bad = Client("the usual client", record), Client("the bad client", record)
        await usual.connect(listener.port)
        if await usual.send(FIRST_ID) is None:
            return Verdict.COULD_NOT_RUN
        if disrupted:
            if await start(2) is None:
                return Verdict.COULD_NOT_RUN
            old.program.send(signal.SIGTERM)
            record.note(f"SIGTERM to process {old.program.pid}")
        await asyncio.sleep(REQUEST_AFTER_SIGTERM_S)
        first = asyncio.create_task(usual.send(OPEN_ID))
        await asyncio.sleep(REPEAT_AFTER_S)
        await bad.connect(listener.port)
        repeated = await bad.send(OPEN_ID)
        await first
        count = runs.count(OPEN_ID)
        record.note(f"result: {OPEN_ID} ran {count} times")
        if not count:
            return Verdict.COULD_NOT_RUN
        was_served = repeated is not None and repeated.status == 200
        return Verdict.BROKEN if count > 1 or was_served else Verdict.HELD


if __name__ == "__main__":
    run_case(Path(__file__).parent, partial(run, PlatformSocket()))
