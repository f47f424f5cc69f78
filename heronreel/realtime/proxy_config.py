"""Builds the configuration of a proxy process under the names that the platform uses."""

from __future__ import annotations

from typing import Any

from heronreel.balancer.interface import Settings
from heronreel.emulator.model import Rehearsal

# The platform's names of the effects of requests.
PLATFORM_EFFECTS = {"safe": "idempotent", "keyed": "deduplicated", "unsafe": "at_most_once"}

# The platform's names of the scopes within which repeated requests are deduplicated.
PLATFORM_DEDUP_SCOPES = {"rack": "cell", "zone": "zone", "all": "all"}

RESOURCE_LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
CONNECTION_IDLE_MS = 15_000.0


def platform_settings(
    rehearsal: Rehearsal, settings: Settings, slot: int, zone: str, scale: float
) -> dict[str, Any]:
    """Return the settings that the platform gives a proxy.

    Durations are multiplied and rates divided by `scale`, the factor by which the clock is stretched.
    """
    return {
        "Balancers": rehearsal.proxies.count,
        "SlotNo": slot,
        "Zone": zone,
        "FailureDomains": list(rehearsal.fleet.zones),
        "Discovery": "ask",
        "Categories": _categories(rehearsal, scale),
        "Tenants": [
            {"Name": tenant.name, "Portion": tenant.share, "QuotaPerS": tenant.quota_per_s / scale}
            for tenant in settings.tenants
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
            "Name": request_class.name,
            "OnTimeMs": request_class.latency_objective_ms * scale,
            "HardLimitMs": request_class.deadline_ms * scale,
            "Worth": request_class.weight,
            "LateWorth": request_class.late_weight,
            "Effect": PLATFORM_EFFECTS[request_class.effect],
            "DedupScope": PLATFORM_DEDUP_SCOPES[request_class.dedup_scope],
            "RepeatWindowMs": request_class.dedup_ms * scale,
        }
        for request_class in rehearsal.classes
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
