"""Selects the nodes or proxies that a fault affects.

The selection depends only on the fault, the candidates and a stream of random numbers.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol, TypeVar

from heronreel.emulator.model import Fault
from heronreel.emulator.random_streams import RandomStream


class Target(Protocol):
    """A node or proxy that a fault may affect."""

    @property
    def name(self) -> str:
        """The name by which a script refers to it."""

    @property
    def zone(self) -> str:
        """The zone in which it runs."""


T = TypeVar("T", bound=Target)


def select_targets(
    fault: Fault,
    candidates: Sequence[T],
    stream: RandomStream,
    rack_of: Callable[[T], str] = lambda target: "",
    kind_of: Callable[[T], str] = lambda target: "",
    load_of: Callable[[T], float] = lambda target: 0.0,
) -> list[T]:
    """Return the candidates that the fault names, or else those that match its rack, zone and kind.

    The matching candidates are limited to the busiest, to a random count or to a random share if the fault
    says so.  A share selects at least one, so that a fault has a target whenever a candidate matches.
    """
    if fault.names:
        wanted = set(fault.names)
        return [candidate for candidate in candidates if candidate.name in wanted]
    matching = [
        candidate
        for candidate in candidates
        if (not fault.zone or candidate.zone == fault.zone)
        and (not fault.rack or rack_of(candidate) == fault.rack)
        and (not fault.node_kind or kind_of(candidate) == fault.node_kind)
    ]
    if fault.busiest:
        ranked = sorted(range(len(matching)), key=lambda index: (-load_of(matching[index]), index))
        return [matching[index] for index in sorted(ranked[: fault.busiest])]
    if fault.count:
        return stream.sample(matching, fault.count)
    if fault.share:
        return stream.sample(matching, max(1, round(fault.share * len(matching))))
    return matching
