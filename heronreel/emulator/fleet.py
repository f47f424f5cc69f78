"""The nodes of a rehearsal: builds them from the script and advances their state by events."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from heronreel.emulator.events import EventQueue
from heronreel.emulator.model import NodeKind, Rehearsal
from heronreel.emulator.node import NEVER, Admission, Job, Node, OverloadWindow, Rack
from heronreel.emulator.random_streams import RandomStream, RandomStreams

WARM_UP_TICK_MS = 200.0  # interval of updating the pace of a warming node
MIN_SHARE_CHANGE = 0.005  # smaller changes of a rack's pace share are not applied to its nodes
MIN_SPEED_FACTOR = 0.2  # minimum speed of a machine over the speed of its kind
IDENT_LIMIT = 2**40


class FleetListener(Protocol):
    """Receives notifications about jobs and warm-up of the nodes."""

    def job_ended(self, node: Node, job: Job) -> None:
        """Handle a job that a node has completed."""

    def job_lost(self, node: Node, job: Job) -> None:
        """Handle a job that was lost with its node's process."""

    def node_warmed_up(self, node: Node) -> None:
        """Handle a node that has reached its full pace."""


def counts_by_share(shares: list[float], count: int) -> list[int]:
    """Return whole numbers in proportion to `shares` that sum to `count` (largest remainder method)."""
    total = sum(shares) or 1.0
    exact = [share / total * count for share in shares]
    counts = [int(number) for number in exact]
    by_remainder = sorted(range(len(shares)), key=lambda index: (counts[index] - exact[index], index))
    for index in by_remainder[: count - sum(counts)]:
        counts[index] += 1
    return counts


class Fleet:
    """All nodes of a rehearsal.  Times are ms."""

    def __init__(
        self, rehearsal: Rehearsal, streams: RandomStreams, events: EventQueue, listener: FleetListener
    ) -> None:
        self.rehearsal, self.events = rehearsal, events
        self.on_job_ended: Callable[[Node, Job], None] = listener.job_ended
        self.listener = listener
        self.build_stream: RandomStream = streams.stream("fleet")
        self.pause_stream: RandomStream = streams.stream("pauses")
        self.nodes: list[Node] = []  # including nodes whose process has ended
        self.racks: list[Rack] = []
        self._build()

    def _build(self) -> None:
        fleet = self.rehearsal.fleet
        kinds: list[NodeKind] = []
        counts = counts_by_share([kind.share for kind in fleet.kinds], fleet.nodes)
        for kind, count in zip(fleet.kinds, counts, strict=True):
            kinds += [kind] * count
        kinds = self.build_stream.shuffled(kinds)
        racks = -(-fleet.nodes // fleet.rack_size)
        self.racks = [Rack(f"r{number}") for number in range(racks)]
        for rack in self.build_stream.sample(self.racks, round(fleet.limited_racks * racks)):
            rack.limit = fleet.rack_limit
        for position, kind in enumerate(kinds):
            number = position % racks
            self.add(kind, fleet.zones[number % len(fleet.zones)], self.racks[number])

    def add(self, kind: NodeKind, zone: str, rack: Rack, started_at: float = 0.0, cold: bool = False) -> Node:
        """Add a machine with a new ident and a running process."""
        factor = max(MIN_SPEED_FACTOR, 1.0 + kind.speed_cv * self.build_stream.normal())
        ident = self.build_stream.seed() % IDENT_LIMIT
        name = f"n{len(self.nodes) + 1}"
        node = Node(ident, name, zone, rack, kind, kind.speed * factor, started_at, cold)
        if node.cold:
            node.overload = self._overload_window()
            self._schedule_warm_up(node)
        node.refresh(self.events.now)
        self.nodes.append(node)
        self._schedule_pause(node)
        return node

    def _overload_window(self) -> OverloadWindow:
        rules = self.rehearsal.rules
        return OverloadWindow(rules.collapse_window_ms, rules.overload_factor, rules.collapse_slack_ms)

    def in_service(self) -> list[Node]:
        """Return the nodes that are up and not draining."""
        return [node for node in self.nodes if not node.down and not node.draining]

    def admit(self, node: Node, job: Job) -> Admission:
        """Start, queue or reject a job at a node whose process is up and not paused."""
        now = self.events.now
        node.settle(now)
        admission = node.admit(now, job)
        if admission is Admission.ACCEPTED:
            self._pace_changed(node)
        return admission

    def update(self, node: Node, change: Callable[[], None] | None = None) -> None:
        """Apply a change that affects the pace of a node from now on."""
        node.settle(self.events.now)
        if change is not None:
            change()
        self._pace_changed(node)

    def _pace_changed(self, node: Node) -> None:
        now = self.events.now
        node.refresh(now)
        rack = node.rack
        if rack.limit:
            share = rack.share()
            if abs(share - rack.pace_share) > MIN_SHARE_CHANGE:
                rack.pace_share = share
                for other in rack.nodes:
                    if other is not node and not other.down:
                        other.settle(now)
                        other.pace = other.requested_pace * share
                        self._schedule_end(other)
                node.pace = node.requested_pace * share
        self._schedule_end(node)

    def _schedule_end(self, node: Node) -> None:
        """Schedule one event for the next completion.

        An event that fires too early, because the pace has dropped, finds no job done and schedules the next.
        """
        at = node.next_completion()
        if at < node.next_end_at:
            node.next_end_at = at
            self.events.schedule(at, self._end, node, at)

    def _end(self, node: Node, due: float) -> None:
        if node.next_end_at != due:
            return  # an earlier event was scheduled since, or the process has ended
        node.next_end_at = NEVER
        now = self.events.now
        node.settle(now)
        for job in node.finish(now):
            self.on_job_ended(node, job)
        self._pace_changed(node)

    # Pauses, warm-up, and the start and end of processes.

    def pause(self, node: Node, duration: float) -> None:
        """Stop all progress of a node, including accepts, for `duration`; then it continues unchanged."""
        now = self.events.now
        if node.down:
            return
        node.settle(now)
        node.paused_until = max(node.paused_until, now + duration)
        self._pace_changed(node)
        node.next_end_at = NEVER  # voids the scheduled event: no job ends before the pause
        self.events.schedule(node.paused_until, self.update, node)

    def _schedule_pause(self, node: Node) -> None:
        """Schedule the next of the random pauses of the node's kind."""
        kind = node.kind
        if not (kind.pause_every_ms and kind.pause_ms):
            return
        wait = self.pause_stream.exponential(kind.pause_every_ms)
        self.events.schedule(self.events.now + wait, self._pause_itself, node, node.incarnation)

    def _pause_itself(self, node: Node, incarnation: int) -> None:
        duration = self.pause_stream.exponential(node.kind.pause_ms)
        if node.down or node.incarnation != incarnation:
            return
        self.pause(node, duration)
        self._schedule_pause(node)

    def _schedule_warm_up(self, node: Node) -> None:
        self.events.schedule(self.events.now + WARM_UP_TICK_MS, self._warm_up, node, node.incarnation)

    def _warm_up(self, node: Node, incarnation: int) -> None:
        if node.incarnation != incarnation or node.down:
            return
        self.update(node)
        if node.cold:
            self._schedule_warm_up(node)
        else:
            self.listener.node_warmed_up(node)

    def kill(self, node: Node) -> None:
        """End the process of a node; its jobs are lost."""
        if node.down:
            return
        node.settle(self.events.now)
        for job in node.stop_process():
            self.listener.job_lost(node, job)
        if node.rack.limit:
            node.rack.pace_share = node.rack.share()

    def restart(self, node: Node, cold: bool) -> None:
        """Start a new process at the same address."""
        if not node.down:
            self.kill(node)
        node.start_process(self.events.now, cold, self._overload_window())
        if node.cold:
            self._schedule_warm_up(node)
        self._pace_changed(node)
        self._schedule_pause(node)

    def collapses(self, node: Node, work: float) -> bool:
        """Count work that reached a warming node; if it is overloaded, end its process and return True."""
        if not node.overloaded_by(self.events.now, work):
            return False
        self.kill(node)
        node.collapsed = True
        return True
