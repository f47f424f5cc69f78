"""Tests of the invariant checker.

For each invariant, a policy with one defect breaks it and the checker reports the breach.  The balancer keeps
all invariants.
"""

from __future__ import annotations

from dataclasses import replace

import msgspec
import pytest

from heronreel.balancer.choice import Balancer
from heronreel.balancer.interface import Settings
from heronreel.emulator.invariants import InvariantChecker
from heronreel.emulator.model import Fault, Rehearsal, RequestClass
from heronreel.emulator.node import Admission, Job, Node, Rack
from heronreel.emulator.simulation import Simulation, play
from tests.support.rehearsals import COLD, rehearsal

FAULTS = {
    "lost": (Fault(fault_kind="errors", at_s=2.0, for_s=6.0, share=0.5, size=0.5),),
    "twice": (Fault(fault_kind="slow", at_s=2.0, for_s=6.0, share=0.5, size=15.0),),
    "drain": (Fault(fault_kind="drain", at_s=2.0, share=0.3, after_s=8.0),),
    "cold": (Fault(fault_kind="replace", at_s=3.0, share=0.35, within_s=2.0, after_s=3.0),),
}


def scenario(rule: str) -> Rehearsal:
    return rehearsal(faults=FAULTS[rule], load=0.6, proxies=3)


@pytest.mark.parametrize("rule", list(FAULTS))
@pytest.mark.parametrize("seed", [1, 2])
def test_a_policy_with_one_defect_breaks_its_invariant_and_no_other(rule: str, seed: int) -> None:
    result = play(scenario(rule), seed, f"careless-{rule}")
    print(f"seed {seed}: {result.breach_counts}")
    assert result.breach_counts[rule] > 0 and result.score == 0.0
    assert not [other for other, count in result.breach_counts.items() if count and other != rule], (
        result.breach_counts
    )
    breach = result.breaches[0]
    assert breach["rule"] == rule and breach["words"] and (breach["request"] >= 0 or breach["node"])


@pytest.mark.parametrize("rule", list(FAULTS))
@pytest.mark.parametrize("seed", [1, 2])
def test_the_balancer_keeps_every_invariant(rule: str, seed: int) -> None:
    result = play(scenario(rule), seed)
    assert result.rules_kept, (seed, result.breaches[:3])
    assert result.service["whole"] > 0.7


@pytest.mark.parametrize("effect", ["safe", "keyed", "unsafe"])
def test_the_balancer_keeps_every_invariant_for_each_effect_under_all_faults_at_once(effect: str) -> None:
    request_class = RequestClass(work_ms=60.0, effect=effect, attempt_noise=0.2)  # type: ignore[arg-type]
    faults = (
        *(fault for rule_faults in FAULTS.values() for fault in rule_faults),
        Fault(fault_kind="lose_answers", at_s=4.0, for_s=3.0, share=0.4, size=0.3),
        Fault(fault_kind="reset", at_s=5.0, for_s=3.0, share=0.4, size=0.2),
        Fault(fault_kind="kill", at_s=5.0, share=0.5, within_s=1.0),
        Fault(fault_kind="zone_cut", at_s=6.0, for_s=2.0, zone="a"),
        Fault(fault_kind="list_breaks", at_s=6.0, for_s=2.0),
    )
    for seed in (3, 4):
        result = play(rehearsal(faults=faults, request_class=request_class, proxies=6), seed)
        assert result.rules_kept, (seed, result.breaches[:3])


def test_the_checker_applies_each_limit_exactly() -> None:
    """The checker is fed directly with events just within and just beyond each of its limits."""
    checker = InvariantChecker(20.0, 500.0, 6000.0, 10_000.0, 2000.0)
    checker.proxy_started("p", 0.0)
    checker.snapshot_received("p", {"n1": 0.0, "n2": 0.0, "n3": 0.0}, 0.0)
    repeats = [("n2", "r1", 5040.0), ("n2", "r1", 5060.0), ("n3", "r2", 90.0)]
    for request, (node, rack, at) in enumerate(repeats):
        checker.request_accepted(request, request, "p", "keyed", "rack", 5000.0, 60_000.0)
        checker.attempt_sent(request, 0, "p", "n1", "r1", "a", 0.0)
        checker.attempt_ended(request, 0, False)
        checker.attempt_sent(request, 1, "p", node, rack, "a", at)
        assert checker.counts["twice"] == request, (
            "a repeat is a breach beyond the deduplication window or in another rack"
        )
    checker.request_answered(0, "refused", 5050.0)
    assert checker.counts["twice"] == 3, "refusing a request that may have run is a breach"
    checker.request_accepted(7, 7, "p", "unsafe", "rack", 0.0, 1000.0)
    checker.attempt_sent(7, 0, "p", "n1", "r1", "a", 0.0)
    checker.attempt_ended(7, 0, True)
    checker.attempt_sent(7, 1, "p", "n2", "r1", "a", 10.0)
    checker.request_answered(7, "served", 1069.0)
    assert checker.counts == {"lost": 0, "twice": 3, "drain": 0, "cold": 0}, (
        "a request that never ran may be sent again"
    )
    checker.request_accepted(8, 8, "p", "unsafe", "rack", 0.0, 1000.0)
    checker.request_answered(8, "failed", 1071.0)
    assert checker.counts["lost"] == 1, "the response exceeded the deadline and the tolerance"
    checker.node_state_known("n1", False, 2000.0)
    checker.request_accepted(9, 9, "p", "safe", "rack", 0.0, 60_000.0)
    checker.attempt_sent(9, 0, "p", "n1", "r1", "a", 8540.0)
    assert checker.counts["drain"] == 0, (
        "the drain counts as known by 8000 ms at the latest, and 500 ms of grace follow"
    )
    checker.attempt_sent(9, 1, "p", "n1", "r1", "a", 8560.0)
    assert checker.counts["drain"] == 1
    checker.node_state_known("n1", True, 9000.0)
    checker.attempt_sent(9, 2, "p", "n1", "r1", "a", 9100.0)
    assert checker.counts["drain"] == 1, "attempts to a node that is up again are allowed"
    for informed, counted in ((0.6, 0), (0.7, 1)):
        checker.node_started_cold("n2", 50.0)
        checker.change_received("p", "n2", True, 50.0, 60.0)
        checker.proxy_started("q", 0.0)
        for number in range(10):
            checker.cold_work_arrived("n2", "p" if number < informed * 10 else "q", 100.0, 100.0 + number)
        checker.node_collapsed("n2", 200.0)
        assert checker.counts["cold"] == counted, (
            "two thirds of the work must come from proxies that know that the node is cold"
        )


def test_an_effect_that_took_place_twice_is_detected_independently_of_attempts() -> None:
    checker = InvariantChecker(20.0, 500.0, 6000.0, 10_000.0, 2000.0)
    checker.effect_took_place(5, "keyed", 1, "p", "n1", 0.0)
    checker.effect_took_place(5, "keyed", 2, "p", "n2", 59_000.0)
    assert checker.counts["twice"] == 1 and "n1" in checker.breaches[0].words
    # Effects are remembered for one to two minutes, so the table is bounded.
    for minute in range(4):
        checker.effect_took_place(100 + minute, "keyed", 3, "p", "n1", 61_000.0 * (minute + 2))
    assert len(checker.effects[0]) + len(checker.effects[1]) <= 2


def test_slow_start_decides_whether_a_warming_node_survives_a_costly_burst() -> None:
    """Without slow start, the same balancer overloads a node that warms up."""
    burst = (
        Fault(fault_kind="replace", at_s=3.0, share=0.3, within_s=0.5, after_s=2.0),
        Fault(fault_kind="burst", at_s=4.0, for_s=6.0, size=1.6),
        Fault(fault_kind="heavy", at_s=4.0, for_s=6.0, share=0.03, size=12.0),
    )
    script = rehearsal(faults=burst, load=0.55, kind=msgspec.structs.replace(COLD, queue=8))

    def without_slow_start(settings: Settings, seed: int) -> Balancer:
        return Balancer(replace(settings, slow_start_from=1.0, slow_start_ms=0.0), seed)

    with_slow_start, without = play(script, 5), Simulation(script, 5, deciders=without_slow_start).run()
    assert with_slow_start.breach_counts["cold"] == 0 and without.breach_counts["cold"] > 0, (
        with_slow_start.breach_counts,
        without.breach_counts,
    )
    collapses = [row for row in without.timeline if row["event"] == "fell"]
    assert collapses and not [row for row in with_slow_start.timeline if row["event"] == "fell"]


def test_a_repeat_of_a_job_that_was_lost_with_its_process_runs() -> None:
    """The rack must run the next repeat once the first job is lost; otherwise no node ever runs it."""
    rack = Rack("r0")
    first_node, second_node = (Node(n, f"n{n}", "a", rack, COLD, 1.0) for n in (1, 2))
    assert first_node.admit(0.0, Job(5, 1, 80.0, "first", 5000.0)) is Admission.ACCEPTED
    assert second_node.admit(10.0, Job(5, 1, 80.0, "second", 5000.0)) is Admission.DUPLICATE
    assert [job.duplicates for job in first_node.stop_process()] == [["second"]]
    assert second_node.admit(20.0, Job(5, 1, 80.0, "third", 5000.0)) is Admission.ACCEPTED
    assert rack.first_job(5, 5019.0) is not None and rack.first_job(5, 5021.0) is None
