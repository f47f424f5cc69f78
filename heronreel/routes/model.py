"""What a checked file of routes says, as frozen records.  Times are milliseconds, rates are per second."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from heronreel.balancer.interface import NEVER_RAN, DedupScope, Effect, Outcome, exponential_backoff

Path = tuple[str | int, ...]  # of a value in the file: ("routes", 3, "attempts")

EFFECTS = {"safe": Effect.IDEMPOTENT, "keyed": Effect.KEYED, "unsafe": Effect.UNSAFE}
GROUPS = {"rack": DedupScope.CELL, "zone": DedupScope.ZONE, "all": DedupScope.ALL}
OUTCOMES: dict[str, tuple[Outcome, ...]] = {
    "not-run": NEVER_RAN,
    "error": (Outcome.ERROR,),
    "reset": (Outcome.RESET,),
    "timeout": (Outcome.TIMEOUT,),
}
EFFECT_WORDS = {effect: word for word, effect in EFFECTS.items()}
GROUP_WORDS = {scope: word for word, scope in GROUPS.items()}


class Reach(Enum):
    """How far from the first attempt's backend a further attempt may go."""

    GROUP = "group"  # the same dedup group of the same pool
    POOL = "pool"  # anywhere in the same pool
    SPLIT = "split"  # any pool that the route splits its requests between


class Exhausted(Enum):
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
class Share:
    pool: str
    weight: float


@dataclass(slots=True, frozen=True)
class Policy:
    """What a route's requests may do."""

    klass: str
    effect: Effect = Effect.UNSAFE
    group: DedupScope = DedupScope.CELL
    window_ms: float = 0.0  # for so long after the first the group drops repeats of a key
    aim_ms: float = 1000.0
    deadline_ms: float = 5000.0
    attempt_timeout_ms: float = 0.0  # 0: until the deadline
    attempts: int = 1  # the first one included, second copies too
    backoff_ms: float = 0.0  # before the second attempt; doubled before each further one
    backoff_most_ms: float = 1000.0
    retry_budget: float = 0.2  # retries and second copies, per first try
    retry_on: frozenset[str] = frozenset(("not-run",))
    retry_to: Reach = Reach.GROUP
    second_copy_after_ms: float = 0.0  # 0: none after a fixed time
    second_copy_percentile: float = 0.0  # 0: none after a percentile of the latency seen
    second_copy_to: Reach = Reach.GROUP
    when_exhausted: Exhausted = Exhausted.FAIL
    requests_per_s: float = 0.0  # of this proxy; 0: no limit
    concurrency: int = 0  # requests under way at once on this proxy; 0: no limit
    worth: float = 1.0
    late_worth: float = 0.0

    @property
    def copies(self) -> bool:
        return bool(self.second_copy_after_ms or self.second_copy_percentile)

    @property
    def retries_after_it_may_have_run(self) -> frozenset[str]:
        return self.retry_on - {"not-run"} if self.attempts > 1 else frozenset()

    @property
    def attempt_most_ms(self) -> float:
        """How long one attempt may take."""
        return min(self.attempt_timeout_ms or self.deadline_ms, self.deadline_ms)

    def backoff_before(self, attempt: int) -> float:
        """The longest pause before attempt 1, 2, ... (0 is the first and never waits), ms."""
        return exponential_backoff(attempt, self.backoff_ms, self.backoff_most_ms)


@dataclass(slots=True, frozen=True, eq=False)
class Route:
    name: str
    place: int  # in the file, from 0
    match: Match
    policy: Policy
    split: tuple[Share, ...]
    priority: int = 0  # a higher one is tried first, whatever is more specific
    origins: Mapping[str, str] = field(
        default_factory=dict
    )  # by field of the policy: route, defaults, built in


@dataclass(slots=True, frozen=True)
class Limits:
    """What the proxy's surroundings allow: from the file's [proxy], or from the platform's settings."""

    max_attempts: int = 4
    second_copies: bool = False
    connect_timeout_ms: float = 250.0
    client_wait_ms: float = 2500.0  # the longest that clients wait for an answer
    clock_margin_ms: float = 50.0  # between a decision and its first byte, on a busy machine
    max_retry_after_ms: float = 0.0
    classes: Mapping[str, tuple[Effect, DedupScope, float, float]] | None = None
    """On a platform that names classes: effect, group, window ms and deadline ms of each; None: free."""


@dataclass(slots=True, frozen=True)
class Process:
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
    limits: Limits = Limits()


@dataclass(slots=True, frozen=True)
class Fleet:
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
class Probe:
    """The [probe] table."""

    path: str
    every_ms: float = 1000.0
    timeout_ms: float = 500.0
    fall: int = 3  # failures in a row
    rise: int = 2  # successes in a row


@dataclass(slots=True, frozen=True)
class RoutesFile:
    process: Process
    listeners: tuple[Listener, ...]
    pools: Mapping[str, Pool]
    tenants: tuple[Tenant, ...]
    routes: tuple[Route, ...]
    lines: Mapping[Path, int] = field(default_factory=dict)
    fleet: Fleet | None = None
    probe: Probe | None = None

    def line(self, *path: str | int) -> int:
        """The line of a value, or of the nearest table that holds it."""
        while path:
            if path in self.lines:
                return self.lines[path]
            path = path[:-1]
        return 0
