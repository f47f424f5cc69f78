"""One base rehearsal and its changes, for the tests of the emulator and of the experiment tool."""

from __future__ import annotations

from typing import Any

import msgspec

from heronreel.emulator.model import Class, Fleet, Kind, Network, Proxies, Rehearsal, Traffic, Trouble

KIND = Kind("medio", cores=2, queue=4)
COLD = msgspec.structs.replace(KIND, cold_from=0.15, cold_ms=20_000.0)
CLASS = Class(work_ms=60.0, hint_noise=0.0)


def rehearsal(
    nodes: int = 12, proxies: int = 4, load: float = 0.5, seconds: float = 12.0, kind: Kind = COLD,
    zones: tuple[str, ...] = ("a", "b"), klass: Class = CLASS, troubles: tuple[Trouble, ...] = (),
    **changes: Any,
) -> Rehearsal:  # fmt: skip
    """`load`: what is asked, as a share of what the fleet can do."""
    rack_size = max(1, min(6, nodes // len(zones)))
    fleet = Fleet(nodes=nodes, zones=list(zones), rack_size=rack_size, kinds=(kind,))
    rate = load * nodes * kind.cores * kind.speed * 1000.0 / klass.work_ms
    base = Rehearsal(
        seconds=seconds, fleet=fleet, proxies=Proxies(count=proxies), traffic=Traffic(requests_per_s=rate),
        classes=(klass,), troubles=troubles,
    )  # fmt: skip
    return msgspec.structs.replace(base, **changes)


def queue_of(kind: Kind, work_ms: float, dist: str, cv: float, load: float, seconds: float) -> Rehearsal:
    """One node behind one proxy on a network without latency: what queueing theory speaks of."""
    spans = {"work_ms": work_ms, "aim_ms": 3e6, "deadline_ms": 3e6}
    klass = Class(dist=dist, cv=cv, effect="safe", hint_noise=0.0, **spans)  # type: ignore[arg-type]
    return rehearsal(
        1, 1, load, seconds, msgspec.structs.replace(kind, queue=1_000_000), ("a",), klass,
        network=Network(same_ms=0.0, client_ms=0.0, jitter=0.0),
    )  # fmt: skip
