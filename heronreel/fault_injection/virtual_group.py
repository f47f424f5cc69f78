"""A simulation of a group of consensus members in virtual time, around the core that processes run.

Messages have random delays, so they overtake one another; they may be lost or duplicated.  Links are
partitioned in one or both directions.  Members crash and restart with the durable content of their disks, or
are paused.  Clocks drift apart by up to the configured bound.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from heronreel.coordination.actions import EraseDisk, Persist, Send
from heronreel.coordination.consensus import ConsensusMember
from heronreel.coordination.keyspace import apply_writes
from heronreel.coordination.kv_service import KeyValueService, Outputs
from heronreel.coordination.member_state import DurableState, Guards, Timing
from heronreel.coordination.messages import AnyMessage
from heronreel.coordination.model import Request, ResponseOrError
from heronreel.coordination.request_batch import RequestCompleted


@dataclass
class Node:
    """One member: its core, its disk, and its faults."""

    name: str
    disk: DurableState
    rate: float
    service: KeyValueService
    waiting: list[Persist] = field(default_factory=list)
    up: bool = True
    paused_until: float = 0.0
    restarts: int = 0  # scheduled calls from before a restart are dropped


class VirtualGroup:
    """Members, their network and their faults; one seed determines all random choices."""

    def __init__(self, seed: int, *, members: int, drift: float, guards: Guards) -> None:
        """Create a group whose members have empty disks.

        Args:
            seed: Determines all random choices.
            members: The number of members.
            drift: The maximum deviation of clock rates from true time, as a share.
            guards: The enabled safeguards of the consensus protocol.
        """
        self.rng = random.Random(f"virtual {seed}")
        self.now = 0.0
        self.drift = drift
        self.guards = guards
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self.partitioned: set[tuple[str, str]] = set()
        self.loss = 0.02
        self.names = [f"m{number}" for number in range(members)]
        self.nodes: dict[str, Node] = {}
        for name in self.names:
            disk = DurableState(f"{name}-1")
            self.nodes[name] = Node(name, disk, self._rate(), self._service(name, disk, 0.0))
        self._responders: dict[int, Callable[[ResponseOrError], None]] = {}
        self._last_request_id = 0

    def _rate(self) -> float:
        return 1.0 + self.rng.uniform(-self.drift, self.drift)

    def _draw(self) -> Callable[[], int]:
        return lambda: self.rng.randrange(1, 1 << 62)

    def _service(self, name: str, disk: DurableState, now: float) -> KeyValueService:
        timing = Timing(
            heartbeat_interval_s=0.1,
            retransmit_interval_s=0.1,
            election_timeout_s=0.5,
            step_down_timeout_s=1.0,
        )
        member = ConsensusMember(
            name, self.names, disk, now, timing=timing, jitter=self.rng.random, guards=self.guards
        )
        return KeyValueService(member, max_clock_drift=self.drift)

    # -- time

    def schedule(self, time: float, call: Callable[[], None]) -> None:
        """Schedule a call at a virtual time in seconds."""
        self._event_count += 1
        heapq.heappush(self._events, (time, self._event_count, call))

    def has_events(self) -> bool:
        """Whether anything is scheduled."""
        return bool(self._events)

    def next_event(self) -> Callable[[], None]:
        """Advance the time to the next scheduled call, and return the call."""
        self.now, _, call = heapq.heappop(self._events)
        return call

    # -- members

    def _node_time(self, node: Node) -> float:
        return self.now * node.rate

    def _tick_node(self, node: Node, restarts: int) -> None:
        if node.restarts != restarts or not node.up:
            return
        if self.now < node.paused_until:
            self.schedule(node.paused_until, lambda: self._tick_node(node, restarts))
            return
        self._outputs(node, node.service.tick(self._node_time(node)))
        due = node.service.next_wakeup() / node.rate
        self.schedule(max(due, self.now + 0.005), lambda: self._tick_node(node, restarts))

    def _outputs(self, node: Node, outputs: Outputs) -> None:
        for output in outputs:
            if isinstance(output, Send):
                self._send(node.name, output.to, output.message)
            elif isinstance(output, Persist):
                node.waiting.append(output)
                if len(node.waiting) == 1:
                    self._sync_later(node)
            elif isinstance(output, RequestCompleted):
                reply = self._responders.pop(output.request_id, None)
                if reply is not None:
                    reply(output.response)
            elif isinstance(output, EraseDisk):
                self._restart(node, DurableState(f"{node.name}-{self._event_count}"))
                return

    def _sync_later(self, node: Node) -> None:
        restarts = node.restarts
        self.schedule(self.now + self.rng.uniform(0.001, 0.02), lambda: self._synced(node, restarts))

    def _synced(self, node: Node, restarts: int) -> None:
        if node.restarts != restarts or not node.waiting:
            return
        if self.now < node.paused_until:
            self.schedule(node.paused_until, lambda: self._synced(node, restarts))
            return
        persist = node.waiting.pop(0)
        content = apply_writes(
            type(node.disk.content)() if persist.replaces_all else node.disk.content, persist.writes
        )
        node.disk = DurableState(
            node.disk.incarnation, persist.group_id, persist.promised, persist.version, content
        )
        for send in persist.sends:
            self._send(node.name, send.to, send.message)
        if node.waiting:
            self._sync_later(node)
        now = self._node_time(node)
        self._outputs(
            node, node.service.handle_actions(now, node.service.member.persisted(now, persist.number))
        )

    def _send(self, sender: str, to: str, message: AnyMessage) -> None:
        copies = 0 if self.rng.random() < self.loss else 2 if self.rng.random() < self.loss else 1
        for _ in range(copies):
            delay = self.rng.uniform(0.001, 0.02)
            if self.rng.random() < 0.02:
                delay += self.rng.uniform(0.0, 3.0)  # some messages are very late
            self.schedule(self.now + delay, lambda: self._receive(sender, to, message))

    def _receive(self, sender: str, to: str, message: AnyMessage) -> None:
        node = self.nodes[to]
        if not node.up or (sender, to) in self.partitioned:
            return
        if self.now < node.paused_until:
            self.schedule(node.paused_until, lambda: self._receive(sender, to, message))
            return
        now = self._node_time(node)
        self._outputs(node, node.service.handle_actions(now, node.service.member.receive(now, message)))

    def _restart(self, node: Node, disk: DurableState) -> None:
        """Restart a member with the given disk."""
        node.restarts += 1
        node.up = True
        node.paused_until = 0.0
        node.waiting.clear()
        node.disk = disk
        node.service = self._service(node.name, disk, self._node_time(node))
        self._tick_node(node, node.restarts)

    # -- requests

    def _send_request(
        self, request: Request, seconds: float, on_response: Callable[[ResponseOrError | None], None]
    ) -> None:
        """Send a request to a member that considers itself the leader.

        `on_response` is called once, with None if there is no response within `seconds`.
        """
        done = False

        def respond_once(response: ResponseOrError | None) -> None:
            nonlocal done
            if not done:
                done = True
                on_response(response)

        def respond(response: ResponseOrError) -> None:
            if self.rng.random() < self.loss:
                return  # the response is lost
            self.schedule(self.now + self.rng.uniform(0.001, 0.03), lambda: respond_once(response))

        def arrive(node: Node) -> None:
            if not node.up:
                return
            if self.now < node.paused_until:
                self.schedule(node.paused_until, lambda: arrive(node))
                return
            self._last_request_id += 1
            request_id = self._last_request_id
            self._responders[request_id] = respond
            now = self._node_time(node)
            self._outputs(node, node.service.submit(now, request_id, request, now + 2.0))

        leaders = [node for node in self.nodes.values() if node.up and node.service.member.is_leader]
        self.schedule(self.now + seconds, lambda: respond_once(None))
        if leaders and self.rng.random() >= self.loss:
            node = self.rng.choice(leaders)  # two members may consider themselves the leader
            self.schedule(self.now + self.rng.uniform(0.001, 0.03), lambda: arrive(node))

    # -- faults

    def _partition(self, node: Node, length: float, *, both_ways: bool) -> None:
        """Partition the links from a member to all others and, if `both_ways`, the links to it."""
        for other in self.names:
            if other == node.name:
                continue
            self.partitioned.add((node.name, other))
            if both_ways:
                self.partitioned.add((other, node.name))
        self.schedule(self.now + length, self.partitioned.clear)

    def _pause_member(self, node: Node, length: float) -> None:
        """Pause a member, unless all members are down or paused."""
        if any(other.up and other.paused_until <= self.now for other in self.nodes.values()):
            node.paused_until = self.now + length

    def _crash(self, node: Node, length: float) -> None:
        """Crash a member, which loses its writes that are not durable, and restart it later."""
        node.up = False
        node.restarts += 1
        node.waiting.clear()
        self.schedule(self.now + length, lambda: None if node.up else self._restart(node, node.disk))

    def _heal_members(self) -> None:
        """End all faults of the network and of members."""
        self.partitioned.clear()
        self.loss = 0.0
        for node in self.nodes.values():
            if not node.up:
                self._restart(node, node.disk)
