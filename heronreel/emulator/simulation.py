"""Runs a whole rehearsal in virtual time: fleet, proxies, clients, list service, faults and scoring."""

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

SETTLE_MS = 1000.0  # run time after the last request for messages that are still in flight
DRAIN_STEP_MS = 250.0  # interval of checking whether the last request has ended
GC_THRESHOLDS = (50_000, 20, 100)  # arguments of `gc.set_threshold`

MakeProxy = Callable[[SimulationContext, Cluster, DeciderFactory, str, str, int], Proxy]
Progress = Callable[[float], None]


class Simulation:
    """One run of a rehearsal with a seed and a policy."""

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
            seed: The seed of all random streams.
            policy: The name of a policy that replaces that of the script.
            trace: The numbers of client requests to trace.
            routes: A routes file whose policies apply.
            deciders: Creates the decider of each proxy process instead of the policy.
            events: An event queue that replaces the queue of virtual time.
            make_proxy: Creates each proxy.
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
        """Create the proxies, in the zones by turn, each with the present endpoint list."""
        zones, proxies = self.rehearsal.fleet.zones, []
        for slot in range(self.rehearsal.proxies.count):
            zone = zones[slot % len(zones)]
            proxy = make_proxy(self.context, self.cluster, deciders, f"p{slot}", zone, slot)
            proxy.known_endpoints = dict(self.context.endpoint_list.endpoints)
            proxies.append(proxy)
        return proxies

    def run(self, progress: Progress | None = None) -> Result:
        """Run to the end; `progress` is called with the share of the time that has passed."""
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
        """Schedule the faults, the samples of each second and the clients' requests."""
        faults = FaultInjector(self.context, self.cluster, self.traffic, self.proxies, self.supervisor)
        FleetSampler(self.context, self.fleet, self.proxies).start()
        self.clients.start()
        return faults

    def is_over(self) -> bool:
        """Return whether the time is over and no request can get a result any more."""
        now, rehearsal = self.events.now, self.rehearsal
        if now < rehearsal.duration_ms:
            return False
        return not self.clients.open_requests or now >= self._latest_end()

    def _latest_end(self) -> float:
        """Return the time by which all attempts and waits of all requests have ended."""
        rehearsal, attempts = self.rehearsal, 1 + self.rehearsal.clients.retries
        longest = max(one.deadline_ms for one in rehearsal.classes) + rehearsal.proxies.max_retry_after_ms
        return rehearsal.duration_ms + attempts * (longest + rehearsal.clients.backoff_ms * 2.0**attempts)

    def finish(self, faults: FaultInjector) -> Result:
        """Count requests that are still open as lost, and return the result."""
        self.clients.abandon_open_requests()
        return collect_result(self.context, self.policy, self.seed, faults.reloads)


@contextmanager
def _rare_collections() -> Iterator[None]:
    """Collect cyclic garbage rarely within the context.

    A rehearsal has many long-lived objects; the default thresholds would cost a seventh of the run time.
    """
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
    """Run a script in virtual time.  Raises InvalidSeedError and UnknownPolicyError."""
    return Simulation(rehearsal, seed, policy, trace, routes).run(progress)
