"""What a checked file of routes says, as frozen records.  Times are milliseconds, rates are per second."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from heronreel.balancer.interface import NEVER_RAN, DedupScope, Effect, Outcome, exponential_backoff

Path = tuple[str | int, ...]  # of a value in the file: ("routes", 3, "attempts")

EFFECTS_BY_NAME = {"safe": Effect.IDEMPOTENT, "keyed": Effect.KEYED, "unsafe": Effect.UNSAFE}
DEDUP_SCOPES_BY_NAME = {"rack": DedupScope.CELL, "zone": DedupScope.ZONE, "all": DedupScope.ALL}
OUTCOMES_BY_NAME: dict[str, tuple[Outcome, ...]] = {
    "not-run": NEVER_RAN,
    "error": (Outcome.ERROR,),
    "reset": (Outcome.RESET,),
    "timeout": (Outcome.TIMEOUT,),
}
EFFECT_NAMES = {effect: word for word, effect in EFFECTS_BY_NAME.items()}
DEDUP_SCOPE_NAMES = {scope: word for word, scope in DEDUP_SCOPES_BY_NAME.items()}


class RetryScope(Enum):
    """How far from the first attempt's backend a further attempt may go."""

    GROUP = "group"  # the same dedup group of the same pool
    POOL = "pool"  # anywhere in the same pool
    SPLIT = "split"  # any pool that the route splits its requests between


class ExhaustedResponse(Enum):
    """What the client hears when attempts are used up and one of them may have run."""

    FAIL = "fail"
    REFUSE = "refuse"


@dataclass(slots=True, frozen=True)
class Problem:
    """One thing wrong with a file: where, what, and what would be right."""

    line: int  # from 1; 0: the file as a whole
    field: str  # as an operator would write it: routes.salva-profilo.attempts
    wrong: str
    right: str
    rule: str = "form"  # the name of the check that found it

    def __str__(self) -> str:
        return f"{self.line}: {self.field}: {self.wrong}; {self.right} [{self.rule}]"


@dataclass(slots=True, frozen=True)
class Listener:
    """An address where clients connect."""

    name: str
    address: tuple[str, int]


@dataclass(slots=True, frozen=True)
class Member:
    """One backend of a pool.  `rack` is the group that drops repeats of a key, as the file names it."""

    name: str
    address: tuple[str, int]
    zone: str = ""
    rack: str = ""
    kind: str = ""
    weight: float = 1.0
    draining: bool = False


@dataclass(slots=True, frozen=True)
class Pool:
    """Backends among which requests are spread."""

    name: str
    members: tuple[Member, ...] = ()
    discovered: bool = False  # members come from the platform's discovery, so their racks are unknown here

    def groups(self, scope: DedupScope) -> frozenset[str] | None:
        """The dedup groups of the members; None where they can't be known at load."""
        if scope is DedupScope.ALL:
            return frozenset(("all",))
        if self.discovered:
            return None
        # who has no rack, or no zone, shares what it remembers with nobody
        names = (
            (m.rack if scope is DedupScope.CELL else m.zone) or f"of {m.name} alone" for m in self.members
        )
        return frozenset(names)


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant's part of the traffic."""

    name: str
    share: float = 1.0
    requests_per_s: float = 0.0  # over all proxies; 0: no limit


@dataclass(slots=True, frozen=True)
class Match:
    """Which requests a route takes.  Exactly one of the three paths is set."""

    host: str = ""  # "": any; "*.example.org": any name below it
    path: str = ""
    path_prefix: str = ""  # by whole segments: /a takes /a and /a/b, not /ab
    path_pattern: str = ""  # /rides/{ride}/points: a name in braces takes one segment
    methods: frozenset[str] = frozenset()  # none: any
    headers: tuple[tuple[str, str], ...] = ()  # name in lower case and exact value, sorted


@dataclass(slots=True, frozen=True)
class PoolShare:
    """A pool and its weight in the split of a route."""

    pool: str
    weight: float


@dataclass(slots=True, frozen=True)
class Policy:
    """What a route's requests may do."""

    request_class: str
    effect: Effect = Effect.UNSAFE
    deduplication_scope: DedupScope = DedupScope.CELL
    deduplication_window_ms: float = 0.0  # for so long after the first the group drops repeats of a key
    latency_objective_ms: float = 1000.0
    deadline_ms: float = 5000.0
    attempt_timeout_ms: float = 0.0  # 0: until the deadline
    max_attempts: int = 1  # the first one included, hedged requests too
    backoff_ms: float = 0.0  # before the second attempt; doubled before each further one
    max_backoff_ms: float = 1000.0
    retry_budget: float = 0.2  # retries and hedged requests, per first attempt
    retry_on: frozenset[str] = frozenset(("not-run",))
    retry_scope: RetryScope = RetryScope.GROUP
    hedge_after_ms: float = 0.0  # 0: none after a fixed time
    hedge_percentile: float = 0.0  # 0: none after a percentile of the latency seen
    hedge_scope: RetryScope = RetryScope.GROUP
    when_exhausted: ExhaustedResponse = ExhaustedResponse.FAIL
    max_requests_per_s: float = 0.0  # of this proxy; 0: no limit
    max_concurrency: int = 0  # requests under way at once on this proxy; 0: no limit
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0

    @property
    def hedges(self) -> bool:
        """Whether a second attempt may be sent while the first runs."""
        return bool(self.hedge_after_ms or self.hedge_percentile)

    @property
    def unsafe_retry_outcomes(self) -> frozenset[str]:
        """Outcomes that are retried although the attempt may have run."""
        return self.retry_on - {"not-run"} if self.max_attempts > 1 else frozenset()

    @property
    def max_attempt_ms(self) -> float:
        """How long one attempt may take."""
        return min(self.attempt_timeout_ms or self.deadline_ms, self.deadline_ms)

    def backoff_before(self, attempt: int) -> float:
        """The longest pause before attempt 1, 2, ... (0 is the first and never waits), ms."""
        return exponential_backoff(attempt, self.backoff_ms, self.max_backoff_ms)


@dataclass(slots=True, frozen=True, eq=False)
class Route:
    """Which requests it takes, what they may do, and where they go."""

    name: str
    index: int  # in the file, from 0
    match: Match
    policy: Policy
    split: tuple[PoolShare, ...]
    priority: int = 0  # a higher one is tried first, whatever is more specific
    origins: Mapping[str, str] = field(
        default_factory=dict
    )  # by field of the policy: route, defaults, built in


class PlatformClass(NamedTuple):
    """What a platform guarantees for one of its classes of requests."""

    effect: Effect
    scope: DedupScope
    window_ms: float  # for so long a repeated key is dropped
    deadline_ms: float


@dataclass(slots=True, frozen=True)
class PlatformLimits:
    """What the proxy's surroundings allow: from the file's [proxy], or from the platform's settings."""

    max_attempts: int = 4
    second_copies: bool = False
    connect_timeout_ms: float = 250.0
    client_wait_ms: float = 2500.0  # the longest that clients wait for an answer
    clock_margin_ms: float = 50.0  # between a decision and its first byte, on a busy machine
    max_retry_after_ms: float = 0.0
    classes: Mapping[str, PlatformClass] | None = None  # by name; None: the platform names none


@dataclass(slots=True, frozen=True)
class ProxySettings:
    """The [proxy] table: what `serve` needs to start a proxy of its own."""

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
    discovery: tuple[str, int] | None = None  # the platform's, for a pool whose members it tells
    limits: PlatformLimits = PlatformLimits()


@dataclass(slots=True, frozen=True)
class FleetSettings:
    """The [fleet] table: the group that this proxy is present at, and what it does of the fleet's tasks."""

    group: tuple[str, ...]
    embedded: str = ""  # the disk of a group of one in the machine's own proxies; its address is `group`
    lease_s: int = 6
    margin_s: float = 1.0
    answer_s: float = 1.0
    count_s: float = 0.0  # a period of the count of requests by tenant; 0: none
    folder: str = ""  # where this machine's counts are kept
    budgets: tuple[tuple[str, float | None, float | None, float | None], ...] = ()
    """Of tasks over the whole fleet: class, calls, bytes and processor seconds a second; None: no limit."""


@dataclass(slots=True, frozen=True)
class HealthCheckSettings:
    """The [probe] table."""

    path: str
    every_ms: float = 1000.0
    timeout_ms: float = 500.0
    fall: int = 3  # failures in a row
    rise: int = 2  # successes in a row


@dataclass(slots=True, frozen=True)
class RoutesFile:
    """Everything that a file of routes says, and the lines where it says it."""

    process: ProxySettings
    listeners: tuple[Listener, ...]
    pools: Mapping[str, Pool]
    tenants: tuple[Tenant, ...]
    routes: tuple[Route, ...]
    lines: Mapping[Path, int] = field(default_factory=dict)
    fleet: FleetSettings | None = None
    probe: HealthCheckSettings | None = None

    def line(self, *path: str | int) -> int:
        """The line of a value, or of the nearest table that holds it."""
        while path:
            if path in self.lines:
                return self.lines[path]
            path = path[:-1]
        return 0
