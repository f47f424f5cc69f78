"""Responses that clients get while the backends are overloaded."""

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

NOT_RUN_RESPONSE = b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"


def test_a_proxy_that_gets_all_requests_of_tenants_serves_them_within_their_quotas(
    tmp_path: Path,
) -> None:
    """Quotas apply to all proxies together.

    A proxy whose peers restart receives the requests of all tenants and must not treat them as over the
    quota.
    """

    async def scenario() -> None:
        all_in_flight = asyncio.Event()
        seen_ids: set[str] = set()

        def reject_first_attempt(head: dict[str, str], body: bytes) -> bytes | None:
            ident = head["x-request-id"]
            if ident not in seen_ids:  # Every request takes two attempts, which is a sign of overload.
                seen_ids.add(ident)
                return NOT_RUN_RESPONSE
            if ident.startswith("h"):  # No response: the requests in flight cause long latencies.
                if ident == "h99":
                    all_in_flight.set()
                return None
            return ok(b"ride")

        async with (
            Backend(reject_first_attempt) as first_backend,
            Backend(reject_first_attempt) as second_backend,
        ):
            known = [entry("b1", first_backend.address), entry("b2", second_backend.address)]
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
                    # The proxy recognises the higher rate only after a while.
                    later = statuses[len(statuses) // 2 :]
                    assert later.count("200") > 0.8 * len(later) > 25, (later.count("200"), len(later))
                    for writer in writers:
                        writer.close()

    run(scenario())


def test_retry_after_grows_with_the_duration_of_the_overload(tmp_path: Path) -> None:
    """It is short at first, so that a retry can still meet its deadline.

    When a retry would be late anyway, it is longer and spread out.
    """

    async def scenario() -> None:
        overloaded = True
        async with Backend(
            lambda head, body: NOT_RUN_RESPONSE if overloaded else ok(b"ride")
        ) as first_backend:
            known = [entry("b1", first_backend.address)]
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
                    values = {await retry_after() for _ in range(20)}
                    assert len(values) > 10
                    overloaded = False
                    calm_from = asyncio.get_running_loop().time()
                    while asyncio.get_running_loop().time() < calm_from + 1.0:
                        assert await retry_after() is None
                    overloaded = True
                    second = await retry_after()
                    assert second is not None and second < 0.08

    run(scenario())
