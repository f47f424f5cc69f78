"""The count of requests by tenant on real proxies, each killed at every point of its way."""

from __future__ import annotations

import asyncio
import json
import re
import signal
import subprocess
import sys
from collections import Counter
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest

from heronreel.coordination.client import Client
from heronreel.coordination.model import RequestError
from heronreel.fault_injection.processes import ROOT, Harness, Process
from heronreel.leases.overview import lease_overview
from heronreel.metering import overview
from heronreel.serve.program import read_report
from tests.support.loopback import Backend, free_port, read_response
from tests.support.serve_process import get, gets_to

TENANTS = ("etna", "madonie")
USUAL = ("count", "counted", "seal", "sealed", "ask", "told", "confirm", "confirmed", "close", "closed")
ENDS = {point: (f"{point}:2", f"{point}:5") for point in USUAL}  # of the first process and of the second
ENDS |= {point: ("counted:4", f"{point}:1") for point in ("adopt", "adopted", "over")}


def routes(folder: Path, name: str, backend: str, group: list[str], embedded: str = "") -> Path:
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


def test_a_machine_of_its_own_needs_no_group_beside_its_proxies(tmp_path: Path) -> None:
    """Whichever proxy has the disk serves the group; killed, another goes on with what was agreed."""

    async def run() -> None:
        address = f"127.0.0.1:{free_port()}"
        running: dict[str, Process] = {}
        clients = Clients()
        async with Backend() as backend, Client([address]) as client:

            async def start(name: str) -> int:
                path = routes(tmp_path, name, backend.address, [address], str(tmp_path / "group"))
                words = ("heronreel.cli", "serve", str(path))
                running[name] = await Process.start(name, words)
                line = await running[name].line("listening on")
                return int(line.split("127.0.0.1:")[1].split()[0])

            async def there(count: int) -> None:
                async with asyncio.timeout(40):
                    while True:
                        try:
                            if len((await lease_overview(client))["present"]) == count:
                                return
                        except RequestError:
                            pass
                        await asyncio.sleep(0.05)

            try:
                ports = [await start("one")]
                await running["one"].line('"listens"')
                ports.append(await start("two"))
                await there(2)
                for port in ports:
                    assert await clients.ask(port, "etna", 10)
                await running["one"].kill()
                await running["two"].line('"listens"')
                await start("one")
                await there(2)
                async with asyncio.timeout(40):
                    told = 0
                    while told < 20:
                        with suppress(RequestError):
                            rows = (await overview.counts(client, 1))["ever"].get("etna", {})
                            told = rows.get("served", 0) + rows.get("unknown", 0)
                        await asyncio.sleep(0.05)
                assert told <= 21 and clients.served["etna"] == 20
                for process in running.values():
                    process.signal(signal.SIGTERM)
                    assert await process.ended() == 0
            finally:
                for process in running.values():
                    if process.process.returncode is None:
                        await process.kill()

    asyncio.run(run())


class Clients:
    """What clients of one proxy heard: answers by tenant, and requests of which they heard nothing."""

    def __init__(self) -> None:
        self.served: Counter[str] = Counter()
        self.nothing: Counter[str] = Counter()

    async def ask(self, port: int, tenant: str, count: int) -> bool:
        """So many requests on one connection; False where it broke."""
        asked = False
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            for _ in range(count):
                writer.write(get("/ride", extra=f"X-Tenant: {tenant}\r\n"))
                asked = True
                status, _ = await read_response(reader)
                if status == "closed":
                    break
                asked = False
                assert status == "200"
                self.served[tenant] += 1
            writer.close()
        except OSError:
            pass
        self.nothing[tenant] += asked
        return not asked


class Fleet:
    """Proxies on one group; what was counted is read from the group, what was served from the clients."""

    def __init__(self, harness: Harness, folder: Path, backend: str) -> None:
        self.harness = harness
        self.folder = folder
        self.backend = backend
        self.clients = Clients()

    async def proxy(self, name: str, **env: str) -> tuple[Process, int]:
        path = routes(self.folder, name, self.backend, self.harness.addresses)
        process = await self.harness.run(name, "heronreel.cli", "serve", str(path), **env)
        line = await process.line("listening on")
        return process, int(line.split("127.0.0.1:")[1].split()[0])

    async def counts(self, client: Client) -> dict[str, Any]:
        while True:
            try:
                return await overview.counts(client, 96)
            except RequestError:
                await asyncio.sleep(0.02)

    def arrived(self, rows: dict[str, Any], tenant: str) -> bool:
        told = rows["ever"].get(tenant, {"served": 0, "unknown": 0})
        return bool(told["served"] + told["unknown"] >= self.clients.served[tenant])

    async def settled(self, client: Client) -> dict[str, Any]:
        """Wait until nothing but the last proxy's own book is left, and all is in closed periods."""
        async with asyncio.timeout(60):
            while True:
                rows = await self.counts(client)
                closed = not any(row["served"] for row in rows["open"].values()) and len(rows["books"]) <= 1
                left = list(self.folder.glob("counts-*/*.counts"))
                if closed and len(left) <= 1 and all(self.arrived(rows, tenant) for tenant in TENANTS):
                    return rows
                await asyncio.sleep(0.05)


def judged(rows: dict[str, Any], clients: Clients) -> None:
    """Known is never more than what clients were served, and with what is unknown never less."""
    periods: Counter[str] = Counter()
    for row in rows["periods"]:
        for tenant, counts in row["counts"].items():
            periods[tenant] += counts["served"]
    for tenant in TENANTS:
        told = rows["ever"].get(tenant, {"served": 0, "unknown": 0})
        served, nothing = clients.served[tenant], clients.nothing[tenant]
        print(tenant, told, "clients were served", served, "heard nothing of", nothing)
        assert told["served"] <= served + nothing
        assert served <= told["served"] + told["unknown"]
        assert told["unknown"] <= nothing + 1  # an answer that had gone out when its process was killed
        if not told["unknown"]:
            assert told["served"] - nothing <= served <= told["served"]
        if rows["closed"] <= 96:
            assert periods[tenant] == told["served"]


def test_every_point_that_is_announced_is_among_those_played() -> None:
    texts = [path.read_text() for path in (ROOT / "heronreel" / "metering").glob("*.py")]
    assert set(re.findall(r'points\.reach\("(\w+)"\)', "".join(texts))) == set(ENDS)


def test_a_proxy_that_is_in_no_fleet_loads_nothing_of_it() -> None:
    code = "import sys, heronreel.serve.program; print(*sys.modules)"
    loaded = subprocess.check_output([sys.executable, "-c", code], cwd=ROOT, text=True).split()
    of_a_fleet = {"aiohttp", "heronreel.coordination", "heronreel.coordinator", "heronreel.leases"}
    assert "heronreel.serve" in loaded and not of_a_fleet & set(loaded)


def test_a_table_that_is_wrong_is_told_with_line_and_what_would_be_right(tmp_path: Path) -> None:
    text = routes(tmp_path, "one", "127.0.0.1:1", ["127.0.0.1:2"]).read_text()
    for good, bad, words in (
        ('group = ["127.0.0.1:2"]', "group = []", "expected a list of 1 to 7 addresses"),
        ('group = ["127.0.0.1:2"]', 'group = ["there:2"]', "expected an IP address and a port"),
        ("lease_s = 2", "lease_s = 1", "lease_s: is 1; at least 1.8"),
        ('embedded = ""', 'embedded = "x"\ngroup2 = 1', "did you mean 'group'?"),
        (f'folder = "{tmp_path}/counts-one"', "", "fleet.folder: is missing"),
        ("count_s = 0.2", "counts = 3", "did you mean 'count_s'?"),
        ("count_s = 0.2", "budgets = { slow = { calls = 1 } }", "known here: urgent, usual, idle"),
        ("count_s = 0.2", "budgets = { idle = { calls = -1 } }", "expected calls a second from 0"),
    ):
        assert good in text
        (tmp_path / "bad.toml").write_text(text.replace(good, bad))
        told = [str(finding.problem) for finding in read_report(str(tmp_path / "bad.toml")).findings]
        assert len(told) == 1 and words in told[0] and int(told[0].split(":")[0]) > 0, told
    away = text.replace('embedded = ""', 'embedded = "x"').replace("127.0.0.1:2", "10.0.0.1:2")
    (tmp_path / "bad.toml").write_text(away)
    (found,) = read_report(str(tmp_path / "bad.toml")).findings
    assert "fleet.embedded" in str(found.problem) and "one address of this machine" in str(found.problem)


@pytest.mark.parametrize("point", ENDS)
def test_a_proxy_killed_at_a_point_counts_what_its_clients_were_served(point: str, tmp_path: Path) -> None:
    async def run() -> None:
        async with Harness(tmp_path, ("a",), 1) as harness, Client(harness.addresses) as client:
            async with Backend() as backend:
                await harness.serves()
                fleet = Fleet(harness, tmp_path, backend.address)
                for end in ENDS[point]:
                    doomed, port = await fleet.proxy("one", HERONREEL_END_AT=end)
                    async with asyncio.timeout(60):
                        while doomed.process.returncode is None:
                            for tenant in TENANTS:
                                if not await fleet.clients.ask(port, tenant, 3):
                                    break
                            await asyncio.sleep(0.01)
                    assert doomed.process.returncode == -signal.SIGKILL
                last, port = await fleet.proxy("one")
                await fleet.clients.ask(port, "etna", 5)
                rows = await fleet.settled(client)
                judged(rows, fleet.clients)
                last.signal(signal.SIGTERM)
                assert await last.ended() == 0
                rows = await fleet.counts(client)
                judged(rows | {"periods": [], "closed": 97}, fleet.clients)

    asyncio.run(run())


def test_a_fleet_counts_each_answer_once_through_kills_of_proxies_and_of_the_leader(tmp_path: Path) -> None:
    """The closing task runs on the proxies themselves: whoever holds it is killed with the rest."""

    async def run() -> None:
        async with Harness(tmp_path, ("a", "b", "c"), 2) as harness, Client(harness.addresses) as client:
            async with Backend() as backend:
                await harness.whole()
                fleet = Fleet(harness, tmp_path, backend.address)
                names = ("p", "q", "r")
                running = {name: await fleet.proxy(name) for name in names}
                for turn in range(4):
                    for name, (_, port) in running.items():
                        assert await fleet.clients.ask(port, TENANTS[turn % 2], 20), name
                    doomed = names[turn % 3]
                    await running[doomed][0].kill()
                    if turn == 1:
                        leader = await harness.leader()
                        await harness.members[leader].kill()
                        await harness.start(leader)
                    running[doomed] = await fleet.proxy(doomed)
                for name in names[1:]:
                    running[name][0].signal(signal.SIGTERM)
                    assert await running[name][0].ended() == 0
                rows = await fleet.settled(client)
                judged(rows, fleet.clients)
                told = json.loads(await asyncio.to_thread(harness.said, "counts", "--json"))
                assert told["ever"] == rows["ever"] and len(told["periods"]) == 1
                assert 240 <= sum(row["served"] + row["unknown"] for row in rows["ever"].values()) <= 244

    asyncio.run(run())
