"""Checks a rehearsal script for invalid references and combinations of values.

Each check is a function that yields its findings.  `SCRIPT_CHECKS` and `FAULT_CHECKS` list the checks in the
order in which their findings are reported.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass

from heronreel.emulator import model
from heronreel.emulator.model import Fault, Rehearsal
from heronreel.emulator.policies import FAULTY_POLICIES, POLICIES
from heronreel.routes.model import Path
from heronreel.routes.reader import describe_value

MAX_NAMES_SHOWN = 8
TINY = 1e-9  # the lower bound of a range that excludes 0


@dataclass(slots=True, frozen=True)
class Finding:
    """A problem with the value at a path, and the expected value."""

    path: Path
    wrong: str
    right: str
    rule: str = "form"


@dataclass(slots=True, frozen=True)
class SizeRange:
    """The meaning and the bounds of the size of a kind of fault."""

    meaning: str
    low: float
    high: float


SIZES: dict[str, SizeRange] = {
    "slow": SizeRange("how many times slower, from 1 to 1,000", 1.0, 1000.0),
    "errors": SizeRange("the share of requests that fail, from 0 to 1", 0.0, 1.0),
    "neighbour": SizeRange("the share of the machine that is taken, from 0 to 0.99", 0.0, 0.99),
    "lose_answers": SizeRange("the share of answers lost, from 0 to 1", 0.0, 1.0),
    "reset": SizeRange("the share of requests whose connection is reset, from 0 to 1", 0.0, 1.0),
    "burst": SizeRange("the factor on the rate, over 0 and up to 1,000", TINY, 1000.0),
    "heavy": SizeRange("how many times the usual work, from 1 to 1,000", 1.0, 1000.0),
    "shift": SizeRange("the factor on the zone's part, over 0 and up to 1,000", TINY, 1000.0),
    "tenant": SizeRange("the factor on the tenant's part, over 0 and up to 1,000", TINY, 1000.0),
    "list_slow": SizeRange("how many times slower, from 1 to 1,000", 1.0, 1000.0),
    "list_late": SizeRange("seconds later, from 0 to 1,000", 0.0, 1000.0),
}
NODE_FAULTS = frozenset(
    (
        "slow",
        "errors",
        "neighbour",
        "pause",
        "silent",
        "crash",
        "drain",
        "replace",
        "lose_answers",
        "reset",
        "zone_lost",
    )
)
PROXY_FAULTS = frozenset(("kill", "restart", "reload"))
INSTANT_FAULTS = frozenset(
    ("crash", "drain", "replace", "grow", "list_resets", "kill", "restart", "reload")
)  # these have no duration
ZONE_FAULTS = frozenset(("zone_lost", "zone_cut", "shift"))


def rack_count(rehearsal: Rehearsal) -> int:
    """Return the number of racks that the nodes of the fleet need."""
    return -(-rehearsal.fleet.nodes // rehearsal.fleet.rack_size)


# Checks of the whole script.


def _check_zones(rehearsal: Rehearsal) -> Iterator[Finding]:
    fleet, zones = rehearsal.fleet, rehearsal.fleet.zones
    if not zones:
        yield Finding(("fleet", "zones"), "is empty", "name one zone at least")
    if len(set(zones)) != len(zones):
        yield Finding(("fleet", "zones"), "names a zone twice", "each zone once", "duplicate")
    racks = rack_count(rehearsal)
    if racks < len(zones):
        least = (len(zones) - 1) * fleet.rack_size + 1
        yield Finding(
            ("fleet", "nodes"),
            f"make {racks} racks of {fleet.rack_size} for {len(zones)} zones",
            f"expected {least} nodes at least, or smaller racks",
            "placement",
        )


def _check_shares(rehearsal: Rehearsal) -> Iterator[Finding]:
    right = "give one of them a share over 0"
    if not sum(kind.share for kind in rehearsal.fleet.kinds):
        yield Finding(("fleet", "kinds"), "have shares that sum to 0", right)
    if not sum(request_class.share for request_class in rehearsal.classes):
        yield Finding(("classes",), "have shares that sum to 0", right)


def _check_classes(rehearsal: Rehearsal) -> Iterator[Finding]:
    for index, request_class in enumerate(rehearsal.classes):
        if request_class.latency_objective_ms > request_class.deadline_ms:
            right = f"expected at most deadline_ms ({request_class.deadline_ms:g})"
            yield Finding(("classes", index, "aim_ms"), f"is {request_class.latency_objective_ms:g}", right)
        if request_class.effect == "keyed" and not request_class.dedup_window_ms:
            right = "a keyed class needs the time for which repeats are dropped"
            yield Finding(("classes", index, "window_ms"), "is 0", right)


def _check_proxies(rehearsal: Rehearsal) -> Iterator[Finding]:
    proxies, zones = rehearsal.proxies, rehearsal.fleet.zones
    known = (*POLICIES, *FAULTY_POLICIES)
    if proxies.policy not in known:
        right = f"known here: {', '.join(sorted(known))}"
        yield Finding(("proxies", "policy"), f"is {describe_value(proxies.policy)}", right, "unknown-policy")
    if proxies.count > model.MAX_PROXIES:
        right = f"expected at most {model.MAX_PROXIES:,}"
        yield Finding(("proxies", "count"), f"is {proxies.count:,}", right)
    if proxies.count < len(zones):
        right = f"expected at least one for each of the {len(zones)} zones"
        yield Finding(("proxies", "count"), f"is {proxies.count}", right, "placement")


def _check_traffic_points(rehearsal: Rehearsal) -> Iterator[Finding]:
    previous = -1.0
    for index, point in enumerate(rehearsal.traffic.points):
        if point.at_s <= previous:
            path = ("traffic", "points", index, "at_s")
            yield Finding(path, f"is {point.at_s:g}", f"expected over {previous:g}")
        previous = point.at_s


# Checks of one fault.


def _check_start(fault: Fault, rehearsal: Rehearsal) -> Iterator[Finding]:
    if fault.at_s >= rehearsal.seconds:
        right = f"expected before the end of the rehearsal, {rehearsal.seconds:g} s"
        yield Finding(("at_s",), f"is {fault.at_s:g}", right, "time")


def _check_duration(fault: Fault, rehearsal: Rehearsal) -> Iterator[Finding]:
    if fault.at_s >= rehearsal.seconds:
        return
    kind, seconds = fault.fault_kind, rehearsal.seconds
    if kind not in INSTANT_FAULTS and not fault.for_s:
        right = f"a trouble of kind {kind} lasts for a time"
        yield Finding(("for_s",), "is missing", right, "missing-field")
    elif kind in INSTANT_FAULTS and fault.for_s:
        right = "use within_s for how long its targets' turns take, after_s for what follows"
        yield Finding(("for_s",), f"is {fault.for_s:g}, and {kind} has no end", right)
    if fault.end_s > seconds:
        field = "for_s" if fault.for_s >= fault.within_s else "within_s"
        right = f"expected {seconds - fault.at_s:g} at most: the rehearsal has {seconds:g} s"
        yield Finding((field,), f"ends at {fault.end_s:g} s", right, "time")


def _check_size(fault: Fault, rehearsal: Rehearsal) -> Iterator[Finding]:
    size = SIZES.get(fault.fault_kind)
    if size is not None:
        if not size.low <= fault.size <= size.high:
            yield Finding(("size",), f"is {fault.size:g}", f"expected {size.meaning}")
    elif fault.size:
        yield Finding(("size",), f"is {fault.size:g}", f"{fault.fault_kind} has no size")


def _check_references(fault: Fault, rehearsal: Rehearsal) -> Iterator[Finding]:
    fleet = rehearsal.fleet
    references: tuple[tuple[str, str, Collection[str]], ...] = (
        ("zone", fault.zone, set(fleet.zones)),
        ("rack", fault.rack, {f"r{number}" for number in range(rack_count(rehearsal))}),
        ("kind", fault.node_kind, {kind.name for kind in fleet.kinds}),
        ("tenant", fault.tenant, {tenant.name for tenant in rehearsal.tenants}),
    )
    for field, value, known in references:
        if value and value not in known:
            names = ", ".join(sorted(known)[:MAX_NAMES_SHOWN]) or "none"
            yield Finding((field,), f"is {describe_value(value)}", f"known here: {names}", "unknown-target")


def _check_required(fault: Fault, rehearsal: Rehearsal) -> Iterator[Finding]:
    kind = fault.fault_kind
    if kind in ZONE_FAULTS and not fault.zone:
        yield Finding(("zone",), "is missing", f"{kind} befalls a zone", "missing-field")
    if kind == "zone_cut" and len(rehearsal.fleet.zones) < 2:
        right = "expected two zones at least"
        yield Finding(("what",), "cuts off the only zone", right, "unknown-target")
    if kind == "tenant" and not fault.tenant:
        yield Finding(("tenant",), "is missing", "name the tenant", "missing-field")
    if kind == "grow" and not (fault.count or fault.share):
        right = "say how many nodes come, or which share"
        yield Finding(("count",), "is missing", right, "missing-field")
    if kind == "heavy" and not fault.share:
        right = "say which share of the requests is heavy"
        yield Finding(("share",), "is missing", right, "missing-field")


def _check_names(fault: Fault, rehearsal: Rehearsal) -> Iterator[Finding]:
    kind = fault.fault_kind
    if not fault.names:
        return
    if kind in PROXY_FAULTS:
        known = [f"p{number}" for number in range(rehearsal.proxies.count)]
    elif kind in NODE_FAULTS:
        known = [f"n{number}" for number in range(1, rehearsal.fleet.nodes + 1)]
    else:
        yield Finding(("names",), "are given", f"{kind} has no targets by name", "unknown-target")
        return
    existing = set(known)
    for index, name in enumerate(fault.names):
        if name not in existing:
            right = f"known at the start: {known[0]} to {known[-1]}"
            yield Finding(("names", index), f"is {describe_value(name)}", right, "unknown-target")


def _check_instead_of_change(fault: Fault, rehearsal: Rehearsal) -> Iterator[Finding]:
    if fault.instead_of_change and fault.fault_kind != "list_resets":
        right = f"{fault.fault_kind} ends no watches; use it with list_resets"
        yield Finding(("instead_of_change",), "is true", right)


def _check_selection(fault: Fault, rehearsal: Rehearsal) -> Iterator[Finding]:
    selectors = sum(bool(value) for value in (fault.busiest, fault.count, fault.share, fault.names))
    if fault.fault_kind in NODE_FAULTS | PROXY_FAULTS and selectors > 1:
        right = "use one of names, busiest, count and share"
        yield Finding((), "names its targets in several ways", right)


SCRIPT_CHECKS: tuple[Callable[[Rehearsal], Iterator[Finding]], ...] = (
    _check_zones,
    _check_shares,
    _check_classes,
    _check_proxies,
    _check_traffic_points,
)
FAULT_CHECKS: tuple[Callable[[Fault, Rehearsal], Iterator[Finding]], ...] = (
    _check_start,
    _check_duration,
    _check_size,
    _check_references,
    _check_required,
    _check_names,
    _check_instead_of_change,
    _check_selection,
)


def check_script(rehearsal: Rehearsal) -> Iterator[Finding]:
    """Yield all findings for a script whose fields are valid by themselves."""
    for check in SCRIPT_CHECKS:
        yield from check(rehearsal)
    for index, fault in enumerate(rehearsal.faults):
        for check_fault in FAULT_CHECKS:
            for finding in check_fault(fault, rehearsal):
                path: Path = ("troubles", index, *finding.path)
                yield Finding(path, finding.wrong, finding.right, finding.rule)
