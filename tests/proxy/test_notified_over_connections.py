"""No request begins at a backend whose departure counts as notified, however the watch of the list fails.

The proxy runs as a separate process with real connections.  The list service fails in the ways that the
operators' documentation names.  A checker that shares no code with the proxy decides from when on a departure
counts as notified.
"""

import asyncio
import json
import random
import signal
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager, suppress
from itertools import product
from pathlib import Path

import pytest

from heronreel.soak.notification_judge import (
    AFTER_END_S,
    AFTER_MOVE_S,
    AFTER_REACHABLE_S,
    AFTER_SILENCE_S,
    SLACK_S,
    Departed,
    History,
    HistoryEvent,
    ListWritten,
    Moved,
    Reachable,
    RequestBegan,
    Returned,
    WatchEnded,
    WatchFellSilent,
    late_requests,
    settled_at,
)
from tests.support.loopback import (
    SETTINGS,
    Listener,
    ProxyProcess,
    configuration,
    ok,
    read_request,
    read_response,
    request,
    run,
    running_proxy,
)
from tests.support.turn_list_service import Plan, TurnListService, active_members

GRACE_S = SETTINGS["Rules"]["DrainGraceMs"] / 1000.0
# The time that the operators' service takes for one call in their short runs.
CALL_S = 0.39
# The polling time of the operators' deployments.
MUST_ASK_MS = 10_000.0
REQUEST_INTERVAL_S = 0.02
# The client must have sent at this rate for the verdict to be meaningful.
MIN_REQUESTS_PER_S = 10.0
# The client continues for this time after the last time at which a request may begin at the departed backend.
AFTER_VERDICT_S = 0.4
HEARTBEAT_S = 2.0
# For this time after the loss of a watch, a proxy may certainly send and must not refuse requests.
CERTAINLY_VALID_S = 1.9
# A proxy serves requests within this time after a list was sent to it.
SERVING_AGAIN_S = 0.3
MOVES_WITHIN_S = 0.8
# A short time after which a call is refused, but not immediately.
SHORT_REFUSAL_S = 0.6
# Each kind of fault runs with each of these seeds.
SEEDS = (1, 2)
# The first list arrives within this time after the start.
FIRST_LIST_S = 20.0
# A backend that has returned receives requests within this time.
RETURN_S = 5.0
STAYS = "b-stays"
LEAVES = "b-leaves"


class RecordingBackend(Listener):
    """Records the time of the first byte of each request, and responds immediately."""

    def __init__(self, name: str, history: History) -> None:
        super().__init__(self._serve_requests)
        self.name, self.history = name, history
        self.began = asyncio.Event()

    async def _serve_requests(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await reader.readexactly(1)
            self.history.note(RequestBegan(time.monotonic(), self.name))
            self.began.set()
            await read_request(
                reader
            )  # The first byte of the request line is missing here, which has no effect.
            writer.write(ok(b"done"))


class ProxySetup:
    """One proxy, two backends, one of which departs, and two list services.

    The proxy initially calls the first service.
    """

    def __init__(self, path: Path, fault_name: str, seed: int, whole_lists: bool) -> None:
        self.path, self.rng = path, random.Random(f"{fault_name} {seed}")
        self.label = f"{fault_name}, seed {seed}"
        self.seed = seed
        self.history = History("first")
        self.stays = RecordingBackend(STAYS, self.history)
        self.leaves = RecordingBackend(LEAVES, self.history)
        self.whole_lists = whole_lists
        self.answers: list[tuple[float, str]] = []  # The time and status of each response.
        self.proxy: ProxyProcess
        self.first: TurnListService
        self.second: TurnListService

    @asynccontextmanager
    async def running(self, *first_plans: Plan) -> AsyncIterator[None]:
        """Start all processes, let the caller cause a fault, wait until the verdict is final, and check it.

        The caller continues at a random time of an open watch.  With `first_plans` for the calls of the new
        process, it continues at the first of these calls.
        """
        async with self._backends(), self._services(), self._running_proxy(first_plans):
            client = asyncio.create_task(self._send_steadily())
            async with asyncio.timeout(FIRST_LIST_S):
                await (self.first.called if first_plans else self.first.answered).wait()
                await self.leaves.began.wait()
            if not first_plans:
                await asyncio.sleep(self.rng.uniform(0.0, HEARTBEAT_S))
            began_at, count = time.monotonic(), len(self.answers)
            yield
            await self.settle()
            duration_s = time.monotonic() - began_at
            client.cancel()
            with suppress(asyncio.CancelledError):
                await client
        self._assert_rules_kept(len(self.answers) - count, duration_s, began_at)

    def _assert_rules_kept(self, requests: int, duration_s: float, began_at: float) -> None:
        """Assert that no request began too late, and that no request was refused without need."""
        late = late_requests(self.history, GRACE_S)
        assert not late, (len(late), max(late, key=lambda violation: violation.late_s), self.label)
        assert requests >= MIN_REQUESTS_PER_S * duration_s, (requests, duration_s, self.label)
        statuses = {status for _, status in self.answers}
        assert statuses <= {"200", "503"}, (statuses, self.label)
        refused = [at for at, status in self.answers if status == "503"]
        unjustified = [at for at in refused if not self._may_refuse(at)]
        assert not unjustified, (len(unjustified), len(refused), unjustified[0] - began_at, self.label)

    def _may_refuse(self, at: float) -> bool:
        """Return whether the list of the proxy may have expired, as its watch was lost long enough before."""
        losses = (WatchEnded, WatchFellSilent, Moved)
        listed = [note.at for note in self.history.of(ListWritten) if note.at <= at - SERVING_AGAIN_S]
        lost = [note.at for kind in losses for note in self.history.of(kind) if note.at > max(listed)]
        return bool(lost) and at - min(lost) >= CERTAINLY_VALID_S

    @asynccontextmanager
    async def _backends(self) -> AsyncIterator[None]:
        async with self.stays, self.leaves:
            self.members = active_members({STAYS: self.stays.address, LEAVES: self.leaves.address})
            yield

    @asynccontextmanager
    async def _services(self) -> AsyncIterator[None]:
        self.first, self.second = (
            TurnListService(name, self.history, *self.members, call_s=CALL_S, whole_lists=self.whole_lists)
            for name in ("first", "second")
        )
        async with self.first, self.second:
            yield

    @asynccontextmanager
    async def _running_proxy(self, first_plans: tuple[Plan, ...]) -> AsyncIterator[None]:
        self.first.plans.extend(first_plans)
        self.config = configuration(self.first.address, *self.members)
        rules = SETTINGS["Rules"] | {"MustAskInMs": MUST_ASK_MS}
        self.config["settings"] = SETTINGS | {"Rules": rules}
        self.config["seed"] = f"{self.seed:x}"
        self.path.mkdir(exist_ok=True)
        async with running_proxy(self.path, self.config) as self.proxy:
            yield

    def move(self) -> None:
        """Change the address of discovery to the second service by SIGHUP."""
        self.proxy.path.write_text(json.dumps(self.config | {"discovery": self.second.address}))
        self.history.note(Moved(time.monotonic(), self.second.name))
        self.proxy.signal(signal.SIGHUP)

    async def _send_steadily(self) -> None:
        reader, writer = await self.proxy.connect()
        while True:
            due_at = time.monotonic() + REQUEST_INTERVAL_S
            writer.write(request(f"r{self.seed}-{len(self.answers)}", "read"))
            status, _ = await read_response(reader)
            self.answers.append((time.monotonic(), status))
            await asyncio.sleep(due_at - time.monotonic())

    async def settle(self) -> None:
        """Wait until the verdict is final.  A list that is sent meanwhile shortens the wait."""
        while time.monotonic() < settled_at(self.history, GRACE_S) + AFTER_VERDICT_S:
            await asyncio.sleep(REQUEST_INTERVAL_S)


# Faults by which a watch misses a change.  Each function returns right after it has caused the fault.


async def ends_with_nothing(setup: ProxySetup) -> None:
    """The watch ends without the change; the next watch gets an empty answer and ends too."""
    setup.first.plans.append(Plan.NOTHING_AND_END)
    setup.first.drain(LEAVES, notify_watches=False)
    setup.first.reset_watches()


async def ends_before_and_instead(setup: ProxySetup) -> None:
    """The watch ends; a backend drains while it is reopened, and the new watch ends without the change."""
    setup.first.plans.append(Plan.NOTHING_AND_END)
    setup.first.reset_watches()
    setup.first.called.clear()
    await setup.first.called.wait()
    setup.first.drain(LEAVES, notify_watches=False)


async def ends_in_the_instant_of_its_answer(setup: ProxySetup) -> None:
    """The answer contains the change, and the watch ends at the same moment."""
    setup.first.plans.append(Plan.ANSWER_AND_END)
    setup.first.reset_watches()
    setup.first.drain(LEAVES, notify_watches=False)


async def ends_in_the_instant_before_the_change(setup: ProxySetup) -> None:
    """The watch ends at the moment of its answer, and the backend drains immediately after."""
    setup.first.plans.append(Plan.ANSWER_AND_END)
    setup.first.reset_watches()
    setup.first.answered.clear()
    await setup.first.answered.wait()
    setup.first.drain(LEAVES, notify_watches=False)


async def never_answers(setup: ProxySetup) -> None:
    """The watch is opened again and gets no answer; a backend drains meanwhile."""
    setup.first.plans.append(Plan.NEVER)
    setup.first.called.clear()
    setup.first.reset_watches()
    await setup.first.called.wait()
    setup.first.drain(LEAVES, notify_watches=False)


async def ends_unanswered(setup: ProxySetup) -> None:
    """As in `never_answers`, and the watch is reset at a random time."""
    await never_answers(setup)
    await asyncio.sleep(setup.rng.uniform(0.0, 2.5))
    setup.first.reset_watches()


async def falls_silent(setup: ProxySetup) -> None:
    """The watch stays open without receiving data, and a backend drains soon after."""
    setup.first.silence_watches()
    await asyncio.sleep(setup.rng.uniform(0.0, 1.0))
    setup.first.drain(LEAVES, notify_watches=True)


def refused(plan: Plan) -> Callable[[ProxySetup], Awaitable[None]]:
    """Return a fault: the service is down for a while and refuses calls; the backend drains meanwhile."""

    async def cause_fault(setup: ProxySetup) -> None:
        setup.first.go_down(plan)
        setup.first.drain(LEAVES, notify_watches=False)
        await asyncio.sleep(setup.rng.uniform(0.2, 1.5))
        setup.first.come_back()

    return cause_fault


Fault = Callable[[ProxySetup], Awaitable[None]]
WATCH_END_FAULTS: dict[str, Fault] = {
    "ends with nothing": ends_with_nothing,
    "ends before and instead": ends_before_and_instead,
    "ends in the instant of its answer": ends_in_the_instant_of_its_answer,
    "ends in the instant before the change": ends_in_the_instant_before_the_change,
}
CALL_FAULTS: dict[str, Fault] = {
    "is never answered": never_answers,
    "ends unanswered": ends_unanswered,
    "falls silent": falls_silent,
    "is refused at once": refused(Plan.REFUSE_AT_ONCE),
    "is refused late": refused(Plan.REFUSE_LATE),
}


async def run_fault(setup: ProxySetup, cause_fault: Fault, moves: bool) -> None:
    """Run one fault; if discovery `moves`, SIGHUP names another service with the change soon after."""
    async with setup.running():
        await cause_fault(setup)
        if moves:
            setup.second.drain(LEAVES)
            await asyncio.sleep(setup.rng.uniform(0.0, MOVES_WITHIN_S))
            setup.move()


def run_faults(path: Path, faults: dict[str, Fault], whole_lists: bool | None, moves: bool = False) -> None:
    """Run each fault with each seed concurrently; `whole_lists` None means for even seeds only."""

    async def scenario() -> None:
        cases = [(fault_name, seed) for fault_name in faults for seed in SEEDS]
        runs = []
        for fault_name, seed in cases:
            whole = seed % 2 == 0 if whole_lists is None else whole_lists
            setup = ProxySetup(
                path / f"{fault_name} {seed}", f"{fault_name}, whole lists: {whole}", seed, whole
            )
            runs.append(run_fault(setup, faults[fault_name], moves))
        await asyncio.gather(*runs)

    run(scenario())


@pytest.mark.parametrize("whole_lists", [False, True])
def test_no_request_begins_at_a_backend_whose_departure_an_ended_watch_missed(
    tmp_path: Path, whole_lists: bool
) -> None:
    run_faults(tmp_path, WATCH_END_FAULTS, whole_lists)


def test_no_request_begins_at_a_backend_whose_departure_a_failed_call_missed(tmp_path: Path) -> None:
    run_faults(tmp_path, CALL_FAULTS, None)


@pytest.mark.parametrize("faults", [WATCH_END_FAULTS, CALL_FAULTS], ids=["ends", "fails"])
def test_no_request_begins_at_a_backend_that_is_draining_at_the_new_address_of_discovery(
    tmp_path: Path, faults: dict[str, Fault]
) -> None:
    run_faults(tmp_path, faults, None, moves=True)


async def drain_at_first_call(setup: ProxySetup, *plans: Plan) -> None:
    async with setup.running(*plans):
        setup.first.drain(LEAVES, notify_watches=False)


def test_no_request_begins_at_a_backend_whose_departure_refused_first_calls_missed(
    tmp_path: Path,
) -> None:
    """The calls are refused immediately; the case of calls refused after a while is in KNOWN-RED.txt."""

    async def scenario() -> None:
        runs = []
        for refusals, seed in product((1, 2), SEEDS):
            setup = ProxySetup(tmp_path / f"{refusals} {seed}", f"{refusals} refusals", seed, seed % 2 == 0)
            runs.append(drain_at_first_call(setup, *([Plan.REFUSE_AT_ONCE] * refusals)))
        await asyncio.gather(*runs)

    run(scenario())


async def move_after_a_refusal(setup: ProxySetup) -> None:
    """Refuse the first call late, which causes a long backoff, and send SIGHUP soon after."""
    async with setup.running(Plan.REFUSE_LATE):
        setup.first.refusal_s = SHORT_REFUSAL_S
        await asyncio.sleep(SHORT_REFUSAL_S + CALL_S + setup.rng.uniform(0.05, MOVES_WITHIN_S))
        setup.second.drain(LEAVES)
        setup.move()


def test_a_move_of_discovery_takes_effect_during_a_long_backoff(tmp_path: Path) -> None:
    async def scenario() -> None:
        setups = [ProxySetup(tmp_path / str(seed), "moves", seed, seed % 2 == 0) for seed in range(1, 7)]
        await asyncio.gather(*(move_after_a_refusal(setup) for setup in setups))

    run(scenario())


async def return_and_serve(setup: ProxySetup, reset: bool) -> None:
    """Drain the backend and list it again once nothing is sent to it; with `reset`, on a new watch."""
    async with setup.running():
        setup.first.drain(LEAVES)
        await setup.settle()
        setup.leaves.began.clear()
        if reset:
            setup.first.reset_watches()
        setup.first.reactivate(LEAVES)
        async with asyncio.timeout(RETURN_S):
            await setup.leaves.began.wait()


def test_a_backend_that_is_listed_again_gets_requests_again(tmp_path: Path) -> None:
    async def scenario() -> None:
        runs = []
        for reset, whole_lists, seed in product((False, True), (False, True), SEEDS):
            label = f"reset: {reset}, whole lists: {whole_lists}"
            setup = ProxySetup(tmp_path / f"{label} {seed}", label, seed, whole_lists)
            runs.append(return_and_serve(setup, reset))
        await asyncio.gather(*runs)

    run(scenario())


# The checker itself, with requests just before and just after the time that a rule allows.

DEPARTED = Departed(100.0, "first", LEAVES)
MARGIN_S = 0.01
RULES: dict[str, tuple[Sequence[HistoryEvent], float]] = {
    "the list was sent": ([ListWritten(100.2, "first", frozenset([LEAVES]))], 100.2),
    "a watch ended without the change": ([WatchEnded(100.3, "first", True)], 100.3 + AFTER_END_S),
    "the service had the change and was reachable": ([], 100.0 + AFTER_REACHABLE_S),
    "the service is reachable again": ([Reachable(103.0, "first")], 103.0 + AFTER_REACHABLE_S),
    "the end of an unanswered call has no effect": (
        [WatchEnded(100.3, "first", False)],
        100.0 + AFTER_REACHABLE_S,
    ),
    "the end of a watch before the change has no effect": (
        [WatchEnded(99.9, "first", True)],
        100.0 + AFTER_REACHABLE_S,
    ),
    "a list without the change has no effect": (
        [ListWritten(100.2, "first", frozenset())],
        100.0 + AFTER_REACHABLE_S,
    ),
    "a watch stopped receiving data": ([WatchFellSilent(97.0, "first")], 97.0 + AFTER_SILENCE_S),
    "a watch stopped receiving data long before": ([WatchFellSilent(80.0, "first")], 100.0),
    "a new watch replaced the stalled one": (
        (WatchFellSilent(97.0, "first"), ListWritten(98.0, "first")),
        100.0 + AFTER_REACHABLE_S,
    ),
    "discovery moved": (
        [Departed(100.5, "second", LEAVES), Moved(101.0, "second")],
        101.0 + AFTER_MOVE_S,
    ),
}


@pytest.mark.parametrize("rule", RULES)
def test_the_checker_reports_only_a_request_that_begins_too_late(rule: str) -> None:
    notes, notified_at = RULES[rule]
    allowed_until = notified_at + GRACE_S + SLACK_S
    for begins_at, is_late in ((allowed_until - MARGIN_S, False), (allowed_until + MARGIN_S, True)):
        begun = RequestBegan(begins_at, LEAVES)
        other = RequestBegan(begins_at, STAYS)
        history = History("first", [DEPARTED, *notes, begun, other])
        late = late_requests(history, GRACE_S)
        assert {violation.request for violation in late} == ({begun} if is_late else set())


def test_the_checker_allows_requests_to_a_returned_backend_until_it_departs_again() -> None:
    departed = frozenset([LEAVES])
    returned: list[HistoryEvent] = [Returned(105.0, "first", LEAVES), RequestBegan(106.0, LEAVES)]
    history = History("first", [DEPARTED, ListWritten(100.1, "first", departed), *returned])
    assert not late_requests(history, GRACE_S)
    history.notes += [Departed(107.0, "first", LEAVES), ListWritten(107.1, "first", departed)]
    begun = RequestBegan(107.1 + GRACE_S + SLACK_S + MARGIN_S, LEAVES)
    history.note(begun)
    (late,) = late_requests(history, GRACE_S)
    assert late.request is begun and late.late_s == pytest.approx(MARGIN_S)


def test_the_service_answers_one_call_at_a_time() -> None:
    """The second call is answered one call duration after the first, however soon it follows the first."""

    async def scenario() -> None:
        history = History("first")
        async with TurnListService("first", history, call_s=0.2) as service:
            host, port = service.address.split(":")
            began_at = time.monotonic()
            for _ in range(2):
                _, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /catalog/members?stream=1&index=1 HTTP/1.1\r\nHost: x\r\n\r\n")
            while len(history.of(ListWritten)) < 2:
                await asyncio.sleep(REQUEST_INTERVAL_S)
            first, second = (written.at for written in history.of(ListWritten))
            assert first >= began_at + 0.2 and second >= first + 0.2

    run(scenario())
