"""A client of the group that reads and writes a few registers, and records its operations for the checker."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable

from heronreel.coordination.client import Client
from heronreel.coordination.errors import RequestError
from heronreel.coordination.model import (
    Compare,
    CompareOperator,
    CompareTarget,
    Put,
    Range,
    RangeResponse,
    Txn,
    TxnResponse,
)
from heronreel.fault_injection.histories import HistoryWriter
from heronreel.fault_injection.linearizability import CAS, READ

KEYS = ("x", "y", "z")
# There are no plain puts, because a put that the network duplicates may take effect again later.
OPERATIONS = (READ, CAS, CAS)
REQUEST_TIMEOUT_S = 1.0
MAX_PAUSE_S = 0.03


class RegisterClient:
    """One client that performs random operations determined by a seed."""

    def __init__(self, seed: int, number: int, history: HistoryWriter) -> None:
        self.rng = random.Random(f"client {seed} {number}")
        self.number = number
        self.history = history
        self.written = 0

    async def run(self, addresses: list[str], stop: asyncio.Event) -> None:
        """Perform operations sequentially until `stop` is set."""
        first = self.rng.randrange(len(addresses))
        async with Client(addresses[first:] + addresses[:first], response_timeout_s=0.5) as client:
            while not stop.is_set():
                await self._operate(client)
        self.history.close()

    async def _operate(self, client: Client) -> None:
        key = self.rng.choice(KEYS)
        self.written += 1
        value = f"{self.number}.{self.written}"
        if self.rng.choice(OPERATIONS) == READ:
            await self._record(READ, [key], _read(client, key))
        else:
            try:
                expected = await _read(client, key)
            except RequestError:
                return
            arguments = [key, expected, value]
            await self._record(CAS, arguments, _compare_and_set(client, key, expected, value))
        await asyncio.sleep(self.rng.uniform(0.0, MAX_PAUSE_S))

    async def _record(
        self, kind: str, arguments: list[str | None], operation: Awaitable[str | bool | None]
    ) -> None:
        """Perform an operation, and record its start and its end in the history."""
        operation_id = self.history.start(kind, arguments)
        try:
            result = await operation
        except RequestError:
            return  # the outcome stays recorded as unknown, even if the operation certainly had no effect
        self.history.end(operation_id, result)


async def _read(client: Client, key: str) -> str | None:
    response = await client.call(Range(key.encode()), REQUEST_TIMEOUT_S)
    assert isinstance(response, RangeResponse)
    return response.records[0][1].value.decode() if response.records else None


async def _compare_and_set(client: Client, key: str, expected: str | None, value: str) -> bool:
    """Set the key to `value` if its value is `expected` (None: missing); return whether it succeeded."""
    name = key.encode()
    if expected is None:
        unchanged = Compare(name, CompareTarget.CREATE, CompareOperator.EQUAL, 0)
    else:
        unchanged = Compare(name, CompareTarget.VALUE, CompareOperator.EQUAL, expected.encode())
    response = await client.call(Txn((unchanged,), (Put(name, value.encode()),)), REQUEST_TIMEOUT_S)
    assert isinstance(response, TxnResponse)
    return response.succeeded
