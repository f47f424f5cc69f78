"""Records of a run by clients and backends; times are in seconds on the monotonic clock."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from heronreel.soak.plan import ClientKind


class End(Enum):
    """How a request ended that got no complete response."""

    EOF = "end of the connection"
    RESET = "reset"
    LEFT = "the client left"
    WAITED = "the client waited in vain"


@dataclass(slots=True)
class RequestRecord:
    """One request as recorded by its client."""

    request_id: str
    class_name: str
    kind: ClientKind
    proxy: str
    deadline_s: float
    connection: int
    place: int  # position on its connection
    begun_at: float
    turn_s: float = 0.0  # longest deadline in its pipelined batch: earlier responses may delay this one
    sent_at: float | None = None  # when its last byte was sent; None if it never was
    status: int | None = None
    # Whether its response, or an earlier one on the connection, announced the close of the connection.
    announced_close: bool = False
    end: End | None = None
    ended_at: float | None = None


@dataclass(slots=True)
class AttemptRecord:
    """One attempt as recorded by its backend."""

    request_id: str
    backend: str
    began_at: float  # when its first byte arrived
    deadline_ms: int | None  # deadline that the proxy sent
    ended_at: float | None = None
    complete: bool = False  # its last byte arrived, so it ran unless `not_run`
    not_run: bool = False  # it was rejected without being run


class ProcessorWait(NamedTuple):
    """The total time that a process had waited for a processor since its start, sampled at time `at`."""

    at: float
    total_s: float


@dataclass(slots=True)
class LifeRecord:
    """One proxy process from its start to its end."""

    proxy: str
    started_at: float
    signalled_at: float
    ended_at: float = 0.0
    exit_code: int | None = None
    killed: bool = False
    held_s: float = 0.0  # time that it was stopped by SIGSTOP
    starved_s: float = 0.0  # time that it waited for a processor during its shutdown
    log: list[str] = field(default_factory=list)
    waits: list[ProcessorWait] = field(default_factory=list)  # samples while it served, in order of time

    def starved_between_s(self, begins_at: float, ends_at: float) -> float:
        """Return how long it waited for a processor between two times, according to the samples."""
        before = [wait.total_s for wait in self.waits if wait.at <= begins_at]
        until = [wait.total_s for wait in self.waits if wait.at <= ends_at]
        return (until[-1] if until else 0.0) - (before[-1] if before else 0.0)


@dataclass(slots=True)
class RunRecord:
    """All records of a run."""

    requests: dict[str, RequestRecord] = field(default_factory=dict)
    attempts: list[AttemptRecord] = field(default_factory=list)
    lives: list[LifeRecord] = field(default_factory=list)
    harness_lag_s: float = 0.0  # largest delay of the event loop of the soak itself


def now() -> float:
    """Return the current time of the clock that all records use."""
    return time.monotonic()
