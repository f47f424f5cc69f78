"""Helpers for the tests of groups of processes."""

from __future__ import annotations

import asyncio

from heronreel.coordination.client import Client
from heronreel.coordination.errors import RequestError
from heronreel.coordination.model import Put, Range, RangeResponse
from heronreel.leases.lease import LeaseTerms

MEMBER_NAMES = ("a", "b", "c")
SHORT_LEASE_TERMS = LeaseTerms(ttl_s=2, safety_margin_s=0.3, response_timeout_s=0.3)


def other_than(leader: str) -> str:
    """Return the first of MEMBER_NAMES that is not the leader."""
    return next(name for name in MEMBER_NAMES if name != leader)


async def put_until_done(client: Client, key: bytes, value: bytes) -> None:
    """Write a key, and retry until a leader confirms it; a write with an unknown outcome is repeated."""
    async with asyncio.timeout(20):
        while True:
            try:
                await client.call(Put(key, value), 1.0)
                return
            except RequestError:
                await asyncio.sleep(0.02)


async def value_of(client: Client, key: bytes) -> bytes | None:
    """Return the value of a key; None if the key does not exist."""
    response = await client.call(Range(key), 10.0)
    assert isinstance(response, RangeResponse)
    return response.records[0][1].value if response.records else None
