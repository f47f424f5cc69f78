"""Runs an operation on one instance: executes the actions of `InstanceOperation` over the network."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from heronreel.coordination.errors import RequestError
from heronreel.fleet.agent_client import AgentClient
from heronreel.fleet.budget_client import ClaimClient, read_snapshot
from heronreel.fleet.budget_transactions import transfer_claim, transfer_transaction
from heronreel.fleet.claim_requester import (
    ClaimDenied,
    ClaimFenced,
    ClaimGranted,
    ClaimReleased,
    ReleasePending,
)
from heronreel.fleet.disruption_budget import BudgetSnapshot
from heronreel.fleet.errors import AgentUnavailableError, CommandFailedError
from heronreel.fleet.instance_operation import (
    AcquireClaim,
    Action,
    Actions,
    AdoptClaim,
    Finish,
    InstanceOperation,
    OperationTimeouts,
    ReleaseClaim,
    SendCommand,
)
from heronreel.fleet.leadership import FleetLeadership
from heronreel.fleet.lifecycle_messages import Command
from heronreel.fleet.model import FleetOperation

SNAPSHOT_INTERVAL_S = 0.2  # time between two reads of the records
IDLE_SLEEP_S = SNAPSHOT_INTERVAL_S / 2


class FleetView:
    """The controller's view of the fleet: the last snapshot, and whether the operation is halted."""

    def __init__(self, snapshot: BudgetSnapshot) -> None:
        """`snapshot` is the initial snapshot."""
        self.snapshot = snapshot
        self.halted = False  # once set, no further instance is processed, even if the halt is lifted

    async def refresh(self, leadership: FleetLeadership, operation: FleetOperation) -> None:
        """Read the records periodically until cancelled."""
        while True:
            try:
                self.snapshot = await read_snapshot(leadership.client)
                if self.snapshot.halt and not operation.kind.restores_service:
                    self.halted = True
            except (RequestError, msgspec.DecodeError):
                pass
            await asyncio.sleep(SNAPSHOT_INTERVAL_S)


class InstanceRunner:
    """Runs a fleet operation on one instance."""

    def __init__(
        self,
        instance_id: str,
        operation: FleetOperation,
        timeouts: OperationTimeouts | None,
        leadership: FleetLeadership,
        view: FleetView,
        agents: AgentClient,
        on_progress: Callable[[str, str], None],
    ) -> None:
        """`on_progress` is called with the instance ID and a message for operators.

        Raises:
            LeadershipLostError: This process is no longer the leader.
        """
        self.instance_id = instance_id
        self.operation = operation
        self.leadership = leadership
        self.view = view
        self.agents = agents
        self.on_progress = on_progress
        self.now = leadership.now
        self.crash_points = leadership.crash_points
        self.fencing_token = leadership.fencing_token()
        self.state_machine = InstanceOperation(
            operation.kind, self.fencing_token, self.now(), operation.version, timeouts
        )
        self.claims = ClaimClient(
            leadership.client,
            operation.id,
            leadership.operator,
            operation.kind.value,
            self.fencing_token,
        )

    async def run(self) -> str:
        """Run the operation and return its outcome.

        Raises:
            LeadershipLostError: This process is no longer the leader.
        """
        printed = ""
        actions: Actions = []
        while True:
            actions = actions or self._next_actions()
            finished = bool(actions) and isinstance(actions[0], Finish)
            if not finished and self.state_machine.progress != printed:
                printed = self.state_machine.progress
                self.on_progress(self.instance_id, printed)
            if not actions:
                await asyncio.sleep(IDLE_SLEEP_S)
                continue
            (action,) = actions
            if isinstance(action, Finish):
                return action.outcome
            self.leadership.fencing_token()
            actions = await self._carry_out(action)

    def _next_actions(self) -> Actions:
        now = self.now()
        instance = self.view.snapshot.instances.get(self.instance_id)
        actions = self.state_machine.tick(now) or self.state_machine.observed(now, instance)
        if not actions and self.view.halted:
            actions = self.state_machine.halt(now)
        return actions

    async def _carry_out(self, action: Action) -> Actions:
        if isinstance(action, AcquireClaim):
            return await self._acquire_claim()
        if isinstance(action, AdoptClaim):
            return await self._adopt_claim()
        if isinstance(action, SendCommand):
            return await self._send_command(action)
        assert isinstance(action, ReleaseClaim)
        return await self._release_claim(action)

    async def _acquire_claim(self) -> Actions:
        self.crash_points.reach("claim")
        outcome = await self.claims.acquire((self.instance_id,))
        assert isinstance(outcome, ClaimGranted | ClaimDenied | ClaimFenced)
        self.crash_points.reach("claimed")
        return self.state_machine.claim_decided(self.now(), outcome)

    async def _adopt_claim(self) -> Actions:
        try:
            holds_claim = await self._take_over_claim()
        except RequestError as error:
            return self.state_machine.request_failed(self.now(), error.message)
        return self.state_machine.claim_adopted(self.now(), holds_claim)

    async def _take_over_claim(self) -> bool:
        """Transfer an existing claim on the instance to this operation; return whether there is one."""
        operation_id = self.operation.id
        while True:
            snapshot = await read_snapshot(self.leadership.client)
            claim = snapshot.claims.get(self.instance_id)
            if claim is None:
                return False
            if claim.operation_id == operation_id and claim.fencing_token == self.fencing_token:
                return True
            transferred = transfer_claim(claim, operation_id, self.leadership.operator, self.fencing_token)
            await self.leadership.client.call(transfer_transaction(snapshot.revision, transferred))

    async def _send_command(self, action: SendCommand) -> Actions:
        self.crash_points.reach("command")
        actions = await self._send(action)
        self.crash_points.reach("commanded")
        return actions

    async def _send(self, action: SendCommand) -> Actions:
        command = Command(self.fencing_token, action.sequence, action.desired_state, action.version)
        instance = self.view.snapshot.instances.get(self.instance_id)
        try:
            result = await self.agents.send(instance, command)
        except AgentUnavailableError as error:
            return self.state_machine.request_failed(self.now(), str(error))
        except CommandFailedError as error:
            return self.state_machine.command_failed(self.now(), str(error))
        return self.state_machine.command_acknowledged(self.now(), result)

    async def _release_claim(self, action: ReleaseClaim) -> Actions:
        self.crash_points.reach("release")
        outcome = await self.claims.release(self.instance_id, action.last_command_observation)
        assert isinstance(outcome, ClaimReleased | ReleasePending | ClaimFenced)
        self.crash_points.reach("released")
        return self.state_machine.release_decided(self.now(), outcome)
