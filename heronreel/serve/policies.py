"""Converts a checked file to the types of the decision module and the network code, without I/O."""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Mapping
from dataclasses import replace

from heronreel.balancer import interface as api
from heronreel.proxy.config import MB, Config, resource_shares
from heronreel.proxy.endpoints import Endpoint, EndpointList
from heronreel.routes.index import RouteIndex
from heronreel.routes.model import OUTCOMES_BY_NAME, ExhaustedResponse, Pool, RetryScope, Route, RoutesFile

DISCOVERY_WATCH_WITHIN_MS = 10_000.0  # The time within which the discovery service must be watched again.


def class_of(route: Route) -> api.RequestClass:
    """Return the balancer's class of a route's requests."""
    policy = route.policy
    return api.RequestClass(
        policy.request_class,
        policy.latency_objective_ms,
        policy.deadline_ms,
        policy.priority_weight,
        policy.late_priority_weight,
        policy.effect,
        policy.deduplication_scope,
        policy.deduplication_window_ms if policy.effect is api.Effect.KEYED else 0.0,
    )


def policy_of(route: Route, margin_ms: float) -> api.RoutePolicy:
    """Return the balancer's policy of a route."""
    policy = route.policy
    return api.RoutePolicy(
        route=route.name,
        request_class=class_of(route),
        max_attempts=policy.max_attempts,
        attempt_timeout_ms=policy.attempt_timeout_ms,
        backoff_ms=policy.backoff_ms,
        max_backoff_ms=policy.max_backoff_ms,
        retry_on=frozenset(outcome for name in policy.retry_on for outcome in OUTCOMES_BY_NAME[name]),
        retry_budget_ratio=policy.retry_budget,
        retry_in_group=policy.retry_scope is RetryScope.GROUP,
        spills_over=policy.retry_scope is RetryScope.SPLIT,
        hedge_after_ms=policy.hedge_after_ms,
        hedge_percentile=policy.hedge_percentile,
        hedge_in_group=policy.hedge_scope is RetryScope.GROUP,
        reject_when_exhausted=policy.when_exhausted is ExhaustedResponse.REFUSE,
        requests_per_s=policy.max_requests_per_s,
        concurrency=policy.max_concurrency,
        window_margin_ms=margin_ms,
        split=tuple((share.pool, share.weight) for share in route.split),
    )


def without_key(policy: api.RoutePolicy) -> api.RoutePolicy:
    """Return the policy for requests without an Idempotency-Key.

    No backend can drop repeats of such a request, so it is unsafe.
    """
    return replace(
        policy,
        request_class=replace(policy.request_class, effect=api.Effect.UNSAFE, repeat_window_ms=0.0),
        retry_on=policy.retry_on & frozenset(api.NEVER_RAN),
        hedge_after_ms=0.0,
        hedge_percentile=0.0,
        reject_when_exhausted=False,
    )


class Router:
    """Finds the policy of a request.  Each file gets a new router, which never changes."""

    def __init__(self, file: RoutesFile, index: RouteIndex | None = None) -> None:
        self.index = index or RouteIndex(file.routes)
        margin = file.process.limits.clock_margin_ms
        self.policies: dict[Route, tuple[api.RoutePolicy, api.RoutePolicy]] = {}
        for route in file.routes:
            policy = policy_of(route, margin)
            keyed = route.policy.effect is api.Effect.KEYED
            self.policies[route] = (policy, without_key(policy) if keyed else policy)

    def find(
        self, host: bytes, path: bytes, method: bytes, headers: Mapping[bytes, bytes]
    ) -> api.RoutePolicy | None:
        """Return the policy of a request; None if no route matches.

        A request without an Idempotency-Key gets the stricter policy.
        """
        route = self.index.find(host, path, method, headers)
        if route is None:
            return None
        policy, unkeyed = self.policies[route]
        return policy if headers.get(b"idempotency-key") else unkeyed


def settings_of(file: RoutesFile) -> api.Settings:
    """Return the balancer's settings, with the distinct request classes of all routes."""
    process, limits = file.process, file.process.limits
    classes: dict[api.RequestClass, None] = {}
    for route in file.routes:
        classes[replace(class_of(route), name="")] = None
    return api.Settings(
        classes=tuple(replace(request_class, name=f"class-{n}") for n, request_class in enumerate(classes)),
        tenants=tuple(api.Tenant(t.name, t.share, t.requests_per_s) for t in file.tenants),
        zone=process.zone,
        zones=tuple(sorted({m.zone for pool in file.pools.values() for m in pool.members if m.zone})),
        proxies=process.proxies,
        watch_list=discovered_pool(file) != "",
        watch_within_ms=DISCOVERY_WATCH_WITHIN_MS,
        max_attempts=limits.max_attempts,
        hedging=limits.second_copies,
        max_retry_after_ms=limits.max_retry_after_ms,
        connect_timeout_ms=limits.connect_timeout_ms,
        slow_start_from=process.cold_from,
        slow_start_ms=process.cold_ms,
        overload_factor=process.overload_factor,
        overload_window_ms=process.fall_ms,
    )


def discovered_pool(file: RoutesFile) -> str:
    """Return the name of the pool whose members come from discovery; "" if there is none."""
    return next((pool.name for pool in file.pools.values() if pool.discovered), "")


def members_of(file: RoutesFile, down: Collection[tuple[str, str]] = ()) -> EndpointList:
    """Return all members of the file's pools as a complete endpoint list.

    Members that are down, given by pool and name, are listed as draining.
    """
    entries = [entry for pool in file.pools.values() for entry in _entries(pool, down)]
    return EndpointList(0, True, entries)


def _entries(pool: Pool, down: Collection[tuple[str, str]]) -> list[Endpoint]:
    return [
        Endpoint(
            f"{pool.name}/{member.name}",
            member.address,
            member.zone or f"?{pool.name}/{member.name}",
            member.kind,
            # A member without a rack is a deduplication group of its own.
            _cell_number(member.rack or f"?{pool.name}/{member.name}"),
            api.BackendState.DRAINING
            if member.draining or (pool.name, member.name) in down
            else api.BackendState.UP,
            member.weight,
            0.0,
            pool.name,
        )
        for member in pool.members
    ]


def _cell_number(name: str) -> int:
    """Return a number for a rack, which is the same in every process."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=6).digest())


def config_of(file: RoutesFile, down: Collection[tuple[str, str]] = ()) -> Config:
    """Return the proxy's configuration: its listener, endpoints, settings and limits."""
    process = file.process
    listen_address = file.listeners[0].address if file.listeners else ("127.0.0.1", 0)
    return Config(
        process.name,
        listen_address,
        process.discovery if discovered_pool(file) else None,
        process.seed,
        settings_of(file),
        members_of(file, down),
        process.backend_idle_ms,
        process.drain_grace_ms,
        int(process.memory_mb * MB),
        *resource_shares(process.sockets),
        endpoints_from_file=True,
        accepts_any_status=True,
    )
