"""Speeds of backends, learned from the responses of each backend and of its hardware kind.

One proxy sees few responses of any single backend.  The speed of its kind therefore stands in for the
backend's own speed at first, and counts less the more responses the backend has given.
"""

import math
from dataclasses import dataclass

# The limits of a learned cost factor.
MIN_FACTOR = 0.1
MAX_FACTOR = 20.0
# The smoothing steps towards lower and higher samples; their ratio makes the factor follow a low percentile.
FALL_STEP = 0.25
RISE_STEP = 0.08
# The part of these steps that applies to a kind, which has more responses than any single backend of it.
KIND_STEP_RATIO = 0.25
# After this many responses, a backend's own speed weighs as much as that of its kind.
KIND_WEIGHT_RESPONSES = 8.0
# The number of a backend's responses that count at most.
MAX_RESPONSES = 64.0


def _smoothed(factor: float, ratio: float, step_ratio: float) -> float:
    """Move a factor towards a sample: quickly downwards and slowly upwards."""
    step = step_ratio * (FALL_STEP if ratio < factor else RISE_STEP)
    return min(MAX_FACTOR, max(MIN_FACTOR, factor * math.pow(ratio / factor, step)))


@dataclass(slots=True)
class BackendSpeed:
    """The speed of one backend: its served time divided by the booked cost on a warm backend."""

    own: float = 1.0
    responses: float = 0.0


class LearnedSpeeds:
    """The cost factors of all kinds that are on the list; `keep` removes the others."""

    def __init__(self) -> None:
        self.kinds: dict[str, float] = {}

    def of_kind(self, kind: str) -> float:
        """Return the cost factor of a kind; 1 if no response of it was seen."""
        return self.kinds.get(kind, 1.0)

    def factor(self, kind: str, speed: BackendSpeed) -> float:
        """Return the cost factor of one backend, combined from its own speed and that of its kind."""
        weight = speed.responses / (speed.responses + KIND_WEIGHT_RESPONSES)
        return math.pow(self.of_kind(kind), 1.0 - weight) * math.pow(speed.own, weight)

    def learn(self, kind: str, speed: BackendSpeed, ratio: float, warm: bool = True) -> None:
        """Learn from a response, where `ratio` is the served time divided by the booked cost.

        The response of a cold backend does not change its kind, since its remaining capacity is only a guess.
        """
        if warm:
            self.kinds[kind] = _smoothed(self.of_kind(kind), ratio, KIND_STEP_RATIO)
        if not speed.responses:
            speed.own = self.of_kind(kind)
        speed.own = _smoothed(speed.own, ratio, 1.0)
        speed.responses = min(MAX_RESPONSES, speed.responses + 1.0)

    def keep(self, kinds: set[str]) -> None:
        """Remove all kinds but these."""
        for kind in [kind for kind in self.kinds if kind not in kinds]:
            del self.kinds[kind]
