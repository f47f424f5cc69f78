"""Case 10: an operation reports a proxy as drained that takes clients all the time.

The agent's call to quiesce the proxy is lost.  The agent logs that and does not repeat the call, but reports
the proxy as out of service, and the operation ends with success.
"""

from __future__ import annotations

import asyncio
from functools import partial
from pathlib import Path

from standins.fleet import FleetMachine
from standins.servers import wait_until
from standins.verdict import Record, Verdict, run_case

NAMES = ("n1", "n2")
DRAIN_S = 60.0  # the agent's default
START_S = 30.0  # the agent's default
CUT_S = 3.0  # the agent has no contact to the management address for so long
SETTLE_S = 40.0  # the operator's limit for the effect of a command
# From so long after the report on, the front's health check is asked, ten times a second.  The contact is
# back by then, and a call that was repeated would have had its effect.
PAUSE_S = 5.0
WATCHED_S = 5.0
ASK_INTERVAL_S = 0.1


async def run(record: Record, folder: Path, disrupted: bool) -> Verdict:
    """Drain a proxy, and compare what the operation reports with what the front sees."""
    async with FleetMachine(record, folder, NAMES, START_S, DRAIN_S) as machine:
        started = not await machine.operate("start", "n*", "--to", "1")
        if not started or not await wait_until(partial(machine.is_taking_clients, "n1"), 1.0):
            return Verdict.COULD_NOT_RUN
        relay = machine.instances["n1"].relay
        relay.is_cut = disrupted
        restoring = asyncio.create_task(_restore(record, machine))
        status = await machine.operate("drain", "n1", "--settle", f"{SETTLE_S:g}")
        await restoring
        await asyncio.sleep(PAUSE_S)
        asked = int(WATCHED_S / ASK_INTERVAL_S)
        yes = 0
        for _ in range(asked):
            yes += await machine.is_taking_clients("n1")
            await asyncio.sleep(ASK_INTERVAL_S)
        await machine.operate("status")
        machine.note_agent_log()
        record.note(f"result: the operation ended with {status}; {yes} of {asked} health checks said yes")
        return Verdict.BROKEN if status == 0 and yes else Verdict.HELD


async def _restore(record: Record, machine: FleetMachine) -> None:
    """End the loss of contact."""
    await asyncio.sleep(CUT_S)
    machine.instances["n1"].relay.is_cut = False
    record.note("relay: contact to n1's management is back")


if __name__ == "__main__":
    run_case(Path(__file__).parent, run)
