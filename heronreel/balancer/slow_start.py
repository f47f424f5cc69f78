"""Slow start: limits the work that a backend gets while it warms up (rule 4).

Each proxy applies the limit by itself, from the work that it sees served.
"""

from heronreel.balancer import interface as api
from heronreel.balancer import rates
from heronreel.balancer.endpoints import FALLBACK_TIER, Endpoints

# The share of the work allowed by rule 4 that cold backends get, estimated from the work seen as served.
CREDIT_SHARE = 0.55


def capacity_share(settings: api.Settings, now: float, info: api.BackendInfo) -> float:
    """Return the share of its capacity that a started backend has at least reached by now."""
    if not info.started_ms:
        return 1.0
    ramp = max(0.0, now - info.started_ms) / max(1.0, settings.slow_start_ms)
    return min(1.0, settings.slow_start_from + (1.0 - settings.slow_start_from) * ramp)


def grant_credit(endpoints: Endpoints, now: float, periods: float, served_work: float) -> None:
    """Grant each cold backend its ramped share of the served work.

    Served work is the basis because sent work would count every rejected attempt.
    """
    settings, backends = endpoints.settings, endpoints.backends.values()
    started = [(b, capacity_share(settings, now, b.info)) for b in backends if b.info.started_ms]
    cold = [(b, share) for b, share in started if share < 1.0]
    if not cold:
        return
    full_strength = sum(1.0 / b.cost_factor for b in backends)
    # If most backends are cold, the work of a warm one is unknown; assume at least half of the fleet.
    strength = max(
        full_strength - sum((1.0 - share) / b.cost_factor for b, share in cold), 0.5 * full_strength
    )
    allowed = CREDIT_SHARE * settings.overload_factor * served_work * periods / strength
    for backend, share in cold:
        if backend.tier == FALLBACK_TIER:
            continue
        # The backend counts as at most as fast as its kind, since a faster single backend may be chance.
        earned = allowed * share / max(backend.cost_factor, endpoints.speeds.of_kind(backend.info.kind))
        # Convert this proxy's share into the share of all proxies that send to the backend.
        earned *= endpoints.subset.proxies / endpoints.proxies_per_backend[backend.tier]
        # Credit accumulates over the overload window at most, even if a stall made this update a long one.
        limit = earned / periods * settings.overload_window_ms / rates.UPDATE_PERIOD_MS
        backend.credit_ms = min(backend.credit_ms + earned, limit)
