"""Network access to the disruption budget: snapshots, reports, rules, the halt, and claims."""

from __future__ import annotations

import asyncio
import random
import secrets

from heronreel.coordination.client import Client
from heronreel.coordination.clock import boot_clock
from heronreel.coordination.errors import RequestError
from heronreel.coordination.model import TxnResponse
from heronreel.fleet.budget_transactions import halt_transaction, observation_transaction, rules_transaction
from heronreel.fleet.claim_requester import Actions, ClaimOutcome, ClaimRequester
from heronreel.fleet.disruption_budget import READ_SNAPSHOT, BudgetSnapshot, parse_snapshot
from heronreel.fleet.model import BudgetRule, Halt, Instance
from heronreel.leases.requests import SendRequest

# limits of the sleep between two ticks of a claim requester
MIN_SLEEP_S = 0.002
MAX_SLEEP_S = 1.0
# range of the random delay before a report is retried
MIN_REPORT_RETRY_S = 0.005
MAX_REPORT_RETRY_S = 0.05


class ClaimClient:
    """Requests and releases the claims of one operation, under one fencing token."""

    def __init__(
        self, client: Client, operation_id: str, operator: str, reason: str, fencing_token: int
    ) -> None:
        """`operation_id` has to stay the same over a crash, so that the operation finds its claims again."""
        self.client = client
        self.operation_id = operation_id
        self.operator = operator
        self.reason = reason
        self.fencing_token = fencing_token
        self.now = boot_clock()
        self.jitter = random.Random(secrets.randbits(64)).random

    async def acquire(self, instance_ids: tuple[str, ...]) -> ClaimOutcome:
        """Request claims on all of the instances or none; retry until the records show the outcome."""
        requester = self._requester(instance_ids)
        return await self._drive(requester, requester.acquire(self.now()))

    async def release(self, instance_id: str, last_command_observation: int = 0) -> ClaimOutcome:
        """Release a claim if there is evidence that the instance serves: see `ClaimRequester.release`."""
        requester = self._requester((instance_id,))
        actions = requester.release(self.now(), instance_id, last_command_observation)
        return await self._drive(requester, actions)

    def _requester(self, instance_ids: tuple[str, ...]) -> ClaimRequester:
        return ClaimRequester(
            self.operation_id,
            self.operator,
            self.reason,
            self.fencing_token,
            instance_ids,
            jitter=self.jitter,
        )

    async def _drive(self, requester: ClaimRequester, actions: Actions) -> ClaimOutcome:
        """Execute the requester's actions until one of them is an outcome."""
        while True:
            if not actions:
                delay = requester.wake() - self.now()
                await asyncio.sleep(min(max(MIN_SLEEP_S, delay), MAX_SLEEP_S))
                actions = requester.tick(self.now())
                continue
            (action,) = actions
            if not isinstance(action, SendRequest):
                return action
            response = await self.client.call_or_error(action.request, action.deadline - self.now())
            actions = requester.response_received(self.now(), action.request_id, response)


async def read_snapshot(client: Client) -> BudgetSnapshot:
    """Read all records of the disruption budget at one moment.

    Raises:
        RequestError: The group does not respond.
        msgspec.DecodeError: A record is malformed.
    """
    response = await client.call(READ_SNAPSHOT)
    assert isinstance(response, TxnResponse)
    return parse_snapshot(response)


async def report_instance(client: Client, instance: Instance) -> None:
    """Store an observation; retry until it is stored or the records hold the same or a later one.

    Raises:
        msgspec.DecodeError: A record is malformed.
    """
    while True:
        try:
            snapshot = await read_snapshot(client)
            stored = snapshot.instances.get(instance.id)
            if stored is not None and stored.observation >= instance.observation:
                return
            response = await client.call(observation_transaction(snapshot.revision, instance))
            if isinstance(response, TxnResponse) and response.succeeded:
                return
        except RequestError:
            pass
        await asyncio.sleep(random.uniform(MIN_REPORT_RETRY_S, MAX_REPORT_RETRY_S))


async def replace_rules(client: Client, rules: tuple[BudgetRule, ...]) -> None:
    """Replace the budget rules; claims that were granted before stay, even if they violate the new rules.

    Raises:
        RequestError: The group does not respond.
    """
    await client.call(rules_transaction(rules))


async def halt_fleet(client: Client, operator: str, reason: str) -> None:
    """Halt the fleet: no claim is granted until `resume_fleet`.

    Raises:
        RequestError: The group does not respond.
    """
    await client.call(halt_transaction(Halt(operator, reason)))


async def resume_fleet(client: Client) -> None:
    """Lift the halt.

    Raises:
        RequestError: The group does not respond.
    """
    await client.call(halt_transaction(None))
