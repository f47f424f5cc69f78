"""Health checks of configured backends, by a standalone proxy and by one prober per zone.

The tests with processes guard against backends that still get traffic although they are down, and against
probing that stops, or is done by several proxies, after the zone's prober was killed.
"""

from __future__ import annotations

import asyncio
import json
import random
import signal
import time
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from heronreel.coordination.client import Client
from heronreel.coordination.model import Put, Range, RangeResponse, TxnResponse
from heronreel.fault_injection.harness import Harness
from heronreel.fault_injection.managed_process import ManagedProcess
from heronreel.health.checks import HealthCheckConfig, HealthTracker, Member, apply_panic_threshold
from heronreel.health.report import (
    HealthReport,
    ReceivedReport,
    decode_report,
    probe_task_name,
    publish_request,
    report_key,
)
from tests.support.loopback import Listener, ok, read_request
from tests.support.serve_process import get, served

CONFIG = HealthCheckConfig("/health", fall=3, rise=2)
MEMBER = Member("p", "m")


@settings(max_examples=200, deadline=None)
@given(st.lists(st.booleans(), max_size=40), st.integers(1, 4), st.integers(1, 4))
def test_member_goes_down_after_fall_failures_and_up_after_rise_successes(
    results: list[bool], fall: int, rise: int
) -> None:
    tracker = HealthTracker(CONFIG._replace(fall=fall, rise=rise))
    down = False
    for index, healthy in enumerate(results):
        streak = 0
        while streak <= index and results[index - streak] is healthy:
            streak += 1
        was_down = down
        down = (down and not (healthy and streak >= rise)) or (not healthy and streak >= fall)
        assert tracker.observe(MEMBER, healthy) == (was_down != down)
        assert (MEMBER in tracker.down) == down


def test_no_member_is_excluded_when_more_of_its_pool_is_down_than_the_panic_threshold() -> None:
    members = [Member("p", f"m{number}") for number in range(4)] + [Member("q", "m0")]
    assert apply_panic_threshold(members[:2], members) == set(members[:2])
    assert (
        apply_panic_threshold(members[:3], members) == set() == apply_panic_threshold([members[4]], members)
    )
    assert apply_panic_threshold([Member("p", "removed"), members[0]], members) == {members[0]}


@settings(max_examples=100, deadline=None)
@given(st.integers(0, 1 << 30))
def test_outdated_and_expired_reports_are_ignored(seed: int) -> None:
    rng = random.Random(seed)
    received = ReceivedReport(max_age_s=8.0)
    now = 0.0
    newest_version = (0, 0)
    received_at = -100.0
    reports = [
        HealthReport(round_, "x", token, 1, (("p", f"m{token}-{round_}"),))
        for token in (5, 9, 12)
        for round_ in (1, 2, 3)
    ]
    for _ in range(60):
        now += rng.choice((0.1, 1.0, 9.0))
        report = rng.choice(reports)
        version = report.fencing_token, report.round
        is_new = version > newest_version or (version != newest_version and now >= received_at + 8.0)
        assert received.receive(report, now) == is_new
        if is_new:
            newest_version, received_at = version, now
        down = received.down(now + 1.0)
        is_current = received.report is not None and now + 1.0 < received_at + 8.0
        assert down == (received.report.down_members if received.report and is_current else frozenset())
    assert decode_report(b"no report") is None and not received.receive(None, now)


class ProbedBackend(Listener):
    """A backend whose health a test sets, and that counts its probes and its other requests."""

    def __init__(self) -> None:
        super().__init__(self._serve_connection)
        self.healthy = True
        self.probes = self.requests = 0

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head, _ = await read_request(reader)
            if head[""].split()[1] == "/health":
                self.probes += 1
                writer.write(ok(b"") if self.healthy else b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
            else:
                self.requests += 1
                writer.write(ok(head.get("x-request-id", "").encode()))


def routes_file_text(name: str, zone: str, backends: list[ProbedBackend], group: list[str]) -> str:
    fleet_table = f"""
[fleet]
group = {json.dumps(group)}
lease_s = 2
margin_s = 0.3
answer_s = 0.3
budgets = {{ usual = {{ calls = 400, cpu = 4 }} }}
"""
    members = "".join(
        f'[[pools.members]]\nname = "m{index}"\naddress = "{backend.address}"\n'
        for index, backend in enumerate(backends)
    )
    return f"""
[proxy]
name = "{name}"
zone = "{zone}"
[[listeners]]
name = "in"
address = "127.0.0.1:0"
[probe]
path = "/health"
every_ms = 100
timeout_ms = 100
{fleet_table if group else ""}
[[pools]]
name = "p"
{members}
[[routes]]
name = "all"
match = {{ path_prefix = "/", methods = ["GET"] }}
effect = "safe"
attempts = 2
deadline_ms = 2000
pool = "p"
"""


async def send_requests(port: int, count: int = 12) -> None:
    for _ in range(count):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(get("/ride"))
        assert b" 200 " in await reader.readline()
        writer.close()


async def wait_until_unused(backend: ProbedBackend, ports: list[int]) -> None:
    """Wait until none of the proxies on `ports` sends requests to the backend."""
    await _wait_for_use(backend, ports, expected=False)


async def wait_until_used(backend: ProbedBackend, ports: list[int]) -> None:
    """Wait until each of the proxies on `ports` sends requests to the backend."""
    await _wait_for_use(backend, ports, expected=True)


async def _wait_for_use(backend: ProbedBackend, ports: list[int], *, expected: bool) -> None:
    async with asyncio.timeout(40):
        for port in ports:
            while True:
                requests_before = backend.requests
                await send_requests(port)
                if (backend.requests != requests_before) == expected:
                    break
                await asyncio.sleep(0.05)


def test_standalone_proxy_sends_no_requests_to_a_backend_that_is_down(tmp_path: Path) -> None:
    async def run() -> None:
        async with ProbedBackend() as first, ProbedBackend() as second, ProbedBackend() as third:
            text = routes_file_text("x", "z", [first, second, third], [])
            async with served(tmp_path, text) as proxy:
                await wait_until_used(second, [proxy.ports["in"]])
                second.healthy = False
                await proxy.log_line("p/m1 is down")
                await wait_until_unused(second, [proxy.ports["in"]])
                # All members of the pool are down, which exceeds the panic threshold.
                first.healthy = third.healthy = False
                await proxy.log_line("p/m1 is no longer known to be down")
                await wait_until_used(second, [proxy.ports["in"]])

    asyncio.run(asyncio.wait_for(run(), 60))


class ZoneFleet:
    """Proxies in several zones that share one coordination service and one pool of backends."""

    def __init__(self, harness: Harness, client: Client, folder: Path, backends: list[ProbedBackend]) -> None:
        self.harness = harness
        self.client = client
        self.folder = folder
        self.backends = backends
        self.proxies: dict[str, ManagedProcess] = {}
        self.ports: dict[str, int] = {}

    async def start(self, name: str, zone: str) -> None:
        """Start a proxy, and wait until it listens."""
        path = self.folder / f"{name}.toml"
        path.write_text(routes_file_text(name, zone, self.backends, self.harness.addresses))
        self.proxies[name] = await self.harness.start_process(name, "heronreel.cli", "serve", str(path))
        line = await self.proxies[name].wait_for_line("listening on")
        self.ports[name] = int(line.split("127.0.0.1:")[1].split()[0])

    async def report(self, zone: str, after_round: int = 0) -> HealthReport:
        """Wait for a report of the zone from a round after `after_round`, and return it."""
        async with asyncio.timeout(40):
            while True:
                response = await self.client.call(Range(report_key(zone)), 5.0)
                assert isinstance(response, RangeResponse)
                report = decode_report(response.records[0][1].value) if response.records else None
                if report is not None and report.round > after_round:
                    return report
                await asyncio.sleep(0.05)

    async def check_probe_rate(self) -> None:
        """Check that each backend is probed once per zone and round, and not once per proxy."""
        probes_before = [backend.probes for backend in self.backends]
        started_at = time.monotonic()
        await self.report("x", (await self.report("x")).round + 5)
        rounds = (time.monotonic() - started_at) / 0.1 + 2
        for backend, before in zip(self.backends, probes_before, strict=True):
            assert backend.probes - before <= 2 * rounds  # There are two zones with five proxies.

    async def kill_prober(self, zone: str) -> HealthReport:
        """Kill the zone's prober; returns its last report."""
        prober = (await self.report(zone)).prober
        await self.proxies[prober].kill()
        del self.ports[prober]
        last_report = await self.report(zone)
        assert last_report.prober == prober
        return last_report

    async def stop(self) -> None:
        """Stop the proxies that have not been killed, and check that they exit cleanly."""
        for name in self.ports:
            self.proxies[name].send_signal(signal.SIGTERM)
            assert await self.proxies[name].wait_for_exit() == 0


def test_one_proxy_probes_for_a_zone_and_another_replaces_it_when_it_is_killed(tmp_path: Path) -> None:
    async def run() -> None:
        async with ProbedBackend() as first, ProbedBackend() as second, ProbedBackend() as third:
            async with Harness(tmp_path, ("a",), 1) as harness, Client(harness.addresses) as client:
                await harness.wait_until_available()
                fleet = ZoneFleet(harness, client, tmp_path, [first, second, third])
                for name, zone in (("x1", "x"), ("x2", "x"), ("x3", "x"), ("y1", "y"), ("y2", "y")):
                    await fleet.start(name, zone)
                await fleet.report("x")
                await fleet.report("y")
                await fleet.check_probe_rate()
                second.healthy = False
                await wait_until_unused(second, list(fleet.ports.values()))
                last_report = await fleet.kill_prober("x")
                new_report = await fleet.report("x", last_report.round)
                assert new_report.prober != last_report.prober
                assert new_report.fencing_token > last_report.fencing_token
                assert new_report.down == (("p", "m1"),)
                ports = list(fleet.ports.values())
                await wait_until_unused(second, ports)
                # The coordination service rejects a late report of the prober that was killed.
                late_report = HealthReport(
                    last_report.round + 99, last_report.prober, last_report.fencing_token, 3
                )
                response = await client.call(publish_request("x", late_report))
                assert isinstance(response, TxnResponse) and not response.succeeded
                (claim,) = response.responses
                assert isinstance(claim, RangeResponse) and claim.records
                second.healthy = True
                await wait_until_used(second, ports)
                second.healthy = False
                await wait_until_unused(second, ports)
                # Without the coordination service the last report expires, and no member counts as down.
                await harness.members["a"].kill()
                await wait_until_used(second, ports)
                await fleet.stop()

    asyncio.run(run())


def test_report_has_a_bounded_size_and_is_stored_under_the_key_of_its_zone() -> None:
    assert probe_task_name("") == "probe" and probe_task_name("z") == "probe-z"
    assert report_key("z") == b"probe/z"
    down = tuple(("p", f"m{number}") for number in range(5000))
    request = publish_request("z", HealthReport(1, "x", 7, 3, down))
    put = request.success[0]
    assert isinstance(put, Put) and len(put.value) < 64 << 10
