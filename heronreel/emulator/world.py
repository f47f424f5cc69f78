"""A whole rehearsal in virtual time: fleet, proxies, clients, list service, troubles, observer and judge."""

from __future__ import annotations

import gc
from collections.abc import Callable, Iterable
from statistics import NormalDist
from typing import Any

from heronreel.balancer import interface as api
from heronreel.emulator.clients import Clients, Front
from heronreel.emulator.draws import Draws, fixed
from heronreel.emulator.events import Events
from heronreel.emulator.fleet import Fleet
from heronreel.emulator.judge import SECOND_MS, Judge
from heronreel.emulator.lists import Entry, ListService, Shape
from heronreel.emulator.model import Class, Kind, Rehearsal
from heronreel.emulator.network import Wires
from heronreel.emulator.node import FULL, NEVER, REPEAT, Job, Node, Rack
from heronreel.emulator.observer import Observer
from heronreel.emulator.policies import Decider, make
from heronreel.emulator.proxies import Ask, Proxy
from heronreel.emulator.result import Result, gathered
from heronreel.emulator.trace import Tracer
from heronreel.emulator.troubles import Troubles
from heronreel.routes.model import EFFECTS, GROUPS, RoutesFile
from heronreel.serve.policies import Router, discovered_pool

ATTEMPT, HINT = 5, 6  # what a fixed draw is for
FRONT_GOES_ON_MS = 300.0  # after SIGTERM new requests come for so long
SETTLE_MS = 1000.0  # after the last request's time, for what is still on its way
COLLECT = (50_000, 20, 100)  # new objects before each generation is looked through for cycles
NORMAL = NormalDist()


class World:
    """One play.  `make` gives each proxy process its decider; tests may pass their own."""

    def __init__(
        self, rehearsal: Rehearsal, seed: int, policy: str = "", trace: Iterable[int] = (),
        routes: RoutesFile | None = None, deciders: Callable[[api.Settings, int], Decider] | None = None,
        events: Events | None = None, proxy: Callable[[World, str, str, int], Proxy] = Proxy,
    ) -> None:  # fmt: skip
        self.rehearsal, self.seed = rehearsal, seed
        self.policy = policy or rehearsal.proxies.policy
        self.draws = Draws(seed)
        self.events = events or Events()
        self.wires = Wires(rehearsal.network, self.draws)
        self.faults = self.draws.stream("faults")
        rules = rehearsal.rules
        self.observer = Observer(
            rules.answer_grace_ms, rules.drain_grace_ms, rules.told_ms, rules.ask_within_ms, rules.fall_ms
        )
        quotas = {
            tenant.name: tenant.quota_per_s or tenant.share * rehearsal.traffic.requests_per_s
            for tenant in rehearsal.tenants
        }
        self.quotas = quotas
        self.judge = Judge(rehearsal.score, rehearsal.prices, quotas, rehearsal.proxies.count)
        self.by_ident: dict[int, Node] = {}
        self.timeline: list[dict[str, Any]] = []
        self.lists = ListService(self.events, rehearsal.list, lambda: self.wires.between("list", "list"))
        self.fleet = Fleet(rehearsal, self.draws, self.events, self._job_ended, self._job_lost, self._warmed)
        self.rack_numbers = {rack.name: number for number, rack in enumerate(self.fleet.racks)}
        self.lists.on_known = self._known
        for node in self.fleet.nodes:
            self.by_ident[node.ident] = node
            self.lists.entries[node.ident] = self.entry_of(node)
        self.routes = routes
        self.routed: Callable[[Class], api.RoutePolicy | None] | None = None
        if routes is not None:
            self.routed = self._router(routes)
        self.deciders = deciders
        self.on_node: Callable[[Node], None] = lambda node: None  # a process of a node has come up
        zones = rehearsal.fleet.zones
        self.proxies = [
            proxy(self, f"p{slot}", zones[slot % len(zones)], slot) for slot in range(rehearsal.proxies.count)
        ]
        for made in self.proxies:
            made.known = dict(self.lists.entries)
        self.front = Front(self.proxies, rehearsal.proxies.skew, seed)
        self.after: dict[int, Callable[[], None]] = {}  # lines of closed clients: what follows their end
        self.last_ask: dict[int, Ask] = {}
        self.clients = Clients(self, self.front)
        wanted = set(trace)
        self.tracer = Tracer(self, wanted) if wanted else None
        self.last = (0, 0.0, 0.0)

    # What proxies are told.

    def settings_of(self, zone: str, slot: int) -> api.Settings:
        rehearsal = self.rehearsal
        rules, proxies = rehearsal.rules, rehearsal.proxies
        prices, kinds = rehearsal.prices, rehearsal.fleet.kinds
        return api.Settings(
            classes=tuple(
                api.RequestClass(
                    k.name, k.aim_ms, k.deadline_ms, k.worth, k.late_worth, EFFECTS[k.effect],
                    GROUPS[k.group],
                    k.window_ms if k.effect == "keyed" else 0.0,
                )
                for k in rehearsal.classes
            ),
            tenants=tuple(api.Tenant(t.name, t.share, self.quotas[t.name]) for t in rehearsal.tenants),
            zone=zone, zones=tuple(rehearsal.fleet.zones), proxies=proxies.count, proxy_index=slot,
            watch_list=True, watch_within_ms=rules.ask_within_ms, max_attempts=proxies.max_attempts,
            hedging=proxies.second_copies, max_retry_after_ms=proxies.max_retry_after_ms,
            connect_timeout_ms=proxies.connect_timeout_ms, key_affinity=any(kind.warm_gain for kind in kinds),
            slow_start_from=min((kind.cold_from for kind in kinds), default=1.0),
            slow_start_ms=max((kind.cold_ms for kind in kinds), default=0.0),
            overload_factor=rules.overload_factor, overload_window_ms=rules.fall_ms,
            over_quota_weight=rehearsal.score.over_share_worth, price_cross_zone=prices.cross_zone,
            price_late_failure=prices.late_failure, price_connection=prices.connection,
            price_handshake=prices.handshake, price_waste=prices.waste,
        )  # fmt: skip

    def make(self, settings: api.Settings, seed: int) -> Decider:
        if self.deciders is not None:
            return self.deciders(settings, seed)
        if self.routes is not None and self.policy == "heronreel":
            from heronreel.balancer.pools import Pools

            return Pools(settings, seed, discovered_pool(self.routes))
        return make(self.policy, settings, seed, self)

    def _router(self, routes: RoutesFile) -> Callable[[Class], api.RoutePolicy | None]:
        """The real policies of a file of routes: a class's requests come under the path of its name."""
        router = Router(routes)

        def found(klass: Class) -> api.RoutePolicy | None:
            method = b"GET" if klass.effect == "safe" else b"POST"
            headers = {b"idempotency-key": b"k"} if klass.effect == "keyed" else {}
            return router.find(b"localhost", b"/" + klass.name.encode(), method, headers)

        return found

    def entry_of(self, node: Node, shape: Shape | None = None) -> Entry:
        shape = shape or (Shape.LEFT if node.down else Shape.LEAVING if node.drains else Shape.UP)
        number = self.rack_numbers[node.rack.name]
        return Entry(node.ident, node.name, node.zone, node.kind.name, number, shape, node.since)

    def _known(self, entry: Entry) -> None:
        self.observer.known(entry.name, entry.shape is Shape.UP, self.events.now)

    # Nodes.

    def kill_node(self, node: Node) -> None:
        if node.down:
            return
        self.fleet.kill(node)
        self.observer.warmed(node.name)
        for proxy in self.proxies:
            proxy.node_died(node)

    def raise_node(self, node: Node, cold: bool) -> None:
        self.fleet.raise_(node, cold)
        self.on_node(node)
        self._watch_cold(node)
        self.lists.learn(self.entry_of(node), self.rehearsal.list.add_ms)

    def add_node(self, kind: Kind, zone: str, rack: Rack, cold: bool) -> Node:
        node = self.fleet.make(kind, zone, rack, self.events.now, cold)
        self.by_ident[node.ident] = node
        self.on_node(node)
        self._watch_cold(node)
        self.lists.learn(self.entry_of(node), self.rehearsal.list.add_ms)
        return node

    def _watch_cold(self, node: Node) -> None:
        if node.cold:
            self.observer.rose(node.name, node.since)

    def _warmed(self, node: Node) -> None:
        self.observer.warmed(node.name)

    def drain_node(self, node: Node, after_ms: float) -> None:
        """It finishes what it has, turns away what is new, and its process ends after a while."""
        if node.down or node.drains:
            return
        node.drains = True
        self.lists.learn(self.entry_of(node), self.rehearsal.list.add_ms)
        if after_ms:
            self.events.at(self.events.now + after_ms, self._gone, node, node.epoch)

    def _gone(self, node: Node, epoch: int) -> None:
        if node.epoch == epoch:
            self.kill_node(node)
            self.lists.learn(self.entry_of(node, Shape.LEFT), self.rehearsal.list.add_ms)

    def fell(self, node: Node) -> None:
        """A cold node has collapsed."""
        now = self.events.now
        self.observer.fell(node.name, now)
        for proxy in self.proxies:
            proxy.node_died(node)
        self.happened(now, "fell", -1, "cold", [node.name])
        self.lists.learn(self.entry_of(node, Shape.LEFT), self.rehearsal.list.notice_ms)

    def _job_ended(self, node: Node, job: Job) -> None:
        attempt: Any = job.owner
        now, ask = self.events.now, attempt.ask
        if not job.fails:
            self.observer.ran(job.line, ask.klass.effect, ask.ident, ask.proxy.name, node.name, now)
            self.judge.meter.worked_ms += job.work
            if ask.over:
                self.judge.meter.wasted_ms += job.work
        if self.tracer is not None:
            self.tracer.ran(now, attempt, job.fails)
        outcome = api.Outcome.ERROR if job.fails else api.Outcome.SERVED
        self._come_back(job, outcome)

    def _job_lost(self, node: Node, job: Job) -> None:
        self._come_back(job, api.Outcome.RESET)

    def _come_back(self, job: Job, outcome: api.Outcome) -> None:
        for owner in (job.owner, *job.joined):
            attempt: Any = owner
            attempt.ask.proxy.come_back(attempt, outcome)

    def offer(self, node: Node, attempt: Any, more: float) -> api.Outcome | None:
        """A request has come to a process that is awake: the outcome that sets out at once, None for later.

        `attempt` has an `ask` and a `number`, in either engine; `more`: work beside the request's own.
        """
        ask, now = attempt.ask, self.events.now
        line, klass = ask.line, ask.klass
        fails = node.errors > 0.0 and self.faults.chance(node.errors)
        work = more + self.work_of(ask, attempt.number)
        if node.cold:
            self.observer.offered(node.name, ask.proxy.name, work, now)
            if self.fleet.presses(node, work):
                self.fell(node)
                return api.Outcome.RESET
        window = klass.window_ms if klass.effect == "keyed" else 0.0
        found = self.fleet.offer(node, Job(line.ident, line.key, work, attempt, window, fails))
        if found == FULL:
            return api.Outcome.REJECTED
        if self.tracer is not None:
            words = "its rack drops it as a repeat" if found == REPEAT else "taken"
            self.tracer.at_node(now, attempt, words)
        first = node.rack.first(line.ident, now) if found == REPEAT else None
        return api.Outcome.SERVED if first is not None and first.began == NEVER else None

    def wait_ms(self, zone: str, ident: int, work: float) -> float:
        """Until a node would have answered this work, if it were sent now: for those that see the truth."""
        node, now = self.by_ident[ident], self.events.now
        if node.down or node.silent or node.drains or not self.wires.heard(zone, node.zone):
            return NEVER
        cores = node.kind.cores * node.kind.slots
        if len(node.running) + len(node.waiting) >= cores + node.kind.queue:
            return NEVER
        pace = node.held or node.speed * 0.01
        pressure, warmth = node.pressure, node.warmth(now)
        if pressure is not None and warmth < 1.0:
            bears = pressure.factor * node.most() * warmth * pressure.window_ms
            if pressure.total + 2.0 * work > bears:
                return NEVER
        ahead = max(0.0, node.paused_until - now)
        if len(node.running) >= cores:
            ends = sorted(max(0.0, end - node.clock) for end, _, _ in node.running)
            for job in node.waiting:
                ends.append(ends.pop(0) + job.work)
                ends.sort()
            ahead += ends[0] / pace
        way = self.rehearsal.network.same_ms if zone == node.zone else self.rehearsal.network.cross_ms
        return (ahead + work / pace + 2.0 * way) / max(0.05, 1.0 - node.errors)

    # Requests.

    def work_of(self, ask: Ask, number: int) -> float:
        """Of one attempt: the request's work with the attempt's own noise, alike whoever plays."""
        line, noise = ask.line, ask.klass.attempt_noise
        if not noise:
            return line.work
        drawn = NORMAL.inv_cdf(fixed(self.seed, line.ident, line.tries * 16 + number, ATTEMPT))
        return line.work * max(0.2, 1.0 + noise * drawn)

    def hint_of(self, line: Any) -> float:
        klass = self.rehearsal.classes[line.klass]
        if not klass.hints:
            return 0.0
        if not klass.hint_noise:
            return float(line.work)
        drawn = NORMAL.inv_cdf(fixed(self.seed, line.ident, HINT))
        return float(line.work * max(0.2, 1.0 + klass.hint_noise * drawn))

    # Proxies.

    def term_proxy(self, proxy: Proxy) -> None:
        if proxy.alive and not proxy.draining:
            proxy.term(self.rehearsal.proxies.term_ms)
            self.events.at(self.events.now + FRONT_GOES_ON_MS, self.front.change, proxy, False)

    def ended_proxy(self, proxy: Proxy) -> None:
        """Its process has ended: the front finds out, and a new one comes."""
        now = self.events.now
        self.happened(now, "ended", -1, "proxy", [proxy.name])
        self.events.at(now + self.rehearsal.front.notice_ms, self._noticed, proxy, proxy.process)
        self.events.at(now + self.rehearsal.proxies.restart_ms, proxy.start)

    def _noticed(self, proxy: Proxy, process: int) -> None:
        if proxy.process == process and not proxy.alive:
            self.front.change(proxy, False)

    # The run.

    def happened(self, now: float, what: str, place: int, kind: str, names: list[str]) -> None:
        row: dict[str, Any] = {"at_ms": round(now, 3), "event": what, "kind": kind, "names": names}
        if place >= 0:
            row["trouble"] = place
        self.timeline.append(row)

    def _tick(self) -> None:
        """Once a second: what the fleet looks like, and what is paid for by time."""
        now, meter = self.events.now, self.judge.meter
        nodes = [node for node in self.fleet.nodes if not node.down]
        meter.conn_ms += sum(node.conns for node in nodes) * SECOND_MS
        meter.node_ms += len(nodes) * SECOND_MS
        attempts, busy, load = meter.attempts, 0.0, 0.0
        states = {}
        for node in self.fleet.nodes:
            node.settle(now)
            busy += node.busy_ms
            load += node.load_ms
            if not node.down:
                states[node.name] = [len(node.running), len(node.waiting), node.conns]
        cores = sum(node.kind.cores * node.kind.slots for node in nodes) or 1
        before = self.last
        self.last = (attempts, busy, load)
        self.timeline.append({
            "at_ms": round(now, 3), "event": "second", "nodes": len(nodes),
            "proxies": sum(proxy.alive for proxy in self.proxies), "attempts": attempts - before[0],
            "utilisation": round((busy - before[1]) / SECOND_MS / cores, 4),
            "requests_at_nodes": round((load - before[2]) / SECOND_MS, 3), "list_queue": self.lists.waiting,
            "breaches": sum(self.observer.counts.values()), "states": states,
        })  # fmt: skip
        self.events.at(now + SECOND_MS, self._tick)

    def run(self, progress: Callable[[float], None] | None = None) -> Result:
        """Play it to its end; `progress` gets the share of the time that is over."""
        before = gc.get_threshold()
        gc.set_threshold(*COLLECT)  # what lives is much and lasts: looking through it often costs a seventh
        try:
            return self._run(progress)
        finally:
            gc.set_threshold(*before)

    def _run(self, progress: Callable[[float], None] | None) -> Result:
        now, end = 0.0, self.rehearsal.seconds * 1000.0
        for proxy in self.proxies:
            proxy.start()
        troubles = self.begin()
        while now < end:
            now = min(end, now + SECOND_MS)
            self.events.run(now)
            if progress is not None:
                progress(now / end)
        while not self.is_over():
            self.events.run(self.events.now + SECOND_MS / 4.0)
        self.events.run(self.events.now + SETTLE_MS)
        return self.finish(troubles)

    def begin(self) -> Troubles:
        """Set what happens by itself: troubles, the seconds' rows, the clients."""
        troubles = Troubles(self)
        self.events.at(SECOND_MS, self._tick)
        self.clients.start()
        return troubles

    def is_over(self) -> bool:
        """The time is up and every request has its end, or never will."""
        rehearsal, tries = self.rehearsal, 1 + self.rehearsal.clients.retries
        wait = max(klass.deadline_ms for klass in rehearsal.classes) + rehearsal.proxies.max_retry_after_ms
        limit = rehearsal.seconds * 1000.0 + tries * (wait + rehearsal.clients.backoff_ms * 2**tries)
        now = self.events.now
        return now >= rehearsal.seconds * 1000.0 and (not self.clients.open_lines or now >= limit)

    def finish(self, troubles: Troubles) -> Result:
        for line in list(self.clients.open_lines.values()):
            klass = self.rehearsal.classes[line.klass]
            self.judge.over(line, "lost", self.events.now, klass.aim_ms, 0.0)
        return gathered(self, troubles)


def play(
    rehearsal: Rehearsal, seed: int, policy: str = "", trace: Iterable[int] = (),
    routes: RoutesFile | None = None,
    progress: Callable[[float], None] | None = None,
) -> Result:  # fmt: skip
    return World(rehearsal, seed, policy, trace, routes).run(progress)
