"""Tests of the list service: resets of watches, contents of responses, serial calls, script fields."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import pytest

from heronreel.balancer import interface as api
from heronreel.balancer.interface import WatchFailure
from heronreel.emulator.change_log import ChangeLog
from heronreel.emulator.endpoint_list import CallEnd, Endpoint, EndpointListService, EndpointState
from heronreel.emulator.events import EventQueue
from heronreel.emulator.model import EndpointListConfig, Fault, InvariantLimits
from heronreel.emulator.policies import HostedBalancer
from heronreel.emulator.random_streams import RandomStream
from heronreel.emulator.script_loader import load_script
from heronreel.emulator.simulation import Simulation
from heronreel.emulator.watch_reset import WatchReset
from heronreel.experiments.identity import script_digest
from heronreel.experiments.scripts import script_to_toml
from heronreel.routes.reader import ConfigFileError
from tests.support.rehearsals import KIND, rehearsal

CALL_MS = 390.0
TIMEOUT_MS = 3000.0


def endpoint(ident: int, state: EndpointState = EndpointState.UP) -> Endpoint:
    return Endpoint(ident, f"n{ident}", "a", "medio", 0, state, 0.0)


@dataclass(eq=False)
class Subscriber:
    """Records what the service sends to it, and when."""

    events: EventQueue
    seen: list[tuple[float, str, list[str]]] = field(default_factory=list)

    def _record(self, event: str, endpoints: list[Endpoint]) -> None:
        names = [f"{endpoint.name} {endpoint.state.value}" for endpoint in endpoints]
        self.seen.append((round(self.events.now, 1), event, names))

    def receive_snapshot(self, endpoints: list[Endpoint]) -> None:
        self._record("snapshot", endpoints)

    def receive_missed_changes(self, endpoints: list[Endpoint]) -> None:
        self._record("missed", endpoints)

    def receive_changes(self, endpoints: list[Endpoint]) -> None:
        self._record("changes", endpoints)

    def call_failed(self, end: CallEnd) -> None:
        self._record(end.value, [])

    def watch_closed(self, untold: list[Endpoint]) -> None:
        self._record("watch closed", untold)

    def kinds(self) -> list[str]:
        return [event for _, event, _ in self.seen]


class EndedProcess(Subscriber):
    """A proxy whose process ends when the response to its first call arrives."""

    service: EndpointListService

    def receive_missed_changes(self, endpoints: list[Endpoint]) -> None:
        super().receive_missed_changes(endpoints)
        if len(self.seen) == 1:
            self.service.end_watch(self)


class ListServiceScenario:
    """A list service without latency, which lists three nodes, and its subscribers."""

    def __init__(self, subscribers: int, **config: Any) -> None:
        self.events = EventQueue()
        endpoint_list = EndpointListConfig(**({"batch_ms": 10.0, "entries_per_s": 1e6} | config))
        self.service = EndpointListService(self.events, endpoint_list, lambda: 0.0, RandomStream(1, "test"))
        for ident in (1, 2, 3):
            self.service.endpoints[ident] = endpoint(ident)
        self.subscribers = [Subscriber(self.events) for _ in range(subscribers)]

    def call(self, at: float, number: int = 0) -> None:
        self.events.schedule(at, self.service.call, self.subscribers[number])

    def change(self, at: float, ident: int, state: EndpointState = EndpointState.LEAVING) -> None:
        self.events.schedule(at, self.service.report, endpoint(ident, state), 0.0)

    def reset(self, at: float, instead_of_change: bool, after_ms: float = 150.0) -> None:
        reset = WatchReset(self.events, self.service, RandomStream(1, "reset"), after_ms, 50.0)
        self.events.schedule(at, reset.begin_with_next_change if instead_of_change else reset.begin)

    def run(self, until: float) -> list[Subscriber]:
        self.events.run_until(until)
        return self.subscribers


# Resets of all watches.


def test_a_change_is_sent_to_open_watches_that_are_not_reset() -> None:
    scenario = ListServiceScenario(1)
    scenario.call(0.0)
    scenario.change(100.0, 2)
    [subscriber] = scenario.run(1000.0)
    assert subscriber.kinds() == ["snapshot", "changes"] and subscriber.seen[1] == (
        110.0,
        "changes",
        ["n2 leaving"],
    )


def test_all_watches_end_instead_of_reporting_a_change_and_the_list_contains_it() -> None:
    scenario = ListServiceScenario(3)
    for number in range(3):
        scenario.call(0.0, number)
    scenario.reset(50.0, instead_of_change=True)
    scenario.change(100.0, 2)
    # A change before the watches end is withheld as well.
    scenario.change(180.0, 3)
    subscribers = scenario.run(1000.0)
    for subscriber in subscribers:
        assert subscriber.kinds() == ["snapshot", "watch closed"]
        at, _, untold = subscriber.seen[1]
        assert 250.0 <= at <= 300.0 and untold == ["n2 leaving", "n3 leaving"]
    assert len({subscriber.seen[1][0] for subscriber in subscribers}) == 3, (
        "each subscriber notices the end at a different time"
    )
    scenario.call(1000.0)
    scenario.change(1500.0, 1)
    assert scenario.run(2000.0)[0].seen[2:] == [
        (1000.0, "snapshot", ["n1 up", "n2 leaving", "n3 leaving"]),
        (1510.0, "changes", ["n1 leaving"]),
    ], "the list contains the withheld changes, and the next change is sent"


def test_waiting_calls_end_with_the_watches_and_still_occupy_the_service() -> None:
    scenario = ListServiceScenario(3, call_ms=CALL_MS)
    for number in range(3):
        scenario.call(0.0, number)
    scenario.reset(500.0, instead_of_change=False, after_ms=0.0)
    first, second, third = scenario.run(2000.0)
    assert first.kinds() == ["snapshot", "watch closed"] and first.seen[1][2] == []
    for waiting in (second, third):
        [(at, event, _)] = waiting.seen
        assert 500.0 <= at <= 550.0 and event == "failed"
    assert scenario.service.failed_calls == 2 and not scenario.service.pending_calls
    assert scenario.service.busy_until == pytest.approx(3 * CALL_MS)


def test_a_call_after_a_reset_waits_for_the_calls_that_the_reset_ended() -> None:
    scenario = ListServiceScenario(3, call_ms=CALL_MS)
    for number in range(3):
        scenario.call(0.0, number)
    scenario.reset(500.0, instead_of_change=False, after_ms=0.0)
    scenario.call(600.0)
    assert scenario.run(3000.0)[0].seen[-1][:2] == (round(4 * CALL_MS, 1), "snapshot")


def test_nothing_is_sent_to_a_closed_watch() -> None:
    scenario = ListServiceScenario(1)
    scenario.call(0.0)
    scenario.reset(100.0, instead_of_change=False, after_ms=0.0)
    scenario.change(101.0, 2)
    scenario.change(300.0, 3)
    assert scenario.run(1000.0)[0].kinds() == ["snapshot", "watch closed"]


def test_a_reset_at_a_given_time_withholds_no_change() -> None:
    scenario = ListServiceScenario(1, batch_ms=500.0)
    scenario.call(0.0)
    scenario.change(50.0, 2)
    scenario.reset(100.0, instead_of_change=False, after_ms=0.0)
    scenario.call(200.0)
    [subscriber] = scenario.run(1000.0)
    assert [kind_and_names for _, *kind_and_names in subscriber.seen] == [
        ["snapshot", ["n1 up", "n2 up", "n3 up"]],
        ["watch closed", []],
        ["snapshot", ["n1 up", "n2 leaving", "n3 up"]],
        ["changes", ["n2 leaving"]],
    ]
    assert scenario.service.withholding == 0


def test_no_empty_batch_is_sent_to_a_watch_that_opens_after_a_reset() -> None:
    scenario = ListServiceScenario(1, batch_ms=500.0)
    scenario.call(0.0)
    scenario.reset(50.0, instead_of_change=True)
    scenario.change(100.0, 2)
    scenario.call(400.0)
    assert scenario.run(1000.0)[0].kinds() == ["snapshot", "watch closed", "snapshot"]


def test_a_reset_replaces_only_one_change() -> None:
    scenario = ListServiceScenario(1)
    scenario.call(0.0)
    scenario.reset(10.0, instead_of_change=True)
    scenario.change(100.0, 2)
    scenario.call(400.0)
    scenario.change(500.0, 3)
    assert scenario.run(1000.0)[0].kinds() == ["snapshot", "watch closed", "snapshot", "changes"]


def test_resets_instead_of_changes_may_overlap() -> None:
    scenario = ListServiceScenario(1)
    scenario.call(0.0)
    scenario.reset(10.0, instead_of_change=True)
    scenario.reset(20.0, instead_of_change=True)
    scenario.change(100.0, 2)
    scenario.change(200.0, 3)
    # The second reset is still active.
    scenario.call(310.0)
    scenario.change(330.0, 1)
    [subscriber] = scenario.run(1000.0)
    assert subscriber.kinds() == ["snapshot", "watch closed", "snapshot", "watch closed"]
    assert subscriber.seen[3][2] == ["n2 leaving", "n3 leaving", "n1 leaving"]
    assert not scenario.service.withholding


def test_a_proxy_that_called_again_does_not_notice_the_end_of_its_former_watch() -> None:
    scenario = ListServiceScenario(1)
    scenario.call(0.0)
    scenario.events.schedule(100.0, scenario.service.close_connections, [], lambda: 50.0)
    scenario.call(120.0)
    assert scenario.run(1000.0)[0].kinds() == ["snapshot", "snapshot"]


# Contents of responses.


def test_the_change_log_has_the_latest_change_of_each_entry() -> None:
    log = ChangeLog[str]()
    assert log.index == 0 and log.since(0) == []
    for ident, entry in ((1, "a"), (2, "b"), (1, "c")):
        log.record(ident, entry)
    assert log.index == 3 and log.since(0) == ["b", "c"] and log.since(2) == ["c"] and log.since(3) == []


def test_a_response_to_a_known_index_holds_the_changes_since_that_index() -> None:
    scenario = ListServiceScenario(2, snapshot_share=0.0)
    scenario.call(0.0)
    # The first subscriber receives this change.
    scenario.change(100.0, 2)
    scenario.reset(200.0, instead_of_change=True)
    # The reset withholds this change from it.
    scenario.change(300.0, 3, EndpointState.LEFT)
    for number in range(2):
        scenario.call(600.0, number)
    first, second = scenario.run(1000.0)
    assert [names for _, event, names in first.seen if event == "missed"] == [[], ["n3 left"]]
    assert [subscriber[1:] for subscriber in second.seen] == [("missed", ["n2 leaving", "n3 left"])]


def test_changes_that_a_response_held_are_not_sent_again() -> None:
    scenario = ListServiceScenario(1, snapshot_share=0.0)
    scenario.change(0.0, 2)
    for at in (100.0, 200.0):
        scenario.call(at)
    assert [names for *_, names in scenario.run(1000.0)[0].seen] == [["n2 leaving"], []]


def test_changes_sent_to_a_process_that_ended_are_sent_again() -> None:
    scenario = ListServiceScenario(0, snapshot_share=0.0)
    subscriber = EndedProcess(scenario.events)
    subscriber.service = scenario.service
    scenario.subscribers.append(subscriber)
    scenario.change(0.0, 2)
    for at in (100.0, 200.0):
        scenario.call(at)
    assert [names for *_, names in scenario.run(1000.0)[0].seen] == [["n2 leaving"], ["n2 leaving"]]


@pytest.mark.parametrize(("share", "low", "high"), [(0.0, 0, 0), (0.3, 20, 40), (1.0, 100, 100)])
def test_the_share_of_snapshots_is_configurable(share: float, low: int, high: int) -> None:
    scenario = ListServiceScenario(1, snapshot_share=share)
    for number in range(100):
        scenario.call(10.0 * number)
    [subscriber] = scenario.run(2000.0)
    assert len(subscriber.seen) == 100 and low <= subscriber.kinds().count("snapshot") <= high


@pytest.mark.parametrize(
    ("omits", "names"), [(False, ["n1 up", "n2 leaving", "n3 up"]), (True, ["n1 up", "n3 up"])]
)
def test_snapshots_may_omit_draining_nodes(omits: bool, names: list[str]) -> None:
    scenario = ListServiceScenario(1, snapshot_omits_draining=omits)
    scenario.change(0.0, 2)
    scenario.call(100.0)
    assert scenario.run(1000.0)[0].seen == [(100.0, "snapshot", names)]


def test_nodes_that_a_snapshot_omits_are_removed_for_the_proxy_and_the_checker() -> None:
    """The watch is closed instead of reporting that the node drains, and the next snapshot omits the node.

    The node would still answer requests.
    """
    script = rehearsal(
        6,
        1,
        seconds=6.0,
        kind=KIND,
        zones=("a",),
        faults=(
            Fault(fault_kind="list_resets", at_s=2.9, instead_of_change=True),
            Fault(fault_kind="drain", at_s=3.0, names=["n2"]),
        ),
        endpoint_list=EndpointListConfig(addition_delay_ms=0.0, snapshot_omits_draining=True),
    )
    simulation = Simulation(script, 3)
    [proxy] = simulation.proxies
    result = simulation.run()
    decider: Any = proxy.decider
    assert sorted(endpoint.name for endpoint in proxy.known_endpoints.values()) == [
        "n1",
        "n3",
        "n4",
        "n5",
        "n6",
    ]
    assert sorted(decider.endpoints.backends) == sorted(proxy.known_endpoints)
    assert 3000.0 < simulation.context.invariants.views["p0"].unusable["n2"] < 3500.0
    [drained] = [node for node in simulation.fleet.nodes if node.name == "n2"]
    assert result.rules_kept and drained.draining and not drained.down


# Calls one at a time.


def test_the_service_handles_calls_one_at_a_time() -> None:
    scenario = ListServiceScenario(6, call_ms=CALL_MS)
    for number in range(6):
        scenario.call(0.0, number)
    subscribers = scenario.run(5000.0)
    assert [subscriber.seen for subscriber in subscribers] == [
        [(round(CALL_MS * (number + 1), 1), "snapshot", ["n1 up", "n2 up", "n3 up"])] for number in range(6)
    ]


@pytest.mark.parametrize(
    ("slowdown", "timeout_ms", "answered"), [(1.0, 3000.0, 8), (1.0, 1000.0, 3), (2.0, 3000.0, 4)]
)
def test_a_call_that_would_wait_too_long_is_refused_and_still_occupies_the_service(
    slowdown: float, timeout_ms: float, answered: int
) -> None:
    """The service answers the calls that it can begin within the timeout."""
    calls = 12
    scenario = ListServiceScenario(calls, call_ms=CALL_MS, timeout_ms=timeout_ms)
    scenario.service.slowdown = slowdown
    for number in range(calls):
        scenario.call(0.0, number)
    kinds = [(subscriber.seen[0][0], subscriber.seen[0][1]) for subscriber in scenario.run(20_000.0)]
    assert [event for _, event in kinds] == ["snapshot"] * answered + ["refused"] * (calls - answered)
    assert {at for at, event in kinds if event == "refused"} == {timeout_ms}
    assert scenario.service.busy_until == pytest.approx(calls * CALL_MS * slowdown)


def test_without_a_time_per_call_calls_that_wait_too_long_fail_at_no_cost() -> None:
    """The cost of a call is then the number of its entries, and a failed call costs nothing."""
    scenario = ListServiceScenario(12, entries_per_s=27.0 / (CALL_MS / 1000.0))
    for number in range(12):
        scenario.call(0.0, number)
    assert [subscriber.kinds() for subscriber in scenario.run(20_000.0)] == [["snapshot"]] * 8 + [
        ["failed"]
    ] * 4
    assert scenario.service.busy_until == pytest.approx(8 * CALL_MS)


def test_abandoned_calls_still_occupy_the_service_and_get_no_response() -> None:
    scenario = ListServiceScenario(2, call_ms=CALL_MS)
    for number in range(2):
        scenario.call(0.0, number)
    scenario.events.schedule(100.0, scenario.service.end_watch, scenario.subscribers[0])
    first, second = scenario.run(5000.0)
    assert first.seen == [] and second.seen[0][:2] == (2 * CALL_MS, "snapshot")


@pytest.mark.parametrize(("call_ms", "failure"), [(2000.0, WatchFailure.BUSY), (0.0, WatchFailure.ENDED)])
def test_a_proxy_distinguishes_a_refused_call_from_an_ended_one(
    call_ms: float, failure: WatchFailure
) -> None:
    """The last of four proxies calls little more than a second after the first."""
    failures = list[WatchFailure]()

    class FailureRecordingBalancer(HostedBalancer):
        def handle(self, now: float, event: api.Event) -> list[api.Action]:
            if isinstance(event, api.BackendList) and event.kind is api.ListKind.FAILED:
                failures.append(event.failure)
            return super().handle(now, event)

    # A call counts as 24 entries and each of the 6 nodes as one, so a call takes 2 s here as well.
    entries_per_s = 30.0 / 2.0
    endpoint_list = EndpointListConfig(call_ms=call_ms, timeout_ms=1000.0, entries_per_s=entries_per_s)
    script = rehearsal(6, 4, seconds=4.0, zones=("a",), endpoint_list=endpoint_list)
    result = Simulation(script, 4, deciders=FailureRecordingBalancer).run()
    assert failures and set(failures) == {failure} and result.meter["list_failed"] == len(failures)


# Scripts.

SCRIPT = """[fleet]
nodes = 4
[[fleet.kinds]]
name = "medio"
[list]
call_ms = 390.0
[rules]
untold_ms = 2000.0
[[troubles]]
what = "list_resets"
at_s = 5.0
"""


@pytest.mark.parametrize(
    ("old", "new", "line", "expected_text"),
    [
        ("call_ms = 390.0", "call_ms = -1.0", 6, "list.call_ms"),
        ("call_ms = 390.0", "snapshot_share = 1.5", 6, "a share from 0 to 1"),
        ("call_ms = 390.0", "snapshot_omits_draining = 1", 6, "list.snapshot_omits_draining"),
        ("call_ms = 390.0", "call_mss = 390.0", 6, "did you mean 'call_ms'"),
        ("untold_ms = 2000.0", 'untold_ms = "x"', 8, "rules.untold_ms"),
        ("untold_ms = 2000.0", "failed_call_ms = -1.0", 8, "rules.failed_call_ms"),
        ("at_s = 5.0", "at_s = 5.0\nfor_s = 1.0", 12, "list_resets has no end"),
        ("at_s = 5.0", "at_s = 5.0\nsize = 1.0", 12, "list_resets has no size"),
        ("at_s = 5.0", 'at_s = 5.0\nnames = ["n1"]', 12, "no targets by name"),
        ("at_s = 5.0", "at_s = 5.0\ninstead_of_change = 3", 12, "instead_of_change"),
        (
            'what = "list_resets"',
            'what = "drain"\ninstead_of_change = true',
            11,
            "drain ends no watches; use it with list_resets",
        ),
    ],
)
def test_an_invalid_field_is_reported_with_its_line(
    old: str, new: str, line: int, expected_text: str
) -> None:
    assert old in SCRIPT and load_script(SCRIPT.encode()).endpoint_list.call_ms == CALL_MS
    with pytest.raises(ConfigFileError) as raised:
        load_script(SCRIPT.replace(old, new).encode())
    assert f"{line}: " in str(raised.value) and expected_text in str(raised.value), str(raised.value)


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ("call_ms = 390.0", "call_ms = 391.0"),
        ("call_ms = 390.0", "call_ms = 390.0\nsnapshot_share = 0.5"),
        ("call_ms = 390.0", "call_ms = 390.0\nsnapshot_omits_draining = true"),
        ("untold_ms = 2000.0", "untold_ms = 2001.0"),
        ("untold_ms = 2000.0", "failed_call_ms = 1.0"),
        ("at_s = 5.0", "at_s = 5.0\ninstead_of_change = true"),
    ],
)
def test_each_field_that_is_set_changes_the_digest_of_a_script(old: str, new: str) -> None:
    """Unset fields leave it unchanged: `tests/compatibility` has digests from before they existed."""
    assert old in SCRIPT
    script, changed = load_script(SCRIPT.encode()), load_script(SCRIPT.replace(old, new).encode())
    assert script_digest(script) != script_digest(changed)
    reloaded = load_script(script_to_toml(changed).encode())
    assert reloaded == changed and script_digest(reloaded) == script_digest(changed)


def test_all_of_these_fields_are_off_by_default() -> None:
    endpoint_list, rules = EndpointListConfig(), InvariantLimits()
    assert (
        endpoint_list.call_ms == 0.0
        and endpoint_list.snapshot_share == 1.0
        and not endpoint_list.snapshot_omits_draining
    )
    # `untold_ms` has a value by default because it applies only to `list_resets`.
    assert rules.failed_call_ms == 0.0 and rules.untold_ms == 2000.0
