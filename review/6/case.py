"""Case 6: in an upgrade under load, the two processes of a proxy use more memory than its limit.

Clients send more bytes of requests than the memory holds.  The proxy refuses what does not fit, and a process
without an upgrade stays below its limit.  In an upgrade the new process takes the whole limit as soon as the
old one has got SIGTERM, though the old one still holds its requests for up to three seconds.
"""

from __future__ import annotations

import asyncio
import itertools
import signal
from collections import Counter
from contextlib import AsyncExitStack
from functools import partial
from pathlib import Path

from standins.http import ClientRequest, read_message, says_yes
from standins.ports import LOOPBACK
from standins.programs import PlatformSocket, Program, UpgradableProxy, proxy_configuration
from standins.servers import Backend, Discovery, wait_until
from standins.verdict import Record, Verdict, run_case

MEMORY_MB = 96.0
SOCKETS = 1024
BACKENDS = 8
SERVICE_S = 1.5
DEADLINE_MS = 2500
CLIENTS = 240  # under a third of the descriptors
BODY_BYTES = 150_000
REFUSED_PAUSE_S = 0.2  # before a client comes again after a refusal
CLIENT_TIMEOUT_S = 8.0
READY_WITHIN_S = 6.0
LOAD_BEFORE_S = 4.0
LOAD_AFTER_S = 5.0  # longer than the time from SIGTERM to the earliest SIGKILL
METER_INTERVAL_S = 0.02
KB_PER_MB = 1024.0
CATEGORIES = [
    {
        "Name": "salva-profilo", "OnTimeMs": 500.0, "HardLimitMs": float(DEADLINE_MS), "Worth": 1.0,
        "LateWorth": 0.5, "Effect": "deduplicated", "DedupScope": "cell", "RepeatWindowMs": 5000.0,
    }
]  # fmt: skip


def proportional_set_mb(process: int) -> float:
    """Return the memory of a process in MB, with a shared page divided among those that share it."""
    try:
        lines = Path(f"/proc/{process}/smaps_rollup").read_text().splitlines()
    except OSError:
        return 0.0
    return next((int(line.split()[1]) / KB_PER_MB for line in lines if line.startswith("Pss:")), 0.0)


class MemoryMeter:
    """Samples the memory of a proxy's processes together, as the platform's limit counts it."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.programs: list[Program] = []
        self.peak_mb = 0.0

    async def run(self) -> None:
        """Sample until cancelled, and record each new peak that exceeds the one before by 1 MB."""
        noted_mb = 0.0
        while True:
            parts = [proportional_set_mb(program.pid) for program in self.programs if program.is_running()]
            self.peak_mb = max(self.peak_mb, sum(parts))
            if self.peak_mb >= noted_mb + 1.0:
                noted_mb = self.peak_mb
                shares = " + ".join(f"{part:.1f}" for part in parts)
                self.record.note(f"memory {self.peak_mb:.1f} MB ({shares})")
            await asyncio.sleep(METER_INTERVAL_S)


class Clients:
    """Clients that send one request after the other, each on a connection that it keeps."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.numbers = itertools.count(1)
        self.results: Counter[str] = Counter()

    async def run_one(self) -> None:
        """Be one client until cancelled."""
        while True:
            try:
                await self._use_connection()
            except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
                self.results[f"no answer: {type(error).__name__}"] += 1
                await asyncio.sleep(REFUSED_PAUSE_S)

    async def _use_connection(self) -> None:
        reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
        try:
            while not reader.at_eof():
                ident = f"r{next(self.numbers)}"
                body = bytes(BODY_BYTES)
                request = ClientRequest("salva-profilo", ident, DEADLINE_MS, body, f"key-{ident}")
                writer.write(request.encode())
                async with asyncio.timeout(CLIENT_TIMEOUT_S):
                    answer = await read_message(reader)
                self.results[str(answer.status)] += 1
                if answer.status != 200:
                    await asyncio.sleep(REFUSED_PAUSE_S)
                if answer.ends_connection:
                    return
        finally:
            writer.close()


async def upgrade(
    record: Record, old: UpgradableProxy, start_new: partial[UpgradableProxy]
) -> UpgradableProxy:
    """Start the new process, and send SIGTERM to the old one once the new one says yes."""
    new = start_new()
    record.note(f"upgrade: process {new.program.pid} started beside {old.program.pid}")
    if not await wait_until(partial(says_yes, new.admin.number, "/admin/health"), READY_WITHIN_S):
        record.note("the new process does not say yes")
    record.note(f"SIGTERM to process {old.program.pid}")
    old.program.send(signal.SIGTERM)
    return new


async def run(listener: PlatformSocket, record: Record, folder: Path, disrupted: bool) -> Verdict:
    """Load a proxy, upgrade it, and compare the peak of its memory with its limit."""
    async with AsyncExitStack() as stack:
        backends = [
            await stack.enter_async_context(Backend(f"s{number}", SERVICE_S, lambda _, __: None))
            for number in range(BACKENDS)
        ]
        entries = [backend.entry() for backend in backends]
        discovery = await stack.enter_async_context(Discovery(entries))
        address = f"{LOOPBACK}:{listener.port}"
        configuration = proxy_configuration(
            "n1", address, discovery.address, entries, CATEGORIES, int(MEMORY_MB), SOCKETS
        )
        meter, clients = MemoryMeter(record), Clients(listener.port)

        def start(number: int) -> UpgradableProxy:
            proxy = UpgradableProxy(folder, number, listener, configuration)
            stack.callback(proxy.stop)
            meter.programs.append(proxy.program)
            return proxy

        old = start(1)
        if not await wait_until(partial(says_yes, old.admin.number, "/admin/health"), READY_WITHIN_S):
            record.note("the proxy does not start")
            return Verdict.COULD_NOT_RUN
        tasks = [asyncio.create_task(meter.run())]
        tasks += [asyncio.create_task(clients.run_one()) for _ in range(CLIENTS)]
        await asyncio.sleep(LOAD_BEFORE_S)
        record.note(f"peak before: {meter.peak_mb:.1f} MB of {MEMORY_MB:g}; answers {dict(clients.results)}")
        serving = await upgrade(record, old, partial(start, 2)) if disrupted else old
        await asyncio.sleep(LOAD_AFTER_S)
        record.note(f"peak: {meter.peak_mb:.1f} MB of {MEMORY_MB:g}; answers {dict(clients.results)}")
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if not serving.program.is_running() or not clients.results["200"]:
            return Verdict.COULD_NOT_RUN
        return Verdict.BROKEN if meter.peak_mb > MEMORY_MB else Verdict.HELD


if __name__ == "__main__":
    run_case(Path(__file__).parent, partial(run, PlatformSocket()))
