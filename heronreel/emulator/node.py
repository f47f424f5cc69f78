"""A node: cores that work requests off, a waiting room, and all that goes wrong with it.  No I/O, no clock.

All running requests of a node go at the same pace, so the node keeps one clock of work done by each of its
cores (`clock`, ms of work): a request that starts at clock c with work w ends when the clock stands at c + w,
whatever the pace does in between.  Whoever changes anything calls `settle` first, `refresh` afterwards, and
asks for `next_end` then.

Every part can be left out, by a zero in the kind's table: crowding, table of connections, warm keys, warm-up,
falling over, pauses, errors, the rack's hidden limit.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from heapq import heappop, heappush

from heronreel.emulator.model import Kind

FULL, TAKEN, REPEAT = "full", "taken", "repeat"
NEVER = float("inf")
TINY_MS = 1e-6  # of work: less than this is none, lest an end be set for the same moment again and again


@dataclass(slots=True)
class Job:
    """One attempt at a node.  `line`: the request it is a try of, alike for its repeats."""

    line: int
    key: int
    work: float  # ms of a core at speed 1, as this node would do it without warm keys
    owner: object  # whom its end is told, opaque here
    window_ms: float = 0.0  # for how long its rack drops a repeat
    fails: bool = False  # ends as an error without being worked on
    began: float = -1.0
    arrived: float = 0.0
    joined: list[object] = field(default_factory=list)  # owners of repeats that were dropped meanwhile


class Rack:
    """Nodes that drop one another's repeats and may share a hidden limit."""

    __slots__ = ("limit", "name", "nodes", "seen", "shared")

    def __init__(self, name: str, limit: float = 0.0) -> None:
        self.name = name
        self.limit = limit  # share of the nodes' pace that they get together; 0: no limit
        self.nodes: list[Node] = []
        self.shared = 1.0  # part of its pace that each node gets now
        self.seen: OrderedDict[int, tuple[float, Job]] = OrderedDict()  # by line: forgotten when, the first

    def first(self, line: int, now: float) -> Job | None:
        """What a repeat of `line` repeats here, while it is remembered."""
        while self.seen:
            oldest = next(iter(self.seen))
            if self.seen[oldest][0] > now:
                break
            del self.seen[oldest]
        entry = self.seen.get(line)
        return entry[1] if entry and entry[0] > now else None

    def remember(self, job: Job, now: float) -> None:
        self.seen[job.line] = (now + job.window_ms, job)
        self.seen.move_to_end(job.line)

    def forget(self, line: int) -> None:
        """Its work was lost undone: a repeat must not be dropped for it."""
        self.seen.pop(line, None)

    def share(self) -> float:
        """How much of its pace each node gets, by what those that work would go at together."""
        if not self.limit:
            return 1.0
        asked = sum(node.want * len(node.running) for node in self.nodes)
        return min(1.0, self.limit * sum(node.most() for node in self.nodes) / asked) if asked else 1.0


@dataclass(slots=True)
class Pressure:
    """Work that a cold node was sent lately, against what it bears: rule 4's own cause, in the node."""

    window_ms: float
    factor: float
    slack_ms: float  # of work that chance may add
    sent: deque[tuple[float, float]] = field(default_factory=deque)
    total: float = 0.0

    def add(self, now: float, work: float, pace: float) -> bool:
        """Whether it is too much.  `pace`: what the node can do at this moment, in cores at speed 1."""
        self.sent.append((now, work))
        self.total += work
        while self.sent[0][0] <= now - self.window_ms:
            self.total -= self.sent.popleft()[1]
        return self.total > self.factor * pace * self.window_ms + self.slack_ms


class Node:
    __slots__ = (
        "busy_ms", "clock", "cold", "conns", "done", "down", "drains", "due", "epoch", "errors", "fell",
        "held", "ident", "keys", "kind", "last", "load_ms", "loses", "name", "neighbour",
        "paused_until", "pressure", "rack", "resets", "running", "silent", "since", "slow", "speed", "taken",
        "waiting", "want", "worked", "zone",
    )  # fmt: skip

    def __init__(
        self, ident: int, name: str, zone: str, rack: Rack, kind: Kind, speed: float, since: float = 0.0,
        cold: bool = False,
    ) -> None:  # fmt: skip
        self.ident, self.name, self.zone = ident, name, zone
        self.rack, self.kind, self.speed = rack, kind, speed
        self.since = since  # when this process came up, as the list tells; 0: long ago
        self.cold = cold and kind.cold_from < 1.0
        self.clock, self.last = 0.0, since
        self.running: list[tuple[float, int, Job]] = []  # by the clock at which each ends
        self.waiting: deque[Job] = deque()
        self.taken = 0  # ever; breaks ties of `running`
        self.want = self.held = speed  # pace of a core: without what the rack takes, and with it
        self.due = NEVER  # of the event that is set for its next end
        self.epoch = 0  # processes so far: what was set for an earlier one is void
        self.conns = 0  # open connections
        self.keys: OrderedDict[int, float] = OrderedDict()  # met when
        self.slow = 1.0  # times slower
        self.neighbour = 0.0  # share of the machine that another program takes
        self.errors = kind.error_rate
        self.loses = self.resets = 0.0  # shares of answers lost, and of requests reset
        self.silent = 0  # troubles that keep it from saying anything; they outlast its process
        self.down = self.drains = self.fell = False
        self.paused_until = 0.0
        self.pressure: Pressure | None = None
        self.worked = 0.0  # ms of work done
        self.busy_ms = self.load_ms = 0.0  # integrals of running and of all requests here over time
        self.done = 0
        rack.nodes.append(self)

    def most(self) -> float:
        """Pace of all its cores when nothing is wrong."""
        return self.kind.cores * self.speed

    def warmth(self, now: float) -> float:
        """Share of its pace that it has by now: by time, by work, or by what comes first."""
        kind = self.kind
        if not self.cold:
            return 1.0
        by_time = (now - self.since) / kind.cold_ms if kind.cold_ms else 0.0
        by_work = self.worked / kind.warm_work_ms if kind.warm_work_ms else 0.0
        risen = max(by_time, by_work)
        if risen >= 1.0:
            self.cold, self.pressure = False, None
            return 1.0
        return kind.cold_from + (1.0 - kind.cold_from) * risen

    def settle(self, now: float) -> None:
        """Bring the books up to now, at the pace that has held since the last time."""
        took = now - self.last
        if took > 0.0:
            running = len(self.running)
            self.clock += took * self.held
            self.worked += took * self.held * running
            self.busy_ms += took * running
            self.load_ms += took * (running + len(self.waiting))
            self.last = now

    def refresh(self, now: float) -> None:
        """Find the pace that holds from now on.  `settle` comes before."""
        if now < self.paused_until or self.down:
            self.want = self.held = 0.0
            return
        kind = self.kind
        pace = self.speed / self.slow * (1.0 - self.neighbour)
        if self.cold:
            pace *= self.warmth(now)
        if kind.thrash:
            over = len(self.running) + len(self.waiting) - kind.cores
            if over > 0:
                pace *= 1.0 - kind.thrash * min(1.0, over / (kind.thrash_at * kind.cores))
        if kind.full_tax and kind.connections:
            pace *= 1.0 - kind.full_tax * min(1.0, self.conns / kind.connections)
        self.want = pace
        self.held = pace * self.rack.shared

    def next_end(self) -> float:
        """When the first of the running ends if nothing changes."""
        if not self.running or self.held <= 0.0:
            return NEVER
        return self.last + max(0.0, self.running[0][0] - self.clock) / self.held

    def offer(self, now: float, job: Job) -> str:
        """FULL, TAKEN, or REPEAT: dropped, since its rack has had it.  `settle` comes before."""
        if job.window_ms:
            first = self.rack.first(job.line, now)
            if first is not None:
                if first.began != NEVER:  # it waits or runs: the repeat is answered with it
                    first.joined.append(job.owner)
                return REPEAT
        slots = self.kind.cores * self.kind.slots
        if self.drains or len(self.running) + len(self.waiting) >= slots + self.kind.queue:
            return FULL
        job.arrived = now
        if job.window_ms and not job.fails:
            self.rack.remember(job, now)
        if len(self.running) < slots:
            self._begin(now, job)
        else:
            self.waiting.append(job)
        return TAKEN

    def presses(self, now: float, work: float) -> bool:
        """Count work that reached it, also what it turns away; True: more than it bears while cold."""
        if self.pressure is None or not self.cold:
            return False
        return self.pressure.add(now, work, self.most() * self.warmth(now))

    def _begin(self, now: float, job: Job) -> None:
        work = 0.0 if job.fails else job.work
        kind = self.kind
        if kind.warm_gain and not job.fails:
            met = self.keys.pop(job.key, -NEVER)
            if now - met <= kind.warm_ms:
                work *= 1.0 - kind.warm_gain
            self.keys[job.key] = now
            if len(self.keys) > kind.warm_keys:
                self.keys.popitem(last=False)
        job.began = now
        self.taken += 1
        heappush(self.running, (self.clock + work, self.taken, job))

    def finish(self, now: float) -> list[Job]:
        """Those of the running that end now; the waiting take their places.  `settle` comes before."""
        ended = []
        while self.running and self.running[0][0] <= self.clock + TINY_MS:
            job = heappop(self.running)[2]
            job.began = NEVER
            self.done += 1
            ended.append(job)
            if self.waiting:
                self._begin(now, self.waiting.popleft())
        return ended

    def die(self) -> list[Job]:
        """The process ends: what it had is gone, undone.  `settle` comes before."""
        lost = [job for _, _, job in sorted(self.running, key=lambda entry: entry[1])] + list(self.waiting)
        for job in lost:
            self.rack.forget(job.line)
        self.running.clear()
        self.waiting.clear()
        self.keys.clear()
        self.conns = 0
        self.down = True
        self.want = self.held = 0.0
        self.due = NEVER
        self.epoch += 1
        return lost

    def rise(self, now: float, cold: bool, pressure: Pressure | None) -> None:
        """A new process on the same machine.  `settle` comes before."""
        self.since = self.last = now
        self.cold = cold and self.kind.cold_from < 1.0
        self.pressure = pressure if self.cold else None
        self.clock = self.worked = 0.0
        self.down = self.fell = self.drains = False
        self.paused_until = 0.0
        self.epoch += 1
