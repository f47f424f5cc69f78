"""A member's side towards its clients: requests in rounds, the leases' time, watches.  Pure, as the member
is.

What arrives while a round is under way waits for the next: a round's requests are worked out on the state
behind one another, and answered when a majority has taken it.  Reads and renewals take part in a round as
writes do, so whatever is answered was so while this member led.  Only a leader knows how much of a lease is
left: its time counts from after it was granted or renewed here, longer by what two clocks may differ, and
whoever takes the lead counts all of them anew.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from immutables import Map

from heronreel.coordination.consensus import (
    Action,
    Actions,
    ConsensusMember,
    Deposed,
    Elected,
    RoundCommitted,
)
from heronreel.coordination.keyspace import Keyspace, Writes
from heronreel.coordination.model import (
    Event,
    LeaseGrant,
    LeaseKeepAlive,
    LeaseList,
    LeaseListResponse,
    LeaseResponse,
    LeaseRevoke,
    LeaseTimeToLive,
    Request,
    RequestError,
    ResponseOrError,
    StatusCode,
)

DESIRED_MEMBERS_KEY = b"group/members"  # names of those who should be in the group; without it: whoever is
NAMES_MOST = 7
WAITING_MOST = 20_000  # requests that wait for a round
ROUND_MOST = 2_000  # requests of one round
ROUND_BYTES = 1 << 20  # of its writes; one more request may lie over it
EVENTS_MOST = 20_000  # kept for watches that come later
EVENT_BYTES = 16 << 20
WATCHES_MOST = 5_000


class RequestCompleted(NamedTuple):
    """What a request came to."""

    ticket: int
    answer: ResponseOrError


class WatchNotified(NamedTuple):
    """Events of a watch, up to and with a revision.  `compacted` above 0: what lies before that revision is
    not kept, and the watch has ended; `ended`: this member cannot say more.
    """

    watch: int
    revision: int
    events: tuple[Event, ...]
    compacted: int = 0
    ended: bool = False


class LeaseExpired(NamedTuple):
    """The group ends a lease that was not renewed; for the log."""

    lease: int


Output = Action | RequestCompleted | WatchNotified | LeaseExpired
Outputs = list[Output]


class _Work(NamedTuple):
    ticket: int
    request: Request
    until: float  # its answer is of use


class _Watch(NamedTuple):
    key: bytes
    end: bytes
    next: int  # the revision it has not been told of

    def concerns(self, key: bytes) -> bool:
        if not self.end:
            return key == self.key
        return key >= self.key and (self.end == b"\0" or key < self.end)


class _Round(NamedTuple):
    number: int
    state: Keyspace  # after it
    answers: tuple[RequestCompleted, ...]
    events: tuple[tuple[Event, ...], ...]  # by revision
    renewed: tuple[tuple[int, int], ...]  # leases and their seconds
    ended: tuple[int, ...]


class KeyValueService:
    """Requests, leases and watches of one member."""

    def __init__(self, member: ConsensusMember, *, drift: float = 0.01) -> None:
        """`drift`: how much a clock may run faster or slower than true time, as a share."""
        self.member = member
        self.drift = drift
        self.state = Keyspace.of(member.content)  # agreed on; of use while this member leads
        self.waiting: deque[_Work] = deque()
        self.round: _Round | None = None
        self.deadlines: Map[int, float] = Map()  # of leases, on this member's clock
        self.soonest = float("inf")  # the first of them, or before it
        self.events: deque[tuple[Event, ...]] = deque()  # the newest changes, one element a revision
        self.event_bytes = 0
        self.kept_from = 0  # the revision that `events` begins behind
        self.watches: dict[int, _Watch] = {}

    # -- what the shell asks

    def wake(self) -> float:
        due = self.member.wake()
        if self.member.leads and self.round is None:
            due = min(due, self.soonest)
        return due

    # -- events

    def ask(self, now: float, ticket: int, request: Request, until: float) -> Outputs:
        """A client's request; from `until` on its answer is of no use, and it is not begun any more."""
        if not self.member.leads:
            return [RequestCompleted(ticket, RequestError(StatusCode.UNAVAILABLE, "etcdserver: no leader"))]
        if len(self.waiting) >= WAITING_MOST:
            return [
                RequestCompleted(
                    ticket, RequestError(StatusCode.RESOURCE_EXHAUSTED, "etcdserver: too many requests")
                )
            ]
        self.waiting.append(_Work(ticket, request, until))
        return self._go_on(now)

    def watch(self, number: int, key: bytes, end: bytes, start: int) -> Outputs:
        """Tell of changes from the revision `start`, or from now on with 0."""
        if not self.member.leads:
            return [WatchNotified(number, 0, (), ended=True)]
        if len(self.watches) >= WATCHES_MOST:
            return [WatchNotified(number, self.state.revision, (), ended=True)]
        start = start or self.state.revision + 1
        if start <= self.kept_from:
            return [WatchNotified(number, self.state.revision, (), compacted=self.kept_from + 1)]
        watch = _Watch(key, end, start)
        past = tuple(
            event
            for events in self.events
            for event in events
            if event.revision >= start and watch.concerns(event.key)
        )
        self.watches[number] = watch._replace(next=max(start, self.state.revision + 1))
        return [WatchNotified(number, self.state.revision, past)]

    def unwatch(self, number: int) -> None:
        self.watches.pop(number, None)

    def tick(self, now: float) -> Outputs:
        return self._settle(now, self.member.tick(now))

    def settle(self, now: float, actions: Actions) -> Outputs:
        """What the member did on an event of its own: `receive` or `persisted`."""
        return self._settle(now, actions)

    # -- rounds

    def _settle(self, now: float, actions: Actions) -> Outputs:
        outputs: Outputs = []
        for action in actions:
            if isinstance(action, Elected):
                outputs.append(action)
                self._begin(now)
            elif isinstance(action, Deposed):
                outputs.append(action)
                outputs += self.end()
            elif isinstance(action, RoundCommitted):
                outputs += self._confirmed(now, action.number)
            else:
                outputs.append(action)
        return outputs + self._go_on(now)

    def _wish(self) -> None:
        """Who should be in the group, by the agreed key for it."""
        record = self.state.keys.get(DESIRED_MEMBERS_KEY)
        self.member.wish = None if record is None else names_of(record.value)

    def _begin(self, now: float) -> None:
        self.state = Keyspace.of(self.member.content)
        self._wish()
        self.events.clear()
        self.event_bytes = 0
        self.kept_from = self.state.revision
        self.deadlines = Map({lease: self._ends(now, ttl) for lease, ttl in self.state.leases.items()})
        self._look_soonest()

    def _ends(self, now: float, ttl: int) -> float:
        """When a lease ends here that its holder counts from before now: never before it ends there, as
        long as neither clock is off by more than `drift`.
        """
        return now + ttl * (1.0 + self.drift) / (1.0 - self.drift)

    def _look_soonest(self) -> None:
        self.soonest = min(self.deadlines.values(), default=float("inf"))

    def end(self) -> Outputs:
        """This member leads no more: nobody waits for it in vain."""
        outputs: Outputs = []
        if self.round is not None:
            for ticket, answer in self.round.answers:
                lost = RequestError(StatusCode.UNKNOWN, "etcdserver: leader changed")
                outputs.append(RequestCompleted(ticket, answer if isinstance(answer, RequestError) else lost))
            self.round = None
        lost = RequestError(StatusCode.UNAVAILABLE, "etcdserver: leader changed")
        outputs += [RequestCompleted(work.ticket, lost) for work in self.waiting]
        self.waiting.clear()
        outputs += [WatchNotified(number, self.state.revision, (), ended=True) for number in self.watches]
        self.watches.clear()
        self.deadlines = Map()
        self.soonest = float("inf")
        return outputs

    def _go_on(self, now: float) -> Outputs:
        """Begin a round, if there is something for one and none is under way."""
        member = self.member
        due = self.soonest <= now
        if not member.leads or member.busy or self.round is not None or not (self.waiting or due):
            return []
        if member.changing:
            return []  # the member's own rounds go first: a tick begins them
        state = self.state
        writes: dict[bytes, bytes | None] = {}
        answers: list[RequestCompleted] = []
        outputs: Outputs = []
        events: list[tuple[Event, ...]] = []
        renewed: list[tuple[int, int]] = []
        ended: list[int] = []
        if due:
            for lease, until in self.deadlines.items():
                if until <= now:
                    done = state.apply(LeaseRevoke(lease))
                    state = done.state
                    writes.update(done.writes)
                    ended.append(lease)
                    outputs.append(LeaseExpired(lease))
                    if done.events:
                        events.append(done.events)
        size = 0
        while self.waiting and len(answers) < ROUND_MOST and size < ROUND_BYTES:
            work = self.waiting.popleft()
            if work.until <= now:
                late = RequestError(StatusCode.UNAVAILABLE, "etcdserver: request timed out")
                outputs.append(RequestCompleted(work.ticket, late))
                continue
            request = work.request
            try:
                if isinstance(request, (LeaseKeepAlive, LeaseTimeToLive, LeaseList)):
                    answer = self._of_leases(now, state, request)
                    if isinstance(request, LeaseKeepAlive) and request.id in state.leases:
                        renewed.append((request.id, state.leases[request.id]))
                else:
                    done = state.apply(request)
                    state, answer = done.state, done.result
                    writes.update(done.writes)
                    size += sum(len(key) + len(data or b"") for key, data in done.writes)
                    if done.events:
                        events.append(done.events)
                    if isinstance(request, LeaseGrant) and isinstance(answer, LeaseResponse):
                        renewed.append((answer.id, answer.ttl))
                    elif isinstance(request, LeaseRevoke):
                        ended.append(request.id)
            except RequestError as refused:
                answer = refused
            answers.append(RequestCompleted(work.ticket, answer))
        if not answers and not ended:
            return outputs
        agreed: Writes = tuple(writes.items())
        actions = member.propose(now, agreed)
        self.round = _Round(member.number, state, tuple(answers), tuple(events), tuple(renewed), tuple(ended))
        return outputs + self._settle(now, actions)

    def _of_leases(
        self, now: float, state: Keyspace, request: LeaseKeepAlive | LeaseTimeToLive | LeaseList
    ) -> ResponseOrError:
        if isinstance(request, LeaseList):
            return LeaseListResponse(state.revision, tuple(sorted(state.leases)))
        ttl = state.leases.get(request.id)
        if isinstance(request, LeaseKeepAlive):
            return LeaseResponse(state.revision, request.id, ttl or 0, ttl or 0)
        if ttl is None:
            return LeaseResponse(state.revision, request.id, -1)
        left = max(0, int(self.deadlines.get(request.id, now + ttl) - now))
        keys = tuple(sorted(state.attached.get(request.id, frozenset()))) if request.keys else ()
        return LeaseResponse(state.revision, request.id, min(left, ttl), ttl, keys)

    def _confirmed(self, now: float, number: int) -> Outputs:
        """A majority took the round: what it did is so."""
        if self.round is None or self.round.number != number:
            return []
        done, self.round = self.round, None
        self.state = done.state
        self._wish()
        deadlines = self.deadlines
        for lease, ttl in done.renewed:
            if lease in done.state.leases:
                deadlines = deadlines.set(lease, self._ends(now, ttl))
        for lease in done.ended:
            if lease in deadlines and lease not in done.state.leases:
                deadlines = deadlines.delete(lease)
        if deadlines is not self.deadlines:
            self.deadlines = deadlines
            self._look_soonest()
        return self._publish(done.events) + list(done.answers)

    def _publish(self, changes: Iterable[tuple[Event, ...]]) -> Outputs:
        outputs: Outputs = []
        fresh = [event for events in changes for event in events]
        if not fresh:
            return outputs
        for events in changes:
            self.events.append(events)
            self.event_bytes += sum(map(_weight, events))
        while len(self.events) > EVENTS_MOST or self.event_bytes > EVENT_BYTES:
            gone = self.events.popleft()
            self.event_bytes -= sum(map(_weight, gone))
            self.kept_from = gone[0].revision
        for number, watch in self.watches.items():
            told = tuple(e for e in fresh if e.revision >= watch.next and watch.concerns(e.key))
            if told:
                outputs.append(WatchNotified(number, self.state.revision, told))
        return outputs


def names_of(data: bytes) -> frozenset[str] | None:
    """Names as the key holds them; None for what is none, which changes nothing."""
    names = frozenset(data.decode(errors="replace").split())
    return names if 0 < len(names) <= NAMES_MOST else None


def _weight(event: Event) -> int:
    """Bytes that an event is counted with."""
    values = (record.value for record in (event.record, event.previous) if record is not None)
    return 200 + len(event.key) + sum(map(len, values))
