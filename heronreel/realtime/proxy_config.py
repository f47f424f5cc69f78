"""The configuration of a proxy process, in the platform's words."""

from __future__ import annotations

from typing import Any

from heronreel.balancer.interface import Settings
from heronreel.emulator.model import Rehearsal

EFFECTS = {"safe": "idempotent", "keyed": "deduplicated", "unsafe": "at_most_once"}
SCOPES = {"rack": "cell", "zone": "zone", "all": "all"}
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
CONNECTION_IDLE_MS = 15_000.0


def platform_settings(
    rehearsal: Rehearsal, settings: Settings, slot: int, zone: str, scale: float
) -> dict[str, Any]:
    """The settings that the platform gives a proxy; times are stretched by `scale` as the clock is."""
    return {
        "Balancers": rehearsal.proxies.count,
        "SlotNo": slot,
        "Zone": zone,
        "FailureDomains": list(rehearsal.fleet.zones),
        "Discovery": "ask",
        "Categories": _categories(rehearsal, scale),
        "Tenants": [
            {"Name": t.name, "Portion": t.share, "QuotaPerS": t.quota_per_s / scale} for t in settings.tenants
        ],
        "Limits": _limits(rehearsal, scale),
        "Rules": _rules(rehearsal, settings, scale),
        "FamilyInfo": {"WarmKeys": settings.key_affinity},
        "OverShareWorth": rehearsal.score.over_quota_weight,
        "Deductions": _deductions(rehearsal),
    }


def _categories(rehearsal: Rehearsal, scale: float) -> list[dict[str, Any]]:
    return [
        {
            "Name": one.name,
            "OnTimeMs": one.latency_objective_ms * scale,
            "HardLimitMs": one.deadline_ms * scale,
            "Worth": one.weight,
            "LateWorth": one.late_weight,
            "Effect": EFFECTS[one.effect],
            "DedupScope": SCOPES[one.dedup_scope],
            "RepeatWindowMs": one.dedup_ms * scale,
        }
        for one in rehearsal.classes
    ]


def _limits(rehearsal: Rehearsal, scale: float) -> dict[str, Any]:
    proxies = rehearsal.proxies
    return {
        "MostTries": proxies.max_attempts,
        "SecondCopies": proxies.hedging,
        "RetryAfter": True,
        "MaxRetryAfterMs": proxies.max_retry_after_ms * scale,
        "ConnectTimeoutMs": proxies.connect_timeout_ms * scale,
        "ConnIdleMs": CONNECTION_IDLE_MS * scale,
    }


def _rules(rehearsal: Rehearsal, settings: Settings, scale: float) -> dict[str, Any]:
    rules = rehearsal.rules
    return {
        "MustAskInMs": rules.poll_within_ms * scale,
        "DrainGraceMs": rules.drain_grace_ms * scale,
        "ColdFrom": settings.slow_start_from,
        "ColdMs": settings.slow_start_ms * scale,
        "OverloadFactor": rules.overload_factor,
        "FallMs": rules.collapse_window_ms * scale,
    }


def _deductions(rehearsal: Rehearsal) -> dict[str, Any]:
    prices = rehearsal.prices
    return {
        "CrossZone": prices.cross_zone,
        "LateFail": prices.late_failure,
        "Waste": prices.waste,
        "Connection": prices.connection,
        "Handshake": prices.handshake,
    }
