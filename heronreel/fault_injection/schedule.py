"""Seeded faults between processes, and the fewest of them that still fail."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

MEMBER_KINDS = ("kill", "stop", "cut", "one-way", "slow", "reset", "lose-disk")
CLIENT_KINDS = ("lost-answers", "twice", "trickle", "reset-clients")
WORKER_KINDS = ("stop-worker", "kill-worker")
HOLDER = "holder"  # whoever holds the task when the fault begins


class Fault(NamedTuple):
    """From `at` for `seconds`, both in seconds since the schedule began."""

    at: float
    seconds: float
    kind: str
    who: str
    other: str = ""

    def __str__(self) -> str:
        whom = f"{self.who} and {self.other}" if self.other else self.who
        return f"{self.at:5.2f} s for {self.seconds:.2f} s: {self.kind} {whom}"


def drawn(seed: int, members: Sequence[str], workers: Sequence[str], seconds: float) -> list[Fault]:
    """Faults that leave a majority of the members alone at any time: one member at a time is harmed, and
    ways to clients and workers may be harmed beside it.
    """
    rng = random.Random(f"faults {seed}")
    faults: list[Fault] = []
    at = rng.uniform(0.2, 0.8)
    while at < seconds - 1.0:
        who, other = rng.sample(list(members), 2) if len(members) > 1 else (members[0], "")
        kind = rng.choice(MEMBER_KINDS if len(members) > 1 else ("kill", "stop"))
        length = rng.uniform(0.3, 2.5)
        faults.append(Fault(at, length, kind, who, other if kind in ("one-way", "slow") else ""))
        at += length + rng.uniform(0.8, 1.6)  # whoever was harmed is back before the next is
    for _ in range(rng.randrange(2, 5)):
        at, length = rng.uniform(0.2, seconds - 1.0), rng.uniform(0.2, 1.5)
        faults.append(Fault(at, length, rng.choice(CLIENT_KINDS), rng.choice(list(members))))
    for _ in range(rng.randrange(2, 5)):
        at, length = rng.uniform(0.5, seconds - 1.0), rng.uniform(0.5, 4.0)
        who = HOLDER if rng.random() < 0.7 else rng.choice(list(workers))
        faults.append(Fault(at, length, rng.choice(WORKER_KINDS), who))
    return sorted(faults)


async def shortened(
    faults: Sequence[Fault], fails: Callable[[Sequence[Fault]], Awaitable[bool]], tries: int = 40
) -> list[Fault]:
    """Fewest faults that still fail, by leaving out halves, then quarters, and so on, then single ones."""
    left = list(faults)
    size = max(1, len(left) // 2)
    while tries > 0 and left:
        for first in range(0, len(left), size):
            fewer = left[:first] + left[first + size :]
            tries -= 1
            if await fails(fewer):
                left = fewer
                break
            if tries <= 0:
                return left
        else:
            if size == 1:
                return left
            size //= 2
    return left
