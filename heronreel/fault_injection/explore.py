"""Every order of events of a small world, breadth first, so that what is found first is shortest."""

from __future__ import annotations

import gc
import random
from collections.abc import Hashable, Iterable
from typing import Any, NamedTuple, Protocol, TypeVar, cast


class Broken(Exception):
    """A promise that a step breaks."""


class World(Protocol):
    """One state.  Steps make new ones and leave this one as it is."""

    def key(self) -> Hashable:
        """Equal for states that have the same future."""
        ...

    def steps(self) -> Iterable[tuple[str, World]]:
        """All that can happen next, with what it leads to.  Raises Broken, with the step in words."""
        ...


W = TypeVar("W", bound=World)


class Found(NamedTuple):
    """What exploring came to: states seen, steps taken, and the shortest way to a broken promise."""

    states: int
    steps: int
    whole: bool  # all of them were seen, and not only the first so many
    broken: str | None = None
    way: tuple[str, ...] = ()

    def __str__(self) -> str:
        if self.broken is None:
            return f"{self.states:,} states, {self.steps:,} steps{'' if self.whole else ', cut off'}: kept"
        lines = [f"broken after {len(self.way)} steps: {self.broken}"]
        lines += [f"  {number:2} {words}" for number, words in enumerate(self.way, 1)]
        return "\n".join(lines)


def after(start: W, *words: str) -> W:
    """The state behind the given steps, each named by how its words begin: where a search may start."""
    world: Any = start
    for word in words:
        names = []
        for name, reached in world.steps():
            if name.startswith(word):
                world = reached
                break
            names.append(name)
        else:
            raise ValueError(f"no step {word!r} among {names}")
    return cast(W, world)


def walk(world: World, rng: random.Random, steps: int) -> list[str]:
    """One random way through a world too large for every order; empty unless it comes to a broken promise."""
    way: list[str] = []
    try:
        for _ in range(steps):
            choices = list(world.steps())
            if not choices:
                break
            words, world = rng.choice(choices)
            way.append(words)
    except Broken as broken:
        return [*way, broken.args[1], broken.args[0]]
    return []


def explore(start: World, most: int) -> Found:
    """Look at up to `most` states.  States are told apart by 64-bit hashes of their keys: of a million, two
    different ones are taken for one with a chance of 3 in 100 million.
    """
    gc.disable()  # millions of objects, none in a circle
    try:
        return _explore(start, most)
    finally:
        gc.enable()


def _explore(start: World, most: int) -> Found:
    first = hash(start.key())
    came: dict[int, tuple[int, str] | None] = {first: None}
    edge: list[tuple[int, World]] = [(first, start)]
    steps = 0
    while edge:
        fresh: list[tuple[int, World]] = []
        for mark, world in edge:
            try:
                for words, reached in world.steps():
                    steps += 1
                    there = hash(reached.key())
                    if there in came:
                        continue
                    came[there] = mark, words
                    fresh.append((there, reached))
            except Broken as broken:
                return Found(len(came), steps, False, broken.args[0], (*_way(came, mark), broken.args[1]))
            if len(came) >= most:
                return Found(len(came), steps, False)
        edge = fresh
    return Found(len(came), steps, True)


def _way(came: dict[int, tuple[int, str] | None], mark: int) -> tuple[str, ...]:
    words: list[str] = []
    while (before := came[mark]) is not None:
        mark = before[0]
        words.append(before[1])
    return tuple(reversed(words))
