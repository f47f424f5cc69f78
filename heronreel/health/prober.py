"""Probes over HTTP/1.1: one GET a member and round, a few at once."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping

import aiohttp

from heronreel.health.checks import Health, Member, Rules

AT_ONCE = 32
READ_MOST = 4096  # bytes of an answer's body that are looked at before its connection is given up


class Prober:
    """Calls the members of a file's pools, on connections that are kept between rounds."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.calls = 0  # ever made
        self.session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        if self.session is not None:
            await self.session.close()

    async def round(
        self,
        members: Mapping[Member, tuple[str, int]],
        health: Health,
        pay: Callable[[], Awaitable[None]] | None = None,
    ) -> bool:
        """Probe everybody once; whether anybody went down or came up.  `pay` is awaited before each call."""
        if self.session is None:
            timeout = aiohttp.ClientTimeout(total=self.rules.timeout_s)
            connector = aiohttp.TCPConnector(limit=AT_ONCE, keepalive_timeout=3 * self.rules.every_s)
            self.session = aiohttp.ClientSession(timeout=timeout, connector=connector)
        health.keep(members.keys())
        gate = asyncio.Semaphore(AT_ONCE)
        changed = False

        async def one(member: Member, address: tuple[str, int]) -> None:
            nonlocal changed
            async with gate:
                if pay is not None:
                    await pay()
                well = await self._probe(address)  # others change `changed` meanwhile
                changed |= health.observe(member, well)

        async with asyncio.TaskGroup() as group:
            for member, address in members.items():
                group.create_task(one(member, address))
        return changed

    async def _probe(self, address: tuple[str, int]) -> bool:
        assert self.session is not None
        host = f"[{address[0]}]" if ":" in address[0] else address[0]
        self.calls += 1
        try:
            url = f"http://{host}:{address[1]}{self.rules.path}"
            async with self.session.get(url, allow_redirects=False) as answer:
                await answer.content.read(READ_MOST)
                return answer.status < 400
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return False
