"""Decisions are the same whatever things are called: a short day under names and figures made up at random.

The settings come through the proxy's own configuration and the backends through its registry, so that names
take the way that they take in service.  A strict host judges every action, also across reloads.
"""

import json
import random
from dataclasses import dataclass, replace
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any, cast

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heronreel.balancer.choice import Balancer
from heronreel.balancer.endpoints import Endpoints
from heronreel.balancer.interface import (
    Action,
    BackendInfo,
    BackendList,
    BackendState,
    Effect,
    Event,
    ListKind,
    NewSettings,
    Outcome,
    RequestClass,
    Settings,
    StartAttempt,
    Tenant,
)
from heronreel.proxy.backend_registry import BackendRegistry
from heronreel.proxy.config import load
from heronreel.proxy.connection_pool import ConnectionPool
from heronreel.proxy.endpoints import EndpointList, parse_endpoint_list
from tests.balancer.strict_host import Host, RuleViolationError

CLASSES, TENANTS, ZONES, KINDS, BACKENDS = 4, 3, 3, 2, 10
EFFECTS, SCOPES = ("idempotent", "deduplicated", "at_most_once"), ("zone", "cell", "all")
STATUS = {BackendState.UP: "active", BackendState.DRAINING: "leaving", BackendState.REMOVED: "left"}
DAY_STEPS = 200
NAMES_PER_RELOAD = 4  # new ones that a reload brings
VERY_LONG = 3000  # characters


@dataclass(frozen=True)
class Naming:
    """What things are called."""

    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    backends: tuple[str, ...]


def numbered_names(word: str, count: int) -> tuple[str, ...]:
    return tuple(f"{word}{number}" for number in range(count))


NUMBERED_NAMING = Naming(
    numbered_names("class", CLASSES),
    numbered_names("tenant", TENANTS),
    numbered_names("zone", ZONES),
    numbered_names("kind", KINDS),
    numbered_names("backend", BACKENDS),
)

texts = st.text(st.characters(exclude_categories=["Cs"]), min_size=1, max_size=20)
unusual = st.one_of(
    texts,
    texts.map(str.upper),
    texts.map(lambda text: f" {text} {text} "),
    texts.map(lambda text: (text * VERY_LONG)[:VERY_LONG]),
    st.sampled_from(
        ["a", "A", "ß", "SS", "ss", "straße", "STRASSE", "0", "-1", "1e3", "true", "null", " ", "=", "İ"]
    ),
)


def unique_names(count: int) -> st.SearchStrategy[tuple[str, ...]]:
    return st.lists(unusual, min_size=count, max_size=count, unique=True).map(tuple)


namings = st.builds(
    Naming,
    unique_names(CLASSES),
    unique_names(TENANTS),
    unique_names(ZONES),
    unique_names(KINDS),
    unique_names(BACKENDS),
)


class EmptyConnectionPool:
    """In the place of the pool: nothing is open."""

    def close_idle(self, backend: object) -> None:
        """Nothing is idle."""


def document(draw: random.Random, names: Naming) -> dict[str, Any]:
    """A configuration; its figures depend on the seed alone."""
    classes = [
        {
            "Name": name,
            "OnTimeMs": draw.uniform(100.0, 3000.0),
            "HardLimitMs": draw.uniform(3000.0, 9000.0),
            "Worth": draw.uniform(0.1, 50.0),
            "LateWorth": draw.random(),
            "Effect": draw.choice(EFFECTS),
            "DedupScope": draw.choice(SCOPES),
            "RepeatWindowMs": draw.uniform(50.0, 9000.0),
        }
        for name in names.classes
    ]
    return {
        "seed": f"{draw.getrandbits(32):x}",
        "limits": {"memory_mb": 64, "sockets": 256},
        "discovery": "127.0.0.1:1",
        "known": {"index": 1, "snapshot": True, "endpoints": []},
        "settings": {
            "Categories": classes,
            "Tenants": [
                {"Name": name, "Portion": 0.3, "QuotaPerS": draw.uniform(1.0, 50.0)} for name in names.tenants
            ],
            "Zone": names.zones[0],
            "FailureDomains": list(names.zones),
            "Balancers": draw.choice((1, 3, 12)),
            "Limits": {
                "MostTries": draw.randint(1, 5),
                "SecondCopies": draw.random() < 0.5,
                "Cancel": draw.random() < 0.5,
                "RetryAfter": draw.random() < 0.5,
                "MaxRetryAfterMs": draw.uniform(100.0, 2000.0),
            },
            "Rules": {
                "ColdFrom": draw.uniform(0.1, 0.5),
                "ColdMs": 8000.0,
                "OverloadFactor": 3,
                "FallMs": 900,
            },
            "OverShareWorth": draw.random(),
            "Deductions": {"CrossZone": draw.choice((0.0, draw.random())), "LateFail": draw.random()},
        },
    }


def settings_read_from(contents: dict[str, Any]) -> tuple[Settings, int]:
    """What the proxy makes of a file with this content."""
    with TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(contents))
        config = load({"LB_NAME": "n0", "LB_LISTEN": "127.0.0.1:0", "LB_CONFIG": str(path)})
    return config.settings, config.seed


class NamedSimulation:
    """A seeded day under some names: a balancer, its host and the registry of its backends."""

    def __init__(self, seed: int, names: Naming) -> None:
        self.draw, self.names = random.Random(seed), names
        settings, balancer_seed = settings_read_from(document(self.draw, names))
        assert tuple(each.name for each in settings.classes) == names.classes
        assert tuple(each.name for each in settings.tenants) == names.tenants
        assert settings.zone == names.zones[0]
        self.host = Host(settings, balancer_seed)
        self.registry = BackendRegistry(cast(ConnectionPool, EmptyConnectionPool()), self._dispatch, False)
        self.backend_names: dict[int, str] = {}  # by number: all that were ever listed
        self.update(ListKind.CACHED, *range(BACKENDS // 2))

    def _dispatch(self, event: Event) -> None:
        assert isinstance(event, BackendList)
        self.host.receive_list(event.kind, *event.backends)

    def update(self, kind: ListKind, *places: int, state: BackendState = BackendState.UP) -> None:
        """The list has these backends, in this state."""
        entries = [
            {
                "name": self.names.backends[place],
                "address": f"127.0.0.1:{1000 + place}",
                "zone": self.names.zones[place % ZONES],
                "type": self.names.kinds[place % KINDS],
                "group": place // 4,
                "status": STATUS[state],
                "since_ms": self.draw.choice((0.0, self.host.now - 100.0)),
            }
            for place in places
        ]
        message = {"index": 1, "snapshot": kind is not ListKind.CHANGES, "endpoints": entries}
        parsed: EndpointList = parse_endpoint_list(json.loads(json.dumps(message)))
        assert [each.name for each in parsed.endpoints] == [entry["name"] for entry in entries]
        self.registry.update(parsed, kind)
        self.backend_names |= {number: name for name, number in self.registry.numbers.items()}

    def step(self) -> None:
        """One thing that happens; which one depends on the seed alone."""
        host, draw, out = self.host, self.draw, self.host.in_flight()
        roll = draw.random()
        if roll < 0.5:
            request_class = draw.choice(self.names.classes)
            tenant = draw.choice(self.names.tenants)
            host.start_request(request_class, draw.uniform(5.0, 100.0), draw.uniform(500.0, 3000.0), tenant)
        elif roll < 0.9 and out:
            host.end_attempt(*draw.choice(out), draw.choice([*[Outcome.SERVED] * 5, *Outcome]))
        elif roll < 0.95:
            places = sorted(draw.sample(range(BACKENDS), draw.randint(1, BACKENDS)))
            self.update(draw.choice((ListKind.FULL, ListKind.CHANGES)), *places)
        elif roll < 0.97:
            state = draw.choice((BackendState.DRAINING, BackendState.REMOVED))
            self.update(ListKind.CHANGES, draw.randrange(BACKENDS), state=state)
        host.advance_to(host.now + draw.expovariate(0.05))

    def actions(self) -> list[tuple[Action, str]]:
        """What the balancer had done, each with the plain name of its backend."""
        plain = dict(zip(self.names.backends, NUMBERED_NAMING.backends, strict=True))
        return [
            (replace(action, backend=0), plain[self.backend_names[action.backend]])
            if isinstance(action, StartAttempt)
            else (action, "")
            for action in self.host.log
        ]


def day(seed: int, names: Naming) -> list[tuple[Action, str]]:
    played = NamedSimulation(seed, names)
    for _ in range(DAY_STEPS):
        played.step()
    return played.actions()


@settings(max_examples=40, deadline=None, derandomize=True)
@given(seed=st.integers(0, 2**32), names=namings)
def test_the_same_day_under_other_names_has_the_same_actions(seed: int, names: Naming) -> None:
    actions = day(seed, names)
    assert actions == day(seed, NUMBERED_NAMING)
    assert any(isinstance(action, StartAttempt) for action, _ in actions)


def test_other_figures_or_another_seed_make_another_day() -> None:
    assert day(1, NUMBERED_NAMING) != day(2, NUMBERED_NAMING)  # what is compared is not the same for all


def test_a_zone_taken_for_another_of_almost_its_name_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    alike = replace(NUMBERED_NAMING, zones=("Zone", "zone", "ZONE"))
    assert all(day(seed, alike) == day(seed, NUMBERED_NAMING) for seed in range(5))

    def near_up_to_case(self: Endpoints, info: BackendInfo) -> bool:
        return info.zone.casefold() == self.settings.zone.casefold() or not self.settings.price_cross_zone

    monkeypatch.setattr(Endpoints, "is_near", near_up_to_case)
    assert any(day(seed, alike) != day(seed, NUMBERED_NAMING) for seed in range(5))


# Reloads: names come, go and change while requests are under way.


class ReloadingHost(Host):
    """A strict host that judges each request by the class that it arrived under."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.present = self.classes  # those of the settings in force
        self.classes_at_arrival: dict[int, dict[str, RequestClass]] = {}

    def _check(self, action: Action) -> None:
        if (request := getattr(action, "request", None)) is not None:
            self.classes = self.classes_at_arrival[request]
        super()._check(action)

    def arrive_under(self, name: str, tenant: str) -> int:
        """A request of a class that may not be in the settings: it counts as unsafe then."""
        under = {name: self.present.get(name, RequestClass(name))}
        self.classes_at_arrival[self.next_id] = under
        return self.start_request(name, 50.0, 3000.0, tenant)

    def reload(self, settings: Settings) -> None:
        """Other settings from now on."""
        self.settings, self.present = settings, {each.name: each for each in settings.classes}
        self._handle(NewSettings(settings))


def other_settings(draw: random.Random, old: Settings, spare: list[str], quotas: bool) -> Settings:
    """Drop one class and tenant, rename another each, change the figures of a third, and add new ones."""
    kept = draw.sample(old.classes, len(old.classes) - 1)
    renamed = replace(kept[0], name=spare.pop())
    changed = replace(kept[1], effect=draw.choice(list(Effect)), priority_weight=draw.uniform(0.1, 9.0))
    added = RequestClass(spare.pop(), draw.uniform(100.0, 900.0), effect=draw.choice(list(Effect)))
    tenants = draw.sample(old.tenants, len(old.tenants) - 1)
    new_tenants = (
        replace(tenants[0], name=spare.pop()),
        Tenant(spare.pop(), 0.5, draw.uniform(0.1, 9.0) * quotas),
    )
    return replace(
        old, classes=(renamed, changed, *kept[2:], added), tenants=(*tenants[1:], *new_tenants), hedging=False
    )


def run_with_reloads(seed: int, names: tuple[str, ...], spare: list[str], quotas: bool) -> ReloadingHost:
    """Arrivals, ends of any kind and reloads, which the host judges; with quotas, some are over them."""
    draw = random.Random(seed)
    day_names = replace(NUMBERED_NAMING, classes=names[:CLASSES], tenants=names[CLASSES:])
    contents = document(draw, day_names)
    if not quotas:
        for tenant in contents["settings"]["Tenants"]:
            tenant["QuotaPerS"] = 0.0
    first, balancer_seed = settings_read_from(contents)
    host = ReloadingHost(replace(first, max_attempts=4, hedging=False), balancer_seed)
    host.receive_list(
        ListKind.CACHED, *(BackendInfo(100 + place, cell=place // 4) for place in range(BACKENDS))
    )
    known_classes, known_tenants = list(names[:CLASSES]), list(names[CLASSES:])
    for _ in range(DAY_STEPS):
        out, roll = host.in_flight(), draw.random()
        if roll < 0.5:
            host.arrive_under(draw.choice(known_classes), draw.choice(known_tenants))
        elif roll < 0.9 and out:
            host.end_attempt(*draw.choice(out), draw.choice([Outcome.SERVED, *Outcome]))
        elif roll < 0.95 and len(spare) >= NAMES_PER_RELOAD:
            host.reload(other_settings(draw, host.settings, spare, quotas))
            known_classes += [each.name for each in host.settings.classes]
            known_tenants += [each.name for each in host.settings.tenants]
        host.advance_to(host.now + draw.expovariate(0.05))
    host.advance_to(host.now + 20_000.0)
    return host


@settings(max_examples=40, deadline=None, derandomize=True)
@given(seed=st.integers(0, 2**32), names=unique_names(CLASSES + TENANTS + 6 * NAMES_PER_RELOAD))
def test_requests_under_way_keep_their_class_across_reloads(seed: int, names: tuple[str, ...]) -> None:
    own, spare = names[: CLASSES + TENANTS], list(names[CLASSES + TENANTS :])
    host = run_with_reloads(seed, own, spare, quotas=False)
    assert not host.balancer.requests  # every one got its final response


def sends_after_an_error(before: Effect, after: RequestClass | None, name: str) -> int:
    """Attempts of a request whose class is changed, or dropped, before its first one ends in an error."""
    old = RequestClass(name, 400.0, 2000.0, effect=before)
    host = ReloadingHost(Settings((old,), max_attempts=3), 1)
    host.receive_list(ListKind.CACHED, *(BackendInfo(100 + place) for place in range(3)))
    request = host.arrive_under(name, "")
    host.reload(Settings((after or RequestClass(name + "'"),), max_attempts=3))
    host.end_attempt(request, 0, Outcome.ERROR)
    return len(host.requests[request].attempts)


@given(name=unusual)
def test_a_class_changed_or_dropped_is_kept_by_requests_under_way(name: str) -> None:
    assert sends_after_an_error(Effect.IDEMPOTENT, RequestClass(name, effect=Effect.UNSAFE), name) == 2
    assert sends_after_an_error(Effect.IDEMPOTENT, None, name) == 2
    assert sends_after_an_error(Effect.UNSAFE, RequestClass(name, effect=Effect.IDEMPOTENT), name) == 1
    assert sends_after_an_error(Effect.UNSAFE, None, name) == 1


def test_a_class_looked_up_anew_at_a_reload_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    configure = Balancer._configure

    def configure_requests_too(self: Balancer, changed: Settings) -> None:
        configure(self, changed)
        for request in getattr(self, "requests", {}).values():
            name = request.arrival.request_class
            request.request_class = self.classes.get(name) or RequestClass(name)

    monkeypatch.setattr(Balancer, "_configure", configure_requests_too)
    assert sends_after_an_error(Effect.IDEMPOTENT, None, "a") == 1
    changed = RequestClass("a", effect=Effect.IDEMPOTENT)
    with pytest.raises(RuleViolationError, match="rule 2"):
        sends_after_an_error(Effect.UNSAFE, changed, "a")
