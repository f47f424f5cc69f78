"""Named streams of random numbers from one seed.

Each thing that is drawn has a stream of its own, so that two policies meet the very same arrivals, work and
troubles, however differently they act: their results can be compared pair by pair.  Streams are drawn in
blocks, since a draw by itself costs 1.17 us and one from a block 0.33.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TypeVar

import numpy as np
import xxhash

BLOCK = 1024
T = TypeVar("T")


class Stream:
    """Numbers of one stream, in order.  Mixing kinds is allowed: each kind has blocks of its own."""

    __slots__ = ("_generator", "_normal", "_standard", "_uniform")

    def __init__(self, seed: int, name: str) -> None:
        words = [seed & 0xFFFFFFFF, seed >> 32, xxhash.xxh32_intdigest(name.encode()), len(name)]
        self._generator = np.random.Generator(np.random.PCG64DXSM(np.random.SeedSequence(words)))
        self._uniform: list[float] = []
        self._standard: list[float] = []
        self._normal: list[float] = []

    def uniform(self, low: float = 0.0, high: float = 1.0) -> float:
        if not self._uniform:
            self._uniform = self._generator.random(BLOCK).tolist()
        return low + (high - low) * self._uniform.pop()

    def exponential(self, mean: float) -> float:
        if not self._standard:
            self._standard = self._generator.standard_exponential(BLOCK).tolist()
        return mean * self._standard.pop()

    def normal(self) -> float:
        if not self._normal:
            self._normal = self._generator.standard_normal(BLOCK).tolist()
        return self._normal.pop()

    def chance(self, share: float) -> bool:
        return share > 0.0 and self.uniform() < share

    def shuffled(self, things: Sequence[T]) -> list[T]:
        return [things[place] for place in self._generator.permutation(len(things)).tolist()]

    def sample(self, things: Sequence[T], count: int) -> list[T]:
        """`count` of them without repeats, in the order they stand."""
        if count >= len(things):
            return list(things)
        places = sorted(self._generator.permutation(len(things))[:count].tolist())
        return [things[place] for place in places]

    def seed(self) -> int:
        return int(self._generator.integers(0, 2**63))


class Draws:
    """All streams of one rehearsal."""

    __slots__ = ("seed",)

    def __init__(self, seed: int) -> None:
        if not 0 <= seed < 2**63:
            raise ValueError(f"seed: {seed} is not within 0 and 2^63")
        self.seed = seed

    def stream(self, name: str) -> Stream:
        return Stream(self.seed, name)


def fixed(seed: int, *numbers: int) -> float:
    """A number from 0 to 1 by these numbers alone, for what must not depend on the order of draws."""
    return (xxhash.xxh3_64_intdigest(repr(numbers).encode(), seed) + 0.5) / 2.0**64


def work_of(dist: str, mean: float, cv: float) -> Callable[[Stream], float]:
    """A drawer of the work of one request, ms of a core at speed 1.  `cv`: deviation over the mean."""
    if dist == "fixed" or cv == 0.0:
        return lambda stream: mean
    if dist == "exp":
        return lambda stream: stream.exponential(mean)
    if dist == "lognormal":
        variance = float(np.log1p(cv * cv))
        low, deviation = float(np.log(mean)) - variance / 2.0, variance**0.5
        return lambda stream: float(np.exp(low + deviation * stream.normal()))
    raise ValueError(f"dist: unknown distribution {dist!r}")
