"""The whole public interface of heronreel.balancer: settings, events in, actions out.

A host makes one `Balancer(settings, seed)` (see `heronreel.balancer.choice`) for each proxy and calls
`handle(now_ms, event)` from one thread, with a clock that never goes back and events in the order they
happened.  It carries out the returned actions in order and owes the balancer:

* exactly one `AttemptEnded` for every `StartAttempt`, also after the request is over;
* a `TimerFired` for every `SetTimer`, at or after its time;
* a `BackendList` first of all (kind CACHED), before any other event;
* `ClientGone` when a client leaves or its request is answered behind the balancer's back.

A request is over after `Refuse`, `Fail`, `ClientGone` or an `AttemptEnded` with `finished` set.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol


class Effect(Enum):
    """What a second run of the same request would do."""

    IDEMPOTENT = "idempotent"  # no harm: repeat and refuse freely
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
    ERROR = "error"  # the backend answered with an error; it may have run
    REJECTED = "rejected"  # queue full or draining: never ran
    TIMEOUT = "timeout"  # no answer in time; it may have run, or still run
    UNREACHABLE = "unreachable"  # no connection: never ran
    RESET = "reset"  # the connection broke; it may have run
    CANCELLED = "cancelled"  # called off by us; it may have run
    NOT_SENT = "not_sent"  # the host never sent it: never ran


NEVER_RAN = (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT)


class ListKind(Enum):
    """What a `BackendList` holds."""

    CACHED = "cached"  # the whole list as this proxy last had it, possibly stale
    FULL = "full"  # the whole list: a backend missing from it is gone
    CHANGES = "changes"  # only what changed
    FAILED = "failed"  # a call failed or the watch was lost; the old list stays in force


class Lost(Enum):
    """Why a list call or watch failed."""

    ENDED = "ended"  # not to be had, broken off or unreadable
    LATE = "late"  # silent for longer than a healthy one: what it misses soon counts as told
    BUSY = "busy"  # the service refused it: it has too many calls
    MOVED = "moved"  # another service is to be asked from now on: what was known of the old one is no guide


class State(Enum):
    """A backend's state on the list."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(slots=True, frozen=True)
class RequestClass:
    name: str
    aim_ms: float = 1000.0  # full worth when answered within
    deadline_ms: float = 5000.0
    worth: float = 1.0
    late_worth: float = 0.0  # share of the worth after the aim
    effect: Effect = Effect.UNSAFE
    scope: DedupScope = DedupScope.ALL
    repeat_window_ms: float = 0.0

    def __post_init__(self) -> None:
        _at_least(0.0, aim_ms=self.aim_ms, deadline_ms=self.deadline_ms, worth=self.worth)
        _at_least(0.0, repeat_window_ms=self.repeat_window_ms)
        _share(late_worth=self.late_worth)
        if not isinstance(self.effect, Effect):
            raise ValueError(f"effect: unknown effect {self.effect!r}")


def pause_before(attempt: int, first_ms: float, most_ms: float) -> float:
    """The pause before attempt 1, 2, ..., doubled each time; the first, 0, never waits."""
    if attempt < 1 or not first_ms:
        return 0.0
    return min(first_ms * 2.0 ** min(attempt - 1, 60), max(most_ms, first_ms))


@dataclass(slots=True, frozen=True)
class RoutePolicy:
    """What a request's route allows.  The request keeps it to its end, also when its route is gone."""

    route: str
    klass: RequestClass
    max_attempts: int = 1  # second copies count
    attempt_timeout_ms: float = 0.0  # 0: until the deadline
    backoff_ms: float = 0.0  # before the second attempt; doubled before each further one
    backoff_most_ms: float = 1000.0
    retry_on: frozenset[Outcome] = frozenset(NEVER_RAN)
    retry_share: float = 0.2  # attempts after one that may have run, and copies, per first try
    retry_in_group: bool = True  # of the first that may have run; a keyed request never leaves it
    spills: bool = False  # what one pool refuses goes to the next of the split
    copy_after_ms: float = 0.0
    copy_percentile: float = 0.0  # of the route's served latency; 0: none
    copy_in_group: bool = True
    refuse_exhausted: bool = False  # refuse, not fail, when an attempt may have run
    requests_per_s: float = 0.0  # 0: no limit
    concurrency: int = 0  # 0: no limit
    margin_ms: float = 0.0  # of the repeat window that is left unused
    split: tuple[tuple[str, float], ...] = ()  # pools and their weights

    def __post_init__(self) -> None:
        _at_least(0.0, attempt_timeout_ms=self.attempt_timeout_ms, backoff_ms=self.backoff_ms)
        _at_least(0.0, backoff_most_ms=self.backoff_most_ms, retry_share=self.retry_share)
        _at_least(0.0, copy_after_ms=self.copy_after_ms, copy_percentile=self.copy_percentile)
        _at_least(0.0, requests_per_s=self.requests_per_s, concurrency=self.concurrency)
        _at_least(0.0, margin_ms=self.margin_ms)
        if self.max_attempts < 1:
            raise ValueError("max_attempts: at least one attempt is needed")

    def pause_before(self, attempt: int) -> float:
        return pause_before(attempt, self.backoff_ms, self.backoff_most_ms)


class Books(Protocol):
    """What a balancer asks of the books of routes (`heronreel.balancer.routes`)."""

    def may_repeat(self, policy: RoutePolicy) -> bool: ...
    def spend(self, policy: RoutePolicy) -> None: ...
    def served(self, policy: RoutePolicy, latency_ms: float) -> None: ...
    def copy_delay(self, policy: RoutePolicy) -> float | None: ...


@dataclass(slots=True, frozen=True)
class Tenant:
    name: str
    share: float = 1.0
    quota_per_s: float = 0.0  # requests a second over all proxies that stay within the share

    def __post_init__(self) -> None:
        _share(share=self.share)
        _at_least(0.0, quota_per_s=self.quota_per_s)


@dataclass(slots=True, frozen=True)
class Settings:
    """What a proxy is told at start.  Prices are points of service for each unit, 0 where nothing is due."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    zone: str = ""
    zones: tuple[str, ...] = ()
    proxies: int = 1  # how many proxies share the fleet
    slot: int | None = None  # this one's number among them, 0 and up; None: not told
    watch_list: bool = False  # True: the list must be asked for
    ask_within_ms: float = 10000.0
    max_attempts: int = 1
    second_copies: bool = False
    cancel: bool = False
    probing: bool = False
    max_retry_after_ms: float = 0.0  # the longest advised wait that clients follow; 0: none is passed on
    connect_timeout_ms: float = 250.0
    warm_keys: bool = False  # a backend that met a key lately needs less work for it
    live_weights: bool = False  # a listed weight falls with the load of its backend
    sized_weights: bool = False  # a listed weight tells the size of its backend
    cold_from: float = 1.0  # share of its capacity a started backend has at least
    cold_ms: float = 0.0  # and it is warm after this long
    overload_factor: float = 2.0  # slow start: more than this times its capacity ...
    fall_ms: float = 1000.0  # ... for this long pushes a cold backend over
    over_share_worth: float = 1.0
    price_cross_zone: float = 0.0
    price_late_failure: float = 0.0
    price_connection: float = 0.0
    price_handshake: float = 0.0
    price_waste: float = 0.0

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: at least one request class is needed")
        if self.max_attempts < 1:
            raise ValueError("max_attempts: at least one attempt is needed")
        if self.proxies < 1:
            raise ValueError("proxies: at least one proxy is needed")
        _at_least(0.0, ask_within_ms=self.ask_within_ms, cold_ms=self.cold_ms, fall_ms=self.fall_ms)
        _at_least(0.0, connect_timeout_ms=self.connect_timeout_ms, max_retry_after_ms=self.max_retry_after_ms)
        _at_least(0.0, overload_factor=self.overload_factor)
        _share(cold_from=self.cold_from, over_share_worth=self.over_share_worth)


def _at_least(low: float, **values: float) -> None:
    for name, value in values.items():
        if not value >= low:
            raise ValueError(f"{name}: {value!r} is below {low}")


def _share(**values: float) -> None:
    for name, value in values.items():
        if not 0.0 <= value <= 1.0:
            raise ValueError(f"{name}: {value!r} is not within 0 and 1")


@dataclass(slots=True, frozen=True)
class BackendInfo:
    """One line of the backend list."""

    backend: int
    state: State = State.UP
    zone: str = ""
    kind: str = ""  # compared for likeness only
    cell: int = 0  # dedup group
    weight: float = 1.0
    started_ms: float = 0.0  # 0: long ago
    pool: str = ""


@dataclass(slots=True)
class BackendList:
    kind: ListKind
    backends: list[BackendInfo] = field(default_factory=list)
    lost: Lost = Lost.ENDED  # of FAILED


@dataclass(slots=True)
class NewSettings:
    """Other settings from now on.  Requests under way keep their class; the list stays in force."""

    settings: Settings


@dataclass(slots=True)
class Arrival:
    """A client's request; the balancer owes it one final answer.  Its id never comes twice."""

    request: int
    klass: str
    time_left_ms: float
    tenant: str = ""
    key: int | None = None
    hint_ms: float = 0.0  # expected work; 0: none given
    is_retry: bool = False
    is_write: bool = False
    policy: RoutePolicy | None = None  # takes the class's place where the host has routes
    repeat_key: int | None = None  # the same for the client's own repeats


@dataclass(slots=True)
class StreamStarted:
    """A streamed answer began: the attempt is the client's now, its deadline is lifted."""

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
class ClientGone:
    request: int


@dataclass(slots=True)
class TimerFired:
    token: int


@dataclass(slots=True)
class ProbeEnded:
    backend: int
    outcome: Outcome
    latency_ms: float = 0.0
    load: Mapping[str, float] | None = None


@dataclass(slots=True)
class HoldBackend:
    """An operator takes a backend out of service: nothing new goes to it until it is released."""

    backend: int
    since_ms: float  # when the operator said so


@dataclass(slots=True)
class ReleaseBackend:
    """An operator gives a backend back, restarted in between as far as anybody knows."""

    backend: int
    held_ms: float  # when it was held
    at_ms: float  # when it was released


Event = (
    BackendList | NewSettings | Arrival | StreamStarted | AttemptEnded | ClientGone | TimerFired | ProbeEnded
    | HoldBackend | ReleaseBackend
)  # fmt: skip


@dataclass(slots=True)
class StartAttempt:
    request: int
    backend: int
    timeout_ms: float = 0.0  # 0: until the client gives up
    within_ms: float = 0.0  # NOT_SENT if its first byte could only go out later; 0: no such limit


@dataclass(slots=True)
class CancelAttempt:
    request: int
    attempt: int


@dataclass(slots=True)
class Refuse:
    """Final answer: turned away, trying again does no harm."""

    request: int
    retry_after_ms: float = 0.0


@dataclass(slots=True)
class Fail:
    """Final answer: failed; nothing is promised about the effect."""

    request: int


@dataclass(slots=True)
class SetTimer:
    token: int
    delay_ms: float


@dataclass(slots=True)
class WatchList:
    """Ask for the list's changes from now on."""


@dataclass(slots=True)
class FetchList:
    """Ask once for the whole list."""


@dataclass(slots=True)
class Probe:
    backend: int


@dataclass(slots=True)
class CloseIdle:
    backend: int


Action = StartAttempt | CancelAttempt | Refuse | Fail | SetTimer | WatchList | FetchList | Probe | CloseIdle
