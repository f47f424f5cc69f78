"""Usage metering with proxy processes that are killed at each crash point.

The tests guard against counts that differ from the responses that the clients received.
"""

from __future__ import annotations

import asyncio
import json
import re
import signal
import subprocess
import sys
from collections import Counter
from contextlib import AsyncExitStack, suppress
from pathlib import Path

import pytest

from heronreel.coordination.client import Client
from heronreel.coordination.errors import RequestError
from heronreel.fault_injection.harness import Harness
from heronreel.fault_injection.managed_process import ROOT, ManagedProcess
from heronreel.leases.overview import lease_overview
from heronreel.metering import overview
from heronreel.metering.overview import UsageOverview
from heronreel.serve.program import read_report
from tests.support.loopback import Backend, read_response, reserved_port
from tests.support.serve_process import get, gets_to

TENANTS = ("etna", "madonie")
FREQUENT_POINTS = (
    "begin", "settled", "seal", "sealed", "request", "response", "confirm", "confirmed", "close", "closed",
)  # fmt: skip
# For each crash point under test: where the first process is killed and where the second one is, each given
# as a point and the number of the visit.
CRASH_POINTS = {point: (f"{point}:2", f"{point}:5") for point in FREQUENT_POINTS}
CRASH_POINTS |= {point: ("settled:4", f"{point}:1") for point in ("adopt", "adopted", "remove")}


def write_routes_file(folder: Path, name: str, backend: str, group: list[str], embedded: str = "") -> Path:
    path = folder / f"{name}.toml"
    path.write_text(f"""
[proxy]
name = "{name}"
zone = "z"
[[listeners]]
name = "in"
address = "127.0.0.1:0"
[[tenants]]
name = "etna"
share = 0.5
[[tenants]]
name = "madonie"
share = 0.5
[fleet]
group = {json.dumps(group)}
lease_s = 2
margin_s = 0.3
answer_s = 0.3
embedded = "{embedded}"
count_s = 0.2
folder = "{folder / ("counts-" + name)}"
{gets_to(backend)}""")
    return path


class SingleMachine:
    """Proxies on one machine that run the coordination service themselves, with one data folder."""

    def __init__(self, folder: Path, address: str, backend: str) -> None:
        self.folder = folder
        self.address = address
        self.backend = backend
        self.running: dict[str, ManagedProcess] = {}

    async def start(self, name: str) -> int:
        """Start a proxy, and return the port on which it listens."""
        path = write_routes_file(self.folder, name, self.backend, [self.address], str(self.folder / "group"))
        self.running[name] = await ManagedProcess.start(name, ("heronreel.cli", "serve", str(path)))
        line = await self.running[name].wait_for_line("listening on")
        return int(line.split("127.0.0.1:")[1].split()[0])

    async def stop(self) -> None:
        for process in self.running.values():
            process.send_signal(signal.SIGTERM)
            assert await process.wait_for_exit() == 0

    async def kill(self) -> None:
        for process in self.running.values():
            if process.process.returncode is None:
                await process.kill()


async def wait_until_present(client: Client, count: int) -> None:
    async with asyncio.timeout(40):
        while True:
            with suppress(RequestError):
                if len((await lease_overview(client))["present"]) == count:
                    return
            await asyncio.sleep(0.05)


async def wait_until_counted(client: Client, tenant: str, count: int) -> int:
    """Wait until `count` responses of the tenant are counted as served or unknown; returns their number."""
    counted = 0
    async with asyncio.timeout(40):
        while counted < count:
            with suppress(RequestError):
                row = (await overview.usage_overview(client, 1))["ever"].get(tenant, {})
                counted = row.get("served", 0) + row.get("unknown", 0)
            await asyncio.sleep(0.05)
    return counted


def test_proxies_on_a_single_machine_run_the_coordination_service_themselves(tmp_path: Path) -> None:
    """The proxy that holds the disk serves the group; if it is killed, another proxy takes over the disk."""

    async def run() -> None:
        clients = Clients()
        async with AsyncExitStack() as stack:
            address = f"127.0.0.1:{stack.enter_context(reserved_port())}"
            backend = await stack.enter_async_context(Backend())
            client = await stack.enter_async_context(Client([address]))
            machine = SingleMachine(tmp_path, address, backend.address)
            try:
                ports = [await machine.start("one")]
                await machine.running["one"].wait_for_line('"listening"')
                ports.append(await machine.start("two"))
                await wait_until_present(client, 2)
                for port in ports:
                    assert await clients.send(port, "etna", 10)
                await machine.running["one"].kill()
                await machine.running["two"].wait_for_line('"listening"')
                await machine.start("one")
                await wait_until_present(client, 2)
                assert await wait_until_counted(client, "etna", 20) <= 21 and clients.served["etna"] == 20
                await machine.stop()
            finally:
                await machine.kill()

    asyncio.run(run())


class Clients:
    """Clients of the proxies; they count received responses and unanswered requests by tenant."""

    def __init__(self) -> None:
        self.served: Counter[str] = Counter()
        self.unanswered: Counter[str] = Counter()

    async def send(self, port: int, tenant: str, count: int) -> bool:
        """Send `count` requests on one connection; returns False if the last one got no response."""
        in_flight = False
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            for _ in range(count):
                writer.write(get("/ride", extra=f"X-Tenant: {tenant}\r\n"))
                in_flight = True
                status, _ = await read_response(reader)
                if status == "closed":
                    break
                in_flight = False
                assert status == "200"
                self.served[tenant] += 1
            writer.close()
        except OSError:
            pass
        self.unanswered[tenant] += in_flight
        return not in_flight


class Fleet:
    """Proxies that use one coordination service, and their clients."""

    def __init__(self, harness: Harness, folder: Path, backend: str) -> None:
        self.harness = harness
        self.folder = folder
        self.backend = backend
        self.clients = Clients()

    async def start_proxy(self, name: str, **env: str) -> tuple[ManagedProcess, int]:
        """Start a proxy, and return its process and the port on which it listens."""
        path = write_routes_file(self.folder, name, self.backend, self.harness.addresses)
        process = await self.harness.start_process(name, "heronreel.cli", "serve", str(path), **env)
        line = await process.wait_for_line("listening on")
        return process, int(line.split("127.0.0.1:")[1].split()[0])

    async def usage(self, client: Client) -> UsageOverview:
        """Return the stored usage, retrying until the coordination service responds."""
        while True:
            try:
                return await overview.usage_overview(client, 96)
            except RequestError:
                await asyncio.sleep(0.02)

    def is_counted(self, usage: UsageOverview, tenant: str) -> bool:
        """Return whether at least the responses that the tenant's clients received are counted."""
        row = usage["ever"].get(tenant, {"served": 0, "unknown": 0})
        return row["served"] + row["unknown"] >= self.clients.served[tenant]

    async def settled_usage(self, client: Client) -> UsageOverview:
        """Wait until only the ledger of the last proxy is left, and all counts are in closed periods."""
        async with asyncio.timeout(60):
            while True:
                usage = await self.usage(client)
                closed = not any(row["served"] for row in usage["open"].values()) and len(usage["books"]) <= 1
                files = list(self.folder.glob("counts-*/*.counts"))
                if closed and len(files) <= 1 and all(self.is_counted(usage, tenant) for tenant in TENANTS):
                    return usage
                await asyncio.sleep(0.05)


def check_usage(usage: UsageOverview, clients: Clients, *, all_in_periods: bool = True) -> None:
    """Check the counts of each tenant against its clients.

    The served count must not exceed what the clients may have received, and the sum of the served and the
    unknown count must not be less than what they received.
    """
    in_periods: Counter[str] = Counter()
    for period in usage["periods"]:
        for tenant, counts in period["counts"].items():
            in_periods[tenant] += counts["served"]
    for tenant in TENANTS:
        row = usage["ever"].get(tenant, {"served": 0, "unknown": 0})
        served, unanswered = clients.served[tenant], clients.unanswered[tenant]
        print(tenant, row, "responses received by clients:", served, "requests unanswered:", unanswered)
        assert row["served"] <= served + unanswered
        assert served <= row["served"] + row["unknown"]
        # One unknown response may have been received, if its process was killed before it was settled.
        assert row["unknown"] <= unanswered + 1
        if not row["unknown"]:
            assert row["served"] - unanswered <= served <= row["served"]
        if all_in_periods and usage["closed"] <= 96:
            assert in_periods[tenant] == row["served"]


def test_crash_points_of_the_tests_are_those_in_the_code() -> None:
    texts = [path.read_text() for path in (ROOT / "heronreel" / "metering").glob("*.py")]
    assert set(re.findall(r'points\.reach\("(\w+)"\)', "".join(texts))) == set(CRASH_POINTS)


def test_proxy_outside_a_fleet_does_not_load_the_modules_of_the_fleet() -> None:
    code = "import sys, heronreel.serve.program; print(*sys.modules)"
    loaded = subprocess.check_output([sys.executable, "-c", code], cwd=ROOT, text=True).split()
    fleet_modules = {"aiohttp", "heronreel.coordination", "heronreel.coordinator", "heronreel.leases"}
    assert "heronreel.serve" in loaded and not fleet_modules & set(loaded)


def test_invalid_fleet_table_is_reported_with_its_line_and_a_remedy(tmp_path: Path) -> None:
    text = write_routes_file(tmp_path, "one", "127.0.0.1:1", ["127.0.0.1:2"]).read_text()
    for valid, invalid, message in (
        ('group = ["127.0.0.1:2"]', "group = []", "expected a list of 1 to 7 addresses"),
        ('group = ["127.0.0.1:2"]', 'group = ["there:2"]', "expected an IP address and a port"),
        ("lease_s = 2", "lease_s = 1", "lease_s: is 1; at least 1.8"),
        ('embedded = ""', 'embedded = "x"\ngroup2 = 1', "did you mean 'group'?"),
        (f'folder = "{tmp_path}/counts-one"', "", "fleet.folder: is missing"),
        ("count_s = 0.2", "counts = 3", "did you mean 'count_s'?"),
        ("count_s = 0.2", "budgets = { slow = { calls = 1 } }", "known here: urgent, usual, idle"),
        ("count_s = 0.2", "budgets = { idle = { calls = -1 } }", "expected calls a second from 0"),
    ):
        assert valid in text
        (tmp_path / "bad.toml").write_text(text.replace(valid, invalid))
        problems = [str(finding.problem) for finding in read_report(str(tmp_path / "bad.toml")).findings]
        assert len(problems) == 1 and message in problems[0] and int(problems[0].split(":")[0]) > 0, problems
    remote_address = text.replace('embedded = ""', 'embedded = "x"').replace("127.0.0.1:2", "10.0.0.1:2")
    (tmp_path / "bad.toml").write_text(remote_address)
    (finding,) = read_report(str(tmp_path / "bad.toml")).findings
    assert "fleet.embedded" in str(finding.problem)
    assert "one address of this machine" in str(finding.problem)


@pytest.mark.parametrize("point", CRASH_POINTS)
def test_counts_agree_with_the_clients_after_proxies_are_killed_at_a_crash_point(
    point: str, tmp_path: Path
) -> None:
    async def run() -> None:
        async with Harness(tmp_path, ("a",), 1) as harness, Client(harness.addresses) as client:
            async with Backend() as backend:
                await harness.wait_until_available()
                fleet = Fleet(harness, tmp_path, backend.address)
                for crash_at in CRASH_POINTS[point]:
                    crashing, port = await fleet.start_proxy("one", HERONREEL_END_AT=crash_at)
                    async with asyncio.timeout(60):
                        while crashing.process.returncode is None:
                            for tenant in TENANTS:
                                if not await fleet.clients.send(port, tenant, 3):
                                    break
                            await asyncio.sleep(0.01)
                    assert crashing.process.returncode == -signal.SIGKILL
                last, port = await fleet.start_proxy("one")
                await fleet.clients.send(port, "etna", 5)
                usage = await fleet.settled_usage(client)
                check_usage(usage, fleet.clients)
                last.send_signal(signal.SIGTERM)
                assert await last.wait_for_exit() == 0
                usage = await fleet.usage(client)
                check_usage(usage, fleet.clients, all_in_periods=False)

    asyncio.run(run())


def test_each_response_is_counted_once_while_proxies_and_the_leader_are_killed(tmp_path: Path) -> None:
    """The task that closes periods runs on the proxies, so its holder is killed as well."""

    async def run() -> None:
        async with Harness(tmp_path, ("a", "b", "c"), 2) as harness, Client(harness.addresses) as client:
            async with Backend() as backend:
                await harness.wait_until_healthy()
                fleet = Fleet(harness, tmp_path, backend.address)
                names = ("p", "q", "r")
                running = {name: await fleet.start_proxy(name) for name in names}
                for round_ in range(4):
                    for name, (_, port) in running.items():
                        assert await fleet.clients.send(port, TENANTS[round_ % 2], 20), name
                    killed = names[round_ % 3]
                    await running[killed][0].kill()
                    if round_ == 1:
                        leader = await harness.wait_for_leader()
                        await harness.members[leader].kill()
                        await harness.start_member(leader)
                    running[killed] = await fleet.start_proxy(killed)
                for name in names[1:]:
                    running[name][0].send_signal(signal.SIGTERM)
                    assert await running[name][0].wait_for_exit() == 0
                usage = await fleet.settled_usage(client)
                check_usage(usage, fleet.clients)
                printed = json.loads(await asyncio.to_thread(harness.run_command, "counts", "--json"))
                assert printed["ever"] == usage["ever"] and len(printed["periods"]) == 1
                assert 240 <= sum(row["served"] + row["unknown"] for row in usage["ever"].values()) <= 244

    asyncio.run(run())
