"""Slow start (rule 4) by one proxy alone: how much work backends that warm up get.  Part of the decisions."""

from heronreel.balancer import interface as api
from heronreel.balancer import rates
from heronreel.balancer.endpoints import FALLBACK_TIER, Endpoints

CREDIT_SHARE = 0.55  # of what rule 4 allows: a cold backend's work, from its share of what we see served


def capacity_share(settings: api.Settings, now: float, info: api.BackendInfo) -> float:
    """The least share of its capacity that a started backend has by now."""
    if not info.started_ms:
        return 1.0
    risen = max(0.0, now - info.started_ms) / max(1.0, settings.slow_start_ms)
    return min(1.0, settings.slow_start_from + (1.0 - settings.slow_start_from) * risen)


def grant_credit(endpoints: Endpoints, now: float, periods: float, served_work: float) -> None:
    """Grant each cold backend its ramped share of what is served: work sent counts each rejected attempt."""
    settings, backends = endpoints.settings, endpoints.backends.values()
    started = [(b, capacity_share(settings, now, b.info)) for b in backends if b.info.started_ms]
    cold = [(b, share) for b, share in started if share < 1.0]
    if not cold:
        return
    full = sum(1.0 / b.cost_factor for b in backends)
    # where most are cold, nobody knows what a warm one takes: count on half the fleet
    strength = max(full - sum((1.0 - share) / b.cost_factor for b, share in cold), 0.5 * full)
    allowed = CREDIT_SHARE * settings.overload_factor * served_work * periods / strength
    for backend, share in cold:
        if backend.tier == FALLBACK_TIER:
            continue
        # as fast as its kind, or slower: what makes a single one look faster may be chance
        earned = allowed * share / max(backend.cost_factor, endpoints.speeds.of_kind(backend.info.kind))
        earned *= endpoints.subset.proxies / endpoints.proxies_per_backend[backend.tier]  # all proxies' share
        # saved up over the rule's time at most, also where a stall has made this update a long one
        limit = earned / periods * settings.overload_window_ms / rates.UPDATE_PERIOD_MS
        backend.credit_ms = min(backend.credit_ms + earned, limit)
