"""A fleet with an overloaded discovery service: no proxy sends to a draining backend by an outdated list.

The failure: while backends were released one after the other, a few requests went to a backend that had been
draining for more than 2 s.  The backend rejected them, and some were answered late or refused.

How it came about: the watch of a proxy ended instead of delivering the change (a backend starts to drain).
The proxy called again immediately, but more calls were waiting at discovery than it could answer within its
time limit, so it refused the call within milliseconds, and also the second and third call.  The change
counted as notified 2 s after the end of the watch, and then the drain grace passed.  The proxy continued to
send by its list as if it were current.

The cause: an endpoint list never expired.  Calling discovery again can't make up for that, because discovery
takes longer to answer one call from each proxy than a missed change may take to count as notified.

In a trace of 40 proxies, every violation began 2.0 s plus the grace after the end of the proxy's watch, with
no list received in between.  120 calls were refused, each after 27 ms.  Calling more often made it worse,
because refusals take discovery's time as well.  No violation was left when a proxy whose watch had ended sent
nothing from 2.15 s on until its next list.  A service that is down, in contrast, refuses calls only after its
whole time limit; then no proxy can get a list, and the current one remains in use.
"""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from pathlib import Path
from typing import NamedTuple

import pytest

from heronreel.soak.list_service import LEAVING, ListService, endpoint
from heronreel.soak.notification_judge import (
    History,
    ListWritten,
    Moved,
    RequestBegan,
    WatchEnded,
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

PROXIES = 12
# The service takes this long for a call: 4.8 s for one call from each proxy.  At most seven calls wait.
CALL_S = 0.4
# The service takes this long for a refusal.
REFUSAL_S = 0.1
FLEET_SETTINGS = SETTINGS | {
    "Balancers": PROXIES,
    "Rules": SETTINGS["Rules"] | {"MustAskInMs": 10_000.0},
}
GRACE_S = SETTINGS["Rules"]["DrainGraceMs"] / 1000.0
REQUEST_INTERVAL_S = 0.03
# The clients continue for this time after the last request that could violate the rules.
AFTER_VERDICT_S = 0.5
# Each proxy has a new list within this time after the change.
LISTS_WITHIN_S = 20.0
# A proxy serves requests within this time after it has received a list.
SERVING_AGAIN_S = 0.3
# A proxy may certainly send for this time after the end of its watch.
CERTAINLY_VALID_S = 1.5
OUTAGE_S = 9.0
STAYS = "b-stays"
LEAVES = "b-leaves"


class Answer(NamedTuple):
    """The time and status of a response to a client."""

    at: float
    status: str


class Fleet:
    """Proxy processes, each with a client that sends steadily, two backends and one list service."""

    def __init__(self) -> None:
        self.stays, self.leaves = (Listener(self._backend(name)) for name in (STAYS, LEAVES))
        self.service: ListService
        self.proxies: dict[str, ProxyProcess] = {}
        self.answers: dict[str, list[Answer]] = {}
        self.clients: list[asyncio.Task[None]] = []

    def _backend(self, name: str) -> Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                first = await reader.readexactly(1)
                began_at = time.monotonic()
                head, _ = await read_request(reader)
                assert first
                proxy = head["x-request-id"].partition("-")[0]
                self.service.histories[proxy].note(RequestBegan(began_at, name))
                writer.write(ok(b"done"))

        return serve

    @asynccontextmanager
    async def running(
        self, path: Path, is_down: bool = False, is_overloaded: bool = False
    ) -> AsyncIterator[None]:
        """Start all processes and clients, and stop the clients at the end.

        Unless the service is down or overloaded from the start, each proxy has a list when this is entered.
        """
        async with self.stays, self.leaves, AsyncExitStack() as processes:
            entries = [
                endpoint(name, int(listener.address.rpartition(":")[2]))
                for name, listener in ((STAYS, self.stays), (LEAVES, self.leaves))
            ]
            self.service = ListService(entries, is_down=is_down)
            processes.callback(self.service.stop)
            if is_overloaded:
                self.overload_service()
            await asyncio.gather(*(self._start(number, path, processes) for number in range(PROXIES)))
            for name in self.proxies:
                self.clients.append(asyncio.create_task(self._send_steadily(name)))
            if not is_down and not is_overloaded:
                await self._wait_until(
                    lambda: all(history.of(ListWritten) for history in self.histories.values())
                )
            yield
            for client in self.clients:
                client.cancel()
            with suppress(asyncio.CancelledError):
                await asyncio.gather(*self.clients)

    @property
    def histories(self) -> dict[str, History]:
        """The recorded events by proxy."""
        return self.service.histories

    async def _start(self, number: int, path: Path, processes: AsyncExitStack) -> None:
        name = f"n{number}"
        address = await self.service.address_for(name)
        config = configuration(address, *json.loads(json.dumps(self.service.endpoints)))
        config |= {"settings": FLEET_SETTINGS, "seed": f"{number + 1:x}"}
        folder = path / name
        folder.mkdir()
        self.proxies[name] = await processes.enter_async_context(running_proxy(folder, config))
        self.answers[name] = []

    async def _send_steadily(self, name: str) -> None:
        reader, writer = await self.proxies[name].connect()
        for number in range(1_000_000):
            due_at = time.monotonic() + REQUEST_INTERVAL_S
            writer.write(request(f"{name}-{number}", "read"))
            status, _ = await read_response(reader)
            self.answers[name].append(Answer(time.monotonic(), status))
            await asyncio.sleep(due_at - time.monotonic())

    def overload_service(self) -> None:
        """Make a call from each proxy take longer than a missed change may take to count as notified."""
        self.service.call_s, self.service.refusal_s = CALL_S, REFUSAL_S

    async def _wait_until(self, condition: Callable[[], bool]) -> None:
        while not condition():
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def settle(self) -> None:
        """Wait until no later event can change the verdict on any proxy."""
        ends_at = max(settled_at(history, GRACE_S) for history in self.histories.values()) + AFTER_VERDICT_S
        await asyncio.sleep(ends_at - time.monotonic())

    async def wait_until_all_have_lists(self, since: float) -> None:
        """Wait until each proxy has received a list since then and has had time to serve by it."""
        async with asyncio.timeout(LISTS_WITHIN_S):
            await self._wait_until(lambda: all(self.list_received_at(name, since) for name in self.proxies))
        await asyncio.sleep(2 * SERVING_AGAIN_S)

    def list_received_at(self, name: str, since: float) -> float | None:
        """Return when a proxy received its first list since then, or None."""
        return next((note.at for note in self.histories[name].of(ListWritten) if note.at >= since), None)

    def assert_drains_kept(self) -> None:
        """Assert that no request began at the drained backend after the grace and no client got an error."""
        late = {name: late_requests(history, GRACE_S) for name, history in self.histories.items()}
        late = {name: requests for name, requests in late.items() if requests}
        worst = {
            name: (len(requests), max(violation.late_s for violation in requests))
            for name, requests in late.items()
        }
        assert not worst, worst
        for name, answers in self.answers.items():
            assert {answer.status for answer in answers} <= {"200", "503"}, name

    def assert_serving(self, since: float, until: Callable[[str], float] | None = None) -> None:
        """Assert that each client got only successful responses from `since` to its proxy's `until`."""
        for name, answers in self.answers.items():
            ends_at = until(name) if until else float("inf")
            statuses = [answer.status for answer in answers if since <= answer.at < ends_at]
            assert set(statuses) == {"200"}, (name, statuses)


def test_a_watch_that_ends_without_the_change_while_discovery_is_overloaded(tmp_path: Path) -> None:
    """Each watch ends instead of delivering the change; the service refuses the calls that it can't queue."""

    async def scenario() -> None:
        fleet = Fleet()
        async with fleet.running(tmp_path):
            fleet.overload_service()
            began_at = time.monotonic()
            fleet.service.change(LEAVES, LEAVING, notify_watches=False)
            fleet.service.end_watches()
            await fleet.settle()
            await fleet.wait_until_all_have_lists(began_at)
        assert fleet.service.refused > 0
        fleet.assert_drains_kept()
        fleet.assert_serving(0.0, lambda name: fleet.histories[name].of(WatchEnded)[0].at + CERTAINLY_VALID_S)
        for name in fleet.proxies:
            list_received_at = fleet.list_received_at(name, began_at)
            assert list_received_at is not None
            later = [
                answer for answer in fleet.answers[name] if answer.at > list_received_at + SERVING_AGAIN_S
            ]
            assert {answer.status for answer in later} == {"200"}, name

    run(scenario())


def test_a_new_process_without_a_list_while_discovery_is_overloaded(tmp_path: Path) -> None:
    """All calls of new processes are refused immediately; a backend drains soon after the start."""

    async def scenario() -> None:
        fleet = Fleet()
        async with fleet.running(tmp_path, is_overloaded=True):
            fleet.service.call_s = 10.0  # No call is answered within the test.
            fleet.service.change(LEAVES, LEAVING, notify_watches=False)
            await fleet.settle()
        assert fleet.service.refused > 0
        fleet.assert_drains_kept()

    run(scenario())


def test_a_move_of_discovery_to_an_overloaded_service(tmp_path: Path) -> None:
    """SIGHUP names another address, in whose list a backend drains and which refuses the calls."""

    async def scenario() -> None:
        fleet = Fleet()
        async with fleet.running(tmp_path):
            other = ListService(json.loads(json.dumps(fleet.service.endpoints)), name="other")
            other.histories = fleet.histories
            other.call_s, other.refusal_s = 10.0, REFUSAL_S
            for name, proxy in fleet.proxies.items():
                document = json.loads(proxy.path.read_text())
                document["discovery"] = await other.address_for(name)
                proxy.path.write_text(json.dumps(document))
            other.change(LEAVES, LEAVING, notify_watches=False)
            for name, proxy in fleet.proxies.items():
                fleet.histories[name].note(Moved(time.monotonic(), other.name))
                proxy.signal(signal.SIGHUP)
            await fleet.settle()
            other.stop()
        assert other.refused > 0
        fleet.assert_drains_kept()

    run(scenario())


@pytest.mark.parametrize("from_the_start", [False, True])
def test_the_current_list_stays_in_use_while_discovery_is_down(tmp_path: Path, from_the_start: bool) -> None:
    """The service refuses calls after its whole time limit; no proxy can get a list, and traffic continues.

    A proxy whose watch ended when the service went down may reject requests until it has detected the outage.
    """

    async def scenario() -> None:
        fleet = Fleet()
        async with fleet.running(tmp_path, is_down=from_the_start):
            fleet.service.go_down()
            began_at = time.monotonic()
            await asyncio.sleep(OUTAGE_S)
            back_at = time.monotonic()
            fleet.service.come_back()
            fleet.service.change(LEAVES, LEAVING, notify_watches=False)
            await fleet.settle()
            await fleet.wait_until_all_have_lists(back_at)
        fleet.assert_drains_kept()
        for name, answers in fleet.answers.items():
            during = [answer.status for answer in answers if began_at <= answer.at < back_at]
            assert during.count("200") >= 0.85 * len(during), (name, during.count("200"), len(during))

    run(scenario())


def test_the_current_list_stays_in_use_while_no_process_listens_at_the_address_of_discovery(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        fleet = Fleet()
        async with fleet.running(tmp_path):
            began_at = time.monotonic()
            fleet.service.stop()
            await asyncio.sleep(OUTAGE_S)
        fleet.assert_serving(began_at)

    run(scenario())
