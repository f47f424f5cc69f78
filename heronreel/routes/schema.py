"""The tables of a routes file: their fields with types, bounds and descriptions.

Each field is converted separately, so that all errors of a file are reported at once.  A description follows
the word "expected" in an error message.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Annotated, Any, Literal

import msgspec
from msgspec import UNSET, Meta, Struct, UnsetType, field

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
HOUR_MS = 3_600_000.0


def _meta(description: str, **bounds: Any) -> Meta:
    return Meta(description=description, **bounds)


Name = Annotated[
    str,
    _meta("a name of 1 to 64 letters, digits, dots, dashes and underscores", pattern=f"^{NAME.pattern}$"),
]
Text = Annotated[str, _meta("a text of at most 1,024 characters", max_length=1024)]
Address = Annotated[str, _meta('an IP address and a port, such as "127.0.0.1:8080"', max_length=64)]
DurationMs = Annotated[float, _meta("milliseconds from 0 to 3,600,000", ge=0.0, le=HOUR_MS)]
PositiveDurationMs = Annotated[float, _meta("milliseconds over 0 and up to 3,600,000", gt=0.0, le=HOUR_MS)]
Rate = Annotated[float, _meta("a number a second from 0 to 10,000,000", ge=0.0, le=1e7)]
Share = Annotated[float, _meta("a share from 0 to 1", ge=0.0, le=1.0)]
Weight = Annotated[float, _meta("a number from 0 to 1,000,000", ge=0.0, le=1e6)]
PositiveCount = Annotated[int, _meta("a whole number from 1 to 10,000", ge=1, le=10_000)]
Count = Annotated[int, _meta("a whole number from 0 to 1,000,000", ge=0, le=1_000_000)]
Flag = Annotated[bool, _meta("true or false")]
TextList = Annotated[list[str], _meta("a list of texts")]


class RootTable(Struct):
    """The top level of a file: its version and its tables."""

    version: Annotated[int, _meta("the number 1", ge=1, le=1)] = 1
    proxy: Any = UNSET
    listeners: Any = UNSET
    pools: Any = UNSET
    tenants: Any = UNSET
    fleet: Any = UNSET
    probe: Any = UNSET
    defaults: Any = UNSET
    routes: Any = UNSET


class ProxyTable(Struct):
    """The [proxy] table."""

    name: Name = "heronreel"
    zone: Annotated[str, _meta("the name of a zone", pattern=f"^({NAME.pattern})?$")] = ""
    proxies: PositiveCount = 1
    seed: Annotated[int, _meta("a whole number from 0 to 2^63", ge=0, le=2**63 - 1)] = 1
    memory_mb: Annotated[int, _meta("a whole number of MB from 32 to 1,048,576", ge=32, le=1 << 20)] = 128
    sockets: Annotated[int, _meta("a whole number from 64 to 1,048,576", ge=64, le=1 << 20)] = 1024
    max_attempts: Annotated[int, _meta("a whole number from 1 to 16", ge=1, le=16)] = 4
    second_copies: Flag = False
    connect_timeout_ms: PositiveDurationMs = 250.0
    client_wait_ms: PositiveDurationMs = 2500.0
    clock_margin_ms: DurationMs = 50.0
    max_retry_after_ms: DurationMs = 0.0
    drain_grace_ms: DurationMs = 500.0
    backend_idle_ms: PositiveDurationMs = 15000.0
    cold_from: Share = 1.0
    cold_ms: DurationMs = 0.0
    overload_factor: Annotated[float, _meta("a number from 1 to 100", ge=1.0, le=100.0)] = 2.0
    fall_ms: PositiveDurationMs = 1000.0
    discovery: Address | UnsetType = UNSET


class ListenerTable(Struct):
    """An entry of [[listeners]]."""

    name: Name
    address: Address


class MemberTable(Struct):
    """An entry of [[pools.members]]: one backend."""

    name: Name
    address: Address
    zone: Text = ""
    rack: Text = ""
    kind: Text = ""
    weight: Weight = 1.0
    draining: Flag = False


class PoolTable(Struct):
    """An entry of [[pools]]."""

    name: Name
    discovery: Annotated[Literal["static", "platform"], _meta('"static" or "platform"')] = "static"
    members: Any = UNSET


class TenantTable(Struct):
    """An entry of [[tenants]]."""

    name: Name
    share: Share = 1.0
    requests_per_s: Rate = 0.0


class BudgetTable(Struct):
    """The rate limits of a priority class of fleet-wide tasks."""

    calls: Annotated[float, _meta("calls a second from 0", ge=0.0, le=1e9)] | UnsetType = UNSET
    bytes: Annotated[float, _meta("bytes a second from 0", ge=0.0, le=1e12)] | UnsetType = UNSET
    cpu: Annotated[float, _meta("seconds of processor time a second from 0", ge=0.0, le=1e5)] | UnsetType = (
        UNSET
    )


class FleetTable(Struct):
    """The [fleet] table: this proxy's membership in a fleet; see docs/fleet-tasks.md."""

    group: Annotated[
        list[Address], _meta('a list of 1 to 7 addresses, as ["127.0.0.1:9001"]', min_length=1, max_length=7)
    ]
    embedded: Text = ""
    lease_s: Annotated[int, _meta("whole seconds from 1 to 3,600", ge=1, le=3600)] = 6
    margin_s: Annotated[float, _meta("seconds from 0 to 600", ge=0.0, le=600.0)] = 1.0
    answer_s: Annotated[float, _meta("seconds from 0.05 to 60", ge=0.05, le=60.0)] = 1.0
    count_s: Annotated[float, _meta("seconds up to 86,400, or 0 for none", ge=0.0, le=86400.0)] = 0.0
    folder: Text = ""
    budgets: Any = UNSET


class ProbeTable(Struct):
    """The [probe] table: active health checks of the members; see docs/fleet-tasks.md."""

    path: Annotated[str, _meta('a path, such as "/health"', pattern=r"^/[!-~]{0,255}$")]
    every_ms: Annotated[float, _meta("milliseconds from 50 to 600,000", ge=50.0, le=600_000.0)] = 1000.0
    timeout_ms: Annotated[float, _meta("milliseconds from 10 to 60,000", ge=10.0, le=60_000.0)] = 500.0
    fall: Annotated[int, _meta("a whole number from 1 to 100", ge=1, le=100)] = 3
    rise: Annotated[int, _meta("a whole number from 1 to 100", ge=1, le=100)] = 2


class MatchTable(Struct):
    """The match table of a route."""

    host: Annotated[str, _meta('a host name, or "*." before one', max_length=253)] = ""
    path: Text | UnsetType = UNSET
    path_prefix: Text | UnsetType = UNSET
    path_pattern: Text | UnsetType = UNSET
    methods: TextList = field(default_factory=list)
    headers: Annotated[dict[str, str], _meta("a table of header names and texts")] = field(
        default_factory=dict
    )


RetriedOutcomes = Annotated[
    list[Literal["not-run", "error", "reset", "timeout"]],
    _meta('a list of "not-run", "error", "reset" and "timeout"'),
]
RetryScopeName = Annotated[Literal["group", "pool", "split"], _meta('"group", "pool" or "split"')]


class PolicyFields(Struct):
    """The policy fields that [defaults] and each route may set.

    Attributes have the names of those of `model.Policy`, which also has the built-in defaults; `name` is the
    name of the field in the file.
    """

    request_class: Name | UnsetType = field(name="class", default=UNSET)
    effect: Annotated[Literal["safe", "keyed", "unsafe"], _meta('"safe", "keyed" or "unsafe"')] = "unsafe"
    deduplication_scope: Annotated[Literal["rack", "zone", "all"], _meta('"rack", "zone" or "all"')] = field(
        name="group", default="rack"
    )
    deduplication_window_ms: DurationMs = field(name="window_ms", default=0.0)
    latency_objective_ms: PositiveDurationMs = field(name="aim_ms", default=1000.0)
    deadline_ms: PositiveDurationMs = 5000.0
    attempt_timeout_ms: DurationMs = 0.0
    max_attempts: Annotated[int, _meta("a whole number from 1 to 16", ge=1, le=16)] = field(
        name="attempts", default=1
    )
    backoff_ms: DurationMs = 0.0
    max_backoff_ms: DurationMs = field(name="backoff_most_ms", default=1000.0)
    retry_budget: Annotated[float, _meta("a share of the first tries, such as 0.2", ge=0.0, le=100.0)] = 0.2
    retry_on: RetriedOutcomes = field(default_factory=lambda: ["not-run"])
    retry_scope: RetryScopeName = field(name="retry_to", default="group")
    hedge_after_ms: DurationMs = field(name="second_copy_after_ms", default=0.0)
    hedge_percentile: Annotated[
        float, _meta("a percentile from 50 to 99.9, or 0 for none", ge=0.0, le=99.9)
    ] = field(name="second_copy_percentile", default=0.0)
    hedge_scope: Annotated[Literal["group", "pool"], _meta('"group" or "pool"')] = field(
        name="second_copy_to", default="group"
    )
    when_exhausted: Annotated[Literal["fail", "refuse"], _meta('"fail" or "refuse"')] = "fail"
    max_requests_per_s: Rate = field(name="requests_per_s", default=0.0)
    max_concurrency: Count = field(name="concurrency", default=0)
    priority_weight: Annotated[float, _meta("a number from 0 to 1,000,000", ge=0.0, le=1e6)] = field(
        name="worth", default=1.0
    )
    late_priority_weight: Share = field(name="late_worth", default=0.0)


class RouteTable(PolicyFields, kw_only=True):
    """An entry of [[routes]]."""

    name: Name
    priority: Annotated[int, _meta("a whole number from -1,000 to 1,000", ge=-1000, le=1000)] = 0
    match: Any = UNSET
    pool: Name | UnsetType = UNSET
    split: Any = UNSET


class SplitTable(Struct):
    """An entry of a route's split."""

    pool: Name
    weight: Weight = 1.0


POLICY_ATTRIBUTES: Mapping[str, str] = {
    policy_field.encode_name: policy_field.name for policy_field in msgspec.structs.fields(PolicyFields)
}
"""The attributes of `model.Policy` by the name of the field in the file, in the order of `PolicyFields`."""
