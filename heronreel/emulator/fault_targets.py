"""Which nodes or proxies a fault hits.  Pure: the candidates, and a stream for what is drawn."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol, TypeVar

from heronreel.emulator.model import Fault
from heronreel.emulator.random_streams import RandomStream


class Target(Protocol):
    """A candidate: something with a name in a zone."""

    @property
    def name(self) -> str:
        """Its name, as a script gives it."""

    @property
    def zone(self) -> str:
        """The zone it is in."""


T = TypeVar("T", bound=Target)


def select_targets(
    fault: Fault,
    candidates: Sequence[T],
    stream: RandomStream,
    rack_of: Callable[[T], str] = lambda one: "",
    kind_of: Callable[[T], str] = lambda one: "",
    load_of: Callable[[T], float] = lambda one: 0.0,
) -> list[T]:
    """Those named; else of the rack, zone and kind the busiest, a number, a share, or all.

    A share takes one at least, so that no fault is without a target where there is one.
    """
    if fault.names:
        wanted = set(fault.names)
        return [one for one in candidates if one.name in wanted]
    matching = [
        one
        for one in candidates
        if (not fault.zone or one.zone == fault.zone)
        and (not fault.rack or rack_of(one) == fault.rack)
        and (not fault.node_kind or kind_of(one) == fault.node_kind)
    ]
    if fault.busiest:
        ranked = sorted(range(len(matching)), key=lambda index: (-load_of(matching[index]), index))
        return [matching[index] for index in sorted(ranked[: fault.busiest])]
    if fault.count:
        return stream.sample(matching, fault.count)
    if fault.share:
        return stream.sample(matching, max(1, round(fault.share * len(matching))))
    return matching
