"""When a change of the list counts as notified: each term by hand, just within its limit and just beyond."""

from __future__ import annotations

import pytest

from heronreel.emulator.invariants import InvariantChecker
from heronreel.emulator.model import EndpointListConfig, Fault
from heronreel.emulator.simulation import Simulation
from tests.support.rehearsals import rehearsal

GRACE_MS, SLACK_MS = 500.0, 50.0  # of the rule, and of the checker for clocks
KNOWN_AT = 1000.0  # when the service learns that n1 drains


def checker(told_ms: float = 0.0, **terms: float) -> InvariantChecker:
    made = InvariantChecker(50.0, GRACE_MS, told_ms, 10_000.0, 2000.0, **terms)
    made.proxy_started("p", 0.0)
    made.snapshot_received("p", {"n1": 0.0, "n2": 0.0}, 0.0)
    made.list_call_answered("p", 0.0)
    return made


def drain_breaks_at(made: InvariantChecker, told_at: float) -> tuple[int, int]:
    """Breaches by a request a ms before and one a ms after the grace that begins at `told_at`."""
    counts = []
    for request, shift in enumerate((-1.0, 1.0), 100):
        at, before = told_at + GRACE_MS + SLACK_MS + shift, made.counts["drain"]
        made.request_accepted(request, request, "p", "safe", "rack", 0.0, at + 1000.0)
        made.attempt_sent(request, 0, "p", "n1", "r", "a", at)
        counts.append(made.counts["drain"] - before)
    return counts[0], counts[1]


def test_a_change_counts_two_seconds_after_the_watch_ended_in_its_place() -> None:
    made = checker()
    made.node_state_known("n1", False, KNOWN_AT)
    made.watch_ended_untold("p", ["n1", "n2"], 1150.0)
    made.list_polled("p", 1150.0, False)
    assert drain_breaks_at(made, 3150.0) == (0, 1)
    assert "n2" not in made.views["p"].untold, "it does not drain"


@pytest.mark.parametrize(("untold_ms", "told_at"), [(500.0, 1650.0), (4000.0, 5150.0), (0.0, 11_150.0)])
def test_the_time_after_such_an_end_can_be_set(untold_ms: float, told_at: float) -> None:
    """At 0 the proxy has the time within which it must call."""
    made = checker(untold_ms=untold_ms)
    made.node_state_known("n1", False, KNOWN_AT)
    made.watch_ended_untold("p", ["n1"], 1150.0)
    made.list_polled("p", 1150.0, False)
    assert drain_breaks_at(made, told_at) == (0, 1)


def test_an_end_that_withheld_nothing_leaves_the_time_to_call() -> None:
    made = checker()
    made.node_state_known("n1", False, KNOWN_AT)
    made.list_polled("p", 1150.0, False)
    assert drain_breaks_at(made, 11_150.0) == (0, 1)


def test_what_has_arrived_counts_from_then_also_after_such_an_end() -> None:
    made = checker()
    made.node_state_known("n1", False, KNOWN_AT)
    made.watch_ended_untold("p", ["n1"], 1150.0)
    made.snapshot_received("p", {"n2": 0.0}, 1600.0)
    assert drain_breaks_at(made, 1600.0) == (0, 1)


def test_what_arrives_after_it_counted_does_not_put_it_off() -> None:
    made = checker()
    made.node_state_known("n1", False, KNOWN_AT)
    made.watch_ended_untold("p", ["n1"], 1150.0)
    made.snapshot_received("p", {"n2": 0.0}, 3650.0)
    assert drain_breaks_at(made, 3150.0) == (0, 1)


def test_of_two_ends_the_first_counts() -> None:
    made = checker()
    made.node_state_known("n1", False, KNOWN_AT)
    for at in (1150.0, 1400.0):
        made.watch_ended_untold("p", ["n1"], at)
    assert drain_breaks_at(made, 3150.0) == (0, 1)


@pytest.mark.parametrize(("told_ms", "told_at"), [(1000.0, 2000.0), (6000.0, 3150.0)])
def test_the_earlier_of_both_terms_counts(told_ms: float, told_at: float) -> None:
    made = checker(told_ms)
    made.node_state_known("n1", False, KNOWN_AT)
    made.watch_ended_untold("p", ["n1"], 1150.0)
    assert drain_breaks_at(made, told_at) == (0, 1)


def test_an_open_watch_that_is_not_told_yet_is_waited_for() -> None:
    made = checker()
    made.node_state_known("n1", False, KNOWN_AT)
    assert drain_breaks_at(made, 60_000.0) == (0, 0)


def test_what_has_arrived_is_not_judged_by_the_time_to_call() -> None:
    made = checker()
    made.node_state_known("n1", False, KNOWN_AT)
    made.list_polled("p", 1150.0, False)
    made.snapshot_received("p", {"n2": 0.0}, 11_600.0)
    assert drain_breaks_at(made, 11_600.0) == (0, 1)


def test_a_node_that_is_back_is_not_judged_by_an_end_before() -> None:
    made = checker()
    made.node_state_known("n1", False, KNOWN_AT)
    made.watch_ended_untold("p", ["n1"], 1150.0)
    made.node_state_known("n1", True, 1500.0)
    made.node_state_known("n1", False, 9000.0)  # and it drains once more
    assert drain_breaks_at(made, 3150.0) == (0, 0) and drain_breaks_at(made, 8000.0) == (0, 0)


def test_after_a_failed_call_a_change_counts_six_seconds_after_the_service_had_it() -> None:
    made = checker(failed_call_ms=6000.0)
    made.list_call_failed("p", 800.0)
    made.list_polled("p", 900.0, True)
    made.node_state_known("n1", False, KNOWN_AT)
    assert drain_breaks_at(made, 7000.0) == (0, 1)


def test_a_failed_call_counts_for_a_change_that_a_watch_did_not_bring_before_it() -> None:
    """Whatever else: the 2 s are over once the next call is refused, also where a later one is answered."""
    made = checker(failed_call_ms=6000.0)
    made.node_state_known("n1", False, KNOWN_AT)
    made.watch_ended_untold("p", ["n1"], 1150.0)
    made.list_polled("p", 1160.0, True)
    made.list_call_failed("p", 1200.0)
    assert drain_breaks_at(made, 3150.0) == (0, 0)
    made.list_call_answered("p", 6000.0)
    made.snapshot_received("p", {"n2": 0.0}, 6000.0)
    assert drain_breaks_at(made, 6000.0) == (0, 1)


def test_a_failed_call_counts_only_until_one_is_answered() -> None:
    made = checker(failed_call_ms=6000.0)
    made.list_call_failed("p", 800.0)
    made.list_call_answered("p", 900.0)
    made.node_state_known("n1", False, KNOWN_AT)
    made.watch_ended_untold("p", ["n1"], 1150.0)
    assert drain_breaks_at(made, 3150.0) == (0, 1)


def test_without_that_term_a_failed_call_changes_nothing() -> None:
    made = checker()
    made.node_state_known("n1", False, KNOWN_AT)
    made.watch_ended_untold("p", ["n1"], 1150.0)
    made.list_call_failed("p", 1200.0)
    assert drain_breaks_at(made, 3150.0) == (0, 1)


def test_the_six_seconds_begin_when_the_service_can_be_reached() -> None:
    made = checker(failed_call_ms=6000.0)
    made.list_reachable(False, 500.0)
    made.list_call_failed("p", 800.0)
    made.node_state_known("n1", False, KNOWN_AT)
    assert drain_breaks_at(made, 60_000.0) == (0, 0)
    made.list_reachable(True, 70_000.0)
    made.list_reachable(True, 72_000.0)  # the end of another fault
    assert drain_breaks_at(made, 76_000.0) == (0, 1)


@pytest.mark.parametrize("share", [0.0, 1.0])
def test_a_failed_call_is_noted_until_the_next_is_answered(share: float) -> None:
    """The service falls silent at 2 s for a second; proxies notice it by a timeout of 3 s and call again."""
    fault = Fault(fault_kind="list_silent", at_s=2.0, for_s=1.0)
    listed = EndpointListConfig(entries_per_s=10_000.0, snapshot_share=share)
    simulation = Simulation(rehearsal(seconds=8.0, load=0.1, faults=(fault,), endpoint_list=listed), 6)
    views, seen = simulation.context.invariants.views, dict[float, list[tuple[bool, bool]]]()

    def look() -> None:
        seen[simulation.events.now] = [(view.call_failed, view.watching) for view in views.values()]

    for at in (1900.0, 5000.01, 7500.0):
        simulation.events.schedule(at, look)
    simulation.run()
    watching, failed = [(False, True)] * 4, [(True, False)] * 4
    assert seen == {1900.0: watching, 5000.01: failed, 7500.0: watching}


def test_a_watch_that_is_closed_is_no_failed_call() -> None:
    fault = Fault(fault_kind="list_resets", at_s=2.0)
    listed = EndpointListConfig(entries_per_s=10_000.0)
    simulation = Simulation(rehearsal(seconds=4.0, load=0.1, faults=(fault,), endpoint_list=listed), 6)
    views, seen = simulation.context.invariants.views, list[tuple[bool, bool]]()
    simulation.events.schedule(
        2000.1, lambda: seen.extend((view.call_failed, view.watching) for view in views.values())
    )
    simulation.run()
    assert seen == [(False, False)] * 4


@pytest.mark.parametrize(
    ("what", "reachable_since"),
    [("list_silent", 3000.0), ("list_refuses", 3000.0), ("list_garbled", 3000.0), ("list_slow", 0.0)],
)
def test_faults_tell_the_checker_from_when_the_service_can_be_reached(
    what: str, reachable_since: float
) -> None:
    fault = Fault(fault_kind=what, at_s=1.0, for_s=2.0, size=2.0 if what == "list_slow" else 0.0)  # type: ignore[arg-type]
    simulation = Simulation(rehearsal(seconds=4.0, load=0.1, faults=(fault,)), 5)
    seen: dict[float, float | None] = {}
    for at in (500.0, 2000.0, 3500.0):
        simulation.events.schedule(
            at, lambda at=at: seen.update({at: simulation.context.invariants.list_reachable_since})
        )
    simulation.run()
    assert seen == {500.0: 0.0, 2000.0: None if reachable_since else 0.0, 3500.0: reachable_since}
