"""The public interface of heronreel.balancer: settings, input events and output actions.

A host creates one `heronreel.balancer.Balancer(settings, seed)` per proxy.  It calls `handle(now_ms, event)`
from a single thread, with a clock that never goes back and with events in the order in which they happened.
It carries out the returned actions in order, and it must deliver:

* exactly one `AttemptEnded` for every `StartAttempt`, even if the request has already ended;
* a `TimerFired` for every `SetTimer`, at or after its time;
* a `BackendList` of kind CACHED before any other event;
* optionally an `AttemptStalled` for an attempt whose response stops half-way;
* `RequestClosed` when a client disconnects or its request gets a final response without the balancer.

A request ends with `Reject`, `Fail`, `RequestClosed` or an `AttemptEnded` whose `finished` is set.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from heronreel.balancer.errors import InvalidSettingsError


class Effect(Enum):
    """What happens when a backend runs the same request a second time."""

    # A second run does no harm, so the request may be retried and rejected at any time.
    IDEMPOTENT = "idempotent"
    # The backends of a deduplication group drop repeats within the repeat window.
    KEYED = "keyed"
    # The request must never run twice.
    UNSAFE = "unsafe"


class DedupScope(Enum):
    """Which backends form a deduplication group, which drops repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How one attempt ended, and whether the request may have run at the backend."""

    SERVED = "served"
    # The backend responded with an error; the request may have run.
    ERROR = "error"
    # The backend's queue was full or it was draining; the request did not run.
    REJECTED = "rejected"
    # No response came in time; the request may have run or may still be running.
    TIMEOUT = "timeout"
    # No connection could be opened; the request did not run.
    UNREACHABLE = "unreachable"
    # The connection broke; the request may have run.
    RESET = "reset"
    # The proxy cancelled the attempt; the request may have run.
    CANCELLED = "cancelled"
    # The host never sent the attempt; the request did not run.
    NOT_SENT = "not_sent"


NEVER_RAN = (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT)
"""Outcomes that prove that the request did not run at the backend."""


class ListKind(Enum):
    """What a `BackendList` contains."""

    # The full list that this proxy last received; it may be stale.
    CACHED = "cached"
    # The full list: a backend that is missing from it has been removed.
    FULL = "full"
    # Only the backends that changed.
    CHANGES = "changes"
    # A call failed or the watch was lost; the previous list remains in force.
    FAILED = "failed"


class WatchFailure(Enum):
    """Why a list call or a watch failed."""

    # The service was unavailable, the stream broke off, or its data was unreadable.
    ENDED = "ended"
    # The watch was silent for longer than a healthy one; the changes that it misses soon count as received.
    LATE = "late"
    # The service refused the call because it has too many calls.
    BUSY = "busy"
    # Calls go to another service from now on, so earlier failures say nothing about it.
    MOVED = "moved"


class BackendState(Enum):
    """The state of a backend on the list."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "gone"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """The properties that all requests of one class share.

    Raises:
        InvalidSettingsError: a value is out of range.
    """

    name: str
    latency_objective_ms: float = 1000.0  # A response within this time counts with its full weight.
    deadline_ms: float = 5000.0
    priority_weight: float = 1.0
    late_weight: float = 0.0  # The share of the weight that a response after the objective still has.
    effect: Effect = Effect.UNSAFE
    dedup_scope: DedupScope = DedupScope.ALL
    repeat_window_ms: float = 0.0

    def __post_init__(self) -> None:
        _require_at_least(0.0, latency_objective_ms=self.latency_objective_ms, deadline_ms=self.deadline_ms)
        _require_at_least(0.0, priority_weight=self.priority_weight, repeat_window_ms=self.repeat_window_ms)
        _require_share(late_weight=self.late_weight)
        if not isinstance(self.effect, Effect):
            raise InvalidSettingsError(f"effect: unknown effect {self.effect!r}")


def exponential_backoff(attempt: int, first_ms: float, max_ms: float) -> float:
    """Return the backoff in ms before attempt 1, 2, ...; it doubles with each attempt.

    Attempt 0 is the first and starts without a backoff.
    """
    if attempt < 1 or not first_ms:
        return 0.0
    return min(first_ms * 2.0 ** min(attempt - 1, 60), max(max_ms, first_ms))


@dataclass(slots=True, frozen=True)
class RoutePolicy:
    """The retries, hedged requests and limits that a request's route allows.

    A request keeps its policy until it ends, even if its route is removed in the meantime.

    Raises:
        InvalidSettingsError: a value is out of range.
    """

    route: str
    request_class: RequestClass
    max_attempts: int = 1  # Hedged requests count as attempts.
    attempt_timeout_ms: float = 0.0  # 0: an attempt may last until the request's deadline.
    backoff_ms: float = 0.0  # The backoff before the second attempt; it doubles before each further one.
    max_backoff_ms: float = 1000.0
    retry_on: frozenset[Outcome] = frozenset(NEVER_RAN)
    # How many attempts a request adds to the retry budget.  Hedged requests and attempts that follow one that
    # may have run are paid from it.
    retry_budget_ratio: float = 0.2
    # Whether a retry stays in the deduplication group of the first attempt that may have run.  A retry of a
    # keyed request always does.
    retry_in_group: bool = True
    spills_over: bool = False  # Whether a request that one pool rejects goes to another pool of the split.
    hedge_after_ms: float = 0.0
    hedge_percentile: float = 0.0  # Hedge at this percentile of the route's served latency; 0: disabled.
    hedge_in_group: bool = True
    reject_when_exhausted: bool = False  # Reject instead of failing when an attempt may have run.
    requests_per_s: float = 0.0  # 0: unlimited.
    concurrency: int = 0  # 0: unlimited.
    window_margin_ms: float = 0.0  # The part at the end of the repeat window in which no retry starts.
    split: tuple[tuple[str, float], ...] = ()  # The pools and their weights.

    def __post_init__(self) -> None:
        _require_at_least(0.0, attempt_timeout_ms=self.attempt_timeout_ms, backoff_ms=self.backoff_ms)
        _require_at_least(0.0, max_backoff_ms=self.max_backoff_ms, retry_budget_ratio=self.retry_budget_ratio)
        _require_at_least(0.0, hedge_after_ms=self.hedge_after_ms, hedge_percentile=self.hedge_percentile)
        _require_at_least(0.0, requests_per_s=self.requests_per_s, concurrency=self.concurrency)
        _require_at_least(0.0, window_margin_ms=self.window_margin_ms)
        if self.max_attempts < 1:
            raise InvalidSettingsError("max_attempts: at least one attempt is needed")

    def hedges(self) -> bool:
        """Return whether the route allows hedged requests."""
        return self.hedge_after_ms > 0.0 or self.hedge_percentile > 0.0

    def backoff_before(self, attempt: int) -> float:
        """Return the backoff in ms before attempt 1, 2, ...; it is 0 before attempt 0, the first."""
        return exponential_backoff(attempt, self.backoff_ms, self.max_backoff_ms)


class RouteLimits(Protocol):
    """The limits of routes that a balancer asks for; implemented in `heronreel.balancer.routes`."""

    def may_retry(self, policy: RoutePolicy) -> bool:
        """Return whether the retry budget allows an attempt after one that may have run."""

    def spend_retry(self, policy: RoutePolicy) -> None:
        """Take one such attempt from the retry budget."""

    def record_served(self, policy: RoutePolicy, latency_ms: float) -> None:
        """Record the latency of a served request."""

    def hedge_delay(self, policy: RoutePolicy) -> float | None:
        """Return the delay in ms from the first attempt to a hedged request; None disables hedging."""


@dataclass(slots=True, frozen=True)
class Tenant:
    """A sender of requests and its quota.

    Raises:
        InvalidSettingsError: a value is out of range.
    """

    name: str
    share: float = 1.0
    quota_per_s: float = 0.0  # The requests per second, over all proxies, that are within the quota.

    def __post_init__(self) -> None:
        _require_share(share=self.share)
        _require_at_least(0.0, quota_per_s=self.quota_per_s)


@dataclass(slots=True, frozen=True)
class Settings:
    """The configuration of one proxy.

    Prices are deducted from the service score, in points per unit; 0 means that nothing is deducted.

    Raises:
        InvalidSettingsError: a value is out of range.
    """

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    zone: str = ""
    zones: tuple[str, ...] = ()
    proxies: int = 1  # The number of proxies that share the fleet.
    proxy_index: int | None = None  # The zero-based index of this proxy among them; None: unknown.
    watch_list: bool = False  # Whether the balancer must watch the list by calling the list service.
    watch_within_ms: float = 10000.0  # The time within which that call must be made.
    max_attempts: int = 1
    hedging: bool = False
    cancel: bool = False
    probing: bool = False
    max_retry_after_ms: float = 0.0  # The longest Retry-After that clients follow; 0: none is sent.
    connect_timeout_ms: float = 250.0
    key_affinity: bool = False  # Whether a backend that recently served a key needs less work for it.
    live_weights: bool = False  # Whether a listed weight falls with the load of its backend.
    sized_weights: bool = False  # Whether a listed weight is the size of its backend.
    # A started backend has at least this share of its capacity, and it is warm after `slow_start_ms`.
    slow_start_from: float = 1.0
    slow_start_ms: float = 0.0
    # Slow start: a cold backend is overloaded by more than this multiple of its capacity during the window.
    overload_factor: float = 2.0
    overload_window_ms: float = 1000.0
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
        _require_at_least(0.0, watch_within_ms=self.watch_within_ms, slow_start_ms=self.slow_start_ms)
        _require_at_least(
            0.0, overload_window_ms=self.overload_window_ms, overload_factor=self.overload_factor
        )
        _require_at_least(
            0.0, connect_timeout_ms=self.connect_timeout_ms, max_retry_after_ms=self.max_retry_after_ms
        )
        _require_share(slow_start_from=self.slow_start_from, over_quota_weight=self.over_quota_weight)


def _require_at_least(minimum: float, **values: float) -> None:
    for name, value in values.items():
        if not value >= minimum:
            raise InvalidSettingsError(f"{name}: {value!r} is below {minimum}")


def _require_share(**values: float) -> None:
    for name, value in values.items():
        if not 0.0 <= value <= 1.0:
            raise InvalidSettingsError(f"{name}: {value!r} is not between 0 and 1")


@dataclass(slots=True, frozen=True)
class BackendInfo:
    """One entry of the backend list."""

    backend: int
    state: BackendState = BackendState.UP
    zone: str = ""
    kind: str = ""  # The hardware kind; kinds are only compared for equality.
    cell: int = 0  # The deduplication group of scope CELL.
    weight: float = 1.0
    started_ms: float = 0.0  # When the backend started; 0: long ago.
    pool: str = ""


@dataclass(slots=True)
class BackendList:
    """The result of a call to the list service, or the report that it failed."""

    kind: ListKind
    backends: list[BackendInfo] = field(default_factory=list)
    failure: WatchFailure = WatchFailure.ENDED  # Only meaningful for kind FAILED.


@dataclass(slots=True)
class NewSettings:
    """Settings that apply from now on.

    Requests in progress keep their class, and the backend list remains in force.
    """

    settings: Settings


@dataclass(slots=True)
class Arrival:
    """A client's request, to which the balancer gives one final response.  Request ids are never reused."""

    request: int
    request_class: str
    time_left_ms: float
    tenant: str = ""
    key: int | None = None  # The affinity key.
    hint_ms: float = 0.0  # The expected work; 0: unknown.
    is_retry: bool = False
    is_write: bool = False
    policy: RoutePolicy | None = None  # Takes precedence over `request_class` if the host has routes.
    idempotency_key: int | None = None  # A client sends the same key with its own retries.


@dataclass(slots=True)
class StreamStarted:
    """A streamed response began: it now passes to the client, and its deadline no longer applies."""

    request: int
    attempt: int
    backend: int
    latency_ms: float = 0.0


@dataclass(slots=True)
class AttemptEnded:
    """The end of one attempt.  Attempts are numbered 0, 1, 2 ... in the order of their `StartAttempt`."""

    request: int
    attempt: int
    backend: int
    outcome: Outcome
    latency_ms: float = 0.0
    finished: bool = False  # Whether the request has ended, with this attempt or before.
    load: Mapping[str, float] | None = None  # The backend's own load report, which is late and noisy.


@dataclass(slots=True)
class AttemptStalled:
    """A response has begun and brings no more bytes, but its attempt goes on and may still be served.

    The host may report the same attempt again while the silence lasts.
    """

    request: int
    attempt: int


@dataclass(slots=True)
class RequestClosed:
    """The client disconnected, or its request got a final response without the balancer."""

    request: int


@dataclass(slots=True)
class TimerFired:
    """A timer that the balancer set is due."""

    token: int


@dataclass(slots=True)
class ProbeEnded:
    """The result of a health check."""

    backend: int
    outcome: Outcome
    latency_ms: float = 0.0
    load: Mapping[str, float] | None = None


@dataclass(slots=True)
class BeginMaintenance:
    """An operator takes a backend out of service: it gets no new attempts until the maintenance ends."""

    backend: int
    since_ms: float  # When the operator took it out of service.


@dataclass(slots=True)
class EndMaintenance:
    """An operator returns a backend to service; it must be assumed to have restarted in the meantime."""

    backend: int
    began_ms: float  # When the maintenance began.
    at_ms: float  # When the maintenance ended.


Event = (
    BackendList
    | NewSettings
    | Arrival
    | StreamStarted
    | AttemptEnded
    | AttemptStalled
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
    timeout_ms: float = 0.0  # 0: until the client disconnects.
    # The host must report NOT_SENT if it cannot send the first byte within this time; 0: no limit.
    within_ms: float = 0.0


@dataclass(slots=True)
class CancelAttempt:
    """Cancel an attempt."""

    request: int
    attempt: int


@dataclass(slots=True)
class Reject:
    """Final response: the request is rejected, and the client may safely retry it."""

    request: int
    retry_after_ms: float = 0.0


@dataclass(slots=True)
class Fail:
    """Final response: the request failed, and it is unknown whether it took effect."""

    request: int


@dataclass(slots=True)
class SetTimer:
    """Deliver `TimerFired` with this token after the delay."""

    token: int
    delay_ms: float


@dataclass(slots=True)
class WatchList:
    """Start a watch: call the list service for all changes from now on."""


@dataclass(slots=True)
class FetchList:
    """Call the list service once for the full list."""


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
