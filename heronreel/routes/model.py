"""Frozen records with the contents of a checked routes file.

Times are in milliseconds unless a name says otherwise; rates are per second.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from heronreel.balancer.interface import NEVER_RAN, DedupScope, Effect, Outcome, exponential_backoff

Path = tuple[str | int, ...]
"""The path of a value in the file, such as ("routes", 3, "attempts")."""

EFFECTS_BY_NAME = {"safe": Effect.IDEMPOTENT, "keyed": Effect.KEYED, "unsafe": Effect.UNSAFE}
DEDUP_SCOPES_BY_NAME = {"rack": DedupScope.CELL, "zone": DedupScope.ZONE, "all": DedupScope.ALL}
OUTCOMES_BY_NAME: dict[str, tuple[Outcome, ...]] = {
    "not-run": NEVER_RAN,
    "error": (Outcome.ERROR,),
    "reset": (Outcome.RESET,),
    "timeout": (Outcome.TIMEOUT,),
}
EFFECT_NAMES = {effect: name for name, effect in EFFECTS_BY_NAME.items()}
DEDUP_SCOPE_NAMES = {scope: name for name, scope in DEDUP_SCOPES_BY_NAME.items()}


class RetryScope(Enum):
    """The backends that a further attempt may use, relative to the first attempt's backend."""

    GROUP = "group"  # the same deduplication group of the same pool
    POOL = "pool"  # any backend of the same pool
    SPLIT = "split"  # any pool of the route's split


class ExhaustedResponse(Enum):
    """The response to the client when all attempts have failed and one of them may have run."""

    FAIL = "fail"  # The client learns that its request may have run.
    REFUSE = "refuse"  # The client is told that nothing ran and that it may retry.


@dataclass(slots=True, frozen=True)
class Problem:
    """A problem in a file: its location, what is wrong, and what is expected."""

    line: int  # Counted from 1; 0 means the whole file.
    field: str  # As operators write it: routes.salva-profilo.attempts.
    wrong: str
    right: str
    rule: str = "form"  # The code of the check that found the problem.

    def __str__(self) -> str:
        return f"{self.line}: {self.field}: {self.wrong}; {self.right} [{self.rule}]"


@dataclass(slots=True, frozen=True)
class Listener:
    """An address that accepts client connections."""

    name: str
    address: tuple[str, int]


@dataclass(slots=True, frozen=True)
class Member:
    """A backend of a pool.

    Backends with the same `rack` can form a deduplication group, which drops repeats of a key.
    """

    name: str
    address: tuple[str, int]
    zone: str = ""
    rack: str = ""
    kind: str = ""
    weight: float = 1.0
    draining: bool = False


@dataclass(slots=True, frozen=True)
class Pool:
    """A set of backends that share requests."""

    name: str
    members: tuple[Member, ...] = ()
    discovered: bool = False
    """Whether the members come from the platform's discovery, so that their racks are unknown at load."""

    def groups(self, scope: DedupScope) -> frozenset[str] | None:
        """Return the members' deduplication groups; None if they can't be known at load."""
        if scope is DedupScope.ALL:
            return frozenset(("all",))
        if self.discovered:
            return None
        # A member without a rack or zone is a deduplication group of its own.
        names = (
            (m.rack if scope is DedupScope.CELL else m.zone) or f"of {m.name} alone" for m in self.members
        )
        return frozenset(names)


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant, with its share of the traffic and its rate limit."""

    name: str
    share: float = 1.0
    requests_per_s: float = 0.0  # The limit over all proxies; 0 means no limit.


@dataclass(slots=True, frozen=True)
class Match:
    """The conditions that a request must meet.  Exactly one of the three path fields is set."""

    host: str = ""  # "" matches any host; "*.example.org" matches every subdomain.
    path: str = ""
    path_prefix: str = ""  # Matches whole segments: /a matches /a and /a/b, but not /ab.
    path_pattern: str = ""  # In /rides/{ride}/points a name in braces matches one segment.
    methods: frozenset[str] = frozenset()  # An empty set matches any method.
    headers: tuple[tuple[str, str], ...] = ()  # Sorted pairs of a lower-case name and the exact value.


@dataclass(slots=True, frozen=True)
class PoolShare:
    """A pool and its weight in the split of a route."""

    pool: str
    weight: float


@dataclass(slots=True, frozen=True)
class Policy:
    """How a route's requests are sent, retried, hedged and limited."""

    request_class: str
    effect: Effect = Effect.UNSAFE
    deduplication_scope: DedupScope = DedupScope.CELL
    deduplication_window_ms: float = 0.0  # How long after a request its group drops repeats of its key.
    latency_objective_ms: float = 1000.0
    deadline_ms: float = 5000.0
    attempt_timeout_ms: float = 0.0  # 0 means until the deadline.
    max_attempts: int = 1  # Includes the first attempt and hedged requests.
    backoff_ms: float = 0.0  # Before the second attempt; doubled before each further one.
    max_backoff_ms: float = 1000.0
    retry_budget: float = 0.2  # Retries and hedged requests per first attempt.
    retry_on: frozenset[str] = frozenset(("not-run",))
    retry_scope: RetryScope = RetryScope.GROUP
    hedge_after_ms: float = 0.0  # 0 means no hedging after a fixed time.
    hedge_percentile: float = 0.0  # Of the observed latency; 0 means no hedging by percentile.
    hedge_scope: RetryScope = RetryScope.GROUP
    when_exhausted: ExhaustedResponse = ExhaustedResponse.FAIL
    max_requests_per_s: float = 0.0  # The limit of this proxy; 0 means no limit.
    max_concurrency: int = 0  # Concurrent requests on this proxy; 0 means no limit.
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0

    @property
    def hedges(self) -> bool:
        """Whether a second attempt may be sent while the first is in progress."""
        return bool(self.hedge_after_ms or self.hedge_percentile)

    @property
    def unsafe_retry_outcomes(self) -> frozenset[str]:
        """Outcomes that are retried although the attempt may have run."""
        return self.retry_on - {"not-run"} if self.max_attempts > 1 else frozenset()

    @property
    def max_attempt_ms(self) -> float:
        """The longest time that one attempt may take."""
        return min(self.attempt_timeout_ms or self.deadline_ms, self.deadline_ms)

    def backoff_before(self, attempt: int) -> float:
        """Return the longest backoff before an attempt, in ms.

        Attempts are counted from 0; there is no backoff before the first.
        """
        return exponential_backoff(attempt, self.backoff_ms, self.max_backoff_ms)


@dataclass(slots=True, frozen=True, eq=False)
class Route:
    """A route: the requests that it matches, their policy, and the pools that they are sent to."""

    name: str
    index: int  # The position in the file, from 0.
    match: Match
    policy: Policy
    split: tuple[PoolShare, ...]
    priority: int = 0  # Routes of higher priority are tried first, even if a lower one is more specific.
    origins: Mapping[str, str] = field(default_factory=dict)
    """The origin of each policy value, by field: "route", "defaults" or "built in"."""


class PlatformClass(NamedTuple):
    """What a platform guarantees for one of its request classes."""

    effect: Effect
    scope: DedupScope
    window_ms: float  # How long repeats of a key are dropped.
    deadline_ms: float


@dataclass(slots=True, frozen=True)
class PlatformLimits:
    """Limits on all policies, from the file's [proxy] table or from the platform's settings."""

    max_attempts: int = 4
    second_copies: bool = False
    connect_timeout_ms: float = 250.0
    client_wait_ms: float = 2500.0  # The longest time that clients wait for a response.
    clock_margin_ms: float = 50.0  # The delay from a decision to its first byte on a busy machine.
    max_retry_after_ms: float = 0.0
    classes: Mapping[str, PlatformClass] | None = None  # By name; None if the platform defines no classes.


@dataclass(slots=True, frozen=True)
class ProxySettings:
    """The [proxy] table: the settings that `serve` needs to start a proxy without a platform."""

    name: str = "heronreel"
    zone: str = ""
    proxies: int = 1
    seed: int = 1
    memory_mb: int = 128
    sockets: int = 1024
    drain_grace_ms: float = 500.0
    backend_idle_ms: float = 15000.0
    cold_from: float = 1.0
    cold_ms: float = 0.0
    overload_factor: float = 2.0
    fall_ms: float = 1000.0
    discovery: tuple[str, int] | None = None  # The platform's discovery service.
    limits: PlatformLimits = PlatformLimits()


@dataclass(slots=True, frozen=True)
class FleetSettings:
    """The [fleet] table: the coordination group that the proxy joins, and its part in the fleet's tasks."""

    group: tuple[str, ...]
    embedded: str = ""
    """The folder of a group of one member that this machine's own proxies run at the address in `group`."""
    lease_s: int = 6
    margin_s: float = 1.0
    answer_s: float = 1.0
    count_s: float = 0.0  # The metering period; 0 means that usage is not metered.
    folder: str = ""  # The folder of this machine's usage ledgers.
    budgets: tuple[tuple[str, float | None, float | None, float | None], ...] = ()
    """Rate limits of fleet-wide tasks by priority class.

    Each entry has the class, then calls, bytes and processor seconds per second; None means no limit.
    """


@dataclass(slots=True, frozen=True)
class HealthCheckSettings:
    """The [probe] table: active health checks of the members."""

    path: str
    every_ms: float = 1000.0
    timeout_ms: float = 500.0
    fall: int = 3  # Consecutive failures until a member is down.
    rise: int = 2  # Consecutive successes until it is up again.


@dataclass(slots=True, frozen=True)
class RoutesFile:
    """The contents of a routes file, and the line of each value."""

    process: ProxySettings
    listeners: tuple[Listener, ...]
    pools: Mapping[str, Pool]
    tenants: tuple[Tenant, ...]
    routes: tuple[Route, ...]
    lines: Mapping[Path, int] = field(default_factory=dict)
    fleet: FleetSettings | None = None
    probe: HealthCheckSettings | None = None

    def line(self, *path: str | int) -> int:
        """Return the line of a value, or of the nearest table that contains it; 0 if there is none."""
        while path:
            if path in self.lines:
                return self.lines[path]
            path = path[:-1]
        return 0
