"""Checks the emulator's predictions with past changes of known effect, on days like those of the operators.

    .venv-rehearse/bin/python bench/truths.py [--seeds 10] [--workers 8] [--only NAME] [--scarce]

Each change was made in the past and measured on the operators' own days (`docs/ROADMAP.md`, the journal).
Here the days are played without and with the change, paired by seed.  A prediction is good if the signs and
the order of the effects are right.
"""

from __future__ import annotations

import argparse
import multiprocessing
import os
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent.parent))

import msgspec
from emulator import KINDS

from heronreel.balancer import interface as api
from heronreel.balancer.endpoints import FALLBACK_TIER, Endpoints
from heronreel.balancer.rates import UPDATE_PERIOD_MS
from heronreel.balancer.slow_start import CREDIT_SHARE, capacity_share
from heronreel.emulator.model import (
    Fault,
    FleetConfig,
    Prices,
    ProxyConfig,
    Rehearsal,
    RequestClass,
    Tenant,
    TrafficConfig,
)
from heronreel.emulator.policies import Decider, HostedBalancer
from heronreel.emulator.simulation import Simulation
from heronreel.experiments.compare import compare_results
from heronreel.experiments.identity import Setting, apply_settings, overridden_constants

DURATION_S = 24.0
ERRORS = Fault(fault_kind="errors", at_s=4.0, for_s=14.0, share=0.125, size=0.6)
SLOW = Fault(fault_kind="slow", at_s=4.0, for_s=14.0, share=0.125, size=5.0)
DAYS: dict[str, tuple[Fault, ...]] = {
    "calm": (Fault(fault_kind="burst", at_s=8.0, for_s=6.0, size=1.5),),
    "herd": (
        Fault(fault_kind="kill", at_s=6.0, share=0.7),
        Fault(fault_kind="list_slow", at_s=6.0, for_s=6.0, size=3.0),
        ERRORS,
    ),
    "zone": (Fault(fault_kind="zone_lost", at_s=5.0, for_s=5.0, zone="b"), SLOW),
    "join": (Fault(fault_kind="replace", at_s=4.0, share=0.6, within_s=7.0, after_s=3.0), ERRORS),
    "shortage": (Fault(fault_kind="burst", at_s=4.0, for_s=16.0, size=2.2),),
}


def day(name: str, scarce: bool) -> Rehearsal:
    """Return a day of 40 proxies and 40 nodes.

    Each proxy has few requests at each node, as in a large fleet.  With `scarce` there are 120 proxies, and
    half as many connections at each node.
    """
    request_class = RequestClass(work_ms=90.0, distribution="lognormal", cv=1.1, attempt_noise=0.2)
    kinds = tuple(msgspec.structs.replace(k, connections=52 if scarce else 104) for k in KINDS)
    fleet = FleetConfig(nodes=40, zones=["a", "b"], limited_racks=0.3, kinds=kinds)
    base = Rehearsal(
        name=name, seconds=DURATION_S, fleet=fleet,
        proxies=ProxyConfig(count=120 if scarce else 40, skew=0.3),
        classes=(request_class,),
        prices=Prices(handshake=0.03, connection=0.03, cross_zone=0.03, late_failure=0.03, waste=0.02),
        faults=DAYS[name],
    )  # fmt: skip
    rate = 0.62 * base.capacity() * 1000.0 / request_class.work_ms
    quotas = (Tenant("x", 0.55, quota_per_s=0.6 * rate), Tenant("y", 0.45, quota_per_s=0.5 * rate))
    return msgspec.structs.replace(base, traffic=TrafficConfig(requests_per_s=rate), tenants=quotas)


def grant_equal_credit(endpoints: Endpoints, now: float, periods: float, served_work: float) -> None:
    """Grant slow start credit as before the change: the same for all cold nodes, whatever their kind."""
    settings, backends = endpoints.settings, endpoints.backends.values()
    cold = [(b, share) for b in backends if (share := capacity_share(settings, now, b.info)) < 1.0]
    strength = max(1.0, len(backends) - sum(1.0 - share for _, share in cold))
    allowed = CREDIT_SHARE * settings.overload_factor * served_work * periods / strength
    for backend, share in cold:
        if backend.tier != FALLBACK_TIER:
            proxies_per_backend = endpoints.proxies_per_backend[backend.tier]
            earned = allowed * share * endpoints.subset.proxies / proxies_per_backend
            most = earned * settings.overload_window_ms / UPDATE_PERIOD_MS
            backend.credit_ms = min(backend.credit_ms + earned, most)


class EqualCreditBalancer(HostedBalancer):
    """A balancer whose slow start does not distinguish node kinds."""

    grant_credit = staticmethod(grant_equal_credit)


@dataclass(frozen=True)
class Change:
    """A past change, with the settings before and after it and its measured effect."""

    title: str
    days: tuple[str, ...]
    before: tuple[tuple[str, object], ...]
    after: tuple[tuple[str, object], ...]
    measured: str  # the effect on the operators' days


# A value so large that the limit has no effect.
UNLIMITED = 1_000_000
PROXIES_PER_BACKEND = "heronreel.balancer.subset.PROXIES_PER_BACKEND"
CHANGES = {
    "idle": Change("idle connections kept for 9 s, then 1 s", ("calm", "herd"),
                   (("proxies.idle_ms", 9000),),
                   (("proxies.idle_ms", 1000),), "better"),
    "subset": Change("each node used by all proxies, then by 13", ("calm", "herd", "join"),
                     ((PROXIES_PER_BACKEND, UNLIMITED),), ((PROXIES_PER_BACKEND, 13),), "better"),
    "cold": Change("equal slow start credit for all kinds, then by kind", ("join", "zone"),
                   (("equal_credit", 1),), (), "better"),
    "attempts": Change("unlimited attempts in a shortage, then few", ("shortage",),
                       (("heronreel.balancer.rates.LOW_REJECTION_SHARE", UNLIMITED),), (), "better"),
}  # fmt: skip


def equal_credit(settings: api.Settings, seed: int) -> Decider:
    return EqualCreditBalancer(settings, seed)


def play_day(name: str, seed: int, changes: tuple[tuple[str, object], ...], scarce: bool) -> dict[str, Any]:
    settings = tuple(Setting(key, value) for key, value in changes if key != "equal_credit")
    with overridden_constants(settings):
        made = equal_credit if ("equal_credit", 1) in changes else None
        result = Simulation(apply_settings(day(name, scarce), settings), seed, deciders=made).run()
    return {"script": name, **result.table_row()}


def net_of(row: dict[str, Any]) -> float:
    """Return the service minus the prices, even if a rule was broken."""
    return float(row["service"]) - sum(float(value) for key, value in row.items() if key.startswith("paid_"))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--workers", type=int, default=len(os.sched_getaffinity(0)))
    parser.add_argument("--only", choices=list(CHANGES))
    parser.add_argument("--scarce", action="store_true", help="120 proxies, 52 connections per node")
    options = parser.parse_args()
    seeds = range(1, options.seeds + 1)
    with ProcessPoolExecutor(options.workers, mp_context=multiprocessing.get_context("spawn")) as pool:
        plays = {
            (name, day_name, side): [
                pool.submit(play_day, day_name, seed, settings, options.scarce) for seed in seeds
            ]
            for name, change in CHANGES.items() if not options.only or name == options.only
            for day_name in change.days
            for side, settings in (("before", change.before), ("after", change.after))
        }  # fmt: skip
        for name, change in CHANGES.items():
            for day_name in change.days if not options.only or name == options.only else ():
                sides = [plays[name, day_name, side] for side in ("before", "after")]
                before, after = ([play.result() for play in side] for side in sides)
                kept = [sum(bool(row["kept"]) for row in rows) for rows in (before, after)]
                print(f"{change.title}; day {day_name}; measured: {change.measured}; "
                      f"rules kept in {kept[0]}, {kept[1]} of {len(seeds)}")  # fmt: skip
                net = [[row | {"net": net_of(row)} for row in rows] for rows in (before, after)]
                metrics = ("net", "service", "attempts_each", "handshakes_each")
                for difference in compare_results(net[0], net[1], metrics=metrics):
                    print(f"    {difference.metric:<16} {difference.mean_a:8.4f} -> {difference.mean_b:8.4f}"
                          f" {difference.mean:+.4f} [{difference.low:+.4f}, {difference.high:+.4f}]"
                          f"  {difference.words}", flush=True)  # fmt: skip


if __name__ == "__main__":
    main()
