"""A process that competes for a task, and writes its steps to the guarded resource while it holds the lease.

`python -m heronreel.fault_injection.worker NAME HISTORY RESOURCE TTL ADDRESS...` prints a line when it
acquires or loses the task; on SIGTERM it releases the task and exits.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Iterable
from pathlib import Path

import aiohttp
import msgspec

from heronreel.fault_injection.errors import ResourceUnavailableError
from heronreel.fault_injection.histories import HistoryWriter
from heronreel.fault_injection.lease_terms import lease_terms
from heronreel.fault_injection.resource_client import (
    ACTION,
    ResourceClient,
    ResourceRequest,
    ResourceResponse,
)
from heronreel.leases.claim import Claim, ClaimAcquired, ClaimLost
from heronreel.leases.session import LeaseSession

TASK = "ledger"
STEP_INTERVAL_S = 0.01
# First word of each line on standard output; the fencing token follows.
ACQUIRED = "acquired"
LOST = "lost"


def acquired_tokens(lines: Iterable[str]) -> list[int]:
    """Return the fencing tokens that a worker acquired, according to its output."""
    return [int(line.split()[1]) for line in lines if line.startswith(f"{ACQUIRED} ")]


def held_token(lines: Iterable[str]) -> int:
    """Return the fencing token that a worker holds according to its output, or 0 if it holds none."""
    changes = [line.split() for line in lines if line.startswith((f"{ACQUIRED} ", f"{LOST} "))]
    return int(changes[-1][1]) if changes and changes[-1][0] == ACQUIRED else 0


class Worker:
    """One competitor for the task."""

    def __init__(self, name: str, history: HistoryWriter, resource: ResourceClient) -> None:
        self.name = name
        self.history = history
        self.resource = resource
        self.stop = asyncio.Event()

    async def run(self, session: LeaseSession) -> None:
        """Perform steps while the task is held, until `stop` is set."""
        claim = session.claim(TASK)
        stopping = asyncio.create_task(self.stop.wait())
        while not self.stop.is_set():
            acting = asyncio.create_task(self._act(session, claim))
            await asyncio.wait((acting, stopping), return_when=asyncio.FIRST_COMPLETED)
            if not acting.done():
                acting.cancel()
            await asyncio.sleep(STEP_INTERVAL_S)

    async def _act(self, session: LeaseSession, claim: Claim) -> None:
        """Perform steps sequentially while the fencing token is valid."""
        token = await session.wait_acquired(claim)
        try:
            entered = await self.resource.enter(ResourceRequest(TASK, token, 0, self.name))
        except ResourceUnavailableError:
            return
        if not entered.admitted:
            return
        step = entered.steps
        while not self.stop.is_set() and claim.fencing_token(session.now()) == token:
            response = await self._write(ResourceRequest(TASK, token, step + 1, self.name))
            if response is None:
                return  # when it registers again, the resource tells whether the step was written
            if not response.admitted:
                print("rejected", token, response.highest_token, flush=True)
                session.refresh()
                return
            step += 1
            await asyncio.sleep(STEP_INTERVAL_S)

    async def _write(self, request: ResourceRequest) -> ResourceResponse | None:
        """Write a step and record it; return None if the outcome is unknown."""
        operation = self.history.start(ACTION, msgspec.to_builtins(request))
        try:
            response = await self.resource.write(request)
        except ResourceUnavailableError:
            self.history.end(operation, None)
            return None
        self.history.end(operation, response.admitted)
        return response


def _print_change(change: ClaimAcquired | ClaimLost) -> None:
    print(ACQUIRED if isinstance(change, ClaimAcquired) else LOST, change.fencing_token, flush=True)


async def main(name: str, history: str, resource: str, ttl: str, *addresses: str) -> None:
    """Compete for the task until SIGTERM or SIGINT."""
    print("started", name, flush=True)
    terms = lease_terms(int(ttl))
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=terms.safety_margin_s)) as http:
        worker = Worker(name, HistoryWriter(Path(history), name), ResourceClient(resource, http))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, worker.stop.set)
        async with LeaseSession(addresses, name, terms, on_claim_change=_print_change) as session:
            await worker.run(session)


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
