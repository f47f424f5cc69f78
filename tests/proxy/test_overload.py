"""What clients see of a fleet that takes less than is asked."""

import asyncio
from copy import deepcopy
from pathlib import Path

from tests.support.loopback import (
    Backend,
    Discovery,
    answer_of,
    configuration,
    entry,
    head_of,
    node,
    ok,
    request,
    run,
)

FULL = b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"


def test_tenants_within_their_shares_are_served_by_the_proxy_that_gets_them_all(tmp_path: Path) -> None:
    """Proxies know the quotas of all together; one whose peers restart must not take it all for too much."""

    async def talk() -> None:
        held = asyncio.Event()
        known_to: set[str] = set()

        def full_at_first(head: dict[str, str], body: bytes) -> bytes | None:
            ident = head["x-request-id"]
            if ident not in known_to:  # every request takes two attempts, which tells of an overload
                known_to.add(ident)
                return FULL
            if ident.startswith("h"):  # never answered: what is out makes for a long stay
                if ident == "h99":
                    held.set()
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
                async with node(tmp_path, config) as proxy:
                    writers = []
                    for number in range(100):
                        _, writer = await proxy.connect()
                        writer.write(request(f"h{number}", extra=f"X-Tenant: {'ab'[number % 2]}\r\n"))
                        writers.append(writer)
                    await held.wait()
                    reader, writer = await proxy.connect()
                    loop = asyncio.get_running_loop()
                    answers: list[str] = []

                    async def ask(tenant: str) -> None:
                        writer.write(request(f"q{len(answers)}", extra=f"X-Tenant: {tenant}\r\n"))
                        answers.append((await answer_of(reader))[0])

                    until = loop.time() + 2.0
                    while loop.time() < until:
                        await ask("ab"[len(answers) % 2])
                    late = answers[len(answers) // 2 :]  # a rise is seen after a while
                    assert late.count("200") > 0.8 * len(late) > 25, (late.count("200"), len(late))
                    for writer in writers:
                        writer.close()

    run(talk())


def test_the_refused_are_told_to_stay_away_as_long_as_the_shortage_has_lasted(tmp_path: Path) -> None:
    """Soon at first, so that a retry may be in time; later and spread out when it would be late anyway."""

    async def talk() -> None:
        short = True
        async with Backend(lambda head, body: FULL if short else ok(b"ride")) as one:
            known = [entry("b1", one.address)]
            async with Discovery(*known) as discovery:
                config = configuration(discovery.address, *known)
                config["settings"] = settings = deepcopy(config["settings"])
                settings["Categories"][0]["OnTimeMs"] = 200.0
                settings["Limits"] |= {"RetryAfter": True, "MaxRetryAfterMs": 5000.0}
                async with node(tmp_path, config) as proxy:
                    reader, writer = await proxy.connect()
                    asked = 0

                    async def advice() -> float | None:
                        nonlocal asked
                        asked += 1
                        writer.write(request(f"q{asked}"))
                        head = await head_of(reader)
                        await reader.readexactly(int(head["content-length"]))
                        return float(head["retry-after"]) if head[""].split()[1] == "503" else None

                    first = await advice()
                    assert first is not None and 0.02 < first < 0.08
                    while (now := await advice()) is None or now < 1.0:
                        pass
                    several = {await advice() for _ in range(20)}
                    assert len(several) > 10
                    short = False
                    calm_from = asyncio.get_running_loop().time()
                    while asyncio.get_running_loop().time() < calm_from + 1.0:
                        assert await advice() is None
                    short = True
                    again = await advice()
                    assert again is not None and again < 0.08

    run(talk())
