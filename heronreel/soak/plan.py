"""Draws the plan of a run from its seed.  Times are in seconds."""

from __future__ import annotations

import signal
from dataclasses import dataclass
from enum import Enum
from random import Random

# The platform's earliest SIGKILL follows SIGTERM after the longest deadline plus this time.
KILL_AFTER_DEADLINE_S = 0.7
MAX_HOLD_S = 0.15  # longest time that a process may be stopped
LONGEST_DEADLINES_S = (0.2, 0.3, 0.7, 1.2)


class ClientKind(Enum):
    """How a client uses its connections."""

    STEADY = "steady"  # sequential requests on one connection while it stays open
    FRESH = "fresh"  # a new connection for each request
    SILENT = "silent"  # opens a connection and sends its first request much later
    HALVES = "halves"  # sends each request in two parts
    PIPELINED = "pipelined"  # sends several requests at once
    LEAVING = "leaving"  # closes the connection soon after sending a request
    STUCK = "stuck"  # sends half a request and keeps the connection open
    UPLOADING = "uploading"  # sends long bodies in pieces


USUAL_KINDS = (
    ClientKind.STEADY, ClientKind.STEADY, ClientKind.STEADY, ClientKind.FRESH, ClientKind.SILENT,
    ClientKind.SILENT, ClientKind.HALVES, ClientKind.PIPELINED, ClientKind.LEAVING, ClientKind.STUCK,
    ClientKind.UPLOADING,
)  # fmt: skip


class BackendFault(Enum):
    """The fault of a backend, or of the link to it, during the shutdown."""

    NONE = "none"
    HANGING = "hanging"  # accepts requests and never responds
    RESETTING = "resetting"  # resets connections at times, also during requests
    REJECTING = "rejecting"  # rejects some requests as not run
    SLOW_WAY = "slow way"  # delays each piece of data by a random time
    TRICKLING = "trickling"  # passes on few bytes at a time


@dataclass(slots=True, frozen=True)
class Signal:
    """A signal, and the time at which it is sent, relative to SIGTERM."""

    number: signal.Signals
    at_s: float


@dataclass(slots=True, frozen=True)
class Hold:
    """A period in which the process is stopped; `at_s` is relative to SIGTERM."""

    at_s: float
    for_s: float


@dataclass(slots=True, frozen=True)
class Shutdown:
    """The plan for one process: how long it serves, and what happens during its shutdown."""

    serve_s: float
    signals: tuple[Signal, ...]
    hold: Hold | None
    clients: tuple[ClientKind, ...]
    faults: tuple[BackendFault, ...]  # one per backend
    new_connections_s: float  # time after SIGTERM during which clients open new connections
    # Time before SIGTERM at which an operator quiesces the process; only where processes share a socket.
    quiesce_s: float | None


@dataclass(slots=True, frozen=True)
class Plan:
    """A run: several proxies in parallel, each with a sequence of shutdowns."""

    seed: int
    longest_deadline_s: float
    service_s: float  # a backend's usual time for a request
    proxies: tuple[tuple[Shutdown, ...], ...]
    # For each proxy, whether its processes share a listening socket, as in an upgrade.
    hands_over: tuple[bool, ...]

    @property
    def kill_after_s(self) -> float:
        """The time from SIGTERM to SIGKILL."""
        return self.longest_deadline_s + KILL_AFTER_DEADLINE_S


def draw_plan(seed: int, proxies: int = 2, shutdowns: int = 2, backends: int = 3) -> Plan:
    """Return the plan of a seed."""
    random = Random(seed)
    longest_s = random.choice(LONGEST_DEADLINES_S)
    lives = tuple(
        tuple(draw_shutdown(random, longest_s, backends) for _ in range(shutdowns)) for _ in range(proxies)
    )
    hands_over = tuple(random.random() < 0.4 for _ in range(proxies))
    return Plan(seed, longest_s, random.choice((0.002, 0.01, 0.03)), lives, hands_over)


def draw_shutdown(random: Random, longest_s: float, backends: int) -> Shutdown:
    """Draw the plan for one process; a quarter of the processes have an particularly large client count."""
    is_crowd = random.random() < 0.25
    clients = random.randint(100, 150) if is_crowd else random.randint(20, 60)
    faults = [BackendFault.NONE] * backends
    for place in range(random.randint(0, backends - 1)):
        faults[place] = random.choice(list(BackendFault))
    return Shutdown(
        serve_s=random.uniform(0.3, 0.8),
        signals=_draw_signals(random, longest_s + KILL_AFTER_DEADLINE_S),
        hold=_draw_hold(random, longest_s + KILL_AFTER_DEADLINE_S),
        clients=tuple(random.choice(USUAL_KINDS) for _ in range(clients)),
        faults=tuple(faults),
        new_connections_s=random.uniform(0.2, 0.4),
        quiesce_s=random.uniform(0.1, 0.5) if random.random() < 0.5 else None,
    )


def _draw_signals(random: Random, kill_after_s: float) -> tuple[Signal, ...]:
    """Draw the signals other than the SIGTERM at time 0."""
    signals = []
    if random.random() < 0.5:
        signals.append(Signal(signal.SIGHUP, -random.uniform(0.0, 0.3)))
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
        if random.random() < 0.25:
            signals.append(Signal(number, random.uniform(0.0, kill_after_s)))
    return tuple(signals)


def _draw_hold(random: Random, kill_after_s: float) -> Hold | None:
    if random.random() < 0.5:
        return None
    # Half of the holds begin in the last part of the shutdown.
    begins_s = random.choice((0.0, kill_after_s - 0.6))
    return Hold(random.uniform(begins_s, kill_after_s - 0.1), random.uniform(0.02, MAX_HOLD_S))
