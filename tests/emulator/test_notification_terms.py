"""Tests of when a list change counts as known to a proxy, just within and just beyond each limit."""

from __future__ import annotations

import pytest

from heronreel.emulator.invariants import InvariantChecker
from heronreel.emulator.model import EndpointListConfig, Fault
from heronreel.emulator.simulation import Simulation
from tests.support.rehearsals import rehearsal

# The grace of the drain rule, and the tolerance of the checker for clock differences.
GRACE_MS = 500.0
SLACK_MS = 50.0

# The time when the list service learns that n1 drains.
KNOWN_AT_MS = 1000.0


def make_checker(delivered_after_ms: float = 0.0, **terms: float) -> InvariantChecker:
    checker = InvariantChecker(50.0, GRACE_MS, delivered_after_ms, 10_000.0, 2000.0, **terms)
    checker.proxy_started("p", 0.0)
    checker.snapshot_received("p", {"n1": 0.0, "n2": 0.0}, 0.0)
    checker.list_call_answered("p", 0.0)
    return checker


def drain_breaches_around_grace(checker: InvariantChecker, notified_at: float) -> tuple[int, int]:
    """Return the breaches by attempts 1 ms before and after the end of the grace from `notified_at` on."""
    counts = []
    for request, shift in enumerate((-1.0, 1.0), 100):
        at, before = notified_at + GRACE_MS + SLACK_MS + shift, checker.counts["drain"]
        checker.request_accepted(request, request, "p", "safe", "rack", 0.0, at + 1000.0)
        checker.attempt_sent(request, 0, "p", "n1", "r", "a", at)
        counts.append(checker.counts["drain"] - before)
    return counts[0], counts[1]


def test_a_withheld_change_counts_as_known_two_seconds_after_the_watch_ended() -> None:
    checker = make_checker()
    checker.node_state_known("n1", False, KNOWN_AT_MS)
    checker.watch_ended_untold("p", ["n1", "n2"], 1150.0)
    checker.list_polled("p", 1150.0, False)
    assert drain_breaches_around_grace(checker, 3150.0) == (0, 1)
    assert "n2" not in checker.views["p"].untold, "n2 does not drain, so nothing is withheld about it"


@pytest.mark.parametrize(("untold_ms", "notified_at"), [(500.0, 1650.0), (4000.0, 5150.0), (0.0, 11_150.0)])
def test_the_limit_after_a_watch_ended_is_configurable(untold_ms: float, notified_at: float) -> None:
    """With a limit of 0, the change counts as known after the time within which a proxy must call."""
    checker = make_checker(untold_ms=untold_ms)
    checker.node_state_known("n1", False, KNOWN_AT_MS)
    checker.watch_ended_untold("p", ["n1"], 1150.0)
    checker.list_polled("p", 1150.0, False)
    assert drain_breaches_around_grace(checker, notified_at) == (0, 1)


def test_after_a_watch_that_withheld_nothing_the_proxy_has_the_time_to_call() -> None:
    checker = make_checker()
    checker.node_state_known("n1", False, KNOWN_AT_MS)
    checker.list_polled("p", 1150.0, False)
    assert drain_breaches_around_grace(checker, 11_150.0) == (0, 1)


def test_a_change_counts_from_its_arrival_if_it_arrives_before_the_limit() -> None:
    checker = make_checker()
    checker.node_state_known("n1", False, KNOWN_AT_MS)
    checker.watch_ended_untold("p", ["n1"], 1150.0)
    checker.snapshot_received("p", {"n2": 0.0}, 1600.0)
    assert drain_breaches_around_grace(checker, 1600.0) == (0, 1)


def test_an_arrival_after_the_limit_does_not_postpone_the_change() -> None:
    checker = make_checker()
    checker.node_state_known("n1", False, KNOWN_AT_MS)
    checker.watch_ended_untold("p", ["n1"], 1150.0)
    checker.snapshot_received("p", {"n2": 0.0}, 3650.0)
    assert drain_breaches_around_grace(checker, 3150.0) == (0, 1)


def test_the_first_of_two_ended_watches_sets_the_limit() -> None:
    checker = make_checker()
    checker.node_state_known("n1", False, KNOWN_AT_MS)
    for at in (1150.0, 1400.0):
        checker.watch_ended_untold("p", ["n1"], at)
    assert drain_breaches_around_grace(checker, 3150.0) == (0, 1)


@pytest.mark.parametrize(("delivered_after_ms", "notified_at"), [(1000.0, 2000.0), (6000.0, 3150.0)])
def test_the_earlier_of_both_limits_applies(delivered_after_ms: float, notified_at: float) -> None:
    checker = make_checker(delivered_after_ms)
    checker.node_state_known("n1", False, KNOWN_AT_MS)
    checker.watch_ended_untold("p", ["n1"], 1150.0)
    assert drain_breaches_around_grace(checker, notified_at) == (0, 1)


def test_a_change_that_an_open_watch_has_not_delivered_does_not_count() -> None:
    checker = make_checker()
    checker.node_state_known("n1", False, KNOWN_AT_MS)
    assert drain_breaches_around_grace(checker, 60_000.0) == (0, 0)


def test_a_change_that_arrived_counts_from_its_arrival_and_not_from_the_time_to_call() -> None:
    checker = make_checker()
    checker.node_state_known("n1", False, KNOWN_AT_MS)
    checker.list_polled("p", 1150.0, False)
    checker.snapshot_received("p", {"n2": 0.0}, 11_600.0)
    assert drain_breaches_around_grace(checker, 11_600.0) == (0, 1)


def test_an_earlier_ended_watch_does_not_count_for_a_node_that_is_up_again() -> None:
    checker = make_checker()
    checker.node_state_known("n1", False, KNOWN_AT_MS)
    checker.watch_ended_untold("p", ["n1"], 1150.0)
    checker.node_state_known("n1", True, 1500.0)
    checker.node_state_known("n1", False, 9000.0)
    assert drain_breaches_around_grace(checker, 3150.0) == (0, 0) and drain_breaches_around_grace(
        checker, 8000.0
    ) == (0, 0)


def test_after_a_failed_call_a_change_counts_six_seconds_after_the_service_knows_it() -> None:
    checker = make_checker(failed_call_ms=6000.0)
    checker.list_call_failed("p", 800.0)
    checker.list_polled("p", 900.0, True)
    checker.node_state_known("n1", False, KNOWN_AT_MS)
    assert drain_breaches_around_grace(checker, 7000.0) == (0, 1)


def test_a_failed_call_replaces_the_limit_of_an_earlier_ended_watch() -> None:
    """The limit of 2 s no longer applies once the next call is refused, also if a later call is answered."""
    checker = make_checker(failed_call_ms=6000.0)
    checker.node_state_known("n1", False, KNOWN_AT_MS)
    checker.watch_ended_untold("p", ["n1"], 1150.0)
    checker.list_polled("p", 1160.0, True)
    checker.list_call_failed("p", 1200.0)
    assert drain_breaches_around_grace(checker, 3150.0) == (0, 0)
    checker.list_call_answered("p", 6000.0)
    checker.snapshot_received("p", {"n2": 0.0}, 6000.0)
    assert drain_breaches_around_grace(checker, 6000.0) == (0, 1)


def test_a_failed_call_counts_only_until_a_call_is_answered() -> None:
    checker = make_checker(failed_call_ms=6000.0)
    checker.list_call_failed("p", 800.0)
    checker.list_call_answered("p", 900.0)
    checker.node_state_known("n1", False, KNOWN_AT_MS)
    checker.watch_ended_untold("p", ["n1"], 1150.0)
    assert drain_breaches_around_grace(checker, 3150.0) == (0, 1)


def test_without_its_limit_a_failed_call_changes_nothing() -> None:
    checker = make_checker()
    checker.node_state_known("n1", False, KNOWN_AT_MS)
    checker.watch_ended_untold("p", ["n1"], 1150.0)
    checker.list_call_failed("p", 1200.0)
    assert drain_breaches_around_grace(checker, 3150.0) == (0, 1)


def test_the_limit_after_a_failed_call_begins_when_the_service_is_reachable() -> None:
    checker = make_checker(failed_call_ms=6000.0)
    checker.list_reachable(False, 500.0)
    checker.list_call_failed("p", 800.0)
    checker.node_state_known("n1", False, KNOWN_AT_MS)
    assert drain_breaches_around_grace(checker, 60_000.0) == (0, 0)
    checker.list_reachable(True, 70_000.0)
    # The end of another fault does not restart the limit.
    checker.list_reachable(True, 72_000.0)
    assert drain_breaches_around_grace(checker, 76_000.0) == (0, 1)


@pytest.mark.parametrize("share", [0.0, 1.0])
def test_a_call_stays_failed_until_the_next_one_is_answered(share: float) -> None:
    """The service is silent from 2 s to 3 s; proxies detect it by a timeout of 3 s and call again."""
    fault = Fault(fault_kind="list_silent", at_s=2.0, for_s=1.0)
    endpoint_list = EndpointListConfig(entries_per_s=10_000.0, snapshot_share=share)
    simulation = Simulation(rehearsal(seconds=8.0, load=0.1, faults=(fault,), endpoint_list=endpoint_list), 6)
    views, seen = simulation.context.invariants.views, dict[float, list[tuple[bool, bool]]]()

    def record_views() -> None:
        seen[simulation.events.now] = [(view.call_failed, view.watching) for view in views.values()]

    for at in (1900.0, 5000.01, 7500.0):
        simulation.events.schedule(at, record_views)
    simulation.run()
    watching, failed = [(False, True)] * 4, [(True, False)] * 4
    assert seen == {1900.0: watching, 5000.01: failed, 7500.0: watching}


def test_a_closed_watch_is_not_a_failed_call() -> None:
    fault = Fault(fault_kind="list_resets", at_s=2.0)
    endpoint_list = EndpointListConfig(entries_per_s=10_000.0)
    simulation = Simulation(rehearsal(seconds=4.0, load=0.1, faults=(fault,), endpoint_list=endpoint_list), 6)
    views, seen = simulation.context.invariants.views, list[tuple[bool, bool]]()
    simulation.events.schedule(
        2000.1, lambda: seen.extend((view.call_failed, view.watching) for view in views.values())
    )
    simulation.run()
    assert seen == [(False, False)] * 4


@pytest.mark.parametrize(
    ("fault_kind", "reachable_since"),
    [("list_silent", 3000.0), ("list_refuses", 3000.0), ("list_garbled", 3000.0), ("list_slow", 0.0)],
)
def test_faults_report_to_the_checker_since_when_the_service_is_reachable(
    fault_kind: str, reachable_since: float
) -> None:
    fault = Fault(fault_kind=fault_kind, at_s=1.0, for_s=2.0, size=2.0 if fault_kind == "list_slow" else 0.0)  # type: ignore[arg-type]
    simulation = Simulation(rehearsal(seconds=4.0, load=0.1, faults=(fault,)), 5)
    seen: dict[float, float | None] = {}
    for at in (500.0, 2000.0, 3500.0):
        simulation.events.schedule(
            at, lambda at=at: seen.update({at: simulation.context.invariants.list_reachable_since})
        )
    simulation.run()
    assert seen == {500.0: 0.0, 2000.0: None if reachable_since else 0.0, 3500.0: reachable_since}
