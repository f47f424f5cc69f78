"""The one caller of `Balancer.handle`: ids, clock, timers, and the lives of requests and attempts.

Events wait in a queue, so that what an action causes never re-enters the module.  Every request gets one
final answer: what a backend served, the module's Refuse or Fail, or, if it gives none, ours at the deadline.
"""

from __future__ import annotations

import asyncio
import hashlib
import logging
import math
import time
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol, cast

from heronreel.balancer import interface as api
from heronreel.balancer.choice import Balancer
from heronreel.proxy.backends import Answer, Attempt, Link, Node, Pool, Taker
from heronreel.proxy.config import Config
from heronreel.proxy.discovery import Discovery, Member, Members
from heronreel.proxy.http1 import DATE, Budget
from heronreel.proxy.shared import Hold
from heronreel.proxy.streams import Upload

UPLOAD_MOST_S = 600.0  # that a body may take to come: 32 MB at 64 kB a second, and some to spare
RETRY_TIMER_S = 0.2  # a timer that the module failed on comes again
HINT_MOST_US = 60e6  # a dearer hint would fill the boards with one request

log = logging.getLogger(__name__)


class Decisions(Protocol):
    """What decides: a Balancer, or what speaks as one."""

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]: ...


class Router(Protocol):
    """Where the host has routes of its own: which policy a request comes under."""

    def find(
        self, host: bytes, path: bytes, method: bytes, headers: Mapping[bytes, bytes]
    ) -> api.RoutePolicy | None: ...


class Asker(Protocol):
    """Whoever waits for the answer."""

    def answer(self, status: int, lines: bytes, body: bytes = b"") -> None: ...

    def begin(self, link: Link, answer: Answer, length: int | None) -> Taker | None:
        """Take an answer as it comes; None: it can't be taken so."""
        return None

    def finish(self) -> None:
        """That answer's last byte was handed over."""
        return None

    def cut(self) -> None:
        """That answer can't be finished."""
        return None

    def has_left(self) -> bool:
        """It has closed its connection, whether or not that was read; then nothing is said to it any more."""
        return False


@dataclass(slots=True)
class Ask:
    """What a client's head says, checked."""

    head: bytes  # request line and header lines for a backend, without the time left
    name: bytes = b""  # X-Request-Id
    klass: str = ""
    tenant: str = ""
    key: bytes = b""
    time_left_ms: float | None = None
    hint_ms: float = 0.0
    is_retry: bool = False
    is_write: bool = False
    policy: api.RoutePolicy | None = None
    repeat_key: bytes = b""  # Idempotency-Key
    is_old: bool = False  # HTTP/1.0


@dataclass(slots=True, eq=False)
class Request:
    ident: int
    client: Asker | None  # None once it has its answer or has left
    head: bytes
    body: bytes | bytearray
    deadline: float
    timer: asyncio.TimerHandle | None = None
    attempts: list[Attempt] = field(default_factory=list)
    out: int = 0
    over: bool = False
    last: api.Outcome = api.Outcome.NOT_SENT
    name: bytes = b""  # the client's id
    upload: Upload | None = None
    stream: Attempt | None = None  # whose answer the client gets as it comes


def number_of(name: bytes) -> int:
    """A stable number, the same at all proxies; 53 bits, as the simulator's keys have."""
    return int.from_bytes(hashlib.blake2b(name, digest_size=8).digest()) >> 11


class Proxy:
    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: Config,
        decisions: Decisions | None = None,
        router: Router | None = None,
    ) -> None:
        self.loop = loop
        self.router = router
        self.own_clients = config.any_status  # not the platform's: they send none of its fields
        self._settle(config.settings)
        self.balancer: Decisions = decisions or Balancer(config.settings, config.seed)
        self.origin = time.time() - time.monotonic()  # wall clock at start; it never steps after
        self.pool = Pool(loop, config, self)
        self.discovery = (
            Discovery(loop, config.discovery, config.known.index, self.told, not config.settings.watch_list)
            if config.discovery
            else None
        )
        self.nodes: dict[int, Node] = {}
        self.numbers: dict[str, int] = {}
        self.requests: dict[int, Request] = {}  # those not over, or with attempts out
        self.names: set[bytes] = set()  # of the same requests
        self.budget = Budget(config.body_bytes)
        self.last_ident = 0
        self.holds: dict[str, Hold] = {}  # by name: what operators hold, and what they gave back
        self.heard = not config.discovery  # a list was told, so what we know is not only what the file knew
        self.listed = config.listed  # a file's members beside discovery's, if there are any
        self.events: deque[api.Event] = deque()
        self.telling = False
        self.decided = 0.0  # when the module was last asked
        self._take_list(config.known, api.ListKind.CACHED)
        if self.discovery:
            self.discovery.start()

    def reload(self, config: Config) -> None:
        """Settings, limits and discovery of a new file, under load.  What is under way goes on as it began;
        the file's list is passed over, since the watch told a newer one.
        """
        self._settle(config.settings)
        self.tell(api.NewSettings(config.settings))
        self.pool.settle(config)
        self.budget.most = config.body_bytes
        if self.discovery and config.discovery:
            self.discovery.settle(config.discovery, not config.settings.watch_list)
        if config.listed:
            self._take_list(config.known, api.ListKind.FULL, True)

    def _settle(self, settings: api.Settings) -> None:
        self.settings = settings
        self.tenants = {tenant.name for tenant in settings.tenants}
        self.classes = {klass.name: klass for klass in settings.classes}
        self.deadline_most_ms = max(klass.deadline_ms for klass in settings.classes)

    def serves(self) -> bool:
        return any(node.listed for node in self.nodes.values())

    def tell(self, event: api.Event) -> None:
        """Events in the order they happened; one that an action causes waits until its round is over."""
        self.events.append(event)
        if self.telling:
            return
        self.telling = True
        try:
            while self.events:
                event = self.events.popleft()
                try:
                    self.decided = time.monotonic()
                    actions = self.balancer.handle((self.origin + self.decided) * 1000.0, event)
                except Exception as error:  # no event may end the process; the deadline answers its request
                    log.error("module: %s: %s on %.200r", type(error).__name__, error, event)
                    if isinstance(event, api.TimerFired):  # or what the timer keeps going would stop for good
                        self.loop.call_later(RETRY_TIMER_S, self.tell, event)
                    continue
                for action in actions:
                    self._carry_out(action)
                if isinstance(event, api.AttemptEnded | api.ClientGone):
                    self._drop(event.request)
        finally:
            self.telling = False

    def _carry_out(self, action: api.Action) -> None:
        match action:
            case api.StartAttempt():
                self._start(action)
            case api.Reject(ident, retry_after_ms):
                self._finish(ident, 503, retry_after_ms)
            case api.Fail(ident):
                self._finish(ident, 502, 0.0)
            case api.SetTimer(token, delay_ms):
                # a millisecond on top: the loop's clock may stand behind, and a timer must not come early
                self.loop.call_later(delay_ms / 1000.0 + 0.001, self.tell, api.TimerFired(token))
            case api.CancelAttempt(ident, number):
                request = self.requests.get(ident)
                if request:
                    self.pool.give_up(request.attempts[number], api.Outcome.CANCELLED)
            case api.WatchList():
                if self.discovery:
                    self.discovery.watch()
            case api.FetchList():
                if self.discovery:
                    self.discovery.fetch()
            case api.CloseIdle(backend):
                if backend in self.nodes:
                    self.pool.close_idle(self.nodes[backend])
            case api.Probe(backend):
                self.tell(api.ProbeEnded(backend, api.Outcome.NOT_SENT))  # no probing on this site

    # The life of a request.

    def arrive(
        self, client: Asker, ask: Ask, body: bytes | bytearray, upload: Upload | None = None
    ) -> Request:
        """A request whose last byte is in, or a long one under way.  It is owed one final answer."""
        now = time.monotonic()
        left_ms = ask.time_left_ms
        if left_ms is None:
            klass = ask.policy.request_class if ask.policy else self.classes.get(ask.klass)
            left_ms = klass.deadline_ms if klass else self.deadline_most_ms
        if upload:  # its time begins with its last byte; how fast it comes is its connection's to judge
            upload.left_ms, left_ms = left_ms, left_ms + UPLOAD_MOST_S * 1000.0
        self.last_ident += 1
        deadline = now + left_ms / 1000.0
        request = Request(self.last_ident, client, ask.head, body, deadline, name=ask.name, upload=upload)
        self.requests[request.ident] = request
        if request.name:
            self.names.add(request.name)
        request.timer = self.loop.call_later(left_ms / 1000.0, self._deadline, request)
        self.tell(
            api.Arrival(
                request.ident,
                ask.klass,
                left_ms,
                ask.tenant if ask.tenant in self.tenants else "",  # guards the module's books by tenant
                number_of(ask.key) if ask.key else None,
                ask.hint_ms,
                ask.is_retry,
                ask.is_write,
                ask.policy,
                number_of(ask.repeat_key) if ask.repeat_key else None,
            )
        )
        return request

    def uploaded(self, request: Request) -> None:
        """The last byte is in: from here on its time runs, and that of the backend that has it."""
        if request.over or not request.upload:
            return
        now, left = time.monotonic(), request.upload.left_ms / 1000.0
        request.deadline = now + left
        if request.timer:
            request.timer.cancel()
        request.timer = self.loop.call_later(left, self._deadline, request)
        for attempt in request.attempts:
            attempt.started, attempt.ends_at = now, min(attempt.ends_at, request.deadline)

    def _start(self, wanted: api.StartAttempt) -> None:
        ident, backend, timeout_ms = wanted.request, wanted.backend, wanted.timeout_ms
        request, now = self.requests[ident], time.monotonic()
        number, node = len(request.attempts), self.nodes.get(backend)
        ends_at = min(request.deadline, now + timeout_ms / 1000.0) if timeout_ms else request.deadline
        # counted from the decision, not from here: between the two the process may have stood still
        send_by = self.decided + wanted.within_ms / 1000.0 if wanted.within_ms else math.inf
        attempt = Attempt(request, number, node or Node(backend, "", ("", 0), 0.0), now, ends_at, send_by)
        request.attempts.append(attempt)
        barred = request.over or number >= self.settings.max_attempts
        barred = barred or (request.upload is not None and not request.upload.may_start())
        if barred or node is None or now >= ends_at:
            attempt.ended = True
            self.tell(api.AttemptEnded(ident, number, backend, api.Outcome.NOT_SENT, 0.0, request.over))
            return
        if ends_at < request.deadline:
            wait = ends_at - now
            attempt.timer = self.loop.call_later(wait, self.pool.give_up, attempt, api.Outcome.TIMEOUT)
        self.pool.start(attempt)

    def attempt_ended(self, attempt: Attempt, outcome: api.Outcome, answer: Answer | None) -> None:
        request, node = cast(Request, attempt.request), attempt.node
        request.last = outcome
        if attempt is request.stream:
            self._stream_ended(request, outcome)
            self._forget(node)
            return
        if answer and request.client:
            client = request.client
            self._over(request)
            client.answer(answer.status, answer.lines, answer.body)
        if request.over and not request.out and request.timer:
            request.timer.cancel()
        ids, took_ms = (request.ident, attempt.number, node.number), self._since(attempt)
        self.tell(api.AttemptEnded(*ids, outcome, took_ms, request.over))
        self._forget(node)

    def stream_began(self, attempt: Attempt, link: Link, answer: Answer, length: int | None) -> Taker | None:
        """A long answer goes to the client as it comes.  The work is done and the decisions are over, so the
        module hears its end here: what follows takes as long as the client does.
        """
        request = cast(Request, attempt.request)
        taker = request.client.begin(link, answer, length) if request.client and not request.stream else None
        if taker is None:
            return None
        request.stream = attempt
        for timer in (request.timer, attempt.timer):
            if timer:
                timer.cancel()
        ids = (request.ident, attempt.number, attempt.node.number)
        self.tell(api.AttemptEnded(*ids, api.Outcome.SERVED, self._since(attempt), True))
        for other in request.attempts:
            if other is not attempt and not other.ended:
                self.pool.give_up(other, api.Outcome.CANCELLED)
        return taker

    def _stream_ended(self, request: Request, outcome: api.Outcome) -> None:
        client = request.client
        self._over(request)
        if client and outcome is api.Outcome.SERVED:
            client.finish()
        elif client:
            client.cut()  # what is missing can't come; the client can tell that it has not all
        self._drop(request.ident)

    def _since(self, attempt: Attempt) -> float:
        return (time.monotonic() - attempt.started) * 1000.0

    def is_deserted(self, attempt: Attempt) -> bool:
        """Whether nobody waits for an attempt that is about to be sent."""
        request = cast(Request, attempt.request)
        client = request.client
        if client is None or not client.has_left():
            return False
        self.client_gone(request)
        return True

    def client_gone(self, request: Request) -> None:
        """Nobody waits any more.  What is out goes on to its deadline: giving up stops no backend's work, and
        the connection is worth keeping.  What was not wholly written has not begun, and never does.
        """
        if request.over:
            return
        stream, upload = request.stream, request.upload
        self._over(request)
        if stream:
            self.pool.give_up(stream, api.Outcome.CANCELLED)
            return
        self.tell(api.ClientGone(request.ident))
        for attempt in [attempt for attempt in request.attempts if not attempt.ended]:
            if (upload and not upload.whole) or (attempt.link and attempt.link.unsent):
                self.pool.give_up(attempt, api.Outcome.CANCELLED)

    def _deadline(self, request: Request) -> None:
        left = request.deadline - time.monotonic()
        if left > 0.0005:  # the loop's clock stands still while it works, so a timer may come early
            request.timer = self.loop.call_later(left, self._deadline, request)
            return
        self.give_up(request)

    def give_up(self, request: Request) -> None:
        """Its time is over, or ours is."""
        for attempt in request.attempts:
            self.pool.give_up(attempt, api.Outcome.TIMEOUT)
        if not request.over:  # guards rule 1: the module holds it, or failed on it
            self._finish(request.ident, 504, 0.0)
            self.tell(api.ClientGone(request.ident))

    def _finish(self, ident: int, status: int, retry_after_ms: float) -> None:
        request = self.requests.get(ident)
        if request is None or request.over:
            return
        if status == 502 and request.last is api.Outcome.TIMEOUT:
            status = 504
        client = request.client
        self._over(request)
        if client:
            advice = b"retry-after: %.3f\r\n" % (retry_after_ms / 1000.0) if retry_after_ms else b""
            client.answer(status, advice + DATE.now())
        self._drop(ident)

    def _over(self, request: Request) -> None:
        """Nothing more goes out for it, so what a further attempt would need is let go."""
        request.over, request.client = True, None
        self.budget.give(len(request.body))
        request.head = request.body = b""
        if request.upload:
            request.upload.forget()
        if not request.out and request.timer:
            request.timer.cancel()

    def _drop(self, ident: int) -> None:
        request = self.requests.get(ident)
        if request and request.over and not request.out:
            del self.requests[ident]
            self.names.discard(request.name)
            request.attempts.clear()

    # What operators say.

    def knows(self, name: str) -> bool:
        """Whether any backend has that name, or had when it was held."""
        return name in self.numbers or name in self.holds

    def settle_holds(self, holds: dict[str, Hold]) -> None:
        """Carry out what operators have said since the last look, to this process or to the other."""
        for name, hold in holds.items():
            old = self.holds.get(name)
            if hold == old:
                continue
            number = self.numbers.get(name)
            if number is None:
                number = self._number(name)
            held = not hold.released_ms
            self.holds[name] = hold
            log.info("%s %s", "cordoned" if held else "back in use:", name)
            if node := self.nodes.get(number):
                node.held = held
                self.pool.close_idle(node)  # held, or restarted since
            if held:
                self.tell(api.BeginMaintenance(number, hold.since_ms))
            else:
                self.tell(api.EndMaintenance(number, hold.since_ms, hold.released_ms))
                if node:
                    self._forget(node)
        for name in [name for name, hold in self.holds.items() if hold.released_ms and name not in holds]:
            del self.holds[name]  # long enough ago; a hold ends by its release alone

    def _number(self, name: str) -> int:
        number = number_of(name.encode())
        while number in self.nodes:  # another name's number
            number = number_of(b"%d" % number)
        return number

    # The list.

    def told(self, members: Members | api.WatchFailure) -> None:
        if isinstance(members, api.WatchFailure):
            self.tell(api.BackendList(api.ListKind.FAILED, failure=members))
        else:
            self.heard = True
            self._take_list(members, api.ListKind.FULL if members.whole else api.ListKind.CHANGES)

    def _take_list(self, members: Members, kind: api.ListKind, of_file: bool = False) -> None:
        infos = [self._take(member) for member in members.entries]
        if members.whole:
            up = {info.backend for info in infos}
            for node in [node for node in self.nodes.values() if node.number not in up]:
                if self.listed:
                    # a file's list says nothing of discovery's members, nor discovery's of the file's
                    if (node.pool != "") == of_file:
                        infos.append(api.BackendInfo(node.number, api.State.GONE, pool=node.pool))
                        self._tell_off(node)
                else:
                    self._tell_off(node)
        if self.listed and kind is api.ListKind.FULL:
            kind = api.ListKind.CHANGES
        self.tell(api.BackendList(kind, infos))

    def _take(self, member: Member) -> api.BackendInfo:
        number = self.numbers.get(member.name)
        if number is None:
            number = self._number(member.name)
        node = self.nodes.get(number)
        if member.state is not api.State.UP or member.address is None:
            if node:
                self._tell_off(node)
        elif node is None:
            self.numbers[member.name] = number
            node = Node(number, member.name, member.address, member.since_ms, member.pool)
            hold = self.holds.get(member.name)
            node.held = hold is not None and not hold.released_ms
            self.nodes[number] = node
        else:
            node.listed = True
            if (node.address, node.since_ms) != (member.address, member.since_ms):
                node.address, node.since_ms = member.address, member.since_ms
                self.pool.close_idle(node)  # they lead to what it was before
        return api.BackendInfo(
            number, member.state, member.zone, member.kind, member.cell, member.weight, member.since_ms,
            member.pool,
        )  # fmt: skip

    def _tell_off(self, node: Node) -> None:
        if node.listed:
            node.listed, node.told_off_at = False, time.monotonic()
            self.pool.close_idle(node)
            self._forget(node)

    def _forget(self, node: Node) -> None:
        if not node.listed and not node.out and self.nodes.get(node.number) is node:
            del self.nodes[node.number], self.numbers[node.name]
