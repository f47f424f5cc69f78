"""Creates the deciders of proxy processes from the script's settings, a policy and optional routes."""

from __future__ import annotations

from collections.abc import Callable

from heronreel.balancer import interface as api
from heronreel.balancer.pools import Pools
from heronreel.emulator.model import Rehearsal, RequestClass
from heronreel.emulator.policies import DEFAULT_POLICY, Decider, NodeOracle, make_policy
from heronreel.routes.model import DEDUP_SCOPES_BY_NAME, EFFECTS_BY_NAME, RoutesFile
from heronreel.serve.policies import Router, discovered_pool

MakeDecider = Callable[[api.Settings, int], Decider]


def proxy_settings(rehearsal: Rehearsal, zone: str, slot: int) -> api.Settings:
    """Return the settings that the platform would give to the proxy in this slot."""
    rules, proxies = rehearsal.rules, rehearsal.proxies
    prices, kinds = rehearsal.prices, rehearsal.fleet.kinds
    quotas = rehearsal.tenant_quotas()
    return api.Settings(
        classes=tuple(
            api.RequestClass(
                k.name,
                k.latency_objective_ms,
                k.deadline_ms,
                k.weight,
                k.late_weight,
                EFFECTS_BY_NAME[k.effect],
                DEDUP_SCOPES_BY_NAME[k.dedup_scope],
                k.dedup_ms,
            )
            for k in rehearsal.classes
        ),
        tenants=tuple(api.Tenant(t.name, t.share, quotas[t.name]) for t in rehearsal.tenants),
        zone=zone,
        zones=tuple(rehearsal.fleet.zones),
        proxies=proxies.count,
        proxy_index=slot,
        watch_list=True,
        watch_within_ms=rules.poll_within_ms,
        max_attempts=proxies.max_attempts,
        hedging=proxies.hedging,
        max_retry_after_ms=proxies.max_retry_after_ms,
        connect_timeout_ms=proxies.connect_timeout_ms,
        key_affinity=any(kind.warm_gain for kind in kinds),
        slow_start_from=min((kind.warm_up_floor for kind in kinds), default=1.0),
        slow_start_ms=max((kind.warm_up_ms for kind in kinds), default=0.0),
        overload_factor=rules.overload_factor,
        overload_window_ms=rules.collapse_window_ms,
        over_quota_weight=rehearsal.score.over_quota_weight,
        price_cross_zone=prices.cross_zone,
        price_late_failure=prices.late_failure,
        price_connection=prices.connection,
        price_handshake=prices.handshake,
        price_waste=prices.waste,
    )


class DeciderFactory:
    """Creates the decider of each proxy process.

    With a routes file the policies of its routes apply; the requests of a class use the path `/NAME` with the
    name of the class.
    """

    def __init__(
        self,
        policy: str,
        oracle: NodeOracle,
        routes: RoutesFile | None = None,
        custom: MakeDecider | None = None,
    ) -> None:
        """Use `custom`, if it is given, to create the deciders instead of the named policy."""
        self.policy, self.oracle, self.routes, self.custom = policy, oracle, routes, custom
        self.router = Router(routes) if routes is not None else None

    def make(self, settings: api.Settings, seed: int) -> Decider:
        """Create the decider of one process.  Raises UnknownPolicyError."""
        if self.custom is not None:
            return self.custom(settings, seed)
        if self.routes is not None and self.policy == DEFAULT_POLICY:
            return Pools(settings, seed, discovered_pool(self.routes))
        return make_policy(self.policy, settings, seed, self.oracle)

    def route_policy(self, request_class: RequestClass) -> api.RoutePolicy | None:
        """Return the policy of the route that matches requests of this class, or None without routes."""
        if self.router is None:
            return None
        method = b"GET" if request_class.effect == "safe" else b"POST"
        headers = {b"idempotency-key": b"k"} if request_class.effect == "keyed" else {}
        return self.router.find(b"localhost", b"/" + request_class.name.encode(), method, headers)
