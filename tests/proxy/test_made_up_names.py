"""The balancer's decisions do not depend on the names of classes, tenants, zones, kinds and backends.

A short simulation runs under random names and values.  The settings are loaded from the proxy's configuration
file and the backends pass through its registry, so that names are processed as in production.  A strict host
checks every action against the rules, also across reloads.
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

CLASSES = 4
TENANTS = 3
ZONES = 3
KINDS = 2
BACKENDS = 10
EFFECTS = ("idempotent", "deduplicated", "at_most_once")
SCOPES = ("zone", "cell", "all")
STATUS = {BackendState.UP: "active", BackendState.DRAINING: "leaving", BackendState.REMOVED: "left"}
SIMULATION_STEPS = 200
NAMES_PER_RELOAD = 4  # A reload introduces this many new names.
LONG_NAME_CHARACTERS = 3000


@dataclass(frozen=True)
class Naming:
    """The names of classes, tenants, zones, kinds and backends in one simulation."""

    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    backends: tuple[str, ...]


def numbered_names(prefix: str, count: int) -> tuple[str, ...]:
    return tuple(f"{prefix}{number}" for number in range(count))


NUMBERED_NAMING = Naming(
    numbered_names("class", CLASSES),
    numbered_names("tenant", TENANTS),
    numbered_names("zone", ZONES),
    numbered_names("kind", KINDS),
    numbered_names("backend", BACKENDS),
)

texts = st.text(st.characters(exclude_categories=["Cs"]), min_size=1, max_size=20)
unusual_names = st.one_of(
    texts,
    texts.map(str.upper),
    texts.map(lambda text: f" {text} {text} "),
    texts.map(lambda text: (text * LONG_NAME_CHARACTERS)[:LONG_NAME_CHARACTERS]),
    st.sampled_from(
        ["a", "A", "ß", "SS", "ss", "straße", "STRASSE", "0", "-1", "1e3", "true", "null", " ", "=", "İ"]
    ),
)


def unique_names(count: int) -> st.SearchStrategy[tuple[str, ...]]:
    return st.lists(unusual_names, min_size=count, max_size=count, unique=True).map(tuple)


namings = st.builds(
    Naming,
    unique_names(CLASSES),
    unique_names(TENANTS),
    unique_names(ZONES),
    unique_names(KINDS),
    unique_names(BACKENDS),
)


class EmptyConnectionPool:
    """Replaces the connection pool; it has no connections."""

    def close_idle(self, backend: object) -> None:
        """Do nothing, since there are no idle connections."""


def configuration_document(rng: random.Random, names: Naming) -> dict[str, Any]:
    """Return a configuration whose values depend only on the random generator, not on the names."""
    classes = [
        {
            "Name": name,
            "OnTimeMs": rng.uniform(100.0, 3000.0),
            "HardLimitMs": rng.uniform(3000.0, 9000.0),
            "Worth": rng.uniform(0.1, 50.0),
            "LateWorth": rng.random(),
            "Effect": rng.choice(EFFECTS),
            "DedupScope": rng.choice(SCOPES),
            "RepeatWindowMs": rng.uniform(50.0, 9000.0),
        }
        for name in names.classes
    ]
    return {
        "seed": f"{rng.getrandbits(32):x}",
        "limits": {"memory_mb": 64, "sockets": 256},
        "discovery": "127.0.0.1:1",
        "known": {"index": 1, "snapshot": True, "endpoints": []},
        "settings": {
            "Categories": classes,
            "Tenants": [
                {"Name": name, "Portion": 0.3, "QuotaPerS": rng.uniform(1.0, 50.0)} for name in names.tenants
            ],
            "Zone": names.zones[0],
            "FailureDomains": list(names.zones),
            "Balancers": rng.choice((1, 3, 12)),
            "Limits": {
                "MostTries": rng.randint(1, 5),
                "SecondCopies": rng.random() < 0.5,
                "Cancel": rng.random() < 0.5,
                "RetryAfter": rng.random() < 0.5,
                "MaxRetryAfterMs": rng.uniform(100.0, 2000.0),
            },
            "Rules": {
                "ColdFrom": rng.uniform(0.1, 0.5),
                "ColdMs": 8000.0,
                "OverloadFactor": 3,
                "FallMs": 900,
            },
            "OverShareWorth": rng.random(),
            "Deductions": {"CrossZone": rng.choice((0.0, rng.random())), "LateFail": rng.random()},
        },
    }


def load_settings(contents: dict[str, Any]) -> tuple[Settings, int]:
    """Load settings and seed from a configuration file with this content, as the proxy does."""
    with TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(contents))
        config = load({"LB_NAME": "n0", "LB_LISTEN": "127.0.0.1:0", "LB_CONFIG": str(path)})
    return config.settings, config.seed


class NamedSimulation:
    """A seeded simulation under given names: a balancer, its host and the registry of its backends."""

    def __init__(self, seed: int, names: Naming) -> None:
        self.rng, self.names = random.Random(seed), names
        settings, balancer_seed = load_settings(configuration_document(self.rng, names))
        assert tuple(request_class.name for request_class in settings.classes) == names.classes
        assert tuple(tenant.name for tenant in settings.tenants) == names.tenants
        assert settings.zone == names.zones[0]
        self.host = Host(settings, balancer_seed)
        self.registry = BackendRegistry(cast(ConnectionPool, EmptyConnectionPool()), self._dispatch, False)
        self.backend_names: dict[int, str] = {}  # The names of all backends ever listed, by number.
        self.update(ListKind.CACHED, *range(BACKENDS // 2))

    def _dispatch(self, event: Event) -> None:
        assert isinstance(event, BackendList)
        self.host.receive_list(event.kind, *event.backends)

    def update(self, kind: ListKind, *indexes: int, state: BackendState = BackendState.UP) -> None:
        """Send an endpoint list with the backends of these indexes, all in the same state."""
        entries = [
            {
                "name": self.names.backends[index],
                "address": f"127.0.0.1:{1000 + index}",
                "zone": self.names.zones[index % ZONES],
                "type": self.names.kinds[index % KINDS],
                "group": index // 4,
                "status": STATUS[state],
                "since_ms": self.rng.choice((0.0, self.host.now - 100.0)),
            }
            for index in indexes
        ]
        message = {"index": 1, "snapshot": kind is not ListKind.CHANGES, "endpoints": entries}
        parsed: EndpointList = parse_endpoint_list(json.loads(json.dumps(message)))
        assert [endpoint.name for endpoint in parsed.endpoints] == [entry["name"] for entry in entries]
        self.registry.update(parsed, kind)
        self.backend_names |= {number: name for name, number in self.registry.numbers.items()}

    def step(self) -> None:
        """Simulate one event, which depends on the seed alone."""
        host, rng, in_flight = self.host, self.rng, self.host.in_flight()
        roll = rng.random()
        if roll < 0.5:
            request_class = rng.choice(self.names.classes)
            tenant = rng.choice(self.names.tenants)
            host.start_request(request_class, rng.uniform(5.0, 100.0), rng.uniform(500.0, 3000.0), tenant)
        elif roll < 0.9 and in_flight:
            host.end_attempt(*rng.choice(in_flight), rng.choice([*[Outcome.SERVED] * 5, *Outcome]))
        elif roll < 0.95:
            indexes = sorted(rng.sample(range(BACKENDS), rng.randint(1, BACKENDS)))
            self.update(rng.choice((ListKind.FULL, ListKind.CHANGES)), *indexes)
        elif roll < 0.97:
            state = rng.choice((BackendState.DRAINING, BackendState.REMOVED))
            self.update(ListKind.CHANGES, rng.randrange(BACKENDS), state=state)
        host.advance_to(host.now + rng.expovariate(0.05))

    def actions(self) -> list[tuple[Action, str]]:
        """Return the balancer's actions, each with the numbered name of its backend."""
        numbered = dict(zip(self.names.backends, NUMBERED_NAMING.backends, strict=True))
        return [
            (replace(action, backend=0), numbered[self.backend_names[action.backend]])
            if isinstance(action, StartAttempt)
            else (action, "")
            for action in self.host.log
        ]


def simulated_actions(seed: int, names: Naming) -> list[tuple[Action, str]]:
    simulation = NamedSimulation(seed, names)
    for _ in range(SIMULATION_STEPS):
        simulation.step()
    return simulation.actions()


@settings(max_examples=40, deadline=None, derandomize=True)
@given(seed=st.integers(0, 2**32), names=namings)
def test_the_same_simulation_under_other_names_has_the_same_actions(seed: int, names: Naming) -> None:
    actions = simulated_actions(seed, names)
    assert actions == simulated_actions(seed, NUMBERED_NAMING)
    assert any(isinstance(action, StartAttempt) for action, _ in actions)


def test_another_seed_leads_to_other_actions() -> None:
    assert simulated_actions(1, NUMBERED_NAMING) != simulated_actions(
        2, NUMBERED_NAMING
    )  # The compared actions are not the same for all seeds.


def test_confusing_zones_whose_names_differ_only_in_case_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    similar_names = replace(NUMBERED_NAMING, zones=("Zone", "zone", "ZONE"))
    assert all(
        simulated_actions(seed, similar_names) == simulated_actions(seed, NUMBERED_NAMING)
        for seed in range(5)
    )

    def is_near_ignoring_case(self: Endpoints, info: BackendInfo) -> bool:
        return info.zone.casefold() == self.settings.zone.casefold() or not self.settings.price_cross_zone

    monkeypatch.setattr(Endpoints, "is_near", is_near_ignoring_case)
    assert any(
        simulated_actions(seed, similar_names) != simulated_actions(seed, NUMBERED_NAMING)
        for seed in range(5)
    )


# Reloads that add, remove and change names while requests are in progress.


class ReloadingHost(Host):
    """A strict host that checks each request by the rules of the class that it arrived with."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.present = self.classes  # The classes of the current settings.
        self.classes_at_arrival: dict[int, dict[str, RequestClass]] = {}

    def _check(self, action: Action) -> None:
        if (request := getattr(action, "request", None)) is not None:
            self.classes = self.classes_at_arrival[request]
        super()._check(action)

    def arrive_with_class(self, name: str, tenant: str) -> int:
        """Add a request of a class that may be missing in the settings, and then counts as unsafe."""
        classes = {name: self.present.get(name, RequestClass(name))}
        self.classes_at_arrival[self.next_id] = classes
        return self.start_request(name, 50.0, 3000.0, tenant)

    def reload(self, settings: Settings) -> None:
        """Apply other settings from now on."""
        self.settings, self.present = (
            settings,
            {request_class.name: request_class for request_class in settings.classes},
        )
        self._handle(NewSettings(settings))


def changed_settings(rng: random.Random, old: Settings, spare: list[str], quotas: bool) -> Settings:
    """Remove a class and a tenant, rename one of each, change another class, and add new ones."""
    kept = rng.sample(old.classes, len(old.classes) - 1)
    renamed = replace(kept[0], name=spare.pop())
    changed = replace(kept[1], effect=rng.choice(list(Effect)), priority_weight=rng.uniform(0.1, 9.0))
    added = RequestClass(spare.pop(), rng.uniform(100.0, 900.0), effect=rng.choice(list(Effect)))
    tenants = rng.sample(old.tenants, len(old.tenants) - 1)
    new_tenants = (
        replace(tenants[0], name=spare.pop()),
        Tenant(spare.pop(), 0.5, rng.uniform(0.1, 9.0) * quotas),
    )
    return replace(
        old, classes=(renamed, changed, *kept[2:], added), tenants=(*tenants[1:], *new_tenants), hedging=False
    )


def run_with_reloads(seed: int, names: tuple[str, ...], spare: list[str], quotas: bool) -> ReloadingHost:
    """Simulate arrivals, attempts with any outcome and reloads, which the host checks.

    With `quotas`, some requests exceed the quota of their tenant.
    """
    rng = random.Random(seed)
    first_names = replace(NUMBERED_NAMING, classes=names[:CLASSES], tenants=names[CLASSES:])
    contents = configuration_document(rng, first_names)
    if not quotas:
        for tenant in contents["settings"]["Tenants"]:
            tenant["QuotaPerS"] = 0.0
    first_settings, balancer_seed = load_settings(contents)
    host = ReloadingHost(replace(first_settings, max_attempts=4, hedging=False), balancer_seed)
    host.receive_list(
        ListKind.CACHED, *(BackendInfo(100 + index, cell=index // 4) for index in range(BACKENDS))
    )
    known_classes, known_tenants = list(names[:CLASSES]), list(names[CLASSES:])
    for _ in range(SIMULATION_STEPS):
        in_flight, roll = host.in_flight(), rng.random()
        if roll < 0.5:
            host.arrive_with_class(rng.choice(known_classes), rng.choice(known_tenants))
        elif roll < 0.9 and in_flight:
            host.end_attempt(*rng.choice(in_flight), rng.choice([Outcome.SERVED, *Outcome]))
        elif roll < 0.95 and len(spare) >= NAMES_PER_RELOAD:
            host.reload(changed_settings(rng, host.settings, spare, quotas))
            known_classes += [request_class.name for request_class in host.settings.classes]
            known_tenants += [known.name for known in host.settings.tenants]
        host.advance_to(host.now + rng.expovariate(0.05))
    host.advance_to(host.now + 20_000.0)
    return host


@settings(max_examples=40, deadline=None, derandomize=True)
@given(seed=st.integers(0, 2**32), names=unique_names(CLASSES + TENANTS + 6 * NAMES_PER_RELOAD))
def test_requests_in_progress_keep_their_class_across_reloads(seed: int, names: tuple[str, ...]) -> None:
    initial, spare = names[: CLASSES + TENANTS], list(names[CLASSES + TENANTS :])
    host = run_with_reloads(seed, initial, spare, quotas=False)
    assert not host.balancer.requests  # Every request got its final response.


def attempts_after_an_error(before: Effect, after: RequestClass | None, name: str) -> int:
    """Return the number of attempts of a request whose class changes before its first attempt fails.

    The class is replaced by `after`, or removed if that is None.
    """
    old = RequestClass(name, 400.0, 2000.0, effect=before)
    host = ReloadingHost(Settings((old,), max_attempts=3), 1)
    host.receive_list(ListKind.CACHED, *(BackendInfo(100 + index) for index in range(3)))
    request = host.arrive_with_class(name, "")
    host.reload(Settings((after or RequestClass(name + "'"),), max_attempts=3))
    host.end_attempt(request, 0, Outcome.ERROR)
    return len(host.requests[request].attempts)


@given(name=unusual_names)
def test_requests_in_progress_keep_a_class_that_is_changed_or_removed(name: str) -> None:
    assert attempts_after_an_error(Effect.IDEMPOTENT, RequestClass(name, effect=Effect.UNSAFE), name) == 2
    assert attempts_after_an_error(Effect.IDEMPOTENT, None, name) == 2
    assert attempts_after_an_error(Effect.UNSAFE, RequestClass(name, effect=Effect.IDEMPOTENT), name) == 1
    assert attempts_after_an_error(Effect.UNSAFE, None, name) == 1


def test_looking_up_the_class_of_a_request_again_at_a_reload_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    configure = Balancer._configure

    def configure_including_requests(self: Balancer, changed: Settings) -> None:
        configure(self, changed)
        for request in getattr(self, "requests", {}).values():
            name = request.arrival.request_class
            request.request_class = self.classes.get(name) or RequestClass(name)

    monkeypatch.setattr(Balancer, "_configure", configure_including_requests)
    assert attempts_after_an_error(Effect.IDEMPOTENT, None, "a") == 1
    changed = RequestClass("a", effect=Effect.IDEMPOTENT)
    with pytest.raises(RuleViolationError, match="rule 2"):
        attempts_after_an_error(Effect.UNSAFE, changed, "a")
