"""How fast backends are: learned from each one's responses, and from its kind's.  Part of the decisions.

A kind stands in for a backend's own responses, of which one proxy sees few, and gives way by their number.
"""

import math
from dataclasses import dataclass

MIN_FACTOR, MAX_FACTOR = 0.1, 20.0  # clamp of a learned speed factor (ours)
FALL_STEP, RISE_STEP = 0.25, 0.08  # smoothing towards lower and higher samples: a low percentile (ours)
KIND_STEPS = 0.25  # of these for a kind, which is seen more often than any one backend of it (ours)
KIND_RESPONSES, MAX_RESPONSES = 8.0, 64.0  # a backend's that weigh as much as its kind; that count (ours)


def _followed(factor: float, ratio: float, steps: float) -> float:
    """A low percentile of the ratios: quick down, slow up."""
    step = steps * (FALL_STEP if ratio < factor else RISE_STEP)
    return min(MAX_FACTOR, max(MIN_FACTOR, factor * math.pow(ratio / factor, step)))


@dataclass(slots=True)
class BackendSpeed:
    """One backend's: served time over booked cost of a warm one."""

    own: float = 1.0
    responses: float = 0.0


class LearnedSpeeds:
    """Kinds seen so far.  Bounded by the kinds that the list names; `keep` drops the others."""

    def __init__(self) -> None:
        self.kinds: dict[str, float] = {}

    def of_kind(self, kind: str) -> float:
        """The factor of a kind; 1 if it was never seen."""
        return self.kinds.get(kind, 1.0)

    def factor(self, kind: str, speed: BackendSpeed) -> float:
        """The factor of one backend, by itself and by its kind."""
        weight = speed.responses / (speed.responses + KIND_RESPONSES)
        return math.pow(self.of_kind(kind), 1.0 - weight) * math.pow(speed.own, weight)

    def learn(self, kind: str, speed: BackendSpeed, ratio: float, warm: bool = True) -> None:
        """Take a response; cold, it is no guide to the kind, since how cold it is is no more than a guess."""
        if warm:
            self.kinds[kind] = _followed(self.of_kind(kind), ratio, KIND_STEPS)
        if not speed.responses:
            speed.own = self.of_kind(kind)
        speed.own = _followed(speed.own, ratio, 1.0)
        speed.responses = min(MAX_RESPONSES, speed.responses + 1.0)

    def keep(self, kinds: set[str]) -> None:
        """Drop all other kinds."""
        for kind in [kind for kind in self.kinds if kind not in kinds]:
            del self.kinds[kind]
