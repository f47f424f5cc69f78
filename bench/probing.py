"""Probing calls over a fleet, each proxy for itself and once a zone.

`python bench/probing.py [PROXIES] [SERVERS]`

Real proxies in two zones, a group of one, servers that count who calls; calls a second over ten seconds.
"""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from pathlib import Path

from aiohttp import web

from heronreel.coordination.client import Client
from heronreel.coordination.model import Range, RangeResponse
from heronreel.fault_injection.harness import Harness
from heronreel.health.report import key_of

EVERY_MS = 1000
SECONDS = 10.0


def routes(name: str, zone: str, ports: list[int], group: list[str]) -> str:
    fleet = f"[fleet]\ngroup = {json.dumps(group)}\nlease_s = 6" if group else ""
    members = "".join(
        f'[[pools.members]]\nname = "m{place}"\naddress = "127.0.0.1:{port}"\n'
        for place, port in enumerate(ports)
    )
    return (
        f'[proxy]\nname = "{name}"\nzone = "{zone}"\n[[listeners]]\nname = "in"\naddress = "127.0.0.1:0"\n'
        f'[probe]\npath = "/health"\nevery_ms = {EVERY_MS}\n{fleet}\n[[pools]]\nname = "p"\n{members}'
        '[[routes]]\nname = "all"\nmatch = { path_prefix = "/", methods = ["GET"] }\neffect = "safe"\n'
        'deadline_ms = 2000\npool = "p"\n'
    )


async def measured(folder: Path, proxies: int, servers: int, shared: bool) -> float:
    calls = 0

    async def health(_: web.Request) -> web.Response:
        nonlocal calls
        calls += 1
        return web.Response()

    app = web.Application()
    app.router.add_get("/health", health)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    ports = []
    for _ in range(servers):
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        ports.append(site._server.sockets[0].getsockname()[1])  # type: ignore[union-attr]
    async with Harness(folder, ("a",), 1) as harness, Client(harness.addresses) as client:
        await harness.wait_until_available()
        group = harness.addresses if shared else []
        started = []
        for number in range(proxies):
            path = folder / f"x{number}.toml"
            path.write_text(routes(f"x{number}", f"z{number % 2}", ports, group))
            started.append(await harness.start_process(f"x{number}", "heronreel.cli", "serve", str(path)))
        for process in started:
            await process.wait_for_line("listening on", timeout_s=120)
        for zone in ("z0", "z1"):
            while shared:
                found = await client.call(Range(key_of(zone)), 5.0)
                assert isinstance(found, RangeResponse)
                if found.records:
                    break
                await asyncio.sleep(0.2)
        await asyncio.sleep(2.0)
        before = calls
        await asyncio.sleep(SECONDS)
        rate = (calls - before) / SECONDS
    await runner.cleanup()
    return rate


async def main(proxies: int, servers: int) -> None:
    for shared in (False, True):
        with tempfile.TemporaryDirectory() as folder:
            rate = await measured(Path(folder), proxies, servers, shared)
        how = "once a zone" if shared else "each for itself"
        what = f"{proxies} proxies in 2 zones, {servers} servers, every {EVERY_MS} ms"
        print(f"{what}, {how}: {rate:.1f} calls/s", flush=True)


if __name__ == "__main__":
    asyncio.run(main(*(int(word) for word in (sys.argv[1:] or ["20", "10"]))))
