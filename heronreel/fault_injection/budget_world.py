"""A world for the explorer around the real disruption budget.

It has two operations, two instances of which one may be unavailable, and a group.  Commands to owners,
requests to the group and reports of owners may be delayed; an operation may die, and a successor takes over
its claim; an instance may be lost.  Timeouts may happen at any time.

The invariants are checked on the instances themselves: no more instances are commanded out of service than
the rule allows, and no claim is granted once a loss or a halt is recorded.
"""

from __future__ import annotations

import copy
import enum
from collections.abc import Hashable, Iterator
from typing import NamedTuple

import msgspec

from heronreel.coordination.errors import RequestError
from heronreel.coordination.keyspace import EMPTY_CONTENT, Keyspace
from heronreel.coordination.model import Put, ResponseOrError, Txn
from heronreel.fault_injection.explore import InvariantViolationError
from heronreel.fleet.budget_transactions import (
    TRANSFER_CHANGE,
    halt_transaction,
    observation_transaction,
    transfer_claim,
)
from heronreel.fleet.claim_requester import (
    Actions,
    ClaimGranted,
    ClaimGuards,
    ClaimIntent,
    ClaimReleased,
    ClaimRequester,
)
from heronreel.fleet.model import (
    DISRUPTION_CLAIM_PREFIX,
    REVISION_KEY,
    RULES_KEY,
    BudgetRule,
    Condition,
    DisruptionClaim,
    Halt,
    Instance,
    InstanceKind,
    encode_record,
    encode_rules,
)
from heronreel.leases.requests import SendRequest

MAX_UNAVAILABLE = 1
RULE = BudgetRule("one", InstanceKind.PROXY, max_unavailable=MAX_UNAVAILABLE)
INSTANCE_IDS = ("proxy/x", "proxy/y")
OPERATOR = "x"
NO_OPERATION = 0  # fencing token of a request whose operation no longer waits for the response


class OperationStage(enum.Enum):
    """The progress of an operation."""

    NEW = "new"
    ACQUIRING = "acquiring"
    CLAIMED = "claimed"
    DISRUPTED = "disrupted"  # the instance was commanded out of service
    RESTORED = "restored"  # the instance was commanded back into service
    DONE = "done"


class Limits(NamedTuple):
    """How often each kind of event may still happen."""

    requests: str = "01"  # indexes of the operations that may request their claim, once per occurrence
    observations: int = 3
    losses: int = 0
    deaths: int = 0  # deaths of operations, each followed by a successor
    halts: int = 0
    messages: int = 12  # requests to the group


class Owner(NamedTuple):
    """The actual state of one instance, and the state that its owner keeps."""

    position: tuple[int, int] = (0, 0)  # greatest fencing token, and the sequence number under it
    observation: int = 0
    disrupted: bool = False  # whether the last command took it out of service
    lost: bool = False
    report: Txn | None = None  # report in transit to the group


class Command(NamedTuple):
    """A command in transit to an owner."""

    fencing_token: int
    instance_id: str
    disrupt: bool


class GroupRequest(NamedTuple):
    """A request in transit to the group."""

    fencing_token: int  # token of the operation that waits for the response, or NO_OPERATION
    request: Txn


class GroupResponse(NamedTuple):
    """A response in transit to an operation."""

    fencing_token: int
    response: ResponseOrError


Message = GroupRequest | GroupResponse | Command
Step = tuple[str, "BudgetWorld"]


class Operation(NamedTuple):
    """One operation on one instance."""

    requester: ClaimRequester
    stage: OperationStage = OperationStage.NEW
    last_command_observation: int = 0

    @property
    def fencing_token(self) -> int:
        """The token that identifies the operation."""
        return self.requester.fencing_token

    @property
    def instance_id(self) -> str:
        """The instance that it operates on."""
        return self.requester.instance_ids[0]


class BudgetWorld:
    """One state of the world."""

    def __init__(self, limits: Limits, guards: ClaimGuards, *, ordered: bool = True) -> None:
        """Create a world; if `ordered`, owners reject commands that were overtaken (a test disables this)."""
        self.ordered = ordered
        self.limits = limits
        self.guards = guards
        state = Keyspace.from_content(EMPTY_CONTENT).apply(Put(RULES_KEY, encode_rules((RULE,)))).state
        for instance_id in INSTANCE_IDS:
            instance = Instance(InstanceKind.PROXY, _name_of(instance_id), condition=Condition.SERVING)
            state = state.apply(Put(instance.key, encode_record(instance))).state
        self.state = state.apply(Put(REVISION_KEY, b"")).state
        self.owners: tuple[Owner, ...] = (Owner(), Owner())
        self.operations: tuple[Operation, ...] = tuple(
            Operation(self._requester(index + 1, instance_id))
            for index, instance_id in enumerate(INSTANCE_IDS)
        )
        self.messages: frozenset[Message] = frozenset()
        self.recorded_loss = ""  # id of the instance whose loss is recorded
        self.halted = False

    def _requester(self, fencing_token: int, instance_id: str) -> ClaimRequester:
        operation_id = f"o{fencing_token}"
        return ClaimRequester(
            operation_id, OPERATOR, "drain", fencing_token, (instance_id,), guards=self.guards
        )

    def fork(self) -> BudgetWorld:
        """Return a copy of this state that can be changed."""
        world = object.__new__(BudgetWorld)
        world.__dict__.update(self.__dict__)
        return world

    def key(self) -> Hashable:
        """Return a key that is equal for states with the same future."""
        operations = tuple(
            (
                operation.stage,
                operation.last_command_observation,
                operation.fencing_token,
                operation.requester.phase.value,
                operation.requester.intent.value,
                operation.requester.in_flight is not None,
            )
            for operation in self.operations
        )
        return (
            operations,
            self.owners,
            self.messages,
            self.state.keys,
            self.limits,
            self.recorded_loss,
            self.halted,
        )

    def steps(self) -> Iterator[Step]:
        """Return all possible next steps: their descriptions and the states that they lead to."""
        if self.limits.halts:
            yield self._halt()
        for index, operation in enumerate(self.operations):
            yield from self._operation_steps(index, operation)
        for index, owner in enumerate(self.owners):
            yield from self._owner_steps(index, owner)
        for message in self.messages:
            yield self._delivery(message)

    def _halt(self) -> Step:
        world = self.fork()
        world.limits = self.limits._replace(halts=self.limits.halts - 1)
        world.state = self.state.apply(halt_transaction(Halt(OPERATOR, "enough"))).state
        world.halted = True
        return "the fleet is halted", world

    def _delivery(self, message: Message) -> Step:
        if isinstance(message, GroupRequest):
            description = f"the group receives a request of {message.fencing_token or 'a dead operation'}"
            return self._checked(description, self._deliver_request(message))
        if isinstance(message, GroupResponse):
            description = f"{message.fencing_token} receives a response"
            return self._checked(description, self._deliver_response(message))
        return self._deliver_command(message)

    # -- operations

    def _operation_steps(self, index: int, operation: Operation) -> Iterator[Step]:
        waiting = operation.requester.in_flight is not None
        if operation.stage == OperationStage.NEW and str(index) in self.limits.requests:
            yield self._acquire(index, operation)
        if operation.stage in (OperationStage.CLAIMED, OperationStage.DISRUPTED):
            yield self._send_command(index, operation)
        if operation.stage == OperationStage.RESTORED and not waiting and self.limits.messages:
            yield self._release(index, operation)
        if waiting and self.limits.messages:
            yield self._time_out(index, operation)
        elif operation.requester.intent is not ClaimIntent.NONE and not waiting and self.limits.messages:
            yield self._retry(index, operation)
        if operation.stage != OperationStage.NEW and self.limits.deaths:
            description = f"{operation.fencing_token} dies, and a successor takes over"
            yield self._checked(description, self._replace_by_successor(index, operation))

    def _acquire(self, index: int, operation: Operation) -> Step:
        world = self.fork()
        remaining = self.limits.requests.replace(str(index), "", 1)
        world.limits = self.limits._replace(requests=remaining)
        requester = copy.copy(operation.requester)
        changed = operation._replace(requester=requester, stage=OperationStage.ACQUIRING)
        world._carry_out(index, changed, requester.acquire(0.0))
        return f"{operation.fencing_token} requests a claim on {operation.instance_id}", world

    def _send_command(self, index: int, operation: Operation) -> Step:
        world = self.fork()
        disrupt = operation.stage == OperationStage.CLAIMED
        token, instance_id = operation.fencing_token, operation.instance_id
        world.messages = self.messages | {Command(token, instance_id, disrupt)}
        world._set_operation(
            index, operation._replace(stage=OperationStage.DISRUPTED if disrupt else OperationStage.RESTORED)
        )
        return f"{token} commands {instance_id} {_direction(disrupt)}", world

    def _release(self, index: int, operation: Operation) -> Step:
        world = self.fork()
        requester = copy.copy(operation.requester)
        actions = requester.release(
            requester.next_attempt_at, operation.instance_id, operation.last_command_observation
        )
        world._carry_out(index, operation._replace(requester=requester), actions)
        return f"{operation.fencing_token} releases its claim on {operation.instance_id}", world

    def _time_out(self, index: int, operation: Operation) -> Step:
        world = self.fork()
        world._drop_messages_of(operation.fencing_token)
        requester = copy.copy(operation.requester)
        actions = requester.tick(requester.wake())
        world._carry_out(index, operation._replace(requester=requester), actions)
        return f"{operation.fencing_token} receives no response", world

    def _retry(self, index: int, operation: Operation) -> Step:
        world = self.fork()
        requester = copy.copy(operation.requester)
        actions = requester.tick(requester.next_attempt_at)
        world._carry_out(index, operation._replace(requester=requester), actions)
        return f"{operation.fencing_token} sends a request", world

    def _replace_by_successor(self, index: int, operation: Operation) -> BudgetWorld:
        """Replace an operation by a successor with a greater fencing token.

        The successor takes over the claim, if there is one, to restore service.
        """
        world = self.fork()
        world.limits = self.limits._replace(deaths=self.limits.deaths - 1)
        world._drop_messages_of(operation.fencing_token)
        token = max(other.fencing_token for other in self.operations) + 1
        instance_id = operation.instance_id
        successor = Operation(world._requester(token, instance_id), OperationStage.DISRUPTED)
        record = self.state.keys.get(DISRUPTION_CLAIM_PREFIX + instance_id.encode())
        if record is None:
            world._set_operation(index, successor._replace(stage=OperationStage.DONE))
            return world
        claim = msgspec.json.decode(record.value, type=DisruptionClaim)
        transferred = transfer_claim(claim, f"o{token}", OPERATOR, token)
        world.state = self.state.apply(Put(transferred.key, encode_record(transferred))).state
        world.state = world.state.apply(Put(REVISION_KEY, TRANSFER_CHANGE)).state
        world._set_operation(index, successor)
        return world

    def _carry_out(self, index: int, operation: Operation, actions: Actions) -> None:
        for action in actions:
            if isinstance(action, SendRequest):
                assert isinstance(action.request, Txn)
                self.limits = self.limits._replace(messages=max(0, self.limits.messages - 1))
                self.messages |= {GroupRequest(operation.fencing_token, action.request)}
            elif isinstance(action, ClaimGranted):
                operation = operation._replace(stage=OperationStage.CLAIMED)
            elif isinstance(action, ClaimReleased):
                operation = operation._replace(stage=OperationStage.DONE)
        self._set_operation(index, operation)

    # -- owners

    def _owner_steps(self, index: int, owner: Owner) -> Iterator[Step]:
        if self.limits.losses and not owner.lost:
            yield self._lose(index, owner)
        if self.limits.observations and owner.report is None:
            yield self._observe(index, owner)
        if owner.report is not None:
            yield self._deliver_report(index, owner, owner.report)

    def _lose(self, index: int, owner: Owner) -> Step:
        world = self.fork()
        world.limits = self.limits._replace(losses=self.limits.losses - 1)
        world._set_owner(index, owner._replace(lost=True))
        return f"{INSTANCE_IDS[index]} is lost", world

    def _observe(self, index: int, owner: Owner) -> Step:
        world = self.fork()
        world.limits = self.limits._replace(observations=self.limits.observations - 1)
        observation = owner.observation + 1
        instance = Instance(
            InstanceKind.PROXY,
            _name_of(INSTANCE_IDS[index]),
            condition=_condition_of(owner),
            observation=observation,
            fencing_token=owner.position[0],
        )
        report = observation_transaction(self.state.keys[REVISION_KEY].mod_revision, instance)
        world._set_owner(index, owner._replace(observation=observation, report=report))
        return f"the owner of {instance.id} observes it: {instance.condition.value}", world

    def _deliver_report(self, index: int, owner: Owner, report: Txn) -> Step:
        instance_id = INSTANCE_IDS[index]
        world = self.fork()
        world._set_owner(index, owner._replace(report=None))
        before = self.state
        world.state = before.apply(report).state
        if owner.lost and world.state is not before and _reports_failure(report):
            stored = world.state.keys[REVISION_KEY].mod_revision != before.keys[REVISION_KEY].mod_revision
            world.recorded_loss = instance_id if stored else ""
        return f"the owner of {instance_id} reports", world

    def _deliver_command(self, command: Command) -> Step:
        index = INSTANCE_IDS.index(command.instance_id)
        owner = self.owners[index]
        world = self.fork()
        world.messages = self.messages - {command}
        direction = _direction(command.disrupt)
        description = (
            f"the owner of {command.instance_id} receives {command.fencing_token}'s command {direction}"
        )
        # Commands of the same operation may overtake one another as well.
        sequence = (1 if command.disrupt else 2) if self.ordered else 0
        position = (command.fencing_token, sequence)
        if position < owner.position:
            return description, world  # rejected as outdated
        world._set_owner(index, owner._replace(position=position, disrupted=command.disrupt))
        for number, operation in enumerate(world.operations):
            if operation.fencing_token == command.fencing_token and not command.disrupt:
                acknowledged = operation._replace(last_command_observation=owner.observation)
                world._set_operation(number, acknowledged)
        return self._checked(description, world)

    # -- the group

    def _deliver_request(self, message: GroupRequest) -> BudgetWorld:
        world = self.fork()
        world.messages = self.messages - {message}
        response: ResponseOrError
        try:
            applied = self.state.apply(message.request)
            world.state, response = applied.state, applied.response
        except RequestError as error:
            response = error
        if message.fencing_token != NO_OPERATION:
            world.messages |= {GroupResponse(message.fencing_token, response)}
        self._check_grants(world)
        return world

    def _deliver_response(self, message: GroupResponse) -> BudgetWorld:
        world = self.fork()
        world.messages = self.messages - {message}
        for index, operation in enumerate(self.operations):
            in_flight = operation.requester.in_flight
            if operation.fencing_token == message.fencing_token and in_flight is not None:
                number, sent_at = in_flight
                requester = copy.copy(operation.requester)
                actions = requester.response_received(sent_at, number, message.response)
                world._carry_out(index, operation._replace(requester=requester), actions)
        return world

    # -- changes of a fork

    def _set_operation(self, index: int, operation: Operation) -> None:
        self.operations = (*self.operations[:index], operation, *self.operations[index + 1 :])

    def _set_owner(self, index: int, owner: Owner) -> None:
        self.owners = (*self.owners[:index], owner, *self.owners[index + 1 :])

    def _drop_messages_of(self, fencing_token: int) -> None:
        """End an operation's wait; its writes may still reach the group, and its commands the owners."""
        kept = {
            message
            for message in self.messages
            if isinstance(message, Command) or message.fencing_token != fencing_token
        }
        for message in self.messages - kept:
            if isinstance(message, GroupRequest) and message.request.writes:
                kept.add(GroupRequest(NO_OPERATION, message.request))
        self.messages = frozenset(kept)

    # -- invariants

    def _check_grants(self, world: BudgetWorld) -> None:
        granted = [
            key
            for key in world.state.keys
            if key.startswith(DISRUPTION_CLAIM_PREFIX) and key not in self.state.keys
        ]
        lost_key = DISRUPTION_CLAIM_PREFIX + self.recorded_loss.encode()
        if self.recorded_loss and any(key != lost_key for key in granted):
            raise InvariantViolationError(
                "a claim was granted although a loss was recorded", "the group receives a request"
            )
        if self.halted and granted:
            raise InvariantViolationError(
                "a claim was granted after the halt", "the group receives a request"
            )

    def _checked(self, description: str, world: BudgetWorld) -> Step:
        owners = zip(INSTANCE_IDS, world.owners, strict=True)
        disrupted = [instance_id for instance_id, owner in owners if owner.disrupted and not owner.lost]
        if len(disrupted) > MAX_UNAVAILABLE:
            raise InvariantViolationError(f"{' and '.join(disrupted)} are out of service", description)
        return description, world


def _name_of(instance_id: str) -> str:
    return instance_id.partition("/")[2]


def _direction(disrupt: bool) -> str:
    return "out" if disrupt else "back"


def _condition_of(owner: Owner) -> Condition:
    if owner.lost:
        return Condition.FAILED
    return Condition.OUT_OF_SERVICE if owner.disrupted else Condition.SERVING


def _reports_failure(report: Txn) -> bool:
    """Return whether a report states that the instance has failed."""
    values = [write.value for write in report.success if isinstance(write, Put) and write.key != REVISION_KEY]
    instances = [msgspec.json.decode(value, type=Instance) for value in values]
    return any(instance.condition is Condition.FAILED for instance in instances)
