"""Runs one case: prepares folder and record, limits the time, and turns the result into an exit status.

The status is 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import NoReturn

from harness.discovery import Discovery, Endpoint
from harness.proxy import Proxy, call, settings
from harness.record import Record

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TIME_LIMIT_S = 100.0
MAX_PRINTED = 6  # lines of what broke the rule; the record has all
# After the start, until the proxy has its list from discovery; it asks within 1.25 s.
LIST_DELAY_S = 1.5


class CaseError(Exception):
    """The case could not run, so it says nothing about the rule."""


class Case:
    """One run of a case: its record, its temporary folder and its processes."""

    def __init__(self, record: Record, folder: Path, trouble: bool) -> None:
        self.record = record
        self.folder = folder
        self.trouble = trouble  # whether the disruption takes place
        self.proxies: list[Proxy] = []

    async def start_proxy(self, endpoints: list[Endpoint], classes: list[dict[str, object]]) -> Proxy:
        """Start discovery and one proxy, and wait until the proxy serves by discovery's list."""
        discovery = Discovery(endpoints)
        await discovery.start()
        proxy = Proxy(self.folder, self.record)
        self.proxies.append(proxy)
        await proxy.start(discovery, settings(classes))
        await asyncio.sleep(LIST_DELAY_S)
        return proxy

    async def check_alive(self, proxy: Proxy) -> None:
        """Check that the proxy still runs and answers its health check.

        Raises:
            CaseError: It does not, so the run shows something else than what the case is about.
        """
        if not proxy.is_running() or await call(proxy.port, "GET", "/_health") != 200:
            raise CaseError("the proxy does not answer its health check")

    async def close(self) -> None:
        """End all processes, and add their logs to the record."""
        for proxy in self.proxies:
            await proxy.stop()
            for line in proxy.log_path.read_text(errors="replace").splitlines():
                self.record.lines.append(f"log of {proxy.name}: {line}")


Scenario = Callable[[Case], Awaitable[list[str]]]


def main(scenario: Scenario) -> NoReturn:
    """Run a scenario, which returns what broke the rule, and exit with the status of the case."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(sys.argv[0]).resolve().parent / "record.txt")
    record.add(f"the disruption is {'on' if trouble else 'off'}")
    status = COULD_NOT_RUN
    try:
        breaks = asyncio.run(_run(scenario, record, trouble))
        status = BROKEN if breaks else HELD
    except BaseException as error:
        record.add(f"the case could not run: {type(error).__name__}: {error}")
        message = f"could not run: {type(error).__name__}: {error}"
    else:
        for text in breaks:
            record.add(f"broken: {text}")
        message = "\n".join(breaks[:MAX_PRINTED]) or "the rule held"
    record.add(f"status {status}")
    try:
        record.write()
    except OSError as error:
        status, message = COULD_NOT_RUN, f"could not write the record: {error}"
    with suppress(OSError):  # The status counts, also if nobody reads the output.
        print(message, flush=True)
    os._exit(status)


async def _run(scenario: Scenario, record: Record, trouble: bool) -> list[str]:
    task = asyncio.current_task()
    if task is None:
        raise CaseError("no task")
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        case = Case(record, Path(folder), trouble)
        try:
            async with asyncio.timeout(TIME_LIMIT_S):
                return await scenario(case)
        finally:
            await case.close()
