"""A whole group and its holders in virtual time, around the very cores that processes run, from one seed.

Messages are delayed by drawn times, so they overtake one another; they are lost and doubled; ways are cut,
one way or both; members crash and are back with what had reached their disk; any process sleeps; clocks run
apart by up to the bound.  After the last fault the group has to answer again.

The judge looks at every step: never do two holders act, unless one sleeps, and then the place takes nothing
of the earlier one after it took something of the later; and the calls of clients have an order that
explains them.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from heronreel.coordination.consensus import (
    ALL_GUARDS,
    AnyMessage,
    ConsensusMember,
    DurableState,
    EraseDisk,
    Guards,
    Persist,
    Send,
    Timing,
)
from heronreel.coordination.keyspace import apply_writes
from heronreel.coordination.kv_service import KeyValueService, Outputs, RequestCompleted
from heronreel.coordination.model import (
    Compare,
    CompareOperator,
    CompareTarget,
    Put,
    Range,
    RangeResponse,
    Request,
    RequestError,
    ResponseOrError,
    StatusCode,
    Txn,
    TxnResponse,
)
from heronreel.fault_injection.histories import Call
from heronreel.fault_injection.linear import CAS, PUT, READ, wrong
from heronreel.leases.claim import Actions, ClaimAcquired
from heronreel.leases.fencing import FencingGuard
from heronreel.leases.lease import LeaseClient, LeaseTerms
from heronreel.leases.requests import SendRequest

TASK = b"held/task"
KEYS = (b"x", b"y")


@dataclass
class Node:
    """One member: its core, its disk, and what it is suffering."""

    name: str
    disk: DurableState
    rate: float
    service: KeyValueService
    waits: list[Persist] = field(default_factory=list)
    up: bool = True
    asleep: float = 0.0  # until then
    life: int = 0  # counts crashes: what was under way before one is gone


@dataclass
class Player:
    """One holder."""

    number: int
    rate: float
    session: LeaseClient
    asleep: float = 0.0
    entered: int = 0
    told: int = 0  # the number of the last grant


class VirtualWorld:
    """`run` plays it; `problems` is what was wrong."""

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
        self.rng = random.Random(f"virtual {seed}")
        self.now = 0.0
        self.end = seconds
        self.drift = drift
        self.guards = guards
        self.fenced = fenced
        self.problems: list[str] = []
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0
        self.cut: set[tuple[str, str]] = set()
        self.loss = 0.02
        self.names = [f"m{number}" for number in range(members)]
        self.nodes: dict[str, Node] = {}
        for name in self.names:
            disk = DurableState(f"{name}-1")
            self.nodes[name] = Node(name, disk, self._rate(), self._service(name, disk, 0.0))
        terms = LeaseTerms(ttl_s=3, safety_margin_s=0.5, response_timeout_s=0.4, stops_before_expiry=margin)
        self.players: list[Player] = []
        for number in range(holders):
            rate = self._rate()
            draw = self._draw()
            session = LeaseClient(terms, 0.0, draw, self.rng.random)
            session.claim(TASK, b"%d" % number)
            self.players.append(Player(number, rate, session))
        self.fence = FencingGuard()
        self.taken: list[tuple[float, int, int]] = []  # when, by whom, under which number
        self.order: list[tuple[int, int]] = []  # grants in the order in which they were made: number, holder
        self.calls: list[Call] = []
        self.tickets: dict[int, Callable[[ResponseOrError], None]] = {}
        self.ticket = 0
        self.healed = False
        self.after = 0  # calls answered after the last fault
        for at in sorted(self.rng.uniform(1.0, seconds * 0.6) for _ in range(faults)):
            self.at(at, self._fault)
        self.at(seconds * 0.7, self._heal)

    def _rate(self) -> float:
        return 1.0 + self.rng.uniform(-self.drift, self.drift)

    def _draw(self) -> Callable[[], int]:
        return lambda: self.rng.randrange(1, 1 << 62)

    def _service(self, name: str, disk: DurableState, now: float) -> KeyValueService:
        timing = Timing(beat=0.1, resend=0.1, patience=0.5, contact=1.0)
        member = ConsensusMember(
            name, self.names, disk, now, timing=timing, jitter=self.rng.random, guards=self.guards
        )
        return KeyValueService(member, drift=self.drift)

    # -- time

    def at(self, time: float, call: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.heap, (time, self.count, call))

    def run(self) -> list[str]:
        """Play all of it; what was wrong."""
        for node in self.nodes.values():
            self._tick_node(node, node.life)
        for player in self.players:
            self._tick_player(player)
        for client in range(2):
            self.at(0.5, lambda client=client: self._client(client, 0))  # type: ignore[misc]
        while self.heap and not self.problems:
            self.now, _, call = heapq.heappop(self.heap)
            if self.now > self.end:
                break
            call()
            self._judge()
        if not self.problems:
            if not self.after:
                self.problems.append("nothing was answered after the last fault")
            if why := wrong(self.calls):
                self.problems.append(why)
        return self.problems

    # -- members

    def _node_time(self, node: Node) -> float:
        return self.now * node.rate

    def _tick_node(self, node: Node, life: int) -> None:
        if node.life != life or not node.up:
            return
        if self.now < node.asleep:
            self.at(node.asleep, lambda: self._tick_node(node, life))
            return
        self._outputs(node, node.service.tick(self._node_time(node)))
        due = node.service.wake() / node.rate
        self.at(max(due, self.now + 0.005), lambda: self._tick_node(node, life))

    def _outputs(self, node: Node, outputs: Outputs) -> None:
        for output in outputs:
            if isinstance(output, Send):
                self._send(node.name, output.to, output.message)
            elif isinstance(output, Persist):
                node.waits.append(output)
                if len(node.waits) == 1:
                    self._sync_later(node)
            elif isinstance(output, RequestCompleted):
                reply = self.tickets.pop(output.ticket, None)
                if reply is not None:
                    reply(output.answer)
            elif isinstance(output, EraseDisk):
                self._begin(node, DurableState(f"{node.name}-{self.count}"))
                return

    def _sync_later(self, node: Node) -> None:
        life = node.life
        self.at(self.now + self.rng.uniform(0.001, 0.02), lambda: self._synced(node, life))

    def _synced(self, node: Node, life: int) -> None:
        if node.life != life or not node.waits:
            return
        if self.now < node.asleep:
            self.at(node.asleep, lambda: self._synced(node, life))
            return
        persist = node.waits.pop(0)
        content = apply_writes(
            type(node.disk.content)() if persist.whole else node.disk.content, persist.writes
        )
        node.disk = DurableState(
            node.disk.incarnation, persist.group, persist.promised, persist.version, content
        )
        for send in persist.then:
            self._send(node.name, send.to, send.message)
        if node.waits:
            self._sync_later(node)
        now = self._node_time(node)
        self._outputs(node, node.service.settle(now, node.service.member.persisted(now, persist.number)))

    def _send(self, sender: str, to: str, message: AnyMessage) -> None:
        copies = 0 if self.rng.random() < self.loss else 2 if self.rng.random() < self.loss else 1
        for _ in range(copies):
            delay = self.rng.uniform(0.001, 0.02)
            if self.rng.random() < 0.02:
                delay += self.rng.uniform(0.0, 3.0)  # some come very late
            self.at(self.now + delay, lambda: self._receive(sender, to, message))

    def _receive(self, sender: str, to: str, message: AnyMessage) -> None:
        node = self.nodes[to]
        if not node.up or (sender, to) in self.cut:
            return
        if self.now < node.asleep:
            self.at(node.asleep, lambda: self._receive(sender, to, message))
            return
        now = self._node_time(node)
        self._outputs(node, node.service.settle(now, node.service.member.receive(now, message)))

    def _begin(self, node: Node, disk: DurableState) -> None:
        """Back from a crash, with this disk."""
        node.life += 1
        node.up = True
        node.asleep = 0.0
        node.waits.clear()
        node.disk = disk
        node.service = self._service(node.name, disk, self._node_time(node))
        self._tick_node(node, node.life)

    # -- asking the group, as clients and holders do

    def _ask(self, request: Request, seconds: float, told: Callable[[ResponseOrError | None], None]) -> None:
        """Ask a member that leads, as far as anybody can tell; the answer, or None where none comes."""
        done = False

        def once(answer: ResponseOrError | None) -> None:
            nonlocal done
            if not done:
                done = True
                told(answer)

        def back(answer: ResponseOrError) -> None:
            if self.rng.random() < self.loss:
                return  # the answer is lost
            self.at(self.now + self.rng.uniform(0.001, 0.03), lambda: once(answer))

        def arrive(node: Node) -> None:
            if not node.up:
                return
            if self.now < node.asleep:
                self.at(node.asleep, lambda: arrive(node))
                return
            self.ticket += 1
            ticket = self.ticket
            self.tickets[ticket] = back
            now = self._node_time(node)
            self._outputs(node, node.service.ask(now, ticket, request, now + 2.0))

        leaders = [node for node in self.nodes.values() if node.up and node.service.member.leads]
        self.at(self.now + seconds, lambda: once(None))
        if leaders and self.rng.random() >= self.loss:
            node = self.rng.choice(leaders)  # two may believe that they lead
            self.at(self.now + self.rng.uniform(0.001, 0.03), lambda: arrive(node))

    def _client(self, client: int, number: int) -> None:
        """One call after the other on a few keys."""
        key = self.rng.choice(KEYS)
        kind = self.rng.choice((READ, PUT, CAS))
        fresh = f"{client}.{number}"
        written_lately = [call.given[-1] for call in self.calls[-6:] if call.what != READ]
        expected = self.rng.choice(written_lately or [None])
        request: Request
        given: list[str | None] = [key.decode()]
        if kind == READ:
            request = Range(key)
        elif kind == PUT:
            given.append(fresh)
            request = Put(key, fresh.encode())
        else:
            given += [expected, fresh]
            same = Compare(key, CompareTarget.CREATE, CompareOperator.EQUAL, 0)
            if expected is not None:
                same = Compare(key, CompareTarget.VALUE, CompareOperator.EQUAL, expected.encode())
            request = Txn((same,), (Put(key, fresh.encode()),))
        place = len(self.calls)
        self.calls.append(Call(f"c{client}", kind, given, self.now, float("inf"), None))

        def told(answer: ResponseOrError | None) -> None:
            result: object = None
            if isinstance(answer, RangeResponse):
                result = answer.records[0][1].value.decode() if answer.records else None
            elif isinstance(answer, TxnResponse):
                result = answer.succeeded
            if answer is not None and not isinstance(answer, RequestError):
                self.calls[place] = self.calls[place]._replace(end=self.now, result=result)
                self.after += self.healed
            self.at(self.now + self.rng.uniform(0.05, 0.4), lambda: self._client(client, number + 1))

        self._ask(request, 1.0, told)

    # -- holders

    def _player_time(self, player: Player) -> float:
        return self.now * player.rate

    def _tick_player(self, player: Player) -> None:
        if self.now < player.asleep:
            self.at(player.asleep, lambda: self._tick_player(player))
            return
        self._player_actions(player, player.session.tick(self._player_time(player)))
        self._act(player)
        due = player.session.next_wakeup() / player.rate
        self.at(min(max(due, self.now + 0.01), self.now + 0.2), lambda: self._tick_player(player))

    def _player_actions(self, player: Player, actions: Actions) -> None:
        for action in actions:
            if isinstance(action, SendRequest):
                self._ask_for(player, action)
            elif isinstance(action, ClaimAcquired):
                player.entered = 0

    def _ask_for(self, player: Player, ask: SendRequest) -> None:
        def told(answer: ResponseOrError | None) -> None:
            if self.now < player.asleep:
                self.at(player.asleep, lambda: told(answer))
                return
            now = self._player_time(player)
            known = RequestError(StatusCode.DEADLINE_EXCEEDED, "") if answer is None else answer
            self._player_actions(player, player.session.on_response(now, ask.request_id, known))
            self._player_actions(player, player.session.tick(now))

        self._ask(ask.request, player.session.terms.response_timeout_s, told)

    def _act(self, player: Player) -> None:
        """Look, and act: what is done reaches the place a little later, or after a sleep."""
        number = player.session.claims[0].fencing_token(self._player_time(player))
        if not number:
            return
        if player.entered != number:
            if self.fenced and not self.fence.admit(TASK, number).admitted:
                return
            player.entered = number
            if (number, player.number) not in self.order:
                self.order.append((number, player.number))
        delay = self.rng.uniform(0.0, 0.3)
        if self.rng.random() < 0.02:
            delay += self.rng.uniform(0.0, 6.0)
        self.at(self.now + delay, lambda: self._reach(player, number))

    def _reach(self, player: Player, number: int) -> None:
        if self.fenced and not self.fence.admit(TASK, number).admitted:
            return
        turn = self.order.index((number, player.number))
        if self.taken and turn < self.taken[-1][2]:
            self.problems.append(f"{self.now:.2f} s: {player.number} is taken after a later holder")
        self.taken.append((self.now, player.number, turn))

    # -- faults and the judge

    def _fault(self) -> None:
        rng = self.rng
        out = [node for node in self.nodes.values() if not node.up or node.asleep > self.now]
        node = rng.choice(list(self.nodes.values()))
        kind = rng.choice(("crash", "sleep", "cut", "one-way", "loss", "holder", "holder"))
        length = rng.uniform(0.3, 4.0)
        if kind == "holder":
            awake = [p for p in self.players if p.session.claims[0].granted_token] or self.players
            rng.choice(awake).asleep = self.now + length
        elif kind == "loss":
            self.loss = rng.choice((0.02, 0.2, 0.4))
        elif kind in ("cut", "one-way"):
            for other in self.names:
                if other != node.name:
                    self.cut.add((node.name, other))
                    if kind == "cut":
                        self.cut.add((other, node.name))
            self.at(self.now + length, self.cut.clear)
        elif kind == "sleep" and len(out) < len(self.nodes):
            node.asleep = self.now + length
        elif kind == "crash" and node.up:
            node.up = False
            node.life += 1
            node.waits.clear()
            self.at(self.now + length, lambda: None if node.up else self._begin(node, node.disk))

    def _heal(self) -> None:
        self.healed = True
        self.cut.clear()
        self.loss = 0.0
        for node in self.nodes.values():
            if not node.up:
                self._begin(node, node.disk)

    def _judge(self) -> None:
        acting = [
            player.number for player in self.players
            if self.now >= player.asleep and player.session.claims[0].fencing_token(self._player_time(player))
        ]  # fmt: skip
        if len(acting) > 1:
            self.problems.append(f"{self.now:.2f} s: {acting} act at once")
