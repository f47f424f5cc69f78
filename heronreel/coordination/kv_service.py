"""A member's service to clients: requests in rounds, lease expiry, watches.  Pure, as the consensus core is.

Requests that arrive while a round is in flight wait for the next one.  A round's requests are applied one
after the other, and are answered once a quorum has accepted the round.  Reads and renewals take part in a
round as writes do, so whatever is answered was so while this member led.  Only the leader counts the time
of leases: from after it granted or renewed them, and whoever becomes the leader counts all of them anew.
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

DESIRED_MEMBERS_KEY = b"group/members"  # the names of the desired members; without it: the present ones
MAX_MEMBERS = 7
MAX_PENDING_REQUESTS = 20_000  # that wait for a round

NO_LEADER = "etcdserver: no leader"
TOO_MANY_REQUESTS = "etcdserver: too many requests"
LEADER_CHANGED = "etcdserver: leader changed"
REQUEST_TIMED_OUT = "etcdserver: request timed out"


class LeaseExpired(NamedTuple):
    """The group ends a lease that was not renewed; for the log."""

    lease: int


Output = Action | RequestCompleted | WatchNotified | LeaseExpired
Outputs = list[Output]


class _PendingRequest(NamedTuple):
    request_id: int
    request: Request
    deadline: float  # after it, nobody waits for the response


class _RoundInFlight(NamedTuple):
    number: int
    batch: RequestBatch


class KeyValueService:
    """Requests, leases and watches of one member."""

    def __init__(self, member: ConsensusMember, *, max_clock_drift: float = 0.01) -> None:
        """`max_clock_drift`: how much faster or slower than true time a clock may run, as a fraction."""
        self.member = member
        self.state = Keyspace.from_content(member.content)  # committed; valid while this member leads
        self.lease_deadlines = LeaseDeadlines(max_clock_drift)
        self._pending: deque[_PendingRequest] = deque()
        self._round: _RoundInFlight | None = None
        self._watches = WatchHub()

    def fork(self) -> KeyValueService:
        """A copy that goes on independently."""
        forked = copy.copy(self)
        forked.member = self.member.fork()
        forked.lease_deadlines = self.lease_deadlines.fork()
        forked._pending = self._pending.copy()
        forked._watches = self._watches.fork()
        return forked

    def next_wakeup(self) -> float:
        """When `tick` has something to do, unless another event comes first."""
        wakeup = self.member.next_wakeup()
        if self.member.is_leader and self._round is None:
            wakeup = min(wakeup, self.lease_deadlines.earliest)
        return wakeup

    # -- events

    def submit(self, now: float, request_id: int, request: Request, deadline: float) -> Outputs:
        """A client's request.  It is not begun any more from `deadline` on."""
        if not self.member.is_leader:
            return [RequestCompleted(request_id, RequestError(StatusCode.UNAVAILABLE, NO_LEADER))]
        if len(self._pending) >= MAX_PENDING_REQUESTS:
            error = RequestError(StatusCode.RESOURCE_EXHAUSTED, TOO_MANY_REQUESTS)
            return [RequestCompleted(request_id, error)]
        self._pending.append(_PendingRequest(request_id, request, deadline))
        return self._start_round(now)

    def watch(self, watch_id: int, key: bytes, end: bytes, start_revision: int) -> Outputs:
        """Notify of a range's changes from the revision `start_revision`, or from now on with 0."""
        if not self.member.is_leader:
            return [WatchNotified(watch_id, 0, (), ended=True)]
        return [self._watches.add(watch_id, key, end, start_revision, self.state.revision)]

    def cancel_watch(self, watch_id: int) -> None:
        """Notify a watch no more."""
        self._watches.remove(watch_id)

    def tick(self, now: float) -> Outputs:
        """Time has passed."""
        return self.handle_actions(now, self.member.tick(now))

    def handle_actions(self, now: float, actions: Actions) -> Outputs:
        """What the member did on an event of its own: `receive` or `persisted`."""
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
        """Fail all requests and end all watches: this member no longer leads, or stops."""
        outputs: Outputs = []
        if self._round is not None:
            outputs += map(_with_unknown_outcome, self._round.batch.completed)
            self._round = None
        not_begun = RequestError(StatusCode.UNAVAILABLE, LEADER_CHANGED)
        outputs += [RequestCompleted(pending.request_id, not_begun) for pending in self._pending]
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
        """Begin a round, if there is something for one to do and none is in flight."""
        if not self._may_start_round(now):
            return []
        batch = RequestBatch(now, self.state, self.lease_deadlines)
        outputs = self._fill(batch)
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
        return not member.has_membership_change  # such a round goes first: a tick begins it

    def _fill(self, batch: RequestBatch) -> Outputs:
        """Put expired leases and pending requests into a batch."""
        outputs: Outputs = []
        for lease in self.lease_deadlines.expired(batch.now):
            batch.expire(lease)
            outputs.append(LeaseExpired(lease))
        while self._pending and not batch.is_full:
            pending = self._pending.popleft()
            if pending.deadline <= batch.now:
                late = RequestError(StatusCode.UNAVAILABLE, REQUEST_TIMED_OUT)
                outputs.append(RequestCompleted(pending.request_id, late))
            else:
                batch.add(pending.request_id, pending.request)
        return outputs

    def _complete_round(self, now: float, number: int) -> Outputs:
        """A round is committed: take over its state, and answer its requests."""
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
    """The outcome of a request whose round may have been committed or not; one that failed has failed."""
    if isinstance(completed.response, RequestError):
        return completed
    return completed._replace(response=RequestError(StatusCode.UNKNOWN, LEADER_CHANGED))


def parse_member_names(data: bytes) -> frozenset[str] | None:
    """The names in a value of `DESIRED_MEMBERS_KEY`; None for an invalid one, which changes nothing."""
    names = frozenset(data.decode(errors="replace").split())
    return names if 0 < len(names) <= MAX_MEMBERS else None
