"""How fast backends are: learned from each one's answers, and from its kind's.  Part of the decisions.

In a large fleet one proxy sees little of any backend, and of one that has just started nothing at all,
while new ones come by the dozen.  So what it has seen of a kind stands in for a backend's own answers until
there are some, and gives way to them by their number.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

FACTOR_LEAST, FACTOR_MOST = 0.1, 20.0  # clamp of a learned speed factor (ours)
FALL_STEP, RISE_STEP = 0.25, 0.08  # smoothing towards lower and higher samples: a low percentile (ours)
KIND_STEPS = 0.25  # of these for a kind, which is seen more often than any one backend of it (ours)
OWN_AFTER = 8.0  # a backend's answers that weigh as much as its kind (ours)
OWN_MOST = 64.0  # answers that count at most


def _followed(factor: float, ratio: float, steps: float) -> float:
    """A low percentile of the ratios: quick down, slow up."""
    step = steps * (FALL_STEP if ratio < factor else RISE_STEP)
    return min(FACTOR_MOST, max(FACTOR_LEAST, factor * math.pow(ratio / factor, step)))


@dataclass(slots=True)
class Speed:
    """One backend's: served time over booked cost of a warm one."""

    own: float = 1.0
    seen: float = 0.0  # answers


class Speeds:
    """Kinds seen so far.  Bounded by the kinds that the list names; `keep` drops the others."""

    def __init__(self) -> None:
        self.kinds: dict[str, float] = {}

    def of_kind(self, kind: str) -> float:
        return self.kinds.get(kind, 1.0)

    def factor(self, kind: str, speed: Speed) -> float:
        weight = speed.seen / (speed.seen + OWN_AFTER)
        return math.pow(self.of_kind(kind), 1.0 - weight) * math.pow(speed.own, weight)

    def learn(self, kind: str, speed: Speed, ratio: float, warm: bool = True) -> None:
        """`warm`: else it tells of this backend only, since how cold it is is no more than a guess."""
        if warm:
            self.kinds[kind] = _followed(self.of_kind(kind), ratio, KIND_STEPS)
        if not speed.seen:
            speed.own = self.of_kind(kind)
        speed.own = _followed(speed.own, ratio, 1.0)
        speed.seen = min(OWN_MOST, speed.seen + 1.0)

    def keep(self, kinds: set[str]) -> None:
        for kind in [kind for kind in self.kinds if kind not in kinds]:
            del self.kinds[kind]
