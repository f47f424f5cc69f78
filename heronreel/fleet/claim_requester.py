"""The protocol by which one operation obtains claims on the disruption budget and releases them.

This module performs no I/O: it takes events and the time, and returns actions.

A claim is granted before any command is sent to its instance, by a transaction that succeeds only at the
revision that was read.  It is released only on evidence that the instance serves: an observation that the
owner made after the last command, and at a time when the owner already knew the fencing token under which the
claim is released.  No older operation can then still act on the instance.  Claims do not expire.  If an
operation dies, its claim stays until a successor has determined the state of the instance and takes the claim
over.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from heronreel.coordination.model import DeleteRange, Operation, Put, ResponseOrError, TxnResponse
from heronreel.fleet.budget_transactions import update_transaction
from heronreel.fleet.disruption_budget import READ_SNAPSHOT, BudgetSnapshot, RuleStatus, parse_snapshot
from heronreel.fleet.model import Condition, DisruptionClaim, Halt, Instance, encode_record
from heronreel.leases.backoff import JitteredBackoff
from heronreel.leases.requests import SendRequest, SingleRequestSender

DEFAULT_RESPONSE_TIMEOUT_S = 1.0


class ClaimGuards(NamedTuple):
    """The safety checks of the protocol; tests disable them one by one and expect a violation."""

    revision_checked: bool = True  # a claim is granted only if no record has changed since the read
    losses_counted: bool = True  # failed and unknown instances count as unavailable
    evidence_required: bool = True  # a claim is released only on an observation after the last command
    fencing_observed: bool = True  # that observation has to show the fencing token of the operation
    halt_checked: bool = True  # no claim is granted during a halt


ALL_GUARDS = ClaimGuards()


class ClaimGranted(NamedTuple):
    """The operation holds claims on all of these instances and may act on them under its fencing token."""

    instance_ids: tuple[str, ...]


class ClaimDenied(NamedTuple):
    """The claims can't be granted in the current state of the fleet."""

    violations: tuple[RuleStatus, ...]
    conflicting_claims: tuple[DisruptionClaim, ...]  # claims that other operations hold
    unreported: tuple[str, ...]  # instances that no owner has reported
    halt: Halt | None = None

    def __str__(self) -> str:
        reasons = [str(status) for status in self.violations]
        reasons += [
            f"{claim.instance_id} is claimed: {claim.reason} by {claim.operator}"
            for claim in self.conflicting_claims
        ]
        reasons += [f"{instance_id}: never reported" for instance_id in self.unreported]
        if self.halt:
            reasons.append(f"halted by {self.halt.operator}: {self.halt.reason}")
        return "; ".join(reasons)


class ClaimReleased(NamedTuple):
    """The claim is released: the instance serves."""

    instance_id: str


class ReleasePending(NamedTuple):
    """The claim stays: there is no evidence yet that the instance serves."""

    instance_id: str
    condition: Condition


class ClaimFenced(NamedTuple):
    """A newer operation holds the claim, so this operation must not act any more."""

    claim: DisruptionClaim


ClaimOutcome = ClaimGranted | ClaimDenied | ClaimReleased | ReleasePending | ClaimFenced
Action = SendRequest | ClaimOutcome
Actions = list[Action]


class RequestPhase(enum.Enum):
    """The purpose of the request that is in flight."""

    IDLE = "idle"
    READING = "reading"
    WRITING = "writing"


class ClaimIntent(enum.Enum):
    """The request of the operation that has no outcome yet."""

    NONE = "none"
    ACQUIRE = "acquire"
    RELEASE = "release"


class ClaimRequester(SingleRequestSender):
    """Acquires and releases one operation's claims; all of them are granted together or none is."""

    def __init__(
        self,
        operation_id: str,
        operator: str,
        reason: str,
        fencing_token: int,
        instance_ids: tuple[str, ...],
        *,
        response_timeout_s: float = DEFAULT_RESPONSE_TIMEOUT_S,
        jitter: Callable[[], float] = lambda: 0.5,
        guards: ClaimGuards = ALL_GUARDS,
    ) -> None:
        """Create a requester that has no request in flight.

        Args:
            operation_id: The operation that holds the claims.
            operator: The operator's name, stored with each claim.
            reason: The reason that is stored with each claim.
            fencing_token: The fencing token of the operation.
            instance_ids: The instances to claim.
            response_timeout_s: The time after which a request counts as lost.
            jitter: Returns random numbers from 0 to 1.
            guards: The safety checks, which tests disable.
        """
        self.operation_id = operation_id
        self.operator = operator
        self.reason = reason
        self.fencing_token = fencing_token
        self.instance_ids = instance_ids
        super().__init__(response_timeout_s)
        self.guards = guards
        self.backoff = JitteredBackoff(jitter)
        self.phase = RequestPhase.IDLE
        self.intent = ClaimIntent.NONE
        self.released_instance_id = ""  # the instance whose claim is to be released
        self.last_command_observation = 0  # observations up to this number are no evidence
        self.next_attempt_at = 0.0  # time of the next read

    def wake(self) -> float:
        """The time by which `tick` has to be called next."""
        if self.in_flight is not None:
            return self.in_flight.sent_at + self.response_timeout_s
        return float("inf") if self.intent is ClaimIntent.NONE else self.next_attempt_at

    def acquire(self, now: float) -> Actions:
        """Request claims on all instances; the outcome is ClaimGranted, ClaimDenied or ClaimFenced."""
        self.intent = ClaimIntent.ACQUIRE
        self.next_attempt_at = now
        return self.tick(now)

    def release(self, now: float, instance_id: str, last_command_observation: int = 0) -> Actions:
        """Release one claim; the outcome is ClaimReleased, ReleasePending or ClaimFenced.

        `last_command_observation` is the owner's observation count when it accepted the last command.  Only
        an observation with a greater count is evidence that the instance serves.
        """
        self.intent = ClaimIntent.RELEASE
        self.released_instance_id = instance_id
        self.last_command_observation = last_command_observation
        self.next_attempt_at = now
        return self.tick(now)

    def tick(self, now: float) -> Actions:
        """Time out the request in flight, and start a read if one is due."""
        if self._timed_out(now):
            self._schedule_retry(now)
        if self.in_flight is not None:
            return []
        if self.intent is ClaimIntent.NONE or now < self.next_attempt_at:
            return []
        self.phase = RequestPhase.READING
        return [self._send(now, READ_SNAPSHOT)]

    def _schedule_retry(self, now: float) -> None:
        """Schedule a new read, because the records show whether a lost request was executed."""
        self.in_flight = None
        self.phase = RequestPhase.IDLE
        self.next_attempt_at = now + self.backoff.next_delay()

    def response_received(self, now: float, request_id: int, response: ResponseOrError) -> Actions:
        """Handle the response to a request; a late response is ignored."""
        if not self._is_in_flight(request_id):
            return []
        was_read = self.phase is RequestPhase.READING
        self._schedule_retry(now)
        if not isinstance(response, TxnResponse):
            return []
        if not was_read:
            self.next_attempt_at = now  # the next read shows whether the write succeeded or conflicted
            return []
        try:
            snapshot = parse_snapshot(response)
        except msgspec.DecodeError:
            return []  # no claim may be granted on records that can't be decoded
        self.backoff.reset()
        if self.intent is ClaimIntent.ACQUIRE:
            return self._acquire(now, snapshot)
        return self._release(now, snapshot)

    def _finish(self, outcome: ClaimOutcome) -> Actions:
        self.intent = ClaimIntent.NONE
        return [outcome]

    def _is_own(self, claim: DisruptionClaim | None) -> bool:
        if claim is None or claim.operation_id != self.operation_id:
            return False
        return claim.fencing_token <= self.fencing_token

    def _acquire(self, now: float, snapshot: BudgetSnapshot) -> Actions:
        claims = [snapshot.claims.get(instance_id) for instance_id in self.instance_ids]
        if all(self._is_own(claim) for claim in claims):
            return self._finish(ClaimGranted(self.instance_ids))
        existing = [claim for claim in claims if claim is not None]
        newer = [claim for claim in existing if claim.fencing_token > self.fencing_token]
        if newer:
            return self._finish(ClaimFenced(newer[0]))
        unclaimed = [instance_id for instance_id in self.instance_ids if instance_id not in snapshot.claims]
        conflicting = tuple(claim for claim in existing if claim.operation_id != self.operation_id)
        denial = self._denial(snapshot, unclaimed, conflicting)
        if denial is not None:
            return self._finish(denial)
        return self._write(now, snapshot, [self._grant(snapshot, instance_id) for instance_id in unclaimed])

    def _denial(
        self, snapshot: BudgetSnapshot, unclaimed: list[str], conflicting: tuple[DisruptionClaim, ...]
    ) -> ClaimDenied | None:
        evaluated = snapshot if self.guards.losses_counted else _without_losses(snapshot)
        violations = tuple(evaluated.violations(unclaimed))
        unreported = tuple(snapshot.unreported(unclaimed))
        halt = snapshot.halt if self.guards.halt_checked else None
        if conflicting or violations or unreported or halt:
            return ClaimDenied(violations, conflicting, unreported, halt)
        return None

    def _grant(self, snapshot: BudgetSnapshot, instance_id: str) -> Operation:
        claim = DisruptionClaim(
            instance_id,
            self.operation_id,
            self.operator,
            self.reason,
            self.fencing_token,
            snapshot.instances[instance_id].observation,
            snapshot.revision,
        )
        return Put(claim.key, encode_record(claim))

    def _write(self, now: float, snapshot: BudgetSnapshot, operations: list[Operation]) -> Actions:
        self.phase = RequestPhase.WRITING
        revision = snapshot.revision if self.guards.revision_checked else None
        return [self._send(now, update_transaction(revision, self.operation_id.encode(), *operations))]

    def _release(self, now: float, snapshot: BudgetSnapshot) -> Actions:
        claim = snapshot.claims.get(self.released_instance_id)
        if claim is None:
            return self._finish(ClaimReleased(self.released_instance_id))
        if not self._is_own(claim):
            return self._finish(ClaimFenced(claim))
        instance = snapshot.instances.get(self.released_instance_id)
        if not self._has_evidence(instance, claim):
            condition = Condition.UNKNOWN if instance is None else instance.condition
            return self._finish(ReleasePending(self.released_instance_id, condition))
        return self._write(now, snapshot, [DeleteRange(claim.key)])

    def _has_evidence(self, instance: Instance | None, claim: DisruptionClaim) -> bool:
        """Whether the owner observed the instance as serving after the last command to it."""
        if instance is None or not instance.condition.is_serving:
            return False
        last_effect = max(claim.observation, self.last_command_observation)
        if self.guards.evidence_required and instance.observation <= last_effect:
            return False
        return instance.fencing_token >= self.fencing_token or not self.guards.fencing_observed


def _without_losses(snapshot: BudgetSnapshot) -> BudgetSnapshot:
    """Treat every instance without a claim as serving, for tests that disable `losses_counted`."""
    serving = {
        instance_id: msgspec.structs.replace(instance, condition=Condition.SERVING)
        for instance_id, instance in snapshot.instances.items()
    }
    return snapshot._replace(instances=serving)
