"""The leadership of the fleet: at most one controller changes it at a time, under a fencing token."""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Iterable
from types import TracebackType

import msgspec

from heronreel.coordination.client import Client
from heronreel.coordination.crash_points import CrashPoints
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
from heronreel.fleet.errors import FleetBusyError, LeadershipLostError
from heronreel.fleet.model import OPERATION_KEY, FleetOperation, encode_record
from heronreel.leases.claim import Claim
from heronreel.leases.keys import CLAIM_PREFIX
from heronreel.leases.session import LeaseSession

LEADERSHIP_NAME = "fleet"  # name of the claim that the leader holds
# range of the random delay before a request to the group is retried
MIN_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.2


async def read_operation(client: Client) -> FleetOperation | None:
    """Read the current or last operation.

    Raises:
        RequestError: The group does not respond.
        msgspec.DecodeError: The record is malformed.
    """
    response = await client.call(Range(OPERATION_KEY))
    assert isinstance(response, RangeResponse)
    if not response.records:
        return None
    return msgspec.json.decode(response.records[0][1].value, type=FleetOperation)


def describe(operation: FleetOperation) -> str:
    """Describe an operation and its progress, for operators."""
    progress = f"{len(operation.outcomes)} of {len(operation.instance_ids)}"
    return f"{operation.kind.value} {operation.id} by {operation.operator}, {progress}"


async def sleep_before_retry() -> None:
    """Wait for a random time, so that controllers do not retry at the same moment."""
    await asyncio.sleep(random.uniform(MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S))


class FleetLeadership:
    """Leadership under one lease; an asynchronous context manager that releases it on exit."""

    def __init__(self, addresses: Iterable[str], operator: str, crash_points: CrashPoints) -> None:
        """`addresses` are the addresses of the group's members."""
        self.operator = operator
        self.session = LeaseSession(addresses, f"{operator} ({secrets.token_hex(3)})")
        self.now = self.session.now
        self.crash_points = crash_points
        self.claim: Claim

    async def __aenter__(self) -> FleetLeadership:
        await self.session.__aenter__()
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.session.__aexit__(kind, error, trace)

    @property
    def client(self) -> Client:
        """The client of the group."""
        return self.session.client

    async def acquire(self, wait_s: float) -> None:
        """Wait at most `wait_s` seconds to become the leader.

        Raises:
            FleetBusyError: Another controller held the leadership for all this time.
            RequestError: The group does not respond.
        """
        self.claim = self.session.claim(LEADERSHIP_NAME)
        try:
            async with asyncio.timeout(wait_s):
                await self.session.wait_acquired(self.claim)
        except TimeoutError:
            raise FleetBusyError(await self._describe_holder()) from None

    async def _describe_holder(self) -> str:
        holder = self.claim.holder
        name = holder[0].decode(errors="replace") if holder else "nobody"
        operation = await read_operation(self.client)
        if operation is None or operation.final_status:
            return f"{name} leads the fleet"
        return f"{name} leads the fleet, with {describe(operation)}"

    def fencing_token(self) -> int:
        """The current fencing token; it has to be checked before each action.

        Raises:
            LeadershipLostError: This process is no longer the leader.
        """
        token = self.claim.fencing_token(self.session.now())
        if not token:
            raise LeadershipLostError("the leadership of the fleet is lost")
        return token

    async def record(self, operation: FleetOperation) -> None:
        """Store the operation if this process is still the leader.

        Raises:
            LeadershipLostError: This process is no longer the leader.
        """
        claim_key = CLAIM_PREFIX + LEADERSHIP_NAME.encode()
        is_leader = Compare(claim_key, CompareTarget.CREATE, CompareOperator.EQUAL, self.fencing_token())
        transaction = Txn((is_leader,), (Put(OPERATION_KEY, encode_record(operation)),))
        while True:
            self.crash_points.reach("record")
            try:
                response = await self.client.call(transaction)
            except RequestError:
                self.fencing_token()
                await sleep_before_retry()
                continue
            if not (isinstance(response, TxnResponse) and response.succeeded):
                raise LeadershipLostError("another controller leads the fleet")
            self.crash_points.reach("recorded")
            return
