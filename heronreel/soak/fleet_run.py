"""Executes a fleet plan: many proxies, one list service with faults, and backends that drain."""

from __future__ import annotations

import asyncio
import json
import tempfile
from itertools import count
from pathlib import Path
from random import Random
from typing import NamedTuple

from heronreel.soak.backend import RecordingBackend
from heronreel.soak.clients import Client, ClientContext
from heronreel.soak.configuration import DRAIN_GRACE_S, proxy_configuration
from heronreel.soak.fleet_plan import BACKENDS, REFUSAL_SHARE, FleetPlan, Step, Trouble
from heronreel.soak.judge import Verdict, judge, judge_drains
from heronreel.soak.list_service import ACTIVE, LEAVING, ListService, endpoint
from heronreel.soak.notification_judge import ListWritten
from heronreel.soak.plan import KILL_AFTER_DEADLINE_S, Shutdown
from heronreel.soak.proxy_process import ProxyProcess
from heronreel.soak.records import RunRecord, now
from heronreel.soak.run import measure_lag

MUST_ASK_S = 10.0
THINK_S = 0.1
ENDS_AFTER_S = 0.15  # time from a change until the watches end that should have delivered it
MAX_CONCURRENT_STARTS = 8
CLIENT_END_S = 12.0  # longer than any client waits for a response
LISTS_WITHIN_S = 20.0
POLL_S = 0.02


class FleetOutcome(NamedTuple):
    """The plan, records and verdict of one seed's run."""

    plan: FleetPlan
    records: RunRecord
    verdict: Verdict
    refused_calls: int  # calls that the list service refused immediately


async def play_fleet(plan: FleetPlan) -> FleetOutcome:
    """Execute a plan, and judge its records."""
    with tempfile.TemporaryDirectory() as folder:
        run = _FleetRun(plan, Path(folder))
        await run.play()
    verdict = judge(run.records)
    verdict.breaches.extend(judge_drains(run.records, run.service.histories, DRAIN_GRACE_S))
    return FleetOutcome(plan, run.records, verdict, run.service.refused)


class _FleetRun:
    """One execution of a plan."""

    def __init__(self, plan: FleetPlan, folder: Path) -> None:
        self.plan = plan
        self.folder = folder
        self.random = Random(plan.seed)
        self.records = RunRecord()
        self.backends = [
            RecordingBackend(f"b{number}", self.records, plan.service_s, self.random)
            for number in range(BACKENDS)
        ]
        self.service: ListService
        self.lives: list[ProxyProcess] = []
        self.connections, self.request_ids = count(1), count(1)

    async def play(self) -> None:
        """Start everything, cause the planned faults while clients send requests, and stop everything."""
        for backend in self.backends:
            await backend.start()
        self.service = ListService([endpoint(backend.name, backend.port) for backend in self.backends])
        lag = asyncio.create_task(measure_lag(self.records))
        try:
            await self._start_proxies()
            began_at = now()
            await asyncio.gather(
                self._run_steps(began_at),
                *(self._live(began_at, *pair) for pair in zip(self.lives, self.plan.shutdowns, strict=True)),
            )
        finally:
            lag.cancel()
            for life in self.lives:
                await life.stop()
            self.service.stop()
            for backend in self.backends:
                backend.stop()

    async def _start_proxies(self) -> None:
        turn = asyncio.Semaphore(MAX_CONCURRENT_STARTS)

        async def start(place: int) -> ProxyProcess:
            name = f"n{place}"
            document = proxy_configuration(
                name, await self.service.address_for(name), self.service.endpoints,
                self.plan.seed * 1000 + place, len(self.plan.shutdowns), self.plan.longest_deadline_s,
                MUST_ASK_S,
            )  # fmt: skip
            config = self.folder / f"{name}.json"
            config.write_text(json.dumps(document))
            async with turn:
                return await ProxyProcess.start(name, config)

        starts = [asyncio.create_task(start(place)) for place in range(len(self.plan.shutdowns))]
        for started in starts:
            self.lives.append(await started)
        self.records.lives.extend(life.record for life in self.lives)
        async with asyncio.timeout(LISTS_WITHIN_S):
            while not all(history.of(ListWritten) for history in self.service.histories.values()):
                await asyncio.sleep(POLL_S)

    async def _live(self, began_at: float, life: ProxyProcess, shutdown: Shutdown) -> None:
        kill_after_s = self.plan.longest_deadline_s + KILL_AFTER_DEADLINE_S
        terminate_at = began_at + shutdown.serve_s
        context = ClientContext(
            self.records, life.name, life.port, self.plan.longest_deadline_s,
            connect_until=terminate_at + shutdown.new_connections_s, stop_at=terminate_at + kill_after_s,
            connections=self.connections, request_ids=self.request_ids, think_s=THINK_S,
        )  # fmt: skip
        sampling = asyncio.create_task(life.sample_waits())
        clients = [
            asyncio.create_task(Client(context, kind, Random(self.random.random())).run())
            for kind in shutdown.clients
        ]
        first_s = min([0.0, *(planned.at_s for planned in shutdown.signals)])
        await asyncio.sleep(terminate_at + first_s - now())
        await life.shut_down(shutdown, kill_after_s)
        sampling.cancel()
        async with asyncio.timeout(CLIENT_END_S):
            await asyncio.gather(*clients)

    async def _run_steps(self, began_at: float) -> None:
        for step in self.plan.steps:
            await asyncio.sleep(began_at + step.at_s - now())
            await self._carry_out(step)

    async def _carry_out(self, step: Step) -> None:
        service, name = self.service, self.backends[step.backend].name
        match step.trouble:
            case Trouble.FULL:
                service.call_s, service.refusal_s = self.plan.call_s, self.plan.call_s * REFUSAL_SHARE
            case Trouble.QUICK:
                service.call_s = service.refusal_s = 0.0
            case Trouble.DOWN:
                service.go_down()
            case Trouble.BACK:
                service.come_back()
            case Trouble.RESET:
                service.reset_watches()
            case Trouble.DRAIN_TOLD:
                service.change(name, LEAVING)
            case Trouble.DRAIN_ENDED:
                service.change(name, LEAVING, notify_watches=False)
                await asyncio.sleep(ENDS_AFTER_S)
                service.end_watches()
            case Trouble.RETURN:
                service.change(name, ACTIVE)
