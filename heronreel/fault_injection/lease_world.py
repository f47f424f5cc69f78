"""A world for the explorer: two holders that compete for one task, the service, and a fenced resource.

It uses the real `LeaseClient`, `Claim`, `KeyValueService` and `FencingGuard`.

The service is a single member (`group_world` shows that a group behaves like one); a step may also change its
leader.  Requests and responses may be delayed, duplicated or lost.  Time passes in steps of one second, which
the holders' clocks measure as shorter and the service's clock as longer by `drift`.  A holder checks its
claim, and its action reaches the resource at any later time, or within the safety margin if it is not
delayed.

The checks are independent of the cores: two holders never act at the same time; no action of a holder is
admitted after one of a later holder; and an action that was not delayed ends before the next holder acts.
"""

from __future__ import annotations

import copy
from collections.abc import Hashable, Iterator
from typing import NamedTuple

import msgspec
from immutables import Map

from heronreel.coordination.actions import Actions as MemberActions
from heronreel.coordination.actions import Persist
from heronreel.coordination.consensus import ConsensusMember
from heronreel.coordination.kv_service import KeyValueService, Outputs
from heronreel.coordination.member_state import DurableState, Timing
from heronreel.coordination.model import LeaseKeepAlive, Request, ResponseOrError
from heronreel.coordination.request_batch import RequestCompleted
from heronreel.fault_injection.explore import InvariantViolationError
from heronreel.leases.claim import Actions, Claim, ClaimAcquired, ClaimLost
from heronreel.leases.fencing import FencingGuard
from heronreel.leases.keys import claim_key
from heronreel.leases.lease import LeaseClient, LeaseTerms
from heronreel.leases.requests import SendRequest

TASK = "task"
HOLDERS = (0, 1)
TTL_S = 4
SAFETY_MARGIN_S = 1.0
RESPONSE_TIMEOUT_S = 1.0
REQUEST_TIMEOUT_S = 1e9  # request timeout of the service: longer than any search
LEASE_IDS_PER_HOLDER = 100


class LeaseGuards(NamedTuple):
    """The safeguards of the guarantees; tests disable them one at a time, and the checks must then fail."""

    fencing: bool = True
    registration: bool = True  # a new holder registers at the resource before it acts
    safety_margin: bool = True
    drift_margin: bool = True  # the service allows for clock drift
    increasing_tokens: bool = True


class Limits(NamedTuple):
    """How often each kind of event may still happen."""

    seconds: int = 7  # seconds of true time
    requests: tuple[int, int] = (1, 6)  # requests of each holder
    actions: int = 2
    leader_changes: int = 1


class DelayedAction(NamedTuple):
    """An action in transit to the resource."""

    holder: int
    fencing_token: int
    started_at: int  # seconds of true time
    turn: int  # number of the holder's grant


class RequestMessage(NamedTuple):
    """A request in transit to the service."""

    holder: int
    request_id: int
    request: Request


class ResponseMessage(NamedTuple):
    """A response in transit to a holder."""

    holder: int
    request_id: int
    response: ResponseOrError


class LeaseWorld:
    """One state of the world."""

    def __init__(
        self, limits: Limits, guards: LeaseGuards, *, drift: float = 0.1, true_drift: float | None = None
    ) -> None:
        """Create a world; the service allows for `drift`, and clocks drift by `true_drift`, maybe more."""
        self.limits = limits
        self.guards = guards
        self.drift = drift
        self.true_drift = drift if true_drift is None else true_drift
        self.time = 0
        self.leases = tuple(self._lease(holder) for holder in HOLDERS)
        self.registered: tuple[int, int] = (0, 0)  # the token with which each holder has registered
        self.service = self._service(DurableState("a1"))
        self.messages: frozenset[RequestMessage | ResponseMessage] = frozenset()
        self.delayed: frozenset[DelayedAction] = frozenset()
        self.highest_tokens: Map[bytes, int] = Map()  # registered at the resource
        # For the checks: the number of each holder's latest grant, counted over both holders.
        self.turns: tuple[int, int] = (0, 0)
        self.latest_turn = 0  # latest grant of which the resource has admitted an action
        self._prepare()

    def _lease(self, holder: int) -> LeaseClient:
        terms = LeaseTerms(TTL_S, SAFETY_MARGIN_S, RESPONSE_TIMEOUT_S, self.guards.safety_margin)
        lease = LeaseClient(terms, 0.0, _LeaseIds(holder))
        lease.claim(claim_key(TASK), b"%d" % holder)
        return lease

    def _prepare(self) -> None:
        """Advance to the state from which all orders of events are explored.

        In this state the first holder has the task and has registered, and the second one requests it.
        """
        for holder, lease in enumerate(self.leases):
            actions = lease.tick(0.0)
            while actions:
                requests = [action for action in actions if isinstance(action, SendRequest)]
                actions = []
                for sent in requests:
                    outputs = self.service.submit(0.0, 1, sent.request, REQUEST_TIMEOUT_S)
                    for completed in self._run_service(self.service, outputs):
                        actions += lease.on_response(0.0, sent.request_id, completed.response)
                self._carry_out(holder, [action for action in actions if not isinstance(action, SendRequest)])
        token = self.leases[0].claims[0].fencing_token(0.0)
        assert token
        self.highest_tokens = Map({TASK.encode(): token})
        self.registered = (token, 0)

    def _service(self, disk: DurableState) -> KeyValueService:
        member = ConsensusMember("a", ("a",), disk, 0.0, timing=Timing(0.0, 0.0, 0.0, 1e9))
        service = KeyValueService(member, max_clock_drift=self.drift if self.guards.drift_margin else 0.0)
        self._run_service(service, service.tick(self.service_time()))
        return service

    def service_time(self) -> float:
        """Return the time of the service's clock."""
        return self.time * (1 + self.true_drift)

    def holder_time(self) -> float:
        """Return the time of the holders' clocks."""
        return self.time * (1 - self.true_drift)

    def _run_service(self, service: KeyValueService, outputs: Outputs) -> list[RequestCompleted]:
        """Carry out all outputs of the service immediately: each write is durable at once."""
        completed: list[RequestCompleted] = []
        queue = list(outputs)
        while queue:
            output = queue.pop(0)
            if isinstance(output, Persist):
                actions: MemberActions = service.member.persisted(self.service_time(), output.number)
                queue += service.handle_actions(self.service_time(), actions)
            elif isinstance(output, RequestCompleted):
                completed.append(output)
        return completed

    def fork(self) -> LeaseWorld:
        """Return a copy with independent cores."""
        world = object.__new__(LeaseWorld)
        world.__dict__.update(self.__dict__)
        world.leases = tuple(_forked(lease) for lease in self.leases)
        world.service = self.service.fork()
        return world

    def key(self) -> Hashable:
        """Return a key that is equal for worlds with the same future."""
        service = self.service
        return (
            tuple(_lease_key(lease) for lease in self.leases),
            self.registered,
            self.time,
            self.limits,
            self.messages,
            self.delayed,
            self.highest_tokens,
            self.latest_turn,
            self.turns,
            service.state.keys,
            service.state.leases,
            service.lease_deadlines.by_lease,
            service.state.revision,
        )

    # -- steps

    def steps(self) -> Iterator[tuple[str, LeaseWorld]]:
        """Return all possible next steps: their descriptions and the states that they lead to.

        Raises:
            InvariantViolationError: A step violates a guarantee.
        """
        if self.limits.seconds:
            yield self._checked("a second passes", self._after_second())
        for message in self.messages:
            if isinstance(message, RequestMessage):
                description = f"the service gets from {message.holder}: {type(message.request).__name__}"
                yield self._checked(description, self._after_request(message))
            else:
                description = f"{message.holder} gets the response: {_describe(message.response)}"
                yield self._checked(description, self._after_response(message))
        for holder in HOLDERS:
            yield from self._holder_steps(holder)
        for action in self.delayed:
            description = f"the action of {action.holder} reaches the resource"
            yield self._checked(description, self._after_action(action))
        if self.limits.leader_changes:
            yield self._checked("the leader changes", self._after_leader_change())

    def _holder_steps(self, holder: int) -> Iterator[tuple[str, LeaseWorld]]:
        """Return the steps of a holder that may act now."""
        token = self._fencing_token(holder)
        if not token:
            return
        if token != self.registered[holder] and self.guards.registration:
            description = f"{holder} registers at the resource with {token}"
            yield self._checked(description, self._after_registration(holder, token))
        elif self.limits.actions and not any(action.holder == holder for action in self.delayed):
            description = f"{holder} checks its claim, and begins an action"
            yield self._checked(description, self._after_check(holder, token))

    def _fencing_token(self, holder: int) -> int:
        return self.leases[holder].claims[0].fencing_token(self.holder_time())

    def _checked(self, description: str, world: LeaseWorld) -> tuple[str, LeaseWorld]:
        world.messages = frozenset(message for message in world.messages if world._has_effect(message))
        if all(world._fencing_token(holder) for holder in HOLDERS):
            raise InvariantViolationError("two act at once", description)
        return description, world

    def _has_effect(self, message: RequestMessage | ResponseMessage) -> bool:
        """Return whether a message can have an effect.

        A response without a waiting receiver has none; a request may have one however late it arrives.
        """
        if isinstance(message, RequestMessage) and not isinstance(message.request, LeaseKeepAlive):
            return True
        lease = self.leases[message.holder]
        awaited = [claim.in_flight.request_id for claim in lease.claims if claim.in_flight is not None]
        if lease.in_flight is not None:
            awaited.append(lease.in_flight.request_id)
        return message.request_id in awaited

    def _after_second(self) -> LeaseWorld:
        world = self.fork()
        world.time += 1
        world.limits = self.limits._replace(seconds=self.limits.seconds - 1)
        world._run_service(world.service, world.service.tick(world.service_time()))
        for holder in HOLDERS:
            world._carry_out(holder, world.leases[holder].tick(world.holder_time()))
        return world

    def _carry_out(self, holder: int, actions: Actions) -> None:
        """Carry out the actions of a holder's core."""
        for action in actions:
            if isinstance(action, SendRequest):
                self._send(holder, action)
            elif isinstance(action, ClaimAcquired):
                self._on_acquired(holder)
            elif isinstance(action, ClaimLost):
                self.registered = _replaced(self.registered, holder, 0)

    def _send(self, holder: int, action: SendRequest) -> None:
        left = self.limits.requests[holder]
        if left:
            self.limits = self.limits._replace(requests=_replaced(self.limits.requests, holder, left - 1))
            self.messages |= {RequestMessage(holder, action.request_id, action.request)}

    def _on_acquired(self, holder: int) -> None:
        turn = max(self.turns)
        seen_again = turn and self.turns[holder] == turn  # the same grant, seen once more
        if not seen_again:
            turn += 1
        self.turns = _replaced(self.turns, holder, turn)
        if not self.guards.increasing_tokens:
            self.leases[holder].claims[0].granted_token = 1

    def _after_request(self, message: RequestMessage) -> LeaseWorld:
        world = self.fork()
        now = world.service_time()
        outputs = world.service.submit(now, 1, message.request, now + REQUEST_TIMEOUT_S)
        for completed in world._run_service(world.service, outputs):
            world.messages |= {ResponseMessage(message.holder, message.request_id, completed.response)}
        return world

    def _after_response(self, message: ResponseMessage) -> LeaseWorld:
        world = self.fork()
        now = world.holder_time()
        lease = world.leases[message.holder]
        actions = lease.on_response(now, message.request_id, message.response)
        world._carry_out(message.holder, actions + lease.tick(now))
        return world

    def _after_registration(self, holder: int, token: int) -> LeaseWorld:
        world = self.fork()
        guard = FencingGuard(self.highest_tokens.items())
        if guard.admit(TASK.encode(), token).admitted:
            world.highest_tokens = Map(guard.highest_tokens)
            world.registered = _replaced(self.registered, holder, token)
        return world

    def _after_check(self, holder: int, token: int) -> LeaseWorld:
        world = self.fork()
        world.limits = self.limits._replace(actions=self.limits.actions - 1)
        world.delayed = self.delayed | {DelayedAction(holder, token, self.time, self.turns[holder])}
        return world

    def _after_action(self, action: DelayedAction) -> LeaseWorld:
        """Deliver an action to the resource.

        Raises:
            InvariantViolationError: The resource admits an action that it must reject.
        """
        world = self.fork()
        world.delayed = self.delayed - {action}
        if self.guards.fencing:
            guard = FencingGuard(self.highest_tokens.items())
            if not guard.admit(TASK.encode(), action.fencing_token).admitted:
                return world
            world.highest_tokens = Map(guard.highest_tokens)
        self._check_admitted(action)
        world.latest_turn = action.turn
        return world

    def _check_admitted(self, action: DelayedAction) -> None:
        description = f"the action of {action.holder} reaches the resource"
        other = 1 - action.holder
        if action.turn < self.latest_turn:
            raise InvariantViolationError(
                f"an action of {action.holder} is taken after {other} has acted", description
            )
        other_token = self._fencing_token(other)
        other_acts = other_token and (self.registered[other] == other_token or not self.guards.registration)
        elapsed_s = (self.time - action.started_at) * (1 - self.true_drift)
        if other_acts and elapsed_s <= SAFETY_MARGIN_S:
            raise InvariantViolationError(
                f"an action of {action.holder}, not held up, ends while {other} acts", description
            )

    def _after_leader_change(self) -> LeaseWorld:
        world = self.fork()
        world.limits = self.limits._replace(leader_changes=self.limits.leader_changes - 1)
        member = self.service.member
        disk = DurableState("a1", member.group_id, member.promised, member.version, member.content)
        world.service = world._service(disk)
        return world


class _LeaseIds:
    """Generates unique lease ids."""

    def __init__(self, holder: int) -> None:
        self.latest = LEASE_IDS_PER_HOLDER * (holder + 1)

    def __call__(self) -> int:
        self.latest += 1
        return self.latest


def _replaced(pair: tuple[int, int], holder: int, value: int) -> tuple[int, int]:
    """Return a pair of the holders' values in which this holder's value is replaced."""
    return (value, pair[1]) if holder == 0 else (pair[0], value)


def _forked(lease: LeaseClient) -> LeaseClient:
    fork = copy.copy(lease)
    fork.backoff = copy.copy(lease.backoff)
    fork.generate_lease_id = copy.copy(lease.generate_lease_id)
    fork.claims = []
    for claim in lease.claims:
        claim_fork: Claim = copy.copy(claim)
        claim_fork.lease = fork
        claim_fork.backoff = copy.copy(claim.backoff)
        fork.claims.append(claim_fork)
    return fork


def _lease_key(lease: LeaseClient) -> Hashable:
    """Return the state of a lease and its claim that determines the world's future."""
    (claim,) = lease.claims
    return (
        lease.lease_id,
        lease.granted,
        lease.valid_until,
        lease.next_request_at,
        lease.last_request_id,
        lease.in_flight,
        lease.backoff.failures,
        claim.granted_token,
        claim.next_request_at,
        claim.in_flight,
        claim.backoff.failures,
    )


def _describe(response: ResponseOrError) -> str:
    kind = type(response).__name__
    if isinstance(response, msgspec.Struct):
        return kind
    return f"{kind}{tuple(response)[:3]}" if isinstance(response, tuple) else f"{kind}: {response}"
