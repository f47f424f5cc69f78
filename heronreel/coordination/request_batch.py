"""The requests of one round: each is applied to the state that the one before it left."""

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
MAX_BATCH_BYTES = 1 << 20  # of its writes; the last request may exceed it


class RequestCompleted(NamedTuple):
    """The outcome of a request."""

    request_id: int
    response: ResponseOrError


class RequestBatch:
    """The requests of one round, and what they come to once it is committed."""

    def __init__(self, now: float, state: Keyspace, deadlines: LeaseDeadlines) -> None:
        """Starts empty, on the committed state."""
        self.now = now
        self.state = state  # after the batch
        self.deadlines = deadlines
        self.completed: list[RequestCompleted] = []
        self.events: list[Events] = []  # one element a revision
        self.renewed: list[tuple[int, int]] = []  # granted or renewed leases, with their seconds to live
        self.ended: list[int] = []  # revoked or expired leases
        self._writes: dict[bytes, bytes | None] = {}
        self._bytes = 0

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing for a round to do."""
        return not self.completed and not self.ended

    @property
    def is_full(self) -> bool:
        """Whether the next request has to wait for the next round."""
        return len(self.completed) >= MAX_BATCH_REQUESTS or self._bytes >= MAX_BATCH_BYTES

    @property
    def writes(self) -> Writes:
        """What the round writes to the map."""
        return tuple(self._writes.items())

    def expire(self, lease: int) -> None:
        """End a lease whose deadline has passed; its writes do not count towards the batch's size."""
        self._apply(LeaseRevoke(lease))
        self.ended.append(lease)

    def add(self, request_id: int, request: Request) -> None:
        """Carry out a request on the batch's state."""
        response: ResponseOrError
        try:
            response = self._carry_out(request)
        except RequestError as error:
            response = error
        self.completed.append(RequestCompleted(request_id, response))

    def _carry_out(self, request: Request) -> Response:
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
