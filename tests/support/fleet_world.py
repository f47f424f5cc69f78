"""A seeded simulation in virtual time: real balancers of many proxies in front of simple backends."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from heapq import heappop, heappush

from heronreel.balancer.choice import Balancer
from heronreel.balancer.interface import (
    Action,
    Arrival,
    AttemptEnded,
    BackendInfo,
    BackendList,
    BeginMaintenance,
    Effect,
    EndMaintenance,
    Event,
    ListKind,
    Outcome,
    RequestClass,
    SetTimer,
    Settings,
    StartAttempt,
    TimerFired,
)
from tests.support.cold_start_judge import ColdStartJudge, ColdStartRules

MEAN_WORK_MS = 60.0
QUEUE_PER_SLOT = 5  # queue length of a backend, in requests per slot
REQUEST_CLASS = RequestClass("work", 500.0, 2000.0, effect=Effect.IDEMPOTENT)
FAILURE_RESPONSE_MS = 1.0  # delay until the proxy learns that a refused or unreachable attempt failed


@dataclass
class Job:
    """An attempt at a backend."""

    proxy: "Proxy"
    request: int
    attempt: int
    work_ms: float
    sent_at: float
    ended: bool = False


@dataclass
class Server:
    """A backend with slots and a queue; while it is cold, it works at a fraction of its speed."""

    ident: int
    started_at: float = 0.0  # 0 if it has been warm from the beginning
    up: bool = True
    reachable: bool = True
    running: list[Job] = field(default_factory=list)
    waiting: list[Job] = field(default_factory=list)


@dataclass
class Proxy:
    """One proxy: its balancer, its share of the traffic and the backend starts that it was informed of."""

    index: int
    balancer: Balancer
    share: float
    informed_starts: dict[int, float] = field(default_factory=dict)  # latest known start by backend
    attempts: dict[int, int] = field(default_factory=dict)  # by request
    work: dict[int, float] = field(default_factory=dict)  # by request


def uneven_shares(draw: random.Random, proxies: int) -> list[float]:
    """Return the proxies' shares of the traffic; about one in eight is several times as large."""
    raw = [
        draw.uniform(0.5, 1.5) * (draw.uniform(2.0, 4.0) if draw.random() < 0.125 else 1.0)
        for _ in range(proxies)
    ]
    return [share / sum(raw) for share in raw]


class FleetWorld:
    """The virtual clock, the scheduled events, the proxies and the backends."""

    def __init__(self, seed: int, proxies: int, backends: int, rules: ColdStartRules, busy: float) -> None:
        self.random = random.Random(seed)
        self.rules, self.judge = rules, ColdStartJudge(rules)
        self.slots = int(rules.warm_capacity)
        self.now = 1000.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.scheduled = self.requests = self.served = 0
        self.servers = {100 + number: Server(100 + number) for number in range(backends)}
        self.requests_per_ms = busy * backends * rules.warm_capacity / MEAN_WORK_MS
        self.shares = uneven_shares(self.random, proxies)
        self.proxies = [self._new_proxy(index) for index in range(proxies)]
        for proxy in self.proxies:
            self._deliver(proxy, BackendList(ListKind.CACHED, self.lines()))
        self.schedule(0.0, self._arrive)

    def _new_proxy(self, index: int) -> Proxy:
        settings = Settings(
            (REQUEST_CLASS,),
            proxies=len(self.shares),
            proxy_index=index,
            max_attempts=3,
            slow_start_from=self.rules.cold_from,
            slow_start_ms=self.rules.cold_ms,
            overload_factor=self.rules.overload_factor,
            overload_window_ms=self.rules.overload_window_ms,
        )
        return Proxy(index, Balancer(settings, self.random.getrandbits(32)), self.shares[index])

    def lines(self) -> list[BackendInfo]:
        """Return the current backend list."""
        return [BackendInfo(server.ident, started_ms=server.started_at) for server in self.servers.values()]

    def schedule(self, delay_ms: float, call: Callable[[], None]) -> None:
        """Schedule `call` after a delay."""
        self.scheduled += 1
        heappush(self.events, (self.now + delay_ms, self.scheduled, call))

    def run_for(self, duration_ms: float) -> None:
        """Advance the clock, and run the events that are due."""
        end = self.now + duration_ms
        while self.events[0][0] <= end:
            self.now, _, call = heappop(self.events)
            call()
        self.now = end

    # Proxies and their clients

    def _arrive(self) -> None:
        self.schedule(self.random.expovariate(self.requests_per_ms), self._arrive)
        proxy = self.random.choices(self.proxies, self.shares)[0]
        self.requests += 1
        work_ms = MEAN_WORK_MS * self.random.uniform(0.5, 1.5)
        proxy.work[self.requests], proxy.attempts[self.requests] = work_ms, 0
        hint_ms = work_ms * self.random.uniform(0.8, 1.25)
        self._deliver(
            proxy, Arrival(self.requests, REQUEST_CLASS.name, REQUEST_CLASS.deadline_ms, hint_ms=hint_ms)
        )

    def _deliver(self, proxy: Proxy, event: Event) -> None:
        if isinstance(event, BackendList):
            for line in event.backends:  # an older entry does not replace a later start
                proxy.informed_starts[line.backend] = max(
                    proxy.informed_starts.get(line.backend, 0.0), line.started_ms
                )
        for action in proxy.balancer.handle(self.now, event):
            self._carry_out(proxy, action)

    def _carry_out(self, proxy: Proxy, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.schedule(action.delay_ms, partial(self._fire, proxy, proxy.balancer, action.token))
        elif isinstance(action, StartAttempt):
            self._send(proxy, action)

    def _fire(self, proxy: Proxy, balancer: Balancer, token: int) -> None:
        if proxy.balancer is balancer:  # otherwise the proxy was restarted meanwhile
            self._deliver(proxy, TimerFired(token))

    # Backends

    def _send(self, proxy: Proxy, action: StartAttempt) -> None:
        server, attempt = self.servers[action.backend], proxy.attempts[action.request]
        proxy.attempts[action.request] += 1
        job = Job(proxy, action.request, attempt, proxy.work[action.request], self.now)
        if not (server.up and server.reachable):
            self.schedule(FAILURE_RESPONSE_MS, partial(self._end, server, job, Outcome.UNREACHABLE))
            return
        informed = proxy.informed_starts.get(server.ident) == server.started_at
        self.judge.sent(self.now, server.ident, proxy.index, job.work_ms, informed)
        if len(server.running) < self.slots:
            self._run(server, job)
        elif len(server.waiting) < QUEUE_PER_SLOT * self.slots:
            server.waiting.append(job)
        else:
            self.schedule(FAILURE_RESPONSE_MS, partial(self._end, server, job, Outcome.REJECTED))

    def _run(self, server: Server, job: Job) -> None:
        server.running.append(job)
        speed = 1.0
        if server.started_at:
            age = (self.now - server.started_at) / self.rules.cold_ms
            speed = min(1.0, self.rules.cold_from + (1.0 - self.rules.cold_from) * age)
        self.schedule(job.work_ms / speed, partial(self._finish, server, job))

    def _finish(self, server: Server, job: Job) -> None:
        if job not in server.running:
            return  # the backend's process ended
        server.running.remove(job)
        if server.waiting:
            self._run(server, server.waiting.pop(0))
        self._end(server, job, Outcome.SERVED)

    def _end(self, server: Server, job: Job, outcome: Outcome) -> None:
        self.served += outcome is Outcome.SERVED
        latency = self.now - job.sent_at
        finished = outcome is Outcome.SERVED
        ended = AttemptEnded(job.request, job.attempt, server.ident, outcome, latency, finished)
        if job.request in job.proxy.work:  # otherwise its proxy was restarted
            self._deliver(job.proxy, ended)

    # Faults and list changes

    def burst(self, factor: float, duration_ms: float) -> None:
        """Multiply the request rate by `factor` for a time."""
        self.requests_per_ms *= factor
        self.schedule(duration_ms, partial(self._scale_traffic, 1.0 / factor))

    def _scale_traffic(self, factor: float) -> None:
        self.requests_per_ms *= factor

    def stop(self, backend: int) -> None:
        """End a backend's process; its running and waiting requests are lost."""
        server = self.servers[backend]
        server.up, lost = False, server.running + server.waiting
        server.running, server.waiting = [], []
        for job in lost:
            self.schedule(FAILURE_RESPONSE_MS, partial(self._end, server, job, Outcome.RESET))

    def start(self, backend: int) -> BackendInfo:
        """Start a backend's process cold, and return its list entry, which no proxy has received yet."""
        server = self.servers.setdefault(backend, Server(backend))
        server.up, server.started_at = True, self.now
        self.judge.started(self.now, backend)
        return BackendInfo(backend, started_ms=self.now)

    def cut_off(self, backend: int, duration_ms: float) -> None:
        """Make a backend unreachable for a time; its process continues."""
        self.servers[backend].reachable = False
        self.schedule(duration_ms, partial(self._reconnect, backend))

    def _reconnect(self, backend: int) -> None:
        self.servers[backend].reachable = True

    def tell(self, lines: list[BackendInfo], delay: Callable[[Proxy], float]) -> None:
        """Deliver list changes to each proxy after the delay that `delay` returns for it."""
        for proxy in self.proxies:
            call = partial(self._deliver, proxy, BackendList(ListKind.CHANGES, lines))
            self.schedule(delay(proxy), call)

    def restart_proxy(self, index: int) -> None:
        """Replace a proxy by one with empty state, whose cached list is the current one."""
        proxy = self.proxies[index]
        fresh = self._new_proxy(index)
        proxy.balancer, proxy.informed_starts = fresh.balancer, {}
        proxy.work.clear()
        proxy.attempts.clear()
        self._deliver(proxy, BackendList(ListKind.CACHED, self.lines()))

    def hold(self, backend: int) -> float:
        """Begin maintenance of a backend at all proxies, and return the time."""
        for proxy in self.proxies:
            self._deliver(proxy, BeginMaintenance(backend, self.now))
        return self.now

    def release(self, backend: int, began_ms: float, spread_ms: float) -> None:
        """End maintenance of a backend at each proxy, after a random delay of at most `spread_ms`."""
        for proxy in self.proxies:
            event = EndMaintenance(backend, began_ms, self.now)
            self.schedule(self.random.uniform(0.0, spread_ms), partial(self._release_at, proxy, event))

    def _release_at(self, proxy: Proxy, event: EndMaintenance) -> None:
        proxy.informed_starts[event.backend] = self.servers[event.backend].started_at
        self._deliver(proxy, event)
