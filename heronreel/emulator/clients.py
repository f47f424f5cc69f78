"""Clients and the front that deals them out: arrivals, tries, retries, patience.

What a client asks and when is drawn from streams that no policy can shift; which proxy it comes to depends on
the request and its try alone.  An open client's requests are due when they are due, however slow the answers
are; a closed one asks again a while after it was answered.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from itertools import accumulate
from typing import TYPE_CHECKING

import numpy as np

from heronreel.emulator.draws import Stream, fixed, work_of
from heronreel.emulator.judge import Line
from heronreel.emulator.proxies import Ask, Proxy

if TYPE_CHECKING:
    from heronreel.emulator.world import World

STEP_MS = 50.0  # the rate is taken to stand still for so long
LEAST_LEFT_MS = 1.0
FRONT, HONOURS, LEAVES = 1, 2, 3  # what a fixed draw is for


class Front:
    """Spreads the requests of a zone over its proxies, and notices late that one has died."""

    def __init__(self, proxies: list[Proxy], skew: float, seed: int) -> None:
        self.seed = seed
        self.zones: dict[str, list[Proxy]] = {}
        for proxy in proxies:
            self.zones.setdefault(proxy.zone, []).append(proxy)
        self.weights: dict[str, float] = {}
        for group in self.zones.values():
            for rank, proxy in enumerate(group):
                place = rank / (len(group) - 1) if len(group) > 1 else 0.5
                self.weights[proxy.name] = 1.0 + skew * (1.0 - 2.0 * place)
        self.out: set[str] = set()  # those it deals nothing
        self.sums: dict[str, tuple[list[Proxy], list[float]]] = {}

    def change(self, proxy: Proxy, takes_part: bool) -> None:
        (self.out.discard if takes_part else self.out.add)(proxy.name)
        self.sums.clear()

    def deal(self, zone: str, line: int, number: int) -> Proxy | None:
        """The proxy that try `number` of a request comes to; another zone's where this one has none."""
        if zone not in self.sums:
            here = [p for p in self.zones.get(zone, ()) if p.name not in self.out]
            if not here:
                here = [p for group in self.zones.values() for p in group if p.name not in self.out]
            self.sums[zone] = (here, list(accumulate(self.weights[p.name] for p in here)))
        group, sums = self.sums[zone]
        if not group:
            return None
        place = bisect_right(sums, fixed(self.seed, line, number, FRONT) * sums[-1])
        return group[min(place, len(group) - 1)]


class Clients:
    def __init__(self, world: World, front: Front) -> None:
        rehearsal = world.rehearsal
        self.world, self.front, self.clients = world, front, rehearsal.clients
        self.draw: Stream = world.draws.stream("arrivals")
        self.classes = rehearsal.classes
        self.class_sums = list(accumulate(klass.share for klass in self.classes))
        self.drawers = [work_of(klass.dist, klass.work_ms, klass.cv) for klass in self.classes]
        self.tenants = rehearsal.tenants
        self.tenant_factors: dict[str, float] = {}  # a tenant's trouble
        self.zones = list(rehearsal.fleet.zones)
        skew = rehearsal.traffic.zone_skew
        self.zone_weights = {
            zone: 1.0 + (skew if place == 0 else -skew if place == len(self.zones) - 1 else 0.0)
            for place, zone in enumerate(self.zones)
        } if len(self.zones) > 1 else dict.fromkeys(self.zones, 1.0)  # fmt: skip
        self.tenant_sums: list[float] = []
        self.zone_sums: list[float] = []
        self.reweigh()
        self.factor = 1.0  # of bursts
        self.heavies: list[tuple[float, float]] = [(0.0, 1.0)]  # share, times the work; the last counts
        keys = rehearsal.keys
        ranks = np.arange(1, max(1, keys.count) + 1, dtype=float) ** -keys.zipf
        self.key_sums: list[float] = np.cumsum(ranks / ranks.sum()).tolist()
        self.lines = self.asks = 0
        self.points = [(point.at_s * 1000.0, point.factor) for point in rehearsal.traffic.points]
        self.until = rehearsal.seconds * 1000.0
        self.open_lines: dict[int, Line] = {}

    def start(self) -> None:
        traffic = self.world.rehearsal.traffic
        if traffic.arrivals == "open":
            self._next(0.0)
            return
        for user in range(traffic.users):
            stream = self.world.draws.stream(f"user {user}")
            self.world.events.at(stream.uniform(0.0, traffic.think_ms), self._user_asks, stream)

    def rate(self, now: float) -> float:
        """Requests due a ms."""
        return self.world.rehearsal.traffic.requests_per_s / 1000.0 * self._shape(now) * self.factor

    def _shape(self, now: float) -> float:
        points = self.points
        if not points:
            return 1.0
        place = bisect_right(points, (now, math.inf))
        if place == 0:
            return points[0][1]
        if place == len(points):
            return points[-1][1]
        (at, low), (then, high) = points[place - 1], points[place]
        return low + (high - low) * (now - at) / (then - at)

    def _next(self, now: float) -> None:
        """Set the next arrival: the rate stands for a step, then the wait is drawn anew (memoryless)."""
        if now >= self.until:
            return
        rate, edge = self.rate(now), (math.floor(now / STEP_MS) + 1.0) * STEP_MS
        wait = self.draw.exponential(1.0 / rate) if rate > 0.0 else math.inf
        if now + wait < edge:
            self.world.events.at(now + wait, self._open_asks, now + wait)
        else:
            self.world.events.at(edge, self._next, edge)

    def _open_asks(self, at: float) -> None:
        """A request is due at `at`; on a wall's clock it may be later by now, the next is due as it is."""
        if at < self.until:
            self._due(self.draw, at)
            self._next(at)

    def _user_asks(self, stream: Stream) -> None:
        if self.world.events.now < self.until:
            line = self._due(stream, self.world.events.now)
            self.world.after[line.ident] = lambda: self.world.events.at(
                self.world.events.now + stream.exponential(self.world.rehearsal.traffic.think_ms),
                self._user_asks, stream,
            )  # fmt: skip

    def _due(self, draw: Stream, now: float) -> Line:
        """A new request of some client."""
        world = self.world
        self.lines += 1
        number = self.lines
        place = min(
            bisect_right(self.class_sums, draw.uniform() * self.class_sums[-1]), len(self.classes) - 1
        )
        klass = self.classes[place]
        tenant = self._tenant(draw)
        zone = self._zone(draw)
        key = bisect_right(self.key_sums, draw.uniform())
        work = self.drawers[place](draw)
        heavy, times = self.heavies[-1]
        if draw.uniform() < heavy:
            work *= times
        line = world.judge.due(number, now, place, tenant, klass.worth, work)
        line.key, line.zone = key, zone
        self.open_lines[number] = line
        self._try(line)
        return line

    def reweigh(self) -> None:
        """A tenant's or a zone's part has changed."""
        parts = [t.share * t.usage * self.tenant_factors.get(t.name, 1.0) for t in self.tenants]
        self.tenant_sums = list(accumulate(parts))
        self.zone_sums = list(accumulate(self.zone_weights.values()))

    def _tenant(self, draw: Stream) -> str:
        if not self.tenants:
            return ""
        place = bisect_right(self.tenant_sums, draw.uniform() * self.tenant_sums[-1])
        return self.tenants[min(place, len(self.tenants) - 1)].name

    def _zone(self, draw: Stream) -> str:
        place = bisect_right(self.zone_sums, draw.uniform() * self.zone_sums[-1])
        return self.zones[min(place, len(self.zones) - 1)]

    # Tries.

    def _try(self, line: Line) -> None:
        world, now, klass = self.world, self.world.events.now, self.classes[line.klass]
        if line.answer:
            return
        line.tries += 1
        left = klass.deadline_ms * (self.clients.try_share if line.tries <= self.clients.retries else 1.0)
        proxy = self.front.deal(line.zone, line.ident, line.tries)
        if proxy is None or not proxy.alive:
            world.events.at(now + 2.0 * world.wires.client(), self.unreachable, line)
            return
        if fixed(world.draws.seed, line.ident, LEAVES) < self.clients.impatient:
            world.events.at(now + klass.deadline_ms * self.clients.patience, self._leave, line)
        world.events.at(
            now + world.wires.client(), self._reach, line, proxy, max(LEAST_LEFT_MS, left), proxy.process
        )

    def _reach(self, line: Line, proxy: Proxy, left: float, process: int) -> None:
        if not proxy.alive or proxy.process != process:
            self.unreachable(line)
            return
        self.asks += 1
        ask = Ask(
            self.asks, line, self.classes[line.klass], proxy, self.world.events.now + left, line.tries > 1
        )
        self.world.last_ask[line.ident] = ask
        proxy.arrive(ask, left)

    def _leave(self, line: Line) -> None:
        if not line.answer:
            ask = self.world.last_ask.get(line.ident)
            if ask is not None:
                ask.proxy.leave(ask)
            self._over(line, "left")

    def answered(self, ask: Ask, what: str, after: float) -> None:
        """A proxy has answered; the client hears it a moment later."""
        self.world.events.at(self.world.events.now + self.world.wires.client(), self._hears, ask, what, after)

    def _hears(self, ask: Ask, what: str, after: float) -> None:
        line = ask.line
        if line.answer or self.world.last_ask.get(line.ident) is not ask:
            return
        if what == "served":
            self._over(line, "served")
            return
        harmless = what == "refused" or ask.klass.effect == "safe"
        if not harmless or not self._again(line, after):
            self._over(line, what)

    def unreachable(self, line: Line) -> None:
        if not line.answer and not self._again(line, 0.0):
            self._over(line, "failed")

    def cut_off(self, ask: Ask) -> None:
        """Its proxy's process has ended under it."""
        if not ask.line.answer and (ask.klass.effect != "safe" or not self._again(ask.line, 0.0)):
            self._over(ask.line, "failed")

    def _again(self, line: Line, after: float) -> bool:
        """Whether the client tries once more, after its own wait or the advised one."""
        clients = self.clients
        if line.tries > clients.retries:
            return False
        wait = clients.backoff_ms * (2.0 ** (line.tries - 1) if clients.backoff == "exp" else 1.0)
        if after and fixed(self.world.draws.seed, line.ident, HONOURS) < clients.honour:
            wait = max(wait, after)
        self.world.events.at(self.world.events.now + wait, self._try, line)
        return True

    def _over(self, line: Line, end: str) -> None:
        klass = self.classes[line.klass]
        self.world.judge.over(line, end, self.world.events.now, klass.aim_ms, klass.late_worth)
        self.world.last_ask.pop(line.ident, None)
        self.open_lines.pop(line.ident, None)
        follow = self.world.after.pop(line.ident, None)
        if follow is not None:
            follow()
