"""A process's share of a budget that fleet-wide tasks have over the whole fleet.  No I/O; time is passed in.

Each class of tasks has a budget.  A process that holds tasks of the class takes a share of it, as a key
under its own lease, in whole quota units.  The shares never add up to more than the budget: each is written
by a transaction on the class's register, and what a lease holds is free again only after its holder has
stopped. Within its share a process takes tokens before it acts (`rate_limits`), so neither a busy task nor
many of them use more.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import msgspec

from heronreel.coordination.errors import RequestError
from heronreel.coordination.model import (
    Compare,
    CompareOperator,
    CompareTarget,
    DeleteRange,
    Put,
    Range,
    RangeResponse,
    ResponseOrError,
    Txn,
    TxnResponse,
    prefix_end,
)
from heronreel.leases.backoff import JitteredBackoff
from heronreel.leases.keys import BUDGET_PREFIX
from heronreel.leases.lease import LeaseClient
from heronreel.leases.rate_limits import TOTAL_UNITS
from heronreel.leases.requests import SendRequest

MIN_DIVISOR = 4  # no process gets more than a quarter of a budget
MIN_UNITS = TOTAL_UNITS // 64  # a process that finds fewer waits
REBALANCE_INTERVAL_S = 5.0  # at most, between two checks whether others need a share


class StoredShare(msgspec.Struct, frozen=True):
    """A process's share, as stored."""

    units: int = msgspec.field(name="share")


class _InFlightShareRequest(NamedTuple):
    sent: SendRequest
    units: int  # that are ours if it succeeds
    register_revision: int | None  # that it is applied at; None: it only reads


class _Usage(NamedTuple):
    """Who has what of a budget, as read from its keys."""

    register_revision: int
    own_units: int
    other_units: int  # of other leases
    holders: int  # processes, this one included
    waiting: int  # other processes that found too little
    waits: bool  # this one has a key that says so


class BudgetShare:
    """One process's share of one budget, from when it is acquired until it is released.

    A process that finds too little says so by a key of its own; whoever has more than its fair share gives
    the rest back at its next check.
    """

    def __init__(
        self,
        lease: LeaseClient,
        budget: str,
        process: str,
        jitter: Callable[[], float],
        *,
        guarded: bool = True,
    ) -> None:
        """`budget`: stored name of a class.  `guarded`: a test that takes it out has to fail."""
        self.lease = lease
        self.prefix = BUDGET_PREFIX + budget.encode() + b"/"
        self.part_prefix = self.prefix + b"part/"
        # written with each part, so that two processes never take the same remainder
        self.register_key = self.prefix + b"register"
        self.part_key = self.part_prefix + process.encode()
        self.waiting_key = self.prefix + b"wish/" + process.encode()
        self.units = 0
        self.units_lease_id = 0  # the lease under which the units are ours
        self.next_request_at = 0.0
        self.backoff = JitteredBackoff(jitter)
        self.in_flight: _InFlightShareRequest | None = None
        # at which a transaction without a response may still be applied; any later write prevents that
        self.unresolved_revision: int | None = None
        self.wanted = False
        self.guarded = guarded

    def usable_units(self, now: float) -> int:
        """The units that may be used at this moment, of `TOTAL_UNITS`."""
        own_lease = self.units_lease_id == self.lease.lease_id
        return self.units if self.wanted and own_lease and self.lease.valid(now) else 0

    def acquire(self, now: float) -> None:
        """Request a share, until it is released."""
        if not self.wanted:
            self.wanted = True
            self.next_request_at = now

    def release(self, now: float) -> None:
        """Give the share back: nothing is used from now on."""
        self.wanted = False
        self.next_request_at = now

    def awaits(self, request_id: int) -> bool:
        """Whether this request is its own and in flight."""
        return self.in_flight is not None and self.in_flight.sent.request_id == request_id

    def next_wakeup(self) -> float:
        """When `tick` has something to do, at the latest."""
        if self.in_flight is not None:
            return self.in_flight.sent.deadline
        return self.next_request_at if self.lease.granted else float("inf")

    def tick(self, now: float) -> list[SendRequest]:
        """Time has passed."""
        if self.units_lease_id != self.lease.lease_id and self.units:
            self.units = 0  # the lease that had them has expired
            self.next_request_at = now
        if self.in_flight is not None and now >= self.in_flight.sent.deadline:
            self._lose_response(now, self.in_flight)
        idle = not self.wanted and not self.units
        if self.in_flight is not None or now < self.next_request_at or idle or not self.lease.valid(now):
            return []
        return self._send(now, Range(self.prefix, prefix_end(self.prefix)), 0, None)

    def _lose_response(self, now: float, lost: _InFlightShareRequest) -> None:
        if lost.register_revision is not None:
            self.unresolved_revision = lost.register_revision
        self._retry_later(now)

    def _retry_later(self, now: float) -> None:
        self.in_flight = None
        self.next_request_at = now + self.backoff.next_delay()

    def _send(
        self, now: float, request: Range | Txn, units: int, register_revision: int | None
    ) -> list[SendRequest]:
        deadline = now + self.lease.terms.response_timeout_s
        sent = SendRequest(self.lease.new_request_id(), request, deadline)
        self.in_flight = _InFlightShareRequest(sent, units, register_revision)
        return [sent]

    def on_response(self, now: float, response: ResponseOrError) -> list[SendRequest]:
        """The response to the request in flight."""
        assert self.in_flight is not None
        answered = self.in_flight
        if isinstance(response, RequestError):
            self._lose_response(now, answered)
            return []
        self._retry_later(now)
        if isinstance(response, RangeResponse):
            return self._rebalance(now, self._usage(response))
        if isinstance(response, TxnResponse) and response.succeeded:
            self.unresolved_revision = None
            self._settle(now, answered.units)
        elif isinstance(response, TxnResponse):
            self.next_request_at = now  # another process was faster
        return []

    def _settle(self, now: float, units: int) -> None:
        self.backoff.reset()
        self.units, self.units_lease_id = units, self.lease.lease_id
        self.next_request_at = now + REBALANCE_INTERVAL_S * (0.5 + self.backoff.jitter() / 2)

    def _usage(self, response: RangeResponse) -> _Usage:
        register_revision = own_units = other_units = waiting = 0
        holders = 1
        waits = False
        for key, record in response.records:
            if key == self.register_key:
                register_revision = record.mod_revision
            elif key == self.waiting_key:
                waits = True
            elif not key.startswith(self.part_prefix):
                waiting += 1
            else:
                units = msgspec.json.decode(record.value, type=StoredShare).units
                if key != self.part_key:
                    holders += 1
                # a part under an earlier lease of ours is free only when that has expired, as anybody's
                if key == self.part_key and record.lease == self.lease.lease_id:
                    own_units = units
                else:
                    other_units += units
        return _Usage(register_revision, own_units, other_units, holders, waiting, waits)

    def _rebalance(self, now: float, usage: _Usage) -> list[SendRequest]:
        # what is read holds only if no earlier transaction of ours can still change it
        unresolved = usage.register_revision == self.unresolved_revision
        if not unresolved:
            self.unresolved_revision = None
        if not self.wanted:
            if usage.own_units or usage.waits or unresolved:
                return self._write(now, usage, 0, waits=False)
            self._settle(now, 0)
            return []
        units = _fair_units(usage)
        if units < MIN_UNITS:
            # processes that have more than their fair share see the waiting key at their next check
            return self._write(now, usage, 0, waits=True)
        if units == usage.own_units and not usage.waits and not unresolved:
            self._settle(now, units)
            return []
        return self._write(now, usage, units, waits=False)

    def _write(self, now: float, usage: _Usage, units: int, *, waits: bool) -> list[SendRequest]:
        lease_id = self.lease.lease_id
        unchanged = Compare(
            self.register_key, CompareTarget.MOD, CompareOperator.EQUAL, usage.register_revision
        )
        waiting = Put(self.waiting_key, b"", lease_id) if waits else DeleteRange(self.waiting_key)
        part: Put | DeleteRange = DeleteRange(self.part_key)
        if units:
            part = Put(self.part_key, msgspec.json.encode(StoredShare(units)), lease_id)
        # fewer units than before are used at once, more only when they are known to be ours
        self.units = min(self.units, units)
        compares = (unchanged,) if self.guarded else ()
        transaction = Txn(compares, (part, waiting, Put(self.register_key, b"")))
        return self._send(now, transaction, units, usage.register_revision)


def _fair_units(usage: _Usage) -> int:
    """The units to have: no more than a fair share where others wait, and no more than what is free."""
    fair = TOTAL_UNITS // max(MIN_DIVISOR, usage.holders + usage.waiting)
    kept = min(usage.own_units, fair) if usage.waiting else usage.own_units
    return max(kept, min(fair, TOTAL_UNITS - usage.other_units))
