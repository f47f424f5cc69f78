"""Draws the plan of a fleet run from its seed: list service faults, drains and shutdowns of proxies.

Times are in seconds from the moment when all proxies serve.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

from heronreel.soak.plan import LONGEST_DEADLINES_S, ClientKind, Shutdown, draw_shutdown

FLEET_SIZES = (12, 12, 40)
BACKENDS = 4
FLEET_KINDS = (
    ClientKind.STEADY,
    ClientKind.STEADY,
    ClientKind.FRESH,
    ClientKind.HALVES,
    ClientKind.PIPELINED,
)
CROWD_CLIENTS = 10  # clients per proxy in a run with many clients; only in the smaller fleets
ALL_CALLS_S = (3.0, 10.0)  # range of the time that an overloaded service needs for one call of each proxy
REFUSAL_SHARE = 0.2  # cost of a refusal, as a share of the time for a call
EARLY_SHARE = 0.25  # share of the processes that end before the others
AFTER_S = 8.0  # time that a run continues after its last fault


class Trouble(Enum):
    """A fault or a change of the list or of its service."""

    FULL = "the service takes long for each call from now on"
    QUICK = "it is quick again"
    DOWN = "it is down, its watches are reset"
    BACK = "it is back"
    RESET = "all watches are reset"
    DRAIN_ENDED = "a backend drains, and watches end in place of the change"
    DRAIN_TOLD = "a backend drains, and open watches bring it"
    RETURN = "the backend is active again"


@dataclass(slots=True, frozen=True)
class Step:
    """A fault or change, and the time at which it happens."""

    at_s: float
    trouble: Trouble
    backend: int = 0


@dataclass(slots=True, frozen=True)
class FleetPlan:
    """A run of a fleet with one list service."""

    seed: int
    longest_deadline_s: float
    service_s: float  # a backend's usual time for a request
    call_s: float  # time that the list service needs for a call while it is overloaded
    steps: tuple[Step, ...]
    shutdowns: tuple[Shutdown, ...]  # one per proxy, each at the end of its `serve_s`

    @property
    def ends_at_s(self) -> float:
        """The time at which the last process gets its SIGTERM."""
        return max(shutdown.serve_s for shutdown in self.shutdowns)


def draw_fleet_plan(seed: int, proxies: int = 0) -> FleetPlan:
    """Return the plan of a seed for `proxies` proxies; 0 draws their number."""
    random = Random(f"fleet {seed}")
    proxies = proxies or random.choice(FLEET_SIZES)
    longest_s = random.choice(LONGEST_DEADLINES_S)
    steps = _draw_steps(random)
    clients = CROWD_CLIENTS if proxies < max(FLEET_SIZES) and random.random() < 0.25 else 2
    ends_at_s = steps[-1].at_s + AFTER_S
    return FleetPlan(
        seed,
        longest_s,
        random.choice((0.002, 0.01)),
        random.uniform(*ALL_CALLS_S) / proxies,
        steps,
        tuple(_draw_shutdown(random, longest_s, clients, ends_at_s) for _ in range(proxies)),
    )


def _draw_steps(random: Random) -> tuple[Step, ...]:
    """Draw one or two rounds, each of which drains a backend and makes it active again."""
    steps, at_s = [], random.uniform(0.2, 1.0)
    for backend in range(random.choice((1, 2))):
        steps.append(Step(at_s, Trouble.FULL))
        disruption = random.choice(("ended", "ended", "outage", "reset"))
        if disruption == "outage":
            steps.append(Step(at_s + 0.1, Trouble.DOWN))
            at_s += random.uniform(1.5, 9.0)
            steps.append(Step(at_s, Trouble.BACK))
            at_s += random.uniform(0.0, 3.0)
        elif disruption == "reset":
            steps.append(Step(at_s + 0.1, Trouble.RESET))
            at_s += random.uniform(0.3, 4.0)
        kind = Trouble.DRAIN_ENDED if disruption == "ended" or random.random() < 0.5 else Trouble.DRAIN_TOLD
        at_s += 0.2
        steps.append(Step(at_s, kind, backend))
        at_s += random.uniform(7.5, 9.0)
        steps.append(Step(at_s, Trouble.QUICK))
        steps.append(Step(at_s, Trouble.RETURN, backend))
        at_s += random.uniform(0.5, 2.0)
    return tuple(steps)


def _draw_shutdown(random: Random, longest_s: float, clients: int, ends_at_s: float) -> Shutdown:
    """Draw a shutdown: a quarter of the processes end early, the others together at the end of the run."""
    drawn = draw_shutdown(random, longest_s, BACKENDS)
    return Shutdown(
        serve_s=random.uniform(1.0, ends_at_s)
        if random.random() < 0.25
        else ends_at_s + random.uniform(0.0, 0.5),
        signals=drawn.signals,
        hold=drawn.hold,
        clients=tuple(random.choice(FLEET_KINDS) for _ in range(clients)),
        faults=(),
        new_connections_s=drawn.new_connections_s,
        quiesce_s=None,
    )
