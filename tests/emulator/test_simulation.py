"""Plays: determinism, traces, routes, faults, and what the policies make of them."""

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
PLAY = """
import sys
from pathlib import Path
from heronreel.emulator.script_loader import load_script
from heronreel.emulator.simulation import play
script = load_script(Path(sys.argv[1]).read_bytes())
sys.stdout.buffer.write(play(script, int(sys.argv[2])).json_lines())
"""


def surge(tmp_path: Path) -> Path:
    """The weekend surge of the examples, with a third of its machines, to be quick."""
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


def test_two_plays_of_one_seed_are_byte_identical(tmp_path: Path) -> None:
    """In processes of their own with other hash seeds; another seed of the rehearsal differs."""
    path = surge(tmp_path)
    running = [
        subprocess.Popen(
            [sys.executable, "-c", PLAY, str(path), seed],
            stdout=subprocess.PIPE,
            cwd=ROOT,
            env={**os.environ, "PYTHONHASHSEED": hashes, "PYTHONPATH": str(ROOT)},
        )
        for seed, hashes in (("5", "1"), ("5", "4242"), ("6", "1"))
    ]
    outputs = [process.communicate()[0] for process in running]
    assert all(process.returncode == 0 for process in running)
    assert outputs[0] == outputs[1] and outputs[0] != outputs[2]
    rows = [json.loads(line) for line in outputs[0].splitlines()]
    assert {"slow", "errors", "grow"} <= {row.get("kind") for row in rows}
    assert rows[-1]["score"] > 0.0 and rows[-1]["counts"]["requests"] > 5000


def test_two_policies_get_identical_requests() -> None:
    """Arrivals, work, keys and tenants are the script's and the seed's; no policy can shift them."""

    def requests_of(policy: str) -> list[tuple[float, float, int]]:
        simulation = Simulation(
            rehearsal(seconds=4.0, faults=(Fault(fault_kind="burst", at_s=1.0, for_s=2.0, size=2.0),)),
            7,
            policy,
        )
        due: list[tuple[float, float, int]] = []
        start_attempt = simulation.clients.start_attempt

        def watch(request: ClientRequest) -> None:
            due.append((request.due_at, request.work, request.key))
            start_attempt(request)

        simulation.clients.start_attempt = watch  # type: ignore[method-assign]
        simulation.run()
        return sorted(set(due))

    assert requests_of("random") == requests_of("heronreel") == requests_of("sees-all")


def test_simultaneous_events_run_in_the_order_of_scheduling() -> None:
    events, seen = EventQueue(), []

    def note(number: int) -> None:
        seen.append(number)
        if number == 0:
            events.schedule(5.0, note, 3)  # for now: after those that were set before
            events.schedule(1.0, note, 4)  # for a time that has passed: now, too

    for number in range(3):
        events.schedule(5.0, note, number)
    events.run_until(5.0)
    assert seen == [0, 1, 2, 3, 4] and events.now == 5.0


def test_a_script_applies_a_file_of_routes() -> None:
    """The real policies of routes decide what may be repeated, and how often."""
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
    bound, free = play(script, 9, routes=routes), play(script, 9)
    assert bound.rules_kept and free.rules_kept
    assert bound.counts["refused"] > 0.2 * bound.counts["requests"], "20 a second at each proxy"
    assert free.counts["refused"] == 0


def test_a_trace_holds_beliefs_and_the_truth() -> None:
    script = rehearsal(
        seconds=6.0, faults=(Fault(fault_kind="slow", at_s=1.0, for_s=5.0, share=0.5, size=20.0),)
    )
    plain = play(script, 10)
    result = play(script, 10, trace=[40, 41, 10**9])
    assert result.digest() == plain.digest(), "following a request changes nothing"
    steps = result.traces["40"]
    assert [step["what"] for step in steps[:2]] == ["arrives", "decides"]
    decided = steps[1]
    assert {"factor", "load", "strikes"} <= decided["believes"].keys()
    assert {"running", "waiting", "pace"} <= decided["truth"].keys() and decided["others"]
    assert any(step["what"].startswith("answered") for step in steps) and result.traces[str(10**9)] == []


def test_a_drain_during_a_pause_loses_nothing() -> None:
    """The node stands still, is drained meanwhile, and goes when it has worked off what it had."""
    names = ["n1", "n2", "n3"]
    faults = (
        Fault(fault_kind="pause", at_s=3.0, for_s=1.5, names=names),
        Fault(fault_kind="drain", at_s=3.4, names=names, after_s=5.0),
    )
    result = play(rehearsal(faults=faults, load=0.5, kind=KIND), 15)
    assert result.rules_kept and result.counts["lost"] == 0, result.breaches[:3]
    assert result.counts["served"] > 0.9 * result.counts["requests"]


def test_a_process_replaced_at_its_address_is_distinguished_from_its_predecessor() -> None:
    """The new process starts cold, what the old one had is undone and may be repeated."""
    faults = (Fault(fault_kind="replace", at_s=4.0, share=0.4, same_address=True),)
    simulation = Simulation(rehearsal(faults=faults, load=0.6), 16)
    result = simulation.run()
    assert result.rules_kept, result.breaches[:3]
    reborn = [node for node in simulation.fleet.nodes if node.started_at]
    assert len(reborn) == 5 and all(node.started_at == 4000.0 and node.incarnation == 2 for node in reborn)
    assert len(simulation.fleet.nodes) == 12, "no new machine, no new id"
    done = [row for row in result.second_rows if row["second"] > 6]
    assert sum(row.get("served", 0) for row in done) > 0.9 * sum(row["requests"] for row in done)


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
    assert work[0] <= 0.3 + 1e-6 < work[1], "its nodes never get more than the limit together"
    factors = [
        sum(proxy.decider.endpoints.backends[node.ident].cost_factor for node in group) / 6.0  # type: ignore[union-attr]
        for group in (limited, free)
        for proxy in simulation.proxies[:1]
    ]
    assert factors[0] > 1.3 * factors[1], "the balancer has learned that they are slow"
    assert result.service["whole"] > play(rehearsal(load=0.55, fleet=fleet), 17, "random").service["whole"]


@pytest.mark.parametrize("seed", [18, 19])
def test_a_retry_storm_persists_without_a_budget_and_the_balancer_recovers(seed: int) -> None:
    """Metastable failure: after a burst of 2 s a fleet without a retry budget stays overloaded."""
    request_class = RequestClass(
        work_ms=60.0, effect="safe", latency_objective_ms=300.0, deadline_ms=2000.0, late_weight=0.0
    )
    kind = msgspec.structs.replace(KIND, queue=200)  # long enough to hold requests that are long out of date
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
    after = {}
    for policy in ("storm", "heronreel"):
        rows = [row for row in play(script, seed, policy).second_rows if 14 <= row["second"] < 19]
        after[policy] = sum(row.get("served", 0) for row in rows) / sum(row["requests"] for row in rows)
    assert after["storm"] < 0.5 and after["heronreel"] > 0.9, (seed, after)


def test_an_unknown_policy_is_an_error() -> None:
    with pytest.raises(UnknownPolicyError):
        make_policy("none", Simulation(rehearsal(), 1).proxies[0].settings, 1)
    assert ProxyConfig().policy == "heronreel"


def test_faults_of_one_kind_overlap_and_end_in_any_order() -> None:
    """The longer one goes on when the shorter one ends, and nothing is left when both have."""
    names = ["n1", "n2"]
    pairs = [
        Fault(fault_kind=what, at_s=at, for_s=lasts, **more)  # type: ignore[arg-type]
        for what, more in (
            ("silent", {"names": names}),
            ("slow", {"names": names, "size": 3.0}),
            ("errors", {"names": names, "size": 0.2}),
            ("burst", {"size": 2.0}),
            ("list_refuses", {}),
        )
        for at, lasts in ((1.0, 3.0), (2.0, 1.0))
    ]
    # of heavy requests the newest fault counts, and here the first begun is the first to end
    pairs.append(Fault(fault_kind="heavy", at_s=1.0, for_s=2.0, share=0.1, size=5.0))
    pairs.append(Fault(fault_kind="heavy", at_s=2.0, for_s=2.0, share=0.2, size=7.0))
    simulation = Simulation(rehearsal(seconds=6.0, load=0.3, kind=KIND, faults=tuple(pairs)), 20)
    seen: dict[float, list[object]] = {}

    def look() -> None:
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
        simulation.events.schedule(at, look)
    simulation.run()
    calm, one = [False, 1.0, 0.0, (0.0, 1.0), 1.0, False], [True, 3.0, 0.2, (0.1, 5.0), 2.0, True]
    assert seen[500.0] == seen[5000.0] == calm and seen[1500.0] == one
    assert seen[2500.0] == [True, 9.0, 0.4, (0.2, 7.0), 4.0, True]
    assert seen[3500.0] == [True, 3.0, 0.2, (0.2, 7.0), 2.0, True]


def test_every_kind_of_fault_has_a_handler_and_no_other_name_has() -> None:
    faults = Simulation(rehearsal(seconds=1.0), 21).begin()
    assert faults.handlers.keys() == set(typing.get_args(FaultKind))
