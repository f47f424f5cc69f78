"""Exhaustive breadth-first exploration of all orders of events in a small world.

Because the search is breadth first, the first counterexample found is a shortest one.
"""

from __future__ import annotations

import gc
import random
from collections.abc import Hashable, Iterable
from typing import Any, NamedTuple, Protocol, TypeVar, cast


class ExplorationError(Exception):
    """The base of this module's errors."""


class InvariantViolationError(ExplorationError):
    """A step violates an invariant of its world."""

    def __init__(self, reason: str, step: str) -> None:
        """Take the reason of the violation, and the description of the step that causes it."""
        super().__init__(reason, step)
        self.reason = reason
        self.step = step


class UnknownStepError(ExplorationError, ValueError):
    """A world has no step with the given description."""


class World(Protocol):
    """One state of a world.  Its steps return new states and do not change this one."""

    def key(self) -> Hashable:
        """Return a key that is equal for states with the same future."""
        ...

    def steps(self) -> Iterable[tuple[str, World]]:
        """Return all possible next steps: their descriptions and the states that they lead to.

        Raises:
            InvariantViolationError: A step violates an invariant.
        """
        ...


W = TypeVar("W", bound=World)


class ExplorationResult(NamedTuple):
    """The size of an exploration, and the shortest path to a violation."""

    states: int
    steps: int
    complete: bool  # whether all states were explored within the limit
    violation: str | None = None
    path: tuple[str, ...] = ()  # descriptions of the steps to the violation

    def __str__(self) -> str:
        if self.violation is None:
            return f"{self.states:,} states, {self.steps:,} steps{'' if self.complete else ', cut off'}: kept"
        lines = [f"broken after {len(self.path)} steps: {self.violation}"]
        lines += [f"  {number:2} {description}" for number, description in enumerate(self.path, 1)]
        return "\n".join(lines)


def advance(start: W, *prefixes: str) -> W:
    """Return the state after the given steps, each identified by a prefix of its description.

    Raises:
        UnknownStepError: A state has no such step.
    """
    world: Any = start
    for prefix in prefixes:
        descriptions = []
        for description, reached in world.steps():
            if description.startswith(prefix):
                world = reached
                break
            descriptions.append(description)
        else:
            raise UnknownStepError(f"no step {prefix!r} among {descriptions}")
    return cast(W, world)


def random_walk(world: World, rng: random.Random, steps: int) -> list[str]:
    """Follow one random path through a world that is too large to explore.

    Return the path if it ends in a violation, otherwise an empty list.
    """
    path: list[str] = []
    try:
        for _ in range(steps):
            choices = list(world.steps())
            if not choices:
                break
            description, world = rng.choice(choices)
            path.append(description)
    except InvariantViolationError as violation:
        return [*path, violation.step, violation.reason]
    return []


def explore(start: World, max_states: int) -> ExplorationResult:
    """Explore up to `max_states` states.

    States are identified by 64-bit hashes of their keys: among a million states, the probability that two
    different ones are confused is 3 in 100 million.
    """
    gc.disable()  # there are millions of objects without reference cycles
    try:
        return _explore(start, max_states)
    finally:
        gc.enable()


def _explore(start: World, max_states: int) -> ExplorationResult:
    first = hash(start.key())
    came_from: dict[int, tuple[int, str] | None] = {first: None}
    frontier: list[tuple[int, World]] = [(first, start)]
    steps = 0
    while frontier:
        next_frontier: list[tuple[int, World]] = []
        for state, world in frontier:
            try:
                for description, reached in world.steps():
                    steps += 1
                    next_state = hash(reached.key())
                    if next_state in came_from:
                        continue
                    came_from[next_state] = state, description
                    next_frontier.append((next_state, reached))
            except InvariantViolationError as violation:
                path = (*_path_to(came_from, state), violation.step)
                return ExplorationResult(len(came_from), steps, False, violation.reason, path)
            if len(came_from) >= max_states:
                return ExplorationResult(len(came_from), steps, False)
        frontier = next_frontier
    return ExplorationResult(len(came_from), steps, True)


def _path_to(came_from: dict[int, tuple[int, str] | None], state: int) -> tuple[str, ...]:
    """Return the descriptions of the steps that lead to a state."""
    path: list[str] = []
    while (origin := came_from[state]) is not None:
        state, description = origin
        path.append(description)
    return tuple(reversed(path))
