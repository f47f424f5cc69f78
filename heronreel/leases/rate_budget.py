"""A process's share of a rate budget of the whole fleet.  No I/O; the time is passed in.

Each priority class of fleet-wide tasks has a rate budget.  A process that holds tasks of the class takes a
share of the budget, in whole quota units, and stores it as a key under its own lease.  The shares never add
up to more than the budget: each share is written by a transaction that compares the revision of the class's
register key, and the units of a lease become free only after its holder has stopped using them.  Within its
share a process takes tokens before it acts (see `rate_limits`), so neither one busy task nor many tasks
together use more than the share.
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

MIN_SHARE_DIVISOR = 4  # No process gets more than a quarter of a budget.
MIN_UNITS = TOTAL_UNITS // 64  # A process waits if fewer units are available to it.
REBALANCE_INTERVAL_S = 5.0  # The longest time between two checks whether other processes need a share.


class StoredShare(msgspec.Struct, frozen=True):
    """A process's share as it is stored."""

    units: int = msgspec.field(name="share")


class _InFlightShareRequest(NamedTuple):
    """A request of a share that has no response yet.

    Attributes:
        action: the request as it was sent.
        units: the units of this process once the request has succeeded.
        register_revision: the register's revision that the transaction compares; None for a read.
    """

    action: SendRequest
    units: int
    register_revision: int | None


class _Usage(NamedTuple):
    """The usage of a budget, as read from its keys.

    Attributes:
        register_revision: the revision of the register key.
        own_units: the units of this process under its current lease.
        other_units: the units under all other leases.
        holder_count: the processes that have a share, including this process.
        waiting_count: the other processes that wait for a share.
        is_waiting: whether this process has a waiting key.
    """

    register_revision: int
    own_units: int
    other_units: int
    holder_count: int
    waiting_count: int
    is_waiting: bool


class BudgetShare:
    """One process's share of one budget, from when it is acquired until it is released.

    A process that finds too few units writes a waiting key.  Each process that has more than its fair share
    returns the excess at its next check.
    """

    def __init__(
        self,
        lease: LeaseClient,
        budget: str,
        process: str,
        jitter: Callable[[], float],
        *,
        compares_register: bool = True,
    ) -> None:
        """Make a share that has not been acquired yet.

        Args:
            lease: the lease of this process.
            budget: the stored name of the priority class.
            process: the name of this process.
            jitter: returns a random number from 0 to 1.
            compares_register: whether transactions compare the register's revision.  Only a test sets this to
                False, to show that the shares exceed the budget without the comparison.
        """
        self.lease = lease
        self.prefix = BUDGET_PREFIX + budget.encode() + b"/"
        self.share_prefix = self.prefix + b"part/"
        # Written together with each share, so that two processes never take the same free units.
        self.register_key = self.prefix + b"register"
        self.share_key = self.share_prefix + process.encode()
        self.waiting_key = self.prefix + b"wish/" + process.encode()
        self.units = 0
        self.units_lease_id = 0  # The lease under which this process holds the units.
        self.next_request_at = 0.0
        self.backoff = JitteredBackoff(jitter)
        self.in_flight: _InFlightShareRequest | None = None
        # The register's revision at which a transaction without a response may still be applied.  Any later
        # write of the register prevents that.
        self.unresolved_revision: int | None = None
        self.wanted = False
        self.compares_register = compares_register

    def usable_units(self, now: float) -> int:
        """Return how many of the `TOTAL_UNITS` this process may use at this moment."""
        own_lease = self.units_lease_id == self.lease.lease_id
        return self.units if self.wanted and own_lease and self.lease.valid(now) else 0

    def acquire(self, now: float) -> None:
        """Request a share, and hold it until it is released."""
        if not self.wanted:
            self.wanted = True
            self.next_request_at = now

    def release(self, now: float) -> None:
        """Return the share to the budget; the process may not use any units from now on."""
        self.wanted = False
        self.next_request_at = now

    def awaits(self, request_id: int) -> bool:
        """Return whether this request belongs to the share and is in flight."""
        return self.in_flight is not None and self.in_flight.action.request_id == request_id

    def next_wakeup(self) -> float:
        """Return the latest time at which `tick` has to be called again."""
        if self.in_flight is not None:
            return self.in_flight.action.deadline
        return self.next_request_at if self.lease.granted else float("inf")

    def tick(self, now: float) -> list[SendRequest]:
        """Handle timeouts, and return the requests that are due."""
        if self.units_lease_id != self.lease.lease_id and self.units:
            self.units = 0  # The lease that held the units has expired.
            self.next_request_at = now
        if self.in_flight is not None and now >= self.in_flight.action.deadline:
            self._on_missing_response(now, self.in_flight)
        idle = not self.wanted and not self.units
        if self.in_flight is not None or now < self.next_request_at or idle or not self.lease.valid(now):
            return []
        return self._send(now, Range(self.prefix, prefix_end(self.prefix)), 0, None)

    def _on_missing_response(self, now: float, request: _InFlightShareRequest) -> None:
        """Retry later, and remember that the request may still be applied."""
        if request.register_revision is not None:
            self.unresolved_revision = request.register_revision
        self._retry_later(now)

    def _retry_later(self, now: float) -> None:
        self.in_flight = None
        self.next_request_at = now + self.backoff.next_delay()

    def _send(
        self, now: float, request: Range | Txn, units: int, register_revision: int | None
    ) -> list[SendRequest]:
        deadline = now + self.lease.terms.response_timeout_s
        action = SendRequest(self.lease.new_request_id(), request, deadline)
        self.in_flight = _InFlightShareRequest(action, units, register_revision)
        return [action]

    def on_response(self, now: float, response: ResponseOrError) -> list[SendRequest]:
        """Handle the response to the request in flight."""
        assert self.in_flight is not None
        completed = self.in_flight
        if isinstance(response, RequestError):
            self._on_missing_response(now, completed)
            return []
        self._retry_later(now)
        if isinstance(response, RangeResponse):
            return self._rebalance(now, self._usage(response))
        if isinstance(response, TxnResponse) and response.succeeded:
            self.unresolved_revision = None
            self._on_units_confirmed(now, completed.units)
        elif isinstance(response, TxnResponse):
            self.next_request_at = now  # Another process changed the register first.
        return []

    def _on_units_confirmed(self, now: float, units: int) -> None:
        """Use the units that are known to be held, and schedule the next check."""
        self.backoff.reset()
        self.units, self.units_lease_id = units, self.lease.lease_id
        self.next_request_at = now + REBALANCE_INTERVAL_S * (0.5 + self.backoff.jitter() / 2)

    def _usage(self, response: RangeResponse) -> _Usage:
        register_revision = own_units = other_units = waiting_count = 0
        holder_count = 1
        is_waiting = False
        for key, record in response.records:
            if key == self.register_key:
                register_revision = record.mod_revision
            elif key == self.waiting_key:
                is_waiting = True
            elif not key.startswith(self.share_prefix):
                waiting_count += 1
            else:
                units = msgspec.json.decode(record.value, type=StoredShare).units
                if key != self.share_key:
                    holder_count += 1
                # A share under an earlier lease of this process becomes free only when that lease expires,
                # like the share of any other process.
                if key == self.share_key and record.lease == self.lease.lease_id:
                    own_units = units
                else:
                    other_units += units
        return _Usage(register_revision, own_units, other_units, holder_count, waiting_count, is_waiting)

    def _rebalance(self, now: float, usage: _Usage) -> list[SendRequest]:
        # The usage is reliable only if no earlier transaction of this process can still be applied.
        unresolved = usage.register_revision == self.unresolved_revision
        if not unresolved:
            self.unresolved_revision = None
        if not self.wanted:
            if usage.own_units or usage.is_waiting or unresolved:
                return self._write(now, usage, 0, is_waiting=False)
            self._on_units_confirmed(now, 0)
            return []
        units = _fair_units(usage)
        if units < MIN_UNITS:
            # Processes that have more than their fair share see the waiting key at their next check.
            return self._write(now, usage, 0, is_waiting=True)
        if units == usage.own_units and not usage.is_waiting and not unresolved:
            self._on_units_confirmed(now, units)
            return []
        return self._write(now, usage, units, is_waiting=False)

    def _write(self, now: float, usage: _Usage, units: int, *, is_waiting: bool) -> list[SendRequest]:
        lease_id = self.lease.lease_id
        unchanged = Compare(
            self.register_key, CompareTarget.MOD, CompareOperator.EQUAL, usage.register_revision
        )
        waiting = Put(self.waiting_key, b"", lease_id) if is_waiting else DeleteRange(self.waiting_key)
        share: Put | DeleteRange = DeleteRange(self.share_key)
        if units:
            share = Put(self.share_key, msgspec.json.encode(StoredShare(units)), lease_id)
        # A smaller share takes effect at once, and a larger one only when the transaction has succeeded.
        self.units = min(self.units, units)
        compares = (unchanged,) if self.compares_register else ()
        transaction = Txn(compares, (share, waiting, Put(self.register_key, b"")))
        return self._send(now, transaction, units, usage.register_revision)


def _fair_units(usage: _Usage) -> int:
    """Return the units that this process should have.

    If other processes wait, the process keeps no more than a fair share.  It never takes more units than are
    free.
    """
    fair_units = TOTAL_UNITS // max(MIN_SHARE_DIVISOR, usage.holder_count + usage.waiting_count)
    kept_units = min(usage.own_units, fair_units) if usage.waiting_count else usage.own_units
    return max(kept_units, min(fair_units, TOTAL_UNITS - usage.other_units))
