"""The list service of the operators' renewed test: resets, whole lists, calls in turn, script fields."""

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

CALL_MS, TIMEOUT_MS = 390.0, 3000.0


def endpoint(ident: int, state: EndpointState = EndpointState.UP) -> Endpoint:
    return Endpoint(ident, f"n{ident}", "a", "medio", 0, state, 0.0)


@dataclass(eq=False)
class Subscriber:
    """Notes what the service tells it, and when."""

    events: EventQueue
    seen: list[tuple[float, str, list[str]]] = field(default_factory=list)

    def _note(self, what: str, endpoints: list[Endpoint]) -> None:
        names = [f"{one.name} {one.state.value}" for one in endpoints]
        self.seen.append((round(self.events.now, 1), what, names))

    def receive_snapshot(self, endpoints: list[Endpoint]) -> None:
        self._note("snapshot", endpoints)

    def receive_missed_changes(self, endpoints: list[Endpoint]) -> None:
        self._note("missed", endpoints)

    def receive_changes(self, endpoints: list[Endpoint]) -> None:
        self._note("changes", endpoints)

    def call_failed(self, end: CallEnd) -> None:
        self._note(end.value, [])

    def watch_closed(self, untold: list[Endpoint]) -> None:
        self._note("watch closed", untold)

    def kinds(self) -> list[str]:
        return [what for _, what, _ in self.seen]


class EndedProcess(Subscriber):
    """A proxy whose process ends while its first call waits."""

    service: EndpointListService

    def receive_missed_changes(self, endpoints: list[Endpoint]) -> None:
        super().receive_missed_changes(endpoints)
        if len(self.seen) == 1:
            self.service.end_watch(self)


class World:
    """A service without latency that lists three nodes, and its subscribers."""

    def __init__(self, subscribers: int, **config: Any) -> None:
        self.events = EventQueue()
        listed = EndpointListConfig(**({"batch_ms": 10.0, "entries_per_s": 1e6} | config))
        self.service = EndpointListService(self.events, listed, lambda: 0.0, RandomStream(1, "test"))
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


def test_a_change_is_sent_to_open_watches_where_nothing_resets_them() -> None:
    world = World(1)
    world.call(0.0)
    world.change(100.0, 2)
    [one] = world.run(1000.0)
    assert one.kinds() == ["snapshot", "changes"] and one.seen[1] == (110.0, "changes", ["n2 leaving"])


def test_all_watches_end_instead_of_telling_a_change_that_the_list_has() -> None:
    world = World(3)
    for number in range(3):
        world.call(0.0, number)
    world.reset(50.0, instead_of_change=True)
    world.change(100.0, 2)
    world.change(180.0, 3)  # meanwhile: withheld as well
    subscribers = world.run(1000.0)
    for one in subscribers:
        assert one.kinds() == ["snapshot", "watch closed"]
        at, _, untold = one.seen[1]
        assert 250.0 <= at <= 300.0 and untold == ["n2 leaving", "n3 leaving"]
    assert len({one.seen[1][0] for one in subscribers}) == 3, "each notices at a moment of its own"
    world.call(1000.0)
    world.change(1500.0, 1)
    assert world.run(2000.0)[0].seen[2:] == [
        (1000.0, "snapshot", ["n1 up", "n2 leaving", "n3 leaving"]),
        (1510.0, "changes", ["n1 leaving"]),
    ], "the list has the change, and the next one is told again"


def test_calls_that_wait_their_turn_end_with_the_watches_and_are_worked_off() -> None:
    world = World(3, call_ms=CALL_MS)
    for number in range(3):
        world.call(0.0, number)
    world.reset(500.0, instead_of_change=False, after_ms=0.0)
    first, second, third = world.run(2000.0)
    assert first.kinds() == ["snapshot", "watch closed"] and first.seen[1][2] == []
    for waiting in (second, third):
        [(at, what, _)] = waiting.seen
        assert 500.0 <= at <= 550.0 and what == "failed"
    assert world.service.failed_calls == 2 and not world.service.pending_calls
    assert world.service.busy_until == pytest.approx(3 * CALL_MS)


def test_a_call_after_the_reset_waits_for_those_that_it_ended() -> None:
    world = World(3, call_ms=CALL_MS)
    for number in range(3):
        world.call(0.0, number)
    world.reset(500.0, instead_of_change=False, after_ms=0.0)
    world.call(600.0)
    assert world.run(3000.0)[0].seen[-1][:2] == (round(4 * CALL_MS, 1), "snapshot")


def test_a_closed_watch_is_sent_nothing_more() -> None:
    world = World(1)
    world.call(0.0)
    world.reset(100.0, instead_of_change=False, after_ms=0.0)
    world.change(101.0, 2)
    world.change(300.0, 3)
    assert world.run(1000.0)[0].kinds() == ["snapshot", "watch closed"]


def test_a_reset_at_a_moment_withholds_nothing() -> None:
    world = World(1, batch_ms=500.0)
    world.call(0.0)
    world.change(50.0, 2)
    world.reset(100.0, instead_of_change=False, after_ms=0.0)
    world.call(200.0)
    [one] = world.run(1000.0)
    assert [what for _, *what in one.seen] == [
        ["snapshot", ["n1 up", "n2 up", "n3 up"]],
        ["watch closed", []],
        ["snapshot", ["n1 up", "n2 leaving", "n3 up"]],
        ["changes", ["n2 leaving"]],
    ]
    assert world.service.withholding == 0


def test_a_watch_that_opens_after_a_reset_is_sent_no_empty_batch() -> None:
    world = World(1, batch_ms=500.0)
    world.call(0.0)
    world.reset(50.0, instead_of_change=True)
    world.change(100.0, 2)
    world.call(400.0)
    assert world.run(1000.0)[0].kinds() == ["snapshot", "watch closed", "snapshot"]


def test_one_reset_takes_one_change() -> None:
    world = World(1)
    world.call(0.0)
    world.reset(10.0, instead_of_change=True)
    world.change(100.0, 2)
    world.call(400.0)
    world.change(500.0, 3)
    assert world.run(1000.0)[0].kinds() == ["snapshot", "watch closed", "snapshot", "changes"]


def test_resets_in_place_of_changes_may_overlap() -> None:
    world = World(1)
    world.call(0.0)
    world.reset(10.0, instead_of_change=True)
    world.reset(20.0, instead_of_change=True)
    world.change(100.0, 2)
    world.change(200.0, 3)
    world.call(310.0)  # within the second
    world.change(330.0, 1)
    [one] = world.run(1000.0)
    assert one.kinds() == ["snapshot", "watch closed", "snapshot", "watch closed"]
    assert one.seen[3][2] == ["n2 leaving", "n3 leaving", "n1 leaving"]
    assert not world.service.withholding


def test_a_proxy_that_called_again_does_not_notice_the_end_of_its_former_watch() -> None:
    world = World(1)
    world.call(0.0)
    world.events.schedule(100.0, world.service.close_connections, [], lambda: 50.0)
    world.call(120.0)
    assert world.run(1000.0)[0].kinds() == ["snapshot", "snapshot"]


# What a response holds.


def test_the_change_log_has_the_latest_change_of_each_entry() -> None:
    log = ChangeLog[str]()
    assert log.index == 0 and log.since(0) == []
    for ident, entry in ((1, "a"), (2, "b"), (1, "c")):
        log.record(ident, entry)
    assert log.index == 3 and log.since(0) == ["b", "c"] and log.since(2) == ["c"] and log.since(3) == []


def test_a_response_to_a_known_index_holds_what_changed_since() -> None:
    world = World(2, snapshot_share=0.0)
    world.call(0.0)
    world.change(100.0, 2)  # the first is told
    world.reset(200.0, instead_of_change=True)
    world.change(300.0, 3, EndpointState.LEFT)  # and this it is not
    for number in range(2):
        world.call(600.0, number)
    first, second = world.run(1000.0)
    assert [names for _, what, names in first.seen if what == "missed"] == [[], ["n3 left"]]
    assert [one[1:] for one in second.seen] == [("missed", ["n2 leaving", "n3 left"])]


def test_what_a_response_held_is_not_sent_again() -> None:
    world = World(1, snapshot_share=0.0)
    world.change(0.0, 2)
    for at in (100.0, 200.0):
        world.call(at)
    assert [names for *_, names in world.run(1000.0)[0].seen] == [["n2 leaving"], []]


def test_what_an_ended_process_was_sent_is_sent_again() -> None:
    world = World(0, snapshot_share=0.0)
    one = EndedProcess(world.events)
    one.service = world.service
    world.subscribers.append(one)
    world.change(0.0, 2)
    for at in (100.0, 200.0):
        world.call(at)
    assert [names for *_, names in world.run(1000.0)[0].seen] == [["n2 leaving"], ["n2 leaving"]]


@pytest.mark.parametrize(("share", "low", "high"), [(0.0, 0, 0), (0.3, 20, 40), (1.0, 100, 100)])
def test_the_share_of_whole_lists_is_as_set(share: float, low: int, high: int) -> None:
    world = World(1, snapshot_share=share)
    for number in range(100):
        world.call(10.0 * number)
    [one] = world.run(2000.0)
    assert len(one.seen) == 100 and low <= one.kinds().count("snapshot") <= high


@pytest.mark.parametrize(
    ("omits", "names"), [(False, ["n1 up", "n2 leaving", "n3 up"]), (True, ["n1 up", "n3 up"])]
)
def test_whole_lists_may_leave_out_nodes_that_drain(omits: bool, names: list[str]) -> None:
    world = World(1, snapshot_omits_draining=omits)
    world.change(0.0, 2)
    world.call(100.0)
    assert world.run(1000.0)[0].seen == [(100.0, "snapshot", names)]


def test_what_a_whole_list_leaves_out_is_gone_for_the_proxy_and_for_the_checker() -> None:
    """The node drains and would still answer; the watch is closed in place of the news, and called again."""
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
    assert sorted(one.name for one in proxy.known_endpoints.values()) == ["n1", "n3", "n4", "n5", "n6"]
    assert sorted(decider.endpoints.backends) == sorted(proxy.known_endpoints)
    assert 3000.0 < simulation.context.invariants.views["p0"].unusable["n2"] < 3500.0
    [drained] = [node for node in simulation.fleet.nodes if node.name == "n2"]
    assert result.rules_kept and drained.draining and not drained.down


# Calls in turn.


def test_the_service_works_through_calls_in_turn() -> None:
    world = World(6, call_ms=CALL_MS)
    for number in range(6):
        world.call(0.0, number)
    subscribers = world.run(5000.0)
    assert [one.seen for one in subscribers] == [
        [(round(CALL_MS * (number + 1), 1), "snapshot", ["n1 up", "n2 up", "n3 up"])] for number in range(6)
    ]


@pytest.mark.parametrize(
    ("slowdown", "timeout_ms", "answered"), [(1.0, 3000.0, 8), (1.0, 1000.0, 3), (2.0, 3000.0, 4)]
)
def test_a_call_that_would_wait_for_too_long_is_refused_and_worked_off(
    slowdown: float, timeout_ms: float, answered: int
) -> None:
    """Those are answered whose turn begins within the limit."""
    calls = 12
    world = World(calls, call_ms=CALL_MS, timeout_ms=timeout_ms)
    world.service.slowdown = slowdown
    for number in range(calls):
        world.call(0.0, number)
    kinds = [(one.seen[0][0], one.seen[0][1]) for one in world.run(20_000.0)]
    assert [what for _, what in kinds] == ["snapshot"] * answered + ["refused"] * (calls - answered)
    assert {at for at, what in kinds if what == "refused"} == {timeout_ms}
    assert world.service.busy_until == pytest.approx(calls * CALL_MS * slowdown)


def test_without_the_time_for_a_call_those_that_wait_too_long_are_dropped_unread() -> None:
    """As before: what a call costs is its entries, and one that fails costs nothing."""
    world = World(12, entries_per_s=27.0 / (CALL_MS / 1000.0))
    for number in range(12):
        world.call(0.0, number)
    assert [one.kinds() for one in world.run(20_000.0)] == [["snapshot"]] * 8 + [["failed"]] * 4
    assert world.service.busy_until == pytest.approx(8 * CALL_MS)


def test_calls_that_were_given_up_are_worked_off_and_answered_to_nobody() -> None:
    world = World(2, call_ms=CALL_MS)
    for number in range(2):
        world.call(0.0, number)
    world.events.schedule(100.0, world.service.end_watch, world.subscribers[0])
    first, second = world.run(5000.0)
    assert first.seen == [] and second.seen[0][:2] == (2 * CALL_MS, "snapshot")


@pytest.mark.parametrize(("call_ms", "failure"), [(2000.0, WatchFailure.BUSY), (0.0, WatchFailure.ENDED)])
def test_a_proxy_is_told_that_it_was_refused(call_ms: float, failure: WatchFailure) -> None:
    """Four proxies, of which the last call within little more than a second of the first."""
    failures = list[WatchFailure]()

    class Noting(HostedBalancer):
        def handle(self, now: float, event: api.Event) -> list[api.Action]:
            if isinstance(event, api.BackendList) and event.kind is api.ListKind.FAILED:
                failures.append(event.failure)
            return super().handle(now, event)

    entries_per_s = 30.0 / 2.0  # of 24 for a call and 6 nodes: 2 s, too
    listed = EndpointListConfig(call_ms=call_ms, timeout_ms=1000.0, entries_per_s=entries_per_s)
    script = rehearsal(6, 4, seconds=4.0, zones=("a",), endpoint_list=listed)
    result = Simulation(script, 4, deciders=Noting).run()
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
    ("old", "new", "line", "words"),
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
def test_a_wrong_field_is_reported_with_its_line(old: str, new: str, line: int, words: str) -> None:
    assert old in SCRIPT and load_script(SCRIPT.encode()).endpoint_list.call_ms == CALL_MS
    with pytest.raises(ConfigFileError) as caught:
        load_script(SCRIPT.replace(old, new).encode())
    assert f"{line}: " in str(caught.value) and words in str(caught.value), str(caught.value)


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
def test_what_is_set_counts_in_the_digest_of_a_script(old: str, new: str) -> None:
    """What is not set does not: `tests/compatibility` has digests of before."""
    assert old in SCRIPT
    script, changed = load_script(SCRIPT.encode()), load_script(SCRIPT.replace(old, new).encode())
    assert script_digest(script) != script_digest(changed)
    again = load_script(script_to_toml(changed).encode())
    assert again == changed and script_digest(again) == script_digest(changed)


def test_all_of_it_is_off_in_a_script_that_does_not_name_it() -> None:
    listed, rules = EndpointListConfig(), InvariantLimits()
    assert listed.call_ms == 0.0 and listed.snapshot_share == 1.0 and not listed.snapshot_omits_draining
    assert rules.failed_call_ms == 0.0 and rules.untold_ms == 2000.0  # the latter judges `list_resets` alone
