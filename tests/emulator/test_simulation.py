"""Tests of simulation runs: determinism, traces, routes, faults, and the policies under faults."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import typing
from pathlib import Path

import msgspec
import pytest

from heronreel.emulator.client_request import ClientRequest
from heronreel.emulator.errors import UnknownPolicyError
from heronreel.emulator.events import EventQueue
from heronreel.emulator.model import ClientConfig, Fault, FaultKind, FleetConfig, ProxyConfig, RequestClass
from heronreel.emulator.policies import make_policy
from heronreel.emulator.simulation import Simulation, play
from heronreel.routes.load import load_routes
from tests.support.rehearsals import KIND, rehearsal

ROOT = Path(__file__).parents[2]
PLAY_PROGRAM = """
import sys
from pathlib import Path
from heronreel.emulator.script_loader import load_script
from heronreel.emulator.simulation import play
script = load_script(Path(sys.argv[1]).read_bytes())
sys.stdout.buffer.write(play(script, int(sys.argv[2])).json_lines())
"""


def write_surge_script(tmp_path: Path) -> Path:
    """Write the example `weekend-surge` with a third of its machines, to run quickly; return its path."""
    text = (ROOT / "examples" / "rehearsals" / "weekend-surge.toml").read_text()
    for old, new in (
        ("nodes = 60", "nodes = 18"),
        ("count = 20", "count = 6"),
        ("requests_per_s = 640.0", "requests_per_s = 200.0"),
        ("quota_per_s = 880.0", "quota_per_s = 270.0"),
        ("quota_per_s = 720.0", "quota_per_s = 220.0"),
    ):
        assert old in text
        text = text.replace(old, new)
    path = tmp_path / "surge.toml"
    path.write_text(text)
    return path


def test_two_runs_of_one_seed_are_byte_identical(tmp_path: Path) -> None:
    """The processes have different hash seeds; another seed of the rehearsal gives another result."""
    path = write_surge_script(tmp_path)
    processes = [
        subprocess.Popen(
            [sys.executable, "-c", PLAY_PROGRAM, str(path), seed],
            stdout=subprocess.PIPE,
            cwd=ROOT,
            env={**os.environ, "PYTHONHASHSEED": hash_seed, "PYTHONPATH": str(ROOT)},
        )
        for seed, hash_seed in (("5", "1"), ("5", "4242"), ("6", "1"))
    ]
    outputs = [process.communicate()[0] for process in processes]
    assert all(process.returncode == 0 for process in processes)
    assert outputs[0] == outputs[1] and outputs[0] != outputs[2]
    rows = [json.loads(line) for line in outputs[0].splitlines()]
    assert {"slow", "errors", "grow"} <= {row.get("kind") for row in rows}
    assert rows[-1]["score"] > 0.0 and rows[-1]["counts"]["requests"] > 5000


def test_two_policies_get_identical_requests() -> None:
    """Arrivals, work, keys and tenants depend only on the script and the seed, not on the policy."""

    def requests_of(policy: str) -> list[tuple[float, float, int]]:
        simulation = Simulation(
            rehearsal(seconds=4.0, faults=(Fault(fault_kind="burst", at_s=1.0, for_s=2.0, size=2.0),)),
            7,
            policy,
        )
        due: list[tuple[float, float, int]] = []
        start_attempt = simulation.clients.start_attempt

        def record(request: ClientRequest) -> None:
            due.append((request.due_at, request.work, request.key))
            start_attempt(request)

        simulation.clients.start_attempt = record  # type: ignore[method-assign]
        simulation.run()
        return sorted(set(due))

    assert requests_of("random") == requests_of("heronreel") == requests_of("sees-all")


def test_simultaneous_events_run_in_the_order_in_which_they_were_scheduled() -> None:
    events, seen = EventQueue(), []

    def record(number: int) -> None:
        seen.append(number)
        if number == 0:
            # An event for the current time runs after those that were scheduled earlier.
            events.schedule(5.0, record, 3)
            # An event for a time that has passed runs at the current time.
            events.schedule(1.0, record, 4)

    for number in range(3):
        events.schedule(5.0, record, number)
    events.run_until(5.0)
    assert seen == [0, 1, 2, 3, 4] and events.now == 5.0


def test_a_run_applies_a_routes_file() -> None:
    """The route's policies decide which requests may be repeated and how often."""
    routes = load_routes(b"""
[[pools]]
name = "fleet"
discovery = "platform"
[[routes]]
name = "save"
match = { path_prefix = "/save" }
pool = "fleet"
class = "save"
effect = "keyed"
group = "rack"
window_ms = 5000.0
deadline_ms = 2500.0
attempts = 3
retry_on = ["not-run"]
requests_per_s = 20.0
""")
    script = rehearsal(seconds=8.0, load=0.3, request_class=RequestClass(work_ms=60.0))
    with_routes, without_routes = play(script, 9, routes=routes), play(script, 9)
    assert with_routes.rules_kept and without_routes.rules_kept
    assert with_routes.counts["refused"] > 0.2 * with_routes.counts["requests"], (
        "the limit is 20 requests a second at each proxy"
    )
    assert without_routes.counts["refused"] == 0


def test_a_trace_holds_the_estimates_of_the_proxy_and_the_true_state() -> None:
    script = rehearsal(
        seconds=6.0, faults=(Fault(fault_kind="slow", at_s=1.0, for_s=5.0, share=0.5, size=20.0),)
    )
    plain = play(script, 10)
    result = play(script, 10, trace=[40, 41, 10**9])
    assert result.digest() == plain.digest(), "tracing a request does not change the result"
    steps = result.traces["40"]
    assert [step["what"] for step in steps[:2]] == ["arrives", "decides"]
    decided = steps[1]
    assert {"factor", "load", "strikes"} <= decided["believes"].keys()
    assert {"running", "waiting", "pace"} <= decided["truth"].keys() and decided["others"]
    assert any(step["what"].startswith("answered") for step in steps) and result.traces[str(10**9)] == []


def test_a_drain_during_a_pause_loses_nothing() -> None:
    """The node is paused, is drained meanwhile, and leaves after it has finished its jobs."""
    names = ["n1", "n2", "n3"]
    faults = (
        Fault(fault_kind="pause", at_s=3.0, for_s=1.5, names=names),
        Fault(fault_kind="drain", at_s=3.4, names=names, after_s=5.0),
    )
    result = play(rehearsal(faults=faults, load=0.5, kind=KIND), 15)
    assert result.rules_kept and result.counts["lost"] == 0, result.breaches[:3]
    assert result.counts["served"] > 0.9 * result.counts["requests"]


def test_a_process_replaced_at_its_address_is_distinguished_from_its_predecessor() -> None:
    """The new process starts cold; jobs of the old one did not take effect and may be repeated."""
    faults = (Fault(fault_kind="replace", at_s=4.0, share=0.4, same_address=True),)
    simulation = Simulation(rehearsal(faults=faults, load=0.6), 16)
    result = simulation.run()
    assert result.rules_kept, result.breaches[:3]
    restarted = [node for node in simulation.fleet.nodes if node.started_at]
    assert len(restarted) == 5 and all(
        node.started_at == 4000.0 and node.incarnation == 2 for node in restarted
    )
    assert len(simulation.fleet.nodes) == 12, "no node and no node ID is added"
    later_rows = [row for row in result.second_rows if row["second"] > 6]
    assert sum(row.get("served", 0) for row in later_rows) > 0.9 * sum(row["requests"] for row in later_rows)


def test_a_hidden_limit_slows_a_rack_while_its_nodes_look_idle() -> None:
    fleet = FleetConfig(nodes=12, zones=["a"], rack_size=6, limited_racks=0.5, rack_limit=0.3, kinds=(KIND,))
    simulation = Simulation(rehearsal(load=0.55, fleet=fleet), 17)
    result = simulation.run()
    limited, free = (
        [node for node in simulation.fleet.nodes if bool(node.rack.limit) is bound] for bound in (True, False)
    )
    assert len(limited) == len(free) == 6
    seconds = simulation.events.now / 1000.0
    work = [sum(node.work_done_ms for node in group) / seconds / 12_000.0 for group in (limited, free)]
    assert work[0] <= 0.3 + 1e-6 < work[1], "the nodes of a limited rack together never exceed its limit"
    factors = [
        sum(proxy.decider.endpoints.backends[node.ident].cost_factor for node in group) / 6.0  # type: ignore[union-attr]
        for group in (limited, free)
        for proxy in simulation.proxies[:1]
    ]
    assert factors[0] > 1.3 * factors[1], (
        "the balancer has learned that the nodes of the limited rack are slow"
    )
    assert result.service["whole"] > play(rehearsal(load=0.55, fleet=fleet), 17, "random").service["whole"]


@pytest.mark.parametrize("seed", [18, 19])
def test_a_retry_storm_persists_without_a_budget_and_the_balancer_recovers(seed: int) -> None:
    """Without a retry budget, a fleet stays overloaded after a burst of 2 s (a metastable failure)."""
    request_class = RequestClass(
        work_ms=60.0, effect="safe", latency_objective_ms=300.0, deadline_ms=2000.0, late_weight=0.0
    )
    # The queue is long enough to hold requests that are long past their deadline.
    kind = msgspec.structs.replace(KIND, queue=200)
    trigger = (Fault(fault_kind="burst", at_s=4.0, for_s=2.0, size=3.0),)
    script = rehearsal(
        8,
        request_class=request_class,
        kind=kind,
        load=0.75,
        seconds=20.0,
        faults=trigger,
        clients=ClientConfig(retries=2, backoff_ms=50.0),
    )
    served_share = {}
    for policy in ("storm", "heronreel"):
        rows = [row for row in play(script, seed, policy).second_rows if 14 <= row["second"] < 19]
        served_share[policy] = sum(row.get("served", 0) for row in rows) / sum(
            row["requests"] for row in rows
        )
    assert served_share["storm"] < 0.5 and served_share["heronreel"] > 0.9, (seed, served_share)


def test_an_unknown_policy_is_an_error() -> None:
    with pytest.raises(UnknownPolicyError):
        make_policy("none", Simulation(rehearsal(), 1).proxies[0].settings, 1)
    assert ProxyConfig().policy == "heronreel"


def test_faults_of_one_kind_overlap_and_end_in_any_order() -> None:
    """The longer fault continues when the shorter one ends, and no effect remains when both have ended."""
    names = ["n1", "n2"]
    faults = [
        Fault(fault_kind=fault_kind, at_s=at_s, for_s=for_s, **targets)  # type: ignore[arg-type]
        for fault_kind, targets in (
            ("silent", {"names": names}),
            ("slow", {"names": names, "size": 3.0}),
            ("errors", {"names": names, "size": 0.2}),
            ("burst", {"size": 2.0}),
            ("list_refuses", {}),
        )
        for at_s, for_s in ((1.0, 3.0), (2.0, 1.0))
    ]
    # Of several `heavy` faults the newest applies; here the fault that began first also ends first.
    faults.append(Fault(fault_kind="heavy", at_s=1.0, for_s=2.0, share=0.1, size=5.0))
    faults.append(Fault(fault_kind="heavy", at_s=2.0, for_s=2.0, share=0.2, size=7.0))
    simulation = Simulation(rehearsal(seconds=6.0, load=0.3, kind=KIND, faults=tuple(faults)), 20)
    seen: dict[float, list[object]] = {}

    def record_state() -> None:
        node, traffic = simulation.cluster.nodes[simulation.fleet.nodes[0].ident], simulation.traffic
        state = [
            bool(node.silent),
            node.slowdown,
            round(node.error_rate, 6),
            traffic.heavy_work[-1],
            traffic.rate_factor,
        ]
        seen[simulation.events.now] = [*state, simulation.context.endpoint_list.refusing]

    for at in (500.0, 1500.0, 2500.0, 3500.0, 5000.0):
        simulation.events.schedule(at, record_state)
    simulation.run()
    no_fault, first_faults = (
        [False, 1.0, 0.0, (0.0, 1.0), 1.0, False],
        [True, 3.0, 0.2, (0.1, 5.0), 2.0, True],
    )
    assert seen[500.0] == seen[5000.0] == no_fault and seen[1500.0] == first_faults
    assert seen[2500.0] == [True, 9.0, 0.4, (0.2, 7.0), 4.0, True]
    assert seen[3500.0] == [True, 3.0, 0.2, (0.2, 7.0), 2.0, True]


def test_every_kind_of_fault_has_a_handler_and_no_other_name_has() -> None:
    faults = Simulation(rehearsal(seconds=1.0), 21).begin()
    assert faults.handlers.keys() == set(typing.get_args(FaultKind))
