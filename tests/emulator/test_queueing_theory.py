"""Tests of the emulator's nodes against closed formulas of queueing theory."""

from __future__ import annotations

import math

import msgspec
import pytest

from heronreel.emulator.model import Fault, NodeKind, TrafficConfig
from heronreel.emulator.node import Job, Node
from heronreel.emulator.simulation import Simulation
from tests.support.rehearsals import KIND, rehearsal, single_node_rehearsal

SERVICE_MS = 10.0

# The tolerated relative error of a mean wait over about 30,000 requests.
MAX_RELATIVE_ERROR = 0.08


def wait_and_work_moments(
    kind: NodeKind, dist: str, cv: float, load: float, seed: int
) -> tuple[float, float, float]:
    """Return the mean wait before service in ms, and the first and second moment of the drawn work."""
    simulation = Simulation(
        single_node_rehearsal(kind, SERVICE_MS, dist, cv, load, 500.0 / kind.cores), seed, "random"
    )
    works: list[float] = []
    on_job_ended = simulation.fleet.on_job_ended

    def record(node: Node, job: Job) -> None:
        works.append(job.work)
        on_job_ended(node, job)

    simulation.fleet.on_job_ended = record
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
    """Return the probability that a job has to wait in an M/M/c queue."""
    offered = servers * load
    all_busy_term = offered**servers / math.factorial(servers) / (1.0 - load)
    return all_busy_term / (sum(offered**n / math.factorial(n) for n in range(servers)) + all_busy_term)


@pytest.mark.parametrize(("dist", "cv"), [("exp", 1.0), ("fixed", 0.0), ("lognormal", 1.5)])
def test_the_wait_at_one_core_follows_pollaczek_khinchine(dist: str, cv: float) -> None:
    load, seed = 0.6, 11
    mean_wait, mean, square = wait_and_work_moments(
        msgspec.structs.replace(KIND, cores=1), dist, cv, load, seed
    )
    assert mean == pytest.approx(SERVICE_MS, rel=0.03)
    assert square / mean**2 - 1.0 == pytest.approx(cv * cv, rel=0.2, abs=1e-9), f"seed {seed}"
    drawn_load = load * mean / SERVICE_MS
    assert mean_wait == pytest.approx(
        load / SERVICE_MS * square / 2.0 / (1.0 - drawn_load), rel=MAX_RELATIVE_ERROR
    ), f"seed {seed}"


def test_the_wait_at_four_cores_follows_erlang_c() -> None:
    load, seed = 0.8, 12
    expected = erlang_c(4, load) * SERVICE_MS / (4 * (1.0 - load))
    mean_wait, _, _ = wait_and_work_moments(msgspec.structs.replace(KIND, cores=4), "exp", 1.0, load, seed)
    assert mean_wait == pytest.approx(expected, rel=1.5 * MAX_RELATIVE_ERROR), f"seed {seed}"


def test_every_node_follows_littles_law() -> None:
    """The sojourn times are summed independently of the node's own counters."""
    simulation = Simulation(rehearsal(load=0.7), 13, "least-of-two")
    sojourn_ms: dict[str, float] = {}
    on_job_ended = simulation.fleet.on_job_ended

    def record(node: Node, job: Job) -> None:
        sojourn_ms[node.name] = sojourn_ms.get(node.name, 0.0) + simulation.events.now - job.arrived_at
        on_job_ended(node, job)

    simulation.fleet.on_job_ended = record
    simulation.run()
    assert len(sojourn_ms) == 12
    for node in simulation.fleet.nodes:
        assert not node.running and not node.waiting
        assert node.load_ms == pytest.approx(sojourn_ms[node.name], rel=1e-6), node.name


def test_open_arrivals_show_a_stall_that_closed_arrivals_hide() -> None:
    """Latency counts from the time when a request was due, so open arrivals show the whole stall.

    Closed arrivals wait during the stall and hide it (coordinated omission).
    """
    stall = (Fault(fault_kind="pause", at_s=4.0, for_s=2.0),)
    by_arrivals = {}
    for arrivals in ("open", "closed"):
        traffic = TrafficConfig(requests_per_s=120.0, arrivals=arrivals, users=12, think_ms=40.0)
        script = rehearsal(kind=KIND, seconds=10.0, faults=stall, traffic=traffic)
        result = Simulation(script, 14, "least-of-two").run()
        rows = {row["second"]: row["requests"] for row in result.second_rows}
        by_arrivals[arrivals] = (rows[5] / rows[3], result.percentiles["p95"])
    assert by_arrivals["open"][0] > 0.7 and by_arrivals["open"][1] > 500.0, by_arrivals
    assert by_arrivals["closed"][0] < 0.3 and by_arrivals["closed"][1] < 500.0, by_arrivals
