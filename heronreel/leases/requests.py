"""Requests to the coordination service, as actions of cores that do no I/O."""

from __future__ import annotations

from typing import NamedTuple

from heronreel.coordination.model import Request


class SendRequest(NamedTuple):
    """Send a request, and report its response, or an error once the deadline has passed."""

    request_id: int
    request: Request
    deadline: float


class InFlightRequest(NamedTuple):
    """A request that has no response yet."""

    request_id: int
    sent_at: float


class SingleRequestSender:
    """A core that has at most one request in flight, and ignores responses that come after its timeout."""

    def __init__(self, response_timeout_s: float) -> None:
        """`response_timeout_s`: seconds after which a request counts as failed."""
        self.response_timeout_s = response_timeout_s
        self.in_flight: InFlightRequest | None = None
        self.last_request_id = 0

    def _send(self, now: float, request: Request) -> SendRequest:
        self.last_request_id += 1
        self.in_flight = InFlightRequest(self.last_request_id, now)
        return SendRequest(self.last_request_id, request, now + self.response_timeout_s)

    def _timed_out(self, now: float) -> bool:
        return self.in_flight is not None and now >= self.in_flight.sent_at + self.response_timeout_s

    def _is_in_flight(self, request_id: int) -> bool:
        return self.in_flight is not None and self.in_flight.request_id == request_id
