"""A base rehearsal and variations of it, for the tests of the emulator and of the experiment tool."""

from __future__ import annotations

from typing import Any

import msgspec

from heronreel.emulator.model import (
    Fault,
    FleetConfig,
    NetworkConfig,
    NodeKind,
    ProxyConfig,
    Rehearsal,
    RequestClass,
    TrafficConfig,
)

KIND = NodeKind("medio", cores=2, queue=4)
COLD = msgspec.structs.replace(KIND, warm_up_floor=0.15, warm_up_ms=20_000.0)
CLASS = RequestClass(work_ms=60.0, hint_noise=0.0)


def rehearsal(
    nodes: int = 12,
    proxies: int = 4,
    load: float = 0.5,
    seconds: float = 12.0,
    kind: NodeKind = COLD,
    zones: tuple[str, ...] = ("a", "b"),
    request_class: RequestClass = CLASS,
    faults: tuple[Fault, ...] = (),
    **changes: Any,
) -> Rehearsal:
    """Return a rehearsal; `load` is the offered load as a share of the fleet's capacity."""
    rack_size = max(1, min(6, nodes // len(zones)))
    fleet = FleetConfig(nodes=nodes, zones=list(zones), rack_size=rack_size, kinds=(kind,))
    rate = load * nodes * kind.cores * kind.speed * 1000.0 / request_class.work_ms
    base = Rehearsal(
        seconds=seconds,
        fleet=fleet,
        proxies=ProxyConfig(count=proxies),
        traffic=TrafficConfig(requests_per_s=rate),
        classes=(request_class,),
        faults=faults,
    )
    return msgspec.structs.replace(base, **changes)


def single_node_rehearsal(
    kind: NodeKind, work_ms: float, dist: str, cv: float, load: float, seconds: float
) -> Rehearsal:
    """Return a rehearsal of one node behind one proxy without network latency, as queueing theory assumes."""
    spans = {"work_ms": work_ms, "latency_objective_ms": 3e6, "deadline_ms": 3e6}
    request_class = RequestClass(distribution=dist, cv=cv, effect="safe", hint_noise=0.0, **spans)  # type: ignore[arg-type]
    return rehearsal(
        1,
        1,
        load,
        seconds,
        msgspec.structs.replace(kind, queue=1_000_000),
        ("a",),
        request_class,
        network=NetworkConfig(same_zone_ms=0.0, client_ms=0.0, jitter=0.0),
    )
