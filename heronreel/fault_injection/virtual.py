"""A seeded simulation of a group and its lease holders in virtual time, around the cores that processes run.

Members, network and clocks have the faults of `virtual_group`, and holders are paused.  After the last fault
the group has to respond again.

These invariants are checked: two holders never act at the same time unless one is paused; in that case the
fenced resource accepts nothing from the earlier holder after it has accepted an action of the later one.  The
calls of clients are linearizable.  The invariant on holders is checked at every step.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import NamedTuple

from heronreel.coordination.errors import RequestError, StatusCode
from heronreel.coordination.member_state import ALL_GUARDS, Guards
from heronreel.coordination.model import (
    Compare,
    CompareOperator,
    CompareTarget,
    Put,
    Range,
    RangeResponse,
    Request,
    ResponseOrError,
    Txn,
    TxnResponse,
)
from heronreel.fault_injection.histories import Operation
from heronreel.fault_injection.linearizability import CAS, PUT, READ, find_violation
from heronreel.fault_injection.virtual_group import VirtualGroup
from heronreel.leases.claim import Actions, ClaimAcquired
from heronreel.leases.fencing import FencingGuard
from heronreel.leases.lease import LeaseClient, LeaseTerms
from heronreel.leases.requests import SendRequest

TASK = b"held/task"
KEYS = (b"x", b"y")


@dataclass
class Holder:
    """A process that competes for the lease."""

    number: int
    rate: float
    session: LeaseClient
    paused_until: float = 0.0
    entered: int = 0  # fencing token with which it has registered at the resource


class Grant(NamedTuple):
    """A lease that was granted to a holder."""

    token: int
    holder: int


class AcceptedAction(NamedTuple):
    """An action that the resource has accepted."""

    at: float  # virtual time in seconds
    holder: int
    turn: int  # index of the holder's grant among all grants


class Fault(Enum):
    """A kind of fault that the simulation injects."""

    CRASH = auto()
    PAUSE_MEMBER = auto()
    PARTITION = auto()
    ONE_WAY_PARTITION = auto()
    LOSS = auto()
    PAUSE_HOLDER = auto()


# Faults are drawn from this tuple; the pause of a holder is twice as likely as any other fault.
_FAULTS = (
    Fault.CRASH,
    Fault.PAUSE_MEMBER,
    Fault.PARTITION,
    Fault.ONE_WAY_PARTITION,
    Fault.LOSS,
    Fault.PAUSE_HOLDER,
    Fault.PAUSE_HOLDER,
)
LOSS_RATES = (0.02, 0.2, 0.4)  # lost messages as a share of all messages


class VirtualWorld(VirtualGroup):
    """One run that is determined by its seed: `run` executes it, and `problems` lists the violations."""

    def __init__(
        self,
        seed: int,
        *,
        members: int = 3,
        holders: int = 4,
        seconds: float = 30.0,
        faults: int = 8,
        drift: float = 0.05,
        guards: Guards = ALL_GUARDS,
        fenced: bool = True,
        margin: bool = True,
    ) -> None:
        """Prepare a run.

        Args:
            seed: Determines all random choices.
            members: The number of members of the group.
            holders: The number of processes that compete for the lease.
            seconds: The virtual duration of the run; no fault begins in its last third.
            faults: The number of injected faults.
            drift: The maximum deviation of clock rates from true time, as a share.
            guards: The enabled safeguards of the consensus protocol.
            fenced: Whether the resource rejects earlier holders.
            margin: Whether holders stop before their lease expires.
        """
        super().__init__(seed, members=members, drift=drift, guards=guards)
        self.end = seconds
        self.fenced = fenced
        self.problems: list[str] = []
        terms = LeaseTerms(ttl_s=3, safety_margin_s=0.5, response_timeout_s=0.4, stops_before_expiry=margin)
        self.holders: list[Holder] = []
        for number in range(holders):
            rate = self._rate()
            draw = self._draw()
            session = LeaseClient(terms, 0.0, draw, self.rng.random)
            session.claim(TASK, b"%d" % number)
            self.holders.append(Holder(number, rate, session))
        self.fencing = FencingGuard()
        self.accepted: list[AcceptedAction] = []
        self.grants: list[Grant] = []  # in the order of the grants
        self.calls: list[Operation] = []
        self.healed = False
        self.responses_after_heal = 0
        for at in sorted(self.rng.uniform(1.0, seconds * 0.6) for _ in range(faults)):
            self.schedule(at, self._fault)
        self.schedule(seconds * 0.7, self._heal)

    # -- the run

    def run(self) -> list[str]:
        """Execute the run, and return the violations."""
        for node in self.nodes.values():
            self._tick_node(node, node.restarts)
        for holder in self.holders:
            self._tick_holder(holder)
        for client in range(2):
            self.schedule(0.5, lambda client=client: self._client(client, 0))  # type: ignore[misc]
        while self.has_events() and not self.problems:
            call = self.next_event()
            if self.now > self.end:
                break
            call()
            self._check_invariants()
        if not self.problems:
            if not self.responses_after_heal:
                self.problems.append("nothing was answered after the last fault")
            if violation := find_violation(self.calls):
                self.problems.append(violation)
        return self.problems

    # -- clients

    def _client(self, client: int, number: int) -> None:
        """Make calls sequentially on a few keys."""
        key = self.rng.choice(KEYS)
        kind = self.rng.choice((READ, PUT, CAS))
        new_value = f"{client}.{number}"
        recent_values = [call.arguments[-1] for call in self.calls[-6:] if call.kind != READ]
        expected = self.rng.choice(recent_values or [None])
        request, arguments = _client_request(kind, key, new_value, expected)
        index = len(self.calls)
        self.calls.append(Operation(f"c{client}", kind, arguments, self.now, float("inf"), None))

        def on_response(response: ResponseOrError | None) -> None:
            result: object = None
            if isinstance(response, RangeResponse):
                result = response.records[0][1].value.decode() if response.records else None
            elif isinstance(response, TxnResponse):
                result = response.succeeded
            if response is not None and not isinstance(response, RequestError):
                self.calls[index] = self.calls[index]._replace(end=self.now, result=result)
                self.responses_after_heal += self.healed
            self.schedule(self.now + self.rng.uniform(0.05, 0.4), lambda: self._client(client, number + 1))

        self._send_request(request, 1.0, on_response)

    # -- holders

    def _holder_time(self, holder: Holder) -> float:
        return self.now * holder.rate

    def _tick_holder(self, holder: Holder) -> None:
        if self.now < holder.paused_until:
            self.schedule(holder.paused_until, lambda: self._tick_holder(holder))
            return
        self._holder_actions(holder, holder.session.tick(self._holder_time(holder)))
        self._act(holder)
        due = holder.session.next_wakeup() / holder.rate
        self.schedule(min(max(due, self.now + 0.01), self.now + 0.2), lambda: self._tick_holder(holder))

    def _holder_actions(self, holder: Holder, actions: Actions) -> None:
        for action in actions:
            if isinstance(action, SendRequest):
                self._send_for(holder, action)
            elif isinstance(action, ClaimAcquired):
                holder.entered = 0

    def _send_for(self, holder: Holder, action: SendRequest) -> None:
        def on_response(response: ResponseOrError | None) -> None:
            if self.now < holder.paused_until:
                self.schedule(holder.paused_until, lambda: on_response(response))
                return
            now = self._holder_time(holder)
            known = RequestError(StatusCode.DEADLINE_EXCEEDED, "") if response is None else response
            self._holder_actions(holder, holder.session.on_response(now, action.request_id, known))
            self._holder_actions(holder, holder.session.tick(now))

        self._send_request(action.request, holder.session.terms.response_timeout_s, on_response)

    def _act(self, holder: Holder) -> None:
        """Act if the lease is held; the action reaches the resource after a short or, rarely, long delay."""
        number = holder.session.claims[0].fencing_token(self._holder_time(holder))
        if not number:
            return
        if holder.entered != number:
            if self.fenced and not self.fencing.admit(TASK, number).admitted:
                return
            holder.entered = number
            grant = Grant(number, holder.number)
            if grant not in self.grants:
                self.grants.append(grant)
        delay = self.rng.uniform(0.0, 0.3)
        if self.rng.random() < 0.02:
            delay += self.rng.uniform(0.0, 6.0)
        self.schedule(self.now + delay, lambda: self._act_on_resource(holder, number))

    def _act_on_resource(self, holder: Holder, number: int) -> None:
        if self.fenced and not self.fencing.admit(TASK, number).admitted:
            return
        turn = self.grants.index(Grant(number, holder.number))
        if self.accepted and turn < self.accepted[-1].turn:
            self.problems.append(f"{self.now:.2f} s: {holder.number} is taken after a later holder")
        self.accepted.append(AcceptedAction(self.now, holder.number, turn))

    # -- faults and invariants

    def _fault(self) -> None:
        """Inject a random fault into a random member or holder for a random duration."""
        node = self.rng.choice(list(self.nodes.values()))
        fault = self.rng.choice(_FAULTS)
        length = self.rng.uniform(0.3, 4.0)
        match fault:
            case Fault.PAUSE_HOLDER:
                self._pause_holder(length)
            case Fault.LOSS:
                self.loss = self.rng.choice(LOSS_RATES)
            case Fault.PARTITION | Fault.ONE_WAY_PARTITION:
                self._partition(node, length, both_ways=fault is Fault.PARTITION)
            case Fault.PAUSE_MEMBER:
                self._pause_member(node, length)
            case Fault.CRASH if node.up:
                self._crash(node, length)

    def _pause_holder(self, length: float) -> None:
        """Pause a holder, preferably one that has the lease."""
        holding = [holder for holder in self.holders if holder.session.claims[0].granted_token]
        self.rng.choice(holding or self.holders).paused_until = self.now + length

    def _heal(self) -> None:
        """End all faults."""
        self.healed = True
        self._heal_members()

    def _check_invariants(self) -> None:
        acting = [
            holder.number
            for holder in self.holders
            if self.now >= holder.paused_until
            and holder.session.claims[0].fencing_token(self._holder_time(holder))
        ]
        if len(acting) > 1:
            self.problems.append(f"{self.now:.2f} s: {acting} act at once")


def _client_request(
    kind: str, key: bytes, new_value: str, expected: str | None
) -> tuple[Request, list[str | None]]:
    """Return a client's request, and its arguments in the form that the history records."""
    arguments: list[str | None] = [key.decode()]
    if kind == READ:
        return Range(key), arguments
    if kind == PUT:
        return Put(key, new_value.encode()), [*arguments, new_value]
    same = Compare(key, CompareTarget.CREATE, CompareOperator.EQUAL, 0)
    if expected is not None:
        same = Compare(key, CompareTarget.VALUE, CompareOperator.EQUAL, expected.encode())
    return Txn((same,), (Put(key, new_value.encode()),)), [*arguments, expected, new_value]
