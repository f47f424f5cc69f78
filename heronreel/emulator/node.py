"""A node: cores that process requests, a waiting queue, and everything that can go wrong with it.

No I/O, no clock.  All running requests of a node progress at the same pace, so the node keeps one clock of
work done by each of its cores (`clock`, ms of work): a request that starts at clock c with work w ends when
the clock is at c + w, whatever the pace does in between.  Whoever changes anything calls `settle` first,
`refresh` afterwards, and asks for `next_completion` then.

Every feature can be disabled, by a zero in the kind's table: contention, the connection table, warm keys,
warm-up, collapse, pauses, errors, the rack's hidden limit.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from enum import Enum
from heapq import heappop, heappush
from typing import Any

from heronreel.emulator.model import NodeKind

NEVER = float("inf")
MIN_WORK_MS = 1e-6  # less is none, lest an end be scheduled for the same moment again and again


class Admission(Enum):
    """What a node does with a request."""

    QUEUE_FULL = "full"
    ACCEPTED = "taken"
    DUPLICATE = "repeat"  # dropped, since its rack has had it


@dataclass(slots=True)
class Job:
    """One attempt at a node.  `client_request` is the same for its repeats."""

    client_request: int
    key: int
    work: float  # ms of a core at speed 1, as this node would do it without warm keys
    owner: Any  # the attempt it belongs to, opaque here
    dedup_window_ms: float = 0.0  # for how long its rack drops a repeat
    fails: bool = False  # ends as an error without being worked on
    started_at: float = -1.0
    arrived_at: float = 0.0
    duplicates: list[Any] = field(default_factory=list)  # owners of repeats that were dropped meanwhile

    @property
    def completed(self) -> bool:
        """Whether its work is done."""
        return self.started_at == NEVER


class Rack:
    """Nodes that drop one another's repeats and may share a hidden limit."""

    __slots__ = ("limit", "name", "nodes", "pace_share", "recent")

    def __init__(self, name: str, limit: float = 0.0) -> None:
        self.name = name
        self.limit = limit  # share of the nodes' pace that they get together; 0: no limit
        self.nodes: list[Node] = []
        self.pace_share = 1.0  # part of its pace that each node gets now
        # by client request: when it expires, and the first job
        self.recent: OrderedDict[int, tuple[float, Job]] = OrderedDict()

    def first_job(self, client_request: int, now: float) -> Job | None:
        """The job that a repeat duplicates, while it is remembered."""
        while self.recent:
            oldest = next(iter(self.recent))
            if self.recent[oldest][0] > now:
                break
            del self.recent[oldest]
        entry = self.recent.get(client_request)
        return entry[1] if entry and entry[0] > now else None

    def remember(self, job: Job, now: float) -> None:
        """Drop repeats of this job for its window."""
        self.recent[job.client_request] = (now + job.dedup_window_ms, job)
        self.recent.move_to_end(job.client_request)

    def forget(self, client_request: int) -> None:
        """Its work was lost undone: a repeat must not be dropped for it."""
        self.recent.pop(client_request, None)

    def share(self) -> float:
        """How much of its pace each node gets, by what the running requests would progress at together."""
        if not self.limit:
            return 1.0
        requested = sum(node.requested_pace * len(node.running) for node in self.nodes)
        if not requested:
            return 1.0
        return min(1.0, self.limit * sum(node.nominal_capacity for node in self.nodes) / requested)


@dataclass(slots=True)
class OverloadWindow:
    """Work that a warming node was sent lately, against what it withstands: the cause of a collapse."""

    window_ms: float
    factor: float
    slack_ms: float  # of work that chance may add
    arrivals: deque[tuple[float, float]] = field(default_factory=deque)
    total: float = 0.0

    def add(self, now: float, work: float, capacity: float) -> bool:
        """Whether it is too much.  `capacity`: of the node at this moment, in cores at speed 1."""
        self.arrivals.append((now, work))
        self.total += work
        while self.arrivals[0][0] <= now - self.window_ms:
            self.total -= self.arrivals.popleft()[1]
        return self.total > self.factor * capacity * self.window_ms + self.slack_ms


class Node:
    """One machine and the process on it."""

    __slots__ = (
        "busy_ms",
        "clock",
        "cold",
        "collapsed",
        "completed",
        "down",
        "draining",
        "error_rate",
        "ident",
        "incarnation",
        "kind",
        "load_ms",
        "name",
        "next_end_at",
        "noisy_neighbour",
        "nominal_capacity",
        "open_connections",
        "overload",
        "pace",
        "paused_until",
        "rack",
        "recent_keys",
        "requested_pace",
        "reset_rate",
        "response_loss",
        "running",
        "settled_at",
        "silent",
        "slowdown",
        "speed",
        "started",
        "started_at",
        "waiting",
        "work_done_ms",
        "zone",
    )

    def __init__(
        self,
        ident: int,
        name: str,
        zone: str,
        rack: Rack,
        kind: NodeKind,
        speed: float,
        started_at: float = 0.0,
        cold: bool = False,
    ) -> None:
        self.ident, self.name, self.zone = ident, name, zone
        self.rack, self.kind, self.speed = rack, kind, speed
        self.nominal_capacity = kind.cores * speed  # pace of all its cores when nothing is wrong
        self.started_at = started_at  # of this process, as the list gives it; 0: long ago
        self.cold = cold and kind.warm_up_floor < 1.0
        self.clock, self.settled_at = 0.0, started_at
        self.running: list[tuple[float, int, Job]] = []  # by the clock at which each ends
        self.waiting: deque[Job] = deque()
        self.started = 0  # jobs ever; breaks ties of `running`
        self.requested_pace = self.pace = speed  # of a core: without what the rack takes, and with it
        self.next_end_at = NEVER  # of the event that is scheduled for its next end
        self.incarnation = 0  # of the process: what was scheduled for an earlier one is void
        self.open_connections = 0
        self.recent_keys: OrderedDict[int, float] = OrderedDict()  # last used when
        self.slowdown = 1.0
        self.noisy_neighbour = 0.0  # share of the machine that another program takes
        self.error_rate = kind.error_rate
        self.response_loss = self.reset_rate = 0.0  # shares of responses lost, and of requests reset
        self.silent = 0  # faults that keep it from responding at all; they outlast its process
        self.down = self.draining = self.collapsed = False
        self.paused_until = 0.0
        self.overload: OverloadWindow | None = None
        self.work_done_ms = 0.0
        self.busy_ms = self.load_ms = 0.0  # integrals of running and of all requests here over time
        self.completed = 0
        rack.nodes.append(self)

    def slots(self) -> int:
        """Requests that it runs at once."""
        return self.kind.cores * self.kind.slots

    def queue_full(self) -> bool:
        """Whether there is no room for another request."""
        return len(self.running) + len(self.waiting) >= self.slots() + self.kind.queue

    def warm_up_share(self, now: float) -> float:
        """Share of its pace that it has by now: by time or by work, whichever is ahead."""
        kind = self.kind
        if not self.cold:
            return 1.0
        by_time = (now - self.started_at) / kind.warm_up_ms if kind.warm_up_ms else 0.0
        by_work = self.work_done_ms / kind.warm_up_work_ms if kind.warm_up_work_ms else 0.0
        progress = max(by_time, by_work)
        if progress >= 1.0:
            self.cold, self.overload = False, None
            return 1.0
        return kind.warm_up_floor + (1.0 - kind.warm_up_floor) * progress

    def settle(self, now: float) -> None:
        """Bring the books up to now, at the pace that has applied since the last time."""
        elapsed = now - self.settled_at
        if elapsed > 0.0:
            running = len(self.running)
            self.clock += elapsed * self.pace
            self.work_done_ms += elapsed * self.pace * running
            self.busy_ms += elapsed * running
            self.load_ms += elapsed * (running + len(self.waiting))
            self.settled_at = now

    def refresh(self, now: float) -> None:
        """Find the pace that applies from now on.  `settle` comes before."""
        if now < self.paused_until or self.down:
            self.requested_pace = self.pace = 0.0
            return
        kind = self.kind
        pace = self.speed / self.slowdown * (1.0 - self.noisy_neighbour)
        if self.cold:
            pace *= self.warm_up_share(now)
        if kind.thrash:
            excess = len(self.running) + len(self.waiting) - kind.cores
            if excess > 0:
                pace *= 1.0 - kind.thrash * min(1.0, excess / (kind.thrash_at * kind.cores))
        if kind.full_tax and kind.connections:
            pace *= 1.0 - kind.full_tax * min(1.0, self.open_connections / kind.connections)
        self.requested_pace = pace
        self.pace = pace * self.rack.pace_share

    def next_completion(self) -> float:
        """When the first of the running ends if nothing changes."""
        if not self.running or self.pace <= 0.0:
            return NEVER
        return self.settled_at + max(0.0, self.running[0][0] - self.clock) / self.pace

    def admit(self, now: float, job: Job) -> Admission:
        """Start it, queue it, or turn it away.  `settle` comes before."""
        if job.dedup_window_ms:
            first = self.rack.first_job(job.client_request, now)
            if first is not None:
                if not first.completed:  # it waits or runs: the repeat is answered with it
                    first.duplicates.append(job.owner)
                return Admission.DUPLICATE
        slots = self.kind.cores * self.kind.slots
        if self.draining or len(self.running) + len(self.waiting) >= slots + self.kind.queue:
            return Admission.QUEUE_FULL
        job.arrived_at = now
        if job.dedup_window_ms and not job.fails:
            self.rack.remember(job, now)
        if len(self.running) < slots:
            self._start(now, job)
        else:
            self.waiting.append(job)
        return Admission.ACCEPTED

    def overloaded_by(self, now: float, work: float) -> bool:
        """Count work that reached it, also what it rejects; True: more than it withstands while cold."""
        if self.overload is None or not self.cold:
            return False
        return self.overload.add(now, work, self.nominal_capacity * self.warm_up_share(now))

    def _start(self, now: float, job: Job) -> None:
        work = 0.0 if job.fails else job.work
        kind = self.kind
        if kind.warm_gain and not job.fails:
            last_used = self.recent_keys.pop(job.key, -NEVER)
            if now - last_used <= kind.warm_ms:
                work *= 1.0 - kind.warm_gain
            self.recent_keys[job.key] = now
            if len(self.recent_keys) > kind.warm_keys:
                self.recent_keys.popitem(last=False)
        job.started_at = now
        self.started += 1
        heappush(self.running, (self.clock + work, self.started, job))

    def finish(self, now: float) -> list[Job]:
        """Those of the running that end now; the waiting take their places.  `settle` comes before."""
        ended = []
        while self.running and self.running[0][0] <= self.clock + MIN_WORK_MS:
            job = heappop(self.running)[2]
            job.started_at = NEVER
            self.completed += 1
            ended.append(job)
            if self.waiting:
                self._start(now, self.waiting.popleft())
        return ended

    def stop_process(self) -> list[Job]:
        """The process ends; returns the jobs that are lost undone.  `settle` comes before."""
        lost = [job for _, _, job in sorted(self.running, key=lambda entry: entry[1])] + list(self.waiting)
        for job in lost:
            self.rack.forget(job.client_request)
        self.running.clear()
        self.waiting.clear()
        self.recent_keys.clear()
        self.open_connections = 0
        self.down = True
        self.requested_pace = self.pace = 0.0
        self.next_end_at = NEVER
        self.incarnation += 1
        return lost

    def start_process(self, now: float, cold: bool, overload: OverloadWindow | None) -> None:
        """A new process on the same machine.  `settle` comes before."""
        self.started_at = self.settled_at = now
        self.cold = cold and self.kind.warm_up_floor < 1.0
        self.overload = overload if self.cold else None
        self.clock = self.work_done_ms = 0.0
        self.down = self.collapsed = self.draining = False
        self.paused_until = 0.0
        self.incarnation += 1
