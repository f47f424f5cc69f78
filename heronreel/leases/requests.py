"""Requests to the coordination service, as actions that modules without I/O return to their callers."""

from __future__ import annotations

from typing import NamedTuple

from heronreel.coordination.model import Request


class SendRequest(NamedTuple):
    """Send a request, and report its response, or an error if there is none until the deadline."""

    request_id: int
    request: Request
    deadline: float


class InFlightRequest(NamedTuple):
    """A request that has no response yet."""

    request_id: int
    sent_at: float


class SingleRequestSender:
    """Base class with at most one request in flight, which ignores responses after their timeout."""

    def __init__(self, response_timeout_s: float) -> None:
        """A request counts as failed if there is no response within `response_timeout_s` seconds."""
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
