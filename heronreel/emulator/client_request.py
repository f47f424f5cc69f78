"""One request of a client, over all its attempts."""

from __future__ import annotations

from dataclasses import dataclass


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
    attempts: int = 0  # of the client: the first and its retries
    result: str = ""  # empty while it is open
