"""One emulated proxy: carries out what its decider says, as the network code does, in virtual time.

Connections are kept and closed when idle, a new one costs round trips and work at the node, answers come
late, out of order or never, and a process can be drained, killed and started anew.  What the proxy does on
the wire is told to the observer, what its clients get to the clients.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from heronreel.balancer import interface as api
from heronreel.emulator.judge import Line
from heronreel.emulator.lists import Entry, Shape
from heronreel.emulator.model import Class
from heronreel.emulator.node import NEVER, Node
from heronreel.emulator.policies import Decider

if TYPE_CHECKING:
    from heronreel.emulator.world import World

STATES = {Shape.UP: api.State.UP, Shape.LEAVING: api.State.DRAINING, Shape.LEFT: api.State.GONE}
SWEEP_MS = 500.0  # how often idle connections are looked through where nothing else happens
KEPT = (api.Outcome.SERVED, api.Outcome.ERROR, api.Outcome.REJECTED)  # leave the connection of use


class Conn:
    """A connection to a node's process."""

    __slots__ = ("epoch", "free_at", "node")

    def __init__(self, node: Node) -> None:
        self.node, self.epoch = node, node.epoch
        self.free_at = -1.0  # in use


class Ask:
    """One try of a client's request, at one proxy."""

    __slots__ = ("attempts", "deadline", "ident", "klass", "line", "over", "proxy", "retry", "tried")

    def __init__(
        self, ident: int, line: Line, klass: Class, proxy: Proxy, deadline: float, retry: bool
    ) -> None:
        self.ident, self.line, self.klass, self.proxy = ident, line, klass, proxy
        self.deadline, self.retry = deadline, retry
        self.attempts: list[Attempt] = []
        self.tried = 0  # attempts seen at nodes, where they are real
        self.over = False


class Attempt:
    __slots__ = ("ask", "conn", "decided", "ended", "node", "number", "process", "send_by", "work", "written")

    def __init__(
        self, ask: Ask, number: int, node: Node, process: int, decided: float, send_by: float
    ) -> None:
        self.ask, self.number, self.node, self.process = ask, number, node, process
        self.decided, self.send_by = decided, send_by
        self.conn: Conn | None = None
        self.written = self.ended = False
        self.work = 0.0


class Proxy:
    def __init__(self, world: World, name: str, zone: str, slot: int) -> None:
        self.world, self.name, self.zone, self.slot = world, name, zone, slot
        self.seeds = world.draws.stream(f"proxy {slot}")
        self.settings = world.settings_of(zone, slot)
        self.process = 0  # how many there have been
        self.alive = self.draining = False
        self.decider: Decider | None = None
        self.asks: dict[int, Ask] = {}
        self.out: dict[Attempt, None] = {}
        self.pool: dict[int, list[Conn]] = {}
        self.idle: deque[tuple[float, Conn]] = deque()
        self.known: dict[int, Entry] = {}  # the list as it last had it

    # Its process.

    def start(self) -> None:
        """A process comes up, with the list as the last one had it."""
        world, now = self.world, self.world.events.now
        self.process += 1
        self.alive, self.draining = True, False
        self.decider = world.make(self.settings, self.seeds.seed())
        self._started()
        world.front.change(self, True)
        lines = [self._info(entry) for entry in self.known.values()]
        self.tell(api.BackendList(api.ListKind.CACHED, lines))
        world.events.at(now + SWEEP_MS, self._sweep_on, self.process)

    def _started(self) -> None:
        """The observer hears of a process and of the list that it begins with."""
        now = self.world.events.now
        self.world.observer.started(self.name, now)
        self.world.observer.told_whole(self.name, {e.name: e.since for e in self.known.values()}, now)

    def term(self, limit_ms: float) -> None:
        """SIGTERM: it answers what it has, takes what still comes, and ends."""
        self.draining = True
        self.world.events.at(self.world.events.now + limit_ms, self._end, self.process, False)

    def _end_if_done(self) -> None:
        if self.draining and self.alive and not self.asks:
            self._end(self.process, False)

    def kill(self) -> None:
        self._end(self.process, True)

    def _end(self, process: int, killed: bool) -> None:
        if process != self.process or not self.alive:
            return
        world = self.world
        self.alive = self.draining = False
        self.decider = None
        world.lists.end(self)
        world.observer.asks(self.name, world.events.now, False)
        held = list(self.asks.values())
        world.observer.stopped(self.name, [ask.ident for ask in held], world.events.now, killed)
        for attempt in self.out:
            attempt.ended = True
            self._close(attempt)
        for conns in self.pool.values():
            for conn in conns:
                self._drop(conn)
        self.out.clear()
        self.asks.clear()
        self.pool.clear()
        self.idle.clear()
        for ask in held:
            ask.over = True
            world.clients.cut_off(ask)
        world.ended_proxy(self)

    def reload(self) -> None:
        self.tell(api.NewSettings(self.settings))

    # The list.

    def _info(self, entry: Entry) -> api.BackendInfo:
        return api.BackendInfo(
            entry.ident, STATES[entry.shape], entry.zone, entry.kind, entry.rack, started_ms=entry.since
        )

    def told_whole(self, entries: list[Entry]) -> None:
        world, now = self.world, self.world.events.now
        if not self._listens():
            world.lists.end(self)
            return
        self.known = {entry.ident: entry for entry in entries}
        usable = {entry.name: entry.since for entry in entries if entry.shape is Shape.UP}
        world.observer.told_whole(self.name, usable, now)
        world.observer.asks(self.name, now, True)
        self._pass_on(True, entries)

    def told_changes(self, entries: list[Entry]) -> None:
        if not self._listens():
            return
        now = self.world.events.now
        for entry in entries:
            if entry.shape is Shape.LEFT:
                self.known.pop(entry.ident, None)
            else:
                self.known[entry.ident] = entry
            self.world.observer.told(self.name, entry.name, entry.shape is Shape.UP, entry.since, now)
        self._pass_on(False, entries)

    def _listens(self) -> bool:
        return self.alive

    def _pass_on(self, whole: bool, entries: list[Entry]) -> None:
        """To the process."""
        kind = api.ListKind.FULL if whole else api.ListKind.CHANGES
        self.tell(api.BackendList(kind, [self._info(entry) for entry in entries]))

    def call_failed(self) -> None:
        if self.alive:
            self.world.observer.asks(self.name, self.world.events.now, False)
            self.tell(api.BackendList(api.ListKind.FAILED))

    # What its decider says.

    def tell(self, event: api.Event) -> None:
        decider = self.decider
        if decider is None:
            return
        now = self.world.events.now
        for action in decider.handle(now, event):
            if isinstance(action, api.StartAttempt):
                self._attempt(now, action)
            elif isinstance(action, api.SetTimer):
                self.world.events.at(now + action.delay_ms, self._timer, self.process, action.token)
            elif isinstance(action, api.Reject):
                self._answer(action.request, "refused", action.retry_after_ms)
            elif isinstance(action, api.Fail):
                self._answer(action.request, "failed", 0.0)
            elif isinstance(action, api.WatchList | api.FetchList):
                self.world.observer.asks(self.name, now, True)
                self.world.judge.meter.list_calls += 1
                self.world.lists.call(self)
            elif isinstance(action, api.CloseIdle):
                for conn in self.pool.pop(action.backend, []):
                    self._drop(conn)

    def _timer(self, process: int, token: int) -> None:
        if process == self.process:
            self.tell(api.TimerFired(token))

    def _answer(self, ident: int, what: str, after: float) -> None:
        ask = self.asks.get(ident)
        if ask is None:
            self.world.observer.answered(ident, what, self.world.events.now)
        else:
            self._finish(ask, what, after)

    # A request's life.

    def arrive(self, ask: Ask, left_ms: float) -> None:
        """Its last byte has come.  `left_ms`: how long the client waits."""
        world, now, klass, line = self.world, self.world.events.now, ask.klass, ask.line
        self._take(ask)
        world.events.at(ask.deadline, self._deadline, ask)
        arrival = api.Arrival(
            ask.ident, klass.name, left_ms, line.tenant, line.key, world.hint_of(line),
            ask.retry and world.rehearsal.clients.marks, klass.effect != "safe",
        )  # fmt: skip
        if world.routed is not None:
            arrival.policy = world.routed(klass)
            arrival.idempotency_key = line.ident
        if world.tracer is not None:
            world.tracer.arrived(now, ask)
        self.tell(arrival)

    def _take(self, ask: Ask) -> None:
        self.asks[ask.ident] = ask
        klass = ask.klass
        self.world.observer.took(
            ask.ident, ask.line.ident, self.name, klass.effect, klass.group, klass.window_ms, ask.deadline
        )

    def leave(self, ask: Ask) -> None:
        """Its client closes."""
        if ask.over or ask.ident not in self.asks:
            return
        self._over(ask)
        self.world.observer.left(ask.ident)
        self.tell(api.ClientGone(ask.ident))
        self._end_if_done()

    def _over(self, ask: Ask) -> None:
        ask.over = True
        del self.asks[ask.ident]

    def _finish(self, ask: Ask, what: str, after: float = 0.0) -> None:
        world, now = self.world, self.world.events.now
        self._over(ask)
        world.observer.answered(ask.ident, what, now)
        if world.tracer is not None:
            world.tracer.answered(now, ask, what, after)
        world.clients.answered(ask, what, after)
        if self.draining:
            world.events.at(now, self._end_if_done)

    def _deadline(self, ask: Ask) -> None:
        if ask.proxy is not self or (ask.over and not any(not a.ended for a in ask.attempts)):
            return
        for attempt in ask.attempts:
            self._timed_out(attempt)
        if not ask.over:
            grace = self.world.rehearsal.rules.answer_grace_ms
            self.world.events.at(ask.deadline + grace + 1e-3, self._overdue, ask)

    def _overdue(self, ask: Ask) -> None:
        if not ask.over:
            self.world.observer.overdue(ask.ident, self.world.events.now)
            self._over(ask)
            self.world.clients.answered(ask, "lost", 0.0)
            self.tell(api.ClientGone(ask.ident))
            self._end_if_done()

    # An attempt's life.

    def _attempt(self, now: float, action: api.StartAttempt) -> None:
        world, ask = self.world, self.asks.get(action.request)
        node = world.by_ident[action.backend]
        if ask is None:
            world.observer.sent(action.request, -1, self.name, node.name, "", node.zone, now)
            return
        send_by = now + action.within_ms if action.within_ms else NEVER
        attempt = Attempt(ask, len(ask.attempts), node, self.process, now, send_by)
        ask.attempts.append(attempt)
        self.out[attempt] = None
        if world.tracer is not None:
            world.tracer.decided(now, attempt)
        world.judge.meter.attempts += 1
        if now >= ask.deadline or len(ask.attempts) > self.settings.max_attempts:
            world.events.at(now, self._ended, attempt, api.Outcome.NOT_SENT)
            return
        if action.timeout_ms and now + action.timeout_ms < ask.deadline:
            world.events.at(now + action.timeout_ms, self._timed_out, attempt)
        attempt.conn = self._kept(node, now)
        if attempt.conn is not None:
            self._write(attempt)
        else:
            self._connect(now, attempt)

    def _kept(self, node: Node, now: float) -> Conn | None:
        conns = self.pool.get(node.ident)
        if not conns:
            return None
        self._sweep(now)
        if not conns:
            return None
        conn = conns.pop()
        conn.free_at = -1.0
        return conn

    def _connect(self, now: float, attempt: Attempt) -> None:
        world, node = self.world, attempt.node
        limit = world.rehearsal.proxies.connect_timeout_ms
        way = world.wires.between(self.zone, node.zone)
        if node.silent or not world.wires.heard(self.zone, node.zone):
            world.events.at(now + limit, self._ended, attempt, api.Outcome.UNREACHABLE)
        elif node.down:
            world.events.at(now + 2.0 * way, self._ended, attempt, api.Outcome.UNREACHABLE)
        elif node.paused_until - now > limit:  # accepts stand still with all else
            world.events.at(now + limit, self._ended, attempt, api.Outcome.UNREACHABLE)
        elif node.kind.connections and node.conns >= node.kind.connections:
            world.events.at(now + 2.0 * way, self._ended, attempt, api.Outcome.REJECTED)
        else:
            node.conns += 1
            attempt.conn = Conn(node)
            attempt.work = node.kind.handshake_ms
            world.judge.meter.handshakes += 1
            up = max(now, node.paused_until) + 2.0 * way * node.kind.handshake_rtts
            world.events.at(up, self._write, attempt)

    def _write(self, attempt: Attempt) -> None:
        """Its first byte goes out, if it still may."""
        if attempt.ended:
            return
        world, now, ask, node = self.world, self.world.events.now, attempt.ask, attempt.node
        if ask.over or now >= attempt.send_by:
            self._ended(attempt, api.Outcome.NOT_SENT)
            return
        attempt.written = True
        world.observer.sent(ask.ident, attempt.number, self.name, node.name, node.rack.name, node.zone, now)
        if node.zone != self.zone:
            world.judge.meter.crossings += 1
        world.events.at(now + world.wires.between(self.zone, node.zone), self._reach, attempt)

    def _reach(self, attempt: Attempt) -> None:
        """Its last byte is at the node."""
        world, now, node = self.world, self.world.events.now, attempt.node
        if node.silent or not world.wires.heard(self.zone, node.zone):
            return  # nobody says anything
        conn = attempt.conn
        if node.down or conn is None or conn.epoch != node.epoch:
            if not attempt.ended:
                self._come(attempt, api.Outcome.RESET)
            return
        if node.paused_until > now:
            world.events.at(node.paused_until, self._reach, attempt)
            return
        if node.resets and world.faults.chance(node.resets):
            self._come(attempt, api.Outcome.RESET)
            if world.faults.chance(0.5):
                return  # before it was taken; else it runs
        outcome = world.offer(node, attempt, attempt.work)
        if outcome is not None:
            self._come(attempt, outcome)

    def come_back(self, attempt: Attempt, outcome: api.Outcome) -> None:
        """A node has done with it; its answer sets out."""
        node = attempt.node
        if node.loses and self.world.faults.chance(node.loses):
            return
        self._come(attempt, outcome)

    def _come(self, attempt: Attempt, outcome: api.Outcome) -> None:
        world = self.world
        if world.wires.heard(self.zone, attempt.node.zone) and not attempt.node.silent:
            at = world.events.now + world.wires.between(self.zone, attempt.node.zone)
            world.events.at(at, self._ended, attempt, outcome)

    def _timed_out(self, attempt: Attempt) -> None:
        if not attempt.ended:
            self._ended(attempt, api.Outcome.TIMEOUT if attempt.written else api.Outcome.UNREACHABLE)

    def _ended(self, attempt: Attempt, outcome: api.Outcome) -> None:
        """The proxy learns how an attempt ended: once, whatever comes later."""
        world, now, ask = self.world, self.world.events.now, attempt.ask
        if attempt.ended or attempt.process != self.process:
            return
        attempt.ended = True
        del self.out[attempt]
        conn = attempt.conn
        if conn is not None:
            if (outcome in KEPT or not attempt.written) and conn.epoch == conn.node.epoch:
                conn.free_at = now
                self.pool.setdefault(conn.node.ident, []).append(conn)
                self.idle.append((now, conn))
            else:
                self._close(attempt)
        if attempt.written:
            world.observer.ended(ask.ident, attempt.number, outcome in api.NEVER_RAN)
        if world.tracer is not None:
            world.tracer.ended(now, attempt, outcome)
        if outcome is api.Outcome.SERVED and not ask.over:
            self._finish(ask, "served")
        self.tell(
            api.AttemptEnded(
                ask.ident, attempt.number, attempt.node.ident, outcome, now - attempt.decided, ask.over
            )
        )

    # Connections.

    def _close(self, attempt: Attempt) -> None:
        if attempt.conn is not None:
            self._drop(attempt.conn)
            attempt.conn = None

    def _drop(self, conn: Conn) -> None:
        conn.free_at = -2.0
        if conn.epoch == conn.node.epoch:
            conn.node.conns -= 1

    def _sweep(self, now: float) -> None:
        """Close what has been idle for too long, the longest first."""
        limit = now - self.world.rehearsal.proxies.idle_ms
        idle = self.idle
        while idle and idle[0][0] <= limit:
            freed, conn = idle.popleft()
            if conn.free_at == freed:
                conns = self.pool.get(conn.node.ident)
                if conns and conn in conns:
                    conns.remove(conn)
                    if not conns:
                        del self.pool[conn.node.ident]
                    self._drop(conn)

    def _sweep_on(self, process: int) -> None:
        if process == self.process and self.alive:
            self._sweep(self.world.events.now)
            self.world.events.at(self.world.events.now + SWEEP_MS, self._sweep_on, process)

    def node_died(self, node: Node) -> None:
        """Its connections to a node's process are reset."""
        for conn in self.pool.pop(node.ident, []):
            conn.free_at = -2.0
