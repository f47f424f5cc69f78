"""The simulator's line protocol: parses lines into events and settings, and formats actions as lines.

Malformed input raises WireError.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from enum import Enum
from typing import TypeVar

from heronreel.balancer.errors import WireError
from heronreel.balancer.interface import (
    Action,
    Arrival,
    AttemptEnded,
    BackendInfo,
    BackendList,
    BackendState,
    CancelAttempt,
    CloseIdleConnections,
    DedupScope,
    Effect,
    Event,
    Fail,
    FetchList,
    ListKind,
    Outcome,
    Probe,
    ProbeEnded,
    Reject,
    RequestClass,
    RequestClosed,
    SetTimer,
    Settings,
    StartAttempt,
    StreamStarted,
    Tenant,
    TimerFired,
    WatchList,
)

Rows = Iterator[tuple[int, str]]
EnumValue = TypeVar("EnumValue", bound=Enum)
Number = TypeVar("Number", int, float)

OUTCOMES = {
    "served": Outcome.SERVED,
    "server_error": Outcome.ERROR,
    "turned_away": Outcome.REJECTED,
    "no_answer": Outcome.TIMEOUT,
    "no_connection": Outcome.UNREACHABLE,
    "connection_lost": Outcome.RESET,
    "called_off": Outcome.CANCELLED,
    "not_sent": Outcome.NOT_SENT,
}
EFFECTS = {"idempotent": Effect.IDEMPOTENT, "deduplicated": Effect.KEYED, "at_most_once": Effect.UNSAFE}
SCOPES = {"all": DedupScope.ALL, "zone": DedupScope.ZONE, "cell": DedupScope.CELL}
KINDS = {"C": ListKind.CACHED, "F": ListKind.FULL, "D": ListKind.CHANGES, "X": ListKind.FAILED}
STATES = {
    "in_service": BackendState.UP,
    "terminating": BackendState.DRAINING,
    "terminated": BackendState.REMOVED,
}


class Fields:
    """The name=value pairs of one line.  Missing or malformed values raise WireError."""

    __slots__ = ("line", "values")

    def __init__(self, line: int, values: dict[str, str]) -> None:
        self.line = line
        self.values = values

    def text(self, name: str, default: str = "") -> str:
        """Return a value unchanged."""
        return self.values.get(name, default)

    def number(self, name: str, default: float | None = None) -> float:
        """Return a finite number; it is required if there is no default."""
        text = self.values.get(name)
        if text is None:
            return self._default(name, default)
        try:
            value = float(text)
        except ValueError:
            value = float("nan")
        if value - value != 0.0:  # NaN or infinite.
            raise WireError(self.line, f"{name}: not a number: {text[:40]!r}")
        return value

    def integer(self, name: str, default: int | None = None) -> int:
        """Return an integer; it is required if there is no default."""
        text = self.values.get(name)
        if text is None:
            return self._default(name, default)
        try:
            return int(text)
        except ValueError:
            raise WireError(self.line, f"{name}: not a whole number: {text[:40]!r}") from None

    def _default(self, name: str, default: Number | None) -> Number:
        if default is None:
            raise WireError(self.line, f"{name}: missing")
        return default

    def flag(self, name: str, default: bool = False) -> bool:
        """Return a flag, which is written as 1, true, 0 or false."""
        text = self.values.get(name)
        if text is None:
            return default
        if text in ("1", "true"):
            return True
        if text in ("0", "false"):
            return False
        raise WireError(self.line, f"{name}: neither 1 nor 0: {text[:40]!r}")

    def enum_value(self, name: str, choices: dict[str, EnumValue], default: str = "") -> EnumValue:
        """Return the enum value for which one of the known words stands."""
        text = self.values.get(name, default)
        if text not in choices:
            raise WireError(self.line, f"{name}: {'missing' if not text else f'unknown word {text[:40]!r}'}")
        return choices[text]


def parse_fields(line: int, rest: str) -> Fields:
    """Parse the fields of a line, which follow its first word."""
    values: dict[str, str] = {}
    for pair in rest.split(" "):
        name, equals, value = pair.partition("=")
        if equals:
            values[name] = value
        elif pair:
            raise WireError(line, f"{pair[:40]!r} is not name=value")
    return Fields(line, values)


def _request_class(fields: Fields, prefix: str) -> RequestClass:
    return RequestClass(
        name=fields.text(f"{prefix}Name"),
        latency_objective_ms=fields.number(f"{prefix}OnTimeMs", 1000.0),
        deadline_ms=fields.number(f"{prefix}HardLimitMs", 5000.0),
        priority_weight=fields.number(f"{prefix}Worth", 1.0),
        late_weight=fields.number(f"{prefix}LateWorth", 0.0),
        effect=fields.enum_value(f"{prefix}Effect", EFFECTS, "at_most_once"),
        dedup_scope=fields.enum_value(f"{prefix}DedupScope", SCOPES, "cell"),
        repeat_window_ms=fields.number(f"{prefix}RepeatWindowMs", 0.0),
    )


def _tenant(fields: Fields, prefix: str) -> Tenant:
    return Tenant(
        name=fields.text(f"{prefix}Name"),
        share=fields.number(f"{prefix}Portion", 1.0),
        quota_per_s=fields.number(f"{prefix}QuotaPerS", 0.0),
    )


def _prefixes(fields: Fields, group: str, default: int | None = None) -> list[str]:
    """Return the prefix of the field names for each member of a numbered group."""
    return [f"{group}.{number}." for number in range(fields.integer(f"{group}.count", default))]


def _proxy_index(fields: Fields) -> int | None:
    index = fields.integer("SlotNo", -1)
    return index if index >= 0 else None


def _max_retry_after_ms(fields: Fields) -> float:
    if not fields.flag("Limits.RetryAfter"):
        return 0.0
    return fields.number("Limits.MaxRetryAfterMs", 0.0)


def settings_from_fields(fields: Fields) -> Settings:
    """Return the settings of a `born` line; missing fields get the defaults of `Settings`."""
    try:
        return Settings(
            classes=tuple(_request_class(fields, prefix) for prefix in _prefixes(fields, "Categories")),
            tenants=tuple(_tenant(fields, prefix) for prefix in _prefixes(fields, "Tenants", 0)),
            zone=fields.text("Zone"),
            zones=tuple(zone for zone in fields.text("FailureDomains").split(",") if zone),
            proxies=fields.integer("Balancers", 1),
            proxy_index=_proxy_index(fields),
            watch_list=fields.text("Discovery") == "ask",
            watch_within_ms=fields.number("Rules.MustAskInMs", 10000.0),
            max_attempts=fields.integer("Limits.MostTries", 1),
            hedging=fields.flag("Limits.SecondCopies"),
            cancel=fields.flag("Limits.Cancel"),
            probing=fields.flag("Limits.Probing"),
            max_retry_after_ms=_max_retry_after_ms(fields),
            connect_timeout_ms=fields.number("Limits.ConnectTimeoutMs", 250.0),
            key_affinity=fields.flag("FamilyInfo.WarmKeys"),
            live_weights=fields.text("WeightSource") == "live",
            sized_weights=fields.text("WeightSource") in ("nominal", "rough"),
            slow_start_from=fields.number("Rules.ColdFrom", 1.0),
            slow_start_ms=fields.number("Rules.ColdMs", 0.0),
            overload_factor=fields.number("Rules.OverloadFactor", 2.0),
            overload_window_ms=fields.number("Rules.FallMs", 1000.0),
            over_quota_weight=fields.number("OverShareWorth", 1.0),
            price_cross_zone=fields.number("Deductions.CrossZone", 0.0),
            price_late_failure=fields.number("Deductions.LateFail", 0.0),
            price_connection=fields.number("Deductions.Connection", 0.0),
            price_handshake=fields.number("Deductions.Handshake", 0.0),
            price_waste=fields.number("Deductions.Waste", 0.0),
        )
    except ValueError as error:
        raise WireError(fields.line, f"settings: {error}") from None


def _backend(entry: Fields) -> BackendInfo:
    return BackendInfo(
        backend=entry.integer("Backend"),
        state=entry.enum_value("Readiness", STATES),
        zone=entry.text("Hall"),
        kind=entry.text("Hw"),
        cell=entry.integer("Group", 0),
        weight=entry.number("Weight", 1.0),
        started_ms=entry.number("StartTimeMs", 0.0),
    )


def _list(fields: Fields, rows: Rows) -> BackendList:
    update = BackendList(fields.enum_value("Kind", KINDS))
    count = fields.integer("Elements", 0)
    for _ in range(count):
        number, line = next(rows, (None, ""))
        head, _, rest = line.rstrip("\n").partition(" ")
        if number is None or head != "entry":
            raise WireError(number, f"Elements: {count} entries announced, {len(update.backends)} came")
        update.backends.append(_backend(parse_fields(number, rest)))
    return update


def _arrival(fields: Fields, rows: Rows) -> Arrival:
    return Arrival(
        request=fields.integer("Call"),
        request_class=fields.text("Lane"),
        time_left_ms=fields.number("TimeLeftMs"),
        tenant=fields.text("Billing"),
        key=fields.integer("Affinity") if "Affinity" in fields.values else None,
        hint_ms=fields.number("HintMs", 0.0),
        is_retry=fields.flag("Retry"),
        is_write=fields.flag("Mutates"),
    )


def _load(fields: Fields) -> dict[str, float] | None:
    text = fields.values.get("Gauge")
    if not text or text == "-":
        return None
    load: dict[str, float] = {}
    for pair in text.split(","):
        name, _, value = pair.partition(":")
        try:
            load[name] = float(value)
        except ValueError:
            raise WireError(fields.line, f"Gauge: not name:value: {pair[:40]!r}") from None
    return load


def _ended(fields: Fields, rows: Rows) -> AttemptEnded:
    return AttemptEnded(
        request=fields.integer("Call"),
        attempt=fields.integer("Leg"),
        backend=fields.integer("Backend"),
        outcome=fields.enum_value("Verdict", OUTCOMES),
        latency_ms=fields.number("LagMs", 0.0),
        finished=fields.flag("DoneFlag"),
        load=_load(fields),
    )


def _stream(fields: Fields, rows: Rows) -> StreamStarted:
    ids = (fields.integer("Call"), fields.integer("Leg"), fields.integer("Backend"))
    return StreamStarted(*ids, fields.number("LagMs", 0.0))


def _probed(fields: Fields, rows: Rows) -> ProbeEnded:
    outcome = fields.enum_value("Verdict", OUTCOMES)
    return ProbeEnded(fields.integer("Backend"), outcome, fields.number("LagMs", 0.0), _load(fields))


EVENTS: dict[str, Callable[[Fields, Rows], Event | None]] = {
    "announce": _list,
    "submit": _arrival,
    "headers": _stream,
    "report_back": _ended,
    "dropped": lambda fields, rows: RequestClosed(fields.integer("Call")),
    "ring": lambda fields, rows: TimerFired(fields.integer("KeyBack")),
    "health": _probed,
    "whisper": lambda fields, rows: None,  # Balancers share no state, so the message is ignored.
}


def render(instance: int, action: Action) -> str:
    """Return the line for an action of one balancer instance."""
    match action:
        case StartAttempt(request, backend, timeout):
            timeout_field = f" TryForMs={timeout:.3f}" if timeout else ""
            return f"deliver Who={instance} Call={request} Backend={backend}{timeout_field}"
        case CancelAttempt(request, attempt):
            return f"recall Who={instance} Call={request} Leg={attempt}"
        case Reject(request, wait):
            retry_field = f" NotBeforeForMs={wait:.3f}" if wait else ""
            return f"turn_away Who={instance} Call={request}{retry_field}"
        case Fail(request):
            return f"drop_request Who={instance} Call={request}"
        case SetTimer(token, delay):
            return f"timer Who={instance} KeyBack={token} InMs={delay:.3f}"
        case WatchList():
            return f"watch Who={instance} Want=1"
        case FetchList():
            return f"query_all Who={instance}"
        case Probe(backend):
            return f"inspect Who={instance} Backend={backend}"
        case CloseIdleConnections(backend):
            return f"free_links Who={instance} Backend={backend}"
