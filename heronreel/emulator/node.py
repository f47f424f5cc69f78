"""Models a node: cores that process requests, a waiting queue, and its faults.

The module does no I/O and reads no system clock.  All running requests of a node progress at the same pace,
so a node needs only one work clock (`clock`, in ms of work done by each of its cores).  A request that starts
at clock c with work w ends when the clock reaches c + w, however the pace changes in between.  A caller that
changes the state of a node calls `settle` before the change, `refresh` after it, and then reads
`next_completion`.

A zero in the table of a node kind disables the feature: contention, the connection table, warm keys, warm-up,
collapse, pauses, errors, or the hidden limit of the rack.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from enum import Enum
from heapq import heappop, heappush
from typing import Any

from heronreel.emulator.model import NodeKind

NEVER = float("inf")
# Less remaining work counts as none.  Otherwise a completion could be scheduled for the same time forever.
MIN_WORK_MS = 1e-6


class Admission(Enum):
    """The decision of a node about a request that arrives."""

    QUEUE_FULL = "full"
    ACCEPTED = "taken"
    DUPLICATE = "repeat"  # dropped, because its rack has already received the request


@dataclass(slots=True)
class Job:
    """One attempt at a node.  Attempts with the same `client_request` are duplicates of each other."""

    client_request: int
    key: int
    work: float  # ms of a core at speed 1, for this node and without warm keys
    owner: Any  # the attempt that it belongs to; not interpreted here
    dedup_window_ms: float = 0.0  # how long its rack drops duplicates
    fails: bool = False  # ends with an error and takes no work
    started_at: float = -1.0
    arrived_at: float = 0.0
    duplicates: list[Any] = field(default_factory=list)  # owners of duplicates dropped before completion

    @property
    def completed(self) -> bool:
        """Whether the job has ended at its node."""
        return self.started_at == NEVER


class Rack:
    """Nodes that drop duplicates of one another's requests and may share a hidden capacity limit."""

    __slots__ = ("limit", "name", "nodes", "pace_share", "recent")

    def __init__(self, name: str, limit: float = 0.0) -> None:
        self.name = name
        self.limit = limit  # share of their total pace that the nodes get together; 0 is no limit
        self.nodes: list[Node] = []
        self.pace_share = 1.0  # share of its pace that each node gets at present
        # by client request: the expiry time and the first job
        self.recent: OrderedDict[int, tuple[float, Job]] = OrderedDict()

    def first_job(self, client_request: int, now: float) -> Job | None:
        """Return the job that a request with this number would duplicate, or None."""
        while self.recent:
            oldest = next(iter(self.recent))
            if self.recent[oldest][0] > now:
                break
            del self.recent[oldest]
        entry = self.recent.get(client_request)
        return entry[1] if entry and entry[0] > now else None

    def remember(self, job: Job, now: float) -> None:
        """Drop duplicates of this job for the duration of its window."""
        self.recent[job.client_request] = (now + job.dedup_window_ms, job)
        self.recent.move_to_end(job.client_request)

    def forget(self, client_request: int) -> None:
        """Stop dropping duplicates of a request whose job was lost before completion."""
        self.recent.pop(client_request, None)

    def share(self) -> float:
        """Return the share of its pace that each node gets under the limit, given all running requests."""
        if not self.limit:
            return 1.0
        requested = sum(node.requested_pace * len(node.running) for node in self.nodes)
        if not requested:
            return 1.0
        return min(1.0, self.limit * sum(node.nominal_capacity for node in self.nodes) / requested)


@dataclass(slots=True)
class OverloadWindow:
    """Recent work that reached a warming node; a node collapses when it exceeds a limit."""

    window_ms: float
    factor: float
    slack_ms: float  # work above the limit that is tolerated as random variation
    arrivals: deque[tuple[float, float]] = field(default_factory=deque)
    total: float = 0.0

    def add(self, now: float, work: float, capacity: float) -> bool:
        """Add work and return whether the total exceeds the limit.

        `capacity` is the present capacity of the node in cores at speed 1.
        """
        self.arrivals.append((now, work))
        self.total += work
        while self.arrivals[0][0] <= now - self.window_ms:
            self.total -= self.arrivals.popleft()[1]
        return self.total > self.factor * capacity * self.window_ms + self.slack_ms


class Node:
    """A machine and the server process on it."""

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
        self.nominal_capacity = kind.cores * speed  # pace of all cores without faults
        self.started_at = started_at  # start of this process, as in the endpoint list; 0 is long ago
        self.cold = cold and kind.warm_up_floor < 1.0
        self.clock, self.settled_at = 0.0, started_at
        self.running: list[tuple[float, int, Job]] = []  # heap ordered by the clock at the end
        self.waiting: deque[Job] = deque()
        self.started = 0  # number of jobs started; breaks ties in `running`
        self.requested_pace = self.pace = speed  # of a core, before and after the limit of the rack
        self.next_end_at = NEVER  # time of the scheduled event for the next completion
        self.incarnation = 0  # number of the process; events scheduled for an earlier one are ignored
        self.open_connections = 0
        self.recent_keys: OrderedDict[int, float] = OrderedDict()  # time of last use by key
        self.slowdown = 1.0
        self.noisy_neighbour = 0.0  # share of the machine that another program uses
        self.error_rate = kind.error_rate
        self.response_loss = self.reset_rate = 0.0  # shares of responses lost and requests reset
        self.silent = 0  # active faults that suppress all responses; they outlast the process
        self.down = self.draining = self.collapsed = False
        self.paused_until = 0.0
        self.overload: OverloadWindow | None = None
        self.work_done_ms = 0.0
        self.busy_ms = self.load_ms = 0.0  # integrals of running and of all jobs over time
        self.completed = 0
        rack.nodes.append(self)

    def slots(self) -> int:
        """Return how many requests the node runs concurrently."""
        return self.kind.cores * self.kind.slots

    def queue_full(self) -> bool:
        """Return whether the queue has no room for another request."""
        return len(self.running) + len(self.waiting) >= self.slots() + self.kind.queue

    def warm_up_share(self, now: float) -> float:
        """Return the share of its full pace that the node has reached.

        Warm-up progresses by elapsed time or by work done, whichever is further.
        """
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
        """Advance the work clock and the totals to `now`, at the pace in force since the last call."""
        elapsed = now - self.settled_at
        if elapsed > 0.0:
            running = len(self.running)
            self.clock += elapsed * self.pace
            self.work_done_ms += elapsed * self.pace * running
            self.busy_ms += elapsed * running
            self.load_ms += elapsed * (running + len(self.waiting))
            self.settled_at = now

    def refresh(self, now: float) -> None:
        """Compute the pace from `now` on.  Call `settle` first."""
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
        """Return when the first running job ends if the pace stays the same."""
        if not self.running or self.pace <= 0.0:
            return NEVER
        return self.settled_at + max(0.0, self.running[0][0] - self.clock) / self.pace

    def admit(self, now: float, job: Job) -> Admission:
        """Start, queue or reject a job.  Call `settle` first."""
        if job.dedup_window_ms:
            first = self.rack.first_job(job.client_request, now)
            if first is not None:
                if not first.completed:  # the duplicate gets the response of the first job
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
        """Count work that reached the node, rejected or not; return whether a warming node is overloaded."""
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
        """Remove and return the jobs that end now, and start waiting jobs in their place.

        Call `settle` first.
        """
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
        """End the process and return the jobs that are lost before completion.  Call `settle` first."""
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
        """Start a new process on the same machine.  Call `settle` first."""
        self.started_at = self.settled_at = now
        self.cold = cold and self.kind.warm_up_floor < 1.0
        self.overload = overload if self.cold else None
        self.clock = self.work_done_ms = 0.0
        self.down = self.collapsed = self.draining = False
        self.paused_until = 0.0
        self.incarnation += 1
