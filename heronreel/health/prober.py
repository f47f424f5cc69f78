"""Probes over HTTP/1.1: in each round one GET to every member, several at once."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping

import aiohttp

from heronreel.health.checks import HealthCheckConfig, HealthTracker, Member

MAX_CONCURRENT_PROBES = 32
MAX_BODY_BYTES = 4096  # read of a response's body, before its connection is given up
KEEPALIVE_ROUNDS = 3  # for which an idle connection is kept
MIN_ERROR_STATUS = 400  # statuses below it are healthy

Address = tuple[str, int]  # IP address and port


class Prober:
    """Probes the members of pools, on connections that are kept between rounds."""

    def __init__(self, config: HealthCheckConfig) -> None:
        self.config = config
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def probe_all(
        self,
        members: Mapping[Member, Address],
        tracker: HealthTracker,
        acquire_budget: Callable[[], Awaitable[None]] | None = None,
    ) -> bool:
        """Probe every member once; returns whether any went down or came up.

        `acquire_budget` is awaited before each probe.
        """
        session = self._open_session()
        tracker.retain(members.keys())
        gate = asyncio.Semaphore(MAX_CONCURRENT_PROBES)
        changes: list[Member] = []

        async def probe_member(member: Member, address: Address) -> None:
            async with gate:
                if acquire_budget is not None:
                    await acquire_budget()
                if tracker.observe(member, await self._probe(session, address)):
                    changes.append(member)

        async with asyncio.TaskGroup() as group:
            for member, address in members.items():
                group.create_task(probe_member(member, address))
        return bool(changes)

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
