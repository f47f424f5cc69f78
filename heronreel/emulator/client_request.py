"""A client's request over all its attempts, and its final result."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class RequestResult(StrEnum):
    """How a request ended.  The values are part of the result of a rehearsal."""

    SERVED = "served"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    LOST = "lost"
    LEFT = "left"


@dataclass(slots=True)
class ClientRequest:
    """A request as its client and the scoring see it.  Times and work are ms."""

    ident: int
    due_at: float
    class_index: int
    tenant: str
    weight: float
    work: float
    within_quota: bool
    key: int = 0
    zone: str = ""
    attempts: int = 0  # attempts by the client, including retries
    result: RequestResult | None = None  # None until the request has ended
