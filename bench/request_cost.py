"""Measures the processor time that a routes file adds to a request over sockets, as a ratio in one run.

    .venv-cli/bin/python bench/request_cost.py [--rounds 6] [--routes 1000] [--other CHECKOUT [--module NAME]]

The platform's program and `heronreel serve` run concurrently with the same stub servers and alternately get
the same requests on 16 persistent connections each.  With `--other`, the program of another checkout
alternates with them; `--module` is the module that starts it, if it had another name then.  Ratios are
computed for pairs of rounds, so that noise is visible.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import re
import socket
import sys
import tempfile
from collections import Counter
from contextlib import AsyncExitStack
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from heronreel.stubs.http_client import ClientStats, HttpClient
from heronreel.stubs.http_server import DeduplicationGroup, ServerBehaviour, StubServer

NODES = 8
CONNECTIONS = 16
BATCH_REQUESTS = 1500
CLASS = {
    "Name": "r7", "OnTimeMs": 500.0, "HardLimitMs": 2500.0, "Effect": "deduplicated", "DedupScope": "cell",
    "RepeatWindowMs": 5000.0,
}  # fmt: skip


def platform_file(nodes: list[StubServer]) -> dict[str, object]:
    entries = [
        {
            "name": n.name,
            "address": f"{n.address[0]}:{n.address[1]}",
            "group": 1,
            "status": "active",
            "since_ms": 0,
        }
        for n in nodes
    ]
    return {
        "seed": "1", "discovery": "127.0.0.1:9", "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 1024},
        "known": {"index": 1, "snapshot": True, "endpoints": entries},
        # Polling causes few calls to the missing discovery service, so that the log has little
        # besides the line that `start` waits for.
        "settings": {
            "Categories": [CLASS], "Limits": {"MostTries": 2, "ConnectTimeoutMs": 250.0}, "Discovery": "ask",
        },
    }  # fmt: skip


def routes_file(nodes: list[StubServer], routes: int) -> str:
    members = "".join(
        f'[[pools.members]]\nname = "{n.name}"\naddress = "{n.address[0]}:{n.address[1]}"\nrack = "r1"\n'
        for n in nodes
    )
    body = 'window_ms = 5000\nattempts = 2\nattempt_timeout_ms = 900\nretry_on = ["not-run", "timeout"]\n'
    tables = "".join(
        f'[[routes]]\nname = "r{n}"\nmatch = {{ path_prefix = "/r{n}", methods = ["POST"] }}\n'
        f'pool = "p"\neffect = "keyed"\n{body}'
        for n in range(routes)
    )
    listener = '[[listeners]]\nname = "in"\naddress = "127.0.0.1:0"\n'
    return f'{listener}[[pools]]\nname = "p"\n{members}[defaults]\ndeadline_ms = 2500\naim_ms = 500\n{tables}'


def processor_s(pid: int) -> float:
    """Return the processor seconds of a process's threads in nanosecond resolution; `stat` has only 10 ms."""
    threads = Path(f"/proc/{pid}/task").iterdir()
    return sum(int((thread / "schedstat").read_text().split()[0]) for thread in threads) / 1e9


async def start(
    arguments: list[str], env: dict[str, str], checkout: Path = ROOT
) -> tuple[asyncio.subprocess.Process, tuple[str, int]]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        *arguments,
        cwd=checkout,
        env={**os.environ, **env},
        stderr=asyncio.subprocess.PIPE,
    )
    assert process.stderr
    while line := (await process.stderr.readline()).decode():
        if found := re.search(r"listening on (\S+):(\d+)", line):
            return process, (found[1], int(found[2]))
    raise SystemExit(f"{arguments[0]} did not start")


async def send_batch(clients: HttpClient, first: int) -> None:
    left = iter(range(first, first + BATCH_REQUESTS))

    async def send_requests() -> None:
        for number in left:
            lines = f"Host: h\r\nX-Request-Id: q{number}\r\nX-Class: r7\r\nIdempotency-Key: k{number}\r\n"
            lines += "X-Cost-Hint: 5000\r\nContent-Length: 4\r\n"
            data = f"POST /r7/x{number % 500} HTTP/1.1\r\n{lines}\r\nride"
            await clients.request("r7", data.encode())

    await asyncio.gather(*(send_requests() for _ in range(CONNECTIONS)))


async def measure(rounds: int, routes: int, other: Path | None, module: str) -> None:
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        rack, effects = DeduplicationGroup("r1"), Counter[bytes]()
        nodes = [
            await stack.enter_async_context(
                StubServer(f"n{n}", rack, ServerBehaviour(work_s=0.004), effects, n)
            )
            for n in range(NODES)
        ]
        (folder / "config.json").write_text(json.dumps(platform_file(nodes)))
        (folder / "routes.toml").write_text(routes_file(nodes, routes))
        programs = [
            (["heronreel.proxy"], ROOT),
            (["heronreel.cli", "serve", str(folder / "routes.toml")], ROOT),
        ]
        if other:
            programs.append(([module], other))
        running = []
        for arguments, checkout in programs:
            env = {
                "LB_NAME": "n", "LB_LISTEN": f"127.0.0.1:{free_port()}", "LB_CONFIG": f"{folder}/config.json"
            }  # fmt: skip
            process, address = await start(arguments, env, checkout)
            stack.callback(process.kill)
            stats = ClientStats()
            running.append((process.pid, HttpClient(address, stats), stats))
        costs: list[list[float]] = [[] for _ in running]
        for round_number in range(rounds + 1):
            for index, (pid, clients, _) in enumerate(running):
                before = processor_s(pid)
                await send_batch(clients, (len(running) * round_number + index) * BATCH_REQUESTS)
                if round_number:  # the first round is a warm-up
                    costs[index].append((processor_s(pid) - before) / BATCH_REQUESTS * 1e6)
    for (_, _, stats), name, row in zip(running, ("platform", "routes", "other"), costs, strict=False):
        mean, served = sum(row) / len(row), f"{stats.counts['served']:,} of {stats.requests:,} served"
        print(f"{name:9} {mean:6.0f} us per request ({min(row):.0f} to {max(row):.0f}), {served}")
    print_ratio(f"ratio with {routes:,} routes", costs[1], costs[0])
    if other:
        print_ratio("ratio to the other checkout", costs[0], costs[2])


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def print_ratio(label: str, costs: list[float], reference: list[float]) -> None:
    ratios = sorted(cost / base for cost, base in zip(costs, reference, strict=True))
    of_sums = sum(costs) / sum(reference)
    median = ratios[len(ratios) // 2]
    print(
        f"{label}: median {median:.2f} ({ratios[0]:.2f} to {ratios[-1]:.2f}), ratio of the sums {of_sums:.3f}"
    )


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--rounds", type=int, default=6)
    parser.add_argument("--routes", type=int, default=1000)
    parser.add_argument("--other", type=Path)
    parser.add_argument("--module", default="heronreel.proxy")
    options = parser.parse_args()
    asyncio.run(measure(options.rounds, options.routes, options.other, options.module))


if __name__ == "__main__":
    main()
