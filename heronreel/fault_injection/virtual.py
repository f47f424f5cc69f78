"""A group and its lease holders in virtual time, around the cores that processes run, from one seed.

Messages are delayed by random times, so they overtake one another; they are lost and duplicated; links are
partitioned in one or both directions; members crash and restart with what had reached their disk; any process
is paused; clocks drift apart by up to the bound.  After the last fault the group has to respond again.

Invariants are checked at every step: never do two holders act, unless one is paused, and then the fenced
resource accepts nothing of the earlier one after it accepted something of the later; and the calls of clients
are linearizable.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import NamedTuple

from heronreel.coordination.actions import EraseDisk, Persist, Send
from heronreel.coordination.consensus import ConsensusMember
from heronreel.coordination.errors import RequestError, StatusCode
from heronreel.coordination.keyspace import apply_writes
from heronreel.coordination.kv_service import KeyValueService, Outputs
from heronreel.coordination.member_state import ALL_GUARDS, DurableState, Guards, Timing
from heronreel.coordination.messages import AnyMessage
from heronreel.coordination.model import (
    Compare,
    CompareOperator,
    CompareTarget,
    Put,
    Range,
    RangeResponse,
    Request,
    ResponseOrError,
    Txn,
    TxnResponse,
)
from heronreel.coordination.request_batch import RequestCompleted
from heronreel.fault_injection.histories import Operation
from heronreel.fault_injection.linearizability import CAS, PUT, READ, find_violation
from heronreel.leases.claim import Actions, ClaimAcquired
from heronreel.leases.fencing import FencingGuard
from heronreel.leases.lease import LeaseClient, LeaseTerms
from heronreel.leases.requests import SendRequest

TASK = b"held/task"
KEYS = (b"x", b"y")


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
    restarts: int = 0  # what was under way before a restart is dropped


@dataclass
class Holder:
    """A process that claims the lease."""

    number: int
    rate: float
    session: LeaseClient
    paused_until: float = 0.0
    entered: int = 0  # the fencing token it has entered the resource with


class Grant(NamedTuple):
    """A lease that was granted to a holder."""

    token: int
    holder: int


class AcceptedAction(NamedTuple):
    """An action that the resource has accepted."""

    at: float  # seconds
    holder: int
    turn: int  # the place of the holder's grant among all


class Fault(Enum):
    """What may go wrong."""

    CRASH = auto()
    PAUSE_MEMBER = auto()
    PARTITION = auto()
    ONE_WAY_PARTITION = auto()
    LOSS = auto()
    PAUSE_HOLDER = auto()


# drawn from at random: a holder is paused twice as often as anything else happens
_FAULTS = (
    Fault.CRASH,
    Fault.PAUSE_MEMBER,
    Fault.PARTITION,
    Fault.ONE_WAY_PARTITION,
    Fault.LOSS,
    Fault.PAUSE_HOLDER,
    Fault.PAUSE_HOLDER,
)
LOSS_RATES = (0.02, 0.2, 0.4)  # shares of messages


class VirtualWorld:
    """One run, which its seed determines: `run` plays it, and `problems` has what went wrong."""

    def __init__(
        self,
        seed: int,
        *,
        members: int = 3,
        holders: int = 4,
        seconds: float = 30.0,
        faults: int = 8,
        drift: float = 0.05,
        guards: Guards = ALL_GUARDS,
        fenced: bool = True,
        margin: bool = True,
    ) -> None:
        """Prepares a run.

        Args:
            seed: determines everything random.
            members: of the group, by number.
            holders: processes that claim the same lease.
            seconds: the virtual time that the run takes; no fault comes in its last third.
            faults: how many are injected.
            drift: how much clocks run faster or slower than true time, at most, as a share.
            guards: the safeguards of the consensus protocol in force.
            fenced: whether the resource rejects earlier holders.
            margin: whether holders stop before their lease ends.
        """
        self.rng = random.Random(f"virtual {seed}")
        self.now = 0.0
        self.end = seconds
        self.drift = drift
        self.guards = guards
        self.fenced = fenced
        self.problems: list[str] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self.partitioned: set[tuple[str, str]] = set()
        self.loss = 0.02
        self.names = [f"m{number}" for number in range(members)]
        self.nodes: dict[str, Node] = {}
        for name in self.names:
            disk = DurableState(f"{name}-1")
            self.nodes[name] = Node(name, disk, self._rate(), self._service(name, disk, 0.0))
        terms = LeaseTerms(ttl_s=3, safety_margin_s=0.5, response_timeout_s=0.4, stops_before_expiry=margin)
        self.holders: list[Holder] = []
        for number in range(holders):
            rate = self._rate()
            draw = self._draw()
            session = LeaseClient(terms, 0.0, draw, self.rng.random)
            session.claim(TASK, b"%d" % number)
            self.holders.append(Holder(number, rate, session))
        self.fencing = FencingGuard()
        self.accepted: list[AcceptedAction] = []
        self.grants: list[Grant] = []  # in the order made
        self.calls: list[Operation] = []
        self._responders: dict[int, Callable[[ResponseOrError], None]] = {}
        self._last_ticket = 0
        self.healed = False
        self.responses_after_heal = 0
        for at in sorted(self.rng.uniform(1.0, seconds * 0.6) for _ in range(faults)):
            self.schedule(at, self._fault)
        self.schedule(seconds * 0.7, self._heal)

    def _rate(self) -> float:
        return 1.0 + self.rng.uniform(-self.drift, self.drift)

    def _draw(self) -> Callable[[], int]:
        return lambda: self.rng.randrange(1, 1 << 62)

    def _service(self, name: str, disk: DurableState, now: float) -> KeyValueService:
        timing = Timing(
            heartbeat_interval=0.1, retransmit_interval=0.1, election_timeout=0.5, step_down_timeout=1.0
        )
        member = ConsensusMember(
            name, self.names, disk, now, timing=timing, jitter=self.rng.random, guards=self.guards
        )
        return KeyValueService(member, drift=self.drift)

    # -- time

    def schedule(self, time: float, call: Callable[[], None]) -> None:
        """Make a call at a virtual time, in seconds."""
        self._event_count += 1
        heapq.heappush(self._events, (time, self._event_count, call))

    def run(self) -> list[str]:
        """Play all of it, and return what went wrong."""
        for node in self.nodes.values():
            self._tick_node(node, node.restarts)
        for holder in self.holders:
            self._tick_holder(holder)
        for client in range(2):
            self.schedule(0.5, lambda client=client: self._client(client, 0))  # type: ignore[misc]
        while self._events and not self.problems:
            self.now, _, call = heapq.heappop(self._events)
            if self.now > self.end:
                break
            call()
            self._check_invariants()
        if not self.problems:
            if not self.responses_after_heal:
                self.problems.append("nothing was answered after the last fault")
            if why := find_violation(self.calls):
                self.problems.append(why)
        return self.problems

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
                reply = self._responders.pop(output.ticket, None)
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
                delay += self.rng.uniform(0.0, 3.0)  # some come very late
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
        """Restart a member with this disk."""
        node.restarts += 1
        node.up = True
        node.paused_until = 0.0
        node.waiting.clear()
        node.disk = disk
        node.service = self._service(node.name, disk, self._node_time(node))
        self._tick_node(node, node.restarts)

    # -- requests of clients and holders

    def _send_request(
        self, request: Request, seconds: float, on_response: Callable[[ResponseOrError | None], None]
    ) -> None:
        """Send a request to a member that believes it leads.

        `on_response` is called once, with None if there is no response within `seconds`.
        """
        done = False

        def once(response: ResponseOrError | None) -> None:
            nonlocal done
            if not done:
                done = True
                on_response(response)

        def respond(response: ResponseOrError) -> None:
            if self.rng.random() < self.loss:
                return  # the response is lost
            self.schedule(self.now + self.rng.uniform(0.001, 0.03), lambda: once(response))

        def arrive(node: Node) -> None:
            if not node.up:
                return
            if self.now < node.paused_until:
                self.schedule(node.paused_until, lambda: arrive(node))
                return
            self._last_ticket += 1
            ticket = self._last_ticket
            self._responders[ticket] = respond
            now = self._node_time(node)
            self._outputs(node, node.service.submit(now, ticket, request, now + 2.0))

        leaders = [node for node in self.nodes.values() if node.up and node.service.member.is_leader]
        self.schedule(self.now + seconds, lambda: once(None))
        if leaders and self.rng.random() >= self.loss:
            node = self.rng.choice(leaders)  # two may believe that they lead
            self.schedule(self.now + self.rng.uniform(0.001, 0.03), lambda: arrive(node))

    def _client(self, client: int, number: int) -> None:
        """Make one call after the other on a few keys."""
        key = self.rng.choice(KEYS)
        kind = self.rng.choice((READ, PUT, CAS))
        fresh = f"{client}.{number}"
        written_lately = [call.arguments[-1] for call in self.calls[-6:] if call.kind != READ]
        expected = self.rng.choice(written_lately or [None])
        request, given = _client_request(kind, key, fresh, expected)
        index = len(self.calls)
        self.calls.append(Operation(f"c{client}", kind, given, self.now, float("inf"), None))

        def on_response(response: ResponseOrError | None) -> None:
            result: object = None
            if isinstance(response, RangeResponse):
                result = response.records[0][1].value.decode() if response.records else None
            elif isinstance(response, TxnResponse):
                result = response.succeeded
            if response is not None and not isinstance(response, RequestError):
                self.calls[index] = self.calls[index]._replace(end=self.now, result=result)
                self.responses_after_heal += self.healed
            self.schedule(self.now + self.rng.uniform(0.05, 0.4), lambda: self._client(client, number + 1))

        self._send_request(request, 1.0, on_response)

    # -- holders

    def _holder_time(self, holder: Holder) -> float:
        return self.now * holder.rate

    def _tick_holder(self, holder: Holder) -> None:
        if self.now < holder.paused_until:
            self.schedule(holder.paused_until, lambda: self._tick_holder(holder))
            return
        self._holder_actions(holder, holder.session.tick(self._holder_time(holder)))
        self._act(holder)
        due = holder.session.next_wakeup() / holder.rate
        self.schedule(min(max(due, self.now + 0.01), self.now + 0.2), lambda: self._tick_holder(holder))

    def _holder_actions(self, holder: Holder, actions: Actions) -> None:
        for action in actions:
            if isinstance(action, SendRequest):
                self._send_for(holder, action)
            elif isinstance(action, ClaimAcquired):
                holder.entered = 0

    def _send_for(self, holder: Holder, action: SendRequest) -> None:
        def on_response(response: ResponseOrError | None) -> None:
            if self.now < holder.paused_until:
                self.schedule(holder.paused_until, lambda: on_response(response))
                return
            now = self._holder_time(holder)
            known = RequestError(StatusCode.DEADLINE_EXCEEDED, "") if response is None else response
            self._holder_actions(holder, holder.session.on_response(now, action.request_id, known))
            self._holder_actions(holder, holder.session.tick(now))

        self._send_request(action.request, holder.session.terms.response_timeout_s, on_response)

    def _act(self, holder: Holder) -> None:
        """Check for the lease, and act: the action reaches the resource a little later, or after a pause."""
        number = holder.session.claims[0].fencing_token(self._holder_time(holder))
        if not number:
            return
        if holder.entered != number:
            if self.fenced and not self.fencing.admit(TASK, number).admitted:
                return
            holder.entered = number
            grant = Grant(number, holder.number)
            if grant not in self.grants:
                self.grants.append(grant)
        delay = self.rng.uniform(0.0, 0.3)
        if self.rng.random() < 0.02:
            delay += self.rng.uniform(0.0, 6.0)
        self.schedule(self.now + delay, lambda: self._act_on_resource(holder, number))

    def _act_on_resource(self, holder: Holder, number: int) -> None:
        if self.fenced and not self.fencing.admit(TASK, number).admitted:
            return
        turn = self.grants.index(Grant(number, holder.number))
        if self.accepted and turn < self.accepted[-1].turn:
            self.problems.append(f"{self.now:.2f} s: {holder.number} is taken after a later holder")
        self.accepted.append(AcceptedAction(self.now, holder.number, turn))

    # -- faults and the judge

    def _fault(self) -> None:
        """Inject a random fault into a random member or holder, for a random time."""
        node = self.rng.choice(list(self.nodes.values()))
        fault = self.rng.choice(_FAULTS)
        length = self.rng.uniform(0.3, 4.0)
        match fault:
            case Fault.PAUSE_HOLDER:
                self._pause_holder(length)
            case Fault.LOSS:
                self.loss = self.rng.choice(LOSS_RATES)
            case Fault.PARTITION | Fault.ONE_WAY_PARTITION:
                self._partition(node, length, both_ways=fault is Fault.PARTITION)
            case Fault.PAUSE_MEMBER:
                self._pause_member(node, length)
            case Fault.CRASH if node.up:
                self._crash(node, length)

    def _pause_holder(self, length: float) -> None:
        """Pause a holder, one that has the lease if there is any."""
        holding = [holder for holder in self.holders if holder.session.claims[0].granted_token]
        self.rng.choice(holding or self.holders).paused_until = self.now + length

    def _partition(self, node: Node, length: float, *, both_ways: bool) -> None:
        """Cut the links from a member to all others, and those to it as well if `both_ways`."""
        for other in self.names:
            if other == node.name:
                continue
            self.partitioned.add((node.name, other))
            if both_ways:
                self.partitioned.add((other, node.name))
        self.schedule(self.now + length, self.partitioned.clear)

    def _pause_member(self, node: Node, length: float) -> None:
        """Pause a member, unless all are down or paused."""
        if any(other.up and other.paused_until <= self.now for other in self.nodes.values()):
            node.paused_until = self.now + length

    def _crash(self, node: Node, length: float) -> None:
        """Crash a member, which loses what has not reached its disk, and restart it later."""
        node.up = False
        node.restarts += 1
        node.waiting.clear()
        self.schedule(self.now + length, lambda: None if node.up else self._restart(node, node.disk))

    def _heal(self) -> None:
        """End all faults."""
        self.healed = True
        self.partitioned.clear()
        self.loss = 0.0
        for node in self.nodes.values():
            if not node.up:
                self._restart(node, node.disk)

    def _check_invariants(self) -> None:
        acting = [
            holder.number
            for holder in self.holders
            if self.now >= holder.paused_until
            and holder.session.claims[0].fencing_token(self._holder_time(holder))
        ]
        if len(acting) > 1:
            self.problems.append(f"{self.now:.2f} s: {acting} act at once")


def _client_request(
    kind: str, key: bytes, fresh: str, expected: str | None
) -> tuple[Request, list[str | None]]:
    """A client's request, and its arguments as the history has them."""
    given: list[str | None] = [key.decode()]
    if kind == READ:
        return Range(key), given
    if kind == PUT:
        return Put(key, fresh.encode()), [*given, fresh]
    same = Compare(key, CompareTarget.CREATE, CompareOperator.EQUAL, 0)
    if expected is not None:
        same = Compare(key, CompareTarget.VALUE, CompareOperator.EQUAL, expected.encode())
    return Txn((same,), (Put(key, fresh.encode()),)), [*given, expected, fresh]
