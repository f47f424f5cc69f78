"""What a rehearsal script says, as frozen records: the tables of the file and their defaults.

Descriptions follow the word "expected" in messages.  Spans are named by their unit; shares run from 0 to 1;
work is ms of one core at speed 1.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from heronreel.routes.schema import Count, Flag, Name, Positive, Share, Span

VERSION = 1
NODES_MOST, PROXIES_MOST, TROUBLES_MOST = 2_000, 2_000, 1_000
HOURS_MOST_S = 6 * 3600.0


def _meta(words: str, **bounds: Any) -> Meta:
    return Meta(description=words, **bounds)


Seconds = Annotated[float, _meta("seconds from 0 to 21,600", ge=0.0, le=HOURS_MOST_S)]
Length = Annotated[float, _meta("seconds over 0 and up to 21,600", gt=0.0, le=HOURS_MOST_S)]
Times = Annotated[float, _meta("a number from 0 to 1,000", ge=0.0, le=1000.0)]
Slower = Annotated[float, _meta("a number from 1 to 1,000", ge=1.0, le=1000.0)]
Speed = Annotated[float, _meta("a number over 0 and up to 100", gt=0.0, le=100.0)]
Price = Annotated[float, _meta("points of service from 0 to 1", ge=0.0, le=1.0)]
Many = Annotated[int, _meta("a whole number from 1 to 2,000", ge=1, le=2_000)]
PerSecond = Annotated[float, _meta("a number a second from 0 to 1,000,000", ge=0.0, le=1e6)]
Dist = Annotated[Literal["exp", "lognormal", "fixed"], _meta('"exp", "lognormal" or "fixed"')]
Title = Annotated[str, _meta("a text of at most 200 characters", max_length=200)]
Names = Annotated[list[str], _meta("a list of names")]


class Kind(Struct, frozen=True):
    """One kind of node.  A part is left out where its figure is 0 (`cold_from`: 1)."""

    name: Name
    share: Share = 1.0
    cores: Annotated[int, _meta("a whole number from 1 to 256", ge=1, le=256)] = 2
    slots: Annotated[int, _meta("a whole number from 1 to 64, for each core", ge=1, le=64)] = 1
    speed: Speed = 1.0
    speed_cv: Share = 0.0
    queue: Annotated[int, _meta("a whole number from 0 to 1,000,000", ge=0, le=1_000_000)] = 4
    thrash: Share = 0.0  # of its pace lost when crowded most
    thrash_at: Speed = 6.0  # requests here for each core, beyond its cores, at which it is crowded most
    connections: Count = 0  # it holds at most; 0: any number
    full_tax: Share = 0.0  # of its pace lost when the table of connections is full
    handshake_ms: Span = 0.0  # work of a new connection
    handshake_rtts: Times = 1.0
    warm_gain: Share = 0.0  # work saved for a key met lately
    warm_ms: Span = 5000.0
    warm_keys: Count = 20
    cold_from: Share = 1.0
    cold_ms: Span = 0.0
    warm_work_ms: Span = 0.0  # it is warm after so much work, if that comes before `cold_ms`
    error_rate: Share = 0.0
    pause_every_ms: Span = 0.0
    pause_ms: Span = 0.0


class Fleet(Struct, frozen=True):
    nodes: Many = 12
    zones: Names = msgspec.field(default_factory=lambda: ["z0"])
    rack_size: Many = 6
    limited_racks: Share = 0.0  # share of racks with a hidden common limit
    rack_limit: Share = 0.6  # of what their nodes could do
    kinds: tuple[Kind, ...] = ()


class Network(Struct, frozen=True):
    same_ms: Span = 0.3  # one way
    cross_ms: Span = 15.0
    client_ms: Span = 0.8
    jitter: Share = 0.1


class Proxies(Struct, frozen=True):
    count: Many = 6
    skew: Share = 0.0  # of traffic: busiest over mean, less 1, up to this, by steps of rank
    policy: Name = "heronreel"
    routes: Annotated[str, _meta("the path of a file of routes")] = ""
    idle_ms: Span = 1000.0  # connections to nodes are closed when idle for so long
    connect_timeout_ms: Positive = 250.0
    max_attempts: Annotated[int, _meta("a whole number from 1 to 16", ge=1, le=16)] = 4
    second_copies: Flag = False
    max_retry_after_ms: Span = 2000.0
    restart_ms: Span = 1000.0  # from the end of a process to its successor's first health answer
    term_ms: Span = 3000.0  # after SIGTERM it is killed at the latest


class Front(Struct, frozen=True):
    notice_ms: Span = 2000.0  # after which a dead proxy gets no new requests


class Point(Struct, frozen=True):
    at_s: Seconds
    factor: Times


class Traffic(Struct, frozen=True):
    requests_per_s: PerSecond = 100.0
    zone_skew: Share = 0.0
    arrivals: Annotated[Literal["open", "closed"], _meta('"open" or "closed"')] = "open"
    users: Annotated[int, _meta("a whole number from 1 to 100,000", ge=1, le=100_000)] = 50  # closed only
    think_ms: Span = 500.0  # closed only
    points: tuple[Point, ...] = ()  # the shape: a factor on the rate, straight between points


class Class(Struct, frozen=True):
    name: Name = "save"
    share: Share = 1.0
    work_ms: Positive = 80.0
    dist: Dist = "exp"
    cv: Times = 1.0
    attempt_noise: Times = 0.0  # deviation of an attempt's work over the request's
    hint_noise: Times = 0.1
    hints: Flag = True
    aim_ms: Positive = 500.0
    deadline_ms: Positive = 2500.0
    worth: Times = 1.0
    late_worth: Share = 0.5
    effect: Annotated[Literal["safe", "keyed", "unsafe"], _meta('"safe", "keyed" or "unsafe"')] = "keyed"
    group: Annotated[Literal["rack", "zone", "all"], _meta('"rack", "zone" or "all"')] = "rack"
    window_ms: Span = 5000.0


class Tenant(Struct, frozen=True):
    name: Name
    share: Share = 1.0  # of the traffic that is its due
    usage: Times = 1.0  # what it asks over that
    quota_per_s: PerSecond = 0.0  # beyond which its requests are worth little; 0: its share of the rate


class Keys(Struct, frozen=True):
    count: Count = 1000
    zipf: Times = 1.0


class Clients(Struct, frozen=True):
    retries: Annotated[int, _meta("a whole number from 0 to 20", ge=0, le=20)] = 1
    backoff_ms: Span = 100.0
    backoff: Annotated[Literal["fixed", "exp"], _meta('"fixed" or "exp"')] = "exp"
    honour: Share = 1.0  # share that waits as Retry-After says
    impatient: Share = 0.0  # share that leaves early
    patience: Share = 0.5  # of the deadline, after which those leave
    try_share: Share = 1.0  # of the deadline that one try has
    marks: Flag = True  # its retries say that they are


class List(Struct, frozen=True):
    lines_per_s: Annotated[float, _meta("lines a second over 0", gt=0.0, le=1e7)] = 200.0
    call_lines: Times = 24.0  # what a call costs by itself
    timeout_ms: Positive = 3000.0
    notice_ms: Span = 2500.0  # until it knows that a node has gone
    add_ms: Span = 1000.0  # until it knows a new one
    period_ms: Positive = 500.0  # changes are sent together
    backlog: Annotated[int, _meta("a whole number from 1 to 1,000,000", ge=1, le=1_000_000)] = 10_000


class Rules(Struct, frozen=True):
    answer_grace_ms: Span = 50.0
    drain_grace_ms: Span = 500.0
    told_ms: Span = 0.0  # after which what the list service knows counts as told; 0: only what has come
    ask_within_ms: Positive = 10_000.0
    overload_factor: Annotated[float, _meta("a number from 1 to 100", ge=1.0, le=100.0)] = 4.0
    fall_ms: Positive = 2000.0
    fall_slack_ms: Span = 400.0  # of work that chance may add


class Prices(Struct, frozen=True):
    """Points of service lost: for a handshake for each request, for 100 connections a node, and so on."""

    handshake: Price = 0.0
    connection: Price = 0.0
    cross_zone: Price = 0.0
    late_failure: Price = 0.0
    waste: Price = 0.0
    list_calls: Price = 0.0  # for a call a second from each proxy


class Score(Struct, frozen=True):
    whole: Share = 0.6
    worst_window: Share = 0.15
    worst_tenant: Share = 0.25
    window_s: Length = 10.0
    over_share_worth: Share = 0.05
    by_work: Flag = True  # worth is counted for each ms of work


What = Literal[
    "slow", "errors", "neighbour", "pause", "silent", "crash", "drain", "replace", "grow", "lose_answers",
    "reset",
    "zone_lost", "zone_cut", "burst", "heavy", "shift", "tenant", "list_slow", "list_refuses", "list_silent",
    "list_breaks", "list_garbled", "list_late", "kill", "restart", "reload",
]  # fmt: skip


class Trouble(Struct, frozen=True):
    """One trouble; which fields count for which kind stands in `docs/emulator.md`."""

    what: Annotated[What, _meta("a kind of trouble")]
    at_s: Seconds
    for_s: Seconds = 0.0
    size: Times = 0.0
    share: Share = 0.0  # of its targets, drawn
    names: Names = msgspec.field(default_factory=list)
    rack: Annotated[str, _meta("the name of a rack")] = ""
    zone: Annotated[str, _meta("the name of a zone")] = ""
    kind: Annotated[str, _meta("the name of a kind")] = ""
    tenant: Annotated[str, _meta("the name of a tenant")] = ""
    busiest: Count = 0  # so many, that have most to do now
    count: Count = 0  # so many, drawn; of `grow`: new nodes
    within_s: Seconds = 0.0  # spread over
    every_s: Seconds = 0.0  # on and off: half of it each
    cold: Flag = True  # comes back or starts cold
    same: Flag = False  # of `replace`: the new process at the same address, at once
    after_s: Seconds = 0.0  # from the drain or death to what comes next


class Rehearsal(Struct, frozen=True):
    """A whole script."""

    name: Title = "rehearsal"
    seconds: Length = 30.0
    fleet: Fleet = Fleet()
    network: Network = Network()
    proxies: Proxies = Proxies()
    front: Front = Front()
    traffic: Traffic = Traffic()
    classes: tuple[Class, ...] = (Class(),)
    tenants: tuple[Tenant, ...] = ()
    keys: Keys = Keys()
    clients: Clients = Clients()
    list: List = List()
    rules: Rules = Rules()
    prices: Prices = Prices()
    score: Score = Score()
    troubles: tuple[Trouble, ...] = ()

    def capacity(self) -> float:
        """Work a ms that the whole fleet does at nominal speeds."""
        fleet = self.fleet
        whole = sum(kind.share for kind in fleet.kinds) or 1.0
        return fleet.nodes * sum(k.share * k.cores * k.speed for k in fleet.kinds) / whole

    def mean_work(self) -> float:
        whole = sum(klass.share for klass in self.classes) or 1.0
        return sum(klass.share * klass.work_ms for klass in self.classes) / whole
