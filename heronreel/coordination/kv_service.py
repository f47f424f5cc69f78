"""The key-value service of a member: requests in rounds, lease expiry, and watches.

Like the consensus core, it does no I/O.

Requests that arrive while a round is in flight wait for the next one.  The requests of a round are applied
one after the other, and are answered once a quorum has accepted the round.  Reads and renewals are part of a
round as writes are, so every response was correct at a time when this member led.  Only the leader measures
the time of leases, starting after it has granted or renewed them; a new leader restarts the time of all
leases.
"""

from __future__ import annotations

import copy
from collections import deque
from typing import NamedTuple

from heronreel.coordination.actions import Action, Actions, Deposed, Elected, RoundCommitted
from heronreel.coordination.consensus import ConsensusMember
from heronreel.coordination.errors import RequestError, StatusCode
from heronreel.coordination.keyspace import Keyspace
from heronreel.coordination.lease_deadlines import LeaseDeadlines
from heronreel.coordination.model import Request
from heronreel.coordination.request_batch import RequestBatch, RequestCompleted
from heronreel.coordination.watches import WatchHub, WatchNotified

# The key holds the names of the desired members; without it, the present members are the desired ones.
DESIRED_MEMBERS_KEY = b"group/members"
MAX_MEMBERS = 7
MAX_PENDING_REQUESTS = 20_000  # Limits the requests that wait for a round.

NO_LEADER = "etcdserver: no leader"
TOO_MANY_REQUESTS = "etcdserver: too many requests"
LEADER_CHANGED = "etcdserver: leader changed"
REQUEST_TIMED_OUT = "etcdserver: request timed out"


class LeaseExpired(NamedTuple):
    """The group ends a lease that was not renewed.  The server process logs this."""

    lease: int


Output = Action | RequestCompleted | WatchNotified | LeaseExpired
Outputs = list[Output]


class _PendingRequest(NamedTuple):
    request_id: int
    request: Request
    deadline: float  # the time after which the client no longer waits for the response


class _RoundInFlight(NamedTuple):
    number: int
    batch: RequestBatch


class KeyValueService:
    """The requests, leases and watches of one member."""

    def __init__(self, member: ConsensusMember, *, max_clock_drift: float = 0.01) -> None:
        """`max_clock_drift`: how much faster or slower than true time a clock may run, as a fraction."""
        self.member = member
        # The committed state, which is valid while this member leads.
        self.state = Keyspace.from_content(member.content)
        self.lease_deadlines = LeaseDeadlines(max_clock_drift)
        self._pending: deque[_PendingRequest] = deque()
        self._round: _RoundInFlight | None = None
        self._watches = WatchHub()

    def fork(self) -> KeyValueService:
        """Return an independent copy."""
        forked = copy.copy(self)
        forked.member = self.member.fork()
        forked.lease_deadlines = self.lease_deadlines.fork()
        forked._pending = self._pending.copy()
        forked._watches = self._watches.fork()
        return forked

    def next_wakeup(self) -> float:
        """Return the time at which `tick` has work to do, unless another event occurs first."""
        wakeup = self.member.next_wakeup()
        if self.member.is_leader and self._round is None:
            wakeup = min(wakeup, self.lease_deadlines.earliest)
        return wakeup

    # -- events

    def submit(self, now: float, request_id: int, request: Request, deadline: float) -> Outputs:
        """Queue a client's request.  It is not started at `deadline` or later."""
        if not self.member.is_leader:
            return [RequestCompleted(request_id, RequestError(StatusCode.UNAVAILABLE, NO_LEADER))]
        if len(self._pending) >= MAX_PENDING_REQUESTS:
            error = RequestError(StatusCode.RESOURCE_EXHAUSTED, TOO_MANY_REQUESTS)
            return [RequestCompleted(request_id, error)]
        self._pending.append(_PendingRequest(request_id, request, deadline))
        return self._start_round(now)

    def watch(self, watch_id: int, key: bytes, end: bytes, start_revision: int) -> Outputs:
        """Watch the changes of a range from `start_revision` on; 0 means the next revision."""
        if not self.member.is_leader:
            return [WatchNotified(watch_id, 0, (), ended=True)]
        return [self._watches.add(watch_id, key, end, start_revision, self.state.revision)]

    def cancel_watch(self, watch_id: int) -> None:
        """Remove a watch."""
        self._watches.remove(watch_id)

    def tick(self, now: float) -> Outputs:
        """Handle the passing of time."""
        return self.handle_actions(now, self.member.tick(now))

    def handle_actions(self, now: float, actions: Actions) -> Outputs:
        """Process the actions that the member returned for an event, for example `receive` or `persisted`."""
        outputs: Outputs = []
        for action in actions:
            if isinstance(action, Elected):
                outputs.append(action)
                self._begin_leading(now)
            elif isinstance(action, Deposed):
                outputs.append(action)
                outputs += self.stop_leading()
            elif isinstance(action, RoundCommitted):
                outputs += self._complete_round(now, action.number)
            else:
                outputs.append(action)
        return outputs + self._start_round(now)

    def stop_leading(self) -> Outputs:
        """Fail all requests and end all watches, because this member no longer leads or is stopping."""
        outputs: Outputs = []
        if self._round is not None:
            outputs += map(_with_unknown_outcome, self._round.batch.completed)
            self._round = None
        not_started = RequestError(StatusCode.UNAVAILABLE, LEADER_CHANGED)
        outputs += [RequestCompleted(pending.request_id, not_started) for pending in self._pending]
        self._pending.clear()
        outputs += self._watches.end_all(self.state.revision)
        self.lease_deadlines.clear()
        return outputs

    # -- rounds

    def _begin_leading(self, now: float) -> None:
        self.state = Keyspace.from_content(self.member.content)
        self._read_desired_members()
        self._watches.reset(self.state.revision)
        self.lease_deadlines.restart(now, self.state.leases)

    def _read_desired_members(self) -> None:
        record = self.state.keys.get(DESIRED_MEMBERS_KEY)
        self.member.desired_members = None if record is None else parse_member_names(record.value)

    def _start_round(self, now: float) -> Outputs:
        """Start a round if requests are pending or leases have expired, and no round is in flight."""
        if not self._may_start_round(now):
            return []
        batch = RequestBatch(now, self.state, self.lease_deadlines)
        outputs = self._fill_batch(batch)
        if batch.is_empty:
            return outputs
        actions = self.member.propose(now, batch.writes)
        self._round = _RoundInFlight(self.member.round_number, batch)
        return outputs + self.handle_actions(now, actions)

    def _may_start_round(self, now: float) -> bool:
        member = self.member
        if not member.is_leader or member.has_round_in_flight or self._round is not None:
            return False
        if not self._pending and self.lease_deadlines.earliest > now:
            return False
        # A membership change goes first: the next tick starts its round.
        return not member.has_membership_change

    def _fill_batch(self, batch: RequestBatch) -> Outputs:
        """Add expired leases and pending requests to a batch."""
        outputs: Outputs = []
        for lease in self.lease_deadlines.expired(batch.now):
            batch.expire(lease)
            outputs.append(LeaseExpired(lease))
        while self._pending and not batch.is_full:
            pending = self._pending.popleft()
            if pending.deadline <= batch.now:
                timed_out = RequestError(StatusCode.UNAVAILABLE, REQUEST_TIMED_OUT)
                outputs.append(RequestCompleted(pending.request_id, timed_out))
            else:
                batch.add(pending.request_id, pending.request)
        return outputs

    def _complete_round(self, now: float, number: int) -> Outputs:
        """Adopt the state of a committed round, and answer its requests."""
        if self._round is None or self._round.number != number:
            return []
        batch = self._round.batch
        self._round = None
        self.state = batch.state
        self._read_desired_members()
        self.lease_deadlines.update(now, batch.renewed, batch.ended, batch.state.leases)
        notifications = self._watches.publish(batch.events, self.state.revision)
        return [*notifications, *batch.completed]


def _with_unknown_outcome(completed: RequestCompleted) -> RequestCompleted:
    """Return the outcome of a request if it is unknown whether its round was committed.

    A request that had failed in the round has failed in either case.
    """
    if isinstance(completed.response, RequestError):
        return completed
    return completed._replace(response=RequestError(StatusCode.UNKNOWN, LEADER_CHANGED))


def parse_member_names(data: bytes) -> frozenset[str] | None:
    """Return the names in a value of `DESIRED_MEMBERS_KEY`; None if it is invalid, and has no effect."""
    names = frozenset(data.decode(errors="replace").split())
    return names if 0 < len(names) <= MAX_MEMBERS else None
