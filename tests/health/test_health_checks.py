"""Probing of a file's own servers: by a proxy alone, and once a zone through kills of whoever does it."""

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
from heronreel.coordination.model import Put, Range, RangeResponse
from heronreel.fault_injection.processes import Harness, Process
from heronreel.health.checks import Health, Member, Rules, believed
from heronreel.health.report import Heard, Report, decoded, key_of, task_of, telling
from tests.support.loopback import Listener, ok, read_request
from tests.support.serve_process import get, served

RULES = Rules("/health", fall=3, rise=2)
M = Member("p", "m")


@settings(max_examples=200, deadline=None)
@given(st.lists(st.booleans(), max_size=40), st.integers(1, 4), st.integers(1, 4))
def test_down_after_so_many_failures_in_a_row_and_up_after_so_many_successes(
    results: list[bool], fall: int, rise: int
) -> None:
    health = Health(RULES._replace(fall=fall, rise=rise))
    down = False
    for place, ok_ in enumerate(results):
        row = 0
        while row <= place and results[place - row] is ok_:
            row += 1
        was, down = down, (down and not (ok_ and row >= rise)) or (not ok_ and row >= fall)
        assert health.observe(M, ok_) == (was != down) and (M in health.fallen) == down


def test_a_prober_that_finds_most_of_a_pool_down_is_not_believed() -> None:
    members = [Member("p", f"m{n}") for n in range(4)] + [Member("q", "one")]
    assert believed(members[:2], members) == set(members[:2])
    assert believed(members[:3], members) == set() == believed([members[4]], members)
    assert believed([Member("p", "gone"), members[0]], members) == {members[0]}


@settings(max_examples=100, deadline=None)
@given(st.integers(0, 1 << 30))
def test_what_is_told_late_or_not_at_all_is_not_believed(seed: int) -> None:
    rng = random.Random(seed)
    heard, now, newest, when = Heard(8.0, 0.0), 0.0, (0, 0), -100.0
    reports = [Report(r, "x", n, 1, (("p", f"m{n}-{r}"),)) for n in (5, 9, 12) for r in (1, 2, 3)]
    for _ in range(60):
        now += rng.choice((0.1, 1.0, 9.0))
        report = rng.choice(reports)
        mark = report.number, report.round
        fresh = mark > newest or (mark != newest and now >= when + 8.0)
        assert heard.told(report, now) == fresh
        if fresh:
            newest, when = mark, now
        down = heard.down(now + 1.0)
        assert down == (heard.report.members if heard.report and now + 1.0 < when + 8.0 else frozenset())
    assert decoded(b"no report") is None and not heard.told(None, now)


class Server(Listener):
    """Answers probes as it is told to, and counts them and requests."""

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


async def asked(port: int, count: int = 12) -> None:
    for _ in range(count):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(get("/ride"))
        assert b" 200 " in await reader.readline()
        writer.close()


async def left_alone(server: Server, ports: list[int], alone: bool = True) -> None:
    """Wait until none of the proxies sends it anything, or until all do."""
    async with asyncio.timeout(40):
        for port in ports:
            while True:
                before = server.requests
                await asked(port)
                if (server.requests == before) == alone:
                    break
                await asyncio.sleep(0.05)


def test_a_proxy_alone_leaves_a_server_that_is_down_until_it_is_up(tmp_path: Path) -> None:
    async def run() -> None:
        async with Server() as one, Server() as two, Server() as three:
            async with served(tmp_path, routes("x", "z", [one, two, three], [])) as proxy:
                await left_alone(two, [proxy.ports["in"]], alone=False)
                two.healthy = False
                await proxy.log_line("p/m1 is down")
                await left_alone(two, [proxy.ports["in"]])
                one.healthy = three.healthy = False  # more likely that the probes are wrong
                await proxy.log_line("p/m1 is not known to be down any more")
                await left_alone(two, [proxy.ports["in"]], alone=False)

    asyncio.run(asyncio.wait_for(run(), 60))


def test_one_probes_for_a_zone_and_another_goes_on_where_it_is_killed(tmp_path: Path) -> None:
    async def run() -> None:
        async with Server() as one, Server() as two, Server() as three:
            servers = [one, two, three]
            async with Harness(tmp_path, ("a",), 1) as harness, Client(harness.addresses) as client:
                await harness.serves()
                proxies: dict[str, Process] = {}
                ports: dict[str, int] = {}
                for name, zone in (("x1", "x"), ("x2", "x"), ("x3", "x"), ("y1", "y"), ("y2", "y")):
                    path = tmp_path / f"{name}.toml"
                    path.write_text(routes(name, zone, servers, harness.addresses))
                    proxies[name] = await harness.run(name, "heronreel.cli", "serve", str(path))
                    line = await proxies[name].line("listening on")
                    ports[name] = int(line.split("127.0.0.1:")[1].split()[0])

                async def report(zone: str, beyond: int = 0) -> Report:
                    async with asyncio.timeout(40):
                        while True:
                            found = await client.call(Range(key_of(zone)), 5.0)
                            assert isinstance(found, RangeResponse)
                            told = decoded(found.records[0][1].value) if found.records else None
                            if told is not None and told.round > beyond:
                                return told
                            await asyncio.sleep(0.05)

                await report("x")
                await report("y")
                counts, began = [server.probes for server in servers], time.monotonic()
                await report("x", (await report("x")).round + 5)
                rounds = (time.monotonic() - began) / 0.1 + 2
                for server, before in zip(servers, counts, strict=True):
                    assert server.probes - before <= 2 * rounds  # two zones, and not five proxies
                two.healthy = False
                await left_alone(two, list(ports.values()))
                prober = (await report("x")).by
                await proxies[prober].kill()
                del ports[prober]
                number = (await report("x")).number
                last = (await report("x")).round
                after = await report("x", last)
                assert after.by != prober and after.number > number and after.down == (("p", "m1"),)
                await left_alone(two, list(ports.values()))
                # what the killed one would still have told is refused by the group
                late = Report(last + 99, prober, number, 3)
                done = await client.call(telling("x", late))
                assert not done.succeeded and done.results[0].records  # type: ignore[union-attr]
                two.healthy = True
                await left_alone(two, list(ports.values()), alone=False)
                two.healthy = False
                await left_alone(two, list(ports.values()))
                await harness.members["a"].kill()  # nobody tells any more: nobody is known to be down
                await left_alone(two, list(ports.values()), alone=False)
                for name in ports:
                    proxies[name].signal(signal.SIGTERM)
                    assert await proxies[name].ended() == 0

    asyncio.run(run())


def test_a_report_of_nonsense_is_passed_over() -> None:
    assert task_of("") == "probe" and task_of("z") == "probe-z" and key_of("z") == b"probe/z"
    txn = telling("z", Report(1, "x", 7, 3, tuple(("p", f"m{n}") for n in range(5000))))
    put = txn.success[0]
    assert isinstance(put, Put) and len(put.value) < 64 << 10
