"""The steps of an operation on one instance, from acquiring the claim to the outcome.

This module performs no I/O: it takes events and the time, and returns actions.

A claim on the disruption budget is acquired before the first command.  It is held until the instance was
observed to serve; if the operation leaves the instance out of service, the claim is not released.  The agent
makes each command durable before it acknowledges it.  An acknowledgement alone is not success: a command
counts as complete only once a later observation shows the desired state.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

from heronreel.fleet.claim_requester import (
    ClaimDenied,
    ClaimFenced,
    ClaimGranted,
    ClaimReleased,
    ReleasePending,
)
from heronreel.fleet.lifecycle_messages import CommandResult, DesiredState
from heronreel.fleet.model import Condition, Instance, OperationKind

RETRY_DELAY_S = 0.5  # delay after a request that was denied or got no response

# the desired states that an operation sends to the agent, in this order
COMMAND_SEQUENCES = {
    OperationKind.DRAIN: (DesiredState.DRAINED,),
    OperationKind.STOP: (DesiredState.STOPPED,),
    OperationKind.RESTART: (DesiredState.STOPPED, DesiredState.RUNNING),
    OperationKind.UPGRADE: (DesiredState.RUNNING,),
    OperationKind.START: (DesiredState.RUNNING,),
    OperationKind.UNDRAIN: (DesiredState.RUNNING,),
}

# Outcomes are stored and printed.  The outcomes without a constant are `running VERSION`, and `refused:`,
# `failed:` or `unknown:` followed by a reason.
DRAINED_OUTCOME = "drained"
STOPPED_OUTCOME = "stopped"
NOT_STARTED_OUTCOME = "not begun"
SUCCESSFUL_OUTCOME_PREFIXES = ("running ", DRAINED_OUTCOME, STOPPED_OUTCOME)
UNKNOWN_OUTCOME_PREFIX = "unknown"

# operations that leave the instance out of service and keep their claim
OUT_OF_SERVICE_OUTCOMES = {
    OperationKind.DRAIN: DRAINED_OUTCOME,
    OperationKind.STOP: STOPPED_OUTCOME,
}


class AcquireClaim(NamedTuple):
    """Acquire the claim, then call `claim_decided`."""


class AdoptClaim(NamedTuple):
    """Take over a claim that another operation left on the instance, then call `claim_adopted`."""


class SendCommand(NamedTuple):
    """Send a command to the agent, then call `command_acknowledged` or `command_failed`."""

    sequence: int
    desired_state: DesiredState
    version: str


class ReleaseClaim(NamedTuple):
    """Release the claim if a later observation shows the instance serving, then call `release_decided`."""

    last_command_observation: int


class Finish(NamedTuple):
    """The operation on this instance has ended with an outcome."""

    outcome: str


Action = AcquireClaim | AdoptClaim | SendCommand | ReleaseClaim | Finish
Actions = list[Action]


class OperationTimeouts(NamedTuple):
    """Time limits, in seconds."""

    claim: float = 600.0  # wait for a claim while other instances are unavailable
    command: float = 150.0  # time for one command to take effect: a drain, a termination and a start


class OperationGuards(NamedTuple):
    """The safety checks of the operation; tests disable them one by one and expect a violation."""

    later_observation: bool = True  # only an observation after the command counts
    claim_first: bool = True  # no command is sent without a claim


class OperationPhase(enum.Enum):
    """The current phase of the operation; the values are printed to operators."""

    ACQUIRING = "acquiring a claim"
    COMMANDING = "sending a command"
    OBSERVING = "waiting for an observation"
    RELEASING = "releasing the claim"
    FINISHED = "finished"


class InstanceOperation:
    """The state machine of one operation on one instance, with at most one request in flight.

    The caller executes the actions and reports events; `request_failed` reports that an action got no
    response.  Every action is idempotent and may be retried.
    """

    def __init__(
        self,
        kind: OperationKind,
        fencing_token: int,
        now: float,
        version: str = "",
        timeouts: OperationTimeouts | None = None,
        guards: OperationGuards | None = None,
    ) -> None:
        """`version` is the version to run; if it is empty, the version does not change."""
        self.kind = kind
        self.fencing_token = fencing_token
        self.version = version
        self.timeouts = timeouts or OperationTimeouts()
        self.guards = guards or OperationGuards()
        self.phase = OperationPhase.ACQUIRING
        self.phase_since = now
        self.next_attempt_at = now
        self.request_pending = False
        self.command_index = 0
        self.last_command_observation = 0  # observations up to this number were made before the command
        self.holds_claim = False
        self.delay_reason = ""  # why the phase has not ended yet, for operators
        self.last_reported: Instance | None = None
        self.running_version = ""  # the version that was observed to serve
        if not self.guards.claim_first:
            self.phase = OperationPhase.COMMANDING

    @property
    def desired_state(self) -> DesiredState:
        """The desired state of the current command."""
        return COMMAND_SEQUENCES[self.kind][self.command_index]

    @property
    def progress(self) -> str:
        """The phase and why it has not ended yet, for operators."""
        return f"{self.phase.value}: {self.delay_reason}" if self.delay_reason else self.phase.value

    # -- events

    def tick(self, now: float) -> Actions:
        """Time out the current phase, or return the request that is due."""
        if self.request_pending or self.phase is OperationPhase.FINISHED:
            return []
        if self._timed_out(now):
            return self._finish(self._timeout_outcome(), now)
        if now < self.next_attempt_at or self.phase is OperationPhase.OBSERVING:
            return []
        self.request_pending = True
        if self.phase is OperationPhase.ACQUIRING:
            return [AdoptClaim() if self.kind.restores_service else AcquireClaim()]
        if self.phase is OperationPhase.COMMANDING:
            return [SendCommand(self.command_index + 1, self.desired_state, self.version)]
        return [ReleaseClaim(self.last_command_observation)]

    def halt(self, now: float) -> Actions:
        """Handle a halt of the fleet: an operation without a claim ends, any other runs to its outcome.

        If a request for the claim is in flight, its response decides whether the operation ends.
        """
        acquiring = self.phase is OperationPhase.ACQUIRING and not self.request_pending
        if acquiring and not self.kind.restores_service:
            return self._finish(NOT_STARTED_OUTCOME, now)
        return []

    def claim_decided(self, now: float, outcome: ClaimGranted | ClaimDenied | ClaimFenced) -> Actions:
        """The response to `AcquireClaim`."""
        if isinstance(outcome, ClaimGranted):
            return self.claim_adopted(now, True)
        self.request_pending = False
        if isinstance(outcome, ClaimFenced):
            return self._finish_fenced(outcome.claim.fencing_token, now)
        self._retry_later(now, str(outcome))
        return self._finish(NOT_STARTED_OUTCOME, now) if outcome.halt else []

    def claim_adopted(self, now: float, holds_claim: bool) -> Actions:
        """The response to `AdoptClaim`: whether there was a claim, which this operation then holds."""
        self.holds_claim = holds_claim
        return self._next_command(now, 0)

    def command_acknowledged(self, now: float, result: CommandResult) -> Actions:
        """The response to `SendCommand`."""
        self.request_pending = False
        if not result.accepted:
            return self._finish_fenced(result.fencing_token, now)
        self.last_command_observation = result.observation
        self._enter(OperationPhase.OBSERVING, now)
        return []

    def command_failed(self, now: float, reason: str) -> Actions:
        """The agent can't execute the command."""
        self.request_pending = False
        return self._finish(f"refused: {reason}", now)

    def observed(self, now: float, instance: Instance | None) -> Actions:
        """Handle the last reported state of the instance; None if the group has no record of it."""
        self.last_reported = instance
        if self.phase is not OperationPhase.OBSERVING or instance is None:
            return []
        if self.guards.later_observation and instance.observation <= self.last_command_observation:
            # only a later observation is by an agent that is known to have accepted this fencing token
            return []
        if not self._is_desired(instance):
            self.delay_reason = f"is {instance.condition.value}"
            return []
        if self.command_index + 1 < len(COMMAND_SEQUENCES[self.kind]):
            return self._next_command(now, self.command_index + 1)
        if self.kind in OUT_OF_SERVICE_OUTCOMES:
            return self._finish(OUT_OF_SERVICE_OUTCOMES[self.kind], now)
        self.running_version = instance.version
        if not self.holds_claim:
            return self._finish_running(now)
        self._enter(OperationPhase.RELEASING, now)
        return self.tick(now)

    def release_decided(self, now: float, outcome: ClaimReleased | ReleasePending | ClaimFenced) -> Actions:
        """The response to `ReleaseClaim`."""
        self.request_pending = False
        if isinstance(outcome, ClaimReleased):
            return self._finish_running(now)
        if isinstance(outcome, ClaimFenced):
            return self._finish_fenced(outcome.claim.fencing_token, now)
        self._retry_later(now, f"is {outcome.condition.value}")
        return []

    def request_failed(self, now: float, reason: str) -> Actions:
        """The last action got no response, so it is unknown whether it was executed."""
        self.request_pending = False
        self._retry_later(now, reason)
        return self.tick(now)

    # -- transitions

    def _enter(self, phase: OperationPhase, now: float) -> None:
        self.phase = phase
        self.phase_since = now
        self.next_attempt_at = now
        self.delay_reason = ""

    def _retry_later(self, now: float, reason: str) -> None:
        self.next_attempt_at = now + RETRY_DELAY_S
        self.delay_reason = reason

    def _next_command(self, now: float, index: int) -> Actions:
        self.request_pending = False
        self.command_index = index
        self._enter(OperationPhase.COMMANDING, now)
        return self.tick(now)

    def _timed_out(self, now: float) -> bool:
        acquiring = self.phase is OperationPhase.ACQUIRING
        return now >= self.phase_since + (self.timeouts.claim if acquiring else self.timeouts.command)

    def _timeout_outcome(self) -> str:
        if self.phase is OperationPhase.ACQUIRING:
            return f"refused: {self.delay_reason}"
        timeout = f"{self.timeouts.command:g} s"
        reported = self.last_reported
        if (
            self.phase is OperationPhase.COMMANDING
            or reported is None
            or reported.condition is Condition.UNKNOWN
        ):
            return f"{UNKNOWN_OUTCOME_PREFIX}: {self.delay_reason or 'not observed'} for {timeout}"
        return f"failed: {reported.condition.value} after {timeout}, wanted {self.desired_state.value}"

    def _is_desired(self, instance: Instance) -> bool:
        if self.desired_state is DesiredState.RUNNING:
            return instance.condition.is_serving and self.version in ("", instance.version)
        has_process = bool(instance.version)
        if self.desired_state is DesiredState.STOPPED and has_process:
            return False
        return instance.condition is Condition.OUT_OF_SERVICE

    def _finish(self, outcome: str, now: float) -> Actions:
        self._enter(OperationPhase.FINISHED, now)
        return [Finish(outcome)]

    def _finish_running(self, now: float) -> Actions:
        return self._finish(f"running {self.running_version}", now)

    def _finish_fenced(self, fencing_token: int, now: float) -> Actions:
        return self._finish(f"refused: number {fencing_token} is newer than {self.fencing_token}", now)
