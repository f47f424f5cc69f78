"""What clients see of a fleet without the capacity for their requests."""

import asyncio
from copy import deepcopy
from pathlib import Path

from tests.support.loopback import (
    Backend,
    Discovery,
    configuration,
    entry,
    ok,
    read_head,
    read_response,
    request,
    run,
    running_proxy,
)

FULL = b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"


def test_tenants_within_their_quotas_are_served_by_the_proxy_that_gets_all_their_requests(
    tmp_path: Path,
) -> None:
    """Proxies know the quotas of all together; one whose peers restart must not take it all for too much."""

    async def scenario() -> None:
        all_in_flight = asyncio.Event()
        known_to: set[str] = set()

        def full_at_first(head: dict[str, str], body: bytes) -> bytes | None:
            ident = head["x-request-id"]
            if ident not in known_to:  # every request takes two attempts, which is a sign of overload
                known_to.add(ident)
                return FULL
            if ident.startswith("h"):  # no response: what is in flight makes for long latencies
                if ident == "h99":
                    all_in_flight.set()
                return None
            return ok(b"ride")

        async with Backend(full_at_first) as one, Backend(full_at_first) as two:
            known = [entry("b1", one.address), entry("b2", two.address)]
            async with Discovery(*known) as discovery:
                config = configuration(discovery.address, *known, sockets=1024)
                config["settings"] = settings = deepcopy(config["settings"])
                settings["Balancers"] = 500
                settings["Categories"][0]["OnTimeMs"] = 50.0
                settings["Tenants"] = [
                    {"Name": "a", "Portion": 0.5, "QuotaPerS": 20_000.0},
                    {"Name": "b", "Portion": 0.5, "QuotaPerS": 20_000.0},
                ]
                async with running_proxy(tmp_path, config) as proxy:
                    writers = []
                    for number in range(100):
                        _, writer = await proxy.connect()
                        writer.write(request(f"h{number}", extra=f"X-Tenant: {'ab'[number % 2]}\r\n"))
                        writers.append(writer)
                    await all_in_flight.wait()
                    reader, writer = await proxy.connect()
                    loop = asyncio.get_running_loop()
                    statuses: list[str] = []

                    async def send(tenant: str) -> None:
                        writer.write(request(f"q{len(statuses)}", extra=f"X-Tenant: {tenant}\r\n"))
                        statuses.append((await read_response(reader))[0])

                    until = loop.time() + 2.0
                    while loop.time() < until:
                        await send("ab"[len(statuses) % 2])
                    late = statuses[len(statuses) // 2 :]  # a rise is seen after a while
                    assert late.count("200") > 0.8 * len(late) > 25, (late.count("200"), len(late))
                    for writer in writers:
                        writer.close()

    run(scenario())


def test_retry_after_is_as_long_as_the_overload_has_lasted(tmp_path: Path) -> None:
    """Soon at first, so that a retry may be in time; later and spread out when it would be late anyway."""

    async def scenario() -> None:
        short = True
        async with Backend(lambda head, body: FULL if short else ok(b"ride")) as one:
            known = [entry("b1", one.address)]
            async with Discovery(*known) as discovery:
                config = configuration(discovery.address, *known)
                config["settings"] = settings = deepcopy(config["settings"])
                settings["Categories"][0]["OnTimeMs"] = 200.0
                settings["Limits"] |= {"RetryAfter": True, "MaxRetryAfterMs": 5000.0}
                async with running_proxy(tmp_path, config) as proxy:
                    reader, writer = await proxy.connect()
                    sent = 0

                    async def retry_after() -> float | None:
                        nonlocal sent
                        sent += 1
                        writer.write(request(f"q{sent}"))
                        head = await read_head(reader)
                        await reader.readexactly(int(head["content-length"]))
                        return float(head["retry-after"]) if head[""].split()[1] == "503" else None

                    first = await retry_after()
                    assert first is not None and 0.02 < first < 0.08
                    while (now := await retry_after()) is None or now < 1.0:
                        pass
                    several = {await retry_after() for _ in range(20)}
                    assert len(several) > 10
                    short = False
                    calm_from = asyncio.get_running_loop().time()
                    while asyncio.get_running_loop().time() < calm_from + 1.0:
                        assert await retry_after() is None
                    short = True
                    again = await retry_after()
                    assert again is not None and again < 0.08

    run(scenario())
