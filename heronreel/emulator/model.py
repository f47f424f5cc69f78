"""The configuration read from a rehearsal script: one frozen record per table, with its defaults.

`field(name=...)` gives the key in the file if it differs from the attribute; keys never change.  Error
messages print the descriptions in the annotations after the word "expected".  The names of durations end in
their unit, shares run from 0 to 1, and work is in ms of one core at speed 1.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

from msgspec import Meta, Struct, field

from heronreel.emulator.notification_terms import UNTOLD_MS
from heronreel.routes.schema import Count, DurationMs, Flag, Name, PositiveDurationMs, Share

SCRIPT_VERSION = 1
MAX_PROXIES = 2_000
MAX_FAULTS = 1_000
MAX_DURATION_S = 6 * 3600.0


def _meta(description: str, **bounds: Any) -> Meta:
    return Meta(description=description, **bounds)


Seconds = Annotated[float, _meta("seconds from 0 to 21,600", ge=0.0, le=MAX_DURATION_S)]
Duration = Annotated[float, _meta("seconds over 0 and up to 21,600", gt=0.0, le=MAX_DURATION_S)]
Factor = Annotated[float, _meta("a number from 0 to 1,000", ge=0.0, le=1000.0)]
Speed = Annotated[float, _meta("a number over 0 and up to 100", gt=0.0, le=100.0)]
Price = Annotated[float, _meta("points of service from 0 to 1", ge=0.0, le=1.0)]
Many = Annotated[int, _meta("a whole number from 1 to 2,000", ge=1, le=2_000)]
PerSecond = Annotated[float, _meta("a number a second from 0 to 1,000,000", ge=0.0, le=1e6)]
Distribution = Annotated[Literal["exp", "lognormal", "fixed"], _meta('"exp", "lognormal" or "fixed"')]
Title = Annotated[str, _meta("a text of at most 200 characters", max_length=200)]
Names = Annotated[list[str], _meta("a list of names")]


class NodeKind(Struct, frozen=True):
    """One kind of node (`[[fleet.kinds]]`).  0 disables a feature, except that `warm_up_floor` needs 1."""

    name: Name
    share: Share = 1.0
    cores: Annotated[int, _meta("a whole number from 1 to 256", ge=1, le=256)] = 2
    slots: Annotated[int, _meta("a whole number from 1 to 64, for each core", ge=1, le=64)] = 1
    speed: Speed = 1.0
    speed_cv: Share = 0.0
    queue: Annotated[int, _meta("a whole number from 0 to 1,000,000", ge=0, le=1_000_000)] = 4
    thrash: Share = 0.0  # maximum share of the pace lost to contention
    thrash_at: Speed = 6.0  # requests per core, beyond the cores, at which `thrash` is reached
    connections: Count = 0  # maximum number of open connections; 0 is unlimited
    full_tax: Share = 0.0  # share of the pace lost when the connection table is full
    handshake_ms: DurationMs = 0.0  # work of a new connection
    handshake_rtts: Factor = 1.0
    warm_gain: Share = 0.0  # share of the work saved for a recently used key
    warm_ms: DurationMs = 5000.0
    warm_keys: Count = 20
    warm_up_floor: Share = field(default=1.0, name="cold_from")  # share of the pace right after a start
    warm_up_ms: DurationMs = field(default=0.0, name="cold_ms")
    warm_up_work_ms: DurationMs = field(default=0.0, name="warm_work_ms")  # ends the warm-up early
    error_rate: Share = 0.0
    pause_every_ms: DurationMs = 0.0
    pause_ms: DurationMs = 0.0


class FleetConfig(Struct, frozen=True):
    """The nodes, their racks and zones (`[fleet]`)."""

    nodes: Many = 12
    zones: Names = field(default_factory=lambda: ["z0"])
    rack_size: Many = 6
    limited_racks: Share = 0.0  # share of racks with a hidden limit common to their nodes
    rack_limit: Share = 0.6  # share of the total capacity of the rack's nodes
    kinds: tuple[NodeKind, ...] = ()


class NetworkConfig(Struct, frozen=True):
    """One-way latencies (`[network]`)."""

    same_zone_ms: DurationMs = field(default=0.3, name="same_ms")
    cross_zone_ms: DurationMs = field(default=15.0, name="cross_ms")
    client_ms: DurationMs = 0.8
    jitter: Share = 0.1


class ProxyConfig(Struct, frozen=True):
    """The proxies and what they may do (`[proxies]`)."""

    count: Many = 6
    skew: Share = 0.0  # load of the busiest proxy over the mean, minus 1; linear in the rank
    policy: Name = "heronreel"
    routes: Annotated[str, _meta("the path of a file of routes")] = ""
    idle_ms: DurationMs = 1000.0  # idle connections to nodes are closed after this
    connect_timeout_ms: PositiveDurationMs = 250.0
    max_attempts: Annotated[int, _meta("a whole number from 1 to 16", ge=1, le=16)] = 4
    hedging: Flag = field(default=False, name="second_copies")
    max_retry_after_ms: DurationMs = 2000.0
    restart_ms: DurationMs = 1000.0  # from the end of a process to its successor's first healthy response
    shutdown_limit_ms: DurationMs = field(
        default=3000.0, name="term_ms"
    )  # from SIGTERM to a kill at the latest


class FrontEndConfig(Struct, frozen=True):
    """The front end, which distributes requests over proxies (`[front]`)."""

    detection_ms: DurationMs = field(
        default=2000.0, name="notice_ms"
    )  # until a dead proxy gets no new requests


class TrafficPoint(Struct, frozen=True):
    """A point of the traffic's shape (`[[traffic.points]]`)."""

    at_s: Seconds
    factor: Factor


class TrafficConfig(Struct, frozen=True):
    """How many requests arrive, and when (`[traffic]`)."""

    requests_per_s: PerSecond = 100.0
    zone_skew: Share = 0.0
    arrivals: Annotated[Literal["open", "closed"], _meta('"open" or "closed"')] = "open"
    users: Annotated[int, _meta("a whole number from 1 to 100,000", ge=1, le=100_000)] = 50  # closed only
    think_ms: DurationMs = 500.0  # closed only
    points: tuple[TrafficPoint, ...] = ()  # a factor on the rate, linear between points


class RequestClass(Struct, frozen=True):
    """A class of requests (`[[classes]]`)."""

    name: Name = "save"
    share: Share = 1.0
    work_ms: PositiveDurationMs = 80.0
    distribution: Distribution = field(default="exp", name="dist")
    cv: Factor = 1.0
    attempt_noise: Factor = 0.0  # deviation of an attempt's work over the request's
    hint_noise: Factor = 0.1
    hints: Flag = True
    latency_objective_ms: PositiveDurationMs = field(default=500.0, name="aim_ms")
    deadline_ms: PositiveDurationMs = 2500.0
    weight: Factor = field(default=1.0, name="worth")
    late_weight: Share = field(default=0.5, name="late_worth")
    effect: Annotated[Literal["safe", "keyed", "unsafe"], _meta('"safe", "keyed" or "unsafe"')] = "keyed"
    dedup_scope: Annotated[Literal["rack", "zone", "all"], _meta('"rack", "zone" or "all"')] = field(
        default="rack", name="group"
    )
    dedup_window_ms: DurationMs = field(default=5000.0, name="window_ms")

    @property
    def dedup_ms(self) -> float:
        """Return how long nodes drop duplicates: 0 without an idempotency key."""
        return self.dedup_window_ms if self.effect == "keyed" else 0.0


class Tenant(Struct, frozen=True):
    """A tenant and its quota (`[[tenants]]`)."""

    name: Name
    share: Share = 1.0  # share of the traffic that it is entitled to
    usage: Factor = 1.0  # its traffic over that share
    quota_per_s: PerSecond = 0.0  # requests beyond it have little weight; 0 is its share of the rate


class KeyDistribution(Struct, frozen=True):
    """The keys of requests (`[keys]`)."""

    count: Count = 1000
    zipf: Factor = 1.0


class ClientConfig(Struct, frozen=True):
    """Client behaviour: retries, backoff and patience (`[clients]`)."""

    retries: Annotated[int, _meta("a whole number from 0 to 20", ge=0, le=20)] = 1
    backoff_ms: DurationMs = 100.0
    backoff: Annotated[Literal["fixed", "exp"], _meta('"fixed" or "exp"')] = "exp"
    honor_retry_after: Share = field(default=1.0, name="honour")  # share of clients that obey Retry-After
    abandon_share: Share = field(
        default=0.0, name="impatient"
    )  # share of requests whose client disconnects early
    abandon_after: Share = field(
        default=0.5, name="patience"
    )  # share of the deadline after which those disconnect
    attempt_timeout_share: Share = field(
        default=1.0, name="try_share"
    )  # share of the deadline allowed per attempt
    mark_retries: Flag = field(default=True, name="marks")


class EndpointListConfig(Struct, frozen=True):
    """The endpoint list service (`[list]`)."""

    entries_per_s: Annotated[float, _meta("lines a second over 0", gt=0.0, le=1e7)] = field(
        default=200.0, name="lines_per_s"
    )
    call_cost: Factor = field(default=24.0, name="call_lines")  # cost of a call itself, in entries
    timeout_ms: PositiveDurationMs = 3000.0
    removal_delay_ms: DurationMs = field(
        default=2500.0, name="notice_ms"
    )  # until it learns that a node is removed
    addition_delay_ms: DurationMs = field(default=1000.0, name="add_ms")  # until it learns of a new node
    batch_ms: PositiveDurationMs = field(default=500.0, name="period_ms")  # interval of sending changes
    max_backlog: Annotated[int, _meta("a whole number from 1 to 1,000,000", ge=1, le=1_000_000)] = field(
        default=10_000, name="backlog"
    )
    # Service time of each call, which replaces the cost in entries.  Calls that would wait for longer than
    # `timeout_ms` are then refused with 503 but still processed.  0 disables it.
    call_ms: DurationMs = 0.0
    snapshot_share: Share = 1.0  # share of responses with the whole list; the others hold the changes
    snapshot_omits_draining: Flag = False  # whole lists omit draining nodes


class InvariantLimits(Struct, frozen=True):
    """Time limits of the invariants (`[rules]`)."""

    response_grace_ms: DurationMs = field(default=50.0, name="answer_grace_ms")
    drain_grace_ms: DurationMs = 500.0
    # A change counts as delivered this long after the list service learned of it; 0: only when it arrives.
    delivered_after_ms: DurationMs = field(default=0.0, name="told_ms")
    # Limit after the end of a watch that ended instead of sending a change (`instead_of_change`); 0: off.
    untold_ms: DurationMs = UNTOLD_MS
    # Limit after the list service knew a change and was reachable, for a proxy whose last call failed.  It
    # then replaces the other limits.  0 disables it.
    failed_call_ms: DurationMs = 0.0
    poll_within_ms: PositiveDurationMs = field(default=10_000.0, name="ask_within_ms")
    overload_factor: Annotated[float, _meta("a number from 1 to 100", ge=1.0, le=100.0)] = 4.0
    collapse_window_ms: PositiveDurationMs = field(default=2000.0, name="fall_ms")
    collapse_slack_ms: DurationMs = field(
        default=400.0, name="fall_slack_ms"
    )  # tolerated random excess of work


class Prices(Struct, frozen=True):
    """Points of service lost for each unit of cost (`[prices]`)."""

    handshake: Price = 0.0  # for one handshake per request
    connection: Price = 0.0  # for 100 connections per node
    cross_zone: Price = 0.0
    late_failure: Price = 0.0
    waste: Price = 0.0
    list_calls: Price = 0.0  # for one call per second and proxy


class ScoreWeights(Struct, frozen=True):
    """The weights of the parts of a score (`[score]`)."""

    whole: Share = 0.6
    worst_window: Share = 0.15
    worst_tenant: Share = 0.25
    window_s: Duration = 10.0
    over_quota_weight: Share = field(default=0.05, name="over_share_worth")
    by_work: Flag = True  # multiply a request's weight by its work in ms


FaultKind = Literal[
    "slow",
    "errors",
    "neighbour",
    "pause",
    "silent",
    "crash",
    "drain",
    "replace",
    "grow",
    "lose_answers",
    "reset",
    "zone_lost",
    "zone_cut",
    "burst",
    "heavy",
    "shift",
    "tenant",
    "list_slow",
    "list_refuses",
    "list_silent",
    "list_breaks",
    "list_garbled",
    "list_late",
    "list_resets",
    "kill",
    "restart",
    "reload",
]


class Fault(Struct, frozen=True):
    """One fault to inject (`[[troubles]]`); `docs/emulator.md` lists the fields of each kind."""

    fault_kind: Annotated[FaultKind, _meta("a kind of trouble")] = field(name="what")
    at_s: Seconds
    for_s: Seconds = 0.0
    size: Factor = 0.0
    share: Share = 0.0  # random share of the candidates
    names: Names = field(default_factory=list)
    rack: Annotated[str, _meta("the name of a rack")] = ""
    zone: Annotated[str, _meta("the name of a zone")] = ""
    node_kind: Annotated[str, _meta("the name of a kind")] = field(default="", name="kind")
    tenant: Annotated[str, _meta("the name of a tenant")] = ""
    busiest: Count = 0  # number of targets: those with the most load at the start
    count: Count = 0  # number of random targets; for `grow`, of new nodes
    within_s: Seconds = 0.0  # the targets are affected one after the other over this time
    every_s: Seconds = 0.0  # period of switching on and off, half of it each
    cold_start: Flag = field(default=True, name="cold")
    same_address: Flag = field(default=False, name="same")  # for `replace`: restart in place, at once
    after_s: Seconds = 0.0  # from drain to end, or crash to restart; for `list_resets`, delay
    instead_of_change: Flag = False  # for `list_resets`: at the next change, which no watch gets

    @property
    def end_s(self) -> float:
        """Return the end of the fault in seconds from the start of the rehearsal."""
        return self.at_s + max(self.for_s, self.within_s)


class Rehearsal(Struct, frozen=True):
    """A whole script."""

    name: Title = "rehearsal"
    seconds: Duration = 30.0
    fleet: FleetConfig = FleetConfig()
    network: NetworkConfig = NetworkConfig()
    proxies: ProxyConfig = ProxyConfig()
    front_end: FrontEndConfig = field(default=FrontEndConfig(), name="front")
    traffic: TrafficConfig = TrafficConfig()
    classes: tuple[RequestClass, ...] = (RequestClass(),)
    tenants: tuple[Tenant, ...] = ()
    keys: KeyDistribution = KeyDistribution()
    clients: ClientConfig = ClientConfig()
    endpoint_list: EndpointListConfig = field(default=EndpointListConfig(), name="list")
    rules: InvariantLimits = InvariantLimits()
    prices: Prices = Prices()
    score: ScoreWeights = ScoreWeights()
    faults: tuple[Fault, ...] = field(default=(), name="troubles")

    @property
    def duration_ms(self) -> float:
        """Return for how many ms requests arrive."""
        return self.seconds * 1000.0

    def capacity(self) -> float:
        """Return the work per ms that the whole fleet does at nominal speed."""
        fleet = self.fleet
        total = sum(kind.share for kind in fleet.kinds) or 1.0
        return fleet.nodes * sum(k.share * k.cores * k.speed for k in fleet.kinds) / total

    def tenant_quotas(self) -> dict[str, float]:
        """Return the quota of each tenant in requests per second; requests beyond it have little weight."""
        return {
            tenant.name: tenant.quota_per_s or tenant.share * self.traffic.requests_per_s
            for tenant in self.tenants
        }
