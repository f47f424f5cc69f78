"""The requests of one round, each applied to the state after the previous one."""

from __future__ import annotations

from typing import NamedTuple

from heronreel.coordination.errors import RequestError
from heronreel.coordination.keyspace import Keyspace, Writes
from heronreel.coordination.lease_deadlines import LeaseDeadlines
from heronreel.coordination.model import (
    LeaseGrant,
    LeaseKeepAlive,
    LeaseList,
    LeaseListResponse,
    LeaseResponse,
    LeaseRevoke,
    LeaseTimeToLive,
    Request,
    Response,
    ResponseOrError,
    StateRequest,
)
from heronreel.coordination.watches import Events

MAX_BATCH_REQUESTS = 2_000
MAX_BATCH_BYTES = 1 << 20  # Limits the size of the writes; the last request may exceed the limit.


class RequestCompleted(NamedTuple):
    """The response to a request, or the error that it failed with."""

    request_id: int
    response: ResponseOrError


class RequestBatch:
    """The requests of one round, and their effects, which apply once the round is committed."""

    def __init__(self, now: float, state: Keyspace, deadlines: LeaseDeadlines) -> None:
        """Create an empty batch on the committed state."""
        self.now = now
        self.state = state  # the state after the requests added so far
        self.deadlines = deadlines
        self.completed: list[RequestCompleted] = []
        self.events: list[Events] = []  # one element for each revision
        self.renewed: list[tuple[int, int]] = []  # granted or renewed leases: id and seconds to live
        self.ended: list[int] = []  # ids of revoked or expired leases
        self._writes: dict[bytes, bytes | None] = {}
        self._bytes = 0

    @property
    def is_empty(self) -> bool:
        """Whether no request was added and no lease expired, so that no round is needed."""
        return not self.completed and not self.ended

    @property
    def is_full(self) -> bool:
        """Whether the next request has to wait for the next round."""
        return len(self.completed) >= MAX_BATCH_REQUESTS or self._bytes >= MAX_BATCH_BYTES

    @property
    def writes(self) -> Writes:
        """The writes of the round to the map."""
        return tuple(self._writes.items())

    def expire(self, lease: int) -> None:
        """End a lease whose deadline has passed; its writes do not count towards the batch's size."""
        self._apply(LeaseRevoke(lease))
        self.ended.append(lease)

    def add(self, request_id: int, request: Request) -> None:
        """Execute a request on the state of the batch."""
        response: ResponseOrError
        try:
            response = self._execute(request)
        except RequestError as error:
            response = error
        self.completed.append(RequestCompleted(request_id, response))

    def _execute(self, request: Request) -> Response:
        if isinstance(request, LeaseList):
            return LeaseListResponse(self.state.revision, tuple(sorted(self.state.leases)))
        if isinstance(request, LeaseKeepAlive):
            return self._keep_alive(request)
        if isinstance(request, LeaseTimeToLive):
            return self._time_to_live(request)
        writes, response = self._apply(request)
        self._bytes += sum(len(key) + len(data or b"") for key, data in writes)
        if isinstance(request, LeaseGrant) and isinstance(response, LeaseResponse):
            self.renewed.append((response.id, response.ttl))
        elif isinstance(request, LeaseRevoke):
            self.ended.append(request.id)
        return response

    def _apply(self, request: StateRequest) -> tuple[Writes, Response]:
        applied = self.state.apply(request)
        self.state = applied.state
        self._writes.update(applied.writes)
        if applied.events:
            self.events.append(applied.events)
        return applied.writes, applied.response

    def _keep_alive(self, request: LeaseKeepAlive) -> LeaseResponse:
        ttl = self.state.leases.get(request.id)
        if ttl is None:
            return LeaseResponse(self.state.revision, request.id, 0, 0)
        self.renewed.append((request.id, ttl))
        return LeaseResponse(self.state.revision, request.id, ttl, ttl)

    def _time_to_live(self, request: LeaseTimeToLive) -> LeaseResponse:
        ttl = self.state.leases.get(request.id)
        if ttl is None:
            return LeaseResponse(self.state.revision, request.id, -1)
        remaining = min(self.deadlines.remaining(request.id, self.now, ttl), ttl)
        keys = tuple(sorted(self.state.keys_of_lease(request.id))) if request.keys else ()
        return LeaseResponse(self.state.revision, request.id, remaining, ttl, keys)
