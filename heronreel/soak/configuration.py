"""Builds the configuration files of the proxies of a run."""

from __future__ import annotations

from typing import Any

from heronreel.soak.clients import CLASSES, PAY, READ
from heronreel.soak.list_service import whole_list

SOCKETS = 1024
MEMORY_MB = 96
EFFECTS = {READ: "idempotent", PAY: "at_most_once"}
DRAIN_GRACE_S = 0.5
SHORT_MUST_ASK_S = 0.8


def proxy_configuration(
    name: str,
    discovery: str,
    endpoints: list[dict[str, Any]],
    seed: int,
    proxies: int,
    longest_deadline_s: float,
    must_ask_s: float = SHORT_MUST_ASK_S,
) -> dict[str, Any]:
    """Return the configuration of one proxy of a fleet.

    Args:
        name: The proxy's name.
        discovery: The host and port of its list service.
        endpoints: The list entries that it knows at its start.
        seed: The seed of its random decisions.
        proxies: The number of proxies in the fleet.
        longest_deadline_s: The longest deadline of each class, in seconds.
        must_ask_s: The time within which it must ask for the list, in seconds.
    """
    deadline_ms = longest_deadline_s * 1000.0
    categories = []
    for request_class in CLASSES:
        category = {
            "Name": request_class.name, "OnTimeMs": deadline_ms / 2, "HardLimitMs": deadline_ms,
            "Worth": 1.0, "LateWorth": 0.5, "Effect": EFFECTS.get(request_class, "deduplicated"),
        }  # fmt: skip
        if request_class.keyed:
            category |= {"DedupScope": "all", "RepeatWindowMs": 5000.0}
        categories.append(category)
    return {
        "name": name, "discovery": discovery, "seed": f"{seed + 1:x}",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "known": whole_list(endpoints),
        "settings": {
            "Balancers": proxies, "Categories": categories, "Discovery": "ask",
            "FailureDomains": ["a"], "Zone": "a",
            "Limits": {"MostTries": 4, "ConnectTimeoutMs": 200.0, "ConnIdleMs": 15000.0},
            "Rules": {"MustAskInMs": must_ask_s * 1000.0, "DrainGraceMs": DRAIN_GRACE_S * 1000.0},
        },
    }  # fmt: skip
