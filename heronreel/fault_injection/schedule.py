"""Seeded schedules of faults, and shrinking of a schedule that fails."""

from __future__ import annotations

import enum
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

MAX_SHRINK_ATTEMPTS = 40


class FaultKind(enum.StrEnum):
    """The effect of a fault on its target."""

    KILL = "kill"
    PAUSE = "pause"
    PARTITION = "partition"  # separates the member from all others
    ONE_WAY_PARTITION = "one-way-partition"  # drops the messages to one other member
    DELAY = "delay"  # delays the messages to one other member
    RESET = "reset"  # resets the connections to all other members
    LOSE_DISK = "lose-disk"
    LOSE_RESPONSES = "lose-responses"  # drops the responses to clients
    DUPLICATE_REQUESTS = "duplicate-requests"  # duplicates requests of clients
    TRICKLE = "trickle"  # passes on clients' requests a few bytes at a time
    RESET_CLIENTS = "reset-clients"
    PAUSE_WORKER = "pause-worker"
    KILL_WORKER = "kill-worker"


MEMBER_FAULTS = (
    FaultKind.KILL,
    FaultKind.PAUSE,
    FaultKind.PARTITION,
    FaultKind.ONE_WAY_PARTITION,
    FaultKind.DELAY,
    FaultKind.RESET,
    FaultKind.LOSE_DISK,
)
SINGLE_MEMBER_FAULTS = (FaultKind.KILL, FaultKind.PAUSE)  # faults of the member of a group of one
LINK_FAULTS = (FaultKind.ONE_WAY_PARTITION, FaultKind.DELAY)  # faults of the link to one peer
CLIENT_FAULTS = (
    FaultKind.LOSE_RESPONSES,
    FaultKind.DUPLICATE_REQUESTS,
    FaultKind.TRICKLE,
    FaultKind.RESET_CLIENTS,
)
WORKER_FAULTS = (FaultKind.PAUSE_WORKER, FaultKind.KILL_WORKER)
HOLDER = "holder"  # target: the worker that holds the lease when the fault begins


class Fault(NamedTuple):
    """One fault; its start is in seconds after the start of the schedule."""

    start_s: float
    duration_s: float
    kind: FaultKind
    target: str
    peer: str = ""  # the other member, for LINK_FAULTS

    def __str__(self) -> str:
        targets = f"{self.target} and {self.peer}" if self.peer else self.target
        return f"{self.start_s:5.2f} s for {self.duration_s:.2f} s: {self.kind} {targets}"


def random_schedule(seed: int, members: Sequence[str], workers: Sequence[str], seconds: float) -> list[Fault]:
    """Return a schedule that leaves a majority of the members without faults at any time.

    Only one member has a fault at a time; client connections and workers may have faults concurrently.
    """
    rng = random.Random(f"faults {seed}")
    faults = _member_faults(rng, members, seconds)
    faults += _client_faults(rng, members, seconds)
    faults += _worker_faults(rng, workers, seconds)
    return sorted(faults)


def _member_faults(rng: random.Random, members: Sequence[str], seconds: float) -> list[Fault]:
    faults: list[Fault] = []
    start = rng.uniform(0.2, 0.8)
    while start < seconds - 1.0:
        target, peer = rng.sample(list(members), 2) if len(members) > 1 else (members[0], "")
        kind = rng.choice(MEMBER_FAULTS if len(members) > 1 else SINGLE_MEMBER_FAULTS)
        duration = rng.uniform(0.3, 2.5)
        faults.append(Fault(start, duration, kind, target, peer if kind in LINK_FAULTS else ""))
        start += duration + rng.uniform(0.8, 1.6)  # a member recovers before the next one has a fault
    return faults


def _client_faults(rng: random.Random, members: Sequence[str], seconds: float) -> list[Fault]:
    faults: list[Fault] = []
    for _ in range(rng.randrange(2, 5)):
        start, duration = rng.uniform(0.2, seconds - 1.0), rng.uniform(0.2, 1.5)
        faults.append(Fault(start, duration, rng.choice(CLIENT_FAULTS), rng.choice(list(members))))
    return faults


def _worker_faults(rng: random.Random, workers: Sequence[str], seconds: float) -> list[Fault]:
    faults: list[Fault] = []
    for _ in range(rng.randrange(2, 5)):
        start, duration = rng.uniform(0.5, seconds - 1.0), rng.uniform(0.5, 4.0)
        target = HOLDER if rng.random() < 0.7 else rng.choice(list(workers))
        faults.append(Fault(start, duration, rng.choice(WORKER_FAULTS), target))
    return faults


async def shrink(
    faults: Sequence[Fault],
    fails: Callable[[Sequence[Fault]], Awaitable[bool]],
    max_attempts: int = MAX_SHRINK_ATTEMPTS,
) -> list[Fault]:
    """Return a smaller schedule that still fails.

    The search leaves out halves, then quarters, and so on down to single faults.

    Args:
        faults: A schedule that fails.
        fails: Returns whether a schedule fails.
        max_attempts: The maximum number of calls of `fails`.
    """
    remaining = list(faults)
    size = max(1, len(remaining) // 2)
    attempts = 0
    while attempts < max_attempts and remaining:
        for first in range(0, len(remaining), size):
            candidate = remaining[:first] + remaining[first + size :]
            attempts += 1
            if await fails(candidate):
                remaining = candidate
                break
            if attempts >= max_attempts:
                return remaining
        else:
            if size == 1:
                return remaining
            size //= 2
    return remaining
