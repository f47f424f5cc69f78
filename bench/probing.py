"""Measures health check probes per second, with a prober in each proxy and with one prober per zone.

`python bench/probing.py [PROXIES] [SERVERS]`

Runs real proxies in two zones, a group with one member, and servers that count their probes.  Rates are
averages over ten seconds.
"""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from aiohttp import web

from heronreel.coordination.client import Client
from heronreel.coordination.model import Range, RangeResponse
from heronreel.fault_injection.harness import Harness
from heronreel.health.report import report_key

INTERVAL_MS = 1000
WARM_UP_S = 2.0
MEASURED_S = 10.0
ZONES = ("z0", "z1")


class Servers:
    """Healthy servers that count all probes."""

    def __init__(self) -> None:
        self.ports: list[int] = []
        self.probes = 0

    async def health(self, _: web.Request) -> web.Response:
        self.probes += 1
        return web.Response()


@asynccontextmanager
async def running_servers(count: int) -> AsyncIterator[Servers]:
    servers = Servers()
    app = web.Application()
    app.router.add_get("/health", servers.health)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    for _ in range(count):
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        servers.ports.append(site._server.sockets[0].getsockname()[1])  # type: ignore[union-attr]
    try:
        yield servers
    finally:
        await runner.cleanup()


def routes(name: str, zone: str, ports: list[int], group: list[str]) -> str:
    fleet = f"[fleet]\ngroup = {json.dumps(group)}\nlease_s = 6" if group else ""
    members = "".join(
        f'[[pools.members]]\nname = "m{index}"\naddress = "127.0.0.1:{port}"\n'
        for index, port in enumerate(ports)
    )
    return (
        f'[proxy]\nname = "{name}"\nzone = "{zone}"\n[[listeners]]\nname = "in"\naddress = "127.0.0.1:0"\n'
        f'[probe]\npath = "/health"\nevery_ms = {INTERVAL_MS}\n{fleet}\n[[pools]]\nname = "p"\n{members}'
        '[[routes]]\nname = "all"\nmatch = { path_prefix = "/", methods = ["GET"] }\neffect = "safe"\n'
        'deadline_ms = 2000\npool = "p"\n'
    )


async def start_proxies(harness: Harness, count: int, ports: list[int], group: list[str]) -> None:
    started = []
    for number in range(count):
        path = harness.folder / f"x{number}.toml"
        path.write_text(routes(f"x{number}", ZONES[number % len(ZONES)], ports, group))
        started.append(await harness.start_process(f"x{number}", "heronreel.cli", "serve", str(path)))
    for process in started:
        await process.wait_for_line("listening on", timeout_s=120)


async def wait_for_report(client: Client, zone: str) -> None:
    while True:
        response = await client.call(Range(report_key(zone)), 5.0)
        assert isinstance(response, RangeResponse)
        if response.records:
            return
        await asyncio.sleep(0.2)


async def probes_per_second(folder: Path, proxies: int, servers: int, shared: bool) -> float:
    async with (
        running_servers(servers) as probed,
        Harness(folder, ("a",), 1) as harness,
        Client(harness.addresses) as client,
    ):
        await harness.wait_until_available()
        await start_proxies(harness, proxies, probed.ports, harness.addresses if shared else [])
        if shared:
            for zone in ZONES:
                await wait_for_report(client, zone)
        await asyncio.sleep(WARM_UP_S)
        count_before = probed.probes
        await asyncio.sleep(MEASURED_S)
        return (probed.probes - count_before) / MEASURED_S


async def main(proxies: int, servers: int) -> None:
    setting = f"{proxies} proxies in {len(ZONES)} zones, {servers} servers, every {INTERVAL_MS} ms"
    for shared in (False, True):
        with tempfile.TemporaryDirectory() as folder:
            rate = await probes_per_second(Path(folder), proxies, servers, shared)
        mode = "one prober per zone" if shared else "a prober in each proxy"
        print(f"{setting}, {mode}: {rate:.1f} probes/s", flush=True)


if __name__ == "__main__":
    asyncio.run(main(*(int(argument) for argument in (sys.argv[1:] or ["20", "10"]))))
