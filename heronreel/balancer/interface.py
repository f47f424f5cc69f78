"""The whole public interface of heronreel.balancer: settings, events in, actions out.

A host makes one `heronreel.balancer.Balancer(settings, seed)` for each proxy and calls
`handle(now_ms, event)` from one thread, with a clock that never goes back and events in the order they
happened.  It carries out the returned actions in order and owes the balancer:

* exactly one `AttemptEnded` for every `StartAttempt`, also after the request is over;
* a `TimerFired` for every `SetTimer`, at or after its time;
* a `BackendList` first of all (kind CACHED), before any other event;
* `RequestClosed` when a client leaves or its request gets a final response without the balancer.

A request is over after `Reject`, `Fail`, `RequestClosed` or an `AttemptEnded` with `finished` set.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from heronreel.balancer.errors import InvalidSettingsError


class Effect(Enum):
    """What a second run of the same request would do."""

    IDEMPOTENT = "idempotent"  # no harm: retry and reject freely
    KEYED = "keyed"  # its dedup group drops repeats for a while
    UNSAFE = "unsafe"  # must never run twice


class DedupScope(Enum):
    """Which backends together drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How one attempt ended."""

    SERVED = "served"
    ERROR = "error"  # the backend responded with an error; it may have run
    REJECTED = "rejected"  # queue full or draining: never ran
    TIMEOUT = "timeout"  # no response in time; it may have run, or still run
    UNREACHABLE = "unreachable"  # no connection: never ran
    RESET = "reset"  # the connection broke; it may have run
    CANCELLED = "cancelled"  # cancelled by us; it may have run
    NOT_SENT = "not_sent"  # the host never sent it: never ran


NEVER_RAN = (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT)


class ListKind(Enum):
    """What a `BackendList` holds."""

    CACHED = "cached"  # the full list as this proxy last had it, possibly stale
    FULL = "full"  # the full list: a backend missing from it is gone
    CHANGES = "changes"  # only what changed
    FAILED = "failed"  # a call failed or the watch was lost; the old list stays in force


class WatchFailure(Enum):
    """Why a list call or watch failed."""

    ENDED = "ended"  # unavailable, broken off or unreadable
    LATE = "late"  # silent for longer than a healthy one: what it misses soon counts as received
    BUSY = "busy"  # the service refused it: it has too many calls
    MOVED = "moved"  # another service is called from now on: what was known of the old one is no guide


class BackendState(Enum):
    """A backend's state on the list."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "gone"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """What requests of one class have in common.  Raises InvalidSettingsError."""

    name: str
    latency_objective_ms: float = 1000.0  # full weight when served within
    deadline_ms: float = 5000.0
    priority_weight: float = 1.0
    late_weight: float = 0.0  # share of the weight after the latency objective
    effect: Effect = Effect.UNSAFE
    dedup_scope: DedupScope = DedupScope.ALL
    repeat_window_ms: float = 0.0

    def __post_init__(self) -> None:
        _at_least(0.0, latency_objective_ms=self.latency_objective_ms, deadline_ms=self.deadline_ms)
        _at_least(0.0, priority_weight=self.priority_weight, repeat_window_ms=self.repeat_window_ms)
        _share(late_weight=self.late_weight)
        if not isinstance(self.effect, Effect):
            raise InvalidSettingsError(f"effect: unknown effect {self.effect!r}")


def exponential_backoff(attempt: int, first_ms: float, max_ms: float) -> float:
    """The backoff before attempt 1, 2, ..., ms, doubled each time; the first, 0, never waits."""
    if attempt < 1 or not first_ms:
        return 0.0
    return min(first_ms * 2.0 ** min(attempt - 1, 60), max(max_ms, first_ms))


@dataclass(slots=True, frozen=True)
class RoutePolicy:
    """What a request's route allows.  The request keeps it to its end, also when its route is gone.

    Raises InvalidSettingsError.
    """

    route: str
    request_class: RequestClass
    max_attempts: int = 1  # hedged requests count
    attempt_timeout_ms: float = 0.0  # 0: until the deadline
    backoff_ms: float = 0.0  # before the second attempt; doubled before each further one
    max_backoff_ms: float = 1000.0
    retry_on: frozenset[Outcome] = frozenset(NEVER_RAN)
    retry_budget_ratio: float = 0.2  # attempts after one that may have run, and hedged ones, per request
    retry_in_group: bool = True  # of the first that may have run; a keyed request never leaves it
    spills_over: bool = False  # what one pool rejects goes to the next of the split
    hedge_after_ms: float = 0.0
    hedge_percentile: float = 0.0  # of the route's served latency; 0: none
    hedge_in_group: bool = True
    reject_when_exhausted: bool = False  # reject, not fail, when an attempt may have run
    requests_per_s: float = 0.0  # 0: no limit
    concurrency: int = 0  # 0: no limit
    window_margin_ms: float = 0.0  # of the repeat window that is left unused
    split: tuple[tuple[str, float], ...] = ()  # pools and their weights

    def __post_init__(self) -> None:
        _at_least(0.0, attempt_timeout_ms=self.attempt_timeout_ms, backoff_ms=self.backoff_ms)
        _at_least(0.0, max_backoff_ms=self.max_backoff_ms, retry_budget_ratio=self.retry_budget_ratio)
        _at_least(0.0, hedge_after_ms=self.hedge_after_ms, hedge_percentile=self.hedge_percentile)
        _at_least(0.0, requests_per_s=self.requests_per_s, concurrency=self.concurrency)
        _at_least(0.0, window_margin_ms=self.window_margin_ms)
        if self.max_attempts < 1:
            raise InvalidSettingsError("max_attempts: at least one attempt is needed")

    def backoff_before(self, attempt: int) -> float:
        """The backoff before attempt 1, 2, ..., ms; 0 before the first."""
        return exponential_backoff(attempt, self.backoff_ms, self.max_backoff_ms)


class RouteLimits(Protocol):
    """What a balancer needs of the limits of routes (`heronreel.balancer.routes`)."""

    def may_retry(self, policy: RoutePolicy) -> bool:
        """Whether the retry budget has an attempt after one that may have run."""

    def spend(self, policy: RoutePolicy) -> None:
        """Take such an attempt off the budget."""

    def served(self, policy: RoutePolicy, latency_ms: float) -> None:
        """Count the latency of a served request."""

    def hedge_delay(self, policy: RoutePolicy) -> float | None:
        """When a hedged request is due after the first attempt, ms; None: none."""


@dataclass(slots=True, frozen=True)
class Tenant:
    """Who sends requests, and the tenant's quota.  Raises InvalidSettingsError."""

    name: str
    share: float = 1.0
    quota_per_s: float = 0.0  # requests a second over all proxies that stay within the quota

    def __post_init__(self) -> None:
        _share(share=self.share)
        _at_least(0.0, quota_per_s=self.quota_per_s)


@dataclass(slots=True, frozen=True)
class Settings:
    """What a proxy gets at start.  Prices are points of service for each unit, 0 where nothing is due.

    Raises InvalidSettingsError.
    """

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    zone: str = ""
    zones: tuple[str, ...] = ()
    proxies: int = 1  # how many proxies share the fleet
    proxy_index: int | None = None  # this one's number among them, 0 and up; None: unknown
    watch_list: bool = False  # True: the list must be watched by a call
    watch_within_ms: float = 10000.0  # the time within which that call must be made
    max_attempts: int = 1
    hedging: bool = False
    cancel: bool = False
    probing: bool = False
    max_retry_after_ms: float = 0.0  # the longest Retry-After that clients follow; 0: none is passed on
    connect_timeout_ms: float = 250.0
    key_affinity: bool = False  # a backend that met a key lately needs less work for it
    live_weights: bool = False  # a listed weight falls with the load of its backend
    sized_weights: bool = False  # a listed weight is the size of its backend
    slow_start_from: float = 1.0  # share of its capacity a started backend has at least
    slow_start_ms: float = 0.0  # and it is warm after this long
    overload_factor: float = 2.0  # slow start: more than this times its capacity ...
    overload_window_ms: float = 1000.0  # ... for this long pushes a cold backend over
    over_quota_weight: float = 1.0
    price_cross_zone: float = 0.0
    price_late_failure: float = 0.0
    price_connection: float = 0.0
    price_handshake: float = 0.0
    price_waste: float = 0.0

    def __post_init__(self) -> None:
        if not self.classes:
            raise InvalidSettingsError("classes: at least one request class is needed")
        if self.max_attempts < 1:
            raise InvalidSettingsError("max_attempts: at least one attempt is needed")
        if self.proxies < 1:
            raise InvalidSettingsError("proxies: at least one proxy is needed")
        _at_least(0.0, watch_within_ms=self.watch_within_ms, slow_start_ms=self.slow_start_ms)
        _at_least(0.0, overload_window_ms=self.overload_window_ms, overload_factor=self.overload_factor)
        _at_least(0.0, connect_timeout_ms=self.connect_timeout_ms, max_retry_after_ms=self.max_retry_after_ms)
        _share(slow_start_from=self.slow_start_from, over_quota_weight=self.over_quota_weight)


def _at_least(low: float, **values: float) -> None:
    for name, value in values.items():
        if not value >= low:
            raise InvalidSettingsError(f"{name}: {value!r} is below {low}")


def _share(**values: float) -> None:
    for name, value in values.items():
        if not 0.0 <= value <= 1.0:
            raise InvalidSettingsError(f"{name}: {value!r} is not within 0 and 1")


@dataclass(slots=True, frozen=True)
class BackendInfo:
    """One line of the backend list."""

    backend: int
    state: BackendState = BackendState.UP
    zone: str = ""
    kind: str = ""  # compared for likeness only
    cell: int = 0  # dedup group
    weight: float = 1.0
    started_ms: float = 0.0  # 0: long ago
    pool: str = ""


@dataclass(slots=True)
class BackendList:
    """What a call of the list service returned, or that it failed."""

    kind: ListKind
    backends: list[BackendInfo] = field(default_factory=list)
    failure: WatchFailure = WatchFailure.ENDED  # of FAILED


@dataclass(slots=True)
class NewSettings:
    """Other settings from now on.  Requests under way keep their class; the list stays in force."""

    settings: Settings


@dataclass(slots=True)
class Arrival:
    """A client's request; the balancer owes it one final response.  Its id never comes twice."""

    request: int
    request_class: str
    time_left_ms: float
    tenant: str = ""
    key: int | None = None  # of affinity
    hint_ms: float = 0.0  # expected work; 0: unknown
    is_retry: bool = False
    is_write: bool = False
    policy: RoutePolicy | None = None  # takes the class's place where the host has routes
    idempotency_key: int | None = None  # the same for the client's own retries


@dataclass(slots=True)
class StreamStarted:
    """A streamed response began: the attempt is the client's now, its deadline is lifted."""

    request: int
    attempt: int
    backend: int
    latency_ms: float = 0.0


@dataclass(slots=True)
class AttemptEnded:
    """One attempt's end; attempts count 0, 1, 2 ... in the order of their `StartAttempt`."""

    request: int
    attempt: int
    backend: int
    outcome: Outcome
    latency_ms: float = 0.0
    finished: bool = False  # the request is over, by this or already before
    load: Mapping[str, float] | None = None  # the backend's own report, late and noisy


@dataclass(slots=True)
class RequestClosed:
    """A client left, or its request got a final response without the balancer."""

    request: int


@dataclass(slots=True)
class TimerFired:
    """A timer of the balancer's is due."""

    token: int


@dataclass(slots=True)
class ProbeEnded:
    """A health check's end."""

    backend: int
    outcome: Outcome
    latency_ms: float = 0.0
    load: Mapping[str, float] | None = None


@dataclass(slots=True)
class BeginMaintenance:
    """An operator takes a backend out of service: nothing new goes to it until the maintenance ends."""

    backend: int
    since_ms: float  # when the operator said so


@dataclass(slots=True)
class EndMaintenance:
    """An operator gives a backend back, restarted in between as far as anybody knows."""

    backend: int
    began_ms: float  # when the maintenance began
    at_ms: float  # when it ended


Event = (
    BackendList
    | NewSettings
    | Arrival
    | StreamStarted
    | AttemptEnded
    | RequestClosed
    | TimerFired
    | ProbeEnded
    | BeginMaintenance
    | EndMaintenance
)


@dataclass(slots=True)
class StartAttempt:
    """Send the request to a backend."""

    request: int
    backend: int
    timeout_ms: float = 0.0  # 0: until the client gives up
    within_ms: float = 0.0  # NOT_SENT if its first byte could only go out later; 0: no such limit


@dataclass(slots=True)
class CancelAttempt:
    """Give an attempt up."""

    request: int
    attempt: int


@dataclass(slots=True)
class Reject:
    """Final response: rejected, a retry does no harm."""

    request: int
    retry_after_ms: float = 0.0


@dataclass(slots=True)
class Fail:
    """Final response: failed; nothing is promised about the effect."""

    request: int


@dataclass(slots=True)
class SetTimer:
    """Return `TimerFired` with the token after a delay."""

    token: int
    delay_ms: float


@dataclass(slots=True)
class WatchList:
    """Watch the list: call for its changes from now on."""


@dataclass(slots=True)
class FetchList:
    """Call once for the full list."""


@dataclass(slots=True)
class Probe:
    """Check the health of a backend."""

    backend: int


@dataclass(slots=True)
class CloseIdleConnections:
    """Close the idle connections to a backend."""

    backend: int


Action = (
    StartAttempt
    | CancelAttempt
    | Reject
    | Fail
    | SetTimer
    | WatchList
    | FetchList
    | Probe
    | CloseIdleConnections
)
