"""Probes members over HTTP/1.1: each round sends one GET to every member, several of them concurrently."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping

import aiohttp

from heronreel.health.checks import HealthCheckConfig, HealthTracker, Member

MAX_CONCURRENT_PROBES = 32
MAX_BODY_BYTES = 4096  # A connection whose response has a longer body is closed and not reused.
KEEPALIVE_ROUNDS = 3  # An idle connection is kept open for this many probe intervals.
MIN_ERROR_STATUS = 400  # A member that responds with a lower status is healthy.

Address = tuple[str, int]  # An IP address and a port.


class Prober:
    """Probes the members of pools over connections that are reused between rounds."""

    def __init__(self, config: HealthCheckConfig) -> None:
        self.config = config
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def probe_all(
        self,
        members: Mapping[Member, Address],
        tracker: HealthTracker,
        acquire_budget: Callable[[], Awaitable[None]] | None = None,
    ) -> bool:
        """Probe every member once; returns whether any member went down or came up.

        `acquire_budget` is awaited before each probe, to keep to a rate budget.
        """
        session = self._open_session()
        tracker.retain(members.keys())
        concurrency_limit = asyncio.Semaphore(MAX_CONCURRENT_PROBES)
        changed: list[Member] = []

        async def probe_member(member: Member, address: Address) -> None:
            async with concurrency_limit:
                if acquire_budget is not None:
                    await acquire_budget()
                if tracker.observe(member, await self._probe(session, address)):
                    changed.append(member)

        async with asyncio.TaskGroup() as group:
            for member, address in members.items():
                group.create_task(probe_member(member, address))
        return bool(changed)

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=self.config.timeout_s)
            keepalive_s = KEEPALIVE_ROUNDS * self.config.interval_s
            connector = aiohttp.TCPConnector(limit=MAX_CONCURRENT_PROBES, keepalive_timeout=keepalive_s)
            self._session = aiohttp.ClientSession(timeout=timeout, connector=connector)
        return self._session

    async def _probe(self, session: aiohttp.ClientSession, address: Address) -> bool:
        host, port = address
        if ":" in host:
            host = f"[{host}]"
        try:
            url = f"http://{host}:{port}{self.config.path}"
            async with session.get(url, allow_redirects=False) as response:
                await response.content.read(MAX_BODY_BYTES)
                return response.status < MIN_ERROR_STATUS
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return False
