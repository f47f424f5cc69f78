"""A whole rehearsal in virtual time: fleet, proxies, clients, list service, faults, checker and scoring."""

from __future__ import annotations

import gc
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager

from heronreel.emulator.clients import ClientPool
from heronreel.emulator.cluster import Cluster
from heronreel.emulator.context import SimulationContext, make_context
from heronreel.emulator.deciders import DeciderFactory, MakeDecider
from heronreel.emulator.events import EventQueue
from heronreel.emulator.faults import FaultInjector
from heronreel.emulator.front_end import FrontEnd
from heronreel.emulator.model import Rehearsal
from heronreel.emulator.proxy import Proxy
from heronreel.emulator.result import Result, collect_result
from heronreel.emulator.sampler import FleetSampler
from heronreel.emulator.scoring import SECOND_MS
from heronreel.emulator.supervisor import ProxySupervisor
from heronreel.emulator.trace import Tracer
from heronreel.emulator.traffic import Traffic
from heronreel.routes.model import RoutesFile

SETTLE_MS = 1000.0  # after the last request's time, for what is still in flight
DRAIN_STEP_MS = 250.0  # how often it is checked whether the last request is over
GC_THRESHOLDS = (50_000, 20, 100)  # new objects before each generation is looked through for cycles

MakeProxy = Callable[[SimulationContext, Cluster, DeciderFactory, str, str, int], Proxy]
Progress = Callable[[float], None]


class Simulation:
    """One play."""

    def __init__(
        self,
        rehearsal: Rehearsal,
        seed: int,
        policy: str = "",
        trace: Iterable[int] = (),
        routes: RoutesFile | None = None,
        deciders: MakeDecider | None = None,
        events: EventQueue | None = None,
        make_proxy: MakeProxy = Proxy,
    ) -> None:
        """Build everything at time 0.  Raises InvalidSeedError.

        Args:
            rehearsal: The script.
            seed: Of all random streams.
            policy: In place of the script's.
            trace: Client requests to follow, by number.
            routes: A file of routes whose policies apply.
            deciders: Makes the decider of each proxy process, in place of the policy.
            events: In place of a queue of virtual time.
            make_proxy: Makes each proxy.
        """
        self.rehearsal, self.seed = rehearsal, seed
        self.policy = policy or rehearsal.proxies.policy
        self.events = events or EventQueue()
        self.context = make_context(rehearsal, seed, self.events)
        self.cluster = Cluster(self.context)
        self.fleet = self.cluster.fleet
        self.proxies = self._make_proxies(
            make_proxy, DeciderFactory(self.policy, self.cluster, routes, deciders)
        )
        self.cluster.proxies = self.proxies
        self.traffic = Traffic(rehearsal, self.context.scoring)
        front_end = FrontEnd(self.proxies, rehearsal.proxies.skew, seed)
        self.clients = ClientPool(self.context, self.traffic, front_end)
        self.supervisor = ProxySupervisor(self.context, front_end)
        for proxy in self.proxies:
            proxy.connect(self.clients, self.supervisor)
        traced = set(trace)
        if traced:
            self.context.tracer = Tracer(traced, self.cluster, self.fleet.in_service)

    def _make_proxies(self, make_proxy: MakeProxy, deciders: DeciderFactory) -> list[Proxy]:
        """Proxies in the zones by turn, each knowing the list as it is."""
        zones, proxies = self.rehearsal.fleet.zones, []
        for slot in range(self.rehearsal.proxies.count):
            zone = zones[slot % len(zones)]
            proxy = make_proxy(self.context, self.cluster, deciders, f"p{slot}", zone, slot)
            proxy.known_endpoints = dict(self.context.endpoint_list.endpoints)
            proxies.append(proxy)
        return proxies

    def run(self, progress: Progress | None = None) -> Result:
        """Play it to its end; `progress` gets the share of the time that is over."""
        with _rare_collections():
            return self._run(progress)

    def _run(self, progress: Progress | None) -> Result:
        now, end = 0.0, self.rehearsal.duration_ms
        for proxy in self.proxies:
            proxy.start()
        faults = self.begin()
        while now < end:
            now = min(end, now + SECOND_MS)
            self.events.run_until(now)
            if progress is not None:
                progress(now / end)
        while not self.is_over():
            self.events.run_until(self.events.now + DRAIN_STEP_MS)
        self.events.run_until(self.events.now + SETTLE_MS)
        return self.finish(faults)

    def begin(self) -> FaultInjector:
        """Schedule what happens by itself: faults, the samples of each second, the clients."""
        faults = FaultInjector(self.context, self.cluster, self.traffic, self.proxies, self.supervisor)
        FleetSampler(self.context, self.fleet, self.proxies).start()
        self.clients.start()
        return faults

    def is_over(self) -> bool:
        """The time is up and every request has its result, or never will."""
        now, rehearsal = self.events.now, self.rehearsal
        if now < rehearsal.duration_ms:
            return False
        return not self.clients.open_requests or now >= self._latest_end()

    def _latest_end(self) -> float:
        """When every request's attempts and waits are over."""
        rehearsal, attempts = self.rehearsal, 1 + self.rehearsal.clients.retries
        longest = max(one.deadline_ms for one in rehearsal.classes) + rehearsal.proxies.max_retry_after_ms
        return rehearsal.duration_ms + attempts * (longest + rehearsal.clients.backoff_ms * 2.0**attempts)

    def finish(self, faults: FaultInjector) -> Result:
        """Close the books; requests that are still open are lost."""
        self.clients.abandon_open_requests()
        return collect_result(self.context, self.policy, self.seed, faults.reloads)


@contextmanager
def _rare_collections() -> Iterator[None]:
    """Look for cycles seldom: the many objects here live long, and often would cost a seventh."""
    before = gc.get_threshold()
    gc.set_threshold(*GC_THRESHOLDS)
    try:
        yield
    finally:
        gc.set_threshold(*before)


def play(
    rehearsal: Rehearsal,
    seed: int,
    policy: str = "",
    trace: Iterable[int] = (),
    routes: RoutesFile | None = None,
    progress: Progress | None = None,
) -> Result:
    """Play a script in virtual time.  Raises InvalidSeedError and UnknownPolicyError."""
    return Simulation(rehearsal, seed, policy, trace, routes).run(progress)
