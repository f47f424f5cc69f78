"""Executes a plan: backends behind fault-injecting relays, the list service, proxies and their clients."""

from __future__ import annotations

import asyncio
import json
import socket
import tempfile
from itertools import count
from pathlib import Path
from random import Random

from heronreel.fault_injection.relay import LISTEN_BACKLOG, LinkFaults, Relay
from heronreel.soak.backend import RecordingBackend
from heronreel.soak.clients import THINK_S, THINK_S_PER_CLIENT, Client, ClientContext
from heronreel.soak.configuration import proxy_configuration
from heronreel.soak.list_service import ListService, endpoint
from heronreel.soak.plan import BackendFault, Plan, Shutdown
from heronreel.soak.proxy_process import ProxyProcess
from heronreel.soak.records import RunRecord, now

LAG_INTERVAL_S = 0.005
RESET_INTERVAL_S = 0.15
SLOW_LINK_DELAY_S = 0.06  # longest delay of a piece of data on a slow link
TRICKLE_BYTES = 400
CLIENT_INTERVAL_S = 0.002
CLIENT_END_S = 12.0  # longer than any client waits for a response


async def play(plan: Plan) -> RunRecord:
    """Execute a plan, and return its records."""
    with tempfile.TemporaryDirectory() as folder:
        return await _Run(plan, Path(folder)).play()


async def measure_lag(records: RunRecord) -> None:
    """Record the largest delay of this process's event loop until cancelled."""
    while True:
        due_at = now() + LAG_INTERVAL_S
        await asyncio.sleep(LAG_INTERVAL_S)
        records.harness_lag_s = max(records.harness_lag_s, now() - due_at)


class _Run:
    """One execution of a plan."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan = plan
        self.folder = folder
        self.records = RunRecord()
        self.request_ids, self.connections = count(1), count(1)

    async def play(self) -> RunRecord:
        lag = asyncio.create_task(measure_lag(self.records))
        try:
            proxies = range(len(self.plan.proxies))
            await asyncio.gather(*(self._play_proxy(place) for place in proxies))
        finally:
            lag.cancel()
        return self.records

    async def _play_proxy(self, place: int) -> None:
        name = f"n{place}"
        random = Random(self.plan.seed * 1000 + place)
        backend_count = len(self.plan.proxies[place][0].faults)
        backends = [
            RecordingBackend(f"{name}-b{number}", self.records, self.plan.service_s, random)
            for number in range(backend_count)
        ]
        relays = []
        for backend in backends:
            await backend.start()
            relays.append(await Relay(("127.0.0.1", backend.port), random).start())
        service = ListService([
            endpoint(backend.name, relay.port) for backend, relay in zip(backends, relays, strict=True)
        ])  # fmt: skip
        discovery = await service.address_for(name)
        config = self.folder / f"{name}.json"
        document = proxy_configuration(
            name, discovery, service.endpoints, self.plan.seed, len(self.plan.proxies),
            self.plan.longest_deadline_s,
        )  # fmt: skip
        config.write_text(json.dumps(document))
        lives = _ProxyProcesses(name, config, self.plan.hands_over[place])
        try:
            for number, shutdown in enumerate(self.plan.proxies[place], 1):
                lives.is_last = number == len(self.plan.proxies[place])
                await self._play_life(lives, shutdown, backends, relays, random)
        finally:
            lives.close()
            service.stop()
            for relay, backend in zip(relays, backends, strict=True):
                await relay.stop()
                backend.stop()

    async def _play_life(
        self,
        lives: _ProxyProcesses,
        shutdown: Shutdown,
        backends: list[RecordingBackend],
        relays: list[Relay],
        random: Random,
    ) -> None:
        for backend, relay in zip(backends, relays, strict=True):
            backend.fault, relay.responses, relay.requests = BackendFault.NONE, LinkFaults(), LinkFaults()
        name, life = lives.name, await lives.next()
        self.records.lives.append(life.record)
        faults = None
        try:
            terminate_at = now() + shutdown.serve_s
            context = ClientContext(
                self.records, name, life.port, self.plan.longest_deadline_s,
                connect_until=terminate_at + shutdown.new_connections_s,
                stop_at=terminate_at + self.plan.kill_after_s,
                connections=self.connections, request_ids=self.request_ids,
                think_s=THINK_S + THINK_S_PER_CLIENT * len(shutdown.clients),
            )  # fmt: skip
            clients = [
                asyncio.create_task(_run_client(Client(context, kind, Random(random.random())), place))
                for place, kind in enumerate(shutdown.clients)
            ]
            first_s = min([0.0, *(planned.at_s for planned in shutdown.signals)])
            if life.admin_port and shutdown.quiesce_s is not None:
                await asyncio.sleep(terminate_at - shutdown.quiesce_s - now())
                await life.call_admin("quiesce")
            await lives.prepare_successor()
            await asyncio.sleep(terminate_at + first_s - now())
            faults = asyncio.create_task(_inject(shutdown, backends, relays, random))
            await life.shut_down(shutdown, self.plan.kill_after_s)
            async with asyncio.timeout(CLIENT_END_S):
                await asyncio.gather(*clients)
        finally:
            if faults:
                faults.cancel()
            await life.stop()


class _ProxyProcesses:
    """The successive processes of one proxy; with a handover, they share a listening socket."""

    def __init__(self, name: str, config: Path, hands_over: bool) -> None:
        self.name = name
        self.is_last = False  # the current process has no successor
        self.config = config
        self.shared: socket.socket | None = None
        if hands_over:
            self.config = config.parent / name / config.name
            self.config.parent.mkdir()
            self.config.write_bytes(config.read_bytes())
            self.shared = socket.create_server(("127.0.0.1", 0), backlog=LISTEN_BACKLOG)
        self.successor: ProxyProcess | None = None

    async def next(self) -> ProxyProcess:
        """Return the successor if one is running, otherwise a new process."""
        life, self.successor = self.successor, None
        if life is not None:
            await life.call_admin("resume")
            return life
        return await ProxyProcess.start(self.name, self.config, self.shared)

    async def prepare_successor(self) -> None:
        """Start the successor of the current process; for the last one, close the shared socket instead."""
        if self.shared is None:
            return
        if self.is_last:
            self.shared.close()
        else:
            self.successor = await ProxyProcess.start(self.name, self.config, self.shared)

    def close(self) -> None:
        """Close the shared socket."""
        if self.shared is not None:
            self.shared.close()


async def _run_client(client: Client, place: int) -> None:
    """Run a client after a delay that grows with its position.

    The soak does not test a simultaneous start of all clients.
    """
    await asyncio.sleep(place * CLIENT_INTERVAL_S)
    await client.run()


async def _inject(
    shutdown: Shutdown, backends: list[RecordingBackend], relays: list[Relay], random: Random
) -> None:
    """Set the backends' faults, and reset connections of resetting backends until cancelled."""
    for fault, backend, relay in zip(shutdown.faults, backends, relays, strict=True):
        backend.fault = fault
        if fault is BackendFault.SLOW_WAY:
            relay.requests, relay.responses = (
                LinkFaults(max_delay_s=SLOW_LINK_DELAY_S),
                LinkFaults(max_delay_s=SLOW_LINK_DELAY_S),
            )
        elif fault is BackendFault.TRICKLING:
            relay.responses = LinkFaults(trickle_bytes=TRICKLE_BYTES)
    while True:
        await asyncio.sleep(random.uniform(0.5, 1.5) * RESET_INTERVAL_S)
        for fault, relay in zip(shutdown.faults, relays, strict=True):
            if fault is BackendFault.RESETTING:
                relay.reset_connections()
