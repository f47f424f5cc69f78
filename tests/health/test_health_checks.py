"""Health checks of configured members: by a proxy alone, and once a zone through kills of its prober."""

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
def test_down_after_fall_failures_in_a_row_and_up_after_rise_successes(
    results: list[bool], fall: int, rise: int
) -> None:
    tracker = HealthTracker(CONFIG._replace(fall=fall, rise=rise))
    down = False
    for place, healthy in enumerate(results):
        streak = 0
        while streak <= place and results[place - streak] is healthy:
            streak += 1
        was_down = down
        down = (down and not (healthy and streak >= rise)) or (not healthy and streak >= fall)
        assert tracker.observe(MEMBER, healthy) == (was_down != down)
        assert (MEMBER in tracker.down) == down


def test_more_than_the_panic_threshold_of_a_pool_down_is_not_believed() -> None:
    members = [Member("p", f"m{n}") for n in range(4)] + [Member("q", "one")]
    assert apply_panic_threshold(members[:2], members) == set(members[:2])
    assert (
        apply_panic_threshold(members[:3], members) == set() == apply_panic_threshold([members[4]], members)
    )
    assert apply_panic_threshold([Member("p", "gone"), members[0]], members) == {members[0]}


@settings(max_examples=100, deadline=None)
@given(st.integers(0, 1 << 30))
def test_a_report_that_is_late_or_missing_is_not_believed(seed: int) -> None:
    rng = random.Random(seed)
    received, now, newest, received_at = ReceivedReport(8.0), 0.0, (0, 0), -100.0
    reports = [
        HealthReport(round_, "x", token, 1, (("p", f"m{token}-{round_}"),))
        for token in (5, 9, 12)
        for round_ in (1, 2, 3)
    ]
    for _ in range(60):
        now += rng.choice((0.1, 1.0, 9.0))
        report = rng.choice(reports)
        version = report.fencing_token, report.round
        is_new = version > newest or (version != newest and now >= received_at + 8.0)
        assert received.receive(report, now) == is_new
        if is_new:
            newest, received_at = version, now
        down = received.down(now + 1.0)
        is_current = received.report is not None and now + 1.0 < received_at + 8.0
        assert down == (received.report.down_members if received.report and is_current else frozenset())
    assert decode_report(b"no report") is None and not received.receive(None, now)


class Server(Listener):
    """A backend that is healthy or not, and counts probes and requests."""

    def __init__(self) -> None:
        super().__init__(self._talk)
        self.healthy = True
        self.probes = self.requests = 0

    async def _talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head, _ = await read_request(reader)
            if head[""].split()[1] == "/health":
                self.probes += 1
                writer.write(ok(b"") if self.healthy else b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
            else:
                self.requests += 1
                writer.write(ok(head.get("x-request-id", "").encode()))


def routes(name: str, zone: str, servers: list[Server], group: list[str]) -> str:
    fleet = f"""
[fleet]
group = {json.dumps(group)}
lease_s = 2
margin_s = 0.3
answer_s = 0.3
budgets = {{ usual = {{ calls = 400, cpu = 4 }} }}
"""
    members = "".join(
        f'[[pools.members]]\nname = "m{place}"\naddress = "{server.address}"\n'
        for place, server in enumerate(servers)
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
{fleet if group else ""}
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


async def until_unused(server: Server, ports: list[int]) -> None:
    """Wait until each of the proxies sends it no requests."""
    await _until_used(server, ports, False)


async def until_used(server: Server, ports: list[int]) -> None:
    """Wait until each of the proxies sends it requests."""
    await _until_used(server, ports, True)


async def _until_used(server: Server, ports: list[int], used: bool) -> None:
    async with asyncio.timeout(40):
        for port in ports:
            while True:
                before = server.requests
                await send_requests(port)
                if (server.requests != before) == used:
                    break
                await asyncio.sleep(0.05)


def test_a_proxy_alone_sends_nothing_to_a_server_while_it_is_down(tmp_path: Path) -> None:
    async def run() -> None:
        async with Server() as one, Server() as two, Server() as three:
            async with served(tmp_path, routes("x", "z", [one, two, three], [])) as proxy:
                await until_used(two, [proxy.ports["in"]])
                two.healthy = False
                await proxy.log_line("p/m1 is down")
                await until_unused(two, [proxy.ports["in"]])
                one.healthy = three.healthy = False  # more likely that the probes are wrong
                await proxy.log_line("p/m1 is no longer known to be down")
                await until_used(two, [proxy.ports["in"]])

    asyncio.run(asyncio.wait_for(run(), 60))


class Zones:
    """Proxies in two zones, on one coordinator."""

    def __init__(self, harness: Harness, client: Client, folder: Path, servers: list[Server]) -> None:
        self.harness = harness
        self.client = client
        self.folder = folder
        self.servers = servers
        self.proxies: dict[str, ManagedProcess] = {}
        self.ports: dict[str, int] = {}

    async def start(self, name: str, zone: str) -> None:
        path = self.folder / f"{name}.toml"
        path.write_text(routes(name, zone, self.servers, self.harness.addresses))
        self.proxies[name] = await self.harness.start_process(name, "heronreel.cli", "serve", str(path))
        line = await self.proxies[name].wait_for_line("listening on")
        self.ports[name] = int(line.split("127.0.0.1:")[1].split()[0])

    async def report(self, zone: str, after_round: int = 0) -> HealthReport:
        """The zone's report, once it is of a later round."""
        async with asyncio.timeout(40):
            while True:
                found = await self.client.call(Range(report_key(zone)), 5.0)
                assert isinstance(found, RangeResponse)
                report = decode_report(found.records[0][1].value) if found.records else None
                if report is not None and report.round > after_round:
                    return report
                await asyncio.sleep(0.05)

    async def check_probe_rate(self) -> None:
        """Each server is probed once a zone, and not once a proxy."""
        counts, began = [server.probes for server in self.servers], time.monotonic()
        await self.report("x", (await self.report("x")).round + 5)
        rounds = (time.monotonic() - began) / 0.1 + 2
        for server, before in zip(self.servers, counts, strict=True):
            assert server.probes - before <= 2 * rounds  # two zones, and not five proxies

    async def kill_prober(self, zone: str) -> HealthReport:
        """Kill the zone's prober; returns its last report."""
        prober = (await self.report(zone)).prober
        await self.proxies[prober].kill()
        del self.ports[prober]
        last = await self.report(zone)
        assert last.prober == prober
        return last

    async def end(self) -> None:
        for name in self.ports:
            self.proxies[name].send_signal(signal.SIGTERM)
            assert await self.proxies[name].wait_for_exit() == 0


def test_one_proxy_probes_for_a_zone_and_another_replaces_it_when_it_is_killed(tmp_path: Path) -> None:
    async def run() -> None:
        async with Server() as one, Server() as two, Server() as three:
            async with Harness(tmp_path, ("a",), 1) as harness, Client(harness.addresses) as client:
                await harness.wait_until_available()
                zones = Zones(harness, client, tmp_path, [one, two, three])
                for name, zone in (("x1", "x"), ("x2", "x"), ("x3", "x"), ("y1", "y"), ("y2", "y")):
                    await zones.start(name, zone)
                await zones.report("x")
                await zones.report("y")
                await zones.check_probe_rate()
                two.healthy = False
                await until_unused(two, list(zones.ports.values()))
                killed = await zones.kill_prober("x")
                after = await zones.report("x", killed.round)
                assert after.prober != killed.prober and after.fencing_token > killed.fencing_token
                assert after.down == (("p", "m1"),)
                ports = list(zones.ports.values())
                await until_unused(two, ports)
                # what the killed one would still have published is rejected by the coordinator
                late = HealthReport(killed.round + 99, killed.prober, killed.fencing_token, 3)
                response = await client.call(publish_request("x", late))
                assert isinstance(response, TxnResponse) and not response.succeeded
                (claim,) = response.responses
                assert isinstance(claim, RangeResponse) and claim.records
                two.healthy = True
                await until_used(two, ports)
                two.healthy = False
                await until_unused(two, ports)
                await harness.members["a"].kill()  # there are no more reports: no member is known to be down
                await until_used(two, ports)
                await zones.end()

    asyncio.run(run())


def test_a_report_is_bounded_and_stored_under_its_zone() -> None:
    assert probe_task_name("") == "probe" and probe_task_name("z") == "probe-z"
    assert report_key("z") == b"probe/z"
    request = publish_request("z", HealthReport(1, "x", 7, 3, tuple(("p", f"m{n}") for n in range(5000))))
    put = request.success[0]
    assert isinstance(put, Put) and len(put.value) < 64 << 10
