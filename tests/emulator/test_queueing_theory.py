"""The emulator against closed forms of queueing theory, and Little's law on every node."""

from __future__ import annotations

import math

import msgspec
import pytest

from heronreel.emulator.model import Fault, NodeKind, TrafficConfig
from heronreel.emulator.node import Job, Node
from heronreel.emulator.simulation import Simulation
from tests.support.rehearsals import KIND, rehearsal, single_node_rehearsal

SERVICE_MS = 10.0
ERROR = 0.08  # of a mean wait over some 30,000 requests


def waits(kind: NodeKind, dist: str, cv: float, load: float, seed: int) -> tuple[float, float, float]:
    """The mean wait before service, ms, and the moments of the work as drawn."""
    simulation = Simulation(
        single_node_rehearsal(kind, SERVICE_MS, dist, cv, load, 500.0 / kind.cores), seed, "random"
    )
    works: list[float] = []
    ended = simulation.fleet.on_job_ended

    def watch(node: Node, job: Job) -> None:
        works.append(job.work)
        ended(node, job)

    simulation.fleet.on_job_ended = watch
    simulation.run()
    node = simulation.fleet.nodes[0]
    assert node.completed == len(works)
    mean = sum(works) / len(works)
    return (
        (node.load_ms - node.busy_ms) / node.completed,
        mean,
        sum(work * work for work in works) / len(works),
    )


def erlang_c(servers: int, load: float) -> float:
    """The chance to wait in M/M/c."""
    offered = servers * load
    last = offered**servers / math.factorial(servers) / (1.0 - load)
    return last / (sum(offered**n / math.factorial(n) for n in range(servers)) + last)


@pytest.mark.parametrize(("dist", "cv"), [("exp", 1.0), ("fixed", 0.0), ("lognormal", 1.5)])
def test_the_wait_at_one_core_follows_pollaczek_khinchine(dist: str, cv: float) -> None:
    load, seed = 0.6, 11
    found, mean, square = waits(msgspec.structs.replace(KIND, cores=1), dist, cv, load, seed)
    assert mean == pytest.approx(SERVICE_MS, rel=0.03)
    assert square / mean**2 - 1.0 == pytest.approx(cv * cv, rel=0.2, abs=1e-9), f"seed {seed}"
    drawn = load * mean / SERVICE_MS
    assert found == pytest.approx(load / SERVICE_MS * square / 2.0 / (1.0 - drawn), rel=ERROR), f"seed {seed}"


def test_the_wait_at_four_cores_follows_erlang_c() -> None:
    load, seed = 0.8, 12
    expected = erlang_c(4, load) * SERVICE_MS / (4 * (1.0 - load))
    found, _, _ = waits(msgspec.structs.replace(KIND, cores=4), "exp", 1.0, load, seed)
    assert found == pytest.approx(expected, rel=1.5 * ERROR), f"seed {seed}"


def test_every_node_follows_littles_law() -> None:
    """Little's law, node by node: stays are summed apart from the node's own books."""
    simulation = Simulation(rehearsal(load=0.7), 13, "least-of-two")
    stays: dict[str, float] = {}
    ended = simulation.fleet.on_job_ended

    def watch(node: Node, job: Job) -> None:
        stays[node.name] = stays.get(node.name, 0.0) + simulation.events.now - job.arrived_at
        ended(node, job)

    simulation.fleet.on_job_ended = watch
    simulation.run()
    assert len(stays) == 12
    for node in simulation.fleet.nodes:
        assert not node.running and not node.waiting
        assert node.load_ms == pytest.approx(stays[node.name], rel=1e-6), node.name


def test_open_arrivals_show_a_stall_that_closed_arrivals_hide() -> None:
    """No coordinated omission: latency counts from when a request was due, so a stall shows in full."""
    stall = (Fault(fault_kind="pause", at_s=4.0, for_s=2.0),)
    found = {}
    for arrivals in ("open", "closed"):
        traffic = TrafficConfig(requests_per_s=120.0, arrivals=arrivals, users=12, think_ms=40.0)
        script = rehearsal(kind=KIND, seconds=10.0, faults=stall, traffic=traffic)
        result = Simulation(script, 14, "least-of-two").run()
        rows = {row["second"]: row["requests"] for row in result.second_rows}
        found[arrivals] = (rows[5] / rows[3], result.percentiles["p95"])
    assert found["open"][0] > 0.7 and found["open"][1] > 500.0, found
    assert found["closed"][0] < 0.3 and found["closed"][1] < 500.0, found
