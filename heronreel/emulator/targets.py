"""Whom a trouble befalls.  Pure: the nodes or proxies there are, and a stream for what is drawn."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol, TypeVar

from heronreel.emulator.draws import Stream
from heronreel.emulator.model import Trouble


class Placed(Protocol):
    @property
    def name(self) -> str: ...
    @property
    def zone(self) -> str: ...


T = TypeVar("T", bound=Placed)


def chosen(
    trouble: Trouble, all_of: Sequence[T], draw: Stream, rack_of: Callable[[T], str] = lambda one: "",
    kind_of: Callable[[T], str] = lambda one: "", busy: Callable[[T], float] = lambda one: 0.0,
) -> list[T]:  # fmt: skip
    """Those named; else of the rack, zone and kind the busiest, a number, a share, or all.

    A share of any takes one at least, so that no trouble is without a target where there is one.
    """
    if trouble.names:
        wanted = set(trouble.names)
        return [one for one in all_of if one.name in wanted]
    left = [
        one for one in all_of
        if (not trouble.zone or one.zone == trouble.zone)
        and (not trouble.rack or rack_of(one) == trouble.rack)
        and (not trouble.kind or kind_of(one) == trouble.kind)
    ]  # fmt: skip
    if trouble.busiest:
        ranked = sorted(range(len(left)), key=lambda place: (-busy(left[place]), place))
        return [left[place] for place in sorted(ranked[: trouble.busiest])]
    if trouble.count:
        return draw.sample(left, trouble.count)
    if trouble.share:
        return draw.sample(left, max(1, round(trouble.share * len(left))))
    return left
