"""Case 8: a rolling restart leaves a proxy that never takes clients again.

The agent quiesces a proxy before it ends it.  The proxy writes that down in `$TMPDIR`, and the process that
the agent starts next reads it there: it is quiesced from its start, and nobody resumes it.
"""

from __future__ import annotations

from functools import partial
from pathlib import Path

from standins.fleet import FleetMachine
from standins.servers import wait_until
from standins.verdict import Record, Verdict, run_case

NAMES = ("n1", "n2")
DRAIN_S = 3.0  # until the agent ends a quiesced proxy
START_S = 10.0  # the agent's limit for a start
SETTLE_S = 25.0  # the operator's limit for the effect of a command
READY_WITHIN_S = 30.0  # the pages' limit for a proxy to be ready
QUIET_S = 5.0  # without a restart, the proxies are left alone for so long


async def run(record: Record, folder: Path, disrupted: bool) -> Verdict:
    """Restart two proxies one after the other, and see whether both take clients again."""
    async with FleetMachine(record, folder, NAMES, START_S, DRAIN_S) as machine:
        if await machine.operate("start", "n*", "--to", "1") or not await _all_take_clients(machine, 1.0):
            return Verdict.COULD_NOT_RUN
        status = 0
        if disrupted:
            status = await machine.operate("restart", "n*", "--settle", f"{SETTLE_S:g}")
        took_clients = await _all_take_clients(machine, READY_WITHIN_S if disrupted else QUIET_S)
        machine.note_agent_log()
        for name in NAMES:
            record.note(f"health check of {name}: {await machine.status_of(name)}")
        record.note(f"result: the operation ended with {status}; all take clients: {took_clients}")
        return Verdict.HELD if took_clients else Verdict.BROKEN


async def _all_take_clients(machine: FleetMachine, timeout_s: float) -> bool:
    """Return whether each proxy takes clients within the time."""
    results = [await wait_until(partial(machine.is_taking_clients, name), timeout_s) for name in NAMES]
    return all(results)


if __name__ == "__main__":
    run_case(Path(__file__).parent, run)
